#include "dispatch/pick-private.h"

#include <math.h>

/* Weight of the newest sample in a router's smoothed round trip.  */
#define ROUND_TRIP_WEIGHT 0.2

/* Usual round trips that an answer may take beyond PICK_ANSWER_TIMEOUT_MS.  */
#define ALLOWED_ROUND_TRIPS 2

/* Returns whether the router let a grant expire or its answer is overdue.  */
static bool
router_is_unresponsive (const router_t *router, cfd_time_t now)
{
  if (router->unresponsive)
    return true;
  return router->first_unanswered != CFD_TIME_NEVER
         && (double)(now - router->first_unanswered)
                >= PICK_ANSWER_TIMEOUT_MS
                       + ALLOWED_ROUND_TRIPS * router->round_trip_ms;
}

static bool
entry_is_grantable (const entry_t *entry, cfd_time_t now)
{
  return entry->count > entry->in_flight && entry->expires > now
         && !router_is_unresponsive (entry->router, now);
}

static bool
entry_precedes (const entry_t *a, const entry_t *b)
{
  if (a->class_rank != b->class_rank)
    return a->class_rank < b->class_rank;
  return a->oldest_enqueued < b->oldest_enqueued;
}

/* Returns the entry of ACCOUNT to grant to, or NULL when none is eligible;
   sets VT to the account's virtual time.  */
static entry_t *
find_best_entry (const pick_t *pick, const account_t *account, cfd_time_t now,
                 double *vt)
{
  entry_t *best = NULL;

  *vt = pick_estimate_account_vt (pick, account, now);
  list_for_each (node, &account->entries)
    {
      entry_t *entry = list_entry (node, entry_t, node);

      if (!entry_is_grantable (entry, now))
        continue;
      if (best == NULL || entry_precedes (entry, best))
        best = entry;
    }
  return best;
}

typedef struct
{
  account_t *account;
  entry_t *entry;
  double vt;
  double second_vt; /* least virtual time of another account */
  double floor;     /* least virtual time, without grants in flight */
} search_t;

static void
search_consider (search_t *search, account_t *account, entry_t *entry,
                 double vt)
{
  bool first = search->entry == NULL || vt < search->vt
               || (vt <= search->vt
                   && account->last_grant_id < search->account->last_grant_id);

  if (!first)
    {
      search->second_vt = MIN (search->second_vt, vt);
      return;
    }
  if (search->entry != NULL)
    search->second_vt = search->vt;
  search->account = account;
  search->entry = entry;
  search->vt = vt;
}

static uint64_t
record_grant (pick_t *pick, const search_t *found, cfd_time_t now)
{
  grant_t *grant = g_new0 (grant_t, 1);

  grant->id = ++pick->newest_grant_id;
  grant->router = g_strdup (found->entry->router->name);
  grant->account = g_strdup (found->account->name);
  grant->granted = now;
  grant->expires = now + PICK_GRANT_LIFETIME_MS;
  g_hash_table_insert (pick->grants, &grant->id, grant);
  if (found->entry->router->first_unanswered == CFD_TIME_NEVER)
    found->entry->router->first_unanswered = now;
  found->entry->in_flight++;
  found->account->in_flight++;
  found->account->last_grant_id = grant->id;
  return grant->id;
}

uint64_t
pick_make_grant (pick_t *pick, cfd_time_t now, pick_choice_t *choice)
{
  search_t search = { .second_vt = INFINITY, .floor = INFINITY };

  list_for_each (node, &pick->accounts)
    {
      account_t *account = list_entry (node, account_t, node);
      double vt;
      entry_t *entry = find_best_entry (pick, account, now, &vt);

      if (entry == NULL)
        continue;
      search.floor = MIN (search.floor, vt);
      search_consider (&search, account, entry,
                       vt + account->in_flight * account->vt_step);
    }
  if (search.entry == NULL)
    return 0;
  choice->router = search.entry->router->name;
  choice->account = search.account->name;
  choice->limit_vt = search.second_vt;
  choice->floor = search.floor;
  return record_grant (pick, &search, now);
}

static void
update_round_trip (pick_t *pick, const grant_t *grant, cfd_time_t now)
{
  router_t *router = g_hash_table_lookup (pick->routers, grant->router);
  double sample_ms = (double)(now - grant->granted);

  if (router == NULL)
    return;
  router->first_unanswered = CFD_TIME_NEVER;
  if (router->round_trip_ms <= 0)
    router->round_trip_ms = sample_ms;
  router->round_trip_ms
      += ROUND_TRIP_WEIGHT * (sample_ms - router->round_trip_ms);
}

static void
release_grant (pick_t *pick, const grant_t *grant)
{
  account_t *account = g_hash_table_lookup (pick->by_account, grant->account);
  entry_t *entry
      = account != NULL ? pick_entry_find (account, grant->router) : NULL;

  if (account != NULL && account->in_flight > 0)
    account->in_flight--;
  if (entry == NULL)
    return;
  if (entry->in_flight > 0)
    entry->in_flight--;
  if (entry->count == 0)
    pick_entry_withdraw (pick, account, entry);
}

bool
pick_complete_grant (pick_t *pick, uint64_t grant_id, cfd_time_t now)
{
  grant_t *grant = g_hash_table_lookup (pick->grants, &grant_id);
  bool is_valid;

  if (grant == NULL)
    return false;
  is_valid = now < grant->expires;
  if (is_valid)
    update_round_trip (pick, grant, now);
  release_grant (pick, grant);
  g_hash_table_remove (pick->grants, &grant_id);
  return is_valid;
}

static void
free_expired_entries (pick_t *pick, cfd_time_t now)
{
  list_for_each_safe (node, &pick->accounts)
    {
      account_t *account = list_entry (node, account_t, node);

      list_for_each_safe (inner, &account->entries)
        {
          entry_t *entry = list_entry (inner, entry_t, node);

          if (entry->expires <= now && entry->in_flight == 0)
            pick_entry_free (entry);
        }
      pick_account_free_if_empty (pick, account);
    }
}

/* Counts the grants that hold a slot.  An overdue answer may still come, but
   no slot is kept for it.  */
static unsigned
count_held_slots (const pick_t *pick, cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;
  unsigned held = 0;

  g_hash_table_iter_init (&iter, pick->grants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const grant_t *grant = value;
      const router_t *router
          = g_hash_table_lookup (pick->routers, grant->router);

      held += router == NULL || !router_is_unresponsive (router, now);
    }
  return held;
}

unsigned
pick_expire_grants (pick_t *pick, cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pick->grants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      grant_t *grant = value;
      router_t *router;

      if (now < grant->expires)
        continue;
      router = g_hash_table_lookup (pick->routers, grant->router);
      if (router != NULL)
        router->unresponsive = true;
      release_grant (pick, grant);
      g_hash_table_iter_remove (&iter);
    }
  free_expired_entries (pick, now);
  return count_held_slots (pick, now);
}

unsigned
pick_count_waiting (const pick_t *pick)
{
  unsigned waiting = 0;

  list_for_each (node, &pick->accounts)
    {
      const account_t *account = list_entry (node, account_t, node);

      list_for_each (inner, &account->entries)
        {
          const entry_t *entry = list_entry (inner, entry_t, node);

          if (entry->count > entry->in_flight)
            waiting += entry->count - entry->in_flight;
        }
    }
  return waiting;
}

static bool
account_has_ungranted (const account_t *account)
{
  list_for_each (node, &account->entries)
    {
      const entry_t *entry = list_entry (node, entry_t, node);

      if (entry->count > entry->in_flight)
        return true;
    }
  return false;
}

bool
pick_has_waiting (const pick_t *pick)
{
  list_for_each (node, &pick->accounts)
    if (account_has_ungranted (list_entry (node, account_t, node)))
      return true;
  return false;
}

static bool
account_has_waiting (const account_t *account)
{
  list_for_each (node, &account->entries)
    if (list_entry (node, entry_t, node)->count > 0)
      return true;
  return false;
}

double
pick_compute_vt_spread (const pick_t *pick, cfd_time_t now)
{
  double lowest = INFINITY;
  double highest = -INFINITY;

  list_for_each (node, &pick->accounts)
    {
      const account_t *account = list_entry (node, account_t, node);
      double vt = pick_estimate_account_vt (pick, account, now);

      if (!account_has_waiting (account))
        continue;
      lowest = MIN (lowest, vt);
      highest = MAX (highest, vt);
    }
  return highest > lowest ? highest - lowest : 0;
}
