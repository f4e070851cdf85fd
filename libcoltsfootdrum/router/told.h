/* What a home told other routers of accounts' virtual times, and whether they
   need to hear again.  A router that charges its own work to what it was told
   reckons the same virtual time as its home, as long as nobody else adds to
   the account; so the home answers a report only when the two would differ.
   Pure.  */

#ifndef ROUTER_TOLD_H
#define ROUTER_TOLD_H

#include "base/clock.h"
#include "wire/msg.h"
#include <glib.h>

/* Weighted tokens by which a router's reckoning may be wrong: far below one
   request's cost, above what rounding on the wire adds.  */
#define TOLD_ERROR_MAX 8.0
/* A report so long after the last answer is answered whatever it says: its
   router takes a home that is silent to its reports for dead.  */
#define TOLD_SILENCE_MS 250
/* A table that grew to this starts anew, for accounts come and go; that costs
   one answer for each account.  */
#define TOLD_MAX 1024u

/* Of one router, by account and service.  */
typedef struct told told_t;

told_t *told_new (void);
void told_free (told_t *told);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (told_t, told_free)

/* The router told what it reckons itself.  It goes before what it was told: an
   answer may be on its way still, or the router lifted an account that came
   back from idle when the home did not.  Left at that, the account would be
   passed over for as long as nobody else adds to it.  */
void told_report (told_t *told, const msg_report_entry_t *report);
/* Whether SHARE must be sent; if so it is taken to be heard.  */
bool told_must_hear (told_t *told, const msg_share_entry_t *share,
                     cfd_time_t now);
/* The link was lost, and with it maybe answers; or the router is another.  */
void told_forget (told_t *told);

#endif
