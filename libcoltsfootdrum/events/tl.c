#include "events/tl.h"

#include "base/log.h"
#include <json-glib/json-glib.h>
#include <string.h>

/* Events told in the log when an invariant breaks.  */
#define TOLD_AT_VIOLATION 20

typedef struct
{
  uint64_t sequence;
  uint64_t stamp;
  int64_t wall_ms;
  tl_kind_t kind;
  char *account;
  char *zone;
  char *endpoint;
  char *request;
  char *detail;
} tl_event_t;

struct tl_ring
{
  char *instance;
  hlc_t clock;
  uint64_t next; /* sequence of the next event, from 1 */
  unsigned capacity;
  tl_event_t events[];
};

static const char *const kind_names[TL_KIND_COUNT] = {
  [TL_START] = "start",
  [TL_STOP] = "stop",
  [TL_CONFIG] = "config",
  [TL_PEER_UP] = "peer-up",
  [TL_PEER_DOWN] = "peer-down",
  [TL_ADMIT] = "admit",
  [TL_REFUSE] = "refuse",
  [TL_GRANT] = "grant",
  [TL_ASSIGN] = "assign",
  [TL_RUN] = "run",
  [TL_NOT_STARTED] = "not-started",
  [TL_RESUME] = "resume",
  [TL_RETRY] = "retry",
  [TL_END] = "end",
  [TL_LIMIT] = "limit",
  [TL_EJECT] = "eject",
  [TL_ZONE] = "zone",
  [TL_CLAIM] = "claim",
  [TL_INVARIANT] = "invariant",
};

const char *
tl_kind_name (tl_kind_t kind)
{
  return kind < TL_KIND_COUNT ? kind_names[kind] : "?";
}

static void
event_clear (tl_event_t *event)
{
  g_free (event->account);
  g_free (event->zone);
  g_free (event->endpoint);
  g_free (event->request);
  g_free (event->detail);
  memset (event, 0, sizeof *event);
}

static uint64_t
first_kept (const tl_ring_t *ring)
{
  return ring->next > ring->capacity ? ring->next - ring->capacity : 1;
}

static const tl_event_t *
event_at (const tl_ring_t *ring, uint64_t sequence)
{
  return &ring->events[sequence % ring->capacity];
}

static void
tell_violation (void *user, const char *invariant, const char *detail)
{
  tl_ring_t *ring = user;
  uint64_t from = first_kept (ring);

  if (ring->next > from + TOLD_AT_VIOLATION)
    from = ring->next - TOLD_AT_VIOLATION;
  for (uint64_t i = from; i < ring->next; i++)
    {
      const tl_event_t *event = event_at (ring, i);

      log_error ("timeline",
                 "Before it: sequence=%" G_GUINT64_FORMAT
                 " kind=%s account=%s endpoint=%s request=%s detail=%s.",
                 event->sequence, tl_kind_name (event->kind),
                 event->account ? event->account : "",
                 event->endpoint ? event->endpoint : "",
                 event->request ? event->request : "",
                 event->detail ? event->detail : "");
    }
  tl_add (ring, TL_INVARIANT, NULL, NULL, NULL, NULL, invariant);
}

tl_ring_t *
tl_ring_new (const char *instance, unsigned capacity)
{
  tl_ring_t *ring;

  g_assert (capacity > 0);
  ring = g_malloc0 (sizeof *ring + capacity * sizeof ring->events[0]);
  ring->instance = g_strdup (instance);
  ring->capacity = capacity;
  ring->next = 1;
  invariant_set_hook (tell_violation, ring);
  return ring;
}

void
tl_ring_free (tl_ring_t *ring)
{
  if (ring == NULL)
    return;
  if (invariant_get_hook_user () == ring)
    invariant_set_hook (NULL, NULL);
  for (unsigned i = 0; i < ring->capacity; i++)
    event_clear (&ring->events[i]);
  g_free (ring->instance);
  g_free (ring);
}

hlc_t *
tl_ring_get_clock (tl_ring_t *ring)
{
  return &ring->clock;
}

static const char *
or_empty (const char *text)
{
  return text != NULL ? text : "";
}

void
tl_add (tl_ring_t *ring, tl_kind_t kind, const char *account, const char *zone,
        const char *endpoint, const char *request, const char *detail)
{
  tl_event_t *event = &ring->events[ring->next % ring->capacity];

  event_clear (event);
  event->sequence = ring->next++;
  event->wall_ms = clock_wall_ms ();
  event->stamp = hlc_tick (&ring->clock, event->wall_ms);
  event->kind = kind;
  event->account = g_strdup (account);
  event->zone = g_strdup (zone);
  event->endpoint = g_strdup (endpoint);
  event->request = g_strdup (request);
  event->detail = g_strdup (detail);
  log_debug ("timeline",
             "Event: kind=%s account=%s zone=%s endpoint=%s request=%s "
             "detail=%s.",
             tl_kind_name (kind), or_empty (account), or_empty (zone),
             or_empty (endpoint), or_empty (request), or_empty (detail));
}

static void
add_text (JsonBuilder *builder, const char *name, const char *text)
{
  g_autofree char *valid = NULL;

  if (text == NULL)
    return;
  valid = g_utf8_make_valid (text, -1);
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, valid);
}

static void
add_number (JsonBuilder *builder, const char *name, int64_t value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, value);
}

static void
add_event (JsonBuilder *builder, const tl_ring_t *ring,
           const tl_event_t *event)
{
  json_builder_begin_object (builder);
  add_number (builder, "sequence", (int64_t)event->sequence);
  add_number (builder, "stamp", (int64_t)event->stamp);
  add_number (builder, "wall_ms", event->wall_ms);
  add_text (builder, "instance", ring->instance);
  add_text (builder, "kind", tl_kind_name (event->kind));
  add_text (builder, "account", event->account);
  add_text (builder, "zone", event->zone);
  add_text (builder, "endpoint", event->endpoint);
  add_text (builder, "request", event->request);
  add_text (builder, "detail", event->detail);
  json_builder_end_object (builder);
}

bool
tl_matches_request (const char *request, const char *wanted)
{
  size_t length = strlen (wanted);

  return strncmp (request, wanted, length) == 0
         && (request[length] == '\0' || request[length] == '-');
}

static bool
passes (const tl_event_t *event, const tl_filter_t *filter)
{
  if (filter == NULL)
    return true;
  if (filter->account != NULL
      && g_strcmp0 (event->account, filter->account) != 0)
    return false;
  return filter->request == NULL
         || (event->request != NULL
             && tl_matches_request (event->request, filter->request));
}

char *
tl_to_json (const tl_ring_t *ring, uint64_t since, const tl_filter_t *filter)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  uint64_t from = MAX (first_kept (ring), MIN (since, ring->next) + 1);

  json_builder_begin_array (builder);
  for (uint64_t i = from; i < ring->next; i++)
    if (passes (event_at (ring, i), filter))
      add_event (builder, ring, event_at (ring, i));
  json_builder_end_array (builder);
  root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}
