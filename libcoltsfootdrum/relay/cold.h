/* The warm-up rate limit of a cold endpoint, shared by all routers.

   Load pattern: an endpoint starts or turns cold while requests wait at every
   router.  Each router that may send at all may send one request at once, so
   that a limit split over hundreds of routers adds up to hundreds in the same
   moment.  A few routers, chosen for each endpoint by rendezvous hashing,
   share the whole rate; the others send it nothing while it is cold.  */

#ifndef RELAY_COLD_H
#define RELAY_COLD_H

#include <stdbool.h>
#include <stdint.h>

/* No requests while it isn't known which routers there are.  */
#define COLD_RANK_UNKNOWN UINT32_MAX

/* Whether ROUTER goes before OTHER in the order of ENDPOINT (a hash).  */
bool cold_ranks_before (const char *router, const char *other,
                        uint64_t endpoint);

/* Requests a second of one router to an endpoint that takes PER_S of all
   ROUTERS; RANK: how many go before it.  */
double cold_rate_per_router (double per_s, unsigned routers, unsigned rank);

#endif
