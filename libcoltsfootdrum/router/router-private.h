/* Inside of the router; for the files of this folder alone.

   router.c          start, end, messages in, due work
   router-agents.c   which agents there are and what is known of them
   router-front.c    callers' HTTP, refusals
   router-request.c  one request from admission to its end
   router-claim.c    its idempotency claim
   router-config.c   configuration from and to peers
   router-grant.c    announcements out, grants in, assignments out
   router-answer.c   answers from agents, acknowledgement, resuming
   router-homes.c    fair share: which router is an account's home
   router-share.c    fair share: reports and answers between routers
   router-local.c    the baseline policy
   router-admin.c    metrics and status
   router-step.c     the life of a request as a pure function
   wfq.c             the baseline's order, pure
   avoid.c           agents that failed a request, pure
   told.c            what a home's routers know already, pure
   turns.c           whose turn it was: no account starves, pure
   cost.c            expected cost of a request, pure  */

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
#include "router/router-step.h"
#include "router/peer-view.h"
#include "router/fairness.h"
#include "router/wfq.h"
#include "share/share.h"
#include "wire/peer.h"

/* What one call of a plain service costs, in tokens.  */
#define ROUTER_PLAIN_COST_TOKENS 100.0
/* Retries earn this part of a request each, up to the burst.  */
#define ROUTER_RETRY_RATIO 0.1
#define ROUTER_RETRY_BURST 10.0

typedef enum
{
  REFUSED_BAD_REQUEST,    /* 400, 404, 405, 413, 431 */
  REFUSED_UNKNOWN_KEY,    /* 401 */
  REFUSED_QUEUE_FULL,     /* 429 */
  REFUSED_NO_CAPACITY,    /* 503: nothing to run it on, or no configuration */
  REFUSED_PLATFORM_DOWN,  /* 503: a claim is needed and the platform is down */
  REFUSED_CLAIM_CONFLICT, /* the key's claim is another's */
  REFUSED_DEADLINE_EXCEEDED, /* 504 */
  REFUSED_SHUTDOWN,          /* 503: shutting down */
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

/* An agent, as the list of instances and its own words tell.  */
typedef struct
{
  char *name;
  char *zone;
  char *host;            /* of its peer links, without the port */
  char *granted_service; /* service of its last grant or load; NULL before */
  char *service; /* service it is taken to serve; NULL when not known */
  bool listed;
  bool leaving; /* it, or its endpoint */
  bool up;
  uint64_t incarnation;    /* of the newest link */
  cfd_time_t link_lost_at; /* link lost with requests in flight; 0: not */
  bool link_was_silent;    /* the lost link had gone silent */
  list_node_t requests;    /* request_t in flight, by at_agent */
  unsigned in_flight;
  bool link_held;
  cfd_time_t announced_until;
  GPtrArray *pending_cancels; /* ids to cancel when its link comes back */

  /* Baseline policy.  */
  bool has_load;
  unsigned busy, slots, queued;
  unsigned pushed; /* by us since the last load */
} agent_t;

/* Another router, as a home of accounts.  */
typedef struct
{
  char *name;
  bool listed;
  bool up;
  cfd_time_t
      unreachable_since;     /* first report that could not be sent; 0: none */
  cfd_time_t last_answer_at; /* the last report that was */
  cfd_time_t unanswered_since; /* first report without an answer that must
                                  have one; 0: none */
  bool answer_late;            /* so is the answer, by now */
  bool excluded;               /* not taken as a home before it is in reach */
  cfd_time_t hold_until;
  bool link_held;
  GHashTable *unsent; /* pair_t to report entry, until its link is up */
  peer_view_t *view;  /* by this router as a home */
} router_peer_t;

typedef struct
{
  cfd_router_t *router;
  list_node_t node;     /* in the router's requests */
  list_node_t at_agent; /* in agent_t.requests while in flight */
  char *trace_id;       /* what the caller gets as X-Request-Id */
  char *id;             /* of this attempt, "TRACE-N"; NULL before the first */
  adm_item_t item;      /* owns its account and service names */
  char *method;
  char *path;
  GPtrArray *headers; /* of "Name: value" */
  GBytes *body;
  double hint; /* of the cost, by the caller's word */
  bool is_model;
  bool idempotent;
  char *key; /* Idempotency-Key of a call that must not repeat, or NULL */
  bool claim_pending;
  bool claimed;

  req_state_t state;
  bool may_have_run;
  bool attempt_ended; /* the agent told the end of this attempt */
  bool not_started;   /* or gave its word that there was none */
  web_request_t *web; /* NULL when the caller is gone or answered */
  cfd_time_t assigned_at;
  unsigned attempts;
  avoid_t avoid; /* agents that failed it lately */

  agent_t *agent;
  uint64_t agent_incarnation;
  double charged_tokens; /* tokens charged for this attempt */
  double weight;

  /* The answer of this attempt.  */
  bool has_head;
  uint32_t status;
  GPtrArray *answer_headers;
  uint64_t received_bytes; /* contiguous bytes from the agent */
  uint64_t written_bytes;  /* of those, given to the caller's stream */
  uint64_t drained_bytes;  /* of those, left for the caller */
  uint64_t acked_bytes;
  bool resume_requested; /* for a missing piece, at ASKED_OFFSET */
  uint64_t resume_requested_offset;
  unsigned premature_ends;
  GByteArray *answer_copy; /* copy for the claim, up to ONCE_ANSWER_MAX */
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
  sweep_t *sweep; /* NULL: claims are kept for ever */
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
  GHashTable *served_services; /* names of services that have an endpoint */
  GHashTable *routers;         /* name to router_peer_t */
  GHashTable *requests;        /* id to request_t, while in flight */
  list_node_t all_requests;    /* every request_t */
  unsigned in_flight;
  bool agents_changed; /* the sets of agents must be worked out anew */
  double retry_budget;
  uint64_t seen_silences;     /* links closed for silence so far */
  cfd_time_t last_silence_at; /* when that was last seen to grow */

  ev_timer timer; /* next due work */
  cfd_time_t timer_at;
  cfd_time_t report_at;       /* CFD_TIME_NEVER: nothing to report */
  bool homes_changed;         /* since the last report */
  cfd_time_t housekeeping_at; /* next housekeeping */
  /* Learning from peers and telling them, router-config.c.  */
  spread_tree_t *tree;
  uint64_t requested_revision; /* of a peer that showed it */
  cfd_time_t requested_at;
  char *asked_router;       /* router asked for word that did not answer yet */
  unsigned ask_choice;      /* whom to ask, see spread_tree_ask */
  unsigned ask_penalty;     /* in it */
  unsigned next_told_agent; /* agents told, in turn */

  bool draining;
  cfd_time_t drain_until;
  cfd_time_t idle_since; /* draining and nothing left; 0: not */
  router_counters_t counters;
};

/* ---- router.c ---- */
/* Makes due work run not later than AT.  */
void router_schedule (cfd_router_t *router, cfd_time_t at);
/* False when there is no link; the peer is dialled.  */
bool router_send (cfd_router_t *router, const char *peer, msg_t *message);
/* A name for one request, the only one in the fleet; free with g_free.  */
char *router_new_request_id (cfd_router_t *router);
void router_record_event (cfd_router_t *router, tl_kind_t kind,
                          const request_t *request, const char *detail);

/* ---- router-agents.c ---- */
void agents_init (cfd_router_t *router);
agent_t *agents_find (cfd_router_t *router, const char *name);
agent_t *agents_find_or_add (cfd_router_t *router, const char *name,
                             const char *zone);
/* The list of instances or records changed.  */
void agents_instances_changed (cfd_router_t *router);
/* Works out the sets of agents to announce to, if something changed.  */
void agents_refresh_sets (cfd_router_t *router);
/* Whether new work may go to the agent: neither zone nor endpoint is leaving
   as far as this router knows.  */
bool agents_accepts_work (const cfd_router_t *router, const agent_t *agent);
/* The agent told which service it serves.  */
void agents_set_service (cfd_router_t *router, agent_t *agent,
                         const char *service);
/* Whether the request may go to AGENT: not to one that failed it lately,
   unless no other is left.  */
bool agents_is_eligible (const cfd_router_t *router, const agent_t *agent,
                         const request_t *request, cfd_time_t now);
bool agents_has_endpoint_for (const cfd_router_t *router, const char *service);
void agents_hold_link (cfd_router_t *router, agent_t *agent);
/* Releases links that nothing needs; returns when the next may be.  */
cfd_time_t agents_release_links (cfd_router_t *router, cfd_time_t now);

/* ---- router-front.c ---- */
void front_handle (void *router, web_request_t *web);

/* ---- router-request.c ---- */
request_t *request_new (cfd_router_t *router, web_request_t *web,
                        const char *account, const char *service);
void request_free (request_t *request);
/* Claims, then queues; or queues at once.  */
void request_start (request_t *request, cfd_time_t now);
void request_handle_event (request_t *request, req_event_t event,
                           cfd_time_t now);
/* Each request whose time in the queue is over.  */
void request_expire_queued (cfd_router_t *router, cfd_time_t now);
/* Tells the caller, if still there, that the request is not served.  */
void request_refuse (request_t *request, refusal_reason_t reason,
                     unsigned status, const char *title, const char *detail,
                     req_run_t run, int retry_after_s);
void request_refuse_queue_full (request_t *request, int retry_after_s);
unsigned request_queue_limit (const request_t *request);
const char *const *request_answer_headers (const request_t *request);
req_facts_t request_get_facts (const request_t *request);
/* Takes the request away from its agent.  */
void request_detach_agent (request_t *request);

/* ---- router-claim.c ---- */
void claim_acquire (request_t *request, cfd_time_t now);
/* The request is over: keeps its answer, gives the claim back or leaves it. */
void claim_settle (request_t *request, const req_step_t *step);
/* Begins to remove claims whose time is over, if they have one.  */
void claim_start_sweep (cfd_router_t *router, const cfd_settings_t *settings);

/* ---- router-config.c ---- */
/* A frame of PEER, other than a CONFIG_PART, showed REVISION.  */
void conf_observe_revision (cfd_router_t *router, const peer_id_t *peer,
                            uint64_t revision, cfd_time_t now);
/* PEER, which is at REVISION, sent PART.  */
void conf_handle_part (cfd_router_t *router, const peer_id_t *peer,
                       const msg_config_part_t *part, uint64_t revision,
                       cfd_time_t now);
void conf_handle_ask (cfd_router_t *router, const peer_id_t *peer,
                      const msg_config_ask_t *ask, cfd_time_t now);
/* The revision in force rose: tells peers.  */
void conf_announce_revision (cfd_router_t *router);
void conf_peer_up (cfd_router_t *router, const peer_id_t *peer);
/* The list of instances changed.  */
void conf_instances_changed (cfd_router_t *router);
/* Once a second.  */
void conf_run_periodic (cfd_router_t *router, cfd_time_t now);
void conf_free (cfd_router_t *router);

/* ---- router-grant.c ---- */
/* The account's queue changed: tells share, announcements, baseline.  */
void grant_queue_changed (cfd_router_t *router, const char *account,
                          const char *service, cfd_time_t now);
void grant_describe_queue (cfd_router_t *router, const char *account,
                           const char *service, cfd_time_t now,
                           msg_waiting_t *left);
void grant_handle (cfd_router_t *router, const peer_id_t *peer,
                   const msg_grant_t *grant, cfd_time_t now);
/* Sends the account's next request to the agent; false when none went.  */
bool grant_assign (cfd_router_t *router, agent_t *agent, uint64_t grant,
                   uint64_t incarnation, const char *account,
                   const char *service, cfd_time_t now);
/* Replaces what the attempt was charged by its true cost, unless below 0.  */
void grant_correct_charge (request_t *request, double actual, cfd_time_t now);
/* OUTPUT tokens have come; an attempt that takes more than it was charged is
   charged on while it runs.  */
void grant_charge_streamed (request_t *request, uint32_t output,
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
                                const msg_not_started_t *word, cfd_time_t now);
void answer_ack_done (request_t *request);
void answer_send_cancel (request_t *request);
/* Bytes have left for the caller; for web_stream_begin.  */
void answer_on_drained (void *request, uint64_t total);
void answer_agent_up (cfd_router_t *router, const peer_id_t *peer,
                      cfd_time_t now);
void answer_agent_down (cfd_router_t *router, const peer_id_t *peer,
                        cfd_time_t now);
/* Gives up requests whose agents stayed away; returns when the next may be. */
cfd_time_t answer_expire_lost (cfd_router_t *router, cfd_time_t now);

/* ---- router-homes.c ---- */
void homes_init (cfd_router_t *router);
void homes_instances_changed (cfd_router_t *router, cfd_time_t now);
router_peer_t *homes_find_or_add (cfd_router_t *router, const char *name);
/* The home of an account as this router sees it, itself included.  */
const char *homes_lookup (cfd_router_t *router, const char *account,
                          const char *service);
/* A number for a home, by its name; and for that of an account, where USER is
   the router.  */
uint64_t homes_hash (const char *home);
uint64_t homes_hash_of_account (void *user, const char *account,
                                const char *service);
/* PEER is out of reach, or is back.  */
void homes_exclude (cfd_router_t *router, router_peer_t *peer, cfd_time_t now);
void homes_readmit (cfd_router_t *router, router_peer_t *peer, cfd_time_t now);
/* A report is to go to PEER; it went; it could not go.  */
void homes_hold_link (cfd_router_t *router, router_peer_t *peer,
                      cfd_time_t now);
void homes_report_sent (cfd_router_t *router, router_peer_t *peer,
                        cfd_time_t now);
void homes_report_failed (cfd_router_t *router, router_peer_t *peer,
                          cfd_time_t now);
void homes_peer_down (cfd_router_t *router, const char *name, cfd_time_t now);
/* Lets go of links that are held no longer; returns when the next one is.  */
cfd_time_t homes_release_links (cfd_router_t *router, cfd_time_t now);

/* ---- router-share.c ---- */
/* Something to report came up.  */
void shares_schedule_report (cfd_router_t *router, cfd_time_t now);
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
void baseline_dispatch (cfd_router_t *router, cfd_time_t now);

/* ---- router-admin.c ---- */
bool router_admin_start (cfd_router_t *router, const char *address,
                         GError **error);

#endif
