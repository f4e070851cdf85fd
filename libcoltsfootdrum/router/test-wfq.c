/* Weighted fair queueing of the baseline policy.  */

#include "router/wfq.h"

static void
serve (wfq_t *wfq, unsigned rounds, const double *weights, unsigned *served,
       unsigned accounts)
{
  static const char *const names[] = { "a", "b", "c" };

  for (unsigned i = 0; i < accounts; i++)
    wfq_set_backlogged (wfq, names[i], "s");
  for (unsigned i = 0; i < rounds; i++)
    {
      unsigned index = wfq_next_account (wfq, "s")[0] - 'a';

      served[index]++;
      wfq_charge (wfq, names[index], "s", 100, weights[index]);
    }
}

static void
test_weights (void)
{
  static const struct
  {
    double weights[3];
    unsigned served[3];
  } cases[] = {
    { { 1, 1, 1 }, { 20, 20, 20 } },
    { { 1, 2, 3 }, { 10, 20, 30 } },
    { { 4, 1, 1 }, { 40, 10, 10 } },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (wfq_t) wfq = wfq_new ();
      unsigned served[3] = { 0 };

      serve (wfq, 60, cases[i].weights, served, 3);
      for (unsigned j = 0; j < 3; j++)
        g_assert_cmpint (ABS ((int)served[j] - (int)cases[i].served[j]), <=,
                         1);
    }
}

static void
test_idle_earns_nothing (void)
{
  /* An account that was idle while another was served must not take all slots
     on its return.  */
  g_autoptr (wfq_t) wfq = wfq_new ();
  double weights[2] = { 1, 1 };
  unsigned served[2] = { 0 };

  wfq_set_backlogged (wfq, "a", "s");
  wfq_charge (wfq, "a", "s", 1e6, 1);
  serve (wfq, 20, weights, served, 2);
  g_assert_cmpint (served[0], >=, 9);
  g_assert_cmpint (served[1], >=, 9);
}

static void
test_idle_and_services (void)
{
  g_autoptr (wfq_t) wfq = wfq_new ();

  wfq_set_backlogged (wfq, "a", "s");
  wfq_set_backlogged (wfq, "b", "other");
  g_assert_cmpstr (wfq_next_account (wfq, "s"), ==, "a");
  wfq_set_idle (wfq, "a", "s");
  g_assert_null (wfq_next_account (wfq, "s"));
  g_assert_cmpstr (wfq_next_account (wfq, "other"), ==, "b");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wfq/weights", test_weights);
  g_test_add_func ("/wfq/idle-earns-nothing", test_idle_earns_nothing);
  g_test_add_func ("/wfq/idle-and-services", test_idle_and_services);
  return g_test_run ();
}
