#include "router/test-router-fixture.h"

#include "base/addr.h"
#include "config/rec.h"

#include <math.h>
#include <string.h>
#include <unistd.h>

/* Hosts in the fixture's own subnet of 127.0.0.0/8, and ports.  */
#define HOST_ROUTER 1u
#define HOST_AGENTS 2u
#define PORT_CALLERS 7000u
#define PORT_LINK 7001u
#define PORT_ADMIN 7002u
#define PORT_PLATFORM 7003u
#define SECRET "secret"
#define KEY "key"
#define WAIT_MS 10000

/* Derived from the process id, so that concurrent runs do not collide.  */
static char *
address (unsigned host, unsigned port)
{
  unsigned pid = (unsigned)getpid ();

  return g_strdup_printf ("127.%u.%u.%u:%u", 64 + pid / 12500 % 64,
                          pid / 50 % 250, 4 * (pid % 50) + host, port);
}

/* ---- the platform ---- */

static char *
format_objects (const fixture_t *fixture)
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
      fixture->revision, hash, first, fixture->agents[1].service, second,
      fixture->revision, fixture->zone_state);
}

static void
answer_objects (const fixture_t *fixture, web_request_t *request)
{
  g_autofree char *text = format_objects (fixture);

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
on_watch_closed (void *user)
{
  ((fixture_t *)user)->watch = NULL;
}

static void
on_platform_request (void *user, web_request_t *request)
{
  fixture_t *fixture = user;
  const char *path = web_get_path (request);

  if (strcmp (path, "/v1/watch") == 0)
    {
      fixture->watch = request;
      web_set_on_closed (request, on_watch_closed, fixture);
    }
  else if (strcmp (path, "/v1/instances") == 0)
    answer_instances (request);
  else
    answer_objects (fixture, request);
}

void
fixture_set_zone_state (fixture_t *fixture, const char *state)
{
  web_request_t *watch = fixture->watch;

  fixture->zone_state = state;
  fixture->revision++;
  fixture->watch = NULL;
  g_assert_nonnull (watch);
  answer_objects (fixture, watch);
}

/* ---- the agents ---- */

void
agent_send_grant (fake_agent_t *agent, const char *account, double limit_vt)
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
on_announce (fake_agent_t *agent, const msg_announce_t *announce)
{
  for (uint32_t i = 0; i < announce->count; i++)
    if (!agent->withholds_grants && announce->entries[i].count > 0
        && strcmp (announce->service, agent->service) == 0)
      agent_send_grant (agent, announce->entries[i].account, INFINITY);
}

static void
on_message (void *user, const peer_id_t *peer, const msg_t *message,
            cfd_time_t now)
{
  fake_agent_t *agent = user;

  switch (message->kind)
    {
    case MSG_ANNOUNCE:
      on_announce (agent, &message->u.announce);
      return;
    case MSG_ASSIGN:
      g_free (agent->request);
      agent->request = g_strdup (message->u.assign.request);
      agent->assigned++;
      if (message->u.assign.left.count > 0 && !agent->withholds_grants)
        agent_send_grant (agent, message->u.assign.account, INFINITY);
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
agent_begin (fixture_t *fixture, unsigned index)
{
  static const peer_events_t events = { .message = on_message };
  static const char *const services[] = { "draft", "register" };
  fake_agent_t *agent = &fixture->agents[index];
  g_autofree char *listen = address (HOST_AGENTS + index, PORT_LINK);
  peer_hub_options_t self = { .role = ROLE_AGENT,
                              .instance = agent->name,
                              .zone = "z",
                              .incarnation = 100 + index,
                              .listen = listen,
                              .secret = SECRET };
  g_autoptr (GError) error = NULL;

  *agent
      = (fake_agent_t){ .fixture = fixture,
                        .service = services[fixture->same_service ? 0 : index],
                        .incarnation = self.incarnation };
  g_snprintf (agent->name, sizeof agent->name, "a%u", index);
  agent->hub
      = peer_hub_new (fixture->loop, &self, NULL, &events, agent, &error);
  g_assert_no_error (error);
}

void
agent_send_head_with (fake_agent_t *agent, const char *request,
                      unsigned status, const char *header)
{
  msg_t message = { .kind = MSG_HEAD,
                    .u.head = { .request = request,
                                .status = status,
                                .header_count = 1,
                                .headers = &header } };

  peer_hub_send (agent->hub, "r", &message);
}

void
agent_send_head (fake_agent_t *agent, const char *request)
{
  agent_send_head_with (agent, request, 200, "Content-Type: text/plain");
}

void
agent_send_data (fake_agent_t *agent, const char *request, uint64_t offset,
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
agent_send_end (fake_agent_t *agent, const char *request, outcome_t outcome,
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
agent_send_not_started (fake_agent_t *agent, const char *request)
{
  msg_t message = { .kind = MSG_NOT_STARTED,
                    .u.not_started = { .request = request, .reason = "" } };

  peer_hub_send (agent->hub, "r", &message);
}

typedef struct
{
  const fake_agent_t *agent;
  unsigned count;
} assignment_wait_t;

static bool
is_assigned (void *user)
{
  const assignment_wait_t *wait = user;

  return wait->agent->assigned >= wait->count;
}

char *
agent_await_assignment (fake_agent_t *agent, unsigned count)
{
  assignment_wait_t wait = { agent, count };

  fixture_run_until (agent->fixture, is_assigned, &wait);
  return g_strdup (agent->request);
}

/* ---- the callers ---- */

static void
call_begin (call_t *call, const char *text)
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
call_post_completion (fixture_t *fixture, call_t *call)
{
  static const char body[] = "{\"model\":\"draft\",\"max_tokens\":10}";
  g_autofree char *text = g_strdup_printf (
      "POST /v1/completions HTTP/1.1\r\n" HEAD "Content-Length: %zu\r\n\r\n%s",
      sizeof body - 1, body);

  call_begin (call, text);
}

void
call_post_register (fixture_t *fixture, call_t *call)
{
  call_begin (call, "POST /services/register/e HTTP/1.1\r\n" HEAD
                    "Content-Length: 1\r\n\r\nx");
}

void
call_get_register (fixture_t *fixture, call_t *call)
{
  call_begin (call, "GET /services/register/e HTTP/1.1\r\n" HEAD "\r\n");
}

static void
call_read (call_t *call)
{
  char part[4096];
  ssize_t got = recv (call->fd, part, sizeof part, MSG_DONTWAIT);

  if (got > 0)
    g_string_append_len (call->text, part, got);
  else if (got == 0 || errno != EAGAIN)
    call->closed = true;
}

void
call_read_until (fixture_t *fixture, call_t *call, const char *part)
{
  cfd_time_t limit = clock_now () + WAIT_MS;

  while (strstr (call->text->str, part) == NULL && !call->closed
         && clock_now () < limit)
    {
      ev_run (fixture->loop, EVRUN_NOWAIT);
      call_read (call);
    }
}

bool
call_read_answer (fixture_t *fixture, call_t *call)
{
  call_read_until (fixture, call, "\r\n\r\n");
  /* Problem documents have a length; all other answers in these tests are
     chunked.  */
  call_read_until (fixture, call,
                   strstr (call->text->str, "Content-Length:") != NULL
                       ? "}"
                       : "\r\n0\r\n\r\n");
  return !call->closed;
}

void
call_end (call_t *call)
{
  close (call->fd);
  g_string_free (call->text, TRUE);
}

/* ---- the fixture ---- */

void
fixture_run_until (fixture_t *fixture, bool (*condition) (void *user),
                   void *user)
{
  cfd_time_t limit = clock_now () + WAIT_MS;

  while (!condition (user) && clock_now () < limit)
    ev_run (fixture->loop, EVRUN_NOWAIT);
  g_assert_true (condition (user));
}

static bool
has_watch (void *user)
{
  return ((const fixture_t *)user)->watch != NULL;
}

static void
begin_with (fixture_t *fixture, bool same_service, unsigned request_s)
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
                              .request_s = request_s };
  g_autoptr (GError) error = NULL;

  *fixture = (fixture_t){ .zone_state = "in",
                          .same_service = same_service,
                          .revision = 10 };
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->platform = web_server_new (fixture->loop, platform, &limits,
                                      on_platform_request, fixture, &error);
  g_assert_no_error (error);
  for (unsigned i = 0; i < FAKE_AGENTS; i++)
    agent_begin (fixture, i);
  fixture->router = cfd_router_new (fixture->loop, &settings, &error);
  g_assert_no_error (error);
  fixture_run_until (fixture, has_watch, fixture);
}

void
fixture_begin (fixture_t *fixture)
{
  begin_with (fixture, false, 1);
}

void
fixture_begin_same_service (fixture_t *fixture, unsigned request_s)
{
  begin_with (fixture, true, request_s);
}

void
fixture_end (fixture_t *fixture)
{
  cfd_router_free (fixture->router);
  for (unsigned i = 0; i < FAKE_AGENTS; i++)
    {
      peer_hub_free (fixture->agents[i].hub);
      g_free (fixture->agents[i].request);
    }
  web_server_free (fixture->platform);
  ev_loop_destroy (fixture->loop);
}
