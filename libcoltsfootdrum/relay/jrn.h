/* Stream journal.  Collects the origins of streams (relay/org.h) that are to
   be stored outside of the routers, and decides when which object is written.

   Load pattern: all routers are killed at the same moment beside several
   versions of a service.  Callers resume their streams at routers that have
   just started, none of which has a record of where these began.

   A slot is an object that holds the records of a span of time.  It is
   replaced while its span lasts, with all its records each time, so that the
   number of objects stays small.  The slots are used in turn; one is used
   again when its records are too old to be needed.

   Pure state and decisions: the caller makes the calls.  */

#ifndef RELAY_JRN_H
#define RELAY_JRN_H

#include "relay/org.h"

/* Least time between the starts of two writes.  */
#define JRN_WRITE_INTERVAL_MS 40
/* Least span of a slot.  */
#define JRN_SPAN_MS 500
/* Least age beyond which a record isn't needed: that of org.  */
#define JRN_KEEP_MS 20000
/* Limits the memory: 24 bytes each.  */
#define JRN_MAX_RECORDS 40000u
/* Limits the size of an object, to some 28 KB.  A span with more records
   continues in the next slot.  */
#define JRN_MAX_SLOT_RECORDS 4096u
/* Limits the number of objects.  */
#define JRN_MAX_SLOTS 60u

/* Creates an empty journal.  */
jrn_t *jrn_new (void);
void jrn_free (jrn_t *jrn);
/* Sets the age beyond which a record isn't needed.  It is never shortened. The
   span of a slot grows with it, as the number of slots is limited.  */
void jrn_extend_keep_ms (jrn_t *jrn, int64_t keep_ms);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (jrn_t, jrn_free)

/* Adds a record that is to be written.  */
void jrn_add (jrn_t *jrn, cfd_time_t now, uint64_t key, org_origin_t origin);
/* Removes records of more than MAX_AGE_MS that have not been written.  */
void jrn_expire (jrn_t *jrn, cfd_time_t now, int64_t max_age_ms);
/* Returns the number of records that no write has confirmed.  */
unsigned jrn_count_unwritten (const jrn_t *jrn);

/* A write that is to be made now.  */
typedef struct
{
  unsigned slot;
  unsigned records; /* in the object */
  unsigned added;   /* of these, not written before */
  bool exists;      /* the object should exist, from an earlier write */
} jrn_write_t;

/* Begins the write that is due.  Returns false when none is: there are no new
   records, the last write is in progress or was begun a moment ago.  */
bool jrn_begin_write (jrn_t *jrn, cfd_time_t now, jrn_write_t *write);
/* Returns the content of the slot that is being written, as JSON.  Free with
   g_free.  */
char *jrn_format (const jrn_t *jrn);

typedef enum
{
  JRN_WRITTEN, /* confirmed */
  JRN_REFUSED, /* nothing was done */
  JRN_UNKNOWN  /* it may have been done, or may be done later */
} jrn_result_t;

/* Ends the write in progress.  Records that were not written are part of the
   next one.  After JRN_UNKNOWN that goes to another slot: done late, the old
   write would replace a newer one of the same slot.  */
void jrn_end_write (jrn_t *jrn, cfd_time_t now, jrn_result_t result);
/* Calls EACH for the records that the last write added, after it was
   confirmed and before the next one.  */
void jrn_foreach_confirmed (const jrn_t *jrn,
                            void (*each) (void *user, uint64_t key),
                            void *user);

/* Reads KEYS, the keys of one origin in an object, and appends them to OUT
   (uint64_t).  Returns false, with OUT unchanged, if they are malformed.  */
bool jrn_decode_keys (const char *keys, GArray *out);

#endif
