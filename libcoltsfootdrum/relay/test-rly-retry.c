/* Where the relay sends a request again, over real connections.  */

#include "test-rly-scene.h"

#include "relay/evs.h"
#include "relay/rol-private.h"

#include <string.h>

#define OK                                                                    \
  "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\nContent-Length: 1\r\n\r\nx"
#define NOT_RUN                                                               \
  "HTTP/1.1 503 Busy\r\nX-Id: %I\r\nX-Not-Run: 1\r\nContent-Length: "         \
  "0\r\n\r\n"

#define CALL(path, id)                                                        \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: " id                            \
  "\r\nX-Deadline: 20000\r\nAuthorization: Bearer key-of-the-mill\r\n"        \
  "Content-Length: 0\r\n\r\n"

/* Longer than the backoff of an endpoint after a few failures.  */
#define BUSY_MS 2000

static bool
has_received_one (void *user)
{
  return ((scene_t *)user)->requests_received >= 1;
}

static bool
is_later (void *user)
{
  return clock_now () > *(const cfd_time_t *)user;
}

/* Two endpoints are down and the third one is full: a request that found both
   down was sent to them again, and refused, in place of waiting for the
   third.  */
static void
test_waits_for_the_third (void)
{
  static const scene_reply_t replies[]
      = { { NULL, SCENE_KEEP_OPEN }, { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 1);
  scene_caller_t *first;
  scene_caller_t *second;
  cfd_time_t until;

  scene_list_endpoints (scene, 1, false, 1);
  first = scene_send_request (scene, CALL ("/slow/", "1"));
  scene_run (scene, has_received_one, scene);
  scene_list_dead (scene, 2);
  until = clock_now () + BUSY_MS;
  second = scene_send_request (scene, CALL ("/slow/", "2"));
  scene_run (scene, is_later, &until);
  g_assert_cmpstr (second->text->str, ==, "");
  g_assert_cmpuint (rly_counts (scene->rly)->waiting, ==, 1);
  scene_caller_free (first);
  scene_wait_for (scene, second, "\r\n\r\nx");
  g_assert_true (g_str_has_prefix (second->text->str, "HTTP/1.1 200 "));
  scene_caller_free (second);
  scene_free (scene);
}

/* One endpoint failed the request and the other one takes nothing for a while
   after rejections: the request was sent to the former again.  */
static void
test_waits_for_a_pause (void)
{
  static const scene_reply_t replies[]
      = { { "", SCENE_RESET }, { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  edp_t *paused = edp_set_find (scene->endpoints, "e1");
  scene_caller_t *caller;

  paused->full_until = clock_now () + BUSY_MS;
  caller = scene_send_request (scene, CALL ("/twice/", "1"));
  scene_wait_for (scene, caller, "\r\n\r\nx");
  g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 200 "));
  g_assert_cmpuint (scene->servers[0].requests, ==, 1);
  g_assert_cmpuint (scene->servers[1].requests, ==, 1);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Both endpoints rejected the request, and there is no third: it is not held
   back from both.  */
static void
test_all_have_failed (void)
{
  static const scene_reply_t replies[] = { { NOT_RUN, SCENE_KEEP_OPEN },
                                           { NOT_RUN, SCENE_KEEP_OPEN },
                                           { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 3, 4);
  scene_caller_t *caller = scene_send_request (scene, CALL ("/thrice/", "1"));

  scene_wait_for (scene, caller, "\r\n\r\nx");
  g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 200 "));
  g_assert_cmpuint (scene->servers[0].requests + scene->servers[1].requests,
                    ==, 3);
  g_assert_cmpuint (scene->servers[0].requests, >, 0);
  g_assert_cmpuint (scene->servers[1].requests, >, 0);
  scene_caller_free (caller);
  scene_free (scene);
}

/* The only endpoint rejected the request: it goes there again.  */
static void
test_single_endpoint (void)
{
  static const scene_reply_t replies[]
      = { { NOT_RUN, SCENE_KEEP_OPEN }, { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  scene_caller_t *caller;

  scene_list_endpoints (scene, 1, false, 4);
  caller = scene_send_request (scene, CALL ("/twice/", "1"));
  scene_wait_for (scene, caller, "\r\n\r\nx");
  g_assert_cmpuint (scene->servers[1].requests, ==, 2);
  scene_caller_free (caller);
  scene_free (scene);
}

#define LARGE_BODY_BYTES 1000000

/* Guards against a large body, which is sent without copying it, of which the
   second endpoint gets less than the first one.  */
static void
test_large_body (void)
{
  static const scene_reply_t replies[]
      = { { NOT_RUN, SCENE_KEEP_OPEN }, { OK, SCENE_KEEP_OPEN } };
  g_autofree char *body = g_strnfill (LARGE_BODY_BYTES, 'x');
  g_autofree char *expected = g_strdup_printf ("|body=%s", body);
  g_autofree char *request = g_strdup_printf (
      "POST /twice/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: 20000\r\n"
      "Authorization: Bearer key-of-the-mill\r\nContent-Length: %d\r\n\r\n%s",
      LARGE_BODY_BYTES, body);
  scene_t *scene = scene_new (replies, 2, 4);
  scene_caller_t *caller = scene_send_request (scene, request);

  scene_wait_for (scene, caller, "\r\n\r\nx");
  g_assert_cmpuint (scene->servers[0].requests, ==, 1);
  g_assert_cmpuint (scene->servers[1].requests, ==, 1);
  g_assert_true (g_str_has_suffix (scene->last_request->str, expected));
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against a second copy of the rejection of a request that is taken for
   the answer to its retry, which has the same id.  */
static void
test_retry_on_another_connection (void)
{
  static const scene_reply_t replies[]
      = { { NOT_RUN, SCENE_KEEP_OPEN }, { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  scene_caller_t *caller;

  scene_list_endpoints (scene, 1, false, 4);
  caller = scene_send_request (scene, CALL ("/twice/", "1"));
  scene_wait_for (scene, caller, "\r\n\r\nx");
  g_assert_cmpuint (scene->servers[1].requests, ==, 2);
  g_assert_cmpuint (scene->server_cons->len, ==, 2);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Lists the endpoints that have a version in VERSIONS.  */
static void
list_versions (scene_t *scene, rol_t *rol, const char *const versions[])
{
  GPtrArray *reports = g_ptr_array_new ();

  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    {
      edp_report_t *report;

      if (versions[i] == NULL)
        continue;
      report = g_new0 (edp_report_t, 1);
      report->id = g_strdup_printf ("e%u", i);
      report->service = g_strdup ("app");
      report->address
          = g_strdup_printf ("127.0.0.1:%u", scene->servers[i].port);
      report->zone = g_strdup ("z");
      report->version = g_strdup (versions[i]);
      report->revision = 10;
      report->slots = 1;
      g_ptr_array_add (reports, report);
    }
  edp_set_update (scene->endpoints, clock_now (), reports, true, 0);
  rol_update_endpoints (rol);
}

/* Orders a rollout of "v2" to all endpoints, of which all requests may go to
   the target.  */
static void
order_rollout (rol_t *rol)
{
  GPtrArray *orders = g_ptr_array_new ();
  rol_order_t *order = g_new0 (rol_order_t, 1);

  order->service = g_strdup ("app");
  order->target = g_strdup ("v2");
  order->state = ROL_IN_PROGRESS;
  order->duration_ms = 1;
  order->revision = 20;
  g_ptr_array_add (orders, order);
  rol_set_orders (rol, clock_now () - 1000, orders, 30);
  rol_find (rol, "app")->target_share = 1.;
}

/* While a rollout moves the traffic, a request that a canary had rejected was
   sent to the same canary again, in place of waiting for the baseline.  */
static void
test_not_the_same_canary (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN },
                                           { NOT_RUN, SCENE_KEEP_OPEN },
                                           { OK, SCENE_KEEP_OPEN } };
  static const char *const before[] = { NULL, "v1" };
  static const char *const after[] = { "v2", "v1" };
  static const rol_settings_t settings = { .exposure_share = 0.1 };
  scene_t *scene = scene_new (replies, 3, 1);
  g_autoptr (rol_t) rol = rol_new (&settings, scene->endpoints);
  scene_caller_t *first;
  scene_caller_t *second;
  cfd_time_t until;

  list_versions (scene, rol, before);
  first = scene_send_request (scene, CALL ("/slow/", "1"));
  scene_run (scene, has_received_one, scene);
  rly_set_rollouts (scene->rly, rol);
  list_versions (scene, rol, after);
  order_rollout (rol);
  second = scene_send_request (scene, CALL ("/twice/", "2"));
  until = clock_now () + BUSY_MS;
  scene_run (scene, is_later, &until);
  g_assert_cmpuint (scene->servers[0].requests, ==, 1);
  scene_caller_free (first);
  scene_wait_for (scene, second, "\r\n\r\nx");
  g_assert_cmpuint (scene->servers[0].requests, ==, 1);
  scene_caller_free (second);
  rly_set_rollouts (scene->rly, NULL);
  scene_free (scene);
}

/* An endpoint sends an event without an end: its request stayed there until
   the caller's deadline.  */
static void
test_endless_event (void)
{
  g_autofree char *filler = g_strnfill (EVS_MAX_EVENT_BYTES + 1, 'x');
  g_autofree char *endless = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Id: %%I\r\nX-Stamp: s\r\nTransfer-Encoding: "
      "chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n%x\r\n%s\r\n",
      EVS_MAX_EVENT_BYTES + 1, filler);
  const scene_reply_t replies[]
      = { { endless, SCENE_KEEP_OPEN },
          { "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\nTransfer-Encoding: "
            "chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
            SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  scene_caller_t *caller = scene_send_request (scene, CALL ("/events/", "1"));

  scene_wait_for (scene, caller, "\r\n0\r\n\r\n");
  g_assert_nonnull (strstr (caller->text->str, "id: 1\ndata: a\n\n"));
  g_assert_nonnull (strstr (caller->text->str, "id: 2\ndata: b\n\n"));
  g_assert_null (strstr (caller->text->str, "xxx"));
  g_assert_cmpuint (scene->requests_received, ==, 2);
  scene_caller_free (caller);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rly-retry/waits-for-the-third", test_waits_for_the_third);
  g_test_add_func ("/rly-retry/waits-for-a-pause", test_waits_for_a_pause);
  g_test_add_func ("/rly-retry/all-have-failed", test_all_have_failed);
  g_test_add_func ("/rly-retry/single-endpoint", test_single_endpoint);
  g_test_add_func ("/rly-retry/large-body", test_large_body);
  g_test_add_func ("/rly-retry/retry-on-another-connection",
                   test_retry_on_another_connection);
  g_test_add_func ("/rly-retry/not-the-same-canary", test_not_the_same_canary);
  g_test_add_func ("/rly-retry/endless-event", test_endless_event);
  return g_test_run ();
}
