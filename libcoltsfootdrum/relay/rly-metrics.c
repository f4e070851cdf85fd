/* The relay of requests: counters and latencies in Prometheus' text format.
   docs/RELAY-METRICS.md lists them.  */

#include "relay/rly-private.h"

#include "admin/prom.h"

typedef struct
{
  const char *name;
  const char *labels;
  uint64_t value;
} counter_t;

static void
append_counters (const rly_counts_t *counts, GString *out)
{
  const counter_t counters[] = {
    { "cfd_relay_requests_total", NULL, counts->requests },
    { "cfd_relay_ended_total", "outcome=\"answered\"", counts->answered },
    { "cfd_relay_ended_total", "outcome=\"refused\"", counts->refused },
    { "cfd_relay_ended_total", "outcome=\"failed\"", counts->failed },
    { "cfd_relay_ended_total", "outcome=\"left\"", counts->disconnected },
    { "cfd_relay_repeats_total", NULL, counts->retries },
    { "cfd_relay_resumed_total", NULL, counts->resumed },
    { "cfd_relay_rest_avoided_total", NULL, counts->rest_avoided },
    { "cfd_relay_withdrawn_total", NULL, counts->withdrawn },
    { "cfd_relay_quarantine_refused_total", NULL, counts->quarantined },
    { "cfd_relay_part_refused_total", NULL, counts->part_refused },
    { "cfd_relay_slow_callers_total", NULL, counts->slow_callers },
    { "cfd_relay_held_streams_total", NULL, counts->held },
    { "cfd_relay_hold_timeouts_total", NULL, counts->hold_timeouts },
    { "cfd_relay_cold_requests_total", NULL, counts->cold_requests },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (counters); i++)
    prom_append_sample (out, counters[i].name, "counter", counters[i].labels,
                        (double)counters[i].value);
}

static void
append_ends (const rly_counts_t *counts, GString *out)
{
  for (unsigned i = 0; i < END_KINDS; i++)
    {
      g_autofree char *labels
          = g_strdup_printf ("end=\"%s\"", end_get_name ((end_kind_t)i));

      prom_append_sample (out, "cfd_relay_exchange_ends_total", "counter",
                          labels, (double)counts->ends[i]);
    }
}

/* Appends the refusals of requests that waited in vain.  */
static void
append_refusals (const rly_counts_t *counts, GString *out)
{
  prom_append_sample (out, "cfd_relay_refused_total", "counter",
                      "reason=\"processor\"",
                      (double)counts->lacked_processor);
  for (unsigned i = 0; i < PLC_SHORTAGES; i++)
    {
      g_autofree char *labels = g_strdup_printf (
          "reason=\"%s\"", plc_shortage_name ((plc_shortage_t)i));

      prom_append_sample (out, "cfd_relay_refused_total", "counter", labels,
                          (double)counts->lacked[i]);
    }
}

static void
append_resumptions (const rly_counts_t *counts, GString *out)
{
  for (unsigned i = 0; i < RLY_RESUME_KINDS; i++)
    {
      g_autofree char *labels = g_strdup_printf (
          "outcome=\"%s\"", rly_resume_name ((rly_resume_t)i));

      prom_append_sample (out, "cfd_relay_resumptions_total", "counter",
                          labels, (double)counts->resumptions[i]);
    }
}

/* Returns the number of endpoints for which TEST returns true.  */
static unsigned
count_endpoints (const rly_t *rly, cfd_time_t now,
                 bool (*test) (const edp_t *, cfd_time_t))
{
  unsigned count = 0;

  list_for_each (node, edp_set_endpoints (rly->endpoints))
    {
      count += test (list_entry (node, edp_t, node), now);
    }
  list_for_each (node, edp_set_others (rly->endpoints))
    {
      count += test (list_entry (node, edp_t, node), now);
    }
  return count;
}

static void
append_state (const rly_t *rly, cfd_time_t now, GString *out)
{
  uint64_t version = rly->table != NULL ? rte_table_version (rly->table) : 0;

  prom_append_sample (out, "cfd_relay_waiting", "gauge", NULL,
                      rly->counts.waiting);
  prom_append_sample (out, "cfd_relay_running", "gauge", NULL,
                      rly->counts.running);
  prom_append_sample (out, "cfd_relay_routers", "gauge", NULL, rly->routers);
  prom_append_sample (out, "cfd_relay_endpoints", "gauge", NULL,
                      edp_set_count (rly->endpoints));
  prom_append_sample (out, "cfd_relay_endpoints_open", "gauge", NULL,
                      count_endpoints (rly, now, edp_is_open));
  prom_append_sample (out, "cfd_relay_endpoints_resting", "gauge", NULL,
                      count_endpoints (rly, now, edp_is_resting));
  prom_append_sample (out, "cfd_relay_endpoints_cold", "gauge", NULL,
                      count_endpoints (rly, now, edp_is_cold));
  prom_append_sample (out, "cfd_relay_list_old", "gauge", NULL,
                      rly->is_list_old);
  prom_append_sample (out, "cfd_relay_health_checks_total", "counter", NULL,
                      (double)edp_set_count_checks (rly->endpoints));
  prom_append_sample (out, "cfd_relay_quarantined_requests", "gauge", NULL,
                      rly->qua != NULL ? qua_count_active (rly->qua, now) : 0);
  prom_append_sample (out, "cfd_relay_suspect_parts", "gauge", NULL,
                      rly->prt != NULL ? prt_count (rly->prt) : 0);
  prom_append_sample (out, "cfd_relay_quarantined_parts", "gauge", NULL,
                      rly->prt != NULL ? prt_count_active (rly->prt) : 0);
  prom_append_sample (out, "cfd_relay_endpoints_ended_total", "counter", NULL,
                      (double)edp_set_count_ended (rly->endpoints));
  prom_append_sample (out, "cfd_relay_stream_origins", "gauge", NULL,
                      rly->org != NULL ? org_count_streams (rly->org) : 0);
  prom_append_sample (out, "cfd_relay_config_version", "gauge", NULL,
                      (double)version);
}

static void
append_latencies (const rly_service_t *service, GString *out)
{
  g_autofree char *name = g_strescape (service->name, NULL);
  g_autofree char *labels = g_strdup_printf ("service=\"%s\"", name);

  prom_hist_append (&service->wait_ms, out, "cfd_relay_wait_ms", labels);
  prom_hist_append (&service->first_byte_ms, out, "cfd_relay_first_byte_ms",
                    labels);
  prom_hist_append (&service->total_ms, out, "cfd_relay_answer_ms", labels);
  prom_hist_append (&service->pause_ms, out, "cfd_relay_pause_ms", labels);
  prom_hist_append (&service->hold_ms, out, "cfd_relay_hold_ms", labels);
}

void
rly_append_metrics (const rly_t *rly, cfd_time_t now, GString *out)
{
  append_counters (&rly->counts, out);
  append_ends (&rly->counts, out);
  append_refusals (&rly->counts, out);
  append_resumptions (&rly->counts, out);
  append_state (rly, now, out);
  list_for_each (node, &rly->services)
    {
      append_latencies (list_entry (node, rly_service_t, node), out);
    }
}
