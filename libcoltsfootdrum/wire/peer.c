/* The hub: which peers there are, who is dialled, what the owner is told.  */

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

#define ACCEPTED_AT_ONCE 64

/* ---- peers ---- */

static void
peer_free (gpointer data)
{
  peer_t *peer = data;

  list_remove (&peer->unsettled);
  g_free (peer->instance);
  g_free (peer->address);
  g_free ((char *)peer->told.instance);
  g_free ((char *)peer->told.zone);
  g_free (peer);
}

peer_t *
hub_peer (peer_hub_t *hub, const char *instance)
{
  peer_t *peer = g_hash_table_lookup (hub->peers, instance);

  if (peer != NULL)
    return peer;
  peer = g_new0 (peer_t, 1);
  peer->instance = g_strdup (instance);
  list_init (&peer->links);
  list_init (&peer->unsettled);
  g_hash_table_insert (hub->peers, peer->instance, peer);
  return peer;
}

peer_link_t *
peer_newest (const peer_t *peer)
{
  return list_is_empty (&peer->links)
             ? NULL
             : list_entry (peer->links.next, peer_link_t, in_peer);
}

/* ---- what the owner is told ---- */

void
hub_unsettle (peer_hub_t *hub, peer_t *peer)
{
  if (!list_is_linked (&peer->unsettled))
    list_append (&hub->unsettled, &peer->unsettled);
}

static void
note (peer_hub_t *hub, tl_kind_t kind, const peer_id_t *id)
{
  g_autofree char *detail = NULL;

  if (hub->ring == NULL)
    return;
  detail = g_strdup_printf ("peer=%s incarnation=%016" G_GINT64_MODIFIER "x",
                            id->instance, id->incarnation);
  tl_add (hub->ring, kind, NULL, id->zone, NULL, NULL, detail);
}

static void
tell_down (peer_hub_t *hub, peer_t *peer, cfd_time_t now)
{
  peer->told_up = false;
  note (hub, TL_PEER_DOWN, &peer->told);
  if (hub->events.down != NULL)
    hub->events.down (hub->user, &peer->told, now);
}

static void
tell_up (peer_hub_t *hub, peer_t *peer, cfd_time_t now)
{
  const peer_id_t *id = &peer_newest (peer)->id;

  g_free ((char *)peer->told.instance);
  g_free ((char *)peer->told.zone);
  peer->told = *id;
  peer->told.instance = g_strdup (id->instance);
  peer->told.zone = g_strdup (id->zone);
  peer->told_up = true;
  peer->lost = false;
  note (hub, TL_PEER_UP, &peer->told);
  if (hub->events.up != NULL)
    hub->events.up (hub->user, &peer->told, now);
}

/* The loss of the link for sending is told even when another link takes its
   place: frames may be gone with it, and the owner must start anew.  */
static void
settle_peer (peer_hub_t *hub, peer_t *peer, cfd_time_t now)
{
  if (peer->told_up && (peer->lost || peer_newest (peer) == NULL))
    tell_down (hub, peer, now);
  if (!peer->told_up && peer_newest (peer) != NULL)
    tell_up (hub, peer, now);
}

void
hub_settle (peer_hub_t *hub)
{
  while (!list_is_empty (&hub->unsettled))
    {
      peer_t *peer = list_entry (hub->unsettled.next, peer_t, unsettled);

      list_remove (&peer->unsettled);
      settle_peer (hub, peer, clock_now ());
    }
}

void
hub_link_proved (peer_hub_t *hub, peer_link_t *link, cfd_time_t now)
{
  peer_t *peer = hub_peer (hub, link->id.instance);

  /* Links to a former incarnation lead nowhere.  A dialler has one link at a
     time: an older one that it dialled is dead on its side, and what still
     comes out of it, such as a late ASSIGN, must not be acted on.  */
  list_for_each_safe (node, &peer->links)
    {
      peer_link_t *old = list_entry (node, peer_link_t, in_peer);

      if (old->id.incarnation != link->id.incarnation)
        link_close (old, "former incarnation");
      else if (old->dialled == link->dialled)
        link_close (old, "replaced by a newer link");
    }
  hub->unproved--;
  hub->counters.links_up++;
  link->state = LINK_PROVED;
  link->proved = now;
  link->peer = peer;
  if (peer->dialling == link)
    peer->dialling = NULL;
  list_prepend (&peer->links, &link->in_peer);
  watch_from (link, now);
  hub_unsettle (hub, peer);
  hub_settle (hub);
}

/* ---- dialling ---- */

static void
schedule_dial (peer_t *peer, cfd_time_t now)
{
  int next = peer->backoff_ms * 2;

  peer->backoff_ms = CLAMP (next, PEER_BACKOFF_LEAST_MS, PEER_BACKOFF_MOST_MS);
  /* Half of it at random, so that a fleet doesn't dial in step.  */
  peer->next_dial = now + peer->backoff_ms / 2
                    + (int)randombytes_uniform (peer->backoff_ms / 2 + 1);
}

void
hub_dial (peer_hub_t *hub, peer_t *peer, cfd_time_t now)
{
  addr_t addr;
  int fd;

  if (hub->role == ROLE_AGENT || peer->address == NULL
      || peer->dialling != NULL || peer_newest (peer) != NULL
      || now < peer->next_dial)
    return;
  /* Counted as failed until the link proves to be steady.  */
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
  peer->dialling = link_new (hub, fd, peer, true, now);
}

/* ---- the loop's callbacks ---- */

static void
accept_links (peer_hub_t *hub)
{
  cfd_time_t now = clock_now ();
  int on = 1;
  int fd;

  for (int i = 0; i < ACCEPTED_AT_ONCE; i++)
    {
      fd = accept4 (hub->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0 && (errno == EAGAIN || errno == ECONNABORTED))
        return;
      if (fd < 0)
        {
          /* Out of descriptors, most likely: the loop would spin.  */
          log_error ("peer", "Can't accept: fault=%s.", g_strerror (errno));
          ev_io_stop (hub->loop, &hub->listening);
          hub->listen_paused = true;
          return;
        }
      if (hub->unproved >= PEER_UNPROVED_MAX)
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
on_listening (struct ev_loop *loop, ev_io *watcher, int events)
{
  accept_links (watcher->data);
}

static bool
peer_is_unused (const peer_t *peer)
{
  return peer->address == NULL && peer->holds == 0 && peer->dialling == NULL
         && list_is_empty (&peer->links) && !list_is_linked (&peer->unsettled);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  peer_hub_t *hub = watcher->data;
  cfd_time_t now = clock_now ();
  GHashTableIter iter;
  gpointer value;

  if (hub->listen_paused)
    {
      hub->listen_paused = false;
      ev_io_start (loop, &hub->listening);
    }
  watch_links (hub, now);
  g_hash_table_iter_init (&iter, hub->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;

      if (peer->holds > 0)
        hub_dial (hub, peer, now);
      else if (peer_is_unused (peer))
        g_hash_table_iter_remove (&iter);
    }
  hub_settle (hub);
}

static void
free_dead (peer_hub_t *hub)
{
  list_for_each_safe (node, &hub->dead)
    {
      list_remove (node);
      link_free (list_entry (node, peer_link_t, node));
    }
}

/* Before the loop blocks: all frames of this round go out together.  */
static void
on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  peer_hub_t *hub = watcher->data;

  do
    {
      hub_settle (hub);
      while (!list_is_empty (&hub->dirty))
        link_flush (list_entry (hub->dirty.next, peer_link_t, dirty));
    }
  while (!list_is_empty (&hub->unsettled));
  free_dead (hub);
}

/* ---- public ---- */

static void
start_watchers (peer_hub_t *hub)
{
  if (hub->listen_fd >= 0)
    {
      ev_io_init (&hub->listening, on_listening, hub->listen_fd, EV_READ);
      hub->listening.data = hub;
      ev_io_start (hub->loop, &hub->listening);
    }
  ev_timer_init (&hub->tick, on_tick, PEER_TICK_MS / 1000.0,
                 PEER_TICK_MS / 1000.0);
  hub->tick.data = hub;
  ev_timer_start (hub->loop, &hub->tick);
  ev_prepare_init (&hub->prepare, on_prepare);
  hub->prepare.data = hub;
  ev_prepare_start (hub->loop, &hub->prepare);
}

peer_hub_t *
peer_hub_new (struct ev_loop *loop, const peer_hub_options_t *self,
              tl_ring_t *ring, const peer_events_t *events, void *user,
              GError **error)
{
  peer_hub_t *hub;
  int fd = -1;

  if (sodium_init () < 0)
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_UNAVAILABLE,
                   "No randomness for the proofs of links; check that "
                   "getrandom works here");
      return NULL;
    }
  if (self->listen != NULL && self->listen[0] != 0)
    {
      fd = addr_listen (self->listen, error);
      if (fd < 0)
        return NULL;
    }
  hub = g_new0 (peer_hub_t, 1);
  hub->loop = loop;
  hub->role = self->role;
  hub->instance = g_strdup (self->instance);
  hub->zone = g_strdup (self->zone);
  hub->incarnation = self->incarnation;
  hub->short_frames = true;
  auth_key (self->secret, hub->key);
  hub->ring = ring;
  hub->clock = ring != NULL ? tl_ring_get_clock (ring) : &hub->own_clock;
  hub->events = *events;
  hub->user = user;
  hub->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  list_init (&hub->links);
  list_init (&hub->dead);
  list_init (&hub->dirty);
  list_init (&hub->unsettled);
  hub->listen_fd = fd;
  hub->ticked = clock_now ();
  start_watchers (hub);
  return hub;
}

void
peer_hub_free (peer_hub_t *hub)
{
  if (hub == NULL)
    return;
  while (!list_is_empty (&hub->dirty))
    link_flush (list_entry (hub->dirty.next, peer_link_t, dirty));
  list_for_each_safe (node, &hub->links)
    link_close (list_entry (node, peer_link_t, node), "end of this process");
  free_dead (hub);
  ev_timer_stop (hub->loop, &hub->tick);
  ev_prepare_stop (hub->loop, &hub->prepare);
  if (hub->listen_fd >= 0)
    {
      ev_io_stop (hub->loop, &hub->listening);
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
  peer = hub_peer (hub, instance);
  if (g_strcmp0 (peer->address, address) == 0)
    return;
  g_free (peer->address);
  peer->address = g_strdup (address);
  if (peer->dialling != NULL)
    link_close (peer->dialling, "address changed");
  peer->backoff_ms = 0;
  peer->next_dial = 0;
  if (peer->holds > 0)
    hub_dial (hub, peer, clock_now ());
}

bool
peer_hub_send (peer_hub_t *hub, const char *instance, msg_t *message)
{
  peer_t *peer = g_hash_table_lookup (hub->peers, instance);
  peer_link_t *link;

  if (peer == NULL)
    return false;
  link = peer_newest (peer);
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
  peer = hub_peer (hub, instance);
  if (peer->holds++ > 0)
    return;
  if (peer_newest (peer) != NULL)
    watch_from (peer_newest (peer), now);
  else
    hub_dial (hub, peer, now);
}

void
peer_hub_release (peer_hub_t *hub, const char *instance)
{
  peer_t *peer = g_hash_table_lookup (hub->peers, instance);

  if (peer == NULL)
    return;
  INVARIANT ("peer-holds", peer->holds > 0, instance);
  if (peer->holds > 0)
    peer->holds--;
}

bool
peer_hub_is_up (const peer_hub_t *hub, const char *instance)
{
  const peer_t *peer = g_hash_table_lookup (hub->peers, instance);

  return peer != NULL && peer_newest (peer) != NULL;
}

bool
peer_hub_is_unresponsive (const peer_hub_t *hub, const char *instance,
                          cfd_time_t now)
{
  const peer_t *peer = g_hash_table_lookup (hub->peers, instance);
  const peer_link_t *link = peer != NULL ? peer_newest (peer) : NULL;

  return link != NULL && link->ping_open != 0
         && now - link->quiet_since >= PEER_UNRESPONSIVE_MS;
}

size_t
peer_hub_get_pending_bytes (const peer_hub_t *hub, const char *instance)
{
  const peer_t *peer = g_hash_table_lookup (hub->peers, instance);
  const peer_link_t *link = peer != NULL ? peer_newest (peer) : NULL;

  return link != NULL ? link_pending (link) : 0;
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
