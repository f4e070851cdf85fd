/* Agent: internal declarations, for the files of this folder only.

   agent.c          construction, periodic tick, shutdown
   agent-config.c   configuration, and whether the agent may grant slots
   agent-grant.c    the rules for that, pure
   agent-settle.c   waits for requests of a previous agent process
   agent-peers.c    messages from routers, and their links
   agent-links.c    which routers and zones are connected, pure
   agent-work.c     grants sent, assignments received
   agent-run.c      one request at the endpoint
   agent-answer.c   sends its answer to the router
   agent-stream.c   buffer of that answer, pure
   agent-sse.c      tokens and token times of a model's answer, pure
   agent-ids.c      which requests must not be started again, pure
   agent-control.c  acknowledge, resume, cancel; timeouts of a request
   agent-local.c    the baseline policy: pushed requests, first in first out
   agent-admin.c    the admin port  */

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
  uint64_t busy_slot_ms, slot_ms; /* slots in use and allowed, by time */
  /* The same, counted only while requests wait.  */
  uint64_t loaded_busy_slot_ms, loaded_slot_ms;
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

  /* From the endpoint's record and its service's record.  */
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
  GHashTable *runs;  /* request id -> run_t, until acknowledged */
  list_node_t queue; /* waiting run_t of the baseline policy */
  unsigned queued;
  unsigned busy_slots;                 /* slots held by requests */
  bool is_iterating_runs;              /* RUNS must not be changed */
  unsigned consecutive_stale_declines; /* since the last start */
  unsigned declines_since_tick;        /* of any reason */

  cfd_time_t last_clock_read;
  cfd_time_t suspension_ended_at; /* 0: never suspended */
  cfd_time_t cut_off_at;          /* start of the last cut-off */
  bool is_config_unconfirmed;
  bool asked_since_suspension;
  uint64_t newest_peer_revision; /* highest revision that a peer stated */
  char *newest_peer;             /* the router that stated it */
  cfd_time_t config_asked_at;
  cfd_time_t update_checked_at; /* last check whether to ask a peer */
  unsigned next_peer;           /* round-robin index */
  GPtrArray *held_routers;      /* while the platform is unreachable */
  uint64_t timeouts[2];         /* links timed out until the last two ticks */
  grant_reason_t grant_reason;  /* last logged */

  bool is_settling; /* waits for requests of a previous process */
  cfd_time_t settle_poll_at;
  cfd_time_t settle_deadline;
  fetch_t *settle_fetch;

  bool is_draining;
  cfd_time_t drain_deadline;
  agent_counters_t counters;
};

/* One request: waiting (baseline only), running at the endpoint, or ended and
   kept until the router has acknowledged the end.  */
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
  bool is_abandoned;      /* cancelled because its answer broke off */
  bool is_reconnected;    /* reads the answer by a second connection */
  bool is_resume_pending; /* the rest was requested, none arrived yet */
  bool is_resume_refused; /* the engine doesn't know the stream */
  bool is_turned_away;    /* the endpoint can't serve; not reported yet */
  bool is_paused;         /* not reading, the router is slow */
  bool is_untimed;        /* token times don't show the endpoint's speed */
  bool is_discarding;     /* nobody will read the rest */
  bool was_withheld;      /* not sent, and must not be sent any more */
  bool is_attached;       /* the router's link is up */
  cfd_time_t detached_at;
  cfd_time_t started_at;
  cfd_time_t last_byte_at;
  cfd_time_t ended_at;
  cfd_time_t last_ack_at;
} run_t;

/* ---- agent.c ---- */
/* Reads the clock and detects whether the process was suspended since the last
   call.  */
cfd_time_t agent_read_clock (cfd_agent_t *agent);

/* ---- agent-config.c ---- */
extern const store_events_t agent_store_events;
/* Returns the present result of agent_evaluate_grant and logs a change.  */
grant_reason_t agent_update_grant_reason (cfd_agent_t *agent, cfd_time_t now);
/* Whether the newest records known here take the endpoint or its zone out of
   service.  Looks the records up again, for the check at each start.  */
bool config_is_out_of_service (const cfd_agent_t *agent);
/* Records that a frame of ROUTER stated REVISION.  */
void config_observe_revision (cfd_agent_t *agent, const char *router,
                              uint64_t revision, cfd_time_t now);
/* Asks peers for configuration while a peer has a newer one, or after a
   suspension.  */
void config_catch_up (cfd_agent_t *agent, cfd_time_t now);
/* Applies PART of the configuration, received from ROUTER.  */
void config_apply_part (cfd_agent_t *agent, const char *router,
                        const msg_config_part_t *part, cfd_time_t now);
/* Sends the configuration that ROUTER asked for.  */
void config_send_part (cfd_agent_t *agent, const char *router,
                       const msg_config_ask_t *ask, cfd_time_t now);

/* ---- agent-peers.c ---- */
extern const peer_events_t agent_peer_events;
/* Returns false when MESSAGE was not sent.  */
bool agent_send (cfd_agent_t *agent, const char *router, msg_t *message);
/* Holds all links while the platform is unreachable, so that they exchange
   heartbeats.  Removes routers whose link timed out long ago.  */
void peers_tick (cfd_agent_t *agent, cfd_time_t now);

/* ---- agent-work.c ---- */
/* Grants the free slots, or starts requests of the baseline policy.  */
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
/* Ends the request, at most once; frees its slot and updates the limit.  */
void run_finish (run_t *run, outcome_t outcome, const char *detail,
                 cfd_time_t now);
/* Opens a second connection to the engine for the rest of the answer, or for
   all of it.  */
void run_reconnect (run_t *run);
/* Handles an answer that broke off: requests the rest from the engine once,
   else ends the request.  */
void run_handle_break (run_t *run, const char *detail, cfd_time_t now);

/* ---- agent-control.c ---- */
void run_acknowledge (run_t *run, const msg_ack_t *ack, cfd_time_t now);
void run_resume (run_t *run, const peer_id_t *peer, const msg_resume_t *resume,
                 cfd_time_t now);
void run_cancel (run_t *run, cfd_time_t now);
/* Ends RUN when the engine has accepted the cancellation, or after a
   timeout.  */
void run_cancel_at_engine (run_t *run);
void run_detach (run_t *run, cfd_time_t now);
/* Marks RUN as left by its router, which restarted or is gone for good.  */
void run_mark_orphaned (run_t *run, cfd_time_t now);
/* Adjusts the times of RUN after a suspension of GAP_MS.  */
void run_handle_suspension (run_t *run, cfd_time_t gap_ms, cfd_time_t now);
/* Returns true when the request can be removed.  */
bool run_tick (run_t *run, cfd_time_t now);

/* ---- agent-answer.c ---- */
/* Sends as much of head, body and end as the link accepts.  */
void answer_flush (run_t *run, cfd_time_t now);
/* Reports that the outcome of REQUEST is unknown: this agent doesn't know the
   request, or no longer has its answer.  */
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
