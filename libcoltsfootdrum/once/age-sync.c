#include "once/age-sync.h"

#include "base/log.h"
#include "once/once-job.h"

#define PART "once"
#define OBJECT_NAME "ages"

struct age_sync
{
  plat_t *plat;
  unsigned write_interval_ms;
  unsigned read_interval_ms;
  bool (*is_writer) (void *user);
  void *user;
  ev_timer timer;
  write_ages_t *ages;
  char *version; /* of the state AGES came from; NULL: read it first */
  uint64_t revision;
  cfd_time_t known_since; /* when that state was in force at the latest */
  bool is_unreadable;     /* unknown schema or malformed; logged once */
  uint64_t calls;
};

static void
schedule_after (age_sync_t *sync, unsigned min_ms)
{
  struct ev_loop *loop = plat_get_loop (sync->plat);
  gint32 max_ms = (gint32)(min_ms + min_ms / 4 + 1);
  int wait_ms = g_random_int_range ((gint32)min_ms, max_ms + 1);

  ev_now_update (loop);
  ev_timer_set (&sync->timer, wait_ms / 1000.0, 0.0);
  ev_timer_start (loop, &sync->timer);
}

static void
schedule_next (age_sync_t *sync)
{
  bool is_writer = sync->is_writer (sync->user);

  schedule_after (sync, is_writer ? sync->write_interval_ms
                                  : sync->read_interval_ms);
}

/* Makes OBJECT, which was in force at NOW, the state that the next write
   builds on.  */
static void
accept_state (age_sync_t *sync, JsonObject *object, cfd_time_t now)
{
  JsonObject *spec = once_get_spec (object);
  write_ages_t *ages = spec == NULL ? NULL : write_ages_parse (spec);

  g_clear_pointer (&sync->version, g_free);
  if (ages == NULL)
    {
      if (!sync->is_unreadable)
        log_warn (PART,
                  "The ages of claims can't be parsed; no claim is removed; "
                  "upgrade, or delete " CLAIM_SWEEP_KIND " " OBJECT_NAME ".");
      sync->is_unreadable = true;
      return;
    }
  sync->is_unreadable = false;
  write_ages_free (sync->ages);
  sync->ages = ages;
  sync->version = g_strdup (once_get_text (object, "version"));
  sync->revision = (uint64_t)json_object_get_int_member_with_default (
      object, "revision", 0);
  sync->known_since = now;
}

/* After a failed write or a lost reply, the state in force is unknown and must
   be read again.  */
static void
on_written (void *user, plat_status_t status, JsonObject *answer)
{
  age_sync_t *sync = user;

  if (status == PLAT_OK)
    accept_state (sync, answer, clock_now ());
  else
    g_clear_pointer (&sync->version, g_free);
  g_clear_pointer (&answer, json_object_unref);
  schedule_next (sync);
}

static void
write_spec (age_sync_t *sync, const write_ages_t *ages)
{
  JsonObject *spec = write_ages_to_spec (ages);

  sync->calls++;
  plat_put (sync->plat, CLAIM_SWEEP_KIND, OBJECT_NAME, sync->version, spec,
            on_written, sync);
  json_object_unref (spec);
}

static void
on_read (void *user, plat_status_t status, JsonObject *answer)
{
  age_sync_t *sync = user;
  bool is_missing = status == PLAT_NOT_FOUND;

  if (status == PLAT_OK)
    accept_state (sync, answer, clock_now ());
  g_clear_pointer (&answer, json_object_unref);
  if (is_missing && sync->is_writer (sync->user))
    {
      g_autoptr (write_ages_t) empty = write_ages_new ();

      write_spec (sync, empty);
      return;
    }
  schedule_next (sync);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  age_sync_t *sync = timer->data;
  JsonObject *spec;
  g_autoptr (write_ages_t) advanced = NULL;

  if (sync->version == NULL || !sync->is_writer (sync->user))
    {
      sync->calls++;
      plat_get (sync->plat, CLAIM_SWEEP_KIND, OBJECT_NAME, on_read, sync);
      return;
    }
  spec = write_ages_to_spec (sync->ages);
  advanced = write_ages_parse (spec);
  json_object_unref (spec);
  write_ages_advance (advanced, sync->revision,
                      clock_now () - sync->known_since);
  write_spec (sync, advanced);
}

age_sync_t *
age_sync_new (plat_t *plat, unsigned write_interval_ms,
              unsigned read_interval_ms, bool (*is_writer) (void *user),
              void *user)
{
  age_sync_t *sync = g_new0 (age_sync_t, 1);

  sync->plat = plat;
  sync->write_interval_ms = write_interval_ms;
  sync->read_interval_ms = read_interval_ms;
  sync->is_writer = is_writer;
  sync->user = user;
  sync->ages = write_ages_new ();
  ev_init (&sync->timer, on_timer);
  sync->timer.data = sync;
  schedule_after (sync, write_interval_ms);
  return sync;
}

void
age_sync_free (age_sync_t *sync)
{
  if (sync == NULL)
    return;
  ev_timer_stop (plat_get_loop (sync->plat), &sync->timer);
  plat_cancel (sync->plat, sync);
  write_ages_free (sync->ages);
  g_free (sync->version);
  g_free (sync);
}

const write_ages_t *
age_sync_get_ages (const age_sync_t *sync)
{
  return sync->ages;
}

uint64_t
age_sync_get_calls (const age_sync_t *sync)
{
  return sync->calls;
}
