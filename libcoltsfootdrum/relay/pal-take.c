/* What another router's datagram says.  */

#include "relay/pal-private.h"

#include "base/log.h"
#include <msgpack.h>
#include <string.h>

/* An older list counts for nothing.  */
#define AGE_MOST_MS UINT64_C (3600000)

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

  return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size == 11
         && is_number (&items[0]) && items[0].via.u64 == FORMAT
         && is_text (&items[1]) && is_number (&items[2])
         && is_number (&items[3]) && is_number (&items[4])
         && is_numbers (&items[5], 4) && is_rows (&items[6], 2)
         && is_numbers (&items[7], 2)
         && (is_number (&items[8])
             || items[8].type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
         && is_numbers (&items[9], PAL_LIST_COUNT * 2)
         && is_numbers (&items[10], 3);
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
  for (unsigned i = 0; i < PAL_LIST_COUNT; i++)
    peer->ages[i] = -1;
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
add_load (edp_t *edp, const pal_load_t *load, int sign)
{
  edp->peer_active += (unsigned)sign * load->active;
  edp->peer_pending_prefill += sign * load->unread;
  edp->peer_context_tokens += sign * load->context;
}

static void
count_endpoint (pal_t *pal, edp_t *edp)
{
  GHashTableIter each;
  void *peer;

  edp->peer_active = 0;
  edp->peer_pending_prefill = 0.;
  edp->peer_context_tokens = 0.;
  edp->has_peer_totals = true;
  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &peer))
    {
      const pal_load_t *load
          = g_hash_table_lookup (((pal_peer_t *)peer)->loads, &edp->hash);

      if (load != NULL)
        add_load (edp, load, 1);
    }
}

/* Sums are kept by differences: adding up all endpoints of all routers at each
   datagram takes the time of the fleet's square.  */
static void
count_load (pal_t *pal, const pal_load_t *load, int sign)
{
  edp_t *edp = edp_set_find_by_hash (pal->endpoints, load->endpoint);

  if (edp == NULL)
    return;
  if (!edp->has_peer_totals)
    count_endpoint (pal, edp);
  add_load (edp, load, sign);
}

void
pal_count_new (pal_t *pal)
{
  list_for_each (node, edp_set_endpoints (pal->endpoints))
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (!edp->has_peer_totals)
        count_endpoint (pal, edp);
    }
}

void
pal_uncount (pal_t *pal, pal_peer_t *peer)
{
  GHashTableIter each;
  void *load;

  g_hash_table_iter_init (&each, peer->loads);
  while (g_hash_table_iter_next (&each, NULL, &load))
    count_load (pal, load, -1);
  g_hash_table_remove_all (peer->loads);
}

static void
take_load (pal_t *pal, pal_peer_t *peer, const msgpack_object *row)
{
  pal_load_t *load = g_new0 (pal_load_t, 1);
  const pal_load_t *old;

  load->endpoint = row[0].via.u64;
  load->active = (unsigned)row[1].via.u64;
  load->unread = (double)row[2].via.u64 * UNREAD_UNIT;
  load->context = (double)row[3].via.u64 * CONTEXT_UNIT;
  old = g_hash_table_lookup (peer->loads, &load->endpoint);
  if (old != NULL)
    count_load (pal, old, -1);
  count_load (pal, load, 1);
  g_hash_table_replace (peer->loads, &load->endpoint, load);
}

static void
take_loads (pal_t *pal, pal_peer_t *peer, const msgpack_object_array *rows,
            bool whole)
{
  if (whole)
    pal_uncount (pal, peer);
  for (unsigned i = 0; i + 3 < rows->size; i += 4)
    take_load (pal, peer, &rows->ptr[i]);
}

static void
take_use (pal_t *pal, const pal_peer_t *peer, cfd_time_t now,
          const msgpack_object_array *rows)
{
  for (unsigned i = 0; i + 2 < rows->size; i += 3)
    {
      g_autofree char *account = text_of (&rows->ptr[i]);
      use_sum_t own = { .demand = (double)rows->ptr[i + 1].via.u64,
                        .served = (double)rows->ptr[i + 2].via.u64 };

      use_update_peer (pal->use, now, peer->name, account, &own);
    }
}

static void
take_prefixes (pal_t *pal, cfd_time_t now, const msgpack_object_array *pairs)
{
  for (unsigned i = 0; i + 1 < pairs->size; i += 2)
    pfx_apply_update (pal->pfx, now, pairs->ptr[i].via.u64,
                      pairs->ptr[i + 1].via.u64);
}

static void
take_refusals (pal_t *pal, cfd_time_t now, const msgpack_object_array *rows)
{
  for (unsigned i = 0; i + 2 < rows->size; i += 3)
    {
      uint64_t ago = MIN (rows->ptr[i + 1].via.u64, (uint64_t)now);
      uint64_t back = MIN (rows->ptr[i + 2].via.u64, AGE_MOST_MS);

      ret_add_peer_refusal (pal->ret, now, rows->ptr[i].via.u64,
                            now - (cfd_time_t)ago, now + (cfd_time_t)back);
    }
}

static void
take_seen (pal_peer_t *peer, cfd_time_t now, const msgpack_object_array *pairs)
{
  if (pairs->size < PAL_LIST_COUNT * 2)
    return;
  peer->ages_told = now;
  for (unsigned i = 0; i < PAL_LIST_COUNT; i++)
    {
      uint64_t age = MIN (pairs->ptr[2 * i + 1].via.u64, AGE_MOST_MS);

      peer->seen[i] = pairs->ptr[2 * i].via.i64;
      peer->ages[i] = (int64_t)age - 1;
    }
}

bool
pal_receive (pal_t *pal, cfd_time_t now, const void *bytes, size_t length)
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
  take_prefixes (pal, now, &items[7].via.array);
  peer->steady_ms = items[8].via.i64;
  take_seen (peer, now, &items[9].via.array);
  take_refusals (pal, now, &items[10].via.array);
out:
  msgpack_unpacked_destroy (&unpacked);
  return good;
}
