/* Pairs: hash tables keyed by the names of a client account and a service.  */

#ifndef BASE_PAIR_H
#define BASE_PAIR_H

#include <glib.h>

typedef struct
{
  const char *account;
  const char *service;
} pair_t;

/* GHashFunc and GEqualFunc for pair_t.  */
guint pair_hash (gconstpointer key);
gboolean pair_equal (gconstpointer a, gconstpointer b);

/* Replaces the borrowed names of PAIR by copies in one allocation, which
   pair_clear frees.  */
void pair_copy_names (pair_t *pair);
void pair_clear (pair_t *pair);

/* Creates a table of entries whose first member is their pair_t.  FREE_ENTRY
   must call pair_clear on it; NULL suits entries that own nothing else.  */
GHashTable *pair_table_new (GDestroyNotify free_entry);
gpointer pair_table_find (GHashTable *table, const char *account,
                          const char *service);
/* Adds a zeroed entry of SIZE bytes, keyed by copies of the names.  */
gpointer pair_table_add (GHashTable *table, const char *account,
                         const char *service, gsize size);

#endif
