#include "platform/plat.h"
#include "base/jsn.h"
#include "base/list.h"

#include <string.h>

#define CONNECT_TIMEOUT_MS 1000
#define WRITE_TIMEOUT_MS 3000
#define READ_TIMEOUT_MS 8000
/* A connection can die without a reset.  Even then a change must be in force
   within seconds, and a process must soon detect that it is cut off.  */
#define WATCH_TIMEOUT_MARGIN_MS 2000
#define INSTANCES_TIMEOUT_MS 2000
#define MAX_PAGE_OBJECTS 500

struct plat
{
  fetch_pool_t *pool;
  char *url;
  uint64_t call_count;
  list_node_t pending_calls;
};

typedef struct
{
  list_node_t node;
  fetch_t *fetch;
  plat_done_t done;
  void *user;
  bool is_write;
  bool is_list;
} call_t;

static plat_status_t
get_status (const call_t *call, fetch_result_t result, unsigned status)
{
  plat_status_t failure_status
      = call->is_write ? PLAT_OUTCOME_UNKNOWN : PLAT_UNAVAILABLE;

  if (result == FETCH_CONNECT_FAILED)
    return PLAT_UNAVAILABLE;
  if (result != FETCH_COMPLETE)
    return failure_status;
  switch (status)
    {
    case 200:
    case 201:
      return PLAT_OK;
    case 404:
      return PLAT_NOT_FOUND;
    case 409:
    case 412:
      return PLAT_CONFLICT;
    case 410:
      return PLAT_REVISION_EXPIRED;
    case 429:
    case 503:
      return PLAT_UNAVAILABLE;
    default:
      return status >= 500 ? failure_status : PLAT_INVALID_RESPONSE;
    }
}

static JsonObject *
parse_object (const char *text, size_t length)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonNode *root;

  if (!jsn_load (parser, text, length, NULL))
    return NULL;
  root = json_parser_get_root (parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return NULL;
  return json_object_ref (json_node_get_object (root));
}

static void
on_done (void *user, fetch_result_t result, unsigned status, const char *body,
         size_t length, const char *detail)
{
  call_t *call = user;
  plat_status_t call_status = get_status (call, result, status);
  JsonObject *answer = NULL;

  if (call_status == PLAT_OK)
    {
      answer = parse_object (body, length);
      if (answer == NULL)
        call_status = PLAT_INVALID_RESPONSE;
      else if (call->is_list)
        json_object_set_boolean_member (answer, "complete", TRUE);
    }
  list_remove (&call->node);
  call->done (call->user, call_status, answer);
  g_free (call);
}

/* Sends REQUEST to PATH of the platform's URL; frees PATH.  */
static void
start_call (plat_t *plat, fetch_request_t *request, char *path, bool is_list,
            plat_done_t done, void *user)
{
  g_autofree char *url = g_strconcat (plat->url, path, NULL);
  call_t *call = g_new0 (call_t, 1);
  bool is_write = strcmp (request->method, "GET") != 0;

  g_free (path);
  call->done = done;
  call->user = user;
  call->is_list = is_list;
  call->is_write = is_write;
  request->url = url;
  request->connect_timeout_ms = CONNECT_TIMEOUT_MS;
  if (request->total_timeout_ms == 0)
    request->total_timeout_ms = is_write ? WRITE_TIMEOUT_MS : READ_TIMEOUT_MS;
  request->reuse_connection = !is_write;
  request->done = on_done;
  request->user = call;
  list_append (&plat->pending_calls, &call->node);
  plat->call_count++;
  call->fetch = fetch_start (plat->pool, request);
}

static char *
format_object_path (const char *kind, const char *name)
{
  g_autofree char *escaped = g_uri_escape_string (name, NULL, FALSE);

  return g_strdup_printf ("/v1/objects/%s/%s", kind, escaped);
}

plat_t *
plat_new (fetch_pool_t *pool, const char *url)
{
  plat_t *plat = g_new0 (plat_t, 1);

  plat->pool = pool;
  plat->url = g_strdup (url);
  if (g_str_has_suffix (plat->url, "/"))
    plat->url[strlen (plat->url) - 1] = '\0';
  list_init (&plat->pending_calls);
  return plat;
}

static void
cancel_call (call_t *call)
{
  fetch_cancel (call->fetch);
  list_remove (&call->node);
  g_free (call);
}

void
plat_cancel (plat_t *plat, void *user)
{
  list_for_each_safe (node, &plat->pending_calls)
    {
      call_t *call = list_entry (node, call_t, node);

      if (call->user == user)
        cancel_call (call);
    }
}

struct ev_loop *
plat_get_loop (const plat_t *plat)
{
  return fetch_pool_get_loop (plat->pool);
}

void
plat_free (plat_t *plat)
{
  if (plat == NULL)
    return;
  list_for_each_safe (node, &plat->pending_calls)
    cancel_call (list_entry (node, call_t, node));
  g_free (plat->url);
  g_free (plat);
}

void
plat_get (plat_t *plat, const char *kind, const char *name, plat_done_t done,
          void *user)
{
  fetch_request_t request = { .method = "GET" };

  start_call (plat, &request, format_object_path (kind, name), false, done,
              user);
}

void
plat_list (plat_t *plat, uint64_t min_revision, plat_done_t done, void *user)
{
  fetch_request_t request = { .method = "GET" };

  start_call (plat, &request,
              g_strdup_printf ("/v1/objects?revision_least=%" G_GUINT64_FORMAT
                               "&kinds=" PLAT_CONFIG_KINDS,
                               min_revision),
              true, done, user);
}

void
plat_list_page (plat_t *plat, const char *kinds, uint64_t min_revision,
                const char *after, plat_done_t done, void *user)
{
  fetch_request_t request = { .method = "GET" };
  g_autofree char *escaped = g_uri_escape_string (after, NULL, FALSE);

  start_call (plat, &request,
              g_strdup_printf ("/v1/objects?revision_least=%" G_GUINT64_FORMAT
                               "&kinds=%s&limit=%d&after=%s",
                               min_revision, kinds, MAX_PAGE_OBJECTS, escaped),
              false, done, user);
}

void
plat_list_limited (plat_t *plat, const char *kinds, const char *after,
                   unsigned limit, plat_done_t done, void *user)
{
  fetch_request_t request = { .method = "GET" };
  g_autofree char *escaped = g_uri_escape_string (after, NULL, FALSE);

  start_call (plat, &request,
              g_strdup_printf ("/v1/objects?kinds=%s&limit=%u&after=%s", kinds,
                               limit, escaped),
              false, done, user);
}

static char *
format_spec_body (JsonObject *spec)
{
  g_autoptr (JsonNode) root = json_node_new (JSON_NODE_OBJECT);
  JsonObject *object = json_object_new ();

  json_object_set_object_member (object, "spec", json_object_ref (spec));
  json_node_take_object (root, object);
  return json_to_string (root, FALSE);
}

/* Writes on the condition that the object has VERSION, or doesn't exist if
   VERSION is NULL.  */
static void
send_conditional (plat_t *plat, const char *method, const char *kind,
                  const char *name, const char *version, const char *body,
                  plat_done_t done, void *user)
{
  g_autofree char *condition = version == NULL
                                   ? g_strdup ("If-None-Match: *")
                                   : g_strdup_printf ("If-Match: %s", version);
  const char *headers[]
      = { condition, "Content-Type: application/json", NULL };
  fetch_request_t request
      = { .method = method,
          .headers = headers,
          .body = body,
          .body_length = body == NULL ? 0 : strlen (body) };

  start_call (plat, &request, format_object_path (kind, name), false, done,
              user);
}

void
plat_put (plat_t *plat, const char *kind, const char *name,
          const char *version, JsonObject *spec, plat_done_t done, void *user)
{
  g_autofree char *body = format_spec_body (spec);

  send_conditional (plat, "PUT", kind, name, version, body, done, user);
}

void
plat_delete (plat_t *plat, const char *kind, const char *name,
             const char *version, plat_done_t done, void *user)
{
  send_conditional (plat, "DELETE", kind, name, version, NULL, done, user);
}

void
plat_watch (plat_t *plat, uint64_t after, unsigned wait_ms, plat_done_t done,
            void *user)
{
  fetch_request_t request
      = { .method = "GET",
          .total_timeout_ms = wait_ms + WATCH_TIMEOUT_MARGIN_MS };

  start_call (plat, &request,
              g_strdup_printf ("/v1/watch?after=%" G_GUINT64_FORMAT
                               "&wait_ms=%u&kinds=" PLAT_CONFIG_KINDS,
                               after, wait_ms),
              false, done, user);
}

void
plat_list_instances (plat_t *plat, plat_done_t done, void *user)
{
  fetch_request_t request
      = { .method = "GET", .total_timeout_ms = INSTANCES_TIMEOUT_MS };

  start_call (plat, &request, g_strdup ("/v1/instances"), false, done, user);
}

uint64_t
plat_count_calls (const plat_t *plat)
{
  return plat->call_count;
}

const char *
plat_status_name (plat_status_t status)
{
  switch (status)
    {
    case PLAT_OK:
      return "ok";
    case PLAT_CONFLICT:
      return "conflict";
    case PLAT_NOT_FOUND:
      return "not found";
    case PLAT_REVISION_EXPIRED:
      return "gone";
    case PLAT_UNAVAILABLE:
      return "down";
    case PLAT_OUTCOME_UNKNOWN:
      return "unknown";
    case PLAT_INVALID_RESPONSE:
      return "against the contract";
    }
  return "?";
}
