/* The relay: takes callers' requests, lets them wait for room, sends each to
   an endpoint and its answer back unchanged.

   What a refusal says is true: "not run" is said of requests alone that were
   never sent, or that their endpoint gave back unstarted.  */

#ifndef RELAY_RLY_H
#define RELAY_RLY_H

#include "relay/edp.h"
#include "relay/ent.h"
#include "relay/pfx.h"
#include "relay/ret.h"
#include "relay/rte.h"
#include "relay/use.h"

/* Names of the fields that callers and endpoints use; the platform's adapter
   gives them.  */
typedef struct
{
  const char *request_id;
  const char *deadline_ms;     /* how long the caller waits, from now */
  const char *account;         /* set by us for endpoints */
  const char *expect_endpoint; /* another than that refuses */
  const char *not_run;         /* an answer with it says: not run */
  const char *stamp;           /* an endpoint's mark on its answers */
  const char *prompt;          /* parts of the prompt */
  const char *tokens;          /* prompt tokens, most generated ones */
  const char *length_hint;     /* generated tokens, about */
  const char *fetch_from;  /* address that a cached prefix is copied from */
  const char *last_event;  /* a stream goes on after that event */
  const char *key_scheme;  /* of the Authorization field */
  const char *const *ours; /* a caller must not set these; NULL-ended */
} rly_names_t;

/* Bounds that the deployment sets.  */
typedef struct
{
  int64_t retry_window_ms; /* budget of repeats, of the whole fleet */
  double retry_ratio;
  double retry_slack;
  int64_t share_window_ms; /* over which accounts' shares are compared */
  const char *zone;        /* the router's own; NULL: not told */
  unsigned disabled;       /* mech_t bits that are switched off */
} rly_settings_t;

typedef struct
{
  uint64_t requests;
  uint64_t answered; /* an endpoint's answer, whole */
  uint64_t refused;  /* not run */
  uint64_t failed;   /* unknown outcome, or broken off */
  uint64_t departed; /* the caller left */
  uint64_t repeats;  /* sent once more */
  uint64_t resumed;  /* streams that went on at another endpoint */
  unsigned waiting;
  unsigned running;
} rly_counts_t;

typedef struct rly rly_t;

rly_t *rly_new (struct ev_loop *loop, const rly_names_t *names,
                const rly_settings_t *bounds, edp_set_t *endpoints, use_t *use,
                pfx_t *pfx, ret_t *ret);
void rly_free (rly_t *rly);

/* Its time is counted in LAG, which is not owned.  */
void rly_set_lag (rly_t *rly, lag_t *lag);

/* Callbacks for the callers' side; USER is the relay.  */
void rly_on_request (void *user, ent_call_t *call);
void rly_on_disconnect (void *user, ent_call_t *call);

/* A newer table comes into force; an older one is passed over.  */
void rly_set_table (rly_t *rly, rte_table_t *table);
const rte_table_t *rly_table (const rly_t *rly);

/* New requests are refused from now on, not run; those that are here go on.
 */
void rly_stop_accepting (rly_t *rly);

/* How many routers there are, this one included.  */
void rly_set_router_count (rly_t *rly, unsigned routers);

/* To be called every RLY_TICK_MS.  */
#define RLY_TICK_MS 25
void rly_tick (rly_t *rly, cfd_time_t now);

const rly_counts_t *rly_counts (const rly_t *rly);

/* Appends counters and latencies in Prometheus' text format.  */
void rly_append_metrics (const rly_t *rly, cfd_time_t now, GString *out);

#endif
