/* Receiving a snapshot in pieces.

   A store that is behind its peer's first list needs a snapshot (see
   store-send.c).  It comes in pieces of about 256 KB, ordered by kind and
   name.  The sender keeps no state between pieces, since each CONFIG_ASK
   carries the position:

     ask   HAVE, PIECES, and from the second one on STATE and AFTER, the
           position that the receiver has reached
     part  STATE, AFTER, the records after AFTER as they are now, including
           deleted ones, and NEXT, the position of the last record; without
           NEXT it is the last piece

   STATE is the sender's revision when it made the first piece.  The receiver
   puts records into force as they come, each by its own revision, and keeps
   the set of those that it got.  At the end it deletes the records up to STATE
   that are not in the set, and its revision is STATE.  Later changes come as
   changes after STATE.

   This is correct although pieces are made at different times and by different
   senders.  The sender of a piece has at least STATE, so each record in the
   piece's range that existed at STATE is in the piece or was deleted since.
   Records that came are of STATE or newer, and those that did not come no
   longer exist; the changes after STATE bring the same result once more.  A
   record never changes its position.  A receiver that has reached STATE
   ignores the pieces, because it may know of a deletion that a piece does not.

     fault                         handling
     piece or ask lost             the next ask names the same position; one is
                                   sent for each frame with a newer revision,
                                   and one every second
     piece duplicated, or two      the second piece doesn't continue at the
     peers asked at once           position reached, and is ignored
     piece of another snapshot     ignored: its sender may lack records of
                                   STATE
     record written meanwhile      before the position: comes with the changes
                                   after STATE; after it: comes in its piece,
                                   newer than STATE, and is not deleted at the
                                   end
     record deleted meanwhile      likewise; or it does not come and is deleted
                                   at the end
     sender gets a newer list      the pieces continue; after STATE the
     meanwhile                     receiver is behind that list and gets a new
                                   snapshot
     sender dies or restarts       any peer that has STATE continues
     only older peers are left     they begin snapshots of their own revision,
                                   which are ignored until the current one has
                                   not advanced for STALL_TIMEOUT_MS
     receiver restarts             it has no position and begins anew
     revision rises by other       up to STATE or above: the pieces are
     means                         discarded; below STATE: they continue
     sender without support for    ignores the optional fields of the ask and
     pieces                        sends the snapshot in one frame, which ends
                                   the pieces
     receiver without support      asks without PIECES and gets one frame; it
     for pieces                    would ignore a piece because of its FROM
     sender that never ends        NEXT must be after AFTER, and the set is
                                   limited to STORE_MAX_SNAPSHOT_RECORDS;
                                   otherwise the pieces are abandoned, and asks
                                   are for one frame until the revision reaches
                                   STATE  */

#include "config/store-impl.h"
#include "base/log.h"

#define PART "config"
/* After this long without a next piece, another snapshot may replace the
   current one.  Less than the 8 s of SPREAD_READ_PLATFORM_AFTER_MS, and enough
   for several asks.  */
#define STALL_TIMEOUT_MS 4000

struct pieces
{
  uint64_t state;
  msg_cursor_t position; /* of the last record received; owns the name */
  GHashTable *present;
  unsigned record_count;
  cfd_time_t advanced_at; /* when the last piece was received */
  bool is_abandoned;
};

void
store_pieces_free (pieces_t *pieces)
{
  if (pieces == NULL)
    return;
  g_hash_table_unref (pieces->present);
  g_free ((char *)pieces->position.name);
  g_free (pieces);
}

static void
discard_pieces (store_t *store)
{
  g_clear_pointer (&store->pieces, store_pieces_free);
}

void
store_drop_reached_pieces (store_t *store)
{
  if (store->pieces != NULL && store->pieces->state <= store->revision)
    discard_pieces (store);
}

void
store_make_ask (const store_t *store, msg_config_ask_t *ask)
{
  *ask = (msg_config_ask_t){ .have = store->revision, .pieces = true };
  if (store->pieces == NULL)
    return;
  if (store->pieces->is_abandoned)
    {
      ask->pieces = false;
      return;
    }
  ask->state = store->pieces->state;
  ask->after = store->pieces->position;
}

static void
begin_snapshot (store_t *store, uint64_t state)
{
  discard_pieces (store);
  store->pieces = g_new0 (pieces_t, 1);
  store->pieces->state = state;
  store->pieces->present = g_hash_table_new (NULL, NULL);
}

static bool
is_same_position (const msg_cursor_t *a, const msg_cursor_t *b)
{
  return a->kind == b->kind
         && (a->kind == 0 || g_strcmp0 (a->name, b->name) == 0);
}

/* Returns whether PART continues the current snapshot at the position reached.
   The first piece of another snapshot is accepted too, and begins that one, if
   there is none or the current one has stalled.  */
static bool
accept_piece (store_t *store, const msg_config_part_t *part, cfd_time_t now)
{
  const pieces_t *pieces = store->pieces;

  if (part->state <= store->revision
      || (pieces != NULL && pieces->is_abandoned))
    return false;
  if (pieces != NULL && part->state == pieces->state
      && is_same_position (&part->after, &pieces->position))
    return true;
  if (part->after.kind != 0
      || (pieces != NULL && now - pieces->advanced_at < STALL_TIMEOUT_MS))
    return false;
  begin_snapshot (store, part->state);
  return true;
}

/* Moves the position to NEXT.  Returns false if the sender violates the limits
   against a snapshot that never ends.  */
static bool
advance_position (store_t *store, const msg_cursor_t *next, cfd_time_t now)
{
  pieces_t *pieces = store->pieces;
  const msg_cursor_t *position = &pieces->position;

  if (next->kind < position->kind
      || (next->kind == position->kind
          && g_strcmp0 (next->name, position->name) <= 0)
      || g_hash_table_size (pieces->present) > store->max_snapshot_records)
    return false;
  g_free ((char *)position->name);
  pieces->position = (msg_cursor_t){ next->kind, g_strdup (next->name) };
  pieces->advanced_at = now;
  return true;
}

/* Ends the snapshot after its last piece.  STORE->pieces is cleared first,
   because the handler of the new revision may send a CONFIG_ASK at once.  */
static void
finish_snapshot (store_t *store, const msg_config_part_t *part, cfd_time_t now)
{
  pieces_t *pieces = g_steal_pointer (&store->pieces);

  store_complete_snapshot (store, pieces->present, pieces->state, now);
  store_advance_revision (store, pieces->state, pieces->record_count);
  if (part->age_ms != UINT32_MAX)
    store_record_contact (store, now - (cfd_time_t)part->age_ms);
  store_pieces_free (pieces);
}

/* Remembers that the snapshot was abandoned, so that it is not received from
   the start again and again.  */
static void
abandon_snapshot (pieces_t *pieces)
{
  log_warn (PART, "Abandoned a snapshot whose pieces do not end: records=%u.",
            pieces->record_count);
  g_hash_table_remove_all (pieces->present);
  pieces->is_abandoned = true;
}

bool
store_apply_piece (store_t *store, const msg_config_part_t *part,
                   cfd_time_t now)
{
  pieces_t *pieces;

  if (!accept_piece (store, part, now))
    return false;
  pieces = store->pieces;
  for (uint32_t i = 0; i < part->count; i++)
    pieces->record_count
        += store_apply_text (store, part->records[i], pieces->present, now);
  if (part->next.kind == 0)
    {
      finish_snapshot (store, part, now);
      return true;
    }
  if (advance_position (store, &part->next, now))
    return true;
  abandon_snapshot (pieces);
  return false;
}
