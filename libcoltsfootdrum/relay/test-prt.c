/* Which parts of prompts are quarantined: ends that count, answers, parts that
   share ends, trials, and the memory that it takes.  */

#include "relay/prt.h"

#include <string.h>

#define NOW 1000000
/* From one end to the next.  */
#define STEP_MS 400
#define LETHAL 1u
#define SHARED 2u
#define OTHER 3u

static unsigned quarantined_count;

static void
on_quarantined (void *user, uint64_t part, const prt_state_t *state)
{
  quarantined_count++;
}

static void
decide (prt_t *prt, cfd_time_t now)
{
  prt_decide (prt, now, on_quarantined, NULL);
}

static cfd_time_t
get_time (unsigned step)
{
  return NOW + (cfd_time_t)step * STEP_MS;
}

/* ENDPOINT ends at its step under REQUEST, whose prompt has PART.  */
static void
add_end_at (prt_t *prt, uint64_t part, uint64_t endpoint, uint64_t request,
            cfd_time_t at)
{
  prt_event_t end = { .kind = PRT_END,
                      .part = part,
                      .endpoint = endpoint,
                      .request = request,
                      .at = at };

  prt_add (prt, at, &end);
}

static void
add_end (prt_t *prt, uint64_t part, unsigned step)
{
  add_end_at (prt, part, step, 100 + step, get_time (step));
}

static void
add_answer (prt_t *prt, uint64_t part, cfd_time_t at)
{
  prt_event_t answer = { .kind = PRT_ANSWER, .part = part, .at = at };

  prt_add (prt, at, &answer);
}

static bool
is_quarantined (const prt_t *prt, cfd_time_t now, uint64_t part)
{
  return prt_find (prt, now, part).verdict == PRT_QUARANTINED;
}

/* The part is in all prompts under which endpoints end, and is never answered;
   the one that all prompts begin with is.  */
static void
test_found (void)
{
  g_autoptr (prt_t) prt = prt_new ("one");

  add_answer (prt, SHARED, NOW);
  for (unsigned step = 1; step <= 3; step++)
    {
      g_assert_false (is_quarantined (prt, get_time (step), LETHAL));
      add_end (prt, SHARED, step);
      add_end (prt, LETHAL, step);
      decide (prt, get_time (step));
    }
  g_assert_true (is_quarantined (prt, get_time (3), LETHAL));
  g_assert_false (is_quarantined (prt, get_time (3), SHARED));
  /* The ends have a cause now.  */
  g_assert_cmpuint (prt_find (prt, get_time (3), SHARED).ends, ==, 0);
  g_assert_cmpuint (prt_get_epoch (prt), ==, 1);
}

/* No answer is known of either: the other one is in fewer of the ends.  */
static void
test_bystander (void)
{
  g_autoptr (prt_t) prt = prt_new ("one");

  for (unsigned step = 1; step <= 4; step++)
    {
      add_end (prt, LETHAL, step);
      if (step != 2)
        add_end (prt, OTHER, step);
      decide (prt, get_time (step));
    }
  g_assert_true (is_quarantined (prt, get_time (4), LETHAL));
  g_assert_false (is_quarantined (prt, get_time (4), OTHER));
}

/* Two parts are in all of the ends and have no answer: an end more decides, or
   both are quarantined after some more.  */
static void
test_rivals (void)
{
  g_autoptr (prt_t) prt = prt_new ("one");

  for (unsigned step = 1; step <= 5; step++)
    {
      add_end (prt, LETHAL, step);
      add_end (prt, OTHER, step);
      decide (prt, get_time (step));
      g_assert_false (is_quarantined (prt, get_time (step), LETHAL));
    }
  add_end (prt, LETHAL, 6);
  decide (prt, get_time (6));
  g_assert_true (is_quarantined (prt, get_time (6), LETHAL));
  g_assert_false (is_quarantined (prt, get_time (6), OTHER));
}

static void
test_inseparable (void)
{
  g_autoptr (prt_t) prt = prt_new ("one");

  for (unsigned step = 1; step <= 5; step++)
    {
      add_end (prt, LETHAL, step);
      add_end (prt, OTHER, step);
      decide (prt, get_time (step));
    }
  decide (prt, get_time (5) + PRT_DOUBT_MS - 1);
  g_assert_false (is_quarantined (prt, get_time (6), LETHAL));
  decide (prt, get_time (5) + PRT_DOUBT_MS);
  g_assert_true (is_quarantined (prt, get_time (10), LETHAL));
  g_assert_true (is_quarantined (prt, get_time (10), OTHER));
}

/* A part that was answered until lately needs one end more.  */
static void
test_answered_before (void)
{
  g_autoptr (prt_t) prt = prt_new ("one");

  add_answer (prt, LETHAL, NOW);
  for (unsigned step = 1; step <= 4; step++)
    {
      g_assert_false (is_quarantined (prt, get_time (step), LETHAL));
      add_end (prt, LETHAL, step);
      decide (prt, get_time (step));
    }
  g_assert_true (is_quarantined (prt, get_time (4), LETHAL));
}

/* Endpoints end for another reason all the time, and a part that was answered
   lately is in a few of the ends.  */
static void
test_by_chance (void)
{
  g_autoptr (prt_t) prt = prt_new ("one");

  add_answer (prt, SHARED, NOW);
  for (unsigned step = 1; step <= 20; step++)
    {
      add_end (prt, 1000 + step, step);
      if (step % 3 == 0)
        add_end (prt, SHARED, step);
      decide (prt, get_time (step));
    }
  decide (prt, get_time (30));
  g_assert_cmpuint (prt_count_active (prt), ==, 0);
}

/* An answer between two ends: endpoints end for other reasons.  */
static void
test_answered_between (void)
{
  g_autoptr (prt_t) prt = prt_new ("one");

  for (unsigned step = 1; step <= 20; step++)
    {
      add_end (prt, SHARED, step);
      if (step % 2 == 0)
        add_answer (prt, SHARED, get_time (step) + 1);
      decide (prt, get_time (step) + 2);
    }
  g_assert_cmpuint (prt_count_active (prt), ==, 0);
}

/* A rack fails, and one request is repeated: these are one end each.  */
static void
test_one_cause (void)
{
  g_autoptr (prt_t) prt = prt_new ("one");

  for (unsigned i = 1; i <= 6; i++)
    add_end_at (prt, SHARED, i, 100 + i, NOW + i);
  for (unsigned i = 1; i <= 6; i++)
    add_end_at (prt, OTHER, 10 + i, 200, NOW + i * STEP_MS);
  decide (prt, get_time (30));
  g_assert_cmpuint (prt_find (prt, get_time (30), SHARED).ends, ==, 1);
  g_assert_cmpuint (prt_find (prt, get_time (30), OTHER).ends, ==, 1);
  g_assert_cmpuint (prt_count_active (prt), ==, 0);
}

/* Endpoints end under one request with many parts: none of them is found.  */
static void
test_shared_with_quarantined (void)
{
  g_autoptr (prt_t) prt = prt_new ("one");

  for (unsigned step = 1; step <= 3; step++)
    {
      add_end (prt, LETHAL, step);
      decide (prt, get_time (step));
    }
  add_end (prt, LETHAL, 4);
  add_end (prt, OTHER, 4);
  add_end (prt, OTHER, 3);
  g_assert_cmpuint (prt_find (prt, get_time (4), OTHER).ends, ==, 0);
}

static prt_verdict_t
get_verdict (const prt_t *prt, cfd_time_t now)
{
  return prt_find (prt, now, LETHAL).verdict;
}

/* Returns when PRT may send a trial, after FROM.  */
static cfd_time_t
find_trial_time (const prt_t *prt, cfd_time_t from)
{
  return from + prt_find (prt, from, LETHAL).left_ms;
}

/* A trial is one request.  An end prolongs the quarantine, an answer ends it.
 */
static void
test_trial (void)
{
  g_autoptr (prt_t) prt = prt_new ("one");
  cfd_time_t last = get_time (3);
  prt_event_t trial = { .kind = PRT_TRIAL, .part = LETHAL };
  cfd_time_t due;

  for (unsigned step = 1; step <= 3; step++)
    add_end (prt, LETHAL, step);
  decide (prt, last);
  due = find_trial_time (prt, last);
  g_assert_cmpint (due, >=, last + PRT_MIN_MS);
  g_assert_cmpint (due, <=, last + PRT_MIN_MS * 5 / 4);
  prt_sweep (prt, due - 1);
  g_assert_cmpint (get_verdict (prt, due - 1), ==, PRT_QUARANTINED);
  g_assert_cmpint (get_verdict (prt, due), ==, PRT_ON_TRIAL);
  trial.at = due;
  prt_add (prt, due, &trial);
  g_assert_cmpint (get_verdict (prt, due + 1), ==, PRT_QUARANTINED);
  add_end_at (prt, LETHAL, 50, 500, due + 100);
  g_assert_cmpint (find_trial_time (prt, due + 100), >=,
                   due + 100 + 2 * PRT_MIN_MS);
  due = find_trial_time (prt, due + 100);
  trial.at = due;
  prt_add (prt, due, &trial);
  add_answer (prt, LETHAL, due + 100);
  g_assert_cmpint (get_verdict (prt, due + 101), ==, PRT_FREE);
  g_assert_cmpuint (prt_count_active (prt), ==, 0);
}

/* Routers send trials at different times, and learn of each other's.  */
static void
test_trials_spread (void)
{
  prt_t *routers[2] = { prt_new ("one"), prt_new ("two") };
  prt_event_t trial = { .kind = PRT_TRIAL, .part = LETHAL };
  cfd_time_t last = get_time (3);
  cfd_time_t due[2];

  for (unsigned i = 0; i < 2; i++)
    {
      for (unsigned step = 1; step <= 3; step++)
        add_end (routers[i], LETHAL, step);
      decide (routers[i], last);
      due[i] = find_trial_time (routers[i], last);
    }
  g_assert_cmpint (due[0], !=, due[1]);
  trial.at = MAX (due[0], due[1]);
  prt_add_peer (routers[0], trial.at, &trial);
  prt_add_peer (routers[1], trial.at, &trial);
  for (unsigned i = 0; i < 2; i++)
    {
      g_assert_true (is_quarantined (routers[i], trial.at, LETHAL));
      prt_free (routers[i]);
    }
}

/* Answers at one router count at another before it decides.  */
static void
test_answers_elsewhere (void)
{
  g_autoptr (prt_t) knows = prt_new ("knows");
  g_autoptr (prt_t) judges = prt_new ("judges");
  uint64_t last[2] = { 0 };

  add_answer (knows, SHARED, NOW);
  for (unsigned step = 1; step <= PRT_MAX_ENDS; step++)
    {
      cfd_time_t now = get_time (step);
      g_autoptr (GArray) ends = NULL;
      g_autoptr (GArray) answers = NULL;

      add_end (judges, SHARED, step);
      ends = prt_collect (judges, now, &last[0], CFD_TIME_NEVER, false);
      for (guint i = 0; i < ends->len; i++)
        prt_add_peer (knows, now, &g_array_index (ends, prt_event_t, i));
      answers = prt_collect (knows, now, &last[1], CFD_TIME_NEVER, false);
      for (guint i = 0; i < answers->len; i++)
        prt_add_peer (judges, now, &g_array_index (answers, prt_event_t, i));
      decide (judges, now);
    }
  g_assert_cmpuint (prt_count_active (judges), ==, 0);
}

static void
test_parse (void)
{
  g_autoptr (GArray) keys = prt_parse ("app", "5c1e:800, 91BD:410,e440:250");
  g_autoptr (GArray) other = prt_parse ("app", "ffff:1,91bd:3,aa:2");
  g_autoptr (GArray) elsewhere = prt_parse ("app2", "ffff:1,91bd:3,aa:2");

  g_assert_cmpuint (keys->len, ==, 2);
  g_assert_cmpuint (g_array_index (keys, uint64_t, 1), ==,
                    g_array_index (other, uint64_t, 1));
  g_assert_cmpuint (g_array_index (keys, uint64_t, 1), !=,
                    g_array_index (elsewhere, uint64_t, 1));
  g_assert_null (prt_parse ("app", "5c1e:800"));
  g_assert_null (prt_parse ("app", ""));
  g_assert_null (prt_parse ("app", ",:,"));
}

/* Each of many endpoints ends under prompts with many invented parts: memory
   and datagrams stay bounded, and what is quarantined is kept.  */
static void
test_flood (void)
{
  g_autoptr (prt_t) prt = prt_new ("one");
  g_autoptr (GArray) events = NULL;
  uint64_t last = 0;
  cfd_time_t now = get_time (400);

  for (unsigned step = 1; step <= 3; step++)
    add_end (prt, LETHAL, step);
  decide (prt, get_time (3));
  for (unsigned step = 4; step <= 400; step++)
    {
      for (unsigned i = 0; i < PRT_MAX_PARTS; i++)
        add_end (prt, 1000 + i + (step % 64) * PRT_MAX_PARTS, step);
      decide (prt, get_time (step));
    }
  for (unsigned i = 0; i < 100000; i++)
    add_answer (prt, 1000000 + i, now);
  g_assert_cmpuint (prt_count (prt), <=, 4096);
  g_assert_true (is_quarantined (prt, get_time (3) + PRT_MIN_MS - 1, LETHAL));
  events = prt_collect (prt, now, &last, CFD_TIME_NEVER, true);
  g_assert_cmpuint (events->len, <=, 768 + PRT_MAX_UNSETTLED);
  g_assert_true (g_array_index (events, prt_event_t, 0).part != 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/prt/found", test_found);
  g_test_add_func ("/prt/bystander", test_bystander);
  g_test_add_func ("/prt/rivals", test_rivals);
  g_test_add_func ("/prt/inseparable", test_inseparable);
  g_test_add_func ("/prt/answered-before", test_answered_before);
  g_test_add_func ("/prt/by-chance", test_by_chance);
  g_test_add_func ("/prt/answered-between", test_answered_between);
  g_test_add_func ("/prt/one-cause", test_one_cause);
  g_test_add_func ("/prt/shared-with-quarantined",
                   test_shared_with_quarantined);
  g_test_add_func ("/prt/trial", test_trial);
  g_test_add_func ("/prt/trials-spread", test_trials_spread);
  g_test_add_func ("/prt/answers-elsewhere", test_answers_elsewhere);
  g_test_add_func ("/prt/parse", test_parse);
  g_test_add_func ("/prt/flood", test_flood);
  return g_test_run ();
}
