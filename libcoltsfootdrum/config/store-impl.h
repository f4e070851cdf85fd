/* What the files of the configuration store share.  */

#ifndef CONFIG_STORE_IMPL_H
#define CONFIG_STORE_IMPL_H

#include "config/store.h"

#define STORE_KINDS (REC_ENDPOINT + 1)
#define STORE_ROLES (ROLE_CTL + 1)

typedef struct follow follow_t;
typedef struct pieces pieces_t;

/* Most records in a piece of a whole state.  */
#define STORE_PIECE_RECORDS 1024u
/* Most records of a whole state that is taken in pieces, but for a piece: 1.6
   MB while it comes, and 3.6 times the accounts of the target size.  */
#define STORE_STATE_RECORDS 65536u

/* What is known of one record.  */
typedef struct
{
  rec_t *record; /* in force, maybe a deleted one; NULL when none was good */
  uint64_t revision; /* of the newest text, good or not */
  char *text;        /* that text when it is not RECORD's own */
  rec_kind_t kind;
  char *name;
} store_entry_t;

struct store
{
  tl_ring_t *ring;
  const store_events_t *events;
  void *user;
  GHashTable *entries[STORE_KINDS]; /* of store_entry_t by name */
  GHashTable *keys; /* of store_entry_t by hash of key, in its record */
  bool keys_shared; /* two accounts have had one key */
  uint64_t revision;
  uint64_t
      deletions_known_from; /* each deletion after this revision is known */
  cfd_time_t heard;         /* CFD_TIME_NEVER before the first word */
  uint64_t ahead;           /* newest revision that a peer showed */
  cfd_time_t ahead_since;   /* when it first was above REVISION */
  bool platform_is_up;
  GPtrArray *instances[STORE_ROLES];
  char *instances_text;   /* the list they were made of */
  unsigned schema_newest; /* that it reads; tests make an older program */
  unsigned
      max_piece_records;  /* STORE_PIECE_RECORDS; tests make small pieces */
  unsigned state_records; /* STORE_STATE_RECORDS; tests bear less */
  pieces_t *pieces;       /* of a whole state; NULL: none was begun */
  role_t self_role;
  char *self;          /* NULL when not told */
  bool keeps_accounts; /* false at an agent */
  follow_t *follow;    /* NULL until store_follow */
};

/* The newest text of ENTRY; free with g_free.  */
char *store_entry_text (const store_entry_t *entry);

/* Whether processes of ROLE keep records of KIND.  */
bool store_role_keeps (role_t role, rec_kind_t kind);

/* Takes one object; one that is not newer than known is ignored.  Returns the
   entry that it speaks of, or NULL when it is no configuration record, or of a
   kind that is not kept here.  */
store_entry_t *store_take_object (store_t *store, JsonObject *object,
                                  cfd_time_t now);

/* Marks each record up to REVISION that is not in NAMES, a set of entries, as
   deleted: a whole state of REVISION lacks it.  */
void store_drop_absent (store_t *store, GHashTable *present, uint64_t revision,
                        cfd_time_t now);

/* Takes one page of a list; the first is that with *PRESENT NULL.  REVISION is
   the list's, that of its first page: what changed while it was read comes by
   the next watch.  NEXT is the cursor of the next page, in ANSWER, or NULL at
   the end: then the whole is in force.  False for an answer against the
   contract.  */
bool store_take_page (store_t *store, JsonObject *answer, GHashTable **present,
                      uint64_t *revision, const char **next, cfd_time_t now);

/* Takes TEXT, an object or an array of objects of a peer, and notes their
   entries in PRESENT unless that is NULL.  Returns how many there were.  */
unsigned store_take_text (store_t *store, const char *text,
                          GHashTable *present, cfd_time_t now);

/* A whole state of REVISION was taken, with the entries in PRESENT.  */
void store_took_whole (store_t *store, GHashTable *present, uint64_t revision,
                       cfd_time_t now);

/* Takes a piece, a part with a state.  True when it is the next one.  */
bool store_take_piece (store_t *store, const msg_config_part_t *part,
                       cfd_time_t now);
/* Forgets the pieces of a state that the revision in force has reached.  */
void store_pieces_overtaken (store_t *store);
void store_pieces_free (pieces_t *pieces);

/* Below 0 when ENTRY comes before the place of CURSOR in a whole state, 0 when
   it is there, else above 0.  */
int store_entry_at (const store_entry_t *entry, const msg_cursor_t *cursor);

/* Raises the revision in force.  CHANGED counts records, for the time line. */
void store_advance (store_t *store, uint64_t revision, unsigned changed);
/* The platform's state as of HEARD was at most what is in force now.  */
void store_heard (store_t *store, cfd_time_t heard);

/* Takes the platform's list of instances.  */
void store_take_instances (store_t *store, JsonObject *answer, cfd_time_t now);

void store_follow_free (follow_t *follow);

#endif
