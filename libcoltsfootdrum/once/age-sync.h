/* Age synchronisation: maintains the platform object "claim-sweep/ages", which
   holds lower bounds for the age of claims (once/write-ages.h).  The fleet's
   list of instances selects one router as the writer; the others only read the
   object.  Two writers at a time do no harm: every write is conditional, and
   the one that fails reads the object again.  */

#ifndef ONCE_AGE_SYNC_H
#define ONCE_AGE_SYNC_H

#include "base/clock.h"
#include "once/write-ages.h"
#include "platform/plat.h"

#define CLAIM_SWEEP_KIND "claim-sweep"

typedef struct age_sync age_sync_t;

/* Writes the object every WRITE_INTERVAL_MS while IS_WRITER returns true, else
   reads it every READ_INTERVAL_MS.  PLAT must outlive the returned object.  */
age_sync_t *age_sync_new (plat_t *plat, unsigned write_interval_ms,
                          unsigned read_interval_ms,
                          bool (*is_writer) (void *user), void *user);
void age_sync_free (age_sync_t *sync);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (age_sync_t, age_sync_free)

/* The newest ages read or written here, owned by SYNC.  Outdated ages are too
   low, never too high.  */
const write_ages_t *age_sync_get_ages (const age_sync_t *sync);
/* Number of calls made to the platform.  */
uint64_t age_sync_get_calls (const age_sync_t *sync);

#endif
