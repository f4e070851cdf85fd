/* Whose turn it was, against a router that is played here: accounts with
   virtual times, one of which takes each slot.  */

#include "router/fairness.h"

#define ACCOUNTS 6u
#define TURNS 2000u
#define TURN_MS 10

typedef struct
{
  const char *name;
  bool is_first; /* a wrong order: the first that waits takes the slot */
  bool is_wild;  /* accounts come and go, homes and corrections move them */
  double kept;   /* part of each charge of account 0 that is counted */
  fairness_verdict_t worst;
} case_t;

static const case_t cases[] = {
  { "least first", false, false, 1, FAIRNESS_OK },
  { "least first, all else moves", false, true, 1, FAIRNESS_OK },
  /* The others' callers wait while account 0 has work.  */
  { "first come", true, false, 1, FAIRNESS_OUT_OF_ORDER },
  /* The order is right, and account 0 takes all slots.  */
  { "a charge is lost", false, false, 0, FAIRNESS_BOUND_EXCEEDED },
  { "a charge is lost in part", false, false, 0.1, FAIRNESS_BOUND_EXCEEDED },
};

static const char *const names[ACCOUNTS] = { "a", "b", "c", "d", "e", "f" };

typedef struct
{
  const case_t *test;
  fairness_t *turns;
  GRand *rand;
  double times[ACCOUNTS];
  bool waits[ACCOUNTS];
  bool may[ACCOUNTS]; /* take the present slot */
  cfd_time_t now;
  fairness_verdict_t worst;
} play_t;

/* Anything that may lawfully come between two slots.  */
static void
stir (play_t *play)
{
  unsigned who = g_rand_int_range (play->rand, 0, ACCOUNTS);
  double by = g_rand_double_range (play->rand, -3000, 3000);

  switch (g_rand_int_range (play->rand, 0, 4))
    {
    case 0:
      play->times[who] += by;
      fairness_adjust (play->turns, names[who], "s", by);
      return;
    case 1:
      play->waits[who] = !play->waits[who];
      if (!play->waits[who])
        fairness_end_wait (play->turns, names[who], "s");
      return;
    case 2:
      play->may[who] = !play->may[who];
      return;
    default:
      play->now += by > 2900 ? FAIRNESS_EXPIRY_MS + 1 : 0;
      fairness_expire (play->turns, play->now);
      return;
    }
}

static int
choose (const play_t *play)
{
  int best = -1;

  for (unsigned i = 0; i < ACCOUNTS; i++)
    if (play->waits[i] && play->may[i]
        && (best < 0
            || (!play->test->is_first && play->times[i] < play->times[best])))
      best = (int)i;
  return best;
}

static void
slot (play_t *play)
{
  int who = choose (play);
  double charge = g_rand_double_range (play->rand, 1, 500);

  if (who < 0)
    return;
  const fairness_slot_t turn = { names[who], "s", play->times[who], charge };
  for (unsigned i = 0; i < ACCOUNTS; i++)
    if ((int)i != who && play->waits[i])
      play->worst
          = MAX (play->worst, fairness_check_passed (play->turns, &turn,
                                                     names[i], play->times[i],
                                                     play->may[i], play->now));
  fairness_assign (play->turns, &turn, play->now);
  play->times[who] += who == 0 ? play->test->kept * charge : charge;
}

static fairness_verdict_t
run (const case_t *test, guint32 seed)
{
  g_autoptr (fairness_t) turns = fairness_new ();
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  play_t play = { .test = test, .turns = turns, .rand = rand, .now = 1 };

  for (unsigned i = 0; i < ACCOUNTS; i++)
    {
      play.times[i] = g_rand_double_range (rand, 0, 2000);
      play.waits[i] = true;
      play.may[i] = true;
    }
  for (unsigned i = 0; i < TURNS; i++)
    {
      play.now += TURN_MS;
      if (test->is_wild)
        stir (&play);
      slot (&play);
    }
  return play.worst;
}

static void
test_verdicts (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (guint32 seed = 1; seed <= 50; seed++)
      {
        fairness_verdict_t worst = run (&cases[i], seed);

        g_test_message ("%s, seed %u", cases[i].name, seed);
        g_assert_cmpint (worst, ==, cases[i].worst);
      }
}

/* What operators see: how long others were served in an account's place, and
   not how long nobody was.  */
static void
test_longest (void)
{
  g_autoptr (fairness_t) turns = fairness_new ();
  const fairness_slot_t other = { "b", "s", 0, 1 };
  const fairness_slot_t own = { "a", "s", 0, 1 };

  fairness_check_passed (turns, &other, "a", 10, false, 1000);
  fairness_check_passed (turns, &other, "a", 10, true, 2000);
  g_assert_cmpint (fairness_longest_wait_ms (turns), ==, 0);
  fairness_check_passed (turns, &other, "a", 10, true, 2700);
  fairness_check_passed (turns, &other, "a", 10, false, 9000);
  g_assert_cmpint (fairness_longest_wait_ms (turns), ==, 700);
  fairness_assign (turns, &own, 9000);
  g_assert_cmpint (fairness_longest_wait_ms (turns), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fairness/verdicts", test_verdicts);
  g_test_add_func ("/fairness/longest-wait", test_longest);
  return g_test_run ();
}
