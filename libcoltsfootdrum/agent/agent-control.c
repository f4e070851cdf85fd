/* A running request: acknowledging, resuming and cancelling by its router, and
   the timeouts checked at each tick.  */

#include "agent/agent-private.h"
#include "base/log.h"

/* An answer that has begun and then pauses this long is broken: its connection
   may be dead.  */
#define MAX_SILENCE_MS 5000
/* Longest wait for a stream's first byte, and for an answer in one piece.  */
#define MAX_FIRST_BYTE_MS 30000
#define MAX_WHOLE_ANSWER_MS 600000
#define MAX_PLAIN_SILENCE_MS 60000
/* A request is cancelled when its router stays disconnected this long.  */
#define MAX_DETACHED_MS 30000
/* An ended answer is removed after this time without any acknowledgement from
   a connected router.  */
#define MAX_UNACKED_MS 600000
#define CANCEL_TIMEOUT_MS 1000
/* An engine that doesn't answer a small request within this time is stopped,
   not busy.  */
#define PROBE_TIMEOUT_MS 2000

void
run_acknowledge (run_t *run, const msg_ack_t *ack, cfd_time_t now)
{
  run->last_ack_at = now;
  if (!stream_acknowledge (&run->stream, ack->offset))
    log_warn ("agent",
              "Router acknowledged bytes that were never sent: request=%s.",
              run->request);
  if (run->is_paused && !stream_is_full (&run->stream) && run->fetch != NULL)
    {
      run->is_paused = false;
      run->last_byte_at = now;
      fetch_pause (run->fetch, false);
    }
}

void
run_resume (run_t *run, const peer_id_t *peer, const msg_resume_t *resume,
            cfd_time_t now)
{
  cfd_agent_t *agent = run->agent;

  if (!stream_resume (&run->stream, resume->offset, resume->head))
    {
      answer_send_unknown (agent, peer->instance, run->request,
                           "the bytes asked for are gone");
      return;
    }
  agent->counters.resumed_links++;
  tl_add (agent->ring, TL_RESUME, run->account, agent->zone, agent->endpoint,
          run->request, "the router resumed the answer");
  run->is_attached = true;
  run->router_incarnation = peer->incarnation;
  run->last_ack_at = now;
  answer_flush (run, now);
}

void
run_detach (run_t *run, cfd_time_t now)
{
  if (!run->is_attached)
    return;
  run->is_attached = false;
  run->detached_at = now;
}

static void
on_cancelled (void *user, fetch_result_t result, unsigned status,
              const char *body, size_t length, const char *detail)
{
  run_t *run = user;

  cfd_time_t now = agent_read_clock (run->agent);

  run->fetch = NULL;
  if (run->is_abandoned)
    run_finish (run, OUTCOME_BROKEN, "the answer broke off", now);
  else
    run_finish (run, OUTCOME_CANCELLED, "cancelled", now);
}

/* The engine continues a stream whose reader disconnected, so that it can be
   resumed.  Its slot is free only after it has accepted the cancellation.  */
void
run_cancel_at_engine (run_t *run)
{
  g_autofree char *url = g_strdup_printf ("%s/v1/streams/%s/cancel",
                                          run->agent->url, run->request);
  fetch_request_t request = {
    .method = "POST",
    .url = url,
    .connect_timeout_ms = CANCEL_TIMEOUT_MS,
    .total_timeout_ms = CANCEL_TIMEOUT_MS,
    .done = on_cancelled,
    .user = run,
  };

  run->is_cancelling = true;
  run->fetch = fetch_start (run->agent->pool, &request);
}

/* Lets the request run to its end, and drops its answer.  */
static void
discard_answer (run_t *run)
{
  run->is_discarding = true;
  (void)stream_acknowledge (&run->stream, stream_get_length (&run->stream));
  if (!run->is_paused || run->fetch == NULL)
    return;
  run->is_paused = false;
  fetch_pause (run->fetch, false);
}

void
run_cancel (run_t *run, cfd_time_t now)
{
  if (run->stream.has_ended || run->is_cancelling)
    return;
  if (!run->holds_slot)
    {
      local_dequeue (run);
      run_finish (run, OUTCOME_CANCELLED, "cancelled before the start", now);
      return;
    }
  if (!run->idempotent)
    {
      /* Cutting it off would leave unknown whether it ran.  */
      discard_answer (run);
      return;
    }
  if (run->fetch != NULL)
    fetch_cancel (run->fetch);
  run->fetch = NULL;
  if (run->is_model)
    run_cancel_at_engine (run);
  else
    run_finish (run, OUTCOME_CANCELLED, "cancelled", now);
}

void
run_mark_orphaned (run_t *run, cfd_time_t now)
{
  run->is_attached = false;
  run->detached_at = now - MAX_DETACHED_MS;
}

/* ---- timeouts ---- */

void
run_handle_suspension (run_t *run, cfd_time_t gap_ms, cfd_time_t now)
{
  /* Data that arrived meanwhile waits in the socket: the endpoint was not
     silent, and the token times show the suspension instead.  */
  run->last_byte_at = now;
  run->is_untimed = true;
  if (!run->is_attached)
    run->detached_at += gap_ms;
}

static cfd_time_t
get_max_silence_ms (const run_t *run)
{
  if (run->is_model || stream_get_length (&run->stream) > 0)
    return MAX_SILENCE_MS;
  return MAX_PLAIN_SILENCE_MS;
}

/* Whether RUN, at a model engine, may still give its first byte: an answer in
   one piece gives none until its end.  Its connection may be dead, which can't
   be told from an engine at work; but a second connection to the same answer
   does no harm.  */
static bool
may_still_answer (const run_t *run, cfd_time_t now)
{
  cfd_time_t max_ms
      = run->sse.is_streamed ? MAX_FIRST_BYTE_MS : MAX_WHOLE_ANSWER_MS;

  return run->is_model && stream_get_length (&run->stream) == 0
         && now - run->started_at < max_ms;
}

static void
on_probe_done (void *user, fetch_result_t result, unsigned status,
               const char *body, size_t length, const char *detail)
{
  run_t *run = user;

  run->fetch = NULL;
  if (result == FETCH_COMPLETE)
    {
      run_reconnect (run);
      return;
    }
  log_warn ("agent", "The endpoint does not respond: request=%s.",
            run->request);
  run->is_abandoned = true;
  run_cancel_at_engine (run);
}

/* RUN has waited long for its first byte.  If only its connection is dead, a
   second one gets the answer.  If the whole engine is stopped, nothing does,
   and the caller would wait for MAX_FIRST_BYTE_MS or longer though another
   endpoint is free.  Whether the engine answers another request tells the two
   apart.  */
static void
probe_engine (run_t *run, cfd_time_t now)
{
  g_autofree char *url = g_strconcat (run->agent->url, "/v1/load", NULL);
  fetch_request_t request = { .method = "GET",
                              .url = url,
                              .connect_timeout_ms = PROBE_TIMEOUT_MS,
                              .total_timeout_ms = PROBE_TIMEOUT_MS,
                              .done = on_probe_done,
                              .user = run };

  run->last_byte_at = now;
  run->is_untimed = true;
  run->fetch = fetch_start (run->agent->pool, &request);
}

static void
check_silence (run_t *run, cfd_time_t now)
{
  if (run->fetch == NULL || run->is_paused || run->is_cancelling)
    return;
  if (now - run->last_byte_at <= get_max_silence_ms (run))
    return;
  fetch_cancel (run->fetch);
  run->fetch = NULL;
  if (may_still_answer (run, now))
    {
      if (run->idempotent)
        probe_engine (run, now);
      else
        run_reconnect (run);
      return;
    }
  log_warn ("agent", "The endpoint went silent: request=%s.", run->request);
  run_handle_break (run, "the endpoint went silent", now);
}

/* Whether the token times of RUN show the endpoint's speed.  */
static bool
has_valid_token_times (const run_t *run)
{
  return run->is_model && run->sse.is_streamed && !run->is_untimed
         && !run->is_cancelling;
}

static void
check_token_times (run_t *run, cfd_time_t now)
{
  lim_t *lim = &run->agent->lim;
  double interval_ms = sse_get_median_interval_ms (&run->sse);

  if (!has_valid_token_times (run))
    return;
  if (run->sse.first_token_at == 0)
    lim_check_first_token (lim, (double)(now - run->started_at), now);
  lim_check_token_interval (lim, interval_ms, now);
  lim_confirm_warm (lim, sse_get_newest_interval_ms (&run->sse),
                    run->sse.last_token_at, now);
}

static bool
is_removable (const run_t *run, cfd_time_t now)
{
  if (!run->stream.has_ended)
    return false;
  if (!run->is_attached)
    return now - run->detached_at >= MAX_DETACHED_MS;
  return now - run->last_ack_at >= MAX_UNACKED_MS;
}

bool
run_tick (run_t *run, cfd_time_t now)
{
  if (run->holds_slot)
    {
      check_silence (run, now);
      check_token_times (run, now);
    }
  if (!run->stream.has_ended && !run->is_attached
      && now - run->detached_at >= MAX_DETACHED_MS)
    run_cancel (run, now);
  return is_removable (run, now);
}
