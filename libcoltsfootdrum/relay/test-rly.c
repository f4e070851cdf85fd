/* The relay over real connections: the answer that a caller gets for each
   behaviour of an endpoint, and the requests that endpoints get.  */

#include "test-rly-fixture.h"

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
#define EVENTS                                                                \
  "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\nTransfer-Encoding: "          \
  "chunked\r\n\r\n"
#define E1 "f\r\nid: 1\ndata: a\n\n\r\n"
#define E2 "f\r\nid: 2\ndata: b\n\n\r\n"
#define E3 "f\r\nid: 3\ndata: c\n\n\r\n"
#define END "0\r\n\r\n"

#define CALL(path, id)                                                        \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: " id                            \
  "\r\nX-Deadline: 4000\r\nAuthorization: Bearer key-of-the-mill\r\n"         \
  "Content-Length: 2\r\n\r\nhi"

typedef struct
{
  const char *name;
  const char *call;
  fixture_reply_t replies[3];
  unsigned reply_count;
  const char *answer;         /* its first bytes */
  const char *contains;       /* found in the answer; NULL: not checked */
  unsigned expected_requests; /* at all endpoints */
  bool is_truncated; /* the connection ends without the answer's end */
} case_t;

static const case_t cases[] = {
  { "whole",
    CALL ("/once/", "1"),
    { { OK ("3", "abc"), FIXTURE_KEEP_OPEN } },
    1,
    "HTTP/1.1 200 OK\r\n",
    "Content-Length: 3\r\n\r\nabc",
    1,
    false },
  /* The endpoint rejected the request: another one may get it, on a route that
     allows two attempts.  */
  { "not-run-elsewhere",
    CALL ("/twice/", "1"),
    { { NOT_RUN, FIXTURE_KEEP_OPEN }, { OK ("1", "x"), FIXTURE_KEEP_OPEN } },
    2,
    "HTTP/1.1 200 OK\r\n",
    "\r\n\r\nx",
    2,
    false },
  { "not-run-once",
    CALL ("/once/", "1"),
    { { NOT_RUN, FIXTURE_KEEP_OPEN } },
    1,
    "HTTP/1.1 503 ",
    "Retry-After: 0.",
    1,
    false },
  /* Closed without an answer: the request may have run, and must not be sent
     again on an at-most-once route.  */
  { "broken-once",
    CALL ("/once/", "1"),
    { { "", FIXTURE_RESET }, { OK ("1", "x"), FIXTURE_KEEP_OPEN } },
    2,
    "HTTP/1.1 502 ",
    NULL,
    1,
    false },
  { "broken-twice",
    CALL ("/twice/", "1"),
    { { "", FIXTURE_RESET }, { OK ("1", "x"), FIXTURE_KEEP_OPEN } },
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
        FIXTURE_KEEP_OPEN } },
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
        FIXTURE_KEEP_OPEN } },
    1,
    "HTTP/1.1 500 ",
    "X-Stamp: s",
    1,
    false },
  { "no-stamp-once",
    CALL ("/once/", "1"),
    { { "HTTP/1.1 200 OK\r\nX-Id: %I\r\nContent-Length: 1\r\n\r\nx",
        FIXTURE_KEEP_OPEN } },
    1,
    "HTTP/1.1 502 ",
    NULL,
    1,
    false },
  { "short-body-twice",
    CALL ("/twice/", "1"),
    { { "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\nContent-Length: "
        "9\r\n\r\nab",
        FIXTURE_CLOSE },
      { OK ("1", "x"), FIXTURE_KEEP_OPEN } },
    2,
    "HTTP/1.1 200 OK\r\n",
    "\r\n\r\nx",
    2,
    false },
  { "no-http-once",
    CALL ("/once/", "1"),
    { { "\x01\x02 what\r\n\r\n", FIXTURE_KEEP_OPEN } },
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
        FIXTURE_KEEP_OPEN } },
    1,
    "HTTP/1.1 200 OK\r\n",
    "\r\n\r\nnew",
    1,
    false },
  { "unframed",
    CALL ("/once/", "1"),
    { { "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\n\r\nabc",
        FIXTURE_CLOSE } },
    1,
    "HTTP/1.1 200 OK\r\n",
    "Content-Length: 3\r\n\r\nabc",
    1,
    false },
  { "unframed-reset",
    CALL ("/once/", "1"),
    { { "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\n\r\nabc",
        FIXTURE_RESET } },
    1,
    "HTTP/1.1 502 ",
    NULL,
    1,
    false },
  { "events",
    CALL ("/events/", "1"),
    { { EVENTS E1 E2 END, FIXTURE_KEEP_OPEN } },
    1,
    "HTTP/1.1 200 OK\r\n",
    "data: b\n\n\r\n0\r\n\r\n",
    1,
    false },
  { "events-resume-elsewhere",
    CALL ("/events/", "1"),
    { { EVENTS E1 "8\r\nid: 2\nda\r\n", FIXTURE_CLOSE },
      { EVENTS E2 E3 END, FIXTURE_KEEP_OPEN } },
    2,
    "HTTP/1.1 200 OK\r\n",
    "data: c\n\n\r\n0\r\n\r\n",
    2,
    false },
  { "events-break-off",
    CALL ("/events-once/", "1"),
    { { EVENTS E1 "8\r\nid: 2\nda\r\n", FIXTURE_CLOSE } },
    1,
    "HTTP/1.1 200 OK\r\n",
    "data: a\n\n",
    1,
    true },
  { "no-route",
    CALL ("/none/", "1"),
    { { NULL, FIXTURE_KEEP_OPEN } },
    1,
    "HTTP/1.1 404 ",
    NULL,
    0,
    false },
  { "unknown-key",
    "GET /once/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer x\r\n\r\n",
    { { NULL, FIXTURE_KEEP_OPEN } },
    1,
    "HTTP/1.1 401 ",
    NULL,
    0,
    false },
  { "no-key",
    "GET /once/ HTTP/1.1\r\nHost: h\r\n\r\n",
    { { NULL, FIXTURE_KEEP_OPEN } },
    1,
    "HTTP/1.1 401 ",
    NULL,
    0,
    false },
  { "malformed",
    "GET\r\n\r\n",
    { { NULL, FIXTURE_KEEP_OPEN } },
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
  fixture_t *fixture = fixture_new (one->replies, one->reply_count, 4);
  fixture_caller_t *caller = fixture_send_request (fixture, one->call);

  fixture_wait_for (fixture, caller, one->is_truncated ? NULL : "\r\n\r\n");
  if (one->contains != NULL)
    fixture_wait_for (fixture, caller, one->contains);
  g_assert_true (g_str_has_prefix (caller->text->str, one->answer));
  if (one->contains != NULL)
    g_assert_nonnull (strstr (caller->text->str, one->contains));
  if (one->is_truncated)
    g_assert_null (strstr (caller->text->str, "0\r\n\r\n"));
  g_assert_cmpuint (fixture->requests_received, ==, one->expected_requests);
  fixture_caller_free (caller);
  fixture_free (fixture);
}

/* The endpoint gets the caller's fields except for the key and the reserved
   ones, and the client account, the endpoint's id and the time left.  */
static void
test_fields (void)
{
  static const fixture_reply_t replies[]
      = { { OK ("1", "x"), FIXTURE_KEEP_OPEN } };
  static const char call[]
      = "POST /once/a?b=c HTTP/1.1\r\nHost: h\r\nX-Id: 9\r\nX-Own: o\r\n"
        "X-Account: other\r\nX-Hold: 5\r\nX-Expect: e9\r\n"
        "Authorization: Bearer key-of-the-mill\r\n"
        "Connection: keep-alive, X-Gone\r\nX-Gone: g\r\nX-Deadline: 2000\r\n"
        "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
  fixture_t *fixture = fixture_new (replies, 1, 4);
  fixture_caller_t *caller = fixture_send_request (fixture, call);
  const char *deadline;

  fixture_wait_for (fixture, caller, "\r\n\r\nx");
  g_assert_true (
      g_str_has_prefix (fixture->last_request->str, "POST /once/a?b=c|"));
  g_assert_nonnull (strstr (fixture->last_request->str, "|X-Id=9|"));
  g_assert_nonnull (strstr (fixture->last_request->str, "|X-Own=o|"));
  g_assert_nonnull (strstr (fixture->last_request->str, "|X-Account=mill|"));
  g_assert_nonnull (strstr (fixture->last_request->str, "|X-Expect=e"));
  g_assert_nonnull (
      strstr (fixture->last_request->str, "|Content-Length=2|body=hi"));
  g_assert_null (strstr (fixture->last_request->str, "other"));
  g_assert_null (strstr (fixture->last_request->str, "e9"));
  g_assert_null (strstr (fixture->last_request->str, "X-Hold"));
  g_assert_null (strstr (fixture->last_request->str, "X-Gone"));
  g_assert_null (strstr (fixture->last_request->str, "key-of-the-mill"));
  deadline = strstr (fixture->last_request->str, "|X-Deadline=");
  g_assert_nonnull (deadline);
  g_assert_cmpint (atoi (deadline + strlen ("|X-Deadline=")), <=, 2000);
  fixture_caller_free (caller);
  fixture_free (fixture);
}

/* A stream resumes at another endpoint after the last complete event that the
   caller has, not after the partial one that followed it.  */
static void
test_last_event (void)
{
  static const fixture_reply_t replies[]
      = { { EVENTS E1 "8\r\nid: 2\nda\r\n", FIXTURE_CLOSE },
          { EVENTS E2 END, FIXTURE_KEEP_OPEN } };
  fixture_t *fixture = fixture_new (replies, 2, 4);
  fixture_caller_t *caller
      = fixture_send_request (fixture, CALL ("/events/", "1"));

  fixture_wait_for (fixture, caller, "\r\n0\r\n\r\n");
  g_assert_nonnull (strstr (fixture->last_request->str, "|Last-Event-Id=1|"));
  g_assert_cmpuint (fixture->servers[0].requests, ==, 1);
  g_assert_cmpuint (fixture->servers[1].requests, ==, 1);
  fixture_caller_free (caller);
  fixture_free (fixture);
}

/* A request that can't reach an endpoint was not sent, so it goes to another
   one even on an at-most-once route.  */
static void
test_unreached (void)
{
  static const fixture_reply_t replies[]
      = { { OK ("1", "x"), FIXTURE_KEEP_OPEN } };
  fixture_t *fixture = fixture_new (replies, 1, 4);

  fixture_list_endpoints (fixture, 1, true, 4);
  for (unsigned i = 0; i < 6; i++)
    {
      fixture_caller_t *caller
          = fixture_send_request (fixture, CALL ("/once/", "1"));

      fixture_wait_for (fixture, caller, "\r\n\r\n");
      g_assert_true (
          g_str_has_prefix (caller->text->str, "HTTP/1.1 200 OK\r\n"));
      fixture_caller_free (caller);
    }
  fixture_free (fixture);
}

static bool
has_closed_connection (void *user)
{
  return ((fixture_t *)user)->closed_connections > 0;
}

static bool
has_received_one (void *user)
{
  return ((fixture_t *)user)->requests_received > 0;
}

/* The caller disconnects while its request runs.  The connection to the
   endpoint must be closed, so that the endpoint drops the work.  */
static void
test_caller_leaves (void)
{
  static const fixture_reply_t replies[] = { { NULL, FIXTURE_KEEP_OPEN } };
  fixture_t *fixture = fixture_new (replies, 1, 4);
  fixture_caller_t *caller
      = fixture_send_request (fixture, CALL ("/once/", "1"));

  fixture_run (fixture, has_received_one, fixture);
  fixture_caller_free (caller);
  fixture_run (fixture, has_closed_connection, fixture);
  g_assert_cmpuint (rly_counts (fixture->rly)->running, ==, 0);
  fixture_free (fixture);
}

static bool
has_departed (void *user)
{
  return rly_counts (((fixture_t *)user)->rly)->disconnected > 0;
}

/* A busy router reads a request after its caller has closed the connection.
   The end of the connection is read after the request's bytes; no endpoint may
   get the request.  */
static void
test_left_before_read (void)
{
  static const fixture_reply_t replies[]
      = { { OK ("1", "x"), FIXTURE_KEEP_OPEN } };
  static const char call[] = CALL ("/once/", "1");
  fixture_t *fixture = fixture_new (replies, 1, 4);
  struct sockaddr_in addr
      = { .sin_family = AF_INET,
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
          .sin_port = htons (ent_get_port (fixture->ent)) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int connected = connect (fd, (struct sockaddr *)&addr, sizeof addr);
  ssize_t sent = send (fd, call, strlen (call), MSG_NOSIGNAL);

  g_assert_cmpint (connected, ==, 0);
  g_assert_cmpint (sent, ==, strlen (call));
  close (fd);
  fixture_run (fixture, has_departed, fixture);
  g_assert_cmpuint (fixture->requests_received, ==, 0);
  fixture_free (fixture);
}

/* Load pattern: more requests than slots.  The second request waits, since the
   endpoint is full.  It must be refused when its answer could no longer be in
   time, long before its deadline, and never be sent to the endpoint.  */
static void
test_refused_in_time (void)
{
  static const fixture_reply_t replies[] = { { NULL, FIXTURE_KEEP_OPEN } };
  fixture_t *fixture = fixture_new (replies, 1, 1);
  fixture_caller_t *first;
  fixture_caller_t *second;
  int64_t begun;

  fixture_list_endpoints (fixture, 1, false, 1);
  first = fixture_send_request (fixture, CALL ("/once/", "1"));
  fixture_run (fixture, has_received_one, fixture);
  begun = clock_now ();
  second = fixture_send_request (fixture, CALL ("/once/", "2"));
  fixture_wait_for (fixture, second, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (second->text->str, "HTTP/1.1 503 "));
  g_assert_nonnull (strstr (second->text->str, "Retry-After: 0."));
  g_assert_cmpint (clock_now () - begun, <, 4000);
  g_assert_cmpuint (fixture->requests_received, ==, 1);
  /* Callers send a retry on a new connection; this one would stay open.  */
  fixture_wait_for (fixture, second, NULL);
  fixture_caller_free (first);
  fixture_caller_free (second);
  fixture_free (fixture);
}

#define PROMPT_CALL(id, prompt)                                               \
  "POST /slow/ HTTP/1.1\r\nHost: h\r\nX-Id: " id "\r\nX-Prompt: " prompt      \
  "\r\nX-Deadline: 20000\r\nAuthorization: Bearer key-of-the-mill\r\n"        \
  "Content-Length: 0\r\n\r\n"

static bool
has_waiting (void *user)
{
  return rly_counts (((fixture_t *)user)->rly)->waiting > 0;
}

static bool
has_received_two (void *user)
{
  return ((fixture_t *)user)->requests_received >= 2;
}

/* Load pattern: a long request before short ones.  The endpoint prefills a
   long prompt; the next long one of the account would be late behind it and
   waits.  The short request that arrives after it must be sent first.  */
static void
test_short_past_long (void)
{
  static const fixture_reply_t replies[] = { { NULL, FIXTURE_KEEP_OPEN } };
  fixture_t *fixture = fixture_new (replies, 1, 8);
  fixture_caller_t *callers[3];

  fixture_list_endpoints (fixture, 1, false, 8);
  callers[0] = fixture_send_request (fixture, PROMPT_CALL ("1", "a:100000"));
  fixture_run (fixture, has_received_one, fixture);
  callers[1] = fixture_send_request (fixture, PROMPT_CALL ("2", "b:160000"));
  fixture_run (fixture, has_waiting, fixture);
  callers[2] = fixture_send_request (fixture, PROMPT_CALL ("3", "c:100"));
  fixture_run (fixture, has_received_two, fixture);
  g_assert_nonnull (strstr (fixture->last_request->str, "|X-Id=3|"));
  g_assert_cmpuint (rly_counts (fixture->rly)->refused, ==, 0);
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    fixture_caller_free (callers[i]);
  fixture_free (fixture);
}

/* Idle callers reach the limit of connections.  Idle connections must be
   closed before their configured time-out, so that others can connect.  */
static void
test_idle_connections (void)
{
  static const fixture_reply_t replies[]
      = { { OK ("1", "x"), FIXTURE_KEEP_OPEN } };
  static const ent_limits_t limits
      = { .head_bytes = 16384, .idle_ms = 60000, .connections = 4 };
  fixture_t *fixture = fixture_new (replies, 1, 4);
  fixture_caller_t *callers[4];

  ent_set_limits (fixture->ent, &limits);
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    callers[i] = fixture_send_request (fixture, "");
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    fixture_wait_for (fixture, callers[i], i < 2 ? NULL : "");
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    fixture_caller_free (callers[i]);
  fixture_free (fixture);
}

/* An endpoint accepts a request and doesn't answer: an idempotent request is
   sent to the other endpoint.  */
static void
test_silent_endpoint (void)
{
  static const fixture_reply_t replies[]
      = { { NULL, FIXTURE_KEEP_OPEN }, { OK ("1", "x"), FIXTURE_KEEP_OPEN } };
  fixture_t *fixture = fixture_new (replies, 2, 4);
  fixture_caller_t *caller
      = fixture_send_request (fixture, CALL ("/twice/", "1"));

  fixture_wait_for (fixture, caller, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 200 OK\r\n"));
  g_assert_cmpuint (fixture->requests_received, ==, 2);
  fixture_caller_free (caller);
  fixture_free (fixture);
}

/* Two pipelined requests get two answers, in order.  */
static void
test_pipelined (void)
{
  static const fixture_reply_t replies[]
      = { { OK ("3", "one"), FIXTURE_KEEP_OPEN },
          { OK ("3", "two"), FIXTURE_KEEP_OPEN } };
  fixture_t *fixture = fixture_new (replies, 2, 4);
  fixture_caller_t *caller = fixture_send_request (
      fixture, CALL ("/once/", "1") CALL ("/once/", "2"));

  fixture_wait_for (fixture, caller, "two");
  g_assert_nonnull (strstr (caller->text->str, "\r\n\r\noneHTTP/1.1 200 OK"));
  fixture_caller_free (caller);
  fixture_free (fixture);
}

/* A relay that refuses new requests, for shutdown or for want of a
   configuration, can't tell whether a route or key exists.  It must answer
   503, never 404 or 401.  */
static void
test_closed (void)
{
  static const fixture_reply_t replies[] = { { NULL, FIXTURE_KEEP_OPEN } };
  fixture_t *fixture = fixture_new (replies, 1, 4);
  fixture_caller_t *caller;

  rly_stop_accepting (fixture->rly);
  caller = fixture_send_request (fixture, CALL ("/none/", "1"));
  fixture_wait_for (fixture, caller, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 503 "));
  fixture_caller_free (caller);
  fixture_free (fixture);
}

/* An older configuration doesn't replace a newer one.  */
static void
test_table_never_older (void)
{
  static const fixture_reply_t replies[] = { { NULL, FIXTURE_KEEP_OPEN } };
  fixture_t *fixture = fixture_new (replies, 1, 4);
  rte_limits_t limits = { 0 };
  g_autoptr (rte_table_t) newer = rte_table_new (9, &limits);
  g_autoptr (rte_table_t) older = rte_table_new (8, &limits);

  rly_set_table (fixture->rly, newer);
  rly_set_table (fixture->rly, older);
  g_assert_cmpuint (rte_table_version (rly_table (fixture->rly)), ==, 9);
  fixture_free (fixture);
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
  g_test_add_func ("/rly/silent-endpoint", test_silent_endpoint);
  g_test_add_func ("/rly/pipelined", test_pipelined);
  g_test_add_func ("/rly/closed", test_closed);
  g_test_add_func ("/rly/table-never-older", test_table_never_older);
  return g_test_run ();
}
