/* What comes into the store from the platform and from peers.  Both carry
   revisions of the same counter of the platform, so the higher is the newer,
   whoever says it.  */

#include "config/store-impl.h"
#include "base/log.h"

#define PART "config"

/* Takes OBJECTS, an array of objects, and notes their entries in PRESENT
   unless that is NULL.  */
static unsigned
take_array (store_t *store, JsonArray *objects, GHashTable *present,
            cfd_time_t now)
{
  guint count = json_array_get_length (objects);

  for (guint i = 0; i < count; i++)
    {
      JsonNode *node = json_array_get_element (objects, i);
      store_entry_t *entry;

      if (!JSON_NODE_HOLDS_OBJECT (node))
        continue;
      entry = store_take_object (store, json_node_get_object (node), now);
      if (present != NULL && entry != NULL)
        g_hash_table_add (present, entry);
    }
  return count;
}

void
store_took_whole (store_t *store, GHashTable *present, uint64_t revision,
                  cfd_time_t now)
{
  if (revision <= store->revision)
    return;
  store_drop_absent (store, present, revision, now);
  store->deletions_known_from = revision;
}

static void
check_monotonic (const store_t *store, uint64_t before)
{
  INVARIANT ("configuration-monotonic", store->revision >= before,
             "the configuration in force went back to an older revision");
}

/* The objects of ANSWER and its revision, or NULL when it has none.  */
static JsonArray *
read_answer (JsonObject *answer, uint64_t *revision)
{
  gint64 number
      = json_object_get_int_member_with_default (answer, "revision", -1);
  JsonNode *objects = json_object_get_member (answer, "objects");

  if (number < 0 || objects == NULL || !JSON_NODE_HOLDS_ARRAY (objects))
    {
      log_warn (PART, "The platform's answer has no revision or objects.");
      return NULL;
    }
  *revision = (uint64_t)number;
  return json_node_get_array (objects);
}

void
store_apply_objects (store_t *store, JsonObject *answer, cfd_time_t now)
{
  bool is_whole = json_object_get_boolean_member_with_default (
      answer, "complete", FALSE);
  g_autoptr (GHashTable) present
      = is_whole ? g_hash_table_new (NULL, NULL) : NULL;
  uint64_t before = store->revision;
  uint64_t revision;
  JsonArray *objects = read_answer (answer, &revision);
  unsigned changed;

  if (objects == NULL)
    return;
  if (revision < store->revision)
    {
      log_debug (
          PART,
          "The platform answered an older state: revision=%" G_GUINT64_FORMAT
          ".",
          revision);
      return;
    }
  changed = take_array (store, objects, present, now);
  if (is_whole)
    store_took_whole (store, present, revision, now);
  store_advance (store, revision, changed);
  store_heard (store, now);
  check_monotonic (store, before);
}

bool
store_take_page (store_t *store, JsonObject *answer, GHashTable **present,
                 uint64_t *revision, const char **next, cfd_time_t now)
{
  uint64_t page_revision;
  JsonArray *objects = read_answer (answer, &page_revision);

  if (objects == NULL)
    return false;
  *next = json_object_get_string_member_with_default (answer, "next", NULL);
  if (*present == NULL)
    {
      *present = g_hash_table_new (NULL, NULL);
      *revision = page_revision;
    }
  /* What was deleted here since must not come back from an older state.  */
  if (page_revision >= store->revision)
    take_array (store, objects, *present, now);
  if (*next != NULL)
    return true;
  if (*revision >= store->revision)
    {
      store_took_whole (store, *present, *revision, now);
      store_advance (store, *revision, g_hash_table_size (*present));
      store_heard (store, now);
    }
  g_clear_pointer (present, g_hash_table_unref);
  return true;
}

unsigned
store_take_text (store_t *store, const char *text, GHashTable *present,
                 cfd_time_t now)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (JsonNode) root = json_from_string (text, &error);
  g_autoptr (JsonArray) single = NULL;

  if (root != NULL && JSON_NODE_HOLDS_ARRAY (root))
    return take_array (store, json_node_get_array (root), present, now);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      log_warn (PART, "A peer sent a record that is no JSON object.");
      return 0;
    }
  single = json_array_new ();
  json_array_add_object_element (
      single, json_object_ref (json_node_get_object (root)));
  return take_array (store, single, present, now);
}

static bool
take_changes (store_t *store, const msg_config_part_t *part, cfd_time_t now)
{
  bool is_whole = part->from == 0;
  g_autoptr (GHashTable) present = NULL;
  uint64_t before = store->revision;
  unsigned changed = 0;

  /* A gap before FROM may hide a deletion; the next ask closes it.  What ends
     before the revision in force brings nothing.  */
  if (part->from > store->revision || part->up_to < store->revision)
    return false;
  if (is_whole)
    present = g_hash_table_new (NULL, NULL);
  for (uint32_t i = 0; i < part->count; i++)
    changed += store_take_text (store, part->records[i], present, now);
  if (is_whole)
    store_took_whole (store, present, part->up_to, now);
  store_advance (store, part->up_to, changed);
  if (part->age_ms != UINT32_MAX)
    store_heard (store, now - (cfd_time_t)part->age_ms);
  return store->revision > before;
}

bool
store_apply_part (store_t *store, const msg_config_part_t *part,
                  cfd_time_t now)
{
  uint64_t before = store->revision;
  bool is_news = part->state != 0 ? store_take_piece (store, part, now)
                                  : take_changes (store, part, now);

  check_monotonic (store, before);
  return is_news;
}
