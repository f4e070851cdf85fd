#include "once/keeper.h"

#include "base/log.h"
#include "once/once-job.h"

#define PART "once"
#define NAME "ages"

struct keeper
{
  plat_t *plat;
  unsigned beat_ms;
  unsigned read_ms;
  bool (*is_writer) (void *user);
  void *user;
  ev_timer timer;
  marks_t *marks;
  char *version; /* of the state that MARKS are of; NULL: read it first */
  uint64_t revision;
  cfd_time_t since; /* that state is surely in force since then */
  bool is_foreign;  /* of a schema that this program does not know */
  uint64_t calls;
};

static void
run_after (keeper_t *keeper, unsigned least_ms)
{
  struct ev_loop *loop = plat_get_loop (keeper->plat);
  gint32 most_ms = (gint32)(least_ms + least_ms / 4 + 1);
  int wait_ms = g_random_int_range ((gint32)least_ms, most_ms + 1);

  ev_now_update (loop);
  ev_timer_set (&keeper->timer, wait_ms / 1000.0, 0.0);
  ev_timer_start (loop, &keeper->timer);
}

static void
run_later (keeper_t *keeper)
{
  bool is_writer = keeper->is_writer (keeper->user);

  run_after (keeper, is_writer ? keeper->beat_ms : keeper->read_ms);
}

/* Takes OBJECT, in force at NOW, for the state to go on from.  */
static void
take (keeper_t *keeper, JsonObject *object, cfd_time_t now)
{
  JsonObject *spec = once_spec (object);
  marks_t *marks = spec == NULL ? NULL : marks_parse (spec);

  g_clear_pointer (&keeper->version, g_free);
  if (marks == NULL)
    {
      if (!keeper->is_foreign)
        log_warn (PART, "The ages of claims can't be read, so claims stay; "
                        "upgrade, or delete " KEEPER_KIND " " NAME ".");
      keeper->is_foreign = true;
      return;
    }
  keeper->is_foreign = false;
  marks_free (keeper->marks);
  keeper->marks = marks;
  keeper->version = g_strdup (once_text (object, "version"));
  keeper->revision = (uint64_t)json_object_get_int_member_with_default (
      object, "revision", 0);
  keeper->since = now;
}

/* A write or its answer: whose state is in force is known again only when it
   was ours.  */
static void
on_written (void *user, plat_status_t status, JsonObject *answer)
{
  keeper_t *keeper = user;

  if (status == PLAT_OK)
    take (keeper, answer, clock_now ());
  else
    g_clear_pointer (&keeper->version, g_free);
  g_clear_pointer (&answer, json_object_unref);
  run_later (keeper);
}

static void
write_spec (keeper_t *keeper, const marks_t *marks)
{
  JsonObject *spec = marks_spec (marks);

  keeper->calls++;
  plat_put (keeper->plat, KEEPER_KIND, NAME, keeper->version, spec, on_written,
            keeper);
  json_object_unref (spec);
}

static void
on_read (void *user, plat_status_t status, JsonObject *answer)
{
  keeper_t *keeper = user;
  bool is_missing = status == PLAT_NOT_FOUND;

  if (status == PLAT_OK)
    take (keeper, answer, clock_now ());
  g_clear_pointer (&answer, json_object_unref);
  if (is_missing && keeper->is_writer (keeper->user))
    {
      g_autoptr (marks_t) none = marks_new ();

      write_spec (keeper, none);
      return;
    }
  run_later (keeper);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  keeper_t *keeper = timer->data;
  JsonObject *spec;
  g_autoptr (marks_t) grown = NULL;

  if (keeper->version == NULL || !keeper->is_writer (keeper->user))
    {
      keeper->calls++;
      plat_get (keeper->plat, KEEPER_KIND, NAME, on_read, keeper);
      return;
    }
  spec = marks_spec (keeper->marks);
  grown = marks_parse (spec);
  json_object_unref (spec);
  marks_grow (grown, keeper->revision, clock_now () - keeper->since);
  write_spec (keeper, grown);
}

keeper_t *
keeper_new (plat_t *plat, unsigned beat_ms, unsigned read_ms,
            bool (*is_writer) (void *user), void *user)
{
  keeper_t *keeper = g_new0 (keeper_t, 1);

  keeper->plat = plat;
  keeper->beat_ms = beat_ms;
  keeper->read_ms = read_ms;
  keeper->is_writer = is_writer;
  keeper->user = user;
  keeper->marks = marks_new ();
  ev_init (&keeper->timer, on_timer);
  keeper->timer.data = keeper;
  run_after (keeper, beat_ms);
  return keeper;
}

void
keeper_free (keeper_t *keeper)
{
  if (keeper == NULL)
    return;
  ev_timer_stop (plat_get_loop (keeper->plat), &keeper->timer);
  plat_cancel (keeper->plat, keeper);
  marks_free (keeper->marks);
  g_free (keeper->version);
  g_free (keeper);
}

const marks_t *
keeper_marks (const keeper_t *keeper)
{
  return keeper->marks;
}

uint64_t
keeper_calls (const keeper_t *keeper)
{
  return keeper->calls;
}
