/* Rolling upgrade of a whole fleet: programs that know only schema 1 are
   replaced one at a time by the current ones, under load, while operators
   write records with both versions of cfdctl.  */

#include "scene.h"
#include <signal.h>
#include <string.h>

#define MAX_WAIT_MS 25000
#define AGENTS 3u
#define ZONE_1_OUT                                                            \
  "{\"schema\":2,\"state\":\"out\",\"region\":\"r\",\"note\":\"kept\"}"

static char *
program_path (const char *name)
{
  g_autofree char *build = proc_get_build_dir ();

  return g_build_filename (build, name, NULL);
}

/* Lists the process as leaving, stops it, waits until it has answered its
   running requests and exits, and starts the current program in its place.  */
static void
upgrade_process (scene_t *scene, fleet_role_t role, unsigned index)
{
  fleet_t *fleet = scene->fleet;
  proc_t *proc = fleet_get_process (fleet, role, index);
  g_autofree char *base = fleet_get_admin_url (fleet, role, index);
  g_autofree char *ready = g_strconcat (base, "/healthz", NULL);
  g_autoptr (GError) error = NULL;

  g_assert_true (
      fleet_set_instance_state (fleet, role, index, "leaving", &error));
  scene_run (scene, 1200);
  g_assert_false (proc_stop (proc, SIGTERM, 0));
  for (unsigned i = 0; proc_is_running (proc) && i < MAX_WAIT_MS / 50; i++)
    scene_run (scene, 50);
  g_assert_false (proc_is_running (proc));
  g_free (proc->argv[0]);
  proc->argv[0] = program_path (role == FLEET_ROUTER ? FLEET_NEW_ROUTER
                                                     : FLEET_NEW_AGENT);
  proc_restart (fleet_get_processes (fleet), proc, &error);
  g_assert_no_error (error);
  g_assert_true (
      fleet_set_instance_state (fleet, role, index, "live", &error));
  g_assert_true (proc_wait_http_ok (ready, 5000));
  scene_run (scene, 300);
}

/* Runs the cfdctl at NAME in the build folder; returns its exit status.  */
static int
run_cfdctl (const scene_t *scene, const char *name, const char *arguments)
{
  g_autofree char *path = program_path (name);
  g_autofree char *platform = fleet_get_url (scene->fleet, FLEET_PLATFORM, 0);
  g_autofree char *output = NULL; /* kept out of the test's TAP output */
  g_autofree char *line
      = g_strdup_printf ("%s --platform %s %s", path, platform, arguments);
  g_autoptr (GError) error = NULL;
  int status = 0;

  g_spawn_command_line_sync (line, &output, NULL, &status, &error);
  g_assert_no_error (error);
  g_test_message ("%s", output);
  return WEXITSTATUS (status);
}

static char *
read_record (const scene_t *scene, const char *path)
{
  g_autofree char *base = fleet_get_url (scene->fleet, FLEET_PLATFORM, 0);
  g_autofree char *url = g_strconcat (base, "/v1/objects/", path, NULL);
  long status = 0;
  char *text = proc_send_http (NULL, url, NULL, NULL, &status);

  g_assert_cmpint (status, ==, 200);
  return text;
}

static scene_t *
start_old_fleet (bool old_routers)
{
  scene_plan_t plan = scene_default_plan ();

  plan.fleet.zones = 2;
  plan.fleet.routers = 2;
  plan.fleet.models = 2;
  plan.fleet.plains = 1;
  plan.fleet.old_routers = old_routers;
  plan.fleet.old_agents = true;
  plan.fleet.old_records = true;
  plan.outstanding = 16;
  plan.kinds[LOAD_LOOKUP] = 1;
  plan.kinds[LOAD_POST] = 1;
  return scene_new (&plan);
}

/* Upgrades the agents under load and, with old routers, also the router that
   no caller uses.  In between, a zone's record is replaced by one of schema 2
   that takes the zone out: old programs keep the record that they know, each
   upgraded one applies the new one, and no later write may remove its unknown
   member or lower its schema.  All requests are answered.  */
static void
check_upgrade (bool old_routers)
{
  g_autoptr (scene_t) scene = start_old_fleet (old_routers);
  g_autoptr (GError) error = NULL;

  scene_run_until (scene, scene_is_streaming, MAX_WAIT_MS);
  g_assert_cmpint (run_cfdctl (scene, "tests/old-cfdctl",
                               "set client-account branch weight=2"),
                   ==, 0);
  if (old_routers)
    upgrade_process (scene, FLEET_ROUTER, 1);
  upgrade_process (scene, FLEET_AGENT, 0);
  fleet_put_object (scene->fleet, "availability-zone", "zone-1", ZONE_1_OUT,
                    &error);
  g_assert_no_error (error);
  g_assert_cmpint (run_cfdctl (scene, "tests/old-cfdctl",
                               "set availability-zone zone-1 region=old"),
                   !=, 0);
  for (unsigned i = 1; i < AGENTS; i++)
    upgrade_process (scene, FLEET_AGENT, i);
  scene_run (scene, 2000);

  double requests_before = scene_read_counter (scene, 1, "requests");
  scene_run (scene, 1000);
  g_assert_cmpfloat (scene_read_counter (scene, 1, "requests"), ==,
                     requests_before);
  g_assert_cmpint (run_cfdctl (scene, "cli/cfdctl",
                               "set availability-zone zone-1 region=new"),
                   ==, 0);
  g_autofree char *zone = read_record (scene, "availability-zone/zone-1");
  g_autofree char *account = read_record (scene, "client-account/branch");
  g_test_message ("%s %s", zone, account);
  g_assert_nonnull (strstr (zone, "\"schema\":2"));
  g_assert_nonnull (strstr (zone, "\"state\":\"out\""));
  g_assert_nonnull (strstr (zone, "\"note\":\"kept\""));
  g_assert_nonnull (strstr (zone, "\"region\":\"new\""));
  g_assert_nonnull (strstr (account, "\"schema\":1"));
  g_assert_nonnull (strstr (account, "\"weight\":2"));
  scene_finish (scene, MAX_WAIT_MS);
  g_assert_cmpuint (scene->sum.correct, ==, scene->sum.requests);
}

static void
test_old_routers (void)
{
  check_upgrade (true);
}

static void
test_new_routers (void)
{
  check_upgrade (false);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/upgrade/old-routers", test_old_routers);
  g_test_add_func ("/upgrade/new-routers", test_new_routers);
  return g_test_run ();
}
