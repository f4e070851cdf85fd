/* A whole state that comes in pieces.

   A store that is behind its peer's first list needs a whole state
   (store-give.c).  It comes in pieces of some 256 KB, in the order of kind and
   name.  The sender keeps nothing between them: each ask says where it stands.

     ask   HAVE, PIECES, and from the second on STATE and AFTER as taken
     part  STATE, AFTER, the records after AFTER as they are now, deleted ones
           too, and NEXT, the place of the last; no NEXT: that was the end

   STATE is the sender's revision when it made the first piece.  The receiver
   puts records into force as they come, each by its own revision, notes which
   it saw, and at the end drops those up to STATE that it didn't see, and has
   STATE.  What changed since comes as changes after STATE.

   Why that is right though pieces are made at different times, and by
   different senders: whoever makes a piece has at least STATE, so that each
   record in its range that was there at STATE is in the piece, or was deleted
   since.  What is seen is of STATE or newer, and what isn't seen is gone; the
   changes after STATE tell the same once more.  A record can't move in the
   order.  A receiver that has STATE already takes nothing: it may know of a
   deletion that the piece does not.

     fault                         what happens
     piece or ask lost             the next ask, of each frame that shows a
                                   newer revision or of each second, says the
                                   same place
     piece doubled, or two peers   the second is not after the place taken
     are asked at once             then, and is left
     piece of another state        left: its maker may lack records of STATE
     record written meanwhile      behind the place: by the changes after
                                   STATE; before it: in its piece, newer than
                                   STATE, and STATE's end does not drop it
     record deleted meanwhile      the same; or it is not seen, and dropped
     sender has a newer list       it goes on; after STATE the receiver is
     meanwhile                     behind that list, and gets it whole
     sender dies or restarts       any peer that has STATE goes on from there
     only older peers are left     they begin their own state, which is left
                                   while the former moves, and taken once it
                                   stood still for STILL_MS
     receiver restarts             it has no place: from the start
     revision rises otherwise      up to STATE or above: the pieces are
                                   forgotten; below: they go on
     sender that knows no pieces   ignores the late fields of the ask and sends
                                   the whole in one frame, which ends this
     receiver that knows none      asks without PIECES and gets that frame; a
                                   piece would be ignored for its FROM
     sender that never ends        NEXT must lie beyond AFTER, and at most
                                   STORE_MAX_SNAPSHOT_RECORDS are noted: else
                                   the pieces are given up, and until the
                                   revision reaches STATE asks are for the
                                   whole in one frame, as before  */

#include "config/store-impl.h"
#include "base/log.h"

#define PART "config"
/* So long without a next piece another state may take its place.  Below the
   8 s of SPREAD_READ_PLATFORM_AFTER_MS, above several asks.  */
#define STALL_TIMEOUT_MS 4000

struct pieces
{
  uint64_t state;
  msg_cursor_t position; /* of the last record taken; its name is owned */
  GHashTable *present;
  unsigned record_count;
  cfd_time_t advanced_at; /* when the last piece was taken */
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

/* Whether PART goes on where the pieces taken end.  The first of a state
   begins anew where none is under way, or that one stands still.  */
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

/* Whether the sender can be asked for what follows NEXT.  */
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

/* All pieces were taken.  They are out of the way first: who is told that the
   revision rose may ask at once.  */
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

/* Else it would be taken from the start again and again.  */
static void
abandon_snapshot (pieces_t *pieces)
{
  log_warn (PART,
            "A whole state in pieces does not end, and is left: records=%u.",
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
