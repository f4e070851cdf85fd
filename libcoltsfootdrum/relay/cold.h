/* Cold endpoints.  Divides the warm-up rate limit of an endpoint among the
   routers.

   Load pattern: an endpoint starts or turns cold while requests wait at every
   router.  A router with any part of the rate may send one request at once, so
   a limit split over hundreds of routers would allow hundreds of requests at
   the same moment.  Therefore a few routers, chosen for each endpoint by
   rendezvous hashing, share the whole rate; the others send the endpoint
   nothing while it is cold.  */

#ifndef RELAY_COLD_H
#define RELAY_COLD_H

#include <stdbool.h>
#include <stdint.h>

/* Rank of a router that doesn't know the other routers yet, or is none of
   those that share the endpoint; its rate is 0.  */
#define COLD_RANK_UNKNOWN UINT32_MAX

/* Returns whether ROUTER ranks before OTHER for ENDPOINT, a hash.  */
bool cold_ranks_before (const char *router, const char *other,
                        uint64_t endpoint);

/* Returns the requests a second that a router may send to an endpoint whose
   limit is PER_S for all ROUTERS together.  RANK is the number of routers that
   rank before it.  Of those that MAY_BE_PARTITIONED half as many share the
   rate, since the others may use all of it beside them.  */
double cold_rate_per_router (double per_s, unsigned routers, unsigned rank,
                             bool may_be_partitioned);

#endif
