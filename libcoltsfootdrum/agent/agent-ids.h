/* Request ids that this agent started or refused, so that no request is
   started twice, and none after the agent reported that it will not be
   started.  Pure.  An id is removed IDS_RETENTION_MS after its last update,
   far longer than a grant or a router's resume window lasts.  When there are
   more than IDS_MAX_COUNT ids, the oldest one is removed.  */

#ifndef AGENT_AGENT_IDS_H
#define AGENT_AGENT_IDS_H

#include "base/clock.h"
#include <glib.h>

#define IDS_RETENTION_MS (10 * 60 * 1000)
#define IDS_MAX_COUNT 65536u

typedef enum
{
  IDS_NEW,
  IDS_STARTED,
  IDS_REFUSED /* not started, and never will be */
} ids_state_t;

typedef struct ids ids_t;

ids_t *ids_new (void);
void ids_free (ids_t *ids);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (ids_t, ids_free)

ids_state_t ids_get_state (const ids_t *ids, const char *request);
void ids_set_state (ids_t *ids, const char *request, ids_state_t state,
                    cfd_time_t now);
void ids_remove (ids_t *ids, const char *request);
void ids_expire (ids_t *ids, cfd_time_t now);

#endif
