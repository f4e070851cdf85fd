/* Tests of rollouts: which endpoints get requests, the share of canaries, and
   the verdict from the evidence of several routers.  */

#include "relay/rol-private.h"

#include <string.h>

#define NOW 1000000
#define SHARE 0.1

/* ---- fixture ---- */

/* An endpoint of service "app", or of "other" where its id begins with o.  */
typedef struct
{
  const char *id; /* NULL ends the list */
  const char *version;
  int64_t revision;
} listed_t;

typedef struct
{
  struct ev_loop *loop;
  edp_set_t *endpoints;
  rol_t *rol;
} router_t;

static router_t
router_new (double exposure_share)
{
  router_t router = { .loop = ev_loop_new (EVFLAG_AUTO) };
  rol_settings_t settings = { .exposure_share = exposure_share };

  router.endpoints = edp_set_new (router.loop);
  router.rol = rol_new (&settings, router.endpoints);
  return router;
}

static void
router_free (router_t *router)
{
  rol_free (router->rol);
  edp_set_free (router->endpoints);
  ev_loop_destroy (router->loop);
}

static void
list_endpoints (router_t *router, const listed_t *listed)
{
  GPtrArray *reports = g_ptr_array_new ();

  for (unsigned i = 0; listed[i].id != NULL; i++)
    {
      edp_report_t *report = g_new0 (edp_report_t, 1);

      report->id = g_strdup (listed[i].id);
      report->service = g_strdup (*listed[i].id == 'o' ? "other" : "app");
      report->address = g_strdup ("127.0.0.1:9");
      report->zone = g_strdup ("z");
      report->version = g_strdup (listed[i].version);
      report->revision = listed[i].revision;
      g_ptr_array_add (reports, report);
    }
  edp_set_update (router->endpoints, NOW, reports, true, 0);
  rol_update_endpoints (router->rol);
}

static rol_order_t *
order_new (const char *service, const char *target, rol_state_t state,
           int64_t revision)
{
  rol_order_t *order = g_new0 (rol_order_t, 1);

  order->service = g_strdup (service);
  order->target = g_strdup (target);
  order->duration_ms = 12000;
  order->state = state;
  order->revision = revision;
  return order;
}

/* Applies one order for "app", or none when TARGET is NULL.  */
static void
set_order (router_t *router, const char *target, rol_state_t state,
           int64_t revision, int64_t as_of)
{
  GPtrArray *orders = g_ptr_array_new ();

  if (target != NULL)
    g_ptr_array_add (orders, order_new ("app", target, state, revision));
  rol_set_orders (router->rol, NOW, orders, as_of);
}

static void
assert_standing (router_t *router, const char *id, edp_standing_t standing)
{
  const edp_t *edp = edp_set_find (router->endpoints, id);

  g_assert_nonnull (edp);
  g_assert_cmpstr (edp_standing_name (edp->standing), ==,
                   edp_standing_name (standing));
}

/* ---- standing of endpoints ---- */

static const listed_t old_only[]
    = { { "a", "v1", 10 }, { "b", "v1", 11 }, { 0 } };
static const listed_t both[]
    = { { "a", "v1", 10 }, { "b", "v1", 11 }, { "c", "v2", 30 }, { 0 } };
static const listed_t new_only[] = { { "c", "v2", 30 }, { 0 } };

/* Guards against a bad version's full share of the traffic between the reading
   of the list of endpoints and that of the list of orders.  */
static void
test_endpoints_ahead (void)
{
  router_t router = router_new (SHARE);

  list_endpoints (&router, old_only);
  set_order (&router, NULL, ROL_ORDERED, 0, 20);
  list_endpoints (&router, both);
  assert_standing (&router, "a", EDP_CURRENT);
  assert_standing (&router, "c", EDP_UNVERIFIED);
  g_assert_false (edp_is_open (edp_set_find (router.endpoints, "c"), NOW));
  g_assert_cmpint (rol_get_required_revision (router.rol), ==, 30);
  set_order (&router, "v2", ROL_ORDERED, 25, 29);
  assert_standing (&router, "c", EDP_CANARY);
  g_assert_cmpint (rol_get_required_revision (router.rol), ==, 0);
  router_free (&router);
}

/* A version that replaces the old one without an order gets its traffic as
   soon as the orders are known as of its first endpoint; later endpoints of
   the version need no further reading.  */
static void
test_release (void)
{
  static const listed_t further[]
      = { { "b", "v1", 11 }, { "c", "v2", 30 }, { "d", "v2", 50 }, { 0 } };
  router_t router = router_new (SHARE);

  set_order (&router, NULL, ROL_ORDERED, 0, 20);
  list_endpoints (&router, both);
  assert_standing (&router, "c", EDP_UNVERIFIED);
  rol_note_revision (router.rol, 31);
  assert_standing (&router, "c", EDP_CURRENT);
  list_endpoints (&router, further);
  assert_standing (&router, "d", EDP_CURRENT);
  g_assert_cmpint (rol_get_required_revision (router.rol), ==, 0);
  router_free (&router);
}

/* A router that has not read the orders serves with the version that was
   listed first, and with all endpoints of a service that has one version.  */
static void
test_orders_unknown (void)
{
  static const listed_t one_late[]
      = { { "a", "v1", 10 }, { "b", "v1", 99 }, { 0 } };
  router_t router = router_new (SHARE);

  list_endpoints (&router, one_late);
  assert_standing (&router, "a", EDP_CURRENT);
  assert_standing (&router, "b", EDP_CURRENT);
  list_endpoints (&router, both);
  assert_standing (&router, "a", EDP_CURRENT);
  assert_standing (&router, "c", EDP_UNVERIFIED);
  router_free (&router);
}

/* Where the operator sets no share, all endpoints are used.  */
static void
test_not_followed (void)
{
  router_t router = router_new (0.);

  list_endpoints (&router, both);
  assert_standing (&router, "c", EDP_CURRENT);
  g_assert_cmpint (rol_get_required_revision (router.rol), ==, 0);
  router_free (&router);
}

/* The end of a rollout, as the store tells it.  */
static void
test_final (void)
{
  static const listed_t later[]
      = { { "a", "v1", 10 }, { "c", "v2", 30 }, { "d", "v3", 60 }, { 0 } };
  router_t router = router_new (SHARE);

  list_endpoints (&router, both);
  set_order (&router, "v2", ROL_IN_PROGRESS, 25, 40);
  assert_standing (&router, "c", EDP_CANARY);
  set_order (&router, "v2", ROL_ROLLED_BACK, 41, 41);
  assert_standing (&router, "a", EDP_CURRENT);
  assert_standing (&router, "c", EDP_REJECTED);
  set_order (&router, "v2", ROL_COMPLETED, 42, 42);
  assert_standing (&router, "a", EDP_REPLACED);
  assert_standing (&router, "c", EDP_CURRENT);
  /* A release after the rollout.  */
  list_endpoints (&router, later);
  rol_note_revision (router.rol, 61);
  assert_standing (&router, "d", EDP_CURRENT);
  assert_standing (&router, "a", EDP_REPLACED);
  router_free (&router);
}

/* Endpoints of a version that was rolled back get nothing while there are
   others, and none that were listed before the end.  */
static void
test_rolled_back_only (void)
{
  static const listed_t listed_again[] = { { "e", "v2", 60 }, { 0 } };
  router_t router = router_new (SHARE);

  list_endpoints (&router, both);
  set_order (&router, "v2", ROL_ROLLED_BACK, 41, 41);
  list_endpoints (&router, new_only);
  assert_standing (&router, "c", EDP_REJECTED);
  list_endpoints (&router, listed_again);
  assert_standing (&router, "e", EDP_CURRENT);
  router_free (&router);
}

/* An order that is removed before its end leaves a version that nobody found
   good.  */
static void
test_removed (void)
{
  router_t router = router_new (SHARE);

  list_endpoints (&router, both);
  set_order (&router, "v2", ROL_IN_PROGRESS, 25, 40);
  set_order (&router, NULL, ROL_ORDERED, 0, 50);
  assert_standing (&router, "c", EDP_REJECTED);
  assert_standing (&router, "a", EDP_CURRENT);
  g_assert_null (rol_find (router.rol, "app"));
  /* The same order once more.  */
  set_order (&router, "v2", ROL_ORDERED, 55, 55);
  assert_standing (&router, "c", EDP_CANARY);
  router_free (&router);
}

/* An order that names the version in force moves nothing; one for another
   version follows it.  */
static void
test_version_in_force (void)
{
  router_t router = router_new (SHARE);

  list_endpoints (&router, old_only);
  set_order (&router, "v1", ROL_ORDERED, 25, 25);
  assert_standing (&router, "a", EDP_CURRENT);
  set_order (&router, "v2", ROL_ORDERED, 28, 28);
  list_endpoints (&router, both);
  assert_standing (&router, "a", EDP_CURRENT);
  assert_standing (&router, "c", EDP_CANARY);
  router_free (&router);
}

/* All old endpoints are lost in the middle of a rollout: the canaries still
   get no more than their share.  */
static void
test_baseline_lost (void)
{
  router_t router = router_new (SHARE);

  list_endpoints (&router, both);
  set_order (&router, "v2", ROL_IN_PROGRESS, 25, 40);
  list_endpoints (&router, new_only);
  assert_standing (&router, "c", EDP_CANARY);
  router_free (&router);
}

/* Orders for two services at once are apart.  */
static void
test_two_services (void)
{
  static const listed_t listed[] = { { "a", "v1", 10 },
                                     { "c", "v2", 30 },
                                     { "o1", "v1", 12 },
                                     { "o2", "v2", 31 },
                                     { 0 } };
  router_t router = router_new (SHARE);
  GPtrArray *orders = g_ptr_array_new ();

  list_endpoints (&router, listed);
  g_ptr_array_add (orders, order_new ("app", "v2", ROL_IN_PROGRESS, 40));
  g_ptr_array_add (orders, order_new ("other", "v2", ROL_ROLLED_BACK, 41));
  rol_set_orders (router.rol, NOW, orders, 41);
  assert_standing (&router, "c", EDP_CANARY);
  assert_standing (&router, "o1", EDP_CURRENT);
  assert_standing (&router, "o2", EDP_REJECTED);
  g_assert_nonnull (rol_find (router.rol, "app"));
  g_assert_null (rol_find (router.rol, "other"));
  router_free (&router);
}

/* ---- share of canaries ---- */

static rte_route_t *
make_route (const char *name)
{
  rte_route_t *route = rte_route_new ();

  route->name = g_strdup (name);
  return route;
}

static void
start_rollout (router_t *router)
{
  list_endpoints (router, both);
  set_order (router, "v2", ROL_IN_PROGRESS, 25, 40);
}

/* Sends COUNT requests, to canaries where that is allowed.  Returns how many
   went to these.  */
static unsigned
send_requests (router_t *router, const rte_route_t *route, unsigned count)
{
  rol_rollout_t *rollout = rol_find (router->rol, "app");
  unsigned canaries = 0;

  for (unsigned i = 0; i < count; i++)
    {
      bool is_canary = rol_allows_canary (router->rol, rollout, route);

      rol_count_send (router->rol, rollout, route, is_canary);
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
  rte_route_t *route = make_route ("r");
  unsigned sent = 0;
  unsigned canaries = 0;

  for (unsigned i = 0; i < ROUTERS * RESTARTS; i++)
    {
      router_t router = router_new (SHARE);
      unsigned count = (unsigned)g_rand_int_range (random, 1, 400);

      start_rollout (&router);
      sent += count;
      canaries += send_requests (&router, route, count);
      g_assert_cmpfloat (canaries, <=, sent * SHARE);
      router_free (&router);
    }
  g_assert_cmpuint (canaries, >, sent * SHARE / 4);
  rte_route_free (route);
}

/* While the canaries take no requests, their share doesn't add up to a
   burst.  */
static void
test_no_burst (void)
{
  router_t router = router_new (SHARE);
  rte_route_t *route = make_route ("r");
  rol_rollout_t *rollout;

  start_rollout (&router);
  rollout = rol_find (router.rol, "app");
  for (unsigned i = 0; i < 10000; i++)
    rol_count_send (router.rol, rollout, route, false);
  g_assert_cmpuint (send_requests (&router, route, 20), <=, 6);
  rte_route_free (route);
  router_free (&router);
}

/* A route with few requests gets its part of the canaries beside one with
   many.  */
static void
test_share_by_route (void)
{
  router_t router = router_new (SHARE);
  rte_route_t *many = make_route ("many");
  rte_route_t *few = make_route ("few");
  unsigned canaries = 0;

  start_rollout (&router);
  for (unsigned i = 0; i < 200; i++)
    {
      send_requests (&router, many, 49);
      canaries += send_requests (&router, few, 1);
    }
  g_assert_cmpuint (canaries, >=, 5);
  rte_route_free (many);
  rte_route_free (few);
  router_free (&router);
}

/* ---- evidence ---- */

static void
count_answers (router_t *router, const rte_route_t *route, unsigned count,
               bool is_canary, bool failed)
{
  rol_rollout_t *rollout = rol_find (router->rol, "app");
  rol_outcome_t outcome = { .is_canary = is_canary,
                            .failed = failed,
                            .first_ratio = 1.,
                            .event_ms = 10. };

  for (unsigned i = 0; i < count && rollout != NULL; i++)
    rol_count_answer (rollout, route, &outcome);
}

typedef struct
{
  router_t *to;
  uint64_t incarnation;
} delivery_t;

static void
deliver (void *user, const rol_evidence_t *evidence)
{
  const delivery_t *delivery = user;

  rol_receive (delivery->to->rol, delivery->incarnation, evidence);
}

static void
exchange (router_t *from, router_t *to, uint64_t incarnation)
{
  delivery_t delivery = { to, incarnation };

  rol_foreach_own (from->rol, deliver, &delivery);
}

static bool
is_rejected (router_t *router)
{
  return edp_set_find (router->endpoints, "c")->standing == EDP_REJECTED;
}

/* Each router sees too few answers for a verdict; together they are enough.
   Counts that arrive twice, or again after a restart of the sender, count
   once.  */
static void
test_evidence_of_peers (void)
{
  router_t here = router_new (SHARE);
  router_t one = router_new (SHARE);
  router_t two = router_new (SHARE);
  rte_route_t *route = make_route ("r");

  start_rollout (&here);
  start_rollout (&one);
  start_rollout (&two);
  count_answers (&one, route, 200, false, false);
  count_answers (&one, route, 3, true, true);
  for (unsigned i = 0; i < 20; i++)
    exchange (&one, &here, 1);
  rol_tick (here.rol, NOW + 100);
  g_assert_false (is_rejected (&here));
  count_answers (&two, route, 3, true, true);
  exchange (&two, &here, 2);
  rol_tick (here.rol, NOW + 200);
  g_assert_true (is_rejected (&here));
  /* The verdict reaches a router without evidence of its own.  */
  rol_tick (two.rol, NOW + 200);
  g_assert_false (is_rejected (&two));
  exchange (&here, &two, 3);
  g_assert_true (is_rejected (&two));
  rte_route_free (route);
  router_free (&here);
  router_free (&one);
  router_free (&two);
}

/* A version that serves well for a long time and then fails is found as fast
   as one that fails from the start.  */
static void
test_bad_later (void)
{
  router_t router = router_new (SHARE);
  rte_route_t *route = make_route ("r");
  cfd_time_t now = NOW;

  start_rollout (&router);
  for (unsigned i = 0; i < 200; i++)
    {
      count_answers (&router, route, 70, false, false);
      count_answers (&router, route, 5, true, false);
      rol_tick (router.rol, now += 100);
    }
  g_assert_false (is_rejected (&router));
  for (unsigned i = 0; i < 2; i++)
    {
      count_answers (&router, route, 5, true, true);
      rol_tick (router.rol, now += 100);
    }
  g_assert_true (is_rejected (&router));
  rte_route_free (route);
  router_free (&router);
}

/* The same failures at both versions are not the target's.  */
static void
test_baseline_ill_too (void)
{
  router_t router = router_new (SHARE);
  rte_route_t *route = make_route ("r");
  cfd_time_t now = NOW;

  start_rollout (&router);
  for (unsigned i = 0; i < 100; i++)
    {
      count_answers (&router, route, 40, false, false);
      count_answers (&router, route, 20, false, true);
      count_answers (&router, route, 4, true, false);
      count_answers (&router, route, 2, true, true);
      rol_tick (router.rol, now += 100);
    }
  g_assert_false (is_rejected (&router));
  rte_route_free (route);
  router_free (&router);
}

/* Slowness is relative to the baseline's times, and doesn't count while the
   endpoint warms up.  */
static void
test_slow (void)
{
  router_t router = router_new (SHARE);
  rte_route_t *route = make_route ("r");
  rol_rollout_t *rollout;
  rol_outcome_t slow
      = { .is_canary = true, .first_ratio = 1.5, .event_ms = 40. };

  start_rollout (&router);
  rollout = rol_find (router.rol, "app");
  count_answers (&router, route, 300, false, false);
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
  router_free (&router);
}

/* ---- states to write ---- */

static void
note_write (void *user, const rol_order_t *order, rol_state_t wanted)
{
  *(rol_state_t *)user = wanted;
}

static rol_state_t
get_write (router_t *router)
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
  static const listed_t none[] = { { "o1", "v1", 12 }, { 0 } };
  router_t router = router_new (SHARE);
  rte_route_t *route = make_route ("r");

  list_endpoints (&router, none);
  set_order (&router, "v2", ROL_ORDERED, 25, 40);
  g_assert_cmpint (get_write (&router), ==, ROL_ORDERED);
  list_endpoints (&router, both);
  g_assert_cmpint (get_write (&router), ==, ROL_IN_PROGRESS);
  set_order (&router, "v2", ROL_IN_PROGRESS, 41, 41);
  g_assert_cmpint (get_write (&router), ==, ROL_ORDERED);
  count_answers (&router, route, 20, true, true);
  rol_tick (router.rol, NOW + 100);
  g_assert_cmpint (get_write (&router), ==, ROL_ROLLED_BACK);
  set_order (&router, "v2", ROL_COMPLETED, 42, 42);
  g_assert_cmpint (get_write (&router), ==, ROL_ORDERED);
  rte_route_free (route);
  router_free (&router);
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
