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

/* Guards against a caller who is kept waiting, or told to come back at once,
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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rly-rest/rests", test_rests);
  g_test_add_func ("/rly-rest/returns", test_returns);
  g_test_add_func ("/rly-rest/all-rest", test_all_rest);
  g_test_add_func ("/rly-rest/waits-for-rest", test_waits_for_rest);
  return g_test_run ();
}
