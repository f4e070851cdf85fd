/* Runs one request at the endpoint.  */

#include "agent/agent-private.h"
#include "base/jsn.h"
#include "base/log.h"
#include <string.h>

/* With fewer tokens the mean interval between them is too inaccurate.  */
#define MIN_TIMED_TOKENS 8u

static void start_fetch (run_t *run, const fetch_request_t *request);

/* ---- construction ---- */

/* Connection headers and headers for the router are not forwarded.  In
   particular a caller's key must not reach the endpoint.  */
static bool
is_forwarded (const char *header)
{
  static const char *const excluded[]
      = { "host:",         "content-length:", "transfer-encoding:",
          "connection:",   "keep-alive:",     "expect:",
          "te:",           "upgrade:",        "authorization:",
          "trailer:",      "x-request-id:",   "accept-encoding:",
          "x-stream-keep:" };

  for (size_t i = 0; i < G_N_ELEMENTS (excluded); i++)
    if (g_ascii_strncasecmp (header, excluded[i], strlen (excluded[i])) == 0)
      return false;
  return true;
}

static bool
asks_for_stream (const msg_bytes_t *body)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonNode *root;
  JsonNode *node;

  if (body->length == 0
      || !jsn_load (parser, (const char *)body->data, body->length, NULL))
    return false;
  root = json_parser_get_root (parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return false;
  node = json_object_get_member (json_node_get_object (root), "stream");
  return node != NULL && JSON_NODE_HOLDS_VALUE (node)
         && json_node_get_boolean (node);
}

run_t *
run_new (cfd_agent_t *agent, const peer_id_t *peer, const msg_assign_t *assign)
{
  run_t *run = g_new0 (run_t, 1);

  run->agent = agent;
  list_init (&run->node);
  run->request = g_strdup (assign->request);
  run->account = g_strdup (assign->account);
  run->router = g_strdup (peer->instance);
  run->router_incarnation = peer->incarnation;
  run->method = g_strdup (assign->method);
  run->path = g_strdup (assign->path);
  run->headers = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < assign->header_count; i++)
    if (is_forwarded (assign->headers[i]))
      g_ptr_array_add (run->headers, g_strdup (assign->headers[i]));
  g_ptr_array_add (run->headers,
                   g_strdup_printf ("X-Request-Id: %s", run->request));
  /* The engine keeps a stream whose connection broke.  */
  if (agent->is_model)
    g_ptr_array_add (run->headers, g_strdup ("X-Stream-Keep: 1"));
  g_ptr_array_add (run->headers, NULL);
  run->body = g_byte_array_new ();
  g_byte_array_append (run->body, assign->body.data,
                       (guint)assign->body.length);
  run->idempotent = assign->idempotent;
  run->is_model = agent->is_model;
  run->is_attached = true;
  /* A held link exchanges heartbeats, so that this side too notices when it
     goes silent.  */
  peer_hub_hold (agent->hub, run->router);
  stream_init (&run->stream);
  sse_init (&run->sse, agent->is_model && asks_for_stream (&assign->body));
  return run;
}

void
run_free (gpointer data)
{
  run_t *run = data;

  if (run->fetch != NULL)
    fetch_cancel (run->fetch);
  local_dequeue (run);
  peer_hub_release (run->agent->hub, run->router);
  if (run->holds_slot)
    run->agent->busy_slots--;
  stream_clear (&run->stream);
  sse_clear (&run->sse);
  g_ptr_array_unref (run->headers);
  g_byte_array_unref (run->body);
  g_free (run->request);
  g_free (run->account);
  g_free (run->router);
  g_free (run->method);
  g_free (run->path);
  g_free (run);
}

/* ---- end ---- */

/* Gateway statuses mean that the endpoint can't serve.  Other errors are
   answers to the caller's request, and the faulty requests of one account must
   not eject the endpoint for all.  */
static bool
is_endpoint_fault (unsigned status)
{
  return status >= 502 && status <= 504;
}

/* Milliseconds between the answer's tokens; 0 when unknown.  For an answer in
   one piece the total time divided by the tokens is used, which is too high by
   the share of the prompt.  That value is valid when it is within the target
   all the same; otherwise it counts only if there were many tokens.  */
static double
get_token_interval_ms (const run_t *run, cfd_time_t now)
{
  unsigned tokens = sse_count_output_tokens (&run->sse);
  double max_interval_ms;

  if (!run->is_model || run->is_untimed || tokens == 0)
    return 0;
  if (run->sse.token_events >= 2)
    return sse_get_mean_interval_ms (&run->sse);
  max_interval_ms = (double)(now - run->started_at) / tokens;
  if (tokens >= MIN_TIMED_TOKENS
      || max_interval_ms <= run->agent->lim.settings.token_interval_ms)
    return max_interval_ms;
  return 0;
}

static double
get_first_token_ms (const run_t *run)
{
  if (run->is_untimed || run->sse.first_token_at == 0)
    return 0;
  return (double)(run->sse.first_token_at - run->started_at);
}

/* Confirms that the endpoint is warm at the end of an answer too, because a
   short answer ends between two ticks.  */
static void
confirm_warm (run_t *run, cfd_time_t now)
{
  lim_t *lim = &run->agent->lim;

  if (run->sse.is_streamed && !run->is_untimed)
    lim_confirm_warm (lim, sse_get_newest_interval_ms (&run->sse),
                      run->sse.last_token_at, now);
  else
    lim_confirm_warm_unstreamed (lim, get_token_interval_ms (run, now),
                                 sse_count_output_tokens (&run->sse), now);
}

static void
update_limit (run_t *run, outcome_t outcome, cfd_time_t now)
{
  lim_t *lim = &run->agent->lim;

  /* The request was not sent, so its end says nothing about the endpoint.  */
  if (run->was_withheld)
    return;
  switch (outcome)
    {
    case OUTCOME_COMPLETE:
      if (is_endpoint_fault (run->stream.status))
        lim_record_failure (lim, now);
      else
        {
          lim_record_completion (lim, get_first_token_ms (run),
                                 get_token_interval_ms (run, now),
                                 run->started_at, now);
          confirm_warm (run, now);
        }
      return;
    case OUTCOME_BROKEN:
      lim_record_failure (lim, now);
      return;
    case OUTCOME_UNREACHED:
      /* Nothing listens at the endpoint: it was stopped, and will be cold when
         it starts again.  */
      lim_reset_to_cold (lim, now);
      lim_record_failure (lim, now);
      return;
    case OUTCOME_CANCELLED:
    case OUTCOME_UNKNOWN:
      return;
    }
}

static void
count_end (agent_counters_t *counters, const run_t *run, outcome_t outcome)
{
  counters->completed += outcome == OUTCOME_COMPLETE;
  counters->broken += outcome == OUTCOME_BROKEN;
  counters->unreached += outcome == OUTCOME_UNREACHED;
  counters->cancelled += outcome == OUTCOME_CANCELLED;
  counters->prompt_tokens += run->stream.prompt_tokens;
  counters->output_tokens += run->stream.output_tokens;
}

void
run_finish (run_t *run, outcome_t outcome, const char *detail, cfd_time_t now)
{
  cfd_agent_t *agent = run->agent;
  lim_state_t old_state = agent->lim.state;

  if (run->stream.has_ended)
    return;
  sse_finish (&run->sse);
  run->stream.prompt_tokens = run->sse.prompt_tokens;
  run->stream.output_tokens = sse_count_output_tokens (&run->sse);
  stream_set_end (&run->stream, outcome, detail);
  run->ended_at = now;
  run->last_ack_at = now;
  if (run->holds_slot)
    {
      run->holds_slot = false;
      agent->busy_slots--;
      update_limit (run, outcome, now);
    }
  count_end (&agent->counters, run, outcome);
  tl_add (agent->ring, TL_END, run->account, agent->zone, agent->endpoint,
          run->request, detail);
  if ((old_state == LIM_EJECTED) != (agent->lim.state == LIM_EJECTED))
    tl_add (agent->ring, TL_EJECT, NULL, agent->zone, agent->endpoint, NULL,
            lim_state_name (agent->lim.state));
  answer_flush (run, now);
  agent_fill_slots (agent, now);
}

/* ---- answer of the endpoint ---- */

static void
on_head (void *user, unsigned status, const char *const *headers)
{
  run_t *run = user;
  cfd_time_t now = agent_read_clock (run->agent);

  run->last_byte_at = now;
  run->is_resume_refused = run->is_reconnected && status / 100 != 2;
  /* The router can try another endpoint if it has seen nothing of this answer.
     A request that must not be repeated gets the endpoint's own answer.  */
  run->is_turned_away = run->idempotent && is_endpoint_fault (status);
  if (run->is_resume_refused || run->is_turned_away)
    return;
  stream_set_head (&run->stream, status, headers);
  answer_flush (run, now);
}

static void
on_data (void *user, const void *bytes, size_t length)
{
  run_t *run = user;
  cfd_time_t now = agent_read_clock (run->agent);

  run->last_byte_at = now;
  if (run->is_resume_refused || run->is_turned_away)
    return;
  run->is_resume_pending = false;
  sse_feed (&run->sse, bytes, length, now);
  stream_append (&run->stream, bytes, length, run->sse.token_events);
  if (run->is_discarding)
    (void)stream_acknowledge (&run->stream, stream_get_length (&run->stream));
  answer_flush (run, now);
  if (!stream_is_full (&run->stream) || run->is_paused || run->fetch == NULL)
    return;
  run->is_paused = true;
  run->is_untimed = true;
  fetch_pause (run->fetch, true);
}

/* Whether the answer is complete: a stream has its end mark, and an answer in
   one piece is one JSON object.  An engine that gives a request up may still
   end the answer properly, and the caller would take a part of it, or nothing,
   for the whole.  */
static bool
is_answer_complete (run_t *run)
{
  if (!run->is_model || run->stream.status != 200)
    return true;
  sse_finish (&run->sse);
  return run->sse.is_complete;
}

void
run_reconnect (run_t *run)
{
  static const char *const headers[] = { "X-Stream-Keep: 1", NULL };
  g_autofree char *url = g_strdup_printf (
      "%s/v1/streams/%s?offset=%" G_GUINT64_FORMAT, run->agent->url,
      run->request, stream_get_length (&run->stream));
  fetch_request_t request
      = { .method = "GET", .url = url, .headers = headers };

  run->is_reconnected = true;
  run->is_untimed = true;
  run->agent->counters.resumed_engine++;
  start_fetch (run, &request);
}

/* Requests the rest of a broken answer from the engine.  Not again before more
   of it has arrived, and only for a stream.  */
static bool
try_engine_resume (run_t *run)
{
  bool has_rest
      = run->sse.is_streamed || stream_get_length (&run->stream) == 0;

  if (!run->is_model || !has_rest || run->is_resume_pending
      || run->is_cancelling)
    return false;
  run->is_resume_pending = true;
  run_reconnect (run);
  return true;
}

void
run_handle_break (run_t *run, const char *detail, cfd_time_t now)
{
  cfd_agent_t *agent = run->agent;

  if (run->is_resume_refused)
    {
      /* The engine lost the stream, so it was restarted and is cold again.  */
      agent->counters.engine_resume_failed++;
      lim_reset_to_cold (&agent->lim, now);
      run_finish (run, OUTCOME_BROKEN, "the engine no longer knows the stream",
                  now);
      return;
    }
  if (try_engine_resume (run))
    return;
  if (!run->is_model || run->is_cancelling)
    {
      run_finish (run, OUTCOME_BROKEN, detail, now);
      return;
    }
  /* The engine may continue the request without a reader.  Its place in the
     batch is free only after the engine was told to cancel.  */
  run->is_abandoned = true;
  run_cancel_at_engine (run);
}

static void
on_done (void *user, fetch_result_t result, unsigned status, const char *body,
         size_t length, const char *detail)
{
  run_t *run = user;
  cfd_time_t now = agent_read_clock (run->agent);

  run->fetch = NULL;
  switch (result)
    {
    case FETCH_COMPLETE:
      if (run->is_turned_away && !run->is_reconnected)
        run_finish (run, OUTCOME_BROKEN, "the endpoint can't serve", now);
      else if (run->is_resume_refused || !is_answer_complete (run))
        run_handle_break (run, "the answer ended early", now);
      else
        run_finish (run, OUTCOME_COMPLETE, "complete", now);
      return;
    case FETCH_CONNECT_FAILED:
      if (run->is_reconnected)
        run_finish (run, OUTCOME_BROKEN, detail, now);
      else
        run_finish (run, OUTCOME_UNREACHED, detail, now);
      return;
    case FETCH_SEND_DENIED:
      run->was_withheld = true;
      run_finish (run, OUTCOME_UNREACHED,
                  "stopped before it was sent, and in doubt since", now);
      return;
    case FETCH_INCOMPLETE:
    case FETCH_TIMEOUT:
      run_handle_break (run, detail, now);
      return;
    }
}

static void
start_fetch (run_t *run, const fetch_request_t *request)
{
  fetch_request_t full_request = *request;

  full_request.head = on_head;
  full_request.data = on_data;
  full_request.done = on_done;
  full_request.user = run;
  run->last_byte_at = agent_read_clock (run->agent);
  run->is_paused = false;
  run->fetch = fetch_start (run->agent->pool, &full_request);
}

/* A process that was suspended between starting a request and sending it may
   have missed the record that takes its endpoint out of service.  The clock is
   read here, so that the suspension is detected in the same call that
   sends.  */
static bool
may_send (void *user)
{
  run_t *run = user;
  cfd_agent_t *agent = run->agent;

  (void)agent_read_clock (agent);
  return !agent->is_config_unconfirmed && !config_is_out_of_service (agent);
}

void
run_start (run_t *run, cfd_time_t now)
{
  cfd_agent_t *agent = run->agent;
  g_autofree char *url = g_strconcat (agent->url, run->path, NULL);
  fetch_request_t request = {
    .method = run->method,
    .url = url,
    .headers = (const char *const *)run->headers->pdata,
    .body = run->body->data,
    .body_length = run->body->len,
    .reuse_connection = run->idempotent && !run->is_model,
    .may_send = may_send,
  };

  INVARIANT ("start-in-service", !config_is_out_of_service (agent),
             run->request);
  agent->busy_slots++;
  run->holds_slot = true;
  run->started_at = now;
  agent->counters.started++;
  tl_add (agent->ring, TL_RUN, run->account, agent->zone, agent->endpoint,
          run->request, NULL);
  start_fetch (run, &request);
  g_byte_array_set_size (run->body, 0);
}
