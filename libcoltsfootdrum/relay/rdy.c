/* Readiness: by load, with hysteresis.  */

#include "relay/rdy.h"

#include <glib.h>
#include <math.h>

/* An overload of this time is not a short burst.  */
#define MIN_OVERLOAD_MS 1000
/* The instance is not ready for MIN_HOLD_MS, and for twice as long each time
   that it is overloaded again within RELAPSE_MS of becoming ready.  The same
   clients return when it is ready, and the platform takes some seconds to send
   them elsewhere; these seconds should be a small part of the time.  */
#define MIN_HOLD_MS 10000
#define MAX_HOLD_MS 80000
#define RELAPSE_MS 20000
/* The instance becomes ready again when it works for this share of the time or
   less.  */
#define MAX_READY_BUSY 0.6
#define SMOOTHING_MS 200.
/* A late loop that is less busy than this catches up by itself.  */
#define MIN_LATE_BUSY 0.9

void
rdy_init (rdy_t *rdy)
{
  *rdy = (rdy_t){ .overloaded_since = CFD_TIME_NEVER };
}

static void
set_not_ready (rdy_t *rdy, cfd_time_t now)
{
  bool relapsed = rdy->hold_ms > 0 && now - rdy->ready_since <= RELAPSE_MS;

  rdy->hold_ms = relapsed ? MIN (2 * rdy->hold_ms, MAX_HOLD_MS) : MIN_HOLD_MS;
  rdy->not_ready = true;
  rdy->not_ready_until = now + rdy->hold_ms;
}

void
rdy_update (rdy_t *rdy, cfd_time_t now, const rdy_sample_t *sample)
{
  double span_ms = sample->busy_ms + sample->idle_ms;
  bool is_overloaded;

  if (span_ms > 0.)
    rdy->busy += (sample->busy_ms / span_ms - rdy->busy)
                 * (1. - exp (-span_ms / SMOOTHING_MS));
  is_overloaded
      = sample->backlogged || (sample->is_late && rdy->busy > MIN_LATE_BUSY);
  if (!is_overloaded)
    rdy->overloaded_since = CFD_TIME_NEVER;
  else if (rdy->overloaded_since == CFD_TIME_NEVER)
    rdy->overloaded_since = now;
  else if (!rdy->not_ready && now - rdy->overloaded_since >= MIN_OVERLOAD_MS)
    set_not_ready (rdy, now);
  if (!rdy->not_ready || now < rdy->not_ready_until || is_overloaded
      || rdy->busy > MAX_READY_BUSY)
    return;
  rdy->not_ready = false;
  rdy->ready_since = now;
}

bool
rdy_is_ready (const rdy_t *rdy)
{
  return !rdy->not_ready;
}
