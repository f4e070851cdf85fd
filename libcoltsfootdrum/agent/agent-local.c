/* The baseline policy `local`: routers push requests, and the agent starts
   them first in first out as slots become free.  Kept for comparison in
   measurements.  */

#include "agent/agent-private.h"
#include "base/log.h"

void
local_dequeue (run_t *run)
{
  if (!list_is_linked (&run->node))
    return;
  list_remove (&run->node);
  run->agent->queued--;
}

/* Returns a waiting request to its router.  */
static void
refuse_queued (cfd_agent_t *agent, run_t *run, const char *refusal,
               cfd_time_t now)
{
  local_dequeue (run);
  agent_send_not_started (agent, run->router, run->request, refusal, now);
  g_hash_table_remove (agent->runs, run->request);
}

void
local_enqueue (cfd_agent_t *agent, const peer_id_t *peer,
               const msg_assign_t *assign, cfd_time_t now)
{
  grant_reason_t reason = agent_update_grant_reason (agent, now);
  run_t *run;

  if (ids_get_state (agent->ids, assign->request) == IDS_STARTED
      || g_hash_table_contains (agent->runs, assign->request))
    {
      log_warn ("agent", "Ignoring a repeated push: request=%s.",
                assign->request);
      return;
    }
  if (agent->policy != CFD_POLICY_LOCAL || reason != GRANT_ALLOWED
      || assign->incarnation != agent->incarnation
      || g_strcmp0 (assign->service, agent->service) != 0)
    {
      agent_send_not_started (agent, peer->instance, assign->request,
                              grant_reason_name (reason), now);
      return;
    }
  run = run_new (agent, peer, assign);
  g_hash_table_insert (agent->runs, run->request, run);
  list_append (&agent->queue, &run->node);
  agent->queued++;
  local_fill_slots (agent, now);
}

void
local_fill_slots (cfd_agent_t *agent, cfd_time_t now)
{
  while (!list_is_empty (&agent->queue))
    {
      run_t *run = list_entry (agent->queue.next, run_t, node);
      grant_reason_t reason = agent_update_grant_reason (agent, now);

      if (reason != GRANT_ALLOWED && reason != GRANT_EJECTED)
        {
          refuse_queued (agent, run, grant_reason_name (reason), now);
          continue;
        }
      if (lim_count_free_slots (&agent->lim, agent->busy_slots, now) == 0)
        return;
      local_dequeue (run);
      ids_set_state (agent->ids, run->request, IDS_STARTED, now);
      run_start (run, now);
    }
}

static void
send_load (void *user, const char *router)
{
  cfd_agent_t *agent = user;
  msg_t message = { .kind = MSG_LOAD };

  message.u.load = (msg_load_t){ .service = agent->service,
                                 .busy = agent->busy_slots,
                                 .slots = agent->lim.slots,
                                 .queued = agent->queued };
  (void)agent_send (agent, router, &message);
}

void
local_send_load (cfd_agent_t *agent)
{
  if (agent->service != NULL)
    links_for_each_up (agent->links, send_load, agent);
}
