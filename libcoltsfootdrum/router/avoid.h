/* The agents that lately failed one request.  Pure.

   An endpoint that fails at once is the first to be free again, and the
   request it failed is back at the front of its queue: without a memory the
   same agent gets it time after time, and the caller sees a failure while
   others serve.  The memory lapses, so that a request whose other agents turn
   out to be gone too is not kept waiting for them.  */

#ifndef ROUTER_AVOID_H
#define ROUTER_AVOID_H

#include "base/clock.h"
#include <stdbool.h>

/* Longer than an agent needs to eject its endpoint, and than a full endpoint
   elsewhere needs for a free slot; short against the time in the queue.  */
#define AVOID_AGENT_MS 3000
/* A request has fewer attempts than this, but for those that never reached
   an endpoint; then the oldest is forgotten.  */
#define AVOID_MAX_AGENTS 4u

typedef struct
{
  char *agent;
  cfd_time_t until;
} avoid_entry_t;

/* All zero to begin with.  */
typedef struct
{
  avoid_entry_t entries[AVOID_MAX_AGENTS];
  unsigned next;
} avoid_t;

void avoid_add (avoid_t *avoid, const char *agent, cfd_time_t now);
bool avoid_contains (const avoid_t *avoid, const char *agent, cfd_time_t now);
void avoid_clear (avoid_t *avoid);

#endif
