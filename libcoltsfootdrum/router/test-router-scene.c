#include "router/test-router-scene.h"

#include "base/addr.h"
#include "config/rec.h"

#include <math.h>
#include <string.h>
#include <unistd.h>

/* Hosts of the scene's own net in 127.0.0.0/8, and ports.  */
#define HOST_ROUTER 1u
#define HOST_AGENTS 2u
#define PORT_CALLERS 7000u
#define PORT_LINK 7001u
#define PORT_ADMIN 7002u
#define PORT_PLATFORM 7003u
#define SECRET "secret"
#define KEY "key"
#define WAIT_MS 10000

/* By the process's id, so that runs side by side don't meet.  */
static char *
address (unsigned host, unsigned port)
{
  unsigned pid = (unsigned)getpid ();

  return g_strdup_printf ("127.%u.%u.%u:%u", 64 + pid / 62500 % 64,
                          pid / 250 % 250, 4 * (pid % 50) + host, port);
}

/* ---- the platform ---- */

static char *
objects (const scene_t *scene)
{
  g_autofree char *hash = rec_hash_key_to_hex (KEY);
  g_autofree char *first = address (HOST_AGENTS, 1);
  g_autofree char *second = address (HOST_AGENTS + 1, 1);

  return g_strdup_printf (
      "{\"revision\":%" G_GUINT64_FORMAT ",\"objects\":["
      "{\"kind\":\"client-account\",\"name\":\"a\",\"version\":\"1\","
      "\"revision\":1,\"spec\":{\"schema\":2,\"weight\":1,"
      "\"keys\":[{\"hash\":\"%s\"}],\"queue_max\":3}},"
      "{\"kind\":\"service\",\"name\":\"draft\",\"version\":\"2\","
      "\"revision\":2,\"spec\":{\"schema\":2,\"type\":\"model\",\"rules\":[],"
      "\"classes\":[\"a\"]}},"
      "{\"kind\":\"service\",\"name\":\"register\",\"version\":\"3\","
      "\"revision\":3,\"spec\":{\"schema\":2,\"type\":\"plain\",\"rules\":["
      "{\"method\":\"GET\",\"prefix\":\"/e\",\"idempotent\":true}],"
      "\"classes\":[]}},"
      "{\"kind\":\"endpoint\",\"name\":\"e0\",\"version\":\"4\","
      "\"revision\":4,\"spec\":{\"schema\":2,\"service\":\"draft\","
      "\"zone\":\"z\",\"url\":\"http://%s\","
      "\"slots\":{\"max\":4,\"cold\":2},\"state\":\"in\"}},"
      "{\"kind\":\"endpoint\",\"name\":\"e1\",\"version\":\"5\","
      "\"revision\":5,\"spec\":{\"schema\":2,\"service\":\"%s\","
      "\"zone\":\"z\",\"url\":\"http://%s\","
      "\"slots\":{\"max\":4,\"cold\":2},\"state\":\"in\"}},"
      "{\"kind\":\"availability-zone\",\"name\":\"z\",\"version\":\"6\","
      "\"revision\":%" G_GUINT64_FORMAT ",\"spec\":{\"schema\":2,"
      "\"state\":\"%s\",\"region\":\"r\"}}]}",
      scene->revision, hash, first, scene->agents[1].service, second,
      scene->revision, scene->zone_state);
}

static void
answer_objects (const scene_t *scene, web_request_t *request)
{
  g_autofree char *text = objects (scene);

  web_respond (request, 200, "application/json", NULL, text, strlen (text));
}

static void
answer_instances (web_request_t *request)
{
  g_autofree char *router = address (HOST_ROUTER, PORT_LINK);
  g_autofree char *first = address (HOST_AGENTS, PORT_LINK);
  g_autofree char *second = address (HOST_AGENTS + 1, PORT_LINK);
  g_autofree char *text
      = g_strdup_printf ("{\"instances\":["
                         "{\"name\":\"r\",\"role\":\"router\",\"zone\":\"y\","
                         "\"address\":\"%s\",\"state\":\"live\"},"
                         "{\"name\":\"a0\",\"role\":\"agent\",\"zone\":\"z\","
                         "\"address\":\"%s\",\"state\":\"live\"},"
                         "{\"name\":\"a1\",\"role\":\"agent\",\"zone\":\"z\","
                         "\"address\":\"%s\",\"state\":\"live\"}]}",
                         router, first, second);

  web_respond (request, 200, "application/json", NULL, text, strlen (text));
}

static void
watch_closed (void *user)
{
  ((scene_t *)user)->watch = NULL;
}

static void
on_platform (void *user, web_request_t *request)
{
  scene_t *scene = user;
  const char *path = web_get_path (request);

  if (strcmp (path, "/v1/watch") == 0)
    {
      scene->watch = request;
      web_set_on_closed (request, watch_closed, scene);
    }
  else if (strcmp (path, "/v1/instances") == 0)
    answer_instances (request);
  else
    answer_objects (scene, request);
}

void
scene_zone (scene_t *scene, const char *state)
{
  web_request_t *watch = scene->watch;

  scene->zone_state = state;
  scene->revision++;
  scene->watch = NULL;
  g_assert_nonnull (watch);
  answer_objects (scene, watch);
}

/* ---- the agents ---- */

void
scene_grant (scene_agent_t *agent, const char *account, double limit_vt)
{
  msg_t message = { .kind = MSG_GRANT };

  message.u.grant = (msg_grant_t){ .grant = ++agent->grants,
                                   .incarnation = agent->incarnation,
                                   .service = agent->service,
                                   .account = account,
                                   .limit_vt = limit_vt };
  peer_hub_send (agent->hub, "r", &message);
}

static void
on_announce (scene_agent_t *agent, const msg_announce_t *announce)
{
  for (uint32_t i = 0; i < announce->count; i++)
    if (!agent->silent && announce->entries[i].count > 0
        && strcmp (announce->service, agent->service) == 0)
      scene_grant (agent, announce->entries[i].account, INFINITY);
}

static void
on_message (void *user, const peer_id_t *peer, const msg_t *message,
            cfd_time_t now)
{
  scene_agent_t *agent = user;

  switch (message->kind)
    {
    case MSG_ANNOUNCE:
      on_announce (agent, &message->u.announce);
      return;
    case MSG_ASSIGN:
      g_free (agent->request);
      agent->request = g_strdup (message->u.assign.request);
      agent->assigned++;
      if (message->u.assign.left.count > 0 && !agent->silent)
        scene_grant (agent, message->u.assign.account, INFINITY);
      return;
    case MSG_DECLINE:
      agent->declined = message->u.decline.reason;
      agent->left = message->u.decline.left.count;
      return;
    case MSG_RESUME:
      agent->resumed++;
      agent->resume_offset = message->u.resume.offset;
      agent->resume_head = message->u.resume.head;
      return;
    case MSG_CANCEL:
      agent->cancelled++;
      return;
    case MSG_ACK:
      agent->acked++;
      agent->done += message->u.ack.done;
      return;
    default:
      return;
    }
}

static void
agent_begin (scene_t *scene, unsigned index)
{
  static const peer_events_t events = { .message = on_message };
  static const char *const services[] = { "draft", "register" };
  scene_agent_t *agent = &scene->agents[index];
  g_autofree char *listen = address (HOST_AGENTS + index, PORT_LINK);
  peer_hub_options_t self = { .role = ROLE_AGENT,
                              .instance = agent->name,
                              .zone = "z",
                              .incarnation = 100 + index,
                              .listen = listen,
                              .secret = SECRET };
  g_autoptr (GError) error = NULL;

  *agent = (scene_agent_t){ .scene = scene,
                            .service = services[scene->twins ? 0 : index],
                            .incarnation = self.incarnation };
  g_snprintf (agent->name, sizeof agent->name, "a%u", index);
  agent->hub = peer_hub_new (scene->loop, &self, NULL, &events, agent, &error);
  g_assert_no_error (error);
}

void
scene_head (scene_agent_t *agent, const char *request)
{
  static const char *const headers[] = { "Content-Type: text/plain" };
  msg_t message = { .kind = MSG_HEAD,
                    .u.head = { .request = request,
                                .status = 200,
                                .header_count = 1,
                                .headers = headers } };

  peer_hub_send (agent->hub, "r", &message);
}

void
scene_data (scene_agent_t *agent, const char *request, uint64_t offset,
            const char *text)
{
  msg_t message
      = { .kind = MSG_DATA,
          .u.data = { .request = request,
                      .offset = offset,
                      .bytes = { (const uint8_t *)text, strlen (text) } } };

  peer_hub_send (agent->hub, "r", &message);
}

void
scene_finish (scene_agent_t *agent, const char *request, outcome_t outcome,
              uint64_t length)
{
  msg_t message = { .kind = MSG_END,
                    .u.end = { .request = request,
                               .outcome = outcome,
                               .length = length,
                               .prompt_tokens = 10,
                               .output_tokens = 10,
                               .detail = "" } };

  peer_hub_send (agent->hub, "r", &message);
}

void
scene_not_started (scene_agent_t *agent, const char *request)
{
  msg_t message = { .kind = MSG_NOT_STARTED,
                    .u.not_started = { .request = request, .reason = "" } };

  peer_hub_send (agent->hub, "r", &message);
}

typedef struct
{
  const scene_agent_t *agent;
  unsigned count;
} wanted_t;

static bool
is_assigned (void *user)
{
  const wanted_t *wanted = user;

  return wanted->agent->assigned >= wanted->count;
}

char *
scene_assigned (scene_agent_t *agent, unsigned count)
{
  wanted_t wanted = { agent, count };

  scene_run (agent->scene, is_assigned, &wanted);
  return g_strdup (agent->request);
}

/* ---- the callers ---- */

static void
call_begin (scene_call_t *call, const char *text)
{
  g_autofree char *to = address (HOST_ROUTER, PORT_CALLERS);
  addr_t addr;

  g_assert_true (addr_parse (to, &addr, NULL));
  call->text = g_string_new (NULL);
  call->closed = false;
  call->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (
      connect (call->fd, (struct sockaddr *)&addr.storage, addr.length), ==,
      0);
  g_assert_cmpint (send (call->fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   (int)strlen (text));
}

#define HEAD "Host: h\r\nAuthorization: Bearer " KEY "\r\n"

void
scene_stream (scene_t *scene, scene_call_t *call)
{
  static const char body[] = "{\"model\":\"draft\",\"max_tokens\":10}";
  g_autofree char *text = g_strdup_printf (
      "POST /v1/completions HTTP/1.1\r\n" HEAD "Content-Length: %zu\r\n\r\n%s",
      sizeof body - 1, body);

  call_begin (call, text);
}

void
scene_post (scene_t *scene, scene_call_t *call)
{
  call_begin (call, "POST /services/register/e HTTP/1.1\r\n" HEAD
                    "Content-Length: 1\r\n\r\nx");
}

void
scene_look_up (scene_t *scene, scene_call_t *call)
{
  call_begin (call, "GET /services/register/e HTTP/1.1\r\n" HEAD "\r\n");
}

static void
call_read (scene_call_t *call)
{
  char part[4096];
  ssize_t got = recv (call->fd, part, sizeof part, MSG_DONTWAIT);

  if (got > 0)
    g_string_append_len (call->text, part, got);
  else if (got == 0 || errno != EAGAIN)
    call->closed = true;
}

void
scene_until (scene_t *scene, scene_call_t *call, const char *part)
{
  cfd_time_t limit = clock_now () + WAIT_MS;

  while (strstr (call->text->str, part) == NULL && !call->closed
         && clock_now () < limit)
    {
      ev_run (scene->loop, EVRUN_NOWAIT);
      call_read (call);
    }
}

bool
scene_whole (scene_t *scene, scene_call_t *call)
{
  scene_until (scene, call, "\r\n\r\n");
  /* Problems have a length; all else in these tests comes in chunks.  */
  scene_until (scene, call,
               strstr (call->text->str, "Content-Length:") != NULL
                   ? "}"
                   : "\r\n0\r\n\r\n");
  return !call->closed;
}

void
scene_call_end (scene_call_t *call)
{
  close (call->fd);
  g_string_free (call->text, TRUE);
}

/* ---- all of it ---- */

void
scene_run (scene_t *scene, bool (*holds) (void *user), void *user)
{
  cfd_time_t limit = clock_now () + WAIT_MS;

  while (!holds (user) && clock_now () < limit)
    ev_run (scene->loop, EVRUN_NOWAIT);
  g_assert_true (holds (user));
}

static bool
watches (void *user)
{
  return ((const scene_t *)user)->watch != NULL;
}

static void
begin (scene_t *scene, bool twins)
{
  static const web_limits_t limits = { 100000, 64, 30 };
  g_autofree char *platform = address (HOST_ROUTER, PORT_PLATFORM);
  g_autofree char *url = g_strconcat ("http://", platform, NULL);
  g_autofree char *peers = address (HOST_ROUTER, PORT_LINK);
  g_autofree char *admin = address (HOST_ROUTER, PORT_ADMIN);
  g_autofree char *callers = address (HOST_ROUTER, PORT_CALLERS);
  cfd_settings_t settings = { .instance = (char *)"r",
                              .zone = (char *)"y",
                              .platform = url,
                              .peer_listen = peers,
                              .admin_listen = admin,
                              .secret = (char *)SECRET,
                              .listen = callers,
                              .drain_s = 1,
                              .request_s = 1 };
  g_autoptr (GError) error = NULL;

  *scene = (scene_t){ .zone_state = "in", .twins = twins, .revision = 10 };
  scene->loop = ev_loop_new (EVFLAG_AUTO);
  scene->platform = web_server_new (scene->loop, platform, &limits,
                                    on_platform, scene, &error);
  g_assert_no_error (error);
  for (unsigned i = 0; i < SCENE_AGENTS; i++)
    agent_begin (scene, i);
  scene->router = cfd_router_new (scene->loop, &settings, &error);
  g_assert_no_error (error);
  scene_run (scene, watches, scene);
}

void
scene_begin (scene_t *scene)
{
  begin (scene, false);
}

void
scene_begin_twins (scene_t *scene)
{
  begin (scene, true);
}

void
scene_end (scene_t *scene)
{
  cfd_router_free (scene->router);
  for (unsigned i = 0; i < SCENE_AGENTS; i++)
    {
      peer_hub_free (scene->agents[i].hub);
      g_free (scene->agents[i].request);
    }
  web_server_free (scene->platform);
  ev_loop_destroy (scene->loop);
}
