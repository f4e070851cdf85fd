/* Fairness.  Checks that slots are assigned in order and that no client
   account starves.  Without I/O; the time is an argument.

   A slot goes to the account with the least virtual time of all that wait at
   this router and could take it.  So an account that takes a slot in another's
   place has at most its virtual time, and exceeds it afterwards by at most the
   charge.  Its virtual time rises by each charge and falls only where its home
   router or a correction lowers it.  While account A waits unserved, all that
   B takes in A's place is therefore at most

        how far B was behind A before B's first slot in that time
        + how far A's own virtual time rose meanwhile
        + what B's was lowered by meanwhile
        + one charge,

   and all that others take is at most the sum of that over them.  This holds
   for any sequence of changes of homes, lifts, forgiveness, weights,
   corrections, retries, returns from idle and agents that A must avoid: each
   of them moves a virtual time, begins a new wait, or concerns a slot that A
   could not have taken.

   The check counts the charges themselves, not their effect on the virtual
   times: a charge that is lost makes the bound fail.  A wrong order is
   detected at once, with the first slot that goes to an account with more
   virtual time.  */

#ifndef ROUTER_FAIRNESS_H
#define ROUTER_FAIRNESS_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>

/* An account without a slot for this time is removed, and counts as a new one.
   Shorter than SHARE_ROUTER_EXPIRY_MS: an account that the share module
   removes must be new here.  */
#define FAIRNESS_EXPIRY_MS 60000

typedef struct fairness fairness_t;

/* An assignment of a slot to ACCOUNT.  */
typedef struct
{
  const char *account;
  const char *service;
  double virtual_time; /* before the charge */
  double charge;       /* expected cost in weighted tokens */
} fairness_slot_t;

typedef enum
{
  FAIRNESS_OK,
  FAIRNESS_OUT_OF_ORDER,  /* the account passed over has less virtual time */
  FAIRNESS_BOUND_EXCEEDED /* others took more in its place than the bound */
} fairness_verdict_t;

fairness_t *fairness_new (void);
void fairness_free (fairness_t *fairness);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (fairness_t, fairness_free)

/* Records that SLOT passes over ACCOUNT, which waits for the same service at
   VIRTUAL_TIME, and checks it.  IS_ELIGIBLE: ACCOUNT could have taken the
   slot.  To be called for each other account that waits, before
   fairness_assign.  */
fairness_verdict_t fairness_check_passed (fairness_t *fairness,
                                          const fairness_slot_t *slot,
                                          const char *account,
                                          double virtual_time,
                                          bool is_eligible, cfd_time_t now);
void fairness_assign (fairness_t *fairness, const fairness_slot_t *slot,
                      cfd_time_t now);
/* No work of the account waits any more.  */
void fairness_end_wait (fairness_t *fairness, const char *account,
                        const char *service);
/* The account's virtual time was changed by TOKENS, weighted, other than by
   fairness_assign; only a decrease matters.  */
void fairness_adjust (fairness_t *fairness, const char *account,
                      const char *service, double tokens);
void fairness_expire (fairness_t *fairness, cfd_time_t now);
/* Milliseconds between the first and the last slot that others took in place
   of one account that still waits; the maximum of all accounts.  */
cfd_time_t fairness_longest_wait_ms (const fairness_t *fairness);

#endif
