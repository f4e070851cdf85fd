/* A request that runs, seen from the router's side and over time:
   acknowledgements, resuming, cancelling, and the watch on silence.  */

#include "agent/agent-private.h"
#include "base/log.h"

/* An answer that has begun and then says nothing for so long is broken: the
   connection may have gone silent for good.  */
#define SILENCE_MS 5000
/* Longest wait for a stream's first byte, and for an answer in one piece.  */
#define FIRST_BYTE_MS 30000
#define WHOLE_ANSWER_MS 600000
#define PLAIN_ANSWER_MS 60000
/* A stream whose router stays away so long is given up.  */
#define ROUTER_AWAY_MS 30000
/* An ended answer without any acknowledgement from a router in hearing.  */
#define UNACKED_MS 600000
#define CANCEL_MS 1000
/* An engine that gives no answer to a small question within this time is
   stopped, not busy.  */
#define ALIVE_MS 2000

void
run_ack (run_t *run, const msg_ack_t *ack, cfd_time_t now)
{
  run->last_ack = now;
  if (!stream_ack (&run->stream, ack->offset))
    log_warn ("agent", "Acknowledged bytes that were never sent: request=%s.",
              run->request);
  if (run->paused && !stream_is_full (&run->stream) && run->fetch != NULL)
    {
      run->paused = false;
      run->last_byte = now;
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
      answer_unknown (agent, peer->instance, run->request,
                      "the bytes asked for are gone");
      return;
    }
  agent->counters.resumed_links++;
  tl_add (agent->ring, TL_RESUME, run->account, agent->zone, agent->endpoint,
          run->request, "the router resumed the answer");
  run->attached = true;
  run->router_incarnation = peer->incarnation;
  run->last_ack = now;
  answer_flush (run, now);
}

void
run_detach (run_t *run, cfd_time_t now)
{
  if (!run->attached)
    return;
  run->attached = false;
  run->detached = now;
}

static void
on_cancelled (void *user, fetch_result_t result, unsigned status,
              const char *body, size_t length, const char *detail)
{
  run_t *run = user;

  cfd_time_t now = agent_now (run->agent);

  run->fetch = NULL;
  if (run->gave_up)
    run_finish (run, OUTCOME_BROKEN, "the answer broke off", now);
  else
    run_finish (run, OUTCOME_CANCELLED, "cancelled", now);
}

/* The engine goes on with a stream whose reader left, so that it can be
   resumed; its slot is free only when it has taken the order to stop.  */
void
run_cancel_at_engine (run_t *run)
{
  g_autofree char *url = g_strdup_printf ("%s/v1/streams/%s/cancel",
                                          run->agent->url, run->request);
  fetch_request_t request = {
    .method = "POST",
    .url = url,
    .connect_timeout_ms = CANCEL_MS,
    .total_timeout_ms = CANCEL_MS,
    .done = on_cancelled,
    .user = run,
  };

  run->cancelling = true;
  run->fetch = fetch_start (run->agent->pool, &request);
}

/* Leaves the call to finish and nothing of it to be kept.  */
static void
discard (run_t *run)
{
  run->discarding = true;
  (void)stream_ack (&run->stream, stream_total (&run->stream));
  if (!run->paused || run->fetch == NULL)
    return;
  run->paused = false;
  fetch_pause (run->fetch, false);
}

void
run_cancel (run_t *run, cfd_time_t now)
{
  if (run->stream.ended || run->cancelling)
    return;
  if (!run->holds_slot)
    {
      local_drop (run);
      run_finish (run, OUTCOME_CANCELLED, "cancelled before the start", now);
      return;
    }
  if (!run->idempotent)
    {
      /* Cutting it off would leave nobody knowing whether it ran.  */
      discard (run);
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
run_orphan (run_t *run, cfd_time_t now)
{
  run->attached = false;
  run->detached = now - ROUTER_AWAY_MS;
}

/* ---- time ---- */

void
run_woken (run_t *run, cfd_time_t gap, cfd_time_t now)
{
  /* What came meanwhile waits in the socket: it is not silent, and its times
     are ours.  */
  run->last_byte = now;
  run->untimed = true;
  if (!run->attached)
    run->detached += gap;
}

static cfd_time_t
longest_silence (const run_t *run)
{
  if (run->is_model || stream_total (&run->stream) > 0)
    return SILENCE_MS;
  return PLAIN_ANSWER_MS;
}

/* Whether RUN, at a model engine, may still give its first byte: an answer in
   one piece gives none until its end.  Its connection may have gone silent for
   good meanwhile, and nothing tells that from an engine at work; but another
   connection to the same answer does no harm.  */
static bool
may_yet_answer (const run_t *run, cfd_time_t now)
{
  cfd_time_t longest = run->sse.streamed ? FIRST_BYTE_MS : WHOLE_ANSWER_MS;

  return run->is_model && stream_total (&run->stream) == 0
         && now - run->started < longest;
}

static void
on_alive (void *user, fetch_result_t result, unsigned status, const char *body,
          size_t length, const char *detail)
{
  run_t *run = user;

  run->fetch = NULL;
  if (result == FETCH_COMPLETE)
    {
      run_attach_again (run);
      return;
    }
  log_warn ("agent", "The endpoint answers nothing: request=%s.",
            run->request);
  run->gave_up = true;
  run_cancel_at_engine (run);
}

/* RUN has waited for its first byte for long.  When its connection went silent
   another one brings the answer; when the whole engine stands still nothing
   does, and the caller would wait for FIRST_BYTE_MS and more though another
   endpoint is free.  What the engine says to any other question tells the two
   apart.  */
static void
ask_alive (run_t *run, cfd_time_t now)
{
  g_autofree char *url = g_strconcat (run->agent->url, "/v1/load", NULL);
  fetch_request_t request = { .method = "GET",
                              .url = url,
                              .connect_timeout_ms = ALIVE_MS,
                              .total_timeout_ms = ALIVE_MS,
                              .done = on_alive,
                              .user = run };

  run->last_byte = now;
  run->untimed = true;
  run->fetch = fetch_start (run->agent->pool, &request);
}

static void
watch_silence (run_t *run, cfd_time_t now)
{
  if (run->fetch == NULL || run->paused || run->cancelling)
    return;
  if (now - run->last_byte <= longest_silence (run))
    return;
  fetch_cancel (run->fetch);
  run->fetch = NULL;
  if (may_yet_answer (run, now))
    {
      if (run->idempotent)
        ask_alive (run, now);
      else
        run_attach_again (run);
      return;
    }
  log_warn ("agent", "The endpoint went silent: request=%s.", run->request);
  run_broken (run, "the endpoint went silent", now);
}

/* Whether the token times of RUN can tell of the endpoint.  */
static bool
is_timed (const run_t *run)
{
  return run->is_model && run->sse.streamed && !run->untimed
         && !run->cancelling;
}

static void
watch_speed (run_t *run, cfd_time_t now)
{
  lim_t *lim = &run->agent->lim;
  double interval = sse_interval_now (&run->sse);

  if (!is_timed (run))
    return;
  if (run->sse.first == 0)
    lim_check_first_token (lim, (double)(now - run->started), now);
  lim_check_token_interval (lim, interval, now);
  lim_confirm_warm (lim, sse_newest_gap (&run->sse), run->sse.last, now);
}

static bool
is_forgettable (const run_t *run, cfd_time_t now)
{
  if (!run->stream.ended)
    return false;
  if (!run->attached)
    return now - run->detached >= ROUTER_AWAY_MS;
  return now - run->last_ack >= UNACKED_MS;
}

bool
run_tick (run_t *run, cfd_time_t now)
{
  if (run->holds_slot)
    {
      watch_silence (run, now);
      watch_speed (run, now);
    }
  if (!run->stream.ended && !run->attached
      && now - run->detached >= ROUTER_AWAY_MS)
    run_cancel (run, now);
  return is_forgettable (run, now);
}
