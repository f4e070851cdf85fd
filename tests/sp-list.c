#include "sp-list.h"

#include <string.h>

/* A list that does not show yet.  */
typedef struct
{
  cfd_time_t since;
  JsonArray *list;
} later_t;

struct sp_list
{
  JsonArray *shown;
  GQueue coming; /* of later_t, oldest first */
};

sp_list_t *
sp_list_new (void)
{
  sp_list_t *list = g_new0 (sp_list_t, 1);

  list->shown = json_array_new ();
  g_queue_init (&list->coming);
  return list;
}

static void
later_free (gpointer pointer)
{
  later_t *later = pointer;

  json_array_unref (later->list);
  g_free (later);
}

void
sp_list_free (sp_list_t *list)
{
  g_queue_clear_full (&list->coming, later_free);
  json_array_unref (list->shown);
  g_free (list);
}

bool
sp_list_set (sp_list_t *list, const char *text, cfd_time_t now)
{
  g_autoptr (JsonNode) root = json_from_string (text, NULL);
  later_t *later;

  if (root == NULL || !JSON_NODE_HOLDS_ARRAY (root))
    return false;
  later = g_new0 (later_t, 1);
  later->since = now;
  later->list = json_array_ref (json_node_get_array (root));
  g_queue_push_tail (&list->coming, later);
  return true;
}

static void
show_due (sp_list_t *list, unsigned lag_ms, cfd_time_t now)
{
  later_t *later;

  while ((later = g_queue_peek_head (&list->coming)) != NULL
         && now - later->since >= (cfd_time_t)lag_ms)
    {
      g_queue_pop_head (&list->coming);
      json_array_unref (list->shown);
      list->shown = later->list;
      g_free (later);
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
  JsonArray *seen = json_array_new ();

  show_due (list, lag_ms, now);
  for (guint i = 0; i < json_array_get_length (list->shown); i++)
    json_array_add_object_element (
        seen,
        copy_for_zone (json_array_get_object_element (list->shown, i), zone));
  json_object_set_array_member (object, "instances", seen);
  json_node_take_object (root, object);
  return json_to_string (root, FALSE);
}
