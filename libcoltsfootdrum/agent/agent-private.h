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
  uint64_t woken, over_limit;
  uint64_t busy_ms, slot_ms; /* slots in use and allowed, over time */
  uint64_t needed_busy_ms, needed_slot_ms; /* the same while work waits */
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
  bool leaving;
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
  unsigned running;   /* requests that hold a slot */
  bool walking;       /* RUNS is walked: no pump, it may change the table */
  unsigned stale_row; /* stale declines since the last start */
  unsigned repicks;   /* stale declines since the last tick */

  cfd_time_t noticed;    /* when the loop last ran */
  cfd_time_t woken_at;   /* 0: never stopped */
  cfd_time_t cut_off_at; /* when the last cut-off began */
  bool unconfirmed;
  bool asked_since_woken;
  uint64_t peer_revision; /* newest that a peer showed */
  char *ahead;            /* the router that showed it */
  cfd_time_t asked_at;
  cfd_time_t looked_at; /* whether to ask a peer for configuration */
  unsigned looks;
  GPtrArray *held;       /* routers held while the platform is out of reach */
  uint64_t silences[2];  /* links closed for silence, at the last two ticks */
  grant_reason_t reason; /* last told in the log */

  bool settling; /* what a former life gave the engine may still run */
  cfd_time_t settle_at;
  cfd_time_t settle_until;
  fetch_t *settle_fetch;

  bool draining;
  cfd_time_t drain_until;
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
  bool cancelling;
  bool gave_up;        /* cancelled because it broke off */
  bool attached_again; /* by another connection than the first */
  bool resumed;        /* the rest was asked for, and nothing of it came yet */
  bool resume_bad;     /* the engine doesn't know the stream */
  bool turned_away;    /* the endpoint can't serve; nothing was told yet */
  bool paused;         /* not reading, the router is slow */
  bool untimed;        /* token times are ours, not the endpoint's */
  bool discarding;     /* nobody will read the rest */
  bool withheld;       /* it must not be sent any more, and was not */
  bool attached;       /* the router's link is there */
  cfd_time_t detached;
  cfd_time_t started;
  cfd_time_t last_byte;
  cfd_time_t ended;
  cfd_time_t last_ack;
} run_t;

/* ---- agent.c ---- */
/* Reads the clock and sees whether the process was stopped meanwhile.  */
cfd_time_t agent_now (cfd_agent_t *agent);

/* ---- agent-config.c ---- */
extern const store_events_t agent_store_events;
/* What agent_may_grant says now.  */
grant_reason_t agent_reason (cfd_agent_t *agent, cfd_time_t now);
/* Whether the newest records known here take the endpoint or its zone out of
   service; read from them anew, for the check at each start.  */
bool config_is_withdrawn (const cfd_agent_t *agent);
/* Asks peers while they have newer configuration, or after a stop.  */
/* A frame of ROUTER showed REVISION.  */
void config_hear (cfd_agent_t *agent, const char *router, uint64_t revision,
                  cfd_time_t now);
void config_catch_up (cfd_agent_t *agent, cfd_time_t now);
void config_take_part (cfd_agent_t *agent, const char *router,
                       const msg_config_part_t *part, cfd_time_t now);
void config_answer (cfd_agent_t *agent, const char *router,
                    const msg_config_ask_t *ask, cfd_time_t now);

/* ---- agent-peers.c ---- */
extern const peer_events_t agent_peer_events;
bool agent_send (cfd_agent_t *agent, const char *router, msg_t *message);
/* Heartbeats on all links while the platform is out of reach.  */
void peers_tick (cfd_agent_t *agent, cfd_time_t now);

/* ---- agent-work.c ---- */
/* Grants the free slots, or starts what was pushed.  */
void agent_pump (cfd_agent_t *agent, cfd_time_t now);
void agent_assign (cfd_agent_t *agent, const peer_id_t *peer,
                   const msg_assign_t *assign);
void agent_decline (cfd_agent_t *agent, const peer_id_t *peer,
                    const msg_decline_t *decline, cfd_time_t now);
void agent_not_started (cfd_agent_t *agent, const char *router,
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
void run_attach_again (run_t *run);
/* The answer broke off: asks the engine once for the rest, else ends it.  */
void run_broken (run_t *run, const char *detail, cfd_time_t now);

/* ---- agent-reader.c ---- */
void run_ack (run_t *run, const msg_ack_t *ack, cfd_time_t now);
void run_resume (run_t *run, const peer_id_t *peer, const msg_resume_t *resume,
                 cfd_time_t now);
void run_cancel (run_t *run, cfd_time_t now);
/* Ends RUN when the engine has taken the order, or soon after.  */
void run_cancel_at_engine (run_t *run);
void run_detach (run_t *run, cfd_time_t now);
/* The router that sent it is gone for good.  */
void run_orphan (run_t *run, cfd_time_t now);
/* The process was stopped for GAP ms.  */
void run_woken (run_t *run, cfd_time_t gap, cfd_time_t now);
/* True when the request can be forgotten.  */
bool run_tick (run_t *run, cfd_time_t now);

/* ---- agent-answer.c ---- */
/* Sends what the link takes of head, body and end.  */
void answer_flush (run_t *run, cfd_time_t now);
/* The end of a request that this agent doesn't know.  */
void answer_unknown (cfd_agent_t *agent, const char *router,
                     const char *request, const char *detail);

/* ---- agent-local.c ---- */
void local_push (cfd_agent_t *agent, const peer_id_t *peer,
                 const msg_assign_t *assign, cfd_time_t now);
void local_pump (cfd_agent_t *agent, cfd_time_t now);
void local_drop (run_t *run);
void local_tell_load (cfd_agent_t *agent);

/* ---- agent-admin.c ---- */
bool agent_admin_start (cfd_agent_t *agent, const char *address,
                        GError **error);

/* ---- agent-settle.c ---- */
void settle_begin (cfd_agent_t *agent, cfd_time_t now);
void settle_tick (cfd_agent_t *agent, cfd_time_t now);

#endif
