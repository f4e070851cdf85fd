/* The relay of requests: callers that read their answers slowly, and answers
   that are buffered until they are whole.  */

#include "relay/rly-private.h"

#include "base/log.h"

/* Share of the budget above which no answer may grow on while the budget is
   exceeded.  */
#define ANSWER_SHARE_DIVISOR 16u

static slw_action_t
decide (const rly_request_t *request, cfd_time_t now)
{
  const slw_state_t state
      = { .unsent = ent_get_unsent_bytes (request->call),
          .share = ent_get_unsent_limit (request->call),
          .limit = ent_get_drain_limit (request->call),
          .is_paused = request->read_paused,
          .is_draining = request->is_draining,
          .paused_ms = request->read_paused ? now - request->paused_at : 0 };

  return slw_decide (&state);
}

static void
set_paused (rly_request_t *request, cfd_time_t now, bool is_paused)
{
  if (request->read_paused == is_paused)
    return;
  request->read_paused = is_paused;
  request->paused_at = now;
  /* The endpoint is not the cause of this pause between events.  */
  request->last_event_at = 0;
  ups_set_read_paused (request->exchange, is_paused);
}

/* Disconnects the caller of REQUEST, which is freed.  */
static void
disconnect (rly_request_t *request, cfd_time_t now)
{
  log_warn ("relay",
            "A caller is disconnected, as it reads too slowly: request=%s "
            "endpoint=%s unsent=%zu unread_ms=%" G_GINT64_FORMAT ".",
            request->id, request->edp->report->id,
            ent_get_unsent_bytes (request->call), now - request->paused_at);
  request->rly->counts.slow_callers++;
  ent_disconnect (request->call);
}

bool
rly_pace_reading (rly_request_t *request, cfd_time_t now)
{
  if (request->exchange == NULL || !request->answer.is_stream)
    return true;
  switch (decide (request, now))
    {
    case SLW_READ:
      request->is_draining = false;
      set_paused (request, now, false);
      return true;
    case SLW_DRAIN:
      request->is_draining = true;
      set_paused (request, now, false);
      return true;
    case SLW_PAUSE:
      set_paused (request, now, true);
      return true;
    case SLW_DISCONNECT:
      break;
    }
  disconnect (request, now);
  return false;
}

void
rly_set_answer_budget (rly_t *rly, size_t bytes)
{
  rly->answer_budget = bytes;
}

static size_t
get_buffered_bytes (const rly_request_t *request)
{
  const rly_answer_t *answer = &request->answer;

  return answer->body->len + answer->events.bytes->len;
}

void
rly_count_buffered (rly_t *rly)
{
  rly->buffered_bytes = 0;
  list_for_each (node, &rly->running)
    {
      rly->buffered_bytes
          += get_buffered_bytes (list_entry (node, rly_request_t, node));
    }
}

bool
rly_may_buffer (rly_request_t *request, size_t length)
{
  rly_t *rly = request->rly;

  rly->buffered_bytes += length;
  if (rly->answer_budget == 0 || rly->buffered_bytes <= rly->answer_budget)
    return true;
  /* Answers may have ended since the last tick.  */
  rly_count_buffered (rly);
  rly->buffered_bytes += length;
  return rly->buffered_bytes <= rly->answer_budget
         || get_buffered_bytes (request) + length
                <= rly->answer_budget / ANSWER_SHARE_DIVISOR;
}
