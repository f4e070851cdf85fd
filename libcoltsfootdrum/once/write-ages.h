/* Write ages: lower bounds for the age of the platform's writes, computed
   without wall clocks.  Pure.

   The wall clocks of nodes differ and jump, and a process loses at its restart
   what it has observed.  The platform's revision orders all writes, so one
   object can hold pairs of a revision and an age: every write up to REVISION
   is at least AGE_MS old.  A router that has held one state of that object for
   some time may write it again with this time added to each age, on the
   condition that the object is still the one it read.  The times of two such
   writers never overlap.  So an age never exceeds the time that has passed,
   even when writers are stopped or restarted, or a write is lost or repeated;
   at worst it is lower, and a claim is kept longer.  */

#ifndef ONCE_WRITE_AGES_H
#define ONCE_WRITE_AGES_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct write_ages write_ages_t;

write_ages_t *write_ages_new (void);
void write_ages_free (write_ages_t *ages);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (write_ages_t, write_ages_free)

/* Parses SPEC; NULL when its schema is unknown or it is malformed.  */
write_ages_t *write_ages_parse (JsonObject *spec);
/* Free with json_object_unref.  */
JsonObject *write_ages_to_spec (const write_ages_t *ages);

/* Adds HELD_MS to each age, and adds the pair of REVISION and HELD_MS.
   REVISION wrote the state that AGES were read from, and the caller has held
   that state for HELD_MS.  */
void write_ages_advance (write_ages_t *ages, uint64_t revision,
                         int64_t held_ms);

/* Minimum age of the write of REVISION; 0 when it is unknown.  */
int64_t write_ages_get_age_ms (const write_ages_t *ages, uint64_t revision);
/* Minimum age of the oldest write on record.  */
int64_t write_ages_get_oldest_ms (const write_ages_t *ages);
unsigned write_ages_count (const write_ages_t *ages);

#endif
