/* The set of endpoints: what the platform's list says, and what follows.  */

#include "relay/edp.h"

#define NOW 1000000
#define COLD_MS 3000

static edp_report_t *
report (const char *id, int64_t born_ms, int64_t cold_ms)
{
  edp_report_t *one = g_new0 (edp_report_t, 1);

  one->id = g_strdup (id);
  one->service = g_strdup ("app");
  one->address = g_strdup ("127.0.0.1:9");
  one->zone = g_strdup ("z");
  one->slots = 4;
  one->born_ms = born_ms;
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
    if (edp_bears (edp, now, 4.))
      {
        edp_burden (edp, now);
        sent++;
      }
  g_assert_cmpuint (sent, >=, 7);
  g_assert_cmpuint (sent, <=, 9);
  /* Warm: no bound.  */
  g_assert_true (edp_bears (edp, NOW + COLD_MS, 4.));
  g_assert_true (edp_bears (edp, NOW + COLD_MS, 4.));
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
  edp_set_withdraw (set, out);
  g_assert_false (edp_is_open (edp_set_find (set, "e1"), NOW));
  /* Also one that is listed later.  */
  update (set, NOW, report ("e2", 1, 0), true);
  g_assert_false (edp_is_open (edp_set_find (set, "e2"), NOW));
  edp_set_withdraw (set, none);
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
      edp_failed (edp, NOW);
      g_assert_false (edp_is_open (edp, NOW));
      g_assert_cmpint (edp->suspect_until - NOW, >=, last);
      last = edp->suspect_until - NOW;
    }
  g_assert_cmpint (last, <=, 4000);
  edp_worked (edp, NOW);
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
      edp_gave_back (edp, NOW);
      g_assert_false (edp_is_open (edp, NOW));
      g_assert_cmpint (edp->full_until - NOW, >=, last);
      last = edp->full_until - NOW;
    }
  /* Well below callers' aims: room that is there is not left unused.  */
  g_assert_cmpint (last, <=, 100);
  g_assert_true (edp_is_open (edp, NOW + last));
  edp_took (edp);
  g_assert_true (edp_is_open (edp, NOW));
  edp_set_free (set);
  ev_loop_destroy (loop);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edp/missing", test_missing);
  g_test_add_func ("/edp/born-again", test_born_again);
  g_test_add_func ("/edp/cold", test_cold);
  g_test_add_func ("/edp/zone-out", test_zone_out);
  g_test_add_func ("/edp/failures", test_failures);
  g_test_add_func ("/edp/gives-back", test_gives_back);
  return g_test_run ();
}
