/* Grants sent to routers, and the assignments received for them.  */

#include "agent/agent-private.h"
#include "base/log.h"
#include <math.h>
#include <string.h>

/* Declines after which the agent waits for the next tick: an account whose
   virtual time moves faster than grants travel must not keep the agent
   busy.  */
#define MAX_DECLINES_PER_TICK 16u

static bool
send_grant (cfd_agent_t *agent, uint64_t grant, const pick_choice_t *choice)
{
  msg_t message = { .kind = MSG_GRANT };

  message.u.grant = (msg_grant_t){ .grant = grant,
                                   .incarnation = agent->incarnation,
                                   .service = agent->service,
                                   .account = choice->account,
                                   .limit_vt = choice->limit_vt,
                                   .floor = choice->floor };
  return agent_send (agent, choice->router, &message);
}

/* Grants one slot; false when nothing more can be granted now.  */
static bool
grant_one_slot (cfd_agent_t *agent, cfd_time_t now)
{
  pick_choice_t choice;
  uint64_t grant = pick_make_grant (agent->pick, now, &choice);
  g_autofree char *router = NULL;

  if (grant == 0)
    return false;
  if (agent->consecutive_stale_declines >= AGENT_MAX_STALE_DECLINES)
    choice.limit_vt = INFINITY;
  if (send_grant (agent, grant, &choice))
    {
      agent->counters.granted++;
      tl_add (agent->ring, TL_GRANT, choice.account, agent->zone,
              agent->endpoint, NULL, choice.router);
      return true;
    }
  router = g_strdup (choice.router);
  (void)pick_complete_grant (agent->pick, grant, now);
  pick_remove_router (agent->pick, router);
  return true;
}

void
agent_fill_slots (cfd_agent_t *agent, cfd_time_t now)
{
  unsigned outstanding_grants;
  unsigned slots;

  if (agent->is_iterating_runs)
    return;
  if (agent->policy == CFD_POLICY_LOCAL)
    {
      local_fill_slots (agent, now);
      return;
    }
  if (agent_update_grant_reason (agent, now) != GRANT_ALLOWED)
    return;
  outstanding_grants = pick_expire_grants (agent->pick, now);
  slots = lim_count_free_slots (&agent->lim,
                                agent->busy_slots + outstanding_grants, now);
  while (slots-- > 0)
    if (!grant_one_slot (agent, now))
      return;
}

void
agent_send_not_started (cfd_agent_t *agent, const char *router,
                        const char *request, const char *reason,
                        cfd_time_t now)
{
  msg_t message = { .kind = MSG_NOT_STARTED };

  /* The refusal is recorded before it is sent: once sent, it has to hold.  */
  ids_set_state (agent->ids, request, IDS_REFUSED, now);
  agent->counters.refused++;
  message.u.not_started
      = (msg_not_started_t){ .request = request, .reason = reason };
  tl_add (agent->ring, TL_NOT_STARTED, NULL, agent->zone, agent->endpoint,
          request, reason);
  (void)agent_send (agent, router, &message);
}

/* The reason why the request of ASSIGN must not be started, or NULL.  NOW was
   read after the frame was received, so that a process which was suspended in
   between finds its grants expired.  */
static const char *
get_refusal (cfd_agent_t *agent, const msg_assign_t *assign,
             bool is_grant_valid, cfd_time_t now)
{
  grant_reason_t reason = agent_update_grant_reason (agent, now);

  if (!is_grant_valid)
    return "the grant is dead";
  if (assign->incarnation != agent->incarnation)
    return "the grant is of another incarnation";
  if (reason != GRANT_ALLOWED)
    return grant_reason_name (reason);
  if (g_strcmp0 (assign->service, agent->service) != 0)
    return "the endpoint is of another service";
  /* The limit may have been lowered since the grant.  */
  if (lim_count_free_slots (&agent->lim, agent->busy_slots, now) == 0)
    return "no slot is free any more";
  return NULL;
}

static void
start_run (cfd_agent_t *agent, const peer_id_t *peer,
           const msg_assign_t *assign, cfd_time_t now)
{
  run_t *run = run_new (agent, peer, assign);

  ids_set_state (agent->ids, run->request, IDS_STARTED, now);
  g_hash_table_insert (agent->runs, run->request, run);
  run_start (run, now);
  INVARIANT ("running-within-slots",
             agent->lim.state == LIM_EJECTED
                 ? agent->busy_slots == 1
                 : agent->busy_slots <= agent->lim.slots,
             run->request);
}

void
agent_handle_assign (cfd_agent_t *agent, const peer_id_t *peer,
                     const msg_assign_t *assign)
{
  cfd_time_t now = agent_read_clock (agent);
  const char *refusal;
  bool is_grant_valid;

  if (assign->grant == 0)
    {
      local_enqueue (agent, peer, assign, now);
      return;
    }
  is_grant_valid = pick_complete_grant (agent->pick, assign->grant, now);
  if (g_strcmp0 (assign->service, agent->service) == 0)
    pick_update_waiting (agent->pick, peer->instance, &assign->left, now);
  if (ids_get_state (agent->ids, assign->request) == IDS_STARTED)
    {
      /* NOT_STARTED must not be sent: the request did start.  */
      log_warn ("agent", "Ignoring a repeated assignment: request=%s.",
                assign->request);
      if (!g_hash_table_contains (agent->runs, assign->request))
        answer_send_unknown (agent, peer->instance, assign->request,
                             "it was started before");
      return;
    }
  refusal = get_refusal (agent, assign, is_grant_valid, now);
  agent->counters.assigned++;
  if (refusal != NULL)
    {
      log_debug ("agent", "Request not started: request=%s why=%s.",
                 assign->request, refusal);
      agent_send_not_started (agent, peer->instance, assign->request, refusal,
                              now);
    }
  else
    {
      agent->declines_since_tick = 0;
      agent->consecutive_stale_declines = 0;
      start_run (agent, peer, assign, now);
    }
  agent_fill_slots (agent, now);
}

void
agent_handle_decline (cfd_agent_t *agent, const peer_id_t *peer,
                      const msg_decline_t *decline, cfd_time_t now)
{
  (void)pick_complete_grant (agent->pick, decline->grant, now);
  if (g_strcmp0 (decline->service, agent->service) == 0)
    pick_update_waiting (agent->pick, peer->instance, &decline->left, now);
  switch (decline->reason)
    {
    case DECLINE_STALE:
      agent->counters.declined_stale++;
      agent->consecutive_stale_declines++;
      break;
    case DECLINE_NO_WORK:
      agent->counters.declined_other++;
      break;
    case DECLINE_ZONE:
    case DECLINE_DRAINING:
      agent->counters.declined_other++;
      pick_remove_router (agent->pick, peer->instance);
      break;
    }
  if (agent->declines_since_tick++ < MAX_DECLINES_PER_TICK)
    agent_fill_slots (agent, now);
}
