/* Virtual time window.  For one service at a home router: the floor, and how
   far the virtual time of an account may be from it.  Does no I/O; callers
   pass the current time.  */

#ifndef SHARE_VT_WINDOW_H
#define SHARE_VT_WINDOW_H

#include "base/clock.h"

/* The greatest charge in the current and the previous time span.  */
typedef struct
{
  double current;
  double previous;
  cfd_time_t current_since;
} recent_charge_t;

/* Zero-initialized before the first report.  */
typedef struct
{
  /* The greatest floor reported recently: routers that receive grants from few
     agents lag behind it.  */
  double floor;
  cfd_time_t floor_updated;
  recent_charge_t max_charge;
} vt_window_t;

/* Applies the floor of a report; ignores one that is not finite.  */
void vt_window_update_floor (vt_window_t *window, double floor,
                             cfd_time_t now);
/* Records the weighted tokens that a regular report added.  */
void vt_window_record_charge (vt_window_t *window, double charge,
                              cfd_time_t now);
/* Returns the weighted tokens by which an account may be off the floor.  */
double vt_window_tokens (const vt_window_t *window);

#endif
