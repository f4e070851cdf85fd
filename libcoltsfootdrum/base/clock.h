/* Time.  Deciding functions take the present time as an argument; only the
   outermost callbacks read a clock.

   cfd_time_t is milliseconds of CLOCK_BOOTTIME: it never jumps when wall time
   is set, and it goes on while the machine sleeps, so that a lease can't
   outlive a pause.  Wall time is for display alone.  */

#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

typedef int64_t cfd_time_t;

#define CFD_TIME_NEVER INT64_MAX

/* Milliseconds since boot, read from the system at each call.  */
cfd_time_t clock_now (void);

/* Microseconds since boot, for measuring short spans.  */
int64_t clock_now_us (void);

/* Milliseconds of wall time since 1970, for display alone.  */
int64_t clock_wall_ms (void);

/* Puts SOURCE in place of the system's wall clock, for tests in which it
   jumps; NULL is the system's again.  */
void clock_set_wall_source (int64_t (*source) (void));

/* A hybrid logical clock: the upper 48 bits are wall milliseconds, the lower
   16 count events.  Ticking orders each event after its causes, whatever the
   machines' wall clocks say.  */
typedef struct
{
  uint64_t last;
} hlc_t;

/* The stamp of a local event.  */
uint64_t hlc_tick (hlc_t *hlc, int64_t wall_ms);

/* Takes in the stamp of a received frame.  */
void hlc_merge (hlc_t *hlc, uint64_t received, int64_t wall_ms);

#endif
