/* Accounts' shares.  */

#include "relay/use.h"

#include <math.h>
#include <stdlib.h>

/* Below this an account's sums are taken for nothing, in tokens.  */
#define NOTHING 1.
/* Accounts that together asked for this little more than they got are served
   in full: what waits right now is asked for and not got yet.  */
#define ALL_SERVED 0.95

/* Sums that fade out: after the window they are down to 1/e.  */
typedef struct
{
  use_sum_t sum;
  cfd_time_t at;
} use_figure_t;

typedef struct
{
  use_figure_t own;
  use_figure_t others; /* the sum over PEERS, kept by differences */
  GHashTable *peers;   /* router to use_figure_t */
} use_account_t;

struct use
{
  double window_ms;
  GHashTable *accounts; /* name to use_account_t */
  double level;         /* INFINITY while all get what they ask for */
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
account_of (use_t *use, const char *name)
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
faded (const use_t *use, const use_figure_t *figure, cfd_time_t now)
{
  double keep = exp (-(double)MAX (now - figure->at, 0) / use->window_ms);

  return (use_sum_t){ .asked = figure->sum.asked * keep,
                      .got = figure->sum.got * keep };
}

static void
add_to (const use_t *use, use_figure_t *figure, cfd_time_t now, double asked,
        double got)
{
  use_sum_t sum = faded (use, figure, now);

  figure->sum.asked = MAX (sum.asked + asked, 0.);
  figure->sum.got = MAX (sum.got + got, 0.);
  figure->at = now;
}

static void
add (use_t *use, cfd_time_t now, const char *name, double asked, double got)
{
  add_to (use, &account_of (use, name)->own, now, asked, got);
}

/* All figures decay at one rate, so that their sum does too.  */
static void
take_off (const use_t *use, use_account_t *account, const use_figure_t *figure,
          cfd_time_t now)
{
  use_sum_t old = faded (use, figure, now);

  add_to (use, &account->others, now, -old.asked, -old.got);
}

void
use_ask (use_t *use, cfd_time_t now, const char *account, double cost)
{
  add (use, now, account, cost, 0.);
}

void
use_get (use_t *use, cfd_time_t now, const char *account, double cost)
{
  add (use, now, account, 0., cost);
}

void
use_hear (use_t *use, cfd_time_t now, const char *router, const char *name,
          const use_sum_t *own)
{
  use_account_t *account = account_of (use, name);
  use_figure_t *figure = g_hash_table_lookup (account->peers, router);

  if (figure == NULL)
    {
      figure = g_new0 (use_figure_t, 1);
      g_hash_table_insert (account->peers, g_strdup (router), figure);
    }
  take_off (use, account, figure, now);
  figure->sum = *own;
  figure->at = now;
  add_to (use, &account->others, now, own->asked, own->got);
}

static use_sum_t
sum_of (const use_t *use, const use_account_t *account, cfd_time_t now)
{
  use_sum_t own = faded (use, &account->own, now);
  use_sum_t others = faded (use, &account->others, now);

  return (use_sum_t){ .asked = own.asked + others.asked,
                      .got = own.got + others.got };
}

use_sum_t
use_all (const use_t *use, cfd_time_t now, const char *name)
{
  const use_account_t *account = g_hash_table_lookup (use->accounts, name);

  return account != NULL ? sum_of (use, account, now) : (use_sum_t){ 0 };
}

double
use_own_rate (const use_t *use, cfd_time_t now, const char *name)
{
  const use_account_t *account = g_hash_table_lookup (use->accounts, name);

  return account != NULL ? faded (use, &account->own, now).got / use->window_ms
                         : 0.;
}

void
use_each_own (use_t *use, cfd_time_t now,
              void (*back) (void *user, const char *account,
                            const use_sum_t *own),
              void *user)
{
  GHashTableIter each;
  void *name;
  void *account;

  g_hash_table_iter_init (&each, use->accounts);
  while (g_hash_table_iter_next (&each, &name, &account))
    {
      use_sum_t own = faded (use, &((use_account_t *)account)->own, now);

      if (own.asked >= NOTHING || own.got >= NOTHING)
        back (user, name, &own);
    }
}

void
use_forget (use_t *use, cfd_time_t now, const char *router)
{
  GHashTableIter each;
  void *data;

  g_hash_table_iter_init (&each, use->accounts);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      use_account_t *account = data;
      const use_figure_t *figure
          = g_hash_table_lookup (account->peers, router);

      if (figure == NULL)
        continue;
      take_off (use, account, figure, now);
      g_hash_table_remove (account->peers, router);
    }
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* The level at which the COUNT accounts that asked for ASKED, least first,
   take WHOLE together.  */
static double
fill (const double *asked, guint count, double whole)
{
  for (guint i = 0; i < count; i++)
    {
      double even = whole / (count - i);

      if (asked[i] >= even)
        return even;
      whole -= asked[i];
    }
  return INFINITY;
}

void
use_level (use_t *use, cfd_time_t now)
{
  g_autoptr (GArray) asked = g_array_new (FALSE, FALSE, sizeof (double));
  double all_asked = 0.;
  double all_got = 0.;
  GHashTableIter each;
  void *account;

  g_hash_table_iter_init (&each, use->accounts);
  while (g_hash_table_iter_next (&each, NULL, &account))
    {
      use_sum_t sum = sum_of (use, account, now);

      if (sum.asked < NOTHING && sum.got < NOTHING)
        {
          g_hash_table_iter_remove (&each);
          continue;
        }
      all_asked += sum.asked;
      all_got += sum.got;
      g_array_append_val (asked, sum.asked);
    }
  use->level = INFINITY;
  if (all_got >= all_asked * ALL_SERVED)
    return;
  qsort (asked->data, asked->len, sizeof (double), compare);
  use->level = fill ((const double *)asked->data, asked->len, all_got);
}

double
use_over (const use_t *use, cfd_time_t now, const char *account)
{
  if (isinf (use->level) || use->level <= 0.)
    return 0.;
  return use_all (use, now, account).got / use->level;
}

double
use_of_due (const use_t *use, cfd_time_t now, const char *account)
{
  use_sum_t all = use_all (use, now, account);
  double due = MIN (all.asked, use->level);

  if (isinf (use->level) || due < NOTHING)
    return 1.;
  return all.got / due;
}
