/* Test fixture of the relay.  */

#include "test-rly-scene.h"

#include "base/list.h"
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time after which a test fails.  */
#define TIMEOUT_S 30.
#define MAX_HEAD_BYTES 16384
/* SCENE_REPEAT: interval of writes, and the output that is kept buffered.  */
#define REPEAT_INTERVAL_MS 1
#define REPEAT_BUFFER_BYTES 262144u

/* A connection at an endpoint.  */
typedef struct
{
  scene_server_t *server;
  con_t *con;
  rd_t *rd;
  GString *body;
  char *id;
  ev_timer repeater;
  GString *repeated; /* a multiple of the text to repeat; NULL: none */
} server_con_t;

static const char *const reserved_fields[] = { "X-Hold", NULL };

static const rly_names_t names = {
  .request_id = "X-Id",
  .deadline_ms = "X-Deadline",
  .account = "X-Account",
  .expect_endpoint = "X-Expect",
  .not_run = "X-Not-Run",
  .leaving = "X-Leaving",
  .response_stamp = "X-Stamp",
  .prompt = "X-Prompt",
  .token_counts = "X-Tokens",
  .length_hint = "X-Hint",
  .fetch_from = "X-Fetch",
  .last_event = "Last-Event-Id",
  .resumes = "X-Resumes",
  .key_scheme = "Bearer",
  .reserved_fields = reserved_fields,
};

static void
server_con_free (server_con_t *server_con)
{
  g_ptr_array_remove_fast (server_con->server->scene->server_cons, server_con);
  ev_timer_stop (server_con->server->scene->loop, &server_con->repeater);
  con_free (server_con->con);
  rd_free (server_con->rd);
  g_string_free (server_con->body, TRUE);
  if (server_con->repeated != NULL)
    g_string_free (server_con->repeated, TRUE);
  g_free (server_con->id);
  g_free (server_con);
}

static bool
on_head (void *user, rd_head_t *head)
{
  server_con_t *server_con = user;
  GString *last_request = server_con->server->scene->last_request;

  g_free (server_con->id);
  server_con->id = g_strdup (hdr_get (&head->fields, "X-Id"));
  g_string_printf (last_request, "%s %s", head->method, head->target);
  for (guint i = 0; i < hdr_count (&head->fields); i++)
    g_string_append_printf (last_request, "|%s=%s",
                            hdr_get_name (&head->fields, i),
                            hdr_get_value (&head->fields, i));
  return true;
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  g_string_append_len (((server_con_t *)user)->body, bytes, (gssize)length);
}

static void
on_repeat (struct ev_loop *loop, ev_timer *timer, int events)
{
  server_con_t *server_con = timer->data;
  const GString *text = server_con->repeated;

  if (con_get_unsent_bytes (server_con->con) >= REPEAT_BUFFER_BYTES)
    return;
  con_write (server_con->con, text->str, text->len);
  server_con->server->scene->repeated_bytes += text->len;
}

/* Sends TEXT until the peer closes the connection.  */
static void
start_repeating (server_con_t *server_con, const char *text)
{
  server_con->repeated = g_string_new (NULL);
  while (server_con->repeated->len < REPEAT_BUFFER_BYTES)
    g_string_append (server_con->repeated, text);
  server_con->repeater.data = server_con;
  ev_timer_start (server_con->server->scene->loop, &server_con->repeater);
}

static void
reply (server_con_t *server_con)
{
  scene_t *scene = server_con->server->scene;
  unsigned index = MIN (scene->requests_received, scene->reply_count - 1);
  const scene_reply_t *next = &scene->replies[index];
  g_autofree char *text = NULL;
  g_auto (GStrv) parts = NULL;

  scene->requests_received++;
  server_con->server->requests++;
  if (next->bytes == NULL)
    return;
  parts = g_strsplit (next->bytes, "%I", -1);
  text = g_strjoinv (server_con->id != NULL ? server_con->id : "", parts);
  con_write (server_con->con, text, strlen (text));
  if (next->then == SCENE_CLOSE)
    con_shutdown_after_flush (server_con->con);
  if (next->then == SCENE_REPEAT)
    start_repeating (server_con, scene->repeat);
}

static bool
must_reset (const scene_t *scene)
{
  unsigned index = MIN (scene->requests_received - 1, scene->reply_count - 1);

  return scene->replies[index].then == SCENE_RESET;
}

static void
on_bytes (void *user, const char *bytes, size_t length)
{
  server_con_t *server_con = user;
  scene_t *scene = server_con->server->scene;

  while (length > 0)
    {
      size_t used = 0;

      if (rd_feed (server_con->rd, bytes, length, &used) != RD_COMPLETE)
        return;
      bytes += used;
      length -= used;
      g_string_append_printf (scene->last_request, "|body=%s",
                              server_con->body->str);
      g_string_truncate (server_con->body, 0);
      reply (server_con);
      rd_reset (server_con->rd);
      if (!must_reset (scene))
        continue;
      con_abort (server_con->con);
      server_con->con = NULL;
      server_con_free (server_con);
      return;
    }
}

static void
on_ended (void *user, con_end_t end)
{
  server_con_t *server_con = user;

  server_con->server->scene->closed_connections++;
  server_con_free (server_con);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  static const con_ops_t wire = { .bytes = on_bytes, .ended = on_ended };
  static const rd_ops_t reader = { on_head, on_body };
  int fd = accept4 (watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  server_con_t *server_con;

  if (fd < 0)
    return;
  server_con = g_new0 (server_con_t, 1);
  server_con->server = watcher->data;
  ev_timer_init (&server_con->repeater, on_repeat, 0.,
                 REPEAT_INTERVAL_MS / 1000.);
  server_con->body = g_string_new (NULL);
  server_con->rd = rd_new (RD_REQUESTS, MAX_HEAD_BYTES, &reader, server_con);
  server_con->con = con_new_accepted (loop, fd, &wire, server_con);
  con_set_read_paused (server_con->con, server_con->server->reads_nothing);
  g_ptr_array_add (server_con->server->scene->server_cons, server_con);
}

static void
open_server (scene_t *scene, scene_server_t *server)
{
  struct sockaddr_in addr = { 0 };
  socklen_t length = sizeof addr;
  int fd = addr_listen ("127.0.0.1:0", NULL);

  g_assert_cmpint (fd, >=, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *)&addr, &length), ==, 0);
  server->scene = scene;
  server->port = ntohs (addr.sin_port);
  ev_io_init (&server->listener, on_accept, fd, EV_READ);
  server->listener.data = server;
  ev_io_start (scene->loop, &server->listener);
}

static edp_report_t *
report (const char *id, unsigned port, unsigned slots)
{
  edp_report_t *one = g_new0 (edp_report_t, 1);

  one->id = g_strdup (id);
  one->service = g_strdup ("app");
  one->address = g_strdup_printf ("127.0.0.1:%u", port);
  one->zone = g_strdup ("z");
  one->slots = slots;
  return one;
}

/* Returns a port without a listener, which no other process gets until the
   scene's end.  */
static unsigned
reserve_port (scene_t *scene)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof addr;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  g_assert_cmpint (bind (fd, (struct sockaddr *)&addr, length), ==, 0);
  getsockname (fd, (struct sockaddr *)&addr, &length);
  g_array_append_val (scene->reserved_fds, fd);
  return ntohs (addr.sin_port);
}

void
scene_list_endpoints (scene_t *scene, unsigned hidden, bool unreachable,
                      unsigned slots)
{
  GPtrArray *reports = g_ptr_array_new ();

  for (unsigned i = hidden; i < SCENE_ENDPOINTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%u", i);

      g_ptr_array_add (reports, report (id, scene->servers[i].port, slots));
    }
  if (unreachable)
    g_ptr_array_add (reports, report ("dead", reserve_port (scene), slots));
  edp_set_update (scene->endpoints, clock_now (), reports, true, 0);
}

void
scene_list_dead (scene_t *scene, unsigned count)
{
  GPtrArray *reports = g_ptr_array_new ();

  g_ptr_array_add (reports,
                   report ("e1", scene->servers[SCENE_ENDPOINTS - 1].port, 1));
  for (unsigned i = 0; i < count; i++)
    {
      g_autofree char *id = g_strdup_printf ("dead-%u", i);

      g_ptr_array_add (reports, report (id, reserve_port (scene), 1));
    }
  edp_set_update (scene->endpoints, clock_now (), reports, true, 0);
}

void
scene_register_version (scene_t *scene)
{
  org_begin_register (scene->org);
  org_register_version (scene->org, "app", NULL);
  org_end_register (scene->org, clock_now (), true);
  org_set_knows_versions (scene->org, true);
}

static rte_route_t *
add_route (rte_table_t *table, const char *prefix, rte_kind_t kind,
           unsigned attempts, bool resumable)
{
  rte_route_t *route = rte_route_new ();

  route->name = g_strdup (prefix);
  route->host = g_strdup ("h");
  route->prefix = g_strdup (prefix);
  route->kind = kind;
  route->max_attempts = attempts;
  route->resumable = resumable;
  route->target_latency_ms = 300;
  route->timeout_ms = SCENE_TIMEOUT_MS;
  rte_route_add_traffic_share (route, "app", 1.);
  rte_table_add_route (table, route);
  return route;
}

/* Adds a service whose engines copy 1,000 tokens of cache in about a
   millisecond.  */
static void
add_service (rte_table_t *table)
{
  rte_service_t *service = g_new0 (rte_service_t, 1);

  service->name = g_strdup ("app");
  service->bytes_per_token = 125000.;
  service->link_mbps = 1e6;
  rte_table_add_service (table, service);
}

static rte_table_t *
make_table (void)
{
  static const char *const mill[] = { "key-of-the-mill", NULL };
  static const char *const press[] = { "key-of-the-press", NULL };
  static const char *const *const keys[] = { mill, press };
  static const char *const accounts[] = { "mill", "press" };
  rte_limits_t limits = { 0 };
  rte_table_t *table = rte_table_new (1, &limits);

  add_route (table, "/twice/", RTE_IDEMPOTENT, 2, false);
  add_route (table, "/thrice/", RTE_IDEMPOTENT, 3, false);
  add_route (table, "/once/", RTE_ONCE, 1, false);
  add_route (table, "/events/", RTE_STREAM, 2, true)->max_pause_ms
      = SCENE_MAX_PAUSE_MS;
  add_route (table, "/events-once/", RTE_STREAM, 1, false);
  rte_route_add_traffic_share (
      add_route (table, "/split/", RTE_STREAM, 2, true), "other", 0.);
  add_route (table, "/slow/", RTE_IDEMPOTENT, 1, false)->target_latency_ms
      = 10000;
  add_route (table, "/brief/", RTE_IDEMPOTENT, 1, false)->timeout_ms
      = SCENE_BRIEF_TIMEOUT_MS;
  add_service (table);
  for (unsigned i = 0; i < G_N_ELEMENTS (accounts); i++)
    {
      rte_account_t *account = g_new0 (rte_account_t, 1);

      account->name = g_strdup (accounts[i]);
      account->rank = -1;
      rte_table_add_account (table, account, keys[i]);
    }
  return table;
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  scene_t *scene = timer->data;
  cfd_time_t now = clock_now ();

  rly_tick (scene->rly, now);
  ent_tick (scene->ent, now);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  ((scene_t *)timer->data)->timed_out = true;
}

scene_t *
scene_new (const scene_reply_t *replies, unsigned count, unsigned slots)
{
  static const ent_ops_t front = { .request = rly_on_request,
                                   .disconnected = rly_on_disconnect,
                                   .account = rly_on_head };
  static const rly_settings_t bounds = { .retry_window_ms = 10000,
                                         .retry_ratio = 0.2,
                                         .retry_slack = 50.,
                                         .share_window_ms = 4000 };
  scene_t *scene = g_new0 (scene_t, 1);
  g_autoptr (rte_table_t) table = make_table ();

  scene->loop = ev_loop_new (EVFLAG_AUTO);
  scene->replies = replies;
  scene->reply_count = count;
  scene->last_request = g_string_new (NULL);
  scene->server_cons = g_ptr_array_new ();
  scene->reserved_fds = g_array_new (FALSE, FALSE, sizeof (int));
  scene->endpoints = edp_set_new (scene->loop);
  scene->use = use_new (bounds.share_window_ms);
  scene->pfx = pfx_new ();
  scene->ret = ret_new ();
  scene->rly = rly_new (scene->loop, &names, &bounds, scene->endpoints,
                        scene->use, scene->pfx, scene->ret);
  scene->org = org_new ();
  rly_set_origins (scene->rly, scene->org);
  scene->qua = qua_new ();
  rly_set_quarantine (scene->rly, scene->qua);
  scene->prt = prt_new ("router");
  rly_set_parts (scene->rly, scene->prt);
  scene->ent = ent_new (scene->loop, "127.0.0.1:0", &front, scene->rly, NULL);
  g_assert_nonnull (scene->ent);
  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    open_server (scene, &scene->servers[i]);
  rly_set_table (scene->rly, table, clock_now ());
  scene_list_endpoints (scene, 0, false, slots);
  ev_timer_init (&scene->tick, on_tick, 0., RLY_TICK_MS / 1000.);
  scene->tick.data = scene;
  ev_timer_start (scene->loop, &scene->tick);
  return scene;
}

void
scene_close_connections (scene_t *scene)
{
  g_autoptr (GPtrArray) server_cons = g_steal_pointer (&scene->server_cons);

  scene->server_cons = g_ptr_array_new ();
  for (guint i = 0; i < server_cons->len; i++)
    server_con_free (g_ptr_array_index (server_cons, i));
}

void
scene_free (scene_t *scene)
{
  ev_timer_stop (scene->loop, &scene->tick);
  rly_free (scene->rly);
  ent_free (scene->ent);
  edp_set_free (scene->endpoints);
  scene_close_connections (scene);
  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    {
      ev_io_stop (scene->loop, &scene->servers[i].listener);
      close (scene->servers[i].listener.fd);
    }
  use_free (scene->use);
  pfx_free (scene->pfx);
  ret_free (scene->ret);
  org_free (scene->org);
  qua_free (scene->qua);
  prt_free (scene->prt);
  ev_loop_destroy (scene->loop);
  for (guint i = 0; i < scene->reserved_fds->len; i++)
    close (g_array_index (scene->reserved_fds, int, i));
  g_array_unref (scene->reserved_fds);
  g_ptr_array_unref (scene->server_cons);
  g_string_free (scene->last_request, TRUE);
  g_free (scene);
}

void
scene_answer (scene_t *scene, const char *bytes)
{
  for (guint i = 0; i < scene->server_cons->len; i++)
    {
      server_con_t *server_con = g_ptr_array_index (scene->server_cons, i);

      if (server_con->id != NULL)
        con_write (server_con->con, bytes, strlen (bytes));
    }
}

static void
on_caller_bytes (void *user, const char *bytes, size_t length)
{
  g_string_append_len (((scene_caller_t *)user)->text, bytes, (gssize)length);
}

static void
on_caller_ended (void *user, con_end_t end)
{
  ((scene_caller_t *)user)->ended = true;
}

scene_caller_t *
scene_send_request (scene_t *scene, const char *bytes)
{
  static const con_ops_t wire
      = { .bytes = on_caller_bytes, .ended = on_caller_ended };
  scene_caller_t *caller = g_new0 (scene_caller_t, 1);
  g_autofree char *text
      = g_strdup_printf ("127.0.0.1:%u", ent_get_port (scene->ent));
  addr_t addr;

  g_assert_true (addr_parse (text, &addr, NULL));
  caller->text = g_string_new (NULL);
  caller->con = con_new_outbound (scene->loop, &addr, &wire, caller);
  g_assert_nonnull (caller->con);
  con_write (caller->con, bytes, strlen (bytes));
  return caller;
}

void
scene_caller_free (scene_caller_t *caller)
{
  con_free (caller->con);
  g_string_free (caller->text, TRUE);
  g_free (caller);
}

void
scene_run (scene_t *scene, bool (*done) (void *user), void *user)
{
  scene->timed_out = false;
  ev_timer_init (&scene->timeout, on_timeout, TIMEOUT_S, 0.);
  scene->timeout.data = scene;
  ev_timer_start (scene->loop, &scene->timeout);
  while (!done (user) && !scene->timed_out)
    ev_run (scene->loop, EVRUN_ONCE);
  ev_timer_stop (scene->loop, &scene->timeout);
  g_assert_false (scene->timed_out);
}

typedef struct
{
  scene_caller_t *caller;
  const char *text;
} expectation_t;

static bool
has_text_or_ended (void *user)
{
  const expectation_t *expectation = user;

  if (expectation->text == NULL)
    return expectation->caller->ended;
  return strstr (expectation->caller->text->str, expectation->text) != NULL
         || expectation->caller->ended;
}

void
scene_wait_for (scene_t *scene, scene_caller_t *caller, const char *text)
{
  expectation_t expectation = { caller, text };

  scene_run (scene, has_text_or_ended, &expectation);
}
