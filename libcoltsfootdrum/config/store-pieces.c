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
                                   STORE_STATE_RECORDS are noted: else
                                   the pieces are given up, and until the
                                   revision reaches STATE asks are for the
                                   whole in one frame, as before  */

#include "config/store-impl.h"
#include "base/log.h"

#define PART "config"
/* So long without a next piece another state may take its place.  Below the
   8 s of SPREAD_READ_PLATFORM_AFTER_MS, above several asks.  */
#define STILL_MS 4000

struct pieces
{
  uint64_t state;
  msg_cursor_t place; /* of the last record taken; its name is owned */
  GHashTable *present;
  unsigned taken;
  cfd_time_t moved; /* when the last piece was taken */
  bool given_up;
};

void
store_pieces_free (pieces_t *pieces)
{
  if (pieces == NULL)
    return;
  g_hash_table_unref (pieces->present);
  g_free ((char *)pieces->place.name);
  g_free (pieces);
}

static void
forget (store_t *store)
{
  g_clear_pointer (&store->pieces, store_pieces_free);
}

void
store_pieces_overtaken (store_t *store)
{
  if (store->pieces != NULL && store->pieces->state <= store->revision)
    forget (store);
}

void
store_make_ask (const store_t *store, msg_config_ask_t *ask)
{
  *ask = (msg_config_ask_t){ .have = store->revision, .pieces = true };
  if (store->pieces == NULL)
    return;
  if (store->pieces->given_up)
    {
      ask->pieces = false;
      return;
    }
  ask->state = store->pieces->state;
  ask->after = store->pieces->place;
}

static void
begin (store_t *store, uint64_t state)
{
  forget (store);
  store->pieces = g_new0 (pieces_t, 1);
  store->pieces->state = state;
  store->pieces->present = g_hash_table_new (NULL, NULL);
}

static bool
same_place (const msg_cursor_t *a, const msg_cursor_t *b)
{
  return a->kind == b->kind
         && (a->kind == 0 || g_strcmp0 (a->name, b->name) == 0);
}

/* Whether PART goes on where the pieces taken end.  The first of a state
   begins anew where none is under way, or that one stands still.  */
static bool
is_next (store_t *store, const msg_config_part_t *part, cfd_time_t now)
{
  const pieces_t *pieces = store->pieces;

  if (part->state <= store->revision || (pieces != NULL && pieces->given_up))
    return false;
  if (pieces != NULL && part->state == pieces->state
      && same_place (&part->after, &pieces->place))
    return true;
  if (part->after.kind != 0
      || (pieces != NULL && now - pieces->moved < STILL_MS))
    return false;
  begin (store, part->state);
  return true;
}

/* Whether the sender can be asked for what follows NEXT.  */
static bool
move_on (store_t *store, const msg_cursor_t *next, cfd_time_t now)
{
  pieces_t *pieces = store->pieces;
  const msg_cursor_t *place = &pieces->place;

  if (next->kind < place->kind
      || (next->kind == place->kind
          && g_strcmp0 (next->name, place->name) <= 0)
      || g_hash_table_size (pieces->present) > store->state_records)
    return false;
  g_free ((char *)place->name);
  pieces->place = (msg_cursor_t){ next->kind, g_strdup (next->name) };
  pieces->moved = now;
  return true;
}

/* All pieces were taken.  They are out of the way first: who is told that the
   revision rose may ask at once.  */
static void
finish (store_t *store, const msg_config_part_t *part, cfd_time_t now)
{
  pieces_t *pieces = g_steal_pointer (&store->pieces);

  store_took_whole (store, pieces->present, pieces->state, now);
  store_advance (store, pieces->state, pieces->taken);
  if (part->age_ms != UINT32_MAX)
    store_heard (store, now - (cfd_time_t)part->age_ms);
  store_pieces_free (pieces);
}

/* Else it would be taken from the start again and again.  */
static void
give_up (pieces_t *pieces)
{
  log_warn (PART,
            "A whole state in pieces does not end, and is left: records=%u.",
            pieces->taken);
  g_hash_table_remove_all (pieces->present);
  pieces->given_up = true;
}

bool
store_take_piece (store_t *store, const msg_config_part_t *part,
                  cfd_time_t now)
{
  pieces_t *pieces;

  if (!is_next (store, part, now))
    return false;
  pieces = store->pieces;
  for (uint32_t i = 0; i < part->count; i++)
    pieces->taken
        += store_take_text (store, part->records[i], pieces->present, now);
  if (part->next.kind == 0)
    {
      finish (store, part, now);
      return true;
    }
  if (move_on (store, &part->next, now))
    return true;
  give_up (pieces);
  return false;
}
