/* How this router learns of changes from peers, and tells them.

   In a fleet up to SPREAD_SMALL_FLEET_INSTANCES everyone watches the platform,
   and a frame of a peer with a newer revision is a reason to ask that peer. In
   a larger one the tree of spread-tree.h says whom to tell and whom to ask
   besides.  A word is a CONFIG_ASK: its frame shows the sender's revision, so
   that whoever of the two is behind learns it.  */

#include "router/router-private.h"

#include "config/witness.h"

/* A peer with newer configuration is asked at most so often.  */
#define ASK_MS 200
/* Doubts after which another router is asked.  A frozen or dead one leaves an
   ask without answer; one that is behind answers and brings no fresh word,
   which may also be because it is about to ask itself.  */
#define DOUBTS_MAX 3u
#define DOUBT_SILENT 2u
#define DOUBT_OLD 1u
/* Each agent is told once in so many seconds at most: a link without use is
   closed after PEER_IDLE_TIMEOUT_MS, and an agent without a link hears
   nothing.  */
#define TELL_ROUND_S 20u

static bool
send_ask (cfd_router_t *router, const char *peer)
{
  msg_t message = { .kind = MSG_CONFIG_ASK };

  store_make_ask (router->store, &message.u.config_ask);
  return router_send (router, peer, &message);
}

/* ---- asking ---- */

static void
forget_asked (cfd_router_t *router)
{
  g_clear_pointer (&router->asked, g_free);
}

static void
ask_chosen (cfd_router_t *router)
{
  const char *name
      = spread_tree_choose_source (router->tree, router->ask_choice);

  forget_asked (router);
  if (name == NULL)
    return;
  router->asked = g_strdup (name);
  (void)send_ask (router, name);
}

/* Asks the router of the present choice, or the next one when that gave reason
   to doubt it.  A choice that served is kept, so that a dead one above costs
   its doubts once.  */
static void
ask_for_word (cfd_router_t *router)
{
  router->ask_doubts += router->asked != NULL ? DOUBT_SILENT : DOUBT_OLD;
  if (router->ask_doubts > DOUBTS_MAX)
    {
      router->ask_choice++;
      router->ask_doubts = 0;
    }
  ask_chosen (router);
}

void
conf_hear (cfd_router_t *router, const peer_id_t *peer, uint64_t revision,
           cfd_time_t now)
{
  store_record_peer_revision (router->store, revision, now);
  if (revision <= store_get_revision (router->store)
      || (revision <= router->asked_revision
          && now - router->asked_at < ASK_MS))
    return;
  router->asked_revision = revision;
  router->asked_at = now;
  /* An agent has no accounts to answer with.  */
  if (peer->role == ROLE_ROUTER)
    (void)send_ask (router, peer->instance);
  else if (router->asked == NULL)
    ask_chosen (router);
}

void
conf_take (cfd_router_t *router, const peer_id_t *peer,
           const msg_config_part_t *part, uint64_t revision, cfd_time_t now)
{
  bool is_news;

  if (g_strcmp0 (router->asked, peer->instance) == 0)
    forget_asked (router);
  is_news = store_apply_part (router->store, part, now);
  store_record_peer_revision (router->store, revision, now);
  /* A piece: the next one now, not with some later frame.  */
  if (is_news && store_get_revision (router->store) < revision)
    (void)send_ask (router, peer->instance);
}

void
conf_give (cfd_router_t *router, const peer_id_t *peer,
           const msg_config_ask_t *ask, cfd_time_t now)
{
  msg_t message = { .kind = MSG_CONFIG_PART };

  store_make_part (router->store, peer->role, ask, now,
                   &message.u.config_part);
  (void)router_send (router, peer->instance, &message);
  store_part_clear (&message.u.config_part);
}

/* ---- telling ---- */

static void
tell_all (cfd_router_t *router, const GPtrArray *names)
{
  for (guint i = 0; i < names->len; i++)
    (void)send_ask (router, names->pdata[i]);
}

void
conf_advanced (cfd_router_t *router)
{
  if (!store_is_fleet_large (router->store))
    return;
  tell_all (router, spread_tree_get_child_routers (router->tree));
  tell_all (router, spread_tree_get_child_agents (router->tree));
}

/* Who could not be told because there was no link learns it here.  */
void
conf_peer_up (cfd_router_t *router, const peer_id_t *peer)
{
  if (store_is_fleet_large (router->store))
    (void)send_ask (router, peer->instance);
}

static void
tell_some_agents (cfd_router_t *router)
{
  const GPtrArray *agents = spread_tree_get_child_agents (router->tree);
  unsigned count = (agents->len + TELL_ROUND_S - 1) / TELL_ROUND_S;

  for (unsigned i = 0; i < count; i++)
    (void)send_ask (router, agents->pdata[router->told++ % agents->len]);
}

/* While the platform is out of reach: calls the agents whose witness this
   router is.  They hold the link, so that one call is enough.  */
static void
call_as_witness (cfd_router_t *router)
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

/* ---- upkeep ---- */

void
conf_keep (cfd_router_t *router, cfd_time_t now)
{
  if (store_should_ask_peer (router->store, now))
    ask_for_word (router);
  else
    router->ask_doubts = 0;
  if (store_is_fleet_large (router->store))
    tell_some_agents (router);
  if (!store_is_platform_up (router->store))
    call_as_witness (router);
}

void
conf_listed (cfd_router_t *router)
{
  spread_tree_free (router->tree);
  router->tree = spread_tree_new (
      store_get_instances (router->store, ROLE_ROUTER),
      store_get_instances (router->store, ROLE_AGENT), router->instance);
  router->ask_choice = 0;
  router->ask_doubts = 0;
  forget_asked (router);
}

void
conf_free (cfd_router_t *router)
{
  spread_tree_free (router->tree);
  forget_asked (router);
}
