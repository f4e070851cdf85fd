/* Budget of repeats.  */

#include "relay/bud.h"

#include <string.h>

void
bud_init (bud_t *bud, int64_t window_ms, double ratio, double slack)
{
  memset (bud, 0, sizeof *bud);
  bud->window_ms = window_ms;
  bud->ratio = ratio;
  bud->slack = slack;
}

/* Moves the window on; returns the newest part's place.  */
static int
advance (bud_t *bud, cfd_time_t now)
{
  int64_t part = now / (bud->window_ms / BUD_BUCKETS);

  if (part - bud->part > BUD_BUCKETS)
    bud->part = part - BUD_BUCKETS;
  while (bud->part < part)
    {
      bud->part++;
      bud->requests[bud->part % BUD_BUCKETS] = 0.;
      bud->repeats[bud->part % BUD_BUCKETS] = 0.;
    }
  return (int)(bud->part % BUD_BUCKETS);
}

static double
sum (const double *parts)
{
  double all = 0.;

  for (int i = 0; i < BUD_BUCKETS; i++)
    all += parts[i];
  return all;
}

void
bud_count_request (bud_t *bud, cfd_time_t now)
{
  bud->requests[advance (bud, now)] += 1.;
}

bool
bud_try_retry (bud_t *bud, cfd_time_t now)
{
  int part = advance (bud, now);

  if (sum (bud->repeats) + 1. > bud->ratio * sum (bud->requests) + bud->slack)
    return false;
  bud->repeats[part] += 1.;
  return true;
}
