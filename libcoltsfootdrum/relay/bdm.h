/* Body memory.  Shares an instance's memory for request bodies between client
   accounts.

   Load pattern: one account sends many times its usual, with bodies as large
   as the limits allow, over many connections, on an instance with little
   memory.  Without a bound of the sum the instance is killed, and the streams
   of all other accounts end with it.

   The memory for a body is reserved before the body is read.  An account may
   hold up to BDM_FREE_FACTOR times what is left free, so that a part is always
   left for an account that holds nothing: one account alone gets two thirds
   of the budget, two get two fifths each.  A claim that doesn't fit waits,
   first come first served within its account, those that hold a part of their
   body before the others; a smaller one that fits doesn't wait behind them.
   Of the accounts with waiting claims the one that holds least is next.  No
   more waits for an account than it holds, since the rest would wait in
   vain.  */

#ifndef RELAY_BDM_H
#define RELAY_BDM_H

#include "base/clock.h"
#include "base/list.h"
#include <glib.h>

#define BDM_FREE_FACTOR 2u

typedef struct bdm bdm_t;
typedef struct bdm_account bdm_account_t;

/* Memory for the body of one request.  Embedded in its user, which must
   release it before the end.  */
typedef struct
{
  list_node_t node;       /* among the waiting ones of its account */
  bdm_account_t *account; /* NULL: nothing is held for one */
  size_t held;
  size_t wanted; /* beyond what is held; 0: it doesn't wait */
  cfd_time_t waiting_since;
} bdm_claim_t;

typedef enum
{
  BDM_GRANTED,
  BDM_WAITING,
  BDM_REFUSED
} bdm_outcome_t;

bdm_t *bdm_new (void);
void bdm_free (bdm_t *bdm);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (bdm_t, bdm_free)

/* Sets the memory for all bodies; 0: no limit.  */
void bdm_set_budget (bdm_t *bdm, size_t bytes);
size_t bdm_get_budget (const bdm_t *bdm);

void bdm_claim_init (bdm_claim_t *claim);

/* Reserves BYTES more for CLAIM, of the account NAME, which must be the same
   in all calls.  A claim that waits must not be reserved for again.  */
bdm_outcome_t bdm_reserve (bdm_t *bdm, cfd_time_t now, bdm_claim_t *claim,
                           const char *name, size_t bytes);
/* Counts BYTES more for CLAIM, which are held already and of no known account.
   Other claims get less, and none is refused.  */
void bdm_count (bdm_t *bdm, bdm_claim_t *claim, size_t bytes);
/* Returns a waiting claim that fits now and was granted, or NULL.  */
bdm_claim_t *bdm_grant_next (bdm_t *bdm);
/* Ends CLAIM, waiting or not, and gives back what it holds.  */
void bdm_release (bdm_t *bdm, bdm_claim_t *claim);

/* Returns the bytes that are held for all accounts.  */
size_t bdm_get_held (const bdm_t *bdm);
/* Returns the bytes that are held for the account of CLAIM.  */
size_t bdm_get_account_held (const bdm_claim_t *claim);
/* Returns the number of waiting claims.  */
unsigned bdm_count_waiting (const bdm_t *bdm);

#endif
