#include "agent/agent-ids.h"

#include "base/list.h"

typedef struct
{
  list_node_t node; /* least recently updated first */
  char *request;
  ids_state_t state;
  cfd_time_t updated_at;
} id_entry_t;

struct ids
{
  list_node_t order;
  GHashTable *by_request;
};

static void
entry_free (gpointer data)
{
  id_entry_t *entry = data;

  list_remove (&entry->node);
  g_free (entry->request);
  g_free (entry);
}

ids_t *
ids_new (void)
{
  ids_t *ids = g_new0 (ids_t, 1);

  list_init (&ids->order);
  ids->by_request
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  return ids;
}

void
ids_free (ids_t *ids)
{
  if (ids == NULL)
    return;
  g_hash_table_unref (ids->by_request);
  g_free (ids);
}

ids_state_t
ids_get_state (const ids_t *ids, const char *request)
{
  const id_entry_t *entry = g_hash_table_lookup (ids->by_request, request);

  return entry != NULL ? entry->state : IDS_NEW;
}

static void
remove_oldest (ids_t *ids)
{
  const id_entry_t *oldest = list_entry (ids->order.next, id_entry_t, node);

  g_hash_table_remove (ids->by_request, oldest->request);
}

void
ids_set_state (ids_t *ids, const char *request, ids_state_t state,
               cfd_time_t now)
{
  id_entry_t *entry = g_hash_table_lookup (ids->by_request, request);

  if (entry == NULL)
    {
      entry = g_new0 (id_entry_t, 1);
      list_init (&entry->node);
      entry->request = g_strdup (request);
      g_hash_table_insert (ids->by_request, entry->request, entry);
    }
  entry->state = state;
  entry->updated_at = now;
  list_remove (&entry->node);
  list_append (&ids->order, &entry->node);
  if (g_hash_table_size (ids->by_request) > IDS_MAX_COUNT)
    remove_oldest (ids);
}

void
ids_remove (ids_t *ids, const char *request)
{
  g_hash_table_remove (ids->by_request, request);
}

void
ids_expire (ids_t *ids, cfd_time_t now)
{
  while (!list_is_empty (&ids->order))
    {
      const id_entry_t *oldest
          = list_entry (ids->order.next, id_entry_t, node);

      if (now - oldest->updated_at < IDS_RETENTION_MS)
        return;
      remove_oldest (ids);
    }
}
