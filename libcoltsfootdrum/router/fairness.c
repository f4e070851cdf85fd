#include "router/fairness.h"

#include "base/pair.h"

#include <math.h>

/* What sums of doubles may be off by.  */
#define ROUNDING_TOKENS 0.5
#define ROUNDING_RATIO 1e-9

/* One wait: from the first slot that another took while work waited, to the
   next slot of its own, or until no work waits.  */
typedef struct
{
  bool is_open;
  uint64_t first_slot;
  double virtual_time;     /* at the last turn */
  unsigned other_accounts; /* accounts that took slots */
  double
      allowance_tokens; /* by which they could, without their last charges */
  double max_charge;    /* charge */
  double passed_tokens; /* charges of the slots that it could have taken */
  cfd_time_t first_passed_at; /* the first and the last of these slots */
  cfd_time_t last_passed_at;
} wait_t;

typedef struct
{
  pair_t key;
  uint64_t last_slot;    /* 0: took none */
  double lowered_tokens; /* since then */
  cfd_time_t last_slot_at;
  wait_t wait;
} entry_t;

struct fairness
{
  GHashTable *entries; /* pair_t to entry_t */
  uint64_t slot_count; /* turns so far */
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
rounding (double value)
{
  return ROUNDING_TOKENS + ROUNDING_RATIO * fabs (value);
}

/* What the account that waits gained or lost since the last turn.  Each of the
   others may go on until it has come to the new place.  */
static void
update_virtual_time (wait_t *wait, double virtual_time)
{
  if (virtual_time > wait->virtual_time)
    wait->allowance_tokens
        += wait->other_accounts * (virtual_time - wait->virtual_time);
  wait->virtual_time = virtual_time;
}

/* TAKER is NULL when it never took a slot.  */
static void
extend_allowance (wait_t *wait, const entry_t *taker,
                  const fairness_slot_t *slot)
{
  wait->max_charge = fmax (wait->max_charge, slot->charge);
  if (taker != NULL && taker->last_slot >= wait->first_slot)
    {
      wait->allowance_tokens += taker->lowered_tokens;
      return;
    }
  wait->other_accounts++;
  wait->allowance_tokens += fmax (wait->virtual_time - slot->virtual_time, 0);
}

static fairness_verdict_t
check_wait (const wait_t *wait, const fairness_slot_t *slot)
{
  double max_passed
      = wait->allowance_tokens + wait->other_accounts * wait->max_charge;

  if (slot->virtual_time > wait->virtual_time + rounding (wait->virtual_time))
    return FAIRNESS_OUT_OF_ORDER;
  if (wait->passed_tokens > max_passed + rounding (wait->passed_tokens)
                                + rounding (wait->virtual_time))
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
                      .first_slot = fairness->slot_count + 1,
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
  wait->passed_tokens += slot->charge;
  return check_wait (wait, slot);
}

void
fairness_assign (fairness_t *fairness, const fairness_slot_t *slot,
                 cfd_time_t now)
{
  entry_t *entry = find_or_add (fairness, slot->account, slot->service);

  entry->last_slot = ++fairness->slot_count;
  entry->lowered_tokens = 0;
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
    entry->lowered_tokens -= tokens;
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
