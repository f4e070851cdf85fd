#include "base/list.h"
#include "base/log.h"
#include "base/pair.h"
#include "share/share.h"
#include "share/vt-window.h"

#include <math.h>

/* Bounds of the rounding errors in sums of doubles.  */
#define ROUNDING_ABSOLUTE_TOKENS 0.5
#define ROUNDING_RELATIVE 1e-9
/* Time within which all routers report a backlogged account to a new home.  */
#define REBUILD_MS (2 * SHARE_REFRESH_INTERVAL_MS)
/* A router with waiting work reports each SHARE_REFRESH_INTERVAL_MS; without a
   report for this long it must have been out of contact.  */
#define REPORT_OVERDUE_MS (3 * SHARE_REFRESH_INTERVAL_MS / 2)
/* Time within which all routers report to a home that is back: a round trip,
   and the reports that a process which was stopped finds in its sockets.  */
#define RESUME_SETTLE_MS 500

/* What one router incarnation reported on one account.  */
typedef struct
{
  list_node_t node; /* in entry->reporters */
  char *router;
  uint64_t incarnation;
  uint64_t sequence;
  double charged;
  double charged_offset; /* the part of CHARGED that is not counted here */
  bool backlogged;
  cfd_time_t last_report;
  uint64_t answered_sequence;
  double answered_vt;
} reporter_t;

/* The virtual time of one account and service, and the parts it is the sum
   of.  */
typedef struct
{
  pair_t key;
  list_node_t reporters;
  list_node_t dirty; /* in home->dirty while an answer is owed */
  double vt;
  double inherited;           /* counted by previous homes */
  cfd_time_t created;         /* when this home received its first report */
  double departed;            /* counted here for reporters that are gone */
  double raised;              /* added by bounds from below ... */
  double lowered;             /* ... and removed by those from above */
  cfd_time_t last_backlogged; /* when its work last waited at any router */
  cfd_time_t clamped_from;    /* no bounds apply before this time */
} entry_t;

struct home
{
  GHashTable *entries; /* pair_t to entry_t */
  GHashTable *windows; /* service to vt_window_t */
  list_node_t dirty;
  home_clamped_t clamped;
};

static void
reporter_free (reporter_t *reporter)
{
  list_remove (&reporter->node);
  g_free (reporter->router);
  g_free (reporter);
}

static void
entry_free (gpointer data)
{
  entry_t *entry = data;

  list_for_each_safe (node, &entry->reporters)
    reporter_free (list_entry (node, reporter_t, node));
  list_remove (&entry->dirty);
  pair_clear (&entry->key);
  g_free (entry);
}

home_t *
home_new (void)
{
  home_t *home = g_new0 (home_t, 1);

  home->entries = pair_table_new (entry_free);
  home->windows
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
  g_hash_table_unref (home->windows);
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
  list_init (&entry->reporters);
  list_init (&entry->dirty);
  entry->created = now;
  return entry;
}

static reporter_t *
find_reporter (entry_t *entry, const char *router)
{
  list_for_each (node, &entry->reporters)
    {
      reporter_t *reporter = list_entry (node, reporter_t, node);

      if (g_str_equal (reporter->router, router))
        return reporter;
    }
  return NULL;
}

static reporter_t *
add_reporter (entry_t *entry, const char *router)
{
  reporter_t *reporter = g_new0 (reporter_t, 1);

  reporter->router = g_strdup (router);
  reporter->answered_vt = NAN;
  list_append (&entry->reporters, &reporter->node);
  return reporter;
}

static void
mark_dirty (home_t *home, entry_t *entry)
{
  if (!list_is_linked (&entry->dirty))
    list_append (&home->dirty, &entry->dirty);
}

static vt_window_t *
get_window (home_t *home, const char *service)
{
  vt_window_t *window = g_hash_table_lookup (home->windows, service);

  if (window != NULL)
    return window;
  window = g_new0 (vt_window_t, 1);
  g_hash_table_insert (home->windows, g_strdup (service), window);
  return window;
}

static double
counted_tokens (const reporter_t *reporter)
{
  return reporter->charged - reporter->charged_offset;
}

/* Recomputes the virtual time from what the reporters counted and the bounds
   changed.  */
static double
sum_components (const entry_t *entry)
{
  double sum
      = entry->inherited + entry->departed + entry->raised - entry->lowered;

  list_for_each (node, &entry->reporters)
    sum += counted_tokens (list_entry (node, reporter_t, node));
  return sum;
}

/* Checks the virtual time, which is maintained by differences, against the
   counters.  A charge that was lost or counted twice would give its account
   more or less than its share for good, without a visible cause.  */
static void
check_conserved (const entry_t *entry)
{
  double error = fabs (entry->vt - sum_components (entry));

  INVARIANT ("share-conserved",
             error <= ROUNDING_ABSOLUTE_TOKENS
                          + ROUNDING_RELATIVE * fabs (entry->vt),
             entry->key.account);
}

/* Raises the account to LAST_VT, where a previous home had it.  While its
   routers switch to this home one by one, LAST_VT is compared without what
   they have added here: otherwise the next router's report would make up for a
   refund, or absorb a charge, that an earlier one brought.  What was lowered
   was part of what they added.  Later, LAST_VT may be an earlier answer of
   this home, which includes what is counted here.  */
static void
inherit_vt (entry_t *entry, double last_vt, cfd_time_t now)
{
  bool is_new = now - entry->created <= REBUILD_MS;
  double known_vt = is_new ? entry->inherited + entry->raised : entry->vt;

  if (last_vt <= known_vt)
    return;
  entry->inherited += last_vt - known_vt;
  entry->vt += last_vt - known_vt;
}

/* Adds the service that REPORT brings.  A known reporter adds what it charged
   since its last report.  One that reported to another home adds what that
   home had not yet acknowledged.  A new incarnation adds all that it charged.
 */
static void
count_report (entry_t *entry, reporter_t *reporter, bool is_known,
              const msg_report_entry_t *report, cfd_time_t now)
{
  double previously_charged = reporter->charged;

  if (!is_known)
    {
      entry->departed += counted_tokens (reporter);
      reporter->charged_offset = report->acked;
      previously_charged = report->acked;
      inherit_vt (entry, report->last_vt, now);
    }
  reporter->charged = report->charged;
  entry->vt += report->charged - previously_charged;
}

/* raise_vt must never lower the virtual time; lower_vt alone reduces what was
   counted.  */
static void
raise_vt (entry_t *entry, double vt)
{
  INVARIANT ("share-lift-raises", vt >= entry->vt, entry->key.account);
  entry->raised += vt - entry->vt;
  entry->vt = vt;
}

static void
lower_vt (entry_t *entry, double vt)
{
  INVARIANT ("share-forgive-lowers", vt <= entry->vt, entry->key.account);
  entry->lowered += entry->vt - vt;
  entry->vt = vt;
}

/* Applies the three bounds of virtual time.  An account that was idle gets no
   credit for that time.  None keeps a debt or a credit beyond the window: what
   it got on its side of a partition cannot starve it afterwards, and what it
   did not ask for, or could not get on its side, cannot starve the others.
   The bounds change only how long accounts wait, never what was counted.  The
   window is not applied around an outdated floor.  */
static void
clamp_vt (home_t *home, entry_t *entry, const vt_window_t *window,
          bool was_idle, bool is_fresh)
{
  double window_tokens = vt_window_tokens (window);

  if (was_idle && entry->vt < window->floor)
    raise_vt (entry, window->floor);
  if (!is_fresh)
    return;
  if (entry->vt < window->floor - window_tokens)
    {
      home->clamped.credit += window->floor - window_tokens - entry->vt;
      raise_vt (entry, window->floor - window_tokens);
    }
  if (entry->vt > window->floor + window_tokens)
    {
      home->clamped.debt += entry->vt - window->floor - window_tokens;
      lower_vt (entry, window->floor + window_tokens);
    }
}

/* Returns whether the report came within the refresh interval and so adds a
   few charges at most.  After a silence it adds all that was charged
   meanwhile.  */
static bool
is_regular_report (const reporter_t *reporter, bool is_known, cfd_time_t now)
{
  return is_known && now - reporter->last_report <= SHARE_REFRESH_INTERVAL_MS;
}

static bool
is_any_backlogged (const entry_t *entry)
{
  list_for_each (node, &entry->reporters)
    if (list_entry (node, reporter_t, node)->backlogged)
      return true;
  return false;
}

/* Returns whether the account was idle before REPORT.  A new home does not
   know when work last waited; if another home had the account, its router has
   raised it already where needed.  A home that was frozen or cut off received
   no reports of work that waited all the while.  If it took the account for
   idle, the first report would raise it to the floor, and what the other
   routers charged meanwhile would come on top: its callers would wait until
   all other accounts got that much.  So the account counts as idle only when
   its reporters said so.  */
static bool
is_idle (const entry_t *entry, const msg_report_entry_t *report,
         cfd_time_t now)
{
  if (entry->last_backlogged == 0)
    return report->last_vt == 0;
  return now - entry->last_backlogged > SHARE_IDLE_MS
         && !is_any_backlogged (entry);
}

/* Returns whether a backlogged reporter was out of contact until now.  For the
   reason given at is_idle, the bounds do not apply until all reporters have
   reported.  */
static bool
is_resuming (const reporter_t *reporter, bool is_known, cfd_time_t now)
{
  return is_known && reporter->backlogged
         && now - reporter->last_report > REPORT_OVERDUE_MS;
}

void
home_apply_report (home_t *home, const char *router, uint64_t incarnation,
                   const msg_report_entry_t *report, cfd_time_t now)
{
  entry_t *entry = find_or_add (home, report->account, report->service, now);
  vt_window_t *window = get_window (home, report->service);
  reporter_t *reporter = find_reporter (entry, router);
  bool is_known = reporter != NULL && reporter->incarnation == incarnation;
  bool was_idle = is_idle (entry, report, now);

  if (!isfinite (report->charged) || !isfinite (report->acked)
      || !isfinite (report->last_vt))
    return;
  mark_dirty (home, entry);
  if (is_known && report->sequence <= reporter->sequence)
    {
      /* Duplicated or reordered: send the known state again.  */
      reporter->answered_sequence = 0;
      return;
    }
  if (reporter == NULL)
    reporter = add_reporter (entry, router);
  if (is_resuming (reporter, is_known, now))
    entry->clamped_from = now + RESUME_SETTLE_MS;
  if (is_regular_report (reporter, is_known, now))
    vt_window_record_charge (window, report->charged - reporter->charged, now);
  vt_window_update_floor (window, report->floor, now);
  count_report (entry, reporter, is_known, report, now);
  reporter->incarnation = incarnation;
  reporter->sequence = report->sequence;
  reporter->backlogged = report->backlogged;
  reporter->last_report = now;
  if (now >= entry->clamped_from)
    clamp_vt (home, entry, window, report->backlogged && was_idle,
              isfinite (report->floor));
  if (report->backlogged)
    entry->last_backlogged = now;
  check_conserved (entry);
}

static bool
is_answer_due (const entry_t *entry, const reporter_t *reporter)
{
  if (reporter->answered_sequence != reporter->sequence)
    return true;
  return reporter->backlogged && reporter->answered_vt != entry->vt;
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
      list_for_each (node, &entry->reporters)
        {
          reporter_t *reporter = list_entry (node, reporter_t, node);
          msg_share_entry_t out = {
            .account = entry->key.account,
            .service = entry->key.service,
            .sequence = reporter->sequence,
            .charged = reporter->charged,
            .virtual_time = entry->vt,
          };

          if (!is_answer_due (entry, reporter))
            continue;
          reporter->answered_sequence = reporter->sequence;
          reporter->answered_vt = entry->vt;
          emit (user, reporter->router, &out);
        }
    }
}

static gboolean
expire_reporters (gpointer key, gpointer value, gpointer user)
{
  entry_t *entry = value;
  const cfd_time_t *now = user;

  list_for_each_safe (node, &entry->reporters)
    {
      reporter_t *reporter = list_entry (node, reporter_t, node);

      if (*now - reporter->last_report <= SHARE_HOME_EXPIRY_MS)
        continue;
      entry->departed += counted_tokens (reporter);
      reporter_free (reporter);
    }
  return list_is_empty (&entry->reporters);
}

void
home_expire (home_t *home, cfd_time_t now)
{
  g_hash_table_foreach_remove (home->entries, expire_reporters, &now);
}

unsigned
home_count_accounts (const home_t *home)
{
  return g_hash_table_size (home->entries);
}

home_clamped_t
home_get_clamped (const home_t *home)
{
  return home->clamped;
}
