/* How fast virtual times of backlogged accounts grow.  Routers and agents both
   learn it, so that a virtual time once told can be carried forward on both
   sides alike.  Pure.  */

#ifndef DISPATCH_PACE_H
#define DISPATCH_PACE_H

#include "base/clock.h"

/* Words on one account closer together than this tell nothing.  */
#define PACE_LEAST_MS 20
/* ... and further apart there was a gap in the backlog.  */
#define PACE_MOST_MS 5000
/* The pace is that of about so much time of the accounts' words.  */
#define PACE_SPAN_MS 20000.0

/* Starts as all zeros.  */
typedef struct
{
  double grown;    /* weighted tokens; old parts fade */
  double grown_ms; /* time in which they grew */
} pace_t;

/* One account's virtual time grew by GROWN in PASSED milliseconds.  */
void pace_learn (pace_t *pace, double grown, cfd_time_t passed);
/* Weighted tokens a millisecond; never negative.  */
double pace_of (const pace_t *pace);

#endif
