#include "router/router-private.h"

#include "base/log.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#define EVENTS_KEPT 4096
#define CONNECTIONS_MAX 4096
#define IDLE_S 60
/* Room for the frame around a body.  */
#define BODY_MAX (MSG_BODY_MAX - 64u * 1024)
/* Of all requests that wait or run here; part of the instance's memory.  */
#define BODIES_MAX (64u * 1024 * 1024)
#define KEEPING_MS 1000
/* After the last answer the loop goes on so long, for acknowledgements and
   claims on their way.  */
#define QUIET_MS 300

/* ---- due work ---- */

static void on_timer (struct ev_loop *loop, ev_timer *watcher, int events);

void
router_schedule (cfd_router_t *router, cfd_time_t at)
{
  cfd_time_t now;

  if (at >= router->timer_at)
    return;
  now = clock_now ();
  router->timer_at = at;
  ev_timer_stop (router->loop, &router->timer);
  ev_now_update (router->loop);
  ev_timer_set (&router->timer, at > now ? (double)(at - now) / 1000 : 0, 0);
  ev_timer_start (router->loop, &router->timer);
}

bool
router_send (cfd_router_t *router, const char *peer, msg_t *message)
{
  return peer_hub_send (router->hub, peer, message);
}

char *
router_name_request (cfd_router_t *router)
{
  return g_strdup_printf ("%s.%" PRIx64 ".%" PRIu64, router->instance,
                          router->incarnation, ++router->last_id);
}

void
router_note (cfd_router_t *router, tl_kind_t kind, const request_t *request,
             const char *detail)
{
  const agent_t *agent = request->agent;

  tl_add (router->ring, kind, request->item.account,
          agent != NULL ? agent->zone : NULL,
          agent != NULL ? agent->name : NULL,
          request->id != NULL ? request->id : request->trace, detail);
}

/* Once a second: what costs little and hurries nobody.  */
static void
keep_house (cfd_router_t *router, cfd_time_t now)
{
  if (now < router->keeping_at)
    return;
  router->keeping_at = now + KEEPING_MS;
  turns_expire (router->turns, now);
  share_expire (router->share, now);
  home_expire (router->home, now);
  cost_expire (router->cost, now);
  shares_run (router, now);
  agents_release (router, now);
  homes_release (router, now);
  conf_keep (router, now);
}

static void
stop_leftovers (cfd_router_t *router, cfd_time_t now)
{
  list_for_each_safe (node, &router->all)
    request_event (list_entry (node, request_t, node), REQ_EV_STOP, now);
}

/* Claims that still have to reach the platform count: one that was lost would
   read as running for ever.  */
static bool
has_work (const cfd_router_t *router)
{
  return !list_is_empty (&router->all)
         || web_server_count_active (router->web) > 0
         || once_count_pending_writes (router->once) > 0;
}

static void
check_drained (cfd_router_t *router, cfd_time_t now)
{
  if (!router->draining)
    return;
  if (now >= router->drain_until)
    stop_leftovers (router, now);
  if (has_work (router))
    {
      router->quiet_since = 0;
      if (now < router->drain_until + QUIET_MS)
        return;
    }
  if (router->quiet_since == 0)
    router->quiet_since = now;
  if (now - router->quiet_since < QUIET_MS && now < router->drain_until)
    return;
  log_info ("router", "Shut down: left=%u.",
            web_server_count_active (router->web));
  ev_break (router->loop, EVBREAK_ALL);
}

static void
run_due (cfd_router_t *router)
{
  cfd_time_t now = clock_now ();
  cfd_time_t next;

  request_expire (router, now);
  agents_sort (router);
  next = answer_give_up (router, now);
  if (router->report_at <= now)
    shares_run (router, now);
  keep_house (router, now);
  if (router->policy == CFD_POLICY_LOCAL)
    baseline_pump (router, now);
  else
    grant_announce (router, now);
  check_drained (router, now);
  next = MIN (next, adm_next_deadline (router->adm));
  next = MIN (next, disp_next_due (router->disp, now));
  next = MIN (next, router->report_at);
  next = MIN (next, router->keeping_at);
  if (router->draining)
    next = MIN (next, now + QUIET_MS / 10);
  /* At least a millisecond on, so that no fault can make the loop spin.  */
  router_schedule (router, MAX (next, now + 1));
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  cfd_router_t *router = watcher->data;

  router->timer_at = CFD_TIME_NEVER;
  run_due (router);
}

/* ---- messages ---- */

static void
from_agent (cfd_router_t *router, const peer_id_t *peer, const msg_t *message,
            cfd_time_t now)
{
  switch (message->kind)
    {
    case MSG_GRANT:
      grant_take (router, peer, &message->u.grant, now);
      return;
    case MSG_NOT_STARTED:
      answer_not_started (router, peer, &message->u.not_started, now);
      return;
    case MSG_HEAD:
      answer_head (router, peer, &message->u.head, now);
      return;
    case MSG_DATA:
      answer_data (router, peer, &message->u.data, now);
      return;
    case MSG_END:
      answer_end (router, peer, &message->u.end, now);
      return;
    case MSG_LOAD:
      baseline_load (router, peer, &message->u.load);
      return;
    default:
      return;
    }
}

static void
from_router (cfd_router_t *router, const peer_id_t *peer, const msg_t *message,
             cfd_time_t now)
{
  if (message->kind == MSG_REPORT)
    shares_report (router, peer, &message->u.report, now);
  else if (message->kind == MSG_SHARE)
    shares_take (router, peer->instance, &message->u.share, now);
}

static void
on_message (void *user, const peer_id_t *peer, const msg_t *message,
            cfd_time_t now)
{
  cfd_router_t *router = user;

  if (message->kind != MSG_CONFIG_PART)
    conf_hear (router, peer, message->revision, now);
  if (message->kind == MSG_CONFIG_ASK)
    conf_give (router, peer, &message->u.config_ask, now);
  else if (message->kind == MSG_CONFIG_PART)
    conf_take (router, peer, &message->u.config_part, message->revision, now);
  else if (peer->role == ROLE_AGENT)
    from_agent (router, peer, message, now);
  else if (peer->role == ROLE_ROUTER)
    from_router (router, peer, message, now);
}

static void
on_up (void *user, const peer_id_t *peer, cfd_time_t now)
{
  if (peer->role == ROLE_AGENT)
    answer_agent_up (user, peer, now);
  else if (peer->role == ROLE_ROUTER)
    shares_peer_up (user, peer->instance, now);
  conf_peer_up (user, peer);
}

static void
on_down (void *user, const peer_id_t *peer, cfd_time_t now)
{
  if (peer->role == ROLE_AGENT)
    answer_agent_down (user, peer, now);
  else if (peer->role == ROLE_ROUTER)
    homes_peer_down (user, peer->instance, now);
}

static uint64_t
revision (void *user)
{
  return store_get_revision (((cfd_router_t *)user)->store);
}

/* ---- configuration ---- */

static void
on_record (void *user, const rec_t *record, cfd_time_t now)
{
  cfd_router_t *router = user;

  if (record->kind == REC_ACCOUNT)
    return;
  router->agents_changed = true;
  router_schedule (router, 0);
}

static void
on_instances (void *user, cfd_time_t now)
{
  cfd_router_t *router = user;

  agents_listed (router);
  homes_listed (router, now);
  conf_listed (router);
  router_schedule (router, 0);
}

static void
on_advanced (void *user)
{
  conf_advanced (user);
}

/* ---- start and end ---- */

static bool
start_links (cfd_router_t *router, const cfd_settings_t *settings,
             GError **error)
{
  static const peer_events_t events = {
    .message = on_message, .up = on_up, .down = on_down, .revision = revision
  };
  const peer_hub_options_t self = { .role = ROLE_ROUTER,
                                    .instance = settings->instance,
                                    .zone = settings->zone,
                                    .incarnation = router->incarnation,
                                    .listen = settings->peer_listen,
                                    .secret = settings->secret };

  router->hub = peer_hub_new (router->loop, &self, router->ring, &events,
                              router, error);
  return router->hub != NULL;
}

static bool
start_callers (cfd_router_t *router, const cfd_settings_t *settings,
               GError **error)
{
  const web_limits_t limits = { BODY_MAX, CONNECTIONS_MAX, IDLE_S };

  router->web = web_server_new (router->loop, settings->listen, &limits,
                                front_handle, router, error);
  if (router->web == NULL)
    return false;
  web_server_set_max_total_body_bytes (router->web, BODIES_MAX);
  return true;
}

static void
start_platform (cfd_router_t *router, const cfd_settings_t *settings)
{
  static const store_events_t events
      = { on_record, on_instances, on_advanced };
  g_autofree char *owner = g_strdup_printf (
      "%s.%" G_GINT64_MODIFIER "x", router->instance, router->incarnation);

  router->store = store_new (router->ring, &events, router);
  store_set_self (router->store, ROLE_ROUTER, router->instance);
  conf_listed (router);
  router->pool = fetch_pool_new (router->loop);
  router->plat = plat_new (router->pool, settings->platform);
  router->once = once_new (router->plat, owner);
  claim_sweep (router, settings);
}

static void
start_state (cfd_router_t *router, const cfd_settings_t *settings)
{
  randombytes_buf (&router->incarnation, sizeof router->incarnation);
  router->instance = g_strdup (settings->instance);
  router->zone = g_strdup (settings->zone);
  router->policy = settings->policy;
  router->request_ms = (cfd_time_t)settings->request_s * 1000;
  router->drain_ms = (cfd_time_t)settings->drain_s * 1000;
  router->retry_budget = ROUTER_RETRY_BURST;
  router->timer_at = CFD_TIME_NEVER;
  list_init (&router->all);
  router->requests = g_hash_table_new (g_str_hash, g_str_equal);
  router->ring = tl_ring_new (router->instance, EVENTS_KEPT);
  router->adm = adm_new ();
  router->disp = disp_new (router->incarnation);
  router->share = share_new ();
  router->home = home_new ();
  router->wfq = wfq_new ();
  router->turns = turns_new ();
  router->cost = cost_new ();
  agents_init (router);
  router->report_at = CFD_TIME_NEVER;
  homes_init (router);
  ev_timer_init (&router->timer, on_timer, 0, 0);
  router->timer.data = router;
}

cfd_router_t *
cfd_router_new (struct ev_loop *loop, const cfd_settings_t *settings,
                GError **error)
{
  cfd_router_t *router;

  if (sodium_init () < 0)
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_UNAVAILABLE,
                   "no random numbers; check /dev/urandom");
      return NULL;
    }
  router = g_new0 (cfd_router_t, 1);
  router->loop = loop;
  start_state (router, settings);
  start_platform (router, settings);
  if (!start_links (router, settings, error)
      || !router_admin_start (router, settings->admin_listen, error)
      || !start_callers (router, settings, error))
    {
      cfd_router_free (router);
      return NULL;
    }
  store_follow (router->store, loop, router->plat);
  tl_add (router->ring, TL_START, NULL, router->zone, NULL, NULL, "router");
  log_info ("router", "Started: callers=%s peers=%s.", settings->listen,
            settings->peer_listen);
  router_schedule (router, clock_now ());
  return router;
}

void
cfd_router_drain (cfd_router_t *router)
{
  if (router->draining)
    return;
  router->draining = true;
  router->drain_until = clock_now () + router->drain_ms;
  web_server_quiesce (router->web);
  tl_add (router->ring, TL_STOP, NULL, router->zone, NULL, NULL, "draining");
  log_info ("router", "Draining: waiting=%u in_flight=%u.",
            adm_count_waiting (router->adm), router->in_flight);
  router_schedule (router, 0);
}

void
cfd_router_free (cfd_router_t *router)
{
  if (router == NULL)
    return;
  ev_timer_stop (router->loop, &router->timer);
  /* Callers first: their leaving is told to requests that still are.  */
  web_server_free (router->web);
  sweep_free (router->sweep);
  once_free (router->once);
  list_for_each_safe (node, &router->all)
    request_free (list_entry (node, request_t, node));
  admin_free (router->admin);
  peer_hub_free (router->hub);
  store_free (router->store);
  conf_free (router);
  plat_free (router->plat);
  fetch_pool_free (router->pool);
  cost_free (router->cost);
  turns_free (router->turns);
  wfq_free (router->wfq);
  home_free (router->home);
  share_free (router->share);
  disp_free (router->disp);
  adm_free (router->adm);
  g_hash_table_unref (router->requests);
  g_hash_table_unref (router->routers);
  g_hash_table_unref (router->agents);
  g_hash_table_unref (router->served);
  tl_ring_free (router->ring);
  g_free (router->instance);
  g_free (router->zone);
  g_free (router);
}
