/* An agent's table of announced work and its choice.  Pure.  The agent grants
   its free slot to the account with the least virtual time; among several
   routers with work of that account, to the one with the best class, then the
   oldest.  Grants in flight count against an entry's waiting requests.  */

#ifndef DISPATCH_PICK_H
#define DISPATCH_PICK_H

#include "base/clock.h"
#include "wire/msg.h"
#include <glib.h>

/* A grant is dead this long after it was made, on the agent's clock.  */
#define PICK_GRANT_LIFETIME_MS 1000
/* A router that said nothing for so long after a grant, and twice its usual
   round trip, gets no further grant until it speaks.  Routers answer a grant
   as they read it, in a few milliseconds; one that is cut off or stopped would
   otherwise be offered each slot that gets free, and hold it for
   PICK_GRANT_LIFETIME_MS.  Passing over a router that is only slow costs
   little: its answer ends it.  */
#define PICK_ANSWER_TIMEOUT_MS 200

typedef struct pick pick_t;

typedef struct
{
  const char *router; /* valid until the next call */
  const char *account;
  double limit_vt; /* least virtual time of another account, or INFINITY */
  double floor;
} pick_choice_t;

pick_t *pick_new (void);
void pick_free (pick_t *pick);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (pick_t, pick_free)

void pick_apply_announcement (pick_t *pick, const char *router,
                              const msg_announce_t *announce, cfd_time_t now);
/* The newest word of ROUTER on one account, from an assign or decline.  */
void pick_update_waiting (pick_t *pick, const char *router,
                          const msg_waiting_t *left, cfd_time_t now);
void pick_remove_router (pick_t *pick, const char *router);

/* Chooses and records a grant in flight; 0 when nothing waits.  */
uint64_t pick_make_grant (pick_t *pick, cfd_time_t now, pick_choice_t *choice);
/* The grant was answered.  False when it is unknown or dead by NOW: then the
   request that came with it must not be started.  */
bool pick_complete_grant (pick_t *pick, uint64_t grant, cfd_time_t now);
/* Drops dead grants; returns how many of the others hold a slot.  Those to a
   router whose answer is overdue do not, though they live on: an answer that
   comes late is taken if a slot is free then, else it is told that its request
   was not started.  Without this each slot offered across a cut would idle
   for PICK_GRANT_LIFETIME_MS.  */
unsigned pick_expire_grants (pick_t *pick, cfd_time_t now);
unsigned pick_count_waiting (const pick_t *pick);
/* Whether any work waits; cheaper than to count it.  */
bool pick_has_waiting (const pick_t *pick);
/* Greatest less least virtual time of the accounts with waiting work.  */
double pick_compute_vt_spread (const pick_t *pick, cfd_time_t now);

#endif
