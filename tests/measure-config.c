/* How the platform's load and the router_shares of a configuration change grow
   with the fleet: without work, when hardly any links are open and those that
   learn from peers hear the least, and with some.

     measure-config [ROW]     the router_shares, all rows or one
     measure-config memory    the memory by accounts  */

#include "base/clock.h"
#include "load.h"
#include "measure-config.h"
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SETTLE_S 33 /* links close after 30 s without use */
#define WATCH_S 15
#define CHANGES 7
#define PATIENCE_MS 15000
#define ROUND_S 0.02
#define GAP_S 0.3 /* grows between two changes */

typedef struct
{
  unsigned routers, models;
  unsigned callers; /* requests held at once */
} size_row_t;

static const size_row_t sizes[] = {
  { 2, 6, 0 }, { 8, 24, 0 }, { 36, 64, 0 }, { 36, 64, 100 }, { 72, 128, 0 }
};
static const unsigned memory_sizes[] = { 16, 6000, 18000 };

static const char *const kinds[]
    = { "list", "watch", "instances", "get", "put", "total" };

/* Adds SIGN times the platform's call counts to CALLS.  */
static void
add_calls (const fleet_t *fleet, double sign, double *calls)
{
  g_autofree char *base = fleet_get_url (fleet, FLEET_PLATFORM, 0);
  g_autofree char *url = g_strconcat (base, "/control/calls", NULL);
  long status = 0;
  g_autofree char *text = proc_send_http (NULL, url, NULL, NULL, &status);
  g_autoptr (JsonNode) root
      = text == NULL ? NULL : json_from_string (text, NULL);

  for (unsigned i = 0; root != NULL && i < G_N_ELEMENTS (kinds); i++)
    calls[i] += sign
                * (double)json_object_get_int_member (
                    json_node_get_object (root), kinds[i]);
}

static double
revision_of (const fleet_t *fleet, fleet_role_t sort, unsigned index)
{
  return fleet_sum_metric (fleet, sort, index, "cfd_config_revision");
}

/* Whether all processes of SORT have REVISION; DONE counts the first ones that
   are known to, which are not asked again.  */
static bool
all_have (const fleet_t *fleet, fleet_role_t sort, double revision,
          unsigned *done)
{
  while (*done < fleet_count_members (fleet, sort)
         && revision_of (fleet, sort, *done) >= revision)
    (*done)++;
  return *done == fleet_count_members (fleet, sort);
}

/* Control bytes in and out of all routers and agents so far.  */
static double
control_bytes (const fleet_t *fleet)
{
  static const fleet_role_t sorts[] = { FLEET_ROUTER, FLEET_AGENT };
  double sum = 0;

  for (unsigned i = 0; i < G_N_ELEMENTS (sorts); i++)
    for (unsigned j = 0; j < fleet_count_members (fleet, sorts[i]); j++)
      sum += fleet_sum_metric (fleet, sorts[i], j,
                               "cfd_peer_control_bytes_total");
  return sum;
}

static int
compare_times (gconstpointer a, gconstpointer b)
{
  double first = *(const double *)a;
  double second = *(const double *)b;

  return (first > second) - (first < second);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int revents)
{
  ev_break (loop, EVBREAK_ALL);
}

/* Lets the load go on for so long.  */
static void
pass (struct ev_loop *loop, double seconds)
{
  ev_timer timer;

  ev_timer_init (&timer, on_timeout, seconds, 0.0);
  ev_now_update (loop);
  ev_timer_start (loop, &timer);
  ev_run (loop, 0);
}

/* Milliseconds until a change was in force everywhere, PATIENCE_MS when it
   took longer.  */
static double
change (fleet_t *fleet, struct ev_loop *loop, unsigned number)
{
  g_autofree char *spec = g_strdup_printf (
      "{\"schema\":2,\"state\":\"in\",\"region\":\"r%u\"}", number);
  double before = revision_of (fleet, FLEET_ROUTER, 0);
  unsigned routers = 0;
  unsigned agents = 0;
  cfd_time_t start = clock_now ();

  if (!fleet_put_object (fleet, "availability-zone", "zone-0", spec, NULL))
    return PATIENCE_MS;
  while (clock_now () - start < PATIENCE_MS)
    {
      if (all_have (fleet, FLEET_ROUTER, before + 1, &routers)
          && all_have (fleet, FLEET_AGENT, before + 1, &agents))
        return (double)(clock_now () - start);
      pass (loop, ROUND_S);
    }
  return PATIENCE_MS;
}

/* A load with all that it is made of.  */
typedef struct
{
  load_account_t account;
  GPtrArray *accounts;
  GStrv urls;
  load_plan_t plan;
  load_t *load;
} traffic_t;

static traffic_t *
traffic_new (const fleet_t *fleet, struct ev_loop *loop,
             const size_row_t *size)
{
  traffic_t *traffic = g_new0 (traffic_t, 1);
  load_account_t *account = &traffic->account;

  account->name = (char *)"account";
  account->key = (char *)"key";
  account->weight = 1;
  account->outstanding = size->callers;
  account->kinds[LOAD_STREAM] = 1;
  account->think_ms = 500;
  account->min_answer_tokens = 5;
  account->max_answer_tokens = 20;
  account->router_shares = g_new (double, size->routers);
  traffic->urls = g_new0 (char *, size->routers + 1);
  for (unsigned i = 0; i < size->routers; i++)
    {
      account->router_shares[i] = 1.0 / size->routers;
      traffic->urls[i] = fleet_get_direct_url (fleet, i);
    }
  traffic->accounts = g_ptr_array_new ();
  g_ptr_array_add (traffic->accounts, account);
  traffic->plan = (load_plan_t){ .routers = size->routers,
                                 .urls = traffic->urls,
                                 .model = FLEET_MODEL_SERVICE,
                                 .plain = FLEET_PLAIN_SERVICE,
                                 .idle_timeout_ms = 10000,
                                 .accounts = traffic->accounts };
  traffic->load = load_new (loop, &traffic->plan);
  if (size->callers > 0)
    load_start (traffic->load);
  return traffic;
}

static void
traffic_free (traffic_t *traffic)
{
  load_free (traffic->load);
  g_ptr_array_unref (traffic->accounts);
  g_strfreev (traffic->urls);
  g_free (traffic->account.router_shares);
  g_free (traffic);
}

static void
measure_fleet_of (fleet_t *fleet, struct ev_loop *loop, const size_row_t *size)
{
  traffic_t *traffic = traffic_new (fleet, loop, size);
  unsigned nodes = size->routers + size->models;
  double calls[G_N_ELEMENTS (kinds)] = { 0 };
  double times[CHANGES];
  double bytes;

  pass (loop, SETTLE_S);
  add_calls (fleet, -1, calls);
  bytes = -control_bytes (fleet);
  pass (loop, WATCH_S);
  add_calls (fleet, 1, calls);
  bytes += control_bytes (fleet);
  for (unsigned i = 0; i < CHANGES; i++)
    {
      times[i] = change (fleet, loop, i);
      /* The next one at another moment of the peers' cycles.  */
      pass (loop, GAP_S * (i + 1));
    }
  qsort (times, CHANGES, sizeof *times, compare_times);
  printf ("%9u %7u", nodes, size->callers);
  for (unsigned i = 0; i < G_N_ELEMENTS (kinds); i++)
    printf (" %9.2f", calls[i] / WATCH_S);
  printf (" %9.0f %9.0f %9.0f %9u\n", bytes / WATCH_S / nodes,
          times[CHANGES / 2], times[CHANGES - 1],
          load_get_requests (traffic->load)->len);
  fflush (stdout);
  traffic_free (traffic);
}

static bool
measure (const size_row_t *size)
{
  const fleet_account_t account = { "account", "key", 1 };
  fleet_plan_t plan = { .zones = 4,
                        .routers = size->routers,
                        .models = size->models,
                        .slots = 4,
                        .slots_cold = 1,
                        .step_ms = 10,
                        .zone_ms = 1.5,
                        .caller_ms = 1,
                        .account_count = 1,
                        .accounts = &account };
  g_autoptr (GError) error = NULL;
  fleet_t *fleet = fleet_new (&plan, &error);
  struct ev_loop *loop;

  if (fleet == NULL)
    {
      fprintf (stderr, "measure-config: %s\n", error->message);
      return false;
    }
  loop = ev_loop_new (EVFLAG_AUTO);
  measure_fleet_of (fleet, loop, size);
  ev_loop_destroy (loop);
  fleet_free (fleet, false);
  return true;
}

static bool
measure_all_memory (void)
{
  bool good = true;

  printf ("resident MB of idle processes, now and at most\n"
          "accounts    router      most     agent      most\n");
  for (unsigned i = 0; good && i < G_N_ELEMENTS (memory_sizes); i++)
    good = measure_print_memory (memory_sizes[i]);
  return good;
}

int
main (int argc, char **argv)
{
  bool good = true;

  if (argc > 1 && strcmp (argv[1], "memory") == 0)
    return measure_all_memory () ? 0 : 1;
  printf ("calls a second, control bytes a node and second, and milliseconds "
          "until a change was in force\n"
          "instances callers");
  for (unsigned i = 0; i < G_N_ELEMENTS (kinds); i++)
    printf (" %9s", kinds[i]);
  printf (" %9s %9s %9s %9s\n", "bytes", "ms median", "ms most", "requests");
  fflush (stdout);
  for (unsigned i = 0; good && i < G_N_ELEMENTS (sizes); i++)
    if (argc < 2 || (guint64)i == g_ascii_strtoull (argv[1], NULL, 10))
      good = measure (&sizes[i]);
  return good ? 0 : 1;
}
