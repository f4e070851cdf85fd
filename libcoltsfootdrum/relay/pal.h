/* Peers.  Exchanges state between routers over UDP: the load that each router
   puts on each endpoint, the usage of accounts, cached prompt prefixes,
   refused requests, the versions at which streams began, the requests and
   the parts of prompts under which endpoints ended, answers by version during
   a rollout, and the progress of reading the platform's lists.

   Datagrams are encoded with msgpack-c and hold absolute values, so that a
   lost, duplicated or reordered one does no harm.  Routers of the same cell
   (relay/cel.h) get the load of an endpoint as soon as it changes, and the
   full state periodically; the others get a summary at a longer interval.  The
   state of a router that sends nothing for a while is discarded.  */

#ifndef RELAY_PAL_H
#define RELAY_PAL_H

#include "relay/bal.h"
#include "relay/edp.h"
#include "relay/lag.h"
#include "relay/pfx.h"
#include "relay/prt.h"
#include "relay/qua.h"
#include "relay/ret.h"
#include "relay/rol.h"
#include "relay/use.h"

typedef struct pal pal_t;

/* Binds a UDP socket to ADDRESS (IP:PORT).  INCARNATION is a number by which
   peers tell this process from earlier ones of the router NAME.  Returns NULL
   with CFD_ERROR_ADDRESS when the socket can't be bound.  */
pal_t *pal_new (struct ev_loop *loop, const char *name, uint64_t incarnation,
                const char *address, edp_set_t *endpoints, use_t *use,
                pfx_t *pfx, ret_t *ret, GError **error);
void pal_free (pal_t *pal);

/* Accounts the time spent on reading datagrams to LAG, which is not owned.  */
void pal_set_lag (pal_t *pal, lag_t *lag);

/* Exchanges the evidence of ROL, which is not owned.  */
void pal_set_rollouts (pal_t *pal, rol_t *rol);

/* Exchanges the origins of streams with ORG, which is not owned.  */
void pal_set_origins (pal_t *pal, org_t *org);

/* Exchanges the ends of endpoints under requests with QUA, which is not owned.
 */
void pal_set_quarantine (pal_t *pal, qua_t *qua);

/* Exchanges ends and answers by part of prompts with PRT, which is not owned.
 */
void pal_set_parts (pal_t *pal, prt_t *prt);

/* Exchanges the routers' processor time with BAL, which is not owned.  */
void pal_set_balance (pal_t *pal, bal_t *bal);

/* Another router, as listed in the platform's store.  */
typedef struct
{
  const char *name;
  const char *address; /* IP:PORT */
  bool is_near;        /* of this router's cell (relay/cel.h) */
} pal_member_t;

/* Sets whether this router reads one of the platform's lists for all others,
   which then need its summaries sooner.  */
void pal_set_reader (pal_t *pal, bool is_reader);

/* Replaces the list of the other routers; PEERS is copied.  A router without a
   valid address counts as part of the fleet, but is sent nothing.  */
void pal_set_peers (pal_t *pal, const pal_member_t *peers, guint count);

/* Returns the number of routers that datagrams were received from lately, plus
   this one.  */
unsigned pal_count_alive (const pal_t *pal);
/* Returns the number of routers that are assumed to work, this one included.
   That is pal_count_alive, unless datagrams come from less than half of the
   listed routers: this router may then be partitioned from the rest, and all
   listed routers count.  */
unsigned pal_estimate_fleet_size (const pal_t *pal);
/* Returns whether datagrams come from less than half of the listed routers, so
   that this router may be partitioned from the rest.  */
bool pal_may_be_partitioned (const pal_t *pal);
/* Returns the number of listed routers that send requests to EDP: those of the
   cells that share it.  */
unsigned pal_count_sharing (const pal_t *pal, const edp_t *edp);
/* Returns this router's rank for EDP among those of its cell whose last
   datagram came a moment ago; 0: it is the first.  */
unsigned pal_get_rank (const pal_t *pal, cfd_time_t now, const edp_t *edp);
/* Sets whether this router's writes to the platform's store fail, so that
   others take over the tasks for which they are needed.  */
void pal_set_fails_writes (pal_t *pal, bool fails);
/* Returns the same for a task of the whole cell that needs such writes: those
   with a larger share of a processor go first, then in an order by KEY.  For a
   moment after the start, routers that have sent nothing yet count too; 1 at
   least while the other routers aren't known.  Routers whose writes fail don't
   count, but for all beyond two: in an outage of the store three try.  */
unsigned pal_get_cell_rank (const pal_t *pal, cfd_time_t now, uint64_t key);
/* Returns the same for a task of the whole fleet, among all routers that
   datagrams were received from lately.  */
unsigned pal_get_fleet_rank (const pal_t *pal, cfd_time_t now, uint64_t key);
/* Sets this router's rank at each cold endpoint (relay/cold.h).  Must be
   called after the list of endpoints changed, before the next request is
   placed.  */
void pal_update_cold_ranks (pal_t *pal, cfd_time_t now);

/* Sets for how long this router has read the platform's list of endpoints
   without a failure, and returns the longest such time of any other router.
   -1: the last read failed, or there was none.  */
void pal_set_list_stable_ms (pal_t *pal, int64_t stable_ms);
int64_t pal_get_max_peer_stable_ms (const pal_t *pal, cfd_time_t now);

/* Number of the platform's lists whose revision and age routers exchange.  */
#define PAL_LIST_COUNT 6

/* Sets the platform's revision of the last change of LIST (below
   PAL_LIST_COUNT) that this router has read; 0: none.  */
void pal_set_list_revision (pal_t *pal, unsigned list, int64_t revision);
/* Sets how long ago this router last confirmed that its copy of LIST is
   current, in milliseconds.  -1: not known.  */
void pal_set_list_age (pal_t *pal, unsigned list, int64_t age_ms);

/* What the other routers report of a list.  */
typedef struct
{
  int64_t max_revision; /* of its last change; 0: none */
  int64_t min_age_ms;   /* since one of them confirmed it; -1: not known */
  /* How many of them precede this router in the order in which routers are
     chosen to read the list for the fleet, of those that have confirmed it
     lately.  For some time after this router's start, the listed routers that
     have sent it nothing yet count too: they may all have started at the same
     moment.  */
  unsigned rank;
  unsigned rank_of_all; /* the same among all that datagrams come from */
} pal_list_view_t;

/* Returns the reports on LIST.  MAX_AGE_MS is the age beyond which a router
   that confirmed it doesn't count as its reader, and the time after the start
   for which unknown routers do.  */
pal_list_view_t pal_view_list (const pal_t *pal, cfd_time_t now, unsigned list,
                               int64_t max_age_ms);

/* Sends the changes of LIST from revision FROM to TO to the other routers, so
   that they needn't read them from the platform.  An update that is lost, or
   too large to be sent, does no harm: routers that miss it read the list.  */
void pal_broadcast_update (pal_t *pal, unsigned list, int64_t from, int64_t to,
                           const char *events);
/* Sets the function that is called for each update received.  */
void pal_set_update_callback (pal_t *pal,
                              void (*callback) (void *user, unsigned list,
                                                int64_t from, int64_t to,
                                                const char *events),
                              void *user);

/* Must be called several times a second.  Discards the state of silent routers
   and sends the full state when it is due, or else the changes.  */
void pal_tick (pal_t *pal, cfd_time_t now);

/* Content of a state datagram.  */
typedef enum
{
  PAL_CHANGES, /* since the last datagram */
  PAL_FULL,
  PAL_SUMMARY /* what routers of other cells need */
} pal_content_t;

/* Encodes one datagram.  */
GByteArray *pal_pack (pal_t *pal, cfd_time_t now, pal_content_t content);
/* Applies a datagram from another router.  Returns false when BYTES is not a
   valid state datagram.  */
bool pal_receive (pal_t *pal, cfd_time_t now, const void *bytes,
                  size_t length);
/* Returns the number of datagrams received that were of no known kind or
   malformed.  */
uint64_t pal_count_invalid (const pal_t *pal);
/* Returns the number of datagrams that were dropped because the router had no
   time for them.  */
uint64_t pal_count_dropped (const pal_t *pal);

#endif
