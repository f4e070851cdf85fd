/* Retry budget.  Limits how often a service's requests are sent again.

   Load pattern: endpoints that fail or refuse many requests at once.  Without
   a limit each failure causes another send, and the load grows as the capacity
   falls.  The budget is a share of the recent requests, plus a fixed number
   for times of low load.  */

#ifndef RELAY_BUD_H
#define RELAY_BUD_H

#include "base/clock.h"
#include <stdbool.h>

#define BUD_BUCKETS 10

/* Counts over a sliding window of BUD_BUCKETS buckets.  */
typedef struct
{
  int64_t window_ms;
  double ratio;       /* retries per request */
  double min_retries; /* retries per window allowed without requests */
  double requests[BUD_BUCKETS];
  double retries[BUD_BUCKETS];
  int64_t bucket; /* number of the newest bucket since time 0 */
} bud_t;

void bud_init (bud_t *bud, int64_t window_ms, double ratio,
               double min_retries);
void bud_count_request (bud_t *bud, cfd_time_t now);
/* Counts a retry and returns true when the budget allows it.  */
bool bud_try_retry (bud_t *bud, cfd_time_t now);

#endif
