/* End-to-end tests: separate processes from the caller to the endpoint, and
   faults between them.  */

#include "scene.h"
#include <signal.h>
#include <string.h>

/* Limit for each wait, far more than it needs, so that a fault shows as a
   failure and not as a hang.  */
#define MAX_WAIT_MS 25000

/* ---- invalid requests ---- */

typedef struct
{
  const char *name;
  const char *path;
  const char *header;
  const char *body;
  long status;
} bad_case_t;

#define GOOD_KEY "Authorization: Bearer " SCENE_KEY

static const bad_case_t bad_cases[] = {
  { "no key", "/v1/chat/completions", NULL, "{\"model\":\"draft\"}", 401 },
  { "unknown key", "/v1/chat/completions", "Authorization: Bearer wrong",
    "{\"model\":\"draft\"}", 401 },
  { "body that is no JSON", "/v1/chat/completions", GOOD_KEY, "{", 400 },
  { "no model", "/v1/chat/completions", GOOD_KEY, "{}", 400 },
  { "unknown model", "/v1/chat/completions", GOOD_KEY,
    "{\"model\":\"absent\",\"messages\":[]}", 404 },
  { "unknown service", "/services/absent/entries", GOOD_KEY, "{}", 404 },
};

static void
test_bad_requests (void)
{
  scene_plan_t plan = scene_default_plan ();
  plan.outstanding = 0;
  g_autoptr (scene_t) scene = scene_new (&plan);
  g_autofree char *base = fleet_get_direct_url (scene->fleet, 0);

  for (unsigned i = 0; i < G_N_ELEMENTS (bad_cases); i++)
    {
      const bad_case_t *c = &bad_cases[i];
      g_autofree char *url = g_strconcat (base, c->path, NULL);
      long status = 0;
      g_autofree char *answer
          = proc_send_http ("POST", url, c->header, c->body, &status);
      g_test_message ("%s: %s", c->name, answer);
      g_assert_cmpint (status, ==, c->status);
      g_assert_nonnull (strstr (answer, "\"not-run\""));
    }
  g_assert_cmpfloat (scene_read_counter (scene, 0, "requests"), ==, 0);
}

/* ---- processes that exit ---- */

/* The agent that serves a stream is killed.  Bytes have been delivered, so the
   request can't be run again elsewhere: the answer is cut off, well before any
   timeout for silence, and never looks complete.  Later requests go to the
   other agent.  */
static void
test_agent_killed (void)
{
  scene_plan_t plan = scene_default_plan ();
  plan.fleet.models = 2;
  plan.tokens = 120;
  g_autoptr (scene_t) scene = scene_new (&plan);

  scene_run_until (scene, scene_is_streaming, MAX_WAIT_MS);
  int64_t killed_us = clock_now_us ();
  proc_stop (fleet_get_process (scene->fleet, FLEET_AGENT, 0), SIGKILL, 2000);
  scene_run (scene, 4000);
  scene_finish (scene, MAX_WAIT_MS);
  const GPtrArray *requests = load_get_requests (scene->load);
  unsigned after = 0;
  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = requests->pdata[i];
      if (request->started_us > killed_us)
        after += request->end == LOAD_CORRECT;
      if (request->started_us < killed_us && request->end == LOAD_INCOMPLETE)
        g_assert_cmpint (request->last_us - killed_us, <, 15 * G_USEC_PER_SEC);
    }
  g_assert_cmpuint (after, >, 0);
}

/* A planned stop (SIGTERM) of a router or an agent during streams: all answers
   are completed before the process exits.  */
static void
check_drain (fleet_role_t role)
{
  scene_plan_t plan = scene_default_plan ();
  plan.fleet.models = 2;
  plan.requests = 4;
  plan.tokens = 80;
  g_autoptr (scene_t) scene = scene_new (&plan);
  proc_t *proc = fleet_get_process (scene->fleet, role, 0);

  scene_run_until (scene, scene_is_streaming, MAX_WAIT_MS);
  scene_run (scene, 300);
  g_assert_false (proc_stop (proc, SIGTERM, 0));
  scene_finish (scene, MAX_WAIT_MS);
  g_assert_cmpuint (scene->sum.correct, ==, 4);
  for (unsigned i = 0; proc_is_running (proc) && i < MAX_WAIT_MS / 20; i++)
    g_usleep (20000);
  g_assert_false (proc_is_running (proc));
}

static void
test_drain_router (void)
{
  check_drain (FLEET_ROUTER);
}

static void
test_drain_agent (void)
{
  check_drain (FLEET_AGENT);
}

/* ---- members that join or leave ---- */

/* A router and an endpoint with its agent join under load, and no other
   process is restarted: the endpoint gets some of the requests, and the new
   router serves callers.  */
static void
test_join (void)
{
  scene_plan_t plan = scene_default_plan ();
  plan.fleet.spare_routers = 1;
  plan.fleet.spare_models = 1;
  plan.outstanding = 16;
  g_autoptr (scene_t) scene = scene_new (&plan);
  g_autoptr (GError) error = NULL;

  scene_run_until (scene, scene_is_streaming, MAX_WAIT_MS);
  fleet_start_spare (scene->fleet, FLEET_AGENT, 1, &error);
  g_assert_no_error (error);
  fleet_start_spare (scene->fleet, FLEET_ROUTER, 1, &error);
  g_assert_no_error (error);
  g_autofree char *url = fleet_get_direct_url (scene->fleet, 1);
  g_autofree char *path = g_strconcat (url, "/v1/completions", NULL);
  long status = 0;
  for (unsigned i = 0; i < 100 && status != 200; i++)
    {
      g_autofree char *answer = proc_send_http (
          "POST", path, GOOD_KEY,
          "{\"model\":\"draft\",\"prompt\":\"nonce=joined length=2\"}",
          &status);
      scene_run (scene, 50);
    }
  g_assert_cmpint (status, ==, 200);
  scene_run (scene, 3000);
  scene_finish (scene, MAX_WAIT_MS);
  g_assert_cmpuint (scene->sum.correct, ==, scene->sum.requests);
  g_assert_cmpfloat (scene_read_counter (scene, 1, "requests"), >, 1);
}

/* An operator writes a record that takes one of two endpoints out of service:
   within a few seconds it gets no new requests, its running requests are
   completed, and the other endpoint keeps serving.  */
static void
check_withdrawn (const char *kind, const char *name, const char *spec)
{
  scene_plan_t plan = scene_default_plan ();
  plan.fleet.zones = 2;
  plan.fleet.models = 2;
  plan.outstanding = 16;
  g_autoptr (scene_t) scene = scene_new (&plan);
  g_autoptr (GError) error = NULL;

  scene_run (scene, 1000);
  g_assert_cmpfloat (scene_read_counter (scene, 1, "requests"), >, 0);
  fleet_put_object (scene->fleet, kind, name, spec, &error);
  g_assert_no_error (error);
  scene_run (scene, 3000);
  double requests_before = scene_read_counter (scene, 1, "requests");
  double other_before = scene_read_counter (scene, 0, "requests");
  scene_run (scene, 1500);
  g_assert_cmpfloat (scene_read_counter (scene, 1, "requests"), ==,
                     requests_before);
  g_assert_cmpfloat (scene_read_counter (scene, 0, "requests"), >,
                     other_before);
  scene_finish (scene, MAX_WAIT_MS);
  g_assert_cmpuint (scene->sum.correct, ==, scene->sum.requests);
}

static void
test_zone_out (void)
{
  check_withdrawn ("availability-zone", "zone-1",
                   "{\"schema\":2,\"state\":\"out\",\"region\":\"r\"}");
}

static void
test_endpoint_leaving (void)
{
  check_withdrawn ("endpoint", "endpoint-1",
                   "{\"schema\":2,\"service\":\"draft\",\"zone\":\"zone-1\","
                   "\"url\":\"http://127.0.0.1:1\",\"slots\":{\"max\":8,"
                   "\"cold\":8},\"state\":\"leaving\"}");
}

/* ---- the network ---- */

/* Starts streams to agents in two zones; the caller's router is in zone 0.  */
static scene_t *
start_cross_zone_streams (void)
{
  scene_plan_t plan = scene_default_plan ();
  scene_t *scene;

  plan.fleet.zones = 2;
  plan.fleet.models = 2;
  plan.requests = 16;
  plan.outstanding = 16;
  plan.tokens = 120;
  scene = scene_new (&plan);
  scene_run_until (scene, scene_is_streaming, MAX_WAIT_MS);
  scene_run (scene, 300);
  return scene;
}

/* The open links from the router to an agent in another zone stop delivering
   data for good during streams; no connection is closed, and new ones work.
   The router detects it by its heartbeats, reconnects and resumes each stream:
   callers see a pause and complete answers.  */
static void
test_silent_links (void)
{
  g_autoptr (scene_t) scene = start_cross_zone_streams ();

  g_assert_true (
      fleet_set_relay_mode (scene->fleet, "zone-0>zone-1", "silent"));
  scene_run (scene, 1000);
  scene_finish (scene, MAX_WAIT_MS);
  g_assert_cmpuint (scene->sum.correct, ==, 16);
}

/* The same, but the links are closed: the router reconnects at once.  */
static void
test_cut_links (void)
{
  g_autoptr (scene_t) scene = start_cross_zone_streams ();

  g_assert_true (fleet_set_relay_mode (scene->fleet, "zone-0>zone-1", "cut"));
  scene_run (scene, 500);
  g_assert_true (fleet_set_relay_mode (scene->fleet, "zone-0>zone-1", "pass"));
  scene_finish (scene, MAX_WAIT_MS);
  g_assert_cmpuint (scene->sum.correct, ==, 16);
}

/* ---- the platform ---- */

/* The platform is down.  Model requests and lookups are still served; a POST
   with an Idempotency-Key, which needs a claim at the platform, is refused as
   "not-run" and never reaches the endpoint; when the platform is back, it is
   served.  */
static void
test_platform_down (void)
{
  scene_plan_t plan = scene_default_plan ();
  plan.fleet.plains = 1;
  plan.kinds[LOAD_LOOKUP] = 1;
  g_autoptr (scene_t) scene = scene_new (&plan);
  g_autofree char *base = fleet_get_direct_url (scene->fleet, 0);
  g_autofree char *url
      = g_strconcat (base, "/services/register/entries", NULL);
  const char *headers = GOOD_KEY "\nIdempotency-Key: k1";
  long status = 0;

  scene_run_until (scene, scene_is_streaming, MAX_WAIT_MS);
  scene_put_control (scene, FLEET_PLATFORM, 0, "/control/faults",
                     "{\"mode\":\"down\"}");
  guint before = load_get_requests (scene->load)->len;
  g_autofree char *refused
      = proc_send_http ("POST", url, headers, "{\"nonce\":\"p1\"}", &status);
  g_assert_cmpint (status, ==, 503);
  g_assert_nonnull (strstr (refused, "\"not-run\""));
  scene_run (scene, 2000);
  g_assert_cmpuint (load_get_requests (scene->load)->len, >, before);
  scene_put_control (scene, FLEET_PLATFORM, 0, "/control/faults",
                     "{\"mode\":\"up\"}");
  for (unsigned i = 0; i < 200 && status != 200; i++)
    {
      g_autofree char *answer = proc_send_http ("POST", url, headers,
                                                "{\"nonce\":\"p1\"}", &status);
      scene_run (scene, 50);
    }
  g_assert_cmpint (status, ==, 200);
  g_autofree char *again
      = proc_send_http ("POST", url, headers, "{\"nonce\":\"p1\"}", &status);
  g_assert_cmpint (status, ==, 200);
  g_assert_nonnull (strstr (again, "\"executions\":1"));
  scene_finish (scene, MAX_WAIT_MS);
  g_assert_cmpuint (scene->sum.correct, ==, scene->sum.requests);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/whole/bad-requests", test_bad_requests);
  g_test_add_func ("/whole/agent-killed", test_agent_killed);
  g_test_add_func ("/whole/drain-router", test_drain_router);
  g_test_add_func ("/whole/drain-agent", test_drain_agent);
  g_test_add_func ("/whole/join", test_join);
  g_test_add_func ("/whole/zone-out", test_zone_out);
  g_test_add_func ("/whole/endpoint-leaving", test_endpoint_leaving);
  g_test_add_func ("/whole/silent-links", test_silent_links);
  g_test_add_func ("/whole/cut-links", test_cut_links);
  g_test_add_func ("/whole/platform-down", test_platform_down);
  return g_test_run ();
}
