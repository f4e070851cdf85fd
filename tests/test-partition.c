/* Fair share in a whole fleet across a network partition and its end, and when
   the home router of accounts fails.  */

#include "collect.h"
#include "measure.h"

#include <signal.h>

#define MAX_DRAIN_S 20
#define WARM_UP_S 3
/* Time for links that were silent to be reopened and for the platform's
   configuration to arrive.  */
#define REJOIN_S 3
/* Virtual times may differ from the floor by the window in either direction;
   running requests and inexact hints add the rest, as without faults.  */
#define MAX_GAP_TOKENS 1700
/* When a home moves, no virtual time reaches the bounds of the window.  */
#define MAX_MOVED_GAP_TOKENS 900
#define ROUTERS 5u
#define HOME_ROUTER 4u

/* With five routers, router 4 is the home of the first two accounts.  */
static const fleet_account_t accounts[] = { { "trat", "key-of-trat", 1 },
                                            { "roi-et", "key-of-roi-et", 1 },
                                            { "yala", "key-of-yala", 1 },
                                            { "surin", "key-of-surin", 1 } };

#define ACCOUNTS G_N_ELEMENTS (accounts)

static const fleet_plan_t plan = { .zones = 2,
                                   .routers = 2,
                                   .models = 2,
                                   .slots = 8,
                                   .slots_cold = 8,
                                   .plain_slots = 4,
                                   .step_ms = 12,
                                   .zone_ms = 1.5,
                                   .caller_ms = 1,
                                   .seed = 23,
                                   .policy = "fleet",
                                   .account_count = ACCOUNTS,
                                   .accounts = accounts };

typedef struct
{
  struct ev_loop *loop;
  fleet_t *fleet;
  load_t *load;
  load_plan_t load_plan;
  load_account_t accounts[ACCOUNTS];
} scene_t;

/* ROUTER_SHARES holds, for each account, the share that each router gets.  */
static scene_t *
scene_new (const fleet_plan_t *fleet, double (*router_shares)[ROUTERS])
{
  scene_t *scene = g_new0 (scene_t, 1);
  g_autoptr (GError) error = NULL;

  scene->loop = ev_loop_new (EVFLAG_AUTO);
  scene->fleet = fleet_new (fleet, &error);
  g_assert_no_error (error);
  scene->load_plan = (load_plan_t){ .seed = 1,
                                    .answer_seed = fleet->seed,
                                    .routers = fleet->routers,
                                    .urls = g_new0 (char *, ROUTERS + 1),
                                    .model = FLEET_MODEL_SERVICE,
                                    .plain = FLEET_PLAIN_SERVICE,
                                    .idle_timeout_ms = 30000,
                                    .accounts = g_ptr_array_new () };
  for (unsigned i = 0; i < fleet->routers; i++)
    scene->load_plan.urls[i] = fleet_get_url (scene->fleet, FLEET_ROUTER, i);
  for (unsigned i = 0; i < ACCOUNTS; i++)
    {
      scene->accounts[i] = (load_account_t){ .name = (char *)accounts[i].name,
                                             .key = (char *)accounts[i].key,
                                             .weight = accounts[i].weight,
                                             .outstanding = 30,
                                             .router_shares = router_shares[i],
                                             .min_answer_tokens = 16,
                                             .max_answer_tokens = 48 };
      scene->accounts[i].kinds[LOAD_STREAM] = 1;
      g_ptr_array_add (scene->load_plan.accounts, &scene->accounts[i]);
    }
  scene->load = load_new (scene->loop, &scene->load_plan);
  load_start (scene->load);
  return scene;
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  ev_break (loop, EVBREAK_ALL);
}

static void
scene_run (scene_t *scene, double seconds)
{
  ev_timer timeout;

  ev_timer_init (&timeout, on_timeout, seconds, 0);
  ev_timer_start (scene->loop, &timeout);
  ev_run (scene->loop, 0);
}

/* Stops the load and checks the callers' results.  */
static void
scene_free (scene_t *scene)
{
  collect_result_t sum;

  load_stop (scene->load);
  for (unsigned i = 0; i < MAX_DRAIN_S && load_count_active (scene->load) > 0;
       i++)
    scene_run (scene, 1);
  g_assert_true (collect_results (scene->fleet, scene->load, &sum));
  g_assert_cmpuint (sum.wrong_answers + sum.duplicate_runs + sum.false_not_run,
                    ==, 0);
  load_free (scene->load);
  fleet_free (scene->fleet, false);
  g_strfreev (scene->load_plan.urls);
  g_ptr_array_unref (scene->load_plan.accounts);
  ev_loop_destroy (scene->loop);
  g_free (scene);
}

static double
measure_gap_since (const scene_t *scene, int64_t from_us)
{
  fair_gap_t gap = fair_gap (load_get_samples (scene->load), FAIR_RECEIVED,
                             ACCOUNTS, from_us, clock_now_us ());

  g_test_message ("gap %.0f: %s and %s", gap.tokens, accounts[gap.a].name,
                  accounts[gap.b].name);
  return gap.tokens;
}

/* Two zones are partitioned for 20 s, and one of them is also cut off from the
   platform.  Both keep serving: one account has requests on both sides and
   gets a share on each, one on the first side only, and two on the second side
   only, where they get less.  Soon after the partition ends all accounts get
   equal service again.  Without the bounds on virtual time, the account of
   both sides would wait until the others have caught up, and the two accounts
   of the second side would get all service until then: for as long as the
   partition lasted, or longer.  */
static void
test_rejoin (void)
{
  double router_shares[ACCOUNTS][ROUTERS]
      = { { 0.5, 0.5 }, { 1, 0 }, { 0, 1 }, { 0, 1 } };
  const unsigned sides[] = { 0, 1 };
  scene_t *scene = scene_new (&plan, router_shares);

  scene_run (scene, WARM_UP_S);
  g_assert_true (fleet_set_partition (scene->fleet, sides, true));
  g_assert_true (fleet_set_platform_partition (scene->fleet, sides, 1, true));
  scene_run (scene, 20);
  g_assert_true (fleet_set_partition (scene->fleet, sides, false));
  g_assert_true (fleet_set_platform_partition (scene->fleet, sides, 1, false));
  scene_run (scene, REJOIN_S);
  int64_t rejoined_us = clock_now_us ();
  scene_run (scene, 7);
  g_assert_cmpfloat (measure_gap_since (scene, rejoined_us), <,
                     MAX_GAP_TOKENS);
  scene_free (scene);
}

/* Two accounts send requests to four routers and have the fifth one as their
   home, which gets SIGNAL and returns 5 s later.  Returns the largest gap from
   the signal on.  */
static double
measure_gap_without_home (int signal_number)
{
  double router_shares[ACCOUNTS][ROUTERS] = { { 0.25, 0.25, 0.25, 0.25, 0 },
                                              { 0.25, 0.25, 0.25, 0.25, 0 },
                                              { 1, 0, 0, 0, 0 },
                                              { 0, 1, 0, 0, 0 } };
  fleet_plan_t one_zone = plan;

  one_zone.zones = 1;
  one_zone.routers = ROUTERS;
  scene_t *scene = scene_new (&one_zone, router_shares);
  proc_t *home = fleet_get_process (scene->fleet, FLEET_ROUTER, HOME_ROUTER);

  scene_run (scene, WARM_UP_S);
  g_assert_cmpfloat (fleet_sum_metric (scene->fleet, FLEET_ROUTER, HOME_ROUTER,
                                       "cfd_router_accounts{side=\"home\"}"),
                     ==, 2);
  int64_t failed_us = clock_now_us ();
  /* Don't wait for the exit: that would block the load, which runs in this
     process.  */
  (void)proc_stop (home, signal_number, 0);
  scene_run (scene, 5);
  if (proc_is_running (home))
    (void)proc_stop (home, SIGCONT, 0);
  else
    g_assert_true (
        proc_restart (fleet_get_processes (scene->fleet), home, NULL));
  scene_run (scene, 5);
  double gap = measure_gap_since (scene, failed_us);
  scene_free (scene);
  return gap;
}

/* The home is killed and restarted without state.  The callers' shares stay
   the same throughout: the accounts move at once to another home, which is
   rebuilt from the values that the four routers received last, and back. While
   an account has no home, each of its routers knows only its own part and the
   account gets a share at each.  */
static void
test_home_killed (void)
{
  double gap = measure_gap_without_home (SIGKILL);

  g_assert_cmpfloat (gap, <, MAX_MOVED_GAP_TOKENS);
}

/* The home freezes: its links stay open and accept reports, but no answer
   comes.  The callers' shares stay the same: the accounts move when answers
   are overdue, before the links are detected as silent, and return to a home
   that has outdated counters and answers old reports.  */
static void
test_home_frozen (void)
{
  double gap = measure_gap_without_home (SIGSTOP);

  g_assert_cmpfloat (gap, <, MAX_MOVED_GAP_TOKENS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/partition/rejoin", test_rejoin);
  g_test_add_func ("/partition/home-killed", test_home_killed);
  g_test_add_func ("/partition/home-frozen", test_home_frozen);
  return g_test_run ();
}
