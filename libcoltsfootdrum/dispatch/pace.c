#include "dispatch/pace.h"

#include <math.h>

void
pace_learn (pace_t *pace, double grown, cfd_time_t passed)
{
  double fade = PACE_SPAN_MS / (PACE_SPAN_MS + (double)passed);

  if (passed < PACE_LEAST_MS || passed > PACE_MOST_MS || !isfinite (grown))
    return;
  pace->grown = pace->grown * fade + grown;
  pace->grown_ms = pace->grown_ms * fade + (double)passed;
}

double
pace_of (const pace_t *pace)
{
  if (pace->grown_ms <= 0 || pace->grown <= 0)
    return 0;
  return pace->grown / pace->grown_ms;
}
