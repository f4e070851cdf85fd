/* A third of the endpoints goes in one moment under full load and comes back
   together: what callers see, and when service is back.  */

#include "collect.h"
#include <signal.h>
#include <string.h>

#define ZONES 3u
#define MODELS 6u
#define PLAINS 3u
#define LOST_MS 9000
#define BACK_MS 19000
#define END_MS 29000
#define LIMIT_MS 50000
#define STOP_MS 10000
/* Service is looked at over windows of so many samples: a second.  */
#define WINDOW (1000u / LOAD_SAMPLE_INTERVAL_MS)

static const fleet_account_t accounts[] = { { "lampang", "key-1", 2 },
                                            { "trang", "key-2", 1 },
                                            { "phayao", "key-3", 1 },
                                            { "satun", "key-4", 1 } };

static const fleet_plan_t plan = { .zones = ZONES,
                                   .routers = ZONES,
                                   .models = MODELS,
                                   .plains = PLAINS,
                                   .slots = 8,
                                   .slots_cold = 2,
                                   .plain_slots = 4,
                                   .cold_ms = 1500,
                                   .step_ms = 12,
                                   .plain_call_ms = 30,
                                   .zone_ms = 1.5,
                                   .caller_ms = 1,
                                   .seed = 21,
                                   .policy = "fleet",
                                   .account_count = G_N_ELEMENTS (accounts),
                                   .accounts = accounts };

typedef struct
{
  const char *name;
  int number;   /* signal that takes the agents */
  double least; /* service while they are gone, by the share that remains */
} case_t;

typedef struct
{
  const case_t *it;
  fleet_t *fleet;
  load_t *load;
  int64_t began_us;
  int64_t lost_us;
  int64_t back_us;
  double doubted; /* agents that each router doubts, or more, at BACK_US */
  bool ended;
  collect_result_t sum;
} run_t;

/* ---- the rack: all endpoints of zone 0, with their agents ---- */

static void
each_of_rack (run_t *run, void (*act) (run_t *run, unsigned index))
{
  for (unsigned i = 0; i < MODELS + PLAINS; i++)
    if (i % ZONES == 0)
      act (run, i);
}

/* The stand-in of an endpoint is stopped, not killed: its counts of what it
   ran are needed for the verdict.  */
static void
lose (run_t *run, unsigned index)
{
  int number = run->it->number;

  proc_stop (fleet_get_process (run->fleet, FLEET_ENDPOINT, index), SIGSTOP,
             0);
  proc_stop (fleet_get_process (run->fleet, FLEET_AGENT, index), number,
             number == SIGSTOP ? 0 : STOP_MS);
}

static void
bring_back (run_t *run, unsigned index)
{
  proc_t *agent = fleet_get_process (run->fleet, FLEET_AGENT, index);
  g_autofree char *base = fleet_get_url (run->fleet, FLEET_ENDPOINT, index);
  g_autofree char *url = g_strconcat (base, "/control", NULL);
  g_autoptr (GError) error = NULL;
  long status = 200;

  if (run->it->number == SIGSTOP)
    proc_stop (agent, SIGKILL, STOP_MS);
  proc_stop (fleet_get_process (run->fleet, FLEET_ENDPOINT, index), SIGCONT,
             0);
  if (index < MODELS)
    g_free (proc_send_http ("PUT", url, NULL, "{\"cold\":true}", &status));
  g_assert_cmpint (status, ==, 200);
  (void)proc_restart (fleet_get_processes (run->fleet), agent, &error);
  g_assert_no_error (error);
}

static double
least_doubted (const run_t *run)
{
  double least = MODELS + PLAINS;

  for (unsigned i = 0; i < plan.routers; i++)
    {
      double doubted = fleet_sum_metric (run->fleet, FLEET_ROUTER, i,
                                         "cfd_router_agents_doubted");

      least = MIN (least, doubted);
    }
  return least;
}

static void
on_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  run_t *run = watcher->data;
  int64_t now = clock_now_us ();
  int64_t ms = (now - run->began_us) / 1000;

  if (run->lost_us == 0 && ms >= LOST_MS)
    {
      run->lost_us = now;
      each_of_rack (run, lose);
    }
  if (run->back_us == 0 && ms >= BACK_MS)
    {
      run->doubted = least_doubted (run);
      run->back_us = now;
      each_of_rack (run, bring_back);
    }
  if (!run->ended && ms >= END_MS)
    {
      run->ended = true;
      load_stop (run->load);
    }
  if (ms >= LIMIT_MS || (run->ended && load_count_active (run->load) == 0))
    ev_break (loop, EVBREAK_ALL);
}

/* ---- judgement ---- */

/* Tokens a second over the window that begins with sample AT.  */
static double
rate (const GPtrArray *samples, guint at)
{
  const load_sample_t *first = samples->pdata[at];
  const load_sample_t *last = samples->pdata[at + WINDOW];

  return (last->tokens - first->tokens) * 1e6
         / (double)(last->at_us - first->at_us);
}

static guint
sample_at (const GPtrArray *samples, int64_t at_us)
{
  guint i = 0;

  while (i + 1 < samples->len
         && ((const load_sample_t *)samples->pdata[i])->at_us < at_us)
    i++;
  return i;
}

static double
mean_rate (const GPtrArray *samples, int64_t from_us, int64_t to_us)
{
  const load_sample_t *first = samples->pdata[sample_at (samples, from_us)];
  const load_sample_t *last = samples->pdata[sample_at (samples, to_us)];

  return (last->tokens - first->tokens) * 1e6
         / (double)(last->at_us - first->at_us);
}

/* Seconds from FROM until a whole second has LEAST tokens; -1: never.  */
static double
seconds_until (const GPtrArray *samples, int64_t from_us, double least)
{
  for (guint i = sample_at (samples, from_us); i + WINDOW < samples->len; i++)
    if (rate (samples, i) >= least)
      return (double)(((const load_sample_t *)samples->pdata[i])->at_us
                      - from_us)
             / 1e6;
  return -1;
}

static double
routers_metric (const run_t *run, const char *name)
{
  double sum = 0;

  for (unsigned i = 0; i < plan.routers; i++)
    sum += fleet_sum_metric (run->fleet, FLEET_ROUTER, i, name);
  return sum;
}

/* Longest time in which a caller that in the end got no whole answer heard
   nothing: how long it was left without an end.  */
static double
longest_without_end (const run_t *run)
{
  const GPtrArray *requests = load_get_requests (run->load);
  double longest = 0;

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = requests->pdata[i];
      int64_t from = MAX (request->started_us, run->lost_us);

      if (request->end == LOAD_INCOMPLETE || request->end == LOAD_REFUSED)
        longest = MAX (longest, (double)(request->last_us - from) / 1e6);
    }
  return longest;
}

static void
judge (run_t *run)
{
  const GPtrArray *samples = load_get_samples (run->load);
  double before = mean_rate (samples, run->lost_us - 2000000, run->lost_us);
  double share = before * (ZONES - 1) / ZONES;
  double gone
      = mean_rate (samples, run->lost_us + 1000000, run->back_us) / share;
  double back = mean_rate (samples, run->back_us + 5000000,
                           run->began_us + END_MS * 1000LL)
                / before;

  g_test_message ("%u requests: %u refused, %u broken; %g retried, "
                  "%g returned, longest without an end %.1f s",
                  run->sum.requests, run->sum.refused, run->sum.broken,
                  routers_metric (run, "cfd_router_retried_total"),
                  routers_metric (run, "cfd_router_returned_total"),
                  longest_without_end (run));
  g_test_message ("tokens a second before %.0f; gone: %.3f of the share that "
                  "remains, 0.9 of it after %.2f s; back: %.3f from 5 s on, "
                  "0.9 after %.2f s; %u overloads, %u in grace",
                  before, gone,
                  seconds_until (samples, run->lost_us, 0.9 * share), back,
                  seconds_until (samples, run->back_us, 0.9 * before),
                  run->sum.overload_count, run->sum.overload_in_grace);
  for (unsigned i = 0; i < G_N_ELEMENTS (accounts); i++)
    {
      const load_sample_t *from
          = samples->pdata[sample_at (samples, run->lost_us)];
      const load_sample_t *to
          = samples->pdata[sample_at (samples, run->back_us)];

      g_test_message ("%s got %.0f weighted tokens while gone",
                      accounts[i].name, to->service[i] - from->service[i]);
    }
  g_test_message ("%g agents in doubt at each router, or more, at the return",
                  run->doubted);
  g_assert_cmpfloat (gone, >=, run->it->least);
  /* Else new work goes on being told to the dead first.  All three of the
     rack are in doubt; a router without work for one has no link to lose.  */
  g_assert_cmpfloat (run->doubted, >=, 1);
  g_assert_cmpfloat (back, >=, 0.8);
  /* Only what ran in the rack at that moment may end without an answer.  */
  g_assert_cmpuint (run->sum.refused + run->sum.broken, <=,
                    MODELS / ZONES * plan.slots
                        + PLAINS / ZONES * plan.plain_slots);
  g_assert_true (collect_has_no_violation (&run->sum));
  g_assert_cmpuint (run->sum.unfinished, ==, 0);
}

/* ---- a run ---- */

static void
add_accounts (GPtrArray *members, double *router_shares)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (accounts); i++)
    {
      load_account_t *load = g_new0 (load_account_t, 1);

      *load = (load_account_t){ .name = (char *)accounts[i].name,
                                .key = (char *)accounts[i].key,
                                .weight = accounts[i].weight,
                                .outstanding = 24,
                                .kinds = { 6, 1, 2, 2, 1, 1 },
                                .router_shares = router_shares,
                                .min_answer_tokens = 16,
                                .max_answer_tokens = 48 };
      g_ptr_array_add (members, load);
    }
}

static void
run_rack (gconstpointer data)
{
  run_t run = { .it = data };
  double router_shares[] = { 1.0 / ZONES, 1.0 / ZONES, 1.0 / ZONES };
  char *urls[ZONES];
  g_autoptr (GError) error = NULL;
  g_autoptr (GPtrArray) members = g_ptr_array_new_with_free_func (g_free);
  load_plan_t load_plan = { .seed = 8,
                            .answer_seed = plan.seed,
                            .routers = ZONES,
                            .urls = urls,
                            .model = FLEET_MODEL_SERVICE,
                            .plain = FLEET_PLAIN_SERVICE,
                            .idle_timeout_ms = 20000,
                            .accounts = members };
  struct ev_loop *loop = ev_loop_new (0);
  ev_timer check;

  run.fleet = fleet_new (&plan, &error);
  g_assert_no_error (error);
  for (unsigned i = 0; i < ZONES; i++)
    urls[i] = fleet_get_url (run.fleet, FLEET_ROUTER, i);
  add_accounts (members, router_shares);
  run.load = load_new (loop, &load_plan);
  ev_timer_init (&check, on_check, 0.02, 0.02);
  check.data = &run;
  ev_timer_start (loop, &check);
  run.began_us = clock_now_us ();
  load_start (run.load);
  ev_run (loop, 0);
  g_assert_true (collect_results (run.fleet, run.load, &run.sum));
  judge (&run);
  load_free (run.load);
  ev_loop_destroy (loop);
  fleet_free (run.fleet, false);
  for (unsigned i = 0; i < ZONES; i++)
    g_free (urls[i]);
}

/* The rack's agents die with what ran there.  Callers of begun answers and of
   posts see a true end; what may be repeated is answered by the others, which
   serve their share on.  On return the engines are cold and get no more than
   they bear.  */
static const case_t killed = { "killed", SIGKILL, 0.85 };
/* The same by a loss of power: no connection is closed, the links go silent.
   The slots elsewhere must not wait for it.  */
static const case_t silent = { "silent", SIGSTOP, 0.8 };

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/rack-faults/killed", &killed, run_rack);
  g_test_add_data_func ("/rack-faults/silent", &silent, run_rack);
  return g_test_run ();
}
