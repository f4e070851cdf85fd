#include "router/router-private.h"
#include "admin/prom.h"

#include <inttypes.h>

typedef struct
{
  const char *name;
  const char *labels;
  uint64_t value;
} counter_t;

static const char *
readiness_error (void *user)
{
  const cfd_router_t *router = user;

  if (router->draining)
    return "This router is shutting down.";
  if (store_get_revision (router->store) == 0)
    return "No configuration was read yet; check the platform.";
  return NULL;
}

static void
put_counters (GString *out, const counter_t *counters, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    prom_append_sample (out, counters[i].name, "counter", counters[i].labels,
                        (double)counters[i].value);
}

static void
put_requests (const cfd_router_t *router, GString *out)
{
  const router_counters_t *c = &router->counters;
  const counter_t counters[] = {
    { "cfd_router_requests_total", NULL, c->requests },
    { "cfd_router_admitted_total", NULL, c->admitted },
    { "cfd_router_replayed_total", NULL, c->replayed },
    { "cfd_router_refused_total", "reason=\"bad\"",
      c->refused[REFUSED_BAD_REQUEST] },
    { "cfd_router_refused_total", "reason=\"key\"",
      c->refused[REFUSED_UNKNOWN_KEY] },
    { "cfd_router_refused_total", "reason=\"queue\"",
      c->refused[REFUSED_QUEUE_FULL] },
    { "cfd_router_refused_total", "reason=\"capacity\"",
      c->refused[REFUSED_NO_CAPACITY] },
    { "cfd_router_refused_total", "reason=\"platform\"",
      c->refused[REFUSED_PLATFORM_DOWN] },
    { "cfd_router_refused_total", "reason=\"claim\"",
      c->refused[REFUSED_CLAIM_CONFLICT] },
    { "cfd_router_refused_total", "reason=\"deadline\"",
      c->refused[REFUSED_DEADLINE_EXCEEDED] },
    { "cfd_router_refused_total", "reason=\"stop\"",
      c->refused[REFUSED_SHUTDOWN] },
    { "cfd_router_ended_total", "outcome=\"complete\"", c->completed },
    { "cfd_router_ended_total", "outcome=\"failed\"", c->failed },
    { "cfd_router_ended_total", "outcome=\"broken-off\"", c->truncated },
    { "cfd_router_ended_total", "outcome=\"left\"", c->callers_gone },
    { "cfd_router_retried_total", NULL, c->retried },
    { "cfd_router_returned_total", NULL, c->requeued },
    { "cfd_router_resumed_total", NULL, c->resumed },
    { "cfd_router_gaps_total", NULL, c->gaps },
    { "cfd_router_tokens_total", "kind=\"prompt\"", c->prompt_tokens },
    { "cfd_router_tokens_total", "kind=\"output\"", c->output_tokens },
  };

  put_counters (out, counters, G_N_ELEMENTS (counters));
}

static void
put_claims (const cfd_router_t *router, GString *out)
{
  const sweep_counters_t c = sweep_get_counters (router->sweep);
  const counter_t counters[] = {
    { "cfd_router_claims_removed_total", NULL, c.removed },
    { "cfd_router_claims_settled_total", NULL, c.marked_unknown },
    { "cfd_router_claims_spared_total", NULL, c.skipped_changed },
    { "cfd_router_claim_sweep_calls_total", NULL, c.calls },
    { "cfd_router_claim_sweep_failures_total", NULL, c.failed },
  };

  put_counters (out, counters, G_N_ELEMENTS (counters));
}

static void
put_control (const cfd_router_t *router, GString *out)
{
  const router_counters_t *c = &router->counters;
  const counter_t counters[] = {
    { "cfd_router_grants_total", NULL, c->grants },
    { "cfd_router_assigned_total", NULL, c->assigned },
    { "cfd_router_declined_total", "reason=\"no-work\"",
      c->declined[DECLINE_NO_WORK] },
    { "cfd_router_declined_total", "reason=\"stale\"",
      c->declined[DECLINE_STALE] },
    { "cfd_router_declined_total", "reason=\"zone\"",
      c->declined[DECLINE_ZONE] },
    { "cfd_router_declined_total", "reason=\"draining\"",
      c->declined[DECLINE_DRAINING] },
    { "cfd_router_announces_total", NULL, c->announces },
    { "cfd_router_announced_entries_total", NULL, c->announced_entries },
    { "cfd_router_reports_total", NULL, c->reports },
    { "cfd_router_report_entries_total", NULL, c->report_entries },
    { "cfd_router_shares_total", NULL, c->shares },
  };

  put_counters (out, counters, G_N_ELEMENTS (counters));
}

typedef struct
{
  const cfd_router_t *router;
  GHashTable *least; /* service to its least virtual time (double) */
  double virtual_time_spread;
} vt_spread_t;

static void
find_least_time (void *user, const char *account, const char *service)
{
  vt_spread_t *found = user;
  double time
      = share_get_virtual_time (found->router->share, account, service);
  double *least = g_hash_table_lookup (found->least, service);

  if (least == NULL)
    {
      least = g_new (double, 1);
      *least = time;
      g_hash_table_insert (found->least, (gpointer)service, least);
    }
  *least = MIN (*least, time);
}

static void
find_widest_spread (void *user, const char *account, const char *service)
{
  vt_spread_t *found = user;
  double *least = g_hash_table_lookup (found->least, service);
  double time
      = share_get_virtual_time (found->router->share, account, service);

  found->virtual_time_spread = MAX (found->virtual_time_spread, time - *least);
}

/* The largest difference in virtual time between accounts that wait for the
   same service at this router; work of the account with the least is assigned
   next.  */
static double
virtual_time_spread (const cfd_router_t *router)
{
  vt_spread_t found = { router, NULL, 0 };

  found.least = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  adm_for_each_queue (router->adm, find_least_time, &found);
  adm_for_each_queue (router->adm, find_widest_spread, &found);
  g_hash_table_unref (found.least);
  return found.virtual_time_spread;
}

static void
metrics (void *user, GString *out)
{
  const cfd_router_t *router = user;

  put_requests (router, out);
  put_control (router, out);
  put_claims (router, out);
  prom_append_sample (out, "cfd_router_waiting", "gauge", NULL,
                      adm_count_waiting (router->adm));
  prom_append_sample (out, "cfd_router_in_flight", "gauge", NULL,
                      router->in_flight);
  prom_append_sample (out, "cfd_router_agents_doubted", "gauge", NULL,
                      disp_count_suspect_agents (router->disp, clock_now ()));
  prom_append_sample (out, "cfd_router_retry_budget", "gauge", NULL,
                      router->retry_budget);
  prom_append_sample (out, "cfd_router_accounts", "gauge", "side=\"share\"",
                      share_count_accounts (router->share));
  prom_append_sample (out, "cfd_router_accounts", "gauge", "side=\"home\"",
                      home_count_accounts (router->home));
  const home_clamped_t bounded = home_get_clamped (router->home);
  prom_append_sample (out, "cfd_share_bounded_tokens_total", "counter",
                      "side=\"debt\"", bounded.debt);
  prom_append_sample (out, "cfd_share_bounded_tokens_total", "counter",
                      "side=\"credit\"", bounded.credit);
  prom_append_sample (out, "cfd_fairness_spread", "gauge", NULL,
                      virtual_time_spread (router));
  prom_append_sample (out, "cfd_router_passed_over_ms", "gauge", NULL,
                      (double)fairness_longest_wait_ms (router->fairness));
}

static void
put_agents (const cfd_router_t *router, JsonBuilder *out)
{
  GHashTableIter iter;
  gpointer value;

  json_builder_set_member_name (out, "agents");
  json_builder_begin_array (out);
  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const agent_t *agent = value;

      json_builder_begin_object (out);
      admin_add_text (out, "name", agent->name);
      admin_add_text (out, "service", agent->service ? agent->service : "");
      admin_add_text (out, "link", agent->up ? "up" : "down");
      admin_add_text (out, "work",
                      agents_accepts_work (router, agent) ? "in" : "leaving");
      admin_add_number (out, "in_flight", agent->in_flight);
      json_builder_end_object (out);
    }
  json_builder_end_array (out);
}

static void
status (void *user, JsonBuilder *out)
{
  const cfd_router_t *router = user;

  admin_add_text (out, "state", router->draining ? "draining" : "serving");
  admin_add_text (out, "policy",
                  router->policy == CFD_POLICY_LOCAL ? "local" : "fleet");
  admin_add_number (out, "waiting", adm_count_waiting (router->adm));
  admin_add_number (out, "in_flight", router->in_flight);
  put_agents (router, out);
}

bool
router_admin_start (cfd_router_t *router, const char *address, GError **error)
{
  static const admin_callbacks_t source = { readiness_error, metrics, status };

  const admin_node_t node
      = { router->instance, "router",     router->zone, router->ring,
          router->store,    router->plat, router->hub };

  router->admin
      = admin_new (router->loop, address, &node, &source, router, error);
  return router->admin != NULL;
}
