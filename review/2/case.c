/* A second answer that arrives while a health check is on the way.

   A server that answers a request a second time sends that answer where the
   next one is expected.  When the next request on that connection is a
   router's health check, and the server, full for a moment, rejects the check,
   a request that the router sends on the same connection in between must not
   be taken for the rejected one: its caller would be told that it was not run.
 */

#include "../common/stage.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* As on the sheet of the small deployment: servers, their slots and queue, and
   requests a second of its streams.  */
#define SERVERS 12
#define SLOTS 64
#define REQUESTS_PER_S 370
/* The largest dose of the disruption: a share of the servers, and of their
   answers, and its length.  It comes several times.  */
#define GARBLED_SERVERS 7
#define EXTRA_SHARE 0.03
#define EXTRA_MS 5000
#define EXTRA_PERIOD_MS 7000
/* The servers' own users, who call them directly, take all slots and places in
   the queue for this part of each period.  */
#define FULL_MS 200
#define FULL_PERIOD_MS 500
/* Time of an answer, and of a rejection by a server that is full and slow.  */
#define WORK_MS 40
#define REJECTION_MS 200
#define HEALTH_MS 1
#define RUN_MS 100000
#define MAX_HEAD_BYTES 65536

typedef struct case2 case_t;

typedef struct
{
  case_t *owner;
  char *id;
  char *address;
  ev_io listener;
  int64_t phase_ms;
  bool is_garbled;
  unsigned answers;
  unsigned extras;
} server_t;

/* A router's connection to a server, which serves one request at a time.  */
typedef struct
{
  server_t *server;
  con_t *con;
  rd_t *rd;
  GByteArray *unread; /* bytes of further requests */
  char *request;      /* id of the one that is served; NULL: a health check */
  bool is_serving;
  bool is_rejected;
  ev_timer timer;
  GString *extra; /* the second answer that is still to come, or NULL */
} connection_t;

/* What became of an attempt of a caller.  */
typedef struct
{
  bool has_run;
  unsigned status; /* that its caller got; 0: none yet */
  bool is_counted; /* as breaking the rule */
} attempt_t;

/* A caller's work, which it sends once more after "not run".  */
typedef struct
{
  case_t *owner;
  unsigned number;
  unsigned tries;
  ev_timer timer;
} job_t;

struct case2
{
  stage_t *stage;
  server_t servers[SERVERS];
  GHashTable *attempts; /* id to attempt_t */
  ev_timer request_timer;
  unsigned sent;
  unsigned statuses[6];
  unsigned broken;
  unsigned extras_before_health;
  unsigned rejected_health;
  unsigned jobs_run_twice;
  bool is_over;
};

/* ---- the rule ---- */

static attempt_t *
find_attempt (case_t *test, const char *id)
{
  attempt_t *attempt = g_hash_table_lookup (test->attempts, id);

  if (attempt == NULL)
    {
      attempt = g_new0 (attempt_t, 1);
      g_hash_table_insert (test->attempts, g_strdup (id), attempt);
    }
  return attempt;
}

/* A request that isn't idempotent must not be answered 429, 503, 408 or 421
   and have run, or run later.  */
static void
judge (case_t *test, const char *id)
{
  attempt_t *attempt = find_attempt (test, id);
  bool is_promise = attempt->status == 429 || attempt->status == 503
                    || attempt->status == 408 || attempt->status == 421;

  if (!is_promise || !attempt->has_run || attempt->is_counted)
    return;
  attempt->is_counted = true;
  test->broken++;
  stage_record (test->stage, "BROKEN: %s got status %u, not run, and ran", id,
                attempt->status);
}

/* ---- servers ---- */

static bool
is_full (const server_t *server)
{
  const stage_t *stage = server->owner->stage;

  return (clock_now () - stage->started_at + server->phase_ms) % FULL_PERIOD_MS
         < FULL_MS;
}

/* Returns whether the disruption is going on.  */
static bool
is_in_trouble (const server_t *server)
{
  const stage_t *stage = server->owner->stage;

  return stage->has_trouble && server->is_garbled && !server->owner->is_over
         && (clock_now () - stage->started_at) % EXTRA_PERIOD_MS < EXTRA_MS;
}

static void
connection_free (connection_t *connection)
{
  ev_timer_stop (connection->server->owner->stage->loop, &connection->timer);
  con_free (connection->con);
  rd_free (connection->rd);
  g_byte_array_unref (connection->unread);
  if (connection->extra != NULL)
    g_string_free (connection->extra, TRUE);
  g_free (connection->request);
  g_free (connection);
}

/* Formats the whole answer to a request: three events.  */
static GString *
format_answer (const connection_t *connection)
{
  const char *id = connection->request;
  GString *text = g_string_new (NULL);
  GString *body = g_string_new (NULL);

  for (int i = 1; i <= 3; i++)
    g_string_append_printf (body, "id: %d\ndata: %s-%d\n\n", i, id, i);
  g_string_append_printf (
      text,
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Coltsfootdrum-Request-Id: %s\r\n"
      "Coltsfootdrum-Response-Stamp: %s.%s\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      id, connection->server->id, id, body->len, body->str);
  g_string_free (body, TRUE);
  return text;
}

static void
send_rejection (connection_t *connection)
{
  g_autoptr (GString) text = g_string_new (
      "HTTP/1.1 503 Service Unavailable\r\nColtsfootdrum-Not-Run: 1\r\n");

  if (connection->request != NULL)
    g_string_append_printf (text, "Coltsfootdrum-Request-Id: %s\r\n",
                            connection->request);
  g_string_append (text, "Content-Length: 0\r\n\r\n");
  con_write (connection->con, text->str, text->len);
}

static void
send_health (connection_t *connection)
{
  g_autofree char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nColtsfootdrum-Instance-Id: %s\r\n"
      "Coltsfootdrum-Cold-Ms: 0\r\nContent-Length: 0\r\n\r\n",
      connection->server->id);

  con_write (connection->con, text, strlen (text));
}

static void
send_answer (connection_t *connection)
{
  server_t *server = connection->server;
  case_t *test = server->owner;
  g_autoptr (GString) text = format_answer (connection);

  con_write (connection->con, text->str, text->len);
  server->answers++;
  if (!is_in_trouble (server)
      || g_rand_double (test->stage->random) >= EXTRA_SHARE)
    return;
  server->extras++;
  connection->extra = g_steal_pointer (&text);
}

static void read_requests (connection_t *connection);

static void
on_answer_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  connection_t *connection = timer->data;

  if (connection->is_rejected)
    send_rejection (connection);
  else if (connection->request == NULL)
    send_health (connection);
  else
    send_answer (connection);
  g_clear_pointer (&connection->request, g_free);
  connection->is_serving = false;
  rd_reset (connection->rd);
  read_requests (connection);
}

/* Sends the second answer to the request before.  */
static void
send_extra (connection_t *connection)
{
  case_t *test = connection->server->owner;

  if (connection->extra == NULL)
    return;
  stage_record (test->stage,
                "server %s sends a second answer before that %s%s",
                connection->server->id,
                connection->request != NULL ? "to " : "to a health check",
                connection->request != NULL ? connection->request : "");
  con_write (connection->con, connection->extra->str, connection->extra->len);
  g_string_free (g_steal_pointer (&connection->extra), TRUE);
  test->extras_before_health += connection->request == NULL;
}

static void
serve (connection_t *connection)
{
  server_t *server = connection->server;
  case_t *test = server->owner;
  const rd_head_t *head = rd_get_head (connection->rd);
  bool is_health = g_str_equal (head->target, "/healthz");
  int delay_ms = is_health ? HEALTH_MS : WORK_MS;

  connection->is_serving = true;
  connection->request = g_strdup (
      is_health ? NULL : hdr_get (&head->fields, "Coltsfootdrum-Request-Id"));
  connection->is_rejected = is_full (server);
  send_extra (connection);
  if (connection->is_rejected)
    {
      delay_ms = REJECTION_MS;
      test->rejected_health += is_health;
      if (is_health)
        stage_record (test->stage, "server %s is full, rejects a health check",
                      server->id);
    }
  else if (!is_health)
    {
      g_auto (GStrv) parts = g_strsplit (connection->request, "-", 3);
      g_autofree char *first = g_strdup_printf ("job-%s-1", parts[1]);

      find_attempt (test, connection->request)->has_run = true;
      stage_record (test->stage, "run %s at server %s", connection->request,
                    server->id);
      judge (test, connection->request);
      if (g_str_equal (parts[2], "2") && find_attempt (test, first)->has_run)
        {
          test->jobs_run_twice++;
          stage_record (test->stage, "job %s runs a second time, as %s",
                        parts[1], connection->request);
        }
    }
  ev_timer_set (&connection->timer, delay_ms / 1000., 0.);
  ev_timer_start (test->stage->loop, &connection->timer);
}

static void
read_requests (connection_t *connection)
{
  while (!connection->is_serving && connection->unread->len > 0)
    {
      size_t used = 0;
      rd_result_t result
          = rd_feed (connection->rd, (const char *)connection->unread->data,
                     connection->unread->len, &used);

      g_byte_array_remove_range (connection->unread, 0, (guint)used);
      if (result == RD_COMPLETE)
        serve (connection);
      else if (result != RD_INCOMPLETE)
        exit (STAGE_NOT_RUN);
    }
}

static void
on_bytes (void *user, const char *bytes, size_t length)
{
  connection_t *connection = user;

  g_byte_array_append (connection->unread, (const guint8 *)bytes,
                       (guint)length);
  read_requests (connection);
}

static void
on_ended (void *user, con_end_t end)
{
  connection_free (user);
}

static bool
on_head (void *user, rd_head_t *head)
{
  return true;
}

static void
on_body (void *user, const char *bytes, size_t length)
{
}

static void
on_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  static const con_ops_t con_ops = { .bytes = on_bytes, .ended = on_ended };
  static const rd_ops_t rd_ops = { .head = on_head, .body = on_body };
  server_t *server = watcher->data;
  int fd = accept4 (watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  connection_t *connection;

  if (fd < 0)
    return;
  connection = g_new0 (connection_t, 1);
  connection->server = server;
  connection->unread = g_byte_array_new ();
  connection->rd = rd_new (RD_REQUESTS, MAX_HEAD_BYTES, &rd_ops, connection);
  ev_timer_init (&connection->timer, on_answer_due, 0., 0.);
  connection->timer.data = connection;
  connection->con = con_new_accepted (loop, fd, &con_ops, connection);
}

static void
start_server (case_t *test, unsigned i)
{
  server_t *server = &test->servers[i];
  g_autofree char *ip = stage_make_ip (50 + i);
  g_autofree char *spec = NULL;
  int fd = -1;

  server->owner = test;
  server->id = g_strdup_printf ("i-%u", i);
  server->phase_ms = (int64_t)i * FULL_PERIOD_MS / SERVERS;
  server->is_garbled = i < GARBLED_SERVERS;
  for (int tries = 0; fd < 0 && tries < 100; tries++)
    {
      g_free (server->address);
      server->address
          = g_strdup_printf ("%s:%d", ip, g_random_int_range (12000, 32000));
      fd = addr_listen (server->address, NULL);
    }
  if (fd < 0)
    exit (STAGE_NOT_RUN);
  ev_io_init (&server->listener, on_connection, fd, EV_READ);
  server->listener.data = server;
  ev_io_start (test->stage->loop, &server->listener);
  spec = g_strdup_printf (
      "{\"service\":\"drafting-models\",\"address\":\"%s\","
      "\"zone\":\"bkk-a\",\"version\":\"v1\",\"slots\":%d,"
      "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}",
      server->address, SLOTS);
  store_put (test->stage->store, "servers", server->id, spec);
}

/* ---- callers ---- */

static void send_attempt (job_t *job);

static void
on_retry_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  send_attempt (timer->data);
}

static void
on_call_done (stage_call_t *call)
{
  job_t *job = call->user;
  case_t *test = job->owner;
  unsigned status = call->is_whole ? call->status : 0;

  test->statuses[status / 100]++;
  find_attempt (test, call->id)->status = status;
  judge (test, call->id);
  if (status == 503 && job->tries == 1 && !test->is_over)
    {
      ev_timer_init (&job->timer, on_retry_due,
                     (double)MAX (call->retry_after_ms, 0) / 1000., 0.);
      job->timer.data = job;
      ev_timer_start (test->stage->loop, &job->timer);
    }
  else
    g_free (job);
  stage_call_free (call);
}

static void
send_attempt (job_t *job)
{
  case_t *test = job->owner;
  g_autofree char *id
      = g_strdup_printf ("job-%u-%u", job->number, ++job->tries);
  g_autofree char *request = g_strdup_printf (
      "POST /summary/2f HTTP/1.1\r\nHost: press.example\r\n"
      "Coltsfootdrum-Request-Id: %s\r\nColtsfootdrum-Deadline-Ms: 8000\r\n"
      "Coltsfootdrum-Model: m\r\nColtsfootdrum-Token-Counts: 826,32\r\n"
      "Coltsfootdrum-Prompt-Prefix: %x:119,%x:79,%08x:628\r\n"
      "Content-Length: 7\r\n\r\nsummary",
      id, 0xa0 + job->number % 8, 0xb000 + job->number % 292,
      0x10000000u + job->number);

  stage_send (test->stage, (job->number + job->tries) % STAGE_ROUTERS, id,
              request, on_call_done, job);
}

static void
on_request_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  case_t *test = timer->data;
  job_t *job = g_new0 (job_t, 1);

  job->owner = test;
  job->number = ++test->sent;
  send_attempt (job);
}

/* ---- the run ---- */

static void
put_config (const case_t *test)
{
  store_put (
      test->stage->store, "config", "main",
      "{\"version\":1,\"routes\":[{\"name\":\"r\","
      "\"hostname\":\"press.example\",\"path_prefix\":\"/summary/\","
      "\"kind\":\"streaming\",\"timeout_ms\":8000,"
      "\"target_latency_ms\":300,\"priority\":1,"
      "\"service\":\"drafting-models\",\"max_attempts\":1,\"public\":true,"
      "\"sticky\":true,\"resumable\":false,\"target_gap_ms\":300}],"
      "\"services\":[{\"name\":\"drafting-models\","
      "\"health_path\":\"/healthz\",\"max_connections\":370,"
      "\"cold_start_s\":3.0,\"cold_per_s\":23.0,"
      "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":444000,"
      "\"token_kv_bytes\":131072,\"link_mbps\":260000.0,\"stride\":9,"
      "\"models\":[{\"name\":\"m\"}]}}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
      "\"tokens_per_s\":420000},\"tenants\":[]}");
}

static int
report (const case_t *test)
{
  stage_record (test->stage,
                "jobs sent: %u; answers: 2xx %u, 4xx %u, 5xx %u, none %u",
                test->sent, test->statuses[2], test->statuses[4],
                test->statuses[5], test->statuses[0]);
  for (unsigned i = 0; i < SERVERS; i++)
    stage_record (test->stage, "server %s: answers %u, second answers %u",
                  test->servers[i].id, test->servers[i].answers,
                  test->servers[i].extras);
  stage_record (test->stage, "health checks rejected: %u",
                test->rejected_health);
  stage_record (test->stage,
                "second answers before that to a health check: %u",
                test->extras_before_health);
  stage_record (test->stage, "jobs that ran twice: %u", test->jobs_run_twice);
  stage_record (test->stage, "requests refused as not run that ran: %u",
                test->broken);
  printf ("broken=%u jobs_run_twice=%u sent=%u 2xx=%u 5xx=%u\n", test->broken,
          test->jobs_run_twice, test->sent, test->statuses[2],
          test->statuses[5]);
  return test->broken > 0 ? STAGE_BROKEN : STAGE_HELD;
}

int
main (int argc, char **argv)
{
  case_t test = { .stage = stage_new (argc, argv) };
  int status = STAGE_NOT_RUN;

  test.attempts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  put_config (&test);
  for (unsigned i = 0; i < SERVERS; i++)
    start_server (&test, i);
  for (unsigned i = 0; i < STAGE_ROUTERS; i++)
    stage_start_router (test.stage, i);
  if (stage_wait_ready (test.stage))
    {
      ev_timer_init (&test.request_timer, on_request_timer, 0.,
                     1. / REQUESTS_PER_S);
      test.request_timer.data = &test;
      ev_timer_start (test.stage->loop, &test.request_timer);
      stage_run (test.stage, RUN_MS);
      ev_timer_stop (test.stage->loop, &test.request_timer);
      test.is_over = true;
      stage_run (test.stage, 3000);
      status = report (&test);
    }
  stage_free (test.stage);
  return status;
}
