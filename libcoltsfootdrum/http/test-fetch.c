/* Tests of the HTTP client against a scripted server with valid and invalid
   responses.  */

#include "base/clock.h"
#include "http/fetch.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_S 30.0
#define PORT 7300

/* What the server does with the connection after it has sent the script.  */
typedef enum
{
  KEEP_OPEN,
  CLOSE_CONNECTION,
  RESET_CONNECTION,
  SHUT_DOWN_AND_RESET
} after_script_t;

typedef struct
{
  struct ev_loop *loop;
  fetch_pool_t *pool;
  ev_io listener;
  ev_io connection;
  char url[64];
  const char *script;
  const char *repeat; /* sent until the client closes; NULL: none */
  size_t repeated_bytes;
  after_script_t after;
  unsigned requests;
  /* Results reported by the client.  */
  fetch_t *fetch;
  fetch_result_t result;
  unsigned status;
  unsigned head_calls;
  unsigned done_calls;
  GString *body;
  unsigned may_send_calls;
  bool allowed;
  void (*during_head) (void *fixture);
  void (*during_data) (void *fixture);
  void (*during_done) (void *fixture);
} fixture_t;

/* ---- the server ---- */

static void
close_connection (fixture_t *f)
{
  if (f->connection.fd < 0)
    return;
  ev_io_stop (f->loop, &f->connection);
  close (f->connection.fd);
  f->connection.fd = -1;
}

static void
on_writable (struct ev_loop *loop, ev_io *io, int revents)
{
  fixture_t *f = io->data;
  g_autoptr (GString) text = g_string_new (NULL);
  ssize_t length;

  while (text->len < 65536)
    g_string_append (text, f->repeat);
  length = send (io->fd, text->str, text->len, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (length < 0 && errno != EAGAIN)
    close_connection (f);
  f->repeated_bytes += length > 0 ? (size_t)length : 0;
}

static void
start_repeating (fixture_t *f)
{
  ev_io_stop (f->loop, &f->connection);
  ev_io_init (&f->connection, on_writable, f->connection.fd, EV_WRITE);
  f->connection.data = f;
  ev_io_start (f->loop, &f->connection);
}

static void
on_request (struct ev_loop *loop, ev_io *io, int revents)
{
  fixture_t *f = io->data;
  char bytes[4096];
  ssize_t length = read (io->fd, bytes, sizeof bytes - 1);

  if (length <= 0)
    {
      close_connection (f);
      return;
    }
  f->requests++;
  g_assert_cmpint (write (io->fd, f->script, strlen (f->script)), ==,
                   (ssize_t)strlen (f->script));
  if (f->repeat != NULL)
    {
      start_repeating (f);
      return;
    }
  if (f->after == SHUT_DOWN_AND_RESET)
    shutdown (io->fd, SHUT_WR);
  if (f->after == RESET_CONNECTION || f->after == SHUT_DOWN_AND_RESET)
    {
      struct linger none = { .l_onoff = 1, .l_linger = 0 };

      setsockopt (io->fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    }
  if (f->after != KEEP_OPEN)
    close_connection (f);
}

static void
on_connection (struct ev_loop *loop, ev_io *io, int revents)
{
  fixture_t *f = io->data;
  int fd = accept (io->fd, NULL, NULL);

  g_assert_cmpint (fd, >=, 0);
  close_connection (f);
  ev_io_init (&f->connection, on_request, fd, EV_READ);
  f->connection.data = f;
  ev_io_start (f->loop, &f->connection);
}

static void
set_up (fixture_t *f, gconstpointer data)
{
  unsigned pid = (unsigned)getpid ();
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (PORT) };
  char ip[32];
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int yes = 1;

  snprintf (ip, sizeof ip, "127.%u.%u.%u", 100 + (pid >> 16) % 100,
            (pid >> 8) % 256, pid % 256);
  snprintf (f->url, sizeof f->url, "http://%s:%d/x", ip, PORT);
  g_assert_cmpint (inet_pton (AF_INET, ip, &address.sin_addr), ==, 1);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&address, sizeof address), ==,
                   0);
  g_assert_cmpint (listen (fd, 8), ==, 0);
  f->loop = ev_loop_new (EVFLAG_AUTO);
  f->pool = fetch_pool_new (f->loop);
  f->body = g_string_new (NULL);
  f->connection.fd = -1;
  ev_io_init (&f->listener, on_connection, fd, EV_READ);
  f->listener.data = f;
  ev_io_start (f->loop, &f->listener);
}

static void
stop_listening (fixture_t *f)
{
  if (f->listener.fd < 0)
    return;
  ev_io_stop (f->loop, &f->listener);
  close (f->listener.fd);
  f->listener.fd = -1;
}

static void
tear_down (fixture_t *f, gconstpointer data)
{
  close_connection (f);
  stop_listening (f);
  fetch_pool_free (f->pool);
  g_string_free (f->body, TRUE);
  ev_loop_destroy (f->loop);
}

/* ---- the client ---- */

static void
on_head (void *user, unsigned status, const char *const *headers)
{
  fixture_t *f = user;

  f->head_calls++;
  f->status = status;
  if (f->during_head != NULL)
    f->during_head (f);
}

static void
on_data (void *user, const void *bytes, size_t length)
{
  fixture_t *f = user;

  g_string_append_len (f->body, bytes, (gssize)length);
  if (f->during_data != NULL)
    f->during_data (f);
}

static void
on_done (void *user, fetch_result_t result, unsigned status, const char *body,
         size_t length, const char *detail)
{
  fixture_t *f = user;

  f->done_calls++;
  f->result = result;
  f->status = status;
  if (f->during_done != NULL)
    f->during_done (f);
}

static fetch_request_t
request_of (fixture_t *f, const char *method, unsigned total_timeout_ms,
            unsigned idle_timeout_ms)
{
  return (fetch_request_t){ .method = method,
                            .url = f->url,
                            .total_timeout_ms = total_timeout_ms,
                            .idle_timeout_ms = idle_timeout_ms,
                            .head = on_head,
                            .data = on_data,
                            .done = on_done,
                            .user = f };
}

static void
start (fixture_t *f, const char *method, unsigned total_timeout_ms,
       unsigned idle_timeout_ms)
{
  fetch_request_t request
      = request_of (f, method, total_timeout_ms, idle_timeout_ms);

  f->fetch = fetch_start (f->pool, &request);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int revents)
{
  g_error ("the awaited event did not occur within %g s", TIMEOUT_S);
}

static void
run_until (fixture_t *f, const unsigned *count, unsigned reached)
{
  ev_timer timeout;

  ev_timer_init (&timeout, on_timeout, TIMEOUT_S, 0.0);
  ev_now_update (f->loop);
  ev_timer_start (f->loop, &timeout);
  while (*count < reached)
    ev_run (f->loop, EVRUN_ONCE);
  ev_timer_stop (f->loop, &timeout);
}

#define OK_HEAD "HTTP/1.1 200 OK\r\n"

static const struct
{
  const char *script;
  after_script_t after;
  unsigned total_timeout_ms, idle_timeout_ms;
  fetch_result_t result;
  unsigned status;
  const char *body;
} rows[] = {
  { OK_HEAD "Content-Length: 2\r\n\r\nhi", KEEP_OPEN, 0, 0, FETCH_COMPLETE,
    200, "hi" },
  { "HTTP/1.1 100 Continue\r\n\r\n" OK_HEAD "Content-Length: 2\r\n\r\nhi",
    KEEP_OPEN, 0, 0, FETCH_COMPLETE, 200, "hi" },
  { OK_HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nT: 1\r\n\r\n",
    KEEP_OPEN, 0, 0, FETCH_COMPLETE, 200, "hi" },
  { "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", KEEP_OPEN, 0, 0,
    FETCH_COMPLETE, 503, "" },
  { OK_HEAD "\r\nhi", CLOSE_CONNECTION, 0, 0, FETCH_COMPLETE, 200, "hi" },
  /* In each of these the server may have run the request.  */
  { OK_HEAD "\r\nhi", RESET_CONNECTION, 0, 0, FETCH_INCOMPLETE, 200, "hi" },
  { "", CLOSE_CONNECTION, 0, 0, FETCH_INCOMPLETE, 0, "" },
  { "no HTTP\r\n\r\n", CLOSE_CONNECTION, 0, 0, FETCH_INCOMPLETE, 0, "" },
  { OK_HEAD "Content-Length: 9\r\n\r\nhi", CLOSE_CONNECTION, 0, 0,
    FETCH_INCOMPLETE, 200, "hi" },
  { OK_HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", CLOSE_CONNECTION,
    0, 0, FETCH_INCOMPLETE, 200, "hi" },
  { "", KEEP_OPEN, 50, 0, FETCH_TIMEOUT, 0, "" },
  { "", KEEP_OPEN, 0, 50, FETCH_TIMEOUT, 0, "" },
  { OK_HEAD "Content-Length: 9\r\n\r\nhi", KEEP_OPEN, 0, 50, FETCH_TIMEOUT,
    200, "hi" },
};

static void
test_results (fixture_t *f, gconstpointer data)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_test_message ("row %u", i);
      f->script = rows[i].script;
      f->after = rows[i].after;
      f->head_calls = 0;
      g_string_truncate (f->body, 0);
      start (f, "POST", rows[i].total_timeout_ms, rows[i].idle_timeout_ms);
      g_assert_cmpuint (f->done_calls, ==, i);
      run_until (f, &f->done_calls, i + 1);
      g_assert_cmpint (f->result, ==, rows[i].result);
      g_assert_cmpuint (f->status, ==, rows[i].status);
      g_assert_cmpstr (f->body->str, ==, rows[i].body);
      g_assert_cmpuint (f->head_calls, ==, rows[i].status == 0 ? 0 : 1);
    }
}

#define END "Content-Length: 2\r\n\r\nhi"

static void
fetch_script (fixture_t *f, const char *script, unsigned count)
{
  g_test_message ("answer %u: %s", count, script);
  f->script = script;
  start (f, "POST", 0, 0);
  run_until (f, &f->done_calls, count);
}

/* Guards against an answer that is not HTTP/1.1, and which its caller takes
   for complete.  */
static void
test_malformed (fixture_t *f, gconstpointer data)
{
  static const char *const scripts[] = {
    "HTTP/1.1 000 Z\r\n" END,
    "HTTP/1.1 099 Z\r\n" END,
    "HTTP/1.1 600 Z\r\n" END,
    "HTTP/1.1 999 Z\r\n" END,
    "HTTP/1.1 2 OK\r\n" END,
    "HTTP/1.1 0200 OK\r\n" END,
    "HTTP/1.1 2000 OK\r\n" END,
    "HTTP/1.1  200 OK\r\n" END,
    "HTTP/1.1 2O0 OK\r\n" END,
    "HTTP/1.1\r\n" END,
    "HTTP/2 200 OK\r\n" END,
    "HTTP/2.0 200 OK\r\n" END,
    "HTTP/0.9 200 OK\r\n" END,
    "HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" OK_HEAD END,
    OK_HEAD "X Y: 1\r\n" END,
    OK_HEAD " X: 1\r\n" END,
    OK_HEAD "X: 1\r\n Y: 2\r\n" END,
    OK_HEAD "X\001Y: 1\r\n" END,
    OK_HEAD "X\tY: 1\r\n" END,
    OK_HEAD "XY\r\n" END,
    OK_HEAD ": 1\r\n" END,
    OK_HEAD "Content-Length : 2\r\n\r\nhi",
    OK_HEAD "Transfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    "HTTP/1.1 103 E\r\nX Y: 1\r\n\r\n" OK_HEAD END,
    "HTTP/1.1 103 E\r\n\r\nHTTP/1.1 000 Z\r\n" END,
    OK_HEAD "X: a\001\r\n" END,
  };
  /* Their heads are valid.  */
  static const char *const bodies[] = {
    OK_HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nhiXY0\r\n\r\n",
    OK_HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\nhi\r\n0\r\n\r\n",
    OK_HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\rX",
    OK_HEAD "Transfer-Encoding: chunked, gzip\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    OK_HEAD "Transfer-Encoding: gzip\r\n\r\nhi",
    OK_HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX Y: 1\r\n\r\n",
  };
  unsigned count = 0;

  f->after = CLOSE_CONNECTION;
  for (guint i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      fetch_script (f, scripts[i], ++count);
      g_assert_cmpint (f->result, ==, FETCH_INCOMPLETE);
      g_assert_cmpuint (f->status, ==, 0);
      g_assert_cmpuint (f->head_calls, ==, 0);
      g_assert_cmpuint (f->body->len, ==, 0);
    }
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      fetch_script (f, bodies[i], ++count);
      g_assert_cmpint (f->result, ==, FETCH_INCOMPLETE);
    }
}

#define UPLOAD_BYTES 3000000u

/* Guards against a part of an answer that counts as complete, since its
   connection was reset while the request was being written.  */
static void
test_reset_early (fixture_t *f, gconstpointer data)
{
  static const after_script_t ends[]
      = { CLOSE_CONNECTION, RESET_CONNECTION, SHUT_DOWN_AND_RESET };
  g_autofree char *body = g_strnfill (UPLOAD_BYTES, 'u');
  fetch_request_t request = request_of (f, "POST", 0, 0);

  request.body = body;
  request.body_length = UPLOAD_BYTES;
  f->script = OK_HEAD "\r\npart";
  for (guint i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      f->after = ends[i];
      f->fetch = fetch_start (f->pool, &request);
      run_until (f, &f->done_calls, i + 1);
      g_test_message ("end %u: result %d", i, f->result);
      g_assert_cmpint (f->result, ==, FETCH_INCOMPLETE);
    }
}

static void
test_unreached (fixture_t *f, gconstpointer data)
{
  stop_listening (f);
  start (f, "POST", 0, 0);
  run_until (f, &f->done_calls, 1);
  g_assert_cmpint (f->result, ==, FETCH_CONNECT_FAILED);
}

static void
test_never_repeated (fixture_t *f, gconstpointer data)
{
  /* The server responds to one request and keeps the connection open; it runs
     the next request and closes the connection without a response.  A client
     that takes this for a stale connection resends the request, which then
     runs twice.  */
  f->script = OK_HEAD "Content-Length: 2\r\n\r\nhi";
  start (f, "POST", 0, 0);
  run_until (f, &f->done_calls, 1);
  f->script = "";
  f->after = CLOSE_CONNECTION;
  start (f, "POST", 0, 0);
  run_until (f, &f->done_calls, 2);
  g_assert_cmpint (f->result, ==, FETCH_INCOMPLETE);
  g_assert_cmpuint (f->requests, ==, 2);
}

static void
cancel (void *fixture)
{
  fixture_t *f = fixture;

  fetch_cancel (f->fetch);
}

static void
start_again (void *fixture)
{
  fixture_t *f = fixture;

  f->during_done = NULL;
  f->during_data = NULL;
  f->during_head = NULL;
  start (f, "GET", 0, 0);
}

static void
cancel_and_start (void *fixture)
{
  cancel (fixture);
  start_again (fixture);
}

static void
test_inside_callbacks (fixture_t *f, gconstpointer data)
{
  /* libcurl must not be called from its own callbacks.  A fetch cancelled or
     started in a callback must neither crash nor be lost.  */
  f->script = OK_HEAD "Content-Length: 2\r\n\r\nhi";
  f->during_head = cancel_and_start;
  start (f, "POST", 0, 0);
  run_until (f, &f->done_calls, 1);
  g_assert_cmpuint (f->head_calls, ==, 2);
  f->during_data = cancel_and_start;
  start (f, "POST", 0, 0);
  run_until (f, &f->done_calls, 2);
  g_assert_cmpuint (f->head_calls, ==, 4);
  f->during_done = start_again;
  start (f, "POST", 0, 0);
  run_until (f, &f->done_calls, 4);
}

static void
pause_now (void *fixture)
{
  fixture_t *f = fixture;

  fetch_pause (f->fetch, true);
}

static void
test_pause (fixture_t *f, gconstpointer data)
{
  /* A caller reads slowly, so that the response is paused for longer than the
     idle timeout; it must be received in full afterwards.  */
  cfd_time_t until;

  f->script = OK_HEAD "Content-Length: 2\r\n\r\nhi";
  f->during_head = pause_now;
  start (f, "POST", 0, 30);
  run_until (f, &f->head_calls, 1);
  until = clock_now () + 60;
  while (clock_now () < until)
    ev_run (f->loop, EVRUN_NOWAIT);
  g_assert_cmpuint (f->body->len, ==, 0);
  g_assert_cmpuint (f->done_calls, ==, 0);
  fetch_pause (f->fetch, false);
  run_until (f, &f->done_calls, 1);
  g_assert_cmpint (f->result, ==, FETCH_COMPLETE);
  g_assert_cmpstr (f->body->str, ==, "hi");
}

/* Longest iteration of the event loop beside an endless response.  */
#define MAX_ITERATION_MS 250
/* Time limit of the whole response, as calls to the store have one.  */
#define TOTAL_TIMEOUT_MS 700
/* Bytes that may come in a head or in trailers, and in a body, with those in
   the buffers of both sides.  */
#define MAX_HEAD_BYTES (16u * 1024 * 1024)
#define MAX_BODY_BYTES (64u * 1024 * 1024)

typedef struct
{
  const char *script;
  const char *repeat;
  size_t max_bytes; /* 0: bounded by the time limit alone */
} endless_t;

/* Guards against a server, such as the platform's store, that sends without
   end and takes the client's memory or delays its other connections.  */
static void
test_endless (fixture_t *f, gconstpointer data)
{
  static const endless_t endless[] = {
    { "", "HTTP/1.1 100 Continue\r\n\r\n", MAX_HEAD_BYTES },
    { OK_HEAD, "X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
      MAX_HEAD_BYTES },
    { OK_HEAD "X-A: ", "aaaaaaaaaaaaaaaaaaaaaaaaaaa", MAX_HEAD_BYTES },
    { "", "\r\n", MAX_HEAD_BYTES },
    { OK_HEAD "\r\n", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaa", MAX_BODY_BYTES },
    { OK_HEAD "Content-Length: 99999999999\r\n\r\n", "aaaaaaaaaaa",
      MAX_BODY_BYTES },
    { OK_HEAD "Transfer-Encoding: chunked\r\n\r\n", "a\r\naaaaaaaaaa\r\n",
      MAX_BODY_BYTES },
    { OK_HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
      "X-T: aaaaaaaaaaaaaaaaaa\r\n", MAX_HEAD_BYTES },
    { OK_HEAD "Transfer-Encoding: chunked\r\n\r\n1;", "a=b;", 0 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (endless); i++)
    {
      fetch_request_t request = request_of (f, "GET", TOTAL_TIMEOUT_MS, 0);
      cfd_time_t start = clock_now ();
      cfd_time_t last = start;

      g_test_message ("row %u", i);
      f->script = endless[i].script;
      f->repeat = endless[i].repeat;
      f->repeated_bytes = 0;
      request.data = NULL;
      fetch_start (f->pool, &request);
      while (f->done_calls == i)
        {
          ev_run (f->loop, EVRUN_ONCE);
          if (f->repeated_bytes > 0)
            g_assert_cmpint (clock_now () - last, <, MAX_ITERATION_MS);
          last = clock_now ();
        }
      g_test_message ("%zu bytes in %" G_GINT64_FORMAT " ms",
                      f->repeated_bytes, last - start);
      g_assert_cmpint (last - start, <, TOTAL_TIMEOUT_MS + MAX_ITERATION_MS);
      g_assert_cmpint (f->result, !=, FETCH_COMPLETE);
      if (endless[i].max_bytes > 0)
        g_assert_cmpuint (f->repeated_bytes, <=, endless[i].max_bytes);
      while (f->connection.fd >= 0)
        ev_run (f->loop, EVRUN_ONCE);
    }
}

static bool
count_and_decide (void *user)
{
  fixture_t *f = user;

  f->may_send_calls++;
  return f->allowed;
}

/* The caller finds after fetch_start, but before the connection is made, that
   the request must not be sent any more.  The server must receive no byte of
   it, and the result must say so.  */
static void
test_send_denied (fixture_t *f, gconstpointer data)
{
  fetch_request_t request = request_of (f, "POST", 0, 0);

  f->script = OK_HEAD "Content-Length: 2\r\n\r\nhi";
  request.may_send = count_and_decide;
  f->fetch = fetch_start (f->pool, &request);
  run_until (f, &f->done_calls, 1);
  g_assert_cmpint (f->result, ==, FETCH_SEND_DENIED);
  g_assert_cmpuint (f->may_send_calls, ==, 1);
  g_assert_cmpuint (f->requests, ==, 0);
  f->allowed = true;
  f->fetch = fetch_start (f->pool, &request);
  run_until (f, &f->done_calls, 2);
  g_assert_cmpint (f->result, ==, FETCH_COMPLETE);
  g_assert_cmpuint (f->requests, ==, 1);
}

static void
add (const char *path, void (*test) (fixture_t *, gconstpointer))
{
  g_test_add (path, fixture_t, NULL, set_up, test, tear_down);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add ("/fetch/results", test_results);
  add ("/fetch/malformed", test_malformed);
  add ("/fetch/reset-early", test_reset_early);
  add ("/fetch/unreached", test_unreached);
  add ("/fetch/never-repeated", test_never_repeated);
  add ("/fetch/inside-callbacks", test_inside_callbacks);
  add ("/fetch/pause", test_pause);
  add ("/fetch/send-denied", test_send_denied);
  add ("/fetch/endless", test_endless);
  return g_test_run ();
}
