/* Tests of the state exchange between routers: totals over peers, reordered
   datagrams, the timeout of silent peers and malformed datagrams.  */

#include "relay/cold.h"
#include "relay/pal-private.h"

#include <math.h>
#include <string.h>

#define NOW 1000000
/* Several intervals of the full state, less than until a peer times out.  */
#define SILENCE_MS 400
#define COLD_MS 0
/* Incarnations that the bytes of a datagram are changed for.  */
#define STRAY_SEEDS 256
/* Largest payload of a UDP datagram.  */
#define MAX_DATAGRAM_BYTES 65507u
/* Items of a state datagram.  */
#define ITEMS 19
/* Datagrams with random changes.  */
#define MUTATIONS 20000

typedef struct
{
  struct ev_loop *loop;
  edp_set_t *endpoints;
  use_t *use;
  pfx_t *pfx;
  ret_t *ret;
  org_t *org;
  qua_t *qua;
  prt_t *prt;
  pal_t *pal;
} router_t;

static edp_report_t *
report_new (const char *id)
{
  edp_report_t *report = g_new0 (edp_report_t, 1);

  report->id = g_strdup (id);
  report->service = g_strdup ("app");
  report->address = g_strdup ("127.0.0.1:9");
  report->zone = g_strdup ("z");
  return report;
}

static uint64_t
draw_incarnation (guint32 seed)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (seed);
  uint64_t high = g_rand_int (random);

  return high << 32 | g_rand_int (random);
}

static router_t
router_new_seeded (const char *name, guint32 seed)
{
  router_t router = { .loop = ev_loop_new (EVFLAG_AUTO) };
  GPtrArray *reports = g_ptr_array_new ();

  g_ptr_array_add (reports, report_new ("e1"));
  router.endpoints = edp_set_new (router.loop);
  edp_set_update (router.endpoints, NOW, reports, true, COLD_MS);
  router.use = use_new (4000);
  router.pfx = pfx_new ();
  router.ret = ret_new ();
  router.pal
      = pal_new (router.loop, name, draw_incarnation (seed), "127.0.0.1:0",
                 router.endpoints, router.use, router.pfx, router.ret, NULL);
  g_assert_nonnull (router.pal);
  router.org = org_new ();
  pal_set_origins (router.pal, router.org);
  router.qua = qua_new ();
  pal_set_quarantine (router.pal, router.qua);
  router.prt = prt_new (name);
  pal_set_parts (router.pal, router.prt);
  return router;
}

static router_t
router_new (const char *name)
{
  return router_new_seeded (name, g_str_hash (name));
}

static void
router_free (router_t *router)
{
  pal_free (router->pal);
  edp_set_free (router->endpoints);
  use_free (router->use);
  pfx_free (router->pfx);
  ret_free (router->ret);
  org_free (router->org);
  qua_free (router->qua);
  prt_free (router->prt);
  ev_loop_destroy (router->loop);
}

static edp_t *
get_endpoint (router_t *router)
{
  return edp_set_find (router->endpoints, "e1");
}

static void
set_load (router_t *router, unsigned active, double pending_prefill)
{
  edp_t *edp = get_endpoint (router);

  edp->active = active;
  edp->pending_prefill = pending_prefill;
  edp->context_tokens = pending_prefill * 2.;
  edp->changed = true;
}

static void
deliver (router_t *from, router_t *to, cfd_time_t now, pal_content_t content)
{
  g_autoptr (GByteArray) bytes = pal_pack (from->pal, now, content);
  bool accepted = pal_receive (to->pal, now, bytes->data, bytes->len);

  g_assert_true (accepted);
}

static void
test_adds_up (gconstpointer data)
{
  pal_content_t content = GPOINTER_TO_INT (data);
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  router_t two = router_new ("two");

  /* The full state comes first: it has the router's name.  */
  deliver (&one, &here, NOW, PAL_FULL);
  deliver (&two, &here, NOW, PAL_FULL);
  set_load (&one, 3, 500.);
  set_load (&two, 4, 700.);
  deliver (&one, &here, NOW, content);
  deliver (&two, &here, NOW, content);
  g_assert_cmpuint (get_endpoint (&here)->peer_active, ==, 7);
  g_assert_cmpfloat (get_endpoint (&here)->peer_pending_prefill, ==, 1200.);
  g_assert_cmpfloat (get_endpoint (&here)->peer_context_tokens, ==, 2400.);
  g_assert_cmpuint (pal_estimate_fleet_size (here.pal), ==, 3);
  /* Values are absolute: the newer datagram replaces the older one's.  */
  set_load (&one, 1, 0.);
  deliver (&one, &here, NOW, content);
  g_assert_cmpuint (get_endpoint (&here)->peer_active, ==, 5);
  router_free (&here);
  router_free (&one);
  router_free (&two);
}

/* Changes from a router whose name is not known yet are ignored, but are a
   valid datagram: its full state follows soon.  */
static void
test_unnamed (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");

  set_load (&one, 3, 500.);
  deliver (&one, &here, NOW, PAL_CHANGES);
  g_assert_cmpuint (get_endpoint (&here)->peer_active, ==, 0);
  g_assert_cmpuint (pal_estimate_fleet_size (here.pal), ==, 1);
  deliver (&one, &here, NOW, PAL_FULL);
  g_assert_cmpuint (get_endpoint (&here)->peer_active, ==, 3);
  router_free (&here);
  router_free (&one);
}

/* A datagram that arrives after a newer one of the same router is ignored.  */
static void
test_overtaken (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  g_autoptr (GByteArray) old = NULL;

  set_load (&one, 9, 900.);
  old = pal_pack (one.pal, NOW, PAL_FULL);
  set_load (&one, 2, 100.);
  deliver (&one, &here, NOW, PAL_FULL);
  pal_receive (here.pal, NOW, old->data, old->len);
  g_assert_cmpuint (get_endpoint (&here)->peer_active, ==, 2);
  router_free (&here);
  router_free (&one);
}

static void
list_second_endpoint (router_t *router)
{
  GPtrArray *reports = g_ptr_array_new ();

  g_ptr_array_add (reports, report_new ("e1"));
  g_ptr_array_add (reports, report_new ("e2"));
  edp_set_update (router->endpoints, NOW, reports, true, COLD_MS);
}

/* A peer has requests at an endpoint that this router has not read from the
   list yet.  The totals are right from the first tick after it is listed, and
   stay right through changes and the peer's timeout.  */
static void
test_listed_late (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  edp_t *there;
  edp_t *edp;

  list_second_endpoint (&one);
  there = edp_set_find (one.endpoints, "e2");
  there->active = 5;
  there->pending_prefill = 300.;
  deliver (&one, &here, NOW, PAL_FULL);
  list_second_endpoint (&here);
  edp = edp_set_find (here.endpoints, "e2");
  pal_tick (here.pal, NOW);
  g_assert_cmpuint (edp->peer_active, ==, 5);
  g_assert_cmpfloat (edp->peer_pending_prefill, ==, 300.);
  there->active = 2;
  there->pending_prefill = 0.;
  there->changed = true;
  deliver (&one, &here, NOW, PAL_CHANGES);
  g_assert_cmpuint (edp->peer_active, ==, 2);
  g_assert_cmpfloat (edp->peer_pending_prefill, ==, 0.);
  pal_tick (here.pal, NOW + 5000);
  g_assert_cmpuint (edp->peer_active, ==, 0);
  router_free (&here);
  router_free (&one);
}

/* A router that receives datagrams from less than half of the listed routers
   may itself be partitioned: it assumes that all of them work and share the
   warm-up rate of cold endpoints.  */
static void
test_cut_off (void)
{
  static const pal_member_t listed[] = { { "one", "127.0.0.1:9", true },
                                         { "two", "127.0.0.1:9", true },
                                         { "three", "not an address", true } };
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  router_t two = router_new ("two");
  edp_t *edp = get_endpoint (&here);

  edp->warmth.cold_until = NOW + 3000;
  pal_update_cold_ranks (here.pal, NOW);
  g_assert_cmpuint (edp->cold_rank, ==, COLD_RANK_UNKNOWN);
  pal_set_peers (here.pal, listed, G_N_ELEMENTS (listed));
  pal_update_cold_ranks (here.pal, NOW);
  g_assert_cmpuint (edp->cold_rank, <=, 3);
  g_assert_cmpuint (pal_estimate_fleet_size (here.pal), ==, 4);
  g_assert_cmpuint (pal_count_alive (here.pal), ==, 1);
  deliver (&one, &here, NOW, PAL_FULL);
  g_assert_cmpuint (pal_estimate_fleet_size (here.pal), ==, 4);
  deliver (&two, &here, NOW, PAL_FULL);
  g_assert_cmpuint (pal_estimate_fleet_size (here.pal), ==, 3);
  pal_update_cold_ranks (here.pal, NOW);
  g_assert_cmpuint (edp->cold_rank, <=, 2);
  router_free (&here);
  router_free (&one);
  router_free (&two);
}

/* A router of another cell sends summaries: its loads, accounts and prefixes
   don't matter here, its lists do.  It is silent only after several summaries
   are missing.  */
static void
test_summary (void)
{
  enum
  {
    FAR = 300
  };
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  g_autoptr (GArray) listed = g_array_new (FALSE, TRUE, sizeof (pal_member_t));

  g_array_set_size (listed, FAR);
  for (unsigned i = 0; i < FAR; i++)
    g_array_index (listed, pal_member_t, i)
        = (pal_member_t){ "one", "127.0.0.1:9", false };
  pal_set_peers (here.pal, (const pal_member_t *)(void *)listed->data, FAR);
  set_load (&one, 3, 500.);
  use_add_served (one.use, NOW, "mill", 5000.);
  pal_set_list_revision (one.pal, 1, 700);
  deliver (&one, &here, NOW, PAL_SUMMARY);
  g_assert_cmpuint (get_endpoint (&here)->peer_active, ==, 0);
  g_assert_cmpfloat (use_total (here.use, NOW, "mill").served, ==, 0.);
  g_assert_cmpint (pal_view_list (here.pal, NOW, 1, 1000).max_revision, ==,
                   700);
  g_assert_cmpuint (pal_count_alive (here.pal), ==, 2);
  pal_tick (here.pal, NOW + 7000);
  g_assert_cmpuint (pal_count_alive (here.pal), ==, 2);
  pal_tick (here.pal, NOW + 12000);
  g_assert_cmpuint (pal_count_alive (here.pal), ==, 1);
  router_free (&here);
  router_free (&one);
}

/* A router that comes into this cell sends its state, and one that leaves it
   takes its load along.  */
static void
test_cell_changes (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");

  set_load (&one, 3, 500.);
  deliver (&one, &here, NOW, PAL_FULL);
  g_assert_cmpuint (get_endpoint (&here)->peer_active, ==, 3);
  deliver (&one, &here, NOW, PAL_SUMMARY);
  g_assert_cmpuint (get_endpoint (&here)->peer_active, ==, 0);
  deliver (&one, &here, NOW, PAL_FULL);
  g_assert_cmpuint (get_endpoint (&here)->peer_active, ==, 3);
  router_free (&here);
  router_free (&one);
}

/* The warm-up rate of an endpoint is divided among the routers of its cell, or
   among all where several cells share it.  */
static void
test_cold_ranks_in_cells (void)
{
  static const pal_member_t listed[] = { { "one", "127.0.0.1:9", true },
                                         { "two", "127.0.0.1:9", false },
                                         { "three", "127.0.0.1:9", false } };
  router_t here = router_new ("here");
  edp_t *edp = get_endpoint (&here);

  pal_set_peers (here.pal, listed, G_N_ELEMENTS (listed));
  edp->warmth.cold_until = NOW + 3000;
  for (edp->hash = 0; edp->hash < 50; edp->hash++)
    {
      unsigned expected = cold_ranks_before ("one", "here", edp->hash);

      edp->cell_count = 1;
      pal_update_cold_ranks (here.pal, NOW);
      g_assert_cmpuint (edp->cold_rank, ==, expected);
      expected += cold_ranks_before ("two", "here", edp->hash);
      expected += cold_ranks_before ("three", "here", edp->hash);
      edp->cell_count = 2;
      pal_update_cold_ranks (here.pal, NOW);
      g_assert_cmpuint (edp->cold_rank, ==, expected);
    }
  router_free (&here);
}

/* Requests that spill over to another cell would reach its cold endpoints from
   every router at once.  Only the routers of its cell send to a cold
   endpoint.  */
static void
test_cold_endpoint_of_other_cell (void)
{
  static const pal_member_t listed[] = { { "one", "127.0.0.1:9", true } };
  router_t here = router_new ("here");
  edp_t *edp = get_endpoint (&here);

  pal_set_peers (here.pal, listed, G_N_ELEMENTS (listed));
  edp->warmth.cold_until = NOW + 3000;
  edp->is_near = false;
  pal_update_cold_ranks (here.pal, NOW);
  g_assert_cmpuint (edp->cold_rank, ==, COLD_RANK_UNKNOWN);
  /* The same for one that got no requests lately.  */
  edp->cold_rank = 0;
  list_remove (&edp->node);
  list_append (edp_set_others (here.endpoints), &edp->node);
  pal_update_cold_ranks (here.pal, NOW);
  g_assert_cmpuint (edp->cold_rank, ==, COLD_RANK_UNKNOWN);
  router_free (&here);
}

/* A router that is killed takes its memory along: where a stream began has to
   be at the others by then, in and out of its cell, also when a datagram was
   lost.  */
static void
test_stream_origins (gconstpointer data)
{
  pal_content_t content = GPOINTER_TO_INT (data);
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  g_autoptr (GByteArray) lost = NULL;

  deliver (&one, &here, NOW, PAL_FULL);
  org_add (one.org, NOW, 77, 5, true);
  org_add (one.org, NOW, 78, 6, false);
  deliver (&one, &here, NOW, content);
  g_assert_cmpuint (org_find (here.org, NOW, 77).origin, ==, 5);
  g_assert_false (org_find (here.org, NOW, 77).is_own);
  g_assert_cmpuint (org_find (here.org, NOW, 78).origin, ==, ORG_ANY);
  org_add (one.org, NOW + 10, 79, 7, true);
  lost = pal_pack (one.pal, NOW + 10, PAL_CHANGES);
  g_assert_nonnull (lost);
  deliver (&one, &here, NOW + 300, PAL_FULL);
  g_assert_cmpuint (org_find (here.org, NOW + 300, 79).origin, ==, 7);
  router_free (&here);
  router_free (&one);
}

/* A router that has just started doesn't know from the list that a version
   left service a moment ago.  */
static void
test_retired_versions (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");

  org_begin_versions (one.org);
  org_list_version (one.org, "app", "v5");
  org_list_version (one.org, "app", "v6");
  org_end_versions (one.org, NOW - 100);
  org_begin_versions (one.org);
  org_list_version (one.org, "app", "v6");
  org_end_versions (one.org, NOW);
  org_begin_versions (here.org);
  org_list_version (here.org, "app", "v6");
  org_end_versions (here.org, NOW);
  g_assert_false (org_is_mixed (here.org, NOW, "app"));
  deliver (&one, &here, NOW + 1000, PAL_FULL);
  g_assert_true (org_is_mixed (here.org, NOW + 1000, "app"));
  g_assert_false (org_is_mixed (here.org, NOW + 30000, "app"));
  router_free (&here);
  router_free (&one);
}

/* While no list can be read, one router asks an endpoint whether it is cold,
   and the others would go on as with a warm one.  A report can't make it cold
   for longer than it takes to warm up.  */
static void
test_found_cold (void)
{
  static const pal_member_t listed[] = { { "one", "127.0.0.1:9", true } };
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  edp_t *edp = get_endpoint (&here);

  pal_set_peers (here.pal, listed, G_N_ELEMENTS (listed));
  edp->warmth.warm_up_ms = 3000;
  edp->warmth.suspicion = WRM_CONFIRMED;
  edp->cold_rank = 77;
  deliver (&one, &here, NOW, PAL_FULL);
  g_assert_false (edp_is_cold (edp, NOW));
  get_endpoint (&one)->warmth.found_cold_until = NOW + 2000;
  deliver (&one, &here, NOW, PAL_SUMMARY);
  g_assert_false (edp_is_cold (edp, NOW));
  deliver (&one, &here, NOW, PAL_CHANGES);
  g_assert_true (edp_is_cold (edp, NOW + 1999));
  g_assert_false (edp_is_cold (edp, NOW + 2000));
  g_assert_cmpuint (edp->cold_rank, <=, 1);
  get_endpoint (&one)->warmth.found_cold_until = NOW + 1000000;
  deliver (&one, &here, NOW, PAL_CHANGES);
  g_assert_false (edp_is_cold (edp, NOW + 3000));
  router_free (&here);
  router_free (&one);
}

/* Of the routers that hear each other, one asks an endpoint.  */
static void
test_first_router (void)
{
  static const pal_member_t listed[]
      = { { "one", "127.0.0.1:9", true }, { "two", "127.0.0.1:9", true } };
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  edp_t *edp = get_endpoint (&here);

  pal_set_peers (here.pal, listed, G_N_ELEMENTS (listed));
  deliver (&one, &here, NOW, PAL_FULL);
  for (edp->hash = 0; edp->hash < 50; edp->hash++)
    {
      g_assert_cmpint (pal_get_rank (here.pal, NOW, edp) == 0, ==,
                       !cold_ranks_before ("one", "here", edp->hash));
      /* Another router asks before it is known that the first one is gone.  */
      g_assert_cmpuint (pal_get_rank (here.pal, NOW + SILENCE_MS, edp), ==, 0);
    }
  router_free (&here);
  router_free (&one);
}

/* A task that nobody does, as the first router is silent or the store rejects
   it, or that all do that have just started or that the store rejects.  */
static void
test_task_rank (void)
{
  static const pal_member_t listed[] = { { "one", "127.0.0.1:9", true },
                                         { "two", "127.0.0.1:9", true },
                                         { "six", "127.0.0.1:9", true },
                                         { "far", "127.0.0.1:9", false } };
  router_t here = router_new ("here");
  router_t others[]
      = { router_new ("one"), router_new ("two"), router_new ("six") };
  uint64_t key = 0;

  g_assert_cmpuint (pal_get_cell_rank (here.pal, NOW, 0), >, 0);
  pal_set_peers (here.pal, listed, G_N_ELEMENTS (listed));
  while (!cold_ranks_before ("one", "here", key)
         || !cold_ranks_before ("two", "here", key)
         || !cold_ranks_before ("six", "here", key)
         || !cold_ranks_before ("far", "here", key))
    key++;
  pal_tick (here.pal, NOW);
  g_assert_cmpuint (pal_get_cell_rank (here.pal, NOW, key), ==, 3);
  g_assert_cmpuint (pal_get_fleet_rank (here.pal, NOW, key), ==, 4);
  g_assert_cmpuint (pal_get_cell_rank (here.pal, NOW + SILENCE_MS, key), ==,
                    0);
  for (unsigned i = 0; i < G_N_ELEMENTS (others); i++)
    {
      deliver (&others[i], &here, NOW + 5000, PAL_FULL);
      g_assert_cmpuint (pal_get_cell_rank (here.pal, NOW + 5000, key), ==,
                        i + 1);
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (others); i++)
    {
      pal_set_fails_writes (others[i].pal, true);
      deliver (&others[i], &here, NOW + 5001, PAL_FULL);
      deliver (&others[i], &here, NOW + 5002, PAL_CHANGES);
      g_assert_cmpuint (pal_get_cell_rank (here.pal, NOW + 5002, key), ==,
                        i == 0 ? 2 : 1);
    }
  pal_set_fails_writes (others[0].pal, false);
  deliver (&others[0], &here, NOW + 5003, PAL_FULL);
  g_assert_cmpuint (pal_get_cell_rank (here.pal, NOW + 5003, key), ==, 1);
  g_assert_cmpuint (pal_get_cell_rank (here.pal, NOW + 5003 + SILENCE_MS, key),
                    ==, 0);
  router_free (&here);
  for (unsigned i = 0; i < G_N_ELEMENTS (others); i++)
    router_free (&others[i]);
}

/* Guards against records that are never stored, or not known to be, since a
   datagram is lost: they are sent, and reported as stored, until both arrive.
 */
static void
test_awaited (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");

  deliver (&one, &here, NOW, PAL_FULL);
  deliver (&here, &one, NOW, PAL_FULL);
  org_add (one.org, NOW, 77, 5, true);
  org_add (one.org, NOW, 78, 5, true);
  org_await (one.org, NOW, 77, 5);
  g_byte_array_unref (pal_pack (one.pal, NOW, PAL_CHANGES));
  deliver (&one, &here, NOW + 40, PAL_CHANGES);
  g_assert_cmpuint (org_find (here.org, NOW + 40, 77).origin, ==, 5);
  g_assert_cmpuint (org_find (here.org, NOW + 40, 78).origin, ==, ORG_ANY);
  org_add_stored (here.org, NOW + 40, 77);
  deliver (&here, &one, NOW + 40, PAL_SUMMARY);
  g_assert_false (org_find (one.org, NOW + 40, 77).is_stored);
  g_byte_array_unref (pal_pack (here.pal, NOW + 40, PAL_CHANGES));
  deliver (&one, &here, NOW + 80, PAL_CHANGES);
  deliver (&here, &one, NOW + 80, PAL_CHANGES);
  g_assert_true (org_find (one.org, NOW + 80, 77).is_stored);
  g_assert_false (org_find (one.org, NOW + 80, 78).is_stored);
  router_free (&here);
  router_free (&one);
}

/* Guards against a task of the cell that falls to a router without the
   processor time for it: one with a larger share goes first.  */
static void
test_strong_first (void)
{
  static const pal_member_t listed[] = { { "one", "127.0.0.1:9", true } };
  static const unsigned shares[] = { 0, 68, 500, 500 };
  static const unsigned other_shares[] = { 500, 500, 68, 500 };
  uint64_t keys[2] = { 0, 0 };

  /* By the key alone: behind the other one, and before it.  */
  while (!cold_ranks_before ("one", "here", keys[0]))
    keys[0]++;
  while (cold_ranks_before ("one", "here", keys[1]))
    keys[1]++;
  for (unsigned i = 0; i < G_N_ELEMENTS (shares); i++)
    {
      router_t here = router_new ("here");
      router_t one = router_new ("one");
      g_autoptr (bal_t) own = bal_new ("here", shares[i]);
      g_autoptr (bal_t) other = bal_new ("one", other_shares[i]);
      bool is_comparable = shares[i] != 0 && shares[i] != other_shares[i];
      unsigned by_share = other_shares[i] > shares[i];

      pal_set_balance (here.pal, own);
      pal_set_balance (one.pal, other);
      pal_set_peers (here.pal, listed, G_N_ELEMENTS (listed));
      deliver (&one, &here, NOW, PAL_FULL);
      deliver (&one, &here, NOW + 1, PAL_CHANGES);
      g_assert_cmpuint (pal_get_cell_rank (here.pal, NOW + 2, keys[0]), ==,
                        is_comparable ? by_share : 1);
      g_assert_cmpuint (pal_get_cell_rank (here.pal, NOW + 2, keys[1]), ==,
                        is_comparable ? by_share : 0);
      router_free (&here);
      router_free (&one);
    }
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
  update_t *received = user;

  received->count++;
  received->list = list;
  received->from = from;
  received->to = to;
  g_free (received->events);
  received->events = g_strdup (events);
}

/* A clock that advances by a millisecond at each reading.  */
static int64_t reading_us;

static int64_t
read_slow_clock (void)
{
  return reading_us += 1000;
}

static void
add_state (router_t *from, router_t *to, unsigned active)
{
  g_autoptr (GByteArray) bytes = NULL;

  set_load (from, active, 0.);
  bytes = pal_pack (from->pal, NOW, PAL_FULL);
  pal_inbox_add (&to->pal->inbox, bytes->data, bytes->len);
}

/* A router that finds more datagrams than it has time for takes the newest,
   and all updates of lists.  */
static void
test_no_time (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  router_t two = router_new ("two");
  g_autoptr (GByteArray) update = pal_pack_update (2, 40, 45, "{}");
  update_t received = { 0 };

  pal_set_update_callback (here.pal, on_update, &received);
  pal_inbox_add (&here.pal->inbox, update->data, update->len);
  for (unsigned i = 0; i < 200; i++)
    add_state (&two, &here, i);
  add_state (&one, &here, 7);
  reading_us = 0;
  pal_decode_inbox (here.pal, NOW, 4500, read_slow_clock);
  g_assert_cmpuint (received.count, ==, 1);
  /* One update and three states were decoded, the newest of both routers.  */
  g_assert_cmpuint (get_endpoint (&here)->peer_active, ==, 7 + 199);
  g_assert_cmpuint (pal_count_dropped (here.pal), ==, 198);
  g_assert_cmpuint (here.pal->inbox.items->len, ==, 0);
  g_free (received.events);
  router_free (&here);
  router_free (&one);
  router_free (&two);
}

/* Few datagrams are decoded in the order of their arrival, whatever changes
   they hold.  */
static void
test_in_order (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  g_autoptr (GByteArray) changes = NULL;

  add_state (&one, &here, 2);
  set_load (&one, 5, 0.);
  changes = pal_pack (one.pal, NOW, PAL_CHANGES);
  pal_inbox_add (&here.pal->inbox, changes->data, changes->len);
  reading_us = 0;
  pal_decode_inbox (here.pal, NOW, INT64_MAX, read_slow_clock);
  g_assert_cmpuint (get_endpoint (&here)->peer_active, ==, 5);
  g_assert_cmpuint (pal_count_dropped (here.pal), ==, 0);
  router_free (&here);
  router_free (&one);
}

/* A killed router announces nothing, and its requests end with it.  Without
   the timeout its load would reserve capacity at endpoints for ever.  */
static void
test_silent (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");

  set_load (&one, 9, 900.);
  use_add_served (one.use, NOW, "mill", 5000.);
  deliver (&one, &here, NOW, PAL_FULL);
  g_assert_cmpfloat (use_total (here.use, NOW, "mill").served, ==, 5000.);
  pal_tick (here.pal, NOW + 5000);
  g_assert_cmpuint (get_endpoint (&here)->peer_active, ==, 0);
  g_assert_cmpuint (pal_estimate_fleet_size (here.pal), ==, 1);
  g_assert_cmpfloat (use_total (here.use, NOW, "mill").served, ==, 0.);
  router_free (&here);
  router_free (&one);
}

static void
test_prompts (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  g_autoptr (pfx_prompt_t) prompt = pfx_prompt_parse ("a:100,b:50,c:7");
  uint64_t endpoint = get_endpoint (&here)->hash;

  deliver (&one, &here, NOW, PAL_FULL);
  pfx_record (one.pfx, NOW, get_endpoint (&one)->hash, prompt);
  deliver (&one, &here, NOW, PAL_CHANGES);
  g_assert_cmpuint (pfx_count_cached_tokens (here.pfx, NOW, endpoint, prompt),
                    ==, 150);
  router_free (&here);
  router_free (&one);
}

/* A client that was refused by one router retries at another one, which knows
   the time of its first attempt.  */
static void
test_refusals (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  uint64_t key = ret_request_key ("mill", "a:1,b:2", "text", 4);

  deliver (&one, &here, NOW, PAL_FULL);
  ret_add_refusal (one.ret, NOW, key, NOW - 250, NOW + 100);
  deliver (&one, &here, NOW + 10, PAL_CHANGES);
  /* The same request before the announced time is another client's.  */
  g_assert_cmpint (ret_take_first_attempt (here.ret, NOW + 50, key), ==,
                   NOW + 50);
  g_assert_cmpint (ret_take_first_attempt (here.ret, NOW + 300, key), ==,
                   NOW - 250);
  /* The retry was seen: the next equal request is a new one.  */
  g_assert_cmpint (ret_take_first_attempt (here.ret, NOW + 400, key), ==,
                   NOW + 400);
  router_free (&here);
  router_free (&one);
}

/* A peer read the platform's list without failures while this router could
   not: an entry that is missing from the list was removed, and did not expire
   through an outage of the platform's store.  */
static void
test_steady (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");

  g_assert_cmpint (pal_get_max_peer_stable_ms (here.pal, NOW), ==, -1);
  pal_set_list_stable_ms (one.pal, 9000);
  deliver (&one, &here, NOW, PAL_FULL);
  g_assert_cmpint (pal_get_max_peer_stable_ms (here.pal, NOW), ==, 9000);
  g_assert_cmpint (pal_get_max_peer_stable_ms (here.pal, NOW + 2000), ==, -1);
  router_free (&here);
  router_free (&one);
}

/* Revisions of lists reported by peers; those of a silent peer don't count. */
static void
test_seen (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  router_t two = router_new ("two");

  g_assert_cmpint (pal_view_list (here.pal, NOW, 1, 1000).max_revision, ==, 0);
  pal_set_list_revision (one.pal, 1, 700);
  pal_set_list_revision (two.pal, 1, 900);
  pal_set_list_revision (two.pal, 2, 1000);
  deliver (&one, &here, NOW, PAL_FULL);
  deliver (&two, &here, NOW, PAL_FULL);
  /* A datagram with changes only keeps the revisions.  */
  deliver (&two, &here, NOW, PAL_CHANGES);
  g_assert_cmpint (pal_view_list (here.pal, NOW, 1, 1000).max_revision, ==,
                   900);
  g_assert_cmpint (pal_view_list (here.pal, NOW + 2000, 1, 1000).max_revision,
                   ==, 0);
  router_free (&here);
  router_free (&one);
  router_free (&two);
}

/* The routers that read a list for the fleet are chosen by an order that is
   the same at all routers.  One that has not confirmed the list lately doesn't
   count.  */
static void
test_readers (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");

  g_assert_cmpint (pal_view_list (here.pal, NOW, 1, 1000).min_age_ms, ==, -1);
  deliver (&one, &here, NOW, PAL_FULL);
  deliver (&here, &one, NOW, PAL_FULL);
  g_assert_cmpint (pal_view_list (here.pal, NOW, 1, 1000).min_age_ms, ==, -1);
  g_assert_cmpuint (pal_view_list (here.pal, NOW, 1, 1000).rank, ==, 0);
  pal_set_list_age (one.pal, 1, 300);
  pal_set_list_age (here.pal, 1, 300);
  deliver (&one, &here, NOW, PAL_FULL);
  deliver (&here, &one, NOW, PAL_FULL);
  g_assert_cmpint (pal_view_list (here.pal, NOW + 200, 1, 1000).min_age_ms, ==,
                   500);
  g_assert_cmpuint (pal_view_list (here.pal, NOW, 1, 1000).rank
                        + pal_view_list (one.pal, NOW, 1, 1000).rank,
                    ==, 1);
  g_assert_cmpuint (pal_view_list (here.pal, NOW + 900, 1, 1000).rank, ==, 0);
  g_assert_cmpuint (pal_view_list (one.pal, NOW + 900, 1, 1000).rank, ==, 0);
  router_free (&here);
  router_free (&one);
}

static void
receive_stray (guint32 seed)
{
  router_t here = router_new ("here");
  router_t one = router_new_seeded ("one", seed);
  g_autoptr (GByteArray) bytes = NULL;

  set_load (&one, 3, 500.);
  use_add_served (one.use, NOW, "mill", 5000.);
  bytes = pal_pack (one.pal, NOW, PAL_FULL);
  for (guint i = 0; i < bytes->len; i++)
    {
      bool accepted = pal_receive (here.pal, NOW, bytes->data, i);

      g_assert_false (accepted);
    }
  for (guint i = 0; i < bytes->len; i++)
    {
      bytes->data[i] ^= 0xff;
      pal_receive_any (here.pal, NOW, bytes->data, bytes->len);
      bytes->data[i] ^= 0xff;
    }
  router_free (&here);
  router_free (&one);
}

/* A datagram truncated at each length, and with each byte changed, is rejected
   or read as other values; nothing else may happen.  The incarnation's bytes
   decide what is read after a changed byte.  */
static void
test_stray (void)
{
  for (guint32 seed = 0; seed < STRAY_SEEDS; seed++)
    receive_stray (seed);
}

/* Random changes of states, with all lists filled, and of updates.  What is
   accepted is applied; sanitizers and invariants tell whether that is safe. */
static void
test_mutated (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  g_autoptr (GRand) random = g_rand_new_with_seed (20261203);
  g_autoptr (pfx_prompt_t) prompt = pfx_prompt_parse ("a:100,b:50,c:7");
  g_autoptr (GByteArray) update = pal_pack_update (2, 40, 45, "{}");

  use_add_served (one.use, NOW, "mill", 5000.);
  pfx_record (one.pfx, NOW, get_endpoint (&one)->hash, prompt);
  ret_add_refusal (one.ret, NOW, 7, NOW - 250, NOW + 100);
  for (unsigned i = 0; i < MUTATIONS; i++)
    {
      bool is_update = i % 4 == 0;
      g_autoptr (GByteArray) bytes = NULL;
      int changes = g_rand_int_range (random, 1, 6);

      set_load (&one, i % 7, 500.);
      bytes = is_update ? g_byte_array_append (g_byte_array_new (),
                                               update->data, update->len)
                        : pal_pack (one.pal, NOW, i % 3);
      while (changes-- > 0)
        bytes->data[g_rand_int_range (random, 0, (gint32)bytes->len)]
            = (guint8)g_rand_int_range (random, 0, 256);
      pal_receive_any (here.pal, NOW, bytes->data, bytes->len);
    }
  g_assert_cmpuint (pal_count_invalid (here.pal), >, 0);
  g_assert_cmpuint (pal_count_invalid (here.pal), <, MUTATIONS);
  pal_tick (here.pal, NOW + 5000);
  router_free (&here);
  router_free (&one);
}

/* Valid bytes followed by one more, and what is neither a state nor an update,
   are counted as invalid.  */
static void
test_invalid (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  g_autoptr (GByteArray) state = pal_pack (one.pal, NOW, PAL_FULL);
  g_autoptr (GByteArray) update = pal_pack_update (2, 40, 45, "{}");
  const guint8 byte = 1;

  pal_receive_any (here.pal, NOW, state->data, state->len);
  pal_receive_any (here.pal, NOW, update->data, update->len);
  g_assert_cmpuint (pal_count_invalid (here.pal), ==, 0);
  g_byte_array_append (state, &byte, 1);
  g_byte_array_append (update, &byte, 1);
  pal_receive_any (here.pal, NOW, state->data, state->len);
  pal_receive_any (here.pal, NOW, update->data, update->len);
  pal_receive_any (here.pal, NOW, &byte, 1);
  pal_receive_any (here.pal, NOW, &byte, 0);
  g_assert_cmpuint (pal_count_invalid (here.pal), ==, 4);
  router_free (&here);
  router_free (&one);
}

/* Guards against routers that don't know how much processor time others of
   their zone have: those of other cells report it in summaries.  A datagram of
   an earlier version, or of a router that doesn't know its share, has no
   figures.  */
static void
test_processor_time (void)
{
  static const char *const zone[] = { "one", NULL };
  static const bal_sample_t sample
      = { .busy_ms = 250., .idle_ms = 750., .is_ready = true };
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  g_autoptr (bal_t) near = bal_new ("here", 68);
  g_autoptr (bal_t) far = bal_new ("one", 500);
  g_autoptr (bal_t) unknown = bal_new ("one", 0);

  pal_set_balance (here.pal, near);
  bal_set_zone (near, zone);
  bal_update (far, NOW, &sample);
  deliver (&one, &here, NOW, PAL_FULL);
  pal_set_balance (one.pal, unknown);
  deliver (&one, &here, NOW, PAL_FULL);
  pal_set_balance (one.pal, far);
  deliver (&one, &here, NOW, PAL_CHANGES);
  bal_update (near, NOW, &sample);
  g_assert_cmpuint (bal_get_zone (near).ready, ==, 0);
  deliver (&one, &here, NOW, PAL_SUMMARY);
  bal_update (near, NOW + 100, &sample);
  g_assert_cmpuint (bal_get_zone (near).ready, ==, 1);
  /* 0.8 of 500 less what it uses.  */
  g_assert_cmpuint (bal_get_zone (near).room, >, 250);
  g_assert_cmpuint (bal_get_zone (near).room, <, 400);
  router_free (&here);
  router_free (&one);
}

/* Adds what shows that E1 takes RATIO times as long as the average.  */
static void
measure_speed (router_t *router, cfd_time_t now, double ratio)
{
  for (unsigned i = 0; i < 40; i++)
    spd_add (&get_endpoint (router)->speed, now, 150. * ratio, 150.);
}

static double
get_slowness (router_t *router, cfd_time_t now)
{
  pal_tick (router->pal, now);
  return spd_get_slowness (&get_endpoint (router)->speed, now);
}

/* Guards against routers that don't learn which endpoints are slow, and that
   go on believing it without evidence: of a peer that sends its state but
   nothing on speeds, of one that was silent, or restarted.  */
static void
test_speeds (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  router_t restarted = router_new_seeded ("one", 77);

  measure_speed (&one, NOW, 2.);
  deliver (&one, &here, NOW, PAL_CHANGES);
  g_assert_cmpfloat (get_slowness (&here, NOW), ==, 1.);
  deliver (&one, &here, NOW, PAL_FULL);
  g_assert_cmpfloat_with_epsilon (get_slowness (&here, NOW + 500), 2., 0.2);
  /* Speeds come once a second.  They last meanwhile, and lapse in the end.  */
  for (int64_t ms = 600; ms <= 4000; ms += 200)
    {
      one.pal->speeds_sent_at = NOW + ms;
      deliver (&one, &here, NOW + ms, PAL_FULL);
      g_assert_cmpfloat (get_slowness (&here, NOW + ms), >, 1.5);
    }
  for (int64_t ms = 4200; ms <= 6000; ms += 200)
    {
      one.pal->speeds_sent_at = NOW + ms;
      deliver (&one, &here, NOW + ms, PAL_FULL);
      pal_tick (here.pal, NOW + ms);
    }
  g_assert_cmpfloat (get_slowness (&here, NOW + 6000), ==, 1.);
  deliver (&one, &here, NOW + 8000, PAL_FULL);
  g_assert_cmpfloat (get_slowness (&here, NOW + 8000), >, 1.5);
  g_assert_cmpfloat (get_slowness (&here, NOW + 10000), ==, 1.);
  deliver (&one, &here, NOW + 11000, PAL_FULL);
  g_assert_cmpfloat (get_slowness (&here, NOW + 11000), >, 1.3);
  deliver (&restarted, &here, NOW + 11500, PAL_FULL);
  g_assert_cmpfloat (get_slowness (&here, NOW + 11500), ==, 1.);
  router_free (&here);
  router_free (&one);
  router_free (&restarted);
}

/* The speed of an endpoint that is listed after a peer reported it counts, and
   what one peer reported is not taken from what another one did.  */
static void
test_speeds_listed_late (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  router_t two = router_new ("two");
  edp_t *edp;

  list_second_endpoint (&one);
  list_second_endpoint (&two);
  edp = edp_set_find (one.endpoints, "e2");
  spd_add (&edp->speed, NOW, 800., 400.);
  edp = edp_set_find (two.endpoints, "e2");
  spd_add (&edp->speed, NOW, 800., 400.);
  deliver (&one, &here, NOW, PAL_FULL);
  list_second_endpoint (&here);
  edp = edp_set_find (here.endpoints, "e2");
  deliver (&two, &here, NOW, PAL_FULL);
  pal_tick (here.pal, NOW + 500);
  g_assert_cmpfloat_with_epsilon (edp->speed.peers.observed,
                                  1600. * exp (-0.05), 1.);
  deliver (&one, &here, NOW + 1000, PAL_FULL);
  pal_tick (here.pal, NOW + 1000);
  g_assert_cmpfloat_with_epsilon (edp->speed.peers.observed,
                                  1600. * exp (-0.1), 1.);
  router_free (&here);
  router_free (&one);
  router_free (&two);
}

/* Guards against routers that count as ready though they are leaving, or for a
   presence of a later version; the last items of the datagram, of two bytes
   and of one each, follow on it.  */
static void
test_presence (void)
{
  static const char *const zone[] = { "one", NULL };
  static const bal_sample_t sample = { .idle_ms = 1000., .is_ready = true };

  for (guint8 presence = 0; presence <= 4; presence++)
    {
      router_t here = router_new ("here");
      router_t one = router_new ("one");
      g_autoptr (bal_t) near = bal_new ("here", 68);
      g_autoptr (bal_t) far = bal_new ("one", 500);
      g_autoptr (GByteArray) bytes = NULL;
      guint at;

      pal_set_balance (here.pal, near);
      bal_set_zone (near, zone);
      bal_update (far, NOW, &sample);
      pal_set_balance (one.pal, far);
      bytes = pal_pack (one.pal, NOW, PAL_FULL);
      at = bytes->len - 5;
      g_assert_cmpuint (bytes->data[at], ==, BAL_READY);
      bytes->data[at] = presence;
      g_assert_true (pal_receive (here.pal, NOW, bytes->data, bytes->len));
      bal_update (near, NOW, &sample);
      /* It ranks above, so that it counts while it is leaving, but it takes no
         callers.  */
      g_assert_cmpuint (bal_get_zone (near).ready, ==,
                        presence == BAL_READY || presence == BAL_LEAVING);
      g_assert_cmpuint (bal_get_zone (near).out_above, ==,
                        presence == BAL_OUT || presence > BAL_LEAVING);
      g_assert_cmpint (bal_get_zone (near).room > 0, ==,
                       presence == BAL_READY);
      router_free (&here);
      router_free (&one);
    }
}

/* Appends the header of a list of COUNT items.  */
static void
append_array (GByteArray *bytes, uint32_t count)
{
  const guint8 header[] = { 0xdd, (guint8)(count >> 24), (guint8)(count >> 16),
                            (guint8)(count >> 8), (guint8)count };

  g_byte_array_append (bytes, header, sizeof header);
}

/* Returns a state datagram whose list number LIST (5 to 14) has COUNT items,
   all of them 0, and whose other lists are empty.  */
static GByteArray *
pack_long_list (unsigned list, uint32_t count)
{
  static const guint8 start[]
      = { 0xdc, 0, ITEMS, 0xcd, 0xcf, 0xdb, 0xa3, 'o', 'n', 'e', 7, 1, 1 };
  static const guint8 zero = 0;
  static const guint8 empty = 0x90;
  GByteArray *bytes = g_byte_array_new ();

  g_byte_array_append (bytes, start, sizeof start);
  for (unsigned item = 5; item < ITEMS; item++)
    {
      bool is_number = item == 8;

      if (item != list)
        {
          g_byte_array_append (bytes, is_number ? &zero : &empty, 1);
          continue;
        }
      append_array (bytes, count);
      for (uint32_t i = 0; i < count; i++)
        g_byte_array_append (bytes, &zero, 1);
    }
  return bytes;
}

/* Returns a state of LENGTH items, all lists of it empty, in which the item of
   speeds, unless that is NULL, is replaced by BYTES.  */
static GByteArray *
pack_items (guint8 length, const guint8 *bytes, guint count)
{
  const guint8 start[]
      = { 0xdc, 0, length, 0xcd, 0xcf, 0xdb, 0xa3, 'o', 'n', 'e', 7, 1, 1 };
  static const guint8 zero = 0;
  static const guint8 empty = 0x90;
  GByteArray *state = g_byte_array_new ();

  g_byte_array_append (state, start, sizeof start);
  for (unsigned item = 5; item < length; item++)
    if (item == SPEEDS_ITEM && bytes != NULL)
      g_byte_array_append (state, bytes, count);
    else
      g_byte_array_append (state, item == 8 ? &zero : &empty, 1);
  return state;
}

static bool
accepts (guint8 length, const guint8 *bytes, guint count)
{
  router_t here = router_new ("here");
  g_autoptr (GByteArray) state = pack_items (length, bytes, count);
  bool accepted = pal_receive (here.pal, NOW, state->data, state->len);

  pal_tick (here.pal, NOW + 500);
  router_free (&here);
  return accepted;
}

/* Guards against routers of two versions that ignore each other: an earlier
   one sends 17 items, a later one may send 23.  */
static void
test_other_versions (void)
{
  g_assert_false (accepts (16, NULL, 0));
  g_assert_true (accepts (17, NULL, 0));
  g_assert_true (accepts (18, NULL, 0));
  g_assert_true (accepts (19, NULL, 0));
  g_assert_true (accepts (20, NULL, 0));
  g_assert_true (accepts (21, NULL, 0));
  g_assert_true (accepts (22, NULL, 0));
  g_assert_true (accepts (23, NULL, 0));
}

/* Speeds that are no rows of three numbers are rejected with their datagram;
   numbers that no router measures must not crash or count without limit.  */
static void
test_malformed_speeds (void)
{
  static const guint8 row[] = { 0x93, 1, 2, 3 };
  static const guint8 two[] = { 0x92, 1, 2 };
  static const guint8 four[] = { 0x94, 1, 2, 3, 4 };
  static const guint8 negative[] = { 0x93, 1, 0xff, 3 };
  static const guint8 text[] = { 0x93, 1, 0xa1, 'x', 3 };
  static const guint8 nested[] = { 0x91, 0x93, 1, 2, 3 };
  static const guint8 number[] = { 7 };
  static const guint8 nil[] = { 0xc0 };
  static const guint8 real[]
      = { 0x93, 1, 0xcb, 0x7f, 0xf0, 0, 0, 0, 0, 0, 0, 3 };
  static const guint8 zero[] = { 0x93, 1, 0, 0 };
  static const guint8 huge[]
      = { 0x93, 1, 0xcf, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1 };

  g_assert_true (accepts (ITEMS, row, sizeof row));
  g_assert_false (accepts (ITEMS, two, sizeof two));
  g_assert_false (accepts (ITEMS, four, sizeof four));
  g_assert_false (accepts (ITEMS, negative, sizeof negative));
  g_assert_false (accepts (ITEMS, text, sizeof text));
  g_assert_false (accepts (ITEMS, nested, sizeof nested));
  g_assert_false (accepts (ITEMS, number, sizeof number));
  g_assert_false (accepts (ITEMS, nil, sizeof nil));
  g_assert_false (accepts (ITEMS, real, sizeof real));
  g_assert_true (accepts (ITEMS, zero, sizeof zero));
  g_assert_true (accepts (ITEMS, huge, sizeof huge));
}

/* Two ends at one router and a third at another quarantine a request at both,
   and at one that starts later, whatever datagrams of it come.  */
static void
test_quarantine (gconstpointer data)
{
  pal_content_t content = GPOINTER_TO_INT (data);
  router_t one = router_new ("one");
  router_t two = router_new ("two");
  router_t late = router_new ("late");
  cfd_time_t now = NOW + 1000;

  deliver (&one, &two, NOW, PAL_FULL);
  deliver (&two, &one, NOW, PAL_FULL);
  for (unsigned i = 1; i <= 3; i++)
    {
      qua_event_t end = { .request = 7,
                          .endpoint = i,
                          .sent_at = NOW + 100 * i - 50,
                          .at = NOW + 100 * i };

      qua_add (i < 3 ? one.qua : two.qua, now, &end);
    }
  deliver (&one, &two, now, content);
  deliver (&two, &one, now, content);
  g_assert_true (qua_find (one.qua, now, 7).is_active);
  g_assert_true (qua_find (two.qua, now, 7).is_active);
  deliver (&one, &late, now + 20000, PAL_FULL);
  g_assert_true (qua_find (late.qua, now + 20000, 7).is_active);
  router_free (&one);
  router_free (&two);
  router_free (&late);
}

static void
ignore_part (void *user, uint64_t part, const prt_state_t *state)
{
}

static bool
is_part_quarantined (router_t *router, cfd_time_t now)
{
  prt_decide (router->prt, now, ignore_part, NULL);
  return prt_find (router->prt, now, 7).verdict == PRT_QUARANTINED;
}

/* Ends at two routers quarantine a part at both and at one that starts later,
   and an answer at one clears it at all.  */
static void
test_parts (gconstpointer data)
{
  pal_content_t content = GPOINTER_TO_INT (data);
  router_t one = router_new ("one");
  router_t two = router_new ("two");
  router_t late = router_new ("late");
  cfd_time_t now = NOW + 2000;
  prt_event_t answer = { .kind = PRT_ANSWER, .part = 7, .at = now + 21000 };

  deliver (&one, &two, NOW, PAL_FULL);
  deliver (&two, &one, NOW, PAL_FULL);
  for (unsigned i = 1; i <= 3; i++)
    {
      prt_event_t end = { .kind = PRT_END,
                          .part = 7,
                          .endpoint = i,
                          .request = 100 + i,
                          .at = NOW + 500 * i };

      prt_add (i < 3 ? one.prt : two.prt, now, &end);
    }
  deliver (&one, &two, now, content);
  deliver (&two, &one, now, content);
  g_assert_true (is_part_quarantined (&one, now));
  g_assert_true (is_part_quarantined (&two, now));
  deliver (&one, &late, now + 20000, PAL_FULL);
  g_assert_true (is_part_quarantined (&late, now + 20000));
  prt_add (late.prt, answer.at, &answer);
  deliver (&late, &one, answer.at, PAL_FULL);
  g_assert_false (is_part_quarantined (&one, answer.at));
  router_free (&one);
  router_free (&two);
  router_free (&late);
}

/* Endpoints end under very many requests with many parts: all that is sent of
   it fits a datagram.  */
static void
test_ends_fit_datagram (void)
{
  router_t here = router_new ("here");

  for (unsigned i = 0; i < 4096; i++)
    {
      const uint64_t key = UINT64_C (0x8000000000) + i / 3;
      const uint64_t endpoint = 0x80000000u + i % 3;
      cfd_time_t at = NOW - 1000 + 200 * (i % 3);
      qua_event_t end = {
        .request = key, .endpoint = endpoint, .sent_at = at - 100, .at = at
      };
      prt_event_t part = { .kind = PRT_END,
                           .part = key,
                           .endpoint = endpoint,
                           .request = key,
                           .at = at };

      qua_add (here.qua, NOW, &end);
      prt_add (here.prt, NOW, &part);
    }
  for (unsigned content = PAL_CHANGES; content <= PAL_SUMMARY; content++)
    {
      g_autoptr (GByteArray) bytes
          = pal_pack (here.pal, NOW, (pal_content_t)content);

      g_assert_cmpuint (bytes->len, <, MAX_DATAGRAM_BYTES);
    }
  router_free (&here);
}

/* A datagram with more rows than any router sends makes the receiver work
   through all of them.  */
static void
test_list_limits (void)
{
  static const struct
  {
    unsigned list;
    uint32_t columns;
    uint32_t max_rows;
  } cases[] = {
    { 5, 4, MAX_LOAD_ROWS },        { 7, 2, MAX_PREFIX_ROWS },
    { 9, PAL_LIST_COUNT * 2, 1 },   { 10, 3, MAX_REFUSAL_ROWS },
    { 11, 5, MAX_EVIDENCE_ROWS },   { 12, 2, MAX_STREAM_ROWS },
    { 13, 3, MAX_RETIRED_ROWS },    { 14, 2, MAX_COLD_ROWS },
    { 15, 4, MAX_QUARANTINE_ROWS }, { 16, 5, MAX_PART_ROWS },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      router_t here = router_new ("here");
      g_autoptr (GByteArray) most = pack_long_list (
          cases[i].list, cases[i].columns * cases[i].max_rows);
      g_autoptr (GByteArray) more = pack_long_list (
          cases[i].list, cases[i].columns * (cases[i].max_rows + 1));

      g_assert_false (pal_receive (here.pal, NOW, more->data, more->len));
      g_assert_true (pal_receive (here.pal, NOW, most->data, most->len));
      router_free (&here);
    }
}

/* An update is received as it was sent, and is not taken for a state datagram.
   A truncated one, one of an unknown list and one that doesn't advance the
   revision are rejected.  */
static void
test_update (void)
{
  router_t here = router_new ("here");
  g_autoptr (GByteArray) bytes = pal_pack_update (2, 40, 45, "{}");
  g_autoptr (GByteArray) unknown
      = pal_pack_update (PAL_LIST_COUNT, 40, 45, "{}");
  g_autoptr (GByteArray) back = pal_pack_update (2, 45, 45, "{}");
  update_t received = { 0 };

  pal_set_update_callback (here.pal, on_update, &received);
  g_assert_false (pal_receive (here.pal, NOW, bytes->data, bytes->len));
  for (guint i = 0; i < bytes->len; i++)
    g_assert_false (pal_receive_update (here.pal, bytes->data, i));
  g_assert_false (pal_receive_update (here.pal, unknown->data, unknown->len));
  g_assert_false (pal_receive_update (here.pal, back->data, back->len));
  g_assert_cmpuint (received.count, ==, 0);
  g_assert_true (pal_receive_update (here.pal, bytes->data, bytes->len));
  g_assert_cmpuint (received.count, ==, 1);
  g_assert_cmpuint (received.list, ==, 2);
  g_assert_cmpint (received.from, ==, 40);
  g_assert_cmpint (received.to, ==, 45);
  g_assert_cmpstr (received.events, ==, "{}");
  g_free (received.events);
  router_free (&here);
}

/* Guards against datagrams that grow with all accounts of the last seconds:
   the usage of an account without new requests is sent at intervals.  A router
   that missed it learns it then.  */
static void
test_usage_refresh (void)
{
  router_t here = router_new ("here");
  router_t one = router_new ("one");
  double served;

  use_add_served (one.use, NOW - 100, "mill", 4000.);
  /* This datagram is lost.  */
  g_byte_array_unref (pal_pack (one.pal, NOW, PAL_FULL));
  deliver (&one, &here, NOW + 300, PAL_FULL);
  g_assert_cmpfloat (use_total (here.use, NOW + 300, "mill").served, ==, 0.);
  use_add_served (one.use, NOW + 400, "branch", 100.);
  deliver (&one, &here, NOW + 600, PAL_FULL);
  g_assert_cmpfloat (use_total (here.use, NOW + 600, "branch").served, >, 50.);
  deliver (&one, &here, NOW + 2000, PAL_FULL);
  served = use_total (one.use, NOW + 2000, "mill").served;
  g_assert_cmpfloat (served, >, 500.);
  g_assert_cmpfloat_with_epsilon (
      use_total (here.use, NOW + 2000, "mill").served, served, 1.);
  router_free (&here);
  router_free (&one);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/pal/adds-up", GINT_TO_POINTER (PAL_FULL),
                        test_adds_up);
  g_test_add_data_func ("/pal/adds-up-changes", GINT_TO_POINTER (PAL_CHANGES),
                        test_adds_up);
  g_test_add_func ("/pal/unnamed", test_unnamed);
  g_test_add_func ("/pal/overtaken", test_overtaken);
  g_test_add_func ("/pal/listed-late", test_listed_late);
  g_test_add_func ("/pal/cut-off", test_cut_off);
  g_test_add_func ("/pal/summary", test_summary);
  g_test_add_func ("/pal/cell-changes", test_cell_changes);
  g_test_add_func ("/pal/cold-ranks-in-cells", test_cold_ranks_in_cells);
  g_test_add_data_func ("/pal/stream-origins/changes",
                        GINT_TO_POINTER (PAL_CHANGES), test_stream_origins);
  g_test_add_data_func ("/pal/stream-origins/summary",
                        GINT_TO_POINTER (PAL_SUMMARY), test_stream_origins);
  g_test_add_data_func ("/pal/quarantine/changes",
                        GINT_TO_POINTER (PAL_CHANGES), test_quarantine);
  g_test_add_data_func ("/pal/quarantine/summary",
                        GINT_TO_POINTER (PAL_SUMMARY), test_quarantine);
  g_test_add_func ("/pal/ends-fit-datagram", test_ends_fit_datagram);
  g_test_add_data_func ("/pal/parts/changes", GINT_TO_POINTER (PAL_CHANGES),
                        test_parts);
  g_test_add_data_func ("/pal/parts/summary", GINT_TO_POINTER (PAL_SUMMARY),
                        test_parts);
  g_test_add_func ("/pal/found-cold", test_found_cold);
  g_test_add_func ("/pal/first-router", test_first_router);
  g_test_add_func ("/pal/task-rank", test_task_rank);
  g_test_add_func ("/pal/strong-first", test_strong_first);
  g_test_add_func ("/pal/awaited", test_awaited);
  g_test_add_func ("/pal/retired-versions", test_retired_versions);
  g_test_add_func ("/pal/cold-endpoint-of-other-cell",
                   test_cold_endpoint_of_other_cell);
  g_test_add_func ("/pal/no-time", test_no_time);
  g_test_add_func ("/pal/in-order", test_in_order);
  g_test_add_func ("/pal/silent", test_silent);
  g_test_add_func ("/pal/prompts", test_prompts);
  g_test_add_func ("/pal/refusals", test_refusals);
  g_test_add_func ("/pal/steady", test_steady);
  g_test_add_func ("/pal/readers", test_readers);
  g_test_add_func ("/pal/seen", test_seen);
  g_test_add_func ("/pal/stray", test_stray);
  g_test_add_func ("/pal/mutated", test_mutated);
  g_test_add_func ("/pal/invalid", test_invalid);
  g_test_add_func ("/pal/list-limits", test_list_limits);
  g_test_add_func ("/pal/update", test_update);
  g_test_add_func ("/pal/usage-refresh", test_usage_refresh);
  g_test_add_func ("/pal/processor-time", test_processor_time);
  g_test_add_func ("/pal/speeds", test_speeds);
  g_test_add_func ("/pal/speeds-listed-late", test_speeds_listed_late);
  g_test_add_func ("/pal/other-versions", test_other_versions);
  g_test_add_func ("/pal/malformed-speeds", test_malformed_speeds);
  g_test_add_func ("/pal/presence", test_presence);
  return g_test_run ();
}
