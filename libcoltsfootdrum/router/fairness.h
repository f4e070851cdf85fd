/* Whose turn it was: a check that no client account starves.  Pure: time is an
   argument, nothing is sent.

   A slot goes to the account that has the least virtual time of all that wait
   at this router and could take it.  So whoever takes a slot in another's
   place is not ahead of it, and is ahead of it at most by the charge
   afterwards.  Its virtual time rises by each charge and falls only where a
   home or a correction lowers it.  While account A waits unserved, all that B
   takes in A's place is therefore at most

     how far B was behind A before B's first slot in that time
     + how far A's own virtual time rose meanwhile
     + what B's was lowered by meanwhile
     + one charge,

   and all that others take is at most the sum of that over them.  It stands
   for any order of moves of homes, lifts, forgiveness, weights, corrections,
   retries, returns from idle and agents that A must avoid; each of them moves
   a virtual time, begins a new wait or is no turn that A could have had.

   What is counted here are the charges themselves, not what became of them in
   virtual time: a charge that got lost makes the bound break.  A wrong order
   shows at once, with the first slot that goes to one who is ahead.  */

#ifndef ROUTER_FAIRNESS_H
#define ROUTER_FAIRNESS_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>

/* An account that took no slot for so long is forgotten, and counted as a new
   one.  Shorter than SHARE_ROUTER_EXPIRY_MS: what share forgets must be new
   here.  */
#define FAIRNESS_EXPIRY_MS 60000

typedef struct fairness fairness_t;

/* A slot that ACCOUNT takes.  */
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
  FAIRNESS_OUT_OF_ORDER,  /* the one passed over had got less */
  FAIRNESS_BOUND_EXCEEDED /* others took more in its place than they could */
} fairness_verdict_t;

fairness_t *fairness_new (void);
void fairness_free (fairness_t *fairness);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (fairness_t, fairness_free)

/* ACCOUNT waits for the same service, at VIRTUAL_TIME, and MAY take the slot
   or not.  To be called for each other account that waits, before
   fairness_assign.  */
fairness_verdict_t fairness_check_passed (fairness_t *fairness,
                                          const fairness_slot_t *slot,
                                          const char *account,
                                          double virtual_time,
                                          bool is_eligible, cfd_time_t now);
void fairness_assign (fairness_t *fairness, const fairness_slot_t *slot,
                      cfd_time_t now);
/* Nothing of the account waits any more.  */
void fairness_end_wait (fairness_t *fairness, const char *account,
                        const char *service);
/* Its virtual time was changed by so many weighted tokens otherwise than by
   fairness_assign; only a fall matters.  */
void fairness_adjust (fairness_t *fairness, const char *account,
                      const char *service, double tokens);
void fairness_expire (fairness_t *fairness, cfd_time_t now);
/* Milliseconds between the first and the last slot that went to others in
   place of one account that still waits; the longest of all.  */
cfd_time_t fairness_longest_wait_ms (const fairness_t *fairness);

#endif
