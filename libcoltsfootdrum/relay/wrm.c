/* Warmth of endpoints.  */

#include "relay/wrm.h"

#include <glib.h>

/* Time from one router to the next in rank: for a question, its answer and a
   datagram.  */
#define RANK_DELAY_MS 25
/* Ranks beyond it ask together with it.  */
#define MAX_DELAYED_RANK 20
/* Shortest interval of questions, and the requests that may come in one.  */
#define MIN_ASK_INTERVAL_MS 50
#define MAX_UNPROVEN_REQUESTS 15.
/* Routers that ask after an alert, and often one that can't be reached.  */
#define ALERTED_ROUTERS 3

void
wrm_init (wrm_t *wrm)
{
  *wrm = (wrm_t){ 0 };
}

static bool
is_suspected (const wrm_t *wrm, cfd_time_t now)
{
  return wrm->suspicion != WRM_CONFIRMED
         && now < wrm->suspected_at + wrm->warm_up_ms;
}

bool
wrm_is_cold (const wrm_t *wrm, cfd_time_t now)
{
  return now < wrm->cold_until || is_suspected (wrm, now);
}

bool
wrm_set_cold (wrm_t *wrm, cfd_time_t now, int64_t cold_ms)
{
  if (cold_ms <= 0 || now + cold_ms <= wrm->cold_until)
    return false;
  wrm->cold_until = now + cold_ms;
  return true;
}

bool
wrm_suspect (wrm_t *wrm, cfd_time_t now, wrm_suspicion_t suspicion)
{
  bool was_ended = wrm->suspicion == WRM_ENDED && is_suspected (wrm, now);
  bool is_new
      = !is_suspected (wrm, now) || (suspicion == WRM_ENDED && !was_ended);

  wrm->suspicion = was_ended ? WRM_ENDED : suspicion;
  wrm->suspected_at = now;
  /* What it said before doesn't count for another process.  */
  if (is_new && suspicion == WRM_ENDED)
    wrm->asked_at = 0;
  return is_new;
}

bool
wrm_confirm (wrm_t *wrm, cfd_time_t current_at)
{
  /* Within a millisecond it isn't known which came first.  */
  if (wrm->suspicion != WRM_UNCONFIRMED || current_at <= wrm->suspected_at)
    return false;
  wrm->suspicion = WRM_CONFIRMED;
  return true;
}

void
wrm_alert (wrm_t *wrm, cfd_time_t now)
{
  wrm->alerted_at = now;
}

static bool
is_in_turn (cfd_time_t since, cfd_time_t now, unsigned rank)
{
  return now - since >= MIN (rank, MAX_DELAYED_RANK) * RANK_DELAY_MS;
}

static bool
may_have_ended (const wrm_t *wrm, cfd_time_t now)
{
  return wrm->suspicion == WRM_ENDED && is_suspected (wrm, now);
}

/* Returns whether it wasn't asked since an alert that is not long ago.  */
static bool
is_alerted (const wrm_t *wrm, cfd_time_t now)
{
  return wrm->asked_at < wrm->alerted_at
         && now - wrm->alerted_at < WRM_ASK_INTERVAL_MS;
}

int64_t
wrm_get_interval_ms (double per_s)
{
  double interval_ms
      = MAX_UNPROVEN_REQUESTS * 1000. / MAX (per_s, MAX_UNPROVEN_REQUESTS);

  return CLAMP ((int64_t)interval_ms, MIN_ASK_INTERVAL_MS,
                WRM_ASK_INTERVAL_MS);
}

bool
wrm_must_ask (const wrm_t *wrm, cfd_time_t now, unsigned rank,
              int64_t interval_ms)
{
  if (wrm->warm_up_ms <= 0 || wrm->cold_until - now > WRM_ASK_INTERVAL_MS)
    return false;
  if (rank < ALERTED_ROUTERS && is_alerted (wrm, now))
    return is_in_turn (wrm->alerted_at, now, rank);
  if (rank > 0 && !may_have_ended (wrm, now))
    return false;
  if (wrm->asked_at == 0)
    return is_in_turn (wrm->suspected_at, now, rank);
  /* It couldn't be reached, and is cold from the moment that it can.  */
  if (rank < ALERTED_ROUTERS && may_have_ended (wrm, now)
      && wrm->asked_at <= wrm->suspected_at)
    interval_ms = MIN_ASK_INTERVAL_MS;
  return now - wrm->asked_at >= interval_ms;
}

bool
wrm_is_urgent (const wrm_t *wrm, cfd_time_t now)
{
  return may_have_ended (wrm, now) || is_alerted (wrm, now);
}

void
wrm_note_asked (wrm_t *wrm, cfd_time_t now)
{
  wrm->asked_at = now;
}

bool
wrm_note_answer (wrm_t *wrm, cfd_time_t now, int64_t cold_ms)
{
  bool ends = wrm->suspicion == WRM_ENDED;

  wrm->found_cold_until = now + cold_ms;
  wrm_set_cold (wrm, now, cold_ms);
  if (ends)
    wrm->suspicion = WRM_CONFIRMED;
  return ends;
}
