/* The process of an endpoint ends between two events of a stream that has
   neither length nor chunks.  */

#include "test-rly-scene.h"

#include <sys/socket.h>

#define MAX_HEAD_BYTES 4096

#define HEAD "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\n"
#define E1 "id: 1\ndata: a\n\n"
/* Before the deadline by less than it takes to find out.  */
#define LATE_MS 262

#define CALL(deadline)                                                        \
  "POST /events-once/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n"                     \
  "X-Deadline: " deadline "\r\nAuthorization: Bearer key-of-the-mill\r\n"     \
  "Content-Length: 0\r\n\r\n"

/* What a caller makes of the bytes that it received.  */
typedef struct
{
  unsigned status;
  bool is_whole; /* by length, chunks, or the connection's orderly end */
  GString *body;
} answer_t;

static bool
on_head (void *user, rd_head_t *head)
{
  ((answer_t *)user)->status = head->status;
  return true;
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  g_string_append_len (((answer_t *)user)->body, bytes, (gssize)length);
}

static answer_t
read_answer (const scene_caller_t *caller)
{
  static const rd_ops_t ops = { on_head, on_body };
  answer_t answer = { .body = g_string_new (NULL) };
  g_autoptr (rd_t) rd = rd_new (RD_RESPONSES, MAX_HEAD_BYTES, &ops, &answer);
  size_t used;
  rd_result_t result
      = rd_feed (rd, caller->text->str, caller->text->len, &used);

  if (result == RD_INCOMPLETE && caller->ended)
    result = rd_finish (rd);
  answer.is_whole = result == RD_COMPLETE;
  return answer;
}

/* Returns whether the caller has a whole answer, or its connection ended.  */
static bool
is_answered (void *user)
{
  const scene_caller_t *caller = user;
  answer_t answer = read_answer (caller);

  g_string_free (answer.body, TRUE);
  return answer.is_whole || caller->ended;
}

/* Ends the process of the endpoint of one caller's stream, whose deadline is
   near if it IS_SHORT.  Returns whether the caller takes the stream for
   whole.  */
static bool
end_process_of_one (bool is_short)
{
  static const scene_reply_t replies[]
      = { { HEAD "\r\n" E1, SCENE_KEEP_OPEN } };
  const char *calls[] = { is_short ? CALL ("300") : CALL ("20000"),
                          is_short ? CALL ("20000") : NULL };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_server_t *server = &scene->servers[1];
  scene_caller_t *callers[2] = { NULL };
  cfd_time_t begun_at = clock_now ();
  answer_t answer;
  bool is_whole;

  scene_list_endpoints (scene, 1, false, 4);
  for (unsigned i = 0; i < G_N_ELEMENTS (calls) && calls[i] != NULL; i++)
    {
      callers[i] = scene_send_request (scene, calls[i]);
      scene_wait_for (scene, callers[i], E1);
    }
  while (is_short && clock_now () < begun_at + LATE_MS)
    ev_run (scene->loop, EVRUN_ONCE);
  ev_io_stop (scene->loop, &server->listener);
  shutdown (server->listener.fd, SHUT_RD);
  scene_close_connections (scene);
  while (!is_answered (callers[0]))
    ev_run (scene->loop, EVRUN_ONCE);
  answer = read_answer (callers[0]);
  is_whole = answer.is_whole;
  g_string_free (answer.body, TRUE);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    if (callers[i] != NULL)
      scene_caller_free (callers[i]);
  scene_free (scene);
  return is_whole;
}

/* Guards against a stream that counts as whole as its deadline comes before it
   is known that its endpoint's process ended.  */
static void
test_process_ended_late (void)
{
  g_assert_false (end_process_of_one (true));
}

/* Guards against a stream that counts as whole as the endpoint's process that
   ended had no other connection of this router.  */
static void
test_process_ended_alone (void)
{
  g_assert_false (end_process_of_one (false));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* A red case doesn't keep the other one from running.  */
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/ends-process/late", test_process_ended_late);
  g_test_add_func ("/ends-process/alone", test_process_ended_alone);
  return g_test_run ();
}
