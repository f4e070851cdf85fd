/* A fleet of real processes with stand-ins for the outside.  */

#include "fleet-private.h"
#include "base/err.h"
#include "config/rec.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READY_MS 15000

static unsigned
agents_of (const fleet_plan_t *plan)
{
  return plan->models + plan->plains + plan->spare_models;
}

static unsigned
routers_of (const fleet_plan_t *plan)
{
  return plan->routers + plan->spare_routers;
}

static bool
is_spare (const fleet_plan_t *plan, fleet_role_t sort, unsigned index)
{
  return sort == FLEET_ROUTER ? index >= plan->routers
                              : index >= plan->models + plan->plains;
}

/* Endpoints are numbered models, plain services, spare models.  */
bool
fleet_is_plain_endpoint (const fleet_t *fleet, unsigned index)
{
  const fleet_plan_t *plan = &fleet->plan;

  return index >= plan->models && index < plan->models + plan->plains;
}

/* Takes a part of 127.0.0.0/8 that no other fleet uses: the first from our
   process id on at which the lock port is free.  */
static bool
take_addresses (fleet_t *fleet, GError **error)
{
  unsigned start = (unsigned)getpid ();

  for (unsigned i = 0; i < 200; i++)
    {
      unsigned number = start + i * 7;
      struct sockaddr_in address
          = { .sin_family = AF_INET, .sin_port = htons (PORT_LOCK) };
      g_autofree char *net = g_strdup_printf (
          "127.%u.%u", 10 + number / 250 % 200, 1 + number % 250);
      g_autofree char *host = g_strconcat (net, ".1", NULL);
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      inet_pton (AF_INET, host, &address.sin_addr);
      if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
        {
          fleet->net = g_steal_pointer (&net);
          fleet->lock = fd;
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
  return g_strdup_printf ("%s.%u:%u", fleet->net, 1 + index, port);
}

char *
fleet_format_url (const fleet_t *fleet, unsigned index, unsigned port)
{
  return g_strdup_printf ("http://%s.%u:%u", fleet->net, 1 + index, port);
}

unsigned
fleet_get_zone (const fleet_t *fleet, fleet_role_t sort, unsigned index)
{
  unsigned zones = fleet->plan.zones;

  if (sort == FLEET_ROUTER || !fleet_is_plain_endpoint (fleet, index))
    return index % zones;
  return (index - fleet->plan.models) % zones;
}

char *
fleet_get_url (const fleet_t *fleet, fleet_role_t sort, unsigned index)
{
  switch (sort)
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
fleet_get_admin_url (const fleet_t *fleet, fleet_role_t sort, unsigned index)
{
  return fleet_format_url (fleet, index,
                           sort == FLEET_ROUTER ? PORT_ROUTER_ADMIN
                                                : PORT_AGENT_ADMIN);
}

/* ---- starting processes ---- */

/* Starts PROGRAM with the flags in ARGS, which is emptied.  */
static bool
start (fleet_t *fleet, fleet_role_t sort, const char *name,
       const char *program, GPtrArray *args, GError **error)
{
  g_autofree char *path = g_build_filename (fleet->build, program, NULL);

  g_ptr_array_insert (args, 0, g_strdup (path));
  g_ptr_array_add (args, NULL);
  proc_t *proc = proc_start (fleet->procs, name,
                             (const char *const *)args->pdata, error);
  if (proc != NULL)
    g_ptr_array_add (fleet->sorts[sort], proc);
  return proc != NULL;
}

static void
flag (GPtrArray *args, const char *name, char *value)
{
  g_ptr_array_add (args, g_strdup_printf ("--%s=%s", name, value));
  g_free (value);
}

static void
flag_number (GPtrArray *args, const char *name, double value)
{
  flag (args, name, g_strdup_printf ("%.10g", value));
}

static void
add_mapping (GPtrArray *args, const char *group, char *near, char *far,
             double delay_ms)
{
  flag (args, "map",
        g_strdup_printf ("%s,%s,%s,%g", group, near, far, delay_ms));
  g_free (near);
  g_free (far);
}

static double
delay_between (const fleet_t *fleet, unsigned zone, unsigned other)
{
  return fleet_get_region (fleet, zone) == fleet_get_region (fleet, other)
             ? fleet->plan.zone_ms
             : fleet->plan.region_ms;
}

/* One mapping for each other zone's view of a peer port.  */
static void
add_views (fleet_t *fleet, GPtrArray *args, fleet_role_t sort, unsigned index)
{
  unsigned own = fleet_get_zone (fleet, sort, index);
  unsigned view = sort == FLEET_ROUTER ? PORT_ROUTER_VIEW : PORT_AGENT_VIEW;
  unsigned port = sort == FLEET_ROUTER ? PORT_ROUTER_PEER : PORT_AGENT_PEER;

  for (unsigned zone = 0; zone < fleet->plan.zones; zone++)
    {
      g_autofree char *group = g_strdup_printf ("zone-%u>zone-%u", zone, own);
      if (zone != own)
        add_mapping (args, group,
                     fleet_format_address (fleet, index, view + zone),
                     fleet_format_address (fleet, index, port),
                     delay_between (fleet, zone, own));
    }
}

static bool
start_relay (fleet_t *fleet, GError **error)
{
  g_autoptr (GPtrArray) args = g_ptr_array_new_with_free_func (g_free);

  flag (args, "control", fleet_format_address (fleet, 0, PORT_RELAY));
  for (unsigned i = 0; i < routers_of (&fleet->plan); i++)
    {
      add_mapping (args, "callers",
                   fleet_format_address (fleet, i, PORT_CALLERS_RELAYED),
                   fleet_format_address (fleet, i, PORT_CALLERS),
                   fleet->plan.caller_ms);
      add_views (fleet, args, FLEET_ROUTER, i);
    }
  for (unsigned i = 0; i < agents_of (&fleet->plan); i++)
    add_views (fleet, args, FLEET_AGENT, i);
  for (unsigned zone = 0; zone < fleet->plan.zones; zone++)
    {
      g_autofree char *group = g_strdup_printf ("zone-%u>platform", zone);
      add_mapping (args, group,
                   fleet_format_address (fleet, 0, PORT_PLATFORM_VIEW + zone),
                   fleet_format_address (fleet, 0, PORT_PLATFORM + 1 + zone),
                   0);
    }
  return start (fleet, FLEET_RELAY, "relay", "tests/standin-relay", args,
                error);
}

static bool
start_platform (fleet_t *fleet, GError **error)
{
  g_autoptr (GPtrArray) args = g_ptr_array_new_with_free_func (g_free);

  flag (args, "listen", fleet_format_address (fleet, 0, PORT_PLATFORM));
  for (unsigned zone = 0; zone < fleet->plan.zones; zone++)
    flag (args, "listen-zone",
          g_strdup_printf ("zone-%u=%s.1:%u", zone, fleet->net,
                           PORT_PLATFORM + 1 + zone));
  return start (fleet, FLEET_PLATFORM, "platform", "tests/standin-platform",
                args, error);
}

static bool
start_endpoint (fleet_t *fleet, unsigned index, GError **error)
{
  const fleet_plan_t *plan = &fleet->plan;
  g_autoptr (GPtrArray) args = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *name = g_strdup_printf ("endpoint-%u", index);

  flag (args, "listen", fleet_format_address (fleet, index, PORT_ENDPOINT));
  if (fleet_is_plain_endpoint (fleet, index))
    {
      flag_number (args, "slots", plan->plain_slots);
      flag_number (args, "delay-ms", plan->plain_call_ms);
      return start (fleet, FLEET_ENDPOINT, name, "tests/standin-service", args,
                    error);
    }
  flag_number (args, "seed", (double)plan->seed);
  flag_number (args, "slots", plan->slots);
  flag_number (args, "slots-cold", plan->slots_cold);
  flag_number (args, "cold-ms", plan->cold_ms);
  flag_number (args, "step-ms", plan->step_ms);
  return start (fleet, FLEET_ENDPOINT, name, "tests/standin-engine", args,
                error);
}

/* Flags that routers and agents share.  */
static void
add_common (fleet_t *fleet, GPtrArray *args, const char *name, unsigned zone)
{
  flag (args, "instance", g_strdup (name));
  flag (args, "zone", g_strdup_printf ("zone-%u", zone));
  flag (args, "platform",
        fleet_format_url (fleet, 0, PORT_PLATFORM_VIEW + zone));
  flag (args, "policy",
        g_strdup (fleet->plan.policy ? fleet->plan.policy : "fleet"));
  flag (args, "log-level",
        g_strdup (fleet->plan.log_level ? fleet->plan.log_level : "info"));
  if (fleet->plan.log_json)
    g_ptr_array_add (args, g_strdup ("--log-json"));
}

static bool
start_router (fleet_t *fleet, unsigned index, GError **error)
{
  g_autoptr (GPtrArray) args = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *name = g_strdup_printf ("router-%u", index);

  add_common (fleet, args, name, fleet_get_zone (fleet, FLEET_ROUTER, index));
  flag (args, "listen", fleet_format_address (fleet, index, PORT_CALLERS));
  flag (args, "peer-listen",
        fleet_format_address (fleet, index, PORT_ROUTER_PEER));
  flag (args, "admin-listen",
        fleet_format_address (fleet, index, PORT_ROUTER_ADMIN));
  return start (fleet, FLEET_ROUTER, name,
                fleet->plan.old_routers ? FLEET_OLD_ROUTER : FLEET_NEW_ROUTER,
                args, error);
}

static bool
start_agent (fleet_t *fleet, unsigned index, GError **error)
{
  g_autoptr (GPtrArray) args = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *name = g_strdup_printf ("agent-%u", index);

  add_common (fleet, args, name, fleet_get_zone (fleet, FLEET_AGENT, index));
  flag (args, "endpoint", g_strdup_printf ("endpoint-%u", index));
  flag (args, "peer-listen",
        fleet_format_address (fleet, index, PORT_AGENT_PEER));
  flag (args, "admin-listen",
        fleet_format_address (fleet, index, PORT_AGENT_ADMIN));
  return start (fleet, FLEET_AGENT, name,
                fleet->plan.old_agents ? FLEET_OLD_AGENT : FLEET_NEW_AGENT,
                args, error);
}

/* ---- the whole ---- */

static bool
wait_ready (fleet_t *fleet, const char *url, const char *who, GError **error)
{
  if (proc_wait_http_ok (url, READY_MS))
    return true;
  g_set_error (error, CFD_ERROR, CFD_ERROR_UNAVAILABLE,
               "%s isn't ready after %d s; read its log in %s", who,
               READY_MS / 1000, proc_set_get_log_dir (fleet->procs));
  return false;
}

static bool
wait_member (fleet_t *fleet, fleet_role_t sort, unsigned index, GError **error)
{
  g_autofree char *base = fleet_get_admin_url (fleet, sort, index);
  g_autofree char *url = g_strconcat (base, "/readyz", NULL);

  return wait_ready (fleet, url, fleet_get_process (fleet, sort, index)->name,
                     error);
}

static bool
start_outside (fleet_t *fleet, GError **error)
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
start_inside (fleet_t *fleet, GError **error)
{
  const fleet_plan_t *plan = &fleet->plan;
  unsigned agents = plan->models + plan->plains;

  for (unsigned i = 0; i < agents; i++)
    fleet->listed[FLEET_AGENT][i] = "live";
  for (unsigned i = 0; i < plan->routers; i++)
    fleet->listed[FLEET_ROUTER][i] = "live";
  if (!fleet_publish_instances (fleet, error))
    return false;
  for (unsigned i = 0; i < agents; i++)
    if (!start_agent (fleet, i, error))
      return false;
  for (unsigned i = 0; i < plan->routers; i++)
    if (!start_router (fleet, i, error))
      return false;
  for (unsigned i = 0; i < agents; i++)
    if (!wait_member (fleet, FLEET_AGENT, i, error))
      return false;
  for (unsigned i = 0; i < plan->routers; i++)
    if (!wait_member (fleet, FLEET_ROUTER, i, error))
      return false;
  return true;
}

fleet_t *
fleet_new (const fleet_plan_t *plan, GError **error)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);

  fleet->plan = *plan;
  fleet->lock = -1;
  fleet->build = proc_get_build_dir ();
  fleet->procs = proc_set_new ();
  for (unsigned i = 0; i < FLEET_ROLE_COUNT; i++)
    fleet->sorts[i] = g_ptr_array_new ();
  g_setenv ("CFD_SECRET", FLEET_SECRET, TRUE);
  if (take_addresses (fleet, error) && start_outside (fleet, error)
      && start_inside (fleet, error))
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
  if (fleet->lock >= 0)
    close (fleet->lock);
  g_free (fleet->build);
  g_free (fleet->net);
  g_free (fleet);
}

bool
fleet_start_spare (fleet_t *fleet, fleet_role_t sort, unsigned index,
                   GError **error)
{
  if (!is_spare (&fleet->plan, sort, index))
    return false;
  if (sort == FLEET_ROUTER)
    return start_router (fleet, index, error)
           && fleet_set_instance_state (fleet, sort, index, "live", error)
           && wait_member (fleet, sort, index, error);
  return start_endpoint (fleet, index, error)
         && fleet_put_endpoint (fleet, index, error)
         && start_agent (fleet, index, error)
         && fleet_set_instance_state (fleet, sort, index, "live", error)
         && wait_member (fleet, sort, index, error);
}

const fleet_plan_t *
fleet_get_plan (const fleet_t *fleet)
{
  return &fleet->plan;
}

unsigned
fleet_count_members (const fleet_t *fleet, fleet_role_t sort)
{
  return fleet->sorts[sort]->len;
}

proc_t *
fleet_get_process (const fleet_t *fleet, fleet_role_t sort, unsigned index)
{
  return fleet->sorts[sort]->pdata[index];
}

proc_set_t *
fleet_get_processes (const fleet_t *fleet)
{
  return fleet->procs;
}
