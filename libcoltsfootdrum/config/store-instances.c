#include "config/store-impl.h"
#include "base/log.h"

#include <string.h>

#define PART "config"

static const char *
text_member (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return "";
  return json_node_get_string (node);
}

static void
instance_free (gpointer pointer)
{
  store_instance_t *instance = pointer;

  g_free (instance->name);
  g_free (instance->zone);
  g_free (instance->address);
  g_free (instance);
}

static bool
role_parse (const char *text, role_t *role)
{
  if (strcmp (text, "router") == 0)
    *role = ROLE_ROUTER;
  else if (strcmp (text, "agent") == 0)
    *role = ROLE_AGENT;
  else
    return false;
  return true;
}

/* NULL for what is no router or agent, or has no name or address.  */
static store_instance_t *
instance_parse (JsonNode *node)
{
  JsonObject *object;
  store_instance_t *instance;
  role_t role;

  if (!JSON_NODE_HOLDS_OBJECT (node))
    return NULL;
  object = json_node_get_object (node);
  if (!role_parse (text_member (object, "role"), &role)
      || text_member (object, "name")[0] == '\0'
      || text_member (object, "address")[0] == '\0')
    return NULL;
  instance = g_new0 (store_instance_t, 1);
  instance->role = role;
  instance->name = g_strdup (text_member (object, "name"));
  instance->zone = g_strdup (text_member (object, "zone"));
  instance->address = g_strdup (text_member (object, "address"));
  instance->leaving = strcmp (text_member (object, "state"), "leaving") == 0;
  return instance;
}

static void
replace_instances (store_t *store, JsonArray *list)
{
  for (int role = 0; role < STORE_ROLES; role++)
    {
      g_ptr_array_unref (store->instances[role]);
      store->instances[role] = g_ptr_array_new_with_free_func (instance_free);
    }
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      store_instance_t *instance
          = instance_parse (json_array_get_element (list, i));

      if (instance != NULL)
        g_ptr_array_add (store->instances[instance->role], instance);
    }
}

void
store_take_instances (store_t *store, JsonObject *answer, cfd_time_t now)
{
  JsonNode *node = json_object_get_member (answer, "instances");
  g_autofree char *text = NULL;

  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    {
      log_warn (PART, "The list of instances has no \"instances\" array.");
      return;
    }
  text = json_to_string (node, FALSE);
  if (g_strcmp0 (text, store->instances_text) == 0)
    return;
  g_free (store->instances_text);
  store->instances_text = g_steal_pointer (&text);
  replace_instances (store, json_node_get_array (node));
  log_info (PART, "Instances changed: routers=%u agents=%u.",
            store->instances[ROLE_ROUTER]->len,
            store->instances[ROLE_AGENT]->len);
  if (store->events != NULL && store->events->instances != NULL)
    store->events->instances (store->user, now);
}

GPtrArray *
store_get_instances (const store_t *store, role_t role)
{
  return store->instances[role];
}
