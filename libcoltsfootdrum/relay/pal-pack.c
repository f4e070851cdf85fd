/* Peers: encoding of the state.  */

#include "relay/pal-private.h"

#include <msgpack.h>
#include <string.h>

/* Prefixes and refusals are repeated in all full datagrams of this time, since
   datagrams may be lost.  */
#define RESEND_MS 150
/* The same for the origins of streams and the ends of endpoints: longer than
   the interval of the full state.  */
#define STREAM_RESEND_MS 400
/* Interval at which the usage of all accounts is sent, for routers that have
   started or missed a datagram.  */
#define USAGE_REFRESH_MS 1500
/* Interval at which the speeds of endpoints are sent.  */
#define SPEEDS_INTERVAL_MS 1000

static void
pack_text (msgpack_packer *packer, const char *text)
{
  msgpack_pack_str (packer, strlen (text));
  msgpack_pack_str_body (packer, text, strlen (text));
}

static bool
is_included (const edp_t *edp, pal_content_t content)
{
  switch (content)
    {
    case PAL_CHANGES:
      return edp->changed;
    case PAL_FULL:
      return edp->active > 0;
    case PAL_SUMMARY:
      break;
    }
  return false;
}

static void
pack_loads (pal_t *pal, msgpack_packer *packer, pal_content_t content)
{
  guint count = 0;

  list_for_each (node, edp_set_endpoints (pal->endpoints))
    {
      count += is_included (list_entry (node, edp_t, node), content);
    }
  msgpack_pack_array (packer, (size_t)count * 4);
  list_for_each (node, edp_set_endpoints (pal->endpoints))
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (!is_included (edp, content))
        continue;
      msgpack_pack_uint64 (packer, edp->hash);
      msgpack_pack_uint32 (packer, edp->active);
      msgpack_pack_uint64 (
          packer, (uint64_t)(edp->pending_prefill / PREFILL_TOKENS_PER_UNIT));
      msgpack_pack_uint64 (
          packer, (uint64_t)(edp->context_tokens / CONTEXT_TOKENS_PER_UNIT));
      edp->changed = false;
    }
}

static void
count_account (void *user, const char *account, const use_sum_t *own)
{
  ++*(guint *)user;
}

static void
pack_account (void *user, const char *account, const use_sum_t *own)
{
  msgpack_packer *packer = user;

  pack_text (packer, account);
  msgpack_pack_uint64 (packer, (uint64_t)own->demand);
  msgpack_pack_uint64 (packer, (uint64_t)own->served);
}

static void
pack_prefixes (pal_t *pal, msgpack_packer *packer, cfd_time_t now,
               pal_content_t content)
{
  const GArray *updates = pfx_get_updates (pal->pfx, now - RESEND_MS);
  guint first = 0;

  if (content == PAL_SUMMARY)
    {
      msgpack_pack_array (packer, 0);
      return;
    }
  while (content == PAL_CHANGES && first < updates->len
         && g_array_index (updates, pfx_update_t, first).number
                <= pal->last_prefix_sent)
    first++;
  msgpack_pack_array (packer, (size_t)(updates->len - first) * 2);
  for (guint i = first; i < updates->len; i++)
    {
      const pfx_update_t *update = &g_array_index (updates, pfx_update_t, i);

      msgpack_pack_uint64 (packer, update->endpoint);
      msgpack_pack_uint64 (packer, update->part);
      pal->last_prefix_sent = update->number;
    }
}

/* Packs key, milliseconds since the first attempt and milliseconds until the
   announced time to retry of each refused request.  */
static void
pack_refusals (pal_t *pal, msgpack_packer *packer, cfd_time_t now,
               pal_content_t content)
{
  const GArray *updates = ret_updates (pal->ret, now - RESEND_MS);
  guint first = 0;

  if (content == PAL_SUMMARY)
    {
      msgpack_pack_array (packer, 0);
      return;
    }
  while (content == PAL_CHANGES && first < updates->len
         && g_array_index (updates, ret_update_t, first).number
                <= pal->last_refusal_sent)
    first++;
  msgpack_pack_array (packer, (size_t)(updates->len - first) * 3);
  for (guint i = first; i < updates->len; i++)
    {
      const ret_update_t *update = &g_array_index (updates, ret_update_t, i);

      msgpack_pack_uint64 (packer, update->key);
      msgpack_pack_uint64 (packer,
                           (uint64_t)MAX (now - update->first_attempt, 0));
      msgpack_pack_uint64 (packer, (uint64_t)MAX (update->retry_at - now, 0));
      pal->last_refusal_sent = update->number;
    }
}

/* Packs the usage of the accounts that had requests since the last full state,
   and at intervals of all: the others' sums decay there as they do here.  */
static void
pack_usage (pal_t *pal, msgpack_packer *packer, cfd_time_t now,
            pal_content_t content)
{
  cfd_time_t since = pal->usage_sent_at;
  guint accounts = 0;

  if (content != PAL_FULL)
    {
      msgpack_pack_array (packer, 0);
      return;
    }
  if (now - pal->usage_refreshed_at >= USAGE_REFRESH_MS)
    {
      since = 0;
      pal->usage_refreshed_at = now;
    }
  pal->usage_sent_at = now;
  use_foreach_own (pal->use, now, since, count_account, &accounts);
  msgpack_pack_array (packer, (size_t)accounts * 3);
  use_foreach_own (pal->use, now, since, pack_account, packer);
}

static void
pack_list_states (const pal_t *pal, msgpack_packer *packer,
                  pal_content_t content)
{
  unsigned count = content != PAL_CHANGES ? PAL_LIST_COUNT : 0;

  msgpack_pack_array (packer, count * 2);
  for (unsigned i = 0; i < count; i++)
    {
      msgpack_pack_uint64 (packer, (uint64_t)pal->revisions[i]);
      /* 0 stands for an unknown age, which is -1 here.  */
      msgpack_pack_uint64 (packer, (uint64_t)(pal->ages[i] + 1));
    }
}

static void
count_evidence (void *user, const rol_evidence_t *evidence)
{
  ++*(guint *)user;
}

static void
pack_evidence_row (void *user, const rol_evidence_t *evidence)
{
  msgpack_packer *packer = user;

  msgpack_pack_uint64 (packer, evidence->rollout);
  msgpack_pack_uint64 (packer, evidence->route);
  msgpack_pack_uint8 (packer, (uint8_t)evidence->subject);
  msgpack_pack_uint64 (packer, evidence->answers);
  msgpack_pack_uint64 (packer, evidence->bad);
}

static void
pack_evidence (const pal_t *pal, msgpack_packer *packer, cfd_time_t now,
               pal_content_t content)
{
  bool is_sent = content != PAL_CHANGES && pal->rol != NULL;
  guint rows = 0;

  if (is_sent)
    rol_foreach_own (pal->rol, now, count_evidence, &rows);
  msgpack_pack_array (packer, (size_t)rows * 5);
  if (is_sent)
    rol_foreach_own (pal->rol, now, pack_evidence_row, packer);
}

/* Packs key and origin of each stream.  Those that began lately are sent again
   with the full state.  */
static void
pack_streams (pal_t *pal, msgpack_packer *packer, cfd_time_t now,
              pal_content_t content)
{
  const GArray *updates
      = pal->org != NULL ? org_updates (pal->org, now) : NULL;
  uint64_t *last_sent = content == PAL_SUMMARY ? &pal->last_stream_summarized
                                               : &pal->last_stream_sent;
  cfd_time_t resent_since
      = content == PAL_FULL ? now - STREAM_RESEND_MS : CFD_TIME_NEVER;
  guint count = updates != NULL ? updates->len : 0;
  guint first = 0;

  while (first < count
         && g_array_index (updates, org_update_t, first).number <= *last_sent
         && g_array_index (updates, org_update_t, first).at < resent_since)
    first++;
  msgpack_pack_array (packer, (size_t)(count - first) * 2);
  for (guint i = first; i < count; i++)
    {
      const org_update_t *update = &g_array_index (updates, org_update_t, i);

      msgpack_pack_uint64 (packer, update->key);
      msgpack_pack_uint32 (packer, update->origin);
      *last_sent = MAX (*last_sent, update->number);
    }
}

/* Packs the streams whose record this router has stored, for the routers of
   its cell, for which it does so.  */
static void
pack_stored (pal_t *pal, msgpack_packer *packer, cfd_time_t now,
             pal_content_t content)
{
  const GArray *stored = pal->org != NULL && content != PAL_SUMMARY
                             ? org_get_stored (pal->org, now)
                             : NULL;
  cfd_time_t resent_since
      = content == PAL_FULL ? now - STREAM_RESEND_MS : CFD_TIME_NEVER;
  guint count = stored != NULL ? stored->len : 0;
  guint first = 0;

  while (first < count
         && g_array_index (stored, org_stored_t, first).number
                <= pal->last_stored_sent
         && g_array_index (stored, org_stored_t, first).at < resent_since)
    first++;
  msgpack_pack_array (packer, count - first);
  for (guint i = first; i < count; i++)
    msgpack_pack_uint64 (packer, g_array_index (stored, org_stored_t, i).key);
  if (count > 0)
    pal->last_stored_sent = org_get_last_stored (pal->org);
}

/* Packs key and origin of the streams of this router whose record isn't known
   to be stored although their callers wait for that.  */
static void
pack_awaited (pal_t *pal, msgpack_packer *packer, cfd_time_t now,
              pal_content_t content)
{
  const GArray *awaited = pal->org != NULL && content != PAL_SUMMARY
                              ? org_get_awaited (pal->org, now)
                              : NULL;
  guint count = awaited != NULL ? awaited->len : 0;

  msgpack_pack_array (packer, (size_t)count * 2);
  for (guint i = 0; i < count; i++)
    {
      const org_awaited_t *one = &g_array_index (awaited, org_awaited_t, i);

      msgpack_pack_uint64 (packer, one->key);
      msgpack_pack_uint32 (packer, one->origin);
    }
}

static void
count_retired (void *user, const org_retired_t *retired)
{
  ++*(guint *)user;
}

static void
pack_retired_row (void *user, const org_retired_t *retired)
{
  msgpack_packer *packer = user;

  msgpack_pack_uint64 (packer, retired->service);
  msgpack_pack_uint32 (packer, retired->origin);
  msgpack_pack_uint64 (packer, (uint64_t)retired->retired_ms);
}

/* Packs the versions that left service lately.  */
static void
pack_retired_versions (const pal_t *pal, msgpack_packer *packer,
                       cfd_time_t now, pal_content_t content)
{
  bool is_sent = content != PAL_CHANGES && pal->org != NULL;
  guint rows = 0;

  if (is_sent)
    org_foreach_retired (pal->org, now, count_retired, &rows);
  msgpack_pack_array (packer, (size_t)rows * 3);
  if (is_sent)
    org_foreach_retired (pal->org, now, pack_retired_row, packer);
}

/* Packs the endpoints that this router's health checks found to be cold, and
   for how many more milliseconds.  */
static void
pack_cold (const pal_t *pal, msgpack_packer *packer, cfd_time_t now,
           pal_content_t content)
{
  size_t rows = 0;

  list_for_each (node, edp_set_endpoints (pal->endpoints))
    {
      rows += edp_get_found_cold_ms (list_entry (node, edp_t, node), now) > 0;
    }
  msgpack_pack_array (packer, content != PAL_SUMMARY ? rows * 2 : 0);
  if (rows == 0 || content == PAL_SUMMARY)
    return;
  list_for_each (node, edp_set_endpoints (pal->endpoints))
    {
      const edp_t *edp = list_entry (node, edp_t, node);
      int64_t cold_ms = edp_get_found_cold_ms (edp, now);

      if (cold_ms == 0)
        continue;
      msgpack_pack_uint64 (packer, edp->hash);
      msgpack_pack_uint64 (packer, (uint64_t)cold_ms);
    }
}

/* Packs request, endpoint, and the milliseconds since the request was sent and
   since the endpoint ended.  */
static void
pack_quarantine (pal_t *pal, msgpack_packer *packer, cfd_time_t now,
                 pal_content_t content)
{
  uint64_t *last = content == PAL_SUMMARY ? &pal->last_end_summarized
                                          : &pal->last_end_sent;
  cfd_time_t resent_since
      = content == PAL_FULL ? now - STREAM_RESEND_MS : CFD_TIME_NEVER;
  g_autoptr (GArray) events = NULL;

  if (pal->qua == NULL)
    {
      msgpack_pack_array (packer, 0);
      return;
    }
  events = qua_collect (pal->qua, now, last, resent_since,
                        content != PAL_CHANGES);
  msgpack_pack_array (packer, (size_t)events->len * 4);
  for (guint i = 0; i < events->len; i++)
    {
      const qua_event_t *event = &g_array_index (events, qua_event_t, i);

      msgpack_pack_uint64 (packer, event->request);
      msgpack_pack_uint64 (packer, event->endpoint);
      msgpack_pack_uint64 (packer, (uint64_t)MAX (now - event->sent_at, 0));
      msgpack_pack_uint64 (packer, (uint64_t)MAX (now - event->at, 0));
    }
}

/* Packs kind, part, endpoint, request and the age of each end or answer.  */
static void
pack_parts (pal_t *pal, msgpack_packer *packer, cfd_time_t now,
            pal_content_t content)
{
  uint64_t *last = content == PAL_SUMMARY ? &pal->last_part_summarized
                                          : &pal->last_part_sent;
  cfd_time_t resent_since
      = content == PAL_FULL ? now - STREAM_RESEND_MS : CFD_TIME_NEVER;
  g_autoptr (GArray) events = NULL;

  if (pal->prt == NULL)
    {
      msgpack_pack_array (packer, 0);
      return;
    }
  events = prt_collect (pal->prt, now, last, resent_since,
                        content != PAL_CHANGES);
  msgpack_pack_array (packer, (size_t)events->len * 5);
  for (guint i = 0; i < events->len; i++)
    {
      const prt_event_t *event = &g_array_index (events, prt_event_t, i);

      msgpack_pack_uint8 (packer, (uint8_t)event->kind);
      msgpack_pack_uint64 (packer, event->part);
      msgpack_pack_uint64 (packer, event->endpoint);
      msgpack_pack_uint64 (packer, event->request);
      msgpack_pack_uint64 (packer, (uint64_t)MAX (now - event->at, 0));
    }
}

/* Packs endpoint, observed and expected milliseconds of the endpoints whose
   speed this router has measured.  */
static void
pack_speeds (pal_t *pal, msgpack_packer *packer, cfd_time_t now,
             pal_content_t content)
{
  bool is_due
      = content == PAL_FULL && now - pal->speeds_sent_at >= SPEEDS_INTERVAL_MS;
  size_t rows = 0;

  list_for_each (node, edp_set_endpoints (pal->endpoints))
    {
      rows += spd_is_measured (&list_entry (node, edp_t, node)->speed, now);
    }
  msgpack_pack_array (packer, is_due ? rows * 3 : 0);
  if (!is_due)
    return;
  pal->speeds_sent_at = now;
  list_for_each (node, edp_set_endpoints (pal->endpoints))
    {
      const edp_t *edp = list_entry (node, edp_t, node);
      spd_sums_t own = spd_get_own (&edp->speed, now);

      if (!spd_is_measured (&edp->speed, now))
        continue;
      msgpack_pack_uint64 (packer, edp->hash);
      msgpack_pack_uint64 (packer, (uint64_t)own.observed);
      msgpack_pack_uint64 (packer, (uint64_t)own.expected);
    }
}

/* Packs processor share, busy share and presence of this router.  Routers of
   its zone may be in other cells.  */
static void
pack_capacity (const pal_t *pal, msgpack_packer *packer, pal_content_t content)
{
  bal_figures_t own = { 0 };

  if (content != PAL_CHANGES && pal->bal != NULL)
    own = bal_get_figures (pal->bal);
  if (own.share == 0)
    {
      msgpack_pack_array (packer, 0);
      return;
    }
  msgpack_pack_array (packer, 3);
  msgpack_pack_uint32 (packer, own.share);
  msgpack_pack_uint32 (packer, own.busy);
  msgpack_pack_uint8 (packer, (uint8_t)own.presence);
}

/* Packs whether this router's writes to the platform's store fail.  */
static void
pack_store (const pal_t *pal, msgpack_packer *packer, pal_content_t content)
{
  bool is_sent = content != PAL_CHANGES;

  msgpack_pack_array (packer, is_sent);
  if (is_sent)
    msgpack_pack_uint8 (packer, pal->fails_writes);
}

GByteArray *
pal_pack (pal_t *pal, cfd_time_t now, pal_content_t content)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  GByteArray *bytes = g_byte_array_new ();

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, STATE_ITEMS);
  msgpack_pack_uint32 (&packer, STATE_FORMAT);
  pack_text (&packer, content != PAL_CHANGES ? pal->name : "");
  msgpack_pack_uint64 (&packer, pal->incarnation);
  msgpack_pack_uint64 (&packer, ++pal->number);
  msgpack_pack_uint8 (&packer, (uint8_t)content);
  pack_loads (pal, &packer, content);
  pack_usage (pal, &packer, now, content);
  pack_prefixes (pal, &packer, now, content);
  msgpack_pack_int64 (&packer, pal->stable_ms);
  pack_list_states (pal, &packer, content);
  pack_refusals (pal, &packer, now, content);
  pack_evidence (pal, &packer, now, content);
  pack_streams (pal, &packer, now, content);
  pack_retired_versions (pal, &packer, now, content);
  pack_cold (pal, &packer, now, content);
  pack_quarantine (pal, &packer, now, content);
  pack_parts (pal, &packer, now, content);
  pack_speeds (pal, &packer, now, content);
  pack_capacity (pal, &packer, content);
  pack_store (pal, &packer, content);
  pack_stored (pal, &packer, now, content);
  pack_awaited (pal, &packer, now, content);
  g_byte_array_append (bytes, (const guint8 *)buffer.data, (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}
