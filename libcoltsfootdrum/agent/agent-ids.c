#include "agent/agent-ids.h"

#include "base/list.h"

typedef struct
{
  list_node_t node; /* least recently touched first */
  char *request;
  ids_mark_t mark;
  cfd_time_t touched;
} mark_t;

struct ids
{
  list_node_t order;
  GHashTable *by_request;
};

static void
id_free (gpointer data)
{
  mark_t *id = data;

  list_remove (&id->node);
  g_free (id->request);
  g_free (id);
}

ids_t *
ids_new (void)
{
  ids_t *ids = g_new0 (ids_t, 1);

  list_init (&ids->order);
  ids->by_request
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, id_free);
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

ids_mark_t
ids_get (const ids_t *ids, const char *request)
{
  const mark_t *id = g_hash_table_lookup (ids->by_request, request);

  return id != NULL ? id->mark : IDS_NEW;
}

static void
drop_oldest (ids_t *ids)
{
  const mark_t *oldest = list_entry (ids->order.next, mark_t, node);

  g_hash_table_remove (ids->by_request, oldest->request);
}

void
ids_set (ids_t *ids, const char *request, ids_mark_t mark, cfd_time_t now)
{
  mark_t *id = g_hash_table_lookup (ids->by_request, request);

  if (id == NULL)
    {
      id = g_new0 (mark_t, 1);
      list_init (&id->node);
      id->request = g_strdup (request);
      g_hash_table_insert (ids->by_request, id->request, id);
    }
  id->mark = mark;
  id->touched = now;
  list_remove (&id->node);
  list_append (&ids->order, &id->node);
  if (g_hash_table_size (ids->by_request) > IDS_MAX)
    drop_oldest (ids);
}

void
ids_forget (ids_t *ids, const char *request)
{
  g_hash_table_remove (ids->by_request, request);
}

void
ids_expire (ids_t *ids, cfd_time_t now)
{
  while (!list_is_empty (&ids->order))
    {
      const mark_t *oldest = list_entry (ids->order.next, mark_t, node);

      if (now - oldest->touched < IDS_LIFE_MS)
        return;
      drop_oldest (ids);
    }
}
