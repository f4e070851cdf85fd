/* Settling: a new agent waits for requests that a previous agent process
   started at the engine.

   An engine keeps a request whose connection broke, so that it can be resumed.
   When an agent is killed and starts again, its slots look free while the
   engine is still full, and the first grant would overload it.  So a new agent
   of a model engine waits until the engine's load report, requested after the
   time by which reports lag, shows no running request.  The report is trusted
   for nothing else: a wrong one costs at most the few slots of a cold start,
   as much as without the wait.  */

#include "agent/agent-private.h"
#include "base/jsn.h"
#include "base/log.h"

/* Longer than the lag of an engine's report.  */
#define REPORT_LAG_MS 1000
#define POLL_INTERVAL_MS 250
#define REPORT_TIMEOUT_MS 1000
/* Longer than nearly any answer takes.  The engine may also count requests
   that are not this agent's.  */
#define MAX_SETTLE_MS 120000

static void
end_settling (cfd_agent_t *agent, const char *reason)
{
  if (!agent->is_settling)
    return;
  agent->is_settling = false;
  log_info ("agent", "Settling has ended: reason=%s.", reason);
}

/* Sets *RUNNING to the number of running requests in the report TEXT, -1 when
   it doesn't have it.  Returns false when TEXT is no whole report.  */
static bool
parse_running (const char *text, gint64 *running)
{
  g_autoptr (JsonNode) root = text != NULL ? jsn_parse (text, NULL) : NULL;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return false;
  *running = json_object_get_int_member_with_default (
      json_node_get_object (root), "running", -1);
  return true;
}

static void
on_report (void *user, fetch_result_t result, unsigned status,
           const char *body, size_t length, const char *detail)
{
  cfd_agent_t *agent = user;
  cfd_time_t now = agent_read_clock (agent);
  gint64 running = -1;

  agent->settle_fetch = NULL;
  agent->settle_poll_at = now + POLL_INTERVAL_MS;
  if (result == FETCH_COMPLETE && status == 200
      && !parse_running (body, &running))
    log_warn ("agent", "A load report was cut short; it is requested again.");
  else if (running == 0)
    end_settling (agent, "no request is running");
  else if (running < 0 && result == FETCH_COMPLETE)
    end_settling (agent, "the engine gives no report");
  else if (result == FETCH_CONNECT_FAILED)
    end_settling (agent, "the engine is unreachable");
  agent_fill_slots (agent, now);
}

void
settle_begin (cfd_agent_t *agent, cfd_time_t now)
{
  agent->is_settling = true;
  agent->settle_poll_at = now + REPORT_LAG_MS;
  agent->settle_deadline = now + MAX_SETTLE_MS;
}

void
settle_tick (cfd_agent_t *agent, cfd_time_t now)
{
  g_autofree char *url = NULL;
  fetch_request_t request
      = { .method = "GET", .total_timeout_ms = REPORT_TIMEOUT_MS };

  if (!agent->is_settling || !agent->has_endpoint || !agent->has_service)
    return;
  if (!agent->is_model)
    {
      end_settling (agent, "not a model engine");
      return;
    }
  if (now >= agent->settle_deadline)
    end_settling (agent, "maximum wait reached");
  if (!agent->is_settling || agent->settle_fetch != NULL
      || now < agent->settle_poll_at)
    return;
  url = g_strconcat (agent->url, "/v1/load", NULL);
  request.url = url;
  request.done = on_report;
  request.user = agent;
  agent->settle_fetch = fetch_start (agent->pool, &request);
}
