/* Accounts' shares: the level, and who is above it.  */

#include "relay/use.h"

#include <math.h>

#define WINDOW_MS 4000
#define NOW 1000000

typedef struct
{
  const char *name;
  struct
  {
    const char *account;
    double demand;
    double served;
    double over; /* parts of the level */
    double of_due;
  } rows[5];
} case_t;

/* Load pattern: many small accounts beside a few large, several times over
   capacity.  */
static const case_t cases[] = {
  { "all-served", { { "a", 900, 900, 0, 1. }, { "b", 10, 10, 0, 1. } } },
  { "one-waits-a-moment",
    { { "a", 900, 880, 0, 1. }, { "b", 10, 10, 0, 1. } } },
  { "large-beside-small",
    { { "large", 900, 290, 1., 1. }, { "small", 10, 10, 10. / 290., 1. } } },
  { "two-large",
    { { "a", 900, 400, 400. / 300., 400. / 300. },
      { "b", 900, 200, 200. / 300., 200. / 300. },
      { "c", 30, 30, 0.1, 1. } } },
  /* An account that asks for less than the level is not held back for the
     others, and counts in full.  */
  { "between",
    { { "a", 1000, 300, 1.5, 1.5 },
      { "b", 1000, 100, 0.5, 0.5 },
      { "c", 150, 150, 0.75, 1. } } },
};

static void
test_case (const void *data)
{
  const case_t *one = data;
  g_autoptr (use_t) use = use_new (WINDOW_MS);

  for (unsigned i = 0; one->rows[i].account != NULL; i++)
    {
      use_add_demand (use, NOW, one->rows[i].account, one->rows[i].demand);
      use_add_served (use, NOW, one->rows[i].account, one->rows[i].served);
    }
  use_update_level (use, NOW);
  for (unsigned i = 0; one->rows[i].account != NULL; i++)
    {
      const char *account = one->rows[i].account;

      g_assert_cmpfloat_with_epsilon (use_level_ratio (use, NOW, account),
                                      one->rows[i].over, 1e-6);
      g_assert_cmpfloat_with_epsilon (use_due_ratio (use, NOW, account),
                                      one->rows[i].of_due, 1e-6);
    }
}

static void
test_fades (void)
{
  g_autoptr (use_t) use = use_new (WINDOW_MS);

  use_add_served (use, NOW, "a", 100.);
  g_assert_cmpfloat_with_epsilon (use_total (use, NOW + WINDOW_MS, "a").served,
                                  100. / G_E, 1e-6);
}

/* What other routers served counts for an account's share here; a router that
   fell silent is forgotten, and a newer word takes an older one's place.  */
static void
test_hears (void)
{
  g_autoptr (use_t) use = use_new (WINDOW_MS);

  use_add_served (use, NOW, "a", 10.);
  use_update_peer (use, NOW, "r1", "a",
                   &(use_sum_t){ .demand = 50., .served = 20. });
  use_update_peer (use, NOW, "r1", "a",
                   &(use_sum_t){ .demand = 60., .served = 30. });
  use_update_peer (use, NOW, "r2", "a",
                   &(use_sum_t){ .demand = 5., .served = 5. });
  g_assert_cmpfloat (use_total (use, NOW, "a").served, ==, 45.);
  use_remove_peer (use, NOW, "r1");
  g_assert_cmpfloat (use_total (use, NOW, "a").served, ==, 15.);
}

/* Sums kept by differences stay equal to the sums added up anew, however often
   routers speak, fall silent and speak again.  */
static void
test_differences (void)
{
  enum
  {
    ROUTERS = 40,
    ROUNDS = 2000
  };
  g_autoptr (use_t) use = use_new (WINDOW_MS);
  double last[ROUTERS] = { 0. };
  cfd_time_t at[ROUTERS] = { 0 };
  cfd_time_t now = NOW;
  double sum = 0.;

  for (unsigned i = 0; i < ROUNDS; i++)
    {
      unsigned r = (i * 7) % ROUTERS;
      g_autofree char *name = g_strdup_printf ("r%u", r);

      now += i % 90;
      last[r] = i % 11 == 0 ? 0. : (double)(i * 37 % 5000);
      at[r] = now;
      if (i % 11 == 0)
        use_remove_peer (use, now, name);
      else
        use_update_peer (use, now, name, "a",
                         &(use_sum_t){ .demand = last[r], .served = last[r] });
    }
  for (unsigned r = 0; r < ROUTERS; r++)
    sum += last[r] * exp (-(double)(now - at[r]) / WINDOW_MS);
  g_assert_cmpfloat_with_epsilon (use_total (use, now, "a").served, sum, 1e-6);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/use/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
    }
  g_test_add_func ("/use/fades", test_fades);
  g_test_add_func ("/use/hears", test_hears);
  g_test_add_func ("/use/differences", test_differences);
  return g_test_run ();
}
