/* Speed.  Estimates how slow an endpoint is compared with the average of its
   service, from the times to first token that all routers observe.

   Load pattern: engines of one service differ in speed by a factor of two or
   more.  One estimate for the whole service expects too much of the slow ones,
   which are then late with every long prompt.

   A sample counts at most twice what the estimate expects, and no prompt
   counts more than the assumption that the endpoint is average.  After one
   hang with a prompt that takes 150 ms, an average endpoint counts as slower
   by a third at most, and as average again after seven ordinary samples or 13
   s.  */

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
  spd_sums_t peers; /* as reported by the other routers, decayed by age */
} spd_t;

/* Adds a time to first token.  */
void spd_add (spd_t *spd, cfd_time_t now, double observed_ms,
              double expected_ms);
/* Returns SUMS as they count after AGE_MS.  */
spd_sums_t spd_decay (const spd_sums_t *sums, int64_t age_ms);
/* Returns the own sums as of NOW.  */
spd_sums_t spd_get_own (const spd_t *spd, cfd_time_t now);
/* Returns whether the own sums say anything as of NOW.  */
bool spd_is_measured (const spd_t *spd, cfd_time_t now);
/* Forgets the sums of peers, and adds those of one.  */
void spd_clear_peers (spd_t *spd);
void spd_add_peer (spd_t *spd, const spd_sums_t *sums);
/* Returns the ratio of the endpoint's times to the average; 1: not known, or
   about the average.  */
double spd_get_slowness (const spd_t *spd, cfd_time_t now);

#endif
