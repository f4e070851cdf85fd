/* Readiness by load, with hysteresis.  */

#include "relay/rdy.h"

#include <glib.h>
#include <math.h>

/* Connections that are left waiting for so long are no passing burst.  */
#define OUT_AFTER_MS 1000
/* Not ready for the first span, and for twice as long each time that the load
   is too high again soon after.  The same callers come back with it, and the
   platform takes some seconds to send them elsewhere: these are to be a small
   part of the time.  */
#define HOLD_FIRST_MS 10000
#define HOLD_MOST_MS 80000
#define SOON_MS 20000
/* It is ready again below this share of time with work.  */
#define BUSY_BACK 0.6
#define SMOOTH_MS 200.

void
rdy_init (rdy_t *rdy)
{
  *rdy = (rdy_t){ .since = CFD_TIME_NEVER };
}

static void
go_out (rdy_t *rdy, cfd_time_t now)
{
  bool again = rdy->hold_ms > 0 && now - rdy->came_back <= SOON_MS;

  rdy->hold_ms = again ? MIN (2 * rdy->hold_ms, HOLD_MOST_MS) : HOLD_FIRST_MS;
  rdy->out = true;
  rdy->out_until = now + rdy->hold_ms;
}

void
rdy_update (rdy_t *rdy, cfd_time_t now, const rdy_sample_t *seen)
{
  double span_ms = seen->busy_ms + seen->idle_ms;

  if (span_ms > 0.)
    rdy->busy += (seen->busy_ms / span_ms - rdy->busy)
                 * (1. - exp (-span_ms / SMOOTH_MS));
  if (!seen->backlogged)
    rdy->since = CFD_TIME_NEVER;
  else if (rdy->since == CFD_TIME_NEVER)
    rdy->since = now;
  else if (!rdy->out && now - rdy->since >= OUT_AFTER_MS)
    go_out (rdy, now);
  if (!rdy->out || now < rdy->out_until || seen->backlogged
      || rdy->busy > BUSY_BACK)
    return;
  rdy->out = false;
  rdy->came_back = now;
}

bool
rdy_is_ready (const rdy_t *rdy)
{
  return !rdy->out;
}
