/* The relay of requests: what rollouts need to know.  A rollout is in progress
   for few minutes a day; without one, these functions do next to nothing.  */

#include "relay/rly-private.h"

rol_rollout_t *
rly_find_rollout (const rly_request_t *request)
{
  return rol_find (request->rly->rol, request->service->name);
}

bool
rly_allows_canary (const rly_round_t *round, const rly_request_t *request)
{
  return round->rollout != NULL && round->canary_count > 0
         && rol_allows_canary (round->rly->rol, round->rollout, request->route,
                               round->now, request->tries > 0);
}

void
rly_count_rollout_send (rly_request_t *request, cfd_time_t now)
{
  rol_rollout_t *rollout = rly_find_rollout (request);

  request->first_byte_at = 0;
  request->is_canary = request->edp->standing == EDP_CANARY;
  request->is_warming_up = edp_is_cold (request->edp, now);
  if (rollout != NULL && request->tries <= 1)
    rol_count_send (request->rly->rol, rollout, request->route, now,
                    request->is_canary);
}

/* Returns the time of each event after the first one, or of the whole answer
   without events; 0 while it is unknown.  */
static double
compute_event_ms (const rly_request_t *request, cfd_time_t now)
{
  unsigned events = request->answer.events.events;

  if (request->first_byte_at == 0)
    return 0.;
  if (!request->answer.is_stream)
    return (double)MAX (now - request->sent_at, 1);
  if (events < 2)
    return 0.;
  return (double)MAX (now - request->first_byte_at, 1) / (events - 1);
}

static double
compute_first_ratio (const rly_request_t *request)
{
  double first_ms;

  if (request->first_byte_at == 0)
    return 0.;
  first_ms = (double)MAX (request->first_byte_at - request->sent_at, 1);
  return first_ms / MAX (request->expected_ms, 1.);
}

void
rly_count_rollout_answer (rly_request_t *request, cfd_time_t now, bool failed)
{
  rol_rollout_t *rollout = rly_find_rollout (request);
  rol_outcome_t outcome;

  if (rollout == NULL)
    return;
  outcome = (rol_outcome_t){ .is_canary = request->is_canary,
                             .failed = failed,
                             .is_warming_up = request->is_warming_up,
                             .first_ratio = compute_first_ratio (request),
                             .event_ms = compute_event_ms (request, now) };
  rol_count_answer (rollout, request->route, &outcome);
}
