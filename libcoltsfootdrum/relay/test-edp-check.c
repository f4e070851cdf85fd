/* Health checks on connections that carry requests.  */

#include "test-rly-scene.h"

#include <string.h>

#define ANSWER(id)                                                            \
  "HTTP/1.1 200 OK\r\nX-Id: " id "\r\nX-Stamp: s\r\nContent-Length: 1\r\n"    \
  "\r\nx"
#define CALL(id)                                                              \
  "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: " id                              \
  "\r\nX-Deadline: 20000\r\nAuthorization: Bearer key-of-the-mill\r\n"        \
  "Content-Length: 0\r\n\r\n"

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

static const edp_check_options_t options = { .endpoint_id = "X-Endpoint",
                                             .cold_ms = "X-Cold",
                                             .not_run = "X-Not-Run",
                                             .request_id = "X-Id",
                                             .get_path = get_path,
                                             .get_rank = get_rank,
                                             .count_routers = count_routers };

static bool
has_received_two (void *user)
{
  return ((scene_t *)user)->requests_received == 2;
}

/* Guards against a second answer to a request that is taken for that to a
   health check: the check's own answer, a rejection, was then taken for that
   to the next request, which ran.  */
static void
test_second_answer (void)
{
  static const scene_reply_t replies[] = { { ANSWER ("1"), SCENE_KEEP_OPEN },
                                           { ANSWER ("1"), SCENE_KEEP_OPEN },
                                           { ANSWER ("2"), SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, G_N_ELEMENTS (replies), 4);
  scene_caller_t *first;
  scene_caller_t *second;

  scene_list_endpoints (scene, 1, false, 4);
  first = scene_send_request (scene, CALL ("1"));
  scene_wait_for (scene, first, "\r\n\r\nx");
  edp_set_update_warm_up (scene->endpoints, get_warm_up_ms, NULL);
  edp_set_check_health (scene->endpoints, clock_now (), &options, false);
  scene_run (scene, has_received_two, scene);
  g_assert_cmpuint (scene->server_cons->len, ==, 1);
  second = scene_send_request (scene, CALL ("2"));
  scene_wait_for (scene, second, "\r\n\r\nx");
  g_assert_true (g_str_has_prefix (second->text->str, "HTTP/1.1 200 "));
  /* The check still waits on the first connection.  */
  g_assert_cmpuint (scene->server_cons->len, ==, 2);
  scene_caller_free (first);
  scene_caller_free (second);
  scene_free (scene);
}

static bool
is_check_over (void *user)
{
  return ((const edp_t *)user)->check.exchange == NULL;
}

/* Guards against a malformed answer to a health check that is believed: the
   endpoint then got fewer requests.  */
static void
test_malformed_answer (gconstpointer data)
{
  const scene_reply_t reply = { data, SCENE_KEEP_OPEN };
  scene_t *scene = scene_new (&reply, 1, 4);
  edp_t *edp;

  scene_list_endpoints (scene, 1, false, 4);
  edp = edp_set_find (scene->endpoints, "e1");
  edp_set_update_warm_up (scene->endpoints, get_warm_up_ms, NULL);
  edp_set_check_health (scene->endpoints, clock_now (), &options, false);
  g_assert_false (is_check_over (edp));
  scene_run (scene, is_check_over, edp);
  g_assert_cmpint (edp_get_found_cold_ms (edp, clock_now ()), ==, 0);
  g_assert_cmpuint (edp->consecutive_failures, ==, 1);
  scene_free (scene);
}

#define COLD "X-Endpoint: e1\r\nX-Cold: 2000\r\nContent-Length: 0\r\n\r\n"

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edp-check/second-answer", test_second_answer);
  g_test_add_data_func ("/edp-check/malformed-name",
                        "HTTP/1.1 200 OK\r\nX Y: 1\r\n" COLD,
                        test_malformed_answer);
  g_test_add_data_func ("/edp-check/malformed-status",
                        "HTTP/1.1 0200 OK\r\n" COLD, test_malformed_answer);
  return g_test_run ();
}
