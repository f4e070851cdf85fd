#include "router/router-private.h"

#include "base/jsn.h"

#include <string.h>

/* Output limit assumed for a model request that states none.  */
#define DEFAULT_MAX_TOKENS 256
/* Approximate length of a token in a prompt.  */
#define BYTES_PER_TOKEN 4
#define CONFIG_RETRY_AFTER_S 2
#define CAPACITY_RETRY_AFTER_S 5
#define SERVICES_PREFIX "/services/"
/* MSG_HEADERS_MAX less the headers that the agent adds.  */
#define MAX_HEADERS (MSG_HEADERS_MAX - 4)

static void
refuse (cfd_router_t *router, web_request_t *web, refusal_reason_t reason,
        unsigned status, const char *title, const char *detail,
        int retry_after_s)
{
  router->counters.refused[reason]++;
  tl_add (router->ring, TL_REFUSE, NULL, NULL, NULL,
          web_get_response_header (web), title);
  web_respond_problem (web, status, title, detail, "not-run", retry_after_s);
}

/* Returns the account of the caller's key, or NULL after a refusal.  */
static const rec_t *
authenticate (cfd_router_t *router, web_request_t *web)
{
  static const char scheme[] = "Bearer ";
  const char *header = web_get_header (web, "Authorization");
  const rec_t *account = NULL;

  if (header != NULL
      && g_ascii_strncasecmp (header, scheme, sizeof scheme - 1) == 0)
    account = store_find_account_by_key (router->store,
                                         header + sizeof scheme - 1);
  if (account == NULL)
    refuse (router, web, REFUSED_UNKNOWN_KEY, 401, "Unknown key",
            "Send \"Authorization: Bearer KEY\" with a key of a client "
            "account.",
            -1);
  return account;
}

static JsonObject *
parse_body (JsonParser *parser, web_request_t *web)
{
  size_t length;
  const char *body = web_get_body (web, &length);
  JsonNode *root;

  if (length == 0 || !jsn_load (parser, body, length, NULL))
    return NULL;
  root = json_parser_get_root (parser);
  return root != NULL && JSON_NODE_HOLDS_OBJECT (root)
             ? json_node_get_object (root)
             : NULL;
}

static const char *
string_member (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  return node != NULL && JSON_NODE_HOLDS_VALUE (node)
                 && json_node_get_value_type (node) == G_TYPE_STRING
             ? json_node_get_string (node)
             : NULL;
}

static double
model_cost (JsonObject *object, web_request_t *web)
{
  static const char *const names[]
      = { "max_completion_tokens", "max_tokens", NULL };
  double max_tokens = DEFAULT_MAX_TOKENS;
  size_t length;

  for (const char *const *name = names; *name != NULL; name++)
    {
      JsonNode *node = json_object_get_member (object, *name);

      if (node != NULL && JSON_NODE_HOLDS_VALUE (node)
          && json_node_get_value_type (node) == G_TYPE_INT64
          && json_node_get_int (node) > 0)
        {
          max_tokens = (double)json_node_get_int (node);
          break;
        }
    }
  (void)web_get_body (web, &length);
  return max_tokens + (double)length / BYTES_PER_TOKEN;
}

/* ---- headers ---- */

typedef struct
{
  GPtrArray *headers;
  bool too_many;
} header_filter_t;

static bool
is_forwarded (const char *name)
{
  static const char *const consumed[] = { "Authorization",
                                          "Connection",
                                          "Content-Length",
                                          "Expect",
                                          "Host",
                                          "Keep-Alive",
                                          "Proxy-Connection",
                                          "Proxy-Authorization",
                                          "TE",
                                          "Trailer",
                                          "Transfer-Encoding",
                                          "Upgrade",
                                          "X-Request-Class",
                                          "X-Request-Id",
                                          "Accept-Encoding",
                                          NULL };

  for (const char *const *each = consumed; *each != NULL; each++)
    if (g_ascii_strcasecmp (name, *each) == 0)
      return false;
  return true;
}

static void
add_forwarded_header (void *user, const char *name, const char *value)
{
  header_filter_t *filter = user;

  if (!is_forwarded (name))
    return;
  if (filter->headers->len >= MAX_HEADERS)
    {
      filter->too_many = true;
      return;
    }
  g_ptr_array_add (filter->headers, g_strdup_printf ("%s: %s", name, value));
}

/* ---- kinds of calls ---- */

typedef struct
{
  const char *service;
  const char *path; /* at the endpoint */
  bool is_model;
  double cost;
} call_t;

/* Returns whether the rules and the service certainly read the path alike.
   Others, such as "/past/../invoices" or the same with escapes, are not
   assumed to be idempotent.  */
static bool
is_unambiguous_path (const char *path)
{
  static const char *const ambiguous[]
      = { "/.", "//", "\\", ";", "%2e", "%2f", "%5c", NULL };
  g_autofree char *lower = g_ascii_strdown (path, (gssize)strcspn (path, "?"));

  for (const char *const *part = ambiguous; *part != NULL; part++)
    if (strstr (lower, *part) != NULL)
      return false;
  return true;
}

static bool
is_idempotent (const rec_t *service, const char *method, const call_t *call)
{
  return call->is_model
         || (is_unambiguous_path (call->path)
             && rec_service_is_idempotent (&service->u.service, method,
                                           call->path));
}

/* Creates and starts a request that passed all checks.  */
static void
admit_request (cfd_router_t *router, web_request_t *web, const rec_t *account,
               const rec_t *service, const call_t *call)
{
  cfd_time_t now = clock_now ();
  request_t *request;
  header_filter_t filter = { g_ptr_array_new_with_free_func (g_free), false };

  web_foreach_header (web, add_forwarded_header, &filter);
  if (filter.too_many)
    {
      g_ptr_array_unref (filter.headers);
      refuse (router, web, REFUSED_BAD_REQUEST, 431, "Too many headers",
              "Send fewer headers.", -1);
      return;
    }
  request = request_new (router, web, account->name, service->name);
  request->headers = filter.headers;
  request->path = g_strdup (call->path);
  request->is_model = call->is_model;
  request->idempotent = is_idempotent (service, request->method, call);
  request->cost_hint = call->cost;
  request->item.cost = call->is_model
                           ? cost_estimate (router->cost, account->name,
                                            service->name, call->cost)
                           : call->cost;
  request->item.class_rank = rec_service_get_class_rank (
      &service->u.service, web_get_header (web, "X-Request-Class"));
  if (!request->idempotent)
    request->key = g_strdup (web_get_header (web, "Idempotency-Key"));
  request->body = web_take_body (web);
  request_start (request, now);
}

/* Returns the service of CALL, or NULL after a refusal.  */
static const rec_t *
find_service (cfd_router_t *router, web_request_t *web, const call_t *call)
{
  const rec_t *service = store_get (router->store, REC_SERVICE, call->service);

  if (service == NULL || service->deleted
      || service->u.service.is_model != call->is_model)
    {
      refuse (router, web, REFUSED_BAD_REQUEST, 404, "Unknown service",
              "Name a service that the operators have set up.", -1);
      return NULL;
    }
  if (!agents_has_endpoint_for (router, call->service))
    {
      refuse (router, web, REFUSED_NO_CAPACITY, 503, "No capacity",
              "The service has no endpoint at present; ask again later.",
              CAPACITY_RETRY_AFTER_S);
      return NULL;
    }
  return service;
}

static void
handle_model (cfd_router_t *router, web_request_t *web)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  const rec_t *account = authenticate (router, web);
  const rec_t *service;
  JsonObject *body;
  call_t call = { .is_model = true, .path = web_get_target (web) };

  if (account == NULL)
    return;
  if (strcmp (web_get_method (web), "POST") != 0)
    {
      refuse (router, web, REFUSED_BAD_REQUEST, 405, "Method not allowed",
              "Use POST.", -1);
      return;
    }
  body = parse_body (parser, web);
  call.service = body != NULL ? string_member (body, "model") : NULL;
  if (call.service == NULL)
    {
      refuse (router, web, REFUSED_BAD_REQUEST, 400, "Bad request",
              "Send a JSON object with a \"model\".", -1);
      return;
    }
  call.cost = model_cost (body, web);
  service = find_service (router, web, &call);
  if (service != NULL)
    admit_request (router, web, account, service, &call);
}

static void
handle_plain (cfd_router_t *router, web_request_t *web)
{
  const rec_t *account = authenticate (router, web);
  const char *rest = web_get_target (web) + strlen (SERVICES_PREFIX);
  g_autofree char *name = g_strndup (rest, strcspn (rest, "/?"));
  const char *path = rest + strlen (name);
  g_autofree char *whole = NULL;
  const rec_t *service;
  call_t call = { .service = name, .cost = ROUTER_PLAIN_COST_TOKENS };

  if (account == NULL)
    return;
  whole = *path == '/' ? g_strdup (path) : g_strconcat ("/", path, NULL);
  call.path = whole;
  service = find_service (router, web, &call);
  if (service != NULL)
    admit_request (router, web, account, service, &call);
}

void
front_handle (void *user, web_request_t *web)
{
  cfd_router_t *router = user;
  const char *path = web_get_path (web);

  g_autofree char *name = router_new_request_id (router);

  router->counters.requests++;
  web_set_response_header (web, "X-Request-Id", name);
  if (store_get_revision (router->store) == 0)
    refuse (router, web, REFUSED_NO_CAPACITY, 503, "Not ready",
            "This router has no configuration yet; ask again.",
            CONFIG_RETRY_AFTER_S);
  else if (strcmp (path, "/v1/chat/completions") == 0
           || strcmp (path, "/v1/completions") == 0)
    handle_model (router, web);
  else if (g_str_has_prefix (path, SERVICES_PREFIX))
    handle_plain (router, web);
  else
    refuse (router, web, REFUSED_BAD_REQUEST, 404, "Not found",
            "Use /v1/chat/completions, /v1/completions or /services/NAME/...",
            -1);
}
