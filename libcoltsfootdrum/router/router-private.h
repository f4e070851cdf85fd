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
#include "router/told.h"
#include "router/turns.h"
#include "router/wfq.h"
#include "share/share.h"
#include "wire/peer.h"

/* What one call of a plain service costs, in tokens.  */
#define ROUTER_PLAIN_COST 100.0
/* Retries earn this part of a request each, up to the burst.  */
#define ROUTER_RETRY_PART 0.1
#define ROUTER_RETRY_BURST 10.0

typedef enum
{
  REFUSED_BAD,      /* 400, 404, 405, 413, 431 */
  REFUSED_KEY,      /* 401 */
  REFUSED_QUEUE,    /* 429 */
  REFUSED_CAPACITY, /* 503: nothing to run it on, or no configuration */
  REFUSED_PLATFORM, /* 503: a claim is needed and the platform is down */
  REFUSED_CLAIM,    /* the key's claim is another's */
  REFUSED_DEADLINE, /* 504 */
  REFUSED_STOP,     /* 503: shutting down */
  REFUSED_REASON_COUNT
} refused_t;

typedef struct
{
  uint64_t requests, admitted, replayed;
  uint64_t refused[REFUSED_REASON_COUNT];
  uint64_t completed, failed, broken_off, left;
  uint64_t retried, returned, resumed, gaps;
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
  char *host;    /* of its peer links, without the port */
  char *granted; /* service of its last grant or load; NULL before */
  char *service; /* service it is taken to serve; NULL when not known */
  bool listed;
  bool leaving; /* it, or its endpoint */
  bool up;
  uint64_t incarnation;  /* of the newest link */
  cfd_time_t away_since; /* link lost with requests in flight; 0: not */
  bool silent;           /* the lost link had gone silent */
  list_node_t requests;  /* request_t in flight, by at_agent */
  unsigned in_flight;
  bool held;
  cfd_time_t announced_until;
  GPtrArray *abandoned; /* ids to cancel when its link comes back */

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
  cfd_time_t missing_since; /* first report that could not be sent; 0: none */
  cfd_time_t answered;      /* the last report that was */
  cfd_time_t unanswered_since; /* first report without an answer that must
                                  have one; 0: none */
  bool late;                   /* so is the answer, by now */
  bool avoided;                /* not taken as a home before it is in reach */
  cfd_time_t held_until;
  bool held;
  GHashTable *unsent; /* pair_t to report entry, until its link is up */
  told_t *told;       /* by this router as a home */
} router_peer_t;

typedef struct
{
  cfd_router_t *router;
  list_node_t node;     /* in the router's requests */
  list_node_t at_agent; /* in agent_t.requests while in flight */
  char *trace;          /* what the caller gets as X-Request-Id */
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
  bool ended;         /* the agent told the end of this attempt */
  bool not_started;   /* or gave its word that there was none */
  web_request_t *web; /* NULL when the caller is gone or answered */
  cfd_time_t assigned;
  unsigned attempts;
  avoid_t avoid; /* agents that failed it lately */

  agent_t *agent;
  uint64_t agent_incarnation;
  double charged; /* tokens charged for this attempt */
  double weight;

  /* The answer of this attempt.  */
  bool has_head;
  uint32_t status;
  GPtrArray *answer_headers;
  uint64_t received; /* contiguous bytes from the agent */
  uint64_t written;  /* of those, given to the caller's stream */
  uint64_t drained;  /* of those, left for the caller */
  uint64_t acked;
  bool asked_again; /* for a missing piece, at ASKED_OFFSET */
  uint64_t asked_offset;
  unsigned early_ends;
  GByteArray *kept; /* copy for the claim, up to ONCE_MAX_ANSWER_BYTES */
  bool kept_whole;
} request_t;

struct cfd_router
{
  struct ev_loop *loop;
  char *instance;
  char *zone;
  cfd_policy_t policy;
  cfd_time_t request_ms;
  cfd_time_t drain_ms;
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
  turns_t *turns;
  cost_t *cost;

  GHashTable *agents;   /* name to agent_t */
  GHashTable *served;   /* names of services that have an endpoint */
  GHashTable *routers;  /* name to router_peer_t */
  GHashTable *requests; /* id to request_t, while in flight */
  list_node_t all;      /* every request_t */
  unsigned in_flight;
  bool agents_changed; /* the sets of agents must be worked out anew */
  double retry_budget;
  uint64_t silences;    /* links closed for silence so far */
  cfd_time_t silent_at; /* when that was last seen to grow */

  ev_timer timer; /* next due work */
  cfd_time_t timer_at;
  cfd_time_t report_at;  /* CFD_TIME_NEVER: nothing to report */
  bool homes_moved;      /* since the last report */
  cfd_time_t keeping_at; /* next housekeeping */
  /* Learning from peers and telling them, router-config.c.  */
  spread_tree_t *tree;
  uint64_t asked_revision; /* of a peer that showed it */
  cfd_time_t asked_at;
  char *asked;         /* router asked for word that did not answer yet */
  unsigned ask_choice; /* whom to ask, see spread_tree_choose_source */
  unsigned ask_doubts; /* in it */
  unsigned told;       /* agents told, in turn */

  bool draining;
  cfd_time_t drain_until;
  cfd_time_t quiet_since; /* draining and nothing left; 0: not */
  router_counters_t counters;
};

/* ---- router.c ---- */
/* Makes due work run not later than AT.  */
void router_schedule (cfd_router_t *router, cfd_time_t at);
/* False when there is no link; the peer is dialled.  */
bool router_send (cfd_router_t *router, const char *peer, msg_t *message);
/* A name for one request, the only one in the fleet; free with g_free.  */
char *router_name_request (cfd_router_t *router);
void router_note (cfd_router_t *router, tl_kind_t kind,
                  const request_t *request, const char *detail);

/* ---- router-agents.c ---- */
void agents_init (cfd_router_t *router);
agent_t *agents_find (cfd_router_t *router, const char *name);
agent_t *agents_get (cfd_router_t *router, const char *name, const char *zone);
/* The list of instances or records changed.  */
void agents_listed (cfd_router_t *router);
/* Works out the sets of agents to announce to, if something changed.  */
void agents_sort (cfd_router_t *router);
/* Whether new work may go to the agent: neither zone nor endpoint is leaving
   as far as this router knows.  */
bool agents_may_work (const cfd_router_t *router, const agent_t *agent);
/* The agent told which service it serves.  */
void agents_serves (cfd_router_t *router, agent_t *agent, const char *service);
/* Whether the request may go to AGENT: not to one that failed it lately,
   unless no other is left.  */
bool agents_may_try (const cfd_router_t *router, const agent_t *agent,
                     const request_t *request, cfd_time_t now);
bool agents_any_for (const cfd_router_t *router, const char *service);
void agents_hold (cfd_router_t *router, agent_t *agent);
/* Releases links that nothing needs; returns when the next may be.  */
cfd_time_t agents_release (cfd_router_t *router, cfd_time_t now);

/* ---- router-front.c ---- */
void front_handle (void *router, web_request_t *web);

/* ---- router-request.c ---- */
request_t *request_new (cfd_router_t *router, web_request_t *web,
                        const char *account, const char *service);
void request_free (request_t *request);
/* Claims, then queues; or queues at once.  */
void request_begin (request_t *request, cfd_time_t now);
void request_event (request_t *request, req_event_t event, cfd_time_t now);
/* Each request whose time in the queue is over.  */
void request_expire (cfd_router_t *router, cfd_time_t now);
/* Tells the caller, if still there, that the request is not served.  */
void request_refuse (request_t *request, refused_t reason, unsigned status,
                     const char *title, const char *detail, req_run_t run,
                     int retry_after_s);
void request_refuse_full (request_t *request, int retry_after_s);
unsigned request_queue_max (const request_t *request);
const char *const *request_answer_headers (const request_t *request);
req_facts_t request_facts (const request_t *request);
/* Takes the request away from its agent.  */
void request_detach (request_t *request);

/* ---- router-claim.c ---- */
void claim_begin (request_t *request, cfd_time_t now);
/* The request is over: keeps its answer, gives the claim back or leaves it. */
void claim_settle (request_t *request, const req_step_t *step);
/* Begins to remove claims whose time is over, if they have one.  */
void claim_sweep (cfd_router_t *router, const cfd_settings_t *settings);

/* ---- router-config.c ---- */
/* A frame of PEER, other than a CONFIG_PART, showed REVISION.  */
void conf_hear (cfd_router_t *router, const peer_id_t *peer, uint64_t revision,
                cfd_time_t now);
/* PEER, which is at REVISION, sent PART.  */
void conf_take (cfd_router_t *router, const peer_id_t *peer,
                const msg_config_part_t *part, uint64_t revision,
                cfd_time_t now);
void conf_give (cfd_router_t *router, const peer_id_t *peer,
                const msg_config_ask_t *ask, cfd_time_t now);
/* The revision in force rose: tells peers.  */
void conf_advanced (cfd_router_t *router);
void conf_peer_up (cfd_router_t *router, const peer_id_t *peer);
/* The list of instances changed.  */
void conf_listed (cfd_router_t *router);
/* Once a second.  */
void conf_keep (cfd_router_t *router, cfd_time_t now);
void conf_free (cfd_router_t *router);

/* ---- router-grant.c ---- */
/* The account's queue changed: tells share, announcements, baseline.  */
void grant_queue_changed (cfd_router_t *router, const char *account,
                          const char *service, cfd_time_t now);
void grant_left (cfd_router_t *router, const char *account,
                 const char *service, cfd_time_t now, msg_waiting_t *left);
void grant_take (cfd_router_t *router, const peer_id_t *peer,
                 const msg_grant_t *grant, cfd_time_t now);
/* Sends the account's next request to the agent; false when none went.  */
bool grant_assign (cfd_router_t *router, agent_t *agent, uint64_t grant,
                   uint64_t incarnation, const char *account,
                   const char *service, cfd_time_t now);
/* Replaces what the attempt was charged by its true cost, unless below 0.  */
void grant_correct (request_t *request, double actual, cfd_time_t now);
/* OUTPUT tokens have come; an attempt that takes more than it was charged is
   charged on while it runs.  */
void grant_streams (request_t *request, uint32_t output, cfd_time_t now);
void grant_announce (cfd_router_t *router, cfd_time_t now);

/* ---- router-answer.c ---- */
void answer_head (cfd_router_t *router, const peer_id_t *peer,
                  const msg_head_t *head, cfd_time_t now);
void answer_data (cfd_router_t *router, const peer_id_t *peer,
                  const msg_data_t *data, cfd_time_t now);
void answer_end (cfd_router_t *router, const peer_id_t *peer,
                 const msg_end_t *end, cfd_time_t now);
void answer_not_started (cfd_router_t *router, const peer_id_t *peer,
                         const msg_not_started_t *word, cfd_time_t now);
void answer_done (request_t *request);
void answer_cancel (request_t *request);
/* Bytes have left for the caller; for web_stream_begin.  */
void answer_drained (void *request, uint64_t total);
void answer_agent_up (cfd_router_t *router, const peer_id_t *peer,
                      cfd_time_t now);
void answer_agent_down (cfd_router_t *router, const peer_id_t *peer,
                        cfd_time_t now);
/* Gives up requests whose agents stayed away; returns when the next may be. */
cfd_time_t answer_give_up (cfd_router_t *router, cfd_time_t now);

/* ---- router-homes.c ---- */
void homes_init (cfd_router_t *router);
void homes_listed (cfd_router_t *router, cfd_time_t now);
router_peer_t *homes_get (cfd_router_t *router, const char *name);
/* The home of an account as this router sees it, itself included.  */
const char *homes_of (cfd_router_t *router, const char *account,
                      const char *service);
/* A number for a home, by its name; and for that of an account, where USER is
   the router.  */
uint64_t homes_number (const char *home);
uint64_t homes_number_of (void *user, const char *account,
                          const char *service);
/* PEER is out of reach, or is back.  */
void homes_avoid (cfd_router_t *router, router_peer_t *peer, cfd_time_t now);
void homes_trust (cfd_router_t *router, router_peer_t *peer, cfd_time_t now);
/* A report is to go to PEER; it went; it could not go.  */
void homes_hold (cfd_router_t *router, router_peer_t *peer, cfd_time_t now);
void homes_sent (cfd_router_t *router, router_peer_t *peer, cfd_time_t now);
void homes_missed (cfd_router_t *router, router_peer_t *peer, cfd_time_t now);
void homes_peer_down (cfd_router_t *router, const char *name, cfd_time_t now);
/* Lets go of links that are held no longer; returns when the next one is.  */
cfd_time_t homes_release (cfd_router_t *router, cfd_time_t now);

/* ---- router-share.c ---- */
/* Something to report came up.  */
void shares_changed (cfd_router_t *router, cfd_time_t now);
void shares_run (cfd_router_t *router, cfd_time_t now);
void shares_report (cfd_router_t *router, const peer_id_t *peer,
                    const msg_report_t *report, cfd_time_t now);
void shares_take (cfd_router_t *router, const char *name,
                  const msg_share_t *share, cfd_time_t now);
void shares_peer_up (cfd_router_t *router, const char *name, cfd_time_t now);

/* ---- router-local.c ---- */
void baseline_queue_changed (cfd_router_t *router, const char *account,
                             const char *service, unsigned count);
void baseline_load (cfd_router_t *router, const peer_id_t *peer,
                    const msg_load_t *load);
void baseline_pump (cfd_router_t *router, cfd_time_t now);

/* ---- router-admin.c ---- */
bool router_admin_start (cfd_router_t *router, const char *address,
                         GError **error);

#endif
