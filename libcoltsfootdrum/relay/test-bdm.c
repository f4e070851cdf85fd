/* Tests of the memory for request bodies.  */

#include "relay/bdm.h"

#define BUDGET 30000u
#define BODY 4000u
#define CLAIMS 64u

typedef struct
{
  bdm_t *bdm;
  bdm_claim_t claims[CLAIMS];
} fixture_t;

static void
fixture_init (fixture_t *fixture, size_t budget)
{
  fixture->bdm = bdm_new ();
  bdm_set_budget (fixture->bdm, budget);
  for (unsigned i = 0; i < CLAIMS; i++)
    bdm_claim_init (&fixture->claims[i]);
}

static void
fixture_clear (fixture_t *fixture)
{
  for (unsigned i = 0; i < CLAIMS; i++)
    bdm_release (fixture->bdm, &fixture->claims[i]);
  g_assert_cmpuint (bdm_get_held (fixture->bdm), ==, 0);
  g_assert_cmpuint (bdm_count_waiting (fixture->bdm), ==, 0);
  bdm_free (fixture->bdm);
}

static bdm_outcome_t
reserve (fixture_t *fixture, unsigned i, const char *name, size_t bytes)
{
  return bdm_reserve (fixture->bdm, 0, &fixture->claims[i], name, bytes);
}

/* Guards against one account that takes the memory of the others: what it
   holds is bounded, and another one that comes later gets its part.  */
static void
test_one_takes_all (void)
{
  fixture_t fixture;
  unsigned granted = 0;

  fixture_init (&fixture, BUDGET);
  for (unsigned i = 0; i < 40; i++)
    granted += reserve (&fixture, i, "hot", BODY) == BDM_GRANTED;
  g_assert_cmpuint (granted * BODY, <=, BUDGET * 2 / 3);
  g_assert_cmpuint (granted, >=, 4);
  g_assert_cmpint (reserve (&fixture, 40, "other", BODY), ==, BDM_GRANTED);
  g_assert_cmpuint (bdm_get_held (fixture.bdm), <=, BUDGET);
  fixture_clear (&fixture);
}

/* Guards against an account without any memory, as many others have some: one
   body is granted as long as it fits.  */
static void
test_first_body (void)
{
  fixture_t fixture;
  static const char *const names[] = { "a", "b", "c", "d", "e", "f", "g" };

  fixture_init (&fixture, BUDGET);
  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    g_assert_cmpint (reserve (&fixture, i, names[i], BODY), ==, BDM_GRANTED);
  g_assert_cmpint (reserve (&fixture, 8, "h", BODY), ==, BDM_WAITING);
  bdm_release (fixture.bdm, &fixture.claims[2]);
  g_assert_true (bdm_grant_next (fixture.bdm) == &fixture.claims[8]);
  g_assert_null (bdm_grant_next (fixture.bdm));
  fixture_clear (&fixture);
}

/* Guards against requests that wait in vain: no more of an account wait than
   what it holds can be followed by.  */
static void
test_waiting_is_bounded (void)
{
  fixture_t fixture;
  unsigned counts[3] = { 0 };

  fixture_init (&fixture, BUDGET);
  for (unsigned i = 0; i < 40; i++)
    counts[reserve (&fixture, i, "hot", BODY)]++;
  g_assert_cmpuint (counts[BDM_WAITING], ==, counts[BDM_GRANTED]);
  g_assert_cmpuint (counts[BDM_REFUSED], ==,
                    40 - counts[BDM_WAITING] - counts[BDM_GRANTED]);
  fixture_clear (&fixture);
}

/* Guards against a waiting account that is passed over by one that holds
   more.  */
static void
test_least_served_first (void)
{
  fixture_t fixture;

  fixture_init (&fixture, BUDGET);
  for (unsigned i = 0; i < 6; i++)
    reserve (&fixture, i, "hot", BODY);
  reserve (&fixture, 10, "second", 10000);
  g_assert_cmpint (reserve (&fixture, 11, "third", 8000), ==, BDM_WAITING);
  bdm_release (fixture.bdm, &fixture.claims[0]);
  bdm_release (fixture.bdm, &fixture.claims[1]);
  g_assert_true (bdm_grant_next (fixture.bdm) == &fixture.claims[11]);
  fixture_clear (&fixture);
}

/* Guards against bodies of unknown length that hold each other up behind new
   ones: one that grows is next in its account.  */
static void
test_growing_first (void)
{
  fixture_t fixture;

  fixture_init (&fixture, BUDGET);
  reserve (&fixture, 0, "a", 9000);
  reserve (&fixture, 1, "a", 9000);
  g_assert_cmpint (reserve (&fixture, 2, "a", 4000), ==, BDM_WAITING);
  g_assert_cmpint (reserve (&fixture, 1, "a", 4000), ==, BDM_WAITING);
  bdm_release (fixture.bdm, &fixture.claims[0]);
  g_assert_true (bdm_grant_next (fixture.bdm) == &fixture.claims[1]);
  fixture_clear (&fixture);
}

/* Guards against a small body that waits behind large ones of its account.  */
static void
test_small_behind_large (void)
{
  fixture_t fixture;

  fixture_init (&fixture, BUDGET);
  reserve (&fixture, 0, "a", 16000);
  g_assert_cmpint (reserve (&fixture, 1, "a", 16000), ==, BDM_WAITING);
  g_assert_cmpint (reserve (&fixture, 2, "a", 10), ==, BDM_GRANTED);
  bdm_release (fixture.bdm, &fixture.claims[0]);
  g_assert_true (bdm_grant_next (fixture.bdm) == &fixture.claims[1]);
  fixture_clear (&fixture);
}

/* Guards against memory that small bodies took and that is given out once
   more.  */
static void
test_counted (void)
{
  fixture_t fixture;

  fixture_init (&fixture, BUDGET);
  bdm_count (fixture.bdm, &fixture.claims[0], BUDGET - 1000);
  g_assert_cmpint (reserve (&fixture, 1, "a", BODY), ==, BDM_WAITING);
  bdm_count (fixture.bdm, &fixture.claims[2], BUDGET);
  bdm_release (fixture.bdm, &fixture.claims[0]);
  g_assert_null (bdm_grant_next (fixture.bdm));
  bdm_release (fixture.bdm, &fixture.claims[2]);
  g_assert_true (bdm_grant_next (fixture.bdm) == &fixture.claims[1]);
  fixture_clear (&fixture);
}

/* Guards against a body that waits for memory that there never is.  */
static void
test_larger_than_budget (void)
{
  fixture_t fixture;

  fixture_init (&fixture, BODY - 1);
  g_assert_cmpint (reserve (&fixture, 0, "a", BODY), ==, BDM_REFUSED);
  fixture_clear (&fixture);
}

static void
test_no_limit (void)
{
  fixture_t fixture;

  fixture_init (&fixture, 0);
  for (unsigned i = 0; i < CLAIMS; i++)
    g_assert_cmpint (reserve (&fixture, i, "a", BODY), ==, BDM_GRANTED);
  fixture_clear (&fixture);
}

#define STEPS 20000u

/* Guards against sums that drift from what is held, in any order of calls.  */
static void
test_random (void)
{
  static const char *const names[] = { "a", "b", "c" };
  fixture_t fixture;

  fixture_init (&fixture, BUDGET);
  for (unsigned step = 0; step < STEPS; step++)
    {
      unsigned i = (unsigned)g_test_rand_int_range (0, CLAIMS);
      bdm_claim_t *claim = &fixture.claims[i];
      size_t sum = 0;

      if (g_test_rand_int_range (0, 3) == 0)
        bdm_release (fixture.bdm, claim);
      else if (claim->wanted == 0)
        reserve (&fixture, i, names[i % 3],
                 (size_t)g_test_rand_int_range (1, 6000));
      while (bdm_grant_next (fixture.bdm) != NULL)
        ;
      for (unsigned j = 0; j < CLAIMS; j++)
        sum += fixture.claims[j].held;
      g_assert_cmpuint (bdm_get_held (fixture.bdm), ==, sum);
      g_assert_cmpuint (sum, <=, BUDGET);
    }
  fixture_clear (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/bdm/one-takes-all", test_one_takes_all);
  g_test_add_func ("/bdm/first-body", test_first_body);
  g_test_add_func ("/bdm/waiting-is-bounded", test_waiting_is_bounded);
  g_test_add_func ("/bdm/least-served-first", test_least_served_first);
  g_test_add_func ("/bdm/growing-first", test_growing_first);
  g_test_add_func ("/bdm/small-behind-large", test_small_behind_large);
  g_test_add_func ("/bdm/counted", test_counted);
  g_test_add_func ("/bdm/larger-than-budget", test_larger_than_budget);
  g_test_add_func ("/bdm/no-limit", test_no_limit);
  g_test_add_func ("/bdm/random", test_random);
  return g_test_run ();
}
