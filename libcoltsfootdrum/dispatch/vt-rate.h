/* How fast virtual times of backlogged accounts grow.  Routers and agents both
   learn it, so that a virtual time once told can be carried forward on both
   sides alike.  Pure.  */

#ifndef DISPATCH_VT_RATE_H
#define DISPATCH_VT_RATE_H

#include "base/clock.h"

/* Words on one account closer together than this tell nothing.  */
#define VT_RATE_MIN_INTERVAL_MS 20
/* ... and further apart there was a gap in the backlog.  */
#define VT_RATE_MAX_INTERVAL_MS 5000
/* The rate is that of about so much time of the accounts' words.  */
#define VT_RATE_AVERAGING_MS 20000.0

/* Starts as all zeros.  */
typedef struct
{
  double tokens;     /* weighted tokens; old parts fade */
  double elapsed_ms; /* time in which they grew */
} vt_rate_t;

/* One account's virtual time grew by GROWN in PASSED milliseconds.  */
void vt_rate_update (vt_rate_t *rate, double tokens, cfd_time_t interval_ms);
/* Weighted tokens a millisecond; never negative.  */
double vt_rate_tokens_per_ms (const vt_rate_t *rate);

#endif
