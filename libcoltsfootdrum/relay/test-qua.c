/* Which requests are quarantined: the ends that count, answers, how long it
   lasts, what routers exchange, and the memory that it takes.  */

#include "relay/qua.h"

#define NOW 1000000
#define REQUEST 7u     /* one that may coincide */
#define OWN_REQUEST 8u /* one that may not */
/* From one end to the next.  */
#define STEP_MS 200

static qua_event_t
make_end (uint64_t request, uint64_t endpoint, cfd_time_t sent_at,
          cfd_time_t at)
{
  return (qua_event_t){
    .request = request, .endpoint = endpoint, .sent_at = sent_at, .at = at
  };
}

/* Adds the end of ENDPOINT under REQUEST, STEP_MS after that of the endpoint
   before it and sent in between.  */
static bool
add_end (qua_t *qua, uint64_t endpoint)
{
  cfd_time_t at = NOW + (cfd_time_t)endpoint * STEP_MS;
  qua_event_t end = make_end (REQUEST, endpoint, at - STEP_MS / 2, at);

  return qua_add (qua, at, &end);
}

static bool
is_active (const qua_t *qua, cfd_time_t now)
{
  return qua_find (qua, now, REQUEST).is_active;
}

typedef struct
{
  const char *name;
  struct
  {
    uint64_t endpoint;
    int sent_ms;
    int ended_ms;
  } ends[5];
  unsigned counted;
} case_t;

static const case_t cases[] = {
  { "one-after-the-other",
    { { 1, 0, 100 }, { 2, 110, 200 }, { 3, 210, 300 } },
    3 },
  { "any-order", { { 3, 210, 300 }, { 1, 0, 100 }, { 2, 110, 200 } }, 3 },
  /* A rack fails with three endpoints that run the same lookup.  */
  { "at-one-moment", { { 1, 0, 300 }, { 2, 10, 301 }, { 3, 20, 305 } }, 1 },
  { "two-at-one-moment",
    { { 1, 0, 300 }, { 2, 10, 301 }, { 3, 320, 400 } },
    2 },
  /* An endpoint that stays silent is found to have ended again and again. */
  { "one-endpoint",
    { { 1, 0, 100 }, { 1, 200, 300 }, { 1, 400, 500 }, { 1, 600, 700 } },
    1 },
  /* Routers measure other delays.  */
  { "clocks-differ", { { 1, 0, 100 }, { 2, 70, 200 }, { 3, 170, 300 } }, 3 },
  { "five",
    { { 1, 0, 100 },
      { 2, 110, 200 },
      { 3, 210, 300 },
      { 4, 310, 400 },
      { 5, 410, 500 } },
    5 },
};

static void
test_counted (gconstpointer data)
{
  const case_t *one = data;
  g_autoptr (qua_t) qua = qua_new ();
  qua_state_t state;

  for (unsigned i = 0;
       i < G_N_ELEMENTS (one->ends) && one->ends[i].endpoint != 0; i++)
    {
      qua_event_t end
          = make_end (REQUEST, one->ends[i].endpoint,
                      NOW + one->ends[i].sent_ms, NOW + one->ends[i].ended_ms);

      qua_add (qua, NOW + 1000, &end);
    }
  state = qua_find (qua, NOW + 1000, REQUEST);
  g_assert_cmpuint (state.ends, ==, one->counted);
  g_assert_cmpint (state.is_active, ==, one->counted >= QUA_MAX_ENDS);
  g_assert_cmpuint (qua_find (qua, NOW + 1000, REQUEST + 1).ends, ==, 0);
}

/* A caller that lost an answer sends three copies at once: each of the ends is
   one of its request.  */
static void
test_copies_at_once (void)
{
  g_autoptr (qua_t) qua = qua_new ();

  for (unsigned i = 1; i <= QUA_MAX_ENDS; i++)
    {
      qua_event_t end = make_end (OWN_REQUEST, i, NOW, NOW + 100 + i);

      qua_add (qua, end.at, &end);
    }
  g_assert_true (qua_find (qua, NOW + 200, OWN_REQUEST).is_active);
  g_assert_cmpuint (qua_make_key (REQUEST, true), ==, REQUEST);
  g_assert_cmpuint (qua_make_key (REQUEST, false), !=, REQUEST);
}

/* The third end quarantines, once.  */
static void
test_begins (void)
{
  g_autoptr (qua_t) qua = qua_new ();

  g_assert_false (add_end (qua, 1));
  g_assert_false (add_end (qua, 2));
  g_assert_false (is_active (qua, NOW + 2 * STEP_MS));
  g_assert_true (add_end (qua, 3));
  g_assert_true (is_active (qua, NOW + 3 * STEP_MS));
  g_assert_cmpuint (qua_get_epoch (qua), ==, 1);
  g_assert_false (add_end (qua, 4));
  g_assert_cmpuint (qua_count_active (qua, NOW + 4 * STEP_MS), ==, 1);
}

/* It ends by itself; a further end begins one twice as long.  */
static void
test_lasts (void)
{
  g_autoptr (qua_t) qua = qua_new ();
  cfd_time_t last = NOW + 3 * STEP_MS;
  qua_event_t end
      = make_end (REQUEST, 4, last + QUA_MIN_MS + 10, last + QUA_MIN_MS + 20);

  for (uint64_t i = 1; i <= 3; i++)
    add_end (qua, i);
  g_assert_true (is_active (qua, last + QUA_MIN_MS - 1));
  g_assert_cmpint (qua_find (qua, last + 1000, REQUEST).left_ms, ==,
                   QUA_MIN_MS - 1000);
  qua_sweep (qua, last + QUA_MIN_MS);
  g_assert_false (is_active (qua, last + QUA_MIN_MS));
  g_assert_true (qua_add (qua, end.at, &end));
  g_assert_true (is_active (qua, end.at + 2 * QUA_MIN_MS - 1));
  g_assert_false (is_active (qua, end.at + 2 * QUA_MIN_MS));
  qua_sweep (qua, end.at + 4 * QUA_MIN_MS);
  g_assert_cmpuint (qua_count (qua), ==, 0);
}

/* An answer shows that the request doesn't end each endpoint: the ends before
   it no longer count, also when they are reported later.  */
static void
test_answered (void)
{
  g_autoptr (qua_t) qua = qua_new ();
  cfd_time_t answered = NOW + 3 * STEP_MS + 1;
  qua_event_t answer = make_end (REQUEST, 0, NOW, answered);
  qua_event_t late = make_end (REQUEST, 9, NOW, answered - 10);

  qua_add (qua, answered, &answer);
  g_assert_cmpuint (qua_count (qua), ==, 0);
  for (uint64_t i = 1; i <= 3; i++)
    add_end (qua, i);
  qua_add (qua, answered, &answer);
  g_assert_false (is_active (qua, answered));
  g_assert_false (qua_add_peer (qua, answered, &late));
  g_assert_cmpuint (qua_find (qua, answered, REQUEST).ends, ==, 0);
  add_end (qua, 4);
  g_assert_cmpuint (qua_find (qua, answered + 1000, REQUEST).ends, ==, 1);
}

static void
exchange (qua_t *from, qua_t *to, cfd_time_t now, uint64_t *last, bool full)
{
  g_autoptr (GArray) events
      = qua_collect (from, now, last, full ? now - 400 : CFD_TIME_NEVER, full);

  for (guint i = 0; i < events->len; i++)
    qua_add_peer (to, now, &g_array_index (events, qua_event_t, i));
}

/* Ends at three routers add up at each of them, and an answer reaches all.  */
static void
test_exchanged (void)
{
  qua_t *routers[3] = { qua_new (), qua_new (), qua_new () };
  uint64_t last[3] = { 0 };
  cfd_time_t now = NOW + 4 * STEP_MS;
  qua_event_t answer = make_end (REQUEST, 0, now, now);

  for (unsigned i = 0; i < 3; i++)
    add_end (routers[i], i + 1);
  for (unsigned i = 0; i < 3; i++)
    for (unsigned j = 0; j < 3; j++)
      {
        uint64_t before = last[i];

        exchange (routers[i], routers[j], now, &before, false);
      }
  for (unsigned i = 0; i < 3; i++)
    g_assert_true (is_active (routers[i], now));
  for (unsigned i = 0; i < 3; i++)
    last[i] = 1;
  qua_add (routers[1], now, &answer);
  exchange (routers[1], routers[2], now, &last[1], false);
  g_assert_true (is_active (routers[0], now));
  g_assert_false (is_active (routers[2], now));
  for (unsigned i = 0; i < 3; i++)
    qua_free (routers[i]);
}

/* A router that starts later learns of a quarantine from the full state of any
   other, a router that began none of it among them.  */
static void
test_learnt_later (void)
{
  g_autoptr (qua_t) first = qua_new ();
  g_autoptr (qua_t) second = qua_new ();
  g_autoptr (qua_t) late = qua_new ();
  uint64_t last = 0;
  cfd_time_t now = NOW + 30000;

  for (uint64_t i = 1; i <= 3; i++)
    add_end (first, i);
  exchange (first, second, NOW + 3 * STEP_MS, &last, true);
  last = 0;
  exchange (second, late, now, &last, false);
  g_assert_false (is_active (late, now));
  exchange (second, late, now, &last, true);
  g_assert_true (is_active (late, now));
}

/* Each of many endpoints ends under many requests: the memory stays bounded,
   and what is quarantined is kept.  */
static void
test_flood (void)
{
  g_autoptr (qua_t) qua = qua_new ();
  g_autoptr (GArray) events = NULL;
  uint64_t last = 0;

  for (uint64_t i = 1; i <= 3; i++)
    add_end (qua, i);
  for (uint64_t i = 0; i < 100000; i++)
    {
      qua_event_t end
          = make_end (1000 + i, 1 + i % 64, NOW + 2000, NOW + 3000);

      qua_add (qua, NOW + 3000, &end);
    }
  g_assert_cmpuint (qua_count (qua), <=, 8192);
  g_assert_true (is_active (qua, NOW + 3000));
  events = qua_collect (qua, NOW + 3000, &last, CFD_TIME_NEVER, true);
  g_assert_cmpuint (events->len, <=, 768 + QUA_MAX_UNSETTLED);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/qua/counted/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_counted);
    }
  g_test_add_func ("/qua/copies-at-once", test_copies_at_once);
  g_test_add_func ("/qua/begins", test_begins);
  g_test_add_func ("/qua/lasts", test_lasts);
  g_test_add_func ("/qua/answered", test_answered);
  g_test_add_func ("/qua/exchanged", test_exchanged);
  g_test_add_func ("/qua/learnt-later", test_learnt_later);
  g_test_add_func ("/qua/flood", test_flood);
  return g_test_run ();
}
