/* Test fleet: starts and stops its processes.  */

#include "fleet-private.h"
#include "base/err.h"
#include "config/rec.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READY_TIMEOUT_MS 15000

static unsigned
count_planned_agents (const fleet_plan_t *plan)
{
  return plan->models + plan->plains + plan->spare_models;
}

static unsigned
count_planned_routers (const fleet_plan_t *plan)
{
  return plan->routers + plan->spare_routers;
}

static bool
is_spare (const fleet_plan_t *plan, fleet_role_t role, unsigned index)
{
  return role == FLEET_ROUTER ? index >= plan->routers
                              : index >= plan->models + plan->plains;
}

/* Endpoints are numbered in this order: model service, plain service, spare
   model endpoints.  */
bool
fleet_is_plain_endpoint (const fleet_t *fleet, unsigned index)
{
  const fleet_plan_t *plan = &fleet->plan;

  return index >= plan->models && index < plan->models + plan->plains;
}

/* Reserves a part of 127.0.0.0/8 that no other fleet uses: the first, starting
   from our process id, on which the lock port can be bound.  */
static bool
reserve_addresses (fleet_t *fleet, GError **error)
{
  unsigned start_process = (unsigned)getpid ();

  for (unsigned i = 0; i < 200; i++)
    {
      unsigned number = start_process + i * 7;
      struct sockaddr_in address
          = { .sin_family = AF_INET, .sin_port = htons (PORT_LOCK) };
      g_autofree char *network_prefix = g_strdup_printf (
          "127.%u.%u", 10 + number / 250 % 200, 1 + number % 250);
      g_autofree char *host = g_strconcat (network_prefix, ".1", NULL);
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      inet_pton (AF_INET, host, &address.sin_addr);
      if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
        {
          fleet->network_prefix = g_steal_pointer (&network_prefix);
          fleet->lock_fd = fd;
          return true;
        }
      close (fd);
    }
  g_set_error_literal (error, CFD_ERROR, CFD_ERROR_ADDRESS,
                       "no free addresses; end other test fleets");
  return false;
}

char *
fleet_format_address (const fleet_t *fleet, unsigned index, unsigned port)
{
  return g_strdup_printf ("%s.%u:%u", fleet->network_prefix, 1 + index, port);
}

char *
fleet_format_url (const fleet_t *fleet, unsigned index, unsigned port)
{
  return g_strdup_printf ("http://%s.%u:%u", fleet->network_prefix, 1 + index,
                          port);
}

unsigned
fleet_get_zone (const fleet_t *fleet, fleet_role_t role, unsigned index)
{
  unsigned zones = fleet->plan.zones;

  if (role == FLEET_ROUTER || !fleet_is_plain_endpoint (fleet, index))
    return index % zones;
  return (index - fleet->plan.models) % zones;
}

char *
fleet_get_url (const fleet_t *fleet, fleet_role_t role, unsigned index)
{
  switch (role)
    {
    case FLEET_PLATFORM:
      return fleet_format_url (fleet, 0, PORT_PLATFORM);
    case FLEET_RELAY:
      return fleet_format_url (fleet, 0, PORT_RELAY);
    case FLEET_ROUTER:
      return fleet_format_url (fleet, index, PORT_CALLERS_RELAYED);
    default:
      return fleet_format_url (fleet, index, PORT_ENDPOINT);
    }
}

char *
fleet_get_direct_url (const fleet_t *fleet, unsigned router)
{
  return fleet_format_url (fleet, router, PORT_CALLERS);
}

char *
fleet_get_admin_url (const fleet_t *fleet, fleet_role_t role, unsigned index)
{
  return fleet_format_url (fleet, index,
                           role == FLEET_ROUTER ? PORT_ROUTER_ADMIN
                                                : PORT_AGENT_ADMIN);
}

/* ---- starting processes ---- */

/* Starts PROGRAM with the flags in ARGS and empties ARGS.  */
static bool
start_process (fleet_t *fleet, fleet_role_t role, const char *name,
               const char *program, GPtrArray *args, GError **error)
{
  g_autofree char *path = g_build_filename (fleet->build, program, NULL);

  g_ptr_array_insert (args, 0, g_strdup (path));
  g_ptr_array_add (args, NULL);
  proc_t *proc = proc_start (fleet->procs, name,
                             (const char *const *)args->pdata, error);
  if (proc != NULL)
    g_ptr_array_add (fleet->sorts[role], proc);
  return proc != NULL;
}

static void
add_flag (GPtrArray *args, const char *name, char *value)
{
  g_ptr_array_add (args, g_strdup_printf ("--%s=%s", name, value));
  g_free (value);
}

static void
add_number_flag (GPtrArray *args, const char *name, double value)
{
  add_flag (args, name, g_strdup_printf ("%.10g", value));
}

static void
add_relay_mapping (GPtrArray *args, const char *group, char *near, char *far,
                   double delay_ms)
{
  add_flag (args, "map",
            g_strdup_printf ("%s,%s,%s,%g", group, near, far, delay_ms));
  g_free (near);
  g_free (far);
}

static double
get_zone_delay_ms (const fleet_t *fleet, unsigned zone, unsigned other)
{
  return fleet_get_region (fleet, zone) == fleet_get_region (fleet, other)
             ? fleet->plan.zone_ms
             : fleet->plan.region_ms;
}

/* Adds a relay mapping for each other zone's view of a peer port.  */
static void
add_zone_views (fleet_t *fleet, GPtrArray *args, fleet_role_t role,
                unsigned index)
{
  unsigned own = fleet_get_zone (fleet, role, index);
  unsigned view = role == FLEET_ROUTER ? PORT_ROUTER_VIEW : PORT_AGENT_VIEW;
  unsigned port = role == FLEET_ROUTER ? PORT_ROUTER_PEER : PORT_AGENT_PEER;

  for (unsigned zone = 0; zone < fleet->plan.zones; zone++)
    {
      g_autofree char *group = g_strdup_printf ("zone-%u>zone-%u", zone, own);
      if (zone != own)
        add_relay_mapping (args, group,
                           fleet_format_address (fleet, index, view + zone),
                           fleet_format_address (fleet, index, port),
                           get_zone_delay_ms (fleet, zone, own));
    }
}

static bool
start_relay (fleet_t *fleet, GError **error)
{
  g_autoptr (GPtrArray) args = g_ptr_array_new_with_free_func (g_free);

  add_flag (args, "control", fleet_format_address (fleet, 0, PORT_RELAY));
  for (unsigned i = 0; i < count_planned_routers (&fleet->plan); i++)
    {
      add_relay_mapping (args, "callers",
                         fleet_format_address (fleet, i, PORT_CALLERS_RELAYED),
                         fleet_format_address (fleet, i, PORT_CALLERS),
                         fleet->plan.caller_ms);
      add_zone_views (fleet, args, FLEET_ROUTER, i);
    }
  for (unsigned i = 0; i < count_planned_agents (&fleet->plan); i++)
    add_zone_views (fleet, args, FLEET_AGENT, i);
  for (unsigned zone = 0; zone < fleet->plan.zones; zone++)
    {
      g_autofree char *group = g_strdup_printf ("zone-%u>platform", zone);
      add_relay_mapping (
          args, group,
          fleet_format_address (fleet, 0, PORT_PLATFORM_VIEW + zone),
          fleet_format_address (fleet, 0, PORT_PLATFORM + 1 + zone), 0);
    }
  return start_process (fleet, FLEET_RELAY, "relay", "tests/standin-relay",
                        args, error);
}

static bool
start_platform (fleet_t *fleet, GError **error)
{
  g_autoptr (GPtrArray) args = g_ptr_array_new_with_free_func (g_free);

  add_flag (args, "listen", fleet_format_address (fleet, 0, PORT_PLATFORM));
  for (unsigned zone = 0; zone < fleet->plan.zones; zone++)
    add_flag (args, "listen-zone",
              g_strdup_printf ("zone-%u=%s.1:%u", zone, fleet->network_prefix,
                               PORT_PLATFORM + 1 + zone));
  return start_process (fleet, FLEET_PLATFORM, "platform",
                        "tests/standin-platform", args, error);
}

static bool
start_endpoint (fleet_t *fleet, unsigned index, GError **error)
{
  const fleet_plan_t *plan = &fleet->plan;
  g_autoptr (GPtrArray) args = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *name = g_strdup_printf ("endpoint-%u", index);

  add_flag (args, "listen",
            fleet_format_address (fleet, index, PORT_ENDPOINT));
  if (fleet_is_plain_endpoint (fleet, index))
    {
      add_number_flag (args, "slots", plan->plain_slots);
      add_number_flag (args, "delay-ms", plan->plain_call_ms);
      return start_process (fleet, FLEET_ENDPOINT, name,
                            "tests/standin-service", args, error);
    }
  add_number_flag (args, "seed", (double)plan->seed);
  add_number_flag (args, "slots", plan->slots);
  add_number_flag (args, "slots-cold", plan->slots_cold);
  add_number_flag (args, "cold-ms", plan->cold_ms);
  add_number_flag (args, "step-ms", plan->step_ms);
  return start_process (fleet, FLEET_ENDPOINT, name, "tests/standin-engine",
                        args, error);
}

/* Adds the flags that routers and agents share.  */
static void
add_common_flags (fleet_t *fleet, GPtrArray *args, const char *name,
                  unsigned zone)
{
  add_flag (args, "instance", g_strdup (name));
  add_flag (args, "zone", g_strdup_printf ("zone-%u", zone));
  add_flag (args, "platform",
            fleet_format_url (fleet, 0, PORT_PLATFORM_VIEW + zone));
  add_flag (args, "policy",
            g_strdup (fleet->plan.policy ? fleet->plan.policy : "fleet"));
  add_flag (args, "log-level",
            g_strdup (fleet->plan.log_level ? fleet->plan.log_level : "info"));
  if (fleet->plan.log_json)
    g_ptr_array_add (args, g_strdup ("--log-json"));
}

static bool
start_router (fleet_t *fleet, unsigned index, GError **error)
{
  g_autoptr (GPtrArray) args = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *name = g_strdup_printf ("router-%u", index);

  add_common_flags (fleet, args, name,
                    fleet_get_zone (fleet, FLEET_ROUTER, index));
  add_flag (args, "listen", fleet_format_address (fleet, index, PORT_CALLERS));
  add_flag (args, "peer-listen",
            fleet_format_address (fleet, index, PORT_ROUTER_PEER));
  add_flag (args, "admin-listen",
            fleet_format_address (fleet, index, PORT_ROUTER_ADMIN));
  return start_process (fleet, FLEET_ROUTER, name,
                        fleet->plan.old_routers ? FLEET_OLD_ROUTER
                                                : FLEET_NEW_ROUTER,
                        args, error);
}

static bool
start_agent (fleet_t *fleet, unsigned index, GError **error)
{
  g_autoptr (GPtrArray) args = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *name = g_strdup_printf ("agent-%u", index);

  add_common_flags (fleet, args, name,
                    fleet_get_zone (fleet, FLEET_AGENT, index));
  add_flag (args, "endpoint", g_strdup_printf ("endpoint-%u", index));
  add_flag (args, "peer-listen",
            fleet_format_address (fleet, index, PORT_AGENT_PEER));
  add_flag (args, "admin-listen",
            fleet_format_address (fleet, index, PORT_AGENT_ADMIN));
  return start_process (
      fleet, FLEET_AGENT, name,
      fleet->plan.old_agents ? FLEET_OLD_AGENT : FLEET_NEW_AGENT, args, error);
}

/* ---- the whole fleet ---- */

static bool
wait_ready (fleet_t *fleet, const char *url, const char *who, GError **error)
{
  if (proc_wait_http_ok (url, READY_TIMEOUT_MS))
    return true;
  g_set_error (error, CFD_ERROR, CFD_ERROR_UNAVAILABLE,
               "%s isn't ready after %d s; read its log in %s", who,
               READY_TIMEOUT_MS / 1000, proc_set_get_log_dir (fleet->procs));
  return false;
}

static bool
wait_member_ready (fleet_t *fleet, fleet_role_t role, unsigned index,
                   GError **error)
{
  g_autofree char *base = fleet_get_admin_url (fleet, role, index);
  g_autofree char *url = g_strconcat (base, "/readyz", NULL);

  return wait_ready (fleet, url, fleet_get_process (fleet, role, index)->name,
                     error);
}

static bool
start_external_systems (fleet_t *fleet, GError **error)
{
  g_autofree char *platform = fleet_get_url (fleet, FLEET_PLATFORM, 0);
  g_autofree char *objects = g_strconcat (platform, "/v1/objects", NULL);

  if (!start_platform (fleet, error) || !start_relay (fleet, error))
    return false;
  for (unsigned i = 0; i < fleet->plan.models + fleet->plan.plains; i++)
    if (!start_endpoint (fleet, i, error))
      return false;
  return wait_ready (fleet, objects, "platform", error)
         && fleet_put_records (fleet, error);
}

static bool
start_members (fleet_t *fleet, GError **error)
{
  const fleet_plan_t *plan = &fleet->plan;
  unsigned agents = plan->models + plan->plains;

  for (unsigned i = 0; i < agents; i++)
    fleet->instance_states[FLEET_AGENT][i] = "live";
  for (unsigned i = 0; i < plan->routers; i++)
    fleet->instance_states[FLEET_ROUTER][i] = "live";
  if (!fleet_publish_instances (fleet, error))
    return false;
  for (unsigned i = 0; i < agents; i++)
    if (!start_agent (fleet, i, error))
      return false;
  for (unsigned i = 0; i < plan->routers; i++)
    if (!start_router (fleet, i, error))
      return false;
  for (unsigned i = 0; i < agents; i++)
    if (!wait_member_ready (fleet, FLEET_AGENT, i, error))
      return false;
  for (unsigned i = 0; i < plan->routers; i++)
    if (!wait_member_ready (fleet, FLEET_ROUTER, i, error))
      return false;
  return true;
}

fleet_t *
fleet_new (const fleet_plan_t *plan, GError **error)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);

  fleet->plan = *plan;
  fleet->lock_fd = -1;
  fleet->build = proc_get_build_dir ();
  fleet->procs = proc_set_new ();
  for (unsigned i = 0; i < FLEET_ROLE_COUNT; i++)
    fleet->sorts[i] = g_ptr_array_new ();
  g_setenv ("CFD_SECRET", FLEET_SECRET, TRUE);
  if (reserve_addresses (fleet, error) && start_external_systems (fleet, error)
      && start_members (fleet, error))
    return fleet;
  fleet_free (fleet, true);
  return NULL;
}

void
fleet_free (fleet_t *fleet, bool keep)
{
  if (keep)
    fprintf (stderr, "logs are in %s\n", proc_set_get_log_dir (fleet->procs));
  proc_set_free (fleet->procs, keep);
  for (unsigned i = 0; i < FLEET_ROLE_COUNT; i++)
    g_ptr_array_unref (fleet->sorts[i]);
  if (fleet->lock_fd >= 0)
    close (fleet->lock_fd);
  g_free (fleet->build);
  g_free (fleet->network_prefix);
  g_free (fleet);
}

bool
fleet_start_spare (fleet_t *fleet, fleet_role_t role, unsigned index,
                   GError **error)
{
  if (!is_spare (&fleet->plan, role, index))
    return false;
  if (role == FLEET_ROUTER)
    return start_router (fleet, index, error)
           && fleet_set_instance_state (fleet, role, index, "live", error)
           && wait_member_ready (fleet, role, index, error);
  return start_endpoint (fleet, index, error)
         && fleet_put_endpoint (fleet, index, error)
         && start_agent (fleet, index, error)
         && fleet_set_instance_state (fleet, role, index, "live", error)
         && wait_member_ready (fleet, role, index, error);
}

const fleet_plan_t *
fleet_get_plan (const fleet_t *fleet)
{
  return &fleet->plan;
}

unsigned
fleet_count_members (const fleet_t *fleet, fleet_role_t role)
{
  return fleet->sorts[role]->len;
}

proc_t *
fleet_get_process (const fleet_t *fleet, fleet_role_t role, unsigned index)
{
  return fleet->sorts[role]->pdata[index];
}

proc_set_t *
fleet_get_processes (const fleet_t *fleet)
{
  return fleet->procs;
}
