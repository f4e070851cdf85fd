/* Tests of the verdict on a rollout's target version.  */

#include "relay/vdt.h"

#include <glib.h>

#define TICK_MS 100
/* Answers in which a good version must not be found bad.  */
#define GOOD_ANSWERS 20000

typedef struct
{
  const char *name;
  double baseline_rate; /* of bad answers */
  double target_rate;
  unsigned good_ticks; /* before the target turns bad; 10 answers each */
  double max_bad;      /* bad answers until it is found; 0: never */
} vdt_case_t;

/* The 50th bad answer sets off the operator's bound.  */
static const vdt_case_t cases[] = {
  { "all-fail", 0., 1., 0, 20. },
  { "one-in-five", 0.002, 0.2, 0, 30. },
  { "one-in-twenty", 0.002, 0.05, 0, 50. },
  { "late", 0.002, 0.5, 600, 30. },
  { "baseline-ill", 0.1, 0.6, 0, 50. },
  { "good", 0.002, 0.002, 0, 0. },
  { "both-ill", 0.2, 0.2, 0, 0. },
};

/* Adds ANSWERS to COUNTS, of which RATE are bad, spread evenly.  */
static void
add_answers (vdt_counts_t *counts, double answers, double rate,
             double *fraction)
{
  counts->answers += answers;
  *fraction += answers * rate;
  while (*fraction >= 1.)
    {
      counts->bad += 1.;
      *fraction -= 1.;
    }
}

static void
test_case (gconstpointer data)
{
  const vdt_case_t *test = data;
  vdt_counts_t baseline = { 0 };
  vdt_counts_t target = { 0 };
  double fractions[2] = { 0 };
  double bad_before = 0.;
  cfd_time_t now = 0;
  bool found = false;
  vdt_t verdict;

  vdt_init (&verdict, now);
  for (unsigned tick = 0; !found && target.answers < GOOD_ANSWERS; tick++)
    {
      bool is_bad = tick >= test->good_ticks;

      if (!is_bad)
        bad_before = target.bad;
      add_answers (&baseline, 130., test->baseline_rate, &fractions[0]);
      add_answers (&target, 10.,
                   is_bad ? test->target_rate : test->baseline_rate,
                   &fractions[1]);
      now += TICK_MS;
      found = vdt_update (&verdict, now, &baseline, &target);
    }
  g_assert_cmpint (found, ==, test->max_bad > 0.);
  if (found)
    g_assert_cmpfloat (target.bad - bad_before, <=, test->max_bad);
}

/* All traffic has moved to the target, which is as good as the baseline was:
   that has slow answers too.  */
static void
test_baseline_gone (void)
{
  vdt_counts_t baseline = { 0 };
  vdt_counts_t target = { 0 };
  double fractions[2] = { 0 };
  cfd_time_t now = 0;
  vdt_t verdict;

  vdt_init (&verdict, now);
  for (unsigned tick = 0; tick < 1000; tick++)
    {
      if (tick < 100)
        add_answers (&baseline, 130., 0.015, &fractions[0]);
      add_answers (&target, tick < 100 ? 10. : 140., 0.015, &fractions[1]);
      now += TICK_MS;
      g_assert_false (vdt_update (&verdict, now, &baseline, &target));
    }
}

/* The counts of a peer are discarded: totals fall, and count again as they
   grow.  */
static void
test_totals_fall (void)
{
  vdt_counts_t baseline = { 1000., 2. };
  vdt_counts_t target = { 100., 0. };
  vdt_t verdict;

  vdt_init (&verdict, 0);
  g_assert_false (vdt_update (&verdict, 100, &baseline, &target));
  target = (vdt_counts_t){ 10., 0. };
  g_assert_false (vdt_update (&verdict, 200, &baseline, &target));
  target = (vdt_counts_t){ 20., 10. };
  g_assert_true (vdt_update (&verdict, 300, &baseline, &target));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/vdt/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
    }
  g_test_add_func ("/vdt/baseline-gone", test_baseline_gone);
  g_test_add_func ("/vdt/totals-fall", test_totals_fall);
  return g_test_run ();
}
