/* A stream holds events of one software version of its service, whoever
   resumes it: the router within one response, or its caller.  Endpoint e0 is
   of version "v1" and e1 of "v2".  */

#include "relay/jrn.h"
#include "test-rly-scene.h"

#include <string.h>

#define EVENTS                                                                \
  "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\n"                             \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
#define E1 "f\r\nid: 1\ndata: a\n\n\r\n"
#define E2 "f\r\nid: 2\ndata: b\n\n\r\n"
#define END "0\r\n\r\n"

#define CALL_ROUTE(route, id, fields)                                         \
  "POST /" route "/ HTTP/1.1\r\nHost: h\r\nX-Id: " id "\r\n" fields           \
  "X-Deadline: 5000\r\nAuthorization: Bearer key-of-the-mill\r\n"             \
  "Content-Length: 0\r\n\r\n"
#define CALL(id, fields) CALL_ROUTE ("events", id, fields)
#define RESUME_FIELDS(first) "Last-Event-Id: 1\r\nX-Resumes: " first "\r\n"
#define RESUME(id, first) CALL (id, RESUME_FIELDS (first))

#define RESUMPTIONS 20
#define BEGINS 20
#define CELLS 4
#define CELL_ENDPOINTS 16

/* Lists the endpoints from FIRST on, e0 of version V1 and e1 of V2.  */
static void
list_versions (scene_t *scene, unsigned first, const char *v1, const char *v2)
{
  const char *const versions[SCENE_ENDPOINTS] = { v1, v2 };
  GPtrArray *reports = g_ptr_array_new ();

  for (unsigned i = first; i < SCENE_ENDPOINTS; i++)
    {
      edp_report_t *report = g_new0 (edp_report_t, 1);

      report->id = g_strdup_printf ("e%u", i);
      report->service = g_strdup ("app");
      report->address
          = g_strdup_printf ("127.0.0.1:%u", scene->servers[i].port);
      report->zone = g_strdup ("z");
      report->version = g_strdup (versions[i]);
      report->slots = 4;
      g_ptr_array_add (reports, report);
    }
  edp_set_update (scene->endpoints, clock_now (), reports, true, 0);
  rly_update_versions (scene->rly, clock_now ());
}

/* Registers versions of the service; NULL: none.  */
static void
register_versions (scene_t *scene, const char *v1, const char *v2)
{
  org_begin_register (scene->org);
  if (v1 != NULL)
    org_register_version (scene->org, "app", v1);
  if (v2 != NULL)
    org_register_version (scene->org, "app", v2);
  org_end_register (scene->org, clock_now (), true);
  rly_update_register (scene->rly);
}

/* Sends BYTES, waits for the end of the answer, and returns its status.  */
static unsigned
send_and_wait (scene_t *scene, const char *bytes, const char *end)
{
  scene_caller_t *caller = scene_send_request (scene, bytes);
  unsigned status = 0;

  scene_wait_for (scene, caller, end);
  if (g_str_has_prefix (caller->text->str, "HTTP/1.1 "))
    status = (unsigned)atoi (caller->text->str + strlen ("HTTP/1.1 "));
  scene_caller_free (caller);
  return status;
}

/* Returns the endpoint that began the stream of attempt "first", of which the
   caller takes only the first event for received.  */
static unsigned
begin_stream (scene_t *scene)
{
  send_and_wait (scene, CALL ("first", ""), END);
  g_assert_cmpuint (scene->requests_received, ==, 1);
  return scene->servers[0].requests == 1 ? 0 : 1;
}

/* The router resumes a stream itself at an endpoint of another version.  It
   may do so at the one that began it.  */
static void
test_resumed_by_router (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E1, SCENE_CLOSE }, { EVENTS E2 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);

  list_versions (scene, 0, "v1", "v2");
  g_assert_cmpuint (send_and_wait (scene, CALL ("first", ""), "\r\n" END), ==,
                    200);
  g_assert_cmpuint (
      MIN (scene->servers[0].requests, scene->servers[1].requests), ==, 0);
  scene_free (scene);
}

/* An endpoint breaks a stream and leaves, and only another version is left:
   the caller's connection ends without the end of the stream.  */
static void
test_broken_off (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E1, SCENE_KEEP_OPEN }, { EVENTS E2 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  scene_caller_t *caller;

  list_versions (scene, 0, "v1", "v1");
  caller = scene_send_request (scene, CALL ("first", ""));
  scene_wait_for (scene, caller, E1);
  list_versions (scene, 0, "v2", "v2");
  scene_close_connections (scene);
  scene_wait_for (scene, caller, NULL);
  g_assert_null (strstr (caller->text->str, E2));
  g_assert_null (strstr (caller->text->str, "\r\n" END));
  g_assert_cmpuint (scene->requests_received, ==, 1);
  scene_caller_free (caller);
  scene_free (scene);
}

/* The same with endpoints of one version: the stream is resumed.  */
static void
test_resumed_in_one_version (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E1, SCENE_CLOSE }, { EVENTS E2 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);

  list_versions (scene, 0, "v1", "v1");
  g_assert_cmpuint (send_and_wait (scene, CALL ("first", ""), END), ==, 200);
  g_assert_cmpuint (scene->requests_received, ==, 2);
  scene_free (scene);
}

/* A caller resumes its stream, again and again with the id of the first
   attempt: it is never sent to the other version.  */
static void
test_resumed_by_caller (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E1 END, SCENE_KEEP_OPEN },
          { EVENTS E2 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  unsigned origin;

  list_versions (scene, 0, "v1", "v2");
  origin = begin_stream (scene);
  for (unsigned i = 0; i < RESUMPTIONS; i++)
    g_assert_cmpuint (send_and_wait (scene, RESUME ("again", "first"), END),
                      ==, 200);
  g_assert_cmpuint (scene->servers[origin].requests, ==, 1 + RESUMPTIONS);
  g_assert_cmpuint (scene->servers[1 - origin].requests, ==, 0);
  scene_free (scene);
}

/* Lists endpoints of this router's cell at the first server, of "v1", and
   those of other cells at the second one, of "v2".  */
static void
list_cells (scene_t *scene)
{
  GPtrArray *reports = g_ptr_array_new ();

  for (unsigned i = 0; i < CELL_ENDPOINTS; i++)
    {
      edp_report_t *report = g_new0 (edp_report_t, 1);
      const edp_t *edp;
      unsigned server;

      report->id = g_strdup_printf ("c%u", i);
      edp = edp_set_find (scene->endpoints, report->id);
      server = edp != NULL && !edp->is_near;
      report->service = g_strdup ("app");
      report->address
          = g_strdup_printf ("127.0.0.1:%u", scene->servers[server].port);
      report->zone = g_strdup ("z");
      report->version = g_strdup (server == 0 ? "v1" : "v2");
      report->slots = 4;
      g_ptr_array_add (reports, report);
    }
  edp_set_update (scene->endpoints, clock_now (), reports, true, 0);
  edp_set_choose_cell (scene->endpoints, 1, CELLS);
  rly_update_versions (scene->rly, clock_now ());
}

/* Guards against streams that are refused as all endpoints of their version
   are in other cells, as the first one of a new version is.  */
static void
test_version_in_other_cell (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E2 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);

  /* Once more, as the cells are known then.  */
  list_cells (scene);
  list_cells (scene);
  register_versions (scene, "v1", "v2");
  org_add_peer (scene->org, clock_now (), org_stream_key ("first"),
                org_hash ("app", "v2"));
  for (unsigned i = 0; i < RESUMPTIONS; i++)
    g_assert_cmpuint (send_and_wait (scene, RESUME ("again", "first"), END),
                      ==, 200);
  g_assert_cmpuint (scene->servers[0].requests, ==, 0);
  g_assert_cmpuint (scene->servers[1].requests, ==, RESUMPTIONS);
  scene_free (scene);
}

/* The version at which the stream began is gone: the caller is refused at once
   and may begin anew.  */
static void
test_version_unavailable (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E1 END, SCENE_KEEP_OPEN },
          { EVENTS E2 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);

  list_versions (scene, 0, "v1", "v2");
  begin_stream (scene);
  list_versions (scene, 0, "v3", "v3");
  g_assert_cmpuint (
      send_and_wait (scene, RESUME ("again", "first"), "\r\n\r\n"), ==, 503);
  g_assert_cmpuint (scene->requests_received, ==, 1);
  scene_free (scene);
}

static bool
has_received_one (void *user)
{
  return ((scene_t *)user)->requests_received == 1;
}

/* A router that is killed after a stream's first event takes the record along,
   if that waits for the next change of its load.  */
static void
test_published_at_once (void)
{
  static const scene_reply_t replies[] = { { EVENTS E1, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller;

  list_versions (scene, 0, "v1", "v2");
  caller = scene_send_request (scene, CALL ("first", ""));
  scene_run (scene, has_received_one, scene);
  edp_set_clear_changed (scene->endpoints);
  scene_wait_for (scene, caller, E1);
  g_assert_true (edp_set_has_changed (scene->endpoints));
  scene_caller_free (caller);
  scene_free (scene);
}

typedef struct
{
  scene_t *scene;
  uint64_t held;
} expected_hold_t;

static bool
has_held (void *user)
{
  const expected_hold_t *expected = user;

  return rly_counts (expected->scene->rly)->held == expected->held;
}

/* Returns a scene of two registered versions whose origins go to JRN.  */
static scene_t *
new_journal_scene (const scene_reply_t *replies, unsigned count, jrn_t *jrn)
{
  scene_t *scene = scene_new (replies, count, 4);

  org_set_journal (scene->org, jrn);
  list_versions (scene, 0, "v1", "v2");
  register_versions (scene, "v1", "v2");
  return scene;
}

/* Guards against callers that have events of a stream of which no record is
   stored: when all routers end then, it can't be resumed.  */
static void
test_held_until_stored (void)
{
  static const scene_reply_t replies[] = { { EVENTS E1, SCENE_KEEP_OPEN } };
  g_autoptr (jrn_t) jrn = jrn_new ();
  scene_t *scene = new_journal_scene (replies, 1, jrn);
  expected_hold_t expected = { scene, 1 };
  scene_caller_t *caller = scene_send_request (scene, CALL ("first", ""));

  scene_run (scene, has_held, &expected);
  g_assert_cmpuint (jrn_count_unwritten (jrn), ==, 1);
  g_assert_cmpuint (caller->text->len, ==, 0);
  org_add_stored (scene->org, clock_now (), org_stream_key ("first"));
  scene_wait_for (scene, caller, E1);
  g_assert_cmpuint (rly_counts (scene->rly)->hold_timeouts, ==, 0);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against streams that wait for a store that is away: each is passed on
   after a moment, and later ones at once, until records are stored again.  */
static void
test_held_in_outage (void)
{
  static const scene_reply_t replies[] = { { EVENTS E1, SCENE_KEEP_OPEN } };
  g_autoptr (jrn_t) jrn = jrn_new ();
  scene_t *scene = new_journal_scene (replies, 1, jrn);
  scene_caller_t *callers[8];
  uint64_t held = 0;
  unsigned begun = 0;

  for (;;)
    {
      g_assert_cmpuint (begun, <, G_N_ELEMENTS (callers));
      callers[begun] = scene_send_request (scene, CALL ("a", ""));
      scene_wait_for (scene, callers[begun++], E1);
      if (rly_counts (scene->rly)->held == held)
        break;
      held = rly_counts (scene->rly)->held;
    }
  g_assert_cmpuint (held, >=, 2);
  g_assert_cmpuint (rly_counts (scene->rly)->hold_timeouts, ==, held);
  org_add_stored (scene->org, clock_now (), org_stream_key ("a"));
  callers[begun++] = scene_send_request (scene, CALL ("b", ""));
  scene_run (scene, has_held, &(expected_hold_t){ scene, held + 1 });
  for (unsigned i = 0; i < begun; i++)
    scene_caller_free (callers[i]);
  scene_free (scene);
}

/* An answer that is whole is passed on at once, and so are the events of one
   that breaks, which the router resumes.  */
static void
test_held_at_end (void)
{
  static const scene_reply_t whole[]
      = { { EVENTS E1 E2 END, SCENE_KEEP_OPEN } };
  static const scene_reply_t broken[]
      = { { EVENTS E1, SCENE_CLOSE }, { EVENTS E2 END, SCENE_KEEP_OPEN } };
  g_autoptr (jrn_t) jrn = jrn_new ();
  scene_t *scene = new_journal_scene (whole, 1, jrn);

  g_assert_cmpuint (send_and_wait (scene, CALL ("first", ""), END), ==, 200);
  g_assert_cmpuint (rly_counts (scene->rly)->hold_timeouts, ==, 0);
  scene_free (scene);
  scene = new_journal_scene (broken, 2, jrn);
  g_assert_cmpuint (send_and_wait (scene, CALL ("first", ""), "\r\n" END), ==,
                    200);
  g_assert_cmpuint (rly_counts (scene->rly)->held, ==, 1);
  g_assert_cmpuint (rly_counts (scene->rly)->hold_timeouts, ==, 0);
  scene_free (scene);
}

/* Nothing is held back while there is one version: no record is needed.  */
static void
test_not_held (void)
{
  static const scene_reply_t replies[] = { { EVENTS E1, SCENE_KEEP_OPEN } };
  g_autoptr (jrn_t) jrn = jrn_new ();
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller;

  org_set_journal (scene->org, jrn);
  list_versions (scene, 0, "v1", "v1");
  register_versions (scene, "v1", NULL);
  caller = scene_send_request (scene, CALL ("first", ""));
  scene_wait_for (scene, caller, E1);
  g_assert_cmpuint (rly_counts (scene->rly)->held, ==, 0);
  scene_caller_free (caller);
  scene_free (scene);
}

static void
assert_refused (scene_t *scene, const char *bytes)
{
  unsigned before = scene->requests_received;

  g_assert_cmpuint (send_and_wait (scene, bytes, "\r\n\r\n"), ==, 503);
  g_assert_cmpuint (scene->requests_received, ==, before);
}

/* The caller names an attempt that no router is known to have begun.  With
   several versions registered nobody guesses; with one any of its endpoints
   will do.  */
static void
test_unknown_stream (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E2 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);

  list_versions (scene, 0, "v1", "v2");
  register_versions (scene, "v1", "v2");
  assert_refused (scene, RESUME ("again", "other"));
  /* The version that has left may have begun it.  */
  list_versions (scene, 1, "v1", "v2");
  assert_refused (scene, RESUME ("again", "other"));
  scene_free (scene);
  scene = scene_new (replies, 1, 4);
  list_versions (scene, 0, "v2", "v2");
  register_versions (scene, "v2", NULL);
  g_assert_cmpuint (send_and_wait (scene, RESUME ("again", "other"), END), ==,
                    200);
  scene_free (scene);
}

/* Guards against streams of two versions that are joined when all routers
   start at once after a version left: one listed version says nothing of the
   past, until the register is known.  */
static void
test_register_unknown (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E2 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);

  list_versions (scene, 0, "v2", "v2");
  assert_refused (scene, RESUME ("again", "other"));
  register_versions (scene, NULL, NULL);
  assert_refused (scene, RESUME ("again", "other"));
  register_versions (scene, "v1", "v2");
  assert_refused (scene, RESUME ("again", "other"));
  register_versions (scene, "v2", NULL);
  org_set_knows_versions (scene->org, false);
  assert_refused (scene, RESUME ("again", "other"));
  scene_free (scene);
}

/* The only registered version goes on with a stream that no router is known
   to have begun, though another version is listed already; when it has no
   endpoint left, none goes on.  */
static void
test_sole_version (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E2 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);

  list_versions (scene, 0, "v1", "v2");
  register_versions (scene, "v1", NULL);
  for (unsigned i = 0; i < RESUMPTIONS; i++)
    g_assert_cmpuint (send_and_wait (scene, RESUME ("again", "other"), END),
                      ==, 200);
  g_assert_cmpuint (scene->servers[0].requests, ==, RESUMPTIONS);
  list_versions (scene, 1, "v1", "v2");
  assert_refused (scene, RESUME ("again", "other"));
  scene_free (scene);
}

/* A stream of a route with several services may have begun in any of them, so
   that the only version of one says nothing.  */
static void
test_several_services (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E2 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);

  list_versions (scene, 0, "v1", "v1");
  register_versions (scene, "v1", NULL);
  assert_refused (scene,
                  CALL_ROUTE ("split", "again", RESUME_FIELDS ("other")));
  g_assert_cmpuint (send_and_wait (scene, RESUME ("again", "other"), END), ==,
                    200);
  scene_free (scene);
}

/* Guards against streams of two versions that are joined after all routers
   ended: no stream begins at a version that isn't registered yet, while one
   that is serves.  Other requests go there.  */
static void
test_registered_first (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E1 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);

  list_versions (scene, 0, "v1", "v2");
  register_versions (scene, "v1", NULL);
  for (unsigned i = 0; i < BEGINS; i++)
    g_assert_cmpuint (send_and_wait (scene, CALL ("a", ""), END), ==, 200);
  g_assert_cmpuint (scene->servers[1].requests, ==, 0);
  for (unsigned i = 0; i < BEGINS; i++)
    g_assert_cmpuint (
        send_and_wait (scene, CALL_ROUTE ("events-once", "a", ""), END), ==,
        200);
  g_assert_cmpuint (scene->servers[1].requests, >, 0);
  scene_free (scene);
}

/* Streams begin at an unregistered version when no registered one may serve:
   at the first start, or while the store is away.  */
static void
test_none_registered (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E1 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);

  register_versions (scene, "v1", NULL);
  list_versions (scene, 0, "v2", "v3");
  g_assert_cmpuint (send_and_wait (scene, CALL ("a", ""), END), ==, 200);
  list_versions (scene, 0, "v1", "v2");
  edp_record_leaving (edp_set_find (scene->endpoints, "e0"));
  g_assert_cmpuint (send_and_wait (scene, CALL ("b", ""), END), ==, 200);
  scene_free (scene);
}

static bool
is_waiting (void *user)
{
  return rly_counts (((scene_t *)user)->rly)->waiting == 1;
}

/* A stream that waits as the registered version is full begins at the other
   one as soon as that is registered.  */
static void
test_registered_while_waiting (void)
{
  static const scene_reply_t replies[] = { { EVENTS E1, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *callers[5];

  list_versions (scene, 0, "v1", "v2");
  register_versions (scene, "v1", NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    callers[i] = scene_send_request (scene, CALL ("a", ""));
  scene_run (scene, is_waiting, scene);
  g_assert_cmpuint (scene->servers[1].requests, ==, 0);
  register_versions (scene, "v1", "v2");
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    scene_wait_for (scene, callers[i], E1);
  g_assert_cmpuint (scene->servers[1].requests, ==, 1);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    scene_caller_free (callers[i]);
  scene_free (scene);
}

/* Guards against streams of two versions that are joined, as they last longer
   than routers remember versions that left: the route's time-out bounds how
   long one lasts.  */
static void
test_long_streams (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E1 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  cfd_time_t now = clock_now ();

  list_versions (scene, 0, "v1", "v2");
  org_add (scene->org, now, 1, org_hash ("app", "v1"), true);
  list_versions (scene, 0, "v2", "v2");
  now += SCENE_TIMEOUT_MS;
  g_assert_true (org_is_mixed (scene->org, now, "app"));
  g_assert_cmpuint (org_find (scene->org, now, 1).origin, ==,
                    org_hash ("app", "v1"));
  scene_free (scene);
}

/* A request that begins anew isn't bound, whatever it names.  */
static void
test_begins_anew (void)
{
  static const scene_reply_t replies[]
      = { { EVENTS E1 END, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);

  list_versions (scene, 0, "v1", "v2");
  g_assert_cmpuint (
      send_and_wait (scene, CALL ("again", "X-Resumes: other\r\n"), END), ==,
      200);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rly-versions/resumed-by-router", test_resumed_by_router);
  g_test_add_func ("/rly-versions/broken-off", test_broken_off);
  g_test_add_func ("/rly-versions/resumed-in-one-version",
                   test_resumed_in_one_version);
  g_test_add_func ("/rly-versions/resumed-by-caller", test_resumed_by_caller);
  g_test_add_func ("/rly-versions/version-in-other-cell",
                   test_version_in_other_cell);
  g_test_add_func ("/rly-versions/version-unavailable",
                   test_version_unavailable);
  g_test_add_func ("/rly-versions/published-at-once", test_published_at_once);
  g_test_add_func ("/rly-versions/held-until-stored", test_held_until_stored);
  g_test_add_func ("/rly-versions/held-in-outage", test_held_in_outage);
  g_test_add_func ("/rly-versions/held-at-end", test_held_at_end);
  g_test_add_func ("/rly-versions/not-held", test_not_held);
  g_test_add_func ("/rly-versions/unknown-stream", test_unknown_stream);
  g_test_add_func ("/rly-versions/register-unknown", test_register_unknown);
  g_test_add_func ("/rly-versions/sole-version", test_sole_version);
  g_test_add_func ("/rly-versions/several-services", test_several_services);
  g_test_add_func ("/rly-versions/registered-first", test_registered_first);
  g_test_add_func ("/rly-versions/none-registered", test_none_registered);
  g_test_add_func ("/rly-versions/registered-while-waiting",
                   test_registered_while_waiting);
  g_test_add_func ("/rly-versions/long-streams", test_long_streams);
  g_test_add_func ("/rly-versions/begins-anew", test_begins_anew);
  return g_test_run ();
}
