/* Where the loop's time goes.  */

#include "relay/lag.h"

#include "base/clock.h"
#include <string.h>

#define SPAN_US 3000

static void
work (void)
{
  int64_t end = clock_now_us () + SPAN_US;

  while (clock_now_us () < end)
    ;
}

/* Work inside other work counts for itself alone.  */
static void
test_nested (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  lag_t *lag = lag_new (loop, clock_now_us ());
  lag_kind_t outer = lag_enter (lag, LAG_CALLERS);
  lag_kind_t inner;
  lag_sums_t sums;

  work ();
  inner = lag_enter (lag, LAG_PLACEMENT);
  g_assert_cmpint (inner, ==, LAG_CALLERS);
  work ();
  lag_leave (lag, inner, 2);
  lag_leave (lag, outer, 1);
  sums = lag_take_sums (lag);
  g_assert_cmpint (sums.us[LAG_CALLERS], >=, SPAN_US);
  g_assert_cmpint (sums.us[LAG_PLACEMENT], >=, SPAN_US);
  g_assert_cmpint (sums.us[LAG_ACCEPT], ==, 0);
  g_assert_cmpuint (sums.count[LAG_CALLERS], ==, 1);
  g_assert_cmpuint (sums.count[LAG_PLACEMENT], ==, 2);
  sums = lag_take_sums (lag);
  g_assert_cmpuint (sums.count[LAG_PLACEMENT], ==, 0);
  lag_free (lag);
  ev_loop_destroy (loop);
}

static void
test_turns (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  lag_t *lag = lag_new (loop, clock_now_us ());
  lag_sums_t sums;
  g_autofree char *text = NULL;

  for (unsigned i = 0; i < 3; i++)
    ev_run (loop, EVRUN_NOWAIT);
  sums = lag_take_sums (lag);
  g_assert_cmpuint (sums.turns, ==, 3);
  text = lag_format (&sums);
  g_assert_true (g_str_has_prefix (text, "turns=3 idle_ms="));
  lag_free (lag);
  ev_loop_destroy (loop);
}

static void
test_none (void)
{
  g_assert_cmpint (lag_enter (NULL, LAG_ACCEPT), ==, LAG_OTHER);
  lag_leave (NULL, LAG_OTHER, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/lag/nested", test_nested);
  g_test_add_func ("/lag/turns", test_turns);
  g_test_add_func ("/lag/not-counted", test_none);
  return g_test_run ();
}
