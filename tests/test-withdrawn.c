/* Zones and endpoints that operators take out of service while a fault is
   active, and planned stops of two processes at once, in whole fleets.  */

#include "scene.h"
#include <signal.h>

#define MAX_WAIT_MS 25000
/* Time after which a withdrawn endpoint must start nothing; ZONE_GRACE_MS of
   the soak.  */
#define WITHDRAWAL_GRACE_MS 6000
/* Time until the other processes have a new record, including the reopening of
   a broken watch.  */
#define PROPAGATION_MS 3000
#define PLATFORM_DOWN "{\"mode\":\"down\"}"
#define PLATFORM_UP "{\"mode\":\"up\"}"
#define ZONE_1_OUT "{\"schema\":2,\"state\":\"out\",\"region\":\"r\"}"

/* Starts three zones with a router, an agent and an engine each; the load goes
   to ROUTER.  */
static scene_t *
start_three_zones (unsigned router)
{
  scene_plan_t plan = scene_default_plan ();
  scene_t *scene;

  plan.fleet.zones = 3;
  plan.fleet.routers = 3;
  plan.fleet.models = 3;
  plan.outstanding = 30;
  plan.router = router;
  scene = scene_new (&plan);
  scene_run (scene, 1500);
  g_assert_cmpfloat (scene_read_counter (scene, 1, "requests"), >, 0);
  return scene;
}

static void
signal_zone_1 (const scene_t *scene, int signal_number)
{
  proc_stop (fleet_get_process (scene->fleet, FLEET_AGENT, 1), signal_number,
             0);
  proc_stop (fleet_get_process (scene->fleet, FLEET_ROUTER, 1), signal_number,
             0);
}

static void
set_zone_1_links (const scene_t *scene, const char *mode)
{
  static const char *const groups[]
      = { "zone-0>zone-1", "zone-2>zone-1", "zone-1>zone-0", "zone-1>zone-2" };

  for (unsigned i = 0; i < G_N_ELEMENTS (groups); i++)
    g_assert_true (fleet_set_relay_mode (scene->fleet, groups[i], mode));
}

static void
put_record (const scene_t *scene, const char *kind, const char *name,
            const char *spec)
{
  g_autoptr (GError) error = NULL;

  fleet_put_object (scene->fleet, kind, name, spec, &error);
  g_assert_no_error (error);
}

static void
set_platform_mode (const scene_t *scene, const char *mode)
{
  scene_put_control (scene, FLEET_PLATFORM, 0, "/control/faults", mode);
}

/* Writes a record that reaches all processes except the frozen ones.  Their
   watches are disconnected first, so that the record can't be in their socket
   buffers when they are resumed.  The platform is down afterwards.  */
static void
put_record_unseen (scene_t *scene, const char *kind, const char *name,
                   const char *spec)
{
  set_platform_mode (scene, PLATFORM_DOWN);
  set_platform_mode (scene, PLATFORM_UP);
  put_record (scene, kind, name, spec);
  scene_run (scene, PROPAGATION_MS);
  set_platform_mode (scene, PLATFORM_DOWN);
}

/* Returns the record of endpoint 1 as leaving, with its real address: with
   another one, its engine would get no requests in any case.  */
static char *
make_leaving_record (const scene_t *scene)
{
  g_autofree char *url = fleet_get_url (scene->fleet, FLEET_ENDPOINT, 1);

  return g_strdup_printf (
      "{\"schema\":2,\"service\":\"draft\",\"zone\":\"zone-1\","
      "\"url\":\"%s\",\"slots\":{\"max\":8,\"cold\":8},"
      "\"state\":\"leaving\"}",
      url);
}

/* Checks that endpoint 1 starts no request in 2 s of load.  */
static void
check_no_new_starts (scene_t *scene)
{
  double requests_before = scene_read_counter (scene, 1, "requests");

  scene_run (scene, 2000);
  g_assert_cmpfloat (scene_read_counter (scene, 1, "requests"), ==,
                     requests_before);
}

/* A zone is cut off completely: its agent and router are frozen, its links
   drop all data, and the platform is down when they are resumed, so that
   neither can learn that the zone was taken out in the meantime.  The router
   has callers and the agent has free slots, but links to that router only,
   which it must not take for the whole fleet: it is connected to one zone of
   three and must grant nothing.  Once the faults are over, it learns that the
   zone is out.  */
static void
test_zone_cut_off (void)
{
  g_autoptr (scene_t) scene = start_three_zones (1);

  signal_zone_1 (scene, SIGSTOP);
  set_zone_1_links (scene, "hole");
  put_record_unseen (scene, "availability-zone", "zone-1", ZONE_1_OUT);
  scene_run (scene, 2000);
  signal_zone_1 (scene, SIGCONT);
  scene_run (scene, WITHDRAWAL_GRACE_MS);
  check_no_new_starts (scene);
  set_zone_1_links (scene, "pass");
  set_platform_mode (scene, PLATFORM_UP);
  scene_run (scene, 3000);
  check_no_new_starts (scene);
  scene_finish (scene, MAX_WAIT_MS);
}

/* An agent is frozen while its endpoint's record changes to leaving, and the
   platform is down when it is resumed with grants and requests in transit: it
   must learn of the change from a router before it starts anything.  The other
   agents serve, and callers get complete answers.  */
static void
test_leaving_frozen (void)
{
  g_autoptr (scene_t) scene = start_three_zones (0);
  g_autofree char *leaving = make_leaving_record (scene);
  double requests_before;

  proc_stop (fleet_get_process (scene->fleet, FLEET_AGENT, 1), SIGSTOP, 0);
  put_record_unseen (scene, "endpoint", "endpoint-1", leaving);
  scene_run (scene, 1500);
  requests_before = scene_read_counter (scene, 1, "requests");
  proc_stop (fleet_get_process (scene->fleet, FLEET_AGENT, 1), SIGCONT, 0);
  scene_run (scene, 3000);
  g_assert_cmpfloat (scene_read_counter (scene, 1, "requests"), ==,
                     requests_before);
  set_platform_mode (scene, PLATFORM_UP);
  scene_finish (scene, MAX_WAIT_MS);
  g_assert_cmpfloat (fleet_sum_metric (scene->fleet, FLEET_AGENT, 1,
                                       "cfd_invariant_failures_total"),
                     ==, 0);
}

/* The endpoint's record changes to leaving just after all links between its
   zone and the others stopped delivering data, and the platform goes down
   200 ms later: the agent either has the record from the platform or stops
   because it is cut off.  */
static void
test_leaving_cut (void)
{
  g_autoptr (scene_t) scene = start_three_zones (1);
  g_autofree char *leaving = make_leaving_record (scene);

  set_zone_1_links (scene, "hole");
  put_record (scene, "endpoint", "endpoint-1", leaving);
  scene_run (scene, 200);
  set_platform_mode (scene, PLATFORM_DOWN);
  scene_run (scene, WITHDRAWAL_GRACE_MS);
  check_no_new_starts (scene);
  set_platform_mode (scene, PLATFORM_UP);
  set_zone_1_links (scene, "pass");
  scene_finish (scene, MAX_WAIT_MS);
}

/* A router and an agent that serves it get SIGTERM at the same time, with
   answers in transit between them and requests in the queue.  Each caller gets
   a complete answer, and both processes exit.  */
static void
test_two_stops (void)
{
  scene_plan_t plan = scene_default_plan ();
  plan.fleet.routers = 2;
  plan.fleet.models = 2;
  plan.requests = 30;
  plan.outstanding = 30;
  plan.tokens = 60;
  g_autoptr (scene_t) scene = scene_new (&plan);
  proc_t *router = fleet_get_process (scene->fleet, FLEET_ROUTER, 0);
  proc_t *agent = fleet_get_process (scene->fleet, FLEET_AGENT, 0);

  scene_run_until (scene, scene_is_streaming, MAX_WAIT_MS);
  scene_run (scene, 300);
  g_assert_false (proc_stop (router, SIGTERM, 0));
  g_assert_false (proc_stop (agent, SIGTERM, 0));
  scene_finish (scene, MAX_WAIT_MS);
  g_assert_cmpuint (scene->sum.correct, ==, 30);
  for (unsigned i = 0; i < MAX_WAIT_MS / 20; i++)
    if (proc_is_running (router) || proc_is_running (agent))
      g_usleep (20000);
  g_assert_false (proc_is_running (router) || proc_is_running (agent));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/withdrawn/zone-cut-off", test_zone_cut_off);
  g_test_add_func ("/withdrawn/leaving-frozen", test_leaving_frozen);
  g_test_add_func ("/withdrawn/leaving-cut", test_leaving_cut);
  g_test_add_func ("/withdrawn/two-stops", test_two_stops);
  return g_test_run ();
}
