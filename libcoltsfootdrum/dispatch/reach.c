#include "dispatch/reach.h"

#include <glib.h>

const reach_t reach_fresh = { .doubted = CFD_TIME_NEVER };

void
reach_lost (reach_t *reach, cfd_time_t now)
{
  reach->doubted = MIN (reach->doubted, now);
}

void
reach_told (reach_t *reach, reach_result_t word, cfd_time_t now)
{
  switch (word)
    {
    case REACH_SENT:
      *reach = reach_fresh;
      return;
    case REACH_DIALLING:
      reach->doubted = MIN (reach->doubted, now + REACH_DIAL_MS);
      return;
    case REACH_UNRESPONSIVE:
      reach->doubted = MIN (reach->doubted, now);
      return;
    }
}

bool
reach_is_doubted (const reach_t *reach, cfd_time_t now)
{
  return now >= reach->doubted;
}
