#include "config/spread.h"
#include "config/store.h"

#include <string.h>
#include <xxhash.h>

bool
spread_ranks_before (const char *a, const char *b)
{
  uint64_t hash_a = XXH3_64bits (a, strlen (a));
  uint64_t hash_b = XXH3_64bits (b, strlen (b));

  if (hash_a != hash_b)
    return hash_a < hash_b;
  return strcmp (a, b) < 0;
}

static const store_instance_t *
find (const GPtrArray *instances, const char *name)
{
  for (guint i = 0; i < instances->len; i++)
    {
      const store_instance_t *instance = g_ptr_array_index (instances, i);

      if (strcmp (instance->name, name) == 0)
        return instance;
    }
  return NULL;
}

/* Instances of ZONE (NULL: of any) that go before NAME.  Those that leave
   don't count: their watch is about to end.  */
static unsigned
count_before (const GPtrArray *instances, const char *zone, const char *name)
{
  unsigned count = 0;

  for (guint i = 0; i < instances->len; i++)
    {
      const store_instance_t *instance = g_ptr_array_index (instances, i);

      if (!instance->leaving
          && (zone == NULL || strcmp (instance->zone, zone) == 0)
          && spread_ranks_before (instance->name, name))
        count++;
    }
  return count;
}

void
spread_find_position (const GPtrArray *routers, const GPtrArray *agents,
                      role_t role, const char *self, spread_position_t *place)
{
  const GPtrArray *own = role == ROLE_ROUTER ? routers : agents;
  const store_instance_t *instance = find (own, self);

  place->fleet = routers->len + agents->len;
  place->rank = 0;
  place->is_first_in_zone = true;
  if (instance == NULL)
    return;
  place->rank = count_before (own, NULL, self);
  place->is_first_in_zone
      = count_before (routers, instance->zone, self) == 0
        && count_before (agents, instance->zone, self) == 0;
}

bool
spread_is_watcher (const spread_position_t *place)
{
  return place->fleet <= SPREAD_SMALL_FLEET_INSTANCES
         || place->rank < SPREAD_WATCHERS_PER_ROLE || place->is_first_in_zone;
}

unsigned
spread_poll_interval_ms (const spread_position_t *place)
{
  return MAX (1000u, place->fleet * 1000u / SPREAD_MAX_FLEET_POLLS_PER_S);
}

unsigned
spread_read_interval_ms (const spread_position_t *place)
{
  return MAX ((unsigned)SPREAD_MIN_READ_INTERVAL_MS,
              place->fleet * 1000u / SPREAD_MAX_FLEET_READS_PER_S);
}

spread_action_t
spread_choose_action (const spread_position_t *place, uint32_t age_ms,
                      cfd_time_t last_read, cfd_time_t now)
{
  if (age_ms < SPREAD_ASK_PEER_AFTER_MS)
    return SPREAD_WAIT;
  if (age_ms < SPREAD_READ_PLATFORM_AFTER_MS
      || now - last_read < spread_read_interval_ms (place))
    return SPREAD_ASK_PEER;
  return SPREAD_READ_PLATFORM;
}
