/* Router links: which routers this agent knows, and which of them are
   connected.  Pure.

   A router is connected while its link is up.  While the platform is
   unreachable the agent holds all its links, and a held link that is silent is
   closed after PEER_SILENCE_TIMEOUT_MS.  The known routers are the connected
   ones and those whose link timed out.  A router that closed its link itself
   (idle, restarted or shut down) is removed.  A router whose link timed out is
   removed after LINKS_LOST_RETENTION_MS, but never while the platform is
   unreachable; otherwise an agent in a network partition would in time take
   the routers in it for the whole fleet.  */

#ifndef AGENT_AGENT_LINKS_H
#define AGENT_AGENT_LINKS_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>

#define LINKS_LOST_RETENTION_MS 60000

typedef struct links links_t;

links_t *links_new (void);
void links_free (links_t *links);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (links_t, links_free)

void links_set_up (links_t *links, const char *router, const char *zone);
void links_set_down (links_t *links, const char *router, bool has_timed_out,
                     cfd_time_t now);
void links_expire (links_t *links, bool is_platform_up, cfd_time_t now);
void links_get_counts (const links_t *links, unsigned *known_count,
                       unsigned *up_count);
/* Number of zones with a connected router.  */
unsigned links_count_zones (const links_t *links);
/* Calls VISIT for each connected router.  */
void links_for_each_up (const links_t *links,
                        void (*visit) (void *user, const char *router),
                        void *user);
/* The connected router number NTH, modulo their count; NULL when there is
   none.  */
const char *links_get_nth_up (const links_t *links, unsigned nth);

#endif
