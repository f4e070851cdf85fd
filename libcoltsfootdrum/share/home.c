#include "base/list.h"
#include "base/log.h"
#include "base/pair.h"
#include "share/level.h"
#include "share/share.h"

#include <math.h>

/* What sums of doubles may be off by.  */
#define ROUNDING_TOKENS 0.5
#define ROUNDING_PART 1e-9
/* All writers of a backlogged account report to a new home within this.  */
#define REBUILD_MS (2 * SHARE_REFRESH_INTERVAL_MS)
/* A writer with waiting work that wasn't heard for so long could not be heard:
   it reports each SHARE_REFRESH_INTERVAL_MS.  */
#define AWAY_MS (3 * SHARE_REFRESH_INTERVAL_MS / 2)
/* All writers report within this to a home that is back: a round trip, and
   reports that a stopped process finds in its sockets.  */
#define SETTLE_MS 500

/* What one router incarnation told about one account.  */
typedef struct
{
  list_node_t node; /* in entry->writers */
  char *router;
  uint64_t incarnation;
  uint64_t sequence;
  double charged;
  double from; /* CHARGED before what is counted here */
  bool backlogged;
  cfd_time_t heard;
  uint64_t told_sequence;
  double told_vt;
} writer_t;

typedef struct
{
  pair_t key;
  list_node_t writers;
  list_node_t dirty; /* in home->dirty while an answer is owed */
  double vt;
  double base;           /* what other homes had counted */
  cfd_time_t born;       /* when this home first heard of it */
  double settled;        /* counted here of writers that are gone */
  double lifted;         /* by bounds from below ... */
  double forgiven;       /* ... and from above */
  cfd_time_t active;     /* when work of the account last waited anywhere */
  cfd_time_t settled_at; /* not bounded before */
} entry_t;

struct home
{
  GHashTable *entries; /* pair_t to entry_t */
  GHashTable *levels;  /* service to level_t */
  list_node_t dirty;
  home_clamped_t bounded;
};

static void
writer_free (writer_t *writer)
{
  list_remove (&writer->node);
  g_free (writer->router);
  g_free (writer);
}

static void
entry_free (gpointer data)
{
  entry_t *entry = data;

  list_for_each_safe (node, &entry->writers)
    writer_free (list_entry (node, writer_t, node));
  list_remove (&entry->dirty);
  pair_clear (&entry->key);
  g_free (entry);
}

home_t *
home_new (void)
{
  home_t *home = g_new0 (home_t, 1);

  home->entries = pair_table_new (entry_free);
  home->levels
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  list_init (&home->dirty);
  return home;
}

void
home_free (home_t *home)
{
  if (home == NULL)
    return;
  g_hash_table_unref (home->entries);
  g_hash_table_unref (home->levels);
  g_free (home);
}

static entry_t *
find_or_add (home_t *home, const char *account, const char *service,
             cfd_time_t now)
{
  entry_t *entry = pair_table_find (home->entries, account, service);

  if (entry != NULL)
    return entry;
  entry = pair_table_add (home->entries, account, service, sizeof *entry);
  list_init (&entry->writers);
  list_init (&entry->dirty);
  entry->born = now;
  return entry;
}

static writer_t *
find_writer (entry_t *entry, const char *router)
{
  list_for_each (node, &entry->writers)
    {
      writer_t *writer = list_entry (node, writer_t, node);

      if (g_str_equal (writer->router, router))
        return writer;
    }
  return NULL;
}

static writer_t *
add_writer (entry_t *entry, const char *router)
{
  writer_t *writer = g_new0 (writer_t, 1);

  writer->router = g_strdup (router);
  writer->told_vt = NAN;
  list_append (&entry->writers, &writer->node);
  return writer;
}

static void
mark_dirty (home_t *home, entry_t *entry)
{
  if (!list_is_linked (&entry->dirty))
    list_append (&home->dirty, &entry->dirty);
}

static level_t *
level_of (home_t *home, const char *service)
{
  level_t *level = g_hash_table_lookup (home->levels, service);

  if (level != NULL)
    return level;
  level = g_new0 (level_t, 1);
  g_hash_table_insert (home->levels, g_strdup (service), level);
  return level;
}

static double
counted_of (const writer_t *writer)
{
  return writer->charged - writer->from;
}

/* What the account's writers said and the bounds did, added up anew.  */
static double
rebuilt (const entry_t *entry)
{
  double sum = entry->base + entry->settled + entry->lifted - entry->forgiven;

  list_for_each (node, &entry->writers)
    sum += counted_of (list_entry (node, writer_t, node));
  return sum;
}

/* A charge that got lost or was counted twice would let its account have more
   or less than its share for good, and nobody would see why.  Virtual time is
   kept by differences; here it must be what the counters say.  */
static void
check_conserved (const entry_t *entry)
{
  double error = fabs (entry->vt - rebuilt (entry));

  INVARIANT ("share-conserved",
             error <= ROUNDING_TOKENS + ROUNDING_PART * fabs (entry->vt),
             entry->key.account);
}

/* The account is at least where another home had it.  While its writers come
   over one by one, that is compared without what they bring on top: else a
   charge that one takes back would be made good, or one that it adds would be
   swallowed, by the next one's word.  What was forgiven came off what they
   brought.  Later, a word may come from a time when this home itself told it,
   and holds what is counted here.  */
static void
take_over (entry_t *entry, double last_vt, cfd_time_t now)
{
  bool is_new = now - entry->born <= REBUILD_MS;
  double known = is_new ? entry->base + entry->lifted : entry->vt;

  if (last_vt <= known)
    return;
  entry->base += last_vt - known;
  entry->vt += last_vt - known;
}

/* The service that this report adds.  A writer known here adds what it gave
   since its last report.  One that another home knew adds what that home had
   not yet counted.  A fresh incarnation adds all it gave.  */
static void
count (entry_t *entry, writer_t *writer, bool is_known,
       const msg_report_entry_t *in, cfd_time_t now)
{
  double before = writer->charged;

  if (!is_known)
    {
      entry->settled += counted_of (writer);
      writer->from = in->acked;
      before = in->acked;
      take_over (entry, in->last_vt, now);
    }
  writer->charged = in->charged;
  entry->vt += in->charged - before;
}

/* Lifting only raises; nothing but forgiving lowers what was counted.  */
static void
lift (entry_t *entry, double vt)
{
  INVARIANT ("share-lift-raises", vt >= entry->vt, entry->key.account);
  entry->lifted += vt - entry->vt;
  entry->vt = vt;
}

static void
forgive (entry_t *entry, double vt)
{
  INVARIANT ("share-forgive-lowers", vt <= entry->vt, entry->key.account);
  entry->forgiven += entry->vt - vt;
  entry->vt = vt;
}

/* An account that was idle gets no credit for that time.  Beyond the window
   none keeps a debt or a credit: what it got on its side of a partition can't
   starve it afterwards, and what it did not ask for, or could not get on its
   side, can't starve the others.  All three change only how long accounts
   wait, and never what was counted.  An old floor bounds nothing.  */
static void
bound (home_t *home, entry_t *entry, const level_t *level, bool was_idle,
       bool is_fresh)
{
  double window = level_window (level);

  if (was_idle && entry->vt < level->floor)
    lift (entry, level->floor);
  if (!is_fresh)
    return;
  if (entry->vt < level->floor - window)
    {
      home->bounded.credit += level->floor - window - entry->vt;
      lift (entry, level->floor - window);
    }
  if (entry->vt > level->floor + window)
    {
      home->bounded.debt += entry->vt - level->floor - window;
      forgive (entry, level->floor + window);
    }
}

/* What a report of a writer in steady hearing adds is a few charges at most;
   after a silence it is all that was given out meanwhile.  */
static bool
is_step (const writer_t *writer, bool is_known, cfd_time_t now)
{
  return is_known && now - writer->heard <= SHARE_REFRESH_INTERVAL_MS;
}

static bool
is_any_backlogged (const entry_t *entry)
{
  list_for_each (node, &entry->writers)
    if (list_entry (node, writer_t, node)->backlogged)
      return true;
  return false;
}

/* A new home doesn't know when work last waited; where another home had the
   account, its router has lifted it already if need be.  A home that was
   frozen or cut off heard nothing of work that waited all the while.  Taken
   for idle, the account would be lifted to the floor by its first writer, and
   what the others gave meanwhile would come on top: its callers would wait
   until everyone else has got that much.  So it counts as idle only if its
   writers said so.  */
static bool
is_idle (const entry_t *entry, const msg_report_entry_t *in, cfd_time_t now)
{
  if (entry->active == 0)
    return in->last_vt == 0;
  return now - entry->active > SHARE_IDLE_MS && !is_any_backlogged (entry);
}

/* For the same reason the window waits until all writers have spoken.  */
static bool
is_back (const writer_t *writer, bool is_known, cfd_time_t now)
{
  return is_known && writer->backlogged && now - writer->heard > AWAY_MS;
}

void
home_apply_report (home_t *home, const char *router, uint64_t incarnation,
                   const msg_report_entry_t *in, cfd_time_t now)
{
  entry_t *entry = find_or_add (home, in->account, in->service, now);
  level_t *level = level_of (home, in->service);
  writer_t *writer = find_writer (entry, router);
  bool is_known = writer != NULL && writer->incarnation == incarnation;
  bool was_idle = is_idle (entry, in, now);

  if (!isfinite (in->charged) || !isfinite (in->acked)
      || !isfinite (in->last_vt))
    return;
  mark_dirty (home, entry);
  if (is_known && in->sequence <= writer->sequence)
    {
      /* Doubled or reordered: say again what is known.  */
      writer->told_sequence = 0;
      return;
    }
  if (writer == NULL)
    writer = add_writer (entry, router);
  if (is_back (writer, is_known, now))
    entry->settled_at = now + SETTLE_MS;
  if (is_step (writer, is_known, now))
    level_take_step (level, in->charged - writer->charged, now);
  level_take_floor (level, in->floor, now);
  count (entry, writer, is_known, in, now);
  writer->incarnation = incarnation;
  writer->sequence = in->sequence;
  writer->backlogged = in->backlogged;
  writer->heard = now;
  if (now >= entry->settled_at)
    bound (home, entry, level, in->backlogged && was_idle,
           isfinite (in->floor));
  if (in->backlogged)
    entry->active = now;
  check_conserved (entry);
}

static bool
is_owed (const entry_t *entry, const writer_t *writer)
{
  if (writer->told_sequence != writer->sequence)
    return true;
  return writer->backlogged && writer->told_vt != entry->vt;
}

void
home_emit_due (home_t *home, cfd_time_t now,
               void (*emit) (void *user, const char *router,
                             const msg_share_entry_t *entry),
               void *user)
{
  list_for_each_safe (entry_node, &home->dirty)
    {
      entry_t *entry = list_entry (entry_node, entry_t, dirty);

      list_remove (&entry->dirty);
      list_for_each (node, &entry->writers)
        {
          writer_t *writer = list_entry (node, writer_t, node);
          msg_share_entry_t out = {
            .account = entry->key.account,
            .service = entry->key.service,
            .sequence = writer->sequence,
            .charged = writer->charged,
            .virtual_time = entry->vt,
          };

          if (!is_owed (entry, writer))
            continue;
          writer->told_sequence = writer->sequence;
          writer->told_vt = entry->vt;
          emit (user, writer->router, &out);
        }
    }
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer user)
{
  entry_t *entry = value;
  const cfd_time_t *now = user;

  list_for_each_safe (node, &entry->writers)
    {
      writer_t *writer = list_entry (node, writer_t, node);

      if (*now - writer->heard <= SHARE_HOME_EXPIRY_MS)
        continue;
      entry->settled += counted_of (writer);
      writer_free (writer);
    }
  return list_is_empty (&entry->writers);
}

void
home_expire (home_t *home, cfd_time_t now)
{
  g_hash_table_foreach_remove (home->entries, is_forgotten, &now);
}

unsigned
home_count_accounts (const home_t *home)
{
  return g_hash_table_size (home->entries);
}

home_clamped_t
home_get_clamped (const home_t *home)
{
  return home->bounded;
}
