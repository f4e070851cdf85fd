/* Tests of the speed of endpoints: what is learned of a slow one, and how long
   a disturbance lasts.  */

#include "relay/spd.h"

#include <glib.h>

#define NOW 1000000
/* Prefill of a prompt of 12,000 tokens at the average endpoint.  */
#define EXPECTED_MS 150.
/* Endpoints of zaryadi-sofia-grown that run at 0.55 of the usual speed.  */
#define SLOW 1.82
#define EPSILON 1e-9

static void
add_samples (spd_t *spd, cfd_time_t *now, unsigned count, double ratio)
{
  for (unsigned i = 0; i < count; i++)
    {
      *now += 100;
      spd_add (spd, *now, EXPECTED_MS * ratio, EXPECTED_MS);
    }
}

/* A new endpoint counts as average.  */
static void
test_unknown (void)
{
  spd_t spd = { 0 };

  g_assert_cmpfloat (spd_get_slowness (&spd, NOW), ==, 1.);
  g_assert_false (spd_is_measured (&spd, NOW));
}

/* Guards against estimates by which a slow endpoint gets as much work as a
   fast one, and against lasting ones of an endpoint without evidence.  */
static void
test_learns (gconstpointer data)
{
  double ratio = *(const double *)data;
  cfd_time_t now = NOW;
  spd_t spd = { 0 };

  add_samples (&spd, &now, 30, ratio);
  g_assert_true (spd_is_measured (&spd, now));
  g_assert_cmpfloat_with_epsilon (spd_get_slowness (&spd, now), ratio,
                                  0.15 * ratio);
  g_assert_cmpfloat (spd_get_slowness (&spd, now + 60000), ==, 1.);
}

/* Differences below a tenth are noise, by which placement must not prefer
   endpoints.  */
static void
test_noise (void)
{
  cfd_time_t now = NOW;
  spd_t spd = { 0 };

  add_samples (&spd, &now, 50, 1.09);
  g_assert_cmpfloat (spd_get_slowness (&spd, now), ==, 1.);
  add_samples (&spd, &now, 50, 0.92);
  g_assert_cmpfloat (spd_get_slowness (&spd, now), ==, 1.);
}

/* Guards against an endpoint that hung for seconds, or was late with one very
   long prompt, and gets no work for long after that.  */
static void
test_hang (void)
{
  cfd_time_t now = NOW;
  spd_t spd = { 0 };

  spd_add (&spd, now, 30000., EXPECTED_MS);
  g_assert_cmpfloat (spd_get_slowness (&spd, now), <=, 4. / 3.);
  g_assert_cmpfloat (spd_get_slowness (&spd, now + 13000), ==, 1.);
  add_samples (&spd, &now, 7, 1.);
  g_assert_cmpfloat (spd_get_slowness (&spd, now), ==, 1.);

  spd = (spd_t){ 0 };
  spd_add (&spd, now, 60000., 5000.);
  g_assert_cmpfloat (spd_get_slowness (&spd, now), <=, 1.5 + EPSILON);
  now += 2000;
  add_samples (&spd, &now, 15, 1.);
  g_assert_cmpfloat (spd_get_slowness (&spd, now), <, 1.2);
}

/* Samples that say nothing, and a clock that goes back, change nothing.  */
static void
test_odd (void)
{
  spd_t spd = { 0 };

  spd_add (&spd, NOW, 100., 0.);
  spd_add (&spd, NOW, 100., -5.);
  g_assert_false (spd_is_measured (&spd, NOW));
  spd_add (&spd, NOW, -50., EXPECTED_MS);
  g_assert_cmpfloat (spd_get_own (&spd, NOW).observed, ==, 0.);
  g_assert_cmpfloat (spd_get_own (&spd, NOW - 5000).expected, ==, EXPECTED_MS);
}

/* The sums of all routers count together, so that a router with few samples
   knows what the others know, and no longer when they lapse.  */
static void
test_peers (void)
{
  static const spd_sums_t reported = { 1500. * SLOW, 1500. };
  spd_sums_t old = spd_decay (&reported, 10000);
  spd_t spd = { 0 };

  spd_add_peer (&spd, &reported);
  spd_add_peer (&spd, &reported);
  g_assert_cmpfloat_with_epsilon (spd_get_slowness (&spd, NOW), SLOW, 0.15);
  g_assert_false (spd_is_measured (&spd, NOW));
  spd_clear_peers (&spd);
  g_assert_cmpfloat (spd_get_slowness (&spd, NOW), ==, 1.);
  g_assert_cmpfloat (old.expected, <, 600.);
  g_assert_cmpfloat_with_epsilon (old.observed, old.expected * SLOW, EPSILON);
}

/* Values that would keep an endpoint from all work, or give it all, are
   limited.  */
static void
test_limits (void)
{
  static const spd_sums_t hopeless = { 1e6, 1. };
  static const spd_sums_t instant = { 0., 1e6 };
  spd_t spd = { 0 };

  spd_add_peer (&spd, &hopeless);
  g_assert_cmpfloat (spd_get_slowness (&spd, NOW), ==, 4.);
  spd_clear_peers (&spd);
  spd_add_peer (&spd, &instant);
  g_assert_cmpfloat (spd_get_slowness (&spd, NOW), ==, 0.25);
}

int
main (int argc, char **argv)
{
  static const double ratios[] = { 0.83, SLOW, 3.5 };

  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/spd/unknown", test_unknown);
  for (guint i = 0; i < G_N_ELEMENTS (ratios); i++)
    {
      g_autofree char *path = g_strdup_printf ("/spd/learns/%.2f", ratios[i]);

      g_test_add_data_func (path, &ratios[i], test_learns);
    }
  g_test_add_func ("/spd/noise", test_noise);
  g_test_add_func ("/spd/hang", test_hang);
  g_test_add_func ("/spd/odd", test_odd);
  g_test_add_func ("/spd/peers", test_peers);
  g_test_add_func ("/spd/limits", test_limits);
  return g_test_run ();
}
