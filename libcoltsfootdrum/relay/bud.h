/* Budget of repeats: how often a service's requests may be sent once more.

   Load pattern: endpoints that fail or refuse many requests at once.  Without
   a bound each failure brings another send, and the load grows as capacity
   falls.  The budget is a share of the requests that came lately, and a fixed
   part for quiet times.  */

#ifndef RELAY_BUD_H
#define RELAY_BUD_H

#include "base/clock.h"
#include <stdbool.h>

#define BUD_BUCKETS 10

/* Counts over a sliding window, in BUD_BUCKETS parts.  */
typedef struct
{
  int64_t window_ms;
  double ratio; /* repeats for each request */
  double slack; /* repeats that are always allowed in a window */
  double requests[BUD_BUCKETS];
  double repeats[BUD_BUCKETS];
  int64_t part; /* number of the newest part */
} bud_t;

void bud_init (bud_t *bud, int64_t window_ms, double ratio, double slack);
void bud_count_request (bud_t *bud, cfd_time_t now);
/* Counts a repeat and returns true when the budget has room for it.  */
bool bud_try_retry (bud_t *bud, cfd_time_t now);

#endif
