/* Route history.  Knows which services each stream route has had lately, by
   the tables of that time.

   Load pattern: a new configuration moves a route to another service, or
   splits it between several, while streams of it run.  Their callers resume
   them at routers without a record of where they began (relay/org.h).  What
   two services write doesn't fit together, and endpoints don't check it.  A
   longer prefix that is added moves a part of the paths of an older route.  */

#ifndef RELAY_RTH_H
#define RELAY_RTH_H

#include "relay/org.h"
#include "relay/rte.h"

/* Least time for which a replaced table counts: streams that began by it may
   still be resumed.  */
#define RTH_KEEP_MS ORG_STREAM_KEEP_MS
/* Limits the memory and the time of rth_set_table: replaced tables that are
   kept, with their routes alone.  While one that was dropped would count, no
   service is known to be the only one.  */
#define RTH_MAX_TABLES 8u

typedef struct rth rth_t;

rth_t *rth_new (void);
void rth_free (rth_t *rth);

/* Sets for how long a replaced table counts.  It is never shortened.  */
void rth_extend_keep_ms (rth_t *rth, int64_t keep_ms);

/* Puts TABLE in force.  Returns whether other routers may conclude less than
   before of a stream that began here: a route, or a part of its paths, gets a
   service that it hasn't had in that time, or a table was dropped.  */
bool rth_set_table (rth_t *rth, cfd_time_t now, rte_table_t *table);

/* Returns the only service that the stream routes of HOST and TARGET have had
   in that time, valid until the next call of rth_set_table; NULL if
   they had several or none.  */
const char *rth_get_sole_service (const rth_t *rth, cfd_time_t now,
                                  const char *host, const char *target);

/* Returns until when a resumable route counts as having several services, by
   the tables set so far; CFD_TIME_NEVER: until a table ends that; 0: there is
   no such route.  */
cfd_time_t rth_get_several_until (const rth_t *rth);

#endif
