/* Construction, periodic tick and shutdown of the agent, which runs beside one
   endpoint.  */

#include "agent/agent-private.h"
#include "base/log.h"
#include <sodium.h>
#include <string.h>

#define RING_CAPACITY 8192
/* A longer gap between two turns of the event loop means that the process was
   suspended.  */
#define MIN_SUSPENSION_MS 1000

/* ---- clock ---- */

static void
handle_suspension (cfd_agent_t *agent, cfd_time_t gap_ms, cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  log_warn ("agent", "The process was suspended: ms=%" G_GINT64_FORMAT ".",
            gap_ms);
  agent->counters.suspensions++;
  agent->suspension_ended_at = now;
  agent->is_config_unconfirmed = true;
  agent->asked_since_suspension = false;
  agent->config_asked_at = 0;
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    run_handle_suspension (value, gap_ms, now);
}

cfd_time_t
agent_read_clock (cfd_agent_t *agent)
{
  cfd_time_t now = clock_now ();
  cfd_time_t gap_ms = now - agent->last_clock_read;

  agent->last_clock_read = now;
  if (gap_ms > MIN_SUSPENSION_MS)
    handle_suspension (agent, gap_ms, now);
  return now;
}

/* Runs before any other watcher of a turn, so that no data that waited in a
   socket is acted on before a suspension is detected.  */
static void
on_check (struct ev_loop *loop, ev_check *watcher, int events)
{
  (void)agent_read_clock (watcher->data);
}

/* ---- tick ---- */

static void
tick_runs (cfd_agent_t *agent, cfd_time_t now)
{
  g_autoptr (GPtrArray) ended = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;

  agent->is_iterating_runs = true;
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (run_tick (value, now))
        g_ptr_array_add (ended, g_strdup (((run_t *)value)->request));
    }
  agent->is_iterating_runs = false;
  for (guint i = 0; i < ended->len; i++)
    g_hash_table_remove (agent->runs, g_ptr_array_index (ended, i));
}

static void
tick_drain (cfd_agent_t *agent, cfd_time_t now)
{
  unsigned left = g_hash_table_size (agent->runs);

  if (!agent->is_draining || (left > 0 && now < agent->drain_deadline))
    return;
  log_info ("agent", "Stopped: unfinished=%u.", left);
  ev_break (agent->loop, EVBREAK_ALL);
}

static void
tick_counters (cfd_agent_t *agent)
{
  agent->counters.busy_slot_ms += (uint64_t)agent->busy_slots * AGENT_TICK_MS;
  agent->counters.slot_ms += (uint64_t)agent->lim.slots * AGENT_TICK_MS;
  if (!pick_has_waiting (agent->pick) && agent->queued == 0)
    return;
  agent->counters.loaded_busy_slot_ms
      += (uint64_t)agent->busy_slots * AGENT_TICK_MS;
  agent->counters.loaded_slot_ms += (uint64_t)agent->lim.slots * AGENT_TICK_MS;
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  cfd_agent_t *agent = watcher->data;
  cfd_time_t now = agent_read_clock (agent);
  lim_state_t old_state = agent->lim.state;

  agent->declines_since_tick = 0;
  tick_runs (agent, now);
  tick_counters (agent);
  ids_expire (agent->ids, now);
  peers_tick (agent, now);
  config_catch_up (agent, now);
  settle_tick (agent, now);
  if (agent->policy == CFD_POLICY_LOCAL)
    local_send_load (agent);
  agent_fill_slots (agent, now);
  if (agent->lim.state != old_state)
    tl_add (agent->ring, TL_LIMIT, NULL, agent->zone, agent->endpoint, NULL,
            lim_state_name (agent->lim.state));
  tick_drain (agent, now);
}

/* ---- construction and shutdown ---- */

static void
start_watchers (cfd_agent_t *agent)
{
  ev_check_init (&agent->check, on_check);
  ev_set_priority (&agent->check, EV_MAXPRI);
  agent->check.data = agent;
  ev_check_start (agent->loop, &agent->check);
  ev_timer_init (&agent->tick, on_tick, AGENT_TICK_MS / 1000.0,
                 AGENT_TICK_MS / 1000.0);
  agent->tick.data = agent;
  ev_timer_start (agent->loop, &agent->tick);
}

static bool
open_ports (cfd_agent_t *agent, const cfd_settings_t *settings, GError **error)
{
  peer_hub_options_t self = {
    .role = ROLE_AGENT,
    .instance = agent->instance,
    .zone = agent->zone,
    .incarnation = agent->incarnation,
    .listen = settings->peer_listen,
    .secret = settings->secret,
  };

  agent->hub = peer_hub_new (agent->loop, &self, agent->ring,
                             &agent_peer_events, agent, error);
  if (agent->hub == NULL)
    return false;
  return agent_admin_start (agent, settings->admin_listen, error);
}

cfd_agent_t *
cfd_agent_new (struct ev_loop *loop, const cfd_settings_t *settings,
               GError **error)
{
  g_autoptr (cfd_agent_t) agent = g_new0 (cfd_agent_t, 1);
  lim_settings_t no_limits = { .max = 0 };

  agent->loop = loop;
  agent->instance = g_strdup (settings->instance);
  agent->zone = g_strdup (settings->zone);
  agent->endpoint = g_strdup (settings->endpoint);
  agent->policy = settings->policy;
  agent->drain_s = settings->drain_s;
  randombytes_buf (&agent->incarnation, sizeof agent->incarnation);
  agent->last_clock_read = clock_now ();
  agent->ring = tl_ring_new (agent->instance, RING_CAPACITY);
  agent->store = store_new (agent->ring, &agent_store_events, agent);
  agent->pick = pick_new ();
  agent->links = links_new ();
  agent->ids = ids_new ();
  agent->held_routers = g_ptr_array_new_with_free_func (g_free);
  agent->runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, run_free);
  list_init (&agent->queue);
  lim_init (&agent->lim, &no_limits, agent->last_clock_read);
  agent->lim.seed = agent->incarnation;
  agent->pool = fetch_pool_new (loop);
  settle_begin (agent, agent->last_clock_read);
  agent->plat = plat_new (agent->pool, settings->platform);
  if (!open_ports (agent, settings, error))
    return NULL;
  start_watchers (agent);
  store_set_self (agent->store, ROLE_AGENT, agent->instance);
  store_follow (agent->store, loop, agent->plat);
  tl_add (agent->ring, TL_START, NULL, agent->zone, agent->endpoint, NULL,
          "agent");
  return g_steal_pointer (&agent);
}

void
cfd_agent_drain (cfd_agent_t *agent)
{
  if (agent->is_draining)
    return;
  agent->is_draining = true;
  agent->drain_deadline = clock_now () + (cfd_time_t)agent->drain_s * 1000;
  tl_add (agent->ring, TL_STOP, NULL, agent->zone, agent->endpoint, NULL,
          "graceful shutdown");
  log_info ("agent", "Shutting down: running=%u.", agent->busy_slots);
}

void
cfd_agent_free (cfd_agent_t *agent)
{
  if (agent == NULL)
    return;
  ev_check_stop (agent->loop, &agent->check);
  ev_timer_stop (agent->loop, &agent->tick);
  admin_free (agent->admin);
  g_hash_table_unref (agent->runs);
  store_free (agent->store);
  plat_free (agent->plat);
  peer_hub_free (agent->hub);
  fetch_pool_free (agent->pool);
  pick_free (agent->pick);
  links_free (agent->links);
  ids_free (agent->ids);
  g_ptr_array_unref (agent->held_routers);
  tl_ring_free (agent->ring);
  g_free (agent->instance);
  g_free (agent->zone);
  g_free (agent->endpoint);
  g_free (agent->service);
  g_free (agent->newest_peer);
  g_free (agent->url);
  g_free (agent->record_zone);
  g_free (agent);
}
