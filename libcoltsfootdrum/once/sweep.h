/* Removal of idempotency-key claims whose retention time has passed, so that
   the platform's store does not grow without bound.

   Claims are processed in pages.  A router lists the page after the cursor
   stored in the object "claim-sweep/cursor" and advances the cursor by a
   conditional write, which reserves the page for this router alone.  Then it
   removes the expired claims of the page.  A finished claim is deleted.  A
   claim that is still "running" when its retention time has passed, because
   its router is gone, is first rewritten as "unknown" and deleted after
   another retention time.

   A call whose claim was removed runs again, so the following rules apply:
   - A claim's age is derived from the platform's own order of writes
     (once/write-ages.h); no wall clock is read.
   - Each write names the version that was listed: a claim that was finished,
     marked unknown, released or created again since then is left alone,
     however old the list is.
   - A claim stores the retention time that applied when it was made; a router
     with a shorter setting still keeps the claim for that time.

   A page whose router dies, or whose writes fail, is processed again in the
   next pass.  */

#ifndef ONCE_SWEEP_H
#define ONCE_SWEEP_H

#include "base/clock.h"
#include "platform/plat.h"

typedef struct sweep sweep_t;

typedef struct
{
  int retention_s;          /* of claims that don't state it; above 0 */
  unsigned max_calls_per_s; /* to the platform, by all routers together */
  /* Number of routers that share MAX_CALLS_PER_S; at least 1.  */
  unsigned (*count_routers) (void *user);
  /* Whether this router writes the ages (once/age-sync.h).  */
  bool (*is_age_writer) (void *user);
  /* Whether CLAIM belongs to a request that still runs here.  */
  bool (*is_claim_running) (void *user, const char *claim);
  void *user;
} sweep_options_t;

typedef struct
{
  uint64_t calls;           /* to the platform */
  uint64_t failed;          /* calls that got no usable answer */
  uint64_t removed;         /* claims deleted */
  uint64_t marked_unknown;  /* claims rewritten as unknown */
  uint64_t skipped_changed; /* claims that changed after they were listed */
} sweep_counters_t;

/* PLAT must outlive the returned object.  */
sweep_t *sweep_new (plat_t *plat, const sweep_options_t *options);
void sweep_free (sweep_t *sweep);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (sweep_t, sweep_free)

/* All counters are 0 when SWEEP is NULL.  */
sweep_counters_t sweep_get_counters (const sweep_t *sweep);

#endif
