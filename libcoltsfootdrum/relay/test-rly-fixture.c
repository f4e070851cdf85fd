/* Test fixture of the relay.  */

#include "test-rly-fixture.h"

#include "base/list.h"
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time after which a test fails.  */
#define TIMEOUT_S 30.
#define MAX_HEAD_BYTES 16384

/* A connection at an endpoint.  */
typedef struct
{
  fixture_server_t *server;
  con_t *con;
  rd_t *rd;
  GString *body;
  char *id;
} server_con_t;

static const char *const reserved_fields[] = { "X-Hold", NULL };

static const rly_names_t names = {
  .request_id = "X-Id",
  .deadline_ms = "X-Deadline",
  .account = "X-Account",
  .expect_endpoint = "X-Expect",
  .not_run = "X-Not-Run",
  .response_stamp = "X-Stamp",
  .prompt = "X-Prompt",
  .token_counts = "X-Tokens",
  .length_hint = "X-Hint",
  .fetch_from = "X-Fetch",
  .last_event = "Last-Event-Id",
  .key_scheme = "Bearer",
  .reserved_fields = reserved_fields,
};

static void
server_con_free (server_con_t *server_con)
{
  g_ptr_array_remove_fast (server_con->server->fixture->server_cons,
                           server_con);
  con_free (server_con->con);
  rd_free (server_con->rd);
  g_string_free (server_con->body, TRUE);
  g_free (server_con->id);
  g_free (server_con);
}

static bool
on_head (void *user, rd_head_t *head)
{
  server_con_t *server_con = user;
  GString *last_request = server_con->server->fixture->last_request;

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
reply (server_con_t *server_con)
{
  fixture_t *fixture = server_con->server->fixture;
  unsigned turn = MIN (fixture->requests_received, fixture->reply_count - 1);
  const fixture_reply_t *next = &fixture->replies[turn];
  g_autofree char *text = NULL;
  g_auto (GStrv) parts = NULL;

  fixture->requests_received++;
  server_con->server->requests++;
  if (next->bytes == NULL)
    return;
  parts = g_strsplit (next->bytes, "%I", -1);
  text = g_strjoinv (server_con->id != NULL ? server_con->id : "", parts);
  con_write (server_con->con, text, strlen (text));
  if (next->then == FIXTURE_CLOSE)
    con_shutdown_after_flush (server_con->con);
}

static bool
must_reset (const fixture_t *fixture)
{
  unsigned turn
      = MIN (fixture->requests_received - 1, fixture->reply_count - 1);

  return fixture->replies[turn].then == FIXTURE_RESET;
}

static void
on_bytes (void *user, const char *bytes, size_t length)
{
  server_con_t *server_con = user;
  fixture_t *fixture = server_con->server->fixture;

  while (length > 0)
    {
      size_t used = 0;

      if (rd_feed (server_con->rd, bytes, length, &used) != RD_COMPLETE)
        return;
      bytes += used;
      length -= used;
      g_string_append_printf (fixture->last_request, "|body=%s",
                              server_con->body->str);
      g_string_truncate (server_con->body, 0);
      reply (server_con);
      rd_reset (server_con->rd);
      if (!must_reset (fixture))
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

  server_con->server->fixture->closed_connections++;
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
  server_con->body = g_string_new (NULL);
  server_con->rd = rd_new (RD_REQUESTS, MAX_HEAD_BYTES, &reader, server_con);
  server_con->con = con_new_accepted (loop, fd, &wire, server_con);
  g_ptr_array_add (server_con->server->fixture->server_cons, server_con);
}

static void
open_server (fixture_t *fixture, fixture_server_t *server)
{
  struct sockaddr_in addr = { 0 };
  socklen_t length = sizeof addr;
  int fd = addr_listen ("127.0.0.1:0", NULL);

  g_assert_cmpint (fd, >=, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *)&addr, &length), ==, 0);
  server->fixture = fixture;
  server->port = ntohs (addr.sin_port);
  ev_io_init (&server->listener, on_accept, fd, EV_READ);
  server->listener.data = server;
  ev_io_start (fixture->loop, &server->listener);
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

/* Returns a port without a listener.  */
static unsigned
find_unused_port (void)
{
  struct sockaddr_in addr = { 0 };
  socklen_t length = sizeof addr;
  int fd = addr_listen ("127.0.0.1:0", NULL);

  getsockname (fd, (struct sockaddr *)&addr, &length);
  close (fd);
  return ntohs (addr.sin_port);
}

void
fixture_list_endpoints (fixture_t *fixture, unsigned hidden, bool dead,
                        unsigned slots)
{
  GPtrArray *reports = g_ptr_array_new ();

  for (unsigned i = hidden; i < FIXTURE_ENDPOINTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%u", i);

      g_ptr_array_add (reports, report (id, fixture->servers[i].port, slots));
    }
  if (dead)
    g_ptr_array_add (reports, report ("dead", find_unused_port (), slots));
  edp_set_update (fixture->endpoints, clock_now (), reports, true, 0);
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
  route->timeout_ms = 30000;
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
  add_route (table, "/once/", RTE_ONCE, 1, false);
  add_route (table, "/events/", RTE_STREAM, 2, true);
  add_route (table, "/events-once/", RTE_STREAM, 1, false);
  add_route (table, "/slow/", RTE_IDEMPOTENT, 1, false)->target_latency_ms
      = 10000;
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
  fixture_t *fixture = timer->data;
  cfd_time_t now = clock_now ();

  rly_tick (fixture->rly, now);
  ent_tick (fixture->ent, now);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  ((fixture_t *)timer->data)->timed_out = true;
}

fixture_t *
fixture_new (const fixture_reply_t *replies, unsigned count, unsigned slots)
{
  static const ent_ops_t front = { rly_on_request, rly_on_disconnect };
  static const rly_settings_t bounds = { .retry_window_ms = 10000,
                                         .retry_ratio = 0.2,
                                         .retry_slack = 50.,
                                         .share_window_ms = 4000 };
  fixture_t *fixture = g_new0 (fixture_t, 1);
  g_autoptr (rte_table_t) table = make_table ();

  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->replies = replies;
  fixture->reply_count = count;
  fixture->last_request = g_string_new (NULL);
  fixture->server_cons = g_ptr_array_new ();
  fixture->endpoints = edp_set_new (fixture->loop);
  fixture->use = use_new (bounds.share_window_ms);
  fixture->pfx = pfx_new ();
  fixture->ret = ret_new ();
  fixture->rly = rly_new (fixture->loop, &names, &bounds, fixture->endpoints,
                          fixture->use, fixture->pfx, fixture->ret);
  fixture->ent
      = ent_new (fixture->loop, "127.0.0.1:0", &front, fixture->rly, NULL);
  g_assert_nonnull (fixture->ent);
  for (unsigned i = 0; i < FIXTURE_ENDPOINTS; i++)
    open_server (fixture, &fixture->servers[i]);
  rly_set_table (fixture->rly, table);
  fixture_list_endpoints (fixture, 0, false, slots);
  ev_timer_init (&fixture->tick, on_tick, 0., RLY_TICK_MS / 1000.);
  fixture->tick.data = fixture;
  ev_timer_start (fixture->loop, &fixture->tick);
  return fixture;
}

void
fixture_free (fixture_t *fixture)
{
  g_autoptr (GPtrArray) server_cons = NULL;

  ev_timer_stop (fixture->loop, &fixture->tick);
  rly_free (fixture->rly);
  ent_free (fixture->ent);
  edp_set_free (fixture->endpoints);
  server_cons = g_steal_pointer (&fixture->server_cons);
  fixture->server_cons = g_ptr_array_new ();
  for (guint i = 0; i < server_cons->len; i++)
    server_con_free (g_ptr_array_index (server_cons, i));
  for (unsigned i = 0; i < FIXTURE_ENDPOINTS; i++)
    {
      ev_io_stop (fixture->loop, &fixture->servers[i].listener);
      close (fixture->servers[i].listener.fd);
    }
  use_free (fixture->use);
  pfx_free (fixture->pfx);
  ret_free (fixture->ret);
  ev_loop_destroy (fixture->loop);
  g_ptr_array_unref (fixture->server_cons);
  g_string_free (fixture->last_request, TRUE);
  g_free (fixture);
}

static void
on_caller_bytes (void *user, const char *bytes, size_t length)
{
  g_string_append_len (((fixture_caller_t *)user)->text, bytes,
                       (gssize)length);
}

static void
on_caller_ended (void *user, con_end_t end)
{
  ((fixture_caller_t *)user)->ended = true;
}

fixture_caller_t *
fixture_send_request (fixture_t *fixture, const char *bytes)
{
  static const con_ops_t wire
      = { .bytes = on_caller_bytes, .ended = on_caller_ended };
  fixture_caller_t *caller = g_new0 (fixture_caller_t, 1);
  g_autofree char *text
      = g_strdup_printf ("127.0.0.1:%u", ent_get_port (fixture->ent));
  addr_t addr;

  g_assert_true (addr_parse (text, &addr, NULL));
  caller->text = g_string_new (NULL);
  caller->con = con_new_outbound (fixture->loop, &addr, &wire, caller);
  g_assert_nonnull (caller->con);
  con_write (caller->con, bytes, strlen (bytes));
  return caller;
}

void
fixture_caller_free (fixture_caller_t *caller)
{
  con_free (caller->con);
  g_string_free (caller->text, TRUE);
  g_free (caller);
}

void
fixture_run (fixture_t *fixture, bool (*done) (void *user), void *user)
{
  fixture->timed_out = false;
  ev_timer_init (&fixture->timeout, on_timeout, TIMEOUT_S, 0.);
  fixture->timeout.data = fixture;
  ev_timer_start (fixture->loop, &fixture->timeout);
  while (!done (user) && !fixture->timed_out)
    ev_run (fixture->loop, EVRUN_ONCE);
  ev_timer_stop (fixture->loop, &fixture->timeout);
  g_assert_false (fixture->timed_out);
}

typedef struct
{
  fixture_caller_t *caller;
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
fixture_wait_for (fixture_t *fixture, fixture_caller_t *caller,
                  const char *text)
{
  expectation_t expectation = { caller, text };

  fixture_run (fixture, has_text_or_ended, &expectation);
}
