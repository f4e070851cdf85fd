/* One request at the endpoint.  */

#include "agent/agent-private.h"
#include "base/log.h"
#include <string.h>

/* Fewer tokens tell too little of the interval between them.  */
#define JUDGED_TOKENS 8u

static void begin_fetch (run_t *run, const fetch_request_t *request);

/* ---- making and freeing ---- */

/* Connection headers, and those that are for the router alone.  A caller's
   key must not reach the endpoint.  */
static bool
is_for_endpoint (const char *header)
{
  static const char *const ours[]
      = { "host:",         "content-length:", "transfer-encoding:",
          "connection:",   "keep-alive:",     "expect:",
          "te:",           "upgrade:",        "authorization:",
          "trailer:",      "x-request-id:",   "accept-encoding:",
          "x-stream-keep:" };

  for (size_t i = 0; i < G_N_ELEMENTS (ours); i++)
    if (g_ascii_strncasecmp (header, ours[i], strlen (ours[i])) == 0)
      return false;
  return true;
}

static bool
wants_stream (const msg_bytes_t *body)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonNode *root;
  JsonNode *node;

  if (body->length == 0
      || !json_parser_load_from_data (parser, (const char *)body->data,
                                      (gssize)body->length, NULL))
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
    if (is_for_endpoint (assign->headers[i]))
      g_ptr_array_add (run->headers, g_strdup (assign->headers[i]));
  g_ptr_array_add (run->headers,
                   g_strdup_printf ("X-Request-Id: %s", run->request));
  /* So that the engine keeps a stream whose connection broke.  */
  if (agent->is_model)
    g_ptr_array_add (run->headers, g_strdup ("X-Stream-Keep: 1"));
  g_ptr_array_add (run->headers, NULL);
  run->body = g_byte_array_new ();
  g_byte_array_append (run->body, assign->body.data,
                       (guint)assign->body.length);
  run->idempotent = assign->idempotent;
  run->is_model = agent->is_model;
  run->attached = true;
  /* Held, so that a link that went silent is seen from this side too.  */
  peer_hub_hold (agent->hub, run->router);
  stream_init (&run->stream);
  sse_init (&run->sse, agent->is_model && wants_stream (&assign->body));
  return run;
}

void
run_free (gpointer data)
{
  run_t *run = data;

  if (run->fetch != NULL)
    fetch_cancel (run->fetch);
  local_drop (run);
  peer_hub_release (run->agent->hub, run->router);
  if (run->holds_slot)
    run->agent->running--;
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

/* ---- the end ---- */

/* Gateway statuses say that the endpoint can't serve; other errors are answers
   to what the caller asked, and one account's faulty requests must not eject
   the endpoint for all.  */
static bool
is_endpoint_fault (unsigned status)
{
  return status >= 502 && status <= 504;
}

/* Milliseconds between the answer's tokens; 0 when they can't be told.  For an
   answer in one piece the whole time stands for it, which is too much by the
   prompt's part: good when it is still short, and not judged otherwise unless
   there were many tokens.  */
static double
token_interval (const run_t *run, cfd_time_t now)
{
  unsigned tokens = sse_output_tokens (&run->sse);
  double most;

  if (!run->is_model || run->untimed || tokens == 0)
    return 0;
  if (run->sse.tokens >= 2)
    return sse_interval (&run->sse);
  most = (double)(now - run->started) / tokens;
  if (tokens >= JUDGED_TOKENS
      || most <= run->agent->lim.settings.token_interval_ms)
    return most;
  return 0;
}

static double
first_token (const run_t *run)
{
  if (run->untimed || run->sse.first == 0)
    return 0;
  return (double)(run->sse.first - run->started);
}

/* Short answers end between two ticks.  */
static void
prove (run_t *run, cfd_time_t now)
{
  lim_t *lim = &run->agent->lim;

  if (run->sse.streamed && !run->untimed)
    lim_confirm_warm (lim, sse_newest_gap (&run->sse), run->sse.last, now);
  else
    lim_confirm_warm_unstreamed (lim, token_interval (run, now),
                                 sse_output_tokens (&run->sse), now);
}

static void
tell_limit (run_t *run, outcome_t outcome, cfd_time_t now)
{
  lim_t *lim = &run->agent->lim;

  /* That says nothing of the endpoint.  */
  if (run->withheld)
    return;
  switch (outcome)
    {
    case OUTCOME_COMPLETE:
      if (is_endpoint_fault (run->stream.status))
        lim_record_failure (lim, now);
      else
        {
          lim_record_completion (lim, first_token (run),
                                 token_interval (run, now), run->started, now);
          prove (run, now);
        }
      return;
    case OUTCOME_BROKEN:
      lim_record_failure (lim, now);
      return;
    case OUTCOME_UNREACHED:
      /* Nobody listens: it was stopped, and will come back cold.  */
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
  lim_state_t was = agent->lim.state;

  if (run->stream.ended)
    return;
  sse_finish (&run->sse);
  run->stream.prompt_tokens = run->sse.prompt_tokens;
  run->stream.output_tokens = sse_output_tokens (&run->sse);
  stream_end (&run->stream, outcome, detail);
  run->ended = now;
  run->last_ack = now;
  if (run->holds_slot)
    {
      run->holds_slot = false;
      agent->running--;
      tell_limit (run, outcome, now);
    }
  count_end (&agent->counters, run, outcome);
  tl_add (agent->ring, TL_END, run->account, agent->zone, agent->endpoint,
          run->request, detail);
  if ((was == LIM_EJECTED) != (agent->lim.state == LIM_EJECTED))
    tl_add (agent->ring, TL_EJECT, NULL, agent->zone, agent->endpoint, NULL,
            lim_state_name (agent->lim.state));
  answer_flush (run, now);
  agent_pump (agent, now);
}

/* ---- the endpoint's answer ---- */

static void
on_head (void *user, unsigned status, const char *const *headers)
{
  run_t *run = user;
  cfd_time_t now = agent_now (run->agent);

  run->last_byte = now;
  run->resume_bad = run->attached_again && status / 100 != 2;
  /* Another endpoint may do better: the router can try it, if it never saw
     this answer.  What must not repeat gets the endpoint's own word.  */
  run->turned_away = run->idempotent && is_endpoint_fault (status);
  if (run->resume_bad || run->turned_away)
    return;
  stream_head (&run->stream, status, headers);
  answer_flush (run, now);
}

static void
on_data (void *user, const void *bytes, size_t length)
{
  run_t *run = user;
  cfd_time_t now = agent_now (run->agent);

  run->last_byte = now;
  if (run->resume_bad || run->turned_away)
    return;
  run->resumed = false;
  sse_feed (&run->sse, bytes, length, now);
  stream_append (&run->stream, bytes, length, run->sse.tokens);
  if (run->discarding)
    (void)stream_ack (&run->stream, stream_total (&run->stream));
  answer_flush (run, now);
  if (!stream_is_full (&run->stream) || run->paused || run->fetch == NULL)
    return;
  run->paused = true;
  run->untimed = true;
  fetch_pause (run->fetch, true);
}

/* A stream ends with its mark, an answer in one piece is one JSON object.  An
   engine may end the answer in order all the same when it gave the request up;
   the caller would take a part, or nothing, for the whole.  */
static bool
is_whole (run_t *run)
{
  if (!run->is_model || run->stream.status != 200)
    return true;
  sse_finish (&run->sse);
  return run->sse.done;
}

void
run_attach_again (run_t *run)
{
  static const char *const headers[] = { "X-Stream-Keep: 1", NULL };
  g_autofree char *url = g_strdup_printf (
      "%s/v1/streams/%s?offset=%" G_GUINT64_FORMAT, run->agent->url,
      run->request, stream_total (&run->stream));
  fetch_request_t request
      = { .method = "GET", .url = url, .headers = headers };

  run->attached_again = true;
  run->untimed = true;
  run->agent->counters.resumed_engine++;
  begin_fetch (run, &request);
}

/* Asks the engine for the rest of an answer that broke off; once, until more
   of it comes.  Only a stream has a rest.  */
static bool
try_engine_resume (run_t *run)
{
  bool has_rest = run->sse.streamed || stream_total (&run->stream) == 0;

  if (!run->is_model || !has_rest || run->resumed || run->cancelling)
    return false;
  run->resumed = true;
  run_attach_again (run);
  return true;
}

void
run_broken (run_t *run, const char *detail, cfd_time_t now)
{
  cfd_agent_t *agent = run->agent;

  if (run->resume_bad)
    {
      /* The engine lost the stream: it was restarted and is cold again.  */
      agent->counters.engine_resume_failed++;
      lim_reset_to_cold (&agent->lim, now);
      run_finish (run, OUTCOME_BROKEN, "the engine no longer knows the stream",
                  now);
      return;
    }
  if (try_engine_resume (run))
    return;
  if (!run->is_model || run->cancelling)
    {
      run_finish (run, OUTCOME_BROKEN, detail, now);
      return;
    }
  /* The engine may go on with it, unread: its place in the batch is free only
     when the engine was told to stop.  */
  run->gave_up = true;
  run_cancel_at_engine (run);
}

static void
on_done (void *user, fetch_result_t result, unsigned status, const char *body,
         size_t length, const char *detail)
{
  run_t *run = user;
  cfd_time_t now = agent_now (run->agent);

  run->fetch = NULL;
  switch (result)
    {
    case FETCH_COMPLETE:
      if (run->turned_away && !run->attached_again)
        run_finish (run, OUTCOME_BROKEN, "the endpoint can't serve", now);
      else if (run->resume_bad || !is_whole (run))
        run_broken (run, "the answer ended early", now);
      else
        run_finish (run, OUTCOME_COMPLETE, "complete", now);
      return;
    case FETCH_CONNECT_FAILED:
      if (run->attached_again)
        run_finish (run, OUTCOME_BROKEN, detail, now);
      else
        run_finish (run, OUTCOME_UNREACHED, detail, now);
      return;
    case FETCH_SEND_DENIED:
      run->withheld = true;
      run_finish (run, OUTCOME_UNREACHED,
                  "stopped before it was sent, and in doubt since", now);
      return;
    case FETCH_INCOMPLETE:
    case FETCH_TIMEOUT:
      run_broken (run, detail, now);
      return;
    }
}

static void
begin_fetch (run_t *run, const fetch_request_t *request)
{
  fetch_request_t whole = *request;

  whole.head = on_head;
  whole.data = on_data;
  whole.done = on_done;
  whole.user = run;
  run->last_byte = agent_now (run->agent);
  run->paused = false;
  run->fetch = fetch_start (run->agent->pool, &whole);
}

/* A process that was stopped between starting a request and sending it may
   have slept through the record that takes its endpoint out of service.  The
   clock is read here so that the stop is seen in the same call that sends.  */
static bool
may_send (void *user)
{
  run_t *run = user;
  cfd_agent_t *agent = run->agent;

  (void)agent_now (agent);
  return !agent->unconfirmed && !config_is_withdrawn (agent);
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

  INVARIANT ("start-in-service", !config_is_withdrawn (agent), run->request);
  agent->running++;
  run->holds_slot = true;
  run->started = now;
  agent->counters.started++;
  tl_add (agent->ring, TL_RUN, run->account, agent->zone, agent->endpoint,
          run->request, NULL);
  begin_fetch (run, &request);
  g_byte_array_set_size (run->body, 0);
}
