#include "dispatch/reach.h"

#include <glib.h>

const reach_t reach_initial = { .suspect_since = CFD_TIME_NEVER };

void
reach_record_link_lost (reach_t *reach, cfd_time_t now)
{
  reach->suspect_since = MIN (reach->suspect_since, now);
}

void
reach_record_send (reach_t *reach, reach_result_t result, cfd_time_t now)
{
  switch (result)
    {
    case REACH_SENT:
      *reach = reach_initial;
      return;
    case REACH_DIALLING:
      reach->suspect_since
          = MIN (reach->suspect_since, now + REACH_DIAL_TIMEOUT_MS);
      return;
    case REACH_UNRESPONSIVE:
      reach->suspect_since = MIN (reach->suspect_since, now);
      return;
    }
}

bool
reach_is_suspect (const reach_t *reach, cfd_time_t now)
{
  return now >= reach->suspect_since;
}
