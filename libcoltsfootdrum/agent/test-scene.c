#include "agent/test-scene.h"

#include <string.h>
#include <unistd.h>

/* Ports on a loopback address that only this process uses.  */
typedef enum
{
  PORT_LINK = 7001,
  PORT_ADMIN,
  PORT_PLATFORM,
  PORT_ENDPOINT
} port_t;

#define SECRET "secret"
#define MAX_WAIT_MS 10000
#define LARGE_ANSWER_BYTES (3u * 1024 * 1024)

/* ---- platform and endpoint ---- */

/* Free with g_free.  */
static char *
address (port_t port)
{
  unsigned id = (unsigned)getpid ();

  return g_strdup_printf ("127.%u.%u.%u:%u", 220 + (id >> 16) % 30,
                          id >> 8 & 255, id & 255, (unsigned)port);
}

static char *
objects (const scene_t *scene)
{
  g_autofree char *endpoint = address (PORT_ENDPOINT);

  return g_strdup_printf (
      "{\"revision\":%" G_GUINT64_FORMAT ",\"objects\":["
      "{\"kind\":\"service\",\"name\":\"draft\",\"version\":\"1\","
      "\"revision\":1,\"spec\":{\"schema\":2,\"type\":\"model\",\"rules\":[],"
      "\"classes\":[\"a\"]}},"
      "{\"kind\":\"endpoint\",\"name\":\"e\",\"version\":\"2\","
      "\"revision\":%" G_GUINT64_FORMAT
      ",\"spec\":{\"schema\":2,\"service\":\"draft\","
      "\"zone\":\"z\",\"url\":\"http://%s\","
      "\"slots\":{\"max\":4,\"cold\":2},\"state\":\"%s\"}},"
      "{\"kind\":\"availability-zone\",\"name\":\"z\",\"version\":\"3\","
      "\"revision\":%" G_GUINT64_FORMAT
      ",\"spec\":{\"schema\":2,\"state\":\"%s\",\"region\":\"r\"}}]}",
      scene->revision, scene->endpoint_revision, endpoint,
      scene->endpoint_state, scene->revision, scene->zone_state);
}

static void
respond_with_objects (scene_t *scene, web_request_t *request)
{
  g_autofree char *text = objects (scene);

  web_respond (request, 200, "application/json", NULL, text, strlen (text));
}

/* Whether the platform has a newer revision than the watch asks for.  */
static bool
is_behind (const scene_t *scene, const web_request_t *request)
{
  const char *after = web_get_query (request, "after");

  return g_ascii_strtoull (after, NULL, 10) < scene->revision;
}

static void
on_platform (void *user, web_request_t *request)
{
  scene_t *scene = user;
  const char *path = web_get_path (request);

  if (scene->platform_is_down)
    web_respond (request, 503, "text/plain", NULL, "", 0);
  else if (strcmp (path, "/v1/watch") == 0 && !is_behind (scene, request))
    scene->watch = request;
  else if (strcmp (path, "/v1/instances") == 0)
    web_respond (request, 200, "application/json", NULL, "{\"instances\":[]}",
                 16);
  else
    respond_with_objects (scene, request);
}

/* Answers the pending watch with the new revision.  */
static void
publish_change (scene_t *scene)
{
  if (scene->watch != NULL)
    respond_with_objects (scene, scene->watch);
  scene->watch = NULL;
}

void
scene_zone (scene_t *scene, const char *state)
{
  scene->zone_state = state;
  scene->revision++;
  publish_change (scene);
}

void
scene_endpoint (scene_t *scene, const char *state)
{
  scene->endpoint_state = state;
  scene->endpoint_revision = ++scene->revision;
  publish_change (scene);
}

void
scene_platform (scene_t *scene, bool is_down)
{
  scene->platform_is_down = is_down;
  if (is_down && scene->watch != NULL)
    web_respond (scene->watch, 503, "text/plain", NULL, "", 0);
  scene->watch = NULL;
}

static void
on_drained (void *user, uint64_t total)
{
}

static void
on_hanging_closed (void *user)
{
  ((scene_t *)user)->hanging = NULL;
}

static void
on_start (scene_t *scene, web_request_t *request)
{
  g_autofree char *big = NULL;

  scene->starts++;
  g_assert_null (web_get_header (request, "Authorization"));
  if (scene->engine == ENGINE_DEAD_CONNECTION
      || scene->engine == ENGINE_STOPPED)
    return;
  web_stream_begin (request, 200, NULL, on_drained, scene);
  web_stream_write (request, SCENE_TOKEN, strlen (SCENE_TOKEN));
  switch (scene->engine)
    {
    case ENGINE_COMPLETE:
    case ENGINE_CUT_REPORT:
      web_stream_write (request, SCENE_END, strlen (SCENE_END));
      web_stream_end (request, true);
      return;
    case ENGINE_BREAKS:
    case ENGINE_BREAKS_FORGETS:
      web_stream_end (request, false);
      return;
    case ENGINE_DEAD_CONNECTION:
    case ENGINE_STOPPED:
      return;
    case ENGINE_HANGS:
      scene->hanging = request;
      web_set_on_closed (request, on_hanging_closed, scene);
      return;
    case ENGINE_LARGE_ANSWER:
      big = g_strnfill (LARGE_ANSWER_BYTES, '\n');
      web_stream_write (request, big, LARGE_ANSWER_BYTES);
      web_stream_write (request, SCENE_END, strlen (SCENE_END));
      web_stream_end (request, true);
      return;
    }
}

static void
on_resume (scene_t *scene, web_request_t *request)
{
  static const char full_answer[] = SCENE_TOKEN SCENE_END;
  const char *offset = web_get_query (request, "offset");
  size_t from = (size_t)g_ascii_strtoull (offset, NULL, 10);

  scene->resumes++;
  if (scene->engine == ENGINE_BREAKS_FORGETS || from >= sizeof full_answer)
    web_respond (request, 404, "text/plain", NULL, "", 0);
  else
    web_respond (request, 200, "text/event-stream", NULL, full_answer + from,
                 strlen (full_answer) - from);
}

static void
on_endpoint (void *user, web_request_t *request)
{
  scene_t *scene = user;
  const char *path = web_get_path (request);

  if (scene->engine == ENGINE_STOPPED && scene->starts > 0)
    return;
  if (g_str_has_suffix (path, "/cancel"))
    {
      scene->cancels++;
      web_respond (request, 200, "text/plain", NULL, "", 0);
    }
  else if (g_str_equal (path, "/v1/load"))
    {
      /* Without a report the agent assumes that the engine is idle.  */
      scene->load_requests++;
      if (scene->engine == ENGINE_CUT_REPORT)
        web_respond (request, 200, "application/json", NULL, "{\"run", 5);
      else
        web_respond (request, 404, "text/plain", NULL, "", 0);
    }
  else if (g_str_has_prefix (path, "/v1/streams/"))
    on_resume (scene, request);
  else
    on_start (scene, request);
}

/* ---- router ---- */

void
scene_acknowledge (scene_t *scene, const char *request, uint64_t offset,
                   bool done)
{
  msg_t message = { .kind = MSG_ACK };

  message.u.ack = (msg_ack_t){ request, offset, done };
  (void)peer_hub_send (scene->router, "agent", &message);
}

static void
on_data (scene_t *scene, const msg_data_t *data)
{
  g_assert_cmpuint (data->offset, ==, scene->body->len);
  g_string_append_len (scene->body, (const char *)data->bytes.data,
                       (gssize)data->bytes.length);
  if (scene->is_acknowledging)
    scene_acknowledge (scene, data->request, scene->body->len, false);
}

static void
on_message (void *user, const peer_id_t *peer, const msg_t *message,
            cfd_time_t now)
{
  scene_t *scene = user;

  switch (message->kind)
    {
    case MSG_GRANT:
      scene->grants++;
      scene->last_grant = message->u.grant.grant;
      scene->limit_vt = message->u.grant.limit_vt;
      scene->incarnation = message->u.grant.incarnation;
      break;
    case MSG_NOT_STARTED:
      scene->refusals++;
      break;
    case MSG_HEAD:
      scene->heads++;
      break;
    case MSG_DATA:
      on_data (scene, &message->u.data);
      break;
    case MSG_END:
      scene->ends++;
      scene->last_end = message->u.end;
      break;
    default:
      break;
    }
}

static void
on_up (void *user, const peer_id_t *peer, cfd_time_t now)
{
  ((scene_t *)user)->is_router_up = true;
}

static void
on_down (void *user, const peer_id_t *peer, cfd_time_t now)
{
}

static uint64_t
on_revision (void *user)
{
  return ((scene_t *)user)->router_revision;
}

static const peer_events_t events = {
  .message = on_message, .up = on_up, .down = on_down, .revision = on_revision
};

/* ---- scene ---- */

static void
on_deadline (struct ev_loop *loop, ev_timer *timer, int revents)
{
  ((scene_t *)timer->data)->has_timed_out = true;
}

void
scene_run_loop_ms (scene_t *scene, int ms)
{
  cfd_time_t end = clock_now () + ms;

  while (clock_now () < end)
    ev_run (scene->loop, EVRUN_ONCE);
}

void
scene_connect_router (scene_t *scene, uint64_t incarnation)
{
  g_autofree char *link = address (PORT_LINK);
  peer_hub_options_t self = { .role = ROLE_ROUTER,
                              .instance = "router",
                              .zone = "z",
                              .incarnation = incarnation,
                              .listen = NULL,
                              .secret = SECRET };
  g_autoptr (GError) error = NULL;

  scene->is_router_up = false;
  scene->router
      = peer_hub_new (scene->loop, &self, NULL, &events, scene, &error);
  g_assert_no_error (error);
  peer_hub_set_address (scene->router, "agent", link);
  peer_hub_hold (scene->router, "agent");
}

peer_hub_t *
scene_add_router (scene_t *scene, struct ev_loop *loop, const char *name)
{
  g_autofree char *link = address (PORT_LINK);
  static const peer_events_t only_up
      = { .up = on_up, .revision = on_revision };
  peer_hub_options_t self = { .role = ROLE_ROUTER,
                              .instance = name,
                              .zone = "z",
                              .incarnation = 1,
                              .secret = SECRET };
  g_autoptr (GError) error = NULL;
  peer_hub_t *hub = peer_hub_new (loop, &self, NULL, &only_up, scene, &error);

  g_assert_no_error (error);
  peer_hub_set_address (hub, "agent", link);
  peer_hub_hold (hub, "agent");
  scene->is_router_up = false;
  while (!scene->is_router_up)
    {
      ev_run (loop, EVRUN_NOWAIT);
      ev_run (scene->loop, EVRUN_NOWAIT);
    }
  return hub;
}

scene_t *
scene_new (engine_t engine)
{
  static const web_limits_t limits = { 100000, 64, 30 };
  g_autofree char *platform = address (PORT_PLATFORM);
  g_autofree char *platform_url = g_strconcat ("http://", platform, NULL);
  g_autofree char *endpoint = address (PORT_ENDPOINT);
  g_autofree char *link = address (PORT_LINK);
  g_autofree char *admin = address (PORT_ADMIN);
  cfd_settings_t settings = { .instance = "agent",
                              .zone = "z",
                              .platform = platform_url,
                              .peer_listen = link,
                              .admin_listen = admin,
                              .secret = SECRET,
                              .endpoint = "e",
                              .drain_s = 5 };
  scene_t *scene = g_new0 (scene_t, 1);
  g_autoptr (GError) error = NULL;

  scene->loop = ev_loop_new (0);
  scene->engine = engine;
  scene->zone_state = "in";
  scene->endpoint_state = "in";
  scene->endpoint_revision = 2;
  scene->revision = 3;
  scene->is_acknowledging = true;
  scene->body = g_string_new (NULL);
  ev_timer_init (&scene->deadline, on_deadline, 0, MAX_WAIT_MS / 1000.0);
  scene->deadline.data = scene;
  scene->platform = web_server_new (scene->loop, platform, &limits,
                                    on_platform, scene, &error);
  g_assert_no_error (error);
  scene->endpoint = web_server_new (scene->loop, endpoint, &limits,
                                    on_endpoint, scene, &error);
  g_assert_no_error (error);
  scene->agent = cfd_agent_new (scene->loop, &settings, &error);
  g_assert_no_error (error);
  scene_connect_router (scene, 1);
  SCENE_RUN_UNTIL (scene, scene->is_router_up && scene->watch != NULL
                              && scene->load_requests > 0);
  return scene;
}

void
scene_free (scene_t *scene)
{
  ev_timer_stop (scene->loop, &scene->deadline);
  peer_hub_free (scene->router);
  cfd_agent_free (scene->agent);
  web_server_free (scene->platform);
  web_server_free (scene->endpoint);
  ev_loop_destroy (scene->loop);
  g_string_free (scene->body, TRUE);
  g_free (scene);
}

static void
announce (scene_t *scene, const msg_waiting_t *entries, unsigned count)
{
  msg_t message = { .kind = MSG_ANNOUNCE };

  message.u.announce = (msg_announce_t){ "draft", true, 3000, count, entries };
  g_assert_true (peer_hub_send (scene->router, "agent", &message));
}

void
scene_announce (scene_t *scene, unsigned count)
{
  msg_waiting_t entry = { "acct", count, 0, 0, 0 };

  announce (scene, &entry, 1);
}

void
scene_announce_two_accounts (scene_t *scene, double virtual_time)
{
  msg_waiting_t entries[]
      = { { "acct", 5, 0, 0, 0 }, { "other", 5, 0, 0, virtual_time } };

  announce (scene, entries, G_N_ELEMENTS (entries));
}

void
scene_decline (scene_t *scene, uint64_t grant, double virtual_time)
{
  msg_t message = { .kind = MSG_DECLINE };

  message.u.decline
      = (msg_decline_t){ .grant = grant,
                         .reason = DECLINE_STALE,
                         .service = "draft",
                         .left = { "acct", 5, 0, 0, virtual_time } };
  g_assert_true (peer_hub_send (scene->router, "agent", &message));
}

void
scene_assign (scene_t *scene, const char *request, uint64_t grant,
              uint64_t incarnation)
{
  static const char body[] = "{\"model\":\"draft\",\"stream\":true}";
  static const char *const headers[]
      = { "Authorization: Bearer KEY", "Content-Type: application/json" };
  msg_t message = { .kind = MSG_ASSIGN };

  message.u.assign
      = (msg_assign_t){ .grant = grant,
                        .incarnation = incarnation,
                        .request = request,
                        .account = "acct",
                        .service = "draft",
                        .method = "POST",
                        .path = "/v1/completions",
                        .header_count = 2,
                        .headers = headers,
                        .body = { (const uint8_t *)body, strlen (body) },
                        .cost_hint = 10,
                        .idempotent = true,
                        .left = { "acct", 0, 0, 0, 10 } };
  g_assert_true (peer_hub_send (scene->router, "agent", &message));
}

void
scene_run (scene_t *scene, const char *request)
{
  unsigned before = scene->grants;

  scene_announce (scene, 1);
  SCENE_RUN_UNTIL (scene, scene->grants > before);
  scene_assign (scene, request, scene->last_grant, scene->incarnation);
}
