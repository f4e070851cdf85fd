/* An unreadable entry among the servers.

   Another writer leaves an entry in the list of servers whose service can't be
   read.  Then a server leaves as planned: it reports that it drains, serves on
   for a while and exits.  The routers must not send it anything new later than
   drain_ms after the store acknowledged its report.

   After that both routers are restarted as planned, one after the other.  What
   is served then is recorded, and not judged.  */

#include "../common/stage.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS 3
#define DRAIN_MS 2000
/* For which a leaving server serves on after drain_ms.  */
#define LINGER_MS 6000
#define WORK_MS 30
#define GRACE_MS 8000
/* After a router's start.  */
#define CATCH_UP_MS 4000
/* Of the register's requests on the sheet of the small deployment.  */
#define REQUESTS_PER_S 54
/* Times after the start of the traffic.  */
#define ENTRY_AT_MS 2000
#define DRAIN_AT_MS 6000
#define RESTART_AT_MS 15000
#define SECOND_RESTART_AT_MS 21000
#define END_MS 34000
/* The text in the store that stands for what can't be read, with its
   quotation marks, is this long.  */
#define MARK_LENGTH 160

typedef struct case1 case_t;

typedef struct
{
  case_t *owner;
  ent_t *server;
  char *id;
  char *address;
  cfd_time_t drain_acknowledged_at; /* 0: it doesn't leave */
  bool has_exited;
  GPtrArray *runs; /* run_t */
} server_t;

typedef struct
{
  server_t *server;
  ent_call_t *call;
  char *id;
  ev_timer timer;
} run_t;

/* A router's connection to the store.  */
typedef struct
{
  con_t *router;
  con_t *store;
  case_t *owner;
} relay_t;

struct case1
{
  stage_t *stage;
  server_t servers[SERVERS];
  ev_io listener; /* for the routers' connections to the store */
  char *mark;
  char *unreadable;
  ev_timer request_timer;
  unsigned sent;
  unsigned answered[6]; /* by the first digit of the status; 0: none */
  unsigned late;        /* requests that broke the rule */
  unsigned cut;         /* runs that the exit of the server broke off */
  unsigned restarted_total;
  unsigned restarted_served;
  bool has_restarted;
};

/* ---- the store, with what can't be read ---- */

static char *
make_text (const char *text)
{
  return g_strdup_printf ("%-*s", MARK_LENGTH, text);
}

static void
make_unreadable (case_t *test)
{
  const char *variant = g_getenv ("VARIANT");
  g_autofree char *fill = g_strnfill (MARK_LENGTH - 2, 'U');
  g_autofree char *open = g_strnfill (70, '[');
  g_autofree char *close = g_strnfill (70, ']');
  g_autofree char *deep = g_strconcat (open, close, NULL);

  test->mark = g_strdup_printf ("\"%s\"", fill);
  if (g_strcmp0 (variant, "raw") == 0)
    test->unreadable = make_text ("\"\xff\xfe\"");
  else if (g_strcmp0 (variant, "deep") == 0)
    test->unreadable = make_text (deep);
  else
    test->unreadable = make_text ("\"\\udcff\\udcfe\"");
}

static void
relay_free (relay_t *relay)
{
  con_free (relay->router);
  con_free (relay->store);
  g_free (relay);
}

static void
on_relay_ended (void *user, con_end_t end)
{
  relay_free (user);
}

static void
on_router_bytes (void *user, const char *bytes, size_t length)
{
  con_write (((relay_t *)user)->store, bytes, length);
}

/* Responses are short and arrive in one piece.  */
static void
on_store_bytes (void *user, const char *bytes, size_t length)
{
  relay_t *relay = user;
  g_autofree char *copy = g_memdup2 (bytes, length);
  const char *mark = relay->owner->mark;
  char *at = memmem (copy, length, mark, MARK_LENGTH);

  if (at != NULL)
    memcpy (at, relay->owner->unreadable, MARK_LENGTH);
  con_write (relay->router, copy, length);
}

static void
on_store_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  static const con_ops_t router_ops
      = { .bytes = on_router_bytes, .ended = on_relay_ended };
  static const con_ops_t store_ops
      = { .bytes = on_store_bytes, .ended = on_relay_ended };
  case_t *test = watcher->data;
  g_autofree char *address = store_address (test->stage->store);
  int fd = accept4 (watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  relay_t *relay;
  addr_t addr;

  if (fd < 0)
    return;
  relay = g_new0 (relay_t, 1);
  relay->owner = test;
  addr_parse (address, &addr, NULL);
  relay->store = con_new_outbound (loop, &addr, &store_ops, relay);
  relay->router = con_new_accepted (loop, fd, &router_ops, relay);
}

static void
open_store (case_t *test)
{
  stage_t *stage = test->stage;
  g_autofree char *ip = stage_make_ip (100);

  for (int i = 0; i < 100; i++)
    {
      g_autofree char *address
          = g_strdup_printf ("%s:%d", ip, g_random_int_range (12000, 32000));
      int fd = addr_listen (address, NULL);

      if (fd < 0)
        continue;
      g_free (stage->store_address);
      stage->store_address = g_steal_pointer (&address);
      ev_io_init (&test->listener, on_store_connection, fd, EV_READ);
      test->listener.data = test;
      ev_io_start (stage->loop, &test->listener);
      return;
    }
  exit (STAGE_NOT_RUN);
}

/* ---- servers ---- */

static void
run_free (void *data)
{
  run_t *run = data;

  ev_timer_stop (run->server->owner->stage->loop, &run->timer);
  g_free (run->id);
  g_free (run);
}

static void
on_work_done (struct ev_loop *loop, ev_timer *timer, int events)
{
  run_t *run = timer->data;
  ent_call_t *call = run->call;
  g_autofree char *fields
      = g_strdup_printf ("Coltsfootdrum-Request-Id: %s\r\n"
                         "Coltsfootdrum-Response-Stamp: %s.%s\r\n",
                         run->id, run->server->id, run->id);

  g_ptr_array_remove_fast (run->server->runs, run);
  ent_respond (call, 200, fields, "recorded", 8);
}

/* Counts a request that REACHES the server against the rule.  */
static void
judge_arrival (server_t *server, const char *id)
{
  case_t *test = server->owner;
  int64_t after_ms = clock_now () - server->drain_acknowledged_at;

  if (server->drain_acknowledged_at == 0 || after_ms <= DRAIN_MS)
    return;
  test->late++;
  stage_record (test->stage,
                "BROKEN: request %s reaches server %s %" G_GINT64_FORMAT
                " ms after its draining was acknowledged",
                id, server->id, after_ms);
}

static void
on_request (void *user, ent_call_t *call)
{
  server_t *server = user;
  const rd_head_t *head = ent_get_head (call);
  const char *id = hdr_get (&head->fields, "Coltsfootdrum-Request-Id");
  const char *expected
      = hdr_get (&head->fields, "Coltsfootdrum-Expect-Instance");
  run_t *run;

  if (g_str_equal (head->target, "/healthz"))
    {
      g_autofree char *fields
          = g_strdup_printf ("Coltsfootdrum-Instance-Id: %s\r\n", server->id);

      ent_respond (call, server->drain_acknowledged_at == 0 ? 200 : 503,
                   fields, NULL, 0);
      return;
    }
  if (expected != NULL && !g_str_equal (expected, server->id))
    {
      ent_respond (call, 421, "Coltsfootdrum-Not-Run: 1\r\n", NULL, 0);
      return;
    }
  stage_record (server->owner->stage, "run %s at server %s", id, server->id);
  judge_arrival (server, id);
  run = g_new0 (run_t, 1);
  run->server = server;
  run->call = call;
  run->id = g_strdup (id);
  ev_timer_init (&run->timer, on_work_done, WORK_MS / 1000., 0.);
  run->timer.data = run;
  ev_timer_start (server->owner->stage->loop, &run->timer);
  g_ptr_array_add (server->runs, run);
}

static void
on_request_gone (void *user, ent_call_t *call)
{
  server_t *server = user;

  for (guint i = 0; i < server->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (server->runs, i);

      if (run->call != call)
        continue;
      g_ptr_array_remove_index_fast (server->runs, i);
      return;
    }
}

static void
put_server (server_t *server, const char *state)
{
  g_autofree char *spec = g_strdup_printf (
      "{\"service\":\"register-app\",\"address\":\"%s\",\"zone\":\"bkk-a\","
      "\"version\":\"v1\",\"slots\":6,\"state\":\"%s\","
      "\"cold_remaining_ms\":0,\"sequence\":1}",
      server->address, state);

  store_put (server->owner->stage->store, "servers", server->id, spec);
}

static void
start_server (case_t *test, unsigned i)
{
  static const ent_ops_t ops = { on_request, on_request_gone };
  server_t *server = &test->servers[i];
  g_autofree char *ip = stage_make_ip (50 + i);
  g_autofree char *any = g_strdup_printf ("%s:0", ip);

  server->owner = test;
  server->id = g_strdup_printf ("i-%u", i);
  server->runs = g_ptr_array_new_with_free_func (run_free);
  server->server = ent_new (test->stage->loop, any, &ops, server, NULL);
  if (server->server == NULL)
    exit (STAGE_NOT_RUN);
  server->address
      = g_strdup_printf ("%s:%u", ip, ent_get_port (server->server));
  put_server (server, "ready");
}

static void
exit_server (server_t *server)
{
  case_t *test = server->owner;

  for (guint i = 0; i < server->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (server->runs, i);

      test->cut++;
      stage_record (test->stage, "server %s exits and breaks off %s",
                    server->id, run->id);
    }
  g_ptr_array_set_size (server->runs, 0);
  g_clear_pointer (&server->server, ent_free);
  store_remove (test->stage->store, "servers", server->id);
  stage_record (test->stage, "server %s exited", server->id);
}

/* ---- callers ---- */

static void
on_call_done (stage_call_t *call)
{
  case_t *test = call->user;

  test->answered[call->is_whole ? call->status / 100 : 0]++;
  if (test->has_restarted)
    {
      test->restarted_total++;
      test->restarted_served += call->is_whole && call->status == 200;
    }
  stage_call_free (call);
}

static void
on_request_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  case_t *test = timer->data;
  g_autofree char *id = g_strdup_printf ("invoice-%u", ++test->sent);
  g_autofree char *request = g_strdup_printf (
      "POST /register/post HTTP/1.1\r\nHost: press.example\r\n"
      "Coltsfootdrum-Request-Id: %s\r\nColtsfootdrum-Deadline-Ms: 2500\r\n"
      "Content-Length: 9\r\n\r\ninvoice 1",
      id);

  stage_send (test->stage, test->sent % STAGE_ROUTERS, id, request,
              on_call_done, test);
}

/* ---- the run ---- */

static void
put_config (const case_t *test)
{
  store_put (
      test->stage->store, "config", "main",
      "{\"version\":1,\"routes\":[{\"name\":\"r\","
      "\"hostname\":\"press.example\",\"path_prefix\":\"/register/\","
      "\"kind\":\"non_idempotent\",\"timeout_ms\":1200,"
      "\"target_latency_ms\":150,\"priority\":2,"
      "\"service\":\"register-app\",\"max_attempts\":1,\"public\":true}],"
      "\"services\":[{\"name\":\"register-app\","
      "\"health_path\":\"/healthz\",\"max_connections\":110,"
      "\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
      "\"tokens_per_s\":420000},\"tenants\":[]}");
}

static void
put_unreadable (const case_t *test)
{
  g_autofree char *spec = g_strdup_printf (
      "{\"service\":%s,\"address\":\"127.0.0.1:9\",\"zone\":\"bkk-a\","
      "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
      "\"cold_remaining_ms\":0,\"sequence\":1}",
      test->mark);

  store_put (test->stage->store, "servers", "i-other", spec);
  stage_record (test->stage,
                "another writer puts the unreadable entry i-other");
}

static void
run_until (const case_t *test, cfd_time_t began, int64_t at_ms)
{
  stage_run (test->stage, MAX (began + at_ms - clock_now (), 1));
}

/* Restarts a router as the platform does.  */
static void
restart_router (const case_t *test, unsigned index)
{
  stage_t *stage = test->stage;
  cfd_time_t since = clock_now ();

  stage_signal_router (stage, index, SIGTERM);
  while (stage_check_router (stage, index) && clock_now () - since < GRACE_MS)
    stage_run (stage, 50);
  if (stage->routers[index].pid != 0)
    stage_signal_router (stage, index, SIGKILL);
  while (stage_check_router (stage, index))
    stage_run (stage, 20);
  stage_start_router (stage, index);
}

static void
run_case (case_t *test)
{
  server_t *leaving = &test->servers[0];
  cfd_time_t began = clock_now ();

  ev_timer_init (&test->request_timer, on_request_timer, 0.,
                 1. / REQUESTS_PER_S);
  test->request_timer.data = test;
  ev_timer_start (test->stage->loop, &test->request_timer);
  run_until (test, began, ENTRY_AT_MS);
  if (test->stage->has_trouble)
    put_unreadable (test);
  run_until (test, began, DRAIN_AT_MS);
  put_server (leaving, "draining");
  leaving->drain_acknowledged_at = clock_now ();
  stage_record (test->stage, "server %s reports draining, acknowledged",
                leaving->id);
  run_until (test, began, DRAIN_AT_MS + DRAIN_MS + LINGER_MS);
  exit_server (leaving);
  run_until (test, began, RESTART_AT_MS);
  restart_router (test, 0);
  run_until (test, began, SECOND_RESTART_AT_MS);
  restart_router (test, 1);
  stage_run (test->stage, CATCH_UP_MS);
  test->has_restarted = true;
  run_until (test, began, END_MS);
  ev_timer_stop (test->stage->loop, &test->request_timer);
  stage_run (test->stage, 3000);
}

static int
report (const case_t *test)
{
  stage_record (test->stage,
                "requests sent: %u; answers: 2xx %u, 4xx %u, 5xx %u, none %u",
                test->sent, test->answered[2], test->answered[4],
                test->answered[5], test->answered[0]);
  for (unsigned i = 0; i < STAGE_ROUTERS; i++)
    stage_record (test->stage, "router %u is ready: %d", i,
                  stage_is_ready (test->stage, i));
  stage_record (test->stage, "runs broken off by the server's exit: %u",
                test->cut);
  stage_record (test->stage,
                "requests from %d ms after the second restart on: %u, of "
                "these served: %u",
                CATCH_UP_MS, test->restarted_total, test->restarted_served);
  stage_record (test->stage,
                "requests later than %d ms after the acknowledgement: %u",
                DRAIN_MS, test->late);
  printf ("late=%u cut=%u restarted_served=%u/%u\n", test->late, test->cut,
          test->restarted_served, test->restarted_total);
  return test->late > 0 ? STAGE_BROKEN : STAGE_HELD;
}

int
main (int argc, char **argv)
{
  case_t test = { .stage = stage_new (argc, argv) };
  int status = STAGE_NOT_RUN;

  make_unreadable (&test);
  open_store (&test);
  put_config (&test);
  for (unsigned i = 0; i < SERVERS; i++)
    start_server (&test, i);
  for (unsigned i = 0; i < STAGE_ROUTERS; i++)
    stage_start_router (test.stage, i);
  if (stage_wait_ready (test.stage))
    {
      run_case (&test);
      status = report (&test);
    }
  stage_free (test.stage);
  return status;
}
