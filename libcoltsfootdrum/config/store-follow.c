/* Follows the platform: lists once, then watches by long poll, lists again
   when the platform no longer knows that far back, and reads the list of
   instances at an interval.  A process that need not watch (spread.h) looks
   each second whether it has heard enough from peers.  */

#include "config/spread.h"
#include "config/store-impl.h"
#include "base/log.h"

#define PART "config"
/* Short, because a connection can go silent for good: a change must be in
   force everywhere within seconds even then.  */
#define WATCH_MS 5000
/* In a large fleet there are few watchers, and the others' knowledge is as
   old as theirs.  */
#define WATCH_LARGE_MS 2000
#define LOOK_MS 1000
/* Between two watches of which the first brought nothing: a platform that
   answers at once, against the contract, must not be asked in a busy loop.  */
#define GAP_MS 50
#define BACKOFF_LEAST_MS 250
#define BACKOFF_MOST_MS 5000

static const char all_kinds[] = PLAT_CONFIG_KINDS;

struct follow
{
  store_t *store;
  struct ev_loop *loop;
  plat_t *plat;
  GRand *random;
  ev_timer step; /* the next read of the configuration */
  ev_timer poll; /* the next read of the list of instances */
  bool listed;
  bool history_is_short; /* a watch after a list of fewer kinds found so */
  bool catching_up;      /* from a list of fewer kinds to what is newest */
  const char *kinds;     /* of the list being read */
  char *cursor;          /* of the list's next page */
  GHashTable *present;
  uint64_t list_revision;
  unsigned failures; /* in a row */
  unsigned poll_failures;
  cfd_time_t last_read;
};

static void
arm (follow_t *follow, ev_timer *timer, unsigned delay_ms)
{
  ev_now_update (follow->loop);
  ev_timer_stop (follow->loop, timer);
  ev_timer_set (timer, (double)delay_ms / 1000.0, 0.0);
  ev_timer_start (follow->loop, timer);
}

/* Doubles with each failure, and draws from the upper half, so that a fleet
   does not come back in step when the platform does.  */
static unsigned
backoff_ms (follow_t *follow, unsigned failures)
{
  unsigned doublings = MIN (failures, 10u);
  unsigned most = MIN (BACKOFF_LEAST_MS << doublings, BACKOFF_MOST_MS);

  return (unsigned)g_rand_int_range (follow->random, (gint32)most / 2,
                                     (gint32)most + 1);
}

static void
note_platform (follow_t *follow, plat_status_t status)
{
  bool is_up = status == PLAT_OK || status == PLAT_REVISION_EXPIRED;

  if (is_up == follow->store->platform_is_up)
    return;
  follow->store->platform_is_up = is_up;
  if (is_up)
    log_info (PART, "The platform answers.");
  else
    log_warn (PART, "The platform does not answer: status=%s.",
              plat_status_name (status));
}

static void
current_place (const store_t *store, spread_position_t *place)
{
  if (store->self == NULL)
    {
      *place = (spread_position_t){ .is_first_in_zone = true };
      return;
    }
  spread_find_position (store->instances[ROLE_ROUTER],
                        store->instances[ROLE_AGENT], store->self_role,
                        store->self, place);
}

/* Begins the list anew with the next read.  */
static void
forget_list (follow_t *follow)
{
  follow->listed = false;
  g_clear_pointer (&follow->present, g_hash_table_unref);
  g_clear_pointer (&follow->cursor, g_free);
}

static void
on_page (void *user, plat_status_t status, JsonObject *answer)
{
  follow_t *follow = user;
  const char *next = NULL;

  note_platform (follow, status);
  if (status == PLAT_OK
      && store_take_page (follow->store, answer, &follow->present,
                          &follow->list_revision, &next, clock_now ()))
    {
      follow->failures = 0;
      g_free (follow->cursor);
      follow->cursor = g_strdup (next);
      follow->listed = next == NULL;
      follow->catching_up = follow->kinds != all_kinds;
      arm (follow, &follow->step, 0);
    }
  else
    {
      forget_list (follow);
      arm (follow, &follow->step, backoff_ms (follow, follow->failures++));
    }
  g_clear_pointer (&answer, json_object_unref);
}

static void
on_objects (void *user, plat_status_t status, JsonObject *answer)
{
  follow_t *follow = user;
  store_t *store = follow->store;
  uint64_t before = store->revision;

  note_platform (follow, status);
  switch (status)
    {
    case PLAT_OK:
      follow->failures = 0;
      follow->catching_up = false;
      store_apply_objects (store, answer, clock_now ());
      json_object_unref (answer);
      arm (follow, &follow->step, store->revision > before ? 0 : GAP_MS);
      return;
    case PLAT_REVISION_EXPIRED:
      log_info (PART, "The platform's history is too short, listing again.");
      follow->history_is_short = true;
      forget_list (follow);
      break;
    default:
      break;
    }
  arm (follow, &follow->step, backoff_ms (follow, follow->failures++));
}

/* The kinds to list.  An agent's first list leaves out the accounts: 2 pages
   in place of 38 at each start.  Its revision is that of the last write to the
   other kinds, and the watch from there on, of all kinds, brings the rest.
   Where the platform has forgotten those changes, and for a later list, which
   must reach the revision in force, all kinds are listed and accounts skipped:
   else a platform without any of the other kinds would be listed and watched
   in turns for ever.  */
static const char *
kinds_to_list (const follow_t *follow)
{
  const store_t *store = follow->store;

  if (store->keeps_accounts || store->revision > 0 || follow->history_is_short)
    return all_kinds;
  return PLAT_AGENT_KINDS;
}

/* Reads what changed, and waits for a change for WAIT_MS.  */
static void
read_changes (follow_t *follow, unsigned wait_ms, cfd_time_t now)
{
  follow->last_read = now;
  if (follow->listed)
    {
      plat_watch (follow->plat, follow->store->revision, wait_ms, on_objects,
                  follow);
      return;
    }
  if (follow->cursor == NULL)
    follow->kinds = kinds_to_list (follow);
  plat_list_page (
      follow->plat, follow->kinds,
      follow->cursor == NULL ? follow->store->revision : follow->list_revision,
      follow->cursor == NULL ? "" : follow->cursor, on_page, follow);
}

/* Whether a process that does not watch reads the platform now.  */
static bool
must_read (const follow_t *follow, const spread_position_t *place,
           cfd_time_t now)
{
  const store_t *store = follow->store;

  if (store_get_behind_ms (store, now) >= SPREAD_MAX_BEHIND_MS
      && now - follow->last_read >= spread_read_interval_ms (place))
    return true;
  return spread_choose_action (place, store_get_age_ms (store, now),
                               follow->last_read, now)
         == SPREAD_READ_PLATFORM;
}

static void
on_step (struct ev_loop *loop, ev_timer *timer, int revents)
{
  follow_t *follow = timer->data;
  cfd_time_t now = clock_now ();
  spread_position_t place;

  current_place (follow->store, &place);
  if (spread_is_watcher (&place))
    read_changes (follow,
                  place.fleet <= SPREAD_SMALL_FLEET_INSTANCES ? WATCH_MS
                                                              : WATCH_LARGE_MS,
                  now);
  else if (!follow->listed || follow->catching_up
           || must_read (follow, &place, now))
    read_changes (follow, 0, now);
  else
    arm (follow, &follow->step, LOOK_MS);
}

static void
on_instances (void *user, plat_status_t status, JsonObject *answer)
{
  follow_t *follow = user;
  spread_position_t place;

  note_platform (follow, status);
  if (status != PLAT_OK)
    {
      arm (follow, &follow->poll,
           backoff_ms (follow, follow->poll_failures++));
      return;
    }
  follow->poll_failures = 0;
  store_take_instances (follow->store, answer, clock_now ());
  json_object_unref (answer);
  current_place (follow->store, &place);
  arm (follow, &follow->poll, spread_poll_interval_ms (&place));
}

static void
on_poll (struct ev_loop *loop, ev_timer *timer, int revents)
{
  follow_t *follow = timer->data;

  plat_list_instances (follow->plat, on_instances, follow);
}

void
store_follow (store_t *store, struct ev_loop *loop, plat_t *plat)
{
  follow_t *follow = g_new0 (follow_t, 1);

  follow->store = store;
  follow->loop = loop;
  follow->plat = plat;
  follow->random = g_rand_new ();
  ev_init (&follow->step, on_step);
  follow->step.data = follow;
  ev_init (&follow->poll, on_poll);
  follow->poll.data = follow;
  store->follow = follow;
  arm (follow, &follow->step, 0);
  arm (follow, &follow->poll, 0);
}

void
store_follow_free (follow_t *follow)
{
  if (follow == NULL)
    return;
  ev_timer_stop (follow->loop, &follow->step);
  ev_timer_stop (follow->loop, &follow->poll);
  forget_list (follow);
  g_rand_free (follow->random);
  g_free (follow);
}

bool
store_should_ask_peer (const store_t *store, cfd_time_t now)
{
  spread_position_t place;

  current_place (store, &place);
  if (spread_is_watcher (&place) && store->platform_is_up)
    return false;
  if (store_get_behind_ms (store, now) > 0)
    return true;
  return spread_choose_action (&place, store_get_age_ms (store, now), now, now)
         != SPREAD_WAIT;
}

bool
store_is_fleet_large (const store_t *store)
{
  return store->instances[ROLE_ROUTER]->len + store->instances[ROLE_AGENT]->len
         > SPREAD_SMALL_FLEET_INSTANCES;
}
