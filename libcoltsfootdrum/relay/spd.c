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
   for long.  The second is a multiple of what the estimate expects: a slow
   endpoint exceeds it for its first samples only.  */
#define MAX_SAMPLE_RATIO 4.
#define MAX_SAMPLE_STEP 2.
#define MIN_SLOWNESS 0.25
#define MAX_SLOWNESS 4.
/* Smaller differences are noise.  */
#define MIN_DIFFERENCE 0.1

spd_sums_t
spd_decay (const spd_sums_t *sums, int64_t age_ms)
{
  double factor = exp (-(double)MAX (age_ms, 0) / DECAY_MS);

  return (spd_sums_t){ .observed = sums->observed * factor,
                       .expected = sums->expected * factor };
}

spd_sums_t
spd_get_own (const spd_t *spd, cfd_time_t now)
{
  return spd_decay (&spd->own, now - spd->updated_at);
}

bool
spd_is_measured (const spd_t *spd, cfd_time_t now)
{
  return spd_get_own (spd, now).expected >= 1.;
}

void
spd_add (spd_t *spd, cfd_time_t now, double observed_ms, double expected_ms)
{
  double max_ratio
      = MIN (spd_get_slowness (spd, now) * MAX_SAMPLE_STEP, MAX_SAMPLE_RATIO);
  double weight_ms = MIN (expected_ms, PRIOR_MS);

  if (weight_ms <= 0.)
    return;
  spd->own = spd_get_own (spd, now);
  spd->updated_at = now;
  spd->own.observed
      += CLAMP (observed_ms / expected_ms, 0., max_ratio) * weight_ms;
  spd->own.expected += weight_ms;
}

void
spd_clear_peers (spd_t *spd)
{
  spd->peers = (spd_sums_t){ 0 };
}

void
spd_add_peer (spd_t *spd, const spd_sums_t *sums)
{
  spd->peers.observed += sums->observed;
  spd->peers.expected += sums->expected;
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
