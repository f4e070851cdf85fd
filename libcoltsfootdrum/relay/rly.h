/* The relay of requests.  Accepts callers' requests, queues them until an
   endpoint has capacity, sends each to an endpoint and returns the answer
   unchanged.

   A caller is told that its request was not run only when the request was
   never sent, or when the endpoint rejected it before starting it.  */

#ifndef RELAY_RLY_H
#define RELAY_RLY_H

#include "relay/edp.h"
#include "relay/end.h"
#include "relay/ent.h"
#include "relay/org.h"
#include "relay/pfx.h"
#include "relay/plc.h"
#include "relay/prt.h"
#include "relay/qua.h"
#include "relay/ret.h"
#include "relay/rol.h"
#include "relay/rte.h"
#include "relay/shd.h"
#include "relay/use.h"

/* Names of the header fields that callers and endpoints use, from the
   platform's adapter.  */
typedef struct
{
  const char *request_id;
  const char *deadline_ms;     /* how long the caller waits */
  const char *account;         /* client account, sent to endpoints */
  const char *expect_endpoint; /* id; any other endpoint refuses */
  const char *not_run;         /* in an answer: the request was not run */
  const char *leaving;         /* in an answer: its endpoint leaves, if 1 */
  const char *response_stamp;  /* in an answer: it is from an endpoint */
  const char *prompt;          /* parts of the prompt */
  const char *token_counts;    /* prompt tokens and most generated tokens */
  const char *length_hint;     /* expected number of generated tokens */
  const char *fetch_from;      /* address to copy a cached prefix from */
  const char *last_event;      /* event after which a stream resumes */
  const char *resumes;         /* id of the attempt that brought its first */
  const char *key_scheme;      /* of the Authorization field */
  /* Fields that are dropped from callers' requests; NULL-terminated.  */
  const char *const *reserved_fields;
} rly_names_t;

/* Settings of the deployment.  */
typedef struct
{
  /* Retry budget of the whole fleet.  */
  int64_t retry_window_ms;
  double retry_ratio;
  double retry_slack;

  int64_t share_window_ms; /* window for the usage of client accounts */
  const char *zone;        /* the router's availability zone; NULL: unknown */
  unsigned disabled;       /* mech_t bits of disabled mechanisms */
} rly_settings_t;

/* The decision on a request that resumes a stream, at its arrival.  */
typedef enum
{
  RLY_RESUME_ANY,         /* not bound to a version */
  RLY_RESUME_BOUND,       /* goes to the version at which the stream began */
  RLY_RESUME_UNKNOWN,     /* refused: it isn't known where the stream began */
  RLY_RESUME_UNAVAILABLE, /* refused: that version has no endpoint */
  RLY_RESUME_KINDS
} rly_resume_t;

/* Returns a word for logs and metrics.  */
const char *rly_resume_name (rly_resume_t outcome);

typedef struct
{
  uint64_t requests;
  uint64_t answered;     /* complete answers of endpoints */
  uint64_t refused;      /* not run */
  uint64_t failed;       /* unknown outcome, or answer truncated */
  uint64_t disconnected; /* the caller disconnected */
  uint64_t retries;      /* requests sent again */
  uint64_t resumed;      /* streams resumed at another endpoint */
  uint64_t rest_avoided; /* sent elsewhere or refused for a resting endpoint */
  uint64_t withdrawn;    /* taken back before they were sent */
  uint64_t cold_requests; /* sent to endpoints that were cold */
  uint64_t quarantined;   /* refused, or not sent again */
  uint64_t part_refused;  /* the same, for a part of their prompt */
  uint64_t slow_callers;  /* disconnected, since they read too slowly */
  uint64_t held;          /* streams whose first event was held back */
  uint64_t hold_timeouts; /* of these, such as were not stored in time */
  /* Refused for want of processor time of this router, and of endpoints.  */
  uint64_t lacked_processor;
  uint64_t lacked[PLC_SHORTAGES];
  uint64_t resumptions[RLY_RESUME_KINDS];
  uint64_t ends[END_KINDS]; /* of exchanges with endpoints */
  unsigned waiting;
  unsigned running;
} rly_counts_t;

typedef struct rly rly_t;

rly_t *rly_new (struct ev_loop *loop, const rly_names_t *names,
                const rly_settings_t *settings, edp_set_t *endpoints,
                use_t *use, pfx_t *pfx, ret_t *ret);
void rly_free (rly_t *rly);

/* Counts the relay's time in LAG, which is not owned.  */
void rly_set_lag (rly_t *rly, lag_t *lag);

/* Follows the rollouts of ROL, which is not owned.  */
void rly_set_rollouts (rly_t *rly, rol_t *rol);

/* Lets streams be resumed only at the version at which they
   began, as ORG knows it, which is not owned.  Without it a caller may resume
   its stream anywhere.  */
void rly_set_origins (rly_t *rly, org_t *org);
/* Records the versions of the endpoints.  Must be called after the list of
   endpoints changed, before the next request is placed.  */
void rly_update_versions (rly_t *rly, cfd_time_t now);

/* Records which endpoints are of registered versions.  Must be called after
   the register changed; what waited for that is dispatched.  */
void rly_update_register (rly_t *rly);

/* Doesn't send requests that QUA quarantines, which is not owned.  */
void rly_set_quarantine (rly_t *rly, qua_t *qua);

/* Doesn't send prompts with a part that PRT quarantines, which is not owned.
 */
void rly_set_parts (rly_t *rly, prt_t *prt);

/* Callbacks for ent_ops_t; USER is the relay.  */
void rly_on_request (void *user, ent_call_t *call);
/* Returns the name of CALL's account, empty when it has none or no
   configuration is known; NULL after CALL was refused by its head.  */
const char *rly_on_head (void *user, ent_call_t *call);
void rly_on_disconnect (void *user, ent_call_t *call);

/* Applies TABLE, unless it is older than the current one.  */
void rly_set_table (rly_t *rly, rte_table_t *table, cfd_time_t now);
const rte_table_t *rly_table (const rly_t *rly);

/* Refuses new requests from now on; accepted requests are completed.  */
void rly_stop_accepting (rly_t *rly);

/* Sets what decides whether a new request is admitted.  SHD is not owned;
   without it all are.  */
void rly_set_shedding (rly_t *rly, const shd_t *shd);

/* Sets how many bytes of answers may be kept until they, or their next events,
   are whole; 0: no limit.  Beyond it, answers that take more than a small
   share are broken off.  */
void rly_set_answer_budget (rly_t *rly, size_t bytes);

/* Sets the number of routers of the fleet, this one included.  */
void rly_set_router_count (rly_t *rly, unsigned routers);

/* Sets whether the list of endpoints is old: this router may be partitioned
   from others that know more.  */
void rly_set_list_old (rly_t *rly, bool is_list_old);

/* To be called every RLY_TICK_MS.  */
#define RLY_TICK_MS 25
void rly_tick (rly_t *rly, cfd_time_t now);

const rly_counts_t *rly_counts (const rly_t *rly);

/* Appends counters and latencies to OUT in Prometheus' text format.  */
void rly_append_metrics (const rly_t *rly, cfd_time_t now, GString *out);

#endif
