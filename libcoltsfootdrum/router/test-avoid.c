/* Which agents a request avoids, and for how long.  */

#include "router/avoid.h"
#include <glib.h>

static const struct
{
  const char *agent;
  cfd_time_t now;
  bool avoided;
} cases[] = {
  /* "a" failed at 100 and again at 200, "b" at 150.  */
  { "a", 200, true },
  { "b", 200, true },
  { "c", 200, false },
  { "b", 150 + AVOID_AGENT_MS - 1, true },
  { "b", 150 + AVOID_AGENT_MS, false },
  { "a", 150 + AVOID_AGENT_MS, true },
  { "a", 200 + AVOID_AGENT_MS, false },
};

static void
test_cases (void)
{
  avoid_t avoid = { 0 };

  avoid_add (&avoid, "a", 100);
  avoid_add (&avoid, "b", 150);
  avoid_add (&avoid, "a", 200);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    g_assert_cmpint (avoid_contains (&avoid, cases[i].agent, cases[i].now), ==,
                     cases[i].avoided);
  avoid_clear (&avoid);
  g_assert_false (avoid_contains (&avoid, "a", 200));
}

/* The failure itself is not forgotten.  */
static void
test_has_failed (void)
{
  avoid_t avoid = { 0 };

  avoid_add (&avoid, "a", 100);
  g_assert_false (avoid_contains (&avoid, "a", 100 + AVOID_AGENT_MS));
  g_assert_true (avoid_has_failed (&avoid, "a"));
  g_assert_false (avoid_has_failed (&avoid, "b"));
  avoid_clear (&avoid);
}

/* With more agents than fit, the latest are kept.  */
static void
test_many (void)
{
  avoid_t avoid = { 0 };

  for (unsigned i = 0; i < AVOID_MAX_AGENTS + 2; i++)
    {
      g_autofree char *name = g_strdup_printf ("agent-%u", i);

      avoid_add (&avoid, name, 10);
    }
  g_assert_false (avoid_contains (&avoid, "agent-1", 20));
  g_assert_true (avoid_contains (&avoid, "agent-2", 20));
  g_assert_true (avoid_contains (&avoid, "agent-5", 20));
  avoid_clear (&avoid);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/avoid/cases", test_cases);
  g_test_add_func ("/avoid/has-failed", test_has_failed);
  g_test_add_func ("/avoid/many", test_many);
  return g_test_run ();
}
