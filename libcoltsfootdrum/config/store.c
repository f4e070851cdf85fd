#include "config/store-impl.h"
#include "base/log.h"
#include "config/rec-parse.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#define PART "config"

/* ---- index of the accounts' keys ---- */

static guint
key_index_hash (gconstpointer key)
{
  guint value;

  memcpy (&value, key, sizeof value);
  return value;
}

/* Compares in constant time, so that response times don't reveal how many
   bytes of a guess match.  */
static gboolean
key_index_equal (gconstpointer a, gconstpointer b)
{
  return sodium_memcmp (a, b, sizeof (rec_key_hash_t)) == 0;
}

/* Maps the key HASH to ENTRY.  If several accounts have the key, the one whose
   name sorts first gets it, so that all processes choose the same one.  */
static void
key_index_add (store_t *store, rec_key_hash_t *hash, store_entry_t *entry)
{
  const store_entry_t *other = g_hash_table_lookup (store->keys, hash);

  if (other != NULL && other != entry)
    {
      store->has_shared_keys = true;
      log_warn (PART,
                "Two accounts have one key, the first by name holds it:"
                " account=%s other=%s.",
                entry->name, other->name);
      if (strcmp (other->name, entry->name) < 0)
        return;
    }
  g_hash_table_replace (store->keys, hash, entry);
}

/* Calls VISIT for each key of ENTRY.  */
static void
foreach_key (store_t *store, store_entry_t *entry,
             void (*visit) (store_t *store, rec_key_hash_t *hash,
                            store_entry_t *entry))
{
  const rec_t *record = entry->record;

  if (record == NULL || record->kind != REC_ACCOUNT || record->deleted)
    return;
  for (unsigned i = 0; i < record->u.account.key_count; i++)
    visit (store, &record->u.account.keys[i], entry);
}

static void
key_index_remove (store_t *store, rec_key_hash_t *hash, store_entry_t *entry)
{
  if (g_hash_table_lookup (store->keys, hash) == entry)
    g_hash_table_remove (store->keys, hash);
}

/* Adds the keys of ENTRY's new record to the index.  If accounts ever shared a
   key, one that this account no longer has may belong to another account, so
   all accounts are added again.  */
static void
key_index_add_all (store_t *store, store_entry_t *entry)
{
  GHashTableIter iter;
  gpointer other;

  foreach_key (store, entry, key_index_add);
  if (!store->has_shared_keys || entry->kind != REC_ACCOUNT)
    return;
  g_hash_table_iter_init (&iter, store->entries[REC_ACCOUNT]);
  while (g_hash_table_iter_next (&iter, NULL, &other))
    foreach_key (store, other, key_index_add);
}

/* ---- entries ---- */

static void
entry_free (gpointer pointer)
{
  store_entry_t *entry = pointer;

  rec_free (entry->record);
  g_free (entry->text);
  g_ref_string_release (entry->name);
  g_free (entry);
}

static store_entry_t *
get_or_add_entry (store_t *store, const rec_t *record)
{
  GHashTable *entries = store->entries[record->kind];
  store_entry_t *entry = g_hash_table_lookup (entries, record->name);

  if (entry != NULL)
    return entry;
  entry = g_new0 (store_entry_t, 1);
  entry->kind = record->kind;
  entry->name = g_ref_string_acquire (record->name);
  g_hash_table_insert (entries, entry->name, entry);
  return entry;
}

char *
store_entry_get_text (const store_entry_t *entry)
{
  return entry->text != NULL ? g_strdup (entry->text)
                             : rec_to_text (entry->record);
}

static void
log_zone_change (store_t *store, const rec_t *previous, const rec_t *record)
{
  bool was_out
      = previous != NULL && !previous->deleted && previous->u.zone.out;
  bool is_out = !record->deleted && record->u.zone.out;

  if (was_out == is_out)
    return;
  log_info (PART, "Zone is %s: zone=%s.", is_out ? "out of service" : "back",
            record->name);
  if (store->ring != NULL)
    tl_add (store->ring, TL_ZONE, NULL, record->name, NULL, NULL,
            is_out ? "out of service" : "back in service");
}

/* Puts RECORD into force and takes ownership of it.  */
static void
apply_record (store_t *store, store_entry_t *entry, rec_t *record,
              cfd_time_t now)
{
  g_autoptr (rec_t) previous = entry->record;
  bool was_present = previous != NULL && !previous->deleted;

  INVARIANT ("record-monotonic", record->revision >= entry->revision,
             "a record in force went back to an older revision");
  foreach_key (store, entry, key_index_remove);
  g_clear_pointer (&entry->text, g_free);
  entry->record = record;
  entry->revision = record->revision;
  key_index_add_all (store, entry);
  if (record->kind == REC_ZONE)
    log_zone_change (store, previous, record);
  if (record->deleted && !was_present)
    return;
  if (store->events != NULL && store->events->record != NULL)
    store->events->record (store->user, record, now);
}

/* Keeps the text of a record that can't be parsed, for peers that can parse
   it, and leaves the last valid record in force.  */
static void
keep_unparsed_text (store_entry_t *entry, const rec_t *record,
                    JsonObject *object, const GError *error)
{
  log_warn (PART, "Skipped a record, %s: revision=%" G_GUINT64_FORMAT ": %s.",
            entry->record != NULL ? "the last valid one stays in force"
                                  : "none is in force",
            record->revision, error->message);
  g_free (entry->text);
  entry->text = rec_object_to_text (object);
  entry->revision = record->revision;
}

/* Returns whether OBJECT is an account in a process that keeps none.  Checked
   before parsing, which takes most of the time and memory.  */
static bool
is_skipped_account (const store_t *store, JsonObject *object)
{
  const char *kind
      = json_object_get_string_member_with_default (object, "kind", "");

  return !store->keeps_accounts
         && strcmp (kind, rec_kind_name (REC_ACCOUNT)) == 0;
}

store_entry_t *
store_apply_object (store_t *store, JsonObject *object, cfd_time_t now)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (rec_t) record = NULL;
  store_entry_t *entry;

  if (is_skipped_account (store, object))
    return NULL;
  record = rec_parse_envelope (object, &error);
  if (record == NULL)
    {
      log_warn (PART, "Skipped an object: %s.", error->message);
      return NULL;
    }
  entry = get_or_add_entry (store, record);
  if (record->revision <= entry->revision)
    return entry;
  if (rec_parse_contents (record, object, store->newest_schema, &error))
    apply_record (store, entry, g_steal_pointer (&record), now);
  else
    keep_unparsed_text (entry, record, object, error);
  return entry;
}

/* Returns a record that marks NAME as deleted at REVISION.  */
static rec_t *
make_tombstone (rec_kind_t kind, const char *name, uint64_t revision)
{
  g_autoptr (JsonObject) object = json_object_new ();

  json_object_set_string_member (object, "kind", rec_kind_name (kind));
  json_object_set_string_member (object, "name", name);
  json_object_set_int_member (object, "revision", (gint64)revision);
  json_object_set_boolean_member (object, "deleted", TRUE);
  return rec_parse (object, NULL);
}

static bool
is_deleted (const store_entry_t *entry)
{
  return entry->record != NULL && entry->record->deleted
         && entry->text == NULL;
}

void
store_delete_absent (store_t *store, GHashTable *present, uint64_t revision,
                     cfd_time_t now)
{
  for (int kind = REC_ACCOUNT; kind < STORE_KIND_COUNT; kind++)
    {
      GHashTableIter iter;
      gpointer value;

      g_hash_table_iter_init (&iter, store->entries[kind]);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          store_entry_t *entry = value;

          if (is_deleted (entry) || entry->revision > revision
              || g_hash_table_contains (present, entry))
            continue;
          apply_record (store, entry,
                        make_tombstone (kind, entry->name, revision), now);
        }
    }
}

/* ---- revision and age ---- */

void
store_advance_revision (store_t *store, uint64_t revision, unsigned changed)
{
  g_autofree char *detail = NULL;

  if (revision <= store->revision)
    return;
  store->revision = revision;
  store_drop_reached_pieces (store);
  detail = g_strdup_printf ("revision=%" G_GUINT64_FORMAT " records=%u",
                            revision, changed);
  log_info (PART, "Configuration is in force: %s.", detail);
  if (store->ring != NULL)
    tl_add (store->ring, TL_CONFIG, NULL, NULL, NULL, NULL, detail);
  if (store->events != NULL && store->events->revision_advanced != NULL)
    store->events->revision_advanced (store->user);
}

void
store_record_peer_revision (store_t *store, uint64_t revision, cfd_time_t now)
{
  if (revision <= store->revision)
    return;
  if (store->peer_revision <= store->revision)
    store->behind_since = now;
  store->peer_revision = MAX (store->peer_revision, revision);
}

cfd_time_t
store_get_behind_ms (const store_t *store, cfd_time_t now)
{
  return store->peer_revision > store->revision ? now - store->behind_since
                                                : 0;
}

void
store_record_contact (store_t *store, cfd_time_t last_contact)
{
  if (store->last_contact == CFD_TIME_NEVER
      || last_contact > store->last_contact)
    store->last_contact = last_contact;
}

uint64_t
store_get_revision (const store_t *store)
{
  return store->revision;
}

uint32_t
store_get_age_ms (const store_t *store, cfd_time_t now)
{
  if (store->last_contact == CFD_TIME_NEVER)
    return UINT32_MAX;
  return (uint32_t)CLAMP (now - store->last_contact, 0,
                          (cfd_time_t)UINT32_MAX);
}

bool
store_is_platform_up (const store_t *store)
{
  return store->is_platform_up;
}

/* ---- lookups ---- */

const rec_t *
store_get (const store_t *store, rec_kind_t kind, const char *name)
{
  const store_entry_t *entry
      = g_hash_table_lookup (store->entries[kind], name);

  if (entry == NULL || entry->record == NULL || entry->record->deleted)
    return NULL;
  return entry->record;
}

void
store_foreach (const store_t *store, rec_kind_t kind,
               void (*visit) (void *user, const rec_t *record), void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, store->entries[kind]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const store_entry_t *entry = value;

      if (entry->record != NULL && !entry->record->deleted)
        visit (user, entry->record);
    }
}

const rec_t *
store_find_account_by_key (const store_t *store, const char *key)
{
  const store_entry_t *entry;
  rec_key_hash_t hash;

  rec_hash_key (key, &hash);
  entry = g_hash_table_lookup (store->keys, &hash);
  return entry == NULL ? NULL : entry->record;
}

bool
store_is_zone_out (const store_t *store, const char *zone)
{
  const rec_t *record = store_get (store, REC_ZONE, zone);

  return record != NULL && record->u.zone.out;
}

/* ---- rendezvous hashing ---- */

const char *
store_find_home_router (const store_t *store, const char *account,
                        const char *service,
                        bool (*is_usable) (void *user, const char *router),
                        void *user)
{
  const GPtrArray *routers = store_get_instances (store, ROLE_ROUTER);
  g_autofree char *key = g_strconcat (account, "\n", service, NULL);
  uint64_t seed = XXH3_64bits (key, strlen (key));
  uint64_t best_weight = 0;
  const char *best = NULL;

  for (guint i = 0; i < routers->len; i++)
    {
      const store_instance_t *router = g_ptr_array_index (routers, i);
      uint64_t weight;

      if (router->leaving
          || (is_usable != NULL && !is_usable (user, router->name)))
        continue;
      weight
          = XXH3_64bits_withSeed (router->name, strlen (router->name), seed);
      if (best != NULL
          && (weight < best_weight
              || (weight == best_weight && strcmp (router->name, best) > 0)))
        continue;
      best = router->name;
      best_weight = weight;
    }
  return best;
}

/* ---- creation and destruction ---- */

bool
store_role_keeps_kind (role_t role, rec_kind_t kind)
{
  return role != ROLE_AGENT || kind != REC_ACCOUNT;
}

void
store_set_self (store_t *store, role_t role, const char *instance)
{
  g_free (store->self);
  store->self = g_strdup (instance);
  store->self_role = role;
  store->keeps_accounts = store_role_keeps_kind (role, REC_ACCOUNT);
}

store_t *
store_new (tl_ring_t *ring, const store_events_t *events, void *user)
{
  store_t *store = g_new0 (store_t, 1);

  store->ring = ring;
  store->events = events;
  store->user = user;
  store->last_contact = CFD_TIME_NEVER;
  store->keeps_accounts = true;
  store->newest_schema = REC_SCHEMA_NEWEST;
  store->max_piece_records = STORE_MAX_PIECE_RECORDS;
  store->max_snapshot_records = STORE_MAX_SNAPSHOT_RECORDS;
  for (int kind = 0; kind < STORE_KIND_COUNT; kind++)
    store->entries[kind]
        = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  store->keys = g_hash_table_new (key_index_hash, key_index_equal);
  for (int role = 0; role < STORE_ROLE_COUNT; role++)
    store->instances[role] = g_ptr_array_new ();
  return store;
}

void
store_free (store_t *store)
{
  if (store == NULL)
    return;
  store_follow_free (store->follow);
  store_pieces_free (store->pieces);
  g_hash_table_unref (store->keys);
  for (int kind = 0; kind < STORE_KIND_COUNT; kind++)
    g_hash_table_unref (store->entries[kind]);
  for (int role = 0; role < STORE_ROLE_COUNT; role++)
    g_ptr_array_unref (store->instances[role]);
  g_free (store->instances_text);
  g_free (store->self);
  g_free (store);
}
