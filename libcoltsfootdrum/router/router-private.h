/* Router.  Declarations shared by the sources of this folder; not for other
   folders.

      router.c          start and shutdown, incoming messages, timers
      router-agents.c   agents: list, services, links
      router-front.c    callers' HTTP requests and their validation
      router-request.c  one request from admission to its end
      router-claim.c    idempotency claims
      router-config.c   configuration exchange with peers
      router-grant.c    announcements, grants and assignments
      router-answer.c   answers from agents, acknowledgements, resumption
      router-homes.c    fair share: selection of an account's home router
      router-share.c    fair share: reports and shares between routers
      router-local.c    the baseline policy
      router-admin.c    metrics and status

   Without I/O, and with the time as an argument:

      router-step.c     state machine of a request
      wfq.c             weighted fair queueing of the baseline policy
      avoid.c           agents that failed a request
      peer-view.c       virtual times that a peer router computes
      fairness.c        check of the assignment order and of starvation
      cost.c            cost estimate of a request  */

#ifndef ROUTER_ROUTER_PRIVATE_H
#define ROUTER_ROUTER_PRIVATE_H

#include "admin/admin.h"
#include "admit/adm.h"
#include "base/list.h"
#include "config/spread-tree.h"
#include "config/store.h"
#include "dispatch/disp.h"
#include "http/fetch.h"
#include "http/web.h"
#include "libcoltsfootdrum.h"
#include "once/once.h"
#include "once/sweep.h"
#include "platform/plat.h"
#include "router/avoid.h"
#include "router/cost.h"
#include "router/fairness.h"
#include "router/peer-view.h"
#include "router/router-step.h"
#include "router/wfq.h"
#include "share/share.h"
#include "wire/peer.h"

/* Cost of one call of a plain service.  */
#define ROUTER_PLAIN_COST_TOKENS 100.0
/* Retry budget: each admitted request adds this part of one retry, up to the
   burst.  */
#define ROUTER_RETRY_RATIO 0.1
#define ROUTER_RETRY_BURST 10.0

typedef enum
{
  REFUSED_BAD_REQUEST, /* 400, 404, 405, 413, 431 */
  REFUSED_UNKNOWN_KEY, /* 401 */
  REFUSED_QUEUE_FULL,  /* 429 */
  /* 503: the service has no endpoint, or there is no configuration.  */
  REFUSED_NO_CAPACITY,
  /* 503: the claim cannot be made while the platform is down.  */
  REFUSED_PLATFORM_DOWN,
  /* 409, 422: the Idempotency-Key is already claimed.  */
  REFUSED_CLAIM_CONFLICT,
  REFUSED_DEADLINE_EXCEEDED, /* 504 */
  REFUSED_SHUTDOWN,          /* 503 */
  REFUSED_REASON_COUNT
} refusal_reason_t;

typedef struct
{
  uint64_t requests, admitted, replayed;
  uint64_t refused[REFUSED_REASON_COUNT];
  uint64_t completed, failed, truncated, callers_gone;
  uint64_t retried, requeued, resumed, gaps;
  uint64_t grants, assigned;
  uint64_t declined[DECLINE_DRAINING + 1];
  uint64_t prompt_tokens, output_tokens;
  uint64_t reports, report_entries, shares;
  uint64_t announces, announced_entries;
} router_counters_t;

/* An agent, known from the list of instances or from its own messages.  */
typedef struct
{
  char *name;
  char *zone;
  char *host; /* of its peer address, without the port */
  /* Service of its last GRANT or LOAD message, or NULL.  */
  char *granted_service;
  char *service; /* service that it is assumed to serve; NULL: unknown */
  bool listed;
  bool leaving; /* the agent or its endpoint is leaving */
  bool up;
  uint64_t incarnation; /* of the latest link */
  /* When the link was lost with requests in flight; 0: not lost.  */
  cfd_time_t link_lost_at;
  bool link_was_silent;     /* the lost link was closed for silence */
  cfd_time_t last_grant_at; /* 0: never */
  list_node_t requests;     /* request_t.at_agent of those in flight */
  unsigned in_flight;
  bool link_held;
  cfd_time_t announced_until;
  GPtrArray *pending_cancels; /* attempt ids to cancel when the link is back */

  /* Baseline policy.  */
  bool has_load;
  unsigned busy, slots, queued;
  unsigned pushed; /* by this router since the last LOAD message */
} agent_t;

/* Another router, as a possible home router of accounts: the router that adds
   up an account's virtual time, chosen by rendezvous hashing.  */
typedef struct
{
  char *name;
  bool listed;
  bool up;
  /* Since when reports could not be sent; 0: they can.  */
  cfd_time_t unreachable_since;
  cfd_time_t last_answer_at; /* when it last answered a report */
  /* When the oldest report was sent that requires an answer and has none; 0:
     none.  */
  cfd_time_t unanswered_since;
  bool answer_late; /* that answer is overdue */
  bool excluded;    /* not used as a home until it is reachable again */
  cfd_time_t hold_until;
  bool link_held;
  GHashTable *unsent; /* pair_t to unsent_entry_t, kept until its link is up */
  /* Virtual times that it computes, with this router as the home.  */
  peer_view_t *view;
} router_peer_t;

typedef struct
{
  cfd_router_t *router;
  list_node_t node;     /* in cfd_router_t.all_requests */
  list_node_t at_agent; /* in agent_t.requests while in flight */
  char *trace_id;       /* X-Request-Id of the caller's answer */
  char *id; /* of the current attempt, "TRACE-N"; NULL before the first */
  adm_item_t item; /* owns its account and service names */
  char *method;
  char *path;
  GPtrArray *headers; /* "Name: value" each */
  GBytes *body;
  double cost_hint; /* cost in tokens as the caller's request states it */
  bool is_model;
  bool idempotent;
  char *key; /* Idempotency-Key of a call that must not run twice, or NULL */
  bool claim_pending;
  bool claimed;

  req_state_t state;
  bool may_have_run;
  bool attempt_ended; /* the agent sent the END of this attempt */
  bool not_started;   /* the agent sent NOT_STARTED for this attempt */
  /* NULL once the caller has disconnected or is answered.  */
  web_request_t *web;
  cfd_time_t assigned_at;
  unsigned attempts;      /* assignments to agents */
  unsigned lost_attempts; /* of these, that were lost at an agent */
  avoid_t avoid;          /* agents that failed this request */

  agent_t *agent;
  uint64_t agent_incarnation;
  double charged_tokens; /* to the account, for this attempt */
  double weight;

  /* Answer of the current attempt.  */
  bool has_head;
  uint32_t status;
  GPtrArray *answer_headers;
  uint64_t received_bytes; /* without gaps, from the agent */
  uint64_t written_bytes;  /* of those, passed to the caller's stream */
  uint64_t drained_bytes;  /* of those, sent to the caller */
  uint64_t acked_bytes;
  bool resume_requested; /* a RESUME for missing data was sent */
  uint64_t resume_requested_offset;
  unsigned premature_ends; /* END messages before the whole answer */
  /* For the claim, up to ONCE_MAX_ANSWER_BYTES.  */
  GByteArray *answer_copy;
  bool answer_copy_complete;
} request_t;

struct cfd_router
{
  struct ev_loop *loop;
  char *instance;
  char *zone;
  cfd_policy_t policy;
  cfd_time_t request_timeout_ms;
  cfd_time_t drain_timeout_ms;
  uint64_t incarnation;
  uint64_t last_id;

  tl_ring_t *ring;
  peer_hub_t *hub;
  fetch_pool_t *pool;
  plat_t *plat;
  store_t *store;
  once_t *once;
  sweep_t *sweep; /* NULL: claims are kept forever */
  admin_t *admin;
  web_server_t *web;

  adm_t *adm;
  disp_t *disp;
  share_t *share;
  home_t *home;
  wfq_t *wfq;
  fairness_t *fairness;
  cost_t *cost;

  GHashTable *agents;          /* name to agent_t */
  GHashTable *served_services; /* names of services with an endpoint */
  GHashTable *routers;         /* name to router_peer_t */
  GHashTable *requests;        /* attempt id to request_t, while in flight */
  list_node_t all_requests;    /* request_t.node of every request */
  unsigned in_flight;
  bool agents_changed; /* the sets of agents per service are out of date */
  double retry_budget;
  uint64_t seen_silences;     /* peer_counters_t.silences when last read */
  cfd_time_t last_silence_at; /* when an increase of it was last seen */

  ev_timer timer; /* runs the due work */
  cfd_time_t timer_at;
  cfd_time_t report_at; /* CFD_TIME_NEVER: nothing to report */
  bool homes_changed;   /* since the last report */
  cfd_time_t housekeeping_at;
  /* Configuration exchange, see router-config.c.  */
  spread_tree_t *tree;
  uint64_t requested_revision; /* newest revision that a peer was asked for */
  cfd_time_t requested_at;
  char *asked_router;   /* router that was asked and has not answered */
  unsigned ask_choice;  /* argument of spread_tree_choose_source */
  unsigned ask_penalty; /* of the present choice; see MAX_ASK_PENALTY */
  unsigned next_notified_agent; /* position in the round of agents to notify */

  bool draining;
  cfd_time_t drain_until;
  cfd_time_t idle_since; /* when the drain found no work left; 0: it has not */
  router_counters_t counters;
};

/* ---- router.c ---- */
/* Runs the due work at AT or earlier.  */
void router_schedule (cfd_router_t *router, cfd_time_t at);
/* Returns false without a link; the peer is then dialled.  */
bool router_send (cfd_router_t *router, const char *peer, msg_t *message);
/* Returns a request id that is unique in the fleet; free with g_free.  */
char *router_new_request_id (cfd_router_t *router);
void router_record_event (cfd_router_t *router, tl_kind_t kind,
                          const request_t *request, const char *detail);

/* ---- router-agents.c ---- */
void agents_init (cfd_router_t *router);
agent_t *agents_find (cfd_router_t *router, const char *name);
agent_t *agents_find_or_add (cfd_router_t *router, const char *name,
                             const char *zone);
/* Reads the agents from the changed list of instances.  */
void agents_instances_changed (cfd_router_t *router);
/* Recomputes which agents serve each service, if agents_changed is set.  */
void agents_refresh_services (cfd_router_t *router);
/* Returns whether new work may go to AGENT: to this router's knowledge neither
   the agent, its endpoint nor its availability zone is leaving.  */
bool agents_accepts_work (const cfd_router_t *router, const agent_t *agent);
/* Records that AGENT named SERVICE as its own in a message.  */
void agents_set_service (cfd_router_t *router, agent_t *agent,
                         const char *service);
/* Returns whether REQUEST may go to AGENT: not to one that failed it, unless
   there is no alternative.  */
bool agents_is_eligible (const cfd_router_t *router, const agent_t *agent,
                         const request_t *request, cfd_time_t now);
/* Returns whether SERVICE has an endpoint.  */
bool agents_has_endpoint_for (const cfd_router_t *router, const char *service);
void agents_hold_link (cfd_router_t *router, agent_t *agent);
/* Releases unused links; returns when the next one can be released.  */
cfd_time_t agents_release_links (cfd_router_t *router, cfd_time_t now);

/* ---- router-front.c ---- */
void front_handle (void *router, web_request_t *web);

/* ---- router-request.c ---- */
request_t *request_new (cfd_router_t *router, web_request_t *web,
                        const char *account, const char *service);
void request_free (request_t *request);
/* Makes the idempotency claim, if there is a key, and queues the request.  */
void request_start (request_t *request, cfd_time_t now);
void request_handle_event (request_t *request, req_event_t event,
                           cfd_time_t now);
/* Refuses the requests whose time in the queue has run out.  */
void request_expire_queued (cfd_router_t *router, cfd_time_t now);
/* Refuses the request to the caller, if still connected.  */
void request_refuse (request_t *request, refusal_reason_t reason,
                     unsigned status, const char *title, const char *detail,
                     req_run_t run, int retry_after_s);
void request_refuse_queue_full (request_t *request, int retry_after_s);
unsigned request_queue_limit (const request_t *request);
const char *const *request_answer_headers (const request_t *request);
req_facts_t request_get_facts (const request_t *request);
/* Ends the assignment of the request to its agent.  */
void request_detach_agent (request_t *request);

/* ---- router-claim.c ---- */
void claim_acquire (request_t *request, cfd_time_t now);
/* At the end of a request: stores the answer in its claim, releases the claim,
   or leaves it with an unknown outcome.  */
void claim_settle (request_t *request, const req_step_t *step);
/* Starts the removal of expired claims, if claims expire.  */
void claim_start_sweep (cfd_router_t *router, const cfd_settings_t *settings);

/* ---- router-config.c ---- */
/* Handles REVISION, carried by a frame of PEER other than a CONFIG_PART.  */
void conf_observe_revision (cfd_router_t *router, const peer_id_t *peer,
                            uint64_t revision, cfd_time_t now);
/* Applies PART, sent by PEER, which is at REVISION.  */
void conf_handle_part (cfd_router_t *router, const peer_id_t *peer,
                       const msg_config_part_t *part, uint64_t revision,
                       cfd_time_t now);
void conf_handle_ask (cfd_router_t *router, const peer_id_t *peer,
                      const msg_config_ask_t *ask, cfd_time_t now);
/* Notifies peers that the revision in force increased.  */
void conf_announce_revision (cfd_router_t *router);
void conf_peer_up (cfd_router_t *router, const peer_id_t *peer);
/* Rebuilds the distribution tree from the changed list of instances.  */
void conf_instances_changed (cfd_router_t *router);
/* To be called once a second.  */
void conf_run_periodic (cfd_router_t *router, cfd_time_t now);
void conf_free (cfd_router_t *router);

/* ---- router-grant.c ---- */
/* Passes a change of the account's queue on to the fair share, the
   announcements and the baseline policy.  */
void grant_queue_changed (cfd_router_t *router, const char *account,
                          const char *service, cfd_time_t now);
/* Fills LEFT with the state of the account's queue.  */
void grant_describe_queue (cfd_router_t *router, const char *account,
                           const char *service, cfd_time_t now,
                           msg_waiting_t *left);
void grant_handle (cfd_router_t *router, const peer_id_t *peer,
                   const msg_grant_t *grant, cfd_time_t now);
/* Assigns the account's next request to the agent; false when none was
   sent.  */
bool grant_assign (cfd_router_t *router, agent_t *agent, uint64_t grant,
                   uint64_t incarnation, const char *account,
                   const char *service, cfd_time_t now);
/* Replaces the charge of the attempt by its actual cost; below 0 the cost is
   unknown and the charge stays.  */
void grant_correct_charge (request_t *request, double actual_tokens,
                           cfd_time_t now);
/* Raises the charge of a running attempt when the OUTPUT_TOKENS received so
   far exceed it.  */
void grant_charge_streamed (request_t *request, uint32_t output_tokens,
                            cfd_time_t now);
void grant_announce (cfd_router_t *router, cfd_time_t now);

/* ---- router-answer.c ---- */
void answer_handle_head (cfd_router_t *router, const peer_id_t *peer,
                         const msg_head_t *head, cfd_time_t now);
void answer_handle_data (cfd_router_t *router, const peer_id_t *peer,
                         const msg_data_t *data, cfd_time_t now);
void answer_handle_end (cfd_router_t *router, const peer_id_t *peer,
                        const msg_end_t *end, cfd_time_t now);
void answer_handle_not_started (cfd_router_t *router, const peer_id_t *peer,
                                const msg_not_started_t *message,
                                cfd_time_t now);
void answer_ack_done (request_t *request);
void answer_send_cancel (request_t *request);
/* Callback of web_stream_begin: TOTAL bytes were sent to the caller.  */
void answer_on_drained (void *request, uint64_t total);
void answer_agent_up (cfd_router_t *router, const peer_id_t *peer,
                      cfd_time_t now);
void answer_agent_down (cfd_router_t *router, const peer_id_t *peer,
                        cfd_time_t now);
/* Ends the attempts whose agent's link stayed lost for too long; returns when
   the next is due.  */
cfd_time_t answer_expire_lost (cfd_router_t *router, cfd_time_t now);

/* ---- router-homes.c ---- */
void homes_init (cfd_router_t *router);
void homes_instances_changed (cfd_router_t *router, cfd_time_t now);
router_peer_t *homes_find_or_add (cfd_router_t *router, const char *name);
/* Returns the home router of an account in this router's view; may be this
   router.  */
const char *homes_lookup (cfd_router_t *router, const char *account,
                          const char *service);
/* Returns the hash of a home's name.  */
uint64_t homes_hash (const char *home);
/* Returns the hash of the name of an account's home; USER is the router.  */
uint64_t homes_hash_of_account (void *user, const char *account,
                                const char *service);
/* Excludes PEER, which is unreachable, as a home.  */
void homes_exclude (cfd_router_t *router, router_peer_t *peer, cfd_time_t now);
/* Admits PEER, which is reachable again, as a home.  */
void homes_readmit (cfd_router_t *router, router_peer_t *peer, cfd_time_t now);
/* Holds the link to PEER, to be called before a report.  */
void homes_hold_link (cfd_router_t *router, router_peer_t *peer,
                      cfd_time_t now);
/* Records that a report to PEER was sent.  */
void homes_report_sent (cfd_router_t *router, router_peer_t *peer,
                        cfd_time_t now);
/* Records that there was no link to send a report to PEER.  */
void homes_report_failed (cfd_router_t *router, router_peer_t *peer,
                          cfd_time_t now);
void homes_peer_down (cfd_router_t *router, const char *name, cfd_time_t now);
/* Releases links whose hold has expired; returns when the next one does.  */
cfd_time_t homes_release_links (cfd_router_t *router, cfd_time_t now);

/* ---- router-share.c ---- */
/* Schedules a report after REPORT_DELAY_MS, unless one is scheduled.  */
void shares_schedule_report (cfd_router_t *router, cfd_time_t now);
/* Sends the due reports to the homes of accounts and, as a home, the due
   shares.  */
void shares_exchange (cfd_router_t *router, cfd_time_t now);
void shares_handle_report (cfd_router_t *router, const peer_id_t *peer,
                           const msg_report_t *report, cfd_time_t now);
void shares_handle_share (cfd_router_t *router, const char *name,
                          const msg_share_t *share, cfd_time_t now);
void shares_peer_up (cfd_router_t *router, const char *name, cfd_time_t now);

/* ---- router-local.c ---- */
void baseline_queue_changed (cfd_router_t *router, const char *account,
                             const char *service, unsigned count);
void baseline_handle_load (cfd_router_t *router, const peer_id_t *peer,
                           const msg_load_t *load);
/* Assigns waiting requests while agents have free capacity.  */
void baseline_dispatch (cfd_router_t *router, cfd_time_t now);

/* ---- router-admin.c ---- */
bool router_admin_start (cfd_router_t *router, const char *address,
                         GError **error);

#endif
