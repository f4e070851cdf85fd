/* How old a write of the platform surely is, without any wall clock.  Pure.

   Nodes' wall clocks differ and jump, and a process forgets at its restart
   what it saw.  The platform's revision orders all writes, so one object can
   keep pairs of a revision and an age: every write up to REVISION is at least
   AGE_MS old.  Whoever held one state of that object for a while may write it
   anew with that span added to each age, on the condition that it is still the
   one that was read.  The spans of two such writers never overlap, so that an
   age is never more than the time that went by, whatever was frozen,
   restarted, lost or done twice; at worst it is less, and a claim is kept
   longer.  */

#ifndef ONCE_MARKS_H
#define ONCE_MARKS_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct marks marks_t;

marks_t *marks_new (void);
void marks_free (marks_t *marks);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (marks_t, marks_free)

/* The marks of SPEC; NULL when it is of a schema that this program does not
   know, or not what marks_spec writes.  */
marks_t *marks_parse (JsonObject *spec);
/* Free with json_object_unref.  */
JsonObject *marks_spec (const marks_t *marks);

/* The state of REVISION that these marks were read from was held for HELD_MS.
 */
void marks_grow (marks_t *marks, uint64_t revision, int64_t held_ms);

/* Milliseconds that the write of REVISION is surely old; 0 when not known.  */
int64_t marks_age (const marks_t *marks, uint64_t revision);
/* The same of the oldest write that is known of.  */
int64_t marks_oldest (const marks_t *marks);
unsigned marks_count (const marks_t *marks);

#endif
