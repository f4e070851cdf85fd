/* Retry budget: counts over a sliding window.  */

#include "relay/bud.h"

#include <string.h>

void
bud_init (bud_t *bud, int64_t window_ms, double ratio, double min_retries)
{
  memset (bud, 0, sizeof *bud);
  bud->window_ms = window_ms;
  bud->ratio = ratio;
  bud->min_retries = min_retries;
}

/* Advances the window to NOW; returns the index of the newest bucket.  */
static int
advance_window (bud_t *bud, cfd_time_t now)
{
  int64_t bucket = now / (bud->window_ms / BUD_BUCKETS);

  if (bucket - bud->bucket > BUD_BUCKETS)
    bud->bucket = bucket - BUD_BUCKETS;
  while (bud->bucket < bucket)
    {
      bud->bucket++;
      bud->requests[bud->bucket % BUD_BUCKETS] = 0.;
      bud->retries[bud->bucket % BUD_BUCKETS] = 0.;
    }
  return (int)(bud->bucket % BUD_BUCKETS);
}

static double
sum (const double *buckets)
{
  double total = 0.;

  for (int i = 0; i < BUD_BUCKETS; i++)
    total += buckets[i];
  return total;
}

void
bud_count_request (bud_t *bud, cfd_time_t now)
{
  bud->requests[advance_window (bud, now)] += 1.;
}

bool
bud_try_retry (bud_t *bud, cfd_time_t now)
{
  int bucket = advance_window (bud, now);

  if (sum (bud->retries) + 1.
      > bud->ratio * sum (bud->requests) + bud->min_retries)
    return false;
  bud->retries[bucket] += 1.;
  return true;
}
