/* Exchange of configuration changes with peers.

   In a fleet of up to SPREAD_SMALL_FLEET_INSTANCES every node watches the
   platform, and a frame of a peer with a newer revision makes the router ask
   that peer.  In a larger fleet the distribution tree of spread-tree.h
   determines in addition whom to notify and whom to ask.  Both are a
   CONFIG_ASK: its frame carries the sender's revision, so that whichever side
   is behind learns of it.  */

#include "router/router-private.h"

#include "config/witness.h"

/* A peer with a newer revision is asked at most once in this time.  */
#define ASK_INTERVAL_MS 200
/* When the penalty of the asked router exceeds this, another router is asked.
   A frozen or dead router leaves an ask without an answer.  One that is behind
   answers without a newer revision, which may also be because it is about to
   ask itself; so that counts less.  */
#define MAX_ASK_PENALTY 3u
#define PENALTY_NO_ANSWER 2u
#define PENALTY_STALE 1u
/* Each agent is notified at least once in this time: a link without use is
   closed after PEER_IDLE_TIMEOUT_MS, and an agent without a link gets no
   notifications.  */
#define NOTIFY_ROUND_S 20u

static bool
send_ask (cfd_router_t *router, const char *peer)
{
  msg_t message = { .kind = MSG_CONFIG_ASK };

  store_make_ask (router->store, &message.u.config_ask);
  return router_send (router, peer, &message);
}

/* ---- requests to peers ---- */

static void
clear_asked_router (cfd_router_t *router)
{
  g_clear_pointer (&router->asked_router, g_free);
}

static void
ask_chosen_router (cfd_router_t *router)
{
  const char *name
      = spread_tree_choose_source (router->tree, router->ask_choice);

  clear_asked_router (router);
  if (name == NULL)
    return;
  router->asked_router = g_strdup (name);
  (void)send_ask (router, name);
}

/* Asks the router of the current choice, or the next one when its penalty is
   too high.  A choice that answered is kept, so that a dead router above costs
   its penalty once.  */
static void
ask_for_revision (cfd_router_t *router)
{
  router->ask_penalty
      += router->asked_router != NULL ? PENALTY_NO_ANSWER : PENALTY_STALE;
  if (router->ask_penalty > MAX_ASK_PENALTY)
    {
      router->ask_choice++;
      router->ask_penalty = 0;
    }
  ask_chosen_router (router);
}

void
conf_observe_revision (cfd_router_t *router, const peer_id_t *peer,
                       uint64_t revision, cfd_time_t now)
{
  store_record_peer_revision (router->store, revision, now);
  if (revision <= store_get_revision (router->store)
      || (revision <= router->requested_revision
          && now - router->requested_at < ASK_INTERVAL_MS))
    return;
  router->requested_revision = revision;
  router->requested_at = now;
  /* An agent does not store accounts, so it cannot answer.  */
  if (peer->role == ROLE_ROUTER)
    (void)send_ask (router, peer->instance);
  else if (router->asked_router == NULL)
    ask_chosen_router (router);
}

void
conf_handle_part (cfd_router_t *router, const peer_id_t *peer,
                  const msg_config_part_t *part, uint64_t revision,
                  cfd_time_t now)
{
  bool is_newer;

  if (g_strcmp0 (router->asked_router, peer->instance) == 0)
    clear_asked_router (router);
  is_newer = store_apply_part (router->store, part, now);
  store_record_peer_revision (router->store, revision, now);
  /* This was one part of several: ask for the next one at once, instead of
     with a later frame.  */
  if (is_newer && store_get_revision (router->store) < revision)
    (void)send_ask (router, peer->instance);
}

void
conf_handle_ask (cfd_router_t *router, const peer_id_t *peer,
                 const msg_config_ask_t *ask, cfd_time_t now)
{
  msg_t message = { .kind = MSG_CONFIG_PART };

  store_make_part (router->store, peer->role, ask, now,
                   &message.u.config_part);
  (void)router_send (router, peer->instance, &message);
  store_part_clear (&message.u.config_part);
}

/* ---- notifications to peers ---- */

static void
notify_all (cfd_router_t *router, const GPtrArray *names)
{
  for (guint i = 0; i < names->len; i++)
    (void)send_ask (router, names->pdata[i]);
}

void
conf_announce_revision (cfd_router_t *router)
{
  if (!store_is_fleet_large (router->store))
    return;
  notify_all (router, spread_tree_get_child_routers (router->tree));
  notify_all (router, spread_tree_get_child_agents (router->tree));
}

/* Notifies a peer that had no link when the revision increased.  */
void
conf_peer_up (cfd_router_t *router, const peer_id_t *peer)
{
  if (store_is_fleet_large (router->store))
    (void)send_ask (router, peer->instance);
}

static void
notify_some_agents (cfd_router_t *router)
{
  const GPtrArray *agents = spread_tree_get_child_agents (router->tree);
  unsigned count = (agents->len + NOTIFY_ROUND_S - 1) / NOTIFY_ROUND_S;

  for (unsigned i = 0; i < count; i++)
    (void)send_ask (
        router, agents->pdata[router->next_notified_agent++ % agents->len]);
}

/* While the platform is unreachable: notifies the agents whose witness this
   router is.  They hold the link, so one message is enough.  */
static void
notify_witnessed_agents (cfd_router_t *router)
{
  const GPtrArray *routers = store_get_instances (router->store, ROLE_ROUTER);
  const GPtrArray *agents = store_get_instances (router->store, ROLE_AGENT);

  for (guint i = 0; i < agents->len; i++)
    {
      const store_instance_t *listed = agents->pdata[i];
      const agent_t *agent = agents_find (router, listed->name);

      if ((agent == NULL || !agent->up)
          && witness_is_selected (routers, router->instance, listed->name))
        (void)send_ask (router, listed->name);
    }
}

/* ---- periodic work ---- */

void
conf_run_periodic (cfd_router_t *router, cfd_time_t now)
{
  if (store_should_ask_peer (router->store, now))
    ask_for_revision (router);
  else
    router->ask_penalty = 0;
  if (store_is_fleet_large (router->store))
    notify_some_agents (router);
  if (!store_is_platform_up (router->store))
    notify_witnessed_agents (router);
}

void
conf_instances_changed (cfd_router_t *router)
{
  spread_tree_free (router->tree);
  router->tree = spread_tree_new (
      store_get_instances (router->store, ROLE_ROUTER),
      store_get_instances (router->store, ROLE_AGENT), router->instance);
  router->ask_choice = 0;
  router->ask_penalty = 0;
  clear_asked_router (router);
}

void
conf_free (cfd_router_t *router)
{
  spread_tree_free (router->tree);
  clear_asked_router (router);
}
