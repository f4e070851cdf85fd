/* Tests of rollouts: which endpoints get requests, the share of canaries, and
   the verdict from the evidence of several routers.  */

#include "test-rol-scene.h"

/* ---- standing of endpoints ---- */

static const scene_endpoint_t new_only[] = { { "c", "v2", 30 }, { 0 } };

/* Guards against a bad version's full share of the traffic between the reading
   of the list of endpoints and that of the list of orders.  */
static void
test_endpoints_ahead (void)
{
  scene_t router = scene_new (SHARE);

  scene_list (&router, scene_old_only);
  scene_set_order (&router, NULL, ROL_ORDERED, 0, 20);
  scene_list (&router, scene_both);
  scene_assert_standing (&router, "a", EDP_CURRENT);
  scene_assert_standing (&router, "c", EDP_UNVERIFIED);
  g_assert_false (edp_is_open (edp_set_find (router.endpoints, "c"), NOW));
  g_assert_cmpint (rol_get_required_revision (router.rol), ==, 30);
  scene_set_order (&router, "v2", ROL_ORDERED, 25, 29);
  scene_assert_standing (&router, "c", EDP_CANARY);
  g_assert_cmpint (rol_get_required_revision (router.rol), ==, 0);
  scene_free (&router);
}

/* A version that replaces the old one without an order gets its traffic as
   soon as the orders are known as of its first endpoint; later endpoints of
   the version need no further reading.  */
static void
test_release (void)
{
  static const scene_endpoint_t further[]
      = { { "b", "v1", 11 }, { "c", "v2", 30 }, { "d", "v2", 50 }, { 0 } };
  scene_t router = scene_new (SHARE);

  scene_set_order (&router, NULL, ROL_ORDERED, 0, 20);
  scene_list (&router, scene_both);
  scene_assert_standing (&router, "c", EDP_UNVERIFIED);
  rol_note_revision (router.rol, 31);
  scene_assert_standing (&router, "c", EDP_CURRENT);
  scene_list (&router, further);
  scene_assert_standing (&router, "d", EDP_CURRENT);
  g_assert_cmpint (rol_get_required_revision (router.rol), ==, 0);
  scene_free (&router);
}

/* A router that has not read the orders serves with the version that was
   listed first, and with all endpoints of a service that has one version.  */
static void
test_orders_unknown (void)
{
  static const scene_endpoint_t one_late[]
      = { { "a", "v1", 10 }, { "b", "v1", 99 }, { 0 } };
  scene_t router = scene_new (SHARE);

  scene_list (&router, one_late);
  scene_assert_standing (&router, "a", EDP_CURRENT);
  scene_assert_standing (&router, "b", EDP_CURRENT);
  scene_list (&router, scene_both);
  scene_assert_standing (&router, "a", EDP_CURRENT);
  scene_assert_standing (&router, "c", EDP_UNVERIFIED);
  scene_free (&router);
}

/* Where the operator sets no share, all endpoints are used.  */
static void
test_not_followed (void)
{
  scene_t router = scene_new (0.);

  scene_list (&router, scene_both);
  scene_assert_standing (&router, "c", EDP_CURRENT);
  g_assert_cmpint (rol_get_required_revision (router.rol), ==, 0);
  scene_free (&router);
}

/* The end of a rollout, by the status in the store.  */
static void
test_final (void)
{
  static const scene_endpoint_t later[]
      = { { "a", "v1", 10 }, { "c", "v2", 30 }, { "d", "v3", 60 }, { 0 } };
  scene_t router = scene_new (SHARE);

  scene_list (&router, scene_both);
  scene_set_order (&router, "v2", ROL_IN_PROGRESS, 25, 40);
  scene_assert_standing (&router, "c", EDP_CANARY);
  scene_set_order (&router, "v2", ROL_ROLLED_BACK, 41, 41);
  scene_assert_standing (&router, "a", EDP_CURRENT);
  scene_assert_standing (&router, "c", EDP_REJECTED);
  scene_set_order (&router, "v2", ROL_COMPLETED, 42, 42);
  scene_assert_standing (&router, "a", EDP_REPLACED);
  scene_assert_standing (&router, "c", EDP_CURRENT);
  /* A release after the rollout.  */
  scene_list (&router, later);
  rol_note_revision (router.rol, 61);
  scene_assert_standing (&router, "d", EDP_CURRENT);
  scene_assert_standing (&router, "a", EDP_REPLACED);
  scene_free (&router);
}

/* Endpoints of a version that was rolled back get nothing while there are
   others, and none that were listed before the end.  */
static void
test_rolled_back_only (void)
{
  static const scene_endpoint_t listed_again[] = { { "e", "v2", 60 }, { 0 } };
  scene_t router = scene_new (SHARE);

  scene_list (&router, scene_both);
  scene_set_order (&router, "v2", ROL_ROLLED_BACK, 41, 41);
  scene_list (&router, new_only);
  scene_assert_standing (&router, "c", EDP_REJECTED);
  scene_list (&router, listed_again);
  scene_assert_standing (&router, "e", EDP_CURRENT);
  scene_free (&router);
}

/* An order that is removed before its end leaves a version that nobody found
   good.  */
static void
test_removed (void)
{
  scene_t router = scene_new (SHARE);

  scene_list (&router, scene_both);
  scene_set_order (&router, "v2", ROL_IN_PROGRESS, 25, 40);
  scene_set_order (&router, NULL, ROL_ORDERED, 0, 50);
  scene_assert_standing (&router, "c", EDP_REJECTED);
  scene_assert_standing (&router, "a", EDP_CURRENT);
  g_assert_null (rol_find (router.rol, "app"));
  /* The same order once more.  */
  scene_set_order (&router, "v2", ROL_ORDERED, 55, 55);
  scene_assert_standing (&router, "c", EDP_CANARY);
  scene_free (&router);
}

/* The endpoints of a target that was rolled back are still listed when another
   version is ordered, or the order is removed.  */
static void
test_next_order (void)
{
  static const scene_endpoint_t next[]
      = { { "a", "v1", 10 }, { "c", "v2", 30 }, { "d", "v3", 60 }, { 0 } };
  static const scene_endpoint_t gone[]
      = { { "a", "v1", 10 }, { "d", "v3", 60 }, { 0 } };
  scene_t router = scene_new (SHARE);

  scene_list (&router, scene_both);
  scene_set_order (&router, "v2", ROL_ROLLED_BACK, 41, 41);
  scene_set_order (&router, "v3", ROL_ORDERED, 50, 50);
  scene_list (&router, next);
  scene_assert_standing (&router, "a", EDP_CURRENT);
  scene_assert_standing (&router, "c", EDP_REJECTED);
  scene_assert_standing (&router, "d", EDP_CANARY);
  scene_set_order (&router, NULL, ROL_ORDERED, 0, 70);
  scene_assert_standing (&router, "c", EDP_REJECTED);
  scene_assert_standing (&router, "d", EDP_REJECTED);
  scene_list (&router, gone);
  scene_assert_standing (&router, "d", EDP_REJECTED);
  scene_list (&router, scene_old_only);
  g_assert_cmpuint (g_hash_table_size (router.rol->rollouts), ==, 0);
  scene_free (&router);
}

/* An order that names the version in force moves nothing; one for another
   version follows it.  */
static void
test_version_in_force (void)
{
  scene_t router = scene_new (SHARE);

  scene_list (&router, scene_old_only);
  scene_set_order (&router, "v1", ROL_ORDERED, 25, 25);
  scene_assert_standing (&router, "a", EDP_CURRENT);
  scene_set_order (&router, NULL, ROL_ORDERED, 0, 26);
  scene_assert_standing (&router, "a", EDP_CURRENT);
  scene_set_order (&router, "v1", ROL_ORDERED, 27, 27);
  scene_set_order (&router, "v2", ROL_ORDERED, 28, 28);
  scene_list (&router, scene_both);
  scene_assert_standing (&router, "a", EDP_CURRENT);
  scene_assert_standing (&router, "c", EDP_CANARY);
  scene_free (&router);
}

/* All old endpoints are lost in the middle of a rollout: the canaries still
   get no more than their share.  */
static void
test_baseline_lost (void)
{
  scene_t router = scene_new (SHARE);

  scene_list (&router, scene_both);
  scene_set_order (&router, "v2", ROL_IN_PROGRESS, 25, 40);
  scene_list (&router, new_only);
  scene_assert_standing (&router, "c", EDP_CANARY);
  scene_free (&router);
}

/* Orders for two services at once are apart.  */
static void
test_two_services (void)
{
  static const scene_endpoint_t listed[] = { { "a", "v1", 10 },
                                             { "c", "v2", 30 },
                                             { "o1", "v1", 12 },
                                             { "o2", "v2", 31 },
                                             { 0 } };
  scene_t router = scene_new (SHARE);
  GPtrArray *orders = g_ptr_array_new ();

  scene_list (&router, listed);
  g_ptr_array_add (orders, scene_order_new ("app", "v2", ROL_IN_PROGRESS, 40));
  g_ptr_array_add (orders,
                   scene_order_new ("other", "v2", ROL_ROLLED_BACK, 41));
  rol_set_orders (router.rol, NOW, orders, 41);
  scene_assert_standing (&router, "c", EDP_CANARY);
  scene_assert_standing (&router, "o1", EDP_CURRENT);
  scene_assert_standing (&router, "o2", EDP_REJECTED);
  g_assert_nonnull (rol_find (router.rol, "app"));
  g_assert_null (rol_find (router.rol, "other"));
  scene_free (&router);
}

/* ---- share of canaries ---- */

/* Sends COUNT requests, to canaries where that is allowed.  Returns how many
   went to these.  */
static unsigned
send_requests (scene_t *router, const rte_route_t *route, unsigned count)
{
  rol_rollout_t *rollout = rol_find (router->rol, "app");
  unsigned canaries = 0;

  for (unsigned i = 0; i < count; i++)
    {
      bool is_canary
          = rol_allows_canary (router->rol, rollout, route, NOW, false);

      rol_count_send (router->rol, rollout, route, NOW, is_canary);
      canaries += is_canary;
    }
  return canaries;
}

/* The sum over all routers stays within the share, also while routers restart
   and while no canary has capacity.  */
static void
test_share (void)
{
  enum
  {
    ROUTERS = 22,
    RESTARTS = 10
  };
  g_autoptr (GRand) random = g_rand_new_with_seed (7);
  rte_route_t *route = scene_route_new ("r");
  unsigned sent = 0;
  unsigned canaries = 0;

  for (unsigned i = 0; i < ROUTERS * RESTARTS; i++)
    {
      scene_t router = scene_new (SHARE);
      unsigned count = (unsigned)g_rand_int_range (random, 1, 400);

      scene_start_rollout (&router);
      sent += count;
      canaries += send_requests (&router, route, count);
      g_assert_cmpfloat (canaries, <=, sent * SHARE);
      scene_free (&router);
    }
  g_assert_cmpuint (canaries, >, sent * SHARE / 4);
  rte_route_free (route);
}

/* While the canaries take no requests, their share doesn't add up to a
   burst.  */
static void
test_no_burst (void)
{
  scene_t router = scene_new (SHARE);
  rte_route_t *route = scene_route_new ("r");
  rol_rollout_t *rollout;

  scene_start_rollout (&router);
  rollout = rol_find (router.rol, "app");
  for (unsigned i = 0; i < 10000; i++)
    rol_count_send (router.rol, rollout, route, NOW, false);
  g_assert_cmpuint (send_requests (&router, route, 20), <=, 6);
  rte_route_free (route);
  scene_free (&router);
}

/* A route with few requests gets its part of the canaries beside one with
   many.  */
static void
test_share_by_route (void)
{
  scene_t router = scene_new (SHARE);
  rte_route_t *many = scene_route_new ("many");
  rte_route_t *few = scene_route_new ("few");
  unsigned canaries = 0;

  scene_start_rollout (&router);
  for (unsigned i = 0; i < 200; i++)
    {
      send_requests (&router, many, 49);
      canaries += send_requests (&router, few, 1);
    }
  g_assert_cmpuint (canaries, >=, 5);
  rte_route_free (many);
  rte_route_free (few);
  scene_free (&router);
}

/* ---- evidence ---- */

static bool
is_rejected (scene_t *router)
{
  return edp_set_find (router->endpoints, "c")->standing == EDP_REJECTED;
}

/* Each router sees too few answers for a verdict; together they are enough.
   Counts that arrive twice, or again after a restart of the sender, count
   once.  */
static void
test_evidence_of_peers (void)
{
  scene_t here = scene_new (SHARE);
  scene_t one = scene_new (SHARE);
  scene_t two = scene_new (SHARE);
  rte_route_t *route = scene_route_new ("r");

  scene_start_rollout (&here);
  scene_start_rollout (&one);
  scene_start_rollout (&two);
  scene_count_answers (&one, route, 200, false, false);
  scene_count_answers (&one, route, 3, true, true);
  for (unsigned i = 0; i < 20; i++)
    scene_exchange (&one, &here, 1, NOW);
  rol_tick (here.rol, NOW + 100);
  g_assert_false (is_rejected (&here));
  scene_count_answers (&two, route, 3, true, true);
  scene_exchange (&two, &here, 2, NOW);
  rol_tick (here.rol, NOW + 200);
  g_assert_true (is_rejected (&here));
  /* The verdict reaches a router without evidence of its own.  */
  rol_tick (two.rol, NOW + 200);
  g_assert_false (is_rejected (&two));
  scene_exchange (&here, &two, 3, NOW);
  g_assert_true (is_rejected (&two));
  rte_route_free (route);
  scene_free (&here);
  scene_free (&one);
  scene_free (&two);
}

/* A version that serves well for a long time and then fails is found as fast
   as one that fails from the start.  */
static void
test_bad_later (void)
{
  scene_t router = scene_new (SHARE);
  rte_route_t *route = scene_route_new ("r");
  cfd_time_t now = NOW;

  scene_start_rollout (&router);
  for (unsigned i = 0; i < 200; i++)
    {
      scene_count_answers (&router, route, 70, false, false);
      scene_count_answers (&router, route, 5, true, false);
      rol_tick (router.rol, now += 100);
    }
  g_assert_false (is_rejected (&router));
  for (unsigned i = 0; i < 2; i++)
    {
      scene_count_answers (&router, route, 5, true, true);
      rol_tick (router.rol, now += 100);
    }
  g_assert_true (is_rejected (&router));
  rte_route_free (route);
  scene_free (&router);
}

/* The same failures at both versions are not the target's.  */
static void
test_baseline_ill_too (void)
{
  scene_t router = scene_new (SHARE);
  rte_route_t *route = scene_route_new ("r");
  cfd_time_t now = NOW;

  scene_start_rollout (&router);
  for (unsigned i = 0; i < 100; i++)
    {
      scene_count_answers (&router, route, 40, false, false);
      scene_count_answers (&router, route, 20, false, true);
      scene_count_answers (&router, route, 4, true, false);
      scene_count_answers (&router, route, 2, true, true);
      rol_tick (router.rol, now += 100);
    }
  g_assert_false (is_rejected (&router));
  rte_route_free (route);
  scene_free (&router);
}

/* Slowness is relative to the baseline's times, and doesn't count while the
   endpoint warms up.  */
static void
test_slow (void)
{
  scene_t router = scene_new (SHARE);
  rte_route_t *route = scene_route_new ("r");
  rol_rollout_t *rollout;
  rol_outcome_t slow
      = { .is_canary = true, .first_ratio = 1.5, .event_ms = 40. };

  scene_start_rollout (&router);
  rollout = rol_find (router.rol, "app");
  scene_count_answers (&router, route, 300, false, false);
  slow.is_warming_up = true;
  for (unsigned i = 0; i < 30; i++)
    rol_count_answer (rollout, route, &slow);
  rol_tick (router.rol, NOW + 100);
  g_assert_false (is_rejected (&router));
  slow.is_warming_up = false;
  for (unsigned i = 0; i < 10; i++)
    rol_count_answer (rollout, route, &slow);
  rol_tick (router.rol, NOW + 200);
  g_assert_true (is_rejected (&router));
  rte_route_free (route);
  scene_free (&router);
}

/* ---- states to write ---- */

static void
note_write (void *user, const rol_order_t *order, rol_state_t wanted)
{
  *(rol_state_t *)user = wanted;
}

static rol_state_t
get_write (scene_t *router)
{
  rol_state_t wanted = ROL_ORDERED;

  rol_foreach_write (router->rol, note_write, &wanted);
  return wanted;
}

/* A final state is never changed, whatever the evidence; an order for a
   service without endpoints gets no status.  */
static void
test_writes (void)
{
  static const scene_endpoint_t none[] = { { "o1", "v1", 12 }, { 0 } };
  scene_t router = scene_new (SHARE);
  rte_route_t *route = scene_route_new ("r");

  scene_list (&router, none);
  scene_set_order (&router, "v2", ROL_ORDERED, 25, 40);
  g_assert_cmpint (get_write (&router), ==, ROL_ORDERED);
  scene_list (&router, scene_both);
  g_assert_cmpint (get_write (&router), ==, ROL_IN_PROGRESS);
  scene_set_order (&router, "v2", ROL_IN_PROGRESS, 41, 41);
  g_assert_cmpint (get_write (&router), ==, ROL_ORDERED);
  scene_count_answers (&router, route, 20, true, true);
  rol_tick (router.rol, NOW + 100);
  g_assert_cmpint (get_write (&router), ==, ROL_ROLLED_BACK);
  scene_set_order (&router, "v2", ROL_COMPLETED, 42, 42);
  g_assert_cmpint (get_write (&router), ==, ROL_ORDERED);
  rte_route_free (route);
  scene_free (&router);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rol/endpoints-ahead", test_endpoints_ahead);
  g_test_add_func ("/rol/release", test_release);
  g_test_add_func ("/rol/orders-unknown", test_orders_unknown);
  g_test_add_func ("/rol/not-followed", test_not_followed);
  g_test_add_func ("/rol/final", test_final);
  g_test_add_func ("/rol/rolled-back-only", test_rolled_back_only);
  g_test_add_func ("/rol/removed", test_removed);
  g_test_add_func ("/rol/next-order", test_next_order);
  g_test_add_func ("/rol/version-in-force", test_version_in_force);
  g_test_add_func ("/rol/baseline-lost", test_baseline_lost);
  g_test_add_func ("/rol/two-services", test_two_services);
  g_test_add_func ("/rol/share", test_share);
  g_test_add_func ("/rol/no-burst", test_no_burst);
  g_test_add_func ("/rol/share-by-route", test_share_by_route);
  g_test_add_func ("/rol/evidence-of-peers", test_evidence_of_peers);
  g_test_add_func ("/rol/bad-later", test_bad_later);
  g_test_add_func ("/rol/baseline-ill-too", test_baseline_ill_too);
  g_test_add_func ("/rol/slow", test_slow);
  g_test_add_func ("/rol/writes", test_writes);
  return g_test_run ();
}
