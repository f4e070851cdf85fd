/* Entry: memory for clients that read slowly.

   Load pattern: hundreds of clients that read their answers slowly, or not at
   all, on an instance with little memory.  What they have not read yet is kept
   here; the faster the memory fills, the less of it each may take.  */

#include "relay/ent-private.h"

#include "base/log.h"

/* Bytes that may wait for one client.  A client that is as fast as its network
   rarely needs more than the minimum.  */
#define MIN_UNSENT_LIMIT 16384u
#define MAX_UNSENT_LIMIT 1048576u
/* Part of what is left of the budget that one more client may use.  */
#define UNSENT_LIMIT_DIVISOR 16u
/* The same for a client whose answer is drained from its endpoint: the largest
   plain answer.  */
#define MAX_DRAIN_LIMIT 8388608u
#define DRAIN_LIMIT_DIVISOR 4u
/* A client that read nothing for this time is cut off when memory is short.
   Endpoints cut off answers that are not read for some seconds anyway.  */
#define MAX_STALLED_MS 2000

void
ent_set_unsent_budget (ent_t *ent, size_t bytes)
{
  ent->unsent_budget = bytes;
}

size_t
ent_get_unsent_total (const ent_t *ent)
{
  return ent->unsent_total;
}

/* Returns one DIVISOR-th of what is left of the budget, at most MAX.  */
static size_t
get_limit (const ent_t *ent, size_t divisor, size_t max)
{
  size_t left;

  if (ent->unsent_budget == 0)
    return max;
  left = ent->unsent_budget - MIN (ent->unsent_total, ent->unsent_budget);
  return CLAMP (left / divisor, MIN_UNSENT_LIMIT, max);
}

size_t
ent_get_unsent_limit (const ent_call_t *call)
{
  return get_limit (call->ent, UNSENT_LIMIT_DIVISOR, MAX_UNSENT_LIMIT);
}

size_t
ent_get_drain_limit (const ent_call_t *call)
{
  return get_limit (call->ent, DRAIN_LIMIT_DIVISOR, MAX_DRAIN_LIMIT);
}

/* Notes whether the client has read since the last check, and returns the
   bytes that wait for it.  */
static size_t
update_unsent (ent_call_t *call, cfd_time_t now)
{
  size_t unsent = con_get_unsent_bytes (call->con);
  uint64_t sent = con_get_sent_bytes (call->con);

  if (unsent == 0 || sent != call->sent || call->unsent == 0)
    call->unsent_since = now;
  call->unsent = unsent;
  call->sent = sent;
  return unsent;
}

void
ent_disconnect (ent_call_t *call)
{
  size_t unsent = con_get_unsent_bytes (call->con);

  call->ent->unsent_total -= MIN (unsent, call->ent->unsent_total);
  if (call->state == ENT_SERVING)
    call->ent->ops.disconnected (call->ent->user, call);
  ent_call_free (call);
}

/* Cuts off the client of CALL, which reads nothing.  */
static void
cut_stalled (ent_call_t *call, cfd_time_t now)
{
  log_warn ("entry",
            "A client was cut off, as it reads nothing and memory is short: "
            "unsent=%zu stalled_ms=%" G_GINT64_FORMAT " total=%zu.",
            call->unsent, now - call->unsent_since, call->ent->unsent_total);
  ent_disconnect (call);
}

void
ent_check_unsent (ent_t *ent, cfd_time_t now)
{
  ent->unsent_total = 0;
  list_for_each (node, &ent->calls)
    {
      ent_call_t *call = list_entry (node, ent_call_t, node);

      ent->unsent_total += update_unsent (call, now);
      if (call->collected != NULL)
        ent->unsent_total += call->collected->len;
    }
  if (ent->unsent_budget == 0)
    return;
  list_for_each_safe (node, &ent->calls)
    {
      ent_call_t *call = list_entry (node, ent_call_t, node);

      if (ent->unsent_total <= ent->unsent_budget)
        return;
      if (call->unsent > 0 && now - call->unsent_since > MAX_STALLED_MS)
        cut_stalled (call, now);
    }
}
