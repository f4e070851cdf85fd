/* Cold endpoints: each router's part of the warm-up rate.  */

#include "relay/cold.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Share of the rate that is used.  The rest is a margin for differences of
   clocks and network delays, and for routers that don't receive each other's
   datagrams and so both take a part.  */
#define USED_RATE_SHARE 0.8
/* Number of routers that share the rate of an endpoint: in proportion to the
   rate in requests a second, but no fewer than the minimum.  */
#define ROUTERS_PER_RATE 0.25
#define MIN_SHARING_ROUTERS 4.
/* Share of these that use an endpoint while they may be partitioned.  */
#define PARTITIONED_SHARE 0.5

static uint64_t
compute_score (const char *router, uint64_t endpoint)
{
  return XXH3_64bits_withSeed (router, strlen (router), endpoint);
}

bool
cold_ranks_before (const char *router, const char *other, uint64_t endpoint)
{
  uint64_t mine = compute_score (router, endpoint);
  uint64_t others = compute_score (other, endpoint);

  return mine != others ? mine > others : strcmp (router, other) < 0;
}

double
cold_rate_per_router (double per_s, unsigned routers, unsigned rank,
                      bool may_be_partitioned)
{
  double sharing = floor (MAX (per_s * ROUTERS_PER_RATE, MIN_SHARING_ROUTERS));
  double rate;

  sharing = CLAMP (sharing, 1., (double)MAX (routers, 1));
  rate = per_s * USED_RATE_SHARE / sharing;
  if (may_be_partitioned)
    sharing = MAX (floor (sharing * PARTITIONED_SHARE), 1.);
  return rank < sharing ? rate : 0.;
}
