/* Which ends of endpoints count against a request that ran there.  */

#include "test-rly-scene.h"

#include <string.h>
#include <sys/socket.h>

#define HEADER "X-Id: %I\r\nX-Stamp: s\r\n"
#define OK "HTTP/1.1 200 OK\r\n" HEADER "Content-Length: 4\r\n\r\ngood"
#define CALL(path, id)                                                        \
  "GET " path " HTTP/1.1\r\nHost: h\r\nX-Id: " id "\r\n"                      \
  "X-Deadline: 9000\r\nAuthorization: Bearer key-of-the-mill\r\n\r\n"

/* From the send of a request to an answer that is clearly after it.  */
#define LATER_MS 20

/* The endpoint's process is gone: it takes no new connection.  */
static void
stop_listening (scene_server_t *server)
{
  ev_io_stop (server->scene->loop, &server->listener);
  shutdown (server->listener.fd, SHUT_RDWR);
}

static bool
has_reached_one (void *user)
{
  return ((scene_t *)user)->requests_received == 1;
}

static bool
has_reached_both (void *user)
{
  return ((scene_t *)user)->requests_received == 2;
}

static bool
is_later (void *user)
{
  return clock_now () >= *(const cfd_time_t *)user;
}

static bool
has_ended (void *user)
{
  return edp_set_count_ended (((scene_t *)user)->endpoints) > 0;
}

/* Lists e1 alone.  Its machine falls silent while it has two requests, of
   which it has answered the second when ANSWERS.  Returns how many requests
   its end counts against.  */
static unsigned
fall_silent (bool answers)
{
  const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN },
                                    { answers ? OK : NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  scene_caller_t *first;
  scene_caller_t *second;
  unsigned counted;
  cfd_time_t later;

  scene_list_endpoints (scene, 1, false, 4);
  first = scene_send_request (scene, CALL ("/twice/1", "a"));
  scene_run (scene, has_reached_one, scene);
  later = clock_now () + LATER_MS;
  scene_run (scene, is_later, &later);
  second = scene_send_request (scene, CALL ("/once/2", "b"));
  scene_run (scene, has_reached_both, scene);
  if (answers)
    scene_wait_for (scene, second, "good");
  stop_listening (&scene->servers[1]);
  scene_run (scene, has_ended, scene);
  counted = qua_count (scene->qua);
  scene_caller_free (first);
  scene_caller_free (second);
  scene_free (scene);
  return counted;
}

/* It may have ended before the request was sent.  */
static void
test_silent_before (void)
{
  g_assert_cmpuint (fall_silent (false), ==, 0);
}

/* It was there after the request had been sent.  */
static void
test_silent_after (void)
{
  g_assert_cmpuint (fall_silent (true), ==, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rly-quarantine/silent-before", test_silent_before);
  g_test_add_func ("/rly-quarantine/silent-after", test_silent_after);
  return g_test_run ();
}
