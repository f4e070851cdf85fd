/* Internals shared by the source files of the configuration store.

   A snapshot is the whole configuration as of one revision; records that it
   lacks are deleted.  A large snapshot is sent to peers in pieces, see
   store-pieces.c.  */

#ifndef CONFIG_STORE_IMPL_H
#define CONFIG_STORE_IMPL_H

#include "config/store.h"

#define STORE_KIND_COUNT (REC_ENDPOINT + 1)
#define STORE_ROLE_COUNT (ROLE_CTL + 1)

typedef struct follow follow_t;
typedef struct pieces pieces_t;

/* Most records in one piece of a snapshot.  */
#define STORE_MAX_PIECE_RECORDS 1024u
/* A snapshot that comes in pieces is given up when its records exceed this
   number.  The set of its entries then takes 1.6 MB; the number is 3.6 times
   the accounts of the target size.  */
#define STORE_MAX_SNAPSHOT_RECORDS 65536u

/* One record of the store, together with newer text that can't be parsed.  */
typedef struct
{
  rec_t *record;     /* in force, maybe a deletion; NULL if none was valid */
  uint64_t revision; /* of the newest text, valid or not */
  char *text;        /* the newest text if it could not be parsed, or NULL */
  rec_kind_t kind;
  char *name;
} store_entry_t;

struct store
{
  tl_ring_t *ring;
  const store_events_t *events;
  void *user;
  GHashTable *entries[STORE_KIND_COUNT]; /* of store_entry_t by name */
  GHashTable *keys;     /* of store_entry_t by the hash of an account's key */
  bool has_shared_keys; /* two accounts have had the same key at some time */
  uint64_t revision;
  uint64_t deletions_known_from; /* all later deletions are known */
  /* When the platform last confirmed the configuration in force, to this
     process or to a peer; CFD_TIME_NEVER before the first answer.  */
  cfd_time_t last_contact;
  uint64_t peer_revision;  /* newest revision of any peer */
  cfd_time_t behind_since; /* when PEER_REVISION first was newer */
  bool is_platform_up;
  GPtrArray *instances[STORE_ROLE_COUNT]; /* of store_instance_t */
  char *instances_text;   /* the JSON list that INSTANCES was parsed from */
  unsigned newest_schema; /* that can be parsed; lower in tests */
  unsigned max_piece_records;    /* lower in tests */
  unsigned max_snapshot_records; /* lower in tests */
  pieces_t *pieces;              /* snapshot being received, or NULL */
  role_t self_role;
  char *self;          /* own instance name; NULL when not set */
  bool keeps_accounts; /* false at an agent */
  follow_t *follow;    /* NULL until store_follow */
};

/* Returns the newest text of ENTRY; free with g_free.  */
char *store_entry_get_text (const store_entry_t *entry);

/* Returns whether processes of ROLE keep records of KIND.  */
bool store_role_keeps_kind (role_t role, rec_kind_t kind);

/* Applies one object, unless it is not newer than the known one.  Returns its
   entry, or NULL when the object is no configuration record or of a kind that
   this process does not keep.  */
store_entry_t *store_apply_object (store_t *store, JsonObject *object,
                                   cfd_time_t now);

/* Marks each record up to REVISION that is not in PRESENT, the set of entries
   of a snapshot of REVISION, as deleted.  */
void store_delete_absent (store_t *store, GHashTable *present,
                          uint64_t revision, cfd_time_t now);

/* Applies one page of a list; *PRESENT is NULL for the first page.  REVISION
   is set to that of the first page, so that the next watch brings the changes
   made while the list was read.  NEXT is set to the cursor of the next page,
   owned by ANSWER, or to NULL at the end, when the whole list is in force.
   Returns false for an answer that violates the platform's API.  */
bool store_apply_page (store_t *store, JsonObject *answer,
                       GHashTable **present, uint64_t *revision,
                       const char **next, cfd_time_t now);

/* Applies TEXT, an object or an array of objects from a peer, and adds their
   entries to PRESENT unless that is NULL.  Returns the number of objects.  */
unsigned store_apply_text (store_t *store, const char *text,
                           GHashTable *present, cfd_time_t now);

/* Ends a snapshot of REVISION that consists of the entries in PRESENT: deletes
   all others.  */
void store_complete_snapshot (store_t *store, GHashTable *present,
                              uint64_t revision, cfd_time_t now);

/* Applies a piece of a snapshot, a part whose STATE is set.  Returns true if
   it was the next one expected.  */
bool store_apply_piece (store_t *store, const msg_config_part_t *part,
                        cfd_time_t now);
/* Discards the pieces of a snapshot whose revision is already in force.  */
void store_drop_reached_pieces (store_t *store);
void store_pieces_free (pieces_t *pieces);

/* Compares the position of ENTRY in a snapshot with that of CURSOR, in the
   manner of strcmp.  */
int store_compare_entry (const store_entry_t *entry,
                         const msg_cursor_t *cursor);

/* Raises the revision in force.  CHANGED is the number of records, for the log
   and the time line.  */
void store_advance_revision (store_t *store, uint64_t revision,
                             unsigned changed);
/* Records that the configuration in force is at least as new as the platform's
   at LAST_CONTACT.  */
void store_record_contact (store_t *store, cfd_time_t last_contact);

/* Applies the platform's list of instances.  */
void store_apply_instances (store_t *store, JsonObject *answer,
                            cfd_time_t now);

void store_follow_free (follow_t *follow);

#endif
