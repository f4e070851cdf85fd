#include "share/vt-window.h"

#include "share/share.h"

#include <math.h>

void
vt_window_update_floor (vt_window_t *window, double floor, cfd_time_t now)
{
  if (!isfinite (floor)
      || (floor < window->floor
          && now - window->floor_updated <= SHARE_FLOOR_MAX_AGE_MS))
    return;
  window->floor = floor;
  window->floor_updated = now;
}

void
vt_window_record_charge (vt_window_t *window, double charge, cfd_time_t now)
{
  recent_charge_t *recent = &window->max_charge;

  if (now - recent->current_since > SHARE_HOME_EXPIRY_MS)
    {
      recent->previous = recent->current;
      recent->current = 0;
      recent->current_since = now;
    }
  recent->current = fmax (recent->current, charge);
}

/* The window must not be smaller than a few of the largest charges: otherwise
   it would write off charges of normal operation, and an account whose
   requests cost more than the window would always get more than its share.  */
double
vt_window_tokens (const vt_window_t *window)
{
  double max_charge
      = fmax (window->max_charge.current, window->max_charge.previous);

  return fmin (
      fmax (SHARE_WINDOW_CHARGES * max_charge, SHARE_WINDOW_MIN_TOKENS),
      SHARE_WINDOW_MAX_TOKENS);
}
