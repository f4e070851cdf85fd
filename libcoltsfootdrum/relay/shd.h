/* Load shedding.  Decides which share of new requests a router admits when its
   event loop can't keep up.

   Load pattern: clients are distributed over routers by a hash, so that one
   router gets several times its share of a wave while others of its
   availability zone are idle.  Each request that it admits then delays the
   streams that are under way.  A refused caller retries at another router, so
   that a refusal at once costs it less than a wait here.

   The share falls in proportion to the lateness of the loop, and rises slowly
   when the loop is in time again.  */

#ifndef RELAY_SHD_H
#define RELAY_SHD_H

#include "base/clock.h"
#include <stdbool.h>

typedef struct
{
  double admitted; /* share of new requests, 0 to 1 */
  cfd_time_t updated_at;
  cfd_time_t late_since; /* CFD_TIME_NEVER: the loop is in time */
} shd_t;

void shd_init (shd_t *shd, cfd_time_t now);
/* To be called at each tick, which is LATE_MS late.  BUSY is the share of time
   spent working, smoothed.  */
void shd_update (shd_t *shd, cfd_time_t now, int64_t late_ms, double busy);
/* Returns whether a new request is admitted; DRAW is a random number from 0 to
   below 1.  */
bool shd_admits (const shd_t *shd, double draw);

#endif
