#include "router/router-step.h"

static req_step_t
make_step (req_state_t next, req_action_t action, req_run_t run)
{
  return (req_step_t){ next, action, run };
}

static req_step_t
claiming_next (req_event_t event, const req_facts_t *facts)
{
  switch (event)
    {
    case REQ_EV_CLAIMED:
      if (facts->caller_gone)
        return make_step (REQ_OVER, REQ_DO_DROP, RUN_NOT_RUN);
      return make_step (REQ_QUEUED, REQ_DO_QUEUE, RUN_NOT_RUN);
    case REQ_EV_CALLER_GONE:
      /* The claim may already be made: wait for it, in order to release
         it.  */
      return make_step (REQ_CLAIMING, REQ_DO_NOTHING, RUN_NOT_RUN);
    case REQ_EV_SHUTDOWN:
    case REQ_EV_DEADLINE:
      return make_step (REQ_OVER, REQ_DO_REFUSE, RUN_NOT_RUN);
    default:
      return make_step (REQ_CLAIMING, REQ_DO_REPORT_BUG, RUN_NOT_RUN);
    }
}

static req_step_t
queued_next (req_event_t event, const req_facts_t *facts)
{
  req_run_t run = facts->may_have_run ? RUN_UNKNOWN : RUN_NOT_RUN;

  switch (event)
    {
    case REQ_EV_ASSIGNED:
      return make_step (REQ_SENT, REQ_DO_NOTHING, RUN_UNKNOWN);
    case REQ_EV_DEADLINE:
    case REQ_EV_SHUTDOWN:
      return make_step (REQ_OVER, REQ_DO_REFUSE, run);
    case REQ_EV_CALLER_GONE:
      return make_step (REQ_OVER, REQ_DO_DROP, run);
    default:
      return make_step (REQ_QUEUED, REQ_DO_REPORT_BUG, run);
    }
}

static req_step_t
not_run_next (const req_facts_t *facts)
{
  req_run_t run = facts->may_have_run ? RUN_UNKNOWN : RUN_NOT_RUN;

  if (facts->caller_gone)
    return make_step (REQ_OVER, REQ_DO_DROP, run);
  return make_step (REQ_QUEUED, REQ_DO_REQUEUE, run);
}

static req_step_t
lost_next (const req_facts_t *facts)
{
  if (facts->caller_gone)
    return make_step (REQ_OVER, REQ_DO_DROP, RUN_UNKNOWN);
  if (facts->idempotent && facts->may_retry)
    return make_step (REQ_QUEUED, REQ_DO_RETRY, RUN_UNKNOWN);
  return make_step (REQ_OVER, REQ_DO_FAIL, RUN_UNKNOWN);
}

/* A caller's disconnect cancels idempotent work only: an invoice that is being
   posted runs to its end, so that its claim gets the actual answer.  */
static req_action_t
caller_gone_action (const req_facts_t *facts)
{
  return facts->idempotent ? REQ_DO_CANCEL : REQ_DO_NOTHING;
}

static req_step_t
sent_next (req_event_t event, const req_facts_t *facts)
{
  switch (event)
    {
    case REQ_EV_DATA:
      return make_step (REQ_ANSWERING,
                        facts->caller_gone ? REQ_DO_NOTHING : REQ_DO_ANSWER,
                        RUN_UNKNOWN);
    case REQ_EV_NOT_RUN:
      return not_run_next (facts);
    case REQ_EV_COMPLETE:
      return make_step (REQ_OVER, REQ_DO_FINISH, RUN_DONE);
    case REQ_EV_LOST:
      return lost_next (facts);
    case REQ_EV_CALLER_GONE:
      return make_step (REQ_SENT, caller_gone_action (facts), RUN_UNKNOWN);
    case REQ_EV_SHUTDOWN:
      return make_step (REQ_OVER, REQ_DO_FAIL, RUN_UNKNOWN);
    default:
      return make_step (REQ_SENT, REQ_DO_REPORT_BUG, RUN_UNKNOWN);
    }
}

static req_step_t
answering_next (req_event_t event, const req_facts_t *facts)
{
  switch (event)
    {
    case REQ_EV_COMPLETE:
      return make_step (REQ_OVER, REQ_DO_FINISH, RUN_DONE);
    case REQ_EV_NOT_RUN: /* contradicted by the data received */
    case REQ_EV_LOST:
    case REQ_EV_SHUTDOWN:
      return make_step (REQ_OVER,
                        facts->caller_gone ? REQ_DO_DROP : REQ_DO_TRUNCATE,
                        RUN_UNKNOWN);
    case REQ_EV_CALLER_GONE:
      return make_step (REQ_ANSWERING, caller_gone_action (facts),
                        RUN_UNKNOWN);
    case REQ_EV_DATA:
      return make_step (REQ_ANSWERING, REQ_DO_NOTHING, RUN_UNKNOWN);
    default:
      return make_step (REQ_ANSWERING, REQ_DO_REPORT_BUG, RUN_UNKNOWN);
    }
}

req_step_t
req_next (req_state_t state, req_event_t event, const req_facts_t *facts)
{
  switch (state)
    {
    case REQ_CLAIMING:
      return claiming_next (event, facts);
    case REQ_QUEUED:
      return queued_next (event, facts);
    case REQ_SENT:
      return sent_next (event, facts);
    case REQ_ANSWERING:
      return answering_next (event, facts);
    default:
      return make_step (REQ_OVER, REQ_DO_NOTHING, RUN_UNKNOWN);
    }
}

cfd_time_t
req_link_wait_ms (req_state_t state, const req_facts_t *facts, bool frozen)
{
  if (facts->idempotent && facts->caller_gone)
    return REQ_AGENT_GONE_WAIT_MS;
  if (state == REQ_SENT && facts->idempotent && facts->may_retry)
    return REQ_RETRY_WAIT_MS;
  return frozen ? REQ_AGENT_SILENT_WAIT_MS : REQ_AGENT_GONE_WAIT_MS;
}

const char *
req_run_text (req_run_t run)
{
  return run == RUN_NOT_RUN ? "not-run" : "unknown";
}

const char *
req_state_name (req_state_t state)
{
  static const char *const names[]
      = { "claiming", "queued", "sent", "answering", "over" };

  return state < REQ_STATE_COUNT ? names[state] : "?";
}
