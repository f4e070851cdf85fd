#include "router/router-private.h"

#include "base/pair.h"

#include <string.h>

/* How long changes are collected before they are reported.  */
#define REPORT_DELAY_MS 4
#define MAX_UNSENT_ENTRIES 4096u

/* A report entry that waits for a link.  */
typedef struct
{
  pair_t key;
  msg_report_entry_t entry;
} unsent_entry_t;

void
shares_schedule_report (cfd_router_t *router, cfd_time_t now)
{
  if (router->report_at != CFD_TIME_NEVER)
    return;
  router->report_at = now + REPORT_DELAY_MS;
  router_schedule (router, router->report_at);
}

/* ---- reports to other homes ---- */

typedef struct
{
  cfd_router_t *router;
  cfd_time_t now;
  GHashTable *batches; /* router_peer_t to GArray of msg_report_entry_t */
} report_batches_t;

static GArray *
find_or_add_batch (report_batches_t *report_batches, router_peer_t *peer)
{
  GArray *batch = g_hash_table_lookup (report_batches->batches, peer);

  if (batch != NULL)
    return batch;
  batch = g_array_new (false, false, sizeof (msg_report_entry_t));
  g_hash_table_insert (report_batches->batches, peer, batch);
  return batch;
}

static uint64_t
add_report_entry (void *user, const msg_report_entry_t *entry)
{
  report_batches_t *report_batches = user;
  cfd_router_t *router = report_batches->router;
  const char *home = homes_lookup (router, entry->account, entry->service);

  router->counters.report_entries++;
  if (strcmp (home, router->instance) == 0)
    home_apply_report (router->home, router->instance, router->incarnation,
                       entry, report_batches->now);
  else
    g_array_append_val (
        find_or_add_batch (report_batches, homes_find_or_add (router, home)),
        *entry);
  return homes_hash (home);
}

static void
store_unsent (router_peer_t *peer, const msg_report_entry_t *entry)
{
  unsent_entry_t *unsent
      = pair_table_find (peer->unsent, entry->account, entry->service);

  if (unsent == NULL && g_hash_table_size (peer->unsent) >= MAX_UNSENT_ENTRIES)
    return;
  if (unsent == NULL)
    unsent = pair_table_add (peer->unsent, entry->account, entry->service,
                             sizeof *unsent);
  unsent->entry = *entry;
  unsent->entry.account = unsent->key.account;
  unsent->entry.service = unsent->key.service;
}

static bool
send_report (cfd_router_t *router, router_peer_t *peer, const GArray *batch)
{
  for (guint sent = 0; sent < batch->len; sent += MSG_ENTRIES_MAX)
    {
      msg_t message = { .kind = MSG_REPORT };

      message.u.report.count = MIN (batch->len - sent, MSG_ENTRIES_MAX);
      message.u.report.entries
          = (const msg_report_entry_t *)batch->data + sent;
      if (!router_send (router, peer->name, &message))
        return false;
      router->counters.reports++;
    }
  return true;
}

static void
send_or_store_report (cfd_router_t *router, router_peer_t *peer,
                      const GArray *batch, cfd_time_t now)
{
  homes_hold_link (router, peer, now);
  if (send_report (router, peer, batch))
    {
      homes_report_sent (router, peer, now);
      return;
    }
  for (guint i = 0; i < batch->len; i++)
    store_unsent (peer, &g_array_index (batch, msg_report_entry_t, i));
  homes_report_failed (router, peer, now);
}

static void
send_all_reports (cfd_router_t *router, cfd_time_t now)
{
  g_autoptr (GHashTable) batches = g_hash_table_new_full (
      NULL, NULL, NULL, (GDestroyNotify)g_array_unref);
  report_batches_t report_batches = { router, now, batches };
  GHashTableIter iter;
  gpointer peer;
  gpointer batch;

  share_emit_due (router->share, now, add_report_entry, &report_batches);
  g_hash_table_iter_init (&iter, batches);
  while (g_hash_table_iter_next (&iter, &peer, &batch))
    send_or_store_report (router, peer, batch, now);
}

/* ---- shares, as a home ---- */

typedef struct
{
  cfd_router_t *router;
  cfd_time_t now;
  GHashTable *batches; /* router name to GArray of msg_share_entry_t */
} share_batches_t;

/* Applies a new virtual time.  That of work which waits at this router goes to
   the agents with the next refresh; a grant that rests on an older one is
   declined.  */
static void
apply_share (cfd_router_t *router, const msg_share_entry_t *entry,
             cfd_time_t now)
{
  double before
      = share_get_virtual_time (router->share, entry->account, entry->service);
  msg_waiting_t left;

  router->counters.shares++;
  share_apply_answer (router->share, entry, now);
  if (router->policy == CFD_POLICY_LOCAL)
    return;
  grant_describe_queue (router, entry->account, entry->service, now, &left);
  fairness_adjust (router->fairness, entry->account, entry->service,
                   left.virtual_time - before);
  if (left.count > 0)
    disp_update_waiting (router->disp, entry->service, &left, now);
}

static void
add_share_entry (void *user, const char *name, const msg_share_entry_t *entry)
{
  share_batches_t *share_batches = user;
  GArray *batch;

  if (strcmp (name, share_batches->router->instance) == 0)
    {
      apply_share (share_batches->router, entry, share_batches->now);
      return;
    }
  if (!peer_view_needs_update (
          homes_find_or_add (share_batches->router, name)->view, entry,
          share_batches->now))
    return;
  batch = g_hash_table_lookup (share_batches->batches, name);
  if (batch == NULL)
    {
      batch = g_array_new (false, false, sizeof (msg_share_entry_t));
      g_hash_table_insert (share_batches->batches, g_strdup (name), batch);
    }
  g_array_append_val (batch, *entry);
}

static void
send_shares (cfd_router_t *router, const char *name, const GArray *batch)
{
  for (guint sent = 0; sent < batch->len; sent += MSG_ENTRIES_MAX)
    {
      msg_t message = { .kind = MSG_SHARE };

      message.u.share.count = MIN (batch->len - sent, MSG_ENTRIES_MAX);
      message.u.share.entries = (const msg_share_entry_t *)batch->data + sent;
      if (!router_send (router, name, &message))
        peer_view_reset (homes_find_or_add (router, name)->view);
    }
}

static void
send_all_shares (cfd_router_t *router, cfd_time_t now)
{
  g_autoptr (GHashTable) batches = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
  share_batches_t share_batches = { router, now, batches };
  GHashTableIter iter;
  gpointer name;
  gpointer batch;

  home_emit_due (router->home, now, add_share_entry, &share_batches);
  g_hash_table_iter_init (&iter, batches);
  while (g_hash_table_iter_next (&iter, &name, &batch))
    send_shares (router, name, batch);
}

/* ---- calls from other sources of the router ---- */

void
shares_exchange (cfd_router_t *router, cfd_time_t now)
{
  bool homes_were_changed = router->homes_changed;

  router->report_at = CFD_TIME_NEVER;
  router->homes_changed = false;
  if (homes_were_changed)
    share_mark_moved_due (router->share, now, homes_hash_of_account, router);
  send_all_reports (router, now);
  send_all_shares (router, now);
}

void
shares_handle_report (cfd_router_t *router, const peer_id_t *peer,
                      const msg_report_t *report, cfd_time_t now)
{
  peer_view_t *view = homes_find_or_add (router, peer->instance)->view;

  for (uint32_t i = 0; i < report->count; i++)
    {
      home_apply_report (router->home, peer->instance, peer->incarnation,
                         &report->entries[i], now);
      peer_view_apply_report (view, &report->entries[i]);
    }
  shares_schedule_report (router, now);
}

void
shares_handle_share (cfd_router_t *router, const char *name,
                     const msg_share_t *share, cfd_time_t now)
{
  router_peer_t *peer = homes_find_or_add (router, name);

  peer->last_answer_at = now;
  homes_readmit (router, peer, now);
  for (uint32_t i = 0; i < share->count; i++)
    apply_share (router, &share->entries[i], now);
}

void
shares_peer_up (cfd_router_t *router, const char *name, cfd_time_t now)
{
  router_peer_t *peer = homes_find_or_add (router, name);
  g_autoptr (GArray) batch
      = g_array_new (false, false, sizeof (msg_report_entry_t));
  GHashTableIter iter;
  gpointer value;

  peer->up = true;
  peer_view_reset (peer->view);
  homes_readmit (router, peer, now);
  g_hash_table_iter_init (&iter, peer->unsent);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_val (batch, ((const unsent_entry_t *)value)->entry);
  if (batch->len > 0 && send_report (router, peer, batch))
    g_hash_table_remove_all (peer->unsent);
}
