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
  cfd_time_t touched;
  cfd_time_t reported;
  uint64_t home;      /* that it was last reported to */
  uint64_t late_home; /* whose answers are late; 0: none */
  double own_lately;  /* charged here, and by all, as answers told of late */
  double all_lately;
} entry_t;

/* Of what all charge to an account, the part charged here is that of the last
   one to two times so many weighted tokens: some requests' cost, so that one
   request more or less here tells little.  */
#define LATELY_TOKENS 1000.0
/* The least part that is believed.  */
#define PART_LEAST (1.0 / 64)

/* The greatest floor of the present and the last span.  Each grant brings the
   least virtual time that its agent knows.  An account that asks for less than
   its share is served at once and stays far behind: the grants that it gets
   tell nothing of where those are that wait.  The greatest of many does.  */
typedef struct
{
  double present;
  double past;
  double last_known;
  cfd_time_t span_start;
  cfd_time_t heard;
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
  entry->touched = now;
  if (list_is_linked (&entry->dirty))
    return;
  list_append (&share->dirty, &entry->dirty);
}

/* The part of the account's service that is given here.  */
static double
part_here (const entry_t *entry)
{
  double own = fmax (entry->own_lately, 0);

  if (entry->all_lately <= own)
    return 1;
  return fmax (own / entry->all_lately, PART_LEAST);
}

static double
entry_vt (const entry_t *entry)
{
  double since = entry->charged - entry->acked;

  if (entry->late_home != 0 && since > 0)
    since /= part_here (entry);
  return entry->last_vt + since;
}

/* An answer moves the account by ALL, OWN of which was charged here.  */
static void
note_part (entry_t *entry, double own, double all)
{
  /* A lift, a rebuilt home or the window, and no service.  */
  if (fabs (all) > SHARE_WINDOW_MIN_TOKENS)
    return;
  entry->own_lately += own;
  entry->all_lately += all;
  if (entry->all_lately < 2 * LATELY_TOKENS)
    return;
  entry->own_lately /= 2;
  entry->all_lately /= 2;
}

void
share_charge (share_t *share, const char *account, const char *service,
              double tokens, double weight, cfd_time_t now)
{
  entry_t *entry = find_or_add (share, account, service);

  entry->charged += tokens / weight;
  mark_dirty (share, entry, now);
}

/* Until the home answers, an account that comes back from idle is taken to be
   at the floor: its old virtual time would let it run ahead of everyone for
   the length of a round trip.  */
static void
lift (share_t *share, entry_t *entry, cfd_time_t now)
{
  double floor = share_get_floor (share, entry->key.service, now);

  if (entry->touched != 0 && now - entry->touched < SHARE_IDLE_MS)
    return;
  if (entry_vt (entry) < floor)
    entry->last_vt += floor - entry_vt (entry);
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
      lift (share, entry, now);
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

  return entry != NULL ? entry_vt (entry) : 0;
}

static void
floor_advance (floor_t *floor, cfd_time_t now)
{
  if (now - floor->span_start < FLOOR_SPAN_MS)
    return;
  /* A whole span without a word leaves no past either.  */
  floor->past = now - floor->span_start < 2 * FLOOR_SPAN_MS ? floor->present
                                                            : -INFINITY;
  floor->present = -INFINITY;
  floor->span_start = now;
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
      floor->present = -INFINITY;
      floor->past = -INFINITY;
      floor->span_start = now;
      g_hash_table_insert (share->floors, g_strdup (service), floor);
    }
  floor_advance (floor, now);
  floor->present = fmax (floor->present, value);
  floor->last_known = fmax (floor->present, floor->past);
  floor->heard = now;
}

double
share_get_floor (const share_t *share, const char *service, cfd_time_t now)
{
  const floor_t *floor = g_hash_table_lookup (share->floors, service);

  return floor != NULL ? floor->last_known : 0;
}

static double
fresh_floor (const share_t *share, const char *service, cfd_time_t now)
{
  const floor_t *floor = g_hash_table_lookup (share->floors, service);

  if (floor == NULL || now - floor->heard > SHARE_FLOOR_MAX_AGE_MS)
    return -INFINITY;
  return floor->last_known;
}

static void
report (share_t *share, entry_t *entry, cfd_time_t now, share_emit_t emit,
        void *user)
{
  msg_report_entry_t out = {
    .account = entry->key.account,
    .service = entry->key.service,
    .sequence = ++entry->sequence,
    .charged = entry->charged,
    .acked = entry->acked,
    .last_vt = entry->last_vt,
    .floor = fresh_floor (share, entry->key.service, now),
    .backlogged = entry->backlogged,
  };

  entry->reported = now;
  list_remove (&entry->dirty);
  if (entry->backlogged)
    {
      list_remove (&entry->waiting);
      list_append (&share->waiting, &entry->waiting);
    }
  entry->home = emit (user, &out);
}

void
share_emit_due (share_t *share, cfd_time_t now, share_emit_t emit, void *user)
{
  list_for_each_safe (node, &share->dirty)
    report (share, list_entry (node, entry_t, dirty), now, emit, user);
  while (!list_is_empty (&share->waiting))
    {
      entry_t *entry = list_entry (share->waiting.next, entry_t, waiting);

      if (now - entry->reported < SHARE_REFRESH_INTERVAL_MS)
        break;
      entry->touched = now;
      report (share, entry, now, emit, user);
    }
}

void
share_mark_moved_due (share_t *share, cfd_time_t now, share_find_home_t home,
                      void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, share->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;

      /* Never reported: due anyway.  */
      if (entry->sequence == 0)
        continue;
      if (!entry->backlogged && now - entry->touched > SHARE_IDLE_MS)
        continue;
      if (home (user, entry->key.account, entry->key.service) != entry->home)
        mark_dirty (share, entry, now);
    }
}

void
share_set_home_late (share_t *share, uint64_t home, bool is_late,
                     share_vt_changed_t moved, void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, share->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;
      double before = entry_vt (entry);

      if ((is_late ? entry->home : entry->late_home) != home)
        continue;
      entry->late_home = is_late ? home : 0;
      moved (user, entry->key.account, entry->key.service,
             entry_vt (entry) - before);
    }
}

void
share_apply_answer (share_t *share, const msg_share_entry_t *in,
                    cfd_time_t now)
{
  entry_t *entry = find (share, in->account, in->service);

  if (entry == NULL || !isfinite (in->virtual_time))
    return;
  /* Answers can cross on two links: an older one would take back charges
     that the home has counted meanwhile.  */
  if (in->sequence < entry->acked_sequence || in->sequence > entry->sequence)
    return;
  if (entry->acked_sequence > 0)
    note_part (entry, in->charged - entry->acked,
               in->virtual_time - entry->last_vt);
  entry->late_home = 0;
  entry->acked_sequence = in->sequence;
  entry->acked = in->charged;
  entry->last_vt = in->virtual_time;
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer user)
{
  const entry_t *entry = value;
  const cfd_time_t *now = user;

  return !entry->backlogged && *now - entry->touched > SHARE_ROUTER_EXPIRY_MS;
}

void
share_expire (share_t *share, cfd_time_t now)
{
  g_hash_table_foreach_remove (share->entries, is_forgotten, &now);
}

unsigned
share_count_accounts (const share_t *share)
{
  return g_hash_table_size (share->entries);
}
