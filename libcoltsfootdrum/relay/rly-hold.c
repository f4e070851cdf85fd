/* The relay of requests: first events that are held back until the journal has
   stored where their streams began.

   A caller that has an event may resume its stream.  When all routers end
   before the record is stored, none of them knows at which version it began,
   and the caller is refused.  */

#include "relay/rly-private.h"

#include "base/log.h"

/* Longest time for which events are held back: several intervals between
   writes, and the way to the router that writes and back.  */
#define MAX_HOLD_MS 150
/* Time without any confirmation after which the store counts as away, and for
   which no events are held back then.  */
#define MAX_STALL_MS 500
#define SUSPENSION_MS 1000

void
rly_hold_events (rly_request_t *request, cfd_time_t now)
{
  rly_t *rly = request->rly;

  if (!org_is_storing (rly->org, now) || now < rly->no_hold_until)
    return;
  org_await (rly->org, now, request->stream_key, request->origin);
  request->held_since = now;
  list_append (&rly->held, &request->held_node);
  rly->counts.held++;
}

void
rly_end_hold (rly_request_t *request, cfd_time_t now)
{
  if (!list_is_linked (&request->held_node))
    return;
  list_remove (&request->held_node);
  request->held_ms = now - request->held_since;
  prom_hist_observe (&request->service->hold_ms, request->held_ms);
}

bool
rly_is_held (const rly_request_t *request)
{
  return list_is_linked (&request->held_node);
}

static void
release (rly_request_t *request, cfd_time_t now)
{
  rly_end_hold (request, now);
  rly_forward (request);
}

void
rly_on_stored (void *user, cfd_time_t now, uint64_t key)
{
  rly_t *rly = user;

  rly->stalled_since = CFD_TIME_NEVER;
  rly->no_hold_until = 0;
  list_for_each_safe (node, &rly->held)
    {
      rly_request_t *request = list_entry (node, rly_request_t, held_node);

      if (request->stream_key == key)
        release (request, now);
    }
}

/* Passes on events whose record isn't stored in time.  When no record is, none
   are held back for a while.  */
static void
release_late (rly_request_t *request, cfd_time_t now)
{
  rly_t *rly = request->rly;

  rly->counts.hold_timeouts++;
  rly->stalled_since = MIN (rly->stalled_since, request->held_since);
  if (now - rly->stalled_since >= MAX_STALL_MS && now >= rly->no_hold_until)
    {
      rly->no_hold_until = now + SUSPENSION_MS;
      log_warn ("relay",
                "Streams begin before their records are stored: request=%s "
                "held_ms=%" G_GINT64_FORMAT " held=%" G_GUINT64_FORMAT
                " timeouts=%" G_GUINT64_FORMAT ".",
                request->id, now - request->held_since, rly->counts.held,
                rly->counts.hold_timeouts);
    }
  release (request, now);
}

void
rly_check_held (rly_t *rly, cfd_time_t now)
{
  list_for_each_safe (node, &rly->held)
    {
      rly_request_t *request = list_entry (node, rly_request_t, held_node);

      if (now - request->held_since >= MAX_HOLD_MS)
        release_late (request, now);
    }
}
