/* Routers' figures, by datagram.  */

#include "relay/pal.h"

#include "base/err.h"
#include "base/list.h"
#include "base/log.h"
#include <errno.h>
#include <msgpack.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A router that was not heard for so long has nothing under way: it is dead,
   or its requests end by its silence.  Twenty ticks.  */
#define SILENT_MS 1000
/* The largest datagram; the loopback and usual links carry it whole or in
   few parts.  */
#define DATAGRAM_MOST 16384
/* First item of each datagram, so that stray ones and other versions' are
   passed over.  */
#define FORMAT 0xcfd6
/* Units of reading work and of memory in datagrams, in tokens: small numbers
   are short, and nothing is decided by less.  */
#define UNREAD_UNIT 10.
#define CONTEXT_UNIT 100.
/* News of prompts is told in all datagrams of this time, for some are lost. */
#define NEWS_MS 150
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
/* Datagrams read at one wake.  */
#define READS_A_WAKE 64

typedef struct
{
  char *name;
  uint64_t incarnation;
  uint64_t number; /* of its newest datagram */
  cfd_time_t heard;
  int64_t steady_ms;
  int64_t seen[PAL_LISTS];
  GHashTable *loads; /* endpoint's hash to pal_load_t */
} pal_peer_t;

typedef struct
{
  uint64_t endpoint;
  unsigned active;
  double unread;
  double context;
} pal_load_t;

struct pal
{
  struct ev_loop *loop;
  ev_io reader;
  ev_prepare teller; /* tells changes at the end of each turn of the loop */
  char *name;
  uint64_t incarnation;
  uint64_t number;
  GArray *addresses; /* addr_t */
  GHashTable *peers; /* name to pal_peer_t */
  edp_set_t *endpoints;
  use_t *use;
  pfx_t *pfx;
  int64_t steady_ms;
  int64_t seen[PAL_LISTS];
  cfd_time_t told_changes; /* when changes were sent */
  cfd_time_t told;         /* when all figures were sent */
  uint64_t news_told;      /* number of the newest */
};

static void
peer_free (void *data)
{
  pal_peer_t *peer = data;

  g_free (peer->name);
  g_hash_table_unref (peer->loads);
  g_free (peer);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  pal_t *pal = watcher->data;
  char buffer[DATAGRAM_MOST];

  for (int i = 0; i < READS_A_WAKE; i++)
    {
      ssize_t n = recv (watcher->fd, buffer, sizeof buffer, 0);

      if (n < 0)
        return;
      if (!pal_take (pal, clock_now (), buffer, (size_t)n))
        log_warn ("peers", "A datagram was passed over: bytes=%zd.", n);
    }
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
         edp_set_t *endpoints, use_t *use, pfx_t *pfx, GError **error)
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
  pal->steady_ms = -1;
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
  g_hash_table_unref (pal->peers);
  g_free (pal->name);
  g_free (pal);
}

void
pal_set_peers (pal_t *pal, const char *const *addresses)
{
  g_array_set_size (pal->addresses, 0);
  for (; *addresses != NULL; addresses++)
    {
      addr_t addr;

      if (addr_parse (*addresses, &addr, NULL))
        g_array_append_val (pal->addresses, addr);
    }
}

unsigned
pal_routers (const pal_t *pal)
{
  return g_hash_table_size (pal->peers) + 1;
}

static void
pack_text (msgpack_packer *packer, const char *text)
{
  msgpack_pack_str (packer, strlen (text));
  msgpack_pack_str_body (packer, text, strlen (text));
}

static bool
is_told (const edp_t *edp, bool whole)
{
  return whole ? edp->active > 0 : edp->changed;
}

static void
pack_loads (pal_t *pal, msgpack_packer *packer, bool whole)
{
  guint count = 0;

  list_for_each (node, edp_set_list (pal->endpoints))
    {
      count += is_told (list_entry (node, edp_t, node), whole);
    }
  msgpack_pack_array (packer, (size_t)count * 4);
  list_for_each (node, edp_set_list (pal->endpoints))
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (!is_told (edp, whole))
        continue;
      msgpack_pack_uint64 (packer, edp->hash);
      msgpack_pack_uint32 (packer, edp->active);
      msgpack_pack_uint64 (packer, (uint64_t)(edp->unread / UNREAD_UNIT));
      msgpack_pack_uint64 (packer, (uint64_t)(edp->context / CONTEXT_UNIT));
      edp->changed = false;
    }
}

static void
count_use (void *user, const char *account, const use_sum_t *own)
{
  ++*(guint *)user;
}

static void
pack_use (void *user, const char *account, const use_sum_t *own)
{
  msgpack_packer *packer = user;

  pack_text (packer, account);
  msgpack_pack_uint64 (packer, (uint64_t)own->asked);
  msgpack_pack_uint64 (packer, (uint64_t)own->got);
}

static void
pack_news (pal_t *pal, msgpack_packer *packer, cfd_time_t now, bool whole)
{
  const GArray *news = pfx_news (pal->pfx, now - NEWS_MS);
  guint first = 0;

  while (!whole && first < news->len
         && g_array_index (news, pfx_news_t, first).number <= pal->news_told)
    first++;
  msgpack_pack_array (packer, (size_t)(news->len - first) * 2);
  for (guint i = first; i < news->len; i++)
    {
      const pfx_news_t *one = &g_array_index (news, pfx_news_t, i);

      msgpack_pack_uint64 (packer, one->endpoint);
      msgpack_pack_uint64 (packer, one->part);
      pal->news_told = one->number;
    }
}

static void
pack_uses (pal_t *pal, msgpack_packer *packer, cfd_time_t now, bool whole)
{
  guint accounts = 0;

  if (whole)
    use_each_own (pal->use, now, count_use, &accounts);
  msgpack_pack_array (packer, (size_t)accounts * 3);
  if (whole)
    use_each_own (pal->use, now, pack_use, packer);
}

static void
pack_seen (const pal_t *pal, msgpack_packer *packer, bool whole)
{
  unsigned count = whole ? PAL_LISTS : 0;

  msgpack_pack_array (packer, count);
  for (unsigned i = 0; i < count; i++)
    msgpack_pack_uint64 (packer, (uint64_t)pal->seen[i]);
}

GByteArray *
pal_pack (pal_t *pal, cfd_time_t now, bool whole)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  GByteArray *bytes = g_byte_array_new ();

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 10);
  msgpack_pack_uint32 (&packer, FORMAT);
  pack_text (&packer, whole ? pal->name : "");
  msgpack_pack_uint64 (&packer, pal->incarnation);
  msgpack_pack_uint64 (&packer, ++pal->number);
  msgpack_pack_uint8 (&packer, whole);
  pack_loads (pal, &packer, whole);
  pack_uses (pal, &packer, now, whole);
  pack_news (pal, &packer, now, whole);
  msgpack_pack_int64 (&packer, pal->steady_ms);
  pack_seen (pal, &packer, whole);
  g_byte_array_append (bytes, (const guint8 *)buffer.data, (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

static bool
is_text (const msgpack_object *object)
{
  return object->type == MSGPACK_OBJECT_STR;
}

static bool
is_number (const msgpack_object *object)
{
  return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static char *
text_of (const msgpack_object *object)
{
  return g_strndup (object->via.str.ptr, object->via.str.size);
}

/* Items that alternate: a text, then NUMBERS numbers.  */
static bool
is_rows (const msgpack_object *object, unsigned numbers)
{
  const msgpack_object_array *array = &object->via.array;

  if (object->type != MSGPACK_OBJECT_ARRAY || array->size % (numbers + 1) != 0)
    return false;
  for (unsigned i = 0; i < array->size; i++)
    if (i % (numbers + 1) == 0 ? !is_text (&array->ptr[i])
                               : !is_number (&array->ptr[i]))
      return false;
  return true;
}

/* Numbers alone, in rows of COUNT.  */
static bool
is_numbers (const msgpack_object *object, unsigned count)
{
  const msgpack_object_array *array = &object->via.array;

  if (object->type != MSGPACK_OBJECT_ARRAY || array->size % count != 0)
    return false;
  for (unsigned i = 0; i < array->size; i++)
    if (!is_number (&array->ptr[i]))
      return false;
  return true;
}

static bool
is_figures (const msgpack_object *object)
{
  const msgpack_object *items = object->via.array.ptr;

  return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size == 10
         && is_number (&items[0]) && items[0].via.u64 == FORMAT
         && is_text (&items[1]) && is_number (&items[2])
         && is_number (&items[3]) && is_number (&items[4])
         && is_numbers (&items[5], 4) && is_rows (&items[6], 2)
         && is_numbers (&items[7], 2)
         && (is_number (&items[8])
             || items[8].type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
         && is_numbers (&items[9], PAL_LISTS);
}

static guint
hash_endpoint (gconstpointer data)
{
  return (guint) * (const uint64_t *)data;
}

static gboolean
equal_endpoint (gconstpointer a, gconstpointer b)
{
  return *(const uint64_t *)a == *(const uint64_t *)b;
}

static pal_peer_t *
peer_by_name (pal_t *pal, const char *name)
{
  pal_peer_t *peer = g_hash_table_lookup (pal->peers, name);

  if (peer != NULL)
    return peer;
  peer = g_new0 (pal_peer_t, 1);
  peer->name = g_strdup (name);
  peer->loads
      = g_hash_table_new_full (hash_endpoint, equal_endpoint, NULL, g_free);
  g_hash_table_insert (pal->peers, peer->name, peer);
  log_info ("peers", "Another router is heard: router=%s.", name);
  return peer;
}

static pal_peer_t *
peer_by_incarnation (const pal_t *pal, uint64_t incarnation)
{
  GHashTableIter each;
  void *peer;

  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &peer))
    if (((pal_peer_t *)peer)->incarnation == incarnation)
      return peer;
  return NULL;
}

/* The sender.  Its name comes with whole figures alone, so that of a router
   which is not known yet the first changes tell nothing: NULL.  */
static pal_peer_t *
peer_of (pal_t *pal, const char *name, uint64_t incarnation)
{
  if (*name == '\0')
    return peer_by_incarnation (pal, incarnation);
  return peer_by_name (pal, name);
}

static void
add_up (pal_t *pal, edp_t *edp)
{
  GHashTableIter each;
  void *peer;

  edp->peer_active = 0;
  edp->peer_unread = 0.;
  edp->peer_context = 0.;
  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &peer))
    {
      const pal_load_t *load
          = g_hash_table_lookup (((pal_peer_t *)peer)->loads, &edp->hash);

      if (load == NULL)
        continue;
      edp->peer_active += load->active;
      edp->peer_unread += load->unread;
      edp->peer_context += load->context;
    }
}

static void
add_up_all (pal_t *pal)
{
  list_for_each (node, edp_set_list (pal->endpoints))
    {
      add_up (pal, list_entry (node, edp_t, node));
    }
}

static void
take_loads (pal_t *pal, pal_peer_t *peer, const msgpack_object_array *rows,
            bool whole)
{
  if (whole)
    g_hash_table_remove_all (peer->loads);
  for (unsigned i = 0; i + 3 < rows->size; i += 4)
    {
      pal_load_t *load = g_new0 (pal_load_t, 1);
      edp_t *edp;

      load->endpoint = rows->ptr[i].via.u64;
      load->active = (unsigned)rows->ptr[i + 1].via.u64;
      load->unread = (double)rows->ptr[i + 2].via.u64 * UNREAD_UNIT;
      load->context = (double)rows->ptr[i + 3].via.u64 * CONTEXT_UNIT;
      g_hash_table_replace (peer->loads, &load->endpoint, load);
      edp = whole ? NULL : edp_set_by_hash (pal->endpoints, load->endpoint);
      if (edp != NULL)
        add_up (pal, edp);
    }
  if (whole)
    add_up_all (pal);
}

static void
take_use (pal_t *pal, const pal_peer_t *peer, cfd_time_t now,
          const msgpack_object_array *rows)
{
  for (unsigned i = 0; i + 2 < rows->size; i += 3)
    {
      g_autofree char *account = text_of (&rows->ptr[i]);
      use_sum_t own = { .asked = (double)rows->ptr[i + 1].via.u64,
                        .got = (double)rows->ptr[i + 2].via.u64 };

      use_hear (pal->use, now, peer->name, account, &own);
    }
}

static void
take_news (pal_t *pal, cfd_time_t now, const msgpack_object_array *pairs)
{
  for (unsigned i = 0; i + 1 < pairs->size; i += 2)
    pfx_hear (pal->pfx, now, pairs->ptr[i].via.u64, pairs->ptr[i + 1].via.u64);
}

static void
take_seen (pal_peer_t *peer, const msgpack_object_array *revisions)
{
  for (unsigned i = 0; i < MIN (revisions->size, PAL_LISTS); i++)
    peer->seen[i] = revisions->ptr[i].via.i64;
}

bool
pal_take (pal_t *pal, cfd_time_t now, const void *bytes, size_t length)
{
  msgpack_unpacked unpacked;
  const msgpack_object *items;
  pal_peer_t *peer;
  g_autofree char *name = NULL;
  bool good;

  msgpack_unpacked_init (&unpacked);
  good = msgpack_unpack_next (&unpacked, bytes, length, NULL)
             == MSGPACK_UNPACK_SUCCESS
         && is_figures (&unpacked.data);
  if (!good)
    goto out;
  items = unpacked.data.via.array.ptr;
  name = text_of (&items[1]);
  if (g_str_equal (name, pal->name))
    goto out;
  peer = peer_of (pal, name, items[2].via.u64);
  if (peer == NULL)
    goto out;
  /* An older one of the same start came late.  */
  if (peer->incarnation == items[2].via.u64
      && peer->number >= items[3].via.u64)
    goto out;
  peer->incarnation = items[2].via.u64;
  peer->number = items[3].via.u64;
  peer->heard = now;
  take_loads (pal, peer, &items[5].via.array, items[4].via.u64 != 0);
  take_use (pal, peer, now, &items[6].via.array);
  take_news (pal, now, &items[7].via.array);
  peer->steady_ms = items[8].via.i64;
  take_seen (peer, &items[9].via.array);
out:
  msgpack_unpacked_destroy (&unpacked);
  return good;
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
      use_forget (pal->use, peer->name);
      g_hash_table_iter_remove (&each);
    }
}

static void
send_figures (pal_t *pal, cfd_time_t now, bool whole)
{
  g_autoptr (GByteArray) bytes = pal_pack (pal, now, whole);

  for (guint i = 0; i < pal->addresses->len; i++)
    {
      const addr_t *addr = &g_array_index (pal->addresses, addr_t, i);

      sendto (pal->reader.fd, bytes->data, bytes->len, MSG_NOSIGNAL,
              (const struct sockaddr *)&addr->storage, addr->length);
    }
}

static void
tell_changes (pal_t *pal, cfd_time_t now)
{
  int64_t pause = (int64_t)pal->addresses->len * TELL_MS_A_ROUTER;

  if (now - pal->told_changes < pause)
    return;
  list_for_each (node, edp_set_list (pal->endpoints))
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
pal_set_steady (pal_t *pal, int64_t steady_ms)
{
  pal->steady_ms = steady_ms;
}

int64_t
pal_peers_steady (const pal_t *pal, cfd_time_t now)
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
pal_set_seen (pal_t *pal, unsigned list, int64_t revision)
{
  g_return_if_fail (list < PAL_LISTS);
  pal->seen[list] = revision;
}

int64_t
pal_peers_seen (const pal_t *pal, cfd_time_t now, unsigned list)
{
  GHashTableIter each;
  void *data;
  int64_t newest = 0;

  g_return_val_if_fail (list < PAL_LISTS, 0);
  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      const pal_peer_t *peer = data;

      if (now - peer->heard <= STEADY_MS)
        newest = MAX (newest, peer->seen[list]);
    }
  return newest;
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
  add_up_all (pal);
  if (now - pal->told < whole_pause (pal))
    {
      tell_changes (pal, now);
      return;
    }
  pal->told = now;
  send_figures (pal, now, true);
}
