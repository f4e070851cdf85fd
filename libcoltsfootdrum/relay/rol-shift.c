/* Rollouts: moving the traffic of a good target.

   On completion the old endpoints stop at once.  Before that all new requests
   must go to the target, and the old ones' must have ended.  A version that
   was good so far can still turn bad, and what it gets until the order's
   deadline is bounded.  The traffic therefore moves only when the rest of that
   bound covers all of it until the deadline, or after the deadline, step by
   step.  */

#include "relay/rol-private.h"

#include "base/log.h"

/* Evidence that a target needs.  */
#define MIN_TRIAL_MS 4000
/* Rates of bad answers above the baseline's that must be ruled out, over all
   routes and on each.  */
#define RULED_OUT_EXCESS 0.05
#define ROUTE_RULED_OUT_EXCESS 0.2
/* Log-likelihood ratios from which on they are.  */
#define GOOD_RATIO (-4.6)
#define ROUTE_GOOD_RATIO (-3.0)
/* Share of the service's answers from which on a route counts.  */
#define MIN_ROUTE_SHARE 0.02
/* Score below which there is no suspicion.  */
#define MAX_GOOD_SCORE 3.
/* Free slots of the target, as a multiple of the requests that the service
   runs.  */
#define MIN_CAPACITY_FACTOR 1.25
/* Part of the bound that a move before the deadline may plan with.  */
#define PLANNED_BUDGET_SHARE 0.85
/* Part of the fixed number of requests that all routers together may use.  */
#define SLACK_SHARE 0.5
/* Steps after the deadline.  */
#define STEP_MS 2000
static const double step_shares[] = { 0.25, 0.5, 1. };
/* Progress that a router reported longer ago doesn't count.  */
#define PROGRESS_VALID_MS 6000

static cfd_time_t
get_deadline (const rol_rollout_t *rollout)
{
  return rollout->ordered_at + rollout->order->duration_ms;
}

bool
rol_is_within_budget (const rol_t *rol, const rol_rollout_t *rollout,
                      cfd_time_t now, double share, double more)
{
  double slack
      = rol->settings.exposure_slack * SLACK_SHARE / MAX (rol->routers, 1u);

  /* By this router's own time: another may report the age of an earlier
     order.  */
  return now >= rollout->seen_at + rollout->order->duration_ms
         || (double)rollout->canary_sent + more
                <= share * rol->settings.exposure_share
                           * ((double)rollout->sent + more)
                       + slack;
}

/* Returns whether the rest of the bound covers all requests until the
   deadline, at the rate so far.  */
static bool
covers_rest (const rol_t *rol, const rol_rollout_t *rollout, cfd_time_t now)
{
  double age_ms = (double)MAX (now - rollout->seen_at, 1);
  double left_ms = (double)MAX (get_deadline (rollout) - now, 0);
  double more = (double)rollout->sent / age_ms * left_ms;

  return rol_is_within_budget (rol, rollout, now, PLANNED_BUDGET_SHARE, more);
}

/* ---- conditions ---- */

static bool
is_route_good (const rol_route_t *route, double all_answers)
{
  const vdt_counts_t *baseline = &route->total[ROL_BASELINE];
  const vdt_counts_t *target = &route->total[ROL_TARGET];

  if (baseline->answers + target->answers < all_answers * MIN_ROUTE_SHARE)
    return true;
  return vdt_compare_excess (&route->verdict, ROUTE_RULED_OUT_EXCESS)
             <= ROUTE_GOOD_RATIO
         && route->verdict.score < MAX_GOOD_SCORE;
}

static bool
is_evidence_good (const rol_rollout_t *rollout)
{
  const vdt_t *verdict = &rollout->verdict;
  double all = verdict->baseline.answers + verdict->target.answers;
  GHashTableIter each;
  void *route;

  if (vdt_compare_excess (verdict, RULED_OUT_EXCESS) > GOOD_RATIO
      || verdict->score >= MAX_GOOD_SCORE)
    return false;
  g_hash_table_iter_init (&each, rollout->routes);
  while (g_hash_table_iter_next (&each, NULL, &route))
    if (!is_route_good (route, all))
      return false;
  return true;
}

typedef struct
{
  double target_slots;      /* of warm and open endpoints */
  double running;           /* requests of all routers of the cell */
  unsigned baseline_active; /* requests of this router at the baseline */
} load_t;

/* Returns the requests of this router at the baseline, in all cells.  */
static unsigned
count_baseline_active (const rol_t *rol, const rol_rollout_t *rollout)
{
  const GPtrArray *all
      = edp_set_get_all (rol->endpoints, rollout->order->service);
  unsigned active = 0;

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const edp_t *edp = g_ptr_array_index (all, i);

      if (edp->standing == EDP_CURRENT)
        active += edp->active;
    }
  return active;
}

static load_t
collect_load (const rol_t *rol, const rol_rollout_t *rollout, cfd_time_t now)
{
  const GPtrArray *near
      = edp_set_get_near (rol->endpoints, rollout->order->service);
  load_t load = { .baseline_active = count_baseline_active (rol, rollout) };

  for (guint i = 0; near != NULL && i < near->len; i++)
    {
      const edp_t *edp = g_ptr_array_index (near, i);

      load.running += edp->active + edp->peer_active;
      if (edp->standing == EDP_CANARY && edp_is_open (edp, now)
          && !edp_is_cold (edp, now))
        load.target_slots += edp->report->slots;
    }
  return load;
}

const char *
rol_wait_name (rol_wait_t wait)
{
  switch (wait)
    {
    case ROL_WAIT_NONE:
      return "none";
    case ROL_WAIT_TRIAL:
      return "trial";
    case ROL_WAIT_EVIDENCE:
      return "evidence";
    case ROL_WAIT_CAPACITY:
      return "capacity";
    case ROL_WAIT_BUDGET:
      return "exposure";
    case ROL_WAIT_DRAIN:
      return "baseline-running";
    case ROL_WAIT_ROUTERS:
      return "other-routers";
    }
  return "?";
}

/* Returns what keeps the traffic from moving.  */
static rol_wait_t
find_obstacle (const rol_t *rol, const rol_rollout_t *rollout, cfd_time_t now,
               const load_t *load)
{
  if (now - rollout->ordered_at < MIN_TRIAL_MS)
    return ROL_WAIT_TRIAL;
  if (!is_evidence_good (rollout))
    return ROL_WAIT_EVIDENCE;
  if (load->target_slots < load->running * MIN_CAPACITY_FACTOR)
    return ROL_WAIT_CAPACITY;
  if (rollout->step == 0 && !covers_rest (rol, rollout, now))
    return ROL_WAIT_BUDGET;
  return ROL_WAIT_NONE;
}

/* ---- steps ---- */

static void
set_share (rol_rollout_t *rollout, cfd_time_t now, double share)
{
  if (rollout->target_share == share)
    return;
  log_info ("rollout",
            "The target's share changes: service=%s target=%s share=%.2f "
            "before=%.2f age_ms=%" G_GINT64_FORMAT
            " duration_ms=%" G_GINT64_FORMAT " sent=%" G_GUINT64_FORMAT
            " canary_sent=%" G_GUINT64_FORMAT ".",
            rollout->order->service, rollout->order->target, share,
            rollout->target_share, now - rollout->ordered_at,
            rollout->order->duration_ms, rollout->sent, rollout->canary_sent);
  rollout->target_share = share;
  rollout->step_at = now;
}

/* Goes back to the trial, which counts each route's share anew.  */
static void
return_to_trial (rol_rollout_t *rollout, cfd_time_t now)
{
  GHashTableIter each;
  void *data;

  rollout->step = 0;
  set_share (rollout, now, 0.);
  g_hash_table_iter_init (&each, rollout->routes);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      rol_route_t *route = data;

      route->sent = 0;
      route->canary_sent = 0;
    }
}

static void
set_wait (rol_rollout_t *rollout, rol_wait_t wait)
{
  if (rollout->wait == wait)
    return;
  log_info ("rollout",
            "A rollout waits: service=%s target=%s for=%s answers=%.0f "
            "bad=%.0f score=%.1f.",
            rollout->order->service, rollout->order->target,
            rol_wait_name (wait), rollout->verdict.target.answers,
            rollout->verdict.target.bad, rollout->verdict.score);
  rollout->wait = wait;
}

/* Takes the next step after the deadline, or the whole move before it.  */
static void
advance (rol_rollout_t *rollout, cfd_time_t now)
{
  if (now < get_deadline (rollout))
    {
      set_share (rollout, now, 1.);
      return;
    }
  if (rollout->step > 0 && now - rollout->step_at < STEP_MS)
    return;
  if (rollout->step < G_N_ELEMENTS (step_shares))
    set_share (rollout, now,
               MAX (step_shares[rollout->step], rollout->target_share));
  rollout->step = MIN (rollout->step + 1, G_N_ELEMENTS (step_shares));
}

static bool
is_drained (const rol_rollout_t *rollout, const load_t *load)
{
  return rollout->target_share >= 1. && load->baseline_active == 0;
}

/* Returns whether all other routers that live have moved their requests.  */
static bool
are_others_drained (const rol_t *rol, const rol_rollout_t *rollout,
                    cfd_time_t now)
{
  unsigned drained = 0;
  GHashTableIter each;
  void *data;

  g_hash_table_iter_init (&each, rollout->progress);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      const rol_progress_t *progress = data;

      drained += progress->is_drained
                 && now - progress->received_at <= PROGRESS_VALID_MS;
    }
  return drained + 1 >= rol->routers;
}

void
rol_move (const rol_t *rol, rol_rollout_t *rollout, cfd_time_t now)
{
  load_t load = collect_load (rol, rollout, now);
  rol_wait_t wait = find_obstacle (rol, rollout, now, &load);

  if (wait == ROL_WAIT_NONE)
    advance (rollout, now);
  else if (wait != ROL_WAIT_BUDGET && rollout->target_share > 0.)
    return_to_trial (rollout, now);
  rollout->is_drained = is_drained (rollout, &load);
  rollout->is_complete
      = rollout->is_drained && are_others_drained (rol, rollout, now);
  if (wait == ROL_WAIT_NONE && !rollout->is_drained)
    wait = ROL_WAIT_DRAIN;
  else if (wait == ROL_WAIT_NONE && !rollout->is_complete)
    wait = ROL_WAIT_ROUTERS;
  set_wait (rollout, wait);
}
