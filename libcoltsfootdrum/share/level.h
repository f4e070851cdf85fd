/* Where the accounts of one service are, as a home hears it: the floor, and
   how far apart accounts may be.  Pure: time is an argument.  */

#ifndef SHARE_LEVEL_H
#define SHARE_LEVEL_H

#include "base/clock.h"

/* The greatest step of the present and the last span.  */
typedef struct
{
  double present;
  double past;
  cfd_time_t span_start;
} level_step_t;

typedef struct
{
  double floor; /* the greatest lately reported: routers that hear few agents
                   lag behind it */
  cfd_time_t heard;
  level_step_t step;
} level_t;

/* A report's floor; one that isn't finite tells nothing.  */
void level_take_floor (level_t *level, double floor, cfd_time_t now);
/* What a report of a writer in steady hearing added.  */
void level_take_step (level_t *level, double step, cfd_time_t now);
/* Weighted tokens by which an account may be off the floor.  */
double level_window (const level_t *level);

#endif
