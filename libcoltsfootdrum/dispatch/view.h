/* Agent view.  A router's estimate of what one agent knows about the waiting
   work of one client account.  Agents extrapolate an announced virtual time
   at the rate in vt-rate.h, so an update is needed only where that estimate
   has gone wrong.  Does no I/O; callers pass the current time.  */

#ifndef DISPATCH_VIEW_H
#define DISPATCH_VIEW_H

#include "base/clock.h"
#include "wire/msg.h"

/* How far an account's virtual time may lag behind the agent's estimate,
   expressed as time at the current rate.  */
#define VIEW_MAX_LAG_MS 150

/* Zero-initialized before the first update.  */
typedef struct
{
  cfd_time_t updated; /* time of the newest update; 0 before the first */
  double virtual_time;
  bool has_work; /* according to that update */
} view_t;

/* The view of an agent that may hold any stale state: it always needs an
   update.  */
extern const view_t view_unknown;

void view_update (view_t *view, const msg_waiting_t *waiting, cfd_time_t now);

/* Returns whether VIRTUAL_TIME lags so far behind the agent's estimate that
   the agent would pass over the account.  An account ahead of the estimate
   needs no update: the agent's next grant for it is declined with the new
   value, which costs one frame instead of one to each agent.  */
bool view_is_behind (const view_t *view, double virtual_time,
                     double tokens_per_ms, cfd_time_t now);

/* Returns whether the agent must be sent WAITING: it does not know of the
   work, still lists work that is gone, would pass over the account, or was
   last updated REFRESH_MS ago and will let the entry expire.  */
bool view_needs_update (const view_t *view, const msg_waiting_t *waiting,
                        double tokens_per_ms, cfd_time_t refresh_ms,
                        cfd_time_t now);

#endif
