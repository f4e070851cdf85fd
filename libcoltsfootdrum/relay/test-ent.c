/* Tests of the clients' connections under a burst.  */

#include "relay/ent.h"

#include "base/addr.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

/* More connections than fit in the accept queue.  */
#define BURST 400
#define ROUNDS 13
/* Iterations of the event loop in which all waiting connections must be
   accepted.  */
#define ITERATIONS 6

typedef struct
{
  struct ev_loop *loop;
  ent_t *ent;
  addr_t address;
} fixture_t;

static void
on_request (void *user, ent_call_t *call)
{
  ent_respond (call, 200, NULL, NULL, 0);
}

static void
on_disconnected (void *user, ent_call_t *call)
{
}

static void
fixture_init (fixture_t *fixture)
{
  static const ent_ops_t ops
      = { .request = on_request, .disconnected = on_disconnected };
  g_autofree char *address = NULL;

  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->ent = ent_new (fixture->loop, "127.0.0.1:0", &ops, NULL, NULL);
  g_assert_nonnull (fixture->ent);
  address = g_strdup_printf ("127.0.0.1:%u", ent_get_port (fixture->ent));
  g_assert_true (addr_parse (address, &fixture->address, NULL));
}

static void
fixture_clear (fixture_t *fixture)
{
  ent_free (fixture->ent);
  ev_loop_destroy (fixture->loop);
}

/* Opens connections while the process is paused.  Returns the number of those
   that the kernel has established.  */
static unsigned
open_connections (const fixture_t *fixture, int *fds)
{
  unsigned established = 0;

  for (unsigned i = 0; i < BURST; i++)
    {
      fds[i] = addr_connect (&fixture->address);
      g_assert_cmpint (fds[i], >=, 0);
      established += send (fds[i], "", 0, MSG_NOSIGNAL) == 0;
    }
  return established;
}

static void
close_connections (const int *fds)
{
  for (unsigned i = 0; i < BURST; i++)
    close (fds[i]);
}

/* A slow router with a long accept queue accepts only connections that their
   clients have given up already, so that no client can connect.  Over 5,000
   connections are opened while the process is paused and then runs few
   iterations of its event loop: every established connection is accepted
   within these.  */
static void
test_burst (void)
{
  fixture_t fixture = { 0 };
  int fds[BURST];

  fixture_init (&fixture);
  for (unsigned round = 0; round < ROUNDS; round++)
    {
      unsigned before = ent_count_accepted (fixture.ent);
      unsigned established = open_connections (&fixture, fds);

      for (unsigned iteration = 0; iteration < ITERATIONS; iteration++)
        ev_run (fixture.loop, EVRUN_NOWAIT);
      g_assert_cmpuint (ent_count_accepted (fixture.ent) - before, >=,
                        established);
      close_connections (fds);
      for (unsigned iteration = 0; iteration < BURST; iteration++)
        ev_run (fixture.loop, EVRUN_NOWAIT);
    }
  fixture_clear (&fixture);
}

/* Readiness depends on whether the last iteration left connections waiting. */
static void
test_left_waiting (void)
{
  fixture_t fixture = { 0 };
  int fds[BURST];

  fixture_init (&fixture);
  ev_run (fixture.loop, EVRUN_NOWAIT);
  g_assert_false (ent_test_and_clear_backlogged (fixture.ent));
  open_connections (&fixture, fds);
  ev_run (fixture.loop, EVRUN_NOWAIT);
  g_assert_true (ent_test_and_clear_backlogged (fixture.ent));
  g_assert_false (ent_test_and_clear_backlogged (fixture.ent));
  close_connections (fds);
  fixture_clear (&fixture);
}

#define SLOW_CLIENTS 24
#define ANSWER_BYTES 8388608
#define BUDGET_BYTES 67108864

static void
on_large_request (void *user, ent_call_t *call)
{
  g_autoptr (GByteArray) body = g_byte_array_new ();

  g_byte_array_set_size (body, ANSWER_BYTES);
  memset (body->data, 0, body->len);
  ent_respond (call, 200, NULL, body->data, body->len);
}

static void
run_for (fixture_t *fixture, cfd_time_t now)
{
  for (unsigned i = 0; i < 20; i++)
    {
      ev_run (fixture->loop, EVRUN_NOWAIT);
      ent_tick (fixture->ent, now + i);
    }
}

/* Guards against a process that ends out of memory because clients don't read
   their answers: beyond the budget those are cut off that read nothing.  */
static void
test_slow_clients (void)
{
  static const ent_ops_t ops
      = { .request = on_large_request, .disconnected = on_disconnected };
  static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  fixture_t fixture = { .loop = ev_loop_new (EVFLAG_AUTO) };
  g_autofree char *address = NULL;
  int fds[SLOW_CLIENTS];

  fixture.ent = ent_new (fixture.loop, "127.0.0.1:0", &ops, NULL, NULL);
  ent_set_unsent_budget (fixture.ent, BUDGET_BYTES);
  address = g_strdup_printf ("127.0.0.1:%u", ent_get_port (fixture.ent));
  g_assert_true (addr_parse (address, &fixture.address, NULL));
  for (unsigned i = 0; i < SLOW_CLIENTS; i++)
    {
      fds[i] = addr_connect (&fixture.address);
      run_for (&fixture, 1000);
      g_assert_cmpint (send (fds[i], request, sizeof request - 1, 0), ==,
                       sizeof request - 1);
    }
  run_for (&fixture, 2000);
  g_assert_cmpuint (ent_get_unsent_total (fixture.ent), >, BUDGET_BYTES);
  g_assert_cmpuint (ent_count_connections (fixture.ent), ==, SLOW_CLIENTS);
  run_for (&fixture, 5000);
  g_assert_cmpuint (ent_get_unsent_total (fixture.ent), <=, BUDGET_BYTES);
  g_assert_cmpuint (ent_count_connections (fixture.ent), >, 0);
  for (unsigned i = 0; i < SLOW_CLIENTS; i++)
    close (fds[i]);
  fixture_clear (&fixture);
}

static void
send_request (fixture_t *fixture, int fd, const char *text)
{
  g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   strlen (text));
  run_for (fixture, 1000);
}

static void
on_held_request (void *user, ent_call_t *call)
{
  *(ent_call_t **)user = call;
}

/* Returns whether the response that arrived at FD announces a close.  */
static bool
announces_close (int fd)
{
  char text[512] = { 0 };

  g_assert_cmpint (recv (fd, text, sizeof text - 1, 0), >, 0);
  g_assert_true (g_str_has_prefix (text, "HTTP/1.1 200"));
  return strstr (text, "Connection: close") != NULL;
}

/* Guards against a router out of rotation that closes connections on which a
   request was received and not answered, before the whole response, without
   announcing it, or all at once.  */
static void
test_allowed_closes (void)
{
  static const ent_ops_t ops
      = { .request = on_held_request, .disconnected = on_disconnected };
  static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  fixture_t fixture = { .loop = ev_loop_new (EVFLAG_AUTO) };
  ent_call_t *call = NULL;
  g_autofree char *address = NULL;
  guint8 byte;
  int fd;

  fixture.ent = ent_new (fixture.loop, "127.0.0.1:0", &ops, &call, NULL);
  address = g_strdup_printf ("127.0.0.1:%u", ent_get_port (fixture.ent));
  g_assert_true (addr_parse (address, &fixture.address, NULL));
  fd = addr_connect (&fixture.address);
  run_for (&fixture, 1000);
  /* Two requests in a row: the second one is answered too.  */
  send_request (&fixture, fd, request);
  send_request (&fixture, fd, request);
  ent_allow_closes (fixture.ent, 1);
  ent_respond (call, 200, NULL, NULL, 0);
  g_assert_false (announces_close (fd));
  run_for (&fixture, 1000);
  ent_allow_closes (fixture.ent, 0);
  ent_respond (call, 200, NULL, NULL, 0);
  g_assert_false (announces_close (fd));
  send_request (&fixture, fd, request);
  ent_allow_closes (fixture.ent, 1);
  ent_begin_response (call, 200, NULL, 2);
  ent_send_body (call, "a", 1);
  run_for (&fixture, 1000);
  g_assert_true (announces_close (fd));
  ent_finish_response (call, "b", 1);
  run_for (&fixture, 1000);
  g_assert_cmpint (recv (fd, &byte, 1, 0), ==, 1);
  g_assert_cmpint (byte, ==, 'b');
  g_assert_cmpint (recv (fd, &byte, 1, 0), ==, 0);
  g_assert_cmpuint (ent_count_allowed_closes (fixture.ent), ==, 1);
  close (fd);
  /* No further one until more are allowed.  */
  fd = addr_connect (&fixture.address);
  run_for (&fixture, 1000);
  send_request (&fixture, fd, request);
  ent_respond (call, 200, NULL, NULL, 0);
  g_assert_false (announces_close (fd));
  close (fd);
  fixture_clear (&fixture);
}

/* Reads what arrives at FD, at most LIMIT bytes.  Returns their number; -1:
   the connection was closed.  */
static ssize_t
read_some (int fd, char *buffer, size_t limit)
{
  ssize_t n = recv (fd, buffer, limit, MSG_DONTWAIT);

  return n == 0 || (n < 0 && errno != EAGAIN) ? -1 : MAX (n, 0);
}

#define READ_BYTES 300000u
#define READ_INTERVAL_MS 20
#define SHORT_IDLE_MS 100
#define WAIT_MS 20000

/* Reads an answer of ANSWER_BYTES slowly, and calls ent_close_idle after each
   read if CLOSE_IDLE.  Returns the bytes that were received until the
   connection was closed.  */
static size_t
read_slowly (bool close_idle, int64_t idle_ms)
{
  static const ent_ops_t ops
      = { .request = on_large_request, .disconnected = on_disconnected };
  const ent_limits_t limits = { .head_bytes = 16384, .idle_ms = idle_ms };
  fixture_t fixture = { .loop = ev_loop_new (EVFLAG_AUTO) };
  g_autofree char *address = NULL;
  g_autofree char *buffer = g_malloc (READ_BYTES);
  cfd_time_t until = clock_now () + WAIT_MS;
  size_t total = 0;
  ssize_t n = 0;
  int fd;

  fixture.ent = ent_new (fixture.loop, "127.0.0.1:0", &ops, NULL, NULL);
  ent_set_limits (fixture.ent, &limits);
  address = g_strdup_printf ("127.0.0.1:%u", ent_get_port (fixture.ent));
  g_assert_true (addr_parse (address, &fixture.address, NULL));
  fd = addr_connect (&fixture.address);
  run_for (&fixture, clock_now ());
  send_request (&fixture, fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  while (n >= 0 && clock_now () < until)
    {
      n = read_some (fd, buffer, READ_BYTES);
      total += (size_t)MAX (n, 0);
      g_usleep (READ_INTERVAL_MS * 1000);
      ev_run (fixture.loop, EVRUN_NOWAIT);
      ent_tick (fixture.ent, clock_now ());
      if (close_idle)
        ent_close_idle (fixture.ent);
    }
  g_assert_cmpint (n, <, 0);
  close (fd);
  fixture_clear (&fixture);
  return total;
}

/* Guards against a stop that cuts off an answer which its client is still
   reading, as the connection counts as idle.  */
static void
test_stop_during_answer (void)
{
  size_t received = read_slowly (true, 60000);

  g_assert_cmpuint (received, >, ANSWER_BYTES);
}

/* Guards against the idle time-out that does the same.  */
static void
test_idle_during_answer (void)
{
  size_t received = read_slowly (false, SHORT_IDLE_MS);

  g_assert_cmpuint (received, >, ANSWER_BYTES);
}

/* Guards against a client that reads nothing and holds its connection, and the
   process that stops, for ever.  */
static void
test_reads_nothing (void)
{
  static const ent_ops_t ops
      = { .request = on_large_request, .disconnected = on_disconnected };
  const ent_limits_t limits
      = { .head_bytes = 16384, .idle_ms = SHORT_IDLE_MS };
  fixture_t fixture = { .loop = ev_loop_new (EVFLAG_AUTO) };
  g_autofree char *address = NULL;
  cfd_time_t until = clock_now () + WAIT_MS;
  int fd;

  fixture.ent = ent_new (fixture.loop, "127.0.0.1:0", &ops, NULL, NULL);
  ent_set_limits (fixture.ent, &limits);
  address = g_strdup_printf ("127.0.0.1:%u", ent_get_port (fixture.ent));
  g_assert_true (addr_parse (address, &fixture.address, NULL));
  fd = addr_connect (&fixture.address);
  run_for (&fixture, clock_now ());
  send_request (&fixture, fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  ent_close_idle (fixture.ent);
  g_assert_cmpuint (ent_count_connections (fixture.ent), ==, 1);
  while (ent_count_connections (fixture.ent) > 0 && clock_now () < until)
    {
      g_usleep (READ_INTERVAL_MS * 1000);
      ev_run (fixture.loop, EVRUN_NOWAIT);
      ent_tick (fixture.ent, clock_now ());
    }
  g_assert_cmpuint (ent_count_connections (fixture.ent), ==, 0);
  close (fd);
  fixture_clear (&fixture);
}

/* Answers in the way that the target names.  */
static void
on_named_request (void *user, ent_call_t *call)
{
  const char *target = ent_get_head (call)->target;

  if (strcmp (target, "/whole") == 0)
    {
      ent_respond (call, 200, NULL, "body", 4);
      return;
    }
  ent_begin_response (call, 200, NULL,
                      strcmp (target, "/chunks") == 0 ? -1 : 4);
  ent_send_body (call, "bo", 2);
  ent_finish_response (call, "dy", 2);
}

/* Guards against bytes behind the head of an answer to HEAD, such as the last
   chunk of a stream, which the client takes for its next answer.  */
static void
test_head (void)
{
  static const ent_ops_t ops
      = { .request = on_named_request, .disconnected = on_disconnected };
  static const char requests[] = "HEAD /whole HTTP/1.1\r\n\r\n"
                                 "HEAD /chunks HTTP/1.1\r\n\r\n"
                                 "HEAD /length HTTP/1.1\r\n\r\n"
                                 "GET /chunks HTTP/1.1\r\n\r\n"
                                 "HEAD /chunks HTTP/1.0\r\n\r\n";
  static const char answers[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"
        "HTTP/1.1 200 OK\r\nConnection: close\r\n"
        "Content-Length: 4\r\n\r\n";
  fixture_t fixture = { .loop = ev_loop_new (EVFLAG_AUTO) };
  g_autofree char *address = NULL;
  cfd_time_t until = clock_now () + WAIT_MS;
  char buffer[1024] = { 0 };
  size_t total = 0;
  ssize_t n = 0;
  int fd;

  fixture.ent = ent_new (fixture.loop, "127.0.0.1:0", &ops, NULL, NULL);
  address = g_strdup_printf ("127.0.0.1:%u", ent_get_port (fixture.ent));
  g_assert_true (addr_parse (address, &fixture.address, NULL));
  fd = addr_connect (&fixture.address);
  run_for (&fixture, clock_now ());
  send_request (&fixture, fd, requests);
  while (n >= 0 && clock_now () < until)
    {
      ev_run (fixture.loop, EVRUN_NOWAIT);
      n = read_some (fd, buffer + total, sizeof buffer - total - 1);
      total += (size_t)MAX (n, 0);
    }
  g_assert_cmpstr (buffer, ==, answers);
  close (fd);
  fixture_clear (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ent/burst", test_burst);
  g_test_add_func ("/ent/left-waiting", test_left_waiting);
  g_test_add_func ("/ent/slow-clients", test_slow_clients);
  g_test_add_func ("/ent/allowed-closes", test_allowed_closes);
  g_test_add_func ("/ent/stop-during-answer", test_stop_during_answer);
  g_test_add_func ("/ent/idle-during-answer", test_idle_during_answer);
  g_test_add_func ("/ent/reads-nothing", test_reads_nothing);
  g_test_add_func ("/ent/head", test_head);
  return g_test_run ();
}
