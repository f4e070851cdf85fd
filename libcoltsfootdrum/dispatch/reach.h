/* Whether a router has reason to think that an agent can't be reached.  An
   agent in doubt is still told of work, which makes its link be dialled, but
   the word doesn't count: others are told in its place.  That is its
   probation.  Once its link is up, or answers again, it counts.  Pure.  */

#ifndef DISPATCH_REACH_H
#define DISPATCH_REACH_H

#include "base/clock.h"
#include <stdbool.h>

/* A link that is dialled takes so long at the most, between regions too.  */
#define REACH_DIAL_MS 500

typedef struct
{
  cfd_time_t doubted; /* from then on; CFD_TIME_NEVER without a reason */
} reach_t;

/* Nothing speaks against the agent.  */
extern const reach_t reach_fresh;

/* What became of a word to an agent.  */
typedef enum
{
  REACH_SENT,
  REACH_DIALLING,    /* not sent: there is no link, and it is dialled now */
  REACH_UNRESPONSIVE /* sent on a link whose other side answers no heartbeat */
} reach_result_t;

/* The agent's link was lost while it was in use.  */
void reach_lost (reach_t *reach, cfd_time_t now);
void reach_told (reach_t *reach, reach_result_t word, cfd_time_t now);
bool reach_is_doubted (const reach_t *reach, cfd_time_t now);

#endif
