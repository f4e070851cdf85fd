/* Changes that come into the store from the platform and from peers.  Both
   carry revisions of the same counter of the platform, so the higher revision
   is the newer one, whichever source it comes from.  */

#include "config/store-impl.h"
#include "base/jsn.h"
#include "base/log.h"

#define PART "config"

/* Applies OBJECTS, an array of objects, and adds their entries to PRESENT
   unless that is NULL.  Returns the number of objects.  */
static unsigned
apply_array (store_t *store, JsonArray *objects, GHashTable *present,
             cfd_time_t now)
{
  guint count = json_array_get_length (objects);

  for (guint i = 0; i < count; i++)
    {
      JsonNode *node = json_array_get_element (objects, i);
      store_entry_t *entry;

      if (!JSON_NODE_HOLDS_OBJECT (node))
        continue;
      entry = store_apply_object (store, json_node_get_object (node), now);
      if (present != NULL && entry != NULL)
        g_hash_table_add (present, entry);
    }
  return count;
}

void
store_complete_snapshot (store_t *store, GHashTable *present,
                         uint64_t revision, cfd_time_t now)
{
  if (revision <= store->revision)
    return;
  store_delete_absent (store, present, revision, now);
  store->deletions_known_from = revision;
}

static void
check_monotonic (const store_t *store, uint64_t before)
{
  INVARIANT ("configuration-monotonic", store->revision >= before,
             "the configuration in force went back to an older revision");
}

/* Returns the objects of ANSWER and sets its REVISION, or returns NULL if
   ANSWER is invalid.  */
static JsonArray *
parse_answer (JsonObject *answer, uint64_t *revision)
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
  bool is_snapshot = json_object_get_boolean_member_with_default (
      answer, "complete", FALSE);
  g_autoptr (GHashTable) present
      = is_snapshot ? g_hash_table_new (NULL, NULL) : NULL;
  uint64_t before = store->revision;
  uint64_t revision;
  JsonArray *objects = parse_answer (answer, &revision);
  unsigned changed;

  if (objects == NULL)
    return;
  if (revision < store->revision)
    {
      log_debug (PART,
                 "Ignored an older answer of the platform: "
                 "revision=%" G_GUINT64_FORMAT ".",
                 revision);
      return;
    }
  changed = apply_array (store, objects, present, now);
  if (is_snapshot)
    store_complete_snapshot (store, present, revision, now);
  store_advance_revision (store, revision, changed);
  store_record_contact (store, now);
  check_monotonic (store, before);
}

bool
store_apply_page (store_t *store, JsonObject *answer, GHashTable **present,
                  uint64_t *revision, const char **next, cfd_time_t now)
{
  uint64_t page_revision;
  JsonArray *objects = parse_answer (answer, &page_revision);

  if (objects == NULL)
    return false;
  *next = json_object_get_string_member_with_default (answer, "next", NULL);
  if (*present == NULL)
    {
      *present = g_hash_table_new (NULL, NULL);
      *revision = page_revision;
    }
  /* A page older than the revision in force could bring back records that have
     been deleted since.  */
  if (page_revision >= store->revision)
    apply_array (store, objects, *present, now);
  if (*next != NULL)
    return true;
  if (*revision >= store->revision)
    {
      store_complete_snapshot (store, *present, *revision, now);
      store_advance_revision (store, *revision, g_hash_table_size (*present));
      store_record_contact (store, now);
    }
  g_clear_pointer (present, g_hash_table_unref);
  return true;
}

unsigned
store_apply_text (store_t *store, const char *text, GHashTable *present,
                  cfd_time_t now)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (JsonNode) root = jsn_parse (text, &error);
  g_autoptr (JsonArray) single = NULL;

  if (root != NULL && JSON_NODE_HOLDS_ARRAY (root))
    return apply_array (store, json_node_get_array (root), present, now);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      log_warn (PART, "A peer sent a record that is no JSON object.");
      return 0;
    }
  single = json_array_new ();
  json_array_add_object_element (
      single, json_object_ref (json_node_get_object (root)));
  return apply_array (store, single, present, now);
}

static bool
apply_changes (store_t *store, const msg_config_part_t *part, cfd_time_t now)
{
  bool is_snapshot = part->from == 0;
  g_autoptr (GHashTable) present = NULL;
  uint64_t before = store->revision;
  unsigned changed = 0;

  /* A gap before FROM may hide a deletion; the next CONFIG_ASK closes it.  A
     part that ends before the revision in force brings nothing new.  */
  if (part->from > store->revision || part->up_to < store->revision)
    return false;
  if (is_snapshot)
    present = g_hash_table_new (NULL, NULL);
  for (uint32_t i = 0; i < part->count; i++)
    changed += store_apply_text (store, part->records[i], present, now);
  if (is_snapshot)
    store_complete_snapshot (store, present, part->up_to, now);
  store_advance_revision (store, part->up_to, changed);
  if (part->age_ms != UINT32_MAX)
    store_record_contact (store, now - (cfd_time_t)part->age_ms);
  return store->revision > before;
}

bool
store_apply_part (store_t *store, const msg_config_part_t *part,
                  cfd_time_t now)
{
  uint64_t before = store->revision;
  bool has_advanced = part->state != 0 ? store_apply_piece (store, part, now)
                                       : apply_changes (store, part, now);

  check_monotonic (store, before);
  return has_advanced;
}
