/* The relay of requests: prompts with a part under which endpoints end
   (relay/prt.h).  They are refused at once.  */

#include "relay/rly-private.h"

#include "base/log.h"
#include <inttypes.h>
#include <string.h>

void
rly_set_parts (rly_t *rly, prt_t *prt)
{
  rly->prt = prt;
}

prt_state_t
rly_find_part (const rly_request_t *request, cfd_time_t now, guint *part)
{
  const prt_t *prt = request->rly->prt;
  prt_state_t worst = { .verdict = PRT_FREE };

  if (prt == NULL || request->parts == NULL || request->is_trial
      || !prt_has_active (prt))
    return worst;
  for (guint i = 0; i < request->parts->len; i++)
    {
      prt_state_t state
          = prt_find (prt, now, g_array_index (request->parts, uint64_t, i));

      if (state.verdict == PRT_FREE
          || (worst.verdict != PRT_FREE && state.left_ms <= worst.left_ms))
        continue;
      worst = state;
      if (part != NULL)
        *part = i;
    }
  return worst;
}

bool
rly_is_part_quarantined (const rly_request_t *request, cfd_time_t now)
{
  return rly_find_part (request, now, NULL).verdict == PRT_QUARANTINED;
}

void
rly_refuse_part (rly_request_t *request, cfd_time_t now)
{
  guint part = 0;
  prt_state_t state = rly_find_part (request, now, &part);

  log_info ("relay",
            "A part of the prompt is in quarantine: request=%s account=%s "
            "part=%010" PRIx64 " index=%u ends=%u age_ms=%" G_GINT64_FORMAT
            " left_ms=%" G_GINT64_FORMAT ".",
            request->id, rly_get_account_name (request),
            g_array_index (request->parts, uint64_t, part), part, state.ends,
            now - state.last_at, state.left_ms);
  request->rly->counts.part_refused++;
  /* Its retry gets no precedence.  */
  request->retry_key = 0;
  rly_refuse (request, now, "part-quarantined", state.left_ms);
}

/* Refuses one waiting request.  Returns false when there is none to refuse. */
static bool
refuse_one (rly_service_t *service, cfd_time_t now)
{
  list_for_each (node, &service->queues)
    {
      rly_queue_t *queue = list_entry (node, rly_queue_t, node);

      list_for_each (inner_node, &queue->requests)
        {
          rly_request_t *request
              = list_entry (inner_node, rly_request_t, node);

          if (!rly_is_part_quarantined (request, now))
            continue;
          rly_refuse_part (request, now);
          return true;
        }
    }
  return false;
}

/* Breaks off the requests that run, before an endpoint begins to answer them.
 */
static void
break_off (rly_service_t *service, rly_t *rly, cfd_time_t now)
{
  list_for_each_safe (node, &rly->running)
    {
      rly_request_t *request = list_entry (node, rly_request_t, node);

      if (request->service != service || request->went_on
          || !rly_is_part_quarantined (request, now))
        continue;
      rly->counts.part_refused++;
      rly_fail (request, 502, "part-quarantined");
    }
}

void
rly_apply_parts (rly_service_t *service, rly_t *rly, cfd_time_t now)
{
  if (rly->prt == NULL || !prt_has_active (rly->prt))
    return;
  /* Also those that came when a trial was due, which another one is now.  */
  while (refuse_one (service, now))
    ;
  if (service->part_epoch == prt_get_epoch (rly->prt))
    return;
  service->part_epoch = prt_get_epoch (rly->prt);
  break_off (service, rly, now);
}

void
rly_note_trial (rly_request_t *request, cfd_time_t now)
{
  rly_t *rly = request->rly;
  guint part = 0;
  prt_event_t trial = { .kind = PRT_TRIAL, .at = now };

  if (rly_find_part (request, now, &part).verdict != PRT_ON_TRIAL)
    return;
  request->is_trial = true;
  trial.part = g_array_index (request->parts, uint64_t, part);
  prt_add (rly->prt, now, &trial);
  log_info ("relay",
            "A part of prompts is tried again: request=%s part=%010" PRIx64
            " endpoint=%s.",
            request->id, trial.part, request->edp->report->id);
}

/* Logs that one more end would quarantine a part.  */
static void
log_suspicion (const rly_t *rly, cfd_time_t now, const prt_event_t *end)
{
  prt_state_t state = prt_find (rly->prt, now, end->part);

  if (state.ends + 1 == PRT_MAX_ENDS && state.endpoints[0] == end->endpoint)
    log_info ("relay",
              "A part of prompts is suspected: part=%010" PRIx64
              " ends=%u endpoints=%08" PRIx64 ",%08" PRIx64 " key=%010" PRIx64
              ".",
              end->part, state.ends, state.endpoints[1], state.endpoints[0],
              end->request);
}

void
rly_add_part_ends (rly_t *rly, cfd_time_t now, const GArray *parts,
                   const qua_event_t *end)
{
  prt_event_t event = { .kind = PRT_END,
                        .endpoint = end->endpoint,
                        .request = end->request,
                        .at = end->at };

  if (rly->prt == NULL || parts == NULL)
    return;
  for (guint i = 0; i < MIN (parts->len, PRT_MAX_PARTS); i++)
    {
      event.part = g_array_index (parts, uint64_t, i);
      prt_add (rly->prt, now, &event);
      log_suspicion (rly, now, &event);
    }
}

static void
log_clearing (const rly_request_t *request, cfd_time_t now, uint64_t part)
{
  prt_state_t state = prt_find (request->rly->prt, now, part);

  if (state.verdict != PRT_FREE)
    log_info ("relay",
              "A part of prompts is cleared: part=%010" PRIx64
              " ends=%u request=%s endpoint=%s.",
              part, state.ends, request->id, request->edp->report->id);
}

void
rly_note_answer_went_on (rly_request_t *request, cfd_time_t now)
{
  prt_t *prt = request->rly->prt;
  prt_event_t answer = { .kind = PRT_ANSWER, .at = now };

  if (request->went_on)
    return;
  request->went_on = true;
  if (prt == NULL || request->parts == NULL)
    return;
  for (guint i = 0; i < MIN (request->parts->len, PRT_MAX_PARTS); i++)
    {
      answer.part = g_array_index (request->parts, uint64_t, i);
      log_clearing (request, now, answer.part);
      prt_add (prt, now, &answer);
    }
  /* What was cleared goes out with the changes of load.  */
  if (prt_count (prt) > 0)
    edp_set_note_changed (request->rly->endpoints, request->edp);
}

static void
log_quarantined (void *user, uint64_t part, const prt_state_t *state)
{
  log_warn ("relay",
            "A part of prompts is quarantined: part=%010" PRIx64
            " ends=%u endpoints=%08" PRIx64 ",%08" PRIx64 ",%08" PRIx64
            " left_ms=%" G_GINT64_FORMAT ".",
            part, state->ends, state->endpoints[2], state->endpoints[1],
            state->endpoints[0], state->left_ms);
}

void
rly_decide_parts (rly_t *rly, cfd_time_t now)
{
  if (rly->prt != NULL)
    prt_decide (rly->prt, now, log_quarantined, NULL);
}
