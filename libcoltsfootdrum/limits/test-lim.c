/* The limit of requests at an endpoint: cold start, growth, cut-backs and
   ejection.  */

#include "limits/lim.h"
#include <glib.h>

static const lim_settings_t settings = { 8, 2, 1400, 32 };

/* Runs ROUNDS full rounds of good work; returns the time after them.  */
static cfd_time_t
warm_up (lim_t *lim, unsigned rounds, cfd_time_t now)
{
  for (unsigned round = 0; round < rounds; round++)
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
  unsigned rounds;
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
test_table (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      lim_t lim;
      cfd_time_t now;

      lim_init (&lim, &settings, 0);
      now = warm_up (&lim, cases[i].rounds, 0);
      if (cases[i].first_token > 0)
        lim_record_completion (&lim, cases[i].first_token, cases[i].interval,
                               now, now);
      g_test_message ("%s", cases[i].name);
      g_assert_cmpuint (lim.slots, ==, cases[i].slots);
      g_assert_cmpint (lim.state, ==, cases[i].state);
    }
}

/* A round that never filled the slots proves nothing about one more.  */
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

/* Answers without token times say nothing of a model, and all of a plain
   service.  */
static void
test_untimed (void)
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

/* The endpoint may have turned cold while nothing was seen of it.  The limit
   is back with the first good interval, and not with a bad one.  */
static void
test_doubt (void)
{
  lim_t lim;
  cfd_time_t now;

  lim_init (&lim, &settings, 0);
  now = warm_up (&lim, 20, 0);
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

  /* Answers in one piece give no proof before they end.  */
  g_assert_cmpuint (lim_count_free_slots (&lim, 3, now + 1001), ==, 0);
  lim_confirm_warm_unstreamed (&lim, 20, 40, now + 1300);
  g_assert_cmpuint (lim_count_free_slots (&lim, 3, now + 1300), ==, 5);
}

/* An endpoint turns cold while answers in one piece run.  The mean of one that
   ends then still looks good; its proof must not reach beyond the time in
   which the endpoint was warm for certain.  */
static void
test_whole_hides_cold_end (void)
{
  lim_t lim;
  cfd_time_t now;

  lim_init (&lim, &settings, 0);
  now = warm_up (&lim, 20, 0);
  (void)lim_count_free_slots (&lim, 0, now);
  g_assert_cmpuint (lim_count_free_slots (&lim, 0, now + 1000), ==, 2);
  /* 20 tokens at the usual 20 ms, then 3 at 70: 610 ms for 23.  */
  lim_confirm_warm_unstreamed (&lim, 610.0 / 23, 23, now + 1610);
  g_assert_cmpuint (lim_count_free_slots (&lim, 0, now + 1610), ==, 8);
  g_assert_cmpuint (
      lim_count_free_slots (&lim, 0, now + 1400 + LIM_CONFIRMATION_MS), ==, 2);
}

/* All requests that run when the endpoint gets slow tell it; the limit is cut
   once, not once for each.  */
static void
test_one_cut_a_burst (void)
{
  lim_t lim;
  cfd_time_t now;

  lim_init (&lim, &settings, 0);
  now = warm_up (&lim, 20, 0);
  for (int i = 0; i < 8; i++)
    lim_check_token_interval (&lim, 45, now + i);
  g_assert_cmpuint (lim.slots, ==, 5);
  lim_check_token_interval (&lim, 45, now + LIM_CUT_INTERVAL_MS + 8);
  g_assert_cmpuint (lim.slots, ==, 3);
}

/* A first token that stays out shows a cold endpoint before any request
   completes.  */
static void
test_overdue_first_token (void)
{
  lim_t lim;
  cfd_time_t now;

  lim_init (&lim, &settings, 0);
  now = warm_up (&lim, 20, 0);
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
  /* What ran before fails later, and does not lengthen the backoff.  */
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

/* An endpoint turns all new work away, and ends between its refusals what it
   took before.  Callers would see each new request turned away there until the
   last old one is over.  Only work begun after a failure shows that it serves
   again.  */
static void
test_old_work_is_no_cure (void)
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

/* A failing endpoint is left alone for a while, before it is ejected too.  */
static void
test_pause (void)
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
  now = warm_up (&lim, 20, 0);
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
  g_test_add_func ("/lim/table", test_table);
  g_test_add_func ("/lim/unused-does-not-grow", test_unused_does_not_grow);
  g_test_add_func ("/lim/untimed", test_untimed);
  g_test_add_func ("/lim/doubt", test_doubt);
  g_test_add_func ("/lim/whole-hides-cold-end", test_whole_hides_cold_end);
  g_test_add_func ("/lim/one-cut-a-burst", test_one_cut_a_burst);
  g_test_add_func ("/lim/overdue-first-token", test_overdue_first_token);
  g_test_add_func ("/lim/ejection", test_ejection);
  g_test_add_func ("/lim/old-work-is-no-cure", test_old_work_is_no_cure);
  g_test_add_func ("/lim/pause", test_pause);
  g_test_add_func ("/lim/settings", test_settings);
  return g_test_run ();
}
