/* Cost estimates.  */

#include "router/cost.h"

static void
test_learns (void)
{
  /* Number, hint and actual cost of past requests, and the expected cost for
     a hint of 1000.  */
  static const struct
  {
    unsigned requests;
    double hint_tokens;
    double actual_tokens;
    double expected;
  } cases[] = {
    { 0, 0, 0, 1000 * COST_RATIO_INITIAL },
    { 50, 4096, 409.6, 100 },
    { 50, 100, 100, 1000 },
    { 50, 10, 1e9, 2000 },
    { 50, 1e9, 1, 20 },
    { 50, 0, 5, 1000 * COST_RATIO_INITIAL },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (cost_t) cost = cost_new ();

      for (unsigned j = 0; j < cases[i].requests; j++)
        cost_update (cost, "a", "s", cases[i].hint_tokens,
                     cases[i].actual_tokens, 0);
      g_assert_cmpfloat_with_epsilon (cost_estimate (cost, "a", "s", 1000),
                                      cases[i].expected, 0.01);
      g_assert_cmpfloat (cost_estimate (cost, "b", "s", 1000), ==,
                         1000 * COST_RATIO_INITIAL);
    }
}

static void
test_expires (void)
{
  g_autoptr (cost_t) cost = cost_new ();

  cost_update (cost, "a", "s", 10, 1, 0);
  cost_expire (cost, COST_EXPIRY_MS);
  g_assert_cmpfloat (cost_estimate (cost, "a", "s", 10), ==, 1);
  cost_expire (cost, COST_EXPIRY_MS + 1);
  g_assert_cmpfloat (cost_estimate (cost, "a", "s", 10), ==, 5);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cost/learns", test_learns);
  g_test_add_func ("/cost/expires", test_expires);
  return g_test_run ();
}
