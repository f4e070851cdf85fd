/* What routers tell each other: how much each has under way at each endpoint,
   what accounts got from it, and which prompts it sent where.

   Datagrams with absolute figures: of endpoints at once when theirs change, of
   all at each tick.  A lost, doubled or late one does no harm, and a router
   that falls silent is forgotten.  The codec is msgpack-c's.  */

#ifndef RELAY_PAL_H
#define RELAY_PAL_H

#include "relay/edp.h"
#include "relay/lag.h"
#include "relay/pfx.h"
#include "relay/ret.h"
#include "relay/use.h"

typedef struct pal pal_t;

/* NULL with CFD_ERROR_ADDRESS when ADDRESS (IP:PORT) can't be bound.  */
pal_t *pal_new (struct ev_loop *loop, const char *name, const char *address,
                edp_set_t *endpoints, use_t *use, pfx_t *pfx, ret_t *ret,
                GError **error);
void pal_free (pal_t *pal);

/* Its time is counted in LAG, which is not owned.  */
void pal_set_lag (pal_t *pal, lag_t *lag);

/* One of the other routers, as the platform's store lists it.  */
typedef struct
{
  const char *name;
  const char *address; /* IP:PORT */
} pal_member_t;

/* The other routers; all is copied.  One without a good address counts, and is
   sent nothing.  */
void pal_set_peers (pal_t *pal, const pal_member_t *peers, guint count);

/* Routers whose datagrams came lately, this one included.  */
unsigned pal_count_alive (const pal_t *pal);
/* Routers that work now, this one included: those whose datagrams came
   lately.  A router that receives less than half of the listed ones' datagrams
   may itself be cut off, and counts all of them.  */
unsigned pal_estimate_fleet_size (const pal_t *pal);
/* Sets the rank of this router at each cold endpoint (relay/cold.h).  To be
   called when endpoints were listed, before the next request is placed.  */
void pal_update_cold_ranks (pal_t *pal, cfd_time_t now);

/* How long the platform's list of endpoints has been read well here, and the
   longest such time of any other router; -1: not at all.  */
void pal_set_list_stable_ms (pal_t *pal, int64_t steady_ms);
int64_t pal_get_max_peer_stable_ms (const pal_t *pal, cfd_time_t now);

/* Lists of the platform that routers compare notes on.  */
#define PAL_LIST_COUNT 4

/* The platform's revision at which LIST (below PAL_LIST_COUNT) was last seen
   to change here, and the newest such revision of any other router; 0: none.
 */
void pal_set_list_revision (pal_t *pal, unsigned list, int64_t revision);
int64_t pal_get_max_peer_revision (const pal_t *pal, cfd_time_t now,
                                   unsigned list);

/* How long ago LIST was last confirmed here, and the shortest such time of any
   other router, in milliseconds; -1: not known.  */
void pal_set_list_age (pal_t *pal, unsigned list, int64_t age_ms);
int64_t pal_get_min_peer_age_ms (const pal_t *pal, cfd_time_t now,
                                 unsigned list);

/* How many of the other routers go before this one in the order in which
   routers read LIST; those that confirmed it longer than MOST_MS ago don't
   count.  */
unsigned pal_get_reader_rank (const pal_t *pal, cfd_time_t now, unsigned list,
                              int64_t most_ms);

/* Changes of LIST from revision FROM to TO, for the others: they needn't read
   these from the platform.  A lost or too large one does no harm, for those
   who miss it read the list.  */
void pal_broadcast_update (pal_t *pal, unsigned list, int64_t from, int64_t to,
                           const char *events);
/* Calls BACK for each update that comes.  */
void pal_set_update_callback (pal_t *pal,
                              void (*back) (void *user, unsigned list,
                                            int64_t from, int64_t to,
                                            const char *events),
                              void *user);

/* Sends this router's figures and adds up the others'.  */
void pal_tick (pal_t *pal, cfd_time_t now);

/* One datagram's content, for tests: WHOLE, or what changed alone.  */
GByteArray *pal_pack (pal_t *pal, cfd_time_t now, bool whole);
/* False when BYTES is no figures of another router.  */
bool pal_receive (pal_t *pal, cfd_time_t now, const void *bytes,
                  size_t length);

#endif
