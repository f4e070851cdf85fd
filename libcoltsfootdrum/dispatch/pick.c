#include "dispatch/pick-private.h"

#include <math.h>

/* Weight of the newest round trip.  */
#define TRIP_WEIGHT 0.2

/* Round trips that a router may take beyond PICK_ANSWER_TIMEOUT_MS.  */
#define TRIPS 2

static bool
source_is_silent (const source_t *source, cfd_time_t now)
{
  if (source->quiet)
    return true;
  return source->asked != CFD_TIME_NEVER
         && (double)(now - source->asked)
                >= PICK_ANSWER_TIMEOUT_MS + TRIPS * source->round_trip;
}

static bool
entry_can_go (const entry_t *entry, cfd_time_t now)
{
  return entry->count > entry->flying && entry->until > now
         && !source_is_silent (entry->source, now);
}

static bool
entry_before (const entry_t *a, const entry_t *b)
{
  if (a->class_rank != b->class_rank)
    return a->class_rank < b->class_rank;
  return a->oldest < b->oldest;
}

/* The account's entry to grant to, and in TIME its virtual time; NULL when
   none of it waits.  */
static entry_t *
claimant_best (const pick_t *pick, const claimant_t *claimant, cfd_time_t now,
               double *time)
{
  entry_t *best = NULL;

  *time = pick_claimant_time (pick, claimant, now);
  list_for_each (node, &claimant->entries)
    {
      entry_t *entry = list_entry (node, entry_t, node);

      if (!entry_can_go (entry, now))
        continue;
      if (best == NULL || entry_before (entry, best))
        best = entry;
    }
  return best;
}

typedef struct
{
  claimant_t *claimant;
  entry_t *entry;
  double time;
  double second; /* least time of another account */
  double floor;  /* least time of any account, without grants in flight */
} search_t;

static void
search_offer (search_t *search, claimant_t *claimant, entry_t *entry,
              double time)
{
  bool first
      = search->entry == NULL || time < search->time
        || (time <= search->time && claimant->turn < search->claimant->turn);

  if (!first)
    {
      search->second = MIN (search->second, time);
      return;
    }
  if (search->entry != NULL)
    search->second = search->time;
  search->claimant = claimant;
  search->entry = entry;
  search->time = time;
}

static uint64_t
record_flight (pick_t *pick, const search_t *found, cfd_time_t now)
{
  flight_t *flight = g_new0 (flight_t, 1);

  flight->id = ++pick->last_grant;
  flight->router = g_strdup (found->entry->source->name);
  flight->account = g_strdup (found->claimant->name);
  flight->made = now;
  flight->until = now + PICK_GRANT_LIFETIME_MS;
  g_hash_table_insert (pick->flights, &flight->id, flight);
  if (found->entry->source->asked == CFD_TIME_NEVER)
    found->entry->source->asked = now;
  found->entry->flying++;
  found->claimant->flying++;
  found->claimant->turn = flight->id;
  return flight->id;
}

uint64_t
pick_make_grant (pick_t *pick, cfd_time_t now, pick_choice_t *choice)
{
  search_t search = { .second = INFINITY, .floor = INFINITY };

  list_for_each (node, &pick->accounts)
    {
      claimant_t *claimant = list_entry (node, claimant_t, node);
      double time;
      entry_t *entry = claimant_best (pick, claimant, now, &time);

      if (entry == NULL)
        continue;
      search.floor = MIN (search.floor, time);
      search_offer (&search, claimant, entry,
                    time + claimant->flying * claimant->step);
    }
  if (search.entry == NULL)
    return 0;
  choice->router = search.entry->source->name;
  choice->account = search.claimant->name;
  choice->limit_vt = search.second;
  choice->floor = search.floor;
  return record_flight (pick, &search, now);
}

static void
learn_round_trip (pick_t *pick, const flight_t *flight, cfd_time_t now)
{
  source_t *source = g_hash_table_lookup (pick->sources, flight->router);
  double taken = (double)(now - flight->made);

  if (source == NULL)
    return;
  source->asked = CFD_TIME_NEVER;
  if (source->round_trip <= 0)
    source->round_trip = taken;
  source->round_trip += TRIP_WEIGHT * (taken - source->round_trip);
}

static void
flight_landed (pick_t *pick, const flight_t *flight)
{
  claimant_t *claimant
      = g_hash_table_lookup (pick->by_account, flight->account);
  entry_t *entry
      = claimant != NULL ? pick_entry_find (claimant, flight->router) : NULL;

  if (claimant != NULL && claimant->flying > 0)
    claimant->flying--;
  if (entry == NULL)
    return;
  if (entry->flying > 0)
    entry->flying--;
  if (entry->count == 0)
    pick_entry_withdraw (pick, claimant, entry);
}

bool
pick_complete_grant (pick_t *pick, uint64_t grant, cfd_time_t now)
{
  flight_t *flight = g_hash_table_lookup (pick->flights, &grant);
  bool alive;

  if (flight == NULL)
    return false;
  alive = now < flight->until;
  if (alive)
    learn_round_trip (pick, flight, now);
  flight_landed (pick, flight);
  g_hash_table_remove (pick->flights, &grant);
  return alive;
}

static void
drop_lapsed_entries (pick_t *pick, cfd_time_t now)
{
  list_for_each_safe (node, &pick->accounts)
    {
      claimant_t *claimant = list_entry (node, claimant_t, node);

      list_for_each_safe (inner, &claimant->entries)
        {
          entry_t *entry = list_entry (inner, entry_t, node);

          if (entry->until <= now && entry->flying == 0)
            pick_entry_drop (entry);
        }
      pick_claimant_sweep (pick, claimant);
    }
}

/* Grants that hold a slot: an overdue answer may still come, but no slot waits
   for it.  */
static unsigned
count_holding (const pick_t *pick, cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;
  unsigned holding = 0;

  g_hash_table_iter_init (&iter, pick->flights);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const flight_t *flight = value;
      const source_t *source
          = g_hash_table_lookup (pick->sources, flight->router);

      holding += source == NULL || !source_is_silent (source, now);
    }
  return holding;
}

unsigned
pick_expire_grants (pick_t *pick, cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pick->flights);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      flight_t *flight = value;
      source_t *source;

      if (now < flight->until)
        continue;
      source = g_hash_table_lookup (pick->sources, flight->router);
      if (source != NULL)
        source->quiet = true;
      flight_landed (pick, flight);
      g_hash_table_iter_remove (&iter);
    }
  drop_lapsed_entries (pick, now);
  return count_holding (pick, now);
}

unsigned
pick_count_waiting (const pick_t *pick)
{
  unsigned waiting = 0;

  list_for_each (node, &pick->accounts)
    {
      const claimant_t *claimant = list_entry (node, claimant_t, node);

      list_for_each (inner, &claimant->entries)
        {
          const entry_t *entry = list_entry (inner, entry_t, node);

          if (entry->count > entry->flying)
            waiting += entry->count - entry->flying;
        }
    }
  return waiting;
}

static bool
claimant_has_free (const claimant_t *claimant)
{
  list_for_each (node, &claimant->entries)
    {
      const entry_t *entry = list_entry (node, entry_t, node);

      if (entry->count > entry->flying)
        return true;
    }
  return false;
}

bool
pick_has_waiting (const pick_t *pick)
{
  list_for_each (node, &pick->accounts)
    if (claimant_has_free (list_entry (node, claimant_t, node)))
      return true;
  return false;
}

static bool
claimant_waits (const claimant_t *claimant)
{
  list_for_each (node, &claimant->entries)
    if (list_entry (node, entry_t, node)->count > 0)
      return true;
  return false;
}

double
pick_compute_vt_spread (const pick_t *pick, cfd_time_t now)
{
  double least = INFINITY;
  double most = -INFINITY;

  list_for_each (node, &pick->accounts)
    {
      const claimant_t *claimant = list_entry (node, claimant_t, node);
      double time = pick_claimant_time (pick, claimant, now);

      if (!claimant_waits (claimant))
        continue;
      least = MIN (least, time);
      most = MAX (most, time);
    }
  return most > least ? most - least : 0;
}
