#include "router/fairness.h"

#include "base/pair.h"

#include <math.h>

/* Bound of the rounding error of sums of doubles: absolute, and relative.  */
#define ROUNDING_TOKENS 0.5
#define ROUNDING_RATIO 1e-9

/* One wait: from the first slot that another account took while work waited,
   to the account's own next slot, or until no work waits.  */
typedef struct
{
  bool is_open;
  uint64_t first_slot_number;
  double virtual_time;     /* at the last slot of another account */
  unsigned other_accounts; /* accounts that took slots meanwhile */
  /* Weighted tokens that they may take, without their last charges.  */
  double allowance;
  double max_charge;          /* of one slot */
  double passed_charges;      /* of the slots that it could have taken */
  cfd_time_t first_passed_at; /* first and last of these slots */
  cfd_time_t last_passed_at;
} wait_t;

typedef struct
{
  pair_t key;
  uint64_t last_slot_number; /* 0: no slot yet */
  double lowered_by;         /* decreases of its virtual time since then */
  cfd_time_t last_slot_at;
  wait_t wait;
} entry_t;

struct fairness
{
  GHashTable *entries; /* pair_t to entry_t */
  uint64_t slot_count; /* slots assigned so far */
};

fairness_t *
fairness_new (void)
{
  fairness_t *fairness = g_new0 (fairness_t, 1);

  fairness->entries = pair_table_new (NULL);
  return fairness;
}

void
fairness_free (fairness_t *fairness)
{
  if (fairness == NULL)
    return;
  g_hash_table_unref (fairness->entries);
  g_free (fairness);
}

static entry_t *
find_or_add (fairness_t *fairness, const char *account, const char *service)
{
  entry_t *entry = pair_table_find (fairness->entries, account, service);

  if (entry != NULL)
    return entry;
  return pair_table_add (fairness->entries, account, service, sizeof *entry);
}

static double
rounding_error (double value)
{
  return ROUNDING_TOKENS + ROUNDING_RATIO * fabs (value);
}

/* Takes over the virtual time of the waiting account.  If it rose, each of the
   other accounts may take the difference more.  */
static void
update_virtual_time (wait_t *wait, double virtual_time)
{
  if (virtual_time > wait->virtual_time)
    wait->allowance
        += wait->other_accounts * (virtual_time - wait->virtual_time);
  wait->virtual_time = virtual_time;
}

/* Adds to the bound what the account that takes SLOT may take.  TAKER is NULL
   if it never took a slot before.  */
static void
extend_allowance (wait_t *wait, const entry_t *taker,
                  const fairness_slot_t *slot)
{
  wait->max_charge = fmax (wait->max_charge, slot->charge);
  if (taker != NULL && taker->last_slot_number >= wait->first_slot_number)
    {
      wait->allowance += taker->lowered_by;
      return;
    }
  wait->other_accounts++;
  wait->allowance += fmax (wait->virtual_time - slot->virtual_time, 0);
}

static fairness_verdict_t
check_wait (const wait_t *wait, const fairness_slot_t *slot)
{
  double bound = wait->allowance + wait->other_accounts * wait->max_charge;

  if (slot->virtual_time
      > wait->virtual_time + rounding_error (wait->virtual_time))
    return FAIRNESS_OUT_OF_ORDER;
  if (wait->passed_charges > bound + rounding_error (wait->passed_charges)
                                 + rounding_error (wait->virtual_time))
    return FAIRNESS_BOUND_EXCEEDED;
  return FAIRNESS_OK;
}

fairness_verdict_t
fairness_check_passed (fairness_t *fairness, const fairness_slot_t *slot,
                       const char *account, double virtual_time,
                       bool is_eligible, cfd_time_t now)
{
  wait_t *wait = &find_or_add (fairness, account, slot->service)->wait;

  if (!wait->is_open)
    *wait = (wait_t){ .is_open = true,
                      .first_slot_number = fairness->slot_count + 1,
                      .virtual_time = virtual_time };
  update_virtual_time (wait, virtual_time);
  extend_allowance (
      wait, pair_table_find (fairness->entries, slot->account, slot->service),
      slot);
  if (!is_eligible)
    return FAIRNESS_OK;
  if (wait->first_passed_at == 0)
    wait->first_passed_at = now;
  wait->last_passed_at = now;
  wait->passed_charges += slot->charge;
  return check_wait (wait, slot);
}

void
fairness_assign (fairness_t *fairness, const fairness_slot_t *slot,
                 cfd_time_t now)
{
  entry_t *entry = find_or_add (fairness, slot->account, slot->service);

  entry->last_slot_number = ++fairness->slot_count;
  entry->lowered_by = 0;
  entry->last_slot_at = now;
  entry->wait = (wait_t){ 0 };
}

void
fairness_end_wait (fairness_t *fairness, const char *account,
                   const char *service)
{
  entry_t *entry = pair_table_find (fairness->entries, account, service);

  if (entry != NULL)
    entry->wait = (wait_t){ 0 };
}

void
fairness_adjust (fairness_t *fairness, const char *account,
                 const char *service, double tokens)
{
  entry_t *entry = pair_table_find (fairness->entries, account, service);

  if (entry != NULL && tokens < 0)
    entry->lowered_by -= tokens;
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer user)
{
  const entry_t *entry = value;
  const cfd_time_t *now = user;

  return !entry->wait.is_open
         && *now - entry->last_slot_at > FAIRNESS_EXPIRY_MS;
}

void
fairness_expire (fairness_t *fairness, cfd_time_t now)
{
  g_hash_table_foreach_remove (fairness->entries, is_expired, &now);
}

cfd_time_t
fairness_longest_wait_ms (const fairness_t *fairness)
{
  cfd_time_t longest = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fairness->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const wait_t *wait = &((const entry_t *)value)->wait;

      longest = MAX (longest, wait->last_passed_at - wait->first_passed_at);
    }
  return longest;
}
