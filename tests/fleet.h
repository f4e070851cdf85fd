/* Test fleet: real routers and agents with stand-ins for the outside systems,
   on its own addresses in 127.0.0.0/8, so that fleets can run side by side.

   Zones are "zone-0"..., routers "router-0"..., agents "agent-0"...; agent I
   serves the endpoint "endpoint-I": first those of the model service "draft",
   then those of the plain service "register".  Member I of each role is in
   zone I modulo the number of zones.  Traffic between zones, to the platform
   and from callers goes through the relay, in the groups "zone-A>zone-B",
   "zone-A>platform" and "callers".  */

#ifndef TESTS_FLEET_H
#define TESTS_FLEET_H

#include "proc.h"
#include <stdint.h>

#define FLEET_MODEL_SERVICE "draft"
#define FLEET_PLAIN_SERVICE "register"
/* Programs of the present build, and programs that know only schema 1.  */
#define FLEET_OLD_ROUTER "tests/old-cfd-router"
#define FLEET_OLD_AGENT "tests/old-cfd-agent"
#define FLEET_NEW_ROUTER "cli/cfd-router"
#define FLEET_NEW_AGENT "cli/cfd-agent"
#define FLEET_SECRET "secret-of-a-test-fleet"
/* The last octet of an address is the member's number within its role.  */
#define FLEET_MAX_MEMBERS 250
/* Requests of one account that may wait at one router.  */
#define FLEET_MAX_QUEUED 4000u

typedef struct
{
  const char *name;
  const char *key;
  double weight;
} fleet_account_t;

typedef struct
{
  unsigned zones;
  unsigned routers;
  unsigned models; /* number of model endpoints */
  unsigned plains;
  unsigned slots;
  unsigned slots_cold;
  unsigned plain_slots;
  unsigned cold_ms;
  double step_ms;       /* token interval of an engine with one request */
  double plain_call_ms; /* duration of a plain call */
  double zone_ms;       /* one-way delay between zones */
  unsigned regions;     /* with equal numbers of zones; 0 counts as 1 */
  double region_ms;     /* one-way delay between regions */
  double caller_ms;     /* one-way delay to the callers */
  uint64_t seed;        /* seed of the engines' answers */
  const char *policy;
  const char *log_level; /* NULL: "info" */
  bool log_json;
  unsigned spare_routers; /* started only by fleet_start_spare */
  unsigned spare_models;
  bool old_routers; /* run programs that know only schema 1 */
  bool old_agents;
  bool old_records; /* write records of schema 1 */
  unsigned account_count;
  const fleet_account_t *accounts;
} fleet_plan_t;

typedef enum
{
  FLEET_PLATFORM,
  FLEET_RELAY,
  FLEET_ROUTER,
  FLEET_AGENT,
  FLEET_ENDPOINT,
  FLEET_ROLE_COUNT
} fleet_role_t;

typedef struct fleet fleet_t;

/* Starts all processes and waits until routers and agents are ready.  */
fleet_t *fleet_new (const fleet_plan_t *plan, GError **error);
/* Ends all processes.  With KEEP, leaves the logs and prints their folder.  */
void fleet_free (fleet_t *fleet, bool keep);

const fleet_plan_t *fleet_get_plan (const fleet_t *fleet);
unsigned fleet_count_members (const fleet_t *fleet, fleet_role_t role);
proc_t *fleet_get_process (const fleet_t *fleet, fleet_role_t role,
                           unsigned index);
proc_set_t *fleet_get_processes (const fleet_t *fleet);
unsigned fleet_get_zone (const fleet_t *fleet, fleet_role_t role,
                         unsigned index);

/* Return base URLs, to be freed with g_free.  FLEET_ROUTER gives the callers'
   port through the relay.  */
char *fleet_get_url (const fleet_t *fleet, fleet_role_t role, unsigned index);
/* Returns the URL of the callers' port without the relay.  */
char *fleet_get_direct_url (const fleet_t *fleet, unsigned router);
/* Returns the URL of the admin port of a router or an agent.  */
char *fleet_get_admin_url (const fleet_t *fleet, fleet_role_t role,
                           unsigned index);

/* Writes an object, conditional on its current version.  */
bool fleet_put_object (fleet_t *fleet, const char *kind, const char *name,
                       const char *spec, GError **error);
/* Sets the state of one instance in the platform's list: "live", "leaving", or
   NULL to leave it out.  STATE is not copied.  */
bool fleet_set_instance_state (fleet_t *fleet, fleet_role_t role,
                               unsigned index, const char *state,
                               GError **error);
unsigned fleet_get_region (const fleet_t *fleet, unsigned zone);

/* Cuts zones of different sides off from each other in both directions, or
   reconnects them.  SIDES has the side of each zone.  */
bool fleet_set_partition (fleet_t *fleet, const unsigned *sides,
                          bool partitioned);
/* Cuts the zones of SIDE off from the platform, or reconnects them.  */
bool fleet_set_platform_partition (fleet_t *fleet, const unsigned *sides,
                                   unsigned side, bool partitioned);
/* Sets the relay's MODE for a group.  */
bool fleet_set_relay_mode (fleet_t *fleet, const char *group,
                           const char *mode);
/* Sums a metric over all samples of one process; -1 when absent.  */
double fleet_sum_metric (const fleet_t *fleet, fleet_role_t role,
                         unsigned index, const char *name);

/* Starts a spare router, or a spare agent with its endpoint, and adds it to
   the platform's list of instances.  */
bool fleet_start_spare (fleet_t *fleet, fleet_role_t role, unsigned index,
                        GError **error);

#endif
