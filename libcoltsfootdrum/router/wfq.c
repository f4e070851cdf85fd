#include "router/wfq.h"

#include "base/pair.h"

#include <stdbool.h>
#include <string.h>

typedef struct
{
  pair_t key;
  double virtual_time;
  bool backlogged;
} entry_t;

struct wfq
{
  GHashTable *entries; /* pair_t to entry_t */
};

wfq_t *
wfq_new (void)
{
  wfq_t *wfq = g_new0 (wfq_t, 1);

  wfq->entries = pair_table_new (NULL);
  return wfq;
}

void
wfq_free (wfq_t *wfq)
{
  if (wfq == NULL)
    return;
  g_hash_table_unref (wfq->entries);
  g_free (wfq);
}

static entry_t *
find_or_add (wfq_t *wfq, const char *account, const char *service)
{
  entry_t *entry = pair_table_find (wfq->entries, account, service);

  if (entry != NULL)
    return entry;
  entry = pair_table_add (wfq->entries, account, service, sizeof *entry);
  return entry;
}

static const entry_t *
find_least (const wfq_t *wfq, const char *service)
{
  const entry_t *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, wfq->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const entry_t *entry = value;

      if (!entry->backlogged || strcmp (entry->key.service, service) != 0)
        continue;
      if (best == NULL || entry->virtual_time < best->virtual_time)
        best = entry;
    }
  return best;
}

void
wfq_set_backlogged (wfq_t *wfq, const char *account, const char *service)
{
  entry_t *entry = find_or_add (wfq, account, service);
  const entry_t *first;

  if (entry->backlogged)
    return;
  first = find_least (wfq, service);
  if (first != NULL && first->virtual_time > entry->virtual_time)
    entry->virtual_time = first->virtual_time;
  entry->backlogged = true;
}

void
wfq_set_idle (wfq_t *wfq, const char *account, const char *service)
{
  find_or_add (wfq, account, service)->backlogged = false;
}

const char *
wfq_next_account (const wfq_t *wfq, const char *service)
{
  const entry_t *entry = find_least (wfq, service);

  return entry != NULL ? entry->key.account : NULL;
}

double
wfq_virtual_time (const wfq_t *wfq, const char *account, const char *service)
{
  const entry_t *entry = pair_table_find (wfq->entries, account, service);

  return entry != NULL ? entry->virtual_time : 0;
}

void
wfq_charge (wfq_t *wfq, const char *account, const char *service,
            double tokens, double weight)
{
  find_or_add (wfq, account, service)->virtual_time += tokens / weight;
}
