#include "platform/plat.h"
#include "base/list.h"

#include <string.h>

#define CONNECT_MS 1000
#define WRITE_MS 3000
#define READ_MS 8000
/* A connection can go silent for good: a change must be in force within
   seconds even then, and a process know soon that it is cut off.  */
#define WATCH_SLACK_MS 2000
#define INSTANCES_MS 2000
#define PAGE_OBJECTS 500

struct plat
{
  fetch_pool_t *pool;
  char *url;
  uint64_t calls;
  list_node_t waiting;
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
status_of (const call_t *call, fetch_result_t result, unsigned status)
{
  plat_status_t doubt
      = call->is_write ? PLAT_OUTCOME_UNKNOWN : PLAT_UNAVAILABLE;

  if (result == FETCH_CONNECT_FAILED)
    return PLAT_UNAVAILABLE;
  if (result != FETCH_COMPLETE)
    return doubt;
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
      return status >= 500 ? doubt : PLAT_INVALID_RESPONSE;
    }
}

static JsonObject *
parse_object (const char *text, size_t length)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonNode *root;

  if (!json_parser_load_from_data (parser, text, (gssize)length, NULL))
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
  plat_status_t outcome = status_of (call, result, status);
  JsonObject *answer = NULL;

  if (outcome == PLAT_OK)
    {
      answer = parse_object (body, length);
      if (answer == NULL)
        outcome = PLAT_INVALID_RESPONSE;
      else if (call->is_list)
        json_object_set_boolean_member (answer, "complete", TRUE);
    }
  list_remove (&call->node);
  call->done (call->user, outcome, answer);
  g_free (call);
}

/* Sends REQUEST, whose URL is PATH under the platform's; frees PATH.  */
static void
send (plat_t *plat, fetch_request_t *request, char *path, bool is_list,
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
  request->connect_timeout_ms = CONNECT_MS;
  if (request->total_timeout_ms == 0)
    request->total_timeout_ms = is_write ? WRITE_MS : READ_MS;
  request->reuse_connection = !is_write;
  request->done = on_done;
  request->user = call;
  list_append (&plat->waiting, &call->node);
  plat->calls++;
  call->fetch = fetch_start (plat->pool, request);
}

static char *
object_path (const char *kind, const char *name)
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
  list_init (&plat->waiting);
  return plat;
}

static void
drop (call_t *call)
{
  fetch_cancel (call->fetch);
  list_remove (&call->node);
  g_free (call);
}

void
plat_cancel (plat_t *plat, void *user)
{
  list_for_each_safe (node, &plat->waiting)
    {
      call_t *call = list_entry (node, call_t, node);

      if (call->user == user)
        drop (call);
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
  list_for_each_safe (node, &plat->waiting)
    drop (list_entry (node, call_t, node));
  g_free (plat->url);
  g_free (plat);
}

void
plat_get (plat_t *plat, const char *kind, const char *name, plat_done_t done,
          void *user)
{
  fetch_request_t request = { .method = "GET" };

  send (plat, &request, object_path (kind, name), false, done, user);
}

void
plat_list (plat_t *plat, uint64_t revision_least, plat_done_t done, void *user)
{
  fetch_request_t request = { .method = "GET" };

  send (plat, &request,
        g_strdup_printf ("/v1/objects?revision_least=%" G_GUINT64_FORMAT
                         "&kinds=" PLAT_CONFIG_KINDS,
                         revision_least),
        true, done, user);
}

void
plat_list_page (plat_t *plat, const char *kinds, uint64_t revision_least,
                const char *after, plat_done_t done, void *user)
{
  fetch_request_t request = { .method = "GET" };
  g_autofree char *escaped = g_uri_escape_string (after, NULL, FALSE);

  send (plat, &request,
        g_strdup_printf ("/v1/objects?revision_least=%" G_GUINT64_FORMAT
                         "&kinds=%s&limit=%d&after=%s",
                         revision_least, kinds, PAGE_OBJECTS, escaped),
        false, done, user);
}

void
plat_list_limited (plat_t *plat, const char *kinds, const char *after,
                   unsigned limit, plat_done_t done, void *user)
{
  fetch_request_t request = { .method = "GET" };
  g_autofree char *escaped = g_uri_escape_string (after, NULL, FALSE);

  send (plat, &request,
        g_strdup_printf ("/v1/objects?kinds=%s&limit=%u&after=%s", kinds,
                         limit, escaped),
        false, done, user);
}

static char *
spec_body (JsonObject *spec)
{
  g_autoptr (JsonNode) root = json_node_new (JSON_NODE_OBJECT);
  JsonObject *object = json_object_new ();

  json_object_set_object_member (object, "spec", json_object_ref (spec));
  json_node_take_object (root, object);
  return json_to_string (root, FALSE);
}

/* Writes with the condition that the object has VERSION, or is not there.  */
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

  send (plat, &request, object_path (kind, name), false, done, user);
}

void
plat_put (plat_t *plat, const char *kind, const char *name,
          const char *version, JsonObject *spec, plat_done_t done, void *user)
{
  g_autofree char *body = spec_body (spec);

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
      = { .method = "GET", .total_timeout_ms = wait_ms + WATCH_SLACK_MS };

  send (plat, &request,
        g_strdup_printf ("/v1/watch?after=%" G_GUINT64_FORMAT
                         "&wait_ms=%u&kinds=" PLAT_CONFIG_KINDS,
                         after, wait_ms),
        false, done, user);
}

void
plat_list_instances (plat_t *plat, plat_done_t done, void *user)
{
  fetch_request_t request
      = { .method = "GET", .total_timeout_ms = INSTANCES_MS };

  send (plat, &request, g_strdup ("/v1/instances"), false, done, user);
}

uint64_t
plat_count_calls (const plat_t *plat)
{
  return plat->calls;
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
