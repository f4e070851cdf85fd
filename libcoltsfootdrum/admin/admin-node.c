/* What every daemon shows, by the same names.  */

#include "admin/admin.h"
#include "admin/prom.h"

typedef enum
{
  TRAFFIC_CONTROL,
  TRAFFIC_DATA,
  TRAFFIC_FRAMES
} traffic_sort_t;

/* One sample of the metric NAME for each kind of frame that SORT has.  */
static void
put_traffic (GString *out, const char *name, traffic_sort_t sort,
             const char *direction, const peer_traffic_t *traffic)
{
  for (unsigned kind = MSG_HELLO; kind < MSG_KIND_COUNT; kind++)
    {
      g_autofree char *labels = g_strdup_printf (
          "direction=\"%s\",kind=\"%s\"", direction, msg_kind_name (kind));
      uint64_t value = sort == TRAFFIC_FRAMES ? traffic[kind].frames
                                              : traffic[kind].bytes;

      if (sort != TRAFFIC_FRAMES
          && msg_is_control (kind) != (sort == TRAFFIC_CONTROL))
        continue;
      prom_append_sample (out, name, "counter", labels, (double)value);
    }
}

static void
put_links (const peer_hub_t *hub, cfd_time_t up_ms, GString *out)
{
  static const char *const traffic[]
      = { [TRAFFIC_CONTROL] = "cfd_peer_control_bytes_total",
          [TRAFFIC_DATA] = "cfd_peer_data_bytes_total",
          [TRAFFIC_FRAMES] = "cfd_peer_frames_total" };
  peer_counters_t c;

  peer_hub_get_counters (hub, &c);
  const struct
  {
    const char *name;
    const char *labels;
    uint64_t value;
  } counters[] = {
    { "cfd_peer_links_up_total", NULL, c.links_up },
    { "cfd_peer_links_refused_total", NULL, c.links_refused },
    { "cfd_peer_frames_bad_total", NULL, c.frames_bad },
    { "cfd_peer_silences_total", NULL, c.silences },
  };

  for (unsigned sort = 0; sort < G_N_ELEMENTS (traffic); sort++)
    {
      put_traffic (out, traffic[sort], sort, "in", c.in);
      put_traffic (out, traffic[sort], sort, "out", c.out);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (counters); i++)
    prom_append_sample (out, counters[i].name, "counter", counters[i].labels,
                        (double)counters[i].value);
  if (up_ms > 0)
    prom_append_sample (out, "cfd_control_bytes_per_second", "gauge", NULL,
                        (double)(peer_sum_control_bytes (c.in)
                                 + peer_sum_control_bytes (c.out))
                            * 1000 / (double)up_ms);
}

static void
count_out (void *user, const rec_t *record)
{
  if (record->u.zone.out)
    (*(unsigned *)user)++;
}

void
admin_node_append_metrics (const admin_node_t *node, cfd_time_t started,
                           GString *out)
{
  cfd_time_t now = clock_now ();
  unsigned zones_out = 0;

  store_foreach (node->store, REC_ZONE, count_out, &zones_out);
  prom_append_sample (out, "cfd_config_revision", "gauge", NULL,
                      (double)store_get_revision (node->store));
  prom_append_sample (out, "cfd_config_age_ms", "gauge", NULL,
                      store_get_age_ms (node->store, now));
  prom_append_sample (out, "cfd_config_behind_ms", "gauge", NULL,
                      (double)store_get_behind_ms (node->store, now));
  prom_append_sample (out, "cfd_platform_up", "gauge", NULL,
                      store_is_platform_up (node->store));
  prom_append_sample (out, "cfd_platform_calls_total", "counter", NULL,
                      (double)plat_count_calls (node->plat));
  prom_append_sample (out, "cfd_zones_out", "gauge", NULL, zones_out);
  put_links (node->hub, now - started, out);
}

void
admin_node_add_status (const admin_node_t *node, const char *not_ready,
                       JsonBuilder *out)
{
  admin_add_text (out, "instance", node->instance);
  admin_add_text (out, "role", node->role);
  admin_add_text (out, "zone", node->zone);
  admin_add_number (out, "revision",
                    (int64_t)store_get_revision (node->store));
  admin_add_number (out, "config_age_ms",
                    store_get_age_ms (node->store, clock_now ()));
  json_builder_set_member_name (out, "platform_up");
  json_builder_add_boolean_value (out, store_is_platform_up (node->store));
  json_builder_set_member_name (out, "ready");
  json_builder_add_boolean_value (out, not_ready == NULL);
  admin_add_text (out, "why_not", not_ready);
}
