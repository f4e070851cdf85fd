/* One datagram's content, for the other routers.  */

#include "relay/pal-private.h"

#include <msgpack.h>
#include <string.h>

/* Prefixes and refusals are told in all datagrams of this time, for some are
   lost.  */
#define UPDATES_MS 150

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

  list_for_each (node, edp_set_endpoints (pal->endpoints))
    {
      count += is_told (list_entry (node, edp_t, node), whole);
    }
  msgpack_pack_array (packer, (size_t)count * 4);
  list_for_each (node, edp_set_endpoints (pal->endpoints))
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
  msgpack_pack_uint64 (packer, (uint64_t)own->demand);
  msgpack_pack_uint64 (packer, (uint64_t)own->served);
}

static void
pack_prefixes (pal_t *pal, msgpack_packer *packer, cfd_time_t now, bool whole)
{
  const GArray *updates = pfx_get_updates (pal->pfx, now - UPDATES_MS);
  guint first = 0;

  while (!whole && first < updates->len
         && g_array_index (updates, pfx_update_t, first).number
                <= pal->prefixes_told)
    first++;
  msgpack_pack_array (packer, (size_t)(updates->len - first) * 2);
  for (guint i = first; i < updates->len; i++)
    {
      const pfx_update_t *one = &g_array_index (updates, pfx_update_t, i);

      msgpack_pack_uint64 (packer, one->endpoint);
      msgpack_pack_uint64 (packer, one->part);
      pal->prefixes_told = one->number;
    }
}

/* Refused callers: key, milliseconds since the first try, and until they were
   told to come back.  */
static void
pack_refusals (pal_t *pal, msgpack_packer *packer, cfd_time_t now, bool whole)
{
  const GArray *updates = ret_updates (pal->ret, now - UPDATES_MS);
  guint first = 0;

  while (!whole && first < updates->len
         && g_array_index (updates, ret_update_t, first).number
                <= pal->refusals_told)
    first++;
  msgpack_pack_array (packer, (size_t)(updates->len - first) * 3);
  for (guint i = first; i < updates->len; i++)
    {
      const ret_update_t *one = &g_array_index (updates, ret_update_t, i);

      msgpack_pack_uint64 (packer, one->key);
      msgpack_pack_uint64 (packer, (uint64_t)MAX (now - one->asked, 0));
      msgpack_pack_uint64 (packer, (uint64_t)MAX (one->retry_at - now, 0));
      pal->refusals_told = one->number;
    }
}

static void
pack_uses (pal_t *pal, msgpack_packer *packer, cfd_time_t now, bool whole)
{
  guint accounts = 0;

  if (whole)
    use_foreach_own (pal->use, now, count_use, &accounts);
  msgpack_pack_array (packer, (size_t)accounts * 3);
  if (whole)
    use_foreach_own (pal->use, now, pack_use, packer);
}

static void
pack_seen (const pal_t *pal, msgpack_packer *packer, bool whole)
{
  unsigned count = whole ? PAL_LIST_COUNT : 0;

  msgpack_pack_array (packer, count * 2);
  for (unsigned i = 0; i < count; i++)
    {
      msgpack_pack_uint64 (packer, (uint64_t)pal->seen[i]);
      /* 0: not known.  */
      msgpack_pack_uint64 (packer, (uint64_t)(pal->ages[i] + 1));
    }
}

GByteArray *
pal_pack (pal_t *pal, cfd_time_t now, bool whole)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  GByteArray *bytes = g_byte_array_new ();

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 11);
  msgpack_pack_uint32 (&packer, FORMAT);
  pack_text (&packer, whole ? pal->name : "");
  msgpack_pack_uint64 (&packer, pal->incarnation);
  msgpack_pack_uint64 (&packer, ++pal->number);
  msgpack_pack_uint8 (&packer, whole);
  pack_loads (pal, &packer, whole);
  pack_uses (pal, &packer, now, whole);
  pack_prefixes (pal, &packer, now, whole);
  msgpack_pack_int64 (&packer, pal->steady_ms);
  pack_seen (pal, &packer, whole);
  pack_refusals (pal, &packer, now, whole);
  g_byte_array_append (bytes, (const guint8 *)buffer.data, (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}
