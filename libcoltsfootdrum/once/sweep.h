/* Removes claims of idempotency keys when their time is over, so that the
   platform's store does not grow without end.

   A page of claims at a time: a router lists the page after the cursor that
   the object "claim-sweep/cursor" holds, moves the cursor on by a conditional
   write, which gives the page to it alone, and then removes what is older than
   its time.  A finished claim is deleted.  One that still says "running" when
   its time is over, because its router is gone, is first written as "unknown",
   which is what is true of it, and deleted when its time is over once more.

   Safeguards, since a call with a removed key runs again:
   - A claim's age is what the platform's own order of writes proves
     (once/marks.h); no wall clock is read.
   - Each write names the version that was listed: a claim that was finished,
     marked_unknown, given back or made anew since is left alone, however long
   the sweeper slept over its list.
   - The claim carries the time that it was promised; a router that was told a
     shorter one still keeps it so long.

   A page whose router dies, or whose writes fail, comes again with the next
   pass.  */

#ifndef ONCE_SWEEP_H
#define ONCE_SWEEP_H

#include "base/clock.h"
#include "platform/plat.h"

typedef struct sweep sweep_t;

typedef struct
{
  int retention_s;          /* for claims that do not say it; above 0 */
  unsigned max_calls_per_s; /* most calls a second of the fleet's sweepers */
  unsigned (*count_routers) (
      void *user); /* that share those calls; at least 1 */
  /* Whether this router is to write the ages (once/keeper.h).  */
  bool (*is_age_writer) (void *user);
  /* Whether the claim is of a request that still runs here.  */
  bool (*is_claim_running) (void *user, const char *claim);
  void *user;
} sweep_options_t;

typedef struct
{
  uint64_t calls;           /* to the platform */
  uint64_t failed;          /* of those, without a word of the platform */
  uint64_t removed;         /* claims */
  uint64_t marked_unknown;  /* claims written as unknown */
  uint64_t skipped_changed; /* claims that changed after they were listed */
} sweep_counters_t;

/* PLAT must outlive it.  */
sweep_t *sweep_new (plat_t *plat, const sweep_options_t *setup);
void sweep_free (sweep_t *sweep);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (sweep_t, sweep_free)

/* NULL gives zeros.  */
sweep_counters_t sweep_get_counters (const sweep_t *sweep);

#endif
