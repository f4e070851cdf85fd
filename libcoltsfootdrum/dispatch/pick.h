/* Work selection.  An agent's table of announced work and its choice of the
   next grant.  Does no I/O; callers pass the current time.

   The agent grants its free slot to the account with the least virtual time;
   among several routers with work of that account, to the one with the best
   class, then to the one with the oldest request.  Grants in flight count
   against an entry's waiting requests.  */

#ifndef DISPATCH_PICK_H
#define DISPATCH_PICK_H

#include "base/clock.h"
#include "wire/msg.h"
#include <glib.h>

/* A grant expires this long after it was made, on the agent's clock.  */
#define PICK_GRANT_LIFETIME_MS 1000
/* A router that sent nothing for this long after a grant, plus twice its usual
   round trip, gets no further grant until it sends something.  Routers answer
   a grant as they read it, in a few milliseconds; one that is cut off or
   stopped would otherwise be offered each slot that becomes free, and hold it
   for PICK_GRANT_LIFETIME_MS.  Passing over a router that is only slow costs
   little, since its answer makes it eligible again.  */
#define PICK_ANSWER_TIMEOUT_MS 200

typedef struct pick pick_t;

typedef struct
{
  const char *router; /* valid until the next call */
  const char *account;
  double limit_vt; /* least virtual time of another account, or INFINITY */
  double floor;    /* least virtual time of any account with waiting work,
                      without what grants in flight will add */
} pick_choice_t;

pick_t *pick_new (void);
void pick_free (pick_t *pick);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (pick_t, pick_free)

void pick_apply_announcement (pick_t *pick, const char *router,
                              const msg_announce_t *announce, cfd_time_t now);
/* Applies LEFT, the remaining work of one account at ROUTER, from an assign or
   decline message.  */
void pick_update_waiting (pick_t *pick, const char *router,
                          const msg_waiting_t *left, cfd_time_t now);
/* Removes a router with its entries and grants.  */
void pick_remove_router (pick_t *pick, const char *router);

/* Chooses the next grant and records it as in flight.  Returns its id, or 0
   when no work is waiting.  */
uint64_t pick_make_grant (pick_t *pick, cfd_time_t now, pick_choice_t *choice);
/* Completes an answered grant.  Returns false when it is unknown or has
   expired by NOW: the request that came with the answer must not be started
   then.  */
bool pick_complete_grant (pick_t *pick, uint64_t grant, cfd_time_t now);
/* Removes expired grants; returns how many of the others hold a slot.  Those
   to a router whose answer is overdue do not, though they stay valid: a late
   answer is accepted if a slot is free then, and otherwise the router is sent
   NOT_STARTED.  Without this, each slot offered to a router that is cut off
   would idle for PICK_GRANT_LIFETIME_MS.  */
unsigned pick_expire_grants (pick_t *pick, cfd_time_t now);
/* Counts the waiting requests that are not covered by a grant.  */
unsigned pick_count_waiting (const pick_t *pick);
/* Returns whether that count is above 0; cheaper than counting.  */
bool pick_has_waiting (const pick_t *pick);
/* Returns the difference between the greatest and the least virtual time of
   the accounts with waiting work.  */
double pick_compute_vt_spread (const pick_t *pick, cfd_time_t now);

#endif
