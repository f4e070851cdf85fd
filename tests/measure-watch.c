/* Watching a fleet while it runs: the endpoints' counters by polling, the
   nodes' counters at chosen moments.  */

#include "http/fetch.h"
#include "measure.h"
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#define POLL_S 0.2
/* With fewer waiting requests than this part of the slots, all of them may be
   on their way.  */
#define WAITING_PART 0.25

typedef struct
{
  watch_t *watch;
  unsigned index;
  char *url;
  bool asked;
  bool known;
  double busy_ms;
  double now_ms;
  double last_start_ms;
} endpoint_t;

struct watch
{
  struct ev_loop *loop;
  const fleet_t *fleet;
  const load_t *load;
  fetch_pool_t *pool;
  ev_timer poll;
  GPtrArray *endpoints;
  unsigned span;
  const unsigned *router_sides; /* NULL: there are no sides */
  const unsigned *zone_sides;
  double busy_ms[WATCH_SPANS]; /* while enough work waited */
  double slot_ms[WATCH_SPANS];
  double all_busy_ms[WATCH_SPANS];
  double all_slot_ms[WATCH_SPANS];
};

/* Whether so much work waited since the last poll that ENDPOINT's slots should
   have been full.  Work on the other side of a cut can't use them.  */
static bool
had_work (const endpoint_t *endpoint)
{
  const watch_t *watch = endpoint->watch;
  const fleet_plan_t *plan = fleet_get_plan (watch->fleet);
  unsigned zone = fleet_get_zone (watch->fleet, FLEET_AGENT, endpoint->index);
  unsigned side = watch->zone_sides != NULL ? watch->zone_sides[zone] : 0;
  unsigned models = 0;

  for (unsigned i = 0; i < plan->models; i++)
    models
        += watch->zone_sides == NULL
           || watch->zone_sides[fleet_get_zone (watch->fleet, FLEET_AGENT, i)]
                  == side;
  return fair_min_waiting (load_get_samples (watch->load), watch->router_sides,
                           side, load_count_accounts (watch->load),
                           (guint)(POLL_S * 1000 / LOAD_SAMPLE_INTERVAL_MS)
                               + 2)
         >= WAITING_PART * plan->slots * models;
}

/* Adds ENDPOINT's time since its last poll to the present span.  */
static void
add_time (const endpoint_t *endpoint, double busy_ms, double slot_ms)
{
  watch_t *watch = endpoint->watch;

  if (!endpoint->known || watch->span >= WATCH_SPANS
      || endpoint->index >= fleet_get_plan (watch->fleet)->models)
    return;
  watch->all_busy_ms[watch->span] += busy_ms;
  watch->all_slot_ms[watch->span] += slot_ms;
  if (!had_work (endpoint))
    return;
  watch->busy_ms[watch->span] += busy_ms;
  watch->slot_ms[watch->span] += slot_ms;
}

static void
take_counters (endpoint_t *endpoint, JsonObject *counters)
{
  const fleet_plan_t *plan = fleet_get_plan (endpoint->watch->fleet);
  double busy_ms = json_object_get_double_member (counters, "busy_ms");
  double now_ms = json_object_get_double_member (counters, "now_ms");

  add_time (endpoint, busy_ms - endpoint->busy_ms,
            (now_ms - endpoint->now_ms) * plan->slots);
  endpoint->known = true;
  endpoint->busy_ms = busy_ms;
  endpoint->now_ms = now_ms;
  endpoint->last_start_ms
      = json_object_get_double_member (counters, "last_start_ms");
}

static void
on_counters (void *user, fetch_result_t result, unsigned status,
             const char *body, size_t length, const char *detail)
{
  endpoint_t *endpoint = user;
  g_autoptr (JsonNode) root = NULL;

  endpoint->asked = false;
  if (result == FETCH_COMPLETE && status == 200)
    root = json_from_string (body, NULL);
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    take_counters (endpoint, json_node_get_object (root));
}

static void
on_poll (struct ev_loop *loop, ev_timer *watcher, int events)
{
  watch_t *watch = watcher->data;

  for (guint i = 0; i < watch->endpoints->len; i++)
    {
      endpoint_t *endpoint = watch->endpoints->pdata[i];
      const fetch_request_t request = { .method = "GET",
                                        .url = endpoint->url,
                                        .total_timeout_ms = 5000,
                                        .done = on_counters,
                                        .user = endpoint };
      if (endpoint->asked)
        continue;
      endpoint->asked = true;
      fetch_start (watch->pool, &request);
    }
}

static void
endpoint_free (gpointer data)
{
  endpoint_t *endpoint = data;

  g_free (endpoint->url);
  g_free (endpoint);
}

watch_t *
watch_new (struct ev_loop *loop, const fleet_t *fleet, const load_t *load)
{
  watch_t *watch = g_new0 (watch_t, 1);

  watch->loop = loop;
  watch->fleet = fleet;
  watch->span = WATCH_SPANS;
  watch->load = load;
  watch->pool = fetch_pool_new (loop);
  watch->endpoints = g_ptr_array_new_with_free_func (endpoint_free);
  for (unsigned i = 0; i < fleet_count_members (fleet, FLEET_ENDPOINT); i++)
    {
      endpoint_t *endpoint = g_new0 (endpoint_t, 1);
      g_autofree char *base = fleet_get_url (fleet, FLEET_ENDPOINT, i);
      endpoint->watch = watch;
      endpoint->index = i;
      endpoint->url = g_strconcat (base, "/control/counters", NULL);
      g_ptr_array_add (watch->endpoints, endpoint);
    }
  ev_timer_init (&watch->poll, on_poll, POLL_S, POLL_S);
  watch->poll.data = watch;
  ev_timer_start (loop, &watch->poll);
  return watch;
}

void
watch_free (watch_t *watch)
{
  ev_timer_stop (watch->loop, &watch->poll);
  fetch_pool_free (watch->pool);
  g_ptr_array_unref (watch->endpoints);
  g_free (watch);
}

void
watch_begin_span (watch_t *watch, unsigned span)
{
  watch->span = span;
}

void
watch_set_partition (watch_t *watch, const unsigned *routers,
                     const unsigned *zones)
{
  watch->router_sides = routers;
  watch->zone_sides = zones;
}

static double
part_of (double part, double whole)
{
  return whole > 0 ? part / whole : 0;
}

double
watch_get_utilisation (const watch_t *watch, unsigned span)
{
  return part_of (watch->busy_ms[span], watch->slot_ms[span]);
}

double
watch_get_counted_share (const watch_t *watch, unsigned span)
{
  return part_of (watch->slot_ms[span], watch->all_slot_ms[span]);
}

double
watch_get_busy_share (const watch_t *watch, unsigned span)
{
  return part_of (watch->all_busy_ms[span], watch->all_slot_ms[span]);
}

cfd_time_t
watch_get_last_start (const watch_t *watch, unsigned zone)
{
  double last = 0;

  for (guint i = 0; i < watch->endpoints->len; i++)
    {
      const endpoint_t *endpoint = watch->endpoints->pdata[i];
      if (fleet_get_zone (watch->fleet, FLEET_AGENT, i) == zone)
        last = MAX (last, endpoint->last_start_ms);
    }
  return (cfd_time_t)last;
}

/* Adds the samples of one metrics page to SUM by name with labels.  */
static void
add_counters (GHashTable *sums, const char *text)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", 0);

  for (unsigned i = 0; lines[i] != NULL; i++)
    {
      char *value = strrchr (lines[i], ' ');
      if (lines[i][0] == '#' || value == NULL)
        continue;
      *value = '\0';
      double *sum = g_hash_table_lookup (sums, lines[i]);
      if (sum == NULL)
        {
          sum = g_new0 (double, 1);
          g_hash_table_insert (sums, g_strdup (lines[i]), sum);
        }
      *sum += g_ascii_strtod (value + 1, NULL);
    }
}

GHashTable *
watch_sum_counters (const fleet_t *fleet)
{
  GHashTable *sums
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);

  for (int sort = FLEET_ROUTER; sort <= FLEET_AGENT; sort++)
    for (unsigned i = 0; i < fleet_count_members (fleet, (fleet_role_t)sort);
         i++)
      {
        g_autofree char *base
            = fleet_get_admin_url (fleet, (fleet_role_t)sort, i);
        g_autofree char *url = g_strconcat (base, "/metrics", NULL);
        long status = 0;
        g_autofree char *text
            = proc_send_http (NULL, url, NULL, NULL, &status);
        if (status == 200)
          add_counters (sums, text);
      }
  return sums;
}

void
watch_print_growth (GHashTable *before, GHashTable *after, double seconds)
{
  g_autoptr (GList) names
      = g_list_sort (g_hash_table_get_keys (after), (GCompareFunc)strcmp);

  for (GList *name = names; name != NULL; name = name->next)
    {
      const double *was = g_hash_table_lookup (before, name->data);
      const double *is = g_hash_table_lookup (after, name->data);
      double rate = (*is - (was ? *was : 0)) / seconds;
      if (rate != 0)
        fprintf (stderr, "%-60s %12.2f /s\n", (const char *)name->data, rate);
    }
}

/* Greatest resident set of PROC since its start.  */
static double
peak_of (const proc_t *proc)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", (int)proc->pid);
  g_autofree char *text = NULL;
  const char *peak = NULL;

  if (g_file_get_contents (path, &text, NULL, NULL))
    peak = strstr (text, "VmHWM:");
  return peak ? g_ascii_strtod (peak + strlen ("VmHWM:"), NULL) * 1024 : 0;
}

static void
add_node (const fleet_t *fleet, fleet_role_t sort, unsigned index,
          node_sum_t *sum)
{
  const proc_t *proc = fleet_get_process (fleet, sort, index);
  double peak = peak_of (proc);
  double cpu_s = 0;
  double resident = 0;

  sum->control_bytes += MAX (
      fleet_sum_metric (fleet, sort, index, "cfd_peer_control_bytes_total"),
      0);
  if (sort == FLEET_AGENT)
    sum->completed += MAX (
        fleet_sum_metric (fleet, sort, index, "cfd_agent_completed_total"), 0);
  if (!proc_read_usage (proc, &cpu_s, &resident))
    return;
  if (sort == FLEET_ROUTER)
    {
      sum->router_cpu_s += cpu_s;
      sum->router_peak = MAX (sum->router_peak, peak);
      sum->router_resident = MAX (sum->router_resident, resident);
      return;
    }
  sum->agent_cpu_s += cpu_s;
  sum->agent_peak = MAX (sum->agent_peak, peak);
  sum->agent_resident = MAX (sum->agent_resident, resident);
}

/* Calls as the platform counts them; a claim is the only object that nodes
   put while they run.  */
static void
add_calls (const fleet_t *fleet, node_sum_t *sum)
{
  g_autofree char *base = fleet_get_url (fleet, FLEET_PLATFORM, 0);
  g_autofree char *url = g_strconcat (base, "/control/calls", NULL);
  long status = 0;
  g_autofree char *answer = proc_send_http (NULL, url, NULL, NULL, &status);
  g_autoptr (JsonNode) root = answer ? json_from_string (answer, NULL) : NULL;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return;
  JsonObject *calls = json_node_get_object (root);
  sum->platform_calls
      = (double)json_object_get_int_member_with_default (calls, "total", 0);
  static const char *const kinds[] = { "list", "watch", "instances" };
  for (unsigned i = 0; i < G_N_ELEMENTS (kinds); i++)
    sum->config_calls += (double)json_object_get_int_member_with_default (
        calls, kinds[i], 0);
}

void
watch_query_nodes (const fleet_t *fleet, node_sum_t *sum)
{
  memset (sum, 0, sizeof *sum);
  for (unsigned i = 0; i < fleet_count_members (fleet, FLEET_ROUTER); i++)
    add_node (fleet, FLEET_ROUTER, i, sum);
  for (unsigned i = 0; i < fleet_count_members (fleet, FLEET_AGENT); i++)
    add_node (fleet, FLEET_AGENT, i, sum);
  add_calls (fleet, sum);
  sum->at_us = clock_now_us ();
}
