/* Large bodies, from many callers at once.

   A client account sends many times its usual: bodies within the configured
   limit, on lines of a usual speed.  An instance that exceeds its memory is
   killed by the platform, and the streams of all other accounts that it passes
   on end without an answer.  */

#include "../common/stage.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 3
/* Memory of an instance, in the deployment adfer-logs.  */
#define MEMORY_MB 110
/* Callers with large bodies: of the other accounts, and of one account, which
   sends up to 7.5 times its usual in the disruption.  */
#define OTHER_CALLERS 6
#define USUAL_CALLERS 11
#define HOT_CALLERS 82
/* Callers of streams.  */
#define STREAM_CALLERS 20
#define CALLERS (OTHER_CALLERS + HOT_CALLERS + STREAM_CALLERS)
/* Less than max_body_bytes.  */
#define BODY_BYTES 4000000
/* Of a caller's line: 8 Mbit/s.  */
#define PIECE_BYTES 50000
#define PIECE_INTERVAL_MS 50
/* Between two requests of a caller.  */
#define PAUSE_MS 500
#define RECONNECT_MS 500
#define UPLOAD_WORK_MS 60
#define STREAM_WORK_MS 1500
/* Times after the start of the traffic.  */
#define HOT_AT_MS 10000
#define HOT_MS 6500
#define END_MS 25000
#define MEMORY_CHECK_MS 20
/* Time after which the platform starts a process again.  */
#define RESTART_MS 500
/* Of the rule.  */
#define MAX_LOST 3

typedef struct case3 case_t;

typedef struct
{
  case_t *owner;
  ent_t *server;
  char *id;
  char *address;
  GPtrArray *runs; /* run_t */
} server_t;

typedef struct
{
  server_t *server;
  ent_call_t *call;
  char *id;
  ev_timer timer;
} run_t;

/* A caller sends one request after the other, on a connection that it keeps.
 */
typedef struct
{
  case_t *owner;
  unsigned number;
  unsigned router;
  bool is_stream;
  bool is_hot; /* takes part only in the disruption */
  con_t *con;  /* NULL: not connected */
  rd_t *rd;
  unsigned requests;
  unsigned answers_here; /* on this connection */
  char *id;              /* of the request that waits for its answer */
  size_t body_left;
  ev_timer timer; /* the next piece, request or connection */
  bool is_paused;
} caller_t;

struct case3
{
  stage_t *stage;
  server_t servers[SERVERS];
  caller_t callers[CALLERS];
  GHashTable *at_servers; /* ids of requests that reached a server */
  ev_timer memory_timer;
  char *body;
  cfd_time_t restart_at[STAGE_ROUTERS]; /* 0: it runs */
  unsigned killed[STAGE_ROUTERS];
  size_t peak_bytes[STAGE_ROUTERS];
  unsigned answered;
  unsigned refused;
  unsigned lost; /* that count against the rule */
  bool is_hot;
  bool is_over;
};

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
  ent_respond (call, 200, fields, "id: 1\ndata: done\n\n", 18);
}

static void
on_request (void *user, ent_call_t *call)
{
  server_t *server = user;
  const rd_head_t *head = ent_get_head (call);
  const char *id = hdr_get (&head->fields, "Coltsfootdrum-Request-Id");
  bool is_stream = g_str_has_prefix (head->target, "/summary/");
  run_t *run;

  if (g_str_equal (head->target, "/healthz"))
    {
      g_autofree char *fields
          = g_strdup_printf ("Coltsfootdrum-Instance-Id: %s\r\n", server->id);

      ent_respond (call, 200, fields, NULL, 0);
      return;
    }
  g_hash_table_add (server->owner->at_servers, g_strdup (id));
  stage_record (server->owner->stage, "run %s at server %s", id, server->id);
  run = g_new0 (run_t, 1);
  run->server = server;
  run->call = call;
  run->id = g_strdup (id);
  ev_timer_init (&run->timer, on_work_done,
                 (is_stream ? STREAM_WORK_MS : UPLOAD_WORK_MS) / 1000., 0.);
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
start_server (case_t *test, unsigned i)
{
  static const ent_ops_t ops = { on_request, on_request_gone };
  server_t *server = &test->servers[i];
  g_autofree char *ip = stage_make_ip (50 + i);
  g_autofree char *any = g_strdup_printf ("%s:0", ip);
  g_autofree char *spec = NULL;

  server->owner = test;
  server->id = g_strdup_printf ("i-%u", i);
  server->runs = g_ptr_array_new_with_free_func (run_free);
  server->server = ent_new (test->stage->loop, any, &ops, server, NULL);
  if (server->server == NULL)
    exit (STAGE_NOT_RUN);
  server->address
      = g_strdup_printf ("%s:%u", ip, ent_get_port (server->server));
  spec = g_strdup_printf (
      "{\"service\":\"model-pool\",\"address\":\"%s\",\"zone\":\"bkk-a\","
      "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
      "\"cold_remaining_ms\":0,\"sequence\":1}",
      server->address);
  store_put (test->stage->store, "servers", server->id, spec);
}

/* ---- callers ---- */

static void connect_caller (caller_t *caller);

static void
set_timer (caller_t *caller, int ms)
{
  struct ev_loop *loop = caller->owner->stage->loop;

  ev_timer_stop (loop, &caller->timer);
  ev_timer_set (&caller->timer, ms / 1000., 0.);
  ev_timer_start (loop, &caller->timer);
}

/* Returns whether the caller sends requests now.  */
static bool
is_active (const caller_t *caller)
{
  return !caller->owner->is_over && (!caller->is_hot || caller->owner->is_hot);
}

static void
send_request (caller_t *caller)
{
  size_t length = caller->is_stream ? 7 : BODY_BYTES;
  g_autofree char *head = NULL;

  g_free (caller->id);
  caller->id
      = g_strdup_printf ("%s-%u-%u", caller->is_stream ? "stream" : "upload",
                         caller->number, ++caller->requests);
  head = g_strdup_printf (
      "POST /%s/2f HTTP/1.1\r\nHost: mills.example\r\n"
      "Coltsfootdrum-Request-Id: %s\r\nColtsfootdrum-Deadline-Ms: 10000\r\n"
      "Authorization: Bearer %s\r\nContent-Length: %zu\r\n\r\n",
      caller->is_stream ? "summary" : "shift", caller->id,
      caller->is_hot || caller->number < USUAL_CALLERS ? "key-1" : "key-2",
      length);
  con_write (caller->con, head, strlen (head));
  stage_record (caller->owner->stage, "sent %s to router %u", caller->id,
                caller->router);
  caller->body_left = length;
  set_timer (caller, 0);
}

static void
on_caller_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  caller_t *caller = timer->data;
  size_t length = MIN (caller->body_left, PIECE_BYTES);

  if (caller->con == NULL)
    {
      connect_caller (caller);
      return;
    }
  if (caller->id == NULL)
    {
      if (is_active (caller))
        send_request (caller);
      else
        set_timer (caller, PAUSE_MS);
      return;
    }
  con_write (caller->con, caller->owner->body, length);
  caller->body_left -= length;
  if (caller->body_left > 0)
    set_timer (caller, PIECE_INTERVAL_MS);
}

static void
close_caller (caller_t *caller)
{
  g_clear_pointer (&caller->con, con_free);
  g_clear_pointer (&caller->id, g_free);
  caller->body_left = 0;
  caller->answers_here = 0;
  set_timer (caller, RECONNECT_MS);
}

/* A request from a kept connection that was passed on to a server, all of
   which are sound, must not end with its connection and without an answer.  */
static void
judge_end (caller_t *caller)
{
  case_t *test = caller->owner;

  if (caller->id == NULL || caller->answers_here == 0
      || !g_hash_table_contains (test->at_servers, caller->id))
    return;
  test->lost++;
  stage_record (test->stage,
                "LOST: %s was passed on, and its kept connection to router %u "
                "closed without an answer",
                caller->id, caller->router);
}

static void
on_caller_ended (void *user, con_end_t end)
{
  caller_t *caller = user;

  judge_end (caller);
  close_caller (caller);
}

static void
on_caller_bytes (void *user, const char *bytes, size_t length)
{
  caller_t *caller = user;
  size_t used = 0;
  rd_result_t result = rd_feed (caller->rd, bytes, length, &used);
  const rd_head_t *head = rd_get_head (caller->rd);

  if (result == RD_INCOMPLETE)
    return;
  if (result != RD_COMPLETE)
    {
      close_caller (caller);
      return;
    }
  stage_record (caller->owner->stage, "answered %s: status=%u", caller->id,
                head->status);
  if (head->status == 200)
    caller->owner->answered++;
  else
    caller->owner->refused++;
  if (!head->keep_alive || caller->body_left > 0)
    {
      close_caller (caller);
      return;
    }
  rd_reset (caller->rd);
  g_clear_pointer (&caller->id, g_free);
  caller->answers_here++;
  set_timer (caller, caller->is_stream ? 0 : PAUSE_MS);
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
connect_caller (caller_t *caller)
{
  static const con_ops_t con_ops
      = { .bytes = on_caller_bytes, .ended = on_caller_ended };
  static const rd_ops_t rd_ops = { .head = on_head, .body = on_body };
  stage_t *stage = caller->owner->stage;
  addr_t addr;

  if (!is_active (caller))
    {
      set_timer (caller, PAUSE_MS);
      return;
    }
  if (caller->rd == NULL)
    caller->rd = rd_new (RD_RESPONSES, 65536, &rd_ops, caller);
  rd_reset (caller->rd);
  addr_parse (stage->routers[caller->router].address, &addr, NULL);
  caller->con = con_new_outbound (stage->loop, &addr, &con_ops, caller);
  if (caller->con != NULL)
    set_timer (caller, 0);
  else
    set_timer (caller, RECONNECT_MS);
}

static void
start_callers (case_t *test)
{
  for (unsigned i = 0; i < CALLERS; i++)
    {
      caller_t *caller = &test->callers[i];

      caller->owner = test;
      caller->number = i;
      caller->router = i % STAGE_ROUTERS;
      caller->is_hot = i >= USUAL_CALLERS && i < HOT_CALLERS;
      caller->is_stream = i >= HOT_CALLERS + OTHER_CALLERS;
      ev_timer_init (&caller->timer, on_caller_timer, 0., 0.);
      caller->timer.data = caller;
      set_timer (caller, g_rand_int_range (test->stage->random, 0, 4000));
    }
}

/* ---- the platform ---- */

/* Returns the resident memory of a process in bytes.  */
static size_t
read_memory (GPid pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/statm", (int)pid);
  g_autofree char *text = NULL;
  g_auto (GStrv) fields = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  fields = g_strsplit (text, " ", 3);
  return fields[0] != NULL && fields[1] != NULL
             ? (size_t)g_ascii_strtoull (fields[1], NULL, 10)
                   * (size_t)sysconf (_SC_PAGESIZE)
             : 0;
}

/* Kills a process that exceeds its memory, and starts it again.  */
static void
check_memory (case_t *test, unsigned i)
{
  stage_t *stage = test->stage;
  size_t bytes;

  if (!stage_check_router (stage, i))
    {
      if (test->restart_at[i] == 0)
        test->restart_at[i] = clock_now () + RESTART_MS;
      if (clock_now () < test->restart_at[i])
        return;
      test->restart_at[i] = 0;
      stage_start_router (stage, i);
      return;
    }
  bytes = read_memory (stage->routers[i].pid);
  test->peak_bytes[i] = MAX (test->peak_bytes[i], bytes);
  if (bytes <= (size_t)MEMORY_MB * 1024 * 1024)
    return;
  stage_record (stage, "router %u takes %zu bytes, over %d MB", i, bytes,
                MEMORY_MB);
  test->killed[i]++;
  stage_signal_router (stage, i, SIGKILL);
}

static void
on_memory_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  case_t *test = timer->data;

  for (unsigned i = 0; i < STAGE_ROUTERS; i++)
    check_memory (test, i);
}

/* ---- the run ---- */

static void
put_config (const case_t *test)
{
  store_put (
      test->stage->store, "config", "main",
      "{\"version\":1,\"routes\":[{\"name\":\"r\","
      "\"hostname\":\"mills.example\",\"path_prefix\":\"/shift/\","
      "\"kind\":\"streaming\",\"timeout_ms\":10000,"
      "\"target_latency_ms\":600,\"priority\":1,"
      "\"service\":\"model-pool\",\"max_attempts\":2,\"public\":false,"
      "\"sticky\":true,\"resumable\":true,\"target_gap_ms\":300},"
      "{\"name\":\"s\",\"hostname\":\"mills.example\","
      "\"path_prefix\":\"/summary/\",\"kind\":\"streaming\","
      "\"timeout_ms\":8000,\"target_latency_ms\":400,\"priority\":1,"
      "\"service\":\"model-pool\",\"max_attempts\":1,\"public\":false,"
      "\"sticky\":true,\"resumable\":false,\"target_gap_ms\":300}],"
      "\"services\":[{\"name\":\"model-pool\","
      "\"health_path\":\"/healthz\",\"max_connections\":360,"
      "\"cold_start_s\":3.0,\"cold_per_s\":23.0}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
      "\"tokens_per_s\":420000},\"tenants\":[{\"name\":\"mill-1\","
      "\"api_keys\":[\"key-1\"],\"priority\":1},{\"name\":\"mill-2\","
      "\"api_keys\":[\"key-2\"],\"priority\":1}]}");
}

static void
run_case (case_t *test)
{
  stage_t *stage = test->stage;

  ev_timer_init (&test->memory_timer, on_memory_timer, 0.,
                 MEMORY_CHECK_MS / 1000.);
  test->memory_timer.data = test;
  ev_timer_start (stage->loop, &test->memory_timer);
  start_callers (test);
  stage_run (stage, HOT_AT_MS);
  test->is_hot = stage->has_trouble;
  stage_record (stage, "callers with large bodies: %d",
                OTHER_CALLERS + (test->is_hot ? HOT_CALLERS : USUAL_CALLERS));
  stage_run (stage, HOT_MS);
  test->is_hot = false;
  stage_run (stage, END_MS - HOT_AT_MS - HOT_MS);
  test->is_over = true;
  ev_timer_stop (stage->loop, &test->memory_timer);
}

static int
report (const case_t *test)
{
  for (unsigned i = 0; i < STAGE_ROUTERS; i++)
    stage_record (test->stage,
                  "router %u: most memory %zu bytes, killed for it %u times",
                  i, test->peak_bytes[i], test->killed[i]);
  stage_record (test->stage, "answers: 200 %u, others %u", test->answered,
                test->refused);
  stage_record (test->stage,
                "requests of kept connections that were passed on and lost: "
                "%u",
                test->lost);
  printf ("lost=%u killed=%u,%u peak=%zu,%zu answered=%u refused=%u\n",
          test->lost, test->killed[0], test->killed[1], test->peak_bytes[0],
          test->peak_bytes[1], test->answered, test->refused);
  return test->lost > MAX_LOST ? STAGE_BROKEN : STAGE_HELD;
}

int
main (int argc, char **argv)
{
  case_t test = { .stage = stage_new (argc, argv) };
  int status = STAGE_NOT_RUN;

  test.stage->memory_mb = MEMORY_MB;
  test.body = g_strnfill (PIECE_BYTES, 'b');
  test.at_servers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
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
