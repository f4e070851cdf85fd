/* What routers tell each other: figures add up, late words change nothing, a
   silent router counts for nothing, and stray bytes are passed over.  */

#include "relay/cold.h"
#include "relay/pal-private.h"

#include <string.h>

#define NOW 1000000
#define COLD_MS 0

typedef struct
{
  struct ev_loop *loop;
  edp_set_t *endpoints;
  use_t *use;
  pfx_t *pfx;
  ret_t *ret;
  pal_t *pal;
} side_t;

static edp_report_t *
report_of (const char *id)
{
  edp_report_t *report = g_new0 (edp_report_t, 1);

  report->id = g_strdup (id);
  report->service = g_strdup ("app");
  report->address = g_strdup ("127.0.0.1:9");
  report->zone = g_strdup ("z");
  return report;
}

static side_t
side_new (const char *name)
{
  side_t side = { .loop = ev_loop_new (EVFLAG_AUTO) };
  GPtrArray *reports = g_ptr_array_new ();

  g_ptr_array_add (reports, report_of ("e1"));
  side.endpoints = edp_set_new (side.loop);
  edp_set_update (side.endpoints, NOW, reports, true, COLD_MS);
  side.use = use_new (4000);
  side.pfx = pfx_new ();
  side.ret = ret_new ();
  side.pal = pal_new (side.loop, name, "127.0.0.1:0", side.endpoints, side.use,
                      side.pfx, side.ret, NULL);
  g_assert_nonnull (side.pal);
  return side;
}

static void
side_free (side_t *side)
{
  pal_free (side->pal);
  edp_set_free (side->endpoints);
  use_free (side->use);
  pfx_free (side->pfx);
  ret_free (side->ret);
  ev_loop_destroy (side->loop);
}

static edp_t *
endpoint_of (side_t *side)
{
  return edp_set_find (side->endpoints, "e1");
}

static void
set_load (side_t *side, unsigned active, double unread)
{
  edp_t *edp = endpoint_of (side);

  edp->active = active;
  edp->unread = unread;
  edp->context = unread * 2.;
  edp->changed = true;
}

static void
tell (side_t *from, side_t *to, cfd_time_t now, bool whole)
{
  g_autoptr (GByteArray) bytes = pal_pack (from->pal, now, whole);
  bool taken = pal_receive (to->pal, now, bytes->data, bytes->len);

  g_assert_true (taken);
}

static void
test_adds_up (gconstpointer data)
{
  bool whole = GPOINTER_TO_INT (data);
  side_t here = side_new ("here");
  side_t one = side_new ("one");
  side_t two = side_new ("two");

  /* A router's first word is whole: it has its name.  */
  tell (&one, &here, NOW, true);
  tell (&two, &here, NOW, true);
  set_load (&one, 3, 500.);
  set_load (&two, 4, 700.);
  tell (&one, &here, NOW, whole);
  tell (&two, &here, NOW, whole);
  g_assert_cmpuint (endpoint_of (&here)->peer_active, ==, 7);
  g_assert_cmpfloat (endpoint_of (&here)->peer_pending_prefill, ==, 1200.);
  g_assert_cmpfloat (endpoint_of (&here)->peer_context_tokens, ==, 2400.);
  g_assert_cmpuint (pal_estimate_fleet_size (here.pal), ==, 3);
  /* Absolute figures: the newer word takes the older one's place.  */
  set_load (&one, 1, 0.);
  tell (&one, &here, NOW, whole);
  g_assert_cmpuint (endpoint_of (&here)->peer_active, ==, 5);
  side_free (&here);
  side_free (&one);
  side_free (&two);
}

/* Changes of a router whose name was not told yet are passed over, and good:
   whole figures come soon.  */
static void
test_unnamed (void)
{
  side_t here = side_new ("here");
  side_t one = side_new ("one");

  set_load (&one, 3, 500.);
  tell (&one, &here, NOW, false);
  g_assert_cmpuint (endpoint_of (&here)->peer_active, ==, 0);
  g_assert_cmpuint (pal_estimate_fleet_size (here.pal), ==, 1);
  tell (&one, &here, NOW, true);
  g_assert_cmpuint (endpoint_of (&here)->peer_active, ==, 3);
  side_free (&here);
  side_free (&one);
}

/* A datagram that was overtaken by a newer one of the same router.  */
static void
test_overtaken (void)
{
  side_t here = side_new ("here");
  side_t one = side_new ("one");
  g_autoptr (GByteArray) old = NULL;

  set_load (&one, 9, 900.);
  old = pal_pack (one.pal, NOW, true);
  set_load (&one, 2, 100.);
  tell (&one, &here, NOW, true);
  pal_receive (here.pal, NOW, old->data, old->len);
  g_assert_cmpuint (endpoint_of (&here)->peer_active, ==, 2);
  side_free (&here);
  side_free (&one);
}

static void
list_two (side_t *side)
{
  GPtrArray *reports = g_ptr_array_new ();

  g_ptr_array_add (reports, report_of ("e1"));
  g_ptr_array_add (reports, report_of ("e2"));
  edp_set_update (side->endpoints, NOW, reports, true, COLD_MS);
}

/* Another router has requests at an endpoint before this one has read of it:
   the sums are right from the first tick that lists it, and stay right through
   changes and the other router's silence.  */
static void
test_listed_late (void)
{
  side_t here = side_new ("here");
  side_t one = side_new ("one");
  edp_t *there;
  edp_t *edp;

  list_two (&one);
  there = edp_set_find (one.endpoints, "e2");
  there->active = 5;
  there->unread = 300.;
  tell (&one, &here, NOW, true);
  list_two (&here);
  edp = edp_set_find (here.endpoints, "e2");
  pal_tick (here.pal, NOW);
  g_assert_cmpuint (edp->peer_active, ==, 5);
  g_assert_cmpfloat (edp->peer_pending_prefill, ==, 300.);
  there->active = 2;
  there->unread = 0.;
  there->changed = true;
  tell (&one, &here, NOW, false);
  g_assert_cmpuint (edp->peer_active, ==, 2);
  g_assert_cmpfloat (edp->peer_pending_prefill, ==, 0.);
  pal_tick (here.pal, NOW + 5000);
  g_assert_cmpuint (edp->peer_active, ==, 0);
  side_free (&here);
  side_free (&one);
}

/* A router that hears less than half of the listed ones may itself be cut off:
   it takes all of them for working, and the warm-up rate for shared.  */
static void
test_cut_off (void)
{
  static const pal_member_t listed[] = { { "one", "127.0.0.1:9" },
                                         { "two", "127.0.0.1:9" },
                                         { "three", "not an address" } };
  side_t here = side_new ("here");
  side_t one = side_new ("one");
  side_t two = side_new ("two");
  edp_t *edp = endpoint_of (&here);

  edp->cold_until = NOW + 3000;
  pal_update_cold_ranks (here.pal, NOW);
  g_assert_cmpuint (edp->cold_rank, ==, COLD_RANK_UNKNOWN);
  pal_set_peers (here.pal, listed, G_N_ELEMENTS (listed));
  pal_update_cold_ranks (here.pal, NOW);
  g_assert_cmpuint (edp->cold_rank, <=, 3);
  g_assert_cmpuint (pal_estimate_fleet_size (here.pal), ==, 4);
  g_assert_cmpuint (pal_count_alive (here.pal), ==, 1);
  tell (&one, &here, NOW, true);
  g_assert_cmpuint (pal_estimate_fleet_size (here.pal), ==, 4);
  tell (&two, &here, NOW, true);
  g_assert_cmpuint (pal_estimate_fleet_size (here.pal), ==, 3);
  pal_update_cold_ranks (here.pal, NOW);
  g_assert_cmpuint (edp->cold_rank, <=, 2);
  side_free (&here);
  side_free (&one);
  side_free (&two);
}

/* A router is killed: nobody says so, its requests end with it, and its
   figures would keep room from others for ever.  */
static void
test_silent (void)
{
  side_t here = side_new ("here");
  side_t one = side_new ("one");

  set_load (&one, 9, 900.);
  use_add_served (one.use, NOW, "mill", 5000.);
  tell (&one, &here, NOW, true);
  g_assert_cmpfloat (use_total (here.use, NOW, "mill").served, ==, 5000.);
  pal_tick (here.pal, NOW + 5000);
  g_assert_cmpuint (endpoint_of (&here)->peer_active, ==, 0);
  g_assert_cmpuint (pal_estimate_fleet_size (here.pal), ==, 1);
  g_assert_cmpfloat (use_total (here.use, NOW, "mill").served, ==, 0.);
  side_free (&here);
  side_free (&one);
}

static void
test_prompts (void)
{
  side_t here = side_new ("here");
  side_t one = side_new ("one");
  g_autoptr (pfx_prompt_t) prompt = pfx_prompt_parse ("a:100,b:50,c:7");
  uint64_t endpoint = endpoint_of (&here)->hash;

  tell (&one, &here, NOW, true);
  pfx_record (one.pfx, NOW, endpoint_of (&one)->hash, prompt);
  tell (&one, &here, NOW, false);
  g_assert_cmpuint (pfx_count_cached_tokens (here.pfx, NOW, endpoint, prompt),
                    ==, 150);
  side_free (&here);
  side_free (&one);
}

/* A caller who was refused at one router comes back to another one, which
   knows when it first asked.  */
static void
test_refusals (void)
{
  side_t here = side_new ("here");
  side_t one = side_new ("one");
  uint64_t key = ret_request_key ("mill", "a:1,b:2", "text", 4);

  tell (&one, &here, NOW, true);
  ret_add_refusal (one.ret, NOW, key, NOW - 250, NOW + 100);
  tell (&one, &here, NOW + 10, false);
  /* Whoever asks the same before that time just came.  */
  g_assert_cmpint (ret_take_first_attempt (here.ret, NOW + 50, key), ==,
                   NOW + 50);
  g_assert_cmpint (ret_take_first_attempt (here.ret, NOW + 300, key), ==,
                   NOW - 250);
  /* It came: the next one like it is another request.  */
  g_assert_cmpint (ret_take_first_attempt (here.ret, NOW + 400, key), ==,
                   NOW + 400);
  side_free (&here);
  side_free (&one);
}

/* Another router read the platform's list well while this one could not: what
   the list lacks then is gone, and not lapsed by an outage.  */
static void
test_steady (void)
{
  side_t here = side_new ("here");
  side_t one = side_new ("one");

  g_assert_cmpint (pal_get_max_peer_stable_ms (here.pal, NOW), ==, -1);
  pal_set_list_stable_ms (one.pal, 9000);
  tell (&one, &here, NOW, true);
  g_assert_cmpint (pal_get_max_peer_stable_ms (here.pal, NOW), ==, 9000);
  g_assert_cmpint (pal_get_max_peer_stable_ms (here.pal, NOW + 2000), ==, -1);
  side_free (&here);
  side_free (&one);
}

/* A router saw a list of the platform change; one that is no longer heard says
   nothing.  */
static void
test_seen (void)
{
  side_t here = side_new ("here");
  side_t one = side_new ("one");
  side_t two = side_new ("two");

  g_assert_cmpint (pal_get_max_peer_revision (here.pal, NOW, 1), ==, 0);
  pal_set_list_revision (one.pal, 1, 700);
  pal_set_list_revision (two.pal, 1, 900);
  pal_set_list_revision (two.pal, 2, 1000);
  tell (&one, &here, NOW, true);
  tell (&two, &here, NOW, true);
  /* What changed alone keeps the last word.  */
  tell (&two, &here, NOW, false);
  g_assert_cmpint (pal_get_max_peer_revision (here.pal, NOW, 1), ==, 900);
  g_assert_cmpint (pal_get_max_peer_revision (here.pal, NOW + 2000, 1), ==, 0);
  side_free (&here);
  side_free (&one);
  side_free (&two);
}

/* The routers that read a list for the others: one order for all of them, in
   which one that has not confirmed the list lately doesn't count.  */
static void
test_readers (void)
{
  side_t here = side_new ("here");
  side_t one = side_new ("one");

  g_assert_cmpint (pal_get_min_peer_age_ms (here.pal, NOW, 1), ==, -1);
  tell (&one, &here, NOW, true);
  tell (&here, &one, NOW, true);
  g_assert_cmpint (pal_get_min_peer_age_ms (here.pal, NOW, 1), ==, -1);
  g_assert_cmpuint (pal_get_reader_rank (here.pal, NOW, 1, 1000), ==, 0);
  pal_set_list_age (one.pal, 1, 300);
  pal_set_list_age (here.pal, 1, 300);
  tell (&one, &here, NOW, true);
  tell (&here, &one, NOW, true);
  g_assert_cmpint (pal_get_min_peer_age_ms (here.pal, NOW + 200, 1), ==, 500);
  g_assert_cmpuint (pal_get_reader_rank (here.pal, NOW, 1, 1000)
                        + pal_get_reader_rank (one.pal, NOW, 1, 1000),
                    ==, 1);
  g_assert_cmpuint (pal_get_reader_rank (here.pal, NOW + 900, 1, 1000), ==, 0);
  g_assert_cmpuint (pal_get_reader_rank (one.pal, NOW + 900, 1, 1000), ==, 0);
  side_free (&here);
  side_free (&one);
}

/* Each datagram cut at each length, and with each byte changed: nothing but a
   refusal or other figures may come of it.  */
static void
test_stray (void)
{
  side_t here = side_new ("here");
  side_t one = side_new ("one");
  g_autoptr (GByteArray) bytes = NULL;

  set_load (&one, 3, 500.);
  use_add_served (one.use, NOW, "mill", 5000.);
  bytes = pal_pack (one.pal, NOW, true);
  for (guint i = 0; i < bytes->len; i++)
    {
      bool taken = pal_receive (here.pal, NOW, bytes->data, i);

      g_assert_false (taken);
    }
  for (guint i = 0; i < bytes->len; i++)
    {
      bytes->data[i] ^= 0xff;
      pal_receive (here.pal, NOW, bytes->data, bytes->len);
      bytes->data[i] ^= 0xff;
    }
  side_free (&here);
  side_free (&one);
}

typedef struct
{
  unsigned count;
  unsigned list;
  int64_t from;
  int64_t to;
  char *events;
} update_t;

static void
on_update (void *user, unsigned list, int64_t from, int64_t to,
           const char *events)
{
  update_t *seen = user;

  seen->count++;
  seen->list = list;
  seen->from = from;
  seen->to = to;
  g_free (seen->events);
  seen->events = g_strdup (events);
}

/* An update comes as it was sent; a truncated one, one of an unknown list or
   one that goes back is none, and is no figures either.  */
static void
test_update (void)
{
  side_t here = side_new ("here");
  g_autoptr (GByteArray) bytes = pal_pack_update (2, 40, 45, "{}");
  g_autoptr (GByteArray) unknown
      = pal_pack_update (PAL_LIST_COUNT, 40, 45, "{}");
  g_autoptr (GByteArray) back = pal_pack_update (2, 45, 45, "{}");
  update_t seen = { 0 };

  pal_set_update_callback (here.pal, on_update, &seen);
  g_assert_false (pal_receive (here.pal, NOW, bytes->data, bytes->len));
  for (guint i = 0; i < bytes->len; i++)
    g_assert_false (pal_take_update (here.pal, bytes->data, i));
  g_assert_false (pal_take_update (here.pal, unknown->data, unknown->len));
  g_assert_false (pal_take_update (here.pal, back->data, back->len));
  g_assert_cmpuint (seen.count, ==, 0);
  g_assert_true (pal_take_update (here.pal, bytes->data, bytes->len));
  g_assert_cmpuint (seen.count, ==, 1);
  g_assert_cmpuint (seen.list, ==, 2);
  g_assert_cmpint (seen.from, ==, 40);
  g_assert_cmpint (seen.to, ==, 45);
  g_assert_cmpstr (seen.events, ==, "{}");
  g_free (seen.events);
  side_free (&here);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/pal/adds-up", GINT_TO_POINTER (true), test_adds_up);
  g_test_add_data_func ("/pal/adds-up-changes", GINT_TO_POINTER (false),
                        test_adds_up);
  g_test_add_func ("/pal/unnamed", test_unnamed);
  g_test_add_func ("/pal/overtaken", test_overtaken);
  g_test_add_func ("/pal/listed-late", test_listed_late);
  g_test_add_func ("/pal/cut-off", test_cut_off);
  g_test_add_func ("/pal/silent", test_silent);
  g_test_add_func ("/pal/prompts", test_prompts);
  g_test_add_func ("/pal/refusals", test_refusals);
  g_test_add_func ("/pal/steady", test_steady);
  g_test_add_func ("/pal/readers", test_readers);
  g_test_add_func ("/pal/seen", test_seen);
  g_test_add_func ("/pal/stray", test_stray);
  g_test_add_func ("/pal/update", test_update);
  return g_test_run ();
}
