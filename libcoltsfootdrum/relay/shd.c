/* Load shedding: additive increase and multiplicative decrease of the admitted
   share.  */

#include "relay/shd.h"

#include <glib.h>

/* Lateness that callers hardly notice: a part of the pause that they allow
   between the events of a stream.  */
#define MAX_LATE_MS 100
/* A late loop that is less busy than this catches up by itself.  */
#define MIN_BUSY 0.9
/* A single late tick is no overload: a list was read, or the process was
   paused.  */
#define MIN_OVERLOAD_MS 100
/* The share that is always admitted shows when the overload is over.  */
#define MIN_ADMITTED 0.05
/* Smallest factor of one decrease.  */
#define MIN_DECREASE 0.5
/* Time in which the share rises from 0 to 1.  */
#define RECOVERY_MS 4000.

void
shd_init (shd_t *shd, cfd_time_t now)
{
  *shd = (shd_t){ .admitted = 1.,
                  .updated_at = now,
                  .late_since = CFD_TIME_NEVER };
}

void
shd_update (shd_t *shd, cfd_time_t now, int64_t late_ms, double busy)
{
  int64_t elapsed_ms = now - shd->updated_at;

  shd->updated_at = now;
  if (late_ms <= MAX_LATE_MS || busy < MIN_BUSY)
    {
      shd->late_since = CFD_TIME_NEVER;
      shd->admitted
          = MIN (shd->admitted + (double)elapsed_ms / RECOVERY_MS, 1.);
      return;
    }
  if (shd->late_since == CFD_TIME_NEVER)
    shd->late_since = now;
  if (now - shd->late_since < MIN_OVERLOAD_MS)
    return;
  shd->admitted *= MAX ((double)MAX_LATE_MS / (double)late_ms, MIN_DECREASE);
  shd->admitted = MAX (shd->admitted, MIN_ADMITTED);
}

bool
shd_admits (const shd_t *shd, double draw)
{
  return draw < shd->admitted;
}
