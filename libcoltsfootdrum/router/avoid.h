/* Avoidance.  The agents that failed one request.  Without I/O.

   An endpoint that fails at once is the first to be free again, and the
   request that it failed is back at the front of its queue: without this list
   the same agent would get it repeatedly, and the caller would see a failure
   although others serve.  For AVOID_AGENT_MS the request waits for any other
   agent; after that only for one that takes work, so that a request whose
   other agents turn out to be lost too does not keep waiting for them.  */

#ifndef ROUTER_AVOID_H
#define ROUTER_AVOID_H

#include "base/clock.h"
#include <stdbool.h>

/* Longer than an agent needs to eject its endpoint; short compared to the time
   in the queue.  */
#define AVOID_AGENT_MS 3000
/* A request has fewer attempts than this, except for those that never reached
   an endpoint; when the list is full, the oldest entry is replaced.  */
#define AVOID_MAX_AGENTS 4u

typedef struct
{
  char *agent;
  cfd_time_t until;
} avoid_entry_t;

/* To be initialised with zeros.  */
typedef struct
{
  avoid_entry_t entries[AVOID_MAX_AGENTS];
  unsigned next;
} avoid_t;

void avoid_add (avoid_t *avoid, const char *agent, cfd_time_t now);
/* Returns whether AGENT failed the request, however long ago.  */
bool avoid_has_failed (const avoid_t *avoid, const char *agent);
/* Returns whether AGENT failed the request within AVOID_AGENT_MS.  */
bool avoid_contains (const avoid_t *avoid, const char *agent, cfd_time_t now);
void avoid_clear (avoid_t *avoid);

#endif
