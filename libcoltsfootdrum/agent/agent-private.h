/* Inside of the agent; for the files of this folder alone.

   agent.c         start, end, the tick
   agent-config.c  configuration, and whether the agent may take work
   agent-grant.c   the rules for that, pure
   agent-settle.c  what a former life left running at the engine
   agent-peers.c   messages from routers, and their links
   agent-links.c   which routers and zones are heard, pure
   agent-work.c    grants out, assignments in
   agent-run.c     one request at the endpoint
   agent-answer.c  its answer to the router
   agent-stream.c  the bytes of that answer, pure
   agent-sse.c     tokens and their times in it, pure
   agent-ids.c     which requests must never be started again, pure
   agent-reader.c  the router's wishes for it, and the watch on it
   agent-local.c   the baseline policy: pushed requests, first in first out
   agent-admin.c   the admin port  */

#ifndef AGENT_AGENT_PRIVATE_H
#define AGENT_AGENT_PRIVATE_H

#include "agent/agent-grant.h"
#include "agent/agent-ids.h"
#include "agent/agent-links.h"
#include "agent/agent-sse.h"
#include "agent/agent-stream.h"
#include "admin/admin.h"
#include "base/list.h"
#include "config/store.h"
#include "dispatch/pick.h"
#include "http/fetch.h"
#include "libcoltsfootdrum.h"
#include "limits/lim.h"
#include "platform/plat.h"
#include "wire/peer.h"

#define AGENT_TICK_MS 100

typedef struct
{
  uint64_t granted, assigned, declined_stale, declined_other;
  uint64_t refused; /* assignments not started */
  uint64_t started, completed, broken, unreached, cancelled;
  uint64_t resumed_links, resumed_engine, engine_resume_failed;
  uint64_t prompt_tokens, output_tokens;
  uint64_t suspensions, over_limit;
  uint64_t busy_slot_ms, slot_ms; /* slots in use and allowed, over time */
  uint64_t loaded_busy_slot_ms, loaded_slot_ms; /* the same while work waits */
} agent_counters_t;

struct cfd_agent
{
  struct ev_loop *loop;
  char *instance;
  char *zone;
  char *endpoint;
  cfd_policy_t policy;
  int drain_s;
  uint64_t incarnation;

  tl_ring_t *ring;
  peer_hub_t *hub;
  fetch_pool_t *pool;
  plat_t *plat;
  store_t *store;
  admin_t *admin;
  ev_timer tick;
  ev_check check;

  /* The endpoint's record, and whether its service is of a model.  */
  bool has_endpoint;
  bool has_service;
  bool is_model;
  bool is_leaving;
  char *service;
  char *url;
  char *record_zone;
  unsigned slots_max;
  unsigned slots_cold;

  pick_t *pick;
  lim_t lim;
  links_t *links;
  ids_t *ids;
  GHashTable *runs;  /* request -> run_t, until acknowledged */
  list_node_t queue; /* run_t of the baseline policy that wait */
  unsigned queued;
  unsigned busy_slots; /* requests that hold a slot */
  bool
      is_iterating_runs; /* RUNS is walked: no pump, it may change the table */
  unsigned
      consecutive_stale_declines; /* stale declines since the last start */
  unsigned declines_since_tick;   /* stale declines since the last tick */

  cfd_time_t last_clock_read;     /* when the loop last ran */
  cfd_time_t suspension_ended_at; /* 0: never stopped */
  cfd_time_t cut_off_at;          /* when the last cut-off began */
  bool is_config_unconfirmed;
  bool asked_since_suspension;
  uint64_t newest_peer_revision; /* newest that a peer showed */
  char *newest_peer;             /* the router that showed it */
  cfd_time_t config_asked_at;
  cfd_time_t update_checked_at; /* whether to ask a peer for configuration */
  unsigned next_peer;
  GPtrArray
      *held_routers;    /* routers held while the platform is out of reach */
  uint64_t timeouts[2]; /* links closed for silence, at the last two ticks */
  grant_reason_t grant_reason; /* last told in the log */

  bool is_settling; /* what a former life gave the engine may still run */
  cfd_time_t settle_poll_at;
  cfd_time_t settle_deadline;
  fetch_t *settle_fetch;

  bool is_draining;
  cfd_time_t drain_deadline;
  agent_counters_t counters;
};

/* One request: waiting (baseline only), at the endpoint, or ended and kept
   until the router has acknowledged the end.  */
typedef struct
{
  cfd_agent_t *agent;
  list_node_t node; /* in the agent's queue */
  char *request;
  char *account;
  char *router;
  uint64_t router_incarnation;
  char *method;
  char *path;
  GPtrArray *headers;
  GByteArray *body;
  bool idempotent;

  stream_t stream;
  sse_t sse;
  fetch_t *fetch;
  bool holds_slot;
  bool is_model;
  bool is_cancelling;
  bool is_abandoned;      /* cancelled because it broke off */
  bool is_reconnected;    /* by another connection than the first */
  bool is_resume_pending; /* the rest was asked for, and nothing of it came yet
                           */
  bool is_resume_refused; /* the engine doesn't know the stream */
  bool is_turned_away;    /* the endpoint can't serve; nothing was told yet */
  bool is_paused;         /* not reading, the router is slow */
  bool is_untimed;        /* token times are ours, not the endpoint's */
  bool is_discarding;     /* nobody will read the rest */
  bool was_withheld;      /* it must not be sent any more, and was not */
  bool is_attached;       /* the router's link is there */
  cfd_time_t detached_at;
  cfd_time_t started_at;
  cfd_time_t last_byte_at;
  cfd_time_t ended_at;
  cfd_time_t last_ack_at;
} run_t;

/* ---- agent.c ---- */
/* Reads the clock and sees whether the process was stopped meanwhile.  */
cfd_time_t agent_read_clock (cfd_agent_t *agent);

/* ---- agent-config.c ---- */
extern const store_events_t agent_store_events;
/* What agent_evaluate_grant says now.  */
grant_reason_t agent_update_grant_reason (cfd_agent_t *agent, cfd_time_t now);
/* Whether the newest records known here take the endpoint or its zone out of
   service; read from them anew, for the check at each start.  */
bool config_is_out_of_service (const cfd_agent_t *agent);
/* Asks peers while they have newer configuration, or after a stop.  */
/* A frame of ROUTER showed REVISION.  */
void config_observe_revision (cfd_agent_t *agent, const char *router,
                              uint64_t revision, cfd_time_t now);
void config_catch_up (cfd_agent_t *agent, cfd_time_t now);
void config_apply_part (cfd_agent_t *agent, const char *router,
                        const msg_config_part_t *part, cfd_time_t now);
void config_send_part (cfd_agent_t *agent, const char *router,
                       const msg_config_ask_t *ask, cfd_time_t now);

/* ---- agent-peers.c ---- */
extern const peer_events_t agent_peer_events;
bool agent_send (cfd_agent_t *agent, const char *router, msg_t *message);
/* Heartbeats on all links while the platform is out of reach.  */
void peers_tick (cfd_agent_t *agent, cfd_time_t now);

/* ---- agent-work.c ---- */
/* Grants the free slots, or starts what was pushed.  */
void agent_fill_slots (cfd_agent_t *agent, cfd_time_t now);
void agent_handle_assign (cfd_agent_t *agent, const peer_id_t *peer,
                          const msg_assign_t *assign);
void agent_handle_decline (cfd_agent_t *agent, const peer_id_t *peer,
                           const msg_decline_t *decline, cfd_time_t now);
void agent_send_not_started (cfd_agent_t *agent, const char *router,
                             const char *request, const char *reason,
                             cfd_time_t now);

/* ---- agent-run.c ---- */
run_t *run_new (cfd_agent_t *agent, const peer_id_t *peer,
                const msg_assign_t *assign);
void run_free (gpointer run);
void run_start (run_t *run, cfd_time_t now);
/* Ends it once; frees the slot and tells the limit.  */
void run_finish (run_t *run, outcome_t outcome, const char *detail,
                 cfd_time_t now);
/* Reads the answer on, or at all, by a new connection.  */
void run_reconnect (run_t *run);
/* The answer broke off: asks the engine once for the rest, else ends it.  */
void run_handle_break (run_t *run, const char *detail, cfd_time_t now);

/* ---- agent-reader.c ---- */
void run_acknowledge (run_t *run, const msg_ack_t *ack, cfd_time_t now);
void run_resume (run_t *run, const peer_id_t *peer, const msg_resume_t *resume,
                 cfd_time_t now);
void run_cancel (run_t *run, cfd_time_t now);
/* Ends RUN when the engine has taken the order, or soon after.  */
void run_cancel_at_engine (run_t *run);
void run_detach (run_t *run, cfd_time_t now);
/* The router that sent it is gone for good.  */
void run_mark_orphaned (run_t *run, cfd_time_t now);
/* The process was stopped for GAP ms.  */
void run_handle_suspension (run_t *run, cfd_time_t gap, cfd_time_t now);
/* True when the request can be forgotten.  */
bool run_tick (run_t *run, cfd_time_t now);

/* ---- agent-answer.c ---- */
/* Sends what the link takes of head, body and end.  */
void answer_flush (run_t *run, cfd_time_t now);
/* The end of a request that this agent doesn't know.  */
void answer_send_unknown (cfd_agent_t *agent, const char *router,
                          const char *request, const char *detail);

/* ---- agent-local.c ---- */
void local_enqueue (cfd_agent_t *agent, const peer_id_t *peer,
                    const msg_assign_t *assign, cfd_time_t now);
void local_fill_slots (cfd_agent_t *agent, cfd_time_t now);
void local_dequeue (run_t *run);
void local_send_load (cfd_agent_t *agent);

/* ---- agent-admin.c ---- */
bool agent_admin_start (cfd_agent_t *agent, const char *address,
                        GError **error);

/* ---- agent-settle.c ---- */
void settle_begin (cfd_agent_t *agent, cfd_time_t now);
void settle_tick (cfd_agent_t *agent, cfd_time_t now);

#endif
