/* Fairness check, against a simulated router: accounts with virtual times, one
   of which takes each slot.  */

#include "router/fairness.h"

#define ACCOUNTS 6u
#define SLOTS 2000u
#define SLOT_INTERVAL_MS 10

typedef struct
{
  const char *name;
  bool picks_first; /* wrong order: the first waiting account takes the slot */
  bool perturbs;    /* accounts come and go, virtual times change */
  double counted_ratio; /* part of account 0's charges that is counted */
  fairness_verdict_t worst;
} case_t;

static const case_t cases[] = {
  { "least first", false, false, 1, FAIRNESS_OK },
  { "least first, with other changes", false, true, 1, FAIRNESS_OK },
  /* The other accounts wait while account 0 has work.  */
  { "first come", true, false, 1, FAIRNESS_OUT_OF_ORDER },
  /* The order is correct, but account 0 takes all slots.  */
  { "a charge is lost", false, false, 0, FAIRNESS_BOUND_EXCEEDED },
  { "a charge is lost in part", false, false, 0.1, FAIRNESS_BOUND_EXCEEDED },
};

static const char *const names[ACCOUNTS] = { "a", "b", "c", "d", "e", "f" };

typedef struct
{
  const case_t *test;
  fairness_t *fairness;
  GRand *rand;
  double virtual_times[ACCOUNTS];
  bool is_waiting[ACCOUNTS];
  bool is_eligible[ACCOUNTS]; /* for the current slot */
  cfd_time_t now;
  fairness_verdict_t worst;
} simulation_t;

/* Makes a random change that may occur between two slots.  */
static void
perturb (simulation_t *sim)
{
  unsigned index = g_rand_int_range (sim->rand, 0, ACCOUNTS);
  double delta = g_rand_double_range (sim->rand, -3000, 3000);

  switch (g_rand_int_range (sim->rand, 0, 4))
    {
    case 0:
      sim->virtual_times[index] += delta;
      fairness_adjust (sim->fairness, names[index], "s", delta);
      return;
    case 1:
      sim->is_waiting[index] = !sim->is_waiting[index];
      if (!sim->is_waiting[index])
        fairness_end_wait (sim->fairness, names[index], "s");
      return;
    case 2:
      sim->is_eligible[index] = !sim->is_eligible[index];
      return;
    default:
      sim->now += delta > 2900 ? FAIRNESS_EXPIRY_MS + 1 : 0;
      fairness_expire (sim->fairness, sim->now);
      return;
    }
}

static int
choose (const simulation_t *sim)
{
  int best = -1;

  for (unsigned i = 0; i < ACCOUNTS; i++)
    if (sim->is_waiting[i] && sim->is_eligible[i]
        && (best < 0
            || (!sim->test->picks_first
                && sim->virtual_times[i] < sim->virtual_times[best])))
      best = (int)i;
  return best;
}

static void
assign_slot (simulation_t *sim)
{
  int index = choose (sim);
  double charge = g_rand_double_range (sim->rand, 1, 500);

  if (index < 0)
    return;
  const fairness_slot_t slot
      = { names[index], "s", sim->virtual_times[index], charge };
  for (unsigned i = 0; i < ACCOUNTS; i++)
    if ((int)i != index && sim->is_waiting[i])
      sim->worst = MAX (sim->worst,
                        fairness_check_passed (sim->fairness, &slot, names[i],
                                               sim->virtual_times[i],
                                               sim->is_eligible[i], sim->now));
  fairness_assign (sim->fairness, &slot, sim->now);
  sim->virtual_times[index]
      += index == 0 ? sim->test->counted_ratio * charge : charge;
}

static fairness_verdict_t
simulate (const case_t *test, guint32 seed)
{
  g_autoptr (fairness_t) fairness = fairness_new ();
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  simulation_t sim
      = { .test = test, .fairness = fairness, .rand = rand, .now = 1 };

  for (unsigned i = 0; i < ACCOUNTS; i++)
    {
      sim.virtual_times[i] = g_rand_double_range (rand, 0, 2000);
      sim.is_waiting[i] = true;
      sim.is_eligible[i] = true;
    }
  for (unsigned i = 0; i < SLOTS; i++)
    {
      sim.now += SLOT_INTERVAL_MS;
      if (test->perturbs)
        perturb (&sim);
      assign_slot (&sim);
    }
  return sim.worst;
}

static void
test_verdicts (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (guint32 seed = 1; seed <= 50; seed++)
      {
        fairness_verdict_t worst = simulate (&cases[i], seed);

        g_test_message ("%s, seed %u", cases[i].name, seed);
        g_assert_cmpint (worst, ==, cases[i].worst);
      }
}

/* The metric for operators: how long others were served in an account's place,
   not how long nobody was served.  */
static void
test_longest_wait (void)
{
  g_autoptr (fairness_t) fairness = fairness_new ();
  const fairness_slot_t other_slot = { "b", "s", 0, 1 };
  const fairness_slot_t own_slot = { "a", "s", 0, 1 };

  fairness_check_passed (fairness, &other_slot, "a", 10, false, 1000);
  fairness_check_passed (fairness, &other_slot, "a", 10, true, 2000);
  g_assert_cmpint (fairness_longest_wait_ms (fairness), ==, 0);
  fairness_check_passed (fairness, &other_slot, "a", 10, true, 2700);
  fairness_check_passed (fairness, &other_slot, "a", 10, false, 9000);
  g_assert_cmpint (fairness_longest_wait_ms (fairness), ==, 700);
  fairness_assign (fairness, &own_slot, 9000);
  g_assert_cmpint (fairness_longest_wait_ms (fairness), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fairness/verdicts", test_verdicts);
  g_test_add_func ("/fairness/longest-wait", test_longest_wait);
  return g_test_run ();
}
