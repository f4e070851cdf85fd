/* The ways in which an endpoint can end an answer, over real connections: what
   the caller takes for whole, and the requests that follow.  */

#include "test-rly-scene.h"

#include <string.h>
#include <sys/socket.h>

#define MAX_HEAD_BYTES 4096

#define HEAD "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\n"
#define UNTIL_CLOSE HEAD "\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define LENGTH(bytes) HEAD "Content-Length: " bytes "\r\n\r\n"

#define E1 "id: 1\ndata: a\n\n"
#define E2 "id: 2\ndata: b\n\n"
#define E3 "id: 3\ndata: c\n\n"
#define NO_ID "data: without\n\n"
#define CHUNK(text) "f\r\n" text "\r\n"
#define LAST_CHUNK "0\r\n\r\n"

#define CALL(path)                                                            \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: 20000\r\n"     \
  "Authorization: Bearer key-of-the-mill\r\nContent-Length: 0\r\n\r\n"
#define CALL_HTTP10(path)                                                     \
  "POST " path " HTTP/1.0\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: 20000\r\n"     \
  "Authorization: Bearer key-of-the-mill\r\nContent-Length: 0\r\n"            \
  "Connection: keep-alive\r\n\r\n"
#define CALL_SHORT(path)                                                      \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: 300\r\n"       \
  "Authorization: Bearer key-of-the-mill\r\nContent-Length: 0\r\n\r\n"
/* Resumes a stream after its first event.  */
#define CALL_RESUMING                                                         \
  "POST /events/ HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\nX-Deadline: 20000\r\n"     \
  "Last-Event-Id: 1\r\nX-Resumes: 1\r\n"                                      \
  "Authorization: Bearer key-of-the-mill\r\nContent-Length: 0\r\n\r\n"
#define ONCE CALL ("/events-once/")
#define RESUMABLE CALL ("/events/")
#define PLAIN CALL ("/once/")
#define PLAIN_TWICE CALL ("/twice/")

typedef struct
{
  const char *name;
  const char *call;
  scene_reply_t replies[2]; /* a reply without bytes: none */
  unsigned status;
  const char *body; /* that its caller gets */
  bool is_whole;    /* by its framing */
  unsigned requests;
  end_kind_t first_end;
} case_t;

static const case_t cases[] = {
  /* Guards against a stream that is broken off inside an event, ends with its
     connection, and is framed as whole for its caller.  */
  { "split-event/field",
    ONCE,
    { { UNTIL_CLOSE E1 "id", SCENE_CLOSE } },
    200,
    E1,
    false,
    1,
    END_SPLIT_EVENT },
  { "split-event/value",
    ONCE,
    { { UNTIL_CLOSE E1 "id: 2\ndata: b", SCENE_CLOSE } },
    200,
    E1,
    false,
    1,
    END_SPLIT_EVENT },
  { "split-event/line",
    ONCE,
    { { UNTIL_CLOSE E1 "id: 2\n", SCENE_CLOSE } },
    200,
    E1,
    false,
    1,
    END_SPLIT_EVENT },
  { "split-event/blank-line",
    ONCE,
    { { UNTIL_CLOSE E1 "id: 2\ndata: b\n", SCENE_CLOSE } },
    200,
    E1,
    false,
    1,
    END_SPLIT_EVENT },
  { "split-event/first",
    ONCE,
    { { UNTIL_CLOSE "id: 1\nda", SCENE_CLOSE } },
    502,
    "",
    true,
    1,
    END_SPLIT_EVENT },
  { "split-event/chunks",
    ONCE,
    { { CHUNKED CHUNK (E1) "4\r\nid: \r\n" LAST_CHUNK, SCENE_KEEP_OPEN } },
    200,
    E1,
    false,
    1,
    END_SPLIT_EVENT },
  { "split-event/length",
    ONCE,
    { { LENGTH ("17") E1 "id", SCENE_KEEP_OPEN } },
    200,
    E1,
    false,
    1,
    END_SPLIT_EVENT },
  { "split-event/resumed",
    RESUMABLE,
    { { UNTIL_CLOSE E1 "id: 2\nda", SCENE_CLOSE },
      { UNTIL_CLOSE E2 E3, SCENE_CLOSE } },
    200,
    E1 E2 E3,
    true,
    2,
    END_SPLIT_EVENT },
  { "split-event/resumed-and-split",
    RESUMABLE,
    { { UNTIL_CLOSE E1 "id: 2\nda", SCENE_CLOSE },
      { UNTIL_CLOSE E2 "id: 3\nda", SCENE_CLOSE } },
    200,
    E1 E2,
    false,
    2,
    END_SPLIT_EVENT },
  { "split-event/resumed-before-first",
    RESUMABLE,
    { { UNTIL_CLOSE "id: 1\nda", SCENE_CLOSE },
      { UNTIL_CLOSE E1 E2, SCENE_CLOSE } },
    200,
    E1 E2,
    true,
    2,
    END_SPLIT_EVENT },

  /* Guards against a stream that is resumed by the router before an event that
     its caller has, as that has no id.  */
  { "resuming/event-without-id",
    RESUMABLE,
    { { CHUNKED CHUNK (E1) CHUNK (NO_ID), SCENE_CLOSE },
      { CHUNKED CHUNK (NO_ID) CHUNK (E2) LAST_CHUNK, SCENE_KEEP_OPEN } },
    200,
    E1 NO_ID,
    false,
    1,
    END_TRUNCATED },
  { "resuming/comment",
    RESUMABLE,
    { { CHUNKED CHUNK (E1) "3\r\n:\n\n\r\n", SCENE_CLOSE },
      { CHUNKED CHUNK (E2) LAST_CHUNK, SCENE_KEEP_OPEN } },
    200,
    E1 ":\n\n" E2,
    true,
    2,
    END_TRUNCATED },

  /* Guards against a caller that resumes a stream and gets events once more,
     from an endpoint that begins anew.  */
  { "resuming/events-repeated",
    CALL_RESUMING,
    { { CHUNKED CHUNK (E1) CHUNK (E2) LAST_CHUNK, SCENE_KEEP_OPEN } },
    200,
    E2,
    true,
    1,
    END_CHUNKS },

  /* Guards against a stream whose endpoint ended before the first event, and
     which is framed as whole for its caller.  */
  { "close/stream-without-events",
    ONCE,
    { { UNTIL_CLOSE, SCENE_CLOSE } },
    502,
    "",
    true,
    1,
    END_NO_EVENT },
  { "close/stream-without-events-resumed",
    RESUMABLE,
    { { UNTIL_CLOSE, SCENE_CLOSE }, { UNTIL_CLOSE E1, SCENE_CLOSE } },
    200,
    E1,
    true,
    2,
    END_NO_EVENT },
  { "chunks/stream-without-events",
    ONCE,
    { { CHUNKED LAST_CHUNK, SCENE_KEEP_OPEN } },
    200,
    "",
    true,
    1,
    END_CHUNKS },
  { "close/stream",
    ONCE,
    { { UNTIL_CLOSE E1 E2, SCENE_CLOSE } },
    200,
    E1 E2,
    true,
    1,
    END_CLOSE },
  { "close/comment",
    ONCE,
    { { UNTIL_CLOSE E1 ": ping\n", SCENE_CLOSE } },
    200,
    E1 ": ping\n",
    true,
    1,
    END_CLOSE },
  { "close/plain",
    PLAIN,
    { { UNTIL_CLOSE "abc", SCENE_CLOSE } },
    200,
    "abc",
    true,
    1,
    END_CLOSE },
  { "close/plain-empty",
    PLAIN,
    { { UNTIL_CLOSE, SCENE_CLOSE } },
    200,
    "",
    true,
    1,
    END_CLOSE },
  { "reset/plain",
    PLAIN,
    { { UNTIL_CLOSE "abc", SCENE_RESET } },
    502,
    "",
    true,
    1,
    END_RESET },
  { "reset/plain-twice",
    PLAIN_TWICE,
    { { UNTIL_CLOSE "abc", SCENE_RESET }, { UNTIL_CLOSE "d", SCENE_CLOSE } },
    200,
    "d",
    true,
    2,
    END_RESET },
  { "reset/between-events",
    ONCE,
    { { UNTIL_CLOSE E1, SCENE_RESET } },
    200,
    E1,
    false,
    1,
    END_RESET },
  { "truncated/chunks",
    ONCE,
    { { CHUNKED CHUNK (E1), SCENE_CLOSE } },
    200,
    E1,
    false,
    1,
    END_TRUNCATED },
  { "truncated/in-chunk",
    ONCE,
    { { CHUNKED CHUNK (E1) "f\r\nid: 2", SCENE_CLOSE } },
    200,
    E1,
    false,
    1,
    END_TRUNCATED },
  { "truncated/length",
    PLAIN,
    { { LENGTH ("9") "abc", SCENE_CLOSE } },
    502,
    "",
    true,
    1,
    END_TRUNCATED },
  { "malformed/chunk",
    ONCE,
    { { CHUNKED CHUNK (E1) "zz\r\n", SCENE_KEEP_OPEN } },
    200,
    E1,
    false,
    1,
    END_MALFORMED },
  { "malformed/head",
    PLAIN,
    { { "no HTTP\r\n\r\n", SCENE_KEEP_OPEN } },
    502,
    "",
    true,
    1,
    END_MALFORMED },
  { "timed-out/stream",
    CALL_SHORT ("/events-once/"),
    { { UNTIL_CLOSE E1 "id", SCENE_KEEP_OPEN } },
    200,
    E1,
    false,
    1,
    END_TIMED_OUT },
  { "timed-out/plain",
    CALL_SHORT ("/once/"),
    { { UNTIL_CLOSE "abc", SCENE_KEEP_OPEN } },
    504,
    "",
    true,
    1,
    END_TIMED_OUT },
  { "no-answer/head",
    PLAIN,
    { { "HTTP/1.1 200 OK\r\nX-", SCENE_CLOSE } },
    502,
    "",
    true,
    1,
    END_NO_ANSWER },

  /* Guards against a caller of HTTP/1.0 that gets chunks, which it can't read,
     or a body that ends with the connection, however that ends.  */
  { "http10/stream",
    CALL_HTTP10 ("/events-once/"),
    { { CHUNKED CHUNK (E1) CHUNK (E2) LAST_CHUNK, SCENE_KEEP_OPEN } },
    200,
    E1 E2,
    true,
    1,
    END_CHUNKS },
  { "http10/split-event",
    CALL_HTTP10 ("/events-once/"),
    { { UNTIL_CLOSE E1 "id: 2\nda", SCENE_CLOSE } },
    502,
    "",
    true,
    1,
    END_SPLIT_EVENT },
  { "http10/resumed",
    CALL_HTTP10 ("/events/"),
    { { CHUNKED CHUNK (E1), SCENE_CLOSE },
      { UNTIL_CLOSE E2 E3, SCENE_CLOSE } },
    200,
    E1 E2 E3,
    true,
    2,
    END_TRUNCATED },
  { "http10/plain",
    CALL_HTTP10 ("/once/"),
    { { UNTIL_CLOSE "abc", SCENE_CLOSE } },
    200,
    "abc",
    true,
    1,
    END_CLOSE },
};

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

static void
test_case (const void *data)
{
  const case_t *test = data;
  unsigned replies = test->replies[1].bytes != NULL ? 2 : 1;
  scene_t *scene = scene_new (test->replies, replies, 4);
  scene_caller_t *caller;
  answer_t answer;

  scene_register_version (scene);
  caller = scene_send_request (scene, test->call);
  scene_run (scene, is_answered, caller);
  answer = read_answer (caller);
  g_assert_cmpuint (answer.status, ==, test->status);
  g_assert_cmpstr (answer.body->str, ==, test->body);
  g_assert_cmpint (answer.is_whole, ==, test->is_whole);
  g_assert_cmpuint (scene->requests_received, ==, test->requests);
  g_assert_cmpuint (rly_counts (scene->rly)->ends[test->first_end], >=, 1);
  if (strstr (test->call, " HTTP/1.0\r\n") != NULL)
    {
      g_assert_null (strstr (caller->text->str, "Transfer-Encoding"));
      g_assert_nonnull (strstr (caller->text->str, "Content-Length: "));
      scene_wait_for (scene, caller, NULL);
    }
  g_string_free (answer.body, TRUE);
  scene_caller_free (caller);
  scene_free (scene);
}

/* An answer that is larger than the memory for answers.  */
typedef struct
{
  const char *name;
  const char *answer; /* in one read */
  const char *body;   /* that its caller gets */
} memory_case_t;

#define SMALL_CHUNK "9\r\nid: 4\nd\n\n\r\n"
/* Two events fit, and after them SMALL_CHUNK.  */
#define MEMORY_BYTES 40

static const memory_case_t memory_cases[] = {
  /* Guards against a stream that goes on after events that were dropped.  */
  { "gap", CHUNKED CHUNK (E1) CHUNK (E2) CHUNK (E3) SMALL_CHUNK, E1 E2 },
  /* Guards against a stream that is resumed after events that its caller
     didn't get.  */
  { "end", CHUNKED CHUNK (E1) CHUNK (E2) CHUNK (E3) LAST_CHUNK, E1 E2 },
};

static void
test_memory (const void *data)
{
  const memory_case_t *test = data;
  const scene_reply_t replies[]
      = { { test->answer, SCENE_KEEP_OPEN },
          { CHUNKED CHUNK (E3) LAST_CHUNK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, G_N_ELEMENTS (replies), 4);
  scene_caller_t *caller;
  answer_t answer;

  rly_set_answer_budget (scene->rly, MEMORY_BYTES);
  caller = scene_send_request (scene, RESUMABLE);
  scene_run (scene, is_answered, caller);
  answer = read_answer (caller);
  g_assert_cmpstr (answer.body->str, ==, test->body);
  g_assert_false (answer.is_whole);
  g_string_free (answer.body, TRUE);
  scene_caller_free (caller);
  scene_free (scene);
}

static bool
are_answered (void *user)
{
  scene_caller_t *const *callers = user;

  return is_answered (callers[0]) && is_answered (callers[1]);
}

/* Guards against streams without length or chunks that count as whole, though
   their endpoint's process ended between two events.  */
static void
test_process_ended (const void *data)
{
  static const scene_reply_t replies[]
      = { { UNTIL_CLOSE E1, SCENE_KEEP_OPEN } };
  bool has_ended = GPOINTER_TO_INT (data);
  scene_t *scene = scene_new (replies, 1, 4);
  scene_server_t *server = &scene->servers[1];
  scene_caller_t *callers[2];

  scene_list_endpoints (scene, 1, false, 4);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      callers[i] = scene_send_request (scene, ONCE);
      scene_wait_for (scene, callers[i], E1);
    }
  if (has_ended)
    {
      ev_io_stop (scene->loop, &server->listener);
      shutdown (server->listener.fd, SHUT_RD);
    }
  scene_close_connections (scene);
  scene_run (scene, are_answered, callers);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      answer_t answer = read_answer (callers[i]);

      g_assert_cmpstr (answer.body->str, ==, E1);
      g_assert_cmpint (answer.is_whole, ==, !has_ended);
      g_string_free (answer.body, TRUE);
      scene_caller_free (callers[i]);
    }
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/ends/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (memory_cases); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/ends/memory/%s", memory_cases[i].name);

      g_test_add_data_func (path, &memory_cases[i], test_memory);
    }
  g_test_add_data_func ("/ends/close/process-ended", GINT_TO_POINTER (true),
                        test_process_ended);
  g_test_add_data_func ("/ends/close/process-goes-on", GINT_TO_POINTER (false),
                        test_process_ended);
  return g_test_run ();
}
