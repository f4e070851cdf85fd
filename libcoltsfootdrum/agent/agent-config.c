/* The agent's configuration, and whether it may grant slots.  */

#include "agent/agent-private.h"
#include "base/log.h"
#include "config/witness.h"

/* Data that was read within this time after a suspension may have waited in a
   socket since before it, and confirms nothing.  */
#define MAX_BUFFERED_MS 250
#define CONFIG_ASK_INTERVAL_MS 200
#define UPDATE_CHECK_INTERVAL_MS 1000
/* Targets for 95 % of the callers; slower is overload.  */
#define TARGET_FIRST_TOKEN_MS 1400.0
#define TARGET_TOKEN_INTERVAL_MS 32.0

/* ---- grant eligibility ---- */

static void
confirm_config_by_platform (cfd_agent_t *agent, cfd_time_t now)
{
  cfd_time_t contact_at = now - store_get_age_ms (agent->store, now);

  if (contact_at > agent->suspension_ended_at + MAX_BUFFERED_MS)
    agent->is_config_unconfirmed = false;
}

/* Whether the platform is reachable.  Its list of instances may be read before
   the configuration.  After a cut-off that isn't enough, because a zone may
   have been taken out meanwhile.  */
static bool
platform_is_up (const cfd_agent_t *agent, cfd_time_t now)
{
  cfd_time_t contact_at = now - store_get_age_ms (agent->store, now);

  return store_is_platform_up (agent->store)
         && contact_at >= agent->cut_off_at;
}

static void
record_reason (cfd_agent_t *agent, grant_reason_t reason, cfd_time_t now)
{
  if (reason == agent->grant_reason)
    return;
  log_info ("agent", "Grant eligibility changed: state=%s.",
            grant_reason_name (reason));
  agent->grant_reason = reason;
  if (reason == GRANT_CUT_OFF)
    agent->cut_off_at = now;
}

static void
count_zones (const cfd_agent_t *agent, grant_state_t *state, cfd_time_t now)
{
  state->platform_age_ms = store_get_age_ms (agent->store, now);
  state->zones_known
      = witness_count_zones (store_get_instances (agent->store, ROLE_ROUTER));
  state->zones_connected = links_count_zones (agent->links);
}

grant_reason_t
agent_update_grant_reason (cfd_agent_t *agent, cfd_time_t now)
{
  grant_state_t state = {
    .is_draining = agent->is_draining,
    .has_endpoint = agent->has_endpoint,
    .has_service = agent->has_service,
    .is_leaving = agent->is_leaving,
    .is_zone_out
    = store_is_zone_out (agent->store, agent->zone)
      || (agent->record_zone != NULL
          && store_is_zone_out (agent->store, agent->record_zone)),
    .is_settling = agent->is_settling,
    .is_behind
    = agent->newest_peer_revision > store_get_revision (agent->store),
    .is_platform_up = platform_is_up (agent, now),
    .is_ejected
    = agent->lim.state == LIM_EJECTED && now < agent->lim.ejected_until,
  };
  grant_reason_t reason;

  if (agent->is_config_unconfirmed)
    confirm_config_by_platform (agent, now);
  state.is_config_unconfirmed = agent->is_config_unconfirmed;
  links_get_counts (agent->links, &state.routers_known,
                    &state.routers_connected);
  if (!state.is_platform_up)
    count_zones (agent, &state, now);
  reason = agent_evaluate_grant (&state);
  record_reason (agent, reason, now);
  return reason;
}

bool
config_is_out_of_service (const cfd_agent_t *agent)
{
  const rec_t *record
      = store_get (agent->store, REC_ENDPOINT, agent->endpoint);

  if (record == NULL || record->deleted || record->u.endpoint.leaving)
    return true;
  return store_is_zone_out (agent->store, agent->zone)
         || store_is_zone_out (agent->store, record->u.endpoint.zone);
}

/* ---- configuration ---- */

static void
ask_config (void *user, const char *router)
{
  cfd_agent_t *agent = user;
  msg_t message = { .kind = MSG_CONFIG_ASK };

  store_make_ask (agent->store, &message.u.config_ask);
  if (agent_send (agent, router, &message))
    agent->asked_since_suspension = true;
}

/* In a large fleet most agents receive their configuration from peers
   only.  */
static void
ask_for_update (cfd_agent_t *agent, cfd_time_t now)
{
  const char *router;

  if (now - agent->update_checked_at < UPDATE_CHECK_INTERVAL_MS)
    return;
  agent->update_checked_at = now;
  if (!store_should_ask_peer (agent->store, now))
    return;
  router = links_get_nth_up (agent->links, agent->next_peer++);
  if (router != NULL)
    ask_config (agent, router);
}

void
config_observe_revision (cfd_agent_t *agent, const char *router,
                         uint64_t revision, cfd_time_t now)
{
  store_record_peer_revision (agent->store, revision, now);
  if (revision > agent->newest_peer_revision)
    {
      agent->newest_peer_revision = revision;
      g_free (agent->newest_peer);
      agent->newest_peer = g_strdup (router);
    }
  config_catch_up (agent, now);
}

/* Asks the router that stated the newest revision, which may be dead by now,
   and another router in turn.  Asking all of them every 200 ms would cost a
   busy agent more than its heartbeats.  */
static void
ask_newest_peer (cfd_agent_t *agent)
{
  const char *other = links_get_nth_up (agent->links, agent->next_peer++);

  if (agent->newest_peer != NULL)
    ask_config (agent, agent->newest_peer);
  if (other != NULL && g_strcmp0 (other, agent->newest_peer) != 0)
    ask_config (agent, other);
}

void
config_catch_up (cfd_agent_t *agent, cfd_time_t now)
{
  bool is_behind
      = agent->newest_peer_revision > store_get_revision (agent->store);

  ask_for_update (agent, now);
  if (!agent->is_config_unconfirmed && !is_behind)
    return;
  if (now - agent->config_asked_at < CONFIG_ASK_INTERVAL_MS)
    return;
  agent->config_asked_at = now;
  if (agent->is_config_unconfirmed)
    links_for_each_up (agent->links, ask_config, agent);
  else
    ask_newest_peer (agent);
}

void
config_apply_part (cfd_agent_t *agent, const char *router,
                   const msg_config_part_t *part, cfd_time_t now)
{
  bool is_newer = store_apply_part (agent->store, part, now);

  /* Only a piece of it was received: asks for the next one without waiting for
     a tick.  */
  if (is_newer
      && store_get_revision (agent->store) < agent->newest_peer_revision)
    ask_config (agent, (char *)router);
  if (agent->asked_since_suspension)
    agent->is_config_unconfirmed = false;
  agent_fill_slots (agent, now);
}

void
config_send_part (cfd_agent_t *agent, const char *router,
                  const msg_config_ask_t *ask, cfd_time_t now)
{
  msg_t message = { .kind = MSG_CONFIG_PART };

  store_make_part (agent->store, ROLE_ROUTER, ask, now,
                   &message.u.config_part);
  (void)agent_send (agent, router, &message);
  store_part_clear (&message.u.config_part);
}

static void
update_service (cfd_agent_t *agent)
{
  const rec_t *record
      = agent->service != NULL
            ? store_get (agent->store, REC_SERVICE, agent->service)
            : NULL;

  agent->has_service = record != NULL && !record->deleted;
  agent->is_model = agent->has_service && record->u.service.is_model;
}

static void
update_limit (cfd_agent_t *agent, cfd_time_t now)
{
  lim_settings_t settings = {
    .max = agent->slots_max,
    .cold = agent->slots_cold,
    .first_token_ms = agent->is_model ? TARGET_FIRST_TOKEN_MS : 0,
    .token_interval_ms = agent->is_model ? TARGET_TOKEN_INTERVAL_MS : 0,
  };

  lim_apply_settings (&agent->lim, &settings, now);
}

static void
update_endpoint (cfd_agent_t *agent, const rec_t *record, cfd_time_t now)
{
  const rec_endpoint_t *endpoint = &record->u.endpoint;
  bool has_moved = g_strcmp0 (agent->url, endpoint->url) != 0;
  bool has_new_service = g_strcmp0 (agent->service, endpoint->service) != 0;

  agent->has_endpoint = !record->deleted;
  if (record->deleted)
    return;
  agent->is_leaving = endpoint->leaving;
  g_free (agent->url);
  g_free (agent->service);
  g_free (agent->record_zone);
  agent->url = g_strdup (endpoint->url);
  agent->service = g_strdup (endpoint->service);
  agent->record_zone = g_strdup (endpoint->zone);
  agent->slots_max = endpoint->slots_max;
  agent->slots_cold = endpoint->slots_cold;
  if (has_moved)
    lim_reset_to_cold (&agent->lim, now);
  if (has_new_service)
    {
      pick_free (agent->pick);
      agent->pick = pick_new ();
    }
}

static void
on_record (void *user, const rec_t *record, cfd_time_t now)
{
  cfd_agent_t *agent = user;

  switch (record->kind)
    {
    case REC_ENDPOINT:
      if (g_strcmp0 (record->name, agent->endpoint) != 0)
        return;
      update_endpoint (agent, record, now);
      update_service (agent);
      update_limit (agent, now);
      break;
    case REC_SERVICE:
      update_service (agent);
      update_limit (agent, now);
      break;
    case REC_ZONE:
    case REC_ACCOUNT:
      break;
    }
  (void)agent_update_grant_reason (agent, now);
}

const store_events_t agent_store_events = { on_record, NULL, NULL };
