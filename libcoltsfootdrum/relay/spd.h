/* Speed.  Estimates how slow an endpoint is compared with the average of its
   service, from the times to first token that all routers observe.

   Load pattern: engines of one service differ in speed by a factor of two or
   more.  One estimate for the whole service expects too much of the slow ones,
   which are then late with every long prompt.  */

#ifndef RELAY_SPD_H
#define RELAY_SPD_H

#include "base/clock.h"
#include <stdbool.h>

/* Sums over samples, in milliseconds.  */
typedef struct
{
  double observed;
  double expected; /* by the estimate for the whole service */
} spd_sums_t;

typedef struct
{
  spd_sums_t own; /* decays exponentially, as of updated_at */
  cfd_time_t updated_at;
  spd_sums_t peers; /* as reported by the other routers */
} spd_t;

/* Adds a time to first token.  */
void spd_add (spd_t *spd, cfd_time_t now, double observed_ms,
              double expected_ms);
/* Returns the own sums as of NOW.  */
spd_sums_t spd_get_own (const spd_t *spd, cfd_time_t now);
/* Returns whether the own sums say anything as of NOW.  */
bool spd_is_measured (const spd_t *spd, cfd_time_t now);
/* Replaces sums of a peer, WAS, by IS.  */
void spd_update_peer (spd_t *spd, const spd_sums_t *was, const spd_sums_t *is);
/* Returns the ratio of the endpoint's times to the average; 1: not known, or
   about the average.  */
double spd_get_slowness (const spd_t *spd, cfd_time_t now);

#endif
