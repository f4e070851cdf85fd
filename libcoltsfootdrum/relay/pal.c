/* Peers: the UDP socket, the sending intervals and the timeout of peers.  */

#include "relay/pal-private.h"

#include "base/err.h"
#include "base/log.h"
#include "relay/cold.h"
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A router that sent nothing for this time has no requests in flight: it is
   dead, or its requests end because it is unreachable.  The full state is sent
   three times within it in the largest fleet, so that two may be lost.  */
#define PEER_TIMEOUT_MS 1000
/* Each check goes through all routers.  */
#define SILENCE_CHECK_INTERVAL_MS 100
/* The largest UDP datagram.  */
#define MAX_DATAGRAM_BYTES 65536
/* What a peer reports of the platform's lists is valid for this time.  */
#define PEER_REPORT_VALID_MS 500
/* The full state is sent at this interval, to make up for lost changes.  N
   routers send N x N datagrams, so that the interval grows with their number.
   It stays below a third of PEER_TIMEOUT_MS.  */
#define MIN_FULL_INTERVAL_MS 100
#define FULL_INTERVAL_MS_PER_ROUTER 15
#define MAX_FULL_INTERVAL_MS 300
/* Interval of summaries, by the number of routers that they are sent to, so
   that each router receives no more than a few hundred a second.  */
#define MIN_SUMMARY_INTERVAL_MS 300
#define SUMMARY_INTERVAL_MS_PER_ROUTER 8
/* Summaries that may be lost before a router of another cell counts as
   silent.  */
#define LOST_SUMMARIES 3
/* Minimum interval between datagrams with changes, for each router that they
   are sent to.  With N routers each change takes N datagrams, and small
   machines would spend all their time on them.  */
#define CHANGES_INTERVAL_MS_PER_ROUTER 1
/* Interval at which records that are to be stored are sent again.  */
#define AWAITED_REPEAT_MS 40
/* Intervals of the full state after which a silent router may have failed, so
   that others ask endpoints in its place.  */
#define MAX_SILENT_INTERVALS 2.5
/* Routers whose writes fail that are passed over for a task.  More would fail
   for all.  */
#define MAX_FAILING_WRITERS 2u
/* Datagrams read per wakeup: more than the socket's buffer holds, so that none
   waits for a later iteration of an event loop that is behind.  */
#define MAX_READS_PER_WAKEUP 1024
/* With more routers in the cell, datagrams are read at each tick and not as
   they arrive: most wake-ups would be for one of them.  */
#define MAX_PEERS_READ_AT_ONCE 16
/* Datagrams sent or received by one system call.  */
#define SENDS_PER_CALL 64
#define READS_PER_CALL 16
#define MAX_INBOX_BYTES 1048576u
/* Time for decoding them.  Callers wait meanwhile.  */
#define MAX_DECODE_US 4000

static void
peer_free (void *data)
{
  pal_peer_t *peer = data;

  g_free (peer->name);
  g_hash_table_unref (peer->loads);
  g_hash_table_unref (peer->speeds);
  g_free (peer);
}

void
pal_receive_any (pal_t *pal, cfd_time_t now, const void *bytes, size_t length)
{
  if (pal_receive (pal, now, bytes, length)
      || pal_receive_update (pal, bytes, length))
    return;
  pal->invalid_datagrams++;
  log_warn ("peers", "An invalid datagram was ignored: bytes=%zu.", length);
}

uint64_t
pal_count_invalid (const pal_t *pal)
{
  return pal->invalid_datagrams;
}

uint64_t
pal_count_dropped (const pal_t *pal)
{
  return pal->dropped_datagrams;
}

void
pal_decode_inbox (pal_t *pal, cfd_time_t now, int64_t deadline_us,
                  int64_t (*get_time_us) (void))
{
  pal_inbox_t *inbox = &pal->inbox;
  g_autoptr (GArray) order = pal_inbox_order (inbox);

  for (guint i = 0; i < order->len; i++)
    {
      guint index = g_array_index (order, guint, i);
      const pal_inbox_item_t *item
          = &g_array_index (inbox->items, pal_inbox_item_t, index);

      if (get_time_us () >= deadline_us)
        {
          pal->dropped_datagrams += order->len - i;
          log_info ("peers",
                    "Datagrams were dropped, the loop has no time for them: "
                    "dropped=%u decoded=%u.",
                    order->len - i, i);
          break;
        }
      pal_receive_any (pal, now, inbox->bytes->data + item->offset,
                       item->length);
    }
  pal_inbox_empty (inbox);
}

/* Reads the datagrams of one system call.  Returns their number.  */
static unsigned
read_batch (pal_t *pal)
{
  struct iovec parts[READS_PER_CALL];
  struct mmsghdr messages[READS_PER_CALL] = { 0 };
  int count;

  for (unsigned i = 0; i < READS_PER_CALL; i++)
    {
      parts[i] = (struct iovec){ .iov_base
                                 = pal->read_buffer + i * MAX_DATAGRAM_BYTES,
                                 .iov_len = MAX_DATAGRAM_BYTES };
      messages[i].msg_hdr.msg_iov = &parts[i];
      messages[i].msg_hdr.msg_iovlen = 1;
    }
  count = recvmmsg (pal->reader.fd, messages, READS_PER_CALL, MSG_DONTWAIT,
                    NULL);
  for (int i = 0; i < count; i++)
    pal_inbox_add (&pal->inbox, parts[i].iov_base, messages[i].msg_len);
  return (unsigned)MAX (count, 0);
}

/* Returns the number of datagrams read.  */
static unsigned
read_datagrams (pal_t *pal)
{
  unsigned read = 0;
  unsigned batch = READS_PER_CALL;

  while (batch == READS_PER_CALL && read < MAX_READS_PER_WAKEUP
         && pal->inbox.bytes->len < MAX_INBOX_BYTES)
    {
      batch = read_batch (pal);
      read += batch;
    }
  pal_decode_inbox (pal, clock_now (), clock_now_us () + MAX_DECODE_US,
                    clock_now_us);
  return read;
}

static void
receive_waiting (pal_t *pal)
{
  lag_kind_t before = lag_enter (pal->lag, LAG_DATAGRAMS);

  lag_leave (pal->lag, before, read_datagrams (pal));
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  receive_waiting (watcher->data);
}

static void on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events);

static int
bind_udp_socket (const char *address, GError **error)
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
               "The UDP socket can't be bound to %s (%s); choose a free port",
               address, g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

pal_t *
pal_new (struct ev_loop *loop, const char *name, uint64_t incarnation,
         const char *address, edp_set_t *endpoints, use_t *use, pfx_t *pfx,
         ret_t *ret, GError **error)
{
  int fd = bind_udp_socket (address, error);
  pal_t *pal;

  if (fd < 0)
    return NULL;
  pal = g_new0 (pal_t, 1);
  pal->loop = loop;
  pal->name = g_strdup (name);
  pal->incarnation = incarnation;
  pal->near_addresses = g_array_new (FALSE, FALSE, sizeof (addr_t));
  pal->far_addresses = g_array_new (FALSE, FALSE, sizeof (addr_t));
  pal->by_incarnation = g_hash_table_new (g_int64_hash, g_int64_equal);
  pal->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  pal_inbox_init (&pal->inbox);
  pal->read_buffer = g_malloc (READS_PER_CALL * MAX_DATAGRAM_BYTES);
  pal->arena = pal_arena_new ();
  pal->endpoints = endpoints;
  pal->use = use;
  pal->pfx = pfx;
  pal->ret = ret;
  pal->stable_ms = -1;
  pal->started_at = CFD_TIME_NEVER;
  for (unsigned i = 0; i < PAL_LIST_COUNT; i++)
    pal->ages[i] = -1;
  ev_io_init (&pal->reader, on_readable, fd, EV_READ);
  pal->reader.data = pal;
  /* Callers and endpoints go first.  */
  ev_set_priority (&pal->reader, EV_MINPRI);
  ev_io_start (loop, &pal->reader);
  ev_prepare_init (&pal->sender, on_prepare);
  pal->sender.data = pal;
  ev_prepare_start (loop, &pal->sender);
  return pal;
}

void
pal_free (pal_t *pal)
{
  if (pal == NULL)
    return;
  ev_io_stop (pal->loop, &pal->reader);
  ev_prepare_stop (pal->loop, &pal->sender);
  close (pal->reader.fd);
  g_array_unref (pal->near_addresses);
  g_array_unref (pal->far_addresses);
  g_clear_pointer (&pal->member_names, g_ptr_array_unref);
  g_clear_pointer (&pal->near_names, g_ptr_array_unref);
  g_hash_table_unref (pal->by_incarnation);
  pal_inbox_clear (&pal->inbox);
  g_free (pal->read_buffer);
  msgpack_zone_free (pal->arena);
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
pal_set_rollouts (pal_t *pal, rol_t *rol)
{
  pal->rol = rol;
}

void
pal_set_origins (pal_t *pal, org_t *org)
{
  pal->org = org;
}

void
pal_set_quarantine (pal_t *pal, qua_t *qua)
{
  pal->qua = qua;
}

void
pal_set_parts (pal_t *pal, prt_t *prt)
{
  pal->prt = prt;
}

void
pal_set_balance (pal_t *pal, bal_t *bal)
{
  pal->bal = bal;
}

void
pal_set_reader (pal_t *pal, bool is_reader)
{
  pal->is_reader = is_reader;
}

void
pal_set_fails_writes (pal_t *pal, bool fails)
{
  pal->fails_writes = fails;
}

void
pal_set_peers (pal_t *pal, const pal_member_t *peers, guint count)
{
  g_array_set_size (pal->near_addresses, 0);
  g_array_set_size (pal->far_addresses, 0);
  g_clear_pointer (&pal->member_names, g_ptr_array_unref);
  g_clear_pointer (&pal->near_names, g_ptr_array_unref);
  pal->member_names = g_ptr_array_new_with_free_func (g_free);
  pal->near_names = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < count; i++)
    {
      GArray *addresses
          = peers[i].is_near ? pal->near_addresses : pal->far_addresses;
      addr_t addr;

      g_ptr_array_add (pal->member_names, g_strdup (peers[i].name));
      if (peers[i].is_near)
        g_ptr_array_add (pal->near_names, g_strdup (peers[i].name));
      if (addr_parse (peers[i].address, &addr, NULL))
        g_array_append_val (addresses, addr);
    }
  if (pal->near_addresses->len > MAX_PEERS_READ_AT_ONCE)
    ev_io_stop (pal->loop, &pal->reader);
  else
    ev_io_start (pal->loop, &pal->reader);
}

bool
pal_may_be_partitioned (const pal_t *pal)
{
  return pal->member_names != NULL
         && g_hash_table_size (pal->peers) * 2 < pal->member_names->len;
}

unsigned
pal_count_alive (const pal_t *pal)
{
  return g_hash_table_size (pal->peers) + 1;
}

unsigned
pal_estimate_fleet_size (const pal_t *pal)
{
  if (pal_may_be_partitioned (pal))
    return pal->member_names->len + 1;
  return pal_count_alive (pal);
}

/* Returns this router's rank among those that share EDP: the routers of its
   cell, or all where several cells share it.  The others send it nothing.  */
static unsigned
compute_cold_rank (const pal_t *pal, const edp_t *edp)
{
  const GPtrArray *names
      = edp->cell_count > 1 ? pal->member_names : pal->near_names;
  bool all = pal_may_be_partitioned (pal);
  unsigned rank = 0;

  if (pal->member_names == NULL || !edp->is_near)
    return COLD_RANK_UNKNOWN;
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);

      if (!all && !g_hash_table_contains (pal->peers, name))
        continue;
      rank += cold_ranks_before (name, pal->name, edp->hash);
    }
  return rank;
}

static void
update_cold_ranks (const pal_t *pal, list_node_t *endpoints, cfd_time_t now)
{
  list_for_each (node, endpoints)
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (edp_is_cold (edp, now))
        edp->cold_rank = compute_cold_rank (pal, edp);
    }
}

void
pal_update_cold_ranks (pal_t *pal, cfd_time_t now)
{
  update_cold_ranks (pal, edp_set_endpoints (pal->endpoints), now);
  update_cold_ranks (pal, edp_set_others (pal->endpoints), now);
}

static int64_t
get_summary_interval_ms (const pal_t *pal)
{
  return MAX ((int64_t)pal->far_addresses->len
                  * SUMMARY_INTERVAL_MS_PER_ROUTER,
              MIN_SUMMARY_INTERVAL_MS);
}

static int64_t
get_timeout_ms (const pal_t *pal, const pal_peer_t *peer)
{
  if (!peer->sends_summaries)
    return PEER_TIMEOUT_MS;
  return MAX (get_summary_interval_ms (pal) * (LOST_SUMMARIES + 1),
              PEER_TIMEOUT_MS);
}

static void
remove_silent_peers (pal_t *pal, cfd_time_t now)
{
  GHashTableIter each;
  void *data;

  if (now - pal->silence_checked_at < SILENCE_CHECK_INTERVAL_MS)
    return;
  pal->silence_checked_at = now;
  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      pal_peer_t *peer = data;

      if (now - peer->last_received_at <= get_timeout_ms (pal, peer))
        continue;
      log_info ("peers", "A peer timed out: router=%s.", peer->name);
      pal_forget_incarnation (pal, peer);
      pal_subtract_peer (pal, peer);
      use_remove_peer (pal->use, now, peer->name);
      g_hash_table_iter_remove (&each);
    }
}

/* Sends a datagram to COUNT addresses from FIRST on, by one system call.
   Returns the number that were sent.  */
static guint
send_batch (const pal_t *pal, const GArray *addresses, guint first,
            guint count, struct iovec *content)
{
  struct mmsghdr messages[SENDS_PER_CALL] = { 0 };
  int sent;

  for (guint i = 0; i < count; i++)
    {
      addr_t *addr = &g_array_index (addresses, addr_t, first + i);

      messages[i].msg_hdr.msg_name = &addr->storage;
      messages[i].msg_hdr.msg_namelen = addr->length;
      messages[i].msg_hdr.msg_iov = content;
      messages[i].msg_hdr.msg_iovlen = 1;
    }
  sent = sendmmsg (pal->reader.fd, messages, count, MSG_NOSIGNAL);
  return (guint)MAX (sent, 0);
}

static void
send_to (const pal_t *pal, const GArray *addresses, const void *bytes,
         size_t length)
{
  struct iovec content = { .iov_base = (void *)bytes, .iov_len = length };
  guint next = 0;

  while (next < addresses->len)
    {
      guint count = MIN (addresses->len - next, SENDS_PER_CALL);
      guint sent = send_batch (pal, addresses, next, count, &content);

      /* The first one that fails is skipped: datagrams may be lost anyway.  */
      next += sent < count ? sent + 1 : sent;
    }
}

void
pal_send_all (const pal_t *pal, const void *bytes, size_t length)
{
  send_to (pal, pal->near_addresses, bytes, length);
  send_to (pal, pal->far_addresses, bytes, length);
}

static void
send_state (pal_t *pal, cfd_time_t now, pal_content_t content)
{
  g_autoptr (GByteArray) bytes = pal_pack (pal, now, content);

  send_to (pal,
           content == PAL_SUMMARY ? pal->far_addresses : pal->near_addresses,
           bytes->data, bytes->len);
}

static void
send_summary (pal_t *pal, cfd_time_t now)
{
  int64_t interval_ms = pal->is_reader ? MIN_SUMMARY_INTERVAL_MS
                                       : get_summary_interval_ms (pal);

  if (pal->far_addresses->len == 0 || now - pal->summary_sent_at < interval_ms)
    return;
  pal->summary_sent_at = now;
  send_state (pal, now, PAL_SUMMARY);
}

/* Returns whether other routers are to learn that records were stored, for
   which they hold events back.  */
static bool
has_new_stored (const pal_t *pal)
{
  return pal->org != NULL
         && org_get_last_stored (pal->org) > pal->last_stored_sent;
}

/* Returns whether a record that wasn't reported as stored is to be sent
   again.  */
static bool
must_repeat (const pal_t *pal, cfd_time_t now)
{
  return pal->org != NULL && now - pal->changes_sent_at >= AWAITED_REPEAT_MS
         && org_get_awaited (pal->org, now)->len > 0;
}

static void
send_changes (pal_t *pal, cfd_time_t now)
{
  int64_t interval_ms
      = (int64_t)pal->near_addresses->len * CHANGES_INTERVAL_MS_PER_ROUTER;

  if ((!edp_set_has_changed (pal->endpoints) && !has_new_stored (pal)
       && !must_repeat (pal, now))
      || now - pal->changes_sent_at < interval_ms)
    return;
  edp_set_clear_changed (pal->endpoints);
  pal->changes_sent_at = now;
  send_state (pal, now, PAL_CHANGES);
}

/* Sends all changes of a loop iteration in one datagram per router.  */
static void
on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  send_changes (watcher->data, clock_now ());
}

void
pal_set_list_stable_ms (pal_t *pal, int64_t stable_ms)
{
  pal->stable_ms = stable_ms;
}

int64_t
pal_get_max_peer_stable_ms (const pal_t *pal, cfd_time_t now)
{
  GHashTableIter each;
  void *data;
  int64_t max_stable_ms = -1;

  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      const pal_peer_t *peer = data;

      if (now - peer->last_received_at <= PEER_REPORT_VALID_MS)
        max_stable_ms = MAX (max_stable_ms, peer->stable_ms);
    }
  return max_stable_ms;
}

void
pal_set_list_revision (pal_t *pal, unsigned list, int64_t revision)
{
  g_return_if_fail (list < PAL_LIST_COUNT);
  pal->revisions[list] = revision;
}

void
pal_set_list_age (pal_t *pal, unsigned list, int64_t age_ms)
{
  g_return_if_fail (list < PAL_LIST_COUNT);
  pal->ages[list] = age_ms;
}

/* Returns -1 when the age is not known.  */
static int64_t
get_age_ms (const pal_peer_t *peer, cfd_time_t now, unsigned list)
{
  return peer->ages[list] < 0
             ? -1
             : peer->ages[list] + (now - peer->ages_received_at);
}

/* Returns whether a router that confirmed LIST AGE_MS ago counts as its
   reader.  */
static bool
is_reader_age (int64_t age_ms, int64_t max_age_ms)
{
  return age_ms >= 0 && age_ms <= max_age_ms;
}

/* Returns the rank among all listed routers, of which those that have not
   reported yet are assumed to work.  */
static unsigned
compute_rank_of_listed (const pal_t *pal, cfd_time_t now, unsigned list,
                        int64_t max_age_ms)
{
  unsigned rank = 0;

  for (guint i = 0; i < pal->member_names->len; i++)
    {
      const char *name = g_ptr_array_index (pal->member_names, i);
      const pal_peer_t *peer = g_hash_table_lookup (pal->peers, name);
      int64_t age_ms = peer != NULL ? get_age_ms (peer, now, list) : -1;

      if (age_ms < 0 || is_reader_age (age_ms, max_age_ms))
        rank += cold_ranks_before (name, pal->name, list);
    }
  return rank;
}

static void
add_to_view (pal_list_view_t *view, const pal_peer_t *peer, cfd_time_t now,
             unsigned list, int64_t max_age_ms)
{
  int64_t age_ms = get_age_ms (peer, now, list);

  if (now - peer->last_received_at <= PEER_REPORT_VALID_MS)
    view->max_revision = MAX (view->max_revision, peer->revisions[list]);
  if (age_ms >= 0 && (view->min_age_ms < 0 || age_ms < view->min_age_ms))
    view->min_age_ms = age_ms;
  if (is_reader_age (age_ms, max_age_ms))
    view->rank += peer->precedes[list];
  view->rank_of_all += peer->precedes[list];
}

pal_list_view_t
pal_view_list (const pal_t *pal, cfd_time_t now, unsigned list,
               int64_t max_age_ms)
{
  pal_list_view_t view = { .min_age_ms = -1 };
  GHashTableIter each;
  void *peer;

  g_return_val_if_fail (list < PAL_LIST_COUNT, view);
  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &peer))
    add_to_view (&view, peer, now, list, max_age_ms);
  if (pal->member_names != NULL && now - pal->started_at <= max_age_ms)
    view.rank = compute_rank_of_listed (pal, now, list, max_age_ms);
  return view;
}

static int64_t
get_full_interval_ms (const pal_t *pal)
{
  return CLAMP ((int64_t)pal->near_addresses->len
                    * FULL_INTERVAL_MS_PER_ROUTER,
                MIN_FULL_INTERVAL_MS, MAX_FULL_INTERVAL_MS);
}

unsigned
pal_count_sharing (const pal_t *pal, const edp_t *edp)
{
  unsigned others = pal->near_names != NULL ? pal->near_names->len : 0;

  return (others + 1) * edp->cell_count;
}

/* Returns the silence after which a router of the cell may have failed.  */
static int64_t
get_max_silence_ms (const pal_t *pal)
{
  return (int64_t)(get_full_interval_ms (pal) * MAX_SILENT_INTERVALS);
}

unsigned
pal_get_rank (const pal_t *pal, cfd_time_t now, const edp_t *edp)
{
  int64_t max_silence_ms = get_max_silence_ms (pal);
  unsigned rank = 0;

  for (guint i = 0; pal->near_names != NULL && i < pal->near_names->len; i++)
    {
      const char *name = g_ptr_array_index (pal->near_names, i);
      const pal_peer_t *peer = g_hash_table_lookup (pal->peers, name);

      rank += peer != NULL && now - peer->last_received_at <= max_silence_ms
              && cold_ranks_before (name, pal->name, edp->hash);
    }
  return rank;
}

/* Returns whether router NAME goes before this one for a task: the one with
   the larger share of a processor, or by KEY.  PEER is NULL when it has sent
   nothing.  */
static bool
precedes (const pal_t *pal, const char *name, const pal_peer_t *peer,
          uint64_t key)
{
  unsigned share = pal->bal != NULL ? bal_get_figures (pal->bal).share : 0;

  if (peer != NULL && peer->share != 0 && share != 0 && peer->share != share)
    return peer->share > share;
  return cold_ranks_before (name, pal->name, key);
}

/* Returns how many routers of NAMES precede this one by KEY, of those that
   were heard within MAX_SILENCE_MS and whose writes don't fail.  */
static unsigned
compute_task_rank (const pal_t *pal, cfd_time_t now, const GPtrArray *names,
                   uint64_t key, int64_t max_silence_ms)
{
  bool is_joining = pal->started_at == CFD_TIME_NEVER
                    || now - pal->started_at <= max_silence_ms;
  unsigned rank = 0;
  unsigned failing = 0;

  if (names == NULL)
    return 1;
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      const pal_peer_t *peer = g_hash_table_lookup (pal->peers, name);
      bool counts = peer != NULL
                        ? now - peer->last_received_at <= max_silence_ms
                        : is_joining;

      if (!counts || !precedes (pal, name, peer, key))
        continue;
      if (peer != NULL && peer->fails_writes && failing < MAX_FAILING_WRITERS)
        failing++;
      else
        rank++;
    }
  return rank;
}

unsigned
pal_get_cell_rank (const pal_t *pal, cfd_time_t now, uint64_t key)
{
  return compute_task_rank (pal, now, pal->near_names, key,
                            get_max_silence_ms (pal));
}

unsigned
pal_get_fleet_rank (const pal_t *pal, cfd_time_t now, uint64_t key)
{
  int64_t timeout_ms = MAX (
      get_summary_interval_ms (pal) * (LOST_SUMMARIES + 1), PEER_TIMEOUT_MS);

  return compute_task_rank (pal, now, pal->member_names, key, timeout_ms);
}

void
pal_tick (pal_t *pal, cfd_time_t now)
{
  if (pal->started_at == CFD_TIME_NEVER)
    pal->started_at = now;
  if (!ev_is_active (&pal->reader))
    receive_waiting (pal);
  remove_silent_peers (pal, now);
  pal_sum_new_endpoints (pal);
  pal_sum_speeds (pal, now);
  send_summary (pal, now);
  if (now - pal->full_sent_at < get_full_interval_ms (pal))
    {
      send_changes (pal, now);
      return;
    }
  pal->full_sent_at = now;
  pal_update_cold_ranks (pal, now);
  send_state (pal, now, PAL_FULL);
}
