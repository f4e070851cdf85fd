/* Tests of load shedding: a router that gets a wave of requests, of which it
   can serve a part.  */

#include "relay/shd.h"

#include <glib.h>

#define NOW 1000000
#define TICK_MS 25
/* Work that the router has time for in a second, as a share of the wave's.  */
#define CAPACITY 0.4
#define WAVE_MS 4000

typedef struct
{
  shd_t shd;
  cfd_time_t now;
  double backlog_ms; /* work that waits */
} router_t;

static router_t
router_new (void)
{
  router_t router = { .now = NOW };

  shd_init (&router.shd, router.now);
  return router;
}

/* Lets MS pass, in which work arrives at LOAD times the router's speed.
   Returns the longest delay of the loop in the last half of that time.  */
static double
run_load (router_t *router, double load, int64_t ms)
{
  cfd_time_t start = router->now;
  double max_late_ms = 0.;

  while (router->now < start + ms)
    {
      double late_ms = router->backlog_ms;
      double elapsed_ms = TICK_MS + late_ms;

      router->now += (int64_t)elapsed_ms;
      shd_update (&router->shd, router->now, (int64_t)late_ms,
                  late_ms > 0. ? 1. : load);
      router->backlog_ms
          = MAX (elapsed_ms * load * router->shd.admitted - TICK_MS, 0.);
      if (router->now > start + ms / 2)
        max_late_ms = MAX (max_late_ms, late_ms);
    }
  return max_late_ms;
}

/* Guards against a router that admits a whole wave and is late with all its
   streams.  */
static void
test_wave (void)
{
  router_t router = router_new ();
  double late_ms = run_load (&router, 1. / CAPACITY, WAVE_MS);

  g_test_message ("late %.0f ms, admitted %.2f", late_ms, router.shd.admitted);
  g_assert_cmpfloat (late_ms, <, 250.);
  g_assert_cmpfloat (router.shd.admitted, <, 2. * CAPACITY);
  g_assert_cmpfloat (router.shd.admitted, >, CAPACITY / 4.);
}

/* After the wave all requests are admitted again.  */
static void
test_recovery (void)
{
  router_t router = router_new ();

  run_load (&router, 1. / CAPACITY, WAVE_MS);
  run_load (&router, 0.5, 5000);
  g_assert_cmpfloat (router.shd.admitted, ==, 1.);
  g_assert_true (shd_admits (&router.shd, 0.999));
}

/* One late tick, as after a long list or a pause, is no overload.  */
static void
test_single (void)
{
  router_t router = router_new ();

  shd_update (&router.shd, router.now + 5000, 4975, 1.);
  g_assert_cmpfloat (router.shd.admitted, ==, 1.);
  shd_update (&router.shd, router.now + 5025, 0, 1.);
  shd_update (&router.shd, router.now + 5225, 175, 1.);
  g_assert_cmpfloat (router.shd.admitted, ==, 1.);
}

/* Some requests are admitted however late the loop is.  */
static void
test_minimum (void)
{
  router_t router = router_new ();

  for (unsigned i = 0; i < 100; i++)
    {
      router.now += 1000;
      shd_update (&router.shd, router.now, 975, 1.);
    }
  g_assert_true (shd_admits (&router.shd, 0.04));
  g_assert_false (shd_admits (&router.shd, 0.06));
}

/* Guards against requests that are refused though the router has time for
   them: a burst made one turn of the loop long.  */
static void
test_not_busy (void)
{
  router_t router = router_new ();

  for (unsigned i = 0; i < 20; i++)
    {
      router.now += 300;
      shd_update (&router.shd, router.now, 275, 0.7);
    }
  g_assert_cmpfloat (router.shd.admitted, ==, 1.);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/shd/wave", test_wave);
  g_test_add_func ("/shd/recovery", test_recovery);
  g_test_add_func ("/shd/single", test_single);
  g_test_add_func ("/shd/minimum", test_minimum);
  g_test_add_func ("/shd/not-busy", test_not_busy);
  return g_test_run ();
}
