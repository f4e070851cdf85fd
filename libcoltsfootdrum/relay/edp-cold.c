/* Endpoints: which are cold, or may be, and the warm-up rate limit.  */

#include "relay/edp-private.h"

#include "base/log.h"
#include "relay/cold.h"

#define SENDS_SPAN_MS 1000

unsigned
edp_count_recent_sends (const edp_t *edp, cfd_time_t now)
{
  int64_t age_ms = now - edp->sends.since;

  if (age_ms >= 2 * SENDS_SPAN_MS)
    return 0;
  return edp->sends.present
         + (age_ms < SENDS_SPAN_MS ? edp->sends.previous : 0);
}

double
edp_estimate_rate (const edp_t *edp, cfd_time_t now)
{
  int64_t age_ms = MIN (now - edp->sends.since, SENDS_SPAN_MS);

  return (double)edp_count_recent_sends (edp, now) * 1000.
         / (double)(SENDS_SPAN_MS + age_ms);
}

/* Begins the warm-up rate limit of an endpoint that was used at the full rate.
 */
static void
empty_bucket (edp_t *edp, cfd_time_t now)
{
  edp->cold_tokens = 0.;
  edp->cold_refilled_at = now;
}

bool
edp_set_cold (edp_t *edp, cfd_time_t now, int64_t cold_ms, const char *cause)
{
  bool was_cold = edp_is_cold (edp, now);
  bool was_known_cold = now < edp->warmth.cold_until;

  if (!wrm_set_cold (&edp->warmth, now, cold_ms))
    return false;
  if (!was_cold)
    empty_bucket (edp, now);
  if (was_known_cold)
    return false;
  log_info ("endpoints",
            "An endpoint is cold: endpoint=%s service=%s zone=%s "
            "cold_ms=%" G_GINT64_FORMAT " cause=%s "
            "revision=%" G_GINT64_FORMAT
            " active=%u peers=%u sent=%u withdrawn=%d.",
            edp->report->id, edp->report->service, edp->report->zone, cold_ms,
            cause, edp->report->revision, edp->active, edp->peer_active,
            edp_count_recent_sends (edp, now), edp->withdrawn);
  return true;
}

void
edp_suspect_cold (edp_set_t *set, edp_t *edp, cfd_time_t now)
{
  wrm_suspect (&edp->warmth, now, WRM_UNCONFIRMED);
  set->has_suspected = true;
}

void
edp_suspect_ended (edp_t *edp, cfd_time_t now, const char *evidence)
{
  bool was_cold = edp_is_cold (edp, now);

  if (edp->warmth.warm_up_ms == 0
      || !wrm_suspect (&edp->warmth, now, WRM_ENDED))
    return;
  edp_cancel_check (edp);
  edp->set->has_newly_cold = true;
  if (!was_cold)
    {
      empty_bucket (edp, now);
      /* Until it is computed.  */
      edp->cold_rank = COLD_RANK_UNKNOWN;
    }
  log_info ("endpoints",
            "An endpoint may have started again: endpoint=%s evidence=%s "
            "connections=%u active=%u peers=%u sent=%u.",
            edp->report->id, evidence, ups_count_connections (edp->ups),
            edp->active, edp->peer_active, edp_count_recent_sends (edp, now));
}

bool
edp_set_take_newly_cold (edp_set_t *set)
{
  bool has_newly_cold = set->has_newly_cold;

  set->has_newly_cold = false;
  return has_newly_cold;
}

void
edp_log_suspected (const char *cause, unsigned count)
{
  log_info ("endpoints",
            "Endpoints are suspected to be cold: cause=%s endpoints=%u.",
            cause, count);
}

void
edp_set_suspect_cold (edp_set_t *set, cfd_time_t now, const char *cause)
{
  list_for_each (node, &set->list)
    {
      edp_suspect_cold (set, list_entry (node, edp_t, node), now);
    }
  list_for_each (node, &set->others)
    {
      edp_suspect_cold (set, list_entry (node, edp_t, node), now);
    }
  edp_log_suspected (cause, edp_set_count (set));
}

typedef struct
{
  unsigned verified;
  unsigned cold; /* of these */
  unsigned left;
  int64_t after_ms; /* the longest */
} verification_t;

static void
verify_suspected (const list_node_t *list, cfd_time_t now,
                  cfd_time_t current_at, verification_t *result)
{
  list_for_each (node, list)
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (edp->warmth.suspicion != WRM_UNCONFIRMED)
        continue;
      if (!wrm_confirm (&edp->warmth, current_at))
        {
          result->left++;
          continue;
        }
      result->after_ms
          = MAX (result->after_ms, now - edp->warmth.suspected_at);
      result->verified++;
      result->cold += edp_is_cold (edp, now);
    }
}

void
edp_set_note_current (edp_set_t *set, cfd_time_t now, cfd_time_t current_at)
{
  verification_t result = { 0 };

  if (!set->has_suspected || current_at == CFD_TIME_NEVER)
    return;
  verify_suspected (&set->list, now, current_at, &result);
  verify_suspected (&set->others, now, current_at, &result);
  set->has_suspected = result.left > 0;
  set->is_verified |= !set->has_suspected;
  if (result.verified > 0)
    log_info ("endpoints",
              "Suspected endpoints were verified: endpoints=%u cold=%u "
              "suspected=%u after_ms=%" G_GINT64_FORMAT ".",
              result.verified, result.cold, result.left, result.after_ms);
}

static void
update_warm_up (list_node_t *list,
                int64_t (*get_ms) (void *user, const char *service),
                void *user)
{
  list_for_each (node, list)
    {
      edp_t *edp = list_entry (node, edp_t, node);

      edp->warmth.warm_up_ms = get_ms (user, edp->report->service);
    }
}

void
edp_set_update_warm_up (edp_set_t *set,
                        int64_t (*get_ms) (void *user, const char *service),
                        void *user)
{
  update_warm_up (&set->list, get_ms, user);
  update_warm_up (&set->others, get_ms, user);
}

bool
edp_is_cold (const edp_t *edp, cfd_time_t now)
{
  return wrm_is_cold (&edp->warmth, now);
}

bool
edp_allows_request (edp_t *edp, cfd_time_t now, double per_s)
{
  double refill = (double)(now - edp->cold_refilled_at) * per_s / 1000.;

  if (!edp_is_cold (edp, now))
    return true;
  if (per_s <= 0.)
    return false;
  edp->cold_tokens = MIN (edp->cold_tokens + refill, EDP_COLD_BURST);
  edp->cold_refilled_at = now;
  return edp->cold_tokens >= 1.;
}

static void
count_send (edp_sends_t *sends, cfd_time_t now)
{
  int64_t age_ms = now - sends->since;

  if (age_ms >= SENDS_SPAN_MS)
    *sends = (edp_sends_t){
      .since = now, .previous = age_ms < 2 * SENDS_SPAN_MS ? sends->present : 0
    };
  sends->present++;
}

void
edp_count_request (edp_t *edp, cfd_time_t now)
{
  count_send (&edp->sends, now);
  if (!edp_is_cold (edp, now))
    return;
  edp->cold_tokens -= 1.;
  INVARIANT ("cold-within-rate", edp->cold_tokens >= 0., edp->report->id);
}
