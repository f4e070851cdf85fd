/* Stand-in for a plain service: counts the executions of each request by its
   nonce (header X-Nonce or a "nonce" member or query).

     any method, any path         200 {"nonce", "path", "executions"}
     PUT  /control                {"refuse"|"break": bool, "delay_ms": n}
     GET  /control/counters       {"requests", "running", "peak", "busy_ms",
                                   "overload_count", "last_start_ms", "nonces"}

   "refuse" answers 503 without execution; "break" executes and then breaks
   the connection off, so that the caller can't know.  */

#include "base/list.h"
#include "standin.h"
#include <ev.h>
#include <string.h>

typedef struct
{
  struct ev_loop *loop;
  GHashTable *nonces;
  unsigned slots;
  double delay_ms;
  bool refuse;
  bool break_off;
  unsigned running;
  unsigned peak;
  uint64_t requests;
  uint64_t overload_count;
  double busy_ms;
  cfd_time_t accounted;
  cfd_time_t last_start;
} standin_t;

typedef struct
{
  standin_t *standin;
  web_request_t *request; /* NULL when the caller went away */
  char *nonce;
  char *path;
  unsigned executions;
  ev_timer due;
} call_t;

static void
account_time (standin_t *standin, cfd_time_t now)
{
  standin->busy_ms += (double)(now - standin->accounted) * standin->running;
  standin->accounted = now;
}

static void
call_answer (call_t *call)
{
  g_autoptr (JsonBuilder) reply = json_builder_new ();

  json_builder_begin_object (reply);
  json_builder_set_member_name (reply, "nonce");
  json_builder_add_string_value (reply, call->nonce);
  json_builder_set_member_name (reply, "path");
  json_builder_add_string_value (reply, call->path);
  json_builder_set_member_name (reply, "executions");
  json_builder_add_int_value (reply, call->executions);
  json_builder_end_object (reply);
  standin_respond (call->request, 200, reply);
}

static void
on_due (struct ev_loop *loop, ev_timer *watcher, int events)
{
  call_t *call = watcher->data;
  standin_t *standin = call->standin;

  account_time (standin, clock_now ());
  standin->running--;
  if (call->request != NULL)
    {
      web_on_closed (call->request, NULL, NULL);
      if (standin->break_off)
        {
          web_stream_begin (call->request, 200, NULL, NULL, NULL);
          web_stream_end (call->request, false);
        }
      else
        call_answer (call);
    }
  g_free (call->nonce);
  g_free (call->path);
  g_free (call);
}

static void
on_closed (void *user)
{
  call_t *call = user;

  call->request = NULL;
}

static char *
nonce_of (const web_request_t *request)
{
  const char *given = web_header (request, "X-Nonce");

  if (given == NULL)
    given = web_query (request, "nonce");
  if (given != NULL)
    return g_strdup (given);
  g_autoptr (JsonObject) body = standin_parse_body (request);
  if (body == NULL)
    return g_strdup ("none");
  return g_strdup (
      json_object_get_string_member_with_default (body, "nonce", "none"));
}

static void
on_call (standin_t *standin, web_request_t *request)
{
  cfd_time_t now = clock_now ();

  if (standin->refuse)
    {
      web_respond_problem (request, 503, "Not taking work", "Told to refuse.",
                           "not-run", 1);
      return;
    }
  call_t *call = g_new0 (call_t, 1);
  call->standin = standin;
  call->request = request;
  call->nonce = nonce_of (request);
  call->path = g_strdup (web_path (request));
  call->executions
      = GPOINTER_TO_UINT (g_hash_table_lookup (standin->nonces, call->nonce))
        + 1;
  g_hash_table_insert (standin->nonces, g_strdup (call->nonce),
                       GUINT_TO_POINTER (call->executions));
  account_time (standin, now);
  standin->requests++;
  standin->running++;
  standin->last_start = now;
  standin->peak = MAX (standin->peak, standin->running);
  if (standin->running > standin->slots)
    standin->overload_count++;
  web_on_closed (request, on_closed, call);
  ev_timer_init (&call->due, on_due, standin->delay_ms / 1000, 0);
  call->due.data = call;
  ev_timer_start (standin->loop, &call->due);
}

static void
add_number (JsonBuilder *builder, const char *name, double value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_double_value (builder, value);
}

static void
on_counters (standin_t *standin, web_request_t *request)
{
  g_autoptr (JsonBuilder) reply = json_builder_new ();
  GHashTableIter iter;
  gpointer nonce;
  gpointer times;

  account_time (standin, clock_now ());
  json_builder_begin_object (reply);
  add_number (reply, "requests", (double)standin->requests);
  add_number (reply, "running", standin->running);
  add_number (reply, "peak", standin->peak);
  add_number (reply, "busy_ms", standin->busy_ms);
  add_number (reply, "now_ms", (double)standin->accounted);
  add_number (reply, "overload_count", (double)standin->overload_count);
  add_number (reply, "last_start_ms", (double)standin->last_start);
  json_builder_set_member_name (reply, "nonces");
  json_builder_begin_object (reply);
  g_hash_table_iter_init (&iter, standin->nonces);
  while (g_hash_table_iter_next (&iter, &nonce, &times))
    add_number (reply, nonce, GPOINTER_TO_UINT (times));
  json_builder_end_object (reply);
  json_builder_end_object (reply);
  standin_respond (request, 200, reply);
}

static void
on_control (standin_t *standin, web_request_t *request)
{
  g_autoptr (JsonObject) order = standin_parse_body (request);

  if (order != NULL)
    {
      standin->refuse = json_object_get_boolean_member_with_default (
          order, "refuse", standin->refuse);
      standin->break_off = json_object_get_boolean_member_with_default (
          order, "break", standin->break_off);
      standin->delay_ms = json_object_get_double_member_with_default (
          order, "delay_ms", standin->delay_ms);
    }
  web_respond (request, order ? 200 : 400, "application/json", NULL, "{}", 2);
}

static void
on_request (void *user, web_request_t *request)
{
  standin_t *standin = user;
  const char *path = web_path (request);

  if (strcmp (path, "/control/counters") == 0)
    on_counters (standin, request);
  else if (strcmp (path, "/control") == 0)
    on_control (standin, request);
  else
    on_call (standin, request);
}

int
main (int argc, char **argv)
{
  g_autofree char *address = NULL;
  int slots = 4;
  standin_t standin = { .loop = ev_default_loop (0), .delay_ms = 30 };
  const GOptionEntry entries[]
      = { { "listen", 0, 0, G_OPTION_ARG_STRING, &address, "address",
            "IP:PORT" },
          { "slots", 0, 0, G_OPTION_ARG_INT, &slots, "bearable at once", "N" },
          { "delay-ms", 0, 0, G_OPTION_ARG_DOUBLE, &standin.delay_ms,
            "time of an execution", "MS" },
          { NULL } };
  g_autoptr (GError) error = NULL;
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error)
      || address == NULL)
    {
      g_printerr ("service: %s\n", error ? error->message : "give --listen");
      return 2;
    }
  g_autoptr (GHashTable) nonces
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  const web_limits_t limits = { .max_body_bytes = 8 << 20,
                                .connections = 1000,
                                .idle_timeout_s = 600 };
  standin.nonces = nonces;
  standin.slots = (unsigned)slots;
  standin.accounted = clock_now ();
  g_autoptr (web_server_t) server = web_server_new (
      standin.loop, address, &limits, on_request, &standin, &error);
  if (server == NULL)
    {
      g_printerr ("service: %s\n", error->message);
      return 2;
    }
  standin_run (standin.loop);
  return 0;
}
