#include "router/peer-view.h"

#include "base/pair.h"

#include <math.h>

typedef struct
{
  pair_t key;
  double charged;
  double virtual_time;
} entry_t;

struct view
{
  GHashTable *entries;
  cfd_time_t last_sent_at; /* when the last answer was sent */
};

peer_view_t *
peer_view_new (void)
{
  peer_view_t *view = g_new0 (peer_view_t, 1);

  view->entries = pair_table_new (NULL);
  return view;
}

void
peer_view_free (peer_view_t *view)
{
  if (view == NULL)
    return;
  g_hash_table_unref (view->entries);
  g_free (view);
}

void
peer_view_reset (peer_view_t *view)
{
  g_hash_table_remove_all (view->entries);
  view->last_sent_at = 0;
}

/* The virtual time that the router computes, with its charges since.  */
static double
expected_virtual_time (const entry_t *entry, const msg_share_entry_t *share)
{
  return entry->virtual_time + share->charged - entry->charged;
}

static entry_t *
find_or_add (peer_view_t *view, const char *account, const char *service)
{
  entry_t *entry = pair_table_find (view->entries, account, service);

  if (entry != NULL)
    return entry;
  if (g_hash_table_size (view->entries) >= PEER_VIEW_MAX_ENTRIES)
    peer_view_reset (view);
  entry = pair_table_add (view->entries, account, service, sizeof *entry);
  entry->virtual_time = NAN;
  return entry;
}

void
peer_view_apply_report (peer_view_t *view, const msg_report_entry_t *report)
{
  entry_t *entry = find_or_add (view, report->account, report->service);

  entry->charged = report->charged;
  entry->virtual_time = report->last_vt + report->charged - report->acked;
}

bool
peer_view_needs_update (peer_view_t *view, const msg_share_entry_t *share,
                        cfd_time_t now)
{
  entry_t *entry = find_or_add (view, share->account, share->service);
  double error
      = fabs (share->virtual_time - expected_virtual_time (entry, share));

  /* NAN for an account that was never sent: the comparison is false.  */
  if (error < PEER_VIEW_MAX_ERROR_TOKENS
      && now - view->last_sent_at < PEER_VIEW_MAX_SILENCE_MS)
    return false;
  view->last_sent_at = now;
  entry->charged = share->charged;
  entry->virtual_time = share->virtual_time;
  return true;
}
