/* Witnesses: routers that let an agent detect a network partition while the
   platform is unreachable.  Pure functions without I/O.

   An agent can't open connections and is linked only to routers that have work
   for it.  If these are all in its own zone and that zone is partitioned, the
   agent can't tell its links from those of the whole fleet, and would go on
   working in a zone that was taken out of service.  So for each agent
   WITNESS_PER_ZONE routers of each zone, chosen by hash from the platform's
   last list, connect to it while they can't reach the platform either.  An
   agent that is then linked to routers of fewer than half of the zones is
   partitioned.  A zone whose routers merely have no work still counts, because
   its witnesses connect; there are two of them in case one is dead.  */

#ifndef CONFIG_WITNESS_H
#define CONFIG_WITNESS_H

#include <glib.h>
#include <stdbool.h>

#define WITNESS_PER_ZONE 2u

/* Returns whether the router SELF is a witness for AGENT; ROUTERS is an array
   of store_instance_t.  */
bool witness_is_selected (const GPtrArray *routers, const char *self,
                          const char *agent);
/* Counts the zones that have a router in ROUTERS which isn't leaving.  */
unsigned witness_count_zones (const GPtrArray *routers);

#endif
