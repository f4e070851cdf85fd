#include "once/sweep.h"

#include "base/log.h"
#include "once/keeper.h"
#include "once/once-job.h"

#include <string.h>

#define PART "once"
#define NAME "cursor"
#define SCHEMA 1
/* Of claims with their answers, up to 64 KiB each.  */
#define PAGE_CLAIMS 50
/* The ages are written, and a pass begins, so many times in a claim's time. */
#define BEATS_KEPT 64
#define RESTS_KEPT 16
#define PASSES_KEPT 4
#define BEAT_MOST_MS 60000u
#define REST_MOST_MS 300000u
#define LEAST_MS 50u

/* A claim whose time is over.  */
typedef struct
{
  char *name;
  char *version;
  JsonObject *spec; /* to be written; NULL: delete */
} due_t;

struct sweep
{
  plat_t *plat;
  sweep_options_t setup;
  keeper_t *keeper;
  ev_timer timer;
  char *cursor_version; /* of the newest read; NULL: it is not there */
  char *after;
  GQueue due;    /* of due_t, of the page that this router took */
  GQueue listed; /* the same, of a page that it has not taken yet */
  sweep_counters_t counters;
};

static void
due_free (gpointer pointer)
{
  due_t *due = pointer;

  g_free (due->name);
  g_free (due->version);
  g_clear_pointer (&due->spec, json_object_unref);
  g_free (due);
}

/* ---- pace ---- */

static void
run_after (sweep_t *sweep, unsigned least_ms)
{
  struct ev_loop *loop = plat_loop (sweep->plat);
  gint32 most_ms = (gint32)(least_ms + least_ms / 4 + 1);
  int wait_ms = g_random_int_range ((gint32)least_ms, most_ms + 1);

  ev_now_update (loop);
  ev_timer_set (&sweep->timer, wait_ms / 1000.0, 0.0);
  ev_timer_start (loop, &sweep->timer);
}

/* Between two calls: the fleet's routers share its rate.  */
static unsigned
gap_ms (const sweep_t *sweep)
{
  unsigned routers = sweep->setup.count_routers (sweep->setup.user);

  return MAX (1u, MAX (routers, 1u) * 1000u / sweep->setup.max_calls_per_s);
}

static unsigned
part_of_kept (const sweep_t *sweep, unsigned parts, unsigned most_ms)
{
  int64_t part_ms = (int64_t)sweep->setup.retention_s * 1000 / parts;

  return (unsigned)CLAMP (part_ms, LEAST_MS, most_ms);
}

static void
rest (sweep_t *sweep)
{
  unsigned rest_ms = part_of_kept (sweep, RESTS_KEPT, REST_MOST_MS);

  run_after (sweep, MAX (rest_ms, gap_ms (sweep)));
}

static void
go_on (sweep_t *sweep)
{
  run_after (sweep, gap_ms (sweep));
}

/* Counts the end of a call.  */
static bool
is_answered (sweep_t *sweep, plat_status_t status)
{
  if (status != PLAT_DOWN && status != PLAT_UNKNOWN && status != PLAT_BAD)
    return true;
  sweep->counters.failed++;
  return false;
}

/* ---- a claim whose time is over ---- */

static void
on_removed (void *user, plat_status_t status, JsonObject *answer)
{
  sweep_t *sweep = user;
  due_t *due = g_queue_pop_head (&sweep->due);

  g_clear_pointer (&answer, json_object_unref);
  (void)is_answered (sweep, status);
  if (status == PLAT_OK && due->spec == NULL)
    sweep->counters.removed++;
  else if (status == PLAT_OK)
    sweep->counters.marked_unknown++;
  else if (status == PLAT_CONFLICT || status == PLAT_NOT_FOUND)
    sweep->counters.skipped_changed++;
  due_free (due);
  go_on (sweep);
}

static void
remove_next (sweep_t *sweep)
{
  const due_t *due = g_queue_peek_head (&sweep->due);

  sweep->counters.calls++;
  if (due->spec != NULL)
    plat_put (sweep->plat, ONCE_KIND, due->name, due->version, due->spec,
              on_removed, sweep);
  else
    plat_delete (sweep->plat, ONCE_KIND, due->name, due->version, on_removed,
                 sweep);
}

/* ---- a page ---- */

/* The claim as unknown; its other members stay, those of newer programs
   too.  */
static JsonObject *
settled_spec (JsonObject *spec)
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
kept_ms (const sweep_t *sweep, JsonObject *spec)
{
  gint64 told_s = json_object_get_int_member_with_default (
      spec, "kept_s", sweep->setup.retention_s);

  return MAX (told_s, (gint64)sweep->setup.retention_s) * 1000;
}

static void
judge (sweep_t *sweep, JsonObject *object)
{
  JsonObject *spec = once_spec (object);
  const char *name = once_text (object, "name");
  uint64_t revision = (uint64_t)json_object_get_int_member_with_default (
      object, "revision", 0);
  bool is_running;
  due_t *due;

  if (spec == NULL || revision == 0
      || marks_age (keeper_marks (sweep->keeper), revision)
             < kept_ms (sweep, spec))
    return;
  is_running = strcmp (once_text (spec, "state"), ONCE_STATE_RUNNING) == 0;
  if (is_running && sweep->setup.is_claim_running (sweep->setup.user, name))
    return;
  due = g_new0 (due_t, 1);
  due->name = g_strdup (name);
  due->version = g_strdup (once_text (object, "version"));
  due->spec = is_running ? settled_spec (spec) : NULL;
  g_queue_push_tail (&sweep->listed, due);
}

/* The cursor was moved on, or not: then the page is another's.  */
static void
on_moved (void *user, plat_status_t status, JsonObject *answer)
{
  sweep_t *sweep = user;

  g_clear_pointer (&answer, json_object_unref);
  if (!is_answered (sweep, status) || status != PLAT_OK)
    {
      g_queue_clear_full (&sweep->listed, due_free);
      go_on (sweep);
      return;
    }
  sweep->due = sweep->listed;
  g_queue_init (&sweep->listed);
  go_on (sweep);
}

static void
move_cursor (sweep_t *sweep, const char *next)
{
  JsonObject *spec = json_object_new ();

  json_object_set_int_member (spec, "schema", SCHEMA);
  json_object_set_string_member (spec, "after", next);
  sweep->counters.calls++;
  plat_put (sweep->plat, KEEPER_KIND, NAME, sweep->cursor_version, spec,
            on_moved, sweep);
  json_object_unref (spec);
}

static void
on_page (void *user, plat_status_t status, JsonObject *answer)
{
  sweep_t *sweep = user;
  JsonNode *node;
  JsonArray *objects;

  if (!is_answered (sweep, status) || status != PLAT_OK)
    {
      g_clear_pointer (&answer, json_object_unref);
      rest (sweep);
      return;
    }
  node = json_object_get_member (answer, "objects");
  objects = node != NULL && JSON_NODE_HOLDS_ARRAY (node)
                ? json_node_get_array (node)
                : NULL;
  for (guint i = 0; objects != NULL && i < json_array_get_length (objects);
       i++)
    if (JSON_NODE_HOLDS_OBJECT (json_array_get_element (objects, i)))
      judge (sweep, json_array_get_object_element (objects, i));
  move_cursor (sweep, once_text (answer, "next"));
  json_object_unref (answer);
}

/* ---- a turn ---- */

/* Whether a pass is under way, or the last is long enough ago.  */
static bool
is_time (const sweep_t *sweep, JsonObject *cursor)
{
  const marks_t *marks = keeper_marks (sweep->keeper);
  int64_t kept = (int64_t)sweep->setup.retention_s * 1000;
  uint64_t revision;

  /* Nothing can be so old yet.  */
  if (marks_oldest (marks) < kept)
    return false;
  if (cursor == NULL || sweep->after[0] != '\0')
    return true;
  revision = (uint64_t)json_object_get_int_member_with_default (cursor,
                                                                "revision", 0);
  return marks_age (marks, revision) >= kept / PASSES_KEPT;
}

static void
take_cursor (sweep_t *sweep, JsonObject *cursor)
{
  JsonObject *spec = cursor == NULL ? NULL : once_spec (cursor);

  g_free (sweep->cursor_version);
  g_free (sweep->after);
  sweep->cursor_version
      = cursor == NULL ? NULL : g_strdup (once_text (cursor, "version"));
  sweep->after = g_strdup (spec == NULL ? "" : once_text (spec, "after"));
}

static void
on_cursor (void *user, plat_status_t status, JsonObject *answer)
{
  sweep_t *sweep = user;
  bool is_known = is_answered (sweep, status);

  if (is_known && (status == PLAT_OK || status == PLAT_NOT_FOUND))
    {
      take_cursor (sweep, answer);
      if (is_time (sweep, answer))
        {
          sweep->counters.calls++;
          plat_page (sweep->plat, ONCE_KIND, sweep->after, PAGE_CLAIMS,
                     on_page, sweep);
          g_clear_pointer (&answer, json_object_unref);
          return;
        }
    }
  g_clear_pointer (&answer, json_object_unref);
  rest (sweep);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  sweep_t *sweep = timer->data;

  if (!g_queue_is_empty (&sweep->due))
    {
      remove_next (sweep);
      return;
    }
  sweep->counters.calls++;
  plat_get (sweep->plat, KEEPER_KIND, NAME, on_cursor, sweep);
}

/* ---- life ---- */

sweep_t *
sweep_new (plat_t *plat, const sweep_options_t *setup)
{
  sweep_t *sweep = g_new0 (sweep_t, 1);

  sweep->plat = plat;
  sweep->setup = *setup;
  g_queue_init (&sweep->due);
  g_queue_init (&sweep->listed);
  sweep->keeper
      = keeper_new (plat, part_of_kept (sweep, BEATS_KEPT, BEAT_MOST_MS),
                    part_of_kept (sweep, RESTS_KEPT, REST_MOST_MS),
                    setup->is_age_writer, setup->user);
  ev_init (&sweep->timer, on_timer);
  sweep->timer.data = sweep;
  rest (sweep);
  return sweep;
}

void
sweep_free (sweep_t *sweep)
{
  if (sweep == NULL)
    return;
  ev_timer_stop (plat_loop (sweep->plat), &sweep->timer);
  plat_cancel (sweep->plat, sweep);
  keeper_free (sweep->keeper);
  g_queue_clear_full (&sweep->due, due_free);
  g_queue_clear_full (&sweep->listed, due_free);
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
  counters.calls += keeper_calls (sweep->keeper);
  return counters;
}
