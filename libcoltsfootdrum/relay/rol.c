/* Rollouts: orders, states to write, and the share of canaries.  */

#include "relay/rol-private.h"

#include "base/log.h"
#include <string.h>

/* Part of the allowed exposure that canaries get during the trial.  The rest
   is for the move of the traffic before the deadline.  */
#define CANARY_SHARE_FACTOR 0.5
/* Part of the allowed exposure that a target gets before the deadline at the
   most.  The rest is for requests that count differently at the operator.  */
#define MAX_BUDGET_SHARE 0.95
/* Requests that may follow each other to canaries after these could take
   none.  */
#define MAX_CREDIT 4.0

const char *
rol_state_name (rol_state_t state)
{
  switch (state)
    {
    case ROL_ORDERED:
      return "ordered";
    case ROL_IN_PROGRESS:
      return "in-progress";
    case ROL_COMPLETED:
      return "completed";
    case ROL_ROLLED_BACK:
      return "rolled-back";
    }
  return "?";
}

void
rol_order_free (rol_order_t *order)
{
  if (order == NULL)
    return;
  g_free (order->service);
  g_free (order->target);
  g_free (order);
}

rol_t *
rol_new (const rol_settings_t *settings, edp_set_t *endpoints)
{
  rol_t *rol = g_new0 (rol_t, 1);

  rol->settings = *settings;
  rol->endpoints = endpoints;
  rol->routers = 1;
  rol->rollouts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         rol_rollout_free);
  return rol;
}

void
rol_free (rol_t *rol)
{
  if (rol == NULL)
    return;
  g_hash_table_unref (rol->rollouts);
  g_free (rol);
}

static bool
is_final (rol_state_t state)
{
  return state == ROL_COMPLETED || state == ROL_ROLLED_BACK;
}

bool
rol_is_open (const rol_rollout_t *rollout)
{
  return !is_final (rollout->order->state) && !rollout->is_bad
         && !rollout->is_withdrawn;
}

int64_t
rol_get_required_revision (const rol_t *rol)
{
  return rol->required_revision;
}

/* ---- orders ---- */

static void
log_order (const rol_rollout_t *rollout, const char *event)
{
  const rol_order_t *order = rollout->order;

  log_info ("rollout",
            "A rollout %s: service=%s target=%s state=%s "
            "duration_ms=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT
            " bad=%d sent=%" G_GUINT64_FORMAT " canary_sent=%" G_GUINT64_FORMAT
            ".",
            event, order->service, order->target,
            rol_state_name (order->state), order->duration_ms, order->revision,
            rollout->is_bad, rollout->sent, rollout->canary_sent);
}

/* Replaces the order of a known rollout, whose evidence stays.  */
static void
update_rollout (rol_rollout_t *rollout, rol_order_t *order)
{
  bool has_changed
      = rollout->order->state != order->state || rollout->is_withdrawn;

  rol_order_free (rollout->order);
  rollout->order = order;
  rollout->is_withdrawn = false;
  if (has_changed)
    log_order (rollout, "changed");
}

static void
copy_version (void *version, void *value, void *user)
{
  g_hash_table_add (user, g_strdup (version));
}

/* The endpoints of an earlier target that was not completed may still be
   listed: the new order doesn't make them good.  A target that was the only
   version was none on trial.  */
static void
inherit_rejected (rol_rollout_t *rollout, const rol_rollout_t *old)
{
  g_hash_table_foreach (old->rejected, copy_version, rollout->rejected);
  if (old->order->state != ROL_COMPLETED && old->had_baseline)
    g_hash_table_add (rollout->rejected, g_strdup (old->order->target));
  g_hash_table_remove (rollout->rejected, rollout->order->target);
}

static void
apply_order (rol_t *rol, cfd_time_t now, rol_order_t *order)
{
  rol_rollout_t *rollout = g_hash_table_lookup (rol->rollouts, order->service);
  bool is_same
      = rollout != NULL && g_str_equal (rollout->order->target, order->target);

  /* A new order for a target that was rolled back before.  */
  if (is_same && is_final (rollout->order->state) && !is_final (order->state))
    is_same = false;
  if (is_same)
    {
      /* The key of the table is the order's.  */
      g_hash_table_steal (rol->rollouts, order->service);
      update_rollout (rollout, order);
    }
  else
    {
      rol_rollout_t *old = rollout;

      rollout = rol_rollout_new (now, order);
      if (old != NULL)
        inherit_rejected (rollout, old);
      log_order (rollout, "was ordered");
    }
  g_hash_table_replace (rol->rollouts, rollout->order->service, rollout);
}

/* An order that is removed before its target was completed leaves a target
   that nobody has found good: its endpoints get nothing more.  */
static void
remove_unlisted (rol_t *rol, GHashTable *listed)
{
  GHashTableIter each;
  void *service;
  void *data;

  g_hash_table_iter_init (&each, rol->rollouts);
  while (g_hash_table_iter_next (&each, &service, &data))
    {
      rol_rollout_t *rollout = data;

      if (g_hash_table_contains (listed, service) || rollout->is_withdrawn)
        continue;
      log_order (rollout, "was removed");
      if (rollout->order->state == ROL_COMPLETED)
        g_hash_table_iter_remove (&each);
      else
        rollout->is_withdrawn = true;
    }
}

void
rol_set_orders (rol_t *rol, cfd_time_t now, GPtrArray *orders,
                int64_t revision)
{
  g_autoptr (GHashTable) listed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < orders->len; i++)
    {
      rol_order_t *order = g_ptr_array_index (orders, i);

      g_hash_table_add (listed, g_strdup (order->service));
      apply_order (rol, now, order);
    }
  g_ptr_array_set_free_func (orders, NULL);
  g_ptr_array_unref (orders);
  remove_unlisted (rol, listed);
  rol->revision = MAX (rol->revision, revision);
  rol->must_update = true;
  rol_update_endpoints (rol);
}

void
rol_note_revision (rol_t *rol, int64_t revision)
{
  if (revision <= rol->revision)
    return;
  rol->revision = revision;
  rol->must_update = true;
  if (rol->required_revision > 0)
    rol_update_endpoints (rol);
}

rol_rollout_t *
rol_find (const rol_t *rol, const char *service)
{
  rol_rollout_t *rollout;

  if (rol == NULL || g_hash_table_size (rol->rollouts) == 0)
    return NULL;
  rollout = g_hash_table_lookup (rol->rollouts, service);
  return rollout != NULL && rol_is_open (rollout) ? rollout : NULL;
}

void
rol_condemn (rol_t *rol, rol_rollout_t *rollout, const char *source)
{
  if (rollout->is_bad)
    return;
  rollout->is_bad = true;
  log_warn ("rollout",
            "The target version is bad, no more requests are sent to it: "
            "service=%s target=%s source=%s sent=%" G_GUINT64_FORMAT
            " canary_sent=%" G_GUINT64_FORMAT ".",
            rollout->order->service, rollout->order->target, source,
            rollout->sent, rollout->canary_sent);
  rol->must_update = true;
  rol_update_endpoints (rol);
}

void
rol_set_router_count (rol_t *rol, unsigned routers)
{
  rol->routers = MAX (routers, 1u);
}

void
rol_tick (rol_t *rol, cfd_time_t now)
{
  GHashTableIter each;
  void *rollout;

  g_hash_table_iter_init (&each, rol->rollouts);
  while (g_hash_table_iter_next (&each, NULL, &rollout))
    {
      if (!rol_is_open (rollout))
        continue;
      if (rol_weigh_evidence (rollout, now))
        rol_condemn (rol, rollout, "evidence");
      else
        rol_move (rol, rollout, now);
    }
}

/* Returns the state that the store should have for an order.  An order for a
   service that has no endpoints is left as it is.  */
static rol_state_t
get_wanted_state (const rol_rollout_t *rollout)
{
  if (is_final (rollout->order->state) || rollout->is_withdrawn
      || !rollout->has_endpoints)
    return rollout->order->state;
  if (rollout->is_bad)
    return ROL_ROLLED_BACK;
  return rollout->is_complete && rollout->order->state == ROL_IN_PROGRESS
             ? ROL_COMPLETED
             : ROL_IN_PROGRESS;
}

void
rol_foreach_write (const rol_t *rol,
                   void (*callback) (void *user, const rol_order_t *order,
                                     rol_state_t wanted),
                   void *user)
{
  GHashTableIter each;
  void *data;

  g_hash_table_iter_init (&each, rol->rollouts);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      const rol_rollout_t *rollout = data;
      rol_state_t wanted = get_wanted_state (rollout);

      if (wanted != rollout->order->state)
        callback (user, rollout->order, wanted);
    }
}

/* ---- share of canaries ---- */

static double
get_canary_share (const rol_t *rol)
{
  return rol->settings.exposure_share * CANARY_SHARE_FACTOR;
}

/* Returns whether the trial allows a request of ROUTE.  Each route may have
   its own part of the share and one request more, so that a busy route doesn't
   take those of the others.  */
static bool
trial_allows (const rol_t *rol, rol_rollout_t *rollout,
              const rte_route_t *route)
{
  const rol_route_t *counts = rol_get_route (rollout, route);

  return counts != NULL && rollout->credit >= 1.
         && (double)counts->canary_sent
                <= (double)counts->sent * get_canary_share (rol);
}

bool
rol_allows_canary (const rol_t *rol, rol_rollout_t *rollout,
                   const rte_route_t *route, cfd_time_t now, bool is_retry)
{
  if (!rol_is_within_budget (rol, rollout, now, MAX_BUDGET_SHARE, 1.))
    return false;
  if (rollout->target_share > 0. && g_random_double () < rollout->target_share)
    return true;
  /* A bad target must not cost a caller its last attempt.  */
  return !is_retry && trial_allows (rol, rollout, route);
}

void
rol_count_send (const rol_t *rol, rol_rollout_t *rollout,
                const rte_route_t *route, cfd_time_t now, bool is_canary)
{
  rol_route_t *counts = rol_get_route (rollout, route);

  rollout->sent++;
  rollout->canary_sent += is_canary;
  rollout->credit = CLAMP (rollout->credit + get_canary_share (rol)
                               - (is_canary ? 1. : 0.),
                           0., MAX_CREDIT);
  if (counts != NULL)
    {
      counts->sent++;
      counts->canary_sent += is_canary;
    }
  INVARIANT ("canary-share",
             !is_canary || rol_is_within_budget (rol, rollout, now, 1., 0.),
             rollout->order->service);
}
