/* What one agent believes of one account's work at a router, by the router's
   reckoning: agents carry a virtual time forward by the tokens_per_ms, so that
   a waiting needs to be repeated only where that went wrong.  Pure.  */

#ifndef DISPATCH_VIEW_H
#define DISPATCH_VIEW_H

#include "base/clock.h"
#include "wire/msg.h"

/* An account may be so far behind what an agent believes, in time at the
   tokens_per_ms.  */
#define VIEW_MAX_LAG_MS 150

/* Starts as all zeros.  */
typedef struct
{
  cfd_time_t updated; /* the newest waiting on it; 0 before the first */
  double virtual_time;
  bool has_work; /* by that waiting, work has_work */
} view_t;

/* May believe anything.  */
extern const view_t view_unknown;

void view_update (view_t *view, const msg_waiting_t *waiting, cfd_time_t now);

/* Whether VIRTUAL_TIME is so far behind what the agent believes that it would
   pass the account over.  One that is ahead is not updated: its next grant is
   declined with the new value, a frame in place of one to each agent.  */
bool view_is_behind (const view_t *view, double virtual_time,
                     double tokens_per_ms, cfd_time_t now);

/* Whether the agent must hear WORD: it doesn't know of it, believes it served
   when it isn't, or forgets it unless it hears of it by REFRESH_MS.  */
bool view_needs_update (const view_t *view, const msg_waiting_t *waiting,
                        double tokens_per_ms, cfd_time_t refresh_ms,
                        cfd_time_t now);

#endif
