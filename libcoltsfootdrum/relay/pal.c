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
/* First item of each datagram, so that stray ones are passed over.  */
#define MARK "cfd-load-2"
/* News of prompts is told in all datagrams of this time, for some are lost. */
#define NEWS_MS 150
/* A peer's word on the platform's list counts for so long.  */
#define STEADY_MS 500
/* Datagrams read at one wake.  */
#define READS_A_WAKE 64

typedef struct
{
  char *name;
  uint64_t incarnation;
  uint64_t number; /* of its newest datagram */
  cfd_time_t heard;
  int64_t steady_ms;
  GHashTable *loads; /* endpoint's id to pal_load_t */
} pal_peer_t;

typedef struct
{
  unsigned active;
  double unread;
  double context;
} pal_load_t;

struct pal
{
  struct ev_loop *loop;
  ev_io reader;
  char *name;
  uint64_t incarnation;
  uint64_t number;
  GArray *addresses; /* addr_t */
  GHashTable *peers; /* name to pal_peer_t */
  edp_set_t *endpoints;
  use_t *use;
  pfx_t *pfx;
  int64_t steady_ms;
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
  return pal;
}

void
pal_free (pal_t *pal)
{
  if (pal == NULL)
    return;
  ev_io_stop (pal->loop, &pal->reader);
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

static void
pack_loads (pal_t *pal, msgpack_packer *packer)
{
  guint busy = 0;

  list_for_each (node, edp_set_list (pal->endpoints))
    {
      busy += list_entry (node, edp_t, node)->active > 0;
    }
  msgpack_pack_array (packer, (size_t)busy * 4);
  list_for_each (node, edp_set_list (pal->endpoints))
    {
      const edp_t *edp = list_entry (node, edp_t, node);

      if (edp->active == 0)
        continue;
      pack_text (packer, edp->report->id);
      msgpack_pack_uint32 (packer, edp->active);
      msgpack_pack_uint64 (packer, (uint64_t)edp->unread);
      msgpack_pack_uint64 (packer, (uint64_t)edp->context);
    }
}

static void
count_use (void *user, const char *account, double own)
{
  ++*(guint *)user;
}

static void
pack_use (void *user, const char *account, double own)
{
  msgpack_packer *packer = user;

  pack_text (packer, account);
  msgpack_pack_uint64 (packer, (uint64_t)own);
}

static void
pack_news (pal_t *pal, msgpack_packer *packer, cfd_time_t now)
{
  const GArray *news = pfx_news (pal->pfx, now - NEWS_MS);

  msgpack_pack_array (packer, (size_t)news->len * 2);
  for (guint i = 0; i < news->len; i++)
    {
      const pfx_news_t *one = &g_array_index (news, pfx_news_t, i);

      msgpack_pack_uint64 (packer, one->endpoint);
      msgpack_pack_uint64 (packer, one->part);
    }
}

GByteArray *
pal_pack (pal_t *pal, cfd_time_t now)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  GByteArray *bytes = g_byte_array_new ();
  guint accounts = 0;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 8);
  pack_text (&packer, MARK);
  pack_text (&packer, pal->name);
  msgpack_pack_uint64 (&packer, pal->incarnation);
  msgpack_pack_uint64 (&packer, ++pal->number);
  pack_loads (pal, &packer);
  use_each_own (pal->use, now, count_use, &accounts);
  msgpack_pack_array (&packer, (size_t)accounts * 2);
  use_each_own (pal->use, now, pack_use, &packer);
  pack_news (pal, &packer, now);
  msgpack_pack_int64 (&packer, pal->steady_ms);
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

/* Numbers alone, in pairs.  */
static bool
is_pairs (const msgpack_object *object)
{
  const msgpack_object_array *array = &object->via.array;

  if (object->type != MSGPACK_OBJECT_ARRAY || array->size % 2 != 0)
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

  return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size == 8
         && is_text (&items[0]) && items[0].via.str.size == strlen (MARK)
         && memcmp (items[0].via.str.ptr, MARK, strlen (MARK)) == 0
         && is_text (&items[1]) && is_number (&items[2])
         && is_number (&items[3]) && is_rows (&items[4], 3)
         && is_rows (&items[5], 1) && is_pairs (&items[6])
         && (is_number (&items[7])
             || items[7].type == MSGPACK_OBJECT_NEGATIVE_INTEGER);
}

static pal_peer_t *
peer_of (pal_t *pal, const char *name)
{
  pal_peer_t *peer = g_hash_table_lookup (pal->peers, name);

  if (peer != NULL)
    return peer;
  peer = g_new0 (pal_peer_t, 1);
  peer->name = g_strdup (name);
  peer->loads
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (pal->peers, peer->name, peer);
  log_info ("peers", "Another router is heard: router=%s.", name);
  return peer;
}

static void
take_loads (pal_peer_t *peer, const msgpack_object_array *rows)
{
  g_hash_table_remove_all (peer->loads);
  for (unsigned i = 0; i + 3 < rows->size; i += 4)
    {
      pal_load_t *load = g_new0 (pal_load_t, 1);

      load->active = (unsigned)rows->ptr[i + 1].via.u64;
      load->unread = (double)rows->ptr[i + 2].via.u64;
      load->context = (double)rows->ptr[i + 3].via.u64;
      g_hash_table_replace (peer->loads, text_of (&rows->ptr[i]), load);
    }
}

static void
take_use (pal_t *pal, const pal_peer_t *peer, cfd_time_t now,
          const msgpack_object_array *rows)
{
  for (unsigned i = 0; i + 1 < rows->size; i += 2)
    {
      g_autofree char *account = text_of (&rows->ptr[i]);

      use_hear (pal->use, now, peer->name, account,
                (double)rows->ptr[i + 1].via.u64);
    }
}

static void
take_news (pal_t *pal, cfd_time_t now, const msgpack_object_array *pairs)
{
  for (unsigned i = 0; i + 1 < pairs->size; i += 2)
    pfx_hear (pal->pfx, now, pairs->ptr[i].via.u64, pairs->ptr[i + 1].via.u64);
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
  peer = peer_of (pal, name);
  /* An older one of the same start came late.  */
  if (peer->incarnation == items[2].via.u64
      && peer->number >= items[3].via.u64)
    goto out;
  peer->incarnation = items[2].via.u64;
  peer->number = items[3].via.u64;
  peer->heard = now;
  take_loads (peer, &items[4].via.array);
  take_use (pal, peer, now, &items[5].via.array);
  take_news (pal, now, &items[6].via.array);
  peer->steady_ms = items[7].via.i64;
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
add_up (pal_t *pal)
{
  list_for_each (node, edp_set_list (pal->endpoints))
    {
      edp_t *edp = list_entry (node, edp_t, node);
      GHashTableIter each;
      void *peer;

      edp->peer_active = 0;
      edp->peer_unread = 0.;
      edp->peer_context = 0.;
      g_hash_table_iter_init (&each, pal->peers);
      while (g_hash_table_iter_next (&each, NULL, &peer))
        {
          const pal_load_t *load = g_hash_table_lookup (
              ((pal_peer_t *)peer)->loads, edp->report->id);

          if (load == NULL)
            continue;
          edp->peer_active += load->active;
          edp->peer_unread += load->unread;
          edp->peer_context += load->context;
        }
    }
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
pal_tick (pal_t *pal, cfd_time_t now)
{
  g_autoptr (GByteArray) bytes = pal_pack (pal, now);

  for (guint i = 0; i < pal->addresses->len; i++)
    {
      const addr_t *addr = &g_array_index (pal->addresses, addr_t, i);

      sendto (pal->reader.fd, bytes->data, bytes->len, MSG_NOSIGNAL,
              (const struct sockaddr *)&addr->storage, addr->length);
    }
  forget_silent (pal, now);
  add_up (pal);
}
