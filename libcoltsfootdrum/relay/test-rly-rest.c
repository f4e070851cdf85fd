/* Endpoints that ask for rest by 503 with Retry-After, over real connections.
 */

#include "test-rly-scene.h"

#include <stdlib.h>
#include <string.h>

#define OK                                                                    \
  "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\nContent-Length: 1\r\n\r\nx"
#define REST_FOR(seconds)                                                     \
  "HTTP/1.1 503 Busy\r\nX-Id: %I\r\nX-Not-Run: 1\r\nRetry-After: " seconds    \
  "\r\nContent-Length: 0\r\n\r\n"

#define CALL(path, id)                                                        \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: " id                            \
  "\r\nX-Deadline: 20000\r\nAuthorization: Bearer key-of-the-mill\r\n"        \
  "Content-Length: 0\r\n\r\n"

static bool
is_later (void *user)
{
  return clock_now () > *(const cfd_time_t *)user;
}

static void
wait_until (scene_t *scene, cfd_time_t until)
{
  scene_run (scene, is_later, &until);
}

/* Sends a request and returns the status that its caller gets.  */
static unsigned
call (scene_t *scene, const char *request)
{
  scene_caller_t *caller = scene_send_request (scene, request);
  unsigned status;

  scene_wait_for (scene, caller, "\r\n\r\n");
  status
      = (unsigned)strtoul (caller->text->str + strlen ("HTTP/1.1 "), NULL, 10);
  scene_caller_free (caller);
  return status;
}

/* Guards against an endpoint that gets requests in the time for which it asked
   for none.  */
static void
test_rests (void)
{
  static const scene_reply_t replies[]
      = { { REST_FOR ("1"), SCENE_KEEP_OPEN }, { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  cfd_time_t start = clock_now ();
  unsigned resting;

  g_assert_cmpuint (call (scene, CALL ("/twice/", "1")), ==, 200);
  g_assert_cmpuint (scene->servers[0].requests, ==, 1);
  g_assert_cmpuint (scene->servers[1].requests, ==, 1);
  for (unsigned i = 0; i < 6; i++)
    {
      g_assert_cmpuint (call (scene, CALL ("/twice/", "2")), ==, 200);
      wait_until (scene, clock_now () + 100);
    }
  g_assert_cmpint (clock_now (), <, start + 1000);
  resting = scene->servers[0].requests == 1 ? 0 : 1;
  g_assert_cmpuint (scene->servers[resting].requests, ==, 1);
  scene_free (scene);
}

/* Guards against an endpoint that gets nothing more after its rest.  */
static void
test_returns (void)
{
  static const scene_reply_t replies[]
      = { { REST_FOR ("0.2"), SCENE_KEEP_OPEN }, { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  cfd_time_t end = clock_now () + 10000;

  while (scene->servers[0].requests < 2 || scene->servers[1].requests < 2)
    {
      g_assert_cmpuint (call (scene, CALL ("/twice/", "1")), ==, 200);
      g_assert_cmpint (clock_now (), <, end);
      wait_until (scene, clock_now () + 20);
    }
  scene_free (scene);
}

/* Guards against a caller who is kept waiting, or asked to retry at once,
   when every endpoint rests past the time that its request may wait.  */
static void
test_all_rest (void)
{
  static const scene_reply_t replies[]
      = { { REST_FOR ("3"), SCENE_KEEP_OPEN }, { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  scene_caller_t *caller;
  const char *retry_after;
  cfd_time_t start;

  scene_list_endpoints (scene, 1, false, 4);
  g_assert_cmpuint (call (scene, CALL ("/once/", "1")), ==, 503);
  start = clock_now ();
  caller = scene_send_request (scene, CALL ("/twice/", "2"));
  scene_wait_for (scene, caller, "\r\n\r\n");
  g_assert_cmpint (clock_now (), <, start + 100);
  g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 503 "));
  retry_after = strstr (caller->text->str, "Retry-After: ");
  g_assert_nonnull (retry_after);
  g_assert_cmpfloat (
      g_ascii_strtod (retry_after + strlen ("Retry-After: "), NULL), >, 2.5);
  g_assert_cmpuint (scene->requests_received, ==, 1);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against a request that is rejected, or sent, during a rest that it
   can wait for.  */
static void
test_waits_for_rest (void)
{
  static const scene_reply_t replies[]
      = { { REST_FOR ("0.4"), SCENE_KEEP_OPEN }, { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  cfd_time_t start;

  scene_list_endpoints (scene, 1, false, 4);
  g_assert_cmpuint (call (scene, CALL ("/once/", "1")), ==, 503);
  start = clock_now ();
  g_assert_cmpuint (call (scene, CALL ("/slow/", "2")), ==, 200);
  g_assert_cmpint (clock_now (), >=, start + 300);
  g_assert_cmpuint (scene->requests_received, ==, 2);
  scene_free (scene);
}

/* Guards against a resumed stream that is sent to an endpoint at rest, as the
   only one that has not failed it.  */
static void
test_resumed (void)
{
  static const scene_reply_t replies[]
      = { { REST_FOR ("1"), SCENE_KEEP_OPEN },
          { "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\nTransfer-Encoding: "
            "chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n",
            SCENE_CLOSE },
          { "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\nTransfer-Encoding: "
            "chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
            SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 3, 4);
  scene_caller_t *caller;
  edp_t *second = edp_set_find (scene->endpoints, "e1");

  second->full_until = clock_now () + 100;
  g_assert_cmpuint (call (scene, CALL ("/once/", "1")), ==, 503);
  caller = scene_send_request (scene, CALL ("/events/", "2"));
  scene_wait_for (scene, caller, "\r\n0\r\n\r\n");
  g_assert_nonnull (strstr (caller->text->str, "data: b"));
  g_assert_cmpuint (scene->servers[0].requests, ==, 1);
  g_assert_cmpuint (scene->servers[1].requests, ==, 2);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against a late answer to an earlier request whose rest is ignored
   together with it.  */
static void
test_late_answer (void)
{
  static const scene_reply_t replies[]
      = { { "HTTP/1.1 503 Busy\r\nX-Id: other\r\nX-Not-Run: 1\r\n"
            "Retry-After: 3\r\nContent-Length: 0\r\n\r\n" OK,
            SCENE_KEEP_OPEN },
          { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);

  scene_list_endpoints (scene, 1, false, 4);
  g_assert_cmpuint (call (scene, CALL ("/once/", "1")), ==, 200);
  g_assert_cmpuint (call (scene, CALL ("/once/", "2")), ==, 503);
  g_assert_cmpuint (scene->requests_received, ==, 1);
  scene_free (scene);
}

#define LONG_BODY_BYTES 4000000

static bool
has_unread_connection (void *user)
{
  scene_t *scene = user;

  return scene->server_cons->len > 0;
}

/* Guards against a request whose body is still being sent when its endpoint
   asks for rest, and which reaches it later.  */
static void
test_unsent_body (void)
{
  static const scene_reply_t replies[]
      = { { REST_FOR ("3"), SCENE_KEEP_OPEN }, { OK, SCENE_KEEP_OPEN } };
  g_autofree char *body = g_strnfill (LONG_BODY_BYTES, 'x');
  g_autofree char *request = g_strdup_printf (
      "POST /slow/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: 20000\r\n"
      "Authorization: Bearer key-of-the-mill\r\nContent-Length: %d\r\n\r\n%s",
      LONG_BODY_BYTES, body);
  scene_t *scene = scene_new (replies, 2, 4);
  scene_caller_t *caller;
  scene_list_endpoints (scene, 1, false, 4);
  scene->servers[1].reads_nothing = true;
  caller = scene_send_request (scene, request);
  scene_run (scene, has_unread_connection, scene);
  wait_until (scene, clock_now () + 100);
  scene->servers[1].reads_nothing = false;
  scene_list_endpoints (scene, 0, false, 4);
  edp_set_find (scene->endpoints, "e0")->full_until = clock_now () + 300;
  g_assert_cmpuint (call (scene, CALL ("/once/", "2")), ==, 503);
  scene_wait_for (scene, caller, "\r\n\r\nx");
  g_assert_cmpuint (scene->servers[0].requests, ==, 1);
  g_assert_cmpuint (scene->servers[1].requests, ==, 1);
  g_assert_cmpuint (rly_counts (scene->rly)->withdrawn, ==, 1);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against callers who all return at once at the end of a rest.  */
static void
test_no_herd (void)
{
  static const scene_reply_t replies[]
      = { { REST_FOR ("0.3"), SCENE_KEEP_OPEN }, { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 64);
  scene_caller_t *callers[20];
  cfd_time_t start;

  scene_list_endpoints (scene, 1, false, 64);
  start = clock_now ();
  g_assert_cmpuint (call (scene, CALL ("/once/", "1")), ==, 503);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    callers[i] = scene_send_request (scene, CALL ("/slow/", "2"));
  wait_until (scene, start + 300 + 250);
  g_assert_cmpuint (scene->requests_received, <=, 3);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      scene_wait_for (scene, callers[i], "\r\n\r\nx");
      scene_caller_free (callers[i]);
    }
  g_assert_cmpuint (scene->requests_received, ==, 21);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rly-rest/rests", test_rests);
  g_test_add_func ("/rly-rest/returns", test_returns);
  g_test_add_func ("/rly-rest/all-rest", test_all_rest);
  g_test_add_func ("/rly-rest/waits-for-rest", test_waits_for_rest);
  g_test_add_func ("/rly-rest/resumed", test_resumed);
  g_test_add_func ("/rly-rest/late-answer", test_late_answer);
  g_test_add_func ("/rly-rest/unsent-body", test_unsent_body);
  g_test_add_func ("/rly-rest/no-herd", test_no_herd);
  return g_test_run ();
}
