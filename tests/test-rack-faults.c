/* A third of the endpoints fails at once under full load and returns at once:
   what callers see, and how soon service recovers.  */

#include "collect.h"
#include <signal.h>
#include <string.h>

#define ZONES 3u
#define MODELS 6u
#define PLAINS 3u
#define FAIL_MS 9000
#define RESTORE_MS 19000
#define END_MS 29000
#define MAX_RUN_MS 50000
#define MAX_STOP_MS 10000
/* Samples per second; service is measured over windows of this length.  */
#define WINDOW_SAMPLES (1000u / LOAD_SAMPLE_INTERVAL_MS)

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
  int signal_number; /* sent to the agents */
  double min_share;  /* of the expected service while the rack is down */
} rack_case_t;

typedef struct
{
  const rack_case_t *rack_case;
  fleet_t *fleet;
  load_t *load;
  int64_t start_us;
  int64_t failed_us;
  int64_t restored_us;
  double suspected_agents; /* at RESTORED_US, the smallest number that a router
                              suspects */
  bool load_stopped;
  collect_result_t totals;
} rack_run_t;

/* ---- the rack: the endpoints of zone 0 and their agents ---- */

static void
for_each_in_rack (rack_run_t *run,
                  void (*action) (rack_run_t *run, unsigned index))
{
  for (unsigned i = 0; i < MODELS + PLAINS; i++)
    if (i % ZONES == 0)
      action (run, i);
}

/* The stand-in of an endpoint is frozen, not killed: its counters are needed
   for the checks at the end.  */
static void
fail_member (rack_run_t *run, unsigned index)
{
  int signal_number = run->rack_case->signal_number;

  proc_stop (fleet_get_process (run->fleet, FLEET_ENDPOINT, index), SIGSTOP,
             0);
  proc_stop (fleet_get_process (run->fleet, FLEET_AGENT, index), signal_number,
             signal_number == SIGSTOP ? 0 : MAX_STOP_MS);
}

static void
restore_member (rack_run_t *run, unsigned index)
{
  proc_t *agent = fleet_get_process (run->fleet, FLEET_AGENT, index);
  g_autofree char *base = fleet_get_url (run->fleet, FLEET_ENDPOINT, index);
  g_autofree char *url = g_strconcat (base, "/control", NULL);
  g_autoptr (GError) error = NULL;
  long status = 200;

  if (run->rack_case->signal_number == SIGSTOP)
    proc_stop (agent, SIGKILL, MAX_STOP_MS);
  proc_stop (fleet_get_process (run->fleet, FLEET_ENDPOINT, index), SIGCONT,
             0);
  if (index < MODELS)
    g_free (proc_send_http ("PUT", url, NULL, "{\"cold\":true}", &status));
  g_assert_cmpint (status, ==, 200);
  (void)proc_restart (fleet_get_processes (run->fleet), agent, &error);
  g_assert_no_error (error);
}

static double
min_suspected_agents (const rack_run_t *run)
{
  double min_count = MODELS + PLAINS;

  for (unsigned i = 0; i < plan.routers; i++)
    {
      double suspected_agents = fleet_sum_metric (run->fleet, FLEET_ROUTER, i,
                                                  "cfd_router_agents_doubted");

      min_count = MIN (min_count, suspected_agents);
    }
  return min_count;
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  rack_run_t *run = watcher->data;
  int64_t now = clock_now_us ();
  int64_t ms = (now - run->start_us) / 1000;

  if (run->failed_us == 0 && ms >= FAIL_MS)
    {
      run->failed_us = now;
      for_each_in_rack (run, fail_member);
    }
  if (run->restored_us == 0 && ms >= RESTORE_MS)
    {
      run->suspected_agents = min_suspected_agents (run);
      run->restored_us = now;
      for_each_in_rack (run, restore_member);
    }
  if (!run->load_stopped && ms >= END_MS)
    {
      run->load_stopped = true;
      load_stop (run->load);
    }
  if (ms >= MAX_RUN_MS
      || (run->load_stopped && load_count_active (run->load) == 0))
    ev_break (loop, EVBREAK_ALL);
}

/* ---- checks ---- */

/* Tokens per second over the window that begins with sample AT.  */
static double
window_token_rate (const GPtrArray *samples, guint at)
{
  const load_sample_t *first = samples->pdata[at];
  const load_sample_t *last = samples->pdata[at + WINDOW_SAMPLES];

  return (last->tokens - first->tokens) * 1e6
         / (double)(last->at_us - first->at_us);
}

static guint
find_sample (const GPtrArray *samples, int64_t at_us)
{
  guint i = 0;

  while (i + 1 < samples->len
         && ((const load_sample_t *)samples->pdata[i])->at_us < at_us)
    i++;
  return i;
}

static double
mean_token_rate (const GPtrArray *samples, int64_t from_us, int64_t to_us)
{
  const load_sample_t *first = samples->pdata[find_sample (samples, from_us)];
  const load_sample_t *last = samples->pdata[find_sample (samples, to_us)];

  return (last->tokens - first->tokens) * 1e6
         / (double)(last->at_us - first->at_us);
}

/* Seconds from FROM_US until the rate over a window is at least MIN_RATE
   tokens per second; -1 when it never is.  */
static double
seconds_until_rate (const GPtrArray *samples, int64_t from_us, double min_rate)
{
  for (guint i = find_sample (samples, from_us);
       i + WINDOW_SAMPLES < samples->len; i++)
    if (window_token_rate (samples, i) >= min_rate)
      return (double)(((const load_sample_t *)samples->pdata[i])->at_us
                      - from_us)
             / 1e6;
  return -1;
}

static double
sum_router_metric (const rack_run_t *run, const char *name)
{
  double sum = 0;

  for (unsigned i = 0; i < plan.routers; i++)
    sum += fleet_sum_metric (run->fleet, FLEET_ROUTER, i, name);
  return sum;
}

/* Longest wait for the end of a request that was refused or truncated, counted
   from its start or the failure of the rack, whichever is later.  */
static double
longest_failed_wait_s (const rack_run_t *run)
{
  const GPtrArray *requests = load_get_requests (run->load);
  double longest_s = 0;

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = requests->pdata[i];
      int64_t wait_start_us = MAX (request->started_us, run->failed_us);

      if (request->end == LOAD_INCOMPLETE || request->end == LOAD_REFUSED)
        longest_s = MAX (longest_s,
                         (double)(request->last_us - wait_start_us) / 1e6);
    }
  return longest_s;
}

static void
verify_service (rack_run_t *run)
{
  const GPtrArray *samples = load_get_samples (run->load);
  double token_rate_before
      = mean_token_rate (samples, run->failed_us - 2000000, run->failed_us);
  double expected_rate = token_rate_before * (ZONES - 1) / ZONES;
  double share_while_failed
      = mean_token_rate (samples, run->failed_us + 1000000, run->restored_us)
        / expected_rate;
  double share_when_restored
      = mean_token_rate (samples, run->restored_us + 5000000,
                         run->start_us + END_MS * 1000LL)
        / token_rate_before;

  g_test_message ("%u requests: %u refused, %u broken; %g retried, "
                  "%g returned, longest wait for a failure %.1f s",
                  run->totals.requests, run->totals.refused,
                  run->totals.broken,
                  sum_router_metric (run, "cfd_router_retried_total"),
                  sum_router_metric (run, "cfd_router_returned_total"),
                  longest_failed_wait_s (run));
  g_test_message (
      "tokens per second before the failure %.0f; rack down: %.3f of the "
      "expected rate, 0.9 of it after %.2f s; restored: %.3f of the rate "
      "before from 5 s on, 0.9 after %.2f s; %u overloads, %u in grace",
      token_rate_before, share_while_failed,
      seconds_until_rate (samples, run->failed_us, 0.9 * expected_rate),
      share_when_restored,
      seconds_until_rate (samples, run->restored_us, 0.9 * token_rate_before),
      run->totals.overload_count, run->totals.overload_in_grace);
  for (unsigned i = 0; i < G_N_ELEMENTS (accounts); i++)
    {
      const load_sample_t *first
          = samples->pdata[find_sample (samples, run->failed_us)];
      const load_sample_t *last
          = samples->pdata[find_sample (samples, run->restored_us)];

      g_test_message ("%s got %.0f weighted tokens while the rack was down",
                      accounts[i].name, last->service[i] - first->service[i]);
    }
  g_test_message ("at least %g agents suspected by each router at the return",
                  run->suspected_agents);
  g_assert_cmpfloat (share_while_failed, >=, run->rack_case->min_share);
  /* A router that suspects no agent keeps offering new requests to the failed
     ones first.  All three of the rack are suspected, except by a router
     without requests for one of them: it has no link that could fail.  */
  g_assert_cmpfloat (run->suspected_agents, >=, 1);
  g_assert_cmpfloat (share_when_restored, >=, 0.8);
  /* Only requests that ran in the rack when it failed may get no answer.  */
  g_assert_cmpuint (run->totals.refused + run->totals.broken, <=,
                    MODELS / ZONES * plan.slots
                        + PLAINS / ZONES * plan.plain_slots);
  g_assert_true (collect_has_no_violation (&run->totals));
  g_assert_cmpuint (run->totals.unfinished, ==, 0);
}

/* ---- cases ---- */

static void
add_account_loads (GPtrArray *account_loads, double *router_shares)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (accounts); i++)
    {
      load_account_t *account_load = g_new0 (load_account_t, 1);

      *account_load = (load_account_t){ .name = (char *)accounts[i].name,
                                        .key = (char *)accounts[i].key,
                                        .weight = accounts[i].weight,
                                        .outstanding = 24,
                                        .kinds = { 6, 1, 2, 2, 1, 1 },
                                        .router_shares = router_shares,
                                        .min_answer_tokens = 16,
                                        .max_answer_tokens = 48 };
      g_ptr_array_add (account_loads, account_load);
    }
}

static void
run_rack_case (gconstpointer data)
{
  rack_run_t run = { .rack_case = data };
  double router_shares[] = { 1.0 / ZONES, 1.0 / ZONES, 1.0 / ZONES };
  char *urls[ZONES];
  g_autoptr (GError) error = NULL;
  g_autoptr (GPtrArray) account_loads
      = g_ptr_array_new_with_free_func (g_free);
  load_plan_t load_plan = { .seed = 8,
                            .answer_seed = plan.seed,
                            .routers = ZONES,
                            .urls = urls,
                            .model = FLEET_MODEL_SERVICE,
                            .plain = FLEET_PLAIN_SERVICE,
                            .idle_timeout_ms = 20000,
                            .accounts = account_loads };
  struct ev_loop *loop = ev_loop_new (0);
  ev_timer check;

  run.fleet = fleet_new (&plan, &error);
  g_assert_no_error (error);
  for (unsigned i = 0; i < ZONES; i++)
    urls[i] = fleet_get_url (run.fleet, FLEET_ROUTER, i);
  add_account_loads (account_loads, router_shares);
  run.load = load_new (loop, &load_plan);
  ev_timer_init (&check, on_timer, 0.02, 0.02);
  check.data = &run;
  ev_timer_start (loop, &check);
  run.start_us = clock_now_us ();
  load_start (run.load);
  ev_run (loop, 0);
  g_assert_true (collect_results (run.fleet, run.load, &run.totals));
  verify_service (&run);
  load_free (run.load);
  ev_loop_destroy (loop);
  fleet_free (run.fleet, false);
  for (unsigned i = 0; i < ZONES; i++)
    g_free (urls[i]);
}

/* The rack's agents are killed with their requests.  Callers of partly
   delivered answers and of POSTs get a correct error; requests that may be
   repeated are answered by the other agents, which keep serving their share.
   The engines return cold and get no more than their cold capacity.  */
static const rack_case_t killed = { "killed", SIGKILL, 0.85 };
/* The same by a loss of power: no connection is closed and the links go
   silent.  The slots of other agents must not stay idle until that is
   detected.  */
static const rack_case_t silent = { "silent", SIGSTOP, 0.8 };

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/rack-faults/killed", &killed, run_rack_case);
  g_test_add_data_func ("/rack-faults/silent", &silent, run_rack_case);
  return g_test_run ();
}
