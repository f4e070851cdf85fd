/* Routers' figures, by datagram.  */

#include "relay/pal-private.h"

#include "base/err.h"
#include "base/log.h"
#include "relay/cold.h"
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A router that was silent for this time has nothing under way: it is dead,
   or its requests end by its silence.  Three whole figures in the largest
   fleet, so that two may be lost.  */
#define SILENT_MS 1000
/* The largest datagram that UDP carries.  */
#define DATAGRAM_MOST 65536
/* A peer's word on the platform's list counts for so long.  */
#define STEADY_MS 500
/* All figures are sent so often, for changes that were lost; with many routers
   more seldom, for they make N x N datagrams.  Below a third of SILENT_MS.  */
#define WHOLE_LEAST_MS 100
#define WHOLE_MS_A_ROUTER 15
#define WHOLE_MOST_MS 300
/* Changes are told no more often than this for each router they go to: with N
   routers each change makes N datagrams, and small machines would spend all
   their time on them.  */
#define TELL_MS_A_ROUTER 1
/* Datagrams read at one wake: more than a socket holds, so that none waits
   there for a later turn of a loop that is behind.  */
#define READS_A_WAKE 1024

static void
peer_free (void *data)
{
  pal_peer_t *peer = data;

  g_free (peer->name);
  g_hash_table_unref (peer->loads);
  g_free (peer);
}

/* The number of datagrams read.  */
static unsigned
read_some (pal_t *pal)
{
  char buffer[DATAGRAM_MOST];
  unsigned read = 0;

  while (read < READS_A_WAKE)
    {
      ssize_t n = recv (pal->reader.fd, buffer, sizeof buffer, 0);

      if (n < 0)
        break;
      read++;
      if (!pal_receive (pal, clock_now (), buffer, (size_t)n)
          && !pal_take_update (pal, buffer, (size_t)n))
        log_warn ("peers", "A datagram was passed over: bytes=%zd.", n);
    }
  return read;
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  pal_t *pal = watcher->data;
  lag_kind_t before = lag_enter (pal->lag, LAG_DATAGRAMS);

  lag_leave (pal->lag, before, read_some (pal));
}

static void on_turn (struct ev_loop *loop, ev_prepare *watcher, int events);

static int
bind_datagrams (const char *address, GError **error)
{
  addr_t addr;
  int fd;

  if (!addr_parse (address, &addr, error))
    return -1;
  fd = socket (addr.storage.ss_family,
               SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0 && bind (fd, (struct sockaddr *)&addr.storage, addr.length) == 0)
    return fd;
  g_set_error (error, CFD_ERROR, CFD_ERROR_ADDRESS,
               "Datagrams can't be received at %s (%s); choose a free port",
               address, g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

pal_t *
pal_new (struct ev_loop *loop, const char *name, const char *address,
         edp_set_t *endpoints, use_t *use, pfx_t *pfx, ret_t *ret,
         GError **error)
{
  int fd = bind_datagrams (address, error);
  pal_t *pal;

  if (fd < 0)
    return NULL;
  pal = g_new0 (pal_t, 1);
  pal->loop = loop;
  pal->name = g_strdup (name);
  pal->incarnation = ((uint64_t)g_random_int () << 32) | g_random_int ();
  pal->addresses = g_array_new (FALSE, FALSE, sizeof (addr_t));
  pal->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  pal->endpoints = endpoints;
  pal->use = use;
  pal->pfx = pfx;
  pal->ret = ret;
  pal->steady_ms = -1;
  for (unsigned i = 0; i < PAL_LIST_COUNT; i++)
    pal->ages[i] = -1;
  ev_io_init (&pal->reader, on_readable, fd, EV_READ);
  pal->reader.data = pal;
  ev_io_start (loop, &pal->reader);
  ev_prepare_init (&pal->teller, on_turn);
  pal->teller.data = pal;
  ev_prepare_start (loop, &pal->teller);
  return pal;
}

void
pal_free (pal_t *pal)
{
  if (pal == NULL)
    return;
  ev_io_stop (pal->loop, &pal->reader);
  ev_prepare_stop (pal->loop, &pal->teller);
  close (pal->reader.fd);
  g_array_unref (pal->addresses);
  g_clear_pointer (&pal->listed, g_ptr_array_unref);
  g_hash_table_unref (pal->peers);
  g_free (pal->name);
  g_free (pal);
}

void
pal_set_lag (pal_t *pal, lag_t *lag)
{
  pal->lag = lag;
}

void
pal_set_peers (pal_t *pal, const pal_member_t *peers, guint count)
{
  g_array_set_size (pal->addresses, 0);
  g_clear_pointer (&pal->listed, g_ptr_array_unref);
  pal->listed = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < count; i++)
    {
      addr_t addr;

      g_ptr_array_add (pal->listed, g_strdup (peers[i].name));
      if (addr_parse (peers[i].address, &addr, NULL))
        g_array_append_val (pal->addresses, addr);
    }
}

/* This router receives datagrams of less than half of the others: the cut may
   be on its side.  */
static bool
may_be_cut_off (const pal_t *pal)
{
  return pal->listed != NULL
         && g_hash_table_size (pal->peers) * 2 < pal->listed->len;
}

unsigned
pal_count_alive (const pal_t *pal)
{
  return g_hash_table_size (pal->peers) + 1;
}

unsigned
pal_estimate_fleet_size (const pal_t *pal)
{
  if (may_be_cut_off (pal))
    return pal->listed->len + 1;
  return pal_count_alive (pal);
}

static unsigned
rank_at (const pal_t *pal, uint64_t endpoint)
{
  bool all = may_be_cut_off (pal);
  unsigned rank = 0;

  for (guint i = 0; i < pal->listed->len; i++)
    {
      const char *name = g_ptr_array_index (pal->listed, i);

      if (!all && !g_hash_table_contains (pal->peers, name))
        continue;
      rank += cold_ranks_before (name, pal->name, endpoint);
    }
  return rank;
}

void
pal_update_cold_ranks (pal_t *pal, cfd_time_t now)
{
  list_for_each (node, edp_set_endpoints (pal->endpoints))
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (now < edp->cold_until)
        edp->cold_rank = pal->listed != NULL ? rank_at (pal, edp->hash)
                                             : COLD_RANK_UNKNOWN;
    }
}

static void
forget_silent (pal_t *pal, cfd_time_t now)
{
  GHashTableIter each;
  void *data;

  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      pal_peer_t *peer = data;

      if (now - peer->heard <= SILENT_MS)
        continue;
      log_info ("peers", "A router fell silent: router=%s.", peer->name);
      pal_uncount (pal, peer);
      use_remove_peer (pal->use, now, peer->name);
      g_hash_table_iter_remove (&each);
    }
}

void
pal_send_all (const pal_t *pal, const void *bytes, size_t length)
{
  for (guint i = 0; i < pal->addresses->len; i++)
    {
      const addr_t *addr = &g_array_index (pal->addresses, addr_t, i);

      sendto (pal->reader.fd, bytes, length, MSG_NOSIGNAL,
              (const struct sockaddr *)&addr->storage, addr->length);
    }
}

static void
send_figures (pal_t *pal, cfd_time_t now, bool whole)
{
  g_autoptr (GByteArray) bytes = pal_pack (pal, now, whole);

  pal_send_all (pal, bytes->data, bytes->len);
}

static void
tell_changes (pal_t *pal, cfd_time_t now)
{
  int64_t pause = (int64_t)pal->addresses->len * TELL_MS_A_ROUTER;

  if (now - pal->told_changes < pause)
    return;
  list_for_each (node, edp_set_endpoints (pal->endpoints))
    {
      if (!list_entry (node, edp_t, node)->changed)
        continue;
      pal->told_changes = now;
      send_figures (pal, now, false);
      return;
    }
}

/* What changed in this turn, in one datagram for each other router.  */
static void
on_turn (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  tell_changes (watcher->data, clock_now ());
}

void
pal_set_list_stable_ms (pal_t *pal, int64_t steady_ms)
{
  pal->steady_ms = steady_ms;
}

int64_t
pal_get_max_peer_stable_ms (const pal_t *pal, cfd_time_t now)
{
  GHashTableIter each;
  void *data;
  int64_t longest = -1;

  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      const pal_peer_t *peer = data;

      if (now - peer->heard <= STEADY_MS)
        longest = MAX (longest, peer->steady_ms);
    }
  return longest;
}

void
pal_set_list_revision (pal_t *pal, unsigned list, int64_t revision)
{
  g_return_if_fail (list < PAL_LIST_COUNT);
  pal->seen[list] = revision;
}

int64_t
pal_get_max_peer_revision (const pal_t *pal, cfd_time_t now, unsigned list)
{
  GHashTableIter each;
  void *data;
  int64_t newest = 0;

  g_return_val_if_fail (list < PAL_LIST_COUNT, 0);
  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      const pal_peer_t *peer = data;

      if (now - peer->heard <= STEADY_MS)
        newest = MAX (newest, peer->seen[list]);
    }
  return newest;
}

void
pal_set_list_age (pal_t *pal, unsigned list, int64_t age_ms)
{
  g_return_if_fail (list < PAL_LIST_COUNT);
  pal->ages[list] = age_ms;
}

/* -1: not known.  */
static int64_t
age_at (const pal_peer_t *peer, cfd_time_t now, unsigned list)
{
  return peer->ages[list] < 0 ? -1
                              : peer->ages[list] + (now - peer->ages_told);
}

int64_t
pal_get_min_peer_age_ms (const pal_t *pal, cfd_time_t now, unsigned list)
{
  GHashTableIter each;
  void *peer;
  int64_t least = -1;

  g_return_val_if_fail (list < PAL_LIST_COUNT, -1);
  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &peer))
    {
      int64_t age = age_at (peer, now, list);

      if (age >= 0 && (least < 0 || age < least))
        least = age;
    }
  return least;
}

unsigned
pal_get_reader_rank (const pal_t *pal, cfd_time_t now, unsigned list,
                     int64_t most_ms)
{
  GHashTableIter each;
  void *data;
  unsigned rank = 0;

  g_return_val_if_fail (list < PAL_LIST_COUNT, 0);
  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      const pal_peer_t *peer = data;
      int64_t age = age_at (peer, now, list);

      if (age >= 0 && age <= most_ms)
        rank += cold_ranks_before (peer->name, pal->name, list);
    }
  return rank;
}

static int64_t
whole_pause (const pal_t *pal)
{
  return CLAMP ((int64_t)pal->addresses->len * WHOLE_MS_A_ROUTER,
                WHOLE_LEAST_MS, WHOLE_MOST_MS);
}

void
pal_tick (pal_t *pal, cfd_time_t now)
{
  forget_silent (pal, now);
  pal_count_new (pal);
  if (now - pal->told < whole_pause (pal))
    {
      tell_changes (pal, now);
      return;
    }
  pal->told = now;
  pal_update_cold_ranks (pal, now);
  send_figures (pal, now, true);
}
