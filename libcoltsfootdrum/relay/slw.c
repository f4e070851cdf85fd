/* Slow callers.  */

#include "relay/slw.h"

/* Returns whether what one wakeup reads fits in the limit.  */
static bool
has_room (const slw_state_t *state)
{
  return state->unsent + SLW_STEP_BYTES <= state->limit;
}

/* Decides while the answer is being read.  */
static slw_action_t
decide_reading (const slw_state_t *state)
{
  if (state->unsent <= state->share)
    return SLW_READ;
  if (state->is_draining && has_room (state))
    return SLW_DRAIN;
  return SLW_PAUSE;
}

slw_action_t
slw_decide (const slw_state_t *state)
{
  if (!state->is_paused)
    return decide_reading (state);
  if (state->unsent <= state->share / 2)
    return SLW_READ;
  if (!state->is_draining && state->paused_ms < SLW_MAX_PAUSE_MS)
    return SLW_PAUSE;
  if (has_room (state))
    return SLW_DRAIN;
  return state->paused_ms < SLW_MAX_FULL_MS ? SLW_PAUSE : SLW_DISCONNECT;
}
