/* Requests that wait in vain: what their refusal says was full, and the limit
   of request bodies at an endpoint.  */

#include "test-rly-scene.h"

#include <string.h>

#define SMALL                                                                 \
  "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\n"                             \
  "Content-Length: 3\r\n\r\nabc"
/* One fits in a router's least share of an endpoint's memory, two don't.  */
#define BODY_BYTES 3000000u
/* So many routers that each has its least share.  */
#define ROUTERS 64
#define DEADLINE_MS 20000

static scene_caller_t *
send_body (scene_t *scene, size_t length)
{
  g_autofree char *body = g_strnfill (length, 'a');
  g_autofree char *text = g_strdup_printf (
      "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: %d\r\n"
      "Authorization: Bearer key-of-the-mill\r\nContent-Length: %zu\r\n\r\n%s",
      DEADLINE_MS, length, body);

  return scene_send_request (scene, text);
}

typedef struct
{
  const scene_t *scene;
  unsigned received;
} requests_t;

static bool
have_arrived (void *user)
{
  const requests_t *requests = user;

  return requests->scene->requests_received >= requests->received;
}

static void
wait_for_requests (scene_t *scene, unsigned received)
{
  requests_t requests = { scene, received };

  scene_run (scene, have_arrived, &requests);
}

static void
expect_refusal (scene_t *scene, scene_caller_t *caller)
{
  scene_wait_for (scene, caller, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 503 "));
  g_assert_nonnull (strstr (caller->text->str, "Retry-After: "));
  g_assert_cmpuint (rly_counts (scene->rly)->refused, ==, 1);
}

/* Guards against an endpoint that ends as the bodies of the requests that it
   holds exceed its memory.  Requests without a body still go there.  */
static void
test_bodies (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN },
                                           { NULL, SCENE_KEEP_OPEN },
                                           { SMALL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, G_N_ELEMENTS (replies), 8);
  scene_caller_t *callers[SCENE_ENDPOINTS];
  scene_caller_t *refused;
  scene_caller_t *small;

  rly_set_router_count (scene->rly, ROUTERS);
  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    {
      callers[i] = send_body (scene, BODY_BYTES);
      wait_for_requests (scene, i + 1);
    }
  g_assert_cmpuint (scene->servers[0].requests, ==, 1);
  g_assert_cmpuint (scene->servers[1].requests, ==, 1);
  refused = send_body (scene, BODY_BYTES);
  expect_refusal (scene, refused);
  g_assert_cmpuint (rly_counts (scene->rly)->lacked[PLC_BODIES], ==, 1);
  small = send_body (scene, 0);
  scene_wait_for (scene, small, "\r\n\r\nabc");
  g_assert_true (g_str_has_prefix (small->text->str, "HTTP/1.1 200 "));
  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    scene_caller_free (callers[i]);
  scene_caller_free (refused);
  scene_caller_free (small);
  scene_free (scene);
}

/* Guards against bodies that count on after their requests ended.  */
static void
test_bodies_in_turn (void)
{
  static const scene_reply_t reply = { SMALL, SCENE_KEEP_OPEN };
  scene_t *scene = scene_new (&reply, 1, 8);

  rly_set_router_count (scene->rly, ROUTERS);
  for (unsigned i = 0; i < 6; i++)
    {
      scene_caller_t *caller = send_body (scene, BODY_BYTES);

      scene_wait_for (scene, caller, "\r\n\r\nabc");
      g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 200 "));
      scene_caller_free (caller);
    }
  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%u", i);

      g_assert_cmpuint (edp_set_find (scene->endpoints, id)->body_bytes, ==,
                        0);
    }
  scene_free (scene);
}

/* Fills the single slot of each endpoint and sends one request more.  */
static scene_caller_t *
overfill (scene_t *scene, scene_caller_t **callers)
{
  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    callers[i] = send_body (scene, 0);
  wait_for_requests (scene, SCENE_ENDPOINTS);
  return send_body (scene, 0);
}

static bool
is_waiting (void *user)
{
  return rly_counts (((const scene_t *)user)->rly)->waiting > 0;
}

/* Guards against a refusal that doesn't tell a lack of endpoints from one of
   this router's time; MS: for which the router's loop stands still.  */
static void
check_delay (unsigned ms, unsigned slots, unsigned processor)
{
  static const scene_reply_t reply = { NULL, SCENE_KEEP_OPEN };
  scene_t *scene = scene_new (&reply, 1, 1);
  scene_caller_t *callers[SCENE_ENDPOINTS];
  scene_caller_t *refused = overfill (scene, callers);

  scene_run (scene, is_waiting, scene);
  g_usleep (ms * 1000);
  expect_refusal (scene, refused);
  g_assert_cmpuint (rly_counts (scene->rly)->lacked[PLC_SLOTS], ==, slots);
  g_assert_cmpuint (rly_counts (scene->rly)->lacked_processor, ==, processor);
  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    scene_caller_free (callers[i]);
  scene_caller_free (refused);
  scene_free (scene);
}

static void
test_slots (void)
{
  check_delay (0, 1, 0);
}

static void
test_processor (void)
{
  check_delay (400, 0, 1);
}

static void
test_no_endpoint (void)
{
  static const scene_reply_t reply = { SMALL, SCENE_KEEP_OPEN };
  scene_t *scene = scene_new (&reply, 1, 1);
  scene_caller_t *caller;

  edp_set_find (scene->endpoints, "e0")->backoff_until = CFD_TIME_NEVER;
  edp_set_find (scene->endpoints, "e1")->backoff_until = CFD_TIME_NEVER;
  caller = send_body (scene, 0);
  expect_refusal (scene, caller);
  g_assert_cmpuint (rly_counts (scene->rly)->lacked[PLC_NO_ENDPOINT], ==, 1);
  scene_caller_free (caller);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/lack/bodies", test_bodies);
  g_test_add_func ("/lack/bodies-in-turn", test_bodies_in_turn);
  g_test_add_func ("/lack/slots", test_slots);
  g_test_add_func ("/lack/processor", test_processor);
  g_test_add_func ("/lack/no-endpoint", test_no_endpoint);
  return g_test_run ();
}
