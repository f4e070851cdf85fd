/* Which routers this agent knows, and which of them it hears.  Pure.

   Heard are those whose link is up: while the platform is out of reach the
   agent holds all its links, and a held link that is has_timed_out is closed
   in PEER_SILENCE_TIMEOUT_MS.  Known are these and the ones lost by silence; a
   router that closed its link itself went of its own accord (idle, restarted,
   shut down) and is forgotten.  Lost ones are forgotten after
   LINKS_LOST_RETENTION_MS, but never while the platform is out of reach: else
   an island would in time take itself for the whole fleet.  */

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
/* Zones of the routers whose link is up.  */
unsigned links_count_zones (const links_t *links);
/* Calls VISIT for each router whose link is up.  */
void links_for_each_up (const links_t *links,
                        void (*visit) (void *user, const char *router),
                        void *user);
/* One of the routers whose link is up, another for each NTH; or NULL.  */
const char *links_get_nth_up (const links_t *links, unsigned nth);

#endif
