/* Pauses.  Limits the prefill work of an endpoint, so that the streams that it
   runs don't pause for longer than their routes allow.

   Load pattern: long prompts arrive one after the other at an engine that runs
   streams.  Engines prefill prompts in chunks between the tokens of running
   requests, so that each chunk delays the next event of every stream.

   The window is the part of the allowed pause that placement plans with.  The
   budget is the prefill work that takes, together with the time of an event,
   as long as the window.  The level of an endpoint is the work that is pending
   there and what still counts of the work it finished.

   Bounds on the work that one endpoint gets, with B its budget, W the window,
   and C the level up to which prompts are admitted: B, or 2 B if there are
   underserved accounts or prompts longer than B.  N routers learn of each
   other within d ms, and a partition divides them into G groups that don't
   see each other.  A is the most work that comes to one router in d ms.

   - Pending at one moment: G C + (N - G) min (C, A).  In a group all but one
     router may have sent what the last one doesn't know yet.
   - Sent within a window: the same and what the endpoint prefills in W; and
     never more than N C (1 + 1 / 0.6), the level of each router alone and
     what decays of it in W.

   These are no promise that pauses are in time: even one router that knows
   everything may send more than B within W.  Prompts that exceed 2 max_budget
   are admitted whole and come on top.
   All work is in tokens, as computed by plc_compute_prefill_work.  */

#ifndef RELAY_PAU_H
#define RELAY_PAU_H

#include "base/clock.h"
#include <stdbool.h>

/* Prefill work that an endpoint finished lately.  Decays exponentially.  */
typedef struct
{
  double tokens;
  cfd_time_t updated_at;
} pau_recent_t;

/* The average endpoint of a service.  */
typedef struct
{
  double window_ms;    /* 0: pauses are not limited */
  double event_ms;     /* time of an event while nothing is prefilled */
  double ms_per_token; /* time for each token of prefill work */
} pau_service_t;

/* An endpoint, as a prompt finds it.  */
typedef struct
{
  double level;  /* work that is pending or was finished lately */
  double budget; /* HUGE_VAL: not limited */
} pau_endpoint_t;

typedef struct
{
  double own;        /* its prefill work */
  double share;      /* of the budget, see pau_compute_share */
  double max_budget; /* the largest budget of all endpoints */
} pau_prompt_t;

/* Returns the window for routes that allow pauses of MAX_PAUSE_MS; 0 for 0. */
double pau_compute_window_ms (int64_t max_pause_ms);

/* Adds TOKENS that were finished at NOW.  */
void pau_add_finished (pau_recent_t *recent, cfd_time_t now, double window_ms,
                       double tokens);
/* Returns what still counts of RECENT at NOW.  */
double pau_get_recent (const pau_recent_t *recent, cfd_time_t now,
                       double window_ms);

/* Returns the budget of an endpoint of SERVICE.  SLOWNESS is the ratio of its
   times to the average.  HUGE_VAL when pauses are not limited.  */
double pau_compute_budget (const pau_service_t *service, double slowness);

/* Returns the share of a budget that prompts of an account may use.  ALLOWANCE
   is 1 for an account at or below the fair level and less above it, so that
   the prompts of the others find room at once.  */
double pau_compute_share (double allowance, bool is_underserved);

/* Returns whether PROMPT may be sent to ENDPOINT.  A prompt that its share of
   the budget can never hold is admitted where little else is prefilled.  */
bool pau_admits (const pau_endpoint_t *endpoint, const pau_prompt_t *prompt);

#endif
