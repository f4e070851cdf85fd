/* Accounts' recent service.  */

#include "relay/use.h"

#include <math.h>

/* Below this an account's figure is taken for nothing, in tokens.  */
#define NOTHING 1.

/* A figure that fades out: after the window it is down to 1/e.  */
typedef struct
{
  double amount;
  cfd_time_t at;
} use_figure_t;

typedef struct
{
  use_figure_t own;
  GHashTable *peers; /* router to use_figure_t */
} use_account_t;

struct use
{
  double window_ms;
  GHashTable *accounts; /* name to use_account_t */
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

static double
faded (const use_t *use, const use_figure_t *figure, cfd_time_t now)
{
  double age = (double)MAX (now - figure->at, 0);

  return figure->amount * exp (-age / use->window_ms);
}

static void
set_figure (use_figure_t *figure, cfd_time_t now, double amount)
{
  figure->amount = MAX (amount, 0.);
  figure->at = now;
}

void
use_add (use_t *use, cfd_time_t now, const char *name, double cost)
{
  use_account_t *account = account_of (use, name);

  set_figure (&account->own, now, faded (use, &account->own, now) + cost);
}

void
use_hear (use_t *use, cfd_time_t now, const char *router, const char *name,
          double own)
{
  use_account_t *account = account_of (use, name);
  use_figure_t *figure = g_hash_table_lookup (account->peers, router);

  if (figure == NULL)
    {
      figure = g_new0 (use_figure_t, 1);
      g_hash_table_insert (account->peers, g_strdup (router), figure);
    }
  set_figure (figure, now, own);
}

double
use_own (use_t *use, cfd_time_t now, const char *name)
{
  use_account_t *account = g_hash_table_lookup (use->accounts, name);

  return account != NULL ? faded (use, &account->own, now) : 0.;
}

double
use_all (use_t *use, cfd_time_t now, const char *name)
{
  use_account_t *account = g_hash_table_lookup (use->accounts, name);
  GHashTableIter each;
  void *figure;
  double sum;

  if (account == NULL)
    return 0.;
  sum = faded (use, &account->own, now);
  g_hash_table_iter_init (&each, account->peers);
  while (g_hash_table_iter_next (&each, NULL, &figure))
    sum += faded (use, figure, now);
  return sum;
}

void
use_each_own (use_t *use, cfd_time_t now,
              void (*back) (void *user, const char *account, double own),
              void *user)
{
  GHashTableIter each;
  void *name;
  void *account;

  g_hash_table_iter_init (&each, use->accounts);
  while (g_hash_table_iter_next (&each, &name, &account))
    {
      double own = faded (use, &((use_account_t *)account)->own, now);

      if (own >= NOTHING)
        back (user, name, own);
    }
}

void
use_forget (use_t *use, const char *router)
{
  GHashTableIter each;
  void *account;

  g_hash_table_iter_init (&each, use->accounts);
  while (g_hash_table_iter_next (&each, NULL, &account))
    g_hash_table_remove (((use_account_t *)account)->peers, router);
}
