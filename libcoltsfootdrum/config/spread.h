/* Who reads the platform in a large fleet.  Pure.

   The platform's rates grow more slowly than the fleet, so its load must not
   grow with it.  Up to SPREAD_SMALL_FLEET_INSTANCES instances everyone
   watches.  In a larger fleet the first SPREAD_WATCHERS_PER_ROLE of each role
   by hash of the name watch, and the first in each zone, so that each zone has
   a watcher while the others are cut off.  All others learn from peers: each
   frame carries its sender's revision, and the age of what is known travels
   with each CONFIG_PART.  One that hears nothing asks peers first, then reads
   the platform itself.  */

#ifndef CONFIG_SPREAD_H
#define CONFIG_SPREAD_H

#include "base/clock.h"
#include "wire/msg.h"
#include <glib.h>

#define SPREAD_SMALL_FLEET_INSTANCES 32
#define SPREAD_WATCHERS_PER_ROLE 5
/* Without word for so long a process asks a peer each second ...  */
#define SPREAD_ASK_PEER_AFTER_MS 4000
/* ... and for so long reads the platform, at most at this interval.  */
#define SPREAD_READ_PLATFORM_AFTER_MS 8000
#define SPREAD_MIN_READ_INTERVAL_MS 4000
/* A process that knows of a newer revision, and was not given it by a peer for
   so long, reads the platform too.  */
#define SPREAD_MAX_BEHIND_MS 2000
/* Most reads a second by the whole fleet: of the list of instances, and of the
   configuration by processes that hear nothing.  In a fleet of 930 the latter
   is one each 9.3 s for each process, so that a change is in force within 12 s
   even where no peer tells of it.  */
#define SPREAD_MAX_FLEET_POLLS_PER_S 60
#define SPREAD_MAX_FLEET_READS_PER_S 100

typedef struct
{
  unsigned fleet; /* instances of all roles */
  unsigned rank;  /* among those of the own role, from 0 */
  bool is_first_in_zone;
} spread_position_t;

/* The place of SELF among INSTANCES, arrays of store_instance_t of all roles.
   An instance the list does not have yet gets rank 0: it watches.  */
void spread_find_position (const GPtrArray *routers, const GPtrArray *agents,
                           role_t role, const char *self,
                           spread_position_t *place);

/* Whether A goes before B by hash of the name.  */
bool spread_ranks_before (const char *a, const char *b);

bool spread_is_watcher (const spread_position_t *place);

/* Milliseconds between two reads of the list of instances.  */
unsigned spread_poll_interval_ms (const spread_position_t *place);

/* Least milliseconds between two reads of a process that hears nothing.  */
unsigned spread_read_interval_ms (const spread_position_t *place);

typedef enum
{
  SPREAD_WAIT,
  SPREAD_ASK_PEER,     /* a peer */
  SPREAD_READ_PLATFORM /* the platform, and ask a peer */
} spread_action_t;

/* What a process that does not watch does now, when the newest word is AGE_MS
   old and it last read the platform at LAST_READ.  */
spread_action_t spread_choose_action (const spread_position_t *place,
                                      uint32_t age_ms, cfd_time_t last_read,
                                      cfd_time_t now);

#endif
