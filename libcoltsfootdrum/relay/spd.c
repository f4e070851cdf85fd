/* Speed: ratio of sums with exponential decay.  */

#include "relay/spd.h"

#include <glib.h>
#include <math.h>

/* Time constant of the sums: an endpoint that was slow for a moment counts as
   slow for some seconds.  */
#define DECAY_MS 10000.
/* Weight of the assumption that an endpoint is as fast as the average.  */
#define PRIOR_MS 400.
/* Bounds of one sample, so that an endpoint that hung doesn't count as slow
   for long.  */
#define MAX_SAMPLE_RATIO 4.
#define MIN_SLOWNESS 0.25
#define MAX_SLOWNESS 4.
/* Smaller differences are noise.  */
#define MIN_DIFFERENCE 0.1

spd_sums_t
spd_get_own (const spd_t *spd, cfd_time_t now)
{
  double factor = exp (-(double)(now - spd->updated_at) / DECAY_MS);

  return (spd_sums_t){ .observed = spd->own.observed * factor,
                       .expected = spd->own.expected * factor };
}

bool
spd_is_measured (const spd_t *spd, cfd_time_t now)
{
  return spd_get_own (spd, now).expected >= 1.;
}

void
spd_add (spd_t *spd, cfd_time_t now, double observed_ms, double expected_ms)
{
  spd->own = spd_get_own (spd, now);
  spd->updated_at = now;
  spd->own.observed += CLAMP (observed_ms, 0., expected_ms * MAX_SAMPLE_RATIO);
  spd->own.expected += expected_ms;
}

void
spd_update_peer (spd_t *spd, const spd_sums_t *was, const spd_sums_t *is)
{
  spd->peers.observed
      = MAX (spd->peers.observed - was->observed, 0.) + is->observed;
  spd->peers.expected
      = MAX (spd->peers.expected - was->expected, 0.) + is->expected;
}

double
spd_get_slowness (const spd_t *spd, cfd_time_t now)
{
  spd_sums_t own = spd_get_own (spd, now);
  double slowness = (own.observed + spd->peers.observed + PRIOR_MS)
                    / (own.expected + spd->peers.expected + PRIOR_MS);

  if (fabs (slowness - 1.) < MIN_DIFFERENCE)
    return 1.;
  return CLAMP (slowness, MIN_SLOWNESS, MAX_SLOWNESS);
}
