/* Which ends of endpoints count against a request that ran there, and what is
   sent of prompts with a quarantined part.  */

#include "test-rly-scene.h"

#include <stdlib.h>
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

#define PROMPT(path, id, parts)                                               \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: " id "\r\n"                     \
  "X-Deadline: 9000\r\nAuthorization: Bearer key-of-the-mill\r\n"             \
  "X-Prompt: " parts "\r\nContent-Length: 0\r\n\r\n"

static void
ignore_part (void *user, uint64_t part, const prt_state_t *state)
{
}

/* Three endpoints ended under prompts with the first part of PROMPT, the last
   one AGO_MS ago.  */
static void
quarantine_part (scene_t *scene, const char *prompt, int64_t ago_ms)
{
  g_autoptr (GArray) parts = prt_parse ("app", prompt);
  cfd_time_t now = clock_now ();

  for (unsigned i = 1; i <= PRT_MAX_ENDS; i++)
    {
      prt_event_t end
          = { .kind = PRT_END,
              .part = g_array_index (parts, uint64_t, 0),
              .endpoint = i,
              .request = i,
              .at = now - ago_ms - (int64_t)(PRT_MAX_ENDS - i) * 1000 };

      prt_add (scene->prt, now, &end);
    }
  prt_decide (scene->prt, now, ignore_part, NULL);
  g_assert_cmpuint (prt_count_active (scene->prt), ==, 1);
}

static unsigned
wait_for_status (scene_t *scene, scene_caller_t *caller)
{
  unsigned status;

  scene_wait_for (scene, caller, "\r\n\r\n");
  status = (unsigned)atoi (caller->text->str + strlen ("HTTP/1.1 "));
  scene_caller_free (caller);
  return status;
}

/* Nothing with the part is sent, whatever precedes it; others are.  */
static void
test_part_refused (void)
{
  static const scene_reply_t replies[] = { { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);

  quarantine_part (scene, "dead:10,f1:5", 1000);
  g_assert_cmpuint (
      wait_for_status (
          scene, scene_send_request (
                     scene, PROMPT ("/thrice/", "a", "a1:7,DEAD:10,f2:5"))),
      ==, 503);
  g_assert_cmpuint (scene->requests_received, ==, 0);
  g_assert_cmpuint (wait_for_status (scene, scene_send_request (
                                                scene, PROMPT ("/thrice/", "b",
                                                               "a1:7,f2:5"))),
                    ==, 200);
  /* The last part is the request's own, whatever its id.  */
  g_assert_cmpuint (
      wait_for_status (scene,
                       scene_send_request (
                           scene, PROMPT ("/thrice/", "c", "a1:7,dead:10"))),
      ==, 200);
  scene_free (scene);
}

/* When a trial is due, one request is sent, once, though its route allows
   three attempts.  */
static void
test_trial_is_one_send (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_RESET } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *callers[3];

  quarantine_part (scene, "dead:10,f1:5", 2 * PRT_MIN_MS);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    callers[i]
        = scene_send_request (scene, PROMPT ("/thrice/", "a", "dead:10,f2:5"));
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    g_assert_cmpuint (wait_for_status (scene, callers[i]), >, 500);
  g_assert_cmpuint (scene->requests_received, ==, 1);
  scene_free (scene);
}

/* A trial that is answered frees the part.  */
static void
test_trial_clears (void)
{
  static const scene_reply_t replies[] = { { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);

  quarantine_part (scene, "dead:10,f1:5", 2 * PRT_MIN_MS);
  for (unsigned i = 0; i < 3; i++)
    g_assert_cmpuint (
        wait_for_status (scene,
                         scene_send_request (
                             scene, PROMPT ("/thrice/", "a", "dead:10,f2:5"))),
        ==, 200);
  g_assert_cmpuint (prt_count_active (scene->prt), ==, 0);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rly-quarantine/silent-before", test_silent_before);
  g_test_add_func ("/rly-quarantine/silent-after", test_silent_after);
  g_test_add_func ("/rly-quarantine/part-refused", test_part_refused);
  g_test_add_func ("/rly-quarantine/trial-is-one-send",
                   test_trial_is_one_send);
  g_test_add_func ("/rly-quarantine/trial-clears", test_trial_clears);
  return g_test_run ();
}
