/* Endpoints: those of this router's cell, and the lists of used and unused
   ones.  */

#include "relay/edp-private.h"

#include "relay/cel.h"
#include <xxhash.h>

void
edp_service_free (void *data)
{
  edp_service_t *service = data;

  g_free (service->name);
  g_ptr_array_unref (service->all);
  g_ptr_array_unref (service->near);
  g_free (service);
}

static edp_service_t *
get_or_add_service (edp_set_t *set, const char *name)
{
  edp_service_t *service = g_hash_table_lookup (set->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (edp_service_t, 1);
  service->name = g_strdup (name);
  service->all = g_ptr_array_new ();
  service->near = g_ptr_array_new ();
  g_hash_table_insert (set->services, service->name, service);
  return service;
}

static void
add_items (GArray *items, list_node_t *list)
{
  list_for_each (node, list)
    {
      edp_t *edp = list_entry (node, edp_t, node);
      cel_item_t item = { .service = edp->report->service,
                          .zone = edp->report->zone,
                          .hash = edp->hash,
                          .item = edp };

      g_array_append_val (items, item);
    }
}

/* Moves EDP into the list of used endpoints, or out of it.  */
static void
move_to_list (edp_set_t *set, edp_t *edp, bool is_in_use)
{
  if (edp->is_in_use == is_in_use)
    return;
  edp->is_in_use = is_in_use;
  edp->has_peer_totals = false;
  set->has_new |= is_in_use;
  list_remove (&edp->node);
  list_append (is_in_use ? &set->list : &set->others, &edp->node);
}

static bool
has_connections (const edp_t *edp)
{
  return edp->active > 0 || ups_count_connections (edp->ups) > 0;
}

static void
place_item (edp_set_t *set, const cel_item_t *item)
{
  edp_t *edp = item->item;
  edp_service_t *service = get_or_add_service (set, edp->report->service);

  edp->is_near = cel_contains (item, set->cell);
  edp->cell_count = item->count;
  g_ptr_array_add (service->all, edp);
  if (edp->is_near)
    g_ptr_array_add (service->near, edp);
  move_to_list (set, edp, edp->is_near || has_connections (edp));
}

void
edp_set_divide (edp_set_t *set)
{
  g_autoptr (GArray) items = g_array_new (FALSE, FALSE, sizeof (cel_item_t));

  if (!set->must_divide)
    return;
  set->must_divide = false;
  g_hash_table_remove_all (set->services);
  add_items (items, &set->list);
  add_items (items, &set->others);
  cel_divide (items, set->cells);
  for (guint i = 0; i < items->len; i++)
    place_item (set, &g_array_index (items, cel_item_t, i));
}

void
edp_set_choose_cell (edp_set_t *set, unsigned cell, unsigned cells)
{
  if (set->cell == cell && set->cells == cells)
    return;
  set->cell = cell;
  set->cells = cells;
  set->must_divide = true;
  edp_set_divide (set);
}

const GPtrArray *
edp_set_get_near (const edp_set_t *set, const char *service)
{
  const edp_service_t *found = g_hash_table_lookup (set->services, service);

  return found != NULL ? found->near : NULL;
}

const GPtrArray *
edp_set_get_all (const edp_set_t *set, const char *service)
{
  const edp_service_t *found = g_hash_table_lookup (set->services, service);

  return found != NULL ? found->all : NULL;
}

unsigned
edp_set_get_cells (const edp_set_t *set)
{
  return set->cells;
}

uint64_t
edp_compute_weight (const edp_t *edp, uint64_t prefix_id)
{
  return XXH3_64bits_withSeed (&edp->hash, sizeof edp->hash, prefix_id);
}

edp_t *
edp_set_find_preferred (const edp_set_t *set, const char *service,
                        cfd_time_t now, uint64_t prefix_id)
{
  const GPtrArray *all = edp_set_get_all (set, service);
  edp_t *preferred = NULL;
  uint64_t best = 0;

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      edp_t *edp = g_ptr_array_index (all, i);
      uint64_t weight = edp_compute_weight (edp, prefix_id);

      if ((preferred != NULL && weight <= best) || edp->standing != EDP_CURRENT
          || !edp_is_open (edp, now))
        continue;
      preferred = edp;
      best = weight;
    }
  return preferred;
}

unsigned
edp_set_get_epoch (const edp_set_t *set)
{
  return set->epoch;
}

void
edp_set_drop_unused (edp_set_t *set, edp_t *edp)
{
  if (!has_connections (edp))
    move_to_list (set, edp, false);
}

void
edp_set_note_used (edp_set_t *set, edp_t *edp)
{
  move_to_list (set, edp, true);
}
