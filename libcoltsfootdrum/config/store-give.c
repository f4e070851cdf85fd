/* What goes out from the store to peers.

   A part from revision FROM brings each change after it, deletions too.  A
   store knows of all deletions only since the last whole state it took: a peer
   that is behind that gets a whole state (FROM 0), and marks as deleted what
   that lacks.  Else a record deleted while both were cut off would stay in
   force at the peer for ever.  */

#include "config/store-impl.h"
#include "base/log.h"

#include <string.h>

#define PART "config"
/* A whole state that is larger is not sent in one frame, to a peer that knows
   no pieces; that reads the platform.  */
#define WHOLE_BYTES_MAX ((size_t)8 * 1024 * 1024)
/* Changes and whole states go in pieces of about this size, each asked for
   when the one before was taken: 18,000 accounts in one frame would take 4 MB
   several times over at both ends, an eighth of what a node may spend.  */
#define PIECE_BYTES ((size_t)256 * 1024)
/* Objects are packed into arrays of about this size.  */
#define TEXT_BYTES ((size_t)32 * 1024)

typedef struct
{
  GPtrArray *texts; /* finished arrays */
  GString *open;    /* the array being filled */
  size_t bytes;
} packer_t;

static void
pack_close (packer_t *packer)
{
  if (packer->open->len == 0)
    return;
  g_string_append_c (packer->open, ']');
  g_ptr_array_add (packer->texts, g_strdup (packer->open->str));
  g_string_truncate (packer->open, 0);
}

static void
pack (packer_t *packer, const char *text)
{
  size_t length = strlen (text);

  if (packer->open->len > 0 && packer->open->len + length > TEXT_BYTES)
    pack_close (packer);
  g_string_append_c (packer->open, packer->open->len == 0 ? '[' : ',');
  g_string_append_len (packer->open, text, (gssize)length);
  packer->bytes += length + 2;
}

static void
pack_entry (packer_t *packer, const store_entry_t *entry)
{
  g_autofree char *text = store_entry_text (entry);

  pack (packer, text);
}

static gint
compare_revisions (gconstpointer a, gconstpointer b)
{
  const store_entry_t *first = *(const store_entry_t *const *)a;
  const store_entry_t *second = *(const store_entry_t *const *)b;

  return (first->revision > second->revision)
         - (first->revision < second->revision);
}

/* The entries for a peer of ROLE that changed after FROM, oldest first.  */
static GPtrArray *
changes_after (const store_t *store, role_t role, uint64_t from)
{
  GPtrArray *changes = g_ptr_array_new ();

  for (int kind = REC_ACCOUNT; kind < STORE_KINDS; kind++)
    {
      GHashTableIter iter;
      gpointer entry;

      if (!store_role_keeps (role, kind))
        continue;
      g_hash_table_iter_init (&iter, store->entries[kind]);
      while (g_hash_table_iter_next (&iter, NULL, &entry))
        if (((const store_entry_t *)entry)->revision > from)
          g_ptr_array_add (changes, entry);
    }
  g_ptr_array_sort (changes, compare_revisions);
  return changes;
}

/* Packs CHANGES up to BYTES_MAX and never cuts between two of one revision:
   the rest would seem known at the peer.  True when all of them were packed,
   else UP_TO is the revision of the last that was.  */
static bool
pack_changes (const GPtrArray *changes, size_t bytes_max, packer_t *packer,
              uint64_t *up_to)
{
  uint64_t last = 0;

  for (guint i = 0; i < changes->len; i++)
    {
      const store_entry_t *entry = changes->pdata[i];

      if (packer->bytes > bytes_max && entry->revision > last)
        {
          *up_to = last;
          return false;
        }
      pack_entry (packer, entry);
      last = entry->revision;
    }
  return true;
}

/* A part that brings nothing, so that the peer neither advances nor takes what
   it knows for fresh.  */
static void
say_nothing (uint64_t have, msg_config_part_t *part)
{
  part->from = have;
  part->up_to = have;
  part->age_ms = UINT32_MAX;
}

/* For a peer that knows no pieces a whole state can't be cut: what the first
   piece lacks would be deleted there.  */
static void
refuse_whole (uint64_t have, packer_t *packer, msg_config_part_t *part)
{
  log_warn (PART,
            "The configuration is too large for a peer, which has to read"
            " the platform: bytes=%zu.",
            packer->bytes);
  g_ptr_array_set_size (packer->texts, 0);
  say_nothing (have, part);
}

static void
fill_part (const store_t *store, role_t role, uint64_t have,
           msg_config_part_t *part)
{
  packer_t packer = { .texts = g_ptr_array_new_with_free_func (g_free),
                      .open = g_string_new (NULL) };
  bool is_whole = part->from == 0;
  g_autoptr (GPtrArray) changes = changes_after (store, role, part->from);
  uint64_t last = part->up_to;
  bool is_all = pack_changes (
      changes, is_whole ? WHOLE_BYTES_MAX : PIECE_BYTES, &packer, &last);

  pack_close (&packer);
  if (!is_all && is_whole)
    refuse_whole (have, &packer, part);
  /* The age is that of all that is known here, not of a piece.  */
  else if (!is_all && last < part->up_to)
    {
      part->up_to = last;
      part->age_ms = UINT32_MAX;
    }
  g_string_free (packer.open, TRUE);
  part->count = packer.texts->len;
  part->records = (const char *const *)g_ptr_array_free (packer.texts, FALSE);
}

/* ---- pieces of a whole state ---- */

int
store_entry_at (const store_entry_t *entry, const msg_cursor_t *cursor)
{
  if (entry->kind != cursor->kind)
    return entry->kind < cursor->kind ? -1 : 1;
  return strcmp (entry->name, cursor->name);
}

static gint
compare_places (gconstpointer a, gconstpointer b)
{
  const store_entry_t *second = *(const store_entry_t *const *)b;
  const msg_cursor_t place = { second->kind, second->name };

  return store_entry_at (*(const store_entry_t *const *)a, &place);
}

/* The first entries of a whole state after some place.  */
typedef struct
{
  GPtrArray *entries;
  guint most;
  bool is_cut; /* there are more */
} first_t;

static void
sort_and_cut (first_t *first)
{
  g_ptr_array_sort (first->entries, compare_places);
  if (first->entries->len <= first->most)
    return;
  g_ptr_array_set_size (first->entries, (gint)first->most);
  first->is_cut = true;
}

/* Cuts at twice as many: sorting all 18,000 entries for each piece would take
   longer than to make it.  */
static void
note_first (first_t *first, store_entry_t *entry)
{
  const store_entry_t *last
      = first->is_cut ? first->entries->pdata[first->most - 1] : NULL;

  if (last != NULL
      && store_entry_at (entry, &(msg_cursor_t){ last->kind, last->name }) > 0)
    return;
  g_ptr_array_add (first->entries, entry);
  if (first->entries->len >= 2 * first->most)
    sort_and_cut (first);
}

/* Those for a peer of ROLE.  */
static void
find_first (const store_t *store, role_t role, const msg_cursor_t *after,
            first_t *first)
{
  for (int kind = REC_ACCOUNT; kind < STORE_KINDS; kind++)
    {
      GHashTableIter iter;
      gpointer entry;

      if (!store_role_keeps (role, kind) || (uint32_t)kind < after->kind)
        continue;
      g_hash_table_iter_init (&iter, store->entries[kind]);
      while (g_hash_table_iter_next (&iter, NULL, &entry))
        if (store_entry_at (entry, after) > 0)
          note_first (first, entry);
    }
  sort_and_cut (first);
}

/* Packs what FIRST has up to PIECE_BYTES.  NEXT is the place of the last that
   was packed when more follow.  */
static void
pack_piece (const first_t *first, packer_t *packer, msg_cursor_t *next)
{
  const store_entry_t *last = NULL;
  guint packed = 0;

  while (packed < first->entries->len && packer->bytes <= PIECE_BYTES)
    {
      last = first->entries->pdata[packed++];
      pack_entry (packer, last);
    }
  pack_close (packer);
  if (last != NULL && (first->is_cut || packed < first->entries->len))
    *next = (msg_cursor_t){ last->kind, last->name };
}

/* Goes on with the state that ASK names when all of it is known here, whoever
   began it; else begins the own one.  See store-pieces.c.  */
static void
fill_piece (const store_t *store, role_t role, const msg_config_ask_t *ask,
            msg_config_part_t *part)
{
  bool goes_on = ask->state > ask->have && ask->state <= store->revision;
  packer_t packer = { .texts = g_ptr_array_new_with_free_func (g_free),
                      .open = g_string_new (NULL) };
  first_t first = { g_ptr_array_new (), store->max_piece_records, false };

  part->from = MSG_FROM_SNAPSHOT_PIECE;
  part->state = goes_on ? ask->state : store->revision;
  part->up_to = part->state;
  if (goes_on)
    part->after = ask->after;
  find_first (store, role, &part->after, &first);
  pack_piece (&first, &packer, &part->next);
  /* The age is that of all that is known here, not of an older state.  */
  if (part->state < store->revision)
    part->age_ms = UINT32_MAX;
  g_ptr_array_unref (first.entries);
  g_string_free (packer.open, TRUE);
  part->count = packer.texts->len;
  part->records = (const char *const *)g_ptr_array_free (packer.texts, FALSE);
}

void
store_make_part (const store_t *store, role_t role,
                 const msg_config_ask_t *ask, cfd_time_t now,
                 msg_config_part_t *part)
{
  uint64_t have = ask->have;

  memset (part, 0, sizeof *part);
  /* An agent that spoke for a whole state to a router would delete all of its
     accounts, and lock every caller out.  */
  if (!store->keeps_accounts && store_role_keeps (role, REC_ACCOUNT))
    {
      say_nothing (have, part);
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
    fill_part (store, role, have, part);
}

void
store_part_clear (msg_config_part_t *part)
{
  for (uint32_t i = 0; i < part->count; i++)
    g_free ((char *)part->records[i]);
  g_free ((void *)part->records);
  memset (part, 0, sizeof *part);
}
