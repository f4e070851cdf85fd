#include "sp-control.h"
#include "sp-list.h"
#include "base/list.h"
#include "http/web.h"

#include <string.h>

#define OBJECT_MAX ((size_t)1024 * 1024)
#define BODY_MAX ((size_t)64 * 1024 * 1024)
#define CONNECTIONS 4096
#define IDLE_S 120
#define OBJECTS "/v1/objects"

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
  list_node_t waiting; /* of waiter_t */
};

typedef struct
{
  sp_t *sp;
  char *zone;
  web_server_t *server;
} listener_t;

/* A watch that waits, or an answer that is held back.  */
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
} waiter_t;

/* ---- answers ---- */

static void
respond (web_request_t *request, unsigned status, const char *text)
{
  web_respond (request, status, "application/json", NULL, text, strlen (text));
}

static void
break_off (web_request_t *request)
{
  web_stream_begin (request, 500, NULL, NULL, NULL);
  web_stream_end (request, false);
}

static void
waiter_free (waiter_t *waiter)
{
  ev_timer_stop (waiter->sp->loop, &waiter->timer);
  list_remove (&waiter->node);
  g_free (waiter->kinds);
  g_free (waiter->text);
  g_free (waiter);
}

static void
on_closed (void *user)
{
  waiter_free (user);
}

static waiter_t *
wait_for (sp_t *sp, web_request_t *request, unsigned wait_ms,
          void (*due) (struct ev_loop *, ev_timer *, int))
{
  waiter_t *waiter = g_new0 (waiter_t, 1);

  waiter->sp = sp;
  waiter->request = request;
  list_append (&sp->waiting, &waiter->node);
  ev_timer_init (&waiter->timer, due, (double)wait_ms / 1000.0, 0.0);
  waiter->timer.data = waiter;
  ev_now_update (sp->loop);
  ev_timer_start (sp->loop, &waiter->timer);
  web_on_closed (request, on_closed, waiter);
  return waiter;
}

static void
on_delay (struct ev_loop *loop, ev_timer *timer, int revents)
{
  waiter_t *waiter = timer->data;

  respond (waiter->request, waiter->status, waiter->text);
  waiter_free (waiter);
}

/* Answers a call as the fault in force wants it; frees TEXT.  */
static void
answer (sp_t *sp, web_request_t *request, unsigned status, char *text)
{
  waiter_t *waiter;

  if (sp->mode != SP_SLOW)
    {
      respond (request, status, text);
      g_free (text);
      return;
    }
  waiter = wait_for (sp, request, sp->delay_ms, on_delay);
  waiter->status = status;
  waiter->text = text;
}

static char *
error_text (const char *reason)
{
  return g_strdup_printf ("{\"error\":\"%s\"}", reason);
}

/* ---- objects ---- */

/* Whether the conditions of a write hold for the newest state.  */
static bool
condition_holds (web_request_t *request, const sp_object_t *object)
{
  const char *match = web_header (request, "If-Match");

  if (match == NULL)
    return object == NULL;
  return object != NULL && strcmp (match, object->version) == 0;
}

static void
finish_write (sp_t *sp, web_request_t *request, const sp_object_t *object)
{
  if (sp->mode == SP_DROP_RESPONSE)
    break_off (request);
  else
    answer (sp, request, 200, g_strdup (object->text));
  sp_notify_watches (sp);
}

static JsonNode *
spec_of (web_request_t *request)
{
  size_t length;
  const char *body = web_body (request, &length);
  g_autoptr (JsonNode) root = json_from_string (body, NULL);

  if (length > OBJECT_MAX || root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return NULL;
  return json_object_dup_member (json_node_get_object (root), "spec");
}

static void
write_object (sp_t *sp, web_request_t *request, const char *kind,
              const char *name, bool is_delete)
{
  const sp_object_t *object = sp_model_get_latest (sp->model, kind, name);
  g_autoptr (JsonNode) spec = is_delete ? NULL : spec_of (request);

  if (!is_delete && spec == NULL)
    answer (sp, request, 400, error_text ("no spec, or over 1 MiB"));
  else if (is_delete && object == NULL)
    answer (sp, request, 404, error_text ("not there"));
  else if (!condition_holds (request, object))
    answer (sp, request, 409, error_text ("another version is in force"));
  else
    finish_write (sp, request,
                  sp_model_write (sp->model, kind, name, spec, clock_now ()));
}

static void
one_object (sp_t *sp, web_request_t *request, const char *kind,
            const char *name)
{
  const char *method = web_method (request);
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
    answer (sp, request, 404, error_text ("not there"));
  else
    answer (sp, request, 200, g_strdup (object->text));
}

static uint64_t
number_query (const web_request_t *request, const char *name)
{
  const char *text = web_query (request, name);

  return text == NULL ? 0 : g_ascii_strtoull (text, NULL, 10);
}

static void
list_objects (sp_t *sp, web_request_t *request)
{
  const char *kinds = web_query (request, "kinds");
  const char *after = web_query (request, "after");
  uint64_t limit = number_query (request, "limit");

  sp->calls[CALL_LIST]++;
  if (sp_model_get_revision (sp->model, kinds)
      < number_query (request, "revision_least"))
    answer (sp, request, 503, error_text ("not caught up yet"));
  else if (limit > 0)
    answer (sp, request, 200,
            sp_model_list_page (sp->model, kinds, after == NULL ? "" : after,
                                (unsigned)limit));
  else
    answer (sp, request, 200, sp_model_list (sp->model, kinds));
}

/* ---- watches ---- */

static void
answer_watch (sp_t *sp, web_request_t *request, uint64_t after,
              const char *kinds)
{
  char *text = sp_model_list_changes (sp->model, after, kinds);

  if (text != NULL)
    answer (sp, request, 200, text);
  else
    answer (sp, request, 410, error_text ("too far back"));
}

static void
end_watch (waiter_t *waiter)
{
  answer_watch (waiter->sp, waiter->request, waiter->after, waiter->kinds);
  waiter_free (waiter);
}

static void
on_watch_end (struct ev_loop *loop, ev_timer *timer, int revents)
{
  end_watch (timer->data);
}

static void
watch (sp_t *sp, web_request_t *request)
{
  const char *kinds = web_query (request, "kinds");
  uint64_t after = number_query (request, "after");
  uint64_t wait_ms = MIN (number_query (request, "wait_ms"), 60000u);
  g_autofree char *changes = sp_model_list_changes (sp->model, after, kinds);
  waiter_t *waiter;

  sp->calls[CALL_WATCH]++;
  if (wait_ms == 0 || changes == NULL
      || sp_model_get_revision (sp->model, kinds) > after)
    {
      answer_watch (sp, request, after, kinds);
      return;
    }
  waiter = wait_for (sp, request, (unsigned)wait_ms, on_watch_end);
  waiter->is_watch = true;
  waiter->after = after;
  waiter->kinds = g_strdup (kinds);
}

void
sp_notify_watches (sp_t *sp)
{
  list_for_each_safe (node, &sp->waiting)
    {
      waiter_t *waiter = list_entry (node, waiter_t, node);

      if (waiter->is_watch
          && sp_model_get_revision (sp->model, waiter->kinds) > waiter->after)
        end_watch (waiter);
    }
}

static void
list_instances (sp_t *sp, web_request_t *request, const char *zone)
{
  sp->calls[CALL_INSTANCES]++;
  answer (sp, request, 200,
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
  list_for_each_safe (node, &sp->waiting)
    {
      waiter_t *waiter = list_entry (node, waiter_t, node);

      break_off (waiter->request);
      waiter_free (waiter);
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
handle (void *user, web_request_t *request)
{
  listener_t *listener = user;
  sp_t *sp = listener->sp;
  const char *path = web_path (request);
  g_autofree char *kind = NULL;
  g_autofree char *name = NULL;

  if (g_str_has_prefix (path, "/control/"))
    sp_handle_control (sp, request);
  else if (sp->mode == SP_DOWN)
    break_off (request);
  else if (strcmp (path, OBJECTS) == 0)
    list_objects (sp, request);
  else if (strcmp (path, "/v1/watch") == 0)
    watch (sp, request);
  else if (strcmp (path, "/v1/instances") == 0)
    list_instances (sp, request, listener->zone);
  else if (sp_parse_object_path (path, OBJECTS, &kind, &name))
    one_object (sp, request, kind, name);
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
  list_init (&sp->waiting);
  return sp;
}

void
sp_free (sp_t *sp)
{
  if (sp == NULL)
    return;
  g_ptr_array_unref (sp->listeners);
  list_for_each_safe (node, &sp->waiting)
    waiter_free (list_entry (node, waiter_t, node));
  sp_list_free (sp->instances);
  sp_model_free (sp->model);
  g_free (sp);
}

bool
sp_listen (sp_t *sp, const char *address, const char *zone, GError **error)
{
  web_limits_t limits = { BODY_MAX, CONNECTIONS, IDLE_S };
  listener_t *listener = g_new0 (listener_t, 1);

  listener->sp = sp;
  listener->zone = g_strdup (zone);
  listener->server
      = web_server_new (sp->loop, address, &limits, handle, listener, error);
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
