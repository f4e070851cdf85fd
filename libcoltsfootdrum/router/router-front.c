#include "router/router-private.h"

#include <string.h>

/* What a model request costs at most by its own word, when it says nothing. */
#define DEFAULT_MAX_TOKENS 256
/* Bytes of a prompt that make about one token.  */
#define BYTES_PER_TOKEN 4
#define RETRY_CONFIG_S 2
#define RETRY_CAPACITY_S 5
#define SERVICES_PREFIX "/services/"
/* MSG_HEADERS_MAX less what the agent adds.  */
#define HEADERS_MAX (MSG_HEADERS_MAX - 4)

static void
refuse (cfd_router_t *router, web_request_t *web, refused_t reason,
        unsigned status, const char *title, const char *detail,
        int retry_after_s)
{
  router->counters.refused[reason]++;
  tl_add (router->ring, TL_REFUSE, NULL, NULL, NULL,
          web_get_response_header (web), title);
  web_respond_problem (web, status, title, detail, "not-run", retry_after_s);
}

/* The account of the caller's key, or NULL after a refusal.  */
static const rec_t *
check_key (cfd_router_t *router, web_request_t *web)
{
  static const char scheme[] = "Bearer ";
  const char *header = web_get_header (web, "Authorization");
  const rec_t *account = NULL;

  if (header != NULL
      && g_ascii_strncasecmp (header, scheme, sizeof scheme - 1) == 0)
    account = store_find_account_by_key (router->store,
                                         header + sizeof scheme - 1);
  if (account == NULL)
    refuse (router, web, REFUSED_KEY, 401, "Unknown key",
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

  if (length == 0
      || !json_parser_load_from_data (parser, body, (gssize)length, NULL))
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
  double most = DEFAULT_MAX_TOKENS;
  size_t length;

  for (const char *const *name = names; *name != NULL; name++)
    {
      JsonNode *node = json_object_get_member (object, *name);

      if (node != NULL && JSON_NODE_HOLDS_VALUE (node)
          && json_node_get_value_type (node) == G_TYPE_INT64
          && json_node_get_int (node) > 0)
        {
          most = (double)json_node_get_int (node);
          break;
        }
    }
  (void)web_get_body (web, &length);
  return most + (double)length / BYTES_PER_TOKEN;
}

/* ---- headers ---- */

typedef struct
{
  GPtrArray *headers;
  bool too_many;
} pass_t;

static bool
is_passed (const char *name)
{
  static const char *const own[] = { "Authorization",
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

  for (const char *const *each = own; *each != NULL; each++)
    if (g_ascii_strcasecmp (name, *each) == 0)
      return false;
  return true;
}

static void
pass_header (void *user, const char *name, const char *value)
{
  pass_t *pass = user;

  if (!is_passed (name))
    return;
  if (pass->headers->len >= HEADERS_MAX)
    {
      pass->too_many = true;
      return;
    }
  g_ptr_array_add (pass->headers, g_strdup_printf ("%s: %s", name, value));
}

/* ---- kinds of calls ---- */

typedef struct
{
  const char *service;
  const char *path; /* at the endpoint */
  bool is_model;
  double cost;
} call_t;

/* A path that the service may read as another one than the rules do is not
   taken for idempotent: "/past/../invoices" or the same with escapes.  */
static bool
is_plain_path (const char *path)
{
  static const char *const doubtful[]
      = { "/.", "//", "\\", ";", "%2e", "%2f", "%5c", NULL };
  g_autofree char *lower = g_ascii_strdown (path, (gssize)strcspn (path, "?"));

  for (const char *const *part = doubtful; *part != NULL; part++)
    if (strstr (lower, *part) != NULL)
      return false;
  return true;
}

static bool
is_idempotent (const rec_t *service, const char *method, const call_t *call)
{
  return call->is_model
         || (is_plain_path (call->path)
             && rec_service_is_idempotent (&service->u.service, method,
                                           call->path));
}

/* Begins the life of a request that passed all checks.  */
static void
admit (cfd_router_t *router, web_request_t *web, const rec_t *account,
       const rec_t *service, const call_t *call)
{
  cfd_time_t now = clock_now ();
  request_t *request;
  pass_t pass = { g_ptr_array_new_with_free_func (g_free), false };

  web_foreach_header (web, pass_header, &pass);
  if (pass.too_many)
    {
      g_ptr_array_unref (pass.headers);
      refuse (router, web, REFUSED_BAD, 431, "Too many headers",
              "Send fewer headers.", -1);
      return;
    }
  request = request_new (router, web, account->name, service->name);
  request->headers = pass.headers;
  request->path = g_strdup (call->path);
  request->is_model = call->is_model;
  request->idempotent = is_idempotent (service, request->method, call);
  request->hint = call->cost;
  request->item.cost = call->is_model
                           ? cost_expect (router->cost, account->name,
                                          service->name, call->cost)
                           : call->cost;
  request->item.class_rank = rec_service_get_class_rank (
      &service->u.service, web_get_header (web, "X-Request-Class"));
  if (!request->idempotent)
    request->key = g_strdup (web_get_header (web, "Idempotency-Key"));
  request->body = web_take_body (web);
  request_begin (request, now);
}

/* The service that serves CALL, or NULL after a refusal.  */
static const rec_t *
check_service (cfd_router_t *router, web_request_t *web, const call_t *call)
{
  const rec_t *service = store_get (router->store, REC_SERVICE, call->service);

  if (service == NULL || service->deleted
      || service->u.service.is_model != call->is_model)
    {
      refuse (router, web, REFUSED_BAD, 404, "Unknown service",
              "Name a service that the operators have set up.", -1);
      return NULL;
    }
  if (!agents_any_for (router, call->service))
    {
      refuse (router, web, REFUSED_CAPACITY, 503, "No capacity",
              "The service has no endpoint at present; ask again later.",
              RETRY_CAPACITY_S);
      return NULL;
    }
  return service;
}

static void
handle_model (cfd_router_t *router, web_request_t *web)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  const rec_t *account = check_key (router, web);
  const rec_t *service;
  JsonObject *body;
  call_t call = { .is_model = true, .path = web_get_target (web) };

  if (account == NULL)
    return;
  if (strcmp (web_get_method (web), "POST") != 0)
    {
      refuse (router, web, REFUSED_BAD, 405, "Method not allowed", "Use POST.",
              -1);
      return;
    }
  body = parse_body (parser, web);
  call.service = body != NULL ? string_member (body, "model") : NULL;
  if (call.service == NULL)
    {
      refuse (router, web, REFUSED_BAD, 400, "Bad request",
              "Send a JSON object with a \"model\".", -1);
      return;
    }
  call.cost = model_cost (body, web);
  service = check_service (router, web, &call);
  if (service != NULL)
    admit (router, web, account, service, &call);
}

static void
handle_plain (cfd_router_t *router, web_request_t *web)
{
  const rec_t *account = check_key (router, web);
  const char *rest = web_get_target (web) + strlen (SERVICES_PREFIX);
  g_autofree char *name = g_strndup (rest, strcspn (rest, "/?"));
  const char *path = rest + strlen (name);
  g_autofree char *whole = NULL;
  const rec_t *service;
  call_t call = { .service = name, .cost = ROUTER_PLAIN_COST };

  if (account == NULL)
    return;
  whole = *path == '/' ? g_strdup (path) : g_strconcat ("/", path, NULL);
  call.path = whole;
  service = check_service (router, web, &call);
  if (service != NULL)
    admit (router, web, account, service, &call);
}

void
front_handle (void *user, web_request_t *web)
{
  cfd_router_t *router = user;
  const char *path = web_get_path (web);

  g_autofree char *name = router_name_request (router);

  router->counters.requests++;
  web_set_response_header (web, "X-Request-Id", name);
  if (store_get_revision (router->store) == 0)
    refuse (router, web, REFUSED_CAPACITY, 503, "Not ready",
            "This router has no configuration yet; ask again.",
            RETRY_CONFIG_S);
  else if (strcmp (path, "/v1/chat/completions") == 0
           || strcmp (path, "/v1/completions") == 0)
    handle_model (router, web);
  else if (g_str_has_prefix (path, SERVICES_PREFIX))
    handle_plain (router, web);
  else
    refuse (router, web, REFUSED_BAD, 404, "Not found",
            "Use /v1/chat/completions, /v1/completions or /services/NAME/...",
            -1);
}
