/* Usage of client accounts: what each demanded and was served over the last
   few seconds, here and over all routers, and the max-min fair level that fair
   shares are judged by.

   The unit is a token: each prompt token counts once, each generated one
   twice.  */

#ifndef RELAY_USE_H
#define RELAY_USE_H

#include "base/clock.h"
#include <glib.h>

typedef struct use use_t;

typedef struct
{
  double demand;
  double served;
} use_sum_t;

/* Sums decay exponentially; WINDOW_MS is their mean lifetime.  */
use_t *use_new (int64_t window_ms);
void use_free (use_t *use);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (use_t, use_free)

/* ACCOUNT asked for COST here.  */
void use_add_demand (use_t *use, cfd_time_t now, const char *account,
                     double cost);
/* It was served COST here; negative to correct an estimate.  */
void use_add_served (use_t *use, cfd_time_t now, const char *account,
                     double cost);
/* Another router's own sums, as of now.  */
void use_update_peer (use_t *use, cfd_time_t now, const char *router,
                      const char *account, const use_sum_t *own);

/* Cost a millisecond that ACCOUNT was served here lately.  */
double use_own_rate (const use_t *use, cfd_time_t now, const char *account);

/* Over the whole fleet.  */
use_sum_t use_total (const use_t *use, cfd_time_t now, const char *account);

/* Calls CALLBACK for each account with anything here lately.  */
void use_foreach_own (use_t *use, cfd_time_t now,
                      void (*callback) (void *user, const char *account,
                                        const use_sum_t *own),
                      void *user);
/* Forgets ROUTER's figures.  */
void use_remove_peer (use_t *use, cfd_time_t now, const char *router);

/* Computes the max-min fair level anew: all accounts together were served what
   they would be if each had its demand, but no more than the level.  Also
   drops accounts that are idle.  */
void use_update_level (use_t *use, cfd_time_t now);

/* Usage of ACCOUNT by the level: above 1 it has more than its fair share, at
   the others' cost.  0 while all demand is served.  */
double use_level_ratio (const use_t *use, cfd_time_t now, const char *account);

/* Usage of ACCOUNT by what is due to it: the level, or its demand when that is
   less.  1 while all demand is served.  */
double use_due_ratio (const use_t *use, cfd_time_t now, const char *account);

#endif
