#include "dispatch/belief.h"

const belief_t belief_unknown = { .told = INT64_MIN / 2, .waits = true };

void
belief_told (belief_t *belief, const msg_waiting_t *word, cfd_time_t now)
{
  belief->told = now;
  belief->virtual_time = word->virtual_time;
  belief->waits = word->count > 0;
}

bool
belief_is_behind (const belief_t *belief, double virtual_time, double pace,
                  cfd_time_t now)
{
  double passed = (double)(now - belief->told) - BELIEF_BEHIND_MS;

  return belief->waits && virtual_time < belief->virtual_time + pace * passed;
}

bool
belief_must_hear (const belief_t *belief, const msg_waiting_t *word,
                  double pace, cfd_time_t refresh_ms, cfd_time_t now)
{
  if (word->count == 0 || !belief->waits)
    return belief->waits != (word->count > 0);
  return now - belief->told >= refresh_ms
         || belief_is_behind (belief, word->virtual_time, pace, now);
}
