/* Peer view.  Estimates the virtual times that another router computes for the
   accounts whose home router is this one, to decide whether that router needs
   an update.  Home router: the router that adds up the account's virtual time,
   chosen by rendezvous hashing.  A router that charges its own work to the
   last virtual time that it was sent arrives at the home's value, as long as
   no other router charges the account; so the home answers a report only if
   the two would differ.  Without I/O.  */

#ifndef ROUTER_PEER_VIEW_H
#define ROUTER_PEER_VIEW_H

#include "base/clock.h"
#include "wire/msg.h"
#include <glib.h>

/* Weighted tokens by which the router's virtual time may be wrong: far below
   the cost of one request, above the rounding error of the wire format.  */
#define PEER_VIEW_MAX_ERROR_TOKENS 8.0
/* A report this long after the last answer is answered in any case: its router
   treats a home that does not answer reports as failed.  */
#define PEER_VIEW_MAX_SILENCE_MS 250
/* A table of this size is cleared, since accounts come and go; that costs one
   answer for each account.  */
#define PEER_VIEW_MAX_ENTRIES 1024u

/* View of one router, by account and service.  */
typedef struct view peer_view_t;

peer_view_t *peer_view_new (void);
void peer_view_free (peer_view_t *view);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (peer_view_t, peer_view_free)

/* Records the virtual time that the router computed and reported.  It replaces
   the value that it was sent: an answer may still be on its way, or the router
   lifted an account that returned from idle when the home did not.  Otherwise
   the account would be passed over for as long as no other router charges
   it.  */
void peer_view_apply_report (peer_view_t *view,
                             const msg_report_entry_t *report);
/* Returns whether SHARE must be sent; if so, it is recorded as received.  */
bool peer_view_needs_update (peer_view_t *view, const msg_share_entry_t *share,
                             cfd_time_t now);
/* Clears the view: the link was lost, and possibly answers with it, or the
   router was restarted.  */
void peer_view_reset (peer_view_t *view);

#endif
