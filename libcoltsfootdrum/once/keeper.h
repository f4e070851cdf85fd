/* Keeps the object "claim-sweep/ages", whose marks tell how old a claim surely
   is (once/marks.h).  One router, which the fleet's list of instances gives to
   all, writes it on; several at once do no harm, for each write is
   conditional, and the one that loses reads anew.  The others read it now and
   then.  */

#ifndef ONCE_KEEPER_H
#define ONCE_KEEPER_H

#include "base/clock.h"
#include "once/marks.h"
#include "platform/plat.h"

#define KEEPER_KIND "claim-sweep"

typedef struct keeper keeper_t;

/* Writes each BEAT_MS while IS_WRITER says so, else reads each READ_MS.  PLAT
   must outlive it.  */
keeper_t *keeper_new (plat_t *plat, unsigned beat_ms, unsigned read_ms,
                      bool (*is_writer) (void *user), void *user);
void keeper_free (keeper_t *keeper);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (keeper_t, keeper_free)

/* The newest marks known here, owned by the keeper; old ones tell too little,
   never too much.  */
const marks_t *keeper_marks (const keeper_t *keeper);
uint64_t keeper_calls (const keeper_t *keeper);

#endif
