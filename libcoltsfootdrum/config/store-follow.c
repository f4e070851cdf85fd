/* Synchronisation with the platform.  Lists the configuration once, then
   watches it by long polling; lists again when the platform's history no
   longer reaches back to the revision in force; and polls the list of
   instances.  A process that is no watcher (spread.h) checks every second
   whether it is up to date through its peers.  */

#include "config/spread.h"
#include "config/store-impl.h"
#include "base/log.h"

#define PART "config"
/* Short, because a connection can hang for good, and a change must be in force
   everywhere within seconds even then.  */
#define WATCH_TIMEOUT_MS 5000
/* Shorter in a large fleet, where few processes watch and the configuration of
   all others is as old as theirs.  */
#define LARGE_FLEET_WATCH_TIMEOUT_MS 2000
#define PEER_CHECK_INTERVAL_MS 1000
/* Delay after a watch that brought no change.  It prevents a busy loop when a
   platform, against its API, answers at once.  */
#define EMPTY_WATCH_GAP_MS 50
#define MIN_BACKOFF_MS 250
#define MAX_BACKOFF_MS 5000

static const char all_kinds[] = PLAT_CONFIG_KINDS;

struct follow
{
  store_t *store;
  struct ev_loop *loop;
  plat_t *plat;
  GRand *random;
  ev_timer config_timer;    /* next read of the configuration */
  ev_timer instances_timer; /* next read of the list of instances */
  bool is_listed;
  bool is_history_short; /* for a watch after a list of fewer kinds */
  bool is_catching_up; /* after a list of fewer kinds, until the next watch */
  const char *list_kinds; /* of the current list */
  char *cursor;           /* of the current list's next page */
  GHashTable *present;
  uint64_t list_revision;
  unsigned config_failures;    /* consecutive */
  unsigned instances_failures; /* consecutive */
  cfd_time_t last_read;
};

static void
start_timer (follow_t *follow, ev_timer *timer, unsigned delay_ms)
{
  ev_now_update (follow->loop);
  ev_timer_stop (follow->loop, timer);
  ev_timer_set (timer, (double)delay_ms / 1000.0, 0.0);
  ev_timer_start (follow->loop, timer);
}

/* Doubles the limit with each failure and draws from its upper half, so that
   the fleet's processes don't all retry at the same time.  */
static unsigned
backoff_ms (follow_t *follow, unsigned failures)
{
  unsigned doublings = MIN (failures, 10u);
  unsigned max_ms = MIN (MIN_BACKOFF_MS << doublings, MAX_BACKOFF_MS);

  return (unsigned)g_rand_int_range (follow->random, (gint32)max_ms / 2,
                                     (gint32)max_ms + 1);
}

static void
update_platform_state (follow_t *follow, plat_status_t status)
{
  bool is_up = status == PLAT_OK || status == PLAT_REVISION_EXPIRED;

  if (is_up == follow->store->is_platform_up)
    return;
  follow->store->is_platform_up = is_up;
  if (is_up)
    log_info (PART, "The platform answers.");
  else
    log_warn (PART, "The platform does not answer: status=%s.",
              plat_status_name (status));
}

static void
get_position (const store_t *store, spread_position_t *position)
{
  if (store->self == NULL)
    {
      *position = (spread_position_t){ .is_first_in_zone = true };
      return;
    }
  spread_find_position (store->instances[ROLE_ROUTER],
                        store->instances[ROLE_AGENT], store->self_role,
                        store->self, position);
}

/* Makes the next read start a new list.  */
static void
reset_list (follow_t *follow)
{
  follow->is_listed = false;
  g_clear_pointer (&follow->present, g_hash_table_unref);
  g_clear_pointer (&follow->cursor, g_free);
}

static void
on_list_page (void *user, plat_status_t status, JsonObject *answer)
{
  follow_t *follow = user;
  const char *next = NULL;

  update_platform_state (follow, status);
  if (status == PLAT_OK
      && store_apply_page (follow->store, answer, &follow->present,
                           &follow->list_revision, &next, clock_now ()))
    {
      follow->config_failures = 0;
      g_free (follow->cursor);
      follow->cursor = g_strdup (next);
      follow->is_listed = next == NULL;
      follow->is_catching_up = follow->list_kinds != all_kinds;
      start_timer (follow, &follow->config_timer, 0);
    }
  else
    {
      reset_list (follow);
      start_timer (follow, &follow->config_timer,
                   backoff_ms (follow, follow->config_failures++));
    }
  g_clear_pointer (&answer, json_object_unref);
}

static void
on_changes (void *user, plat_status_t status, JsonObject *answer)
{
  follow_t *follow = user;
  store_t *store = follow->store;
  uint64_t before = store->revision;

  update_platform_state (follow, status);
  switch (status)
    {
    case PLAT_OK:
      follow->config_failures = 0;
      follow->is_catching_up = false;
      store_apply_objects (store, answer, clock_now ());
      json_object_unref (answer);
      start_timer (follow, &follow->config_timer,
                   store->revision > before ? 0 : EMPTY_WATCH_GAP_MS);
      return;
    case PLAT_REVISION_EXPIRED:
      log_info (PART, "Platform history is too short, listing again.");
      follow->is_history_short = true;
      reset_list (follow);
      break;
    default:
      break;
    }
  start_timer (follow, &follow->config_timer,
               backoff_ms (follow, follow->config_failures++));
}

/* Returns the kinds to list.  An agent's first list leaves out the accounts,
   so that it takes 2 pages instead of 38 at each start.  The list's revision
   is that of the last write to the other kinds; the watch from there on covers
   all kinds and reaches the newest revision.

   If the platform's history is too short for that watch, and for later lists,
   which must reach the revision in force, all kinds are listed and accounts
   skipped.  Otherwise a platform without records of the other kinds would be
   listed and watched in turns without end.  */
static const char *
choose_list_kinds (const follow_t *follow)
{
  const store_t *store = follow->store;

  if (store->keeps_accounts || store->revision > 0 || follow->is_history_short)
    return all_kinds;
  return PLAT_AGENT_KINDS;
}

/* Reads the next page of the list, or the changes since the revision in force,
   waiting up to TIMEOUT_MS for one.  */
static void
read_platform (follow_t *follow, unsigned timeout_ms, cfd_time_t now)
{
  follow->last_read = now;
  if (follow->is_listed)
    {
      plat_watch (follow->plat, follow->store->revision, timeout_ms,
                  on_changes, follow);
      return;
    }
  if (follow->cursor == NULL)
    follow->list_kinds = choose_list_kinds (follow);
  plat_list_page (
      follow->plat, follow->list_kinds,
      follow->cursor == NULL ? follow->store->revision : follow->list_revision,
      follow->cursor == NULL ? "" : follow->cursor, on_list_page, follow);
}

/* Returns whether a process that is no watcher has to read the platform
   now.  */
static bool
should_read_platform (const follow_t *follow,
                      const spread_position_t *position, cfd_time_t now)
{
  const store_t *store = follow->store;

  if (store_get_behind_ms (store, now) >= SPREAD_MAX_BEHIND_MS
      && now - follow->last_read >= spread_read_interval_ms (position))
    return true;
  return spread_choose_action (position, store_get_age_ms (store, now),
                               follow->last_read, now)
         == SPREAD_READ_PLATFORM;
}

static void
on_config_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  follow_t *follow = timer->data;
  cfd_time_t now = clock_now ();
  spread_position_t position;

  get_position (follow->store, &position);
  if (spread_is_watcher (&position))
    read_platform (follow,
                   position.instance_count <= SPREAD_SMALL_FLEET_INSTANCES
                       ? WATCH_TIMEOUT_MS
                       : LARGE_FLEET_WATCH_TIMEOUT_MS,
                   now);
  else if (!follow->is_listed || follow->is_catching_up
           || should_read_platform (follow, &position, now))
    read_platform (follow, 0, now);
  else
    start_timer (follow, &follow->config_timer, PEER_CHECK_INTERVAL_MS);
}

static void
on_instances (void *user, plat_status_t status, JsonObject *answer)
{
  follow_t *follow = user;
  spread_position_t position;

  update_platform_state (follow, status);
  if (status != PLAT_OK)
    {
      start_timer (follow, &follow->instances_timer,
                   backoff_ms (follow, follow->instances_failures++));
      return;
    }
  follow->instances_failures = 0;
  store_apply_instances (follow->store, answer, clock_now ());
  json_object_unref (answer);
  get_position (follow->store, &position);
  start_timer (follow, &follow->instances_timer,
               spread_poll_interval_ms (&position));
}

static void
on_instances_timer (struct ev_loop *loop, ev_timer *timer, int revents)
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
  ev_init (&follow->config_timer, on_config_timer);
  follow->config_timer.data = follow;
  ev_init (&follow->instances_timer, on_instances_timer);
  follow->instances_timer.data = follow;
  store->follow = follow;
  start_timer (follow, &follow->config_timer, 0);
  start_timer (follow, &follow->instances_timer, 0);
}

void
store_follow_free (follow_t *follow)
{
  if (follow == NULL)
    return;
  ev_timer_stop (follow->loop, &follow->config_timer);
  ev_timer_stop (follow->loop, &follow->instances_timer);
  reset_list (follow);
  g_rand_free (follow->random);
  g_free (follow);
}

bool
store_should_ask_peer (const store_t *store, cfd_time_t now)
{
  spread_position_t position;

  get_position (store, &position);
  if (spread_is_watcher (&position) && store->is_platform_up)
    return false;
  if (store_get_behind_ms (store, now) > 0)
    return true;
  return spread_choose_action (&position, store_get_age_ms (store, now), now,
                               now)
         != SPREAD_WAIT;
}

bool
store_is_fleet_large (const store_t *store)
{
  return store->instances[ROLE_ROUTER]->len + store->instances[ROLE_AGENT]->len
         > SPREAD_SMALL_FLEET_INSTANCES;
}
