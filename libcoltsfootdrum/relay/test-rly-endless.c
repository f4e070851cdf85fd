/* Endpoints that send bytes until their caller closes the connection, over
   real connections: each form is bounded, and delays no other caller.  */

#include "test-rly-scene.h"

#include <string.h>

/* Time within which a caller gets its answer.  Its own deadline is far
   later.  */
#define MAX_ANSWER_MS 4000
/* Bytes that an endpoint may bring, with those in the buffers of both sides:
   one whole plain answer of the largest size, and framing.  */
#define MAX_BYTES (24u * 1024 * 1024)

#define HEAD "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\n"
#define UNTIL_CLOSE HEAD "\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define OTHER "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Stamp: s\r\n"
#define TEN "aaaaaaaaaa"
#define HUNDRED TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN
#define E1 "id: 1\ndata: a\n\n"

#define CALL(path)                                                            \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: 20000\r\n"     \
  "Authorization: Bearer key-of-the-mill\r\nContent-Length: 0\r\n\r\n"
#define PLAIN CALL ("/once/")
#define PLAIN_TWICE CALL ("/twice/")
#define ONCE CALL ("/events-once/")
#define RESUMABLE CALL ("/events/")

typedef struct
{
  const char *name;
  const char *call;
  const char *begin;
  const char *repeat;
  const char *status_line; /* of the caller's answer */
  end_kind_t end;
  unsigned failures; /* counted against the endpoint */
} case_t;

#define BAD "HTTP/1.1 502 "
#define GOOD "HTTP/1.1 200 "

static const case_t cases[] = {
  /* Guards against heads that take memory or time without a limit.  */
  { "head/value", PLAIN, HEAD "X-A: ", HUNDRED, BAD, END_MALFORMED, 1 },
  { "head/name", PLAIN, HEAD, HUNDRED, BAD, END_MALFORMED, 1 },
  { "head/reason", PLAIN, "HTTP/1.1 200 ", HUNDRED, BAD, END_MALFORMED, 1 },
  { "head/fields", PLAIN, HEAD, "X-A: b\r\n", BAD, END_MALFORMED, 1 },
  { "head/short-fields", PLAIN, HEAD, "a:\r\n", BAD, END_MALFORMED, 1 },
  { "head/connection-fields", PLAIN, HEAD, "Connection: a,b,c,d\r\n", BAD,
    END_MALFORMED, 1 },
  { "head/blank-lines", PLAIN, "", "\r\n", BAD, END_MALFORMED, 1 },
  { "head/no-http", PLAIN, "", TEN, BAD, END_MALFORMED, 1 },
  { "head/interim", PLAIN, "", "HTTP/1.1 100 Continue\r\n\r\n", BAD,
    END_MALFORMED, 1 },
  { "head/interim-fields", PLAIN, "",
    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", BAD, END_MALFORMED, 1 },

  /* Guards against late answers to other requests without end.  */
  { "other/answers", PLAIN, "", OTHER "Content-Length: 1\r\n\r\na", BAD,
    END_MALFORMED, 1 },
  { "other/body", PLAIN, OTHER "\r\n", HUNDRED, BAD, END_MALFORMED, 1 },

  /* Guards against chunks whose framing has no end.  */
  { "chunks/extension", PLAIN, CHUNKED "1;", "a=b;", BAD, END_MALFORMED, 1 },
  { "chunks/extensions", PLAIN, CHUNKED,
    "1;" HUNDRED HUNDRED HUNDRED "\r\na\r\n", BAD, END_MALFORMED, 1 },
  { "chunks/zeros", PLAIN, CHUNKED, "0000000000", BAD, END_MALFORMED, 1 },
  { "chunks/trailers", PLAIN, CHUNKED "1\r\na\r\n0\r\n", "X-T: a\r\n", BAD,
    END_MALFORMED, 1 },
  { "chunks/extension-stream", ONCE, CHUNKED "1;", "a=b;", BAD, END_MALFORMED,
    1 },

  /* Guards against bodies that exceed any size.  */
  { "body/until-close", PLAIN, UNTIL_CLOSE, HUNDRED, BAD, END_MALFORMED, 1 },
  { "body/chunks", PLAIN, CHUNKED, "a\r\n" TEN "\r\n", BAD, END_MALFORMED, 1 },
  { "body/length", PLAIN, HEAD "Content-Length: 99999999999\r\n\r\n", HUNDRED,
    BAD, END_MALFORMED, 1 },
  { "body/error", PLAIN, "HTTP/1.1 500 No\r\nX-Id: %I\r\n\r\n", HUNDRED, BAD,
    END_MALFORMED, 1 },
  { "body/not-run", PLAIN,
    "HTTP/1.1 503 Full\r\nX-Id: %I\r\nX-Not-Run: 1\r\n\r\n", HUNDRED, BAD,
    END_MALFORMED, 1 },

  /* Guards against streams that go on without an event.  */
  { "stream/comment", ONCE, UNTIL_CLOSE ": ", HUNDRED, BAD, END_MALFORMED, 1 },
  { "stream/comment-lines", ONCE, UNTIL_CLOSE, ": a\n", BAD, END_MALFORMED,
    1 },
  { "stream/comments", ONCE, UNTIL_CLOSE, ": a\n\n", GOOD, END_MALFORMED, 1 },
  { "stream/blank-lines", ONCE, UNTIL_CLOSE, "\n", GOOD, END_MALFORMED, 1 },
  { "stream/crlf", ONCE, UNTIL_CLOSE, "\r\n", GOOD, END_MALFORMED, 1 },
  { "stream/same-event", ONCE, UNTIL_CLOSE E1, E1, GOOD, END_MALFORMED, 1 },
  { "stream/event", ONCE, UNTIL_CLOSE "data: ", HUNDRED, BAD, END_MALFORMED,
    1 },
  { "stream/event-lines", ONCE, UNTIL_CLOSE E1, "data: a\n", GOOD,
    END_MALFORMED, 1 },

  /* Guards against bytes after an answer that are read as the next one.  */
  { "after/length", PLAIN, HEAD "Content-Length: 3\r\n\r\nabc", HUNDRED, GOOD,
    END_LENGTH, 0 },
  { "after/chunks", PLAIN, CHUNKED "3\r\nabc\r\n0\r\n\r\n", HUNDRED, GOOD,
    END_CHUNKS, 0 },
  { "after/stream", ONCE, CHUNKED "f\r\n" E1 "\r\n0\r\n\r\n", HUNDRED, GOOD,
    END_CHUNKS, 0 },
};

/* What is awaited: a caller's answer is whole or its connection ended, and the
   endpoint sees that its own was closed.  */
typedef struct
{
  const scene_t *scene;
  const scene_caller_t *caller;
  cfd_time_t until;
} wait_t;

static bool
is_over (void *user)
{
  const wait_t *wait = user;

  return clock_now () > wait->until
         || (wait->scene->closed_connections > 0
             && (wait->caller->ended
                 || strstr (wait->caller->text->str, "\r\n\r\n") != NULL));
}

static unsigned
count_failures (const scene_t *scene)
{
  unsigned failures = 0;

  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%u", i);

      failures += edp_set_find (scene->endpoints, id)->consecutive_failures;
    }
  return failures;
}

static void
test_case (const void *data)
{
  const case_t *test = data;
  const scene_reply_t reply = { test->begin, SCENE_REPEAT };
  scene_t *scene = scene_new (&reply, 1, 4);
  scene_caller_t *caller = scene_send_request (scene, test->call);
  wait_t wait = { scene, caller, clock_now () + MAX_ANSWER_MS };
  const uint64_t *ends = rly_counts (scene->rly)->ends;

  scene->repeat = test->repeat;
  scene_run (scene, is_over, &wait);
  g_test_message ("%" G_GUINT64_FORMAT " bytes", scene->repeated_bytes);
  g_assert_cmpuint (scene->closed_connections, >=, 1);
  g_assert_cmpint (clock_now (), <=, wait.until);
  g_assert_true (g_str_has_prefix (caller->text->str, test->status_line));
  g_assert_cmpuint (scene->repeated_bytes, <=, MAX_BYTES);
  g_assert_cmpuint (scene->requests_received, ==, 1);
  g_assert_cmpuint (ends[test->end], ==, 1);
  g_assert_cmpuint (count_failures (scene), ==, test->failures);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against an endless answer that is final where the route allows
   another attempt.  */
static void
test_sent_again (void)
{
  static const scene_reply_t replies[]
      = { { UNTIL_CLOSE, SCENE_REPEAT },
          { HEAD "Content-Length: 3\r\n\r\nabc", SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, G_N_ELEMENTS (replies), 4);
  scene_caller_t *caller = scene_send_request (scene, PLAIN_TWICE);

  scene->repeat = HUNDRED;
  scene_wait_for (scene, caller, "\r\n\r\nabc");
  g_assert_true (g_str_has_prefix (caller->text->str, GOOD));
  g_assert_cmpuint (scene->requests_received, ==, 2);
  g_assert_cmpuint (count_failures (scene), ==, 1);
  scene_caller_free (caller);
  scene_free (scene);
}

/* The same for a stream, which is resumed after its last event.  */
static void
test_resumed (void)
{
  static const scene_reply_t replies[]
      = { { UNTIL_CLOSE E1, SCENE_REPEAT },
          { UNTIL_CLOSE "id: 2\ndata: b\n\n", SCENE_CLOSE } };
  scene_t *scene = scene_new (replies, G_N_ELEMENTS (replies), 4);
  scene_caller_t *caller = scene_send_request (scene, RESUMABLE);

  scene->repeat = ": a\n";
  scene_wait_for (scene, caller, "0\r\n\r\n");
  g_assert_nonnull (strstr (caller->text->str, E1));
  g_assert_nonnull (strstr (caller->text->str, "id: 2\ndata: b\n\n"));
  g_assert_cmpuint (scene->requests_received, ==, 2);
  scene_caller_free (caller);
  scene_free (scene);
}

#define ENDLESS 6
/* Time to answer a caller beside endless answers to others; the test runs
   both sides of all connections.  */
#define MAX_DELAY_MS 1000

/* Guards against a loop that reads one endpoint's bytes only: another caller
   gets its answer while endpoints send events without end, which is no
   fault.  */
static void
test_others_not_delayed (void)
{
  scene_reply_t replies[ENDLESS + 1];
  scene_caller_t *callers[ENDLESS];
  scene_caller_t *other;
  scene_t *scene;
  cfd_time_t start;

  for (unsigned i = 0; i < ENDLESS; i++)
    replies[i] = (scene_reply_t){ UNTIL_CLOSE, SCENE_REPEAT };
  replies[ENDLESS] = (scene_reply_t){ HEAD "Content-Length: 3\r\n\r\nabc",
                                      SCENE_KEEP_OPEN };
  scene = scene_new (replies, G_N_ELEMENTS (replies), 8);
  scene->repeat = "data: " HUNDRED "\n\n";
  for (unsigned i = 0; i < ENDLESS; i++)
    {
      callers[i] = scene_send_request (scene, ONCE);
      scene_wait_for (scene, callers[i], "data: ");
    }
  start = clock_now ();
  other = scene_send_request (scene, PLAIN);
  scene_wait_for (scene, other, "\r\n\r\nabc");
  g_assert_true (g_str_has_prefix (other->text->str, GOOD));
  g_assert_cmpint (clock_now () - start, <, MAX_DELAY_MS);
  g_assert_cmpuint (scene->closed_connections, ==, 0);
  for (unsigned i = 0; i < ENDLESS; i++)
    scene_caller_free (callers[i]);
  scene_caller_free (other);
  scene_free (scene);
}

static const char *
get_path (void *user, const char *service)
{
  return "/healthz";
}

static unsigned
get_rank (void *user, cfd_time_t now, const edp_t *edp)
{
  return 0;
}

static unsigned
count_routers (void *user, const edp_t *edp)
{
  return 1;
}

static int64_t
get_warm_up_ms (void *user, const char *service)
{
  return 3000;
}

static bool
are_closed (void *user)
{
  const wait_t *wait = user;

  return clock_now () > wait->until
         || wait->scene->closed_connections == SCENE_ENDPOINTS;
}

/* Guards against health checks that are read until their time-out.  */
static void
test_health_check (const void *data)
{
  static const edp_check_options_t options
      = { "X-Endpoint", "X-Cold", "X-Not-Run",   "X-Id",
          get_path,     get_rank, count_routers, NULL };
  const case_t *test = data;
  const scene_reply_t reply = { test->begin, SCENE_REPEAT };
  scene_t *scene = scene_new (&reply, 1, 4);
  wait_t wait = { scene, NULL, clock_now () + MAX_ANSWER_MS };

  scene->repeat = test->repeat;
  edp_set_update_warm_up (scene->endpoints, get_warm_up_ms, NULL);
  edp_set_check_health (scene->endpoints, clock_now (), &options, false);
  scene_run (scene, are_closed, &wait);
  g_assert_cmpuint (scene->closed_connections, ==, SCENE_ENDPOINTS);
  g_assert_cmpuint (scene->repeated_bytes, <=, MAX_BYTES);
  g_assert_cmpuint (count_failures (scene), ==, SCENE_ENDPOINTS);
  scene_free (scene);
}

static const case_t checks[] = {
  { "body", .begin = UNTIL_CLOSE, .repeat = HUNDRED },
  { "chunks", .begin = CHUNKED, .repeat = "a\r\n" TEN "\r\n" },
  { "interim", .begin = "", .repeat = "HTTP/1.1 100 Continue\r\n\r\n" },
  { "head", .begin = HEAD, .repeat = "X-A: b\r\n" },
  { "extensions", .begin = CHUNKED "1;", .repeat = "a=b;" },
};

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/endless/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (checks); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/endless/health-check/%s", checks[i].name);

      g_test_add_data_func (path, &checks[i], test_health_check);
    }
  g_test_add_func ("/endless/sent-again", test_sent_again);
  g_test_add_func ("/endless/resumed", test_resumed);
  g_test_add_func ("/endless/others-not-delayed", test_others_not_delayed);
  return g_test_run ();
}
