/* Tests of readiness by load.  */

#include "relay/rdy.h"

#include <glib.h>

#define TICK_MS 25

typedef struct
{
  rdy_t rdy;
  cfd_time_t now;
} fixture_t;

static void
fixture_init (fixture_t *fixture)
{
  fixture->now = 1000000;
  rdy_init (&fixture->rdy);
}

/* Updates readiness for MS with the share BUSY of time spent working. WAITING:
   iterations leave connections waiting.  */
static void
run_load (fixture_t *fixture, double busy, bool waiting, int64_t ms)
{
  rdy_sample_t sample = { .busy_ms = busy * TICK_MS,
                          .idle_ms = (1. - busy) * TICK_MS,
                          .backlogged = waiting };

  for (int64_t i = 0; i < ms / TICK_MS; i++)
    {
      fixture->now += TICK_MS;
      rdy_update (&fixture->rdy, fixture->now, &sample);
    }
}

/* An instance that always works and accepts all connections stays ready.  */
static void
test_busy (void)
{
  fixture_t fixture;

  fixture_init (&fixture);
  run_load (&fixture, 1., false, 20000);
  g_assert_true (rdy_is_ready (&fixture.rdy));
}

/* A router must not report that it is ready while no client can connect.  It
   becomes not ready before the platform's second check; checks are a second
   apart.  */
static void
test_left_waiting (void)
{
  fixture_t fixture;

  fixture_init (&fixture);
  run_load (&fixture, 0.5, false, 5000);
  run_load (&fixture, 1., true, 900);
  g_assert_true (rdy_is_ready (&fixture.rdy));
  run_load (&fixture, 1., true, 200);
  g_assert_false (rdy_is_ready (&fixture.rdy));
}

/* Short bursts don't add up when all connections are accepted after each.  */
static void
test_short_bursts (void)
{
  fixture_t fixture;

  fixture_init (&fixture);
  for (unsigned i = 0; i < 20; i++)
    {
      run_load (&fixture, 1., true, 800);
      run_load (&fixture, 1., false, 50);
    }
  g_assert_true (rdy_is_ready (&fixture.rdy));
}

/* While its open connections keep the instance busy, it stays not ready after
   the hold time, until their load decreases.  */
static void
test_still_busy (void)
{
  fixture_t fixture;

  fixture_init (&fixture);
  run_load (&fixture, 1., true, 1100);
  run_load (&fixture, 0.9, false, 15000);
  g_assert_false (rdy_is_ready (&fixture.rdy));
  run_load (&fixture, 0.4, false, 1000);
  g_assert_true (rdy_is_ready (&fixture.rdy));
}

/* When the same clients return and overload the instance again, the hold time
   doubles.  After a time without overload it starts from the minimum.  */
static void
test_hysteresis (void)
{
  fixture_t fixture;
  int64_t first;

  fixture_init (&fixture);
  run_load (&fixture, 1., true, 1100);
  first = fixture.rdy.hold_ms;
  run_load (&fixture, 0.3, false, first - 1000);
  g_assert_false (rdy_is_ready (&fixture.rdy));
  run_load (&fixture, 0.3, false, 1100);
  g_assert_true (rdy_is_ready (&fixture.rdy));
  run_load (&fixture, 1., true, 1100);
  g_assert_cmpint (fixture.rdy.hold_ms, ==, 2 * first);
  run_load (&fixture, 0.3, false, 6 * first);
  g_assert_true (rdy_is_ready (&fixture.rdy));
  run_load (&fixture, 1., true, 1100);
  g_assert_cmpint (fixture.rdy.hold_ms, ==, first);
}

/* Guards against a router that keeps its callers while it serves all of them
   late, and others of its zone are idle.  */
static void
test_late (void)
{
  rdy_sample_t late = { .busy_ms = 200., .is_late = true };
  fixture_t fixture;

  fixture_init (&fixture);
  run_load (&fixture, 1., false, 2000);
  for (unsigned i = 0; i < 6; i++)
    {
      g_assert_true (rdy_is_ready (&fixture.rdy));
      fixture.now += 200;
      rdy_update (&fixture.rdy, fixture.now, &late);
    }
  g_assert_false (rdy_is_ready (&fixture.rdy));
}

/* A loop that is late but not busy, as after lists or bursts, catches up.  */
static void
test_late_idle (void)
{
  rdy_sample_t late = { .busy_ms = 120., .idle_ms = 80., .is_late = true };
  fixture_t fixture;

  fixture_init (&fixture);
  for (unsigned i = 0; i < 50; i++)
    {
      fixture.now += 200;
      rdy_update (&fixture.rdy, fixture.now, &late);
    }
  g_assert_true (rdy_is_ready (&fixture.rdy));
}

/* A process that was paused is ready once it accepts all connections.  */
static void
test_pause (void)
{
  fixture_t fixture;

  fixture_init (&fixture);
  run_load (&fixture, 0.3, false, 5000);
  fixture.now += 8000;
  rdy_update (&fixture.rdy, fixture.now,
              &(rdy_sample_t){ .busy_ms = 8000., .backlogged = true });
  run_load (&fixture, 0.8, false, 100);
  g_assert_true (rdy_is_ready (&fixture.rdy));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rdy/busy", test_busy);
  g_test_add_func ("/rdy/left-waiting", test_left_waiting);
  g_test_add_func ("/rdy/short-bursts", test_short_bursts);
  g_test_add_func ("/rdy/still-busy", test_still_busy);
  g_test_add_func ("/rdy/hysteresis", test_hysteresis);
  g_test_add_func ("/rdy/late", test_late);
  g_test_add_func ("/rdy/late-idle", test_late_idle);
  g_test_add_func ("/rdy/pause", test_pause);
  return g_test_run ();
}
