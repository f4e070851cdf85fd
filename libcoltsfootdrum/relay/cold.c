/* Shares of the warm-up rate.  */

#include "relay/cold.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Part of the rate that is used: clocks and ways differ, and routers that
   don't receive each other's datagrams may both count themselves in.  */
#define RATE_SHARE 0.8
/* Routers that share an endpoint, per request a second of its rate, and at
   least.  */
#define ROUTERS_A_RATE 0.25
#define ROUTERS_LEAST 4.

static uint64_t
score (const char *router, uint64_t endpoint)
{
  return XXH3_64bits_withSeed (router, strlen (router), endpoint);
}

bool
cold_ranks_before (const char *router, const char *other, uint64_t endpoint)
{
  uint64_t mine = score (router, endpoint);
  uint64_t others = score (other, endpoint);

  return mine != others ? mine > others : strcmp (router, other) < 0;
}

double
cold_rate_per_router (double per_s, unsigned routers, unsigned rank)
{
  double sharing = floor (MAX (per_s * ROUTERS_A_RATE, ROUTERS_LEAST));

  sharing = CLAMP (sharing, 1., (double)MAX (routers, 1));
  return rank < sharing ? per_s * RATE_SHARE / sharing : 0.;
}
