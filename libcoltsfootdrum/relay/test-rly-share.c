/* The relay's part in accounts' shares, over real connections: who counts as
   served, and what an account that is behind may do.  */

#include "test-rly-scene.h"

#include <string.h>

#define NOT_RUN                                                               \
  "HTTP/1.1 503 Busy\r\nX-Id: %I\r\nX-Not-Run: 1\r\nContent-Length: "         \
  "0\r\n\r\n"

#define CALL(path, id, prompt)                                                \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: " id "\r\nX-Prompt: " prompt    \
  "\r\nX-Deadline: 20000\r\nAuthorization: Bearer key-of-the-mill\r\n"        \
  "Content-Length: 0\r\n\r\n"

/* Endpoints give back what they get.  The caller sees refusals, and its
   account got nothing.  Were they counted, it would pass for the best served
   one, and its other requests would wait behind those of accounts that are
   served.  */
static void
test_given_back (void)
{
  static const scene_reply_t replies[] = { { NOT_RUN, SCENE_STAYS } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller
      = scene_call (scene, CALL ("/once/", "1", "a:100,b:900"));
  use_sum_t sum;

  scene_wait_for (scene, caller, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 503 "));
  sum = use_all (scene->use, clock_now (), "mill");
  g_assert_cmpfloat (sum.asked, >, 0.);
  g_assert_cmpfloat (sum.got, ==, 0.);
  scene_caller_free (caller);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rly-share/given-back", test_given_back);
  return g_test_run ();
}
