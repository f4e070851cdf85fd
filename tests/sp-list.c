#include "sp-list.h"

#include <string.h>

/* A list that is not visible yet.  */
typedef struct
{
  cfd_time_t set_at;
  JsonArray *list;
} delayed_list_t;

struct sp_list
{
  JsonArray *visible;
  GQueue delayed_lists; /* of delayed_list_t, oldest first */
};

sp_list_t *
sp_list_new (void)
{
  sp_list_t *list = g_new0 (sp_list_t, 1);

  list->visible = json_array_new ();
  g_queue_init (&list->delayed_lists);
  return list;
}

static void
delayed_free (gpointer pointer)
{
  delayed_list_t *delayed = pointer;

  json_array_unref (delayed->list);
  g_free (delayed);
}

void
sp_list_free (sp_list_t *list)
{
  g_queue_clear_full (&list->delayed_lists, delayed_free);
  json_array_unref (list->visible);
  g_free (list);
}

bool
sp_list_set (sp_list_t *list, const char *text, cfd_time_t now)
{
  g_autoptr (JsonNode) root = json_from_string (text, NULL);
  delayed_list_t *delayed;

  if (root == NULL || !JSON_NODE_HOLDS_ARRAY (root))
    return false;
  delayed = g_new0 (delayed_list_t, 1);
  delayed->set_at = now;
  delayed->list = json_array_ref (json_node_get_array (root));
  g_queue_push_tail (&list->delayed_lists, delayed);
  return true;
}

static void
publish_due (sp_list_t *list, unsigned lag_ms, cfd_time_t now)
{
  delayed_list_t *delayed;

  while ((delayed = g_queue_peek_head (&list->delayed_lists)) != NULL
         && now - delayed->set_at >= (cfd_time_t)lag_ms)
    {
      g_queue_pop_head (&list->delayed_lists);
      json_array_unref (list->visible);
      list->visible = delayed->list;
      g_free (delayed);
    }
}

static JsonObject *
copy_for_zone (JsonObject *instance, const char *zone)
{
  JsonObject *copy = json_object_new ();
  GList *names = json_object_get_members (instance);
  JsonNode *views = json_object_get_member (instance, "views");

  for (GList *name = names; name != NULL; name = name->next)
    if (strcmp (name->data, "views") != 0)
      json_object_set_member (copy, name->data,
                              json_object_dup_member (instance, name->data));
  g_list_free (names);
  if (zone != NULL && views != NULL && JSON_NODE_HOLDS_OBJECT (views)
      && json_object_has_member (json_node_get_object (views), zone))
    json_object_set_member (
        copy, "address",
        json_object_dup_member (json_node_get_object (views), zone));
  return copy;
}

char *
sp_list_format (sp_list_t *list, const char *zone, unsigned lag_ms,
                cfd_time_t now)
{
  g_autoptr (JsonNode) root = json_node_new (JSON_NODE_OBJECT);
  JsonObject *object = json_object_new ();
  JsonArray *zone_view = json_array_new ();

  publish_due (list, lag_ms, now);
  for (guint i = 0; i < json_array_get_length (list->visible); i++)
    json_array_add_object_element (
        zone_view,
        copy_for_zone (json_array_get_object_element (list->visible, i),
                       zone));
  json_object_set_array_member (object, "instances", zone_view);
  json_node_take_object (root, object);
  return json_to_string (root, FALSE);
}
