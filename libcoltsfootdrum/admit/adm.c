#include "admit/adm.h"

#include "base/pair.h"

/* Weight of the newest interval between two takes.  */
#define INTERVAL_WEIGHT 0.2

typedef struct
{
  pair_t key;
  list_node_t classes[ADM_CLASSES_MAX]; /* of adm_item_t, oldest first */
  unsigned count;
  double cost;
  cfd_time_t drained;     /* when the last item left, or the first came */
  double interval_ms;     /* mean between takes */
  bool interval_is_known; /* after the first take */
} queue_t;

struct adm
{
  GHashTable *queues; /* pair_t to queue_t; empty ones are dropped */
  list_node_t deadlines;
  unsigned waiting;
};

static void
queue_free (gpointer data)
{
  queue_t *queue = data;

  pair_clear (&queue->key);
  g_free (queue);
}

adm_t *
adm_new (void)
{
  adm_t *adm = g_new0 (adm_t, 1);

  adm->queues
      = g_hash_table_new_full (pair_hash, pair_equal, NULL, queue_free);
  list_init (&adm->deadlines);
  return adm;
}

void
adm_free (adm_t *adm)
{
  if (adm == NULL)
    return;
  g_hash_table_unref (adm->queues);
  g_free (adm);
}

static queue_t *
find (const adm_t *adm, const char *account, const char *service)
{
  pair_t key = { account, service };

  return g_hash_table_lookup (adm->queues, &key);
}

static queue_t *
find_or_add (adm_t *adm, const adm_item_t *item, cfd_time_t now)
{
  queue_t *queue = find (adm, item->account, item->service);

  if (queue != NULL)
    return queue;
  queue = g_new0 (queue_t, 1);
  queue->key.account = item->account;
  queue->key.service = item->service;
  pair_copy_names (&queue->key);
  queue->drained = now;
  for (unsigned i = 0; i < ADM_CLASSES_MAX; i++)
    list_init (&queue->classes[i]);
  g_hash_table_insert (adm->queues, &queue->key, queue);
  return queue;
}

/* Deadlines mostly come in order, so the search from the end is short.  */
static void
link_deadline (adm_t *adm, adm_item_t *item)
{
  list_node_t *after = adm->deadlines.prev;

  while (after != &adm->deadlines
         && list_entry (after, adm_item_t, by_deadline)->deadline
                > item->deadline)
    after = after->prev;
  list_prepend (after, &item->by_deadline);
}

static void
link_item (adm_t *adm, queue_t *queue, adm_item_t *item)
{
  list_node_t *head
      = &queue->classes[MIN (item->class_rank, ADM_CLASSES_MAX - 1)];
  list_node_t *after = head->prev;

  while (after != head
         && list_entry (after, adm_item_t, node)->since > item->since)
    after = after->prev;
  list_prepend (after, &item->node);
  link_deadline (adm, item);
  queue->count++;
  queue->cost += item->cost;
  adm->waiting++;
}

static void
unlink_item (adm_t *adm, queue_t *queue, adm_item_t *item)
{
  list_remove (&item->node);
  list_remove (&item->by_deadline);
  queue->count--;
  queue->cost -= item->cost;
  adm->waiting--;
  if (queue->count == 0)
    g_hash_table_remove (adm->queues, &queue->key);
}

static int
retry_after (const queue_t *queue, cfd_time_t now)
{
  double idle_ms = (double)(now - queue->drained);
  double interval_ms = MAX (queue->interval_ms, idle_ms);
  double wait_s = interval_ms * queue->count / 1000;

  return (int)CLAMP (wait_s + 0.999, ADM_RETRY_MIN_S, ADM_RETRY_MAX_S);
}

bool
adm_enqueue (adm_t *adm, adm_item_t *item, unsigned queue_max, cfd_time_t now,
             int *retry_after_s)
{
  queue_t *queue = find (adm, item->account, item->service);

  list_init (&item->node);
  list_init (&item->by_deadline);
  if (queue != NULL && queue->count >= queue_max)
    {
      *retry_after_s = retry_after (queue, now);
      return false;
    }
  link_item (adm, find_or_add (adm, item, now), item);
  return true;
}

void
adm_requeue (adm_t *adm, adm_item_t *item)
{
  link_item (adm, find_or_add (adm, item, item->since), item);
}

/* The class after ageing; a class gained never goes beyond the best, where
   the older goes first.  */
static unsigned
aged_rank (const adm_item_t *item, unsigned rank, cfd_time_t now)
{
  cfd_time_t gained = (now - item->since) / ADM_AGEING_INTERVAL_MS;

  return gained >= rank ? 0 : rank - (unsigned)gained;
}

/* Which items are meant; MAY is NULL for all.  */
typedef struct
{
  bool (*may) (void *user, const adm_item_t *item);
  void *user;
} filter_t;

static const filter_t any = { NULL, NULL };

static adm_item_t *
first_allowed (const list_node_t *head, const filter_t *filter)
{
  for (const list_node_t *node = head->next; node != head; node = node->next)
    {
      adm_item_t *item = list_entry (node, adm_item_t, node);

      if (filter->may == NULL || filter->may (filter->user, item))
        return item;
    }
  return NULL;
}

static adm_item_t *
next_item (const queue_t *queue, const filter_t *filter, cfd_time_t now,
           unsigned *rank)
{
  adm_item_t *best = NULL;

  for (unsigned i = 0; i < ADM_CLASSES_MAX; i++)
    {
      adm_item_t *item = first_allowed (&queue->classes[i], filter);
      unsigned aged;

      if (item == NULL)
        continue;
      aged = aged_rank (item, i, now);
      if (best != NULL
          && (aged > *rank || (aged == *rank && item->since >= best->since)))
        continue;
      best = item;
      *rank = aged;
    }
  return best;
}

static void
learn_interval (queue_t *queue, cfd_time_t now)
{
  double interval_ms = (double)(now - queue->drained);

  queue->drained = now;
  if (!queue->interval_is_known)
    queue->interval_ms = interval_ms;
  else
    queue->interval_ms += INTERVAL_WEIGHT * (interval_ms - queue->interval_ms);
  queue->interval_is_known = true;
}

static adm_item_t *
take (adm_t *adm, const char *account, const char *service, cfd_time_t now,
      const filter_t *filter)
{
  queue_t *queue = find (adm, account, service);
  adm_item_t *item;
  unsigned rank;

  if (queue == NULL)
    return NULL;
  item = next_item (queue, filter, now, &rank);
  if (item == NULL)
    return NULL;
  learn_interval (queue, now);
  unlink_item (adm, queue, item);
  return item;
}

adm_item_t *
adm_dequeue (adm_t *adm, const char *account, const char *service,
             cfd_time_t now)
{
  return take (adm, account, service, now, &any);
}

adm_item_t *
adm_dequeue_allowed (adm_t *adm, const char *account, const char *service,
                     cfd_time_t now,
                     bool (*may) (void *user, const adm_item_t *item),
                     void *user)
{
  const filter_t filter = { may, user };

  return take (adm, account, service, now, &filter);
}

bool
adm_has_allowed (const adm_t *adm, const char *account, const char *service,
                 bool (*may) (void *user, const adm_item_t *item), void *user)
{
  const queue_t *queue = find (adm, account, service);
  const filter_t filter = { may, user };

  for (unsigned i = 0; queue != NULL && i < ADM_CLASSES_MAX; i++)
    if (first_allowed (&queue->classes[i], &filter) != NULL)
      return true;
  return false;
}

void
adm_remove (adm_t *adm, adm_item_t *item)
{
  if (item->node.next == NULL || !list_is_linked (&item->node))
    return;
  unlink_item (adm, find (adm, item->account, item->service), item);
}

void
adm_get_queue_info (const adm_t *adm, const char *account, const char *service,
                    cfd_time_t now, adm_queue_info_t *info)
{
  const queue_t *queue = find (adm, account, service);

  *info = (adm_queue_info_t){ 0 };
  if (queue == NULL)
    return;
  info->count = queue->count;
  info->cost = queue->cost;
  info->oldest = now;
  next_item (queue, &any, now, &info->class_rank);
  for (unsigned i = 0; i < ADM_CLASSES_MAX; i++)
    if (!list_is_empty (&queue->classes[i]))
      info->oldest
          = MIN (info->oldest,
                 list_entry (queue->classes[i].next, adm_item_t, node)->since);
}

void
adm_expire (adm_t *adm, cfd_time_t now,
            void (*give_up) (void *user, adm_item_t *item), void *user)
{
  while (adm_next_deadline (adm) <= now)
    {
      adm_item_t *item
          = list_entry (adm->deadlines.next, adm_item_t, by_deadline);

      /* Before it goes: with its last item the queue forgets that nothing was
         taken, and the caller who waited in vain would be told to ask again
         in a second.  */
      item->retry_after_s = adm_estimate_retry_after_s (adm, item->account,
                                                        item->service, now);
      adm_remove (adm, item);
      give_up (user, item);
    }
}

cfd_time_t
adm_next_deadline (const adm_t *adm)
{
  if (list_is_empty (&adm->deadlines))
    return CFD_TIME_NEVER;
  return list_entry (adm->deadlines.next, adm_item_t, by_deadline)->deadline;
}

void
adm_for_each_queue (const adm_t *adm,
                    void (*visit) (void *user, const char *account,
                                   const char *service),
                    void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, adm->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const queue_t *queue = value;

      visit (user, queue->key.account, queue->key.service);
    }
}

unsigned
adm_count_waiting (const adm_t *adm)
{
  return adm->waiting;
}

int
adm_estimate_retry_after_s (const adm_t *adm, const char *account,
                            const char *service, cfd_time_t now)
{
  const queue_t *queue = find (adm, account, service);

  return queue != NULL ? retry_after (queue, now) : ADM_RETRY_MIN_S;
}
