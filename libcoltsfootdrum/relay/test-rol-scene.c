/* Test fixture of rollouts.  */

#include "test-rol-scene.h"

const scene_endpoint_t scene_old_only[]
    = { { "a", "v1", 10 }, { "b", "v1", 11 }, { 0 } };
const scene_endpoint_t scene_both[]
    = { { "a", "v1", 10 }, { "b", "v1", 11 }, { "c", "v2", 30 }, { 0 } };

scene_t
scene_new (double exposure_share)
{
  scene_t router = { .loop = ev_loop_new (EVFLAG_AUTO) };
  rol_settings_t settings = { .exposure_share = exposure_share };

  router.endpoints = edp_set_new (router.loop);
  router.rol = rol_new (&settings, router.endpoints);
  return router;
}

void
scene_free (scene_t *router)
{
  rol_free (router->rol);
  edp_set_free (router->endpoints);
  ev_loop_destroy (router->loop);
}

void
scene_list (scene_t *router, const scene_endpoint_t *listed)
{
  GPtrArray *reports = g_ptr_array_new ();

  for (unsigned i = 0; listed[i].id != NULL; i++)
    {
      edp_report_t *report = g_new0 (edp_report_t, 1);

      report->id = g_strdup (listed[i].id);
      report->service = g_strdup (*listed[i].id == 'o' ? "other" : "app");
      report->address = g_strdup ("127.0.0.1:9");
      report->zone = g_strdup ("z");
      report->slots = SCENE_SLOTS;
      report->version = g_strdup (listed[i].version);
      report->revision = listed[i].revision;
      g_ptr_array_add (reports, report);
    }
  edp_set_update (router->endpoints, NOW, reports, true, 0);
  rol_update_endpoints (router->rol);
}

rol_order_t *
scene_order_new (const char *service, const char *target, rol_state_t state,
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

void
scene_set_order (scene_t *router, const char *target, rol_state_t state,
                 int64_t revision, int64_t as_of)
{
  GPtrArray *orders = g_ptr_array_new ();

  if (target != NULL)
    g_ptr_array_add (orders, scene_order_new ("app", target, state, revision));
  rol_set_orders (router->rol, NOW, orders, as_of);
}

void
scene_assert_standing (scene_t *router, const char *id,
                       edp_standing_t standing)
{
  const edp_t *edp = edp_set_find (router->endpoints, id);

  g_assert_nonnull (edp);
  g_assert_cmpstr (edp_standing_name (edp->standing), ==,
                   edp_standing_name (standing));
}

rte_route_t *
scene_route_new (const char *name)
{
  rte_route_t *route = rte_route_new ();

  route->name = g_strdup (name);
  return route;
}

void
scene_start_rollout (scene_t *router)
{
  scene_list (router, scene_both);
  scene_set_order (router, "v2", ROL_IN_PROGRESS, 25, 40);
}

void
scene_count_answers (scene_t *router, const rte_route_t *route, unsigned count,
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
  scene_t *to;
  uint64_t incarnation;
  cfd_time_t now;
} delivery_t;

static void
deliver (void *user, const rol_evidence_t *evidence)
{
  const delivery_t *delivery = user;

  rol_receive (delivery->to->rol, delivery->now, delivery->incarnation,
               evidence);
}

void
scene_exchange (scene_t *from, scene_t *to, uint64_t incarnation,
                cfd_time_t now)
{
  delivery_t delivery = { to, incarnation, now };

  rol_foreach_own (from->rol, now, deliver, &delivery);
}
