#include "dispatch/view.h"

const view_t view_unknown = { .updated = INT64_MIN / 2, .has_work = true };

void
view_update (view_t *view, const msg_waiting_t *waiting, cfd_time_t now)
{
  view->updated = now;
  view->virtual_time = waiting->virtual_time;
  view->has_work = waiting->count > 0;
}

bool
view_is_behind (const view_t *view, double virtual_time, double tokens_per_ms,
                cfd_time_t now)
{
  double elapsed_ms = (double)(now - view->updated) - VIEW_MAX_LAG_MS;

  return view->has_work
         && virtual_time < view->virtual_time + tokens_per_ms * elapsed_ms;
}

bool
view_needs_update (const view_t *view, const msg_waiting_t *waiting,
                   double tokens_per_ms, cfd_time_t refresh_ms, cfd_time_t now)
{
  if (waiting->count == 0 || !view->has_work)
    return view->has_work != (waiting->count > 0);
  return now - view->updated >= refresh_ms
         || view_is_behind (view, waiting->virtual_time, tokens_per_ms, now);
}
