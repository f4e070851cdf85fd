/* Peers: decoding and applying the state of other routers.  */

#include "relay/pal-private.h"

#include "base/log.h"
#include <msgpack.h>
#include <string.h>

/* Received ages of lists and retry delays are capped at this: an older list is
   of no use.  */
#define MAX_AGE_MS UINT64_C (3600000)

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
copy_text (const msgpack_object *object)
{
  return g_strndup (object->via.str.ptr, object->via.str.size);
}

/* Returns whether OBJECT is an array of rows, each a string and NUMBERS
   numbers.  */
static bool
is_text_rows (const msgpack_object *object, unsigned numbers)
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

/* Returns whether OBJECT is an array of numbers, in rows of COUNT.  */
static bool
is_number_rows (const msgpack_object *object, unsigned count)
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
is_state (const msgpack_object *object)
{
  const msgpack_object *items = object->via.array.ptr;

  return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size == 11
         && is_number (&items[0]) && items[0].via.u64 == STATE_FORMAT
         && is_text (&items[1]) && is_number (&items[2])
         && is_number (&items[3]) && is_number (&items[4])
         && is_number_rows (&items[5], 4) && is_text_rows (&items[6], 2)
         && is_number_rows (&items[7], 2)
         && (is_number (&items[8])
             || items[8].type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
         && is_number_rows (&items[9], PAL_LIST_COUNT * 2)
         && is_number_rows (&items[10], 3);
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
get_or_add_peer (pal_t *pal, const char *name)
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
  log_info ("peers", "A peer was discovered: router=%s.", name);
  return peer;
}

static pal_peer_t *
find_peer_by_incarnation (const pal_t *pal, uint64_t incarnation)
{
  GHashTableIter each;
  void *peer;

  g_hash_table_iter_init (&each, pal->peers);
  while (g_hash_table_iter_next (&each, NULL, &peer))
    if (((pal_peer_t *)peer)->incarnation == incarnation)
      return peer;
  return NULL;
}

/* Returns the peer that sent a datagram.  The name is sent with the full state
   only: NULL for changes of a router that is not known yet.  */
static pal_peer_t *
find_sender (pal_t *pal, const char *name, uint64_t incarnation)
{
  if (*name == '\0')
    return find_peer_by_incarnation (pal, incarnation);
  return get_or_add_peer (pal, name);
}

static void
add_load (edp_t *edp, const pal_load_t *load, int sign)
{
  edp->peer_active += (unsigned)sign * load->active;
  edp->peer_pending_prefill += sign * load->pending_prefill;
  edp->peer_context_tokens += sign * load->context_tokens;
}

static void
sum_endpoint (pal_t *pal, edp_t *edp)
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

/* Adds LOAD to the totals, or subtracts it.  Totals are updated incrementally:
   summing up all endpoints of all routers for each datagram would take
   quadratic time in the size of the fleet.  */
static void
apply_load (pal_t *pal, const pal_load_t *load, int sign)
{
  edp_t *edp = edp_set_find_by_hash (pal->endpoints, load->endpoint);

  if (edp == NULL)
    return;
  if (!edp->has_peer_totals)
    sum_endpoint (pal, edp);
  add_load (edp, load, sign);
}

void
pal_sum_new_endpoints (pal_t *pal)
{
  list_for_each (node, edp_set_endpoints (pal->endpoints))
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (!edp->has_peer_totals)
        sum_endpoint (pal, edp);
    }
}

void
pal_subtract_peer (pal_t *pal, pal_peer_t *peer)
{
  GHashTableIter each;
  void *load;

  g_hash_table_iter_init (&each, peer->loads);
  while (g_hash_table_iter_next (&each, NULL, &load))
    apply_load (pal, load, -1);
  g_hash_table_remove_all (peer->loads);
}

static void
receive_load (pal_t *pal, pal_peer_t *peer, const msgpack_object *row)
{
  pal_load_t *load = g_new0 (pal_load_t, 1);
  const pal_load_t *old;

  load->endpoint = row[0].via.u64;
  load->active = (unsigned)row[1].via.u64;
  load->pending_prefill = (double)row[2].via.u64 * PREFILL_TOKENS_PER_UNIT;
  load->context_tokens = (double)row[3].via.u64 * CONTEXT_TOKENS_PER_UNIT;
  old = g_hash_table_lookup (peer->loads, &load->endpoint);
  if (old != NULL)
    apply_load (pal, old, -1);
  apply_load (pal, load, 1);
  g_hash_table_replace (peer->loads, &load->endpoint, load);
}

static void
receive_loads (pal_t *pal, pal_peer_t *peer, const msgpack_object_array *rows,
               bool full)
{
  if (full)
    pal_subtract_peer (pal, peer);
  for (unsigned i = 0; i + 3 < rows->size; i += 4)
    receive_load (pal, peer, &rows->ptr[i]);
}

static void
receive_usage (pal_t *pal, const pal_peer_t *peer, cfd_time_t now,
               const msgpack_object_array *rows)
{
  for (unsigned i = 0; i + 2 < rows->size; i += 3)
    {
      g_autofree char *account = copy_text (&rows->ptr[i]);
      use_sum_t own = { .demand = (double)rows->ptr[i + 1].via.u64,
                        .served = (double)rows->ptr[i + 2].via.u64 };

      use_update_peer (pal->use, now, peer->name, account, &own);
    }
}

static void
receive_prefixes (pal_t *pal, cfd_time_t now,
                  const msgpack_object_array *pairs)
{
  for (unsigned i = 0; i + 1 < pairs->size; i += 2)
    pfx_apply_update (pal->pfx, now, pairs->ptr[i].via.u64,
                      pairs->ptr[i + 1].via.u64);
}

static void
receive_refusals (pal_t *pal, cfd_time_t now, const msgpack_object_array *rows)
{
  for (unsigned i = 0; i + 2 < rows->size; i += 3)
    {
      uint64_t age_ms = MIN (rows->ptr[i + 1].via.u64, (uint64_t)now);
      uint64_t back_ms = MIN (rows->ptr[i + 2].via.u64, MAX_AGE_MS);

      ret_add_peer_refusal (pal->ret, now, rows->ptr[i].via.u64,
                            now - (cfd_time_t)age_ms,
                            now + (cfd_time_t)back_ms);
    }
}

static void
receive_list_states (pal_peer_t *peer, cfd_time_t now,
                     const msgpack_object_array *pairs)
{
  if (pairs->size < PAL_LIST_COUNT * 2)
    return;
  peer->ages_received_at = now;
  for (unsigned i = 0; i < PAL_LIST_COUNT; i++)
    {
      uint64_t age = MIN (pairs->ptr[2 * i + 1].via.u64, MAX_AGE_MS);

      peer->revisions[i] = pairs->ptr[2 * i].via.i64;
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
  bool valid;

  msgpack_unpacked_init (&unpacked);
  valid = msgpack_unpack_next (&unpacked, bytes, length, NULL)
              == MSGPACK_UNPACK_SUCCESS
          && is_state (&unpacked.data);
  if (!valid)
    goto out;
  items = unpacked.data.via.array.ptr;
  name = copy_text (&items[1]);
  if (g_str_equal (name, pal->name))
    goto out;
  peer = find_sender (pal, name, items[2].via.u64);
  if (peer == NULL)
    goto out;
  /* Ignores a duplicate or reordered datagram of the same process.  */
  if (peer->incarnation == items[2].via.u64
      && peer->number >= items[3].via.u64)
    goto out;
  peer->incarnation = items[2].via.u64;
  peer->number = items[3].via.u64;
  peer->last_received_at = now;
  receive_loads (pal, peer, &items[5].via.array, items[4].via.u64 != 0);
  receive_usage (pal, peer, now, &items[6].via.array);
  receive_prefixes (pal, now, &items[7].via.array);
  peer->stable_ms = items[8].via.i64;
  receive_list_states (peer, now, &items[9].via.array);
  receive_refusals (pal, now, &items[10].via.array);
out:
  msgpack_unpacked_destroy (&unpacked);
  return valid;
}
