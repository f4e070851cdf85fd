/* Peers: decoding and applying the state of other routers.  */

#include "relay/pal-private.h"

#include "base/log.h"
#include "relay/cold.h"
#include "wire/msg-tree.h"
#include <inttypes.h>
#include <string.h>

/* Received ages of lists and retry delays are capped at this: an older list is
   of no use.  */
#define MAX_AGE_MS UINT64_C (3600000)

/* Most datagrams are decoded without a second chunk.  */
#define ARENA_CHUNK_BYTES 4096u

msgpack_zone *
pal_arena_new (void)
{
  msgpack_zone *arena = msgpack_zone_new (ARENA_CHUNK_BYTES);

  g_assert (arena != NULL);
  return arena;
}

static bool
is_text (const msg_node_t *node)
{
  return node->type == MSG_NODE_STRING;
}

static bool
is_number (const msg_node_t *node)
{
  return node->type == MSG_NODE_UINT;
}

static char *
copy_text (const msg_node_t *node)
{
  return g_strndup (node->u.bytes, node->length);
}

/* Returns whether NODE is an array of at most MAX_ROWS rows of COLUMNS numbers
   each.  */
static bool
is_number_rows (const msg_node_t *node, uint32_t columns, uint32_t max_rows)
{
  if (node->type != MSG_NODE_ARRAY || node->length % columns != 0
      || node->length / columns > max_rows)
    return false;
  for (uint32_t i = 0; i < node->length; i++)
    if (!is_number (&node->u.items[i]))
      return false;
  return true;
}

/* Returns whether NODE is an array of at most MAX_USAGE_ROWS rows, each an
   account's name, its demand and what it was served.  */
static bool
is_usage (const msg_node_t *node)
{
  if (node->type != MSG_NODE_ARRAY || node->length % 3 != 0
      || node->length / 3 > MAX_USAGE_ROWS)
    return false;
  for (uint32_t i = 0; i < node->length; i += 3)
    if (!is_text (&node->u.items[i]) || !is_number (&node->u.items[i + 1])
        || !is_number (&node->u.items[i + 2]))
      return false;
  return true;
}

/* Returns whether item INDEX of a state is missing, as routers of an earlier
   version send it, or consists of rows of WIDTH numbers, MAX_ROWS at most.  */
static bool
is_optional_rows (const msg_node_t *state, uint32_t index, uint32_t width,
                  uint32_t max_rows)
{
  return state->length <= index
         || is_number_rows (&state->u.items[index], width, max_rows);
}

static bool
is_state (const msg_node_t *node)
{
  const msg_node_t *items = node->u.items;

  /* A later version may append further items.  */
  return node->type == MSG_NODE_ARRAY && node->length >= REQUIRED_ITEMS
         && is_number (&items[0]) && items[0].u.number == STATE_FORMAT
         && is_text (&items[1]) && is_number (&items[2])
         && is_number (&items[3]) && is_number (&items[4])
         && is_number_rows (&items[5], 4, MAX_LOAD_ROWS)
         && is_usage (&items[6])
         && is_number_rows (&items[7], 2, MAX_PREFIX_ROWS)
         && (is_number (&items[8]) || items[8].type == MSG_NODE_NEGATIVE)
         && is_number_rows (&items[9], PAL_LIST_COUNT * 2, 1)
         && is_number_rows (&items[10], 3, MAX_REFUSAL_ROWS)
         && is_number_rows (&items[11], 5, MAX_EVIDENCE_ROWS)
         && is_number_rows (&items[12], 2, MAX_STREAM_ROWS)
         && is_number_rows (&items[13], 3, MAX_RETIRED_ROWS)
         && is_number_rows (&items[14], 2, MAX_COLD_ROWS)
         && is_number_rows (&items[15], 4, MAX_QUARANTINE_ROWS)
         && is_number_rows (&items[16], 5, MAX_PART_ROWS)
         && is_optional_rows (node, SPEEDS_ITEM, 3, MAX_SPEED_ROWS)
         && is_optional_rows (node, CAPACITY_ITEM, 3, 1)
         && is_optional_rows (node, STORE_ITEM, 1, 1)
         && is_optional_rows (node, STORED_ITEM, 1, MAX_STORED_ROWS)
         && is_optional_rows (node, AWAITED_ITEM, 2, MAX_STREAM_ROWS);
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
  peer->speeds
      = g_hash_table_new_full (hash_endpoint, equal_endpoint, NULL, g_free);
  for (unsigned i = 0; i < PAL_LIST_COUNT; i++)
    {
      peer->ages[i] = -1;
      peer->precedes[i] = cold_ranks_before (name, pal->name, i);
    }
  g_hash_table_insert (pal->peers, peer->name, peer);
  log_info ("peers", "A peer was discovered: router=%s.", name);
  return peer;
}

void
pal_forget_incarnation (pal_t *pal, pal_peer_t *peer)
{
  g_hash_table_remove (pal->by_incarnation, &peer->incarnation);
  if (pal->rol != NULL)
    rol_forget_process (pal->rol, peer->incarnation);
}

/* Returns the peer that sent a datagram.  The name is sent with the full state
   only: NULL for changes of a router that is not known yet.  */
static pal_peer_t *
find_sender (pal_t *pal, const char *name, uint64_t incarnation)
{
  if (*name == '\0')
    return g_hash_table_lookup (pal->by_incarnation, &incarnation);
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
  if (!edp_set_take_new (pal->endpoints))
    return;
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

/* Adds the prefill work that IS lacks of WAS to what the endpoint finished. */
static void
note_finished (pal_t *pal, cfd_time_t now, const pal_load_t *was,
               const pal_load_t *is)
{
  edp_t *edp = edp_set_find_by_hash (pal->endpoints, was->endpoint);
  double finished
      = was->pending_prefill - (is != NULL ? is->pending_prefill : 0.);

  if (edp != NULL && finished > 0.)
    pau_add_finished (&edp->finished_prefill, now, edp->pause_window_ms,
                      finished);
}

static void
receive_load (pal_t *pal, pal_peer_t *peer, cfd_time_t now,
              const msg_node_t *row)
{
  pal_load_t received
      = { .endpoint = row[0].u.number,
          .active = (unsigned)row[1].u.number,
          .pending_prefill = (double)row[2].u.number * PREFILL_TOKENS_PER_UNIT,
          .context_tokens = (double)row[3].u.number * CONTEXT_TOKENS_PER_UNIT,
          .datagram = peer->number };
  pal_load_t *load = g_hash_table_lookup (peer->loads, &received.endpoint);

  if (load != NULL)
    {
      apply_load (pal, load, -1);
      note_finished (pal, now, load, &received);
    }
  /* Before it is added to the table, from which totals may be summed up.  */
  apply_load (pal, &received, 1);
  if (load != NULL)
    {
      *load = received;
      return;
    }
  load = g_memdup2 (&received, sizeof received);
  g_hash_table_insert (peer->loads, &load->endpoint, load);
}

/* Removes the loads that the newest datagram of PEER, a full state, lacks.  */
static void
remove_missing_loads (pal_t *pal, pal_peer_t *peer, cfd_time_t now)
{
  GHashTableIter each;
  void *data;

  g_hash_table_iter_init (&each, peer->loads);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      const pal_load_t *load = data;

      if (load->datagram == peer->number)
        continue;
      apply_load (pal, load, -1);
      note_finished (pal, now, load, NULL);
      g_hash_table_iter_remove (&each);
    }
}

static void
receive_loads (pal_t *pal, pal_peer_t *peer, cfd_time_t now,
               const msg_node_t *rows, bool full)
{
  for (unsigned i = 0; i + 3 < rows->length; i += 4)
    receive_load (pal, peer, now, &rows->u.items[i]);
  if (full)
    remove_missing_loads (pal, peer, now);
}

static void
receive_usage (pal_t *pal, const pal_peer_t *peer, cfd_time_t now,
               const msg_node_t *rows)
{
  for (unsigned i = 0; i + 2 < rows->length; i += 3)
    {
      g_autofree char *account = copy_text (&rows->u.items[i]);
      use_sum_t own = { .demand = (double)rows->u.items[i + 1].u.number,
                        .served = (double)rows->u.items[i + 2].u.number };

      use_update_peer (pal->use, now, peer->name, account, &own);
    }
}

static void
receive_prefixes (pal_t *pal, cfd_time_t now, const msg_node_t *pairs)
{
  for (unsigned i = 0; i + 1 < pairs->length; i += 2)
    pfx_apply_update (pal->pfx, now, pairs->u.items[i].u.number,
                      pairs->u.items[i + 1].u.number);
}

static void
receive_refusals (pal_t *pal, cfd_time_t now, const msg_node_t *rows)
{
  for (unsigned i = 0; i + 2 < rows->length; i += 3)
    {
      uint64_t age_ms = MIN (rows->u.items[i + 1].u.number, (uint64_t)now);
      uint64_t back_ms = MIN (rows->u.items[i + 2].u.number, MAX_AGE_MS);

      ret_add_peer_refusal (pal->ret, now, rows->u.items[i].u.number,
                            now - (cfd_time_t)age_ms,
                            now + (cfd_time_t)back_ms);
    }
}

static void
receive_list_states (pal_peer_t *peer, cfd_time_t now, const msg_node_t *pairs)
{
  if (pairs->length < PAL_LIST_COUNT * 2)
    return;
  peer->ages_received_at = now;
  for (unsigned i = 0; i < PAL_LIST_COUNT; i++)
    {
      uint64_t age = MIN (pairs->u.items[2 * i + 1].u.number, MAX_AGE_MS);

      peer->revisions[i]
          = (int64_t)MIN (pairs->u.items[2 * i].u.number, INT64_MAX);
      peer->ages[i] = (int64_t)age - 1;
    }
}

static void
receive_evidence (pal_t *pal, cfd_time_t now, uint64_t incarnation,
                  const msg_node_t *rows)
{
  if (pal->rol == NULL)
    return;
  for (unsigned i = 0; i + 4 < rows->length; i += 5)
    {
      const msg_node_t *row = &rows->u.items[i];
      rol_evidence_t evidence = { .rollout = row[0].u.number,
                                  .route = row[1].u.number,
                                  .subject = (rol_subject_t)row[2].u.number,
                                  .answers = row[3].u.number,
                                  .bad = row[4].u.number };

      if (row[2].u.number <= ROL_AGE)
        rol_receive (pal->rol, now, incarnation, &evidence);
    }
}

static void
receive_streams (pal_t *pal, cfd_time_t now, const msg_node_t *rows,
                 bool is_near)
{
  for (unsigned i = 0; pal->org != NULL && i + 1 < rows->length; i += 2)
    {
      uint64_t key = rows->u.items[i].u.number;
      org_origin_t origin = (org_origin_t)rows->u.items[i + 1].u.number;

      if (is_near)
        org_add_near (pal->org, now, key, origin);
      else
        org_add_peer (pal->org, now, key, origin);
    }
}

static void
receive_retired_versions (pal_t *pal, cfd_time_t now, const msg_node_t *rows)
{
  for (unsigned i = 0; pal->org != NULL && i + 2 < rows->length; i += 3)
    {
      org_retired_t retired
          = { .service = rows->u.items[i].u.number,
              .origin = (org_origin_t)rows->u.items[i + 1].u.number,
              .retired_ms
              = (int64_t)MIN (rows->u.items[i + 2].u.number, MAX_AGE_MS) };

      org_add_retired (pal->org, now, &retired);
    }
}

static void
receive_cold (pal_t *pal, cfd_time_t now, const msg_node_t *rows)
{
  if (rows->length == 0)
    return;
  for (unsigned i = 0; i + 1 < rows->length; i += 2)
    edp_set_note_cold (
        pal->endpoints, now, rows->u.items[i].u.number,
        (int64_t)MIN (rows->u.items[i + 1].u.number, MAX_AGE_MS));
  pal_update_cold_ranks (pal, now);
}

/* Returns the time AGE_MS ago.  */
static cfd_time_t
decode_age (const msg_node_t *age_ms, cfd_time_t now)
{
  return now - (cfd_time_t)MIN (age_ms->u.number, MAX_AGE_MS);
}

static void
receive_quarantine (pal_t *pal, cfd_time_t now, const msg_node_t *rows)
{
  for (unsigned i = 0; pal->qua != NULL && i + 3 < rows->length; i += 4)
    {
      const msg_node_t *row = &rows->u.items[i];
      qua_event_t event = { .request = row[0].u.number,
                            .endpoint = row[1].u.number,
                            .sent_at = decode_age (&row[2], now),
                            .at = decode_age (&row[3], now) };

      if (qua_add_peer (pal->qua, now, &event))
        log_info ("peers",
                  "A request is quarantined: key=%010" PRIx64
                  " endpoint=%08" PRIx64 " source=peer ends=%u.",
                  event.request, event.endpoint,
                  qua_find (pal->qua, now, event.request).ends);
    }
}

static void
receive_parts (pal_t *pal, cfd_time_t now, const msg_node_t *rows)
{
  for (unsigned i = 0; pal->prt != NULL && i + 4 < rows->length; i += 5)
    {
      const msg_node_t *row = &rows->u.items[i];
      prt_event_t event = { .part = row[1].u.number,
                            .endpoint = row[2].u.number,
                            .request = row[3].u.number,
                            .at = decode_age (&row[4], now) };

      if (row[0].u.number >= PRT_KINDS)
        continue;
      event.kind = (prt_kind_t)row[0].u.number;
      prt_add_peer (pal->prt, now, &event);
    }
}

/* Values of later versions mean that the router doesn't count as ready.  */
static bal_presence_t
decode_presence (const msg_node_t *node)
{
  switch (node->u.number)
    {
    case BAL_READY:
      return BAL_READY;
    case BAL_LEAVING:
      return BAL_LEAVING;
    default:
      return BAL_OUT;
    }
}

static void
receive_capacity (pal_t *pal, pal_peer_t *peer, cfd_time_t now,
                  const msg_node_t *row)
{
  bal_figures_t figures;

  if (row->length < 3)
    return;
  peer->share = (unsigned)MIN (row->u.items[0].u.number, UINT32_MAX);
  if (pal->bal == NULL)
    return;
  figures = (bal_figures_t){ .share = peer->share,
                             .busy = (unsigned)MIN (row->u.items[1].u.number,
                                                    UINT32_MAX),
                             .presence = decode_presence (&row->u.items[2]) };
  bal_set_figures (pal->bal, now, peer->name, &figures);
}

static void
receive_store (pal_peer_t *peer, const msg_node_t *row)
{
  if (row->length > 0)
    peer->fails_writes = row->u.items[0].u.number != 0;
}

static void
receive_stored (const pal_t *pal, cfd_time_t now, const msg_node_t *keys)
{
  for (unsigned i = 0; pal->org != NULL && i < keys->length; i++)
    org_note_stored (pal->org, now, keys->u.items[i].u.number);
}

static void
receive_awaited (const pal_t *pal, cfd_time_t now, const msg_node_t *rows)
{
  for (unsigned i = 0; pal->org != NULL && i + 1 < rows->length; i += 2)
    org_add_near_awaited (pal->org, now, rows->u.items[i].u.number,
                          (org_origin_t)rows->u.items[i + 1].u.number);
}

static int64_t
decode_stable_ms (const msg_node_t *node)
{
  return node->type == MSG_NODE_NEGATIVE
             ? node->u.negative
             : (int64_t)MIN (node->u.number, (uint64_t)INT64_MAX);
}

/* The process that sent the peer's earlier datagrams has ended.  */
static void
set_incarnation (pal_t *pal, pal_peer_t *peer, uint64_t incarnation)
{
  pal_forget_incarnation (pal, peer);
  g_hash_table_remove_all (peer->speeds);
  peer->incarnation = incarnation;
  g_hash_table_insert (pal->by_incarnation, &peer->incarnation, peer);
}

static void
apply_state (pal_t *pal, cfd_time_t now, const msg_node_t *state)
{
  const msg_node_t *items = state->u.items;
  g_autofree char *name = copy_text (&items[1]);
  uint64_t incarnation = items[2].u.number;
  uint64_t number = items[3].u.number;
  uint64_t content = items[4].u.number;
  pal_peer_t *peer;

  if (g_str_equal (name, pal->name))
    return;
  peer = find_sender (pal, name, incarnation);
  /* Ignores a duplicate or reordered datagram of the same process.  */
  if (peer == NULL
      || (peer->incarnation == incarnation && peer->number >= number))
    return;
  if (peer->incarnation != incarnation)
    set_incarnation (pal, peer, incarnation);
  peer->number = number;
  if (content != PAL_CHANGES)
    peer->sends_summaries = content == PAL_SUMMARY;
  peer->last_received_at = now;
  receive_loads (pal, peer, now, &items[5], content != PAL_CHANGES);
  receive_usage (pal, peer, now, &items[6]);
  receive_prefixes (pal, now, &items[7]);
  peer->stable_ms = decode_stable_ms (&items[8]);
  receive_list_states (peer, now, &items[9]);
  receive_refusals (pal, now, &items[10]);
  receive_evidence (pal, now, incarnation, &items[11]);
  receive_streams (pal, now, &items[12], content != PAL_SUMMARY);
  receive_retired_versions (pal, now, &items[13]);
  receive_cold (pal, now, &items[14]);
  receive_quarantine (pal, now, &items[15]);
  receive_parts (pal, now, &items[16]);
  if (state->length > SPEEDS_ITEM)
    pal_receive_speeds (peer, now, &items[SPEEDS_ITEM]);
  if (state->length > CAPACITY_ITEM)
    receive_capacity (pal, peer, now, &items[CAPACITY_ITEM]);
  if (state->length > STORE_ITEM)
    receive_store (peer, &items[STORE_ITEM]);
  if (state->length > STORED_ITEM)
    receive_stored (pal, now, &items[STORED_ITEM]);
  if (state->length > AWAITED_ITEM)
    receive_awaited (pal, now, &items[AWAITED_ITEM]);
}

bool
pal_receive (pal_t *pal, cfd_time_t now, const void *bytes, size_t length)
{
  msg_tree_t tree;

  msgpack_zone_clear (pal->arena);
  if (!msg_tree_parse (pal->arena, bytes, length, MAX_NODES, &tree)
      || !is_state (&tree.root))
    return false;
  apply_state (pal, now, &tree.root);
  return true;
}
