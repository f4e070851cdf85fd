/* Prompt parts: ends and answers by part, and what follows from them.  */

#include "relay/prt.h"

#include "base/list.h"
#include <string.h>
#include <xxhash.h>

/* 40 bits keep datagrams short; among some thousand parts collisions are
   unlikely.  */
#define KEY_MASK UINT64_C (0xffffffffff)
/* An answer shows for this time that a part is sound, unless ends follow.  */
#define ANSWER_KEEP_MS 60000
/* Lifetime of ends without a verdict: rare prompts take long to show a cause.
 */
#define END_KEEP_MS 300000
/* Time in which a trial has its outcome.  */
#define TRIAL_MS 10000
/* Share of a quarantine over which the routers' trials are spread.  */
#define TRIAL_SPREAD 0.25
/* Ends of one part that are remembered, and the last ones of all.  */
#define MAX_ENDS 16u
/* Limits the memory: some 700 and 100 bytes each.  */
#define MAX_RECORDS 4096u
#define MAX_ANSWERED 16384u
/* For the other routers, a quarter of a datagram.  */
#define MAX_UPDATES 768u
/* Lifetime of updates: longer than the intervals at which they are sent.  */
#define UPDATE_KEEP_MS 4000

typedef struct
{
  uint64_t endpoint;
  uint64_t request;
  cfd_time_t at;
  bool counts;
} prt_end_t;

/* A part that ends count against.  */
typedef struct
{
  list_node_t node;
  uint64_t part;
  prt_end_t ends[MAX_ENDS]; /* in the order of their times */
  unsigned count;
  unsigned counted;
  cfd_time_t answered_at; /* CFD_TIME_NEVER: not lately */
  cfd_time_t trial_at;    /* CFD_TIME_NEVER: none */
  cfd_time_t updated_at;
  bool is_active; /* quarantined, and not answered since */
  list_node_t active_node;
} prt_record_t;

/* A part that was answered lately.  */
typedef struct
{
  list_node_t node;
  uint64_t part;
  cfd_time_t at;
} prt_answered_t;

typedef struct
{
  prt_event_t event;
  uint64_t number;
  cfd_time_t added_at;
} prt_update_t;

struct prt
{
  uint64_t router;
  GHashTable *records;  /* part to prt_record_t */
  list_node_t order;    /* the same, the one updated longest ago first */
  GHashTable *answered; /* part to prt_answered_t */
  list_node_t answered_order;
  GArray *updates; /* prt_update_t, the oldest first */
  uint64_t last_number;
  GArray *unexplained;  /* prt_end_t, the last ends without a known cause */
  list_node_t active;   /* prt_record_t */
  cfd_time_t decide_at; /* when a verdict may be due; CFD_TIME_NEVER: none */
  unsigned epoch;
};

static void
record_free (void *data)
{
  prt_record_t *record = data;

  list_remove (&record->node);
  list_remove (&record->active_node);
  g_free (record);
}

static void
answered_free (void *data)
{
  prt_answered_t *answered = data;

  list_remove (&answered->node);
  g_free (answered);
}

prt_t *
prt_new (const char *router)
{
  prt_t *prt = g_new0 (prt_t, 1);

  prt->router = XXH3_64bits (router, strlen (router));
  prt->records
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, record_free);
  list_init (&prt->order);
  list_init (&prt->active);
  prt->decide_at = CFD_TIME_NEVER;
  prt->answered = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                         answered_free);
  list_init (&prt->answered_order);
  prt->updates = g_array_new (FALSE, FALSE, sizeof (prt_update_t));
  prt->unexplained = g_array_new (FALSE, FALSE, sizeof (prt_end_t));
  return prt;
}

void
prt_free (prt_t *prt)
{
  if (prt == NULL)
    return;
  g_hash_table_unref (prt->records);
  g_hash_table_unref (prt->answered);
  g_array_unref (prt->updates);
  g_array_unref (prt->unexplained);
  g_free (prt);
}

/* ---- prompts ---- */

GArray *
prt_parse (const char *service, const char *prompt)
{
  uint64_t seed = XXH3_64bits (service, strlen (service));
  g_auto (GStrv) items = g_strsplit (prompt, ",", -1);
  GArray *keys = NULL;

  for (char **item = items; item[0] != NULL && item[1] != NULL; item++)
    {
      char *id = g_strstrip (*item);
      size_t length = strcspn (id, ":");
      uint64_t key;

      if (length == 0)
        continue;
      for (size_t i = 0; i < length; i++)
        id[i] = g_ascii_tolower (id[i]);
      key = XXH3_64bits_withSeed (id, length, seed) & KEY_MASK;
      if (keys == NULL)
        keys = g_array_new (FALSE, FALSE, sizeof key);
      g_array_append_val (keys, key);
    }
  return keys;
}

/* ---- ends that count ---- */

static bool
has_counted_request (const prt_record_t *record, unsigned count,
                     uint64_t request)
{
  for (unsigned i = 0; i < count; i++)
    if (record->ends[i].counts && record->ends[i].request == request)
      return true;
  return false;
}

static void
count_ends (prt_record_t *record)
{
  cfd_time_t last_at = 0;

  record->counted = 0;
  for (unsigned i = 0; i < record->count; i++)
    {
      prt_end_t *end = &record->ends[i];

      end->counts
          = (record->counted == 0 || end->at - last_at >= PRT_MOMENT_MS)
            && !has_counted_request (record, i, end->request);
      if (!end->counts)
        continue;
      record->counted++;
      last_at = end->at;
    }
}

static bool
has_end (const prt_record_t *record, uint64_t endpoint)
{
  for (unsigned i = 0; i < record->count; i++)
    if (record->ends[i].endpoint == endpoint)
      return true;
  return false;
}

static void
remove_end (prt_record_t *record, unsigned index)
{
  for (unsigned i = index + 1; i < record->count; i++)
    record->ends[i - 1] = record->ends[i];
  record->count--;
}

/* Frees the slot of one end, if possible of one that doesn't count.  */
static void
drop_end (prt_record_t *record)
{
  for (unsigned i = 0; i < record->count; i++)
    if (!record->ends[i].counts)
      {
        remove_end (record, i);
        return;
      }
  remove_end (record, 0);
}

static void
insert_end (prt_record_t *record, const prt_event_t *event)
{
  unsigned i;

  if (record->count == MAX_ENDS)
    drop_end (record);
  for (i = record->count; i > 0 && record->ends[i - 1].at > event->at; i--)
    record->ends[i] = record->ends[i - 1];
  record->ends[i] = (prt_end_t){ .endpoint = event->endpoint,
                                 .request = event->request,
                                 .at = event->at };
  record->count++;
  count_ends (record);
}

static cfd_time_t
get_last_at (const prt_record_t *record)
{
  return record->count > 0 ? record->ends[record->count - 1].at : 0;
}

/* Returns when the end number COUNTED, from 1, was.  */
static cfd_time_t
get_counted_at (const prt_record_t *record, unsigned counted)
{
  for (unsigned i = 0; i < record->count; i++)
    if (record->ends[i].counts && --counted == 0)
      return record->ends[i].at;
  return CFD_TIME_NEVER;
}

/* ---- records ---- */

static prt_record_t *
find_evictable (const prt_t *prt)
{
  list_for_each (node, &prt->order)
    {
      prt_record_t *record = list_entry (node, prt_record_t, node);

      if (!record->is_active)
        return record;
    }
  return list_entry (prt->order.next, prt_record_t, node);
}

static prt_record_t *
add_record (prt_t *prt, cfd_time_t now, uint64_t part)
{
  const prt_answered_t *answered = g_hash_table_lookup (prt->answered, &part);
  prt_record_t *record = g_new0 (prt_record_t, 1);

  if (g_hash_table_size (prt->records) >= MAX_RECORDS)
    g_hash_table_remove (prt->records, &find_evictable (prt)->part);
  record->part = part;
  record->answered_at = CFD_TIME_NEVER;
  record->trial_at = CFD_TIME_NEVER;
  if (answered != NULL && now - answered->at <= ANSWER_KEEP_MS)
    record->answered_at = answered->at;
  list_init (&record->node);
  list_init (&record->active_node);
  list_append (&prt->order, &record->node);
  g_hash_table_insert (prt->records, &record->part, record);
  return record;
}

static void
touch (prt_t *prt, prt_record_t *record, cfd_time_t now)
{
  record->updated_at = now;
  list_remove (&record->node);
  list_append (&prt->order, &record->node);
}

/* Records that the endpoint of EVENT ended.  Returns the time that was
   recorded first: overloaded routers notice the end later than others.  */
static cfd_time_t
note_unexplained (prt_t *prt, const prt_event_t *event)
{
  prt_end_t end = { .endpoint = event->endpoint, .at = event->at };

  for (guint i = 0; i < prt->unexplained->len; i++)
    {
      const prt_end_t *known = &g_array_index (prt->unexplained, prt_end_t, i);

      if (known->endpoint == event->endpoint)
        return known->at;
    }
  if (prt->unexplained->len == MAX_ENDS)
    g_array_remove_index (prt->unexplained, 0);
  g_array_append_val (prt->unexplained, end);
  return event->at;
}

/* Returns whether a quarantined part accounts for the end of ENDPOINT.  */
static bool
is_explained (const prt_t *prt, uint64_t endpoint)
{
  list_for_each (node, &prt->active)
    {
      if (has_end (list_entry (node, prt_record_t, active_node), endpoint))
        return true;
    }
  return false;
}

/* Removes from all other parts the ends that CAUSE, which is quarantined,
   accounts for.  */
static void
explain_ends (prt_t *prt, const prt_record_t *cause)
{
  for (guint i = prt->unexplained->len; i-- > 0;)
    if (has_end (cause,
                 g_array_index (prt->unexplained, prt_end_t, i).endpoint))
      g_array_remove_index (prt->unexplained, i);
  list_for_each (node, &prt->order)
    {
      prt_record_t *record = list_entry (node, prt_record_t, node);

      if (record->is_active)
        continue;
      for (unsigned i = record->count; i-- > 0;)
        if (has_end (cause, record->ends[i].endpoint))
          remove_end (record, i);
      count_ends (record);
    }
}

/* Returns whether the end is new.  */
static bool
apply_end (prt_t *prt, cfd_time_t now, const prt_event_t *event)
{
  prt_record_t *record = g_hash_table_lookup (prt->records, &event->part);
  prt_event_t dated = *event;

  if ((record == NULL || !record->is_active)
      && is_explained (prt, event->endpoint))
    return false;
  if (record == NULL)
    record = add_record (prt, now, event->part);
  if (has_end (record, event->endpoint)
      || (record->answered_at != CFD_TIME_NEVER
          && event->at <= record->answered_at))
    return false;
  dated.at = note_unexplained (prt, event);
  insert_end (record, &dated);
  record->trial_at = CFD_TIME_NEVER;
  touch (prt, record, now);
  prt->decide_at = now;
  if (record->is_active)
    explain_ends (prt, record);
  return true;
}

/* Returns whether the answer is new.  */
static bool
apply_answer (prt_t *prt, cfd_time_t now, const prt_event_t *event)
{
  prt_record_t *record = g_hash_table_lookup (prt->records, &event->part);

  if (record == NULL
      || (record->answered_at != CFD_TIME_NEVER
          && event->at <= record->answered_at))
    return false;
  record->answered_at = event->at;
  while (record->count > 0 && record->ends[0].at <= event->at)
    remove_end (record, 0);
  count_ends (record);
  record->trial_at = CFD_TIME_NEVER;
  if (record->is_active && record->count == 0)
    {
      record->is_active = false;
      list_remove (&record->active_node);
    }
  touch (prt, record, now);
  return true;
}

static bool
apply_trial (prt_t *prt, const prt_event_t *event)
{
  prt_record_t *record = g_hash_table_lookup (prt->records, &event->part);

  if (record == NULL || !record->is_active
      || (record->trial_at != CFD_TIME_NEVER && event->at <= record->trial_at))
    return false;
  record->trial_at = event->at;
  return true;
}

/* Returns whether the event was not known.  */
static bool
apply (prt_t *prt, cfd_time_t now, const prt_event_t *event)
{
  switch (event->kind)
    {
    case PRT_END:
      return apply_end (prt, now, event);
    case PRT_ANSWER:
      return apply_answer (prt, now, event);
    case PRT_TRIAL:
      return apply_trial (prt, event);
    case PRT_KINDS:
      break;
    }
  return false;
}

static void
publish (prt_t *prt, cfd_time_t now, const prt_event_t *event)
{
  prt_update_t update
      = { .event = *event, .number = ++prt->last_number, .added_at = now };

  if (prt->updates->len >= MAX_UPDATES)
    g_array_remove_index (prt->updates, 0);
  g_array_append_val (prt->updates, update);
}

static void
remember_answer (prt_t *prt, cfd_time_t at, uint64_t part)
{
  prt_answered_t *answered = g_hash_table_lookup (prt->answered, &part);

  if (answered == NULL)
    {
      if (g_hash_table_size (prt->answered) >= MAX_ANSWERED)
        g_hash_table_remove (
            prt->answered,
            &list_entry (prt->answered_order.next, prt_answered_t, node)
                 ->part);
      answered = g_new0 (prt_answered_t, 1);
      answered->part = part;
      list_init (&answered->node);
      g_hash_table_insert (prt->answered, &answered->part, answered);
    }
  answered->at = at;
  list_remove (&answered->node);
  list_append (&prt->answered_order, &answered->node);
}

/* Publishes that a part which ends count against was answered lately: this
   router may be the only one to have seen it.  */
static void
publish_remembered (prt_t *prt, cfd_time_t now, uint64_t part)
{
  const prt_answered_t *answered = g_hash_table_lookup (prt->answered, &part);

  if (answered != NULL && now - answered->at <= ANSWER_KEEP_MS)
    publish (prt, now,
             &(prt_event_t){
                 .kind = PRT_ANSWER, .part = part, .at = answered->at });
}

void
prt_add (prt_t *prt, cfd_time_t now, const prt_event_t *event)
{
  bool is_known = g_hash_table_contains (prt->records, &event->part);

  if (event->kind == PRT_ANSWER)
    remember_answer (prt, event->at, event->part);
  if (!apply (prt, now, event))
    return;
  publish (prt, now, event);
  if (event->kind == PRT_END && !is_known)
    publish_remembered (prt, now, event->part);
}

void
prt_add_peer (prt_t *prt, cfd_time_t now, const prt_event_t *event)
{
  bool is_known = g_hash_table_contains (prt->records, &event->part);

  if (apply (prt, now, event) && event->kind == PRT_END && !is_known)
    publish_remembered (prt, now, event->part);
}

/* ---- verdicts ---- */

/* Returns how long after its last end the quarantine lasts.  */
static int64_t
compute_length_ms (const prt_record_t *record)
{
  bool was_answered = record->answered_at != CFD_TIME_NEVER;
  unsigned needed = was_answered ? PRT_MAX_ENDS_ANSWERED : PRT_MAX_ENDS;
  unsigned further = record->counted > needed ? record->counted - needed : 0;
  int64_t length_ms = was_answered ? PRT_MIN_ANSWERED_MS : PRT_MIN_MS;

  return MIN (length_ms << further, PRT_MAX_MS);
}

/* Returns when this router may send a trial.  The routers' times differ, so
   that one of them learns the outcome of another's.  */
static cfd_time_t
compute_trial_time (const prt_t *prt, const prt_record_t *record)
{
  int64_t length_ms = compute_length_ms (record);
  uint64_t hash
      = XXH3_64bits_withSeed (&record->part, sizeof record->part, prt->router);
  double spread = (double)(hash >> 11) / (double)(UINT64_C (1) << 53);

  return get_last_at (record) + length_ms
         + (int64_t)((double)length_ms * TRIAL_SPREAD * spread);
}

static void
copy_endpoints (const prt_record_t *record, prt_state_t *state)
{
  unsigned copied = 0;

  for (unsigned i = record->count;
       i-- > 0 && copied < G_N_ELEMENTS (state->endpoints);)
    if (record->ends[i].counts)
      state->endpoints[copied++] = record->ends[i].endpoint;
}

prt_state_t
prt_find (const prt_t *prt, cfd_time_t now, uint64_t part)
{
  const prt_record_t *record = g_hash_table_lookup (prt->records, &part);
  prt_state_t state = { .verdict = PRT_FREE };
  cfd_time_t trial_time;

  if (record == NULL)
    return state;
  state.ends = record->counted;
  state.last_at = get_last_at (record);
  copy_endpoints (record, &state);
  if (!record->is_active)
    return state;
  trial_time = compute_trial_time (prt, record);
  if (record->trial_at != CFD_TIME_NEVER)
    trial_time = MAX (trial_time, record->trial_at + TRIAL_MS);
  state.left_ms = MAX (trial_time - now, 0);
  state.verdict = now < trial_time ? PRT_QUARANTINED : PRT_ON_TRIAL;
  return state;
}

/* Returns whether the part was near two thirds of the ends since its first. */
static bool
is_in_most_ends (const prt_t *prt, const prt_record_t *record)
{
  cfd_time_t since = get_counted_at (record, 1);
  unsigned all = 0;
  unsigned own = 0;

  for (guint i = 0; i < prt->unexplained->len; i++)
    {
      const prt_end_t *end = &g_array_index (prt->unexplained, prt_end_t, i);

      if (end->at < since)
        continue;
      all++;
      own += has_end (record, end->endpoint);
    }
  return own * 3 >= all * 2;
}

/* Returns whether enough ends count against the part, if no other one has as
   many.  */
static bool
is_suspect (const prt_t *prt, const prt_record_t *record)
{
  if (record->is_active || record->counted < PRT_MAX_ENDS)
    return false;
  if (record->answered_at == CFD_TIME_NEVER)
    return true;
  return record->counted >= PRT_MAX_ENDS_ANSWERED
         && is_in_most_ends (prt, record);
}

/* The same whatever counts against others.  */
static bool
is_convicted (const prt_t *prt, const prt_record_t *record, cfd_time_t now)
{
  return is_suspect (prt, record) && record->counted >= PRT_MAX_ENDS_IN_DOUBT
         && now - get_counted_at (record, PRT_MAX_ENDS_IN_DOUBT)
                >= PRT_DOUBT_MS;
}

/* Returns whether OTHER has all ends of RECORD.  */
static bool
has_all_ends (const prt_record_t *other, const prt_record_t *record)
{
  for (unsigned i = 0; i < record->count; i++)
    if (record->ends[i].counts && !has_end (other, record->ends[i].endpoint))
      return false;
  return true;
}

/* Returns whether another part may as well be the cause of RECORD's ends.  */
static bool
has_rival (const prt_t *prt, const prt_record_t *record)
{
  list_for_each (node, &prt->order)
    {
      const prt_record_t *other = list_entry (node, prt_record_t, node);

      if (other != record && is_suspect (prt, other)
          && has_all_ends (other, record))
        return true;
    }
  return false;
}

/* Returns a part that is quarantined since no other one can be the cause of as
   many ends; NULL when there is none.  */
static prt_record_t *
find_cause (const prt_t *prt)
{
  list_for_each (node, &prt->order)
    {
      prt_record_t *record = list_entry (node, prt_record_t, node);

      if (is_suspect (prt, record) && !has_rival (prt, record))
        return record;
    }
  return NULL;
}

typedef struct
{
  void (*callback) (void *user, uint64_t part, const prt_state_t *state);
  void *user;
} prt_listener_t;

static void
quarantine (prt_t *prt, cfd_time_t now, prt_record_t *record,
            const prt_listener_t *listener)
{
  prt_state_t state;

  record->is_active = true;
  list_append (&prt->active, &record->active_node);
  prt->epoch++;
  state = prt_find (prt, now, record->part);
  listener->callback (listener->user, record->part, &state);
}

/* Quarantines all parts in doubt for which the time is over.  Those that share
   their ends can't be told apart.  */
static void
quarantine_convicted (prt_t *prt, cfd_time_t now,
                      const prt_listener_t *listener)
{
  unsigned before = prt->epoch;

  list_for_each (node, &prt->order)
    {
      prt_record_t *record = list_entry (node, prt_record_t, node);

      if (is_convicted (prt, record, now))
        quarantine (prt, now, record, listener);
    }
  if (prt->epoch == before)
    return;
  list_for_each (node, &prt->active)
    {
      explain_ends (prt, list_entry (node, prt_record_t, active_node));
    }
}

/* Returns when a part in doubt may be convicted without further ends.  */
static cfd_time_t
find_next_decision (const prt_t *prt)
{
  cfd_time_t next = CFD_TIME_NEVER;

  list_for_each (node, &prt->order)
    {
      const prt_record_t *record = list_entry (node, prt_record_t, node);

      if (!record->is_active && record->counted >= PRT_MAX_ENDS_IN_DOUBT)
        next = MIN (next, get_counted_at (record, PRT_MAX_ENDS_IN_DOUBT)
                              + PRT_DOUBT_MS);
    }
  return next;
}

void
prt_decide (prt_t *prt, cfd_time_t now,
            void (*quarantined) (void *user, uint64_t part,
                                 const prt_state_t *state),
            void *user)
{
  const prt_listener_t listener = { quarantined, user };
  prt_record_t *cause;

  if (now < prt->decide_at)
    return;
  while ((cause = find_cause (prt)) != NULL)
    {
      quarantine (prt, now, cause, &listener);
      explain_ends (prt, cause);
    }
  quarantine_convicted (prt, now, &listener);
  prt->decide_at = find_next_decision (prt);
}

unsigned
prt_get_epoch (const prt_t *prt)
{
  return prt->epoch;
}

unsigned
prt_count (const prt_t *prt)
{
  return g_hash_table_size (prt->records);
}

unsigned
prt_count_active (const prt_t *prt)
{
  unsigned count = 0;

  list_for_each (node, &prt->active)
    {
      count++;
    }
  return count;
}

bool
prt_has_active (const prt_t *prt)
{
  return !list_is_empty (&prt->active);
}

/* ---- exchange ---- */

static void
drop_old_updates (prt_t *prt, cfd_time_t now)
{
  guint old = 0;

  while (old < prt->updates->len
         && now - g_array_index (prt->updates, prt_update_t, old).added_at
                > UPDATE_KEEP_MS)
    old++;
  if (old > 0)
    g_array_remove_range (prt->updates, 0, old);
}

static void
append_event (GArray *out, const prt_event_t *event)
{
  g_array_append_val (out, *event);
}

static void
collect_record (const prt_record_t *record, GArray *out)
{
  if (record->answered_at != CFD_TIME_NEVER)
    append_event (out, &(prt_event_t){ .kind = PRT_ANSWER,
                                       .part = record->part,
                                       .at = record->answered_at });
  for (unsigned i = 0; i < record->count; i++)
    append_event (out, &(prt_event_t){ .kind = PRT_END,
                                       .part = record->part,
                                       .endpoint = record->ends[i].endpoint,
                                       .request = record->ends[i].request,
                                       .at = record->ends[i].at });
  if (record->trial_at != CFD_TIME_NEVER)
    append_event (out, &(prt_event_t){ .kind = PRT_TRIAL,
                                       .part = record->part,
                                       .at = record->trial_at });
}

/* Appends the parts that are quarantined, then those that another end may
   quarantine, the newest first.  */
static void
collect_unsettled (const prt_t *prt, bool is_active, guint limit, GArray *out)
{
  for (const list_node_t *node = prt->order.prev;
       node != &prt->order && out->len + MAX_ENDS + 2 <= limit;
       node = node->prev)
    {
      const prt_record_t *record = list_entry (node, prt_record_t, node);

      if (record->is_active == is_active
          && (is_active || record->counted + 1 >= PRT_MAX_ENDS))
        collect_record (record, out);
    }
}

GArray *
prt_collect (prt_t *prt, cfd_time_t now, uint64_t *last,
             cfd_time_t resent_since, bool with_unsettled)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (prt_event_t));
  guint limit;

  drop_old_updates (prt, now);
  for (guint i = 0; i < prt->updates->len; i++)
    {
      const prt_update_t *update
          = &g_array_index (prt->updates, prt_update_t, i);

      if (update->number <= *last && update->added_at < resent_since)
        continue;
      append_event (out, &update->event);
      *last = MAX (*last, update->number);
    }
  limit = out->len + PRT_MAX_UNSETTLED;
  if (!with_unsettled)
    return out;
  collect_unsettled (prt, true, limit, out);
  collect_unsettled (prt, false, limit, out);
  return out;
}

static bool
is_expired (const prt_record_t *record, cfd_time_t now)
{
  int64_t keep_ms = END_KEEP_MS;

  /* Two trials that nobody sends.  */
  if (record->is_active)
    keep_ms += 2 * compute_length_ms (record);
  return now - MAX (get_last_at (record), record->updated_at) > keep_ms;
}

void
prt_sweep (prt_t *prt, cfd_time_t now)
{
  list_for_each_safe (node, &prt->order)
    {
      prt_record_t *record = list_entry (node, prt_record_t, node);

      if (is_expired (record, now))
        g_hash_table_remove (prt->records, &record->part);
    }
  list_for_each_safe (node, &prt->answered_order)
    {
      const prt_answered_t *answered = list_entry (node, prt_answered_t, node);

      if (now - answered->at <= ANSWER_KEEP_MS)
        break;
      g_hash_table_remove (prt->answered, &answered->part);
    }
}
