/* Clocks: boot time, wall time and hybrid logical time.  Functions that make
   decisions take the current time as an argument; only event loop callbacks
   read a clock.

   cfd_time_t is milliseconds of CLOCK_BOOTTIME.  It doesn't jump when the wall
   clock is set, and it advances while the machine is suspended, so that a
   lease can't outlive a suspension.  Wall time is used for display only.  */

#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

typedef int64_t cfd_time_t;

#define CFD_TIME_NEVER INT64_MAX

/* Returns the milliseconds since boot, read from the system at each call.  */
cfd_time_t clock_now (void);

/* Returns the microseconds since boot, for measuring short durations.  */
int64_t clock_now_us (void);

/* Returns the wall time in milliseconds since 1970, for display only.  */
int64_t clock_wall_ms (void);

/* Replaces the system's wall clock by SOURCE, for tests in which the clock
   jumps; NULL restores the system's.  */
void clock_set_wall_source (int64_t (*source) (void));

/* A hybrid logical clock.  The upper 48 bits of a stamp are wall milliseconds,
   the lower 16 an event counter.  Each event's stamp is greater than those of
   its causes, however far the machines' wall clocks differ.  */
typedef struct
{
  uint64_t last;
} hlc_t;

/* Advances the clock and returns the stamp of a local event.  */
uint64_t hlc_tick (hlc_t *hlc, int64_t wall_ms);

/* Advances the clock past the stamp of a received frame.  */
void hlc_merge (hlc_t *hlc, uint64_t received, int64_t wall_ms);

#endif
