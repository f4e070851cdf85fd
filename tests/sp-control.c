#include "sp-control.h"

#include <string.h>

static const char *const mode_names[]
    = { "up", "down", "slow", "lose-answer", "stale" };
bool
sp_parse_object_path (const char *path, const char *prefix, char **kind,
                      char **name)
{
  const char *rest = path + strlen (prefix);
  const char *slash;

  if (!g_str_has_prefix (path, prefix) || rest[0] != '/')
    return false;
  slash = strchr (rest + 1, '/');
  if (slash == NULL || slash[1] == '\0')
    return false;
  *kind = g_strndup (rest + 1, (gsize)(slash - rest - 1));
  *name = g_uri_unescape_string (slash + 1, NULL);
  return *name != NULL;
}

static bool
control_faults (sp_t *sp, JsonNode *root)
{
  JsonObject *object;
  const char *name;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return false;
  object = json_node_get_object (root);
  name = json_object_get_string_member_with_default (object, "mode", "up");
  for (guint i = 0; i < G_N_ELEMENTS (mode_names); i++)
    if (strcmp (name, mode_names[i]) == 0)
      {
        sp_set_fault (sp, (sp_mode_t)i,
                      (unsigned)json_object_get_int_member_with_default (
                          object, "delay_ms", 0),
                      (unsigned)json_object_get_int_member_with_default (
                          object, "lag_ms", 0));
        return true;
      }
  return false;
}

static bool
control_objects (sp_t *sp, JsonNode *root)
{
  JsonArray *list;

  if (root == NULL || !JSON_NODE_HOLDS_ARRAY (root))
    return false;
  list = json_node_get_array (root);
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      JsonObject *object = json_array_get_object_element (list, i);

      sp_model_write (sp_get_model (sp),
                      json_object_get_string_member (object, "kind"),
                      json_object_get_string_member (object, "name"),
                      json_object_get_member (object, "spec"), clock_now ());
    }
  sp_notify_watches (sp);
  return true;
}

static bool
control_delete (sp_t *sp, const char *path)
{
  g_autofree char *kind = NULL;
  g_autofree char *name = NULL;

  if (!sp_parse_object_path (path, "/control/objects", &kind, &name))
    return false;
  sp_model_write (sp_get_model (sp), kind, name, NULL, clock_now ());
  sp_notify_watches (sp);
  return true;
}

static char *
calls_text (const sp_t *sp)
{
  static const char *const names[]
      = { "get", "list", "put", "delete", "watch", "instances" };
  GString *text = g_string_new ("{");

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    g_string_append_printf (text, "\"%s\":%" G_GUINT64_FORMAT ",", names[i],
                            sp_count_calls (sp, names[i]));
  g_string_append_printf (text, "\"total\":%" G_GUINT64_FORMAT "}",
                          sp_count_calls (sp, "total"));
  return g_string_free (text, FALSE);
}

void
sp_handle_control (sp_t *sp, web_request_t *request)
{
  const char *path = web_path (request);
  size_t length;
  const char *body = web_body (request, &length);
  g_autoptr (JsonNode) root = json_from_string (body, NULL);
  g_autofree char *calls = calls_text (sp);
  bool ok = false;

  if (strcmp (path, "/control/calls") == 0)
    {
      web_respond (request, 200, "application/json", NULL, calls,
                   strlen (calls));
      return;
    }
  if (strcmp (path, "/control/instances") == 0)
    ok = sp_set_instances (sp, body);
  else if (strcmp (path, "/control/faults") == 0)
    ok = control_faults (sp, root);
  else if (strcmp (web_method (request), "DELETE") == 0)
    ok = control_delete (sp, path);
  else if (strcmp (path, "/control/objects") == 0)
    ok = control_objects (sp, root);
  web_respond (request, ok ? 200 : 400, "application/json", NULL, "{}", 2);
}
