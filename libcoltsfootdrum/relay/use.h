/* Usage of client accounts.  Sums the demand and the served cost of each
   account over the last few seconds, for this router and for all routers, and
   computes the max-min fair level.

   The unit of cost is a token: each prompt token counts once, each generated
   one twice.  */

#ifndef RELAY_USE_H
#define RELAY_USE_H

#include "base/clock.h"
#include <glib.h>

typedef struct use use_t;

/* Sums of cost.  */
typedef struct
{
  double demand;
  double served;
} use_sum_t;

/* Sums decay exponentially; WINDOW_MS is the time constant.  */
use_t *use_new (int64_t window_ms);
void use_free (use_t *use);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (use_t, use_free)

/* Adds a request of ACCOUNT that arrived at this router.  */
void use_add_demand (use_t *use, cfd_time_t now, const char *account,
                     double cost);
/* Adds cost that this router served to ACCOUNT; negative to undo it.  */
void use_add_served (use_t *use, cfd_time_t now, const char *account,
                     double cost);
/* Replaces the sums that ROUTER reported for ACCOUNT.  */
void use_update_peer (use_t *use, cfd_time_t now, const char *router,
                      const char *account, const use_sum_t *own);

/* Returns the cost per millisecond that this router lately served to ACCOUNT.
 */
double use_own_rate (const use_t *use, cfd_time_t now, const char *account);

/* Returns the sums of ACCOUNT over all routers.  */
use_sum_t use_total (const use_t *use, cfd_time_t now, const char *account);

/* Calls CALLBACK for each account with usage at this router that had a request
   since SINCE.  */
void use_foreach_own (use_t *use, cfd_time_t now, cfd_time_t since,
                      void (*callback) (void *user, const char *account,
                                        const use_sum_t *own),
                      void *user);
/* Removes the sums that ROUTER reported.  */
void use_remove_peer (use_t *use, cfd_time_t now, const char *router);

/* Recomputes the max-min fair level: if each account were served its demand,
   but no more than the level, the total served would be what it is.  Also
   removes idle accounts.  */
void use_update_level (use_t *use, cfd_time_t now);

/* Returns the ratio of what ACCOUNT was served to the fair level.  Above 1 the
   account has more than its fair share, at the expense of others.  0 while all
   demand is served.  */
double use_level_ratio (const use_t *use, cfd_time_t now, const char *account);

/* Returns the ratio of what ACCOUNT was served to its fair share: the level,
   or its demand when that is less.  1 while all demand is served.  */
double use_due_ratio (const use_t *use, cfd_time_t now, const char *account);

#endif
