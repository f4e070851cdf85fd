/* Tests of the HTTP server: malformed and oversized requests, streams, slow
   readers and callers that disconnect.  Server and clients share one event
   loop and one thread.  */

#include "base/clock.h"
#include "http/web.h"

#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORT 8080
#define MAX_BODY_BYTES 1000
#define MAX_TOTAL_BODY_BYTES 2500
#define WAIT_MS 10000

typedef struct
{
  struct ev_loop *loop;
  web_server_t *server;
  char address[32];
  /* Requests to which the handler didn't respond: the first two, the last.  */
  web_request_t *unanswered[2];
  web_request_t *newest_request;
  unsigned handler_calls;
  unsigned closed_calls;
  uint64_t drained;
  const char *stream_headers[3];
} fixture_t;

static void
on_closed (void *user)
{
  fixture_t *f = user;

  f->closed_calls++;
  f->newest_request = NULL;
}

static void
on_drained (void *user, uint64_t total)
{
  fixture_t *f = user;

  g_assert_cmpuint (total, >, f->drained);
  f->drained = total;
}

static void
handle (void *user, web_request_t *request)
{
  fixture_t *f = user;
  size_t length;
  const char *body = web_get_body (request, &length);
  const char *path = web_get_path (request);

  f->handler_calls++;
  if (strcmp (path, "/echo") == 0)
    web_respond (request, 200, "text/plain", NULL, body, length);
  else if (strcmp (path, "/refuse") == 0)
    web_respond_problem (request, 429, "Queue full", "Ask \"later\".",
                         "not-run", 3);
  else
    {
      f->newest_request = request;
      if (f->handler_calls <= G_N_ELEMENTS (f->unanswered))
        f->unanswered[f->handler_calls - 1] = request;
      web_set_on_closed (request, on_closed, f);
      if (strcmp (path, "/stream") == 0)
        web_stream_begin (request, 200, f->stream_headers, on_drained, f);
    }
}

static void
set_up (fixture_t *f, gconstpointer data)
{
  static unsigned count;
  web_limits_t limits = { MAX_BODY_BYTES, 16, 30 };
  unsigned pid = (unsigned)getpid ();
  g_autoptr (GError) error = NULL;

  /* Processes with neighbouring ids run beside each other.  */
  g_snprintf (f->address, sizeof f->address, "127.%u.%u.%u", 250 + count++ % 5,
              pid >> 8 & 255, pid & 255);
  f->loop = ev_loop_new (EVFLAG_AUTO);
  g_autofree char *listen = g_strdup_printf ("%s:%d", f->address, PORT);
  f->server = web_server_new (f->loop, listen, &limits, handle, f, &error);
  g_assert_no_error (error);
  web_server_set_max_total_body_bytes (f->server, MAX_TOTAL_BODY_BYTES);
}

static void
tear_down (fixture_t *f, gconstpointer data)
{
  web_server_free (f->server);
  ev_loop_destroy (f->loop);
}

static int
send_request (fixture_t *f, const char *text)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (PORT) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, f->address, &to.sin_addr);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&to, sizeof to), ==, 0);
  g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   (int)strlen (text));
  return fd;
}

/* Reads until the text ends with END, or until the connection is closed if END
   is NULL.  Sets *RESET if the connection was reset.  */
static char *
read_response (fixture_t *f, int fd, const char *end, bool *reset)
{
  GString *text = g_string_new ("");
  cfd_time_t limit = clock_now () + WAIT_MS;
  char part[4096];

  while (clock_now () < limit)
    {
      ev_run (f->loop, EVRUN_NOWAIT);
      ssize_t got = recv (fd, part, sizeof part, MSG_DONTWAIT);
      if (got > 0)
        g_string_append_len (text, part, got);
      if (reset && got < 0 && errno == ECONNRESET)
        *reset = true;
      if (got == 0 || (got < 0 && errno != EAGAIN)
          || (end && g_str_has_suffix (text->str, end)))
        break;
    }
  return g_string_free (text, false);
}

static void
run_until (fixture_t *f, const unsigned *value, unsigned least)
{
  cfd_time_t limit = clock_now () + WAIT_MS;

  while (*value < least && clock_now () < limit)
    ev_run (f->loop, EVRUN_NOWAIT);
  g_assert_cmpuint (*value, >=, least);
}

static void
test_answers (fixture_t *f, gconstpointer data)
{
  static const struct
  {
    const char *text;
    const char *status;
    const char *has;
    unsigned handler_calls;
  } cases[] = {
    { "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
      "Connection: close\r\n\r\nhello",
      "200", "hello", 1 },
    { "POST /echo?x=1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
      "200", "hello", 1 },
    { "GET /refuse HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "429",
      "\"detail\":\"Ask \\\"later\\\".\",\"run\":\"not-run\"", 1 },
    { "GET /refuse HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "429",
      "Retry-After: 3", 1 },
    /* Refused before the body is read and without calling the handler.  */
    { "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", "413",
      "not-run", 0 },
    { "GET / HTTP/1.1\r\n\r\n", "400", "", 0 }, /* no Host */
    { "nonsense\r\n\r\n", "", "", 0 },
    { "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", "", "",
      0 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int fd = send_request (f, cases[i].text);
      g_autofree char *text = read_response (f, fd, NULL, NULL);

      g_test_message ("case %u: %s", i, text);
      if (*cases[i].status)
        g_assert_cmpint (strncmp (text + 9, cases[i].status, 3), ==, 0);
      g_assert_nonnull (strstr (text, cases[i].has));
      g_assert_cmpuint (f->handler_calls, ==, cases[i].handler_calls);
      f->handler_calls = 0;
      close (fd);
    }
}

static void
test_chunked_too_large (fixture_t *f, gconstpointer data)
{
  g_autofree char *fill = g_strnfill (0x480, 'x');
  g_autofree char *text = g_strdup_printf (
      "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n480\r\n%s\r\n0\r\n\r\n",
      fill);
  int fd = send_request (f, text);
  g_autofree char *got = read_response (f, fd, NULL, NULL);

  /* However MHD splits the body, the handler is never called with a part.  */
  g_assert_cmpuint (f->handler_calls, ==, 0);
  g_assert_true (*got == '\0' || strstr (got, " 413 "));
  close (fd);
}

static void
test_stream (fixture_t *f, gconstpointer data)
{
  int fd = send_request (f, "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
  g_autofree char *first = NULL;
  g_autofree char *rest = NULL;

  run_until (f, &f->handler_calls, 1);
  web_stream_write (f->newest_request, "one", 3);
  first = read_response (f, fd, "one\r\n",
                         NULL); /* arrives before the next part */
  g_test_message ("%s", first);
  g_assert_true (g_str_has_suffix (first, "3\r\none\r\n"));
  web_stream_write (f->newest_request, "two!", 4);
  web_stream_end (f->newest_request, true);
  rest = read_response (f, fd, "0\r\n\r\n", NULL);
  g_assert_cmpstr (rest, ==, "4\r\ntwo!\r\n0\r\n\r\n");
  g_assert_cmpuint (f->closed_calls, ==, 0);
  g_assert_cmpuint (web_server_count_active (f->server), ==, 0);
  close (fd);
}

/* The caller must be able to detect that a response is incomplete.  A chunked
   body lacks its last chunk, a body with a length is too short, and under
   HTTP/1.0, where the end of the connection ends the body, the connection is
   reset.  */
static void
test_broken_stream (fixture_t *f, gconstpointer data)
{
  static const struct
  {
    const char *version;
    const char *length;
  } cases[]
      = { { "1.1", NULL }, { "1.1", "Content-Length: 9" }, { "1.0", NULL } };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "GET /stream HTTP/%s\r\nHost: a\r\n\r\n", cases[i].version);
      bool reset = false;
      int fd;

      f->drained = 0;
      f->stream_headers[0] = cases[i].length;
      fd = send_request (f, text);
      run_until (f, &f->handler_calls, i + 1);
      web_stream_write (f->newest_request, "half", 4);
      g_autofree char *half = read_response (
          f, fd, cases[i].length || i == 2 ? "half" : "half\r\n", NULL);
      web_stream_end (f->newest_request, false);
      g_autofree char *rest = read_response (f, fd, NULL, &reset);
      g_assert_cmpstr (rest, ==, "");
      if (cases[i].length)
        g_assert_nonnull (strstr (half, "Content-Length: 9"));
      if (i == 2)
        g_assert_true (reset);
      close (fd);
    }
}

static void
test_slow_reader (fixture_t *f, gconstpointer data)
{
  /* The caller reads nothing.  A sender that stays at most 1 MiB ahead of
     DRAINED must be blocked, and no byte may be lost once the caller reads. */
  static char block[64 * 1024];
  const uint64_t window = 1024 * 1024;
  const uint64_t size = 64 * window;
  int fd = send_request (f, "GET /stream HTTP/1.0\r\nHost: a\r\n\r\n");
  uint64_t sent = 0;
  uint64_t got = 0;
  uint64_t blocked_at;

  run_until (f, &f->handler_calls, 1);
  for (unsigned i = 0; i < 4000; i++)
    {
      while (sent < f->drained + window)
        {
          web_stream_write (f->newest_request, block, sizeof block);
          sent += sizeof block;
        }
      ev_run (f->loop, EVRUN_NOWAIT);
    }
  blocked_at = sent;
  g_assert_cmpuint (blocked_at, <, size);
  for (cfd_time_t limit = clock_now () + WAIT_MS; clock_now () < limit;)
    {
      static char part[1 << 20];
      ssize_t n = recv (fd, part, sizeof part, MSG_DONTWAIT);

      if (n == 0)
        break;
      got += n > 0 ? (uint64_t)n : 0;
      ev_run (f->loop, EVRUN_NOWAIT);
      while (f->newest_request && sent < size && sent < f->drained + window)
        {
          web_stream_write (f->newest_request, block, sizeof block);
          sent += sizeof block;
        }
      if (f->newest_request && sent == size)
        {
          web_stream_end (f->newest_request, true);
          f->newest_request = NULL;
        }
    }
  g_assert_cmpuint (got, >=, size);
  g_assert_cmpuint (got, <, size + 1000); /* the head */
  close (fd);
}

static void
test_caller_leaves (fixture_t *f, gconstpointer data)
{
  static const char *const paths[] = { "/wait", "/stream" };

  for (unsigned i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      g_autofree char *text
          = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: a\r\n\r\n", paths[i]);
      int fd = send_request (f, text);

      run_until (f, &f->handler_calls, i + 1);
      close (fd);
      run_until (f, &f->closed_calls, i + 1);
    }
  g_assert_cmpuint (web_server_count_active (f->server), ==, 0);
}

/* A response to HEAD ends while its owner still writes.  Flow control must go
   on for the owner, which ends the stream as usual.  */
static void
test_head (fixture_t *f, gconstpointer data)
{
  int fd = send_request (f, "HEAD /stream HTTP/1.1\r\nHost: a\r\n\r\n");
  g_autofree char *head = read_response (f, fd, "\r\n\r\n", NULL);

  ev_run (f->loop, EVRUN_NOWAIT);
  web_stream_write (f->newest_request, "body", 4);
  g_assert_cmpuint (f->drained, ==, 4);
  web_stream_end (f->newest_request, true);
  g_assert_cmpuint (web_server_count_active (f->server), ==, 0);
  close (fd);
}

/* Guards against a last chunk behind the head of an answer to HEAD, which the
   caller takes for its next answer.  */
static void
test_head_of_stream (fixture_t *f, gconstpointer data)
{
  int fd = send_request (f, "HEAD /stream HTTP/1.1\r\nHost: a\r\n\r\n");

  run_until (f, &f->handler_calls, 1);
  web_stream_write (f->newest_request, "body", 4);
  web_stream_end (f->newest_request, true);
  g_autofree char *text = read_response (f, fd, NULL, NULL);
  g_assert_true (g_str_has_prefix (text, "HTTP/1.1 200 OK\r\n"));
  g_assert_cmpstr (strstr (text, "\r\n\r\n"), ==, "\r\n\r\n");
  g_assert_nonnull (strstr (text, "Connection: close\r\n"));
  close (fd);
}

/* The same for one whose length is known: the connection goes on.  */
static void
test_head_with_length (fixture_t *f, gconstpointer data)
{
  f->stream_headers[0] = "Content-Length: 4";
  int fd = send_request (f, "HEAD /stream HTTP/1.1\r\nHost: a\r\n\r\n"
                            "GET /echo HTTP/1.1\r\nHost: a\r\n"
                            "Connection: close\r\n\r\n");

  run_until (f, &f->handler_calls, 1);
  web_stream_write (f->newest_request, "body", 4);
  web_stream_end (f->newest_request, true);
  g_autofree char *text = read_response (f, fd, NULL, NULL);
  const char *second = strstr (text, "\r\n\r\n");
  g_assert_nonnull (strstr (text, "Content-Length: 4\r\n"));
  g_assert_nonnull (second);
  g_assert_true (g_str_has_prefix (second, "\r\n\r\nHTTP/1.1 200 OK\r\n"));
  close (fd);
}

static void
test_quiesce (fixture_t *f, gconstpointer data)
{
  int fd = send_request (f, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  int second = send_request (f, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");

  /* Both connections are still in the kernel's backlog here.  */
  web_server_quiesce (f->server);
  run_until (f, &f->handler_calls, 2);
  for (unsigned i = 0; i < 2; i++)
    web_respond (f->unanswered[i], 200, "text/plain", NULL, "whole", 5);
  g_autofree char *text = read_response (f, fd, NULL, NULL);
  g_autofree char *other = read_response (f, second, NULL, NULL);
  g_assert_true (g_str_has_suffix (text, "whole"));
  g_assert_true (g_str_has_suffix (other, "whole"));
  g_assert_nonnull (strstr (text, "Connection: close"));
  close (fd);
  close (second);
}

/* Pending requests keep their bodies in memory.  A request that exceeds the
   total limit is refused at once, and responses free memory for others.  */
static void
test_bodies (fixture_t *f, gconstpointer data)
{
  g_autofree char *fill = g_strnfill (MAX_BODY_BYTES, 'x');
  g_autofree char *text = g_strdup_printf (
      "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n%s",
      fill);
  int pending[2] = { send_request (f, text), send_request (f, text) };
  int more;

  run_until (f, &f->handler_calls, 2);
  more = send_request (f, text);
  g_autofree char *refused = read_response (f, more, "}", NULL);
  g_assert_nonnull (strstr (refused, " 503 "));
  g_assert_nonnull (strstr (refused, "not-run"));
  close (more);
  web_respond (f->unanswered[0], 200, NULL, NULL, "a", 1);
  g_autofree char *first = read_response (f, pending[0], "a", NULL);
  f->handler_calls = 0;
  more = send_request (f, text);
  run_until (f, &f->handler_calls, 1);
  close (pending[0]);
  close (pending[1]);
  close (more);
}

static void
test_free_with_work (fixture_t *f, gconstpointer data)
{
  int fd = send_request (f, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  int other = send_request (f, "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");

  run_until (f, &f->handler_calls, 2);
  web_server_free (f->server);
  f->server = NULL;
  g_assert_cmpuint (f->closed_calls, ==, 2);
  close (fd);
  close (other);
}

static void
test_bad_address (void)
{
  static const char *const bad[] = { "", "127.0.0.1", "host:80", "1.2.3.4:x" };
  web_limits_t limits = { 1, 1, 1 };

  for (unsigned i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      g_autoptr (GError) error = NULL;

      g_assert_null (web_server_new (ev_default_loop (0), bad[i], &limits,
                                     handle, NULL, &error));
      g_assert_error (error, CFD_ERROR, CFD_ERROR_ADDRESS);
    }
}

#define ADD(name, test)                                                       \
  g_test_add ("/web/" name, fixture_t, NULL, set_up, test, tear_down)

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  ADD ("answers", test_answers);
  ADD ("chunked-too-large", test_chunked_too_large);
  ADD ("stream", test_stream);
  ADD ("broken-stream", test_broken_stream);
  ADD ("slow-reader", test_slow_reader);
  ADD ("caller-leaves", test_caller_leaves);
  ADD ("head", test_head);
  ADD ("head-of-stream", test_head_of_stream);
  ADD ("head-with-length", test_head_with_length);
  ADD ("quiesce", test_quiesce);
  ADD ("bodies", test_bodies);
  ADD ("free-with-work", test_free_with_work);
  g_test_add_func ("/web/bad-address", test_bad_address);
  return g_test_run ();
}
