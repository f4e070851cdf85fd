/* Origins: the streams that began lately, and the versions in service.  */

#include "relay/org.h"

#include "base/list.h"
#include "relay/jrn.h"
#include <string.h>
#include <xxhash.h>

/* Limits the memory: some 100 bytes each.  */
#define MAX_STREAMS 40000
/* Versions of one service that are remembered, for reports of others.  */
#define MAX_VERSIONS 64
/* Updates kept for the other routers, less than fill a datagram.  */
#define MAX_UPDATES 2048
/* Streams younger than this part of the time for which they may be resumed are
   published when a second version appears, or a route gets a second service.
 */
#define PUBLISHED_AGE_DIVISOR 2
/* 40 bits keep datagrams short; among some ten thousand streams collisions
   are unlikely.  */
#define KEY_MASK UINT64_C (0xffffffffff)

typedef struct
{
  list_node_t node;
  uint64_t key;
  org_origin_t origin;
  bool is_own;
  bool is_stored;  /* in the journal: an own record, or written here */
  bool is_awaited; /* its router is to be told so */
  cfd_time_t at;
} org_stream_t;

typedef struct
{
  org_origin_t origin;
  char *name; /* NULL: only reported by other routers */
  bool is_listed;
  bool is_registered;
  bool was_registered;    /* before org_begin_register */
  bool is_dropped;        /* from the register, and not listed since then */
  cfd_time_t retired_at;  /* unless it is listed */
  bool has_seen_it_leave; /* this router's list had it before */
  cfd_time_t seen_leaving_at;
} org_version_t;

typedef struct
{
  char *name;       /* NULL: not known */
  GArray *versions; /* org_version_t */
  bool was_mixed;
} org_service_t;

struct org
{
  int64_t keep_ms;     /* see org_extend_keep_ms */
  GHashTable *streams; /* key to org_stream_t */
  list_node_t order;   /* the same, the earliest record first */
  GArray *updates;     /* org_update_t, the oldest first */
  uint64_t last_number;
  GArray *awaited; /* org_awaited_t, the earliest first */
  GArray *stored;  /* org_stored_t, the oldest first */
  uint64_t last_stored;
  void (*on_stored) (void *user, cfd_time_t now, uint64_t key);
  void *stored_user;
  GHashTable *services;     /* hash of the name to org_service_t */
  cfd_time_t several_until; /* see org_set_several_until */
  bool knows_versions;
  bool knows_register;
  jrn_t *jrn; /* not owned; may be NULL */
  bool is_loading;
};

static uint64_t
hash_service (const char *service)
{
  return XXH3_64bits (service, strlen (service)) & KEY_MASK;
}

org_origin_t
org_hash (const char *service, const char *version)
{
  const char *text = version != NULL ? version : "";
  uint64_t hash
      = XXH3_64bits_withSeed (text, strlen (text), hash_service (service));

  if ((org_origin_t)hash == ORG_ANY || (org_origin_t)hash == ORG_UNMATCHED)
    return 1u;
  return (org_origin_t)hash;
}

uint64_t
org_stream_key (const char *id)
{
  return XXH3_64bits (id, strlen (id)) & KEY_MASK;
}

org_verdict_t
org_decide (const org_inputs_t *inputs)
{
  if (inputs->origin != ORG_ANY)
    return (org_verdict_t){ ORG_RECORDED, inputs->origin };
  if (inputs->sole != ORG_ANY && inputs->knows_versions)
    return (org_verdict_t){ ORG_SOLE, inputs->sole };
  return (org_verdict_t){ ORG_UNKNOWN, ORG_ANY };
}

static void
stream_free (void *data)
{
  org_stream_t *stream = data;

  list_remove (&stream->node);
  g_free (stream);
}

static void
version_clear (void *data)
{
  g_free (((org_version_t *)data)->name);
}

static void
service_free (void *data)
{
  org_service_t *service = data;

  g_array_unref (service->versions);
  g_free (service->name);
  g_free (service);
}

org_t *
org_new (void)
{
  org_t *org = g_new0 (org_t, 1);

  org->keep_ms = ORG_STREAM_KEEP_MS;
  org->streams
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, stream_free);
  list_init (&org->order);
  org->updates = g_array_new (FALSE, FALSE, sizeof (org_update_t));
  org->awaited = g_array_new (FALSE, FALSE, sizeof (org_awaited_t));
  org->stored = g_array_new (FALSE, FALSE, sizeof (org_stored_t));
  org->services = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                         service_free);
  org->knows_versions = true;
  return org;
}

void
org_free (org_t *org)
{
  if (org == NULL)
    return;
  g_hash_table_unref (org->streams);
  g_array_unref (org->updates);
  g_array_unref (org->awaited);
  g_array_unref (org->stored);
  g_hash_table_unref (org->services);
  g_free (org);
}

static org_service_t *
get_or_add_service (org_t *org, uint64_t hash)
{
  org_service_t *service = g_hash_table_lookup (org->services, &hash);

  if (service != NULL)
    return service;
  service = g_new0 (org_service_t, 1);
  service->versions = g_array_new (FALSE, FALSE, sizeof (org_version_t));
  g_array_set_clear_func (service->versions, version_clear);
  g_hash_table_insert (org->services, g_memdup2 (&hash, sizeof hash), service);
  return service;
}

static org_version_t *
get_or_add_version (org_service_t *service, org_origin_t origin)
{
  org_version_t added = { .origin = origin };

  for (guint i = 0; i < service->versions->len; i++)
    {
      org_version_t *version
          = &g_array_index (service->versions, org_version_t, i);

      if (version->origin == origin)
        return version;
    }
  g_array_append_val (service->versions, added);
  return &g_array_index (service->versions, org_version_t,
                         service->versions->len - 1);
}

/* Returns VERSION of SERVICE with their names.  */
static org_version_t *
get_or_add_named (org_t *org, const char *service, const char *version)
{
  org_service_t *found = get_or_add_service (org, hash_service (service));
  org_version_t *one = get_or_add_version (found, org_hash (service, version));

  if (found->name == NULL)
    found->name = g_strdup (service);
  if (one->name == NULL)
    one->name = g_strdup (version != NULL ? version : "");
  return one;
}

void
org_extend_keep_ms (org_t *org, int64_t keep_ms)
{
  org->keep_ms = MAX (org->keep_ms, keep_ms);
}

int64_t
org_get_keep_ms (const org_t *org)
{
  return org->keep_ms;
}

static bool
left_lately (const org_t *org, const org_version_t *version, cfd_time_t now)
{
  return now - version->retired_at <= org->keep_ms;
}

static bool
counts (const org_t *org, const org_version_t *version, cfd_time_t now)
{
  return version->is_listed || version->is_registered
         || left_lately (org, version, now);
}

static bool
is_mixed (const org_t *org, const org_service_t *service, cfd_time_t now)
{
  unsigned count = 0;

  for (guint i = 0; i < service->versions->len; i++)
    count += counts (org, &g_array_index (service->versions, org_version_t, i),
                     now);
  return count > 1;
}

static void
publish (org_t *org, cfd_time_t now, uint64_t key, org_origin_t origin)
{
  org_update_t update = {
    .key = key, .origin = origin, .number = ++org->last_number, .at = now
  };

  if (org->updates->len >= MAX_UPDATES)
    g_array_remove_index (org->updates, 0);
  g_array_append_val (org->updates, update);
  if (org->jrn != NULL)
    jrn_add (org->jrn, now, key, origin);
}

/* Publishes the streams that began here before a second version appeared, or
   before their route got a second service.  */
static void
publish_recent (org_t *org, cfd_time_t now)
{
  list_for_each (node, &org->order)
    {
      const org_stream_t *stream = list_entry (node, org_stream_t, node);

      if (stream->is_own
          && now - stream->at <= org->keep_ms / PUBLISHED_AGE_DIVISOR)
        publish (org, now, stream->key, stream->origin);
    }
}

void
org_begin_versions (org_t *org)
{
  GHashTableIter each;
  void *data;

  g_hash_table_iter_init (&each, org->services);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      const org_service_t *service = data;

      for (guint i = 0; i < service->versions->len; i++)
        {
          org_version_t *version
              = &g_array_index (service->versions, org_version_t, i);

          if (version->is_listed)
            version->retired_at = CFD_TIME_NEVER;
          version->is_listed = false;
        }
    }
}

void
org_list_version (org_t *org, const char *service, const char *version)
{
  org_version_t *listed = get_or_add_named (org, service, version);

  listed->is_listed = true;
  listed->is_dropped = false;
}

/* Notes which versions the last list had and this one lacks.  */
static void
update_retired (const org_t *org, org_service_t *service, cfd_time_t now)
{
  for (guint i = service->versions->len; i-- > 0;)
    {
      org_version_t *version
          = &g_array_index (service->versions, org_version_t, i);

      if (!version->is_listed && version->retired_at == CFD_TIME_NEVER)
        {
          version->retired_at = now;
          version->has_seen_it_leave = true;
          version->seen_leaving_at = now;
        }
      if (!counts (org, version, now))
        g_array_remove_index_fast (service->versions, i);
    }
}

/* Applies the versions listed or registered last.  */
static void
update_services (org_t *org, cfd_time_t now)
{
  GHashTableIter each;
  void *data;
  bool becomes_mixed = false;

  g_hash_table_iter_init (&each, org->services);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      org_service_t *service = data;
      bool mixed;

      update_retired (org, service, now);
      mixed = is_mixed (org, service, now);
      becomes_mixed |= mixed && !service->was_mixed;
      service->was_mixed = mixed;
    }
  if (becomes_mixed)
    publish_recent (org, now);
}

void
org_end_versions (org_t *org, cfd_time_t now)
{
  update_services (org, now);
}

static void
for_each_version (const org_t *org,
                  void (*each) (org_version_t *version, cfd_time_t now),
                  cfd_time_t now)
{
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, org->services);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const org_service_t *service = data;

      for (guint i = 0; i < service->versions->len; i++)
        each (&g_array_index (service->versions, org_version_t, i), now);
    }
}

static void
begin_registered (org_version_t *version, cfd_time_t now)
{
  version->was_registered = version->is_registered;
  version->is_registered = false;
}

void
org_begin_register (org_t *org)
{
  for_each_version (org, begin_registered, 0);
}

void
org_register_version (org_t *org, const char *service, const char *version)
{
  get_or_add_named (org, service, version)->is_registered = true;
}

static void
end_registered (org_version_t *version, cfd_time_t now)
{
  /* Another router lists it, or it left before this one started.  */
  if (version->is_registered && !version->was_registered
      && !version->is_listed)
    version->retired_at = now;
  if (version->is_registered)
    version->is_dropped = false;
  /* The router that removed it knew that it had left for long enough.  */
  else if (version->was_registered)
    version->is_dropped = !version->is_listed;
}

static void
keep_registered (org_version_t *version, cfd_time_t now)
{
  version->is_registered |= version->was_registered;
}

void
org_end_register (org_t *org, cfd_time_t now, bool is_whole)
{
  if (!is_whole)
    for_each_version (org, keep_registered, now);
  for_each_version (org, end_registered, now);
  org->knows_register = is_whole;
  update_services (org, now);
}

bool
org_knows_register (const org_t *org)
{
  return org->knows_register;
}

static const org_service_t *
find_service (const org_t *org, const char *service)
{
  uint64_t hash = hash_service (service);

  return g_hash_table_lookup (org->services, &hash);
}

bool
org_is_registered (const org_t *org, const char *service, org_origin_t origin)
{
  const org_service_t *found = find_service (org, service);

  for (guint i = 0; found != NULL && i < found->versions->len; i++)
    {
      const org_version_t *version
          = &g_array_index (found->versions, org_version_t, i);

      if (version->origin == origin)
        return version->is_registered;
    }
  return false;
}

/* Returns the number of registered versions of SERVICE; LAST gets one of
   them.  */
static unsigned
count_registered (const org_service_t *service, org_origin_t *last)
{
  unsigned count = 0;

  for (guint i = 0; i < service->versions->len; i++)
    {
      const org_version_t *version
          = &g_array_index (service->versions, org_version_t, i);

      if (!version->is_registered)
        continue;
      count++;
      *last = version->origin;
    }
  return count;
}

unsigned
org_count_registered (const org_t *org, const char *service)
{
  org_origin_t last;
  GHashTableIter iter;
  void *data;
  unsigned count = 0;

  if (service != NULL)
    {
      const org_service_t *found = find_service (org, service);

      return found != NULL ? count_registered (found, &last) : 0;
    }
  g_hash_table_iter_init (&iter, org->services);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    count += count_registered (data, &last);
  return count;
}

org_origin_t
org_get_sole (const org_t *org, const char *service)
{
  const org_service_t *found = find_service (org, service);
  org_origin_t last = ORG_ANY;

  if (!org->knows_register || found == NULL
      || count_registered (found, &last) != 1)
    return ORG_ANY;
  return last;
}

/* Returns whether VERSION ought to be registered.  By an old list a version
   may seem to have left that came back.  */
static bool
is_due (const org_t *org, const org_version_t *version, cfd_time_t now,
        bool is_list_current)
{
  if (version->is_listed || (version->is_registered && !is_list_current))
    return true;
  return version->name != NULL && !version->is_dropped
         && left_lately (org, version, now);
}

bool
org_foreach_due (const org_t *org, cfd_time_t now, bool is_list_current,
                 void (*each) (void *user, const char *service,
                               const char *version),
                 void *user)
{
  GHashTableIter iter;
  void *data;
  bool differs = false;

  g_hash_table_iter_init (&iter, org->services);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const org_service_t *service = data;

      for (guint i = 0; i < service->versions->len; i++)
        {
          const org_version_t *version
              = &g_array_index (service->versions, org_version_t, i);
          bool due = is_due (org, version, now, is_list_current);

          differs |= due != version->is_registered;
          if (due && each != NULL)
            each (user, service->name, version->name);
        }
    }
  return differs;
}

void
org_set_knows_versions (org_t *org, bool knows)
{
  org->knows_versions = knows;
}

bool
org_knows_versions (const org_t *org)
{
  return org->knows_versions;
}

bool
org_is_mixed (const org_t *org, cfd_time_t now, const char *service)
{
  const org_service_t *found = find_service (org, service);

  return found != NULL && is_mixed (org, found, now);
}

void
org_set_several_until (org_t *org, cfd_time_t now, cfd_time_t until,
                       bool is_wider)
{
  org->several_until = until;
  if (is_wider)
    publish_recent (org, now);
}

bool
org_is_any_mixed (const org_t *org, cfd_time_t now)
{
  GHashTableIter each;
  void *service;

  if (now <= org->several_until)
    return true;
  g_hash_table_iter_init (&each, org->services);
  while (g_hash_table_iter_next (&each, NULL, &service))
    if (is_mixed (org, service, now))
      return true;
  return false;
}

void
org_set_journal (org_t *org, jrn_t *jrn)
{
  org->jrn = jrn;
}

bool
org_is_storing (const org_t *org, cfd_time_t now)
{
  return org->jrn != NULL && org_is_any_mixed (org, now);
}

void
org_set_loading (org_t *org, bool is_loading)
{
  org->is_loading = is_loading;
}

bool
org_is_loading (const org_t *org)
{
  return org->is_loading;
}

static org_stream_t *
get_oldest (const org_t *org)
{
  return list_is_empty (&org->order)
             ? NULL
             : list_entry (org->order.next, org_stream_t, node);
}

static void
add_stream (org_t *org, cfd_time_t now, uint64_t key, org_origin_t origin,
            bool is_own)
{
  org_stream_t *stream = g_new0 (org_stream_t, 1);

  if (g_hash_table_size (org->streams) >= MAX_STREAMS)
    g_hash_table_remove (org->streams, &get_oldest (org)->key);
  stream->key = key;
  stream->origin = origin;
  stream->is_own = is_own;
  stream->at = now;
  list_init (&stream->node);
  g_hash_table_replace (org->streams, &stream->key, stream);
  list_append (&org->order, &stream->node);
}

void
org_add (org_t *org, cfd_time_t now, uint64_t key, org_origin_t origin,
         bool published)
{
  add_stream (org, now, key, origin, true);
  if (published)
    publish (org, now, key, origin);
}

/* Returns whether stream KEY of another router is new.  A repeated record is
   as old as the first one, and this router's own record stays.  */
static bool
add_peer_stream (org_t *org, cfd_time_t now, uint64_t key, org_origin_t origin)
{
  const org_stream_t *known = g_hash_table_lookup (org->streams, &key);

  if (origin == ORG_ANY
      || (known != NULL && (known->is_own || known->origin == origin)))
    return false;
  add_stream (org, now, key, origin, false);
  return true;
}

void
org_add_peer (org_t *org, cfd_time_t now, uint64_t key, org_origin_t origin)
{
  add_peer_stream (org, now, key, origin);
}

void
org_add_near (org_t *org, cfd_time_t now, uint64_t key, org_origin_t origin)
{
  if (add_peer_stream (org, now, key, origin) && org->jrn != NULL)
    jrn_add (org->jrn, now, key, origin);
}

org_record_t
org_find (const org_t *org, cfd_time_t now, uint64_t key)
{
  const org_stream_t *stream = g_hash_table_lookup (org->streams, &key);
  org_record_t record = { .origin = ORG_ANY };

  if (stream == NULL || now - stream->at > org->keep_ms)
    return record;
  return (org_record_t){ .origin = stream->origin,
                         .is_own = stream->is_own,
                         .age_ms = now - stream->at,
                         .is_stored = stream->is_stored };
}

void
org_await (org_t *org, cfd_time_t now, uint64_t key, org_origin_t origin)
{
  org_awaited_t awaited = { .key = key, .origin = origin, .at = now };

  if (org->awaited->len >= MAX_UPDATES)
    g_array_remove_index (org->awaited, 0);
  g_array_append_val (org->awaited, awaited);
}

static void
remove_awaited (org_t *org, uint64_t key)
{
  for (guint i = 0; i < org->awaited->len; i++)
    if (g_array_index (org->awaited, org_awaited_t, i).key == key)
      {
        g_array_remove_index (org->awaited, i);
        return;
      }
}

const GArray *
org_get_awaited (org_t *org, cfd_time_t now)
{
  guint old = 0;

  while (old < org->awaited->len
         && now - g_array_index (org->awaited, org_awaited_t, old).at
                > ORG_AWAIT_MS)
    old++;
  if (old > 0)
    g_array_remove_range (org->awaited, 0, old);
  return org->awaited;
}

void
org_note_stored (org_t *org, cfd_time_t now, uint64_t key)
{
  org_stream_t *stream = g_hash_table_lookup (org->streams, &key);

  if (stream == NULL || !stream->is_own || stream->is_stored)
    return;
  stream->is_stored = true;
  remove_awaited (org, key);
  if (org->on_stored != NULL)
    org->on_stored (org->stored_user, now, key);
}

static void
report_stored (org_t *org, cfd_time_t now, uint64_t key)
{
  org_stored_t stored
      = { .key = key, .number = ++org->last_stored, .at = now };

  if (org->stored->len >= MAX_UPDATES)
    g_array_remove_index (org->stored, 0);
  g_array_append_val (org->stored, stored);
}

void
org_add_stored (org_t *org, cfd_time_t now, uint64_t key)
{
  org_stream_t *stream = g_hash_table_lookup (org->streams, &key);

  if (stream == NULL)
    return;
  if (stream->is_own)
    {
      org_note_stored (org, now, key);
      return;
    }
  stream->is_stored = true;
  if (stream->is_awaited)
    report_stored (org, now, key);
}

void
org_add_near_awaited (org_t *org, cfd_time_t now, uint64_t key,
                      org_origin_t origin)
{
  org_stream_t *stream;

  org_add_near (org, now, key, origin);
  stream = g_hash_table_lookup (org->streams, &key);
  if (stream == NULL || stream->is_own)
    return;
  stream->is_awaited = true;
  if (stream->is_stored)
    report_stored (org, now, key);
}

void
org_set_stored_callback (org_t *org,
                         void (*callback) (void *user, cfd_time_t now,
                                           uint64_t key),
                         void *user)
{
  org->on_stored = callback;
  org->stored_user = user;
}

const GArray *
org_get_stored (org_t *org, cfd_time_t now)
{
  guint old = 0;

  while (old < org->stored->len
         && now - g_array_index (org->stored, org_stored_t, old).at
                > ORG_UPDATE_KEEP_MS)
    old++;
  if (old > 0)
    g_array_remove_range (org->stored, 0, old);
  return org->stored;
}

uint64_t
org_get_last_stored (const org_t *org)
{
  return org->last_stored;
}

const GArray *
org_updates (org_t *org, cfd_time_t now)
{
  guint old = 0;

  while (old < org->updates->len
         && now - g_array_index (org->updates, org_update_t, old).at
                > ORG_UPDATE_KEEP_MS)
    old++;
  if (old > 0)
    g_array_remove_range (org->updates, 0, old);
  return org->updates;
}

void
org_foreach_retired (const org_t *org, cfd_time_t now,
                     void (*each) (void *user, const org_retired_t *retired),
                     void *user)
{
  GHashTableIter iter;
  void *key;
  void *data;

  g_hash_table_iter_init (&iter, org->services);
  while (g_hash_table_iter_next (&iter, &key, &data))
    {
      const org_service_t *service = data;

      for (guint i = 0; i < service->versions->len; i++)
        {
          const org_version_t *version
              = &g_array_index (service->versions, org_version_t, i);
          org_retired_t retired
              = { .service = *(const uint64_t *)key,
                  .origin = version->origin,
                  .retired_ms = now - version->seen_leaving_at };

          if (!version->is_listed && version->has_seen_it_leave
              && retired.retired_ms <= org->keep_ms)
            each (user, &retired);
        }
    }
}

void
org_add_retired (org_t *org, cfd_time_t now, const org_retired_t *retired)
{
  org_service_t *service;
  org_version_t *version;

  if (retired->retired_ms > org->keep_ms)
    return;
  service = g_hash_table_lookup (org->services, &retired->service);
  if (service == NULL || service->versions->len >= MAX_VERSIONS)
    return;
  version = get_or_add_version (service, retired->origin);
  if (!version->is_listed)
    version->retired_at = MAX (version->retired_at, now - retired->retired_ms);
}

void
org_sweep (org_t *org, cfd_time_t now)
{
  const org_stream_t *stream = get_oldest (org);

  while (stream != NULL && now - stream->at > org->keep_ms)
    {
      g_hash_table_remove (org->streams, &stream->key);
      stream = get_oldest (org);
    }
}

unsigned
org_count_streams (const org_t *org)
{
  return g_hash_table_size (org->streams);
}
