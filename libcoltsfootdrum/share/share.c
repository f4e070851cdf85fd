#include "share/share.h"

#include "base/list.h"
#include "base/pair.h"

#include <math.h>

typedef struct
{
  pair_t key;
  list_node_t dirty;   /* in share->dirty while a report is owed */
  list_node_t waiting; /* in share->waiting, least recently reported first */
  uint64_t sequence;
  double charged;
  uint64_t acked_sequence;
  double acked;
  double last_vt;
  bool backlogged;
  cfd_time_t last_active;
  cfd_time_t last_report;
  uint64_t reported_home; /* home of the last report */
  uint64_t late_home;     /* home whose answers are late; 0: none */
  double own_recent;      /* recently charged here ... */
  double total_recent;    /* ... and by all routers, according to answers */
} entry_t;

/* The local part of an account's charges is computed over the last one to two
   times this many weighted tokens: the cost of several requests, so that one
   request more or less here has little effect.  */
#define RECENT_TOKENS 1000.0
/* Lower bound of the local part.  */
#define MIN_LOCAL_FRACTION (1.0 / 64)

/* The greatest floor of the current and the previous span.  Each grant brings
   the least virtual time that its agent knows.  An account that asks for less
   than its share is served at once and stays far behind, so the grants that it
   gets do not show where the waiting accounts are.  The greatest of many
   grants does.  */
typedef struct
{
  double current;
  double previous;
  double last_known;
  cfd_time_t current_since;
  cfd_time_t updated;
} floor_t;

#define FLOOR_SPAN_MS (SHARE_FLOOR_MAX_AGE_MS / 2)

struct share
{
  GHashTable *entries; /* pair_t to entry_t */
  GHashTable *floors;  /* service to floor_t */
  list_node_t dirty;
  list_node_t waiting;
};

static void
entry_free (gpointer data)
{
  entry_t *entry = data;

  list_remove (&entry->dirty);
  list_remove (&entry->waiting);
  pair_clear (&entry->key);
  g_free (entry);
}

share_t *
share_new (void)
{
  share_t *share = g_new0 (share_t, 1);

  share->entries = pair_table_new (entry_free);
  share->floors
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  list_init (&share->dirty);
  list_init (&share->waiting);
  return share;
}

void
share_free (share_t *share)
{
  if (share == NULL)
    return;
  g_hash_table_unref (share->entries);
  g_hash_table_unref (share->floors);
  g_free (share);
}

static entry_t *
find (const share_t *share, const char *account, const char *service)
{
  return pair_table_find (share->entries, account, service);
}

static entry_t *
find_or_add (share_t *share, const char *account, const char *service)
{
  entry_t *entry = find (share, account, service);

  if (entry != NULL)
    return entry;
  entry = pair_table_add (share->entries, account, service, sizeof *entry);
  list_init (&entry->dirty);
  list_init (&entry->waiting);
  return entry;
}

static void
mark_dirty (share_t *share, entry_t *entry, cfd_time_t now)
{
  entry->last_active = now;
  if (list_is_linked (&entry->dirty))
    return;
  list_append (&share->dirty, &entry->dirty);
}

/* Returns the part of the account's recent service that was charged here.  */
static double
compute_local_fraction (const entry_t *entry)
{
  double own = fmax (entry->own_recent, 0);

  if (entry->total_recent <= own)
    return 1;
  return fmax (own / entry->total_recent, MIN_LOCAL_FRACTION);
}

static double
estimate_vt (const entry_t *entry)
{
  double since_ack = entry->charged - entry->acked;

  if (entry->late_home != 0 && since_ack > 0)
    since_ack /= compute_local_fraction (entry);
  return entry->last_vt + since_ack;
}

/* Takes into account that an answer advanced virtual time by TOTAL, of which
   OWN was charged here.  */
static void
update_local_fraction (entry_t *entry, double own, double total)
{
  /* A change this great is a raise to the floor, a rebuilt home or the window,
     and not service.  */
  if (fabs (total) > SHARE_WINDOW_MIN_TOKENS)
    return;
  entry->own_recent += own;
  entry->total_recent += total;
  if (entry->total_recent < 2 * RECENT_TOKENS)
    return;
  entry->own_recent /= 2;
  entry->total_recent /= 2;
}

void
share_charge (share_t *share, const char *account, const char *service,
              double tokens, double weight, cfd_time_t now)
{
  entry_t *entry = find_or_add (share, account, service);

  entry->charged += tokens / weight;
  mark_dirty (share, entry, now);
}

/* Raises an account that returns from idle to the floor until its home
   answers: its old virtual time would put it ahead of all others for a round
   trip.  */
static void
raise_to_floor (share_t *share, entry_t *entry, cfd_time_t now)
{
  double floor = share_get_floor (share, entry->key.service, now);

  if (entry->last_active != 0 && now - entry->last_active < SHARE_IDLE_MS)
    return;
  if (estimate_vt (entry) < floor)
    entry->last_vt += floor - estimate_vt (entry);
}

void
share_set_backlogged (share_t *share, const char *account, const char *service,
                      bool backlogged, cfd_time_t now)
{
  entry_t *entry = find_or_add (share, account, service);

  if (entry->backlogged == backlogged)
    return;
  if (backlogged)
    {
      raise_to_floor (share, entry, now);
      list_append (&share->waiting, &entry->waiting);
    }
  else
    {
      list_remove (&entry->waiting);
    }
  entry->backlogged = backlogged;
  mark_dirty (share, entry, now);
}

double
share_get_virtual_time (const share_t *share, const char *account,
                        const char *service)
{
  const entry_t *entry = find (share, account, service);

  return entry != NULL ? estimate_vt (entry) : 0;
}

static void
advance_floor_span (floor_t *floor, cfd_time_t now)
{
  if (now - floor->current_since < FLOOR_SPAN_MS)
    return;
  /* After a whole span without a floor, CURRENT is too old for PREVIOUS too.
   */
  floor->previous = now - floor->current_since < 2 * FLOOR_SPAN_MS
                        ? floor->current
                        : -INFINITY;
  floor->current = -INFINITY;
  floor->current_since = now;
}

void
share_record_floor (share_t *share, const char *service, double value,
                    cfd_time_t now)
{
  floor_t *floor = g_hash_table_lookup (share->floors, service);

  if (!isfinite (value))
    return;
  if (floor == NULL)
    {
      floor = g_new0 (floor_t, 1);
      floor->current = -INFINITY;
      floor->previous = -INFINITY;
      floor->current_since = now;
      g_hash_table_insert (share->floors, g_strdup (service), floor);
    }
  advance_floor_span (floor, now);
  floor->current = fmax (floor->current, value);
  floor->last_known = fmax (floor->current, floor->previous);
  floor->updated = now;
}

double
share_get_floor (const share_t *share, const char *service, cfd_time_t now)
{
  const floor_t *floor = g_hash_table_lookup (share->floors, service);

  return floor != NULL ? floor->last_known : 0;
}

static double
get_fresh_floor (const share_t *share, const char *service, cfd_time_t now)
{
  const floor_t *floor = g_hash_table_lookup (share->floors, service);

  if (floor == NULL || now - floor->updated > SHARE_FLOOR_MAX_AGE_MS)
    return -INFINITY;
  return floor->last_known;
}

static void
emit_report (share_t *share, entry_t *entry, cfd_time_t now, share_emit_t emit,
             void *user)
{
  msg_report_entry_t out = {
    .account = entry->key.account,
    .service = entry->key.service,
    .sequence = ++entry->sequence,
    .charged = entry->charged,
    .acked = entry->acked,
    .last_vt = entry->last_vt,
    .floor = get_fresh_floor (share, entry->key.service, now),
    .backlogged = entry->backlogged,
  };

  entry->last_report = now;
  list_remove (&entry->dirty);
  if (entry->backlogged)
    {
      list_remove (&entry->waiting);
      list_append (&share->waiting, &entry->waiting);
    }
  entry->reported_home = emit (user, &out);
}

void
share_emit_due (share_t *share, cfd_time_t now, share_emit_t emit, void *user)
{
  list_for_each_safe (node, &share->dirty)
    emit_report (share, list_entry (node, entry_t, dirty), now, emit, user);
  while (!list_is_empty (&share->waiting))
    {
      entry_t *entry = list_entry (share->waiting.next, entry_t, waiting);

      if (now - entry->last_report < SHARE_REFRESH_INTERVAL_MS)
        break;
      entry->last_active = now;
      emit_report (share, entry, now, emit, user);
    }
}

void
share_mark_moved_due (share_t *share, cfd_time_t now,
                      share_find_home_t find_home, void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, share->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;

      /* Never reported: it is due anyway.  */
      if (entry->sequence == 0)
        continue;
      if (!entry->backlogged && now - entry->last_active > SHARE_IDLE_MS)
        continue;
      if (find_home (user, entry->key.account, entry->key.service)
          != entry->reported_home)
        mark_dirty (share, entry, now);
    }
}

void
share_set_home_late (share_t *share, uint64_t home, bool is_late,
                     share_vt_changed_t vt_changed, void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, share->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;
      double before = estimate_vt (entry);

      if ((is_late ? entry->reported_home : entry->late_home) != home)
        continue;
      entry->late_home = is_late ? home : 0;
      vt_changed (user, entry->key.account, entry->key.service,
                  estimate_vt (entry) - before);
    }
}

void
share_apply_answer (share_t *share, const msg_share_entry_t *answer,
                    cfd_time_t now)
{
  entry_t *entry = find (share, answer->account, answer->service);

  if (entry == NULL || !isfinite (answer->virtual_time))
    return;
  /* Answers on two links can arrive out of order: an older one would take back
     charges that the home has counted meanwhile.  */
  if (answer->sequence < entry->acked_sequence
      || answer->sequence > entry->sequence)
    return;
  if (entry->acked_sequence > 0)
    update_local_fraction (entry, answer->charged - entry->acked,
                           answer->virtual_time - entry->last_vt);
  entry->late_home = 0;
  entry->acked_sequence = answer->sequence;
  entry->acked = answer->charged;
  entry->last_vt = answer->virtual_time;
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer user)
{
  const entry_t *entry = value;
  const cfd_time_t *now = user;

  return !entry->backlogged
         && *now - entry->last_active > SHARE_ROUTER_EXPIRY_MS;
}

void
share_expire (share_t *share, cfd_time_t now)
{
  g_hash_table_foreach_remove (share->entries, is_expired, &now);
}

unsigned
share_count_accounts (const share_t *share)
{
  return g_hash_table_size (share->entries);
}
