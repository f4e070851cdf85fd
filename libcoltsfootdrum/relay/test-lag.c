/* Loop lag: the time of the loop by kind of work.  */

#include "relay/lag.h"

#include "base/clock.h"
#include <string.h>

#define WORK_US 3000

static void
spin (void)
{
  int64_t end = clock_now_us () + WORK_US;

  while (clock_now_us () < end)
    ;
}

/* The time of nested work counts for the inner kind alone.  */
static void
test_nested (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  lag_t *lag = lag_new (loop, clock_now_us ());
  lag_kind_t outer = lag_enter (lag, LAG_CALLERS);
  lag_kind_t inner;
  lag_sums_t sums;

  spin ();
  inner = lag_enter (lag, LAG_PLACEMENT);
  g_assert_cmpint (inner, ==, LAG_CALLERS);
  spin ();
  lag_leave (lag, inner, 2);
  lag_leave (lag, outer, 1);
  sums = lag_take_sums (lag);
  g_assert_cmpint (sums.us[LAG_CALLERS], >=, WORK_US);
  g_assert_cmpint (sums.us[LAG_PLACEMENT], >=, WORK_US);
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
test_add (void)
{
  lag_sums_t total = { 0 };
  lag_sums_t sums = { .turns = 2, .us = { [LAG_TICK] = 30 } };

  sums.count[LAG_TICK] = 4;
  lag_add_sums (&total, &sums);
  lag_add_sums (&total, &sums);
  g_assert_cmpuint (total.turns, ==, 4);
  g_assert_cmpint (total.us[LAG_TICK], ==, 60);
  g_assert_cmpuint (total.count[LAG_TICK], ==, 8);
}

static void
test_null (void)
{
  g_assert_cmpint (lag_enter (NULL, LAG_ACCEPT), ==, LAG_OTHER);
  lag_leave (NULL, LAG_OTHER, 1);
}

/* Guards against routers that read a long list at each interval, because
   reading it made them late the time before.  */
static void
test_list_is_no_lag (void)
{
  lag_sums_t lists = { .us = { [LAG_LISTS] = 380000, [LAG_CALLERS] = 9000 } };
  lag_sums_t datagrams = { .us = { [LAG_DATAGRAMS] = 380000 } };

  g_assert_cmpint (lag_get_load_delay_ms (&lists, 400), ==, 20);
  g_assert_cmpint (lag_get_load_delay_ms (&lists, 300), ==, 0);
  g_assert_cmpint (lag_get_load_delay_ms (&datagrams, 400), ==, 400);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/lag/nested", test_nested);
  g_test_add_func ("/lag/turns", test_turns);
  g_test_add_func ("/lag/add", test_add);
  g_test_add_func ("/lag/not-counted", test_null);
  g_test_add_func ("/lag/list-is-no-lag", test_list_is_no_lag);
  return g_test_run ();
}
