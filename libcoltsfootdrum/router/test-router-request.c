/* Request state machine: each (state, event) with the relevant facts, the
   router's action, and whether it may report "not run".  */

#include "router/router-step.h"
#include <glib.h>

/* Bits of the facts.  */
#define IDEMPOTENT 1u
#define MAY_HAVE_RUN 2u
#define CALLER_GONE 4u
#define MAY_RETRY 8u

typedef struct
{
  req_state_t state;
  req_event_t event;
  unsigned facts;
  req_state_t next;
  req_action_t action;
  req_run_t run;
} case_t;

static const case_t cases[] = {
  { REQ_CLAIMING, REQ_EV_CLAIMED, 0, REQ_QUEUED, REQ_DO_QUEUE, RUN_NOT_RUN },
  /* The claim is made after the caller disconnected: it is released, nothing
     ran.  */
  { REQ_CLAIMING, REQ_EV_CALLER_GONE, 0, REQ_CLAIMING, REQ_DO_NOTHING,
    RUN_NOT_RUN },
  { REQ_CLAIMING, REQ_EV_CLAIMED, CALLER_GONE, REQ_OVER, REQ_DO_DROP,
    RUN_NOT_RUN },
  { REQ_CLAIMING, REQ_EV_SHUTDOWN, 0, REQ_OVER, REQ_DO_REFUSE, RUN_NOT_RUN },
  { REQ_QUEUED, REQ_EV_ASSIGNED, 0, REQ_SENT, REQ_DO_NOTHING, RUN_UNKNOWN },
  { REQ_QUEUED, REQ_EV_DEADLINE, 0, REQ_OVER, REQ_DO_REFUSE, RUN_NOT_RUN },
  /* Requeued after an agent was lost: that agent may have run it.  */
  { REQ_QUEUED, REQ_EV_DEADLINE, IDEMPOTENT | MAY_HAVE_RUN, REQ_OVER,
    REQ_DO_REFUSE, RUN_UNKNOWN },
  { REQ_QUEUED, REQ_EV_SHUTDOWN, IDEMPOTENT | MAY_HAVE_RUN, REQ_OVER,
    REQ_DO_REFUSE, RUN_UNKNOWN },
  { REQ_QUEUED, REQ_EV_SHUTDOWN, 0, REQ_OVER, REQ_DO_REFUSE, RUN_NOT_RUN },
  { REQ_QUEUED, REQ_EV_CALLER_GONE, 0, REQ_OVER, REQ_DO_DROP, RUN_NOT_RUN },
  { REQ_SENT, REQ_EV_DATA, 0, REQ_ANSWERING, REQ_DO_ANSWER, RUN_UNKNOWN },
  { REQ_SENT, REQ_EV_DATA, CALLER_GONE, REQ_ANSWERING, REQ_DO_NOTHING,
    RUN_UNKNOWN },
  { REQ_SENT, REQ_EV_COMPLETE, 0, REQ_OVER, REQ_DO_FINISH, RUN_DONE },
  /* After the agent's confirmation even a non-idempotent request is requeued,
     without regard to the budget.  */
  { REQ_SENT, REQ_EV_NOT_RUN, 0, REQ_QUEUED, REQ_DO_REQUEUE, RUN_NOT_RUN },
  { REQ_SENT, REQ_EV_NOT_RUN, IDEMPOTENT | MAY_HAVE_RUN, REQ_QUEUED,
    REQ_DO_REQUEUE, RUN_UNKNOWN },
  { REQ_SENT, REQ_EV_NOT_RUN, CALLER_GONE, REQ_OVER, REQ_DO_DROP,
    RUN_NOT_RUN },
  /* Without it: a non-idempotent request never, an idempotent one within the
     budget.  */
  { REQ_SENT, REQ_EV_LOST, MAY_RETRY, REQ_OVER, REQ_DO_FAIL, RUN_UNKNOWN },
  { REQ_SENT, REQ_EV_LOST, IDEMPOTENT | MAY_RETRY, REQ_QUEUED, REQ_DO_RETRY,
    RUN_UNKNOWN },
  { REQ_SENT, REQ_EV_LOST, IDEMPOTENT, REQ_OVER, REQ_DO_FAIL, RUN_UNKNOWN },
  { REQ_SENT, REQ_EV_LOST, IDEMPOTENT | MAY_RETRY | CALLER_GONE, REQ_OVER,
    REQ_DO_DROP, RUN_UNKNOWN },
  { REQ_SENT, REQ_EV_SHUTDOWN, IDEMPOTENT, REQ_OVER, REQ_DO_FAIL,
    RUN_UNKNOWN },
  /* A caller's disconnect cancels what may be repeated, not a post.  */
  { REQ_SENT, REQ_EV_CALLER_GONE, IDEMPOTENT, REQ_SENT, REQ_DO_CANCEL,
    RUN_UNKNOWN },
  { REQ_SENT, REQ_EV_CALLER_GONE, 0, REQ_SENT, REQ_DO_NOTHING, RUN_UNKNOWN },
  { REQ_ANSWERING, REQ_EV_DATA, 0, REQ_ANSWERING, REQ_DO_NOTHING,
    RUN_UNKNOWN },
  { REQ_ANSWERING, REQ_EV_COMPLETE, 0, REQ_OVER, REQ_DO_FINISH, RUN_DONE },
  /* Part of the answer was sent: a second answer must never follow it.  */
  { REQ_ANSWERING, REQ_EV_LOST, IDEMPOTENT | MAY_RETRY, REQ_OVER,
    REQ_DO_TRUNCATE, RUN_UNKNOWN },
  { REQ_ANSWERING, REQ_EV_NOT_RUN, 0, REQ_OVER, REQ_DO_TRUNCATE, RUN_UNKNOWN },
  { REQ_ANSWERING, REQ_EV_LOST, IDEMPOTENT | CALLER_GONE, REQ_OVER,
    REQ_DO_DROP, RUN_UNKNOWN },
  { REQ_ANSWERING, REQ_EV_CALLER_GONE, IDEMPOTENT, REQ_ANSWERING,
    REQ_DO_CANCEL, RUN_UNKNOWN },
  { REQ_ANSWERING, REQ_EV_SHUTDOWN, 0, REQ_OVER, REQ_DO_TRUNCATE,
    RUN_UNKNOWN },
  /* Late events of a request that has ended have no effect.  */
  { REQ_OVER, REQ_EV_COMPLETE, 0, REQ_OVER, REQ_DO_NOTHING, RUN_UNKNOWN },
  { REQ_OVER, REQ_EV_LOST, IDEMPOTENT | MAY_RETRY, REQ_OVER, REQ_DO_NOTHING,
    RUN_UNKNOWN },
};

static req_facts_t
facts_of (unsigned bits)
{
  return (req_facts_t){ .idempotent = bits & IDEMPOTENT,
                        .may_have_run = bits & MAY_HAVE_RUN,
                        .caller_gone = bits & CALLER_GONE,
                        .may_retry = bits & MAY_RETRY };
}

static void
test_cases (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const case_t *c = &cases[i];
      req_facts_t facts = facts_of (c->facts);
      req_step_t step = req_next (c->state, c->event, &facts);

      g_test_message ("case %u", i);
      g_assert_cmpint (step.next, ==, c->next);
      g_assert_cmpint (step.action, ==, c->action);
      g_assert_cmpint (step.run, ==, c->run);
    }
}

/* Invariants over every state, event and set of facts.  */
static void
test_invariants (void)
{
  for (req_state_t state = 0; state < REQ_STATE_COUNT; state++)
    for (req_event_t event = 0; event < REQ_EVENT_COUNT; event++)
      for (unsigned bits = 0; bits < 16; bits++)
        {
          req_facts_t facts = facts_of (bits);
          req_step_t step = req_next (state, event, &facts);
          bool again = step.action == REQ_DO_RETRY;

          if (again)
            g_assert_true (facts.idempotent && facts.may_retry);
          if (state == REQ_ANSWERING)
            g_assert_true (step.next == REQ_ANSWERING
                           || step.next == REQ_OVER);
          if (state != REQ_OVER && facts.may_have_run && state != REQ_CLAIMING)
            g_assert_cmpint (step.run, !=, RUN_NOT_RUN);
          if (state == REQ_SENT && event != REQ_EV_NOT_RUN)
            g_assert_cmpint (step.run, !=, RUN_NOT_RUN);
        }
}

#define FROZEN true
#define DEAD false

/* How long the router waits for a request whose agent's link is lost.  */
static const struct
{
  req_state_t state;
  unsigned facts;
  bool frozen;
  cfd_time_t wait;
} link_waits[] = {
  /* Another agent can take it.  */
  { REQ_SENT, IDEMPOTENT | MAY_RETRY, FROZEN, REQ_RETRY_WAIT_MS },
  { REQ_SENT, IDEMPOTENT | MAY_RETRY, DEAD, REQ_RETRY_WAIT_MS },
  /* Only its own agent can answer: without budget, a post, an answer that has
     begun.  */
  { REQ_SENT, IDEMPOTENT, FROZEN, REQ_AGENT_SILENT_WAIT_MS },
  { REQ_SENT, MAY_RETRY, FROZEN, REQ_AGENT_SILENT_WAIT_MS },
  { REQ_ANSWERING, IDEMPOTENT | MAY_RETRY, FROZEN, REQ_AGENT_SILENT_WAIT_MS },
  /* A post's claim needs the actual answer, although its caller
     disconnected.  */
  { REQ_SENT, MAY_RETRY | CALLER_GONE, FROZEN, REQ_AGENT_SILENT_WAIT_MS },
  /* The agent is gone: the caller gets an error soon.  */
  { REQ_SENT, IDEMPOTENT, DEAD, REQ_AGENT_GONE_WAIT_MS },
  { REQ_SENT, MAY_RETRY, DEAD, REQ_AGENT_GONE_WAIT_MS },
  { REQ_ANSWERING, IDEMPOTENT | MAY_RETRY, DEAD, REQ_AGENT_GONE_WAIT_MS },
  /* No caller waits.  */
  { REQ_ANSWERING, IDEMPOTENT | MAY_RETRY | CALLER_GONE, FROZEN,
    REQ_AGENT_GONE_WAIT_MS },
};

static void
test_link_wait (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (link_waits); i++)
    {
      req_facts_t facts = facts_of (link_waits[i].facts);

      g_test_message ("wait %u", i);
      g_assert_cmpint (
          req_link_wait_ms (link_waits[i].state, &facts, link_waits[i].frozen),
          ==, link_waits[i].wait);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/router-request/cases", test_cases);
  g_test_add_func ("/router-request/invariants", test_invariants);
  g_test_add_func ("/router-request/link-wait", test_link_wait);
  return g_test_run ();
}
