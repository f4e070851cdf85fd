/* Virtual time rate.  Estimates how fast the virtual times of backlogged
   accounts grow.  Routers and agents run the same estimate, so both
   extrapolate an announced virtual time alike.  Does no I/O; callers pass the
   elapsed time.  */

#ifndef DISPATCH_VT_RATE_H
#define DISPATCH_VT_RATE_H

#include "base/clock.h"

/* Two updates on one account closer together than this are ignored: they
   carry no usable rate.  */
#define VT_RATE_MIN_INTERVAL_MS 20
/* Updates further apart than this are ignored: the account was not backlogged
   all the time between them.  */
#define VT_RATE_MAX_INTERVAL_MS 5000
/* Time constant of the average, counted in the summed intervals of all
   accounts.  */
#define VT_RATE_AVERAGING_MS 20000.0

/* Zero-initialized before the first sample.  */
typedef struct
{
  double tokens;     /* weighted tokens; old samples decay */
  double elapsed_ms; /* time in which TOKENS accrued; decays alike */
} vt_rate_t;

/* Adds a sample: an account's virtual time grew by TOKENS in INTERVAL_MS.  */
void vt_rate_update (vt_rate_t *rate, double tokens, cfd_time_t interval_ms);
/* Returns weighted tokens per millisecond; never negative.  */
double vt_rate_tokens_per_ms (const vt_rate_t *rate);

#endif
