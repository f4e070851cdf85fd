/* The set of endpoints: what the platform's list says, and what follows.  */

#include "relay/cold.h"
#include "relay/edp.h"

#define NOW 1000000
#define COLD_MS 3000

static edp_report_t *
report (const char *id, int64_t started_ms, int64_t cold_ms)
{
  edp_report_t *one = g_new0 (edp_report_t, 1);

  one->id = g_strdup (id);
  one->service = g_strdup ("app");
  one->address = g_strdup ("127.0.0.1:9");
  one->zone = g_strdup ("z");
  one->slots = 4;
  one->started_ms = started_ms;
  one->cold_ms = cold_ms;
  return one;
}

static void
update (edp_set_t *set, cfd_time_t now, edp_report_t *one, bool settled)
{
  GPtrArray *reports = g_ptr_array_new ();

  if (one != NULL)
    g_ptr_array_add (reports, one);
  edp_set_update (set, now, reports, settled, COLD_MS);
}

/* The store is back from an outage and lacks an entry: it stays until live
   endpoints have had the time to report again.  */
static void
test_missing (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  edp_set_t *set = edp_set_new (loop);

  update (set, NOW, report ("e1", 1, 0), true);
  update (set, NOW + 100, NULL, false);
  g_assert_nonnull (edp_set_find (set, "e1"));
  g_assert_true (edp_is_open (edp_set_find (set, "e1"), NOW + 100));
  update (set, NOW + 200, report ("e1", 1, 0), false);
  update (set, NOW + 5000, NULL, true);
  g_assert_null (edp_set_find (set, "e1"));
  edp_set_free (set);
  ev_loop_destroy (loop);
}

/* An endpoint that started again under its id holds nothing of before: its
   counts begin anew, and what runs at the former one ends by itself.  */
static void
test_born_again (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  edp_set_t *set = edp_set_new (loop);
  uint64_t before;

  update (set, NOW, report ("e1", 1, 0), true);
  edp_set_find (set, "e1")->active = 3;
  before = edp_set_find (set, "e1")->hash;
  update (set, NOW + 100, report ("e1", 2, 2500), true);
  g_assert_cmpuint (edp_set_find (set, "e1")->active, ==, 0);
  g_assert_cmpuint (edp_set_find (set, "e1")->hash, !=, before);
  g_assert_cmpuint (edp_set_count (set), ==, 1);
  edp_set_free (set);
  ev_loop_destroy (loop);
}

/* A cold endpoint bears few requests a second, however many wait.  */
static void
test_cold (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  edp_set_t *set = edp_set_new (loop);
  unsigned sent = 0;
  edp_t *edp;

  update (set, NOW, report ("e1", 1, COLD_MS), true);
  edp = edp_set_find (set, "e1");
  for (cfd_time_t now = NOW; now < NOW + 2000; now += 5)
    if (edp_allows_request (edp, now, 4.))
      {
        edp_count_cold_request (edp, now);
        sent++;
      }
  g_assert_cmpuint (sent, >=, 7);
  g_assert_cmpuint (sent, <=, 9);
  /* Warm: no bound.  */
  g_assert_true (edp_allows_request (edp, NOW + COLD_MS, 4.));
  g_assert_true (edp_allows_request (edp, NOW + COLD_MS, 4.));
  edp_set_free (set);
  ev_loop_destroy (loop);
}

static void
test_zone_out (void)
{
  static const char *const out[] = { "z", NULL };
  static const char *const none[] = { NULL };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  edp_set_t *set = edp_set_new (loop);

  update (set, NOW, report ("e1", 1, 0), true);
  edp_set_withdraw_zones (set, out);
  g_assert_false (edp_is_open (edp_set_find (set, "e1"), NOW));
  /* Also one that is listed later.  */
  update (set, NOW, report ("e2", 1, 0), true);
  g_assert_false (edp_is_open (edp_set_find (set, "e2"), NOW));
  edp_set_withdraw_zones (set, none);
  g_assert_true (edp_is_open (edp_set_find (set, "e2"), NOW));
  edp_set_free (set);
  ev_loop_destroy (loop);
}

/* An endpoint that fails time after time gets less and less, and all again
   once it works.  */
static void
test_failures (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  edp_set_t *set = edp_set_new (loop);
  int64_t last = 0;
  edp_t *edp;

  update (set, NOW, report ("e1", 1, 0), true);
  edp = edp_set_find (set, "e1");
  for (unsigned i = 0; i < 8; i++)
    {
      edp_record_failure (edp, NOW);
      g_assert_false (edp_is_open (edp, NOW));
      g_assert_cmpint (edp->backoff_until - NOW, >=, last);
      last = edp->backoff_until - NOW;
    }
  g_assert_cmpint (last, <=, 4000);
  edp_record_success (edp, NOW);
  g_assert_true (edp_is_open (edp, NOW));
  edp_set_free (set);
  ev_loop_destroy (loop);
}

/* An endpoint that has no room, though its figures say so, gets the next
   request a little later, and later again with each that it gives back; all
   at once when it takes one.  */
static void
test_gives_back (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  edp_set_t *set = edp_set_new (loop);
  int64_t last = 0;
  edp_t *edp;

  update (set, NOW, report ("e1", 1, 0), true);
  edp = edp_set_find (set, "e1");
  for (unsigned i = 0; i < 12; i++)
    {
      edp_record_rejection (edp, NOW);
      g_assert_false (edp_is_open (edp, NOW));
      g_assert_cmpint (edp->full_until - NOW, >=, last);
      last = edp->full_until - NOW;
    }
  /* Well below callers' aims: room that is there is not left unused.  */
  g_assert_cmpint (last, <=, 100);
  g_assert_true (edp_is_open (edp, NOW + last));
  edp_record_acceptance (edp);
  g_assert_true (edp_is_open (edp, NOW));
  edp_set_free (set);
  ev_loop_destroy (loop);
}

/* Routers press an endpoint that turned cold, each with a request for every
   millisecond.  */
typedef struct
{
  const char *name;
  unsigned routers;
  double per_s;
  /* Of ten routers so many hear no other one and count all ten; the rest hear
     each other, and take the cut-off ones for dead.  */
  unsigned cut_off_in_ten;
} cold_case_t;

static const cold_case_t cold_cases[] = {
  { "one", 1, 12., 0 },        { "10", 10, 12., 0 },
  { "30", 30, 12., 0 },        { "100", 100, 12., 0 },
  { "300", 300, 12., 0 },      { "300-slow", 300, 4., 0 },
  { "300-fast", 300, 46., 0 }, { "10-cut", 10, 12., 4 },
  { "100-cut", 100, 12., 4 },  { "300-cut", 300, 23., 4 },
};

/* The rules' bound on one second, of all routers together: half above the
   rate, and five requests.  */
#define COLD_MULTIPLIER 1.5
#define COLD_SLACK 5.

static bool
is_cut_off (const cold_case_t *one, unsigned router)
{
  return router % 10 < one->cut_off_in_ten;
}

/* What ROUTER knows of the others: how many it counts, and its rank.  */
static double
rate_of (const cold_case_t *one, unsigned router, uint64_t endpoint)
{
  g_autofree char *own = g_strdup_printf ("router-%u", router);
  bool all = is_cut_off (one, router);
  unsigned count = 1;
  unsigned rank = 0;

  for (unsigned i = 0; i < one->routers; i++)
    {
      g_autofree char *name = g_strdup_printf ("router-%u", i);

      if (i == router || (!all && is_cut_off (one, i)))
        continue;
      count++;
      rank += cold_ranks_before (name, own, endpoint);
    }
  return cold_rate_per_router (one->per_s, count, rank);
}

static edp_t *
cold_endpoint (edp_set_t *set, uint64_t *hash)
{
  edp_t *edp;

  update (set, NOW, report ("e1", 1, COLD_MS), true);
  edp = edp_set_find (set, "e1");
  *hash = edp->hash;
  return edp;
}

/* However many routers there are, and whoever hears whom, the cold endpoint
   gets no more in any second than it bears, and most of that when all hear
   each other: a limit that each router keeps by itself would add up.  */
static void
test_cold_fleet (const void *data)
{
  const cold_case_t *one = data;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  unsigned sent[COLD_MS] = { 0 };
  unsigned most = 0;
  unsigned all = 0;

  for (unsigned router = 0; router < one->routers; router++)
    {
      edp_set_t *set = edp_set_new (loop);
      uint64_t hash;
      edp_t *edp = cold_endpoint (set, &hash);
      double rate = rate_of (one, router, hash);

      for (unsigned ms = 0; ms < COLD_MS; ms++)
        if (edp_allows_request (edp, NOW + ms, rate))
          {
            edp_count_cold_request (edp, NOW + ms);
            sent[ms]++;
          }
      edp_set_free (set);
    }
  for (unsigned ms = 0; ms < COLD_MS; ms++)
    {
      unsigned sum = 0;

      for (unsigned i = ms; i < MIN (ms + 1000, COLD_MS); i++)
        sum += sent[i];
      most = MAX (most, sum);
      all += sent[ms];
    }
  g_test_message ("most in a second %u, in all %u", most, all);
  g_assert_cmpfloat (most, <=, one->per_s * COLD_MULTIPLIER + COLD_SLACK);
  if (one->cut_off_in_ten == 0)
    g_assert_cmpfloat (all, >=, one->per_s * COLD_MS / 1000. * 0.7);
  ev_loop_destroy (loop);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edp/missing", test_missing);
  g_test_add_func ("/edp/born-again", test_born_again);
  g_test_add_func ("/edp/cold", test_cold);
  for (unsigned i = 0; i < G_N_ELEMENTS (cold_cases); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/edp/cold-fleet/%s", cold_cases[i].name);

      g_test_add_data_func (path, &cold_cases[i], test_cold_fleet);
    }
  g_test_add_func ("/edp/zone-out", test_zone_out);
  g_test_add_func ("/edp/failures", test_failures);
  g_test_add_func ("/edp/gives-back", test_gives_back);
  return g_test_run ();
}
