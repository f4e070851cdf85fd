#include "base/clock.h"

#include <time.h>

#define HLC_COUNT_BITS 16

static int64_t
read_us (clockid_t clock)
{
  struct timespec t;

  clock_gettime (clock, &t);
  return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

cfd_time_t
clock_now (void)
{
  return read_us (CLOCK_BOOTTIME) / 1000;
}

int64_t
clock_now_us (void)
{
  return read_us (CLOCK_BOOTTIME);
}

static int64_t (*wall_source) (void);

void
clock_set_wall_source (int64_t (*source) (void))
{
  wall_source = source;
}

int64_t
clock_wall_ms (void)
{
  if (wall_source != NULL)
    return wall_source ();
  return read_us (CLOCK_REALTIME) / 1000;
}

uint64_t
hlc_tick (hlc_t *hlc, int64_t wall_ms)
{
  uint64_t wall = (uint64_t)wall_ms << HLC_COUNT_BITS;

  hlc->last = wall > hlc->last ? wall : hlc->last + 1;
  return hlc->last;
}

void
hlc_merge (hlc_t *hlc, uint64_t received, int64_t wall_ms)
{
  if (received > hlc->last)
    hlc->last = received;
  (void)hlc_tick (hlc, wall_ms);
}
