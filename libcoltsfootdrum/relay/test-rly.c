/* The relay over real connections: the answer that a caller gets for each
   behaviour of an endpoint, and the requests that endpoints get.  */

#include "relay/edp-private.h"
#include "relay/rly-private.h"
#include "test-rly-scene.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define OK(body_length, body)                                                 \
  "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\nContent-Length: " body_length \
  "\r\n\r\n" body
#define NOT_RUN                                                               \
  "HTTP/1.1 503 Busy\r\nX-Id: %I\r\nX-Not-Run: 1\r\nContent-Length: "         \
  "0\r\n\r\n"
#define MISDIRECTED "HTTP/1.1 421 No\r\nX-Id: %I\r\nContent-Length: 0\r\n\r\n"
#define EVENTS                                                                \
  "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\nTransfer-Encoding: "          \
  "chunked\r\n\r\n"
#define E1 "f\r\nid: 1\ndata: a\n\n\r\n"
#define E2 "f\r\nid: 2\ndata: b\n\n\r\n"
#define E3 "f\r\nid: 3\ndata: c\n\n\r\n"
#define END "0\r\n\r\n"
/* Between two events of a stream; in a bucket of its own.  */
#define PAUSE_MS 150

#define CALL(path, id)                                                        \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: " id                            \
  "\r\nX-Deadline: 4000\r\nAuthorization: Bearer key-of-the-mill\r\n"         \
  "Content-Length: 2\r\n\r\nhi"

typedef struct
{
  const char *name;
  const char *call;
  scene_reply_t replies[3];
  unsigned reply_count;
  const char *answer;         /* its first bytes */
  const char *contains;       /* found in the answer; NULL: not checked */
  unsigned expected_requests; /* at all endpoints */
  bool is_truncated; /* the connection ends without the answer's end */
} case_t;

static const case_t cases[] = {
  { "whole",
    CALL ("/once/", "1"),
    { { OK ("3", "abc"), SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 200 OK\r\n",
    "Content-Length: 3\r\n\r\nabc",
    1,
    false },
  /* The endpoint rejected the request: another one may get it, on a route that
     allows two attempts.  */
  { "not-run-elsewhere",
    CALL ("/twice/", "1"),
    { { NOT_RUN, SCENE_KEEP_OPEN }, { OK ("1", "x"), SCENE_KEEP_OPEN } },
    2,
    "HTTP/1.1 200 OK\r\n",
    "\r\n\r\nx",
    2,
    false },
  { "not-run-once",
    CALL ("/once/", "1"),
    { { NOT_RUN, SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 503 ",
    "Retry-After: 0.",
    1,
    false },
  /* Another endpoint has taken over the address.  The request was not run, so
     that it keeps its only attempt.  */
  { "misdirected-once",
    CALL ("/once/", "1"),
    { { MISDIRECTED, SCENE_KEEP_OPEN }, { OK ("1", "x"), SCENE_KEEP_OPEN } },
    2,
    "HTTP/1.1 200 OK\r\n",
    "\r\n\r\nx",
    2,
    false },
  /* Closed without an answer: the request may have run, and must not be sent
     again on an at-most-once route.  */
  { "broken-once",
    CALL ("/once/", "1"),
    { { "", SCENE_RESET }, { OK ("1", "x"), SCENE_KEEP_OPEN } },
    2,
    "HTTP/1.1 502 ",
    NULL,
    1,
    false },
  { "broken-twice",
    CALL ("/twice/", "1"),
    { { "", SCENE_RESET }, { OK ("1", "x"), SCENE_KEEP_OPEN } },
    2,
    "HTTP/1.1 200 OK\r\n",
    "\r\n\r\nx",
    2,
    false },
  /* A status that would tell the caller "not run", which the endpoint did not
     say.  */
  { "busy-without-word",
    CALL ("/once/", "1"),
    { { "HTTP/1.1 503 Busy\r\nX-Id: %I\r\nContent-Length: 0\r\n\r\n",
        SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 502 ",
    NULL,
    1,
    false },
  { "endpoint-error",
    CALL ("/once/", "1"),
    { { "HTTP/1.1 500 No\r\nX-Id: %I\r\nX-Stamp: s\r\nContent-Length: "
        "2\r\n\r\n"
        "no",
        SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 500 ",
    "X-Stamp: s",
    1,
    false },
  { "no-stamp-once",
    CALL ("/once/", "1"),
    { { "HTTP/1.1 200 OK\r\nX-Id: %I\r\nContent-Length: 1\r\n\r\nx",
        SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 502 ",
    NULL,
    1,
    false },
  { "short-body-twice",
    CALL ("/twice/", "1"),
    { { "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\nContent-Length: "
        "9\r\n\r\nab",
        SCENE_CLOSE },
      { OK ("1", "x"), SCENE_KEEP_OPEN } },
    2,
    "HTTP/1.1 200 OK\r\n",
    "\r\n\r\nx",
    2,
    false },
  { "no-http-once",
    CALL ("/once/", "1"),
    { { "\x01\x02 what\r\n\r\n", SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 502 ",
    NULL,
    1,
    false },
  /* A second answer to an earlier request arrives before this one's.  */
  { "other-answer-first",
    CALL ("/once/", "1"),
    { { "HTTP/1.1 200 OK\r\nX-Id: 77\r\nX-Stamp: s\r\nContent-Length: "
        "3\r\n\r\n"
        "old" OK ("3", "new"),
        SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 200 OK\r\n",
    "\r\n\r\nnew",
    1,
    false },
  { "unframed",
    CALL ("/once/", "1"),
    { { "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\n\r\nabc",
        SCENE_CLOSE } },
    1,
    "HTTP/1.1 200 OK\r\n",
    "Content-Length: 3\r\n\r\nabc",
    1,
    false },
  { "unframed-reset",
    CALL ("/once/", "1"),
    { { "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\n\r\nabc",
        SCENE_RESET } },
    1,
    "HTTP/1.1 502 ",
    NULL,
    1,
    false },
  { "events",
    CALL ("/events/", "1"),
    { { EVENTS E1 E2 END, SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 200 OK\r\n",
    "data: b\n\n\r\n0\r\n\r\n",
    1,
    false },
  { "events-resume-elsewhere",
    CALL ("/events/", "1"),
    { { EVENTS E1 "8\r\nid: 2\nda\r\n", SCENE_CLOSE },
      { EVENTS E2 E3 END, SCENE_KEEP_OPEN } },
    2,
    "HTTP/1.1 200 OK\r\n",
    "data: c\n\n\r\n0\r\n\r\n",
    2,
    false },
  { "events-break-off",
    CALL ("/events-once/", "1"),
    { { EVENTS E1 "8\r\nid: 2\nda\r\n", SCENE_CLOSE } },
    1,
    "HTTP/1.1 200 OK\r\n",
    "data: a\n\n",
    1,
    true },
  { "no-route",
    CALL ("/none/", "1"),
    { { NULL, SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 404 ",
    NULL,
    0,
    false },
  { "unknown-key",
    "GET /once/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer x\r\n\r\n",
    { { NULL, SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 401 ",
    NULL,
    0,
    false },
  /* Guards against a body that is read for a request which its head shows to
     be refused.  */
  { "unknown-key-before-body",
    "POST /once/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer x\r\n"
    "Content-Length: 1000000\r\n\r\nfirst",
    { { NULL, SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 401 ",
    "Connection: close\r\n",
    0,
    false },
  { "no-route-before-body",
    "POST /none/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nfirst",
    { { NULL, SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 404 ",
    "Connection: close\r\n",
    0,
    false },
  { "no-key",
    "GET /once/ HTTP/1.1\r\nHost: h\r\n\r\n",
    { { NULL, SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 401 ",
    NULL,
    0,
    false },
  { "malformed",
    "GET\r\n\r\n",
    { { NULL, SCENE_KEEP_OPEN } },
    1,
    "HTTP/1.1 400 ",
    NULL,
    0,
    false },
};

static void
test_case (const void *data)
{
  const case_t *one = data;
  scene_t *scene = scene_new (one->replies, one->reply_count, 4);
  scene_caller_t *caller = scene_send_request (scene, one->call);

  scene_wait_for (scene, caller, one->is_truncated ? NULL : "\r\n\r\n");
  if (one->contains != NULL)
    scene_wait_for (scene, caller, one->contains);
  g_assert_true (g_str_has_prefix (caller->text->str, one->answer));
  if (one->contains != NULL)
    g_assert_nonnull (strstr (caller->text->str, one->contains));
  if (one->is_truncated)
    g_assert_null (strstr (caller->text->str, "0\r\n\r\n"));
  g_assert_cmpuint (scene->requests_received, ==, one->expected_requests);
  scene_caller_free (caller);
  scene_free (scene);
}

/* The endpoint gets the caller's fields except for the key and the reserved
   ones, and the client account, the endpoint's id and the time left.  */
static void
test_fields (void)
{
  static const scene_reply_t replies[]
      = { { OK ("1", "x"), SCENE_KEEP_OPEN } };
  static const char call[]
      = "POST /once/a?b=c HTTP/1.1\r\nHost: h\r\nX-Id: 9\r\nX-Own: o\r\n"
        "X-Account: other\r\nX-Hold: 5\r\nX-Expect: e9\r\n"
        "Authorization: Bearer key-of-the-mill\r\n"
        "Connection: keep-alive, X-Gone\r\nX-Gone: g\r\nX-Deadline: 2000\r\n"
        "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller = scene_send_request (scene, call);
  const char *deadline;

  scene_wait_for (scene, caller, "\r\n\r\nx");
  g_assert_true (
      g_str_has_prefix (scene->last_request->str, "POST /once/a?b=c|"));
  g_assert_nonnull (strstr (scene->last_request->str, "|X-Id=9|"));
  g_assert_nonnull (strstr (scene->last_request->str, "|X-Own=o|"));
  g_assert_nonnull (strstr (scene->last_request->str, "|X-Account=mill|"));
  g_assert_nonnull (strstr (scene->last_request->str, "|X-Expect=e"));
  g_assert_nonnull (
      strstr (scene->last_request->str, "|Content-Length=2|body=hi"));
  g_assert_null (strstr (scene->last_request->str, "other"));
  g_assert_null (strstr (scene->last_request->str, "e9"));
  g_assert_null (strstr (scene->last_request->str, "X-Hold"));
  g_assert_null (strstr (scene->last_request->str, "X-Gone"));
  g_assert_null (strstr (scene->last_request->str, "key-of-the-mill"));
  deadline = strstr (scene->last_request->str, "|X-Deadline=");
  g_assert_nonnull (deadline);
  g_assert_cmpint (atoi (deadline + strlen ("|X-Deadline=")), <=, 2000);
  scene_caller_free (caller);
  scene_free (scene);
}

/* A stream resumes at another endpoint after the last complete event that the
   caller has, not after the partial one that followed it.  */
static void
test_last_event (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E1 "8\r\nid: 2\nda\r\n", SCENE_CLOSE },
          { EVENTS E2 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  scene_caller_t *caller = scene_send_request (scene, CALL ("/events/", "1"));

  scene_wait_for (scene, caller, "\r\n0\r\n\r\n");
  g_assert_nonnull (strstr (scene->last_request->str, "|Last-Event-Id=1|"));
  g_assert_cmpuint (scene->servers[0].requests, ==, 1);
  g_assert_cmpuint (scene->servers[1].requests, ==, 1);
  scene_caller_free (caller);
  scene_free (scene);
}

/* A request that can't reach an endpoint was not sent, so it goes to another
   one even on an at-most-once route.  */
static void
test_unreached (void)
{
  static const scene_reply_t replies[]
      = { { OK ("1", "x"), SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);

  scene_list_endpoints (scene, 1, true, 4);
  for (unsigned i = 0; i < 6; i++)
    {
      scene_caller_t *caller
          = scene_send_request (scene, CALL ("/once/", "1"));

      scene_wait_for (scene, caller, "\r\n\r\n");
      g_assert_true (
          g_str_has_prefix (caller->text->str, "HTTP/1.1 200 OK\r\n"));
      scene_caller_free (caller);
    }
  scene_free (scene);
}

static bool
has_closed_connection (void *user)
{
  return ((scene_t *)user)->closed_connections > 0;
}

static bool
has_received_one (void *user)
{
  return ((scene_t *)user)->requests_received > 0;
}

/* The caller disconnects while its request runs.  The connection to the
   endpoint must be closed, so that the endpoint drops the work.  */
static void
test_caller_leaves (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller = scene_send_request (scene, CALL ("/once/", "1"));

  scene_run (scene, has_received_one, scene);
  scene_caller_free (caller);
  scene_run (scene, has_closed_connection, scene);
  g_assert_cmpuint (rly_counts (scene->rly)->running, ==, 0);
  scene_free (scene);
}

static bool
has_departed (void *user)
{
  return rly_counts (((scene_t *)user)->rly)->disconnected > 0;
}

/* A busy router reads a request after its caller has closed the connection.
   The end of the connection is read after the request's bytes; no endpoint may
   get the request.  */
static void
test_left_before_read (void)
{
  static const scene_reply_t replies[]
      = { { OK ("1", "x"), SCENE_KEEP_OPEN } };
  static const char call[] = CALL ("/once/", "1");
  scene_t *scene = scene_new (replies, 1, 4);
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                              .sin_port = htons (ent_get_port (scene->ent)) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int connected = connect (fd, (struct sockaddr *)&addr, sizeof addr);
  ssize_t sent = send (fd, call, strlen (call), MSG_NOSIGNAL);

  g_assert_cmpint (connected, ==, 0);
  g_assert_cmpint (sent, ==, strlen (call));
  close (fd);
  scene_run (scene, has_departed, scene);
  g_assert_cmpuint (scene->requests_received, ==, 0);
  scene_free (scene);
}

/* Load pattern: more requests than slots.  The second request waits, since the
   endpoint is full.  It must be refused when its answer could no longer be in
   time, long before its deadline, and never be sent to the endpoint.  */
static void
test_refused_in_time (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 1);
  scene_caller_t *first;
  scene_caller_t *second;
  int64_t begun;

  scene_list_endpoints (scene, 1, false, 1);
  first = scene_send_request (scene, CALL ("/once/", "1"));
  scene_run (scene, has_received_one, scene);
  begun = clock_now ();
  second = scene_send_request (scene, CALL ("/once/", "2"));
  scene_wait_for (scene, second, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (second->text->str, "HTTP/1.1 503 "));
  g_assert_nonnull (strstr (second->text->str, "Retry-After: 0."));
  g_assert_cmpint (clock_now () - begun, <, 4000);
  g_assert_cmpuint (scene->requests_received, ==, 1);
  /* Callers send a retry on a new connection; this one would stay open.  */
  scene_wait_for (scene, second, NULL);
  scene_caller_free (first);
  scene_caller_free (second);
  scene_free (scene);
}

#define PROMPT_CALL(id, prompt)                                               \
  "POST /slow/ HTTP/1.1\r\nHost: h\r\nX-Id: " id "\r\nX-Prompt: " prompt      \
  "\r\nX-Deadline: 20000\r\nAuthorization: Bearer key-of-the-mill\r\n"        \
  "Content-Length: 0\r\n\r\n"
#define PROMPT_CALL_TWICE(id, prompt)                                         \
  "POST /twice/ HTTP/1.1\r\nHost: h\r\nX-Id: " id "\r\nX-Prompt: " prompt     \
  "\r\nX-Deadline: 20000\r\nAuthorization: Bearer key-of-the-mill\r\n"        \
  "Content-Length: 0\r\n\r\n"

static bool
has_waiting (void *user)
{
  return rly_counts (((scene_t *)user)->rly)->waiting > 0;
}

static bool
has_received_two (void *user)
{
  return ((scene_t *)user)->requests_received >= 2;
}

/* Load pattern: a long request before short ones.  The endpoint prefills a
   long prompt; the next long one of the account would be late behind it and
   waits.  The short request that arrives after it must be sent first.  */
static void
test_short_past_long (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 8);
  scene_caller_t *callers[3];

  scene_list_endpoints (scene, 1, false, 8);
  callers[0] = scene_send_request (scene, PROMPT_CALL ("1", "a:100000"));
  scene_run (scene, has_received_one, scene);
  callers[1] = scene_send_request (scene, PROMPT_CALL ("2", "b:160000"));
  scene_run (scene, has_waiting, scene);
  callers[2] = scene_send_request (scene, PROMPT_CALL ("3", "c:100"));
  scene_run (scene, has_received_two, scene);
  g_assert_nonnull (strstr (scene->last_request->str, "|X-Id=3|"));
  g_assert_cmpuint (rly_counts (scene->rly)->refused, ==, 0);
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    scene_caller_free (callers[i]);
  scene_free (scene);
}

/* Idle callers reach the limit of connections.  Idle connections must be
   closed before their configured time-out, so that others can connect.  */
static void
test_idle_connections (void)
{
  static const scene_reply_t replies[]
      = { { OK ("1", "x"), SCENE_KEEP_OPEN } };
  static const ent_limits_t limits
      = { .head_bytes = 16384, .idle_ms = 60000, .connections = 4 };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *callers[4];

  ent_set_limits (scene->ent, &limits);
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    callers[i] = scene_send_request (scene, "");
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    scene_wait_for (scene, callers[i], i < 2 ? NULL : "");
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    scene_caller_free (callers[i]);
  scene_free (scene);
}

/* An endpoint announces a time-out that no integer holds in milliseconds: its
   connection is kept all the same.  */
static void
test_huge_keep_alive (void)
{
  static const scene_reply_t replies[]
      = { { "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\nKeep-Alive: "
            "timeout=9223372036854775807\r\nContent-Length: 1\r\n\r\nx",
            SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);

  scene_list_endpoints (scene, 1, false, 4);
  for (unsigned i = 0; i < 2; i++)
    {
      scene_caller_t *caller
          = scene_send_request (scene, CALL ("/once/", "1"));

      scene_wait_for (scene, caller, "\r\n\r\nx");
      scene_caller_free (caller);
    }
  g_assert_cmpuint (scene->requests_received, ==, 2);
  g_assert_cmpuint (scene->server_cons->len, ==, 1);
  g_assert_cmpuint (scene->closed_connections, ==, 0);
  scene_free (scene);
}

/* An endpoint accepts a request and doesn't answer: an idempotent request is
   sent to the other endpoint.  */
static void
test_silent_endpoint (void)
{
  static const scene_reply_t replies[]
      = { { NULL, SCENE_KEEP_OPEN }, { OK ("1", "x"), SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  scene_caller_t *caller = scene_send_request (scene, CALL ("/twice/", "1"));

  scene_wait_for (scene, caller, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 200 OK\r\n"));
  g_assert_cmpuint (scene->requests_received, ==, 2);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Two pipelined requests get two answers, in order.  */
static void
test_pipelined (void)
{
  static const scene_reply_t replies[]
      = { { OK ("3", "one"), SCENE_KEEP_OPEN },
          { OK ("3", "two"), SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  scene_caller_t *caller
      = scene_send_request (scene, CALL ("/once/", "1") CALL ("/once/", "2"));

  scene_wait_for (scene, caller, "two");
  g_assert_nonnull (strstr (caller->text->str, "\r\n\r\noneHTTP/1.1 200 OK"));
  scene_caller_free (caller);
  scene_free (scene);
}

/* A relay that refuses new requests, for shutdown or for want of a
   configuration, can't tell whether a route or key exists.  It must answer
   503, never 404 or 401.  */
static void
test_closed (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller;

  rly_stop_accepting (scene->rly);
  caller = scene_send_request (scene, CALL ("/none/", "1"));
  scene_wait_for (scene, caller, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 503 "));
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against streams that get slower the more a router is behind: the
   events of one read are written at once, not one by one.  */
static void
test_events_together (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E1 E2 E3 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller = scene_send_request (scene, CALL ("/events/", "1"));

  scene_wait_for (scene, caller, "0\r\n\r\n");
  g_assert_nonnull (
      strstr (caller->text->str, "\r\n\r\n2d\r\nid: 1\ndata: a\n\nid: 2\n"));
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against a router that takes its own delays for those of an endpoint.
   The tick after a delay may come after what it held up.  */
static void
test_on_time (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  cfd_time_t start = clock_now () + 10000;

  rly_tick (scene->rly, start);
  rly_tick (scene->rly, start + 30);
  start += 30;
  g_assert_true (rly_was_on_time (scene->rly, start + 5, start + 30));
  g_assert_false (rly_was_on_time (scene->rly, start + 5, start + 100));
  rly_tick (scene->rly, start + 100);
  g_assert_false (rly_was_on_time (scene->rly, start + 5, start + 110));
  g_assert_false (rly_was_on_time (scene->rly, start + 100, start + 110));
  g_assert_true (rly_was_on_time (scene->rly, start + 101, start + 110));
  scene_free (scene);
}

/* Returns how many samples of the relay's service are at or below MS, by the
   histogram NAME.  */
static unsigned
count_samples (scene_t *scene, const char *name, const char *bucket)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_autofree char *line = g_strdup_printf (
      "%s_bucket{service=\"app\",le=\"%s\"} ", name, bucket);
  const char *found;

  rly_append_metrics (scene->rly, clock_now (), text);
  found = strstr (text->str, line);
  g_assert_nonnull (found);
  return (unsigned)g_ascii_strtoull (found + strlen (line), NULL, 10);
}

static bool
is_past (void *user)
{
  return clock_now () >= *(const cfd_time_t *)user;
}

static const rly_request_t *
get_running (scene_t *scene)
{
  g_assert_false (list_is_empty (&scene->rly->running));
  return list_entry (scene->rly->running.next, rly_request_t, node);
}

/* Guards against late answers that can't be traced: the longest pause of each
   stream is counted, that before its first event isn't.  */
static void
test_pauses (void)
{
  static const scene_reply_t replies[] = { { EVENTS E1, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller = scene_send_request (scene, CALL ("/events/", "1"));
  cfd_time_t later;

  scene_wait_for (scene, caller, "id: 1");
  g_assert_cmpuint (count_samples (scene, "cfd_relay_pause_ms", "+Inf"), ==,
                    0);
  later = clock_now () + PAUSE_MS;
  scene_run (scene, is_past, &later);
  scene_answer (scene, E2);
  scene_wait_for (scene, caller, "id: 2");
  g_assert_cmpuint (get_running (scene)->late_events, ==, 1);
  g_assert_cmpint (get_running (scene)->longest_pause_ms, >=, PAUSE_MS - 20);
  scene_answer (scene, E3 END);
  scene_wait_for (scene, caller, "0\r\n\r\n");
  g_assert_cmpuint (count_samples (scene, "cfd_relay_pause_ms", "+Inf"), ==,
                    1);
  g_assert_cmpuint (count_samples (scene, "cfd_relay_pause_ms", "100"), ==, 0);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Returns whether the relay has learned the speed of an endpoint.  */
static bool
has_speed (scene_t *scene)
{
  bool has = false;

  list_for_each (node, edp_set_endpoints (scene->endpoints))
    {
      has |= spd_is_measured (&list_entry (node, edp_t, node)->speed,
                              clock_now ());
    }
  return has;
}

static bool
has_received (void *user)
{
  return ((const scene_t *)user)->requests_received > 0;
}

/* Guards against endpoints that count as slow for what the router itself, or
   another endpoint, caused, or for being cold: a request in whose time the
   router was late, and one that was rejected elsewhere.  */
static void
test_speed_samples (void)
{
  static const scene_reply_t replies[]
      = { { OK ("1", "x"), SCENE_KEEP_OPEN } };
  static const scene_reply_t retried[]
      = { { NOT_RUN, SCENE_KEEP_OPEN }, { OK ("1", "x"), SCENE_KEEP_OPEN } };
  static const scene_reply_t silent[] = { { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller
      = scene_send_request (scene, PROMPT_CALL ("1", "a:2000"));

  scene_wait_for (scene, caller, "\r\n\r\nx");
  g_assert_true (has_speed (scene));
  scene_caller_free (caller);
  scene_free (scene);

  scene = scene_new (replies, 1, 4);
  list_for_each (node, edp_set_endpoints (scene->endpoints))
    {
      edp_set_cold (list_entry (node, edp_t, node), clock_now (), 20000,
                    "report");
    }
  caller = scene_send_request (scene, PROMPT_CALL ("1", "a:2000"));
  scene_wait_for (scene, caller, "\r\n\r\nx");
  g_assert_false (has_speed (scene));
  scene_caller_free (caller);
  scene_free (scene);

  scene = scene_new (retried, 2, 4);
  caller = scene_send_request (scene, PROMPT_CALL_TWICE ("1", "a:2000"));
  scene_wait_for (scene, caller, "\r\n\r\nx");
  g_assert_cmpuint (scene->requests_received, ==, 2);
  g_assert_false (has_speed (scene));
  scene_caller_free (caller);
  scene_free (scene);

  scene = scene_new (silent, 1, 4);
  caller = scene_send_request (scene, PROMPT_CALL ("1", "a:2000"));
  scene_run (scene, has_received, scene);
  rly_tick (scene->rly, clock_now () + 100);
  scene_answer (scene, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Stamp: s\r\n"
                       "Content-Length: 1\r\n\r\nx");
  scene_wait_for (scene, caller, "\r\n\r\nx");
  g_assert_false (has_speed (scene));
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against a router without processor time that makes its callers wait.
   They are refused at once and come back elsewhere.  */
static void
test_shed (void)
{
  static const scene_reply_t replies[]
      = { { OK ("1", "x"), SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  shd_t shedding = { .admitted = 0. };
  scene_caller_t *caller;

  rly_set_shedding (scene->rly, &shedding);
  caller = scene_send_request (scene, CALL ("/once/", "1"));
  scene_wait_for (scene, caller, NULL);
  g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 503 "));
  g_assert_nonnull (strstr (caller->text->str, "\r\nRetry-After: 0."));
  g_assert_nonnull (strstr (caller->text->str, "\r\nConnection: close\r\n"));
  g_assert_cmpuint (scene->requests_received, ==, 0);
  scene_caller_free (caller);
  shd_init (&shedding, 0);
  caller = scene_send_request (scene, CALL ("/once/", "2"));
  scene_wait_for (scene, caller, "\r\n\r\nx");
  scene_caller_free (caller);
  scene_free (scene);
}

/* An older configuration doesn't replace a newer one.  */
static void
test_table_never_older (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  rte_limits_t limits = { 0 };
  g_autoptr (rte_table_t) newer = rte_table_new (9, &limits);
  g_autoptr (rte_table_t) older = rte_table_new (8, &limits);

  rly_set_table (scene->rly, newer, clock_now ());
  rly_set_table (scene->rly, older, clock_now ());
  g_assert_cmpuint (rte_table_version (rly_table (scene->rly)), ==, 9);
  scene_free (scene);
}

/* Another endpoint has taken over the address while a connection was kept
   open.  Each send names the endpoint that is meant.  */
static void
test_misdirected_kept (void)
{
  static const scene_reply_t replies[]
      = { { OK ("1", "x"), SCENE_KEEP_OPEN },
          { MISDIRECTED, SCENE_KEEP_OPEN },
          { OK ("1", "y"), SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, G_N_ELEMENTS (replies), 4);
  scene_caller_t *first;
  scene_caller_t *second;

  scene_list_endpoints (scene, 1, false, 4);
  first = scene_send_request (scene, CALL ("/once/", "1"));
  scene_wait_for (scene, first, "\r\n\r\nx");
  second = scene_send_request (scene, CALL ("/once/", "2"));
  scene_wait_for (scene, second, "\r\n\r\ny");
  g_assert_true (g_str_has_prefix (second->text->str, "HTTP/1.1 200 "));
  g_assert_nonnull (strstr (scene->last_request->str, "|X-Expect=e1"));
  g_assert_cmpuint (scene->requests_received, ==, 3);
  scene_caller_free (first);
  scene_caller_free (second);
  scene_free (scene);
}

/* Lists COUNT endpoints, all of them at the address of the first one.  */
static void
list_copies (scene_t *scene, unsigned count)
{
  GPtrArray *reports = g_ptr_array_new ();

  for (unsigned i = 0; i < count; i++)
    {
      edp_report_t *report = g_new0 (edp_report_t, 1);

      report->id = g_strdup_printf ("copy-%u", i);
      report->service = g_strdup ("app");
      report->address
          = g_strdup_printf ("127.0.0.1:%u", scene->servers[0].port);
      report->zone = g_strdup ("z");
      report->slots = 4;
      g_ptr_array_add (reports, report);
    }
  edp_set_update (scene->endpoints, clock_now (), reports, true, 0);
}

/* All endpoints of the router's cell are out of service: its requests go to
   others.  */
static void
test_spillover (void)
{
  static const scene_reply_t replies[]
      = { { OK ("1", "x"), SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  const GPtrArray *near;
  scene_caller_t *caller;

  list_copies (scene, 16);
  edp_set_choose_cell (scene->endpoints, 1, 4);
  near = edp_set_get_near (scene->endpoints, "app");
  g_assert_cmpuint (near->len, ==, 4);
  for (guint i = 0; i < near->len; i++)
    ((edp_t *)g_ptr_array_index (near, i))->withdrawn = true;
  caller = scene_send_request (scene, CALL ("/once/", "1"));
  scene_wait_for (scene, caller, "\r\n\r\nx");
  g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 200 "));
  scene_caller_free (caller);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/rly/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
    }
  g_test_add_func ("/rly/fields", test_fields);
  g_test_add_func ("/rly/last-event", test_last_event);
  g_test_add_func ("/rly/unreached", test_unreached);
  g_test_add_func ("/rly/caller-leaves", test_caller_leaves);
  g_test_add_func ("/rly/left-before-read", test_left_before_read);
  g_test_add_func ("/rly/refused-in-time", test_refused_in_time);
  g_test_add_func ("/rly/short-past-long", test_short_past_long);
  g_test_add_func ("/rly/idle-connections", test_idle_connections);
  g_test_add_func ("/rly/huge-keep-alive", test_huge_keep_alive);
  g_test_add_func ("/rly/silent-endpoint", test_silent_endpoint);
  g_test_add_func ("/rly/pipelined", test_pipelined);
  g_test_add_func ("/rly/closed", test_closed);
  g_test_add_func ("/rly/table-never-older", test_table_never_older);
  g_test_add_func ("/rly/events-together", test_events_together);
  g_test_add_func ("/rly/on-time", test_on_time);
  g_test_add_func ("/rly/pauses", test_pauses);
  g_test_add_func ("/rly/speed-samples", test_speed_samples);
  g_test_add_func ("/rly/shed", test_shed);
  g_test_add_func ("/rly/misdirected-kept", test_misdirected_kept);
  g_test_add_func ("/rly/spillover", test_spillover);
  return g_test_run ();
}
