#include "admin/admin.h"
#include "admin/prom.h"

#include "base/log.h"

#include <string.h>

#define ADMIN_MAX_BODY_BYTES 4096
#define ADMIN_MAX_CONNECTIONS 64
#define ADMIN_IDLE_TIMEOUT_S 30

struct admin
{
  web_server_t *server;
  admin_node_t node;
  cfd_time_t started;
  admin_callbacks_t callbacks;
  void *user;
};

static void
respond_text (web_request_t *request, unsigned status, const char *type,
              const char *text)
{
  web_respond (request, status, type, NULL, text, strlen (text));
}

static void
respond_readyz (const admin_t *admin, web_request_t *request)
{
  const char *why = admin->callbacks.get_not_ready_reason (admin->user);

  if (why == NULL)
    respond_text (request, 200, "text/plain", "ready\n");
  else
    web_respond_problem (request, 503, "Not ready", why, "not-run", 1);
}

static void
respond_metrics (const admin_t *admin, web_request_t *request)
{
  g_autoptr (GString) out = g_string_new (NULL);

  admin_node_append_metrics (&admin->node, admin->started, out);
  prom_append_sample (out, "cfd_ready", "gauge", NULL,
                      admin->callbacks.get_not_ready_reason (admin->user)
                          == NULL);
  admin->callbacks.append_metrics (admin->user, out);
  prom_append_sample (out, "cfd_invariant_failures_total", "counter", NULL,
                      invariant_count_failures ());
  web_respond (request, 200, "text/plain; version=0.0.4", NULL, out->str,
               out->len);
}

static void
respond_status (const admin_t *admin, web_request_t *request)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  g_autofree char *text = NULL;

  json_builder_begin_object (builder);
  admin_node_add_status (&admin->node,
                         admin->callbacks.get_not_ready_reason (admin->user),
                         builder);
  admin->callbacks.add_status (admin->user, builder);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  text = json_to_string (root, FALSE);
  respond_text (request, 200, "application/json", text);
}

static void
respond_events (const admin_t *admin, web_request_t *request)
{
  const char *since = web_get_query (request, "since");
  const tl_filter_t filter = { web_get_query (request, "account"),
                               web_get_query (request, "request") };
  guint64 sequence = 0;
  g_autofree char *text = NULL;

  if (since != NULL
      && !g_ascii_string_to_unsigned (since, 10, 0, G_MAXUINT64, &sequence,
                                      NULL))
    {
      web_respond_problem (
          request, 400, "Bad sequence",
          "since must be a whole number; leave it out for all", "not-run", -1);
      return;
    }
  text = tl_to_json (admin->node.ring, sequence, &filter);
  respond_text (request, 200, "application/json", text);
}

static void
on_request (void *user, web_request_t *request)
{
  const admin_t *admin = user;
  const char *path = web_get_path (request);

  if (!g_str_equal (web_get_method (request), "GET"))
    web_respond_problem (request, 405, "Only GET",
                         "the admin port changes nothing", "not-run", -1);
  else if (g_str_equal (path, "/healthz"))
    respond_text (request, 200, "text/plain", "ok\n");
  else if (g_str_equal (path, "/readyz"))
    respond_readyz (admin, request);
  else if (g_str_equal (path, "/metrics"))
    respond_metrics (admin, request);
  else if (g_str_equal (path, "/status"))
    respond_status (admin, request);
  else if (g_str_equal (path, "/events"))
    respond_events (admin, request);
  else
    web_respond_problem (
        request, 404, "No such page",
        "there are /healthz, /readyz, /metrics, /status, /events", "not-run",
        -1);
}

admin_t *
admin_new (struct ev_loop *loop, const char *address, const admin_node_t *node,
           const admin_callbacks_t *callbacks, void *user, GError **error)
{
  static const web_limits_t limits
      = { ADMIN_MAX_BODY_BYTES, ADMIN_MAX_CONNECTIONS, ADMIN_IDLE_TIMEOUT_S };
  g_autoptr (admin_t) admin = g_new0 (admin_t, 1);

  admin->node = *node;
  admin->started = clock_now ();
  admin->callbacks = *callbacks;
  admin->user = user;
  admin->server
      = web_server_new (loop, address, &limits, on_request, admin, error);
  if (admin->server == NULL)
    return NULL;
  return g_steal_pointer (&admin);
}

void
admin_free (admin_t *admin)
{
  if (admin == NULL)
    return;
  web_server_free (admin->server);
  g_free (admin);
}

void
admin_add_text (JsonBuilder *out, const char *name, const char *value)
{
  json_builder_set_member_name (out, name);
  json_builder_add_string_value (out, value != NULL ? value : "");
}

void
admin_add_number (JsonBuilder *out, const char *name, int64_t value)
{
  json_builder_set_member_name (out, name);
  json_builder_add_int_value (out, value);
}
