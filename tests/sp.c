#include "sp-control.h"
#include "sp-list.h"
#include "base/list.h"
#include "http/web.h"

#include <string.h>

#define MAX_OBJECT_BYTES ((size_t)1024 * 1024)
#define MAX_BODY_BYTES ((size_t)64 * 1024 * 1024)
#define MAX_CONNECTIONS 4096
#define IDLE_TIMEOUT_S 120
#define OBJECTS_PATH "/v1/objects"

static const char *const call_names[]
    = { "get", "list", "put", "delete", "watch", "instances" };

typedef enum
{
  CALL_GET,
  CALL_LIST,
  CALL_PUT,
  CALL_DELETE,
  CALL_WATCH,
  CALL_INSTANCES,
  CALL_COUNT
} call_kind_t;

struct sp
{
  struct ev_loop *loop;
  sp_model_t *model;
  sp_mode_t mode;
  unsigned delay_ms;
  unsigned lag_ms;
  uint64_t calls[CALL_COUNT];
  GPtrArray *listeners; /* of listener_t */
  sp_list_t *instances;
  list_node_t pending_responses; /* of pending_response_t */
};

typedef struct
{
  sp_t *sp;
  char *zone;
  web_server_t *server;
} listener_t;

/* A waiting watch, or a delayed response.  */
typedef struct
{
  list_node_t node;
  sp_t *sp;
  web_request_t *request;
  ev_timer timer;
  bool is_watch;
  uint64_t after;
  char *kinds;
  unsigned status;
  char *text;
} pending_response_t;

/* ---- responses ---- */

static void
respond (web_request_t *request, unsigned status, const char *text)
{
  web_respond (request, status, "application/json", NULL, text, strlen (text));
}

static void
abort_response (web_request_t *request)
{
  web_stream_begin (request, 500, NULL, NULL, NULL);
  web_stream_end (request, false);
}

static void
pending_free (pending_response_t *pending)
{
  ev_timer_stop (pending->sp->loop, &pending->timer);
  list_remove (&pending->node);
  g_free (pending->kinds);
  g_free (pending->text);
  g_free (pending);
}

static void
on_closed (void *user)
{
  pending_free (user);
}

static pending_response_t *
defer_response (sp_t *sp, web_request_t *request, unsigned wait_ms,
                void (*on_timer) (struct ev_loop *, ev_timer *, int))
{
  pending_response_t *pending = g_new0 (pending_response_t, 1);

  pending->sp = sp;
  pending->request = request;
  list_append (&sp->pending_responses, &pending->node);
  ev_timer_init (&pending->timer, on_timer, (double)wait_ms / 1000.0, 0.0);
  pending->timer.data = pending;
  ev_now_update (sp->loop);
  ev_timer_start (sp->loop, &pending->timer);
  web_set_on_closed (request, on_closed, pending);
  return pending;
}

static void
on_delay_over (struct ev_loop *loop, ev_timer *timer, int revents)
{
  pending_response_t *pending = timer->data;

  respond (pending->request, pending->status, pending->text);
  pending_free (pending);
}

/* Responds with TEXT, delayed if the fault in force is SP_SLOW; frees
   TEXT.  */
static void
respond_with_fault (sp_t *sp, web_request_t *request, unsigned status,
                    char *text)
{
  pending_response_t *pending;

  if (sp->mode != SP_SLOW)
    {
      respond (request, status, text);
      g_free (text);
      return;
    }
  pending = defer_response (sp, request, sp->delay_ms, on_delay_over);
  pending->status = status;
  pending->text = text;
}

static char *
format_error (const char *reason)
{
  return g_strdup_printf ("{\"error\":\"%s\"}", reason);
}

/* ---- objects ---- */

/* Checks the condition headers of a write against the latest state.  */
static bool
matches_condition (web_request_t *request, const sp_object_t *object)
{
  const char *match = web_get_header (request, "If-Match");

  if (match == NULL)
    return object == NULL;
  return object != NULL && strcmp (match, object->version) == 0;
}

static void
finish_write (sp_t *sp, web_request_t *request, const sp_object_t *object)
{
  if (sp->mode == SP_DROP_RESPONSE)
    abort_response (request);
  else
    respond_with_fault (sp, request, 200, g_strdup (object->text));
  sp_notify_watches (sp);
}

static JsonNode *
parse_spec (web_request_t *request)
{
  size_t length;
  const char *body = web_get_body (request, &length);
  g_autoptr (JsonNode) root = json_from_string (body, NULL);

  if (length > MAX_OBJECT_BYTES || root == NULL
      || !JSON_NODE_HOLDS_OBJECT (root))
    return NULL;
  return json_object_dup_member (json_node_get_object (root), "spec");
}

static void
write_object (sp_t *sp, web_request_t *request, const char *kind,
              const char *name, bool is_delete)
{
  const sp_object_t *object = sp_model_get_latest (sp->model, kind, name);
  g_autoptr (JsonNode) spec = is_delete ? NULL : parse_spec (request);

  if (!is_delete && spec == NULL)
    respond_with_fault (sp, request, 400,
                        format_error ("no spec, or over 1 MiB"));
  else if (is_delete && object == NULL)
    respond_with_fault (sp, request, 404, format_error ("not there"));
  else if (!matches_condition (request, object))
    respond_with_fault (sp, request, 409,
                        format_error ("another version is in force"));
  else
    finish_write (sp, request,
                  sp_model_write (sp->model, kind, name, spec, clock_now ()));
}

static void
handle_object (sp_t *sp, web_request_t *request, const char *kind,
               const char *name)
{
  const char *method = web_get_method (request);
  const sp_object_t *object;

  if (strcmp (method, "GET") != 0)
    {
      bool is_delete = strcmp (method, "DELETE") == 0;

      sp->calls[is_delete ? CALL_DELETE : CALL_PUT]++;
      write_object (sp, request, kind, name, is_delete);
      return;
    }
  sp->calls[CALL_GET]++;
  object = sp_model_get (sp->model, kind, name);
  if (object == NULL)
    respond_with_fault (sp, request, 404, format_error ("not there"));
  else
    respond_with_fault (sp, request, 200, g_strdup (object->text));
}

static uint64_t
parse_number_query (const web_request_t *request, const char *name)
{
  const char *text = web_get_query (request, name);

  return text == NULL ? 0 : g_ascii_strtoull (text, NULL, 10);
}

static void
handle_list (sp_t *sp, web_request_t *request)
{
  const char *kinds = web_get_query (request, "kinds");
  const char *after = web_get_query (request, "after");
  uint64_t limit = parse_number_query (request, "limit");

  sp->calls[CALL_LIST]++;
  if (sp_model_get_revision (sp->model, kinds)
      < parse_number_query (request, "revision_least"))
    respond_with_fault (sp, request, 503, format_error ("not caught up yet"));
  else if (limit > 0)
    respond_with_fault (sp, request, 200,
                        sp_model_list_page (sp->model, kinds,
                                            after == NULL ? "" : after,
                                            (unsigned)limit));
  else
    respond_with_fault (sp, request, 200, sp_model_list (sp->model, kinds));
}

/* ---- watches ---- */

static void
respond_to_watch (sp_t *sp, web_request_t *request, uint64_t after,
                  const char *kinds)
{
  char *text = sp_model_list_changes (sp->model, after, kinds);

  if (text != NULL)
    respond_with_fault (sp, request, 200, text);
  else
    respond_with_fault (sp, request, 410, format_error ("too far back"));
}

static void
complete_watch (pending_response_t *pending)
{
  respond_to_watch (pending->sp, pending->request, pending->after,
                    pending->kinds);
  pending_free (pending);
}

static void
on_watch_timeout (struct ev_loop *loop, ev_timer *timer, int revents)
{
  complete_watch (timer->data);
}

static void
handle_watch (sp_t *sp, web_request_t *request)
{
  const char *kinds = web_get_query (request, "kinds");
  uint64_t after = parse_number_query (request, "after");
  uint64_t wait_ms = MIN (parse_number_query (request, "wait_ms"), 60000u);
  g_autofree char *changes = sp_model_list_changes (sp->model, after, kinds);
  pending_response_t *pending;

  sp->calls[CALL_WATCH]++;
  if (wait_ms == 0 || changes == NULL
      || sp_model_get_revision (sp->model, kinds) > after)
    {
      respond_to_watch (sp, request, after, kinds);
      return;
    }
  pending = defer_response (sp, request, (unsigned)wait_ms, on_watch_timeout);
  pending->is_watch = true;
  pending->after = after;
  pending->kinds = g_strdup (kinds);
}

void
sp_notify_watches (sp_t *sp)
{
  list_for_each_safe (node, &sp->pending_responses)
    {
      pending_response_t *pending
          = list_entry (node, pending_response_t, node);

      if (pending->is_watch
          && sp_model_get_revision (sp->model, pending->kinds)
                 > pending->after)
        complete_watch (pending);
    }
}

static void
handle_instances (sp_t *sp, web_request_t *request, const char *zone)
{
  sp->calls[CALL_INSTANCES]++;
  respond_with_fault (
      sp, request, 200,
      sp_list_format (sp->instances, zone, sp->lag_ms, clock_now ()));
}

bool
sp_set_instances (sp_t *sp, const char *list)
{
  return sp_list_set (sp->instances, list, clock_now ());
}

/* ---- control ---- */

void
sp_set_fault (sp_t *sp, sp_mode_t mode, unsigned delay_ms, unsigned lag_ms)
{
  sp->mode = mode;
  sp->delay_ms = delay_ms;
  sp->lag_ms = lag_ms;
  if (mode == SP_STALE_READS)
    sp_model_freeze (sp->model, clock_now () - (cfd_time_t)lag_ms);
  else
    sp_model_unfreeze (sp->model);
  if (mode != SP_DOWN)
    return;
  list_for_each_safe (node, &sp->pending_responses)
    {
      pending_response_t *pending
          = list_entry (node, pending_response_t, node);

      abort_response (pending->request);
      pending_free (pending);
    }
}

uint64_t
sp_count_calls (const sp_t *sp, const char *kind)
{
  uint64_t total = 0;

  for (int i = 0; i < CALL_COUNT; i++)
    {
      if (strcmp (kind, call_names[i]) == 0)
        return sp->calls[i];
      total += sp->calls[i];
    }
  return total;
}

/* ---- serving ---- */

static void
handle_request (void *user, web_request_t *request)
{
  listener_t *listener = user;
  sp_t *sp = listener->sp;
  const char *path = web_get_path (request);
  g_autofree char *kind = NULL;
  g_autofree char *name = NULL;

  if (g_str_has_prefix (path, "/control/"))
    sp_handle_control (sp, request);
  else if (sp->mode == SP_DOWN)
    abort_response (request);
  else if (strcmp (path, OBJECTS_PATH) == 0)
    handle_list (sp, request);
  else if (strcmp (path, "/v1/watch") == 0)
    handle_watch (sp, request);
  else if (strcmp (path, "/v1/instances") == 0)
    handle_instances (sp, request, listener->zone);
  else if (sp_parse_object_path (path, OBJECTS_PATH, &kind, &name))
    handle_object (sp, request, kind, name);
  else
    respond (request, 404, "{\"error\":\"no such path\"}");
}

static void
listener_free (gpointer pointer)
{
  listener_t *listener = pointer;

  web_server_free (listener->server);
  g_free (listener->zone);
  g_free (listener);
}

sp_t *
sp_new (struct ev_loop *loop, unsigned history)
{
  sp_t *sp = g_new0 (sp_t, 1);

  sp->loop = loop;
  sp->model = sp_model_new (history);
  sp->listeners = g_ptr_array_new_with_free_func (listener_free);
  sp->instances = sp_list_new ();
  list_init (&sp->pending_responses);
  return sp;
}

void
sp_free (sp_t *sp)
{
  if (sp == NULL)
    return;
  g_ptr_array_unref (sp->listeners);
  list_for_each_safe (node, &sp->pending_responses)
    pending_free (list_entry (node, pending_response_t, node));
  sp_list_free (sp->instances);
  sp_model_free (sp->model);
  g_free (sp);
}

bool
sp_listen (sp_t *sp, const char *address, const char *zone, GError **error)
{
  web_limits_t limits = { MAX_BODY_BYTES, MAX_CONNECTIONS, IDLE_TIMEOUT_S };
  listener_t *listener = g_new0 (listener_t, 1);

  listener->sp = sp;
  listener->zone = g_strdup (zone);
  listener->server = web_server_new (sp->loop, address, &limits,
                                     handle_request, listener, error);
  if (listener->server == NULL)
    {
      g_free (listener->zone);
      g_free (listener);
      return false;
    }
  g_ptr_array_add (sp->listeners, listener);
  return true;
}

sp_model_t *
sp_get_model (sp_t *sp)
{
  return sp->model;
}
