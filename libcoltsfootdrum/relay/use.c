/* Usage of client accounts: sums with exponential decay and the fair level.
 */

#include "relay/use.h"

#include <math.h>
#include <stdlib.h>

/* Smaller sums count as 0.  */
#define EMPTY_SUM_TOKENS 1.
/* From this share on, all demand counts as served and no account is throttled:
   requests that wait at the moment are demand that is not served yet.  */
#define ALL_SERVED_SHARE 0.95

/* Sums as of the time AT.  They decay to 1/e within the window.  */
typedef struct
{
  use_sum_t sum;
  cfd_time_t at;
} use_decayed_t;

typedef struct
{
  use_decayed_t own;
  use_decayed_t others; /* the sum over PEERS, updated incrementally */
  GHashTable *peers;    /* router to use_decayed_t */
} use_account_t;

struct use
{
  double window_ms;
  GHashTable *accounts; /* name to use_account_t */
  double level;         /* INFINITY while all demand is served */
};

static void
account_free (void *data)
{
  use_account_t *account = data;

  g_hash_table_unref (account->peers);
  g_free (account);
}

use_t *
use_new (int64_t window_ms)
{
  use_t *use = g_new0 (use_t, 1);

  use->window_ms = (double)window_ms;
  use->level = INFINITY;
  use->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, account_free);
  return use;
}

void
use_free (use_t *use)
{
  if (use == NULL)
    return;
  g_hash_table_unref (use->accounts);
  g_free (use);
}

static use_account_t *
find_or_add_account (use_t *use, const char *name)
{
  use_account_t *account = g_hash_table_lookup (use->accounts, name);

  if (account != NULL)
    return account;
  account = g_new0 (use_account_t, 1);
  account->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (use->accounts, g_strdup (name), account);
  return account;
}

static use_sum_t
decay (const use_t *use, const use_decayed_t *decayed, cfd_time_t now)
{
  double remaining
      = exp (-(double)MAX (now - decayed->at, 0) / use->window_ms);

  return (use_sum_t){ .demand = decayed->sum.demand * remaining,
                      .served = decayed->sum.served * remaining };
}

static void
add_to (const use_t *use, use_decayed_t *decayed, cfd_time_t now,
        double demand, double served)
{
  use_sum_t sum = decay (use, decayed, now);

  decayed->sum.demand = MAX (sum.demand + demand, 0.);
  decayed->sum.served = MAX (sum.served + served, 0.);
  decayed->at = now;
}

static void
add (use_t *use, cfd_time_t now, const char *name, double demand,
     double served)
{
  add_to (use, &find_or_add_account (use, name)->own, now, demand, served);
}

/* Subtracts the sums of one router from those of all other routers.  All sums
   decay at the same rate, and so does their total.  */
static void
subtract_peer (const use_t *use, use_account_t *account,
               const use_decayed_t *decayed, cfd_time_t now)
{
  use_sum_t old = decay (use, decayed, now);

  add_to (use, &account->others, now, -old.demand, -old.served);
}

void
use_add_demand (use_t *use, cfd_time_t now, const char *account, double cost)
{
  add (use, now, account, cost, 0.);
}

void
use_add_served (use_t *use, cfd_time_t now, const char *account, double cost)
{
  add (use, now, account, 0., cost);
}

void
use_update_peer (use_t *use, cfd_time_t now, const char *router,
                 const char *name, const use_sum_t *own)
{
  use_account_t *account = find_or_add_account (use, name);
  use_decayed_t *decayed = g_hash_table_lookup (account->peers, router);

  if (decayed == NULL)
    {
      decayed = g_new0 (use_decayed_t, 1);
      g_hash_table_insert (account->peers, g_strdup (router), decayed);
    }
  subtract_peer (use, account, decayed, now);
  decayed->sum = *own;
  decayed->at = now;
  add_to (use, &account->others, now, own->demand, own->served);
}

static use_sum_t
sum_account (const use_t *use, const use_account_t *account, cfd_time_t now)
{
  use_sum_t own = decay (use, &account->own, now);
  use_sum_t others = decay (use, &account->others, now);

  return (use_sum_t){ .demand = own.demand + others.demand,
                      .served = own.served + others.served };
}

use_sum_t
use_total (const use_t *use, cfd_time_t now, const char *name)
{
  const use_account_t *account = g_hash_table_lookup (use->accounts, name);

  return account != NULL ? sum_account (use, account, now) : (use_sum_t){ 0 };
}

double
use_own_rate (const use_t *use, cfd_time_t now, const char *name)
{
  const use_account_t *account = g_hash_table_lookup (use->accounts, name);

  return account != NULL
             ? decay (use, &account->own, now).served / use->window_ms
             : 0.;
}

void
use_foreach_own (use_t *use, cfd_time_t now, cfd_time_t since,
                 void (*callback) (void *user, const char *account,
                                   const use_sum_t *own),
                 void *user)
{
  GHashTableIter each;
  void *name;
  void *account;

  g_hash_table_iter_init (&each, use->accounts);
  while (g_hash_table_iter_next (&each, &name, &account))
    {
      const use_decayed_t *decayed = &((use_account_t *)account)->own;
      use_sum_t own = decay (use, decayed, now);

      if (decayed->at < since)
        continue;
      if (own.demand >= EMPTY_SUM_TOKENS || own.served >= EMPTY_SUM_TOKENS)
        callback (user, name, &own);
    }
}

void
use_remove_peer (use_t *use, cfd_time_t now, const char *router)
{
  GHashTableIter each;
  void *data;

  g_hash_table_iter_init (&each, use->accounts);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      use_account_t *account = data;
      const use_decayed_t *decayed
          = g_hash_table_lookup (account->peers, router);

      if (decayed == NULL)
        continue;
      subtract_peer (use, account, decayed, now);
      g_hash_table_remove (account->peers, router);
    }
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Returns the level at which COUNT accounts are served TOTAL together.  DEMAND
   is sorted in ascending order.  */
static double
compute_level (const double *demand, guint count, double total)
{
  for (guint i = 0; i < count; i++)
    {
      double equal_share = total / (count - i);

      if (demand[i] >= equal_share)
        return equal_share;
      total -= demand[i];
    }
  return INFINITY;
}

void
use_update_level (use_t *use, cfd_time_t now)
{
  g_autoptr (GArray) demand = g_array_new (FALSE, FALSE, sizeof (double));
  double all_demand = 0.;
  double all_served = 0.;
  GHashTableIter each;
  void *account;

  g_hash_table_iter_init (&each, use->accounts);
  while (g_hash_table_iter_next (&each, NULL, &account))
    {
      use_sum_t sum = sum_account (use, account, now);

      if (sum.demand < EMPTY_SUM_TOKENS && sum.served < EMPTY_SUM_TOKENS)
        {
          g_hash_table_iter_remove (&each);
          continue;
        }
      all_demand += sum.demand;
      all_served += sum.served;
      g_array_append_val (demand, sum.demand);
    }
  use->level = INFINITY;
  if (all_served >= all_demand * ALL_SERVED_SHARE)
    return;
  qsort (demand->data, demand->len, sizeof (double), compare_doubles);
  use->level
      = compute_level ((const double *)demand->data, demand->len, all_served);
}

double
use_level_ratio (const use_t *use, cfd_time_t now, const char *account)
{
  if (isinf (use->level) || use->level <= 0.)
    return 0.;
  return use_total (use, now, account).served / use->level;
}

double
use_due_ratio (const use_t *use, cfd_time_t now, const char *account)
{
  use_sum_t all = use_total (use, now, account);
  double due = MIN (all.demand, use->level);

  if (isinf (use->level) || due < EMPTY_SUM_TOKENS)
    return 1.;
  return all.served / due;
}
