/* Cells.  Divides a large fleet into parts that work like small fleets.

   Load pattern: hundreds of routers before thousands of endpoints.  If each
   router used each endpoint, each would have to know the load that every other
   one puts on it: datagrams and processing grow with the square of the fleet.
   Therefore the routers and the endpoints of each service are divided into
   cells.  A router uses the endpoints of its own cell, and exchanges details
   with the routers of that cell alone.

   Each zone is divided by itself, so that a cell has its part of every zone
   and loses as much as the others when a zone is lost.  Items keep their order
   by hash, and cells are ranges of it: when an item comes or goes, at most one
   item moves over each boundary.  */

#ifndef RELAY_CEL_H
#define RELAY_CEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A router or an endpoint.  */
typedef struct
{
  const char *service; /* divided apart from others; NULL for routers */
  const char *zone;
  uint64_t hash;
  void *item;
  /* Set by cel_divide: the item belongs to COUNT cells from FIRST on.  More
     than one where there are too few items for all cells.  */
  unsigned first;
  unsigned count;
} cel_item_t;

/* Returns the number of cells, a power of two, for a fleet that is divided
   into CURRENT cells now.  A small fleet has one.  The number falls back only
   when cells have become clearly too small.  */
unsigned cel_choose_count (unsigned routers, unsigned endpoints,
                           unsigned current);

/* Divides ITEMS, of cel_item_t, into CELLS; sorts them.  */
void cel_divide (GArray *items, unsigned cells);

static inline bool
cel_contains (const cel_item_t *item, unsigned cell)
{
  return cell >= item->first && cell - item->first < item->count;
}

#endif
