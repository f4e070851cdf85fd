/* The kinds of fault, each with its way back.  */

#include "soak-private.h"

#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>

/* After so long without word a node cut off has stopped by itself.  */
#define ZONE_GRACE_MS 6000

static unsigned
choose (faults_t *faults, unsigned count)
{
  return (unsigned)g_rand_int_range (faults->rand, 0, (gint32)count);
}

bool
faults_is_victim (const faults_t *faults, fleet_role_t sort, unsigned index)
{
  for (guint i = 0; i < faults->running->len; i++)
    {
      const running_t *running = g_ptr_array_index (faults->running, i);

      if (running->sort == sort && running->victim == index
          && running->group == NULL)
        return true;
      if (running->has_partner && sort == FLEET_ROUTER
          && running->partner == index)
        return true;
    }
  return false;
}

static bool
choose_victim (faults_t *faults, running_t *running, fleet_role_t sort)
{
  running->sort = sort;
  running->victim = choose (faults, fleet_count_members (faults->fleet, sort));
  return !faults_is_victim (faults, sort, running->victim);
}

/* ---- processes ---- */

static bool
kill_victim (faults_t *faults, running_t *running)
{
  return proc_stop (
      fleet_get_process (faults->fleet, running->sort, running->victim),
      SIGKILL, 2000);
}

static bool
kill_one (faults_t *faults, running_t *running)
{
  return choose_victim (faults, running, running->fault->sort)
         && kill_victim (faults, running);
}

static void
start_again (faults_t *faults, running_t *running)
{
  g_autoptr (GError) error = NULL;

  if (!proc_restart (
          fleet_get_processes (faults->fleet),
          fleet_get_process (faults->fleet, running->sort, running->victim),
          &error))
    fprintf (stderr, "soak: %s\n", error->message);
}

static bool
freeze_one (faults_t *faults, running_t *running)
{
  if (!choose_victim (faults, running, running->fault->sort))
    return false;
  (void)proc_stop (
      fleet_get_process (faults->fleet, running->sort, running->victim),
      SIGSTOP, 0);
  return true;
}

static void
thaw (faults_t *faults, running_t *running)
{
  (void)proc_stop (
      fleet_get_process (faults->fleet, running->sort, running->victim),
      SIGCONT, 0);
}

/* ---- a rack ---- */

/* What a rack's switch carried goes silent; new links work.  */
static void
silence_zone (faults_t *faults, unsigned zone, const char *mode)
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

/* An agent and a router of its zone die together and their links go silent,
   so that nobody is told: the others have to notice by themselves.  */
static bool
rack_dies (faults_t *faults, running_t *running)
{
  if (!choose_victim (faults, running, FLEET_AGENT))
    return false;
  /* The router of that number is in that zone.  */
  running->partner
      = fleet_get_zone (faults->fleet, FLEET_AGENT, running->victim);
  if (faults_is_victim (faults, FLEET_ROUTER, running->partner))
    return false;
  running->has_partner = true;
  silence_zone (faults, running->partner, "silent");
  (void)proc_stop (
      fleet_get_process (faults->fleet, FLEET_ROUTER, running->partner),
      SIGKILL, 2000);
  return kill_victim (faults, running);
}

static void
rack_returns (faults_t *faults, running_t *running)
{
  g_autoptr (GError) error = NULL;

  silence_zone (faults, running->partner, "pass");
  start_again (faults, running);
  if (!proc_restart (
          fleet_get_processes (faults->fleet),
          fleet_get_process (faults->fleet, FLEET_ROUTER, running->partner),
          &error))
    fprintf (stderr, "soak: %s\n", error->message);
}

/* ---- the network between zones ---- */

static bool
choose_group (faults_t *faults, running_t *running)
{
  unsigned zones = fleet_get_plan (faults->fleet)->zones;
  unsigned from = choose (faults, zones);
  unsigned to = (from + 1 + choose (faults, zones - 1)) % zones;

  running->group = g_strdup_printf ("zone-%u>zone-%u", from, to);
  return true;
}

static bool
spoil_link (faults_t *faults, running_t *running)
{
  return choose_group (faults, running)
         && fleet_set_relay_mode (faults->fleet, running->group,
                                  running->fault->spec);
}

static void
pass_link (faults_t *faults, running_t *running)
{
  (void)fleet_set_relay_mode (faults->fleet, running->group, "pass");
}

/* ---- the platform ---- */

/* Tells a stand-in how to behave.  */
static bool
control (const faults_t *faults, fleet_role_t sort, unsigned index,
         const char *path, const char *spec)
{
  g_autofree char *base = fleet_get_url (faults->fleet, sort, index);
  g_autofree char *url = g_strconcat (base, path, NULL);
  long status = 0;

  g_free (proc_send_http ("PUT", url, NULL, spec, &status));
  return status == 200;
}

bool
faults_platform (faults_t *faults, const char *spec)
{
  return control (faults, FLEET_PLATFORM, 0, "/control/faults", spec);
}

static bool
platform_fault (faults_t *faults, running_t *running)
{
  running->sort = FLEET_PLATFORM;
  if (faults->platform_faulty
      || !faults_platform (faults, running->fault->spec))
    return false;
  faults->platform_faulty = true;
  return true;
}

static void
platform_up (faults_t *faults, running_t *running)
{
  (void)faults_platform (faults, "{\"mode\":\"up\"}");
  faults->platform_faulty = false;
}

/* ---- endpoints ---- */

static bool
endpoint_control (const faults_t *faults, const running_t *running,
                  const char *spec)
{
  return control (faults, FLEET_ENDPOINT, running->victim, "/control", spec);
}

static bool
choose_engine (faults_t *faults, running_t *running)
{
  running->sort = FLEET_ENDPOINT;
  running->victim = choose (faults, fleet_get_plan (faults->fleet)->models);
  return !faults_is_victim (faults, FLEET_ENDPOINT, running->victim);
}

static bool
engine_fault (faults_t *faults, running_t *running)
{
  return choose_engine (faults, running)
         && endpoint_control (faults, running, running->fault->spec);
}

static bool
endpoint_fault (faults_t *faults, running_t *running)
{
  return choose_victim (faults, running, FLEET_ENDPOINT)
         && endpoint_control (faults, running, running->fault->spec);
}

static void
endpoint_mended (faults_t *faults, running_t *running)
{
  (void)endpoint_control (faults, running,
                          "{\"refuse\":false,\"break\":false}");
}

static void
nothing (faults_t *faults, running_t *running)
{
}

/* ---- zones ---- */

static bool
put_zone (faults_t *faults, unsigned zone, const char *state)
{
  g_autofree char *name = g_strdup_printf ("zone-%u", zone);
  g_autofree char *spec = g_strdup_printf (
      "{\"schema\":2,\"state\":\"%s\",\"region\":\"r\"}", state);
  g_autoptr (GError) error = NULL;

  return fleet_put_object (faults->fleet, "availability-zone", name, spec,
                           &error);
}

/* At most one zone is out, so that others can serve.  */
static bool
zone_out (faults_t *faults, running_t *running)
{
  for (guint i = 0; i < faults->running->len; i++)
    {
      const running_t *other = g_ptr_array_index (faults->running, i);

      if (other != running && other->fault->begin == zone_out)
        return false;
    }
  if (faults->platform_faulty)
    return false;
  running->sort = FLEET_ROLE_COUNT;
  running->victim = choose (faults, fleet_get_plan (faults->fleet)->zones);
  return put_zone (faults, running->victim, "out");
}

static double
last_start (faults_t *faults, unsigned endpoint)
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

/* Before the zone comes back: no endpoint of it may have started anything
   after the grace.  The grace begins when the write was known to be done.  */
static void
zone_in (faults_t *faults, running_t *running)
{
  unsigned count = fleet_count_members (faults->fleet, FLEET_ENDPOINT);

  for (unsigned i = 0; i < count; i++)
    {
      double start;

      if (fleet_get_zone (faults->fleet, FLEET_ENDPOINT, i) != running->victim)
        continue;
      start = last_start (faults, i);
      if (start <= (double)(running->began + ZONE_GRACE_MS))
        continue;
      faults->violations++;
      fprintf (stderr,
               "soak: endpoint-%u started work %.0f ms after its zone-%u "
               "went out\n",
               i, start - (double)running->began, running->victim);
    }
  for (unsigned tries = 0; tries < 20; tries++)
    if (put_zone (faults, running->victim, "in"))
      return;
    else
      g_usleep (100000);
  fprintf (stderr, "soak: zone-%u could not be brought back\n",
           running->victim);
}

const fault_t fault_kinds[] = {
  { "kill-router", 300, 2500, kill_one, start_again, .sort = FLEET_ROUTER },
  { "kill-agent", 300, 2500, kill_one, start_again, .sort = FLEET_AGENT },
  { "freeze-router", 500, 4000, freeze_one, thaw, .sort = FLEET_ROUTER },
  { "freeze-agent", 500, 4000, freeze_one, thaw, .sort = FLEET_AGENT },
  { "cut-link", 500, 5000, spoil_link, pass_link, .spec = "cut" },
  { "silence-link", 100, 500, spoil_link, pass_link, .spec = "silent" },
  { "hole-link", 500, 4000, spoil_link, pass_link, .spec = "hole" },
  { "platform-down", 1000, 8000, platform_fault, platform_up,
    .spec = "{\"mode\":\"down\"}" },
  { "platform-loses-answers", 500, 3000, platform_fault, platform_up,
    .spec = "{\"mode\":\"lose-answer\"}" },
  { "platform-slow", 1000, 4000, platform_fault, platform_up,
    .spec = "{\"mode\":\"slow\",\"delay_ms\":1500}" },
  { "platform-stale", 1000, 5000, platform_fault, platform_up,
    .spec = "{\"mode\":\"stale\",\"lag_ms\":3000}" },
  { "engine-cold", 1000, 2000, engine_fault, nothing,
    .spec = "{\"cold\":true}" },
  { "engine-silent", 100, 500, engine_fault, nothing,
    .spec = "{\"silent\":true}" },
  { "endpoint-refuses", 500, 3000, endpoint_fault, endpoint_mended,
    .spec = "{\"refuse\":true}" },
  { "endpoint-breaks", 500, 3000, endpoint_fault, endpoint_mended,
    .spec = "{\"break\":true}" },
  { "zone-out", 8000, 14000, zone_out, zone_in, .needs_platform = true },
  /* Kinds are added at the end: a seed with --kinds stays what it was.  */
  { "rack", 500, 4000, rack_dies, rack_returns, .needs_platform = false },
  { "operators-race", 500, 2000, race_begin, race_end,
    .needs_platform = false },
};

const unsigned fault_kind_count = G_N_ELEMENTS (fault_kinds);
