/* Metrics and status on the agent's admin port.  */

#include "agent/agent-private.h"
#include "admin/prom.h"
#include "base/log.h"

static void
add_metric (GString *text, const char *name, const char *type, double value)
{
  g_autofree char *full_name = g_strconcat ("cfd_agent_", name, NULL);

  prom_append_sample (text, full_name, type, NULL, value);
}

static void
add_request_metrics (GString *text, const agent_counters_t *c)
{
  add_metric (text, "grants_total", "counter", (double)c->granted);
  add_metric (text, "assigned_total", "counter", (double)c->assigned);
  add_metric (text, "declined_stale_total", "counter",
              (double)c->declined_stale);
  add_metric (text, "declined_other_total", "counter",
              (double)c->declined_other);
  add_metric (text, "not_started_total", "counter", (double)c->refused);
  add_metric (text, "started_total", "counter", (double)c->started);
  add_metric (text, "completed_total", "counter", (double)c->completed);
  add_metric (text, "broken_total", "counter", (double)c->broken);
  add_metric (text, "unreached_total", "counter", (double)c->unreached);
  add_metric (text, "cancelled_total", "counter", (double)c->cancelled);
  add_metric (text, "link_resumes_total", "counter", (double)c->resumed_links);
  add_metric (text, "engine_resumes_total", "counter",
              (double)c->resumed_engine);
  add_metric (text, "engine_resumes_failed_total", "counter",
              (double)c->engine_resume_failed);
  add_metric (text, "prompt_tokens_total", "counter",
              (double)c->prompt_tokens);
  add_metric (text, "output_tokens_total", "counter",
              (double)c->output_tokens);
  add_metric (text, "woken_total", "counter", (double)c->suspensions);
  add_metric (text, "needed_busy_slot_seconds_total", "counter",
              (double)c->loaded_busy_slot_ms / 1000);
  add_metric (text, "needed_slot_seconds_total", "counter",
              (double)c->loaded_slot_ms / 1000);
  add_metric (text, "busy_slot_seconds_total", "counter",
              (double)c->busy_slot_ms / 1000);
  add_metric (text, "slot_seconds_total", "counter",
              (double)c->slot_ms / 1000);
}

/* Share of the allowed slots in use while requests wait; 1 while none wait,
   because then no slot is idle without need.  */
static double
compute_utilisation (const cfd_agent_t *agent)
{
  unsigned slots = agent->lim.slots;

  if (slots == 0 || (!pick_has_waiting (agent->pick) && agent->queued == 0))
    return 1;
  return (double)MIN (agent->busy_slots, slots) / slots;
}

static void
add_state_metrics (GString *text, cfd_agent_t *agent, cfd_time_t now)
{
  add_metric (text, "running", "gauge", agent->busy_slots);
  add_metric (text, "slots", "gauge", agent->lim.slots);
  add_metric (text, "limit_state", "gauge", agent->lim.state);
  add_metric (text, "waiting_announced", "gauge",
              pick_count_waiting (agent->pick));
  add_metric (text, "queued", "gauge", agent->queued);
  add_metric (text, "may_grant", "gauge",
              agent_update_grant_reason (agent, now) == GRANT_ALLOWED);
  prom_append_sample (text, "cfd_fairness_spread", "gauge", NULL,
                      pick_compute_vt_spread (agent->pick, now));
  prom_append_sample (text, "cfd_utilisation", "gauge", NULL,
                      compute_utilisation (agent));
}

static void
write_metrics (void *user, GString *out)
{
  cfd_agent_t *agent = user;

  add_request_metrics (out, &agent->counters);
  add_state_metrics (out, agent, clock_now ());
}

static const char *
get_not_ready_reason (void *user)
{
  grant_reason_t reason = agent_update_grant_reason (user, clock_now ());

  return reason == GRANT_ALLOWED ? NULL : grant_reason_name (reason);
}

static void
write_status (void *user, JsonBuilder *out)
{
  cfd_agent_t *agent = user;
  grant_reason_t reason = agent_update_grant_reason (agent, clock_now ());

  admin_add_text (out, "endpoint", agent->endpoint);
  admin_add_text (out, "service", agent->service);
  admin_add_text (out, "state", grant_reason_name (reason));
  admin_add_text (out, "limit", lim_state_name (agent->lim.state));
  admin_add_number (out, "in_flight", agent->busy_slots);
  admin_add_number (out, "slots", agent->lim.slots);
  admin_add_number (out, "waiting", pick_count_waiting (agent->pick));
}

bool
agent_admin_start (cfd_agent_t *agent, const char *address, GError **error)
{
  static const admin_callbacks_t callbacks
      = { get_not_ready_reason, write_metrics, write_status };

  const admin_node_t node
      = { agent->instance, "agent",     agent->zone, agent->ring,
          agent->store,    agent->plat, agent->hub };

  agent->admin
      = admin_new (agent->loop, address, &node, &callbacks, agent, error);
  return agent->admin != NULL;
}
