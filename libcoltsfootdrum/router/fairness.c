#include "router/fairness.h"

#include "base/pair.h"

#include <math.h>

/* What sums of doubles may be off by.  */
#define ROUNDING_TOKENS 0.5
#define ROUNDING_PART 1e-9

/* One wait: from the first slot that another took while work waited, to the
   next slot of its own, or until no work waits.  */
typedef struct
{
  bool is_open;
  uint64_t first_turn;
  double virtual_time; /* at the last turn */
  unsigned others;     /* accounts that took slots */
  double room;         /* by which they could, without their last charges */
  double greatest;     /* charge */
  double passed;       /* charges of the slots that it could have taken */
  cfd_time_t since;    /* the first and the last of these slots */
  cfd_time_t latest;
} wait_t;

typedef struct
{
  pair_t key;
  uint64_t last_turn; /* 0: took none */
  double lowered;     /* since then */
  cfd_time_t touched;
  wait_t wait;
} entry_t;

struct turns
{
  GHashTable *entries; /* pair_t to entry_t */
  uint64_t count;      /* turns so far */
};

fairness_t *
fairness_new (void)
{
  fairness_t *turns = g_new0 (fairness_t, 1);

  turns->entries = pair_table_new (NULL);
  return turns;
}

void
fairness_free (fairness_t *turns)
{
  if (turns == NULL)
    return;
  g_hash_table_unref (turns->entries);
  g_free (turns);
}

static entry_t *
find_or_add (fairness_t *turns, const char *account, const char *service)
{
  entry_t *entry = pair_table_find (turns->entries, account, service);

  if (entry != NULL)
    return entry;
  return pair_table_add (turns->entries, account, service, sizeof *entry);
}

static double
rounding (double value)
{
  return ROUNDING_TOKENS + ROUNDING_PART * fabs (value);
}

/* What the account that waits gained or lost since the last turn.  Each of the
   others may go on until it has come to the new place.  */
static void
move (wait_t *wait, double virtual_time)
{
  if (virtual_time > wait->virtual_time)
    wait->room += wait->others * (virtual_time - wait->virtual_time);
  wait->virtual_time = virtual_time;
}

/* TAKER is NULL when it never took a slot.  */
static void
make_room (wait_t *wait, const entry_t *taker, const fairness_slot_t *turn)
{
  wait->greatest = fmax (wait->greatest, turn->charge);
  if (taker != NULL && taker->last_turn >= wait->first_turn)
    {
      wait->room += taker->lowered;
      return;
    }
  wait->others++;
  wait->room += fmax (wait->virtual_time - turn->virtual_time, 0);
}

static fairness_verdict_t
judge (const wait_t *wait, const fairness_slot_t *turn)
{
  double most = wait->room + wait->others * wait->greatest;

  if (turn->virtual_time > wait->virtual_time + rounding (wait->virtual_time))
    return FAIRNESS_OUT_OF_ORDER;
  if (wait->passed
      > most + rounding (wait->passed) + rounding (wait->virtual_time))
    return FAIRNESS_BOUND_EXCEEDED;
  return FAIRNESS_OK;
}

fairness_verdict_t
fairness_check_passed (fairness_t *turns, const fairness_slot_t *turn,
                       const char *account, double virtual_time, bool may,
                       cfd_time_t now)
{
  wait_t *wait = &find_or_add (turns, account, turn->service)->wait;

  if (!wait->is_open)
    *wait = (wait_t){ .is_open = true,
                      .first_turn = turns->count + 1,
                      .virtual_time = virtual_time };
  move (wait, virtual_time);
  make_room (wait,
             pair_table_find (turns->entries, turn->account, turn->service),
             turn);
  if (!may)
    return FAIRNESS_OK;
  if (wait->since == 0)
    wait->since = now;
  wait->latest = now;
  wait->passed += turn->charge;
  return judge (wait, turn);
}

void
fairness_assign (fairness_t *turns, const fairness_slot_t *turn,
                 cfd_time_t now)
{
  entry_t *entry = find_or_add (turns, turn->account, turn->service);

  entry->last_turn = ++turns->count;
  entry->lowered = 0;
  entry->touched = now;
  entry->wait = (wait_t){ 0 };
}

void
fairness_end_wait (fairness_t *turns, const char *account, const char *service)
{
  entry_t *entry = pair_table_find (turns->entries, account, service);

  if (entry != NULL)
    entry->wait = (wait_t){ 0 };
}

void
fairness_adjust (fairness_t *turns, const char *account, const char *service,
                 double tokens)
{
  entry_t *entry = pair_table_find (turns->entries, account, service);

  if (entry != NULL && tokens < 0)
    entry->lowered -= tokens;
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer user)
{
  const entry_t *entry = value;
  const cfd_time_t *now = user;

  return !entry->wait.is_open && *now - entry->touched > FAIRNESS_EXPIRY_MS;
}

void
fairness_expire (fairness_t *turns, cfd_time_t now)
{
  g_hash_table_foreach_remove (turns->entries, is_forgotten, &now);
}

cfd_time_t
fairness_longest_wait_ms (const fairness_t *turns)
{
  cfd_time_t longest = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, turns->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const wait_t *wait = &((const entry_t *)value)->wait;

      longest = MAX (longest, wait->latest - wait->since);
    }
  return longest;
}
