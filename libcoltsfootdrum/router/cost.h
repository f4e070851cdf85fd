/* Cost.  Estimates the cost of a request before it runs.  Without I/O.

   Callers' hints are rough: most ask for far more tokens than they use.  A
   charge by the hint alone would hold an account back, for as long as its
   requests run, by thousands of tokens that it never gets.  So the ratio of
   the actual cost to the hint is learned for each account and service.  */

#ifndef ROUTER_COST_H
#define ROUTER_COST_H

#include "base/clock.h"
#include <glib.h>

/* Ratio of an account and service without a finished request.  */
#define COST_RATIO_INITIAL 0.5
#define COST_RATIO_MIN 0.02
#define COST_RATIO_MAX 2.0
#define COST_EXPIRY_MS 600000

typedef struct cost cost_t;

cost_t *cost_new (void);
void cost_free (cost_t *cost);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (cost_t, cost_free)

/* Returns the expected cost in tokens of a request with HINT.  */
double cost_estimate (const cost_t *cost, const char *account,
                      const char *service, double hint_tokens);
/* Learns from a request with HINT that took ACTUAL tokens.  */
void cost_update (cost_t *cost, const char *account, const char *service,
                  double hint_tokens, double actual_tokens, cfd_time_t now);
/* Removes ratios that were not updated for COST_EXPIRY_MS.  */
void cost_expire (cost_t *cost, cfd_time_t now);

#endif
