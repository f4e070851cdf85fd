#include "share/level.h"

#include "share/share.h"

#include <math.h>

void
level_take_floor (level_t *level, double floor, cfd_time_t now)
{
  if (!isfinite (floor)
      || (floor < level->floor
          && now - level->heard <= SHARE_FLOOR_MAX_AGE_MS))
    return;
  level->floor = floor;
  level->heard = now;
}

void
level_take_step (level_t *level, double step, cfd_time_t now)
{
  level_step_t *steps = &level->step;

  if (now - steps->span_start > SHARE_HOME_EXPIRY_MS)
    {
      steps->past = steps->present;
      steps->present = 0;
      steps->span_start = now;
    }
  steps->present = fmax (steps->present, step);
}

/* Below a few of the largest charges the window would forgive work in the
   usual order: an account whose requests are greater than the window would get
   more than its share all the time.  */
double
level_window (const level_t *level)
{
  double step = fmax (level->step.present, level->step.past);

  return fmin (fmax (SHARE_WINDOW_CHARGES * step, SHARE_WINDOW_MIN_TOKENS),
               SHARE_WINDOW_MAX_TOKENS);
}
