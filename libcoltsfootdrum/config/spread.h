/* Selection of the processes that watch the platform in a large fleet.  Pure
   functions without I/O.

   The platform's rate limits grow more slowly than the fleet, so its load must
   not grow with the fleet.  In a fleet of up to SPREAD_SMALL_FLEET_INSTANCES
   instances every process watches.  In a larger one the watchers are the first
   SPREAD_WATCHERS_PER_ROLE instances of each role by the hash of their name,
   and the first in each zone, so that a zone still has a watcher when it is
   partitioned from the others.  All other processes get changes from peers:
   each frame carries its sender's revision, and each CONFIG_PART the age of
   the sender's configuration.  A process that gets no update asks peers first,
   then reads the platform itself.  */

#ifndef CONFIG_SPREAD_H
#define CONFIG_SPREAD_H

#include "base/clock.h"
#include "wire/msg.h"
#include <glib.h>

#define SPREAD_SMALL_FLEET_INSTANCES 32
#define SPREAD_WATCHERS_PER_ROLE 5
/* A process whose configuration is older than this asks a peer every second.
 */
#define SPREAD_ASK_PEER_AFTER_MS 4000
/* One whose configuration is older than this reads the platform, at most once
   in SPREAD_MIN_READ_INTERVAL_MS.  */
#define SPREAD_READ_PLATFORM_AFTER_MS 8000
#define SPREAD_MIN_READ_INTERVAL_MS 4000
/* A process that has known of a newer revision for this long without getting
   it from a peer reads the platform too.  */
#define SPREAD_MAX_BEHIND_MS 2000
/* Limits for the whole fleet: reads per second of the list of instances, and
   of the configuration by processes that get no update from peers.  In a fleet
   of 930 the latter allows one read per process every 9.3 s, so that a change
   is in force within 12 s even if no peer sends it.  */
#define SPREAD_MAX_FLEET_POLLS_PER_S 60
#define SPREAD_MAX_FLEET_READS_PER_S 100

typedef struct
{
  unsigned instance_count; /* instances of all roles */
  unsigned rank;           /* among the instances of the own role, from 0 */
  bool is_first_in_zone;
} spread_position_t;

/* Sets POSITION to that of SELF in the fleet.  ROUTERS and AGENTS are arrays
   of store_instance_t.  An instance that is not listed yet gets rank 0 and so
   is a watcher.  */
void spread_find_position (const GPtrArray *routers, const GPtrArray *agents,
                           role_t role, const char *self,
                           spread_position_t *position);

/* Returns whether instance A ranks before B by the hash of their names.  */
bool spread_ranks_before (const char *a, const char *b);

bool spread_is_watcher (const spread_position_t *position);

/* Returns the interval between two reads of the list of instances.  */
unsigned spread_poll_interval_ms (const spread_position_t *position);

/* Returns the shortest interval between two reads of the configuration by a
   process that gets no update from peers.  */
unsigned spread_read_interval_ms (const spread_position_t *position);

typedef enum
{
  SPREAD_WAIT,
  SPREAD_ASK_PEER,
  SPREAD_READ_PLATFORM /* and ask a peer as well */
} spread_action_t;

/* Returns the action due for a process that is no watcher, whose configuration
   is AGE_MS old and which last read the platform at LAST_READ.  */
spread_action_t spread_choose_action (const spread_position_t *position,
                                      uint32_t age_ms, cfd_time_t last_read,
                                      cfd_time_t now);

#endif
