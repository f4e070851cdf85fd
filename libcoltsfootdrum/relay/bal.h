/* Load balance.  Decides whether a router leaves the platform's rotation, so
   that callers connect to stronger routers of its availability zone.

   Load pattern: the platform distributes connections over the routers of a
   zone by a hash of the client, whatever their share of a processor.  A router
   with 0.068 of a core may get several times the work that it can do, while
   others of the zone with seven times its share are idle.

   Routers exchange the processor time that they have left (relay/pal.h).  A
   router that is busy leaves if routers of at least twice its share have time
   for its callers.  It returns when it is idle, and at once when they have no
   time or are gone.

   Bound: of N routers that are listed for a zone, at least M = ceil (N / 2)
   aren't out because of this module, provided that figures arrive at most 300
   ms after they were sent (ANNOUNCE_MS).  Figures that are lost or don't cross
   a partition don't break it.  A router announces that it will leave, and
   leaves only when M others have told it that they are ready, without an
   announcement of their own, in figures that arrived more than ANNOUNCE_MS
   later, so that they were sent after the announcement.  Hence a router whose
   figures let another one leave announces later than that one.  Of the routers
   that are out at any moment, none has announced later than the last one to
   announce, so that the M that this one counted are all in.

   Figures that arrive later than that may let too many leave.  A router that
   is out and counts fewer than M others as ready returns, so that, if all
   figures arrive within a time D, fewer than M stay for at most twice D and a
   second.  The platform uses all routers of a zone meanwhile.  Returns are in
   the order of rank (share, then name), as many at once as are missing.  A
   router that is out for another reason delays those of lower rank by
   RETURN_STEP_MS (600 ms).

   While routers have read lists of different lengths, the bound holds for the
   shortest one.  It doesn't include routers of earlier versions, which leave
   without an announcement.  */

#ifndef RELAY_BAL_H
#define RELAY_BAL_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>

/* What a router reports of itself; the values are those of datagrams.  */
typedef enum
{
  BAL_OUT = 0,    /* gets no new connections */
  BAL_READY = 1,  /* gets new connections */
  BAL_LEAVING = 2 /* gets new connections, but has announced that it leaves */
} bal_presence_t;

/* Processor time of one router, as it reports it.  */
typedef struct
{
  unsigned share; /* thousandths of a core; 0: not known */
  unsigned busy;  /* thousandths of the share, 0 to 1000 */
  bal_presence_t presence;
} bal_figures_t;

/* Measurements since the last update.  */
typedef struct
{
  double busy_ms; /* working */
  double idle_ms; /* waiting for events */
  bool is_ready;  /* as far as other reasons go */
} bal_sample_t;

typedef enum
{
  BAL_BUSY, /* left: busy, and others have time */
  BAL_IDLE, /* returned: has time for its callers again */
  BAL_FULL, /* returned: the others have no time */
  BAL_FEW   /* returned: too few others are ready */
} bal_reason_t;

/* What a router knows of its zone.  Times are in thousandths of a core.  */
typedef struct
{
  unsigned listed;    /* routers, this one included */
  unsigned required;  /* M: others that must be ready */
  unsigned ready;     /* others that count as ready */
  unsigned confirmed; /* others that were ready after its announcement */
  unsigned out_above; /* others of higher rank that are out */
  unsigned room;      /* time that routers of twice its share have left */
  unsigned load;      /* time that it and all others use */
} bal_zone_t;

typedef struct bal bal_t;

/* SHARE is that of this router NAME, in thousandths of a core; 0: not known,
   so that it never leaves.  */
bal_t *bal_new (const char *name, unsigned share);
void bal_free (bal_t *bal);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (bal_t, bal_free)

/* Replaces the names of the other routers that are listed for the zone; NAMES
   ends with NULL.  The figures of those that stay are kept.  */
void bal_set_zone (bal_t *bal, const char *const *names);

/* Sets the figures that the router NAME has reported.  Those of other zones
   are ignored.  */
void bal_set_figures (bal_t *bal, cfd_time_t now, const char *name,
                      const bal_figures_t *figures);

/* To be called at each tick.  Returns true when the router has left the
   rotation or returned.  */
bool bal_update (bal_t *bal, cfd_time_t now, const bal_sample_t *sample);

/* Returns whether the router is out of the rotation because of this module. */
bool bal_is_out (const bal_t *bal);
/* Returns whether callers' connections should be closed after their responses:
   the router is out, and the platform has had the time to notice it.  */
bool bal_must_close (const bal_t *bal, cfd_time_t now);

/* Returns this router's figures, as of the last update.  */
bal_figures_t bal_get_figures (const bal_t *bal);
/* Returns what the last decision was based on.  */
bal_zone_t bal_get_zone (const bal_t *bal);
/* Returns why the router left or returned last.  */
bal_reason_t bal_get_reason (const bal_t *bal);
const char *bal_get_reason_name (bal_reason_t reason);
/* Returns the least duration of the last time out of rotation while the others
   have time, in milliseconds; 0: there was none.  */
int64_t bal_get_hold_ms (const bal_t *bal);

#endif
