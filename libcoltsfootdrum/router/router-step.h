/* The life of a request at its router, as one pure function.

   The run word says what is known of the request's effect when the caller is
   told its end.  "Not run" is said only when no grant was ever answered with
   the request, or when each agent that got it gave its word; an agent that is
   cut off may be running it at this moment.

   How long a lost link is waited for depends on what waiting can save.  A
   request that another agent can take is retried soon.  An answer that has
   begun, or a call that must not be repeated, can come from its own agent
   alone: a frozen process wakes with it, and the engine ran on meanwhile.  So
   these wait, but not for ever: their callers need an honest end.  */

#ifndef ROUTER_ROUTER_STEP_H
#define ROUTER_ROUTER_STEP_H

#include "base/clock.h"
#include <stdbool.h>

/* From the loss of the link on.  Shorter than a redial and its proof takes,
   requests would be repeated whenever a connection breaks.  */
#define REQ_RETRY_WAIT_MS 1000
/* The process is gone by all signs: time for a redial and a few refusals.  */
#define REQ_AGENT_GONE_WAIT_MS 3000
/* It went silent and is still listed.  Short against the 30 s for which agents
   and engines keep an answer.  */
#define REQ_AGENT_SILENT_WAIT_MS 12000

typedef enum
{
  REQ_CLAIMING,  /* waits for its idempotency claim */
  REQ_QUEUED,    /* waits for a slot */
  REQ_SENT,      /* with an agent; nothing has left for the caller */
  REQ_ANSWERING, /* part of the answer has left for the caller */
  REQ_OVER,
  REQ_STATE_COUNT
} req_state_t;

typedef enum
{
  REQ_EV_CLAIMED,     /* the claim is ours */
  REQ_EV_ASSIGNED,    /* a grant was answered with it */
  REQ_EV_DATA,        /* the first bytes of the answer came */
  REQ_EV_NOT_RUN,     /* the agent's word that it did not and never will run */
  REQ_EV_COMPLETE,    /* the whole answer came */
  REQ_EV_LOST,        /* broken off, unknown to its agent, or the agent gone */
  REQ_EV_DEADLINE,    /* waited too long */
  REQ_EV_CALLER_GONE, /* nobody waits for the answer */
  REQ_EV_SHUTDOWN,    /* the shutdown's limit has passed */
  REQ_EVENT_COUNT
} req_event_t;

typedef enum
{
  REQ_DO_NOTHING,
  REQ_DO_QUEUE,     /* offer it to admission */
  REQ_DO_REQUEUE,   /* give it its old place; it did not run */
  REQ_DO_RETRY,     /* as REQUEUE, at the cost of the retry budget */
  REQ_DO_ANSWER,    /* begin the caller's answer */
  REQ_DO_FINISH,    /* end the answer, whole */
  REQ_DO_REFUSE,    /* problem: not served in time */
  REQ_DO_FAIL,      /* problem: the fleet broke off */
  REQ_DO_TRUNCATE,  /* end the answer so that the caller sees it is a part */
  REQ_DO_CANCEL,    /* tell the agent to stop; wait for its end */
  REQ_DO_DROP,      /* nobody to tell */
  REQ_DO_REPORT_BUG /* can't happen: an invariant is broken */
} req_action_t;

typedef enum
{
  RUN_NOT_RUN,
  RUN_UNKNOWN,
  RUN_DONE
} req_run_t;

typedef struct
{
  bool idempotent;
  bool may_have_run; /* some agent got it and gave no word */
  bool caller_gone;
  bool may_retry; /* the budget allows one more */
} req_facts_t;

typedef struct
{
  req_state_t next;
  req_action_t action;
  req_run_t run;
} req_step_t;

req_step_t req_next (req_state_t state, req_event_t event,
                     const req_facts_t *facts);

/* How long after the loss of its agent's link the request is still waited
   for.  FROZEN: the link went silent, and the platform lists the agent.  */
cfd_time_t req_link_wait_ms (req_state_t state, const req_facts_t *facts,
                             bool frozen);

/* "not-run" or "unknown", for the caller.  */
const char *req_run_text (req_run_t run);
const char *req_state_name (req_state_t state);

#endif
