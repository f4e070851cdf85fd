/* The set of endpoints: updates from the platform's list, the warm-up rate
   limit and backoff.  */

#include "relay/cold.h"
#include "relay/edp.h"

#include <xxhash.h>

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

/* After an outage of the store its list may lack a live endpoint.  The
   endpoint must stay in use until the list is settled.  */
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

/* An endpoint that restarts under the same id has none of the former requests.
   Its counts must start at zero and its hash must change.  */
static void
test_restarted (void)
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

/* A cold endpoint gets no more requests than the warm-up rate allows, however
   often the limit is asked.  */
static void
test_warm_up_rate (void)
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
        edp_count_request (edp, now);
        sent++;
      }
  g_assert_cmpuint (sent, >=, 7);
  g_assert_cmpuint (sent, <=, 9);
  /* A warm endpoint has no limit.  */
  g_assert_true (edp_allows_request (edp, NOW + COLD_MS, 4.));
  g_assert_true (edp_allows_request (edp, NOW + COLD_MS, 4.));
  edp_set_free (set);
  ev_loop_destroy (loop);
}

static void
test_zone_out (void)
{
  static const char *const zones_out[] = { "z", NULL };
  static const char *const none[] = { NULL };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  edp_set_t *set = edp_set_new (loop);

  update (set, NOW, report ("e1", 1, 0), true);
  edp_set_withdraw_zones (set, NOW, zones_out);
  g_assert_false (edp_is_open (edp_set_find (set, "e1"), NOW));
  /* The same holds for an endpoint that is listed later.  */
  update (set, NOW, report ("e2", 1, 0), true);
  g_assert_false (edp_is_open (edp_set_find (set, "e2"), NOW));
  edp_set_withdraw_zones (set, NOW, none);
  g_assert_true (edp_is_open (edp_set_find (set, "e2"), NOW));
  edp_set_free (set);
  ev_loop_destroy (loop);
}

static int64_t
get_warm_up_ms (void *user, const char *service)
{
  return g_str_equal (service, "app") ? COLD_MS : 0;
}

/* Returns whether the warm-up rate limits EDP at NOW.  */
static bool
is_limited (edp_t *edp, cfd_time_t now)
{
  return !edp_allows_request (edp, now, 0.);
}

/* An endpoint whose zone returns may have turned cold there.  It is limited
   until a list that is current as of the return has shown its state, or until
   it must be warm.  */
static void
test_suspected_cold (void)
{
  static const char *const zones_out[] = { "z", NULL };
  static const char *const none[] = { NULL };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  edp_set_t *set = edp_set_new (loop);
  edp_t *edp;

  update (set, NOW, report ("e1", 1, 0), true);
  edp_set_update_warm_up (set, get_warm_up_ms, NULL);
  edp = edp_set_find (set, "e1");
  /* A first list may be old.  */
  g_assert_true (is_limited (edp, NOW));
  edp_set_note_current (set, NOW, NOW - 1);
  g_assert_true (is_limited (edp, NOW));
  edp_set_note_current (set, NOW, NOW);
  g_assert_true (is_limited (edp, NOW));
  edp_set_note_current (set, NOW + 1, NOW + 1);
  g_assert_false (is_limited (edp, NOW + 1));
  edp_set_withdraw_zones (set, NOW, zones_out);
  edp_set_withdraw_zones (set, NOW + 10, none);
  g_assert_true (is_limited (edp, NOW + 10));
  edp_set_note_current (set, NOW + 20, NOW + 9);
  edp_set_note_current (set, NOW + 20, NOW + 10);
  edp_set_note_current (set, NOW + 20, CFD_TIME_NEVER);
  g_assert_true (is_limited (edp, NOW + 20));
  edp_set_note_current (set, NOW + 30, NOW + 11);
  g_assert_false (is_limited (edp, NOW + 30));
  /* No list can be read.  */
  edp_set_suspect_cold (set, NOW + 100, "test");
  g_assert_true (is_limited (edp, NOW + 99 + COLD_MS));
  g_assert_false (is_limited (edp, NOW + 100 + COLD_MS));
  /* Endpoints of a service without a warm-up are never cold.  */
  edp->warmth.warm_up_ms = 0;
  edp_set_suspect_cold (set, NOW + 200, "test");
  g_assert_false (is_limited (edp, NOW + 200));
  edp_set_free (set);
  ev_loop_destroy (loop);
}

/* Consecutive failures lengthen the backoff up to its maximum; a success ends
   it.  */
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

/* An endpoint may reject requests although its load figures show free slots.
   Consecutive rejections lengthen the pause before the next request; an
   accepted request ends it.  */
static void
test_rejections (void)
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
  /* Well below the target latencies, so that free slots are not left unused.
   */
  g_assert_cmpint (last, <=, 100);
  g_assert_true (edp_is_open (edp, NOW + last));
  edp_record_acceptance (edp);
  g_assert_true (edp_is_open (edp, NOW));
  edp_set_free (set);
  ev_loop_destroy (loop);
}

/* Load pattern: routers with waiting requests and one cold endpoint; each
   router has a request ready every millisecond.  */
typedef struct
{
  const char *name;
  unsigned routers;
  double per_s;
  /* Of each ten routers, how many receive no datagrams.  These still count all
     routers; the others receive each other's datagrams and count the isolated
     ones as gone.  */
  unsigned isolated_in_ten;
  /* Of each ten pairs of routers, how many receive no datagrams from each
     other, as some start or datagrams are lost.  */
  unsigned disconnected_in_ten;
} cold_case_t;

static const cold_case_t cold_cases[] = {
  { "one", 1, 12., 0, 0 },
  { "10", 10, 12., 0, 0 },
  { "30", 30, 12., 0, 0 },
  { "100", 100, 12., 0, 0 },
  { "300", 300, 12., 0, 0 },
  { "300-slow", 300, 4., 0, 0 },
  { "300-fast", 300, 46., 0, 0 },
  { "10-cut", 10, 12., 4, 0 },
  { "100-cut", 100, 12., 4, 0 },
  { "300-cut", 300, 23., 4, 0 },
  { "24-most-cut", 24, 23., 6, 0 },
  { "300-most-cut", 300, 23., 8, 0 },
  { "100-most-cut-slow", 100, 4., 9, 0 },
  { "24-lossy", 24, 23., 0, 2 },
  { "100-lossy", 100, 23., 0, 2 },
  { "355-lossy", 355, 23., 0, 2 },
  { "24-most-connected", 24, 23., 0, 4 },
  { "100-most-connected", 100, 23., 0, 4 },
  { "355-most-connected", 355, 23., 0, 4 },
};

/* Most requests that an endpoint may get within a second from all routers:
   1.5 times the rate, plus five.  */
#define COLD_MULTIPLIER 1.5
#define COLD_SLACK_REQUESTS 5.

static bool
is_isolated (const cold_case_t *one, unsigned router)
{
  return router % 10 < one->isolated_in_ten;
}

static bool
is_disconnected (const cold_case_t *one, unsigned a, unsigned b)
{
  unsigned pair[] = { MIN (a, b), MAX (a, b) };

  return XXH3_64bits (pair, sizeof pair) % 10 < one->disconnected_in_ten;
}

/* The rate that ROUTER may use, from the number of routers that it counts and
   its rank among them.  */
static double
compute_rate (const cold_case_t *one, unsigned router, uint64_t endpoint)
{
  g_autofree char *own = g_strdup_printf ("router-%u", router);
  bool sees_all = is_isolated (one, router);
  unsigned count = 1;
  unsigned rank = 0;

  for (unsigned i = 0; i < one->routers; i++)
    {
      g_autofree char *name = g_strdup_printf ("router-%u", i);

      if (i == router || (!sees_all && is_isolated (one, i))
          || is_disconnected (one, i, router))
        continue;
      count++;
      rank += cold_ranks_before (name, own, endpoint);
    }
  return cold_rate_per_router (one->per_s, count, rank, sees_all);
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

/* Limits that routers keep independently would add up.  In any second, all
   routers together must stay below the bound, for any number of routers and
   with some of them isolated; when none is, they must use at least 70
   percent of the rate.  */
static void
test_warm_up_rate_of_fleet (const void *data)
{
  const cold_case_t *one = data;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  unsigned sent[COLD_MS] = { 0 };
  unsigned max_per_second = 0;
  unsigned total = 0;

  for (unsigned router = 0; router < one->routers; router++)
    {
      edp_set_t *set = edp_set_new (loop);
      uint64_t hash;
      edp_t *edp = cold_endpoint (set, &hash);
      double rate = compute_rate (one, router, hash);

      for (unsigned ms = 0; ms < COLD_MS; ms++)
        if (edp_allows_request (edp, NOW + ms, rate))
          {
            edp_count_request (edp, NOW + ms);
            sent[ms]++;
          }
      edp_set_free (set);
    }
  for (unsigned ms = 0; ms < COLD_MS; ms++)
    {
      unsigned sum = 0;

      for (unsigned i = ms; i < MIN (ms + 1000, COLD_MS); i++)
        sum += sent[i];
      max_per_second = MAX (max_per_second, sum);
      total += sent[ms];
    }
  g_test_message ("at most %u requests in a second, %u in total",
                  max_per_second, total);
  g_assert_cmpfloat (max_per_second, <=,
                     one->per_s * COLD_MULTIPLIER + COLD_SLACK_REQUESTS);
  if (one->isolated_in_ten == 0 && one->disconnected_in_ten == 0)
    g_assert_cmpfloat (total, >=, one->per_s * COLD_MS / 1000. * 0.7);
  ev_loop_destroy (loop);
}

/* An endpoint whose entry has not changed is listed without a report.  */
static void
test_kept (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  edp_set_t *set = edp_set_new (loop);
  edp_report_t *one = report ("e1", 1, 0);

  one->revision = 7;
  update (set, NOW, one, true);
  g_assert_false (edp_set_keep (set, "e1", 8));
  g_assert_false (edp_set_keep (set, "e2", 7));
  g_assert_true (edp_set_keep (set, "e1", 7));
  update (set, NOW + 100, NULL, true);
  g_assert_nonnull (edp_set_find (set, "e1"));
  /* Kept for one list only.  */
  update (set, NOW + 200, NULL, false);
  g_assert_true (edp_set_has_unlisted (set));
  /* An entry that expired and is listed again has to be read.  */
  g_assert_false (edp_set_keep (set, "e1", 7));
  update (set, NOW + 300, NULL, true);
  g_assert_null (edp_set_find (set, "e1"));
  edp_set_free (set);
  ev_loop_destroy (loop);
}

static unsigned
count_list (list_node_t *list)
{
  unsigned count = 0;

  list_for_each (node, list)
    {
      count++;
    }
  return count;
}

static void
update_many (edp_set_t *set, unsigned count)
{
  GPtrArray *reports = g_ptr_array_new ();

  for (unsigned i = 0; i < count; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%u", i);

      g_ptr_array_add (reports, report (id, 1, 0));
    }
  edp_set_update (set, NOW, reports, true, COLD_MS);
}

/* A router uses the endpoints of its cell.  One of another cell that gets a
   request is used until its connections are closed.  */
static void
test_cells (void)
{
  enum
  {
    ENDPOINTS = 400,
    CELLS = 4
  };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  edp_set_t *set = edp_set_new (loop);
  unsigned total = 0;
  edp_t *other;

  update_many (set, ENDPOINTS);
  g_assert_cmpuint (edp_set_get_near (set, "app")->len, ==, ENDPOINTS);
  for (unsigned cell = 0; cell < CELLS; cell++)
    {
      edp_set_choose_cell (set, cell, CELLS);
      total += edp_set_get_near (set, "app")->len;
      g_assert_cmpuint (edp_set_get_near (set, "app")->len, ==,
                        ENDPOINTS / CELLS);
      g_assert_cmpuint (count_list (edp_set_endpoints (set)), ==,
                        ENDPOINTS / CELLS);
      g_assert_cmpuint (edp_set_get_all (set, "app")->len, ==, ENDPOINTS);
    }
  g_assert_cmpuint (total, ==, ENDPOINTS);
  other = list_entry (edp_set_others (set)->next, edp_t, node);
  edp_set_note_used (set, other);
  other->active = 1;
  edp_set_sweep (set, NOW);
  g_assert_true (other->is_in_use);
  other->active = 0;
  edp_set_sweep (set, NOW);
  g_assert_false (other->is_in_use);
  g_assert_null (edp_set_get_near (set, "none"));
  edp_set_free (set);
  ev_loop_destroy (loop);
}

#define FLEET_CELLS 4
#define FLEET_ENDPOINTS 640
#define FLEET_PREFIXES 1400

static edp_set_t *
cell_new (struct ev_loop *loop, unsigned cell)
{
  edp_set_t *set = edp_set_new (loop);
  GPtrArray *reports = g_ptr_array_new ();

  for (unsigned i = 0; i < FLEET_ENDPOINTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%u", i);

      g_ptr_array_add (reports, report (id, 1, 0));
    }
  edp_set_update (set, NOW, reports, true, COLD_MS);
  edp_set_choose_cell (set, cell, FLEET_CELLS);
  return set;
}

/* Guards against a shared prefix that is prefilled in each cell of a divided
   fleet: the routers of all cells prefer the same endpoint, also when the
   first one is closed.  The prefixes are spread over the endpoints.  */
static void
test_preferred (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  edp_set_t *sets[FLEET_CELLS];
  g_autoptr (GHashTable) counts = g_hash_table_new (g_str_hash, g_str_equal);
  guint busiest = 0;

  for (unsigned i = 0; i < FLEET_CELLS; i++)
    {
      sets[i] = cell_new (loop, i);
      edp_record_failure (edp_set_find (sets[i], "e7"), NOW);
    }
  for (uint64_t prefix = 1; prefix <= FLEET_PREFIXES; prefix++)
    {
      const char *id
          = edp_set_find_preferred (sets[0], "app", NOW, prefix)->report->id;
      guint count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, id)) + 1;

      g_assert_cmpstr (id, !=, "e7");
      for (unsigned i = 1; i < FLEET_CELLS; i++)
        g_assert_cmpstr (
            edp_set_find_preferred (sets[i], "app", NOW, prefix)->report->id,
            ==, id);
      g_hash_table_insert (counts, (char *)id, GUINT_TO_POINTER (count));
      busiest = MAX (busiest, count);
    }
  g_assert_cmpuint (busiest, <=, 6 * FLEET_PREFIXES / FLEET_ENDPOINTS);
  g_assert_null (edp_set_find_preferred (sets[0], "none", NOW, 1));
  for (unsigned i = 0; i < FLEET_CELLS; i++)
    edp_set_free (sets[i]);
  ev_loop_destroy (loop);
}

/* Guards against a rest that a list, a shorter rest or a restart under the
   same id ends, or that another endpoint at the address takes over.  */
static void
test_rest (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  edp_set_t *set = edp_set_new (loop);
  edp_t *edp;

  update (set, NOW, report ("e1", 1, 0), true);
  edp = edp_set_find (set, "e1");
  g_assert_cmpint (edp_set_find_rest_end (set, "app", NOW), ==, NOW);
  g_assert_true (edp_record_rest (edp, NOW, 3000));
  g_assert_false (edp_record_rest (edp, NOW + 100, 10));
  update (set, NOW + 200, report ("e1", 1, 0), true);
  g_assert_true (edp_set_find (set, "e1") == edp);
  g_assert_false (edp_is_open (edp, NOW + 2999));
  g_assert_null (edp_set_find_preferred (set, "app", NOW + 2999, 7));
  g_assert_cmpint (edp_set_find_rest_end (set, "app", NOW + 300), ==,
                   NOW + 3000);
  g_assert_true (edp_is_open (edp, NOW + 3000));
  g_assert_true (edp_allows_request (edp, NOW + 3000, 4.));
  edp_count_request (edp, NOW + 3000);
  g_assert_false (edp_allows_request (edp, NOW + 3100, 4.));
  /* The process that asked may be the new one, started before it is listed. */
  update (set, NOW + 400, report ("e1", 2, 0), true);
  edp = edp_set_find (set, "e1");
  g_assert_false (edp_is_open (edp, NOW + 2999));
  g_assert_true (edp_is_open (edp, NOW + 3000));
  update (set, NOW + 500, report ("e2", 3, 0), false);
  g_assert_true (edp_is_open (edp_set_find (set, "e2"), NOW + 500));
  edp_record_failure (edp_set_find (set, "e2"), NOW + 500);
  g_assert_cmpint (edp_set_find_rest_end (set, "app", NOW + 500), ==,
                   NOW + 500);
  edp_set_free (set);
  ev_loop_destroy (loop);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edp/missing", test_missing);
  g_test_add_func ("/edp/born-again", test_restarted);
  g_test_add_func ("/edp/cold", test_warm_up_rate);
  for (unsigned i = 0; i < G_N_ELEMENTS (cold_cases); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/edp/cold-fleet/%s", cold_cases[i].name);

      g_test_add_data_func (path, &cold_cases[i], test_warm_up_rate_of_fleet);
    }
  g_test_add_func ("/edp/zone-out", test_zone_out);
  g_test_add_func ("/edp/suspected-cold", test_suspected_cold);
  g_test_add_func ("/edp/failures", test_failures);
  g_test_add_func ("/edp/gives-back", test_rejections);
  g_test_add_func ("/edp/rest", test_rest);
  g_test_add_func ("/edp/kept", test_kept);
  g_test_add_func ("/edp/cells", test_cells);
  g_test_add_func ("/edp/preferred", test_preferred);
  return g_test_run ();
}
