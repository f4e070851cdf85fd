/* Tests of the concurrency limit of an endpoint: cold start, growth, cuts and
   ejection.  */

#include "limits/lim.h"
#include <glib.h>

static const lim_settings_t settings = { 8, 2, 1400, 32 };

/* Runs full rounds of good work; returns the time after them.  */
static cfd_time_t
run_warm_up (lim_t *lim, unsigned full_rounds, cfd_time_t now)
{
  for (unsigned round = 0; round < full_rounds; round++)
    {
      unsigned slots = lim->slots;

      (void)lim_count_free_slots (lim, slots, now);
      for (unsigned i = 0; i < slots; i++)
        lim_record_completion (lim, 300, 20, now, now);
      now += 2000;
    }
  return now;
}

static const struct
{
  const char *name;
  unsigned full_rounds;
  double first_token;
  double interval;
  unsigned slots;
  lim_state_t state;
} cases[] = {
  { "begins-cold", 0, 0, 0, 2, LIM_COLD },
  { "one-round-one-slot", 1, 0, 0, 3, LIM_RAMPING },
  { "up-to-the-maximum", 20, 0, 0, 8, LIM_WARM },
  { "slow-interval-cuts", 20, 300, 45, 5, LIM_RAMPING },
  { "much-slower-interval-is-cold", 20, 300, 70, 2, LIM_COLD },
  { "first-token-under-the-limit", 20, 1180, 20, 8, LIM_WARM },
  { "much-slower-first-token-is-cold", 20, 5000, 20, 2, LIM_COLD },
  { "never-under-cold", 0, 5000, 90, 2, LIM_COLD },
};

static void
test_growth_and_cuts (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      lim_t lim;
      cfd_time_t now;

      lim_init (&lim, &settings, 0);
      now = run_warm_up (&lim, cases[i].full_rounds, 0);
      if (cases[i].first_token > 0)
        lim_record_completion (&lim, cases[i].first_token, cases[i].interval,
                               now, now);
      g_test_message ("%s", cases[i].name);
      g_assert_cmpuint (lim.slots, ==, cases[i].slots);
      g_assert_cmpint (lim.state, ==, cases[i].state);
    }
}

/* A round that never filled the slots is no evidence for one more.  */
static void
test_unused_does_not_grow (void)
{
  lim_t lim;

  lim_init (&lim, &settings, 0);
  (void)lim_count_free_slots (&lim, 1, 0);
  for (int i = 0; i < 50; i++)
    lim_record_completion (&lim, 300, 20, i, i);
  g_assert_cmpuint (lim.slots, ==, 2);
}

/* Responses without token times are no evidence for a model endpoint, but they
   are all there is for a plain service.  */
static void
test_completions_without_times (void)
{
  lim_settings_t plain = { 8, 2, 0, 0 };
  lim_t model_lim;
  lim_t plain_lim;

  lim_init (&model_lim, &settings, 0);
  lim_init (&plain_lim, &plain, 0);
  (void)lim_count_free_slots (&model_lim, 2, 0);
  (void)lim_count_free_slots (&plain_lim, 2, 0);
  for (int i = 0; i < 2; i++)
    {
      lim_record_completion (&model_lim, 0, 0, i, i);
      lim_record_completion (&plain_lim, 0, 0, i, i);
    }
  g_assert_cmpuint (model_lim.slots, ==, 2);
  g_assert_cmpuint (plain_lim.slots, ==, 3);
}

/* The endpoint may have become cold while no token was observed.  The limit
   must be restored by the first good interval, and not by a bad one.  */
static void
test_unconfirmed (void)
{
  lim_t lim;
  cfd_time_t now;

  lim_init (&lim, &settings, 0);
  now = run_warm_up (&lim, 20, 0);
  lim_confirm_warm (&lim, 20, now, now);
  g_assert_cmpuint (lim_count_free_slots (&lim, 0, now + LIM_CONFIRMATION_MS),
                    ==, 8);
  g_assert_cmpuint (
      lim_count_free_slots (&lim, 0, now + LIM_CONFIRMATION_MS + 1), ==, 2);
  lim_confirm_warm (&lim, 70, now + 500, now + 500);
  g_assert_cmpuint (lim_count_free_slots (&lim, 3, now + 500), ==, 0);
  lim_confirm_warm (&lim, 20, now + 100, now + 600);
  g_assert_cmpuint (lim_count_free_slots (&lim, 3, now + 600), ==, 0);
  lim_confirm_warm (&lim, 20, now + 600, now + 600);
  g_assert_cmpuint (lim_count_free_slots (&lim, 3, now + 600), ==, 5);

  /* Responses that are not streamed confirm only when they end.  */
  g_assert_cmpuint (lim_count_free_slots (&lim, 3, now + 1001), ==, 0);
  lim_confirm_warm_unstreamed (&lim, 20, 40, now + 1300);
  g_assert_cmpuint (lim_count_free_slots (&lim, 3, now + 1300), ==, 5);
}

/* An endpoint becomes cold while responses run that are not streamed.  The
   mean interval of one that ends then still looks good; it must not confirm
   beyond the time in which the endpoint was certainly warm.  */
static void
test_unstreamed_cold_end (void)
{
  lim_t lim;
  cfd_time_t now;

  lim_init (&lim, &settings, 0);
  now = run_warm_up (&lim, 20, 0);
  (void)lim_count_free_slots (&lim, 0, now);
  g_assert_cmpuint (lim_count_free_slots (&lim, 0, now + 1000), ==, 2);
  /* 20 tokens at the average of 20 ms, then 3 at 70 ms: 610 ms for 23.  */
  lim_confirm_warm_unstreamed (&lim, 610.0 / 23, 23, now + 1610);
  g_assert_cmpuint (lim_count_free_slots (&lim, 0, now + 1610), ==, 8);
  g_assert_cmpuint (
      lim_count_free_slots (&lim, 0, now + 1400 + LIM_CONFIRMATION_MS), ==, 2);
}

/* All running requests show that the endpoint became slow; the limit must be
   cut once, not once for each.  */
static void
test_one_cut_per_burst (void)
{
  lim_t lim;
  cfd_time_t now;

  lim_init (&lim, &settings, 0);
  now = run_warm_up (&lim, 20, 0);
  for (int i = 0; i < 8; i++)
    lim_check_token_interval (&lim, 45, now + i);
  g_assert_cmpuint (lim.slots, ==, 5);
  lim_check_token_interval (&lim, 45, now + LIM_CUT_INTERVAL_MS + 8);
  g_assert_cmpuint (lim.slots, ==, 3);
}

/* An overdue first token shows a cold endpoint before any request completes.
 */
static void
test_overdue_first_token (void)
{
  lim_t lim;
  cfd_time_t now;

  lim_init (&lim, &settings, 0);
  now = run_warm_up (&lim, 20, 0);
  lim_check_first_token (&lim, 1300, now);
  g_assert_cmpuint (lim.slots, ==, 8);
  lim_check_first_token (&lim, 1500, now);
  g_assert_cmpuint (lim.slots, ==, 2);
  g_assert_cmpint (lim.state, ==, LIM_COLD);
}

static void
test_ejection (void)
{
  lim_t lim;
  cfd_time_t first;
  cfd_time_t second;

  lim_init (&lim, &settings, 0);
  lim.seed = 7;
  for (unsigned i = 0; i < LIM_EJECTION_FAILURES; i++)
    lim_record_failure (&lim, 100);
  g_assert_cmpint (lim.state, ==, LIM_EJECTED);
  first = lim.ejected_until - 100;
  g_assert_cmpint (first, >=, LIM_BACKOFF_BASE_MS / 2);
  g_assert_cmpuint (lim_count_free_slots (&lim, 0, 101), ==, 0);
  /* What ran before fails later and does not lengthen the backoff.  */
  lim_record_failure (&lim, 101);
  g_assert_cmpint (lim.ejected_until, ==, 100 + first);

  g_assert_cmpuint (lim_count_free_slots (&lim, 0, 100 + first), ==, 1);
  g_assert_cmpuint (lim_count_free_slots (&lim, 1, 100 + first), ==, 0);
  lim_record_failure (&lim, 2000);
  second = lim.ejected_until - 2000;
  g_assert_cmpint (second, >=, LIM_BACKOFF_BASE_MS);
  lim_record_completion (&lim, 300, 20, 2000 + second, 2600 + second);
  g_assert_cmpint (lim.state, ==, LIM_COLD);
  g_assert_cmpuint (lim_count_free_slots (&lim, 0, 2600 + second), ==,
                    settings.cold);
}

/* An endpoint rejects all new work, and between its refusals completes what it
   accepted before.  If that reset the failures, each new request would be
   rejected there until the last old one has ended.  Only work begun after a
   failure shows that the endpoint serves again.  */
static void
test_old_completions_keep_failures (void)
{
  lim_t lim;

  lim_init (&lim, &settings, 0);
  lim.seed = 7;
  for (cfd_time_t now = 100; now < 100 + LIM_EJECTION_FAILURES; now++)
    {
      g_assert_cmpint (lim.state, !=, LIM_EJECTED);
      lim_record_failure (&lim, now);
      lim_record_completion (&lim, 300, 20, 50, now);
    }
  g_assert_cmpint (lim.state, ==, LIM_EJECTED);
  lim_record_completion (&lim, 300, 20, 50, 200);
  g_assert_cmpint (lim.state, ==, LIM_EJECTED);
  lim_record_completion (&lim, 300, 20, lim.ejected_until,
                         lim.ejected_until + 300);
  g_assert_cmpint (lim.state, ==, LIM_COLD);
}

/* A failing endpoint gets no work for a while, also before it is ejected.  */
static void
test_failure_pause (void)
{
  lim_t lim;

  lim_init (&lim, &settings, 0);
  lim_record_failure (&lim, 0);
  g_assert_cmpuint (lim_count_free_slots (&lim, 0, LIM_FAILURE_PAUSE_MS - 1),
                    ==, 0);
  g_assert_cmpuint (lim_count_free_slots (&lim, 0, LIM_FAILURE_PAUSE_MS), ==,
                    2);
  lim_record_failure (&lim, LIM_FAILURE_PAUSE_MS);
  g_assert_cmpuint (
      lim_count_free_slots (&lim, 0, 3 * LIM_FAILURE_PAUSE_MS - 1), ==, 0);
  g_assert_cmpuint (lim_count_free_slots (&lim, 0, 3 * LIM_FAILURE_PAUSE_MS),
                    ==, 2);
}

static void
test_settings (void)
{
  lim_settings_t smaller = { 4, 1, 1400, 32 };
  lim_t lim;
  cfd_time_t now;

  lim_init (&lim, &settings, 0);
  now = run_warm_up (&lim, 20, 0);
  lim_apply_settings (&lim, &smaller, now);
  g_assert_cmpuint (lim.slots, ==, 4);
  lim_apply_settings (&lim, &settings, now);
  g_assert_cmpuint (lim.slots, ==, 4);
  g_assert_cmpint (lim.state, ==, LIM_RAMPING);
  lim_reset_to_cold (&lim, now);
  g_assert_cmpuint (lim.slots, ==, 2);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/lim/growth-and-cuts", test_growth_and_cuts);
  g_test_add_func ("/lim/unused-does-not-grow", test_unused_does_not_grow);
  g_test_add_func ("/lim/untimed", test_completions_without_times);
  g_test_add_func ("/lim/unconfirmed", test_unconfirmed);
  g_test_add_func ("/lim/unstreamed-cold-end", test_unstreamed_cold_end);
  g_test_add_func ("/lim/one-cut-a-burst", test_one_cut_per_burst);
  g_test_add_func ("/lim/overdue-first-token", test_overdue_first_token);
  g_test_add_func ("/lim/ejection", test_ejection);
  g_test_add_func ("/lim/old-completions-keep-failures",
                   test_old_completions_keep_failures);
  g_test_add_func ("/lim/pause", test_failure_pause);
  g_test_add_func ("/lim/settings", test_settings);
  return g_test_run ();
}
