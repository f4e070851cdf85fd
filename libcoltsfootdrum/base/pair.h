/* Hash table key of two names, such as a client account and a service.  */

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

/* Replaces the borrowed names of PAIR by copies in one block, to be freed by
   pair_clear.  */
void pair_copy_names (pair_t *pair);
void pair_clear (pair_t *pair);

/* Tables of entries that begin with their pair_t.  FREE_ENTRY must call
   pair_clear on it; NULL for entries that own nothing else.  */
GHashTable *pair_table_new (GDestroyNotify free_entry);
gpointer pair_table_find (GHashTable *table, const char *account,
                          const char *service);
/* Adds a zeroed entry of SIZE bytes under copies of the names.  */
gpointer pair_table_add (GHashTable *table, const char *account,
                         const char *service, gsize size);

#endif
