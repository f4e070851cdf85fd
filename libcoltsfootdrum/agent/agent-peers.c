/* Messages from routers, and their links.  */

#include "agent/agent-private.h"
#include "base/log.h"

bool
agent_send (cfd_agent_t *agent, const char *router, msg_t *message)
{
  return peer_hub_send (agent->hub, router, message);
}

/* ---- messages ---- */

static void
handle_announce (cfd_agent_t *agent, const char *router,
                 const msg_announce_t *announce, cfd_time_t now)
{
  if (g_strcmp0 (announce->service, agent->service) != 0)
    return;
  pick_apply_announcement (agent->pick, router, announce, now);
  agent_fill_slots (agent, now);
}

static void
handle_ack (cfd_agent_t *agent, const msg_ack_t *ack, cfd_time_t now)
{
  run_t *run = g_hash_table_lookup (agent->runs, ack->request);

  if (run == NULL)
    return;
  run_acknowledge (run, ack, now);
  if (!ack->done || !run->stream.has_ended)
    return;
  /* It never ran, so it may be assigned again.  */
  if (run->stream.outcome == OUTCOME_UNREACHED)
    ids_remove (agent->ids, ack->request);
  else
    ids_set_state (agent->ids, ack->request, IDS_STARTED, now);
  g_hash_table_remove (agent->runs, ack->request);
}

static void
handle_resume (cfd_agent_t *agent, const peer_id_t *peer,
               const msg_resume_t *resume, cfd_time_t now)
{
  run_t *run = g_hash_table_lookup (agent->runs, resume->request);

  if (run != NULL)
    run_resume (run, peer, resume, now);
  else if (ids_get_state (agent->ids, resume->request) == IDS_REFUSED)
    agent_send_not_started (agent, peer->instance, resume->request,
                            "it was refused before", now);
  else
    answer_send_unknown (agent, peer->instance, resume->request,
                         "this agent knows no such request");
}

static void
handle_cancel (cfd_agent_t *agent, const msg_cancel_t *cancel, cfd_time_t now)
{
  run_t *run = g_hash_table_lookup (agent->runs, cancel->request);

  if (run != NULL)
    run_cancel (run, now);
}

static void
on_message (void *user, const peer_id_t *peer, const msg_t *message,
            cfd_time_t received)
{
  cfd_agent_t *agent = user;
  cfd_time_t now = agent_read_clock (agent);
  const char *router = peer->instance;

  config_observe_revision (agent, router, message->revision, now);
  switch (message->kind)
    {
    case MSG_ANNOUNCE:
      handle_announce (agent, router, &message->u.announce, now);
      return;
    case MSG_ASSIGN:
      agent_handle_assign (agent, peer, &message->u.assign);
      return;
    case MSG_DECLINE:
      agent_handle_decline (agent, peer, &message->u.decline, now);
      return;
    case MSG_ACK:
      handle_ack (agent, &message->u.ack, now);
      return;
    case MSG_RESUME:
      handle_resume (agent, peer, &message->u.resume, now);
      return;
    case MSG_CANCEL:
      handle_cancel (agent, &message->u.cancel, now);
      return;
    case MSG_CONFIG_ASK:
      config_send_part (agent, router, &message->u.config_ask, now);
      return;
    case MSG_CONFIG_PART:
      config_apply_part (agent, router, &message->u.config_part, now);
      return;
    default:
      log_warn ("agent", "Unexpected message: kind=%s from=%s.",
                msg_kind_name (message->kind), router);
    }
}

/* ---- links ---- */

static void
hold_router (void *user, const char *router)
{
  cfd_agent_t *agent = user;

  if (g_ptr_array_find_with_equal_func (agent->held_routers, router,
                                        g_str_equal, NULL))
    return;
  g_ptr_array_add (agent->held_routers, g_strdup (router));
  peer_hub_hold (agent->hub, router);
}

/* While the platform is unreachable, all links are held: their heartbeats show
   which routers are connected.  */
static void
update_held_links (cfd_agent_t *agent)
{
  if (!store_is_platform_up (agent->store))
    {
      links_for_each_up (agent->links, hold_router, agent);
      return;
    }
  for (guint i = 0; i < agent->held_routers->len; i++)
    peer_hub_release (agent->hub, g_ptr_array_index (agent->held_routers, i));
  g_ptr_array_set_size (agent->held_routers, 0);
}

static void
on_heartbeat (void *user, const peer_id_t *peer, cfd_time_t now)
{
  if (peer->role == ROLE_ROUTER)
    config_observe_revision (user, peer->instance, peer->revision, now);
}

static void
on_link_up (void *user, const peer_id_t *peer, cfd_time_t now)
{
  cfd_agent_t *agent = user;
  GHashTableIter iter;
  gpointer value;

  if (peer->role != ROLE_ROUTER)
    return;
  links_set_up (agent->links, peer->instance, peer->zone);
  /* From now on the router counts as connected, and an agent that was cut off
     may accept work again.  So its revision is taken from the link already:
     its first message may be seconds away, and until then an agent in a zone
     that was taken out meanwhile would continue with its old
     configuration.  */
  config_observe_revision (agent, peer->instance, peer->revision, now);
  /* A restarted router has lost the requests that it sent.  */
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      run_t *run = value;

      if (g_str_equal (run->router, peer->instance)
          && run->router_incarnation != peer->incarnation)
        run_mark_orphaned (run, now);
    }
}

static void
on_link_down (void *user, const peer_id_t *peer, cfd_time_t now)
{
  cfd_agent_t *agent = user;
  peer_counters_t counters;
  GHashTableIter iter;
  gpointer value;

  if (peer->role != ROLE_ROUTER)
    return;
  peer_hub_get_counters (agent->hub, &counters);
  links_set_down (agent->links, peer->instance,
                  counters.silences > agent->timeouts[1], now);
  pick_remove_router (agent->pick, peer->instance);
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (g_str_equal (((run_t *)value)->router, peer->instance))
      run_detach (value, now);
}

static uint64_t
get_revision (void *user)
{
  const cfd_agent_t *agent = user;

  return store_get_revision (agent->store);
}

void
peers_tick (cfd_agent_t *agent, cfd_time_t now)
{
  peer_counters_t counters;

  links_expire (agent->links, store_is_platform_up (agent->store), now);
  update_held_links (agent);
  peer_hub_get_counters (agent->hub, &counters);
  agent->timeouts[1] = agent->timeouts[0];
  agent->timeouts[0] = counters.silences;
}

const peer_events_t agent_peer_events = { .message = on_message,
                                          .heartbeat = on_heartbeat,
                                          .up = on_link_up,
                                          .down = on_link_down,
                                          .revision = get_revision };
