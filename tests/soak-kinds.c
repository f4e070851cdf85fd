/* The kinds of fault, each with its reversal.  */

#include "soak-private.h"

#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>

/* A node that is cut off stops by itself within this time.  */
#define ZONE_GRACE_MS 6000

static unsigned
choose_index (faults_t *faults, unsigned count)
{
  return (unsigned)g_rand_int_range (faults->rand, 0, (gint32)count);
}

bool
faults_is_target (const faults_t *faults, fleet_role_t role, unsigned index)
{
  for (guint i = 0; i < faults->active->len; i++)
    {
      const active_fault_t *active = g_ptr_array_index (faults->active, i);

      if (active->role == role && active->target == index
          && active->group == NULL)
        return true;
      if (active->has_router && role == FLEET_ROUTER
          && active->router == index)
        return true;
    }
  return false;
}

static bool
choose_target (faults_t *faults, active_fault_t *active, fleet_role_t role)
{
  active->role = role;
  active->target
      = choose_index (faults, fleet_count_members (faults->fleet, role));
  return !faults_is_target (faults, role, active->target);
}

/* ---- processes ---- */

static bool
kill_target (faults_t *faults, active_fault_t *active)
{
  return proc_stop (
      fleet_get_process (faults->fleet, active->role, active->target), SIGKILL,
      2000);
}

static bool
kill_random_process (faults_t *faults, active_fault_t *active)
{
  return choose_target (faults, active, active->fault->role)
         && kill_target (faults, active);
}

static void
restart_target (faults_t *faults, active_fault_t *active)
{
  g_autoptr (GError) error = NULL;

  if (!proc_restart (
          fleet_get_processes (faults->fleet),
          fleet_get_process (faults->fleet, active->role, active->target),
          &error))
    fprintf (stderr, "soak: %s\n", error->message);
}

static bool
freeze_random_process (faults_t *faults, active_fault_t *active)
{
  if (!choose_target (faults, active, active->fault->role))
    return false;
  (void)proc_stop (
      fleet_get_process (faults->fleet, active->role, active->target), SIGSTOP,
      0);
  return true;
}

static void
resume_target (faults_t *faults, active_fault_t *active)
{
  (void)proc_stop (
      fleet_get_process (faults->fleet, active->role, active->target), SIGCONT,
      0);
}

/* ---- a rack ---- */

/* Sets MODE for all links between ZONE and the other zones.  With "silent",
   open links stop delivering data and new links work, as after the loss of a
   rack's switch.  */
static void
set_zone_links (faults_t *faults, unsigned zone, const char *mode)
{
  unsigned zones = fleet_get_plan (faults->fleet)->zones;

  for (unsigned other = 0; other < zones; other++)
    {
      g_autofree char *out = g_strdup_printf ("zone-%u>zone-%u", zone, other);
      g_autofree char *in = g_strdup_printf ("zone-%u>zone-%u", other, zone);

      if (other == zone)
        continue;
      (void)fleet_set_relay_mode (faults->fleet, out, mode);
      (void)fleet_set_relay_mode (faults->fleet, in, mode);
    }
}

/* Kills an agent and the router of its zone at once, with their links silent,
   so that no peer sees a closed connection: the others have to detect the loss
   by timeout.  */
static bool
fail_rack (faults_t *faults, active_fault_t *active)
{
  if (!choose_target (faults, active, FLEET_AGENT))
    return false;
  /* Router I is in zone I.  */
  active->router = fleet_get_zone (faults->fleet, FLEET_AGENT, active->target);
  if (faults_is_target (faults, FLEET_ROUTER, active->router))
    return false;
  active->has_router = true;
  set_zone_links (faults, active->router, "silent");
  (void)proc_stop (
      fleet_get_process (faults->fleet, FLEET_ROUTER, active->router), SIGKILL,
      2000);
  return kill_target (faults, active);
}

static void
restore_rack (faults_t *faults, active_fault_t *active)
{
  g_autoptr (GError) error = NULL;

  set_zone_links (faults, active->router, "pass");
  restart_target (faults, active);
  if (!proc_restart (
          fleet_get_processes (faults->fleet),
          fleet_get_process (faults->fleet, FLEET_ROUTER, active->router),
          &error))
    fprintf (stderr, "soak: %s\n", error->message);
}

/* ---- the network between zones ---- */

static bool
choose_link_group (faults_t *faults, active_fault_t *active)
{
  unsigned zones = fleet_get_plan (faults->fleet)->zones;
  unsigned from = choose_index (faults, zones);
  unsigned to = (from + 1 + choose_index (faults, zones - 1)) % zones;

  active->group = g_strdup_printf ("zone-%u>zone-%u", from, to);
  return true;
}

static bool
impair_link (faults_t *faults, active_fault_t *active)
{
  return choose_link_group (faults, active)
         && fleet_set_relay_mode (faults->fleet, active->group,
                                  active->fault->spec);
}

static void
restore_link (faults_t *faults, active_fault_t *active)
{
  (void)fleet_set_relay_mode (faults->fleet, active->group, "pass");
}

/* ---- the platform ---- */

/* Sends SPEC to the control path of a stand-in.  */
static bool
control_standin (const faults_t *faults, fleet_role_t role, unsigned index,
                 const char *path, const char *spec)
{
  g_autofree char *base = fleet_get_url (faults->fleet, role, index);
  g_autofree char *url = g_strconcat (base, path, NULL);
  long status = 0;

  g_free (proc_send_http ("PUT", url, NULL, spec, &status));
  return status == 200;
}

bool
faults_set_platform_mode (faults_t *faults, const char *spec)
{
  return control_standin (faults, FLEET_PLATFORM, 0, "/control/faults", spec);
}

static bool
inject_platform_fault (faults_t *faults, active_fault_t *active)
{
  active->role = FLEET_PLATFORM;
  if (faults->platform_faulty
      || !faults_set_platform_mode (faults, active->fault->spec))
    return false;
  faults->platform_faulty = true;
  return true;
}

static void
restore_platform (faults_t *faults, active_fault_t *active)
{
  (void)faults_set_platform_mode (faults, "{\"mode\":\"up\"}");
  faults->platform_faulty = false;
}

/* ---- endpoints ---- */

static bool
control_endpoint (const faults_t *faults, const active_fault_t *active,
                  const char *spec)
{
  return control_standin (faults, FLEET_ENDPOINT, active->target, "/control",
                          spec);
}

static bool
choose_engine (faults_t *faults, active_fault_t *active)
{
  active->role = FLEET_ENDPOINT;
  active->target
      = choose_index (faults, fleet_get_plan (faults->fleet)->models);
  return !faults_is_target (faults, FLEET_ENDPOINT, active->target);
}

static bool
inject_engine_fault (faults_t *faults, active_fault_t *active)
{
  return choose_engine (faults, active)
         && control_endpoint (faults, active, active->fault->spec);
}

static bool
inject_endpoint_fault (faults_t *faults, active_fault_t *active)
{
  return choose_target (faults, active, FLEET_ENDPOINT)
         && control_endpoint (faults, active, active->fault->spec);
}

static void
restore_endpoint (faults_t *faults, active_fault_t *active)
{
  (void)control_endpoint (faults, active,
                          "{\"refuse\":false,\"break\":false}");
}

static void
revert_nothing (faults_t *faults, active_fault_t *active)
{
}

/* ---- zones ---- */

static bool
write_zone_state (faults_t *faults, unsigned zone, const char *state)
{
  g_autofree char *name = g_strdup_printf ("zone-%u", zone);
  g_autofree char *spec = g_strdup_printf (
      "{\"schema\":2,\"state\":\"%s\",\"region\":\"r\"}", state);
  g_autoptr (GError) error = NULL;

  return fleet_put_object (faults->fleet, "availability-zone", name, spec,
                           &error);
}

/* At most one zone is out at a time, so that the others can serve.  */
static bool
take_zone_out (faults_t *faults, active_fault_t *active)
{
  for (guint i = 0; i < faults->active->len; i++)
    {
      const active_fault_t *other = g_ptr_array_index (faults->active, i);

      if (other != active && other->fault->inject == take_zone_out)
        return false;
    }
  if (faults->platform_faulty)
    return false;
  active->role = FLEET_ROLE_COUNT; /* the target is a zone, not a process */
  active->target
      = choose_index (faults, fleet_get_plan (faults->fleet)->zones);
  return write_zone_state (faults, active->target, "out");
}

static double
read_last_start_ms (faults_t *faults, unsigned endpoint)
{
  g_autofree char *base
      = fleet_get_url (faults->fleet, FLEET_ENDPOINT, endpoint);
  g_autofree char *url = g_strconcat (base, "/control/counters", NULL);
  long status = 0;
  g_autofree char *body = proc_send_http (NULL, url, NULL, NULL, &status);
  g_autoptr (JsonNode) node = NULL;

  if (status == 200)
    node = json_from_string (body, NULL);
  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return 0;
  return json_object_get_double_member_with_default (
      json_node_get_object (node), "last_start_ms", 0);
}

/* Checks, before the zone comes back, that none of its endpoints has started a
   request later than ZONE_GRACE_MS after the write was known to be done.  */
static void
check_and_restore_zone (faults_t *faults, active_fault_t *active)
{
  unsigned count = fleet_count_members (faults->fleet, FLEET_ENDPOINT);

  for (unsigned i = 0; i < count; i++)
    {
      double start_ms;

      if (fleet_get_zone (faults->fleet, FLEET_ENDPOINT, i) != active->target)
        continue;
      start_ms = read_last_start_ms (faults, i);
      if (start_ms <= (double)(active->started_at + ZONE_GRACE_MS))
        continue;
      faults->zone_violations++;
      fprintf (stderr,
               "soak: endpoint-%u started a request %.0f ms after zone-%u "
               "was taken out\n",
               i, start_ms - (double)active->started_at, active->target);
    }
  for (unsigned tries = 0; tries < 20; tries++)
    if (write_zone_state (faults, active->target, "in"))
      return;
    else
      g_usleep (100000);
  fprintf (stderr, "soak: zone-%u could not be restored in 20 tries\n",
           active->target);
}

const fault_t fault_kinds[] = {
  { "kill-router", 300, 2500, kill_random_process, restart_target,
    .role = FLEET_ROUTER },
  { "kill-agent", 300, 2500, kill_random_process, restart_target,
    .role = FLEET_AGENT },
  { "freeze-router", 500, 4000, freeze_random_process, resume_target,
    .role = FLEET_ROUTER },
  { "freeze-agent", 500, 4000, freeze_random_process, resume_target,
    .role = FLEET_AGENT },
  { "cut-link", 500, 5000, impair_link, restore_link, .spec = "cut" },
  { "silence-link", 100, 500, impair_link, restore_link, .spec = "silent" },
  { "hole-link", 500, 4000, impair_link, restore_link, .spec = "hole" },
  { "platform-down", 1000, 8000, inject_platform_fault, restore_platform,
    .spec = "{\"mode\":\"down\"}" },
  { "platform-loses-answers", 500, 3000, inject_platform_fault,
    restore_platform, .spec = "{\"mode\":\"lose-answer\"}" },
  { "platform-slow", 1000, 4000, inject_platform_fault, restore_platform,
    .spec = "{\"mode\":\"slow\",\"delay_ms\":1500}" },
  { "platform-stale", 1000, 5000, inject_platform_fault, restore_platform,
    .spec = "{\"mode\":\"stale\",\"lag_ms\":3000}" },
  { "engine-cold", 1000, 2000, inject_engine_fault, revert_nothing,
    .spec = "{\"cold\":true}" },
  { "engine-silent", 100, 500, inject_engine_fault, revert_nothing,
    .spec = "{\"silent\":true}" },
  { "endpoint-refuses", 500, 3000, inject_endpoint_fault, restore_endpoint,
    .spec = "{\"refuse\":true}" },
  { "endpoint-breaks", 500, 3000, inject_endpoint_fault, restore_endpoint,
    .spec = "{\"break\":true}" },
  { "zone-out", 8000, 14000, take_zone_out, check_and_restore_zone,
    .needs_platform = true },
  /* New kinds are added at the end, so that a seed with --kinds injects the
     same faults as before.  */
  { "rack", 500, 4000, fail_rack, restore_rack, .needs_platform = false },
  { "operators-race", 500, 2000, race_inject, race_revert,
    .needs_platform = false },
};

const unsigned fault_kind_count = G_N_ELEMENTS (fault_kinds);
