/* The hub: the table of peers, dialling and accepting links, and the events
   for the owner.  */

#include "wire/peer-private.h"

#include "base/addr.h"
#include "base/log.h"
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_ACCEPTS_PER_WAKEUP 64

/* ---- peers ---- */

static void
peer_free (gpointer data)
{
  peer_t *peer = data;

  list_remove (&peer->notify_node);
  g_free (peer->instance);
  g_free (peer->address);
  g_free ((char *)peer->reported_id.instance);
  g_free ((char *)peer->reported_id.zone);
  g_free (peer);
}

peer_t *
hub_get_or_add_peer (peer_hub_t *hub, const char *instance)
{
  peer_t *peer = g_hash_table_lookup (hub->peers, instance);

  if (peer != NULL)
    return peer;
  peer = g_new0 (peer_t, 1);
  peer->instance = g_strdup (instance);
  list_init (&peer->links);
  list_init (&peer->notify_node);
  g_hash_table_insert (hub->peers, peer->instance, peer);
  return peer;
}

peer_link_t *
peer_get_newest_link (const peer_t *peer)
{
  return list_is_empty (&peer->links)
             ? NULL
             : list_entry (peer->links.next, peer_link_t, peer_node);
}

/* ---- events for the owner ---- */

void
hub_queue_notification (peer_hub_t *hub, peer_t *peer)
{
  if (!list_is_linked (&peer->notify_node))
    list_append (&hub->notify_queue, &peer->notify_node);
}

static void
add_timeline_event (peer_hub_t *hub, tl_kind_t kind, const peer_id_t *id)
{
  g_autofree char *detail = NULL;

  if (hub->ring == NULL)
    return;
  detail = g_strdup_printf ("peer=%s incarnation=%016" G_GINT64_MODIFIER "x",
                            id->instance, id->incarnation);
  tl_add (hub->ring, kind, NULL, id->zone, NULL, NULL, detail);
}

static void
report_down (peer_hub_t *hub, peer_t *peer, cfd_time_t now)
{
  peer->reported_up = false;
  add_timeline_event (hub, TL_PEER_DOWN, &peer->reported_id);
  if (hub->events.down != NULL)
    hub->events.down (hub->user, &peer->reported_id, now);
}

static void
report_up (peer_hub_t *hub, peer_t *peer, cfd_time_t now)
{
  const peer_id_t *id = &peer_get_newest_link (peer)->id;

  g_free ((char *)peer->reported_id.instance);
  g_free ((char *)peer->reported_id.zone);
  peer->reported_id = *id;
  peer->reported_id.instance = g_strdup (id->instance);
  peer->reported_id.zone = g_strdup (id->zone);
  peer->reported_up = true;
  peer->lost_since_report = false;
  add_timeline_event (hub, TL_PEER_UP, &peer->reported_id);
  if (hub->events.up != NULL)
    hub->events.up (hub->user, &peer->reported_id, now);
}

/* The loss of the newest link is reported even if another link replaces it,
   because frames may be lost and the owner has to send its state again.  */
static void
report_changes (peer_hub_t *hub, peer_t *peer, cfd_time_t now)
{
  if (peer->reported_up
      && (peer->lost_since_report || peer_get_newest_link (peer) == NULL))
    report_down (hub, peer, now);
  if (!peer->reported_up && peer_get_newest_link (peer) != NULL)
    report_up (hub, peer, now);
}

void
hub_notify_owner (peer_hub_t *hub)
{
  while (!list_is_empty (&hub->notify_queue))
    {
      peer_t *peer = list_entry (hub->notify_queue.next, peer_t, notify_node);

      list_remove (&peer->notify_node);
      report_changes (hub, peer, clock_now ());
    }
}

void
hub_add_authenticated_link (peer_hub_t *hub, peer_link_t *link, cfd_time_t now)
{
  peer_t *peer = hub_get_or_add_peer (hub, link->id.instance);

  /* Links to an earlier incarnation are useless.  A dialling process has only
     one link at a time: it has closed an older one that it dialled, and frames
     that still arrive there, such as a late ASSIGN, must be ignored.  */
  list_for_each_safe (node, &peer->links)
    {
      peer_link_t *old = list_entry (node, peer_link_t, peer_node);

      if (old->id.incarnation != link->id.incarnation)
        link_close (old, "former incarnation");
      else if (old->is_dialled == link->is_dialled)
        link_close (old, "replaced by a newer link");
    }
  hub->unauthenticated_links--;
  hub->counters.links_up++;
  link->state = LINK_AUTHENTICATED;
  link->authenticated_at = now;
  link->peer = peer;
  if (peer->dialling_link == link)
    peer->dialling_link = NULL;
  list_prepend (&peer->links, &link->peer_node);
  watch_reset (link, now);
  hub_queue_notification (hub, peer);
  hub_notify_owner (hub);
}

/* ---- dialling ---- */

static void
schedule_dial (peer_t *peer, cfd_time_t now)
{
  int doubled_ms = peer->backoff_ms * 2;

  peer->backoff_ms
      = CLAMP (doubled_ms, PEER_MIN_BACKOFF_MS, PEER_MAX_BACKOFF_MS);
  /* Half of it is random, so that a fleet doesn't dial at the same time.  */
  peer->next_dial = now + peer->backoff_ms / 2
                    + (int)randombytes_uniform (peer->backoff_ms / 2 + 1);
}

void
hub_dial (peer_hub_t *hub, peer_t *peer, cfd_time_t now)
{
  addr_t addr;
  int fd;

  if (hub->role == ROLE_AGENT || peer->address == NULL
      || peer->dialling_link != NULL || peer_get_newest_link (peer) != NULL
      || now < peer->next_dial)
    return;
  /* Counts as a failure until the link has been up for PEER_STABLE_LINK_MS. */
  schedule_dial (peer, now);
  if (!addr_parse (peer->address, &addr, NULL))
    return;
  fd = addr_connect (&addr);
  if (fd < 0)
    {
      log_warn ("peer", "Can't dial: peer=%s address=%s fault=%s.",
                peer->instance, peer->address, g_strerror (errno));
      return;
    }
  peer->dialling_link = link_new (hub, fd, peer, true, now);
}

/* ---- event loop callbacks ---- */

static void
accept_links (peer_hub_t *hub)
{
  cfd_time_t now = clock_now ();
  int on = 1;
  int fd;

  for (int i = 0; i < MAX_ACCEPTS_PER_WAKEUP; i++)
    {
      fd = accept4 (hub->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0 && (errno == EAGAIN || errno == ECONNABORTED))
        return;
      if (fd < 0)
        {
          /* Most likely no descriptors are left.  Pausing until the next tick
             avoids a busy loop.  */
          log_error ("peer", "Can't accept: fault=%s.", g_strerror (errno));
          ev_io_stop (hub->loop, &hub->accept_watcher);
          hub->is_accept_paused = true;
          return;
        }
      if (hub->unauthenticated_links >= PEER_MAX_UNAUTHENTICATED)
        {
          hub->counters.links_refused++;
          close (fd);
          continue;
        }
      (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      (void)link_new (hub, fd, NULL, false, now);
    }
}

static void
on_acceptable (struct ev_loop *loop, ev_io *watcher, int events)
{
  accept_links (watcher->data);
}

static bool
is_peer_unused (const peer_t *peer)
{
  return peer->address == NULL && peer->hold_count == 0
         && peer->dialling_link == NULL && list_is_empty (&peer->links)
         && !list_is_linked (&peer->notify_node);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  peer_hub_t *hub = watcher->data;
  cfd_time_t now = clock_now ();
  GHashTableIter iter;
  gpointer value;

  if (hub->is_accept_paused)
    {
      hub->is_accept_paused = false;
      ev_io_start (loop, &hub->accept_watcher);
    }
  watch_check_links (hub, now);
  g_hash_table_iter_init (&iter, hub->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;

      if (peer->hold_count > 0)
        hub_dial (hub, peer, now);
      else if (is_peer_unused (peer))
        g_hash_table_iter_remove (&iter);
    }
  hub_notify_owner (hub);
}

static void
free_closed_links (peer_hub_t *hub)
{
  list_for_each_safe (node, &hub->closed_links)
    {
      list_remove (node);
      link_free (list_entry (node, peer_link_t, node));
    }
}

/* Runs before the loop blocks, so that all frames of one iteration are sent
   together.  */
static void
on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  peer_hub_t *hub = watcher->data;

  do
    {
      hub_notify_owner (hub);
      while (!list_is_empty (&hub->flush_queue))
        link_flush (
            list_entry (hub->flush_queue.next, peer_link_t, flush_node));
    }
  while (!list_is_empty (&hub->notify_queue));
  free_closed_links (hub);
}

/* ---- public functions ---- */

static void
start_watchers (peer_hub_t *hub)
{
  if (hub->listen_fd >= 0)
    {
      ev_io_init (&hub->accept_watcher, on_acceptable, hub->listen_fd,
                  EV_READ);
      hub->accept_watcher.data = hub;
      ev_io_start (hub->loop, &hub->accept_watcher);
    }
  ev_timer_init (&hub->tick_timer, on_tick, PEER_TICK_INTERVAL_MS / 1000.0,
                 PEER_TICK_INTERVAL_MS / 1000.0);
  hub->tick_timer.data = hub;
  ev_timer_start (hub->loop, &hub->tick_timer);
  ev_prepare_init (&hub->prepare_watcher, on_prepare);
  hub->prepare_watcher.data = hub;
  ev_prepare_start (hub->loop, &hub->prepare_watcher);
}

peer_hub_t *
peer_hub_new (struct ev_loop *loop, const peer_hub_options_t *options,
              tl_ring_t *ring, const peer_events_t *events, void *user,
              GError **error)
{
  peer_hub_t *hub;
  int fd = -1;

  if (sodium_init () < 0)
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_UNAVAILABLE,
                   "No randomness to authenticate peer links; check that "
                   "getrandom works here");
      return NULL;
    }
  if (options->listen != NULL && options->listen[0] != 0)
    {
      fd = addr_listen (options->listen, error);
      if (fd < 0)
        return NULL;
    }
  hub = g_new0 (peer_hub_t, 1);
  hub->loop = loop;
  hub->role = options->role;
  hub->instance = g_strdup (options->instance);
  hub->zone = g_strdup (options->zone);
  hub->incarnation = options->incarnation;
  hub->short_frames = true;
  auth_derive_key (options->secret, hub->key);
  hub->ring = ring;
  hub->clock = ring != NULL ? tl_ring_get_clock (ring) : &hub->own_clock;
  hub->events = *events;
  hub->user = user;
  hub->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  list_init (&hub->links);
  list_init (&hub->closed_links);
  list_init (&hub->flush_queue);
  list_init (&hub->notify_queue);
  hub->listen_fd = fd;
  hub->last_tick = clock_now ();
  start_watchers (hub);
  return hub;
}

void
peer_hub_free (peer_hub_t *hub)
{
  if (hub == NULL)
    return;
  while (!list_is_empty (&hub->flush_queue))
    link_flush (list_entry (hub->flush_queue.next, peer_link_t, flush_node));
  list_for_each_safe (node, &hub->links)
    link_close (list_entry (node, peer_link_t, node), "end of this process");
  free_closed_links (hub);
  ev_timer_stop (hub->loop, &hub->tick_timer);
  ev_prepare_stop (hub->loop, &hub->prepare_watcher);
  if (hub->listen_fd >= 0)
    {
      ev_io_stop (hub->loop, &hub->accept_watcher);
      close (hub->listen_fd);
    }
  g_hash_table_unref (hub->peers);
  sodium_memzero (hub->key, sizeof hub->key);
  g_free (hub->instance);
  g_free (hub->zone);
  g_free (hub);
}

void
peer_hub_set_address (peer_hub_t *hub, const char *instance,
                      const char *address)
{
  peer_t *peer;

  if (strcmp (instance, hub->instance) == 0)
    return;
  if (address != NULL && address[0] == 0)
    address = NULL;
  peer = hub_get_or_add_peer (hub, instance);
  if (g_strcmp0 (peer->address, address) == 0)
    return;
  g_free (peer->address);
  peer->address = g_strdup (address);
  if (peer->dialling_link != NULL)
    link_close (peer->dialling_link, "address changed");
  peer->backoff_ms = 0;
  peer->next_dial = 0;
  if (peer->hold_count > 0)
    hub_dial (hub, peer, clock_now ());
}

bool
peer_hub_send (peer_hub_t *hub, const char *instance, msg_t *message)
{
  peer_t *peer = g_hash_table_lookup (hub->peers, instance);
  peer_link_t *link;

  if (peer == NULL)
    return false;
  link = peer_get_newest_link (peer);
  if (link != NULL)
    return link_send (link, message);
  hub_dial (hub, peer, clock_now ());
  return false;
}

void
peer_hub_hold (peer_hub_t *hub, const char *instance)
{
  peer_t *peer;
  cfd_time_t now = clock_now ();

  if (strcmp (instance, hub->instance) == 0)
    return;
  peer = hub_get_or_add_peer (hub, instance);
  if (peer->hold_count++ > 0)
    return;
  if (peer_get_newest_link (peer) != NULL)
    watch_reset (peer_get_newest_link (peer), now);
  else
    hub_dial (hub, peer, now);
}

void
peer_hub_release (peer_hub_t *hub, const char *instance)
{
  peer_t *peer = g_hash_table_lookup (hub->peers, instance);

  if (peer == NULL)
    return;
  INVARIANT ("peer-holds", peer->hold_count > 0, instance);
  if (peer->hold_count > 0)
    peer->hold_count--;
}

bool
peer_hub_is_up (const peer_hub_t *hub, const char *instance)
{
  const peer_t *peer = g_hash_table_lookup (hub->peers, instance);

  return peer != NULL && peer_get_newest_link (peer) != NULL;
}

bool
peer_hub_is_unresponsive (const peer_hub_t *hub, const char *instance,
                          cfd_time_t now)
{
  const peer_t *peer = g_hash_table_lookup (hub->peers, instance);
  const peer_link_t *link = peer != NULL ? peer_get_newest_link (peer) : NULL;

  return link != NULL && link->unanswered_ping_since != 0
         && now - link->silent_since >= PEER_UNRESPONSIVE_MS;
}

size_t
peer_hub_get_pending_bytes (const peer_hub_t *hub, const char *instance)
{
  const peer_t *peer = g_hash_table_lookup (hub->peers, instance);
  const peer_link_t *link = peer != NULL ? peer_get_newest_link (peer) : NULL;

  return link != NULL ? link_get_pending_bytes (link) : 0;
}

void
peer_hub_get_counters (const peer_hub_t *hub, peer_counters_t *counters)
{
  *counters = hub->counters;
}

uint64_t
peer_sum_control_bytes (const peer_traffic_t *traffic)
{
  uint64_t bytes = 0;

  for (unsigned kind = 0; kind < MSG_KIND_COUNT; kind++)
    if (msg_is_control (kind))
      bytes += traffic[kind].bytes;
  return bytes;
}
