/* Slow callers.  Decides whether the endpoint's answer to a caller that reads
   slowly is read on, and when the caller is disconnected.

   Load pattern: callers that read their answers slowly or not at all, and
   endpoints that cut off an answer which stays unread for some seconds.  An
   answer that its caller doesn't read fast enough is therefore left unread for
   a moment only; then it is drained into a buffer, which is bounded.

   Bounds: a caller's share (see ent_get_unsent_limit) plus what one wakeup
   reads, and while its answer is drained its limit (see ent_get_drain_limit).
   An answer is left unread for SLW_MAX_PAUSE_MS, and once its caller's limit
   is reached for SLW_MAX_FULL_MS.  */

#ifndef RELAY_SLW_H
#define RELAY_SLW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Time for which an answer waits at its endpoint before it is drained.  Most
   callers that pause read on by then.  */
#define SLW_MAX_PAUSE_MS 500
/* Time for which an answer is left unread as the buffer for its caller is
   full.  Endpoints cut off answers that stay unread for some seconds.  */
#define SLW_MAX_FULL_MS 1500
/* Room in a full buffer for which reading goes on: about what one wakeup
   reads.  */
#define SLW_STEP_BYTES 65536u

typedef struct
{
  size_t unsent;     /* bytes that wait for the caller */
  size_t share;      /* of these it may have at any time */
  size_t limit;      /* most that may wait while its answer is drained */
  bool is_paused;    /* the endpoint's answer is not being read */
  bool is_draining;  /* it is read up to the limit */
  int64_t paused_ms; /* since when, if it is paused */
} slw_state_t;

typedef enum
{
  SLW_READ,      /* up to the caller's share */
  SLW_DRAIN,     /* up to its limit */
  SLW_PAUSE,     /* leave the answer unread */
  SLW_DISCONNECT /* the caller */
} slw_action_t;

slw_action_t slw_decide (const slw_state_t *state);

#endif
