/* Whether an endpoint may be cold, and when it has to be asked.  */

#include "relay/wrm.h"

#include <glib.h>

#define NOW ((cfd_time_t)1000000)
#define WARM_UP_MS 3000

static wrm_t
make_warm (void)
{
  wrm_t wrm;

  wrm_init (&wrm);
  wrm.warm_up_ms = WARM_UP_MS;
  wrm_note_asked (&wrm, NOW - 1);
  return wrm;
}

typedef struct
{
  const char *name;
  wrm_suspicion_t suspicion;
  int64_t list_at;   /* a list is current as of then; -1: none is */
  int64_t answer_at; /* the endpoint says that it is warm; -1: it doesn't */
  int64_t cold_ms;   /* for how long it counts as cold */
} evidence_case_t;

static const evidence_case_t evidence_cases[] = {
  { "none", WRM_CONFIRMED, -1, -1, 0 },
  { "unconfirmed", WRM_UNCONFIRMED, -1, -1, WARM_UP_MS },
  { "unconfirmed-old-list", WRM_UNCONFIRMED, -2, -1, WARM_UP_MS },
  { "unconfirmed-list", WRM_UNCONFIRMED, 100, -1, 100 },
  /* A list that was asked for in the millisecond of the suspicion may be from
     before it.  */
  { "unconfirmed-list-same", WRM_UNCONFIRMED, 0, -1, WARM_UP_MS },
  { "unconfirmed-list-next", WRM_UNCONFIRMED, 1, -1, 1 },
  { "ended", WRM_ENDED, -1, -1, WARM_UP_MS },
  /* The list still has what the old process reported.  */
  { "ended-list", WRM_ENDED, 100, -1, WARM_UP_MS },
  { "ended-answer", WRM_ENDED, -1, 40, 40 },
};

static void
test_evidence (gconstpointer data)
{
  const evidence_case_t *one = data;
  wrm_t wrm = make_warm ();
  int64_t cold_ms = 0;

  if (one->suspicion != WRM_CONFIRMED)
    wrm_suspect (&wrm, NOW, one->suspicion);
  for (int64_t ms = 0; ms < 2 * WARM_UP_MS; ms++)
    {
      if (ms == one->list_at || (ms == 0 && one->list_at == -2))
        wrm_confirm (&wrm, NOW + one->list_at);
      if (ms == one->answer_at)
        wrm_note_answer (&wrm, NOW + ms, 0);
      cold_ms += wrm_is_cold (&wrm, NOW + ms);
    }
  g_assert_cmpint (cold_ms, ==, one->cold_ms);
}

/* An endpoint that is down for long is cold when it returns.  */
static void
test_down_for_long (void)
{
  wrm_t wrm = make_warm ();

  g_assert_true (wrm_suspect (&wrm, NOW, WRM_ENDED));
  for (int64_t ms = 250; ms < 10000; ms += 250)
    {
      g_assert_true (wrm_is_cold (&wrm, NOW + ms));
      g_assert_false (wrm_suspect (&wrm, NOW + ms, WRM_ENDED));
    }
  g_assert_true (wrm_is_cold (&wrm, NOW + 9750 + WARM_UP_MS - 1));
  g_assert_false (wrm_is_cold (&wrm, NOW + 9750 + WARM_UP_MS));
}

/* A zone's return doesn't let a list confirm what may have ended.  */
static void
test_stronger_suspicion_stays (void)
{
  wrm_t wrm = make_warm ();

  g_assert_true (wrm_suspect (&wrm, NOW, WRM_UNCONFIRMED));
  g_assert_true (wrm_suspect (&wrm, NOW + 1, WRM_ENDED));
  g_assert_false (wrm_suspect (&wrm, NOW + 2, WRM_UNCONFIRMED));
  g_assert_false (wrm_confirm (&wrm, NOW + 3));
  g_assert_true (wrm_is_cold (&wrm, NOW + 3));
}

/* What an endpoint says about its cold time holds, but never shortens what is
   known; one that can't be cold never is.  */
static void
test_cold_time (void)
{
  wrm_t wrm = make_warm ();

  g_assert_true (wrm_set_cold (&wrm, NOW, 2000));
  g_assert_false (wrm_set_cold (&wrm, NOW, 1000));
  wrm_note_answer (&wrm, NOW, 0);
  g_assert_true (wrm_is_cold (&wrm, NOW + 1999));
  g_assert_false (wrm_is_cold (&wrm, NOW + 2000));
  wrm.warm_up_ms = 0;
  wrm_suspect (&wrm, NOW + 3000, WRM_ENDED);
  g_assert_false (wrm_is_cold (&wrm, NOW + 3000));
  g_assert_false (wrm_must_ask (&wrm, NOW + 3000, 0, WRM_ASK_INTERVAL_MS));
}

/* Returns the first time at which a router of RANK asks, from NOW on.  */
static int64_t
find_first_question (const wrm_t *wrm, unsigned rank)
{
  for (int64_t ms = 0; ms < 2 * WARM_UP_MS; ms++)
    if (wrm_must_ask (wrm, NOW + ms, rank, WRM_ASK_INTERVAL_MS))
      return ms;
  return -1;
}

/* One router asks at intervals.  */
static void
test_asked_at_intervals (void)
{
  wrm_t wrm = make_warm ();

  g_assert_cmpint (find_first_question (&wrm, 0), ==, WRM_ASK_INTERVAL_MS - 1);
  g_assert_cmpint (find_first_question (&wrm, 1), ==, -1);
  wrm_init (&wrm);
  wrm.warm_up_ms = WARM_UP_MS;
  g_assert_cmpint (find_first_question (&wrm, 0), ==, 0);
}

/* No more than 15 requests come in one interval, down to the shortest.  */
static void
test_interval_by_rate (void)
{
  wrm_t wrm = make_warm ();

  g_assert_cmpint (wrm_get_interval_ms (0.), ==, WRM_ASK_INTERVAL_MS);
  g_assert_cmpint (wrm_get_interval_ms (30.), ==, WRM_ASK_INTERVAL_MS);
  g_assert_cmpint (wrm_get_interval_ms (100.), ==, 150);
  g_assert_cmpint (wrm_get_interval_ms (300.), ==, 50);
  g_assert_cmpint (wrm_get_interval_ms (4000.), ==, 50);
  wrm_note_asked (&wrm, NOW);
  g_assert_false (wrm_must_ask (&wrm, NOW + 199, 0, 200));
  g_assert_true (wrm_must_ask (&wrm, NOW + 200, 0, 200));
}

/* One that may have ended is asked at once by the first router that knows, and
   by the others only if they haven't learned that it is cold by then.  */
static void
test_asked_after_end (void)
{
  wrm_t wrm = make_warm ();
  int64_t last = -1;

  wrm_suspect (&wrm, NOW, WRM_ENDED);
  for (unsigned rank = 0; rank < 6; rank++)
    {
      int64_t first = find_first_question (&wrm, rank);

      g_assert_cmpint (first, >, last);
      last = first;
    }
  g_assert_cmpint (find_first_question (&wrm, 1000), <=, 500);
  /* One that is known to be cold is asked again before it is warm.  */
  wrm_set_cold (&wrm, NOW, WARM_UP_MS);
  g_assert_cmpint (find_first_question (&wrm, 0), ==,
                   WARM_UP_MS - WRM_ASK_INTERVAL_MS);
  /* One that can't be reached is asked again soon by the first ones.  */
  wrm = make_warm ();
  wrm_suspect (&wrm, NOW, WRM_ENDED);
  wrm_note_asked (&wrm, NOW);
  wrm_suspect (&wrm, NOW, WRM_ENDED);
  g_assert_cmpint (find_first_question (&wrm, 0), ==, 50);
  g_assert_cmpint (find_first_question (&wrm, 3), ==, WRM_ASK_INTERVAL_MS);
  /* One that can, but rejects the question, isn't.  */
  wrm_note_asked (&wrm, NOW + 1);
  g_assert_cmpint (find_first_question (&wrm, 0), ==, WRM_ASK_INTERVAL_MS + 1);
}

/* A few ask as soon as another endpoint is found to be cold: the first one may
   have failed.  */
static void
test_asked_after_alert (void)
{
  wrm_t wrm = make_warm ();

  wrm_alert (&wrm, NOW);
  g_assert_true (wrm_is_urgent (&wrm, NOW));
  for (unsigned rank = 0; rank < 3; rank++)
    g_assert_cmpint (find_first_question (&wrm, rank), ==, rank * 25);
  g_assert_cmpint (find_first_question (&wrm, 3), ==, -1);
  wrm_note_asked (&wrm, NOW);
  g_assert_cmpint (find_first_question (&wrm, 0), ==, WRM_ASK_INTERVAL_MS);
  g_assert_cmpint (find_first_question (&wrm, 1), ==, -1);
  g_assert_false (wrm_is_urgent (&wrm, NOW));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (evidence_cases); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/wrm/evidence/%s", evidence_cases[i].name);

      g_test_add_data_func (path, &evidence_cases[i], test_evidence);
    }
  g_test_add_func ("/wrm/down-for-long", test_down_for_long);
  g_test_add_func ("/wrm/stronger-suspicion-stays",
                   test_stronger_suspicion_stays);
  g_test_add_func ("/wrm/cold-time", test_cold_time);
  g_test_add_func ("/wrm/asked-at-intervals", test_asked_at_intervals);
  g_test_add_func ("/wrm/interval-by-rate", test_interval_by_rate);
  g_test_add_func ("/wrm/asked-after-end", test_asked_after_end);
  g_test_add_func ("/wrm/asked-after-alert", test_asked_after_alert);
  return g_test_run ();
}
