#include "dispatch/pick-private.h"

#include <math.h>

/* Weight of the newest assignment in an account's expected step.  */
#define STEP_WEIGHT 0.25

static void
flight_free (gpointer data)
{
  flight_t *flight = data;

  g_free (flight->router);
  g_free (flight->account);
  g_free (flight);
}

pick_t *
pick_new (void)
{
  pick_t *pick = g_new0 (pick_t, 1);

  list_init (&pick->accounts);
  pick->by_account = g_hash_table_new (g_str_hash, g_str_equal);
  pick->sources
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  pick->flights
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, flight_free);
  return pick;
}

void
pick_entry_drop (entry_t *entry)
{
  list_remove (&entry->node);
  g_free (entry);
}

void
pick_claimant_sweep (pick_t *pick, claimant_t *claimant)
{
  if (!list_is_empty (&claimant->entries))
    return;
  g_hash_table_remove (pick->by_account, claimant->name);
  list_remove (&claimant->node);
  g_free (claimant->name);
  g_free (claimant);
}

void
pick_free (pick_t *pick)
{
  if (pick == NULL)
    return;
  list_for_each_safe (node, &pick->accounts)
    {
      claimant_t *claimant = list_entry (node, claimant_t, node);

      list_for_each_safe (inner, &claimant->entries)
        pick_entry_drop (list_entry (inner, entry_t, node));
      pick_claimant_sweep (pick, claimant);
    }
  g_hash_table_unref (pick->by_account);
  g_hash_table_unref (pick->flights);
  g_hash_table_unref (pick->sources);
  g_free (pick);
}

static source_t *
source_heard (pick_t *pick, const char *router)
{
  source_t *source = g_hash_table_lookup (pick->sources, router);

  if (source == NULL)
    {
      char *name = g_strdup (router);

      source = g_new0 (source_t, 1);
      source->name = name;
      g_hash_table_insert (pick->sources, name, source);
    }
  source->quiet = false;
  source->asked = CFD_TIME_NEVER;
  return source;
}

entry_t *
pick_entry_find (claimant_t *claimant, const char *router)
{
  list_for_each (node, &claimant->entries)
    {
      entry_t *entry = list_entry (node, entry_t, node);

      if (g_str_equal (entry->source->name, router))
        return entry;
    }
  return NULL;
}

static claimant_t *
claimant_get (pick_t *pick, const char *account)
{
  claimant_t *claimant = g_hash_table_lookup (pick->by_account, account);

  if (claimant != NULL)
    return claimant;
  claimant = g_new0 (claimant_t, 1);
  claimant->name = g_strdup (account);
  list_init (&claimant->entries);
  list_append (&pick->accounts, &claimant->node);
  g_hash_table_insert (pick->by_account, claimant->name, claimant);
  return claimant;
}

static entry_t *
entry_get (pick_t *pick, claimant_t *claimant, const char *router)
{
  entry_t *entry = pick_entry_find (claimant, router);

  if (entry != NULL)
    return entry;
  entry = g_new0 (entry_t, 1);
  entry->source = source_heard (pick, router);
  list_append (&claimant->entries, &entry->node);
  return entry;
}

/* ENTRY's word carried forward to NOW.  Backlogged accounts advance together,
   that is what fairness means; comparing one account's fresh word with the
   old words of the others would make the fresh one look served too much, and
   the grant would be declined as stale, one account after the other.  A word
   is one way old when it comes, and the grant takes the other.  An account
   that in truth stood still is known again with its next word.  */
static double
entry_time (const pick_t *pick, const entry_t *entry, cfd_time_t now)
{
  double passed = (double)MIN (now - entry->heard, entry->life_ms)
                  + entry->source->round_trip;

  return entry->virtual_time + pace_of (&pick->pace) * passed;
}

double
pick_claimant_time (const pick_t *pick, const claimant_t *claimant,
                    cfd_time_t now)
{
  double most = -INFINITY;

  list_for_each (node, &claimant->entries)
    {
      const entry_t *entry = list_entry (node, entry_t, node);

      most = MAX (most, entry_time (pick, entry, now));
    }
  return most;
}

void
pick_entry_withdraw (pick_t *pick, claimant_t *claimant, entry_t *entry)
{
  entry->count = 0;
  if (entry->flying == 0)
    pick_entry_drop (entry);
  pick_claimant_sweep (pick, claimant);
}

static entry_t *
take_word (pick_t *pick, const char *router, const msg_waiting_t *word,
           uint32_t life_ms, cfd_time_t now)
{
  claimant_t *claimant = claimant_get (pick, word->account);
  entry_t *entry = entry_get (pick, claimant, router);

  entry->count = word->count;
  entry->class_rank = word->class_rank;
  entry->oldest = now - word->oldest_ms;
  if (entry->heard != 0)
    pace_learn (&pick->pace, word->virtual_time - entry->virtual_time,
                now - entry->heard);
  entry->virtual_time = word->virtual_time;
  entry->heard = now;
  entry->life_ms = life_ms;
  entry->until = now + life_ms;
  if (word->count > 0)
    return entry;
  pick_entry_withdraw (pick, claimant, entry);
  return NULL;
}

static void
withdraw_unnamed (pick_t *pick, const char *router)
{
  list_for_each_safe (node, &pick->accounts)
    {
      claimant_t *claimant = list_entry (node, claimant_t, node);
      entry_t *entry = pick_entry_find (claimant, router);

      if (entry != NULL && !entry->named)
        pick_entry_withdraw (pick, claimant, entry);
      else if (entry != NULL)
        entry->named = false;
    }
}

void
pick_apply_announcement (pick_t *pick, const char *router,
                         const msg_announce_t *announce, cfd_time_t now)
{
  (void)source_heard (pick, router);
  for (uint32_t i = 0; i < announce->count; i++)
    {
      entry_t *entry = take_word (pick, router, &announce->entries[i],
                                  announce->life_ms, now);

      if (entry != NULL)
        entry->named = announce->full;
    }
  if (announce->full)
    withdraw_unnamed (pick, router);
}

/* Learns by how much one request moves the account on.  Others' work is in
   the difference too; the step only spreads grants made in one burst, and the
   router has the last word.  */
static void
learn_step (const pick_t *pick, claimant_t *claimant, double virtual_time,
            cfd_time_t now)
{
  double moved = virtual_time - pick_claimant_time (pick, claimant, now);

  if (!isfinite (moved) || moved <= 0)
    return;
  claimant->step += STEP_WEIGHT * (moved - claimant->step);
}

void
pick_update_waiting (pick_t *pick, const char *router,
                     const msg_waiting_t *left, cfd_time_t now)
{
  claimant_t *claimant = g_hash_table_lookup (pick->by_account, left->account);
  entry_t *entry
      = claimant != NULL ? pick_entry_find (claimant, router) : NULL;

  (void)source_heard (pick, router);
  /* Without an entry there is no lifetime to go by: the next announcement
     brings it.  */
  if (entry == NULL)
    return;
  learn_step (pick, claimant, left->virtual_time, now);
  take_word (pick, router, left, entry->life_ms, now);
}

void
pick_remove_router (pick_t *pick, const char *router)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pick->flights);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      flight_t *flight = value;
      claimant_t *claimant;

      if (!g_str_equal (flight->router, router))
        continue;
      claimant = g_hash_table_lookup (pick->by_account, flight->account);
      if (claimant != NULL && claimant->flying > 0)
        claimant->flying--;
      g_hash_table_iter_remove (&iter);
    }
  list_for_each_safe (node, &pick->accounts)
    {
      claimant_t *claimant = list_entry (node, claimant_t, node);
      entry_t *entry = pick_entry_find (claimant, router);

      if (entry == NULL)
        continue;
      pick_entry_drop (entry);
      pick_claimant_sweep (pick, claimant);
    }
  g_hash_table_remove (pick->sources, router);
}
