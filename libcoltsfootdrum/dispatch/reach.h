/* Reachability.  A router's suspicion that an agent cannot be reached.  A
   suspect agent is still sent announcements, which makes its link be dialled,
   but does not count towards the agents to notify: others are notified in its
   place.  It counts again once its link is up or responds.  Does no I/O;
   callers pass the current time.  */

#ifndef DISPATCH_REACH_H
#define DISPATCH_REACH_H

#include "base/clock.h"
#include <stdbool.h>

/* The longest that dialling a link takes, also between regions.  */
#define REACH_DIAL_TIMEOUT_MS 500

typedef struct
{
  cfd_time_t suspect_since; /* CFD_TIME_NEVER: not suspect; may lie ahead */
} reach_t;

/* The state of an agent that is not suspect.  */
extern const reach_t reach_initial;

/* The result of sending an announcement to an agent.  */
typedef enum
{
  REACH_SENT,
  REACH_DIALLING,    /* not sent: there is no link, and it is being dialled */
  REACH_UNRESPONSIVE /* sent on a link whose peer answers no heartbeat */
} reach_result_t;

/* Records that the agent's link was lost while it was in use.  */
void reach_record_link_lost (reach_t *reach, cfd_time_t now);
/* Records the result of a send; a link being dialled makes the agent suspect
   after REACH_DIAL_TIMEOUT_MS.  */
void reach_record_send (reach_t *reach, reach_result_t result, cfd_time_t now);
bool reach_is_suspect (const reach_t *reach, cfd_time_t now);

#endif
