/* Readiness by load.  */

#include "relay/rdy.h"

#include <glib.h>

#define TICK_MS 25

typedef struct
{
  rdy_t rdy;
  cfd_time_t now;
} scene_t;

static void
scene_init (scene_t *scene)
{
  scene->now = 1000000;
  rdy_init (&scene->rdy);
}

/* For MS the loop is busy for this share of the time; LEFT: connections wait
   at the end of its turns.  */
static void
play (scene_t *scene, double busy, bool left, int64_t ms)
{
  rdy_sample_t seen = { .busy_ms = busy * TICK_MS,
                        .idle_ms = (1. - busy) * TICK_MS,
                        .backlogged = left };

  for (int64_t i = 0; i < ms / TICK_MS; i++)
    {
      scene->now += TICK_MS;
      rdy_update (&scene->rdy, scene->now, &seen);
    }
}

/* An instance that works all the time and takes all callers stays ready.  */
static void
test_busy (void)
{
  scene_t scene;

  scene_init (&scene);
  play (&scene, 1., false, 20000);
  g_assert_true (rdy_is_ready (&scene.rdy));
}

/* A router said that it was ready while nobody could connect.  It says no
   before the second check of the platform, which asks once a second.  */
static void
test_left_waiting (void)
{
  scene_t scene;

  scene_init (&scene);
  play (&scene, 0.5, false, 5000);
  play (&scene, 1., true, 900);
  g_assert_true (rdy_is_ready (&scene.rdy));
  play (&scene, 1., true, 200);
  g_assert_false (rdy_is_ready (&scene.rdy));
}

/* Many short bursts, each of which is taken, don't add up.  */
static void
test_short_bursts (void)
{
  scene_t scene;

  scene_init (&scene);
  for (unsigned i = 0; i < 20; i++)
    {
      play (&scene, 1., true, 800);
      play (&scene, 1., false, 50);
    }
  g_assert_true (rdy_is_ready (&scene.rdy));
}

/* Open connections still keep it busy: it isn't ready when the time is over,
   but as soon as they leave it room.  */
static void
test_still_busy (void)
{
  scene_t scene;

  scene_init (&scene);
  play (&scene, 1., true, 1100);
  play (&scene, 0.9, false, 15000);
  g_assert_false (rdy_is_ready (&scene.rdy));
  play (&scene, 0.4, false, 1000);
  g_assert_true (rdy_is_ready (&scene.rdy));
}

/* The same callers come back with it and take it out again, for longer each
   time; after a calm time the first span counts again.  */
static void
test_hysteresis (void)
{
  scene_t scene;
  int64_t first;

  scene_init (&scene);
  play (&scene, 1., true, 1100);
  first = scene.rdy.hold_ms;
  play (&scene, 0.3, false, first - 1000);
  g_assert_false (rdy_is_ready (&scene.rdy));
  play (&scene, 0.3, false, 1100);
  g_assert_true (rdy_is_ready (&scene.rdy));
  play (&scene, 1., true, 1100);
  g_assert_cmpint (scene.rdy.hold_ms, ==, 2 * first);
  play (&scene, 0.3, false, 6 * first);
  g_assert_true (rdy_is_ready (&scene.rdy));
  play (&scene, 1., true, 1100);
  g_assert_cmpint (scene.rdy.hold_ms, ==, first);
}

/* A process that was paused and then takes the callers who waited is ready. */
static void
test_pause (void)
{
  scene_t scene;

  scene_init (&scene);
  play (&scene, 0.3, false, 5000);
  scene.now += 8000;
  rdy_update (&scene.rdy, scene.now,
              &(rdy_sample_t){ .busy_ms = 8000., .backlogged = true });
  play (&scene, 0.8, false, 100);
  g_assert_true (rdy_is_ready (&scene.rdy));
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
  g_test_add_func ("/rdy/pause", test_pause);
  return g_test_run ();
}
