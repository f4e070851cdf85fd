/* A fleet of real processes with stand-ins for the outside, on its own
   addresses in 127.0.0.0/8, so that fleets run side by side.

   Zones are "zone-0"..., routers "router-0"..., agents "agent-0"...; agent I
   serves the endpoint "endpoint-I": first those of the model service "draft",
   then those of the plain service "register".  Member I of each sort is in
   zone I modulo the number of zones.  Traffic between zones, to the platform
   and from callers goes through the relay, in the groups "zone-A>zone-B",
   "zone-A>platform" and "callers".  */

#ifndef TESTS_FLEET_H
#define TESTS_FLEET_H

#include "proc.h"
#include <stdint.h>

#define FLEET_MODEL_SERVICE "draft"
#define FLEET_PLAIN_SERVICE "register"
/* Programs of the build, and those that know schema 1 only.  */
#define FLEET_OLD_ROUTER "tests/old-cfd-router"
#define FLEET_OLD_AGENT "tests/old-cfd-agent"
#define FLEET_NEW_ROUTER "cli/cfd-router"
#define FLEET_NEW_AGENT "cli/cfd-agent"
#define FLEET_SECRET "secret-of-a-test-fleet"
/* The last octet of an address numbers the members of a sort.  */
#define FLEET_MAX_MEMBERS 250
/* Requests that an account may have waiting at one router.  */
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
  unsigned models; /* endpoints */
  unsigned plains;
  unsigned slots;
  unsigned slots_cold;
  unsigned plain_slots;
  unsigned cold_ms;
  double step_ms;       /* token interval of an engine with one request */
  double plain_call_ms; /* time of a plain call */
  double zone_ms;       /* one way between zones */
  unsigned regions;     /* of equally many zones each; 0 is one */
  double region_ms;     /* one way between zones of two regions */
  double caller_ms;     /* one way to the callers */
  uint64_t seed;        /* of the engines' answers */
  const char *policy;
  const char *log_level; /* NULL: info */
  bool log_json;
  unsigned spare_routers; /* planned, and started by fleet_start_spare alone */
  unsigned spare_models;
  bool old_routers; /* programs that know schema 1 only */
  bool old_agents;
  bool old_records; /* of schema 1 */
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

/* Starts everything and waits until routers and agents are ready.  */
fleet_t *fleet_new (const fleet_plan_t *plan, GError **error);
/* Ends everything; KEEP leaves the logs and prints where they are.  */
void fleet_free (fleet_t *fleet, bool keep);

const fleet_plan_t *fleet_get_plan (const fleet_t *fleet);
unsigned fleet_count_members (const fleet_t *fleet, fleet_role_t sort);
proc_t *fleet_get_process (const fleet_t *fleet, fleet_role_t sort,
                           unsigned index);
proc_set_t *fleet_get_processes (const fleet_t *fleet);
unsigned fleet_get_zone (const fleet_t *fleet, fleet_role_t sort,
                         unsigned index);

/* Base URLs; free with g_free.  FLEET_ROUTER is the callers' port, through
   the relay.  */
char *fleet_get_url (const fleet_t *fleet, fleet_role_t sort, unsigned index);
/* Callers' port without the relay.  */
char *fleet_get_direct_url (const fleet_t *fleet, unsigned router);
/* Admin port of a router or an agent.  */
char *fleet_get_admin_url (const fleet_t *fleet, fleet_role_t sort,
                           unsigned index);

/* Writes an object with a conditional update on what is there now.  */
bool fleet_put_object (fleet_t *fleet, const char *kind, const char *name,
                       const char *spec, GError **error);
/* Tells the platform's list of instances what it shows of one: "live",
   "leaving", or NULL for nothing.  STATE is not copied.  */
bool fleet_set_instance_state (fleet_t *fleet, fleet_role_t sort,
                               unsigned index, const char *state,
                               GError **error);
unsigned fleet_get_region (const fleet_t *fleet, unsigned zone);

/* Cuts the zones of different sides off from each other, both ways, or joins
   them again.  SIDES has a number for each zone.  */
bool fleet_set_partition (fleet_t *fleet, const unsigned *sides, bool apart);
/* Cuts the zones of SIDE off from the platform, or joins them again.  */
bool fleet_set_platform_partition (fleet_t *fleet, const unsigned *sides,
                                   unsigned side, bool apart);
/* Sets MODE for a group of the relay.  */
bool fleet_set_relay_mode (fleet_t *fleet, const char *group,
                           const char *mode);
/* Adds up a metric over the samples of one process; -1 when absent.  */
double fleet_sum_metric (const fleet_t *fleet, fleet_role_t sort,
                         unsigned index, const char *name);

/* Starts a spare router, or a spare agent with its endpoint, and lists it.  */
bool fleet_start_spare (fleet_t *fleet, fleet_role_t sort, unsigned index,
                        GError **error);

#endif
