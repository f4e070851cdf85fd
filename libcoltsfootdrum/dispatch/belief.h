/* What one agent believes of one account's work at a router, by the router's
   reckoning: agents carry a virtual time forward by the pace, so that a word
   needs to be repeated only where that went wrong.  Pure.  */

#ifndef DISPATCH_BELIEF_H
#define DISPATCH_BELIEF_H

#include "base/clock.h"
#include "wire/msg.h"

/* An account may be so far behind what an agent believes, in time at the
   pace.  */
#define BELIEF_BEHIND_MS 150

/* Starts as all zeros.  */
typedef struct
{
  cfd_time_t told; /* the newest word on it; 0 before the first */
  double virtual_time;
  bool waits; /* by that word, work waits */
} belief_t;

/* May believe anything.  */
extern const belief_t belief_unknown;

void belief_told (belief_t *belief, const msg_waiting_t *word, cfd_time_t now);

/* Whether VIRTUAL_TIME is so far behind what the agent believes that it would
   pass the account over.  One that is ahead is not told: its next grant is
   declined with the new value, a frame in place of one to each agent.  */
bool belief_is_behind (const belief_t *belief, double virtual_time,
                       double pace, cfd_time_t now);

/* Whether the agent must hear WORD: it doesn't know of it, believes it served
   when it isn't, or forgets it unless it hears of it by REFRESH_MS.  */
bool belief_must_hear (const belief_t *belief, const msg_waiting_t *word,
                       double pace, cfd_time_t refresh_ms, cfd_time_t now);

#endif
