/* A stream goes on in the service and at the version that began it, or its
   caller begins anew: when its route is moved to another service, or split
   between several, each of one version; when its endpoint starts again before
   the list tells.  Endpoint e0 is of service "app" and e1 of "other".  */

#include "test-rly-scene.h"

#include <string.h>
#include <unistd.h>

#define E1 "f\r\nid: 1\ndata: a\n\n\r\n"
#define EVENTS                                                                \
  "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\n"                             \
  "Transfer-Encoding: chunked\r\n\r\n" E1
#define END "0\r\n\r\n"

#define CALL(id, fields)                                                      \
  "POST /events/ HTTP/1.1\r\nHost: h\r\nX-Id: " id "\r\n" fields              \
  "X-Deadline: 5000\r\nContent-Length: 0\r\n\r\n"
#define RESUME CALL ("again", "Last-Event-Id: 0\r\nX-Resumes: first\r\n")
#define REFUSED "HTTP/1.1 503 "

static const scene_reply_t replies[] = { { EVENTS END, SCENE_KEEP_OPEN } };

static void
list_endpoints (scene_t *scene)
{
  static const char *const services[SCENE_ENDPOINTS] = { "app", "other" };
  GPtrArray *reports = g_ptr_array_new ();

  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    {
      edp_report_t *report = g_new0 (edp_report_t, 1);

      report->id = g_strdup_printf ("e%u", i);
      report->service = g_strdup (services[i]);
      report->address
          = g_strdup_printf ("127.0.0.1:%u", scene->servers[i].port);
      report->zone = g_strdup ("z");
      report->version = g_strdup ("v1");
      report->slots = 4;
      g_ptr_array_add (reports, report);
    }
  edp_set_update (scene->endpoints, clock_now (), reports, true, 0);
  rly_update_versions (scene->rly, clock_now ());
}

/* Puts a configuration in force in which SERVICE gets all streams, or if it is
   NULL, each service gets half of them.  */
static void
set_service (scene_t *scene, uint64_t version, const char *service)
{
  rte_limits_t limits = { 0 };
  g_autoptr (rte_table_t) table = rte_table_new (version, &limits);
  rte_route_t *route = rte_route_new ();

  route->name = g_strdup ("events");
  route->host = g_strdup ("h");
  route->prefix = g_strdup ("/events/");
  route->kind = RTE_STREAM;
  route->resumable = true;
  route->max_attempts = 2;
  route->target_latency_ms = 300;
  if (service == NULL || g_str_equal (service, "app"))
    rte_route_add_traffic_share (route, "app", 1.);
  if (service == NULL || g_str_equal (service, "other"))
    rte_route_add_traffic_share (route, "other", 1.);
  rte_table_add_route (table, route);
  rly_set_table (scene->rly, table, clock_now ());
}

/* Guards against a stream of another router that goes on in the service to
   which its route was moved.  */
static void
test_moved (void)
{
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller;

  list_endpoints (scene);
  set_service (scene, 2, "app");
  set_service (scene, 3, "other");
  caller = scene_send_request (scene, RESUME);
  scene_wait_for (scene, caller, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (caller->text->str, REFUSED));
  g_assert_cmpuint (scene->requests_received, ==, 0);
  scene_caller_free (caller);
  scene_free (scene);
}

static void
register_versions (scene_t *scene)
{
  org_begin_register (scene->org);
  org_register_version (scene->org, "app", "v1");
  org_register_version (scene->org, "other", "v1");
  org_end_register (scene->org, clock_now (), true);
  rly_update_register (scene->rly);
}

/* The same where each service has one registered version: that of the service
   which the route names now says nothing of the stream.  */
static void
test_moved_registered (void)
{
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller;

  list_endpoints (scene);
  register_versions (scene);
  set_service (scene, 2, "app");
  set_service (scene, 3, "other");
  caller = scene_send_request (scene, RESUME);
  scene_wait_for (scene, caller, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (caller->text->str, REFUSED));
  g_assert_cmpuint (scene->requests_received, ==, 0);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against a stream of another router that goes on in any service of a
   split route.  */
static void
test_split (void)
{
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller;

  list_endpoints (scene);
  set_service (scene, 2, NULL);
  caller = scene_send_request (scene, RESUME);
  scene_wait_for (scene, caller, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (caller->text->str, REFUSED));
  g_assert_cmpuint (scene->requests_received, ==, 0);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against a stream of a split route of which the other routers learn
   nothing.  */
static void
test_published (void)
{
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller;

  list_endpoints (scene);
  set_service (scene, 2, NULL);
  caller = scene_send_request (scene, CALL ("first", ""));
  scene_wait_for (scene, caller, END);
  g_assert_cmpuint (org_updates (scene->org, clock_now ())->len, ==, 1);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against streams that began before their route was moved, and of which
   the other routers learn nothing.  */
static void
test_published_later (void)
{
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller;

  list_endpoints (scene);
  set_service (scene, 2, "app");
  caller = scene_send_request (scene, CALL ("first", ""));
  scene_wait_for (scene, caller, END);
  g_assert_cmpuint (org_updates (scene->org, clock_now ())->len, ==, 0);
  set_service (scene, 3, "other");
  g_assert_cmpuint (org_updates (scene->org, clock_now ())->len, ==, 1);
  g_assert_true (org_is_any_mixed (scene->org, clock_now ()));
  scene_caller_free (caller);
  scene_free (scene);
}

static bool
has_ended (void *user)
{
  return edp_set_count_ended (((scene_t *)user)->endpoints) == 1;
}

/* Begins the streams "first" and "second" at e0, ends its process while the
   latter runs, and has one listen in its place under its id.  */
static scene_t *
start_again (void)
{
  static const scene_reply_t broken[] = { { EVENTS, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (broken, 1, 4);
  scene_server_t *server = &scene->servers[0];
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", server->port);
  scene_caller_t *caller;
  int fd;

  list_endpoints (scene);
  set_service (scene, 2, "app");
  caller = scene_send_request (scene, CALL ("first", ""));
  scene_wait_for (scene, caller, E1);
  scene_caller_free (caller);
  caller = scene_send_request (scene, CALL ("second", ""));
  scene_wait_for (scene, caller, E1);
  ev_io_stop (scene->loop, &server->listener);
  close (server->listener.fd);
  scene_close_connections (scene);
  scene_run (scene, has_ended, scene);
  fd = addr_listen (address, NULL);
  g_assert_cmpint (fd, >=, 0);
  ev_io_set (&server->listener, fd, EV_READ);
  ev_io_start (scene->loop, &server->listener);
  /* Its back-off is over.  */
  edp_set_find (scene->endpoints, "e0")->backoff_until = 0;
  scene_caller_free (caller);
  return scene;
}

static void
assert_refused (scene_t *scene, const char *request)
{
  scene_caller_t *caller = scene_send_request (scene, request);

  scene_wait_for (scene, caller, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (caller->text->str, REFUSED));
  scene_caller_free (caller);
}

#define RESUME_AFTER_EVENT(id)                                                \
  CALL ("again", "Last-Event-Id: 1\r\nX-Resumes: " id "\r\n")

/* Guards against a stream that goes on at an endpoint whose process ended, and
   which listens again under its id before its entry in the list is renewed:
   it may be of another version.  */
static void
test_started_again (void)
{
  scene_t *scene = start_again ();

  assert_refused (scene, RESUME_AFTER_EVENT ("first"));
  scene_free (scene);
}

/* Guards against a stream of unknown version that goes on as one of the
   version that the list still has for its endpoint: it began there after the
   process had ended.  */
static void
test_begun_again (void)
{
  scene_t *scene = start_again ();
  scene_caller_t *caller = scene_send_request (scene, CALL ("third", ""));
  edp_t *edp = edp_set_find (scene->endpoints, "e0");
  GPtrArray *reports = g_ptr_array_new ();
  edp_report_t *report = g_new0 (edp_report_t, 1);

  scene_wait_for (scene, caller, E1);
  scene_caller_free (caller);
  /* The other routers learn it, though the service has one version.  */
  g_assert_cmpuint (org_updates (scene->org, clock_now ())->len, ==, 1);
  assert_refused (scene, RESUME_AFTER_EVENT ("third"));
  /* The entry is renewed, with the same version.  */
  report->id = g_strdup ("e0");
  report->service = g_strdup ("app");
  report->address = g_strdup (edp->report->address);
  report->zone = g_strdup ("z");
  report->version = g_strdup ("v1");
  report->revision = 2;
  g_ptr_array_add (reports, report);
  edp_set_update (scene->endpoints, clock_now (), reports, true, 0);
  rly_update_versions (scene->rly, clock_now ());
  assert_refused (scene, RESUME_AFTER_EVENT ("third"));
  caller = scene_send_request (scene, RESUME);
  scene_wait_for (scene, caller, E1);
  scene_caller_free (caller);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rly-moves/moved", test_moved);
  g_test_add_func ("/rly-moves/moved-registered", test_moved_registered);
  g_test_add_func ("/rly-moves/split", test_split);
  g_test_add_func ("/rly-moves/published", test_published);
  g_test_add_func ("/rly-moves/published-later", test_published_later);
  g_test_add_func ("/rly-moves/started-again", test_started_again);
  g_test_add_func ("/rly-moves/begun-again", test_begun_again);
  return g_test_run ();
}
