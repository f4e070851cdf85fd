/* Pauses: budgets of prefill work.  */

#include "relay/pau.h"

#include <glib.h>
#include <math.h>

/* Share of the allowed pause that placement plans with.  The rest is for
   errors of the estimates and for moments at which an engine is slow.  */
#define PAUSE_SHARE 0.8
/* Time constant of finished work, as a share of the window.  With the whole
   window, the work of the window before would count too.  */
#define DECAY_SHARE 0.6
/* Smallest share of the budget, for accounts far above the fair level.  */
#define MIN_SHARE 0.4
/* Factor on the budget for underserved accounts, and for prompts that exceed
   it.  With PAUSE_SHARE, streams may then pause for too long, but such prompts
   would wait for ever behind a steady flow of shorter ones.  */
#define EXCESS_FACTOR 2.
/* A prompt that exceeds the share of an account above the fair level is
   admitted up to this part of the share.  */
#define IDLE_SHARE 0.25
/* A prompt that exceeds the budget makes streams pause for too long wherever
   it goes.  It is admitted up to this part of the budget, and by the faster
   endpoints alone if it exceeds all budgets by EXCESS_FACTOR.  */
#define IDLE_BUDGET_SHARE 0.5
/* Endpoints with less than this part of the largest budget are slow.  */
#define FAST_BUDGET_SHARE 0.8

double
pau_compute_window_ms (int64_t max_pause_ms)
{
  return MAX ((double)max_pause_ms, 0.) * PAUSE_SHARE;
}

double
pau_get_recent (const pau_recent_t *recent, cfd_time_t now, double window_ms)
{
  if (window_ms <= 0. || recent->tokens <= 0.)
    return 0.;
  return recent->tokens
         * exp (-(double)(now - recent->updated_at)
                / (window_ms * DECAY_SHARE));
}

void
pau_add_finished (pau_recent_t *recent, cfd_time_t now, double window_ms,
                  double tokens)
{
  recent->tokens = pau_get_recent (recent, now, window_ms) + tokens;
  recent->updated_at = now;
}

double
pau_compute_budget (const pau_service_t *service, double slowness)
{
  double ms_per_token = service->ms_per_token * slowness;

  if (service->window_ms <= 0. || ms_per_token <= 0.)
    return HUGE_VAL;
  return MAX (service->window_ms - service->event_ms * slowness, 0.)
         / ms_per_token;
}

double
pau_compute_share (double allowance, bool is_underserved)
{
  if (is_underserved)
    return EXCESS_FACTOR;
  return MIN_SHARE + (1. - MIN_SHARE) * CLAMP (allowance, 0., 1.);
}

bool
pau_admits (const pau_endpoint_t *endpoint, const pau_prompt_t *prompt)
{
  double budget = endpoint->budget;
  double share = budget * prompt->share;

  if (budget == HUGE_VAL || endpoint->level + prompt->own <= share)
    return true;
  if (prompt->own > prompt->max_budget * EXCESS_FACTOR
      && budget < prompt->max_budget * FAST_BUDGET_SHARE)
    return false;
  if (prompt->share < 1.)
    return prompt->own > share && endpoint->level <= share * IDLE_SHARE;
  return prompt->own > budget
         && (endpoint->level + prompt->own <= budget * EXCESS_FACTOR
             || endpoint->level <= budget * IDLE_BUDGET_SHARE);
}
