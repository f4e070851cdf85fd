/* What a home told other routers of accounts' virtual times, and whether they
   need to hear again.  A router that charges its own work to what it was told
   reckons the same virtual time as its home, as long as nobody else adds to
   the account; so the home answers a report only when the two would differ.
   Pure.  */

#ifndef ROUTER_PEER_VIEW_H
#define ROUTER_PEER_VIEW_H

#include "base/clock.h"
#include "wire/msg.h"
#include <glib.h>

/* Weighted tokens by which a router's reckoning may be wrong: far below one
   request's cost, above what rounding on the wire adds.  */
#define PEER_VIEW_MAX_ERROR_TOKENS 8.0
/* A report so long after the last answer is answered whatever it says: its
   router takes a home that is silent to its reports for dead.  */
#define PEER_VIEW_MAX_SILENCE_MS 250
/* A table that grew to this starts anew, for accounts come and go; that costs
   one answer for each account.  */
#define PEER_VIEW_MAX_ENTRIES 1024u

/* Of one router, by account and service.  */
typedef struct view peer_view_t;

peer_view_t *peer_view_new (void);
void peer_view_free (peer_view_t *view);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (peer_view_t, peer_view_free)

/* The router told what it reckons itself.  It goes before what it was told: an
   answer may be on its way still, or the router lifted an account that came
   back from idle when the home did not.  Left at that, the account would be
   passed over for as long as nobody else adds to it.  */
void peer_view_apply_report (peer_view_t *view,
                             const msg_report_entry_t *report);
/* Whether SHARE must be sent; if so it is taken to be heard.  */
bool peer_view_needs_update (peer_view_t *view, const msg_share_entry_t *share,
                             cfd_time_t now);
/* The link was lost, and with it maybe answers; or the router is another.  */
void peer_view_reset (peer_view_t *view);

#endif
