/* Request state machine of the router, as one function without side effects.

   The run state tells the caller at the end of a request what is known of its
   effect.  "Not run" is reported only if no grant was ever answered with the
   request, or if every agent that received it confirmed that it did not run;
   an agent whose link is lost may be running it at that moment.

   How long the router waits for a lost link depends on what waiting can save.
   A request that another agent can take is retried soon.  An answer that has
   begun, or a call that must not be repeated, can be completed only by its own
   agent: a frozen process still holds it when it continues, and the engine ran
   on meanwhile.  These wait longer, but not indefinitely, since their callers
   need a definite outcome.  */

#ifndef ROUTER_ROUTER_STEP_H
#define ROUTER_ROUTER_STEP_H

#include "base/clock.h"
#include <stdbool.h>

/* From the loss of the link.  If this were shorter than a redial with its
   authentication, requests would be repeated whenever a connection breaks.  */
#define REQ_RETRY_WAIT_MS 1000
/* The agent's process is apparently gone: time for a redial and a few refused
   connections.  */
#define REQ_AGENT_GONE_WAIT_MS 3000
/* The link went silent and the agent is still listed.  Well below the 30 s for
   which agents and engines keep an answer.  */
#define REQ_AGENT_SILENT_WAIT_MS 12000

typedef enum
{
  REQ_CLAIMING,  /* waits for its idempotency claim */
  REQ_QUEUED,    /* waits for a slot */
  REQ_SENT,      /* assigned to an agent; nothing was sent to the caller */
  REQ_ANSWERING, /* part of the answer was sent to the caller */
  REQ_OVER,
  REQ_STATE_COUNT
} req_state_t;

typedef enum
{
  REQ_EV_CLAIMED,  /* the claim was made for this request */
  REQ_EV_ASSIGNED, /* a grant was answered with the request */
  REQ_EV_DATA,     /* the first bytes of the answer arrived */
  REQ_EV_NOT_RUN,  /* the agent confirmed that it did not and will not run */
  REQ_EV_COMPLETE, /* the whole answer arrived */
  REQ_EV_LOST,     /* cut off, unknown to its agent, or the agent is lost */
  REQ_EV_DEADLINE, /* the time in the queue has run out */
  REQ_EV_CALLER_GONE, /* the caller has disconnected */
  REQ_EV_SHUTDOWN,    /* the time limit of the shutdown has passed */
  REQ_EVENT_COUNT
} req_event_t;

typedef enum
{
  REQ_DO_NOTHING,
  REQ_DO_QUEUE,   /* offer it to admission */
  REQ_DO_REQUEUE, /* requeue it at its former place; it did not run */
  REQ_DO_RETRY,   /* as REQ_DO_REQUEUE, charged to the retry budget */
  REQ_DO_ANSWER,  /* begin the answer to the caller */
  REQ_DO_FINISH,  /* end the complete answer */
  REQ_DO_REFUSE,  /* answer that it was not served in time */
  REQ_DO_FAIL,    /* answer that the outcome is unknown */
  /* End the answer so that the caller sees it is incomplete.  */
  REQ_DO_TRUNCATE,
  REQ_DO_CANCEL,    /* cancel it at the agent; wait for its END */
  REQ_DO_DROP,      /* end it without an answer: the caller is gone */
  REQ_DO_REPORT_BUG /* report a violated invariant */
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
  /* An agent received it and did not confirm that it did not run.  */
  bool may_have_run;
  bool caller_gone;
  bool may_retry; /* the attempts and the retry budget allow one more */
} req_facts_t;

typedef struct
{
  req_state_t next;
  req_action_t action;
  req_run_t run;
} req_step_t;

req_step_t req_next (req_state_t state, req_event_t event,
                     const req_facts_t *facts);

/* How long the router waits for the request after the loss of its agent's
   link.  FROZEN: the link went silent, and the platform still lists the
   agent.  */
cfd_time_t req_link_wait_ms (req_state_t state, const req_facts_t *facts,
                             bool frozen);

/* "not-run" or "unknown", as the caller gets it.  */
const char *req_run_text (req_run_t run);
const char *req_state_name (req_state_t state);

#endif
