/* Stand-in for a model engine; docs/ENGINE.md has its protocol.  */

#include "engine.h"
#include "standin.h"
#include <ev.h>
#include <string.h>

typedef struct
{
  engine_t *engine;
  struct ev_loop *loop;
  ev_timer step;
  ev_timer report;
  unsigned reported; /* running requests as told, with a lag */
  bool refuse;
  bool break_off;
  bool lie;
} standin_t;

/* The connection to which a run's answer goes.  */
typedef struct
{
  standin_t *standin;
  engine_run_t *run;
  web_request_t *request;
  bool detached; /* goes on without its caller */
} sink_t;

static void
sink_closed (void *user)
{
  sink_t *sink = user;

  sink->request = NULL;
  if (sink->run != NULL && !sink->detached)
    engine_cancel (sink->standin->engine, sink->run, clock_now ());
  else if (sink->run != NULL)
    sink->run->sink = NULL;
  g_free (sink);
}

static sink_t *
sink_new (standin_t *standin, engine_run_t *run, web_request_t *request)
{
  sink_t *sink = g_new0 (sink_t, 1);

  sink->standin = standin;
  sink->run = run;
  sink->request = request;
  sink->detached = web_header (request, "X-Stream-Keep") != NULL;
  run->sink = sink;
  web_on_closed (request, sink_closed, sink);
  return sink;
}

/* Ends the answer of SINK; BREAK_OFF leaves it incomplete.  */
static void
sink_end (sink_t *sink, bool break_off)
{
  engine_run_t *run = sink->run;

  run->sink = NULL;
  web_on_closed (sink->request, NULL, NULL);
  if (run->stream)
    web_stream_end (sink->request, !break_off);
  else
    web_respond (sink->request, 200, "application/json", NULL, run->body->str,
                 run->body->len);
  g_free (sink);
}

static void
on_given (void *user, engine_run_t *run, const char *bytes, size_t length)
{
  standin_t *standin = user;
  sink_t *sink = run->sink;

  if (sink == NULL || run->silent)
    return;
  if (standin->break_off && run->given > 2)
    {
      run->stream = true;
      engine_cancel (standin->engine, run, clock_now ());
      run->sink = sink;
      sink_end (sink, true);
      return;
    }
  if (run->stream)
    web_stream_write (sink->request, bytes, length);
  if (run->ended != CFD_TIME_NEVER)
    sink_end (sink, false);
}

static void
on_step (struct ev_loop *loop, ev_timer *watcher, int events)
{
  standin_t *standin = watcher->data;
  double wait = engine_step (standin->engine, clock_now (), on_given, standin);

  if (engine_count_running (standin->engine) == 0)
    return;
  ev_timer_set (watcher, wait / 1000, 0);
  ev_timer_start (loop, watcher);
}

static void
on_report (struct ev_loop *loop, ev_timer *watcher, int events)
{
  standin_t *standin = watcher->data;

  standin->reported = engine_count_running (standin->engine);
}

/* The last message's content, or the prompt of a plain completion.  */
static const char *
prompt_of (JsonObject *body)
{
  if (json_object_has_member (body, "prompt"))
    return json_object_get_string_member_with_default (body, "prompt", "");
  JsonNode *node = json_object_get_member (body, "messages");
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return NULL;
  JsonArray *messages = json_node_get_array (node);
  guint length = json_array_get_length (messages);
  if (length == 0)
    return NULL;
  JsonNode *last = json_array_get_element (messages, length - 1);
  if (!JSON_NODE_HOLDS_OBJECT (last))
    return NULL;
  return json_object_get_string_member_with_default (
      json_node_get_object (last), "content", "");
}

static void
stream_begin (engine_run_t *run, web_request_t *request)
{
  g_autofree char *id = g_strconcat ("X-Stream-Id: ", run->id, NULL);
  const char *const headers[] = { "Content-Type: text/event-stream",
                                  "Cache-Control: no-store", id, NULL };

  if (run->stream)
    web_stream_begin (request, 200, headers, NULL, NULL);
}

static void
on_completion (standin_t *standin, web_request_t *request)
{
  g_autoptr (JsonObject) body = standin_parse_body (request);
  const char *prompt = body ? prompt_of (body) : NULL;
  const char *id = web_header (request, "X-Request-Id");

  if (prompt == NULL)
    {
      web_respond_problem (request, 400, "Bad request",
                           "Give messages or a prompt.", "not-run", -1);
      return;
    }
  if (standin->refuse)
    {
      web_respond_problem (request, 503, "Not taking work", "Told to refuse.",
                           "not-run", 1);
      return;
    }
  bool stream
      = json_object_get_boolean_member_with_default (body, "stream", FALSE);
  g_autofree char *made = g_uuid_string_random ();
  engine_run_t *run = engine_start (
      standin->engine, id ? id : made, prompt, stream,
      strstr (web_path (request), "/chat/") != NULL, clock_now ());
  sink_new (standin, run, request);
  stream_begin (run, request);
  if (ev_is_active (&standin->step))
    return;
  ev_timer_set (&standin->step, 0.004, 0);
  ev_timer_start (standin->loop, &standin->step);
}

/* POST /v1/streams/ID/cancel and GET /v1/streams/ID?offset=N.  */
static void
on_stream (standin_t *standin, web_request_t *request)
{
  const char *name = web_path (request) + strlen ("/v1/streams/");
  g_autofree char *id = g_strndup (name, strcspn (name, "/"));
  engine_run_t *run = engine_find_run (standin->engine, id);
  const char *text = web_query (request, "offset");
  uint64_t offset = text ? g_ascii_strtoull (text, NULL, 10) : 0;

  if (run == NULL || offset > run->body->len)
    {
      web_respond_problem (request, 404, "No such stream",
                           "Nothing to resume.", "unknown", -1);
      return;
    }
  if (g_str_has_suffix (name, "/cancel"))
    {
      sink_t *sink = run->sink;
      engine_cancel (standin->engine, run, clock_now ());
      run->sink = sink;
      if (sink != NULL && !run->silent)
        {
          run->stream = true;
          sink_end (sink, true);
        }
      web_respond (request, 200, "application/json", NULL, "{}", 2);
      return;
    }
  /* The connection of before, if any, is given up for this one.  */
  if (run->sink != NULL)
    ((sink_t *)run->sink)->run = NULL;
  run->silent = false;
  sink_t *sink = sink_new (standin, run, request);
  stream_begin (run, request);
  if (run->stream)
    web_stream_write (request, run->body->str + offset,
                      run->body->len - offset);
  if (run->ended != CFD_TIME_NEVER)
    sink_end (sink, false);
}

static void
add_number (JsonBuilder *builder, const char *name, double value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_double_value (builder, value);
}

static void
on_load (standin_t *standin, web_request_t *request)
{
  g_autoptr (JsonBuilder) reply = json_builder_new ();

  json_builder_begin_object (reply);
  add_number (reply, "running", standin->lie ? 0 : standin->reported);
  json_builder_end_object (reply);
  standin_respond (request, 200, reply);
}

static void
add_nonces (JsonBuilder *reply, GHashTable *nonces)
{
  GHashTableIter iter;
  gpointer nonce;
  gpointer times;

  json_builder_set_member_name (reply, "nonces");
  json_builder_begin_object (reply);
  g_hash_table_iter_init (&iter, nonces);
  while (g_hash_table_iter_next (&iter, &nonce, &times))
    add_number (reply, nonce, GPOINTER_TO_UINT (times));
  json_builder_end_object (reply);
}

static void
on_counters (standin_t *standin, web_request_t *request)
{
  g_autoptr (JsonBuilder) reply = json_builder_new ();
  cfd_time_t now = clock_now ();
  const engine_counters_t *counters
      = engine_get_counters (standin->engine, now);

  json_builder_begin_object (reply);
  add_number (reply, "running", engine_count_running (standin->engine));
  add_number (reply, "bearable", engine_get_capacity (standin->engine, now));
  add_number (reply, "requests", (double)counters->requests);
  add_number (reply, "overload_count", (double)counters->overload_count);
  add_number (reply, "overload_in_grace", (double)counters->overload_in_grace);
  add_number (reply, "overload_ms", counters->overload_ms);
  add_number (reply, "overload_running", counters->overload_running);
  add_number (reply, "overload_bearable", counters->overload_bearable);
  add_number (reply, "overload_cold_ms", (double)counters->overload_cold);
  add_number (reply, "busy_ms", counters->busy_ms);
  add_number (reply, "now_ms", (double)now);
  add_number (reply, "peak", counters->peak);
  add_number (reply, "last_start_ms", (double)counters->last_start);
  add_number (reply, "prompt_tokens", (double)counters->prompt_tokens);
  add_number (reply, "output_tokens", (double)counters->output_tokens);
  if (web_query (request, "nonces") != NULL)
    add_nonces (reply, engine_get_nonces (standin->engine));
  json_builder_end_object (reply);
  standin_respond (request, 200, reply);
}

static void
on_control (standin_t *standin, web_request_t *request)
{
  g_autoptr (JsonObject) order = standin_parse_body (request);

  if (order == NULL)
    {
      web_respond_problem (request, 400, "Bad request", "Give a JSON object.",
                           "not-run", -1);
      return;
    }
  standin->refuse = json_object_get_boolean_member_with_default (
      order, "refuse", standin->refuse);
  standin->break_off = json_object_get_boolean_member_with_default (
      order, "break", standin->break_off);
  standin->lie = json_object_get_boolean_member_with_default (order, "lie",
                                                              standin->lie);
  double factor
      = json_object_get_double_member_with_default (order, "slow", 0);
  if (factor > 0)
    engine_set_step_factor (standin->engine, factor);
  if (json_object_get_boolean_member_with_default (order, "cold", FALSE))
    engine_set_cold (standin->engine, clock_now ());
  if (json_object_get_boolean_member_with_default (order, "silent", FALSE))
    list_for_each (node, engine_get_runs (standin->engine))
      {
        engine_run_t *run = list_entry (node, engine_run_t, node);
        run->silent = run->silent || run->sink != NULL;
      }
  web_respond (request, 200, "application/json", NULL, "{}", 2);
}

static void
on_request (void *user, web_request_t *request)
{
  standin_t *standin = user;
  const char *path = web_path (request);

  if (strcmp (path, "/v1/chat/completions") == 0
      || strcmp (path, "/v1/completions") == 0)
    on_completion (standin, request);
  else if (g_str_has_prefix (path, "/v1/streams/"))
    on_stream (standin, request);
  else if (strcmp (path, "/v1/load") == 0)
    on_load (standin, request);
  else if (strcmp (path, "/control/counters") == 0)
    on_counters (standin, request);
  else if (strcmp (path, "/control") == 0)
    on_control (standin, request);
  else
    web_respond_problem (request, 404, "Not found", "No such path.", "not-run",
                         -1);
}

int
main (int argc, char **argv)
{
  g_autofree char *address = NULL;
  gint64 seed = 1;
  int slots = 8;
  int slots_cold = 1;
  int cold_ms = 1000;
  int lag_ms = 500;
  double step_ms = 12;
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &address, "address", "IP:PORT" },
    { "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "seed of the answers", "N" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &slots, "bearable when warm", "N" },
    { "slots-cold", 0, 0, G_OPTION_ARG_INT, &slots_cold,
      "bearable in cold start", "N" },
    { "cold-ms", 0, 0, G_OPTION_ARG_INT, &cold_ms, "length of a cold start",
      "MS" },
    { "lag-ms", 0, 0, G_OPTION_ARG_INT, &lag_ms, "lag of the load report",
      "MS" },
    { "step-ms", 0, 0, G_OPTION_ARG_DOUBLE, &step_ms,
      "token interval of one request", "MS" },
    { NULL }
  };
  g_autoptr (GError) error = NULL;
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  standin_t standin = { .loop = ev_default_loop (0) };

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error)
      || address == NULL)
    {
      g_printerr ("engine: %s\n", error ? error->message : "give --listen");
      return 2;
    }
  const engine_settings_t settings = { .seed = (uint64_t)seed,
                                       .slots = (unsigned)slots,
                                       .slots_cold = (unsigned)slots_cold,
                                       .cold_ms = (unsigned)cold_ms,
                                       .step_ms = step_ms };
  g_autoptr (engine_t) engine = engine_new (&settings, clock_now ());
  const web_limits_t limits = { .max_body_bytes = 8 << 20,
                                .connections = 8000,
                                .idle_timeout_s = 600 };
  standin.engine = engine;
  ev_timer_init (&standin.step, on_step, 0, 0);
  standin.step.data = &standin;
  ev_timer_init (&standin.report, on_report, lag_ms / 1000.0, lag_ms / 1000.0);
  standin.report.data = &standin;
  ev_timer_start (standin.loop, &standin.report);
  g_autoptr (web_server_t) server = web_server_new (
      standin.loop, address, &limits, on_request, &standin, &error);
  if (server == NULL)
    {
      g_printerr ("engine: %s\n", error->message);
      return 2;
    }
  standin_run (standin.loop);
  return 0;
}
