/* What a request will cost, before it ran.  Pure.

   Callers' hints are rough: most ask for far more tokens than they get.  A
   charge by the hint alone would hold an account back for as long as its
   requests run, by thousands of tokens it never gets.  So the part of the hint
   that requests of one account and service came to use is learned.  */

#ifndef ROUTER_COST_H
#define ROUTER_COST_H

#include "base/clock.h"
#include <glib.h>

/* Before anything is known.  */
#define COST_RATIO_INITIAL 0.5
#define COST_RATIO_MIN 0.02
#define COST_RATIO_MAX 2.0
#define COST_EXPIRY_MS 600000

typedef struct cost cost_t;

cost_t *cost_new (void);
void cost_free (cost_t *cost);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (cost_t, cost_free)

/* Tokens to expect of a request whose hint is HINT.  */
double cost_estimate (const cost_t *cost, const char *account,
                      const char *service, double hint);
/* A request of that hint took ACTUAL.  */
void cost_update (cost_t *cost, const char *account, const char *service,
                  double hint, double actual, cfd_time_t now);
/* Forgets what was not used for COST_EXPIRY_MS.  */
void cost_expire (cost_t *cost, cfd_time_t now);

#endif
