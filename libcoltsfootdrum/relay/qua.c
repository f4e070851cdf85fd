/* Quarantine: ends of endpoints by request.  */

#include "relay/qua.h"

#include "base/list.h"

/* 40 bits keep datagrams short; among some ten thousand requests collisions
   are unlikely.  The lowest one tells whether requests may coincide.  */
#define KEY_MASK UINT64_C (0xfffffffffe)
#define COINCIDENCE_BIT UINT64_C (1)
/* A repeat may seem to have been sent this much before the end that it
   follows: its router measured other delays.  */
#define ORDER_SLACK_MS 50
/* Ends of one request that are remembered.  */
#define MAX_EVENTS 8u
/* Limits the memory: some 300 bytes each.  */
#define MAX_RECORDS 8192u
/* For the other routers, a quarter of a datagram.  */
#define MAX_UPDATES 768u
/* Lifetime of updates: longer than the intervals at which they are sent.  */
#define UPDATE_KEEP_MS 4000

typedef struct
{
  uint64_t endpoint;
  cfd_time_t sent_at;
  cfd_time_t at;
} qua_end_t;

typedef struct
{
  list_node_t node;
  uint64_t request;
  qua_end_t ends[MAX_EVENTS]; /* in the order of their times */
  unsigned count;
  unsigned counted;       /* of these, such as follow one another */
  cfd_time_t answered_at; /* CFD_TIME_NEVER: not known */
  cfd_time_t updated_at;
} qua_record_t;

typedef struct
{
  qua_event_t event;
  uint64_t number;
  cfd_time_t added_at;
} qua_update_t;

struct qua
{
  GHashTable *records; /* request to qua_record_t */
  list_node_t order;   /* the same, the one updated longest ago first */
  GArray *updates;     /* qua_update_t, the oldest first */
  uint64_t last_number;
  unsigned epoch;
};

static void
record_free (void *data)
{
  qua_record_t *record = data;

  list_remove (&record->node);
  g_free (record);
}

qua_t *
qua_new (void)
{
  qua_t *qua = g_new0 (qua_t, 1);

  qua->records
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, record_free);
  list_init (&qua->order);
  qua->updates = g_array_new (FALSE, FALSE, sizeof (qua_update_t));
  return qua;
}

void
qua_free (qua_t *qua)
{
  if (qua == NULL)
    return;
  g_hash_table_unref (qua->records);
  g_array_unref (qua->updates);
  g_free (qua);
}

static cfd_time_t
get_last_at (const qua_record_t *record)
{
  return record->count > 0 ? record->ends[record->count - 1].at : 0;
}

/* Returns for how long a request is quarantined after its last end.  */
static int64_t
compute_length_ms (const qua_record_t *record)
{
  if (record->counted < QUA_MAX_ENDS)
    return 0;
  return MIN ((int64_t)QUA_MIN_MS << (record->counted - QUA_MAX_ENDS),
              QUA_MAX_MS);
}

static bool
is_active (const qua_record_t *record, cfd_time_t now)
{
  return now < get_last_at (record) + compute_length_ms (record);
}

/* The record outlasts the quarantine, so that a further end prolongs it.  */
static bool
is_expired (const qua_record_t *record, cfd_time_t now)
{
  return now > MAX (get_last_at (record), record->updated_at)
                   + compute_length_ms (record) + QUA_MIN_MS;
}

uint64_t
qua_make_key (uint64_t hash, bool may_coincide)
{
  return (hash & KEY_MASK) | (may_coincide ? COINCIDENCE_BIT : 0);
}

static void
count_ends (qua_record_t *record)
{
  bool may_coincide = (record->request & COINCIDENCE_BIT) != 0;
  cfd_time_t last_at = 0;

  record->counted = 0;
  for (unsigned i = 0; i < record->count; i++)
    {
      const qua_end_t *end = &record->ends[i];

      if (may_coincide && record->counted > 0
          && end->sent_at + ORDER_SLACK_MS < last_at)
        continue;
      record->counted++;
      last_at = end->at;
    }
}

static bool
has_end (const qua_record_t *record, uint64_t endpoint)
{
  for (unsigned i = 0; i < record->count; i++)
    if (record->ends[i].endpoint == endpoint)
      return true;
  return false;
}

static void
remove_ends (qua_record_t *record, unsigned count)
{
  for (unsigned i = count; i < record->count; i++)
    record->ends[i - count] = record->ends[i];
  record->count -= count;
}

static void
insert_end (qua_record_t *record, const qua_event_t *event)
{
  unsigned i;

  if (record->count == MAX_EVENTS)
    remove_ends (record, 1);
  for (i = record->count; i > 0 && record->ends[i - 1].at > event->at; i--)
    record->ends[i] = record->ends[i - 1];
  record->ends[i] = (qua_end_t){ .endpoint = event->endpoint,
                                 .sent_at = event->sent_at,
                                 .at = event->at };
  record->count++;
}

static qua_record_t *
find_evictable (const qua_t *qua, cfd_time_t now)
{
  list_for_each (node, &qua->order)
    {
      qua_record_t *record = list_entry (node, qua_record_t, node);

      if (!is_active (record, now))
        return record;
    }
  return list_entry (qua->order.next, qua_record_t, node);
}

static qua_record_t *
add_record (qua_t *qua, cfd_time_t now, uint64_t request)
{
  qua_record_t *record = g_new0 (qua_record_t, 1);

  if (g_hash_table_size (qua->records) >= MAX_RECORDS)
    g_hash_table_remove (qua->records, &find_evictable (qua, now)->request);
  record->request = request;
  record->answered_at = CFD_TIME_NEVER;
  list_init (&record->node);
  list_append (&qua->order, &record->node);
  g_hash_table_insert (qua->records, &record->request, record);
  return record;
}

static void
touch (qua_t *qua, qua_record_t *record, cfd_time_t now)
{
  record->updated_at = now;
  list_remove (&record->node);
  list_append (&qua->order, &record->node);
}

/* Returns whether the answer is new.  */
static bool
apply_answer (qua_t *qua, cfd_time_t now, const qua_event_t *event)
{
  qua_record_t *record = g_hash_table_lookup (qua->records, &event->request);
  unsigned before = 0;

  if (record == NULL
      || (record->answered_at != CFD_TIME_NEVER
          && event->at <= record->answered_at))
    return false;
  record->answered_at = event->at;
  while (before < record->count && record->ends[before].at <= event->at)
    before++;
  remove_ends (record, before);
  count_ends (record);
  touch (qua, record, now);
  return true;
}

/* Returns whether the end is new.  */
static bool
apply_end (qua_t *qua, cfd_time_t now, const qua_event_t *event)
{
  qua_record_t *record = g_hash_table_lookup (qua->records, &event->request);
  bool was_active;

  if (record == NULL)
    record = add_record (qua, now, event->request);
  if (has_end (record, event->endpoint)
      || (record->answered_at != CFD_TIME_NEVER
          && event->at <= record->answered_at))
    return false;
  was_active = is_active (record, now);
  insert_end (record, event);
  count_ends (record);
  touch (qua, record, now);
  qua->epoch += !was_active && is_active (record, now);
  return true;
}

/* Returns whether the event was not known.  */
static bool
apply (qua_t *qua, cfd_time_t now, const qua_event_t *event)
{
  return event->endpoint == 0 ? apply_answer (qua, now, event)
                              : apply_end (qua, now, event);
}

bool
qua_add (qua_t *qua, cfd_time_t now, const qua_event_t *event)
{
  qua_update_t update = { .event = *event, .added_at = now };
  unsigned epoch = qua->epoch;

  if (!apply (qua, now, event))
    return false;
  update.number = ++qua->last_number;
  if (qua->updates->len >= MAX_UPDATES)
    g_array_remove_index (qua->updates, 0);
  g_array_append_val (qua->updates, update);
  return qua->epoch != epoch;
}

bool
qua_add_peer (qua_t *qua, cfd_time_t now, const qua_event_t *event)
{
  unsigned epoch = qua->epoch;

  apply (qua, now, event);
  return qua->epoch != epoch;
}

qua_state_t
qua_find (const qua_t *qua, cfd_time_t now, uint64_t request)
{
  const qua_record_t *record = g_hash_table_lookup (qua->records, &request);
  qua_state_t state = { 0 };

  if (record == NULL)
    return state;
  state.ends = record->counted;
  state.last_at = get_last_at (record);
  state.is_active = is_active (record, now);
  state.left_ms = MAX (state.last_at + compute_length_ms (record) - now, 0);
  return state;
}

unsigned
qua_get_epoch (const qua_t *qua)
{
  return qua->epoch;
}

unsigned
qua_count (const qua_t *qua)
{
  return g_hash_table_size (qua->records);
}

unsigned
qua_count_active (const qua_t *qua, cfd_time_t now)
{
  unsigned count = 0;

  list_for_each (node, &qua->order)
    {
      count += is_active (list_entry (node, qua_record_t, node), now);
    }
  return count;
}

static void
drop_old_updates (qua_t *qua, cfd_time_t now)
{
  guint old = 0;

  while (old < qua->updates->len
         && now - g_array_index (qua->updates, qua_update_t, old).added_at
                > UPDATE_KEEP_MS)
    old++;
  if (old > 0)
    g_array_remove_range (qua->updates, 0, old);
}

static void
collect_record (const qua_record_t *record, GArray *out)
{
  for (unsigned i = 0; i < record->count; i++)
    {
      qua_event_t event = { .request = record->request,
                            .endpoint = record->ends[i].endpoint,
                            .sent_at = record->ends[i].sent_at,
                            .at = record->ends[i].at };

      g_array_append_val (out, event);
    }
}

/* Appends the requests that another end would quarantine, the newest first. */
static void
collect_unsettled (const qua_t *qua, GArray *out)
{
  guint limit = out->len + QUA_MAX_UNSETTLED;

  for (const list_node_t *node = qua->order.prev;
       node != &qua->order && out->len + MAX_EVENTS <= limit;
       node = node->prev)
    {
      const qua_record_t *record = list_entry (node, qua_record_t, node);

      if (record->counted + 1 >= QUA_MAX_ENDS)
        collect_record (record, out);
    }
}

GArray *
qua_collect (qua_t *qua, cfd_time_t now, uint64_t *last,
             cfd_time_t resent_since, bool with_unsettled)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (qua_event_t));

  drop_old_updates (qua, now);
  for (guint i = 0; i < qua->updates->len; i++)
    {
      const qua_update_t *update
          = &g_array_index (qua->updates, qua_update_t, i);

      if (update->number <= *last && update->added_at < resent_since)
        continue;
      g_array_append_val (out, update->event);
      *last = MAX (*last, update->number);
    }
  if (with_unsettled)
    collect_unsettled (qua, out);
  return out;
}

void
qua_sweep (qua_t *qua, cfd_time_t now)
{
  list_for_each_safe (node, &qua->order)
    {
      qua_record_t *record = list_entry (node, qua_record_t, node);

      if (is_expired (record, now))
        g_hash_table_remove (qua->records, &record->request);
    }
}
