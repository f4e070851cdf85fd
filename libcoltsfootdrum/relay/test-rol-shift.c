/* Tests of rollouts: the traffic of a good target moves within the allowed
   exposure, and a completed rollout leaves nothing at the baseline.  */

#include "test-rol-scene.h"

#define ROUTERS 4
#define TICK_MS 25
/* Requests of each router in a tick.  */
#define PER_TICK 5
/* Ticks that a request runs.  */
#define RUN_TICKS 2

/* A fleet of routers with the same traffic, on a simulated clock.  */
typedef struct
{
  scene_t routers[ROUTERS];
  rte_route_t *route;
  cfd_time_t now;
  unsigned tick;
  unsigned running[ROUTERS][RUN_TICKS]; /* at the baseline, by their end */
  unsigned sent;
  unsigned canaries;
  double failure_rate;  /* of the target */
  double failed;        /* a fraction of an answer is carried on */
  bool is_cut[ROUTERS]; /* sends and receives nothing */
} fleet_t;

static rol_rollout_t *
get_rollout (fleet_t *fleet, unsigned i)
{
  return rol_find (fleet->routers[i].rol, "app");
}

static fleet_t *
fleet_new (int64_t duration_ms, double slack)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);

  fleet->now = NOW;
  fleet->route = scene_route_new ("r");
  for (unsigned i = 0; i < ROUTERS; i++)
    {
      fleet->routers[i] = scene_new (SHARE);
      fleet->routers[i].rol->settings.exposure_slack = slack;
      scene_start_rollout (&fleet->routers[i]);
      get_rollout (fleet, i)->order->duration_ms = duration_ms;
      rol_set_router_count (fleet->routers[i].rol, ROUTERS);
    }
  return fleet;
}

static void
fleet_free (fleet_t *fleet)
{
  for (unsigned i = 0; i < ROUTERS; i++)
    scene_free (&fleet->routers[i]);
  rte_route_free (fleet->route);
  g_free (fleet);
}

static void
send_one (fleet_t *fleet, unsigned i)
{
  scene_t *router = &fleet->routers[i];
  rol_rollout_t *rollout = get_rollout (fleet, i);
  bool is_canary = rollout != NULL
                   && rol_allows_canary (router->rol, rollout, fleet->route,
                                         fleet->now, false);
  bool failed = false;

  fleet->sent++;
  fleet->canaries += is_canary;
  if (!is_canary)
    fleet->running[i][fleet->tick % RUN_TICKS]++;
  if (rollout == NULL)
    return;
  rol_count_send (router->rol, rollout, fleet->route, fleet->now, is_canary);
  if (is_canary)
    {
      fleet->failed += fleet->failure_rate;
      failed = fleet->failed >= 1.;
      fleet->failed -= failed ? 1. : 0.;
    }
  scene_count_answers (router, fleet->route, 1, is_canary, failed);
}

static void
run_router (fleet_t *fleet, unsigned i)
{
  edp_t *baseline = edp_set_find (fleet->routers[i].endpoints, "a");
  unsigned active = 0;

  fleet->running[i][fleet->tick % RUN_TICKS] = 0;
  for (unsigned n = 0; n < PER_TICK; n++)
    send_one (fleet, i);
  for (unsigned n = 0; n < RUN_TICKS; n++)
    active += fleet->running[i][n];
  baseline->active = active;
  rol_tick (fleet->routers[i].rol, fleet->now);
}

static void
exchange_all (fleet_t *fleet)
{
  for (unsigned from = 0; from < ROUTERS; from++)
    for (unsigned to = 0; to < ROUTERS; to++)
      if (from != to && !fleet->is_cut[from] && !fleet->is_cut[to])
        scene_exchange (&fleet->routers[from], &fleet->routers[to], from + 1,
                        fleet->now);
}

static void
run_fleet (fleet_t *fleet, int64_t until_ms)
{
  while (fleet->now < NOW + until_ms)
    {
      fleet->now += TICK_MS;
      fleet->tick++;
      for (unsigned i = 0; i < ROUTERS; i++)
        run_router (fleet, i);
      if (fleet->tick % 8 == 0)
        exchange_all (fleet);
    }
}

static void
note_write (void *user, const rol_order_t *order, rol_state_t wanted)
{
  *(rol_state_t *)user = wanted;
}

/* Returns the state that router I wants to write; ROL_ORDERED when none.  */
static rol_state_t
get_write (fleet_t *fleet, unsigned i)
{
  rol_state_t wanted = ROL_ORDERED;

  rol_foreach_write (fleet->routers[i].rol, note_write, &wanted);
  return wanted;
}

static unsigned
count_active (fleet_t *fleet)
{
  unsigned active = 0;

  for (unsigned i = 0; i < ROUTERS; i++)
    active += edp_set_find (fleet->routers[i].endpoints, "a")->active;
  return active;
}

/* A good target is completed before its deadline.  Until then it gets no more
   than the allowed exposure; when the state is wanted, nothing runs at the
   baseline.  */
static void
test_completed (void)
{
  fleet_t *fleet = fleet_new (20000, 50.);

  run_fleet (fleet, 15000);
  g_assert_cmpint (get_write (fleet, 0), ==, ROL_ORDERED);
  while (fleet->now < NOW + 20000 && get_write (fleet, 0) != ROL_COMPLETED)
    run_fleet (fleet, fleet->now - NOW + TICK_MS);
  g_assert_cmpint (get_write (fleet, 0), ==, ROL_COMPLETED);
  g_assert_cmpuint (count_active (fleet), ==, 0);
  run_fleet (fleet, 20000);
  g_assert_cmpfloat (fleet->canaries, <=, fleet->sent * SHARE + 50.);
  fleet_free (fleet);
}

/* A target that turns bad just before the deadline has got no more than the
   allowed exposure, and is rolled back.  */
static void
test_bad_at_the_end (void)
{
  fleet_t *fleet = fleet_new (20000, 50.);

  run_fleet (fleet, 19400);
  fleet->failure_rate = 0.5;
  run_fleet (fleet, 20000);
  g_assert_cmpfloat (fleet->canaries, <=, fleet->sent * SHARE + 50.);
  g_assert_cmpint (get_write (fleet, 0), ==, ROL_ROLLED_BACK);
  fleet_free (fleet);
}

/* An order that is too short for the trial: the traffic moves step by step
   after the deadline.  */
static void
test_steps_after_deadline (void)
{
  fleet_t *fleet = fleet_new (3000, 0.);

  run_fleet (fleet, 3000);
  g_assert_cmpfloat (fleet->canaries, <=, fleet->sent * SHARE);
  run_fleet (fleet, 5000);
  g_assert_cmpfloat (get_rollout (fleet, 0)->target_share, ==, 0.25);
  run_fleet (fleet, 7000);
  g_assert_cmpfloat (get_rollout (fleet, 0)->target_share, ==, 0.5);
  run_fleet (fleet, 10000);
  g_assert_cmpint (get_write (fleet, 0), ==, ROL_COMPLETED);
  g_assert_cmpuint (count_active (fleet), ==, 0);
  fleet_free (fleet);
}

/* A target that turns bad when it gets more traffic is rolled back.  */
static void
test_bad_under_load (void)
{
  fleet_t *fleet = fleet_new (3000, 0.);

  run_fleet (fleet, 5000);
  fleet->failure_rate = 0.2;
  run_fleet (fleet, 10000);
  g_assert_cmpint (get_write (fleet, 0), ==, ROL_ROLLED_BACK);
  fleet_free (fleet);
}

/* A target with fewer slots than the service needs is not completed.  */
static void
test_small_target (void)
{
  fleet_t *fleet = fleet_new (5000, 0.);

  for (unsigned i = 0; i < ROUTERS; i++)
    edp_set_find (fleet->routers[i].endpoints, "c")->report->slots = 2;
  run_fleet (fleet, 20000);
  g_assert_cmpint (get_write (fleet, 0), ==, ROL_ORDERED);
  g_assert_cmpint (get_rollout (fleet, 0)->wait, ==, ROL_WAIT_CAPACITY);
  fleet_free (fleet);
}

/* A router that is cut off from the others may still have requests at the
   baseline: as long as it counts as alive, nothing is completed.  */
static void
test_unheard_router (void)
{
  fleet_t *fleet = fleet_new (5000, 0.);

  fleet->is_cut[1] = true;
  run_fleet (fleet, 20000);
  g_assert_cmpint (get_write (fleet, 0), ==, ROL_ORDERED);
  g_assert_cmpint (get_rollout (fleet, 0)->wait, ==, ROL_WAIT_ROUTERS);
  rol_set_router_count (fleet->routers[0].rol, ROUTERS - 1);
  run_fleet (fleet, 21000);
  g_assert_cmpint (get_write (fleet, 0), ==, ROL_COMPLETED);
  fleet_free (fleet);
}

/* A router restarts after it has reported that nothing of its own runs at the
   baseline: the report of its former process doesn't count.  */
static void
test_restarted_router (void)
{
  fleet_t *fleet = fleet_new (3000, 0.);

  run_fleet (fleet, 8000);
  fleet->is_cut[1] = true;
  exchange_all (fleet);
  rol_forget_process (fleet->routers[0].rol, 2);
  run_fleet (fleet, 9000);
  g_assert_cmpint (get_write (fleet, 0), ==, ROL_ORDERED);
  g_assert_cmpint (get_rollout (fleet, 0)->wait, ==, ROL_WAIT_ROUTERS);
  fleet_free (fleet);
}

/* A router that starts in the middle learns from the others how old the order
   is.  */
static void
test_late_router (void)
{
  scene_t old = scene_new (SHARE);
  scene_t late = scene_new (SHARE);

  scene_start_rollout (&old);
  scene_start_rollout (&late);
  rol_find (late.rol, "app")->seen_at = NOW + 9000;
  rol_find (late.rol, "app")->ordered_at = NOW + 9000;
  scene_exchange (&old, &late, 1, NOW + 9500);
  g_assert_cmpint (rol_find (late.rol, "app")->ordered_at, ==, NOW);
  scene_free (&old);
  scene_free (&late);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rol-shift/completed", test_completed);
  g_test_add_func ("/rol-shift/bad-at-the-end", test_bad_at_the_end);
  g_test_add_func ("/rol-shift/steps-after-deadline",
                   test_steps_after_deadline);
  g_test_add_func ("/rol-shift/bad-under-load", test_bad_under_load);
  g_test_add_func ("/rol-shift/small-target", test_small_target);
  g_test_add_func ("/rol-shift/unheard-router", test_unheard_router);
  g_test_add_func ("/rol-shift/restarted-router", test_restarted_router);
  g_test_add_func ("/rol-shift/late-router", test_late_router);
  return g_test_run ();
}
