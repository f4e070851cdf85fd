#include "base/pair.h"

#include <string.h>
#include <xxhash.h>

guint
pair_hash (gconstpointer key)
{
  const pair_t *pair = key;
  XXH64_hash_t first = XXH64 (pair->account, strlen (pair->account), 0);

  return (guint)XXH64 (pair->service, strlen (pair->service), first);
}

gboolean
pair_equal (gconstpointer a, gconstpointer b)
{
  const pair_t *left = a;
  const pair_t *right = b;

  return strcmp (left->account, right->account) == 0
         && strcmp (left->service, right->service) == 0;
}

void
pair_copy_names (pair_t *pair)
{
  size_t account_size = strlen (pair->account) + 1;
  size_t service_size = strlen (pair->service) + 1;
  char *block = g_malloc (account_size + service_size);

  memcpy (block, pair->account, account_size);
  memcpy (block + account_size, pair->service, service_size);
  pair->account = block;
  pair->service = block + account_size;
}

void
pair_clear (pair_t *pair)
{
  g_free ((char *)pair->account);
  pair->account = NULL;
  pair->service = NULL;
}

static void
free_plain (gpointer entry)
{
  pair_clear (entry);
  g_free (entry);
}

GHashTable *
pair_table_new (GDestroyNotify free_entry)
{
  return g_hash_table_new_full (pair_hash, pair_equal, NULL,
                                free_entry != NULL ? free_entry : free_plain);
}

gpointer
pair_table_find (GHashTable *table, const char *account, const char *service)
{
  pair_t key = { account, service };

  return g_hash_table_lookup (table, &key);
}

gpointer
pair_table_add (GHashTable *table, const char *account, const char *service,
                gsize size)
{
  pair_t *entry = g_malloc0 (size);

  *entry = (pair_t){ account, service };
  pair_copy_names (entry);
  g_hash_table_insert (table, entry, entry);
  return entry;
}
