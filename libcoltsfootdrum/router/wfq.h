/* Weighted fair queueing over one router's own counters: the order of the
   baseline policy.  Without I/O.  An account that returns from idle starts at
   the current virtual time of the service, so that idleness earns no
   credit.  */

#ifndef ROUTER_WFQ_H
#define ROUTER_WFQ_H

#include <glib.h>

typedef struct wfq wfq_t;

wfq_t *wfq_new (void);
void wfq_free (wfq_t *wfq);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (wfq_t, wfq_free)

/* The account has work waiting; repeated calls have no effect.  */
void wfq_set_backlogged (wfq_t *wfq, const char *account, const char *service);
/* The account has no work waiting.  */
void wfq_set_idle (wfq_t *wfq, const char *account, const char *service);
/* Returns the backlogged account of SERVICE to be served next, or NULL.  */
const char *wfq_next_account (const wfq_t *wfq, const char *service);
/* The virtual time that orders the accounts; 0 for an unknown account.  */
double wfq_virtual_time (const wfq_t *wfq, const char *account,
                         const char *service);
void wfq_charge (wfq_t *wfq, const char *account, const char *service,
                 double tokens, double weight);

#endif
