/* What the parts of the fleet harness share.  */

#ifndef TESTS_FLEET_PRIVATE_H
#define TESTS_FLEET_PRIVATE_H

#include "fleet.h"

/* Ports on the fleet's addresses; a zone's view of a peer port is at the view
   port plus the zone's number.  All are below the range from which the system
   takes the ports of outgoing connections.  */
enum
{
  PORT_LOCK = 6000,
  PORT_PLATFORM = 7000,
  PORT_PLATFORM_VIEW = 7050,
  PORT_RELAY = 7100,
  PORT_CALLERS = 8080,
  PORT_CALLERS_RELAYED = 8081,
  PORT_ROUTER_PEER = 7400,
  PORT_ROUTER_ADMIN = 7500,
  PORT_AGENT_PEER = 7401,
  PORT_AGENT_ADMIN = 7501,
  PORT_ENDPOINT = 9000,
  PORT_ROUTER_VIEW = 21000,
  PORT_AGENT_VIEW = 22000
};

struct fleet
{
  fleet_plan_t plan;
  proc_set_t *procs;
  char *build;
  char *net; /* "127.x.y" */
  int lock;  /* socket that keeps the addresses ours */
  GPtrArray *sorts[FLEET_ROLE_COUNT];
  /* What the platform's list says of each router and agent; NULL: nothing.  */
  const char *listed[FLEET_ROLE_COUNT][FLEET_MAX_MEMBERS];
};

/* "127.x.y.N:PORT" of the member INDEX.  */
char *fleet_format_address (const fleet_t *fleet, unsigned index,
                            unsigned port);
char *fleet_format_url (const fleet_t *fleet, unsigned index, unsigned port);
bool fleet_is_plain_endpoint (const fleet_t *fleet, unsigned index);
bool fleet_put_endpoint (fleet_t *fleet, unsigned index, GError **error);
bool fleet_put_records (fleet_t *fleet, GError **error);
/* Gives the platform the list of instances.  */
bool fleet_publish_instances (fleet_t *fleet, GError **error);

#endif
