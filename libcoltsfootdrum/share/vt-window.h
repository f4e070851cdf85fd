/* Where the accounts of one service are, as a home hears it: the floor, and
   how far apart accounts may be.  Pure: time is an argument.  */

#ifndef SHARE_VT_WINDOW_H
#define SHARE_VT_WINDOW_H

#include "base/clock.h"

/* The greatest max_charge of the current and the last span.  */
typedef struct
{
  double current;
  double previous;
  cfd_time_t current_since;
} recent_charge_t;

typedef struct
{
  double floor; /* the greatest lately reported: routers that hear few agents
                   lag behind it */
  cfd_time_t floor_updated;
  recent_charge_t max_charge;
} vt_window_t;

/* A report's floor; one that isn't finite tells nothing.  */
void vt_window_update_floor (vt_window_t *window, double floor,
                             cfd_time_t now);
/* What a report of a writer in steady hearing added.  */
void vt_window_record_charge (vt_window_t *window, double max_charge,
                              cfd_time_t now);
/* Weighted tokens by which an account may be off the floor.  */
double vt_window_tokens (const vt_window_t *window);

#endif
