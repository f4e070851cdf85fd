/* Readiness: whether new callers should come to this instance.

   Load pattern: callers are spread over instances by a hash, so that a small
   one may get several times what it can serve while others of its zone are
   idle.  Its connections then wait until their callers give up.  When it can't
   take all that come for some time it says that it is not ready, and new
   connections go elsewhere.  */

#ifndef RELAY_RDY_H
#define RELAY_RDY_H

#include "base/clock.h"
#include <stdbool.h>

typedef struct
{
  double busy;          /* share of time with work, smoothed */
  cfd_time_t since;     /* connections wait; CFD_TIME_NEVER: none do */
  cfd_time_t out_until; /* not ready until then at least */
  cfd_time_t came_back; /* when it was ready again */
  int64_t hold_ms;      /* of the last time it was not ready */
  bool out;             /* not ready */
} rdy_t;

/* What was seen since the last update.  */
typedef struct
{
  double busy_ms;  /* work */
  double idle_ms;  /* waiting for events */
  bool backlogged; /* a turn of the loop ended with connections that wait */
} rdy_sample_t;

void rdy_init (rdy_t *rdy);
void rdy_update (rdy_t *rdy, cfd_time_t now, const rdy_sample_t *seen);
bool rdy_is_ready (const rdy_t *rdy);

#endif
