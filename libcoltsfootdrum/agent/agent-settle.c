/* The first moments of an agent: what its former life gave the engine may run
   on there.

   Engines keep a request whose connection broke, so that it can be resumed.
   When an agent is killed and starts again, its slots look free while the
   engine is still full; the first grant would bring it above what it bears.
   So a new agent of a model engine waits until the engine's load report,
   asked for after the report's lag, says that nothing runs.  The report is
   trusted for that alone: a lying one costs what the cold start's few slots
   add, as it would without the wait.  */

#include "agent/agent-private.h"
#include "base/log.h"

/* Longer than an engine's report lags.  */
#define REPORT_LAG_MS 1000
#define POLL_INTERVAL_MS 250
#define REPORT_TIMEOUT_MS 1000
/* What still runs then is longer than nearly any answer; the engine may count
   requests that are not ours.  */
#define MAX_SETTLE_MS 120000

static void
end_settling (cfd_agent_t *agent, const char *reason)
{
  if (!agent->is_settling)
    return;
  agent->is_settling = false;
  log_info ("agent", "The engine is free of a former life: reason=%s.",
            reason);
}

/* Requests that run by the report, or -1 when TEXT is none.  */
static gint64
parse_running (const char *text)
{
  g_autoptr (JsonNode) root
      = text != NULL ? json_from_string (text, NULL) : NULL;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return -1;
  return json_object_get_int_member_with_default (json_node_get_object (root),
                                                  "running", -1);
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
  if (result == FETCH_COMPLETE && status == 200)
    running = parse_running (body);
  if (running == 0)
    end_settling (agent, "nothing runs there");
  else if (running < 0 && result == FETCH_COMPLETE)
    end_settling (agent, "the engine gives no report");
  else if (result == FETCH_CONNECT_FAILED)
    end_settling (agent, "the engine is not reached");
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
      end_settling (agent, "a plain service");
      return;
    }
  if (now >= agent->settle_deadline)
    end_settling (agent, "waited long enough");
  if (!agent->is_settling || agent->settle_fetch != NULL
      || now < agent->settle_poll_at)
    return;
  url = g_strconcat (agent->url, "/v1/load", NULL);
  request.url = url;
  request.done = on_report;
  request.user = agent;
  agent->settle_fetch = fetch_start (agent->pool, &request);
}
