/* Who shows an agent that it isn't cut off while the platform is out of reach.
   Pure.

   An agent can't dial, and hears only routers that have work for it.  When
   these are all in its own zone, and that zone is cut off, what it hears looks
   like the whole fleet: it would go on with work in a zone that was taken out.
   So each zone has WITNESS_PER_ZONE routers for each agent, chosen by hash
   from the platform's last list, which link to it while they miss the platform
   too. An agent that then hears routers of fewer than half of the zones is in
   an island.  Routers of another zone that only has no work are not missed,
   for its witnesses call; of two witnesses one may be dead.  */

#ifndef CONFIG_WITNESS_H
#define CONFIG_WITNESS_H

#include <glib.h>
#include <stdbool.h>

#define WITNESS_PER_ZONE 2u

/* Whether the router SELF is a witness for AGENT; ROUTERS is an array of
   store_instance_t.  */
bool witness_is_selected (const GPtrArray *routers, const char *self,
                          const char *agent);
/* Zones of ROUTERS that have a router which isn't leaving.  */
unsigned witness_count_zones (const GPtrArray *routers);

#endif
