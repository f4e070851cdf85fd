#include "once/sweep.h"

#include "base/log.h"
#include "once/age-sync.h"
#include "once/once-job.h"

#include <string.h>

#define PART "once"
#define CURSOR_NAME "cursor"
#define SCHEMA 1
/* Claims listed in one call; each may hold an answer of up to 64 KiB.  */
#define MAX_PAGE_CLAIMS 50
/* How many times the ages are written, the cursor is read and a pass begins,
   within one retention time.  */
#define AGE_WRITES_PER_RETENTION 64
#define POLLS_PER_RETENTION 16
#define PASSES_PER_RETENTION 4
#define MAX_AGE_WRITE_INTERVAL_MS 60000u
#define MAX_POLL_INTERVAL_MS 300000u
#define MIN_INTERVAL_MS 50u

/* A write that removes an expired claim or marks it unknown.  */
typedef struct
{
  char *name;
  char *version;
  JsonObject *spec; /* new content; NULL: delete the claim */
} removal_t;

struct sweep
{
  plat_t *plat;
  sweep_options_t options;
  age_sync_t *sync;
  ev_timer timer;
  char *cursor_version; /* as last read; NULL: the object does not exist */
  char *after;
  GQueue removals; /* of removal_t; of the page reserved for this router */
  GQueue page_removals; /* of removal_t; of a listed page not yet reserved */
  sweep_counters_t counters;
};

static void
removal_free (gpointer pointer)
{
  removal_t *removal = pointer;

  g_free (removal->name);
  g_free (removal->version);
  g_clear_pointer (&removal->spec, json_object_unref);
  g_free (removal);
}

/* ---- timing ---- */

static void
schedule_after (sweep_t *sweep, unsigned min_ms)
{
  struct ev_loop *loop = plat_get_loop (sweep->plat);
  gint32 max_ms = (gint32)(min_ms + min_ms / 4 + 1);
  int wait_ms = g_random_int_range ((gint32)min_ms, max_ms + 1);

  ev_now_update (loop);
  ev_timer_set (&sweep->timer, wait_ms / 1000.0, 0.0);
  ev_timer_start (loop, &sweep->timer);
}

/* Minimum time between two calls; the routers of the fleet share the rate.  */
static unsigned
call_interval_ms (const sweep_t *sweep)
{
  unsigned routers = sweep->options.count_routers (sweep->options.user);

  return MAX (1u, MAX (routers, 1u) * 1000u / sweep->options.max_calls_per_s);
}

static unsigned
divide_retention (const sweep_t *sweep, unsigned parts, unsigned max_ms)
{
  int64_t part_ms = (int64_t)sweep->options.retention_s * 1000 / parts;

  return (unsigned)CLAMP (part_ms, MIN_INTERVAL_MS, max_ms);
}

static void
schedule_poll (sweep_t *sweep)
{
  unsigned poll_ms
      = divide_retention (sweep, POLLS_PER_RETENTION, MAX_POLL_INTERVAL_MS);

  schedule_after (sweep, MAX (poll_ms, call_interval_ms (sweep)));
}

static void
schedule_next_call (sweep_t *sweep)
{
  schedule_after (sweep, call_interval_ms (sweep));
}

/* Counts a failed call; returns whether the platform gave a definite
   answer.  */
static bool
record_status (sweep_t *sweep, plat_status_t status)
{
  if (status != PLAT_UNAVAILABLE && status != PLAT_OUTCOME_UNKNOWN
      && status != PLAT_INVALID_RESPONSE)
    return true;
  sweep->counters.failed++;
  return false;
}

/* ---- removal ---- */

static void
on_removed (void *user, plat_status_t status, JsonObject *answer)
{
  sweep_t *sweep = user;
  removal_t *removal = g_queue_pop_head (&sweep->removals);

  g_clear_pointer (&answer, json_object_unref);
  (void)record_status (sweep, status);
  if (status == PLAT_OK && removal->spec == NULL)
    sweep->counters.removed++;
  else if (status == PLAT_OK)
    sweep->counters.marked_unknown++;
  else if (status == PLAT_CONFLICT || status == PLAT_NOT_FOUND)
    sweep->counters.skipped_changed++;
  removal_free (removal);
  schedule_next_call (sweep);
}

static void
remove_next (sweep_t *sweep)
{
  const removal_t *removal = g_queue_peek_head (&sweep->removals);

  sweep->counters.calls++;
  if (removal->spec != NULL)
    plat_put (sweep->plat, ONCE_KIND, removal->name, removal->version,
              removal->spec, on_removed, sweep);
  else
    plat_delete (sweep->plat, ONCE_KIND, removal->name, removal->version,
                 on_removed, sweep);
}

/* ---- page of claims ---- */

/* A copy of SPEC with the state unknown.  It keeps all other members,
   including those written by newer versions of the program.  */
static JsonObject *
make_unknown_spec (JsonObject *spec)
{
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  g_autoptr (JsonNode) copy = NULL;
  g_autofree char *text = NULL;
  JsonObject *marked_unknown;

  json_node_set_object (node, spec);
  text = json_to_string (node, FALSE);
  copy = json_from_string (text, NULL);
  marked_unknown = json_node_dup_object (copy);
  json_object_set_string_member (marked_unknown, "state", ONCE_STATE_UNKNOWN);
  return marked_unknown;
}

static int64_t
claim_retention_ms (const sweep_t *sweep, JsonObject *spec)
{
  gint64 promised_s = json_object_get_int_member_with_default (
      spec, "kept_s", sweep->options.retention_s);

  return MAX (promised_s, (gint64)sweep->options.retention_s) * 1000;
}

static void
queue_if_expired (sweep_t *sweep, JsonObject *object)
{
  JsonObject *spec = once_get_spec (object);
  const char *name = once_get_text (object, "name");
  uint64_t revision = (uint64_t)json_object_get_int_member_with_default (
      object, "revision", 0);
  bool is_running;
  removal_t *removal;

  if (spec == NULL || revision == 0
      || write_ages_get_age_ms (age_sync_get_ages (sweep->sync), revision)
             < claim_retention_ms (sweep, spec))
    return;
  is_running = strcmp (once_get_text (spec, "state"), ONCE_STATE_RUNNING) == 0;
  if (is_running
      && sweep->options.is_claim_running (sweep->options.user, name))
    return;
  removal = g_new0 (removal_t, 1);
  removal->name = g_strdup (name);
  removal->version = g_strdup (once_get_text (object, "version"));
  removal->spec = is_running ? make_unknown_spec (spec) : NULL;
  g_queue_push_tail (&sweep->page_removals, removal);
}

/* If the cursor could not be advanced, the page belongs to another router and
   its removals are dropped.  */
static void
on_cursor_moved (void *user, plat_status_t status, JsonObject *answer)
{
  sweep_t *sweep = user;

  g_clear_pointer (&answer, json_object_unref);
  if (!record_status (sweep, status) || status != PLAT_OK)
    {
      g_queue_clear_full (&sweep->page_removals, removal_free);
      schedule_next_call (sweep);
      return;
    }
  sweep->removals = sweep->page_removals;
  g_queue_init (&sweep->page_removals);
  schedule_next_call (sweep);
}

static void
move_cursor (sweep_t *sweep, const char *next)
{
  JsonObject *spec = json_object_new ();

  json_object_set_int_member (spec, "schema", SCHEMA);
  json_object_set_string_member (spec, "after", next);
  sweep->counters.calls++;
  plat_put (sweep->plat, CLAIM_SWEEP_KIND, CURSOR_NAME, sweep->cursor_version,
            spec, on_cursor_moved, sweep);
  json_object_unref (spec);
}

static void
on_page (void *user, plat_status_t status, JsonObject *answer)
{
  sweep_t *sweep = user;
  JsonNode *node;
  JsonArray *objects;

  if (!record_status (sweep, status) || status != PLAT_OK)
    {
      g_clear_pointer (&answer, json_object_unref);
      schedule_poll (sweep);
      return;
    }
  node = json_object_get_member (answer, "objects");
  objects = node != NULL && JSON_NODE_HOLDS_ARRAY (node)
                ? json_node_get_array (node)
                : NULL;
  for (guint i = 0; objects != NULL && i < json_array_get_length (objects);
       i++)
    if (JSON_NODE_HOLDS_OBJECT (json_array_get_element (objects, i)))
      queue_if_expired (sweep, json_array_get_object_element (objects, i));
  move_cursor (sweep, once_get_text (answer, "next"));
  json_object_unref (answer);
}

/* ---- cursor ---- */

/* Whether a pass is under way, or the last one ended long enough ago.  */
static bool
is_pass_due (const sweep_t *sweep, JsonObject *cursor)
{
  const write_ages_t *ages = age_sync_get_ages (sweep->sync);
  int64_t retention_ms = (int64_t)sweep->options.retention_s * 1000;
  uint64_t revision;

  /* No claim can be old enough yet.  */
  if (write_ages_get_oldest_ms (ages) < retention_ms)
    return false;
  if (cursor == NULL || sweep->after[0] != '\0')
    return true;
  revision = (uint64_t)json_object_get_int_member_with_default (cursor,
                                                                "revision", 0);
  return write_ages_get_age_ms (ages, revision)
         >= retention_ms / PASSES_PER_RETENTION;
}

static void
accept_cursor (sweep_t *sweep, JsonObject *cursor)
{
  JsonObject *spec = cursor == NULL ? NULL : once_get_spec (cursor);

  g_free (sweep->cursor_version);
  g_free (sweep->after);
  sweep->cursor_version
      = cursor == NULL ? NULL : g_strdup (once_get_text (cursor, "version"));
  sweep->after = g_strdup (spec == NULL ? "" : once_get_text (spec, "after"));
}

static void
on_cursor (void *user, plat_status_t status, JsonObject *answer)
{
  sweep_t *sweep = user;
  bool is_known = record_status (sweep, status);

  if (is_known && (status == PLAT_OK || status == PLAT_NOT_FOUND))
    {
      accept_cursor (sweep, answer);
      if (is_pass_due (sweep, answer))
        {
          sweep->counters.calls++;
          plat_list_limited (sweep->plat, ONCE_KIND, sweep->after,
                             MAX_PAGE_CLAIMS, on_page, sweep);
          g_clear_pointer (&answer, json_object_unref);
          return;
        }
    }
  g_clear_pointer (&answer, json_object_unref);
  schedule_poll (sweep);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  sweep_t *sweep = timer->data;

  if (!g_queue_is_empty (&sweep->removals))
    {
      remove_next (sweep);
      return;
    }
  sweep->counters.calls++;
  plat_get (sweep->plat, CLAIM_SWEEP_KIND, CURSOR_NAME, on_cursor, sweep);
}

/* ---- construction ---- */

sweep_t *
sweep_new (plat_t *plat, const sweep_options_t *options)
{
  sweep_t *sweep = g_new0 (sweep_t, 1);

  sweep->plat = plat;
  sweep->options = *options;
  g_queue_init (&sweep->removals);
  g_queue_init (&sweep->page_removals);
  sweep->sync = age_sync_new (
      plat,
      divide_retention (sweep, AGE_WRITES_PER_RETENTION,
                        MAX_AGE_WRITE_INTERVAL_MS),
      divide_retention (sweep, POLLS_PER_RETENTION, MAX_POLL_INTERVAL_MS),
      options->is_age_writer, options->user);
  ev_init (&sweep->timer, on_timer);
  sweep->timer.data = sweep;
  schedule_poll (sweep);
  return sweep;
}

void
sweep_free (sweep_t *sweep)
{
  if (sweep == NULL)
    return;
  ev_timer_stop (plat_get_loop (sweep->plat), &sweep->timer);
  plat_cancel (sweep->plat, sweep);
  age_sync_free (sweep->sync);
  g_queue_clear_full (&sweep->removals, removal_free);
  g_queue_clear_full (&sweep->page_removals, removal_free);
  g_free (sweep->cursor_version);
  g_free (sweep->after);
  g_free (sweep);
}

sweep_counters_t
sweep_get_counters (const sweep_t *sweep)
{
  sweep_counters_t counters = { 0 };

  if (sweep == NULL)
    return counters;
  counters = sweep->counters;
  counters.calls += age_sync_get_calls (sweep->sync);
  return counters;
}
