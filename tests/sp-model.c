#include "sp.h"

#include <string.h>

/* One write.  */
typedef struct
{
  uint64_t revision;
  cfd_time_t when;
  sp_object_t *before; /* NULL: was never there */
  sp_object_t *after;
} event_t;

struct sp_model
{
  GHashTable *objects; /* of sp_object_t by "KIND/NAME", deleted ones too */
  GHashTable *frozen;  /* the same at an earlier time, or NULL */
  uint64_t revision;
  uint64_t frozen_revision;
  GQueue history; /* of event_t, oldest first */
  unsigned history_max;
  GHashTable *floors; /* uint64 by kind: the newest forgotten write */
};

static void
object_clear (gpointer pointer)
{
  sp_object_t *object = pointer;

  g_free (object->kind);
  g_free (object->name);
  g_free (object->version);
  g_free (object->text);
}

static void
object_unref (gpointer object)
{
  if (object != NULL)
    g_rc_box_release_full (object, object_clear);
}

static void
event_free (gpointer pointer)
{
  event_t *event = pointer;

  object_unref (event->before);
  object_unref (event->after);
  g_free (event);
}

sp_model_t *
sp_model_new (unsigned history)
{
  sp_model_t *model = g_new0 (sp_model_t, 1);

  model->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_unref);
  model->floors
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  model->history_max = history;
  g_queue_init (&model->history);
  return model;
}

void
sp_model_free (sp_model_t *model)
{
  sp_model_unfreeze (model);
  g_queue_clear_full (&model->history, event_free);
  g_hash_table_unref (model->objects);
  g_hash_table_unref (model->floors);
  g_free (model);
}

static GHashTable *
readable (const sp_model_t *model)
{
  return model->frozen != NULL ? model->frozen : model->objects;
}

const sp_object_t *
sp_model_get (const sp_model_t *model, const char *kind, const char *name)
{
  g_autofree char *key = g_strconcat (kind, "/", name, NULL);
  const sp_object_t *object = g_hash_table_lookup (readable (model), key);

  return object == NULL || object->deleted ? NULL : object;
}

const sp_object_t *
sp_model_get_latest (const sp_model_t *model, const char *kind,
                     const char *name)
{
  g_autofree char *key = g_strconcat (kind, "/", name, NULL);
  const sp_object_t *object = g_hash_table_lookup (model->objects, key);

  return object == NULL || object->deleted ? NULL : object;
}

static char *
object_text (const sp_object_t *object, JsonNode *spec)
{
  g_autoptr (JsonNode) root = json_node_new (JSON_NODE_OBJECT);
  JsonObject *json = json_object_new ();

  json_object_set_string_member (json, "kind", object->kind);
  json_object_set_string_member (json, "name", object->name);
  json_object_set_string_member (json, "version", object->version);
  json_object_set_int_member (json, "revision", (gint64)object->revision);
  if (spec != NULL)
    json_object_set_member (json, "spec", json_node_copy (spec));
  else
    json_object_set_boolean_member (json, "deleted", TRUE);
  json_node_take_object (root, json);
  return json_to_string (root, FALSE);
}

static void
forget_oldest (sp_model_t *model)
{
  event_t *event = g_queue_pop_head (&model->history);

  g_hash_table_replace (model->floors, g_strdup (event->after->kind),
                        g_memdup2 (&event->revision, sizeof event->revision));
  event_free (event);
}

const sp_object_t *
sp_model_write (sp_model_t *model, const char *kind, const char *name,
                JsonNode *spec, cfd_time_t now)
{
  g_autofree char *key = g_strconcat (kind, "/", name, NULL);
  sp_object_t *object = g_rc_box_new0 (sp_object_t);
  sp_object_t *before = g_hash_table_lookup (model->objects, key);
  event_t *event = g_new0 (event_t, 1);

  object->kind = g_strdup (kind);
  object->name = g_strdup (name);
  object->revision = ++model->revision;
  object->version = g_strdup_printf ("%08x", g_random_int ());
  object->deleted = spec == NULL;
  object->text = object_text (object, spec);
  event->revision = object->revision;
  event->when = now;
  event->before = before == NULL ? NULL : g_rc_box_acquire (before);
  event->after = g_rc_box_acquire (object);
  g_queue_push_tail (&model->history, event);
  g_hash_table_replace (model->objects, g_steal_pointer (&key), object);
  if (model->history.length > model->history_max)
    forget_oldest (model);
  return object;
}

void
sp_model_unfreeze (sp_model_t *model)
{
  g_clear_pointer (&model->frozen, g_hash_table_unref);
}

/* Puts back what EVENT replaced.  */
static void
undo (GHashTable *objects, const event_t *event)
{
  char *key = g_strconcat (event->after->kind, "/", event->after->name, NULL);

  if (event->before != NULL)
    g_hash_table_replace (objects, key, g_rc_box_acquire (event->before));
  else
    {
      g_hash_table_remove (objects, key);
      g_free (key);
    }
}

void
sp_model_freeze (sp_model_t *model, cfd_time_t when)
{
  GHashTableIter iter;
  gpointer key;
  gpointer object;

  sp_model_unfreeze (model);
  model->frozen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_unref);
  g_hash_table_iter_init (&iter, model->objects);
  while (g_hash_table_iter_next (&iter, &key, &object))
    g_hash_table_insert (model->frozen, g_strdup (key),
                         g_rc_box_acquire (object));
  model->frozen_revision = model->revision;
  for (GList *link = model->history.tail; link != NULL; link = link->prev)
    {
      const event_t *event = link->data;

      if (event->when <= when)
        break;
      undo (model->frozen, event);
      model->frozen_revision = event->revision - 1;
    }
}

/* Whether KIND is in the comma-separated KINDS.  */
static bool
kind_in (const char *kind, const char *kinds)
{
  size_t length = strlen (kind);

  while (kinds != NULL)
    {
      if (strncmp (kinds, kind, length) == 0
          && (kinds[length] == ',' || kinds[length] == '\0'))
        return true;
      kinds = strchr (kinds, ',');
      if (kinds == NULL)
        return false;
      kinds++;
    }
  return true;
}

uint64_t
sp_model_get_revision (const sp_model_t *model, const char *kinds)
{
  uint64_t newest = 0;
  GHashTableIter iter;
  gpointer value;

  if (kinds == NULL)
    return model->frozen != NULL ? model->frozen_revision : model->revision;
  for (GList *link = model->history.tail; link != NULL; link = link->prev)
    {
      const event_t *event = link->data;

      if (event->revision <= sp_model_get_revision (model, NULL)
          && kind_in (event->after->kind, kinds))
        return event->revision;
    }
  g_hash_table_iter_init (&iter, readable (model));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const sp_object_t *object = value;

      if (object->revision > newest && kind_in (object->kind, kinds))
        newest = object->revision;
    }
  return newest;
}

static GString *
begin_answer (const sp_model_t *model, const char *kinds)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text, "{\"revision\":%" G_GUINT64_FORMAT ",\"objects\":[",
                   sp_model_get_revision (model, kinds));
  return text;
}

static void
add_object (GString *text, const sp_object_t *object)
{
  if (text->str[text->len - 1] != '[')
    g_string_append_c (text, ',');
  g_string_append (text, object->text);
}

char *
sp_model_list (const sp_model_t *model, const char *kinds)
{
  GString *text = begin_answer (model, kinds);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, readable (model));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const sp_object_t *object = value;

      if (!object->deleted && kind_in (object->kind, kinds))
        add_object (text, object);
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

char *
sp_model_list_page (const sp_model_t *model, const char *kinds,
                    const char *after, unsigned limit)
{
  GHashTable *objects = readable (model);
  GString *text = begin_answer (model, kinds);
  g_autofree gpointer *keys = NULL;
  guint count;
  guint i;

  keys = g_hash_table_get_keys_as_array (objects, &count);
  qsort (keys, count, sizeof *keys, compare_keys);
  for (i = 0; i < count && limit > 0; i++)
    {
      const sp_object_t *object = g_hash_table_lookup (objects, keys[i]);

      if (object->deleted || !kind_in (object->kind, kinds)
          || strcmp (keys[i], after) <= 0)
        continue;
      add_object (text, object);
      limit--;
    }
  g_string_append_c (text, ']');
  if (limit == 0)
    g_string_append_printf (text, ",\"next\":\"%s\"", (char *)keys[i - 1]);
  g_string_append_c (text, '}');
  return g_string_free (text, FALSE);
}

/* Whether a write of KINDS after AFTER was forgotten.  */
static bool
is_gone (const sp_model_t *model, uint64_t after, const char *kinds)
{
  GHashTableIter iter;
  gpointer kind;
  gpointer floor;

  g_hash_table_iter_init (&iter, model->floors);
  while (g_hash_table_iter_next (&iter, &kind, &floor))
    if (after < *(uint64_t *)floor && kind_in (kind, kinds))
      return true;
  return false;
}

char *
sp_model_list_changes (const sp_model_t *model, uint64_t after,
                       const char *kinds)
{
  uint64_t up_to = sp_model_get_revision (model, NULL);
  g_autoptr (GHashTable) seen = g_hash_table_new (NULL, NULL);
  GString *text;

  if (is_gone (model, after, kinds))
    return NULL;
  text = begin_answer (model, kinds);
  for (GList *link = model->history.tail; link != NULL; link = link->prev)
    {
      const event_t *event = link->data;
      const sp_object_t *object = event->after;
      g_autofree char *key = NULL;

      if (event->revision <= after)
        break;
      if (event->revision > up_to || !kind_in (object->kind, kinds))
        continue;
      key = g_strconcat (object->kind, "/", object->name, NULL);
      object = g_hash_table_lookup (readable (model), key);
      if (g_hash_table_add (seen, (gpointer)object))
        add_object (text, object);
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}
