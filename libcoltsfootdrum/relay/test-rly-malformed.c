/* Answers that are not HTTP/1.1: their callers get nothing of them.  What the
   caller receives is compared as bytes, not by the router's reader.  */

#include "test-rly-scene.h"

#include <string.h>

#define FIELDS "X-Id: %I\r\nX-Stamp: s\r\n"
#define BROKEN "Content-Length: 6\r\n\r\nbroken"
#define SOUND "HTTP/1.1 200 OK\r\n" FIELDS "Content-Length: 5\r\n\r\nsound"
#define EVENT "id: 1\ndata: a\n\n"
#define FIRST_EVENT "HTTP/1.1 200 OK\r\n" FIELDS "\r\n" EVENT "id: 2\nda"

#define CALL(path)                                                            \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: 20000\r\n"     \
  "Authorization: Bearer key-of-the-mill\r\nContent-Length: 0\r\n\r\n"
#define ONCE CALL ("/once/")
#define TWICE CALL ("/twice/")
#define STREAM CALL ("/events-once/")
#define RESUMABLE CALL ("/events/")

typedef enum
{
  GETS_FAILURE,      /* 502, made by the router */
  GETS_SOUND,        /* that of another attempt */
  GETS_BROKEN_STREAM /* its first event, and no end */
} outcome_t;

typedef struct
{
  const char *name;
  const char *call;
  scene_reply_t replies[2]; /* a reply without bytes: none */
  outcome_t outcome;
} case_t;

static const case_t cases[] = {
  /* Guards against a status that is none, and which the caller gets.  */
  { "status/zero",
    ONCE,
    { { "HTTP/1.1 000 Z\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "status/zero-until-close",
    ONCE,
    { { "HTTP/1.1 000 Z\r\n" FIELDS "\r\nbroken", SCENE_CLOSE } },
    GETS_FAILURE },
  { "status/below",
    ONCE,
    { { "HTTP/1.1 099 Z\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "status/above",
    ONCE,
    { { "HTTP/1.1 600 Z\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "status/one-digit",
    ONCE,
    { { "HTTP/1.1 2 OK\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "status/four-digits",
    ONCE,
    { { "HTTP/1.1 0200 OK\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "status/other-version",
    ONCE,
    { { "HTTP/2.0 200 OK\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "status/zero-not-run",
    ONCE,
    { { "HTTP/1.1 000 Z\r\nX-Not-Run: 1\r\n" FIELDS BROKEN,
        SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "status/zero-retried",
    TWICE,
    { { "HTTP/1.1 000 Z\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN },
      { SOUND, SCENE_KEEP_OPEN } },
    GETS_SOUND },
  { "status/zero-to-stream",
    STREAM,
    { { "HTTP/1.1 000 Z\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "status/zero-to-resumed-stream",
    RESUMABLE,
    { { FIRST_EVENT, SCENE_CLOSE },
      { "HTTP/1.1 000 Z\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN } },
    GETS_BROKEN_STREAM },

  /* Guards against a line whose name is none, and which the caller gets or
     which gives its answer another body.  */
  { "name/blank",
    ONCE,
    { { "HTTP/1.1 200 OK\r\nX Y: 1\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "name/blank-of-error",
    ONCE,
    { { "HTTP/1.1 500 Z\r\nX Y: 1\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "name/blank-first",
    ONCE,
    { { "HTTP/1.1 200 OK\r\n X: 1\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "name/blank-after-length",
    ONCE,
    { { "HTTP/1.1 200 OK\r\n" FIELDS "Content-Length : 6\r\n\r\nbroken",
        SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "name/blank-after-transfer-encoding",
    ONCE,
    { { "HTTP/1.1 200 OK\r\n" FIELDS "Transfer-Encoding : chunked\r\n\r\n"
        "6\r\nbroken\r\n0\r\n\r\n",
        SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "name/control-byte",
    ONCE,
    { { "HTTP/1.1 200 OK\r\nX\001Y: 1\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "name/tab",
    ONCE,
    { { "HTTP/1.1 200 OK\r\nX\tY: 1\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "name/blank-in-interim-answer",
    ONCE,
    { { "HTTP/1.1 103 E\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n" FIELDS BROKEN,
        SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "name/blank-in-trailer",
    ONCE,
    { { "HTTP/1.1 200 OK\r\n" FIELDS "Transfer-Encoding: chunked\r\n\r\n"
        "6\r\nbroken\r\n0\r\nX Y: 1\r\n\r\n",
        SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "name/blank-not-run",
    ONCE,
    { { "HTTP/1.1 503 Z\r\nX-Not-Run: 1\r\nX Y: 1\r\n" FIELDS BROKEN,
        SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "name/blank-retried",
    TWICE,
    { { "HTTP/1.1 200 OK\r\nX Y: 1\r\n" FIELDS BROKEN, SCENE_KEEP_OPEN },
      { SOUND, SCENE_KEEP_OPEN } },
    GETS_SOUND },
  { "name/blank-to-stream",
    STREAM,
    { { "HTTP/1.1 200 OK\r\nX Y: 1\r\n" FIELDS "\r\n" EVENT, SCENE_CLOSE } },
    GETS_FAILURE },

  /* Guards against a line that becomes part of the value before it.  */
  { "folded/stamp",
    ONCE,
    { { "HTTP/1.1 200 OK\r\n" FIELDS " X: 1\r\n" BROKEN, SCENE_KEEP_OPEN } },
    GETS_FAILURE },

  /* Guards against a caller that gets the framing of chunks, or a body in a
     coding, as the body.  */
  { "coding/chunked-not-last",
    ONCE,
    { { "HTTP/1.1 200 OK\r\n" FIELDS "Transfer-Encoding: chunked, gzip\r\n\r\n"
        "6\r\nbroken\r\n0\r\n\r\n",
        SCENE_CLOSE } },
    GETS_FAILURE },
  { "coding/gzip-in-chunks",
    ONCE,
    { { "HTTP/1.1 200 OK\r\n" FIELDS "Transfer-Encoding: gzip, chunked\r\n\r\n"
        "6\r\nbroken\r\n0\r\n\r\n",
        SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "coding/gzip",
    ONCE,
    { { "HTTP/1.1 500 Z\r\n" FIELDS "Transfer-Encoding: gzip\r\n\r\nbroken",
        SCENE_CLOSE } },
    GETS_FAILURE },

  /* Guards against an answer that counts as whole, though its chunks are of
     other sizes than they say.  */
  { "chunks/too-short",
    ONCE,
    { { "HTTP/1.1 200 OK\r\n" FIELDS "Transfer-Encoding: chunked\r\n\r\n"
        "6\r\nbroken: 0\r\n\r\n",
        SCENE_KEEP_OPEN } },
    GETS_FAILURE },
  { "chunks/stream",
    STREAM,
    { { "HTTP/1.1 200 OK\r\n" FIELDS "Transfer-Encoding: chunked\r\n\r\n"
        "f\r\n" EVENT "\n\n0\r\n\r\n",
        SCENE_KEEP_OPEN } },
    GETS_BROKEN_STREAM },
};

static bool
is_answered (void *user)
{
  const scene_caller_t *caller = user;

  return caller->ended || g_str_has_suffix (caller->text->str, "\r\n\r\n")
         || g_str_has_suffix (caller->text->str, "sound")
         || g_str_has_suffix (caller->text->str, "broken");
}

static void
check_outcome (scene_t *scene, scene_caller_t *caller, outcome_t outcome)
{
  const char *text = caller->text->str;

  switch (outcome)
    {
    case GETS_FAILURE:
      g_assert_true (g_str_has_prefix (text, "HTTP/1.1 502 "));
      g_assert_null (strstr (text, "X-Stamp"));
      break;
    case GETS_SOUND:
      g_assert_true (g_str_has_prefix (text, "HTTP/1.1 200 "));
      g_assert_true (g_str_has_suffix (text, "\r\n\r\nsound"));
      break;
    case GETS_BROKEN_STREAM:
      scene_wait_for (scene, caller, NULL);
      g_assert_true (g_str_has_prefix (text, "HTTP/1.1 200 "));
      g_assert_nonnull (strstr (text, EVENT));
      g_assert_null (strstr (text, "\r\n0\r\n"));
      break;
    }
  g_assert_null (strstr (text, "broken"));
}

static void
test_case (const void *data)
{
  const case_t *test = data;
  unsigned replies = test->replies[1].bytes != NULL ? 2 : 1;
  scene_t *scene = scene_new (test->replies, replies, 4);
  scene_caller_t *caller;

  scene_register_version (scene);
  caller = scene_send_request (scene, test->call);
  scene_run (scene, is_answered, caller);
  check_outcome (scene, caller, test->outcome);
  g_assert_cmpuint (scene->requests_received, ==, replies);
  g_assert_cmpuint (rly_counts (scene->rly)->ends[END_MALFORMED], ==, 1);
  scene_caller_free (caller);
  scene_free (scene);
}

static bool
has_second_request (void *user)
{
  return ((const scene_t *)user)->requests_received == 2;
}

/* Guards against a caller that gets the answer without a status which its
   endpoint sends on a kept connection, where the answer to the next request is
   due.  */
static void
test_kept_connection (const void *data)
{
  const char *answer = data;
  static const scene_reply_t replies[]
      = { { SOUND, SCENE_KEEP_OPEN }, { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, G_N_ELEMENTS (replies), 4);
  scene_caller_t *first;
  scene_caller_t *second;

  scene_list_endpoints (scene, 1, false, 4);
  first = scene_send_request (scene, ONCE);
  scene_run (scene, is_answered, first);
  second = scene_send_request (scene, ONCE);
  scene_run (scene, has_second_request, scene);
  g_assert_cmpuint (scene->server_cons->len, ==, 1);
  scene_answer (scene, answer);
  scene_run (scene, is_answered, second);
  check_outcome (scene, first, GETS_SOUND);
  check_outcome (scene, second, GETS_FAILURE);
  scene_caller_free (first);
  scene_caller_free (second);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/malformed/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
    }
  g_test_add_data_func ("/malformed/kept/own-id",
                        "HTTP/1.1 000 Z\r\nX-Id: 1\r\nX-Stamp: s\r\n" BROKEN,
                        test_kept_connection);
  g_test_add_data_func ("/malformed/kept/other-id",
                        "HTTP/1.1 000 Z\r\nX-Id: 0\r\nX-Stamp: s\r\n" BROKEN,
                        test_kept_connection);
  g_test_add_data_func ("/malformed/kept/no-id", "HTTP/1.1 000 Z\r\n" BROKEN,
                        test_kept_connection);
  return g_test_run ();
}
