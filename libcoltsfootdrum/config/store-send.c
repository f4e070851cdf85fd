/* Parts that the store sends to peers.

   A part from revision FROM brings all later changes, including deletions.  A
   store knows all deletions only since the last snapshot that it applied.  A
   peer that is behind that snapshot gets a snapshot (FROM 0) and marks all
   records that it lacks as deleted.  Otherwise a record that was deleted while
   both were disconnected would stay in force at the peer for ever.  */

#include "config/store-impl.h"
#include "base/log.h"

#include <string.h>

#define PART "config"
/* A larger snapshot is not sent to a peer that doesn't support pieces; that
   peer has to read the platform.  */
#define MAX_SNAPSHOT_FRAME_BYTES ((size_t)8 * 1024 * 1024)
/* Changes and snapshots are sent in pieces of about this size, and the peer
   asks for each after applying the one before.  18,000 accounts in one frame
   would take several copies of 4 MB at both ends, an eighth of a node's memory
   limit.  */
#define TARGET_PIECE_BYTES ((size_t)256 * 1024)
/* Objects are packed into JSON arrays of about this size.  */
#define TARGET_ARRAY_BYTES ((size_t)32 * 1024)

typedef struct
{
  GPtrArray *arrays;   /* complete JSON arrays */
  GString *open_array; /* the JSON array being filled */
  size_t bytes;
} packer_t;

static void
close_array (packer_t *packer)
{
  if (packer->open_array->len == 0)
    return;
  g_string_append_c (packer->open_array, ']');
  g_ptr_array_add (packer->arrays, g_strdup (packer->open_array->str));
  g_string_truncate (packer->open_array, 0);
}

static void
append_text (packer_t *packer, const char *text)
{
  size_t length = strlen (text);

  if (packer->open_array->len > 0
      && packer->open_array->len + length > TARGET_ARRAY_BYTES)
    close_array (packer);
  g_string_append_c (packer->open_array,
                     packer->open_array->len == 0 ? '[' : ',');
  g_string_append_len (packer->open_array, text, (gssize)length);
  packer->bytes += length + 2;
}

static void
pack_entry (packer_t *packer, const store_entry_t *entry)
{
  g_autofree char *text = store_entry_get_text (entry);

  append_text (packer, text);
}

static gint
compare_revisions (gconstpointer a, gconstpointer b)
{
  const store_entry_t *first = *(const store_entry_t *const *)a;
  const store_entry_t *second = *(const store_entry_t *const *)b;

  return (first->revision > second->revision)
         - (first->revision < second->revision);
}

/* Returns the entries for a peer of ROLE that changed after FROM, oldest
   first.  */
static GPtrArray *
list_changes_after (const store_t *store, role_t role, uint64_t from)
{
  GPtrArray *changes = g_ptr_array_new ();

  for (int kind = REC_ACCOUNT; kind < STORE_KIND_COUNT; kind++)
    {
      GHashTableIter iter;
      gpointer entry;

      if (!store_role_keeps_kind (role, kind))
        continue;
      g_hash_table_iter_init (&iter, store->entries[kind]);
      while (g_hash_table_iter_next (&iter, NULL, &entry))
        if (((const store_entry_t *)entry)->revision > from)
          g_ptr_array_add (changes, entry);
    }
  g_ptr_array_sort (changes, compare_revisions);
  return changes;
}

/* Packs CHANGES up to MAX_BYTES, and always all of one revision: the peer
   would otherwise take the rest for known.  Returns true if all changes were
   packed; otherwise sets UP_TO to the revision of the last one packed.  */
static bool
pack_changes (const GPtrArray *changes, size_t max_bytes, packer_t *packer,
              uint64_t *up_to)
{
  uint64_t last_revision = 0;

  for (guint i = 0; i < changes->len; i++)
    {
      const store_entry_t *entry = changes->pdata[i];

      if (packer->bytes > max_bytes && entry->revision > last_revision)
        {
          *up_to = last_revision;
          return false;
        }
      pack_entry (packer, entry);
      last_revision = entry->revision;
    }
  return true;
}

/* Makes a part without changes, by which the peer neither advances nor renews
   the age of its configuration.  */
static void
make_empty_part (uint64_t have, msg_config_part_t *part)
{
  part->from = have;
  part->up_to = have;
  part->age_ms = UINT32_MAX;
}

/* Handles a snapshot that is too large for a peer without support for pieces.
   It can't be split, because the peer would delete all records that the first
   piece lacks.  */
static void
reject_oversized_snapshot (uint64_t have, packer_t *packer,
                           msg_config_part_t *part)
{
  log_warn (PART,
            "The configuration is too large for a peer, which has to read"
            " the platform: bytes=%zu.",
            packer->bytes);
  g_ptr_array_set_size (packer->arrays, 0);
  make_empty_part (have, part);
}

static void
fill_changes (const store_t *store, role_t role, uint64_t have,
              msg_config_part_t *part)
{
  packer_t packer = { .arrays = g_ptr_array_new_with_free_func (g_free),
                      .open_array = g_string_new (NULL) };
  bool is_snapshot = part->from == 0;
  g_autoptr (GPtrArray) changes = list_changes_after (store, role, part->from);
  uint64_t last_revision = part->up_to;
  bool is_complete = pack_changes (
      changes, is_snapshot ? MAX_SNAPSHOT_FRAME_BYTES : TARGET_PIECE_BYTES,
      &packer, &last_revision);

  close_array (&packer);
  if (!is_complete && is_snapshot)
    reject_oversized_snapshot (have, &packer, part);
  /* The age applies to the newest revision, which this part doesn't reach.  */
  else if (!is_complete && last_revision < part->up_to)
    {
      part->up_to = last_revision;
      part->age_ms = UINT32_MAX;
    }
  g_string_free (packer.open_array, TRUE);
  part->count = packer.arrays->len;
  part->records = (const char *const *)g_ptr_array_free (packer.arrays, FALSE);
}

/* ---- pieces of a snapshot ---- */

int
store_compare_entry (const store_entry_t *entry, const msg_cursor_t *cursor)
{
  if (entry->kind != cursor->kind)
    return entry->kind < cursor->kind ? -1 : 1;
  return strcmp (entry->name, cursor->name);
}

static gint
compare_positions (gconstpointer a, gconstpointer b)
{
  const store_entry_t *second = *(const store_entry_t *const *)b;
  const msg_cursor_t position = { second->kind, second->name };

  return store_compare_entry (*(const store_entry_t *const *)a, &position);
}

/* The first entries of a snapshot after some position.  */
typedef struct
{
  GPtrArray *entries;
  guint max_entries;
  bool has_more; /* entries were cut off */
} selection_t;

static void
sort_and_truncate (selection_t *selection)
{
  g_ptr_array_sort (selection->entries, compare_positions);
  if (selection->entries->len <= selection->max_entries)
    return;
  g_ptr_array_set_size (selection->entries, (gint)selection->max_entries);
  selection->has_more = true;
}

/* Adds ENTRY unless it sorts after a full selection.  Sorts and truncates only
   at twice MAX_ENTRIES; sorting all 18,000 entries for each piece would take
   longer than making the piece.  */
static void
add_candidate (selection_t *selection, store_entry_t *entry)
{
  const store_entry_t *last_entry
      = selection->has_more
            ? selection->entries->pdata[selection->max_entries - 1]
            : NULL;

  if (last_entry != NULL
      && store_compare_entry (
             entry, &(msg_cursor_t){ last_entry->kind, last_entry->name })
             > 0)
    return;
  g_ptr_array_add (selection->entries, entry);
  if (selection->entries->len >= 2 * selection->max_entries)
    sort_and_truncate (selection);
}

/* Selects the first entries after AFTER for a peer of ROLE.  */
static void
select_entries (const store_t *store, role_t role, const msg_cursor_t *after,
                selection_t *selection)
{
  for (int kind = REC_ACCOUNT; kind < STORE_KIND_COUNT; kind++)
    {
      GHashTableIter iter;
      gpointer entry;

      if (!store_role_keeps_kind (role, kind) || (uint32_t)kind < after->kind)
        continue;
      g_hash_table_iter_init (&iter, store->entries[kind]);
      while (g_hash_table_iter_next (&iter, NULL, &entry))
        if (store_compare_entry (entry, after) > 0)
          add_candidate (selection, entry);
    }
  sort_and_truncate (selection);
}

/* Packs the entries of SELECTION up to TARGET_PIECE_BYTES.  Sets NEXT to the
   position of the last one packed if more follow.  */
static void
pack_piece (const selection_t *selection, packer_t *packer, msg_cursor_t *next)
{
  const store_entry_t *last_entry = NULL;
  guint packed = 0;

  while (packed < selection->entries->len
         && packer->bytes <= TARGET_PIECE_BYTES)
    {
      last_entry = selection->entries->pdata[packed++];
      pack_entry (packer, last_entry);
    }
  close_array (packer);
  if (last_entry != NULL
      && (selection->has_more || packed < selection->entries->len))
    *next = (msg_cursor_t){ last_entry->kind, last_entry->name };
}

/* Continues the snapshot that ASK names if this store has reached its
   revision, whichever process began it; otherwise begins a snapshot of the own
   revision.  See store-pieces.c.  */
static void
fill_piece (const store_t *store, role_t role, const msg_config_ask_t *ask,
            msg_config_part_t *part)
{
  bool is_continuation
      = ask->state > ask->have && ask->state <= store->revision;
  packer_t packer = { .arrays = g_ptr_array_new_with_free_func (g_free),
                      .open_array = g_string_new (NULL) };
  selection_t selection
      = { g_ptr_array_new (), store->max_piece_records, false };

  part->from = MSG_FROM_SNAPSHOT_PIECE;
  part->state = is_continuation ? ask->state : store->revision;
  part->up_to = part->state;
  if (is_continuation)
    part->after = ask->after;
  select_entries (store, role, &part->after, &selection);
  pack_piece (&selection, &packer, &part->next);
  /* The age applies to the newest revision, not to an older snapshot.  */
  if (part->state < store->revision)
    part->age_ms = UINT32_MAX;
  g_ptr_array_unref (selection.entries);
  g_string_free (packer.open_array, TRUE);
  part->count = packer.arrays->len;
  part->records = (const char *const *)g_ptr_array_free (packer.arrays, FALSE);
}

void
store_make_part (const store_t *store, role_t role,
                 const msg_config_ask_t *ask, cfd_time_t now,
                 msg_config_part_t *part)
{
  uint64_t have = ask->have;

  memset (part, 0, sizeof *part);
  /* An agent keeps no accounts.  Its snapshot would delete all accounts of a
     router, which would then refuse all clients.  */
  if (!store->keeps_accounts && store_role_keeps_kind (role, REC_ACCOUNT))
    {
      make_empty_part (have, part);
      return;
    }
  part->from = have < store->deletions_known_from ? 0 : have;
  part->up_to = store->revision;
  part->age_ms = store_get_age_ms (store, now);
  if (have >= store->revision)
    return;
  if (part->from == 0 && ask->pieces)
    fill_piece (store, role, ask, part);
  else
    fill_changes (store, role, have, part);
}

void
store_part_clear (msg_config_part_t *part)
{
  for (uint32_t i = 0; i < part->count; i++)
    g_free ((char *)part->records[i]);
  g_free ((void *)part->records);
  memset (part, 0, sizeof *part);
}
