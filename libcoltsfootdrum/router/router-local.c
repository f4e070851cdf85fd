#include "router/router-private.h"

#include <string.h>

/* The baseline: this router's own fair queue, and requests pushed to the
   agent with the least load it knows.  Requests pushed beyond an agent's
   slots, so that none idles until the next word of its load.  */
#define PUSH_AHEAD 2u

static bool
has_room (const cfd_router_t *router, const agent_t *agent,
          const char *service)
{
  return agent->up && agent->has_load && agents_may_work (router, agent)
         && g_strcmp0 (agent->granted, service) == 0
         && agent->busy + agent->queued + agent->pushed
                < agent->slots + PUSH_AHEAD;
}

static double
load_of (const agent_t *agent)
{
  return (double)(agent->busy + agent->queued + agent->pushed)
         / MAX (agent->slots, 1);
}

static agent_t *
least_loaded (cfd_router_t *router, const char *service)
{
  agent_t *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      agent_t *agent = value;

      if (!has_room (router, agent, service))
        continue;
      if (best == NULL || load_of (agent) < load_of (best))
        best = agent;
    }
  return best;
}

static void
push_service (cfd_router_t *router, const char *service, cfd_time_t now)
{
  const char *account;

  while ((account = wfq_next (router->wfq, service)) != NULL)
    {
      agent_t *agent = least_loaded (router, service);
      g_autofree char *name = g_strdup (account);

      if (agent == NULL
          || !grant_assign (router, agent, 0, agent->incarnation, name,
                            service, now))
        return;
      agent->pushed++;
    }
}

static void
push_record (void *user, const rec_t *record)
{
  push_service (user, record->name, clock_now ());
}

void
baseline_pump (cfd_router_t *router, cfd_time_t now)
{
  if (router->policy == CFD_POLICY_LOCAL
      && adm_count_waiting (router->adm) > 0)
    store_foreach (router->store, REC_SERVICE, push_record, router);
}

/* Agents tell their load over links, which are kept up from the first work
   of a service on.  */
static void
hold_agents (cfd_router_t *router, const char *service, cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      agent_t *agent = value;

      if (!agent->listed
          || (agent->service != NULL && strcmp (agent->service, service) != 0))
        continue;
      agent->announced_until = now + DISP_LIFETIME_MS;
      agents_hold (router, agent);
    }
}

void
baseline_queue_changed (cfd_router_t *router, const char *account,
                        const char *service, unsigned count)
{
  cfd_time_t now = clock_now ();

  if (count == 0)
    {
      wfq_idle (router->wfq, account, service);
      return;
    }
  wfq_backlogged (router->wfq, account, service);
  hold_agents (router, service, now);
  router_schedule (router, now);
}

void
baseline_load (cfd_router_t *router, const peer_id_t *peer,
               const msg_load_t *load)
{
  agent_t *agent = agents_get (router, peer->instance, peer->zone);

  agents_serves (router, agent, load->service);
  agent->has_load = true;
  agent->busy = load->busy;
  agent->slots = load->slots;
  agent->queued = load->queued;
  agent->pushed = 0;
  baseline_pump (router, clock_now ());
}
