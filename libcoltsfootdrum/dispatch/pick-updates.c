#include "dispatch/pick-private.h"

#include <math.h>

/* Weight of the newest assignment in an account's expected step.  */
#define VT_STEP_WEIGHT 0.25

static void
grant_free (gpointer data)
{
  grant_t *grant = data;

  g_free (grant->router);
  g_free (grant->account);
  g_free (grant);
}

pick_t *
pick_new (void)
{
  pick_t *pick = g_new0 (pick_t, 1);

  list_init (&pick->accounts);
  pick->by_account = g_hash_table_new (g_str_hash, g_str_equal);
  pick->routers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  pick->grants
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, grant_free);
  return pick;
}

void
pick_entry_free (entry_t *entry)
{
  list_remove (&entry->node);
  g_free (entry);
}

void
pick_account_free_if_empty (pick_t *pick, account_t *account)
{
  if (!list_is_empty (&account->entries))
    return;
  g_hash_table_remove (pick->by_account, account->name);
  list_remove (&account->node);
  g_free (account->name);
  g_free (account);
}

void
pick_free (pick_t *pick)
{
  if (pick == NULL)
    return;
  list_for_each_safe (node, &pick->accounts)
    {
      account_t *account = list_entry (node, account_t, node);

      list_for_each_safe (inner, &account->entries)
        pick_entry_free (list_entry (inner, entry_t, node));
      pick_account_free_if_empty (pick, account);
    }
  g_hash_table_unref (pick->by_account);
  g_hash_table_unref (pick->grants);
  g_hash_table_unref (pick->routers);
  g_free (pick);
}

/* Returns the router named ID, added if it is new, and marks it as responsive:
   it has just sent a message.  */
static router_t *
touch_router (pick_t *pick, const char *id)
{
  router_t *router = g_hash_table_lookup (pick->routers, id);

  if (router == NULL)
    {
      char *name = g_strdup (id);

      router = g_new0 (router_t, 1);
      router->name = name;
      g_hash_table_insert (pick->routers, name, router);
    }
  router->unresponsive = false;
  router->first_unanswered = CFD_TIME_NEVER;
  return router;
}

entry_t *
pick_entry_find (account_t *account, const char *router)
{
  list_for_each (node, &account->entries)
    {
      entry_t *entry = list_entry (node, entry_t, node);

      if (g_str_equal (entry->router->name, router))
        return entry;
    }
  return NULL;
}

static account_t *
get_account (pick_t *pick, const char *name)
{
  account_t *account = g_hash_table_lookup (pick->by_account, name);

  if (account != NULL)
    return account;
  account = g_new0 (account_t, 1);
  account->name = g_strdup (name);
  list_init (&account->entries);
  list_append (&pick->accounts, &account->node);
  g_hash_table_insert (pick->by_account, account->name, account);
  return account;
}

static entry_t *
get_entry (pick_t *pick, account_t *account, const char *router)
{
  entry_t *entry = pick_entry_find (account, router);

  if (entry != NULL)
    return entry;
  entry = g_new0 (entry_t, 1);
  entry->router = touch_router (pick, router);
  list_append (&account->entries, &entry->node);
  return entry;
}

/* Extrapolates ENTRY's virtual time to NOW.  Fair queueing makes backlogged
   accounts advance together; comparing one account's fresh value with the old
   values of the others would make the fresh one look served too much, and the
   grant would be declined as stale, for one account after the other.  The
   round trip is added because a value is one way old when it arrives, and the
   grant takes the way back.  The next update corrects the estimate for an
   account that did not advance.  */
static double
estimate_entry_vt (const pick_t *pick, const entry_t *entry, cfd_time_t now)
{
  double elapsed_ms = (double)MIN (now - entry->vt_updated, entry->life_ms)
                      + entry->router->round_trip_ms;

  return entry->virtual_time
         + vt_rate_tokens_per_ms (&pick->vt_rate) * elapsed_ms;
}

double
pick_estimate_account_vt (const pick_t *pick, const account_t *account,
                          cfd_time_t now)
{
  double highest = -INFINITY;

  list_for_each (node, &account->entries)
    {
      const entry_t *entry = list_entry (node, entry_t, node);

      highest = MAX (highest, estimate_entry_vt (pick, entry, now));
    }
  return highest;
}

void
pick_entry_withdraw (pick_t *pick, account_t *account, entry_t *entry)
{
  entry->count = 0;
  if (entry->in_flight == 0)
    pick_entry_free (entry);
  pick_account_free_if_empty (pick, account);
}

static entry_t *
update_entry (pick_t *pick, const char *router, const msg_waiting_t *waiting,
              uint32_t life_ms, cfd_time_t now)
{
  account_t *account = get_account (pick, waiting->account);
  entry_t *entry = get_entry (pick, account, router);

  entry->count = waiting->count;
  entry->class_rank = waiting->class_rank;
  entry->oldest_enqueued = now - waiting->oldest_ms;
  if (entry->vt_updated != 0)
    vt_rate_update (&pick->vt_rate,
                    waiting->virtual_time - entry->virtual_time,
                    now - entry->vt_updated);
  entry->virtual_time = waiting->virtual_time;
  entry->vt_updated = now;
  entry->life_ms = life_ms;
  entry->expires = now + life_ms;
  if (waiting->count > 0)
    return entry;
  pick_entry_withdraw (pick, account, entry);
  return NULL;
}

static void
withdraw_unlisted (pick_t *pick, const char *router)
{
  list_for_each_safe (node, &pick->accounts)
    {
      account_t *account = list_entry (node, account_t, node);
      entry_t *entry = pick_entry_find (account, router);

      if (entry != NULL && !entry->listed)
        pick_entry_withdraw (pick, account, entry);
      else if (entry != NULL)
        entry->listed = false;
    }
}

void
pick_apply_announcement (pick_t *pick, const char *router,
                         const msg_announce_t *announce, cfd_time_t now)
{
  (void)touch_router (pick, router);
  for (uint32_t i = 0; i < announce->count; i++)
    {
      entry_t *entry = update_entry (pick, router, &announce->entries[i],
                                     announce->life_ms, now);

      if (entry != NULL)
        entry->listed = announce->full;
    }
  if (announce->full)
    withdraw_unlisted (pick, router);
}

/* Updates the expected growth of virtual time by one request.  The difference
   includes work given out elsewhere, which is good enough: the step only
   spreads grants made in one burst, and the router may decline them.  */
static void
update_vt_step (const pick_t *pick, account_t *account, double virtual_time,
                cfd_time_t now)
{
  double growth = virtual_time - pick_estimate_account_vt (pick, account, now);

  if (!isfinite (growth) || growth <= 0)
    return;
  account->vt_step += VT_STEP_WEIGHT * (growth - account->vt_step);
}

void
pick_update_waiting (pick_t *pick, const char *router,
                     const msg_waiting_t *left, cfd_time_t now)
{
  account_t *account = g_hash_table_lookup (pick->by_account, left->account);
  entry_t *entry = account != NULL ? pick_entry_find (account, router) : NULL;

  (void)touch_router (pick, router);
  /* Without an entry the lifetime is unknown; the next announcement brings
     it.  */
  if (entry == NULL)
    return;
  update_vt_step (pick, account, left->virtual_time, now);
  update_entry (pick, router, left, entry->life_ms, now);
}

void
pick_remove_router (pick_t *pick, const char *router)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pick->grants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      grant_t *grant = value;
      account_t *account;

      if (!g_str_equal (grant->router, router))
        continue;
      account = g_hash_table_lookup (pick->by_account, grant->account);
      if (account != NULL && account->in_flight > 0)
        account->in_flight--;
      g_hash_table_iter_remove (&iter);
    }
  list_for_each_safe (node, &pick->accounts)
    {
      account_t *account = list_entry (node, account_t, node);
      entry_t *entry = pick_entry_find (account, router);

      if (entry == NULL)
        continue;
      pick_entry_free (entry);
      pick_account_free_if_empty (pick, account);
    }
  g_hash_table_remove (pick->routers, router);
}
