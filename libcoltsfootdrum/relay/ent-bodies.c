/* Entry: memory for request bodies.

   Load pattern: see bdm.h.  A request's head tells its account.  Its body is
   read once memory for it is reserved; until then it waits at its client, or
   the request is refused.  What arrives together with the head is kept
   meanwhile: one read at most.  */

#include "relay/ent-private.h"

#include "base/log.h"

/* Longest time that a body waits for memory.  Clients give up an attempt that
   is not read within a second.  */
#define MAX_WAIT_MS 500
/* Retry-After of a refused request: a random time in this range, in which the
   bodies of others are passed on.  */
#define MIN_RETRY_MS 500
#define MAX_RETRY_MS 1500
/* Part of the budget that is added to it for heads and small bodies.  */
#define RESERVE_DIVISOR 3u
/* Promises that the request was not run, like 503.  */
#define STATUS_TIMEOUT 408
/* Size up to which a body doesn't wait: about what one read brings.  */
#define SMALL_BODY_BYTES 16384
/* Memory that is reserved at first for a body without a length.  */
#define MIN_CHUNKED_BYTES 65536u

void
ent_set_body_budget (ent_t *ent, size_t bytes)
{
  bdm_set_budget (ent->bodies, bytes);
}

ent_body_stats_t
ent_get_body_stats (const ent_t *ent)
{
  return (ent_body_stats_t){ .held = bdm_get_held (ent->bodies),
                             .budget = bdm_get_budget (ent->bodies),
                             .waiting = bdm_count_waiting (ent->bodies),
                             .refused = ent->bodies_refused };
}

static void
refuse (ent_call_t *call, cfd_time_t now)
{
  ent_t *ent = call->ent;
  int retry_ms = g_random_int_range (MIN_RETRY_MS, MAX_RETRY_MS);
  g_autofree char *fields
      = g_strdup_printf ("Retry-After: %.3f\r\n", retry_ms / 1000.);

  log_info ("entry",
            "A request was refused, not run, as memory for bodies is short: "
            "account=%s length=%" G_GINT64_FORMAT " read=%u account_held=%zu "
            "held=%zu budget=%zu waited_ms=%" G_GINT64_FORMAT " retry_ms=%d.",
            call->account != NULL ? call->account : "",
            rd_get_head (call->rd)->length, call->body->len,
            bdm_get_account_held (&call->claim), bdm_get_held (ent->bodies),
            bdm_get_budget (ent->bodies),
            call->claim.wanted > 0 ? now - call->claim.waiting_since : 0,
            retry_ms);
  ent->bodies_refused++;
  /* The retry comes on a new connection, by which it reaches another
     instance.  */
  call->reusable = false;
  con_set_read_paused (call->con, false);
  ent_respond (call, 503, fields, NULL, 0);
}

/* Sends the interim response for which some clients wait before they send the
   body.  */
static void
continue_body (ent_call_t *call)
{
  con_set_read_paused (call->con, false);
  if (call->expects_continue)
    con_write (call->con, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  call->expects_continue = false;
}

/* Reads on the body of CALL, which waited for memory.  */
static void
end_wait (ent_call_t *call, cfd_time_t now)
{
  call->body_wait_ms += now - call->claim.waiting_since;
  continue_body (call);
}

static void
reserve (ent_call_t *call, size_t bytes)
{
  cfd_time_t now = clock_now ();

  switch (
      bdm_reserve (call->ent->bodies, now, &call->claim, call->account, bytes))
    {
    case BDM_GRANTED:
      continue_body (call);
      break;
    case BDM_WAITING:
      con_set_read_paused (call->con, true);
      break;
    case BDM_REFUSED:
      refuse (call, now);
      break;
    }
}

/* Finds the account of CALL, whose head was read.  Returns false when CALL was
   answered instead.  */
static bool
find_account (ent_call_t *call)
{
  const ent_ops_t *ops = &call->ent->ops;
  const char *account = "";

  if (ops->account != NULL)
    account = ops->account (call->ent->user, call);
  if (account == NULL)
    return false;
  call->account = g_strdup (account);
  return true;
}

/* Returns the bytes that may be taken beyond the budget by heads and small
   bodies.  */
static size_t
get_reserve (const ent_t *ent)
{
  return bdm_get_budget (ent->bodies) / RESERVE_DIVISOR;
}

/* Counts BYTES of CALL without a reservation.  Returns false after it has
   refused CALL.  */
static bool
count_bytes (ent_call_t *call, size_t bytes)
{
  bdm_t *bodies = call->ent->bodies;
  size_t budget = bdm_get_budget (bodies);

  if (budget > 0
      && bdm_get_held (bodies) + bytes > budget + get_reserve (call->ent))
    {
      refuse (call, clock_now ());
      return false;
    }
  bdm_count (bodies, &call->claim, bytes);
  return true;
}

/* Takes the first part of memory for the body of CALL.  */
static void
start_body (ent_call_t *call)
{
  int64_t length = rd_get_head (call->rd)->length;

  if (!find_account (call))
    return;
  if (length < 0)
    reserve (call, MIN_CHUNKED_BYTES);
  else if (length > SMALL_BODY_BYTES)
    reserve (call, (size_t)length);
  else if (count_bytes (call, (size_t)length))
    continue_body (call);
}

void
ent_reserve_body (ent_call_t *call)
{
  if (call->claim.wanted > 0)
    return;
  if (call->account == NULL)
    start_body (call);
  else if (call->body->len > call->claim.held)
    reserve (call, MAX (call->claim.held, MIN_CHUNKED_BYTES));
}

bool
ent_count_request (ent_call_t *call)
{
  size_t bytes = rd_get_head_bytes (call->rd) + call->body->len;

  return bytes <= call->claim.held
         || count_bytes (call, bytes - call->claim.held);
}

static size_t
get_partial_head_bytes (const ent_call_t *call)
{
  return call->state == ENT_READING && !call->head_done
             ? rd_get_head_bytes (call->rd)
             : 0;
}

void
ent_check_heads (ent_t *ent)
{
  size_t limit = get_reserve (ent);
  size_t total = 0;

  if (limit == 0)
    return;
  list_for_each (node, &ent->calls)
    {
      total += get_partial_head_bytes (list_entry (node, ent_call_t, node));
    }
  list_for_each_safe (node, &ent->calls)
    {
      ent_call_t *call = list_entry (node, ent_call_t, node);
      size_t bytes = get_partial_head_bytes (call);

      if (total <= limit)
        return;
      if (bytes == 0)
        continue;
      ent_reject_request (call, STATUS_TIMEOUT);
      total -= bytes;
    }
}

void
ent_release_body (ent_call_t *call)
{
  cfd_time_t now = clock_now ();
  bdm_claim_t *claim;

  bdm_release (call->ent->bodies, &call->claim);
  g_clear_pointer (&call->account, g_free);
  call->expects_continue = false;
  while ((claim = bdm_grant_next (call->ent->bodies)) != NULL)
    end_wait (list_entry (claim, ent_call_t, claim), now);
}

bool
ent_is_body_overdue (const ent_call_t *call, cfd_time_t now)
{
  return call->claim.wanted > 0
         && now - call->claim.waiting_since > MAX_WAIT_MS;
}

void
ent_refuse_body (ent_call_t *call, cfd_time_t now)
{
  refuse (call, now);
}
