/* Cells: their number, and the division of items.  */

#include "relay/cel.h"

#include <string.h>
#include <xxhash.h>

/* Smallest cells.  A cell has enough routers that each gets about the mean
   load of its callers, and enough endpoints that some are free.  */
#define MIN_ROUTERS 16u
#define MIN_ENDPOINTS 96u
/* Share of these sizes below which cells are joined again.  */
#define JOIN_SHARE 0.75
/* Fewest items of one service in a cell.  */
#define MIN_ITEMS 3u

static bool
are_large_enough (unsigned routers, unsigned endpoints, unsigned cells,
                  double share)
{
  return routers >= cells * MIN_ROUTERS * share
         && endpoints >= cells * MIN_ENDPOINTS * share;
}

unsigned
cel_choose_count (unsigned routers, unsigned endpoints, unsigned current)
{
  unsigned cells = 1;

  while (are_large_enough (routers, endpoints, cells * 2, 1.))
    cells *= 2;
  if (current > cells
      && are_large_enough (routers, endpoints, current, JOIN_SHARE))
    return current;
  return cells;
}

static int
compare_items (const void *a, const void *b)
{
  const cel_item_t *one = a;
  const cel_item_t *other = b;
  int order = g_strcmp0 (one->service, other->service);

  if (order == 0)
    order = g_strcmp0 (one->zone, other->zone);
  if (order == 0)
    order = (one->hash > other->hash) - (one->hash < other->hash);
  return order;
}

/* Returns the first index after I at which the service or, with BY_ZONE, the
   zone differs.  */
static guint
find_end (const GArray *items, guint i, bool by_zone)
{
  const cel_item_t *first = &g_array_index (items, cel_item_t, i);

  while (++i < items->len)
    {
      const cel_item_t *item = &g_array_index (items, cel_item_t, i);

      if (g_strcmp0 (item->service, first->service) != 0
          || (by_zone && g_strcmp0 (item->zone, first->zone) != 0))
        break;
    }
  return i;
}

static uint64_t
hash_text (const char *text, uint64_t seed)
{
  return text != NULL ? XXH3_64bits_withSeed (text, strlen (text), seed)
                      : seed;
}

/* Divides the items of one service and zone, from BEGIN to END, into PARTS of
   WIDTH cells.  The first part differs from zone to zone, since the parts of a
   zone with few items are not all of the same size.  */
static void
divide_zone (GArray *items, guint begin, guint end, unsigned parts,
             unsigned width)
{
  const cel_item_t *first = &g_array_index (items, cel_item_t, begin);
  uint64_t offset = hash_text (first->zone, hash_text (first->service, 0));

  for (guint i = begin; i < end; i++)
    {
      cel_item_t *item = &g_array_index (items, cel_item_t, i);
      uint64_t part = (uint64_t)(i - begin) * parts / (end - begin);

      item->first = (unsigned)((part + offset) % parts) * width;
      item->count = width;
    }
}

static void
divide_service (GArray *items, guint begin, guint end, unsigned cells)
{
  unsigned parts = cells;

  while (parts > 1 && end - begin < parts * MIN_ITEMS)
    parts /= 2;
  for (guint i = begin; i < end;)
    {
      guint zone_end = find_end (items, i, true);

      divide_zone (items, i, zone_end, parts, cells / parts);
      i = zone_end;
    }
}

void
cel_divide (GArray *items, unsigned cells)
{
  g_array_sort (items, compare_items);
  for (guint i = 0; i < items->len;)
    {
      guint end = find_end (items, i, false);

      divide_service (items, i, end, cells);
      i = end;
    }
}
