/* Weighted fair queueing by one router's own counters: the order of the
   baseline policy.  Pure.  An account that comes back from idle starts at the
   service's present virtual time, so that idleness earns no credit.  */

#ifndef ROUTER_WFQ_H
#define ROUTER_WFQ_H

#include <glib.h>

typedef struct wfq wfq_t;

wfq_t *wfq_new (void);
void wfq_free (wfq_t *wfq);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (wfq_t, wfq_free)

/* Work of an account without any came; repeated calls do no harm.  */
void wfq_set_backlogged (wfq_t *wfq, const char *account, const char *service);
/* None is left.  */
void wfq_set_idle (wfq_t *wfq, const char *account, const char *service);
/* The backlogged account of SERVICE that goes next, or NULL.  */
const char *wfq_next_account (const wfq_t *wfq, const char *service);
/* What the order goes by; 0 for an account that never came.  */
double wfq_virtual_time (const wfq_t *wfq, const char *account,
                         const char *service);
void wfq_charge (wfq_t *wfq, const char *account, const char *service,
                 double tokens, double weight);

#endif
