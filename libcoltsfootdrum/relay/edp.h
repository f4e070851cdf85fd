/* Endpoints.  The set of endpoints that requests may be sent to, with what the
   platform reports about each, this router's load on it, and the load that
   other routers report for it.  */

#ifndef RELAY_EDP_H
#define RELAY_EDP_H

#include "base/clock.h"
#include "base/list.h"
#include "relay/con.h"
#include "relay/org.h"
#include "relay/pau.h"
#include "relay/spd.h"
#include "relay/ups.h"
#include "relay/wrm.h"

/* The platform's report about one endpoint.  */
typedef struct
{
  char *id;
  char *service;
  char *address; /* IP:PORT */
  char *zone;
  char *version;      /* of its software; NULL: not reported */
  int64_t revision;   /* of the store, at the report's last change */
  unsigned slots;     /* concurrent requests; 0: not reported */
  bool leaving;       /* accepts no new requests */
  int64_t started_ms; /* wall time of its start; 0: not reported */
  int64_t cold_ms;    /* remaining time until it is warm */
} edp_report_t;

void edp_report_free (edp_report_t *report);

/* Whether rollouts (relay/rol.h) let an endpoint get requests.  */
typedef enum
{
  EDP_CURRENT,    /* like any other */
  EDP_CANARY,     /* of a version on trial: a small share of the requests */
  EDP_UNVERIFIED, /* it may be of a version on trial: none */
  EDP_REJECTED,   /* of a version that was rolled back: none */
  EDP_REPLACED    /* of the version before a completed rollout: none */
} edp_standing_t;

/* Returns a word for logs.  */
const char *edp_standing_name (edp_standing_t standing);

typedef struct edp_set edp_set_t;
typedef struct edp edp_t;

/* How endpoints are asked for their health, and by whom.  */
typedef struct
{
  const char *endpoint_id; /* field of an answer: who gave it */
  const char *cold_ms;     /* field: how much longer it is cold */
  const char *not_run;     /* field of a rejection for want of capacity */
  const char *request_id;  /* field of an answer: to which request it is */
  /* Returns the path of SERVICE; NULL: it has none.  */
  const char *(*get_path) (void *user, const char *service);
  /* Returns the number of routers that rank before this one to check EDP.  */
  unsigned (*get_rank) (void *user, cfd_time_t now, const edp_t *edp);
  /* Returns the number of routers that send requests to EDP.  */
  unsigned (*count_routers) (void *user, const edp_t *edp);
  void *user;
} edp_check_options_t;

/* The last health check of an endpoint by this router.  */
typedef struct
{
  const edp_check_options_t *options;
  ups_exchange_t *exchange; /* NULL: it has ended */
  cfd_time_t sent_at;
  cfd_time_t considered_at; /* whether this router sends it */
  size_t body_bytes;        /* of its answer */
} edp_check_t;

/* Exchanges with an endpoint that broke, until it is known whether its process
   has ended.  */
typedef struct
{
  cfd_time_t first_at; /* CFD_TIME_NEVER: there are none */
  cfd_time_t last_at;
  bool is_silent; /* open connections don't show that the process runs */
  con_t *probe;   /* NULL: not opened */
  cfd_time_t probed_at;
} edp_break_t;

/* Connections of an endpoint that it closed or reset one shortly after the
   other.  */
typedef struct
{
  cfd_time_t first_at;
  bool was_active; /* one of them was in use, or a moment before */
} edp_closing_t;

/* Requests that this router sent to an endpoint, by spans of a second.  */
typedef struct
{
  cfd_time_t since; /* the start of the present span */
  unsigned present;
  unsigned previous;
} edp_sends_t;

/* Called when it is known whether the process of EDP, whose exchanges broke
   from FIRST_AT on, HAS_ENDED.  */
typedef void (*edp_break_callback_t) (void *user, edp_t *edp, bool has_ended,
                                      cfd_time_t first_at);

struct edp
{
  list_node_t node;
  edp_set_t *set;
  edp_report_t *report;
  uint64_t hash; /* of its id and start time */
  /* Of the streams that it begins.  ORG_ANY: not known, as its process ended
     and its entry wasn't renewed since then.  */
  org_origin_t origin;
  bool is_registered; /* its version, see relay/org.h */
  ups_t *ups;
  bool withdrawn;             /* its availability zone is out of service */
  bool has_announced_leaving; /* in an answer, whatever the list says */
  edp_standing_t standing;
  bool is_near;            /* of this router's cell, see relay/cel.h */
  bool is_in_use;          /* in the list of edp_set_endpoints */
  unsigned cell_count;     /* cells that share it */
  unsigned listed_in;      /* number of the last list that had it */
  int64_t listed_revision; /* of the store, at its first listing */
  bool is_verified;        /* no order named its version when it was listed */
  cfd_time_t unlisted_since; /* CFD_TIME_NEVER while it is listed */
  wrm_t warmth;
  double cold_tokens; /* token bucket of the warm-up rate limit */
  unsigned cold_rank; /* this router's rank among those that share the rate */
  cfd_time_t cold_refilled_at;
  edp_check_t check;
  edp_break_t broken;
  edp_closing_t closing;
  edp_sends_t sends;

  /* Load of this router.  */
  unsigned active;        /* running requests */
  double pending_prefill; /* prefill work of requests without a first byte */
  double context_tokens;  /* KV cache used by running requests, estimated */
  size_t body_bytes;      /* bodies of running requests */
  /* The same figures, summed over the other routers.  */
  unsigned peer_active;
  double peer_pending_prefill;
  double peer_context_tokens;
  bool has_peer_totals; /* the sums over the other routers are valid */

  pau_recent_t finished_prefill; /* of all routers */
  double pause_window_ms;        /* of its service, see relay/pau.h */
  spd_t speed;

  bool changed; /* own load changed since it was last sent to other routers */
  cfd_time_t backoff_until; /* no new requests until then, after failures */
  unsigned consecutive_failures;
  cfd_time_t full_until; /* no new requests until then, after rejections */
  unsigned consecutive_rejections;
  cfd_time_t rest_until; /* no new requests until then: it asked for rest */
  cfd_time_t last_answer_at; /* when it last sent part of an answer */
};

edp_set_t *edp_set_new (struct ev_loop *loop);
void edp_set_free (edp_set_t *set);

/* Applies REPORTS, a complete list of edp_report_t, and takes ownership of it.
   COLD_MS is the assumed warm-up time of an endpoint without a known start
   time.  When the list is SETTLED, an endpoint that it lacks is retired.
   Otherwise the endpoint stays in use: after an outage of the platform, live
   endpoints take some time to report again.  */
void edp_set_update (edp_set_t *set, cfd_time_t now, GPtrArray *reports,
                     bool settled, int64_t cold_ms);
/* Returns whether the endpoint ID is known as of REVISION of its report, above
   0.  If so, it counts as listed in the next edp_set_update and needs no
   report.  */
bool edp_set_keep (edp_set_t *set, const char *id, int64_t revision);

/* Sets this router's cell, of CELLS (relay/cel.h).  */
void edp_set_choose_cell (edp_set_t *set, unsigned cell, unsigned cells);
/* Returns the endpoints of SERVICE that this router uses: those of its cell.
   Returns NULL when there are none.  The array of edp_t is valid until the
   next list.  */
const GPtrArray *edp_set_get_near (const edp_set_t *set, const char *service);
/* Returns all endpoints of SERVICE likewise.  */
const GPtrArray *edp_set_get_all (const edp_set_t *set, const char *service);
/* Returns the number of cells that the fleet is divided into.  */
unsigned edp_set_get_cells (const edp_set_t *set);
/* Returns the open endpoint of SERVICE that the routers of all cells prefer
   for prompts with the prefix PREFIX_ID, by rendezvous hashing; NULL when none
   is open.  */
edp_t *edp_set_find_preferred (const edp_set_t *set, const char *service,
                               cfd_time_t now, uint64_t prefix_id);
/* Returns the weight of EDP for the prefix PREFIX_ID: the endpoint with the
   highest is preferred.  */
uint64_t edp_compute_weight (const edp_t *edp, uint64_t prefix_id);
/* Returns a number that changes when an endpoint comes or goes.  */
unsigned edp_set_get_epoch (const edp_set_t *set);
/* Records that a request is sent to EDP, which may be of another cell.  */
void edp_set_note_used (edp_set_t *set, edp_t *edp);

/* Records that this router's load on EDP changed.  Returns whether any load
   has changed since edp_set_clear_changed.  */
void edp_set_note_changed (edp_set_t *set, edp_t *edp);
bool edp_set_has_changed (const edp_set_t *set);
void edp_set_clear_changed (edp_set_t *set);

/* Returns whether endpoints came into use since the last call.  */
bool edp_set_take_new (edp_set_t *set);

/* Sets the availability zones that are out of service.  ZONES is copied.
   Endpoints whose zone returns are suspected to be cold
   (edp_set_suspect_cold): they may turn cold while they get nothing.  */
void edp_set_withdraw_zones (edp_set_t *set, cfd_time_t now,
                             const char *const *zones);

/* Records for CAUSE, a word for logs, that each endpoint may have turned cold
   unnoticed.  The same holds for those of a first list, which may be old.
   Until a list that is current as of NOW shows its state, but no longer than
   it can be cold, a suspected endpoint gets requests at the warm-up rate.  */
void edp_set_suspect_cold (edp_set_t *set, cfd_time_t now, const char *cause);
/* Records that the list which was applied last is current as of CURRENT_AT;
   CFD_TIME_NEVER: not known.  */
void edp_set_note_current (edp_set_t *set, cfd_time_t now,
                           cfd_time_t current_at);
/* Sets how long the endpoints of each service can be cold.  */
void edp_set_update_warm_up (edp_set_t *set,
                             int64_t (*get_ms) (void *user,
                                                const char *service),
                             void *user);

/* Sends the health checks that are due (relay/wrm.h); OPTIONS must stay valid.
   An endpoint that answers that it is cold is cold for so long.  While the
   platform's list IS_OLD, so is one that is ill, or whose address another one
   has, until the next check.  One that doesn't answer or rejects the check has
   no free slot, and is left as it is.  */
void edp_set_check_health (edp_set_t *set, cfd_time_t now,
                           const edp_check_options_t *options, bool is_old);
/* Returns whether endpoints were found to be cold, or may have ended, since
   the last call, so that this router's ranks for them have to be computed.  */
bool edp_set_take_newly_cold (edp_set_t *set);
/* Returns for how long EDP stays cold by this router's last health check.  */
int64_t edp_get_found_cold_ms (const edp_t *edp, cfd_time_t now);
/* Records that another router found the endpoint HASH to be cold.  */
void edp_set_note_cold (edp_set_t *set, cfd_time_t now, uint64_t hash,
                        int64_t cold_ms);
/* Returns the number of health checks that were sent.  */
uint64_t edp_set_count_checks (const edp_set_t *set);

/* Records that an exchange with EDP broke; IS_SILENT: the endpoint is only
   overdue.  The process has ended if no connection survived and a new one
   can't be opened, which takes some ten milliseconds to tell.  */
void edp_set_note_break (edp_set_t *set, edp_t *edp, cfd_time_t now,
                         bool is_silent);
/* Records that a connection to EDP could not be opened.  */
void edp_note_unreachable (edp_t *edp, cfd_time_t now);
/* Returns whether that isn't known yet.  */
bool edp_is_break_pending (const edp_t *edp);
/* Sets the function that gets the result.  */
void edp_set_set_break_callback (edp_set_t *set, edp_break_callback_t callback,
                                 void *user);
/* Must be called several times a second.  */
void edp_set_check_breaks (edp_set_t *set, cfd_time_t now);
/* Returns the number of processes that were found to have ended.  */
uint64_t edp_set_count_ended (const edp_set_t *set);

/* Frees retired endpoints that have no running requests.  Must not be called
   from a callback of an exchange.  */
void edp_set_sweep (edp_set_t *set, cfd_time_t now);

/* Returns the endpoints that this router uses: those of its cell, and others
   that it sent requests to lately.  */
list_node_t *edp_set_endpoints (edp_set_t *set);
/* Returns all other endpoints.  */
list_node_t *edp_set_others (edp_set_t *set);
edp_t *edp_set_find (edp_set_t *set, const char *id);
edp_t *edp_set_find_by_hash (edp_set_t *set, uint64_t hash);
guint edp_set_count (const edp_set_t *set);
/* Returns whether an endpoint of SERVICE may continue streams of ORIGIN, now
   or later.  Those of other cells may do so unless they are on trial.  */
bool edp_set_has_origin (const edp_set_t *set, const char *service,
                         org_origin_t origin);
/* Returns whether an endpoint is in use that the platform no longer lists.  */
bool edp_set_has_unlisted (const edp_set_t *set);

/* Returns whether EDP is to get requests at all, at some time.  */
bool edp_is_usable (const edp_t *edp);
/* Returns whether EDP serves requests, though perhaps not at once: it may have
   rejected some a moment ago.  One that rests doesn't.  */
bool edp_is_serving (const edp_t *edp, cfd_time_t now);
/* Returns whether new requests may be sent to EDP, apart from its load, the
   warm-up rate limit and the share of canaries.  */
bool edp_is_open (const edp_t *edp, cfd_time_t now);

/* Returns whether EDP gets requests at the warm-up rate only: it is cold, or
   may be.  */
bool edp_is_cold (const edp_t *edp, cfd_time_t now);
/* Returns whether the warm-up rate limit allows another request to EDP now;
   always true for a warm endpoint.  A cold endpoint takes few requests a
   second from all routers together and crashes well above that rate.  PER_S is
   this router's part of the rate.  */
bool edp_allows_request (edp_t *edp, cfd_time_t now, double per_s);
/* Counts a request that was sent, also against the warm-up rate limit.  */
void edp_count_request (edp_t *edp, cfd_time_t now);

/* Record the outcome of an exchange.  */
void edp_record_failure (edp_t *edp, cfd_time_t now);
void edp_record_success (edp_t *edp, cfd_time_t now);
/* Record that EDP rejected a request for lack of capacity, or accepted one. */
void edp_record_rejection (edp_t *edp, cfd_time_t now);
void edp_record_acceptance (edp_t *edp);
/* Records that EDP announced in an answer that it leaves.  It gets no more
   requests, also when an older list is applied later.  Returns false when that
   was known.  */
bool edp_record_leaving (edp_t *edp);
/* Records that EDP asked this router for REST_MS without requests, which a
   shorter rest doesn't end sooner.  What waits for its end is sent at the
   warm-up rate at first.  Returns whether it did not rest before.  */
bool edp_record_rest (edp_t *edp, cfd_time_t now, int64_t rest_ms);
bool edp_is_resting (const edp_t *edp, cfd_time_t now);
/* Returns when the first rest ends if all endpoints of SERVICE rest, apart
   from those that get no requests at all; otherwise NOW.  One that pauses
   after a failure doesn't rest: it may take requests at any moment.  */
cfd_time_t edp_set_find_rest_end (const edp_set_t *set, const char *service,
                                  cfd_time_t now);

#endif
