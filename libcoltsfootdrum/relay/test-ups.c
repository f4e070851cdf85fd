/* Upstream: to which request a response belongs, over real connections.  */

#include "relay/ups.h"

#include "base/list.h"
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time after which a test fails.  */
#define TIMEOUT_MS 20000
#define MAX_CONNECTIONS 4u

#define ANSWER(id)                                                            \
  "HTTP/1.1 200 OK\r\nX-Id: " id "\r\nContent-Length: 0\r\n\r\n"
#define REJECTION(id)                                                         \
  "HTTP/1.1 503 Busy\r\nX-Id: " id                                            \
  "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
#define ANSWER_WITHOUT_ID "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
#define REJECTION_WITHOUT_ID                                                  \
  "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

/* An endpoint whose connections the test reads and writes itself.  */
typedef struct
{
  struct ev_loop *loop;
  ups_t *ups;
  int listener;
  int connections[MAX_CONNECTIONS];
  unsigned connection_count;
} scene_t;

typedef struct
{
  ups_exchange_t *exchange;
  unsigned status; /* of the response that was taken for its own */
  bool is_over;
  ups_end_t end;
} result_t;

static scene_t *
scene_new (void)
{
  scene_t *scene = g_new0 (scene_t, 1);
  struct sockaddr_in bound = { 0 };
  socklen_t length = sizeof bound;
  g_autofree char *text = NULL;
  addr_t addr;

  scene->loop = ev_loop_new (EVFLAG_AUTO);
  scene->listener = addr_listen ("127.0.0.1:0", NULL);
  g_assert_cmpint (scene->listener, >=, 0);
  getsockname (scene->listener, (struct sockaddr *)&bound, &length);
  text = g_strdup_printf ("127.0.0.1:%u", ntohs (bound.sin_port));
  g_assert_true (addr_parse (text, &addr, NULL));
  scene->ups = ups_new (scene->loop, &addr);
  return scene;
}

static void
scene_free (scene_t *scene)
{
  ups_free (scene->ups);
  for (unsigned i = 0; i < scene->connection_count; i++)
    close (scene->connections[i]);
  close (scene->listener);
  ev_loop_destroy (scene->loop);
  g_free (scene);
}

static void
on_head (void *user, rd_head_t *head)
{
  ((result_t *)user)->status = head->status;
}

static void
on_body (void *user, const char *bytes, size_t length)
{
}

static void
on_ended (void *user, ups_end_t end)
{
  result_t *result = user;

  result->is_over = true;
  result->end = end;
}

/* Sends a METHOD request with ID; NULL: none.  */
static void
send_with (scene_t *scene, result_t *result, const char *method,
           const char *id, bool may_get_copy)
{
  static const ups_ops_t ops
      = { .head = on_head, .body = on_body, .ended = on_ended };
  g_autofree char *field
      = id != NULL ? g_strdup_printf ("X-Id: %s\r\n", id) : g_strdup ("");
  g_autofree char *text
      = g_strdup_printf ("%s / HTTP/1.1\r\nHost: h\r\n%s\r\n", method, field);
  const ups_request_t request = { .bytes = text,
                                  .length = strlen (text),
                                  .id_field = "X-Id",
                                  .id = id != NULL ? id : "",
                                  .no_body = g_str_equal (method, "HEAD"),
                                  .may_get_copy = may_get_copy };

  *result = (result_t){ 0 };
  result->exchange
      = ups_send (scene->ups, clock_now (), &request, &ops, result);
  g_assert_nonnull (result->exchange);
}

static void
send_request (scene_t *scene, result_t *result, const char *id)
{
  send_with (scene, result, "GET", id, false);
}

static bool
is_readable (int fd)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

  return poll (&poll_fd, 1, 0) == 1;
}

/* Reads the next request, and returns the index of its connection.  */
static unsigned
receive (scene_t *scene)
{
  cfd_time_t until = clock_now () + TIMEOUT_MS;
  char bytes[1024];

  for (;;)
    {
      g_assert_cmpint (clock_now (), <, until);
      ev_run (scene->loop, EVRUN_NOWAIT);
      if (is_readable (scene->listener))
        {
          g_assert_cmpuint (scene->connection_count, <, MAX_CONNECTIONS);
          scene->connections[scene->connection_count++]
              = accept (scene->listener, NULL, NULL);
        }
      for (unsigned i = 0; i < scene->connection_count; i++)
        if (is_readable (scene->connections[i])
            && recv (scene->connections[i], bytes, sizeof bytes, 0) > 0)
          return i;
    }
}

static void
reply (scene_t *scene, unsigned connection, const char *text)
{
  g_assert_cmpint (
      send (scene->connections[connection], text, strlen (text), MSG_NOSIGNAL),
      ==, (ssize_t)strlen (text));
}

static void
wait_over (scene_t *scene, const result_t *result)
{
  cfd_time_t until = clock_now () + TIMEOUT_MS;

  while (!result->is_over)
    {
      g_assert_cmpint (clock_now (), <, until);
      ev_run (scene->loop, EVRUN_NOWAIT);
    }
}

/* Waits until RESULT has the response with STATUS, which is whole.  */
static void
expect (scene_t *scene, const result_t *result, unsigned status)
{
  wait_over (scene, result);
  g_assert_cmpint (result->end, ==, UPS_COMPLETE);
  g_assert_cmpuint (result->status, ==, status);
}

/* Guards against a second answer that is taken for that to a health check, so
   that the check's rejection is taken for that of the next request.  */
static void
test_second_answer_before_check (void)
{
  scene_t *scene = scene_new ();
  result_t first;
  result_t check;
  result_t next;
  unsigned connection;

  send_request (scene, &first, "1");
  connection = receive (scene);
  reply (scene, connection, ANSWER ("1"));
  expect (scene, &first, 200);
  send_request (scene, &check, NULL);
  g_assert_cmpuint (receive (scene), ==, connection);
  reply (scene, connection, ANSWER ("1") REJECTION_WITHOUT_ID);
  expect (scene, &check, 503);
  send_request (scene, &next, "2");
  g_assert_cmpuint (receive (scene), ==, connection);
  reply (scene, connection, ANSWER ("2"));
  expect (scene, &next, 200);
  scene_free (scene);
}

/* Guards against a second rejection of a health check that is taken for that
   of the next request.  */
static void
test_second_answer_to_check (void)
{
  scene_t *scene = scene_new ();
  result_t check;
  result_t next;
  unsigned connection;

  send_request (scene, &check, NULL);
  connection = receive (scene);
  reply (scene, connection, REJECTION_WITHOUT_ID);
  expect (scene, &check, 503);
  send_request (scene, &next, "1");
  g_assert_cmpuint (receive (scene), ==, connection);
  reply (scene, connection, REJECTION_WITHOUT_ID ANSWER ("1"));
  expect (scene, &next, 200);
  scene_free (scene);
}

/* Guards against a second answer to a health check that is taken for that to
   the next one, and tells what was so before.  */
static void
test_check_after_check (void)
{
  scene_t *scene = scene_new ();
  result_t check;
  unsigned connection;

  send_request (scene, &check, NULL);
  connection = receive (scene);
  reply (scene, connection, ANSWER_WITHOUT_ID);
  expect (scene, &check, 200);
  send_request (scene, &check, NULL);
  g_assert_cmpuint (receive (scene), !=, connection);
  scene_free (scene);
}

/* Guards against a new connection for each routine health check, which may
   hold a slot of the endpoint.  */
static void
test_routine_checks (void)
{
  scene_t *scene = scene_new ();
  result_t check;
  unsigned connection;

  send_with (scene, &check, "GET", NULL, true);
  connection = receive (scene);
  for (unsigned i = 0; i < 3; i++)
    {
      reply (scene, connection, ANSWER_WITHOUT_ID);
      expect (scene, &check, 200);
      send_with (scene, &check, "GET", NULL, true);
      g_assert_cmpuint (receive (scene), ==, connection);
    }
  scene_free (scene);
}

/* Guards against a new connection for each health check while requests pass
   between them.  */
static void
test_check_after_request (void)
{
  scene_t *scene = scene_new ();
  result_t result;
  unsigned connection;

  send_request (scene, &result, NULL);
  connection = receive (scene);
  reply (scene, connection, ANSWER_WITHOUT_ID);
  expect (scene, &result, 200);
  send_request (scene, &result, "1");
  g_assert_cmpuint (receive (scene), ==, connection);
  reply (scene, connection, ANSWER ("1"));
  expect (scene, &result, 200);
  send_request (scene, &result, NULL);
  g_assert_cmpuint (receive (scene), ==, connection);
  scene_free (scene);
}

/* Guards against a rejection that names no request and is taken for that of
   the one that waits.  */
static void
test_response_without_id (void)
{
  scene_t *scene = scene_new ();
  result_t result;

  send_request (scene, &result, "1");
  reply (scene, receive (scene), REJECTION_WITHOUT_ID);
  wait_over (scene, &result);
  g_assert_cmpint (result.end, ==, UPS_MALFORMED);
  g_assert_cmpuint (result.status, ==, 0);
  scene_free (scene);
}

/* Guards against an interim response whose fields are taken for those of the
   response.  */
static void
test_interim_response (void)
{
  scene_t *scene = scene_new ();
  result_t result;

  send_request (scene, &result, "2");
  reply (scene, receive (scene),
         "HTTP/1.1 103 Early Hints\r\nX-Id: 2\r\n\r\n" REJECTION ("1")
             ANSWER ("2"));
  expect (scene, &result, 200);
  scene_free (scene);
}

/* Guards against an answer to HEAD after a skipped response, of which a body
   was awaited until the deadline.  */
static void
test_head_after_skipped_response (void)
{
  scene_t *scene = scene_new ();
  result_t result;

  send_with (scene, &result, "HEAD", "2", false);
  reply (
      scene, receive (scene),
      ANSWER ("1") "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 9\r\n\r\n");
  expect (scene, &result, 200);
  scene_free (scene);
}

/* Guards against a second answer that arrives between two requests, after
   which the connection is used again.  */
static void
test_second_answer_while_idle (void)
{
  scene_t *scene = scene_new ();
  cfd_time_t until = clock_now () + TIMEOUT_MS;
  result_t result;
  unsigned connection;

  send_request (scene, &result, "1");
  connection = receive (scene);
  reply (scene, connection, ANSWER ("1"));
  expect (scene, &result, 200);
  reply (scene, connection, ANSWER ("1"));
  while (ups_count_connections (scene->ups) > 0 && clock_now () < until)
    ev_run (scene->loop, EVRUN_NOWAIT);
  g_assert_cmpuint (ups_count_connections (scene->ups), ==, 0);
  scene_free (scene);
}

/* Guards against an answer to a request that was given up, on a connection
   that carries the next one.  */
static void
test_cancelled (void)
{
  scene_t *scene = scene_new ();
  result_t result;
  unsigned connection;

  send_request (scene, &result, "1");
  connection = receive (scene);
  ups_cancel (result.exchange);
  send_request (scene, &result, "2");
  g_assert_cmpuint (receive (scene), !=, connection);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ups/second-answer-before-check",
                   test_second_answer_before_check);
  g_test_add_func ("/ups/second-answer-to-check", test_second_answer_to_check);
  g_test_add_func ("/ups/check-after-check", test_check_after_check);
  g_test_add_func ("/ups/routine-checks", test_routine_checks);
  g_test_add_func ("/ups/check-after-request", test_check_after_request);
  g_test_add_func ("/ups/response-without-id", test_response_without_id);
  g_test_add_func ("/ups/interim-response", test_interim_response);
  g_test_add_func ("/ups/head-after-skipped-response",
                   test_head_after_skipped_response);
  g_test_add_func ("/ups/second-answer-while-idle",
                   test_second_answer_while_idle);
  g_test_add_func ("/ups/cancelled", test_cancelled);
  return g_test_run ();
}
