/* Who watches the platform, and what the others do, by fleet and by time.  */

#include "config/spread.h"
#include "config/store.h"

#include <stdio.h>

typedef struct
{
  GPtrArray *routers;
  GPtrArray *agents;
} fleet_t;

static void
instance_free (gpointer pointer)
{
  store_instance_t *instance = pointer;

  g_free (instance->name);
  g_free (instance->zone);
  g_free (instance);
}

static GPtrArray *
make (role_t role, unsigned count, unsigned zones)
{
  GPtrArray *instances = g_ptr_array_new_with_free_func (instance_free);

  for (unsigned i = 0; i < count; i++)
    {
      store_instance_t *instance = g_new0 (store_instance_t, 1);

      instance->role = role;
      instance->name = g_strdup_printf ("%d-%u", (int)role, i);
      instance->zone = g_strdup_printf ("zone-%u", i % zones);
      g_ptr_array_add (instances, instance);
    }
  return instances;
}

static unsigned
count_watchers (const fleet_t *fleet, const GPtrArray *of, bool *zones)
{
  unsigned watchers = 0;

  for (guint i = 0; i < of->len; i++)
    {
      const store_instance_t *instance = g_ptr_array_index (of, i);
      spread_position_t place;
      unsigned zone = 0;

      spread_find_position (fleet->routers, fleet->agents, instance->role,
                            instance->name, &place);
      if (instance->leaving || !spread_is_watcher (&place))
        continue;
      watchers++;
      g_assert_cmpint (sscanf (instance->zone, "zone-%u", &zone), ==, 1);
      zones[zone] = true;
    }
  return watchers;
}

static const struct
{
  unsigned routers, agents, zones;
  unsigned least, most; /* watchers */
} fleets[] = {
  { 4, 16, 4, 20, 20 },  { 8, 24, 4, 32, 32 },    { 8, 25, 4, 10, 14 },
  { 40, 60, 4, 10, 14 }, { 330, 600, 6, 10, 16 },
};

static void
test_watchers (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (fleets); i++)
    {
      fleet_t fleet = { make (ROLE_ROUTER, fleets[i].routers, fleets[i].zones),
                        make (ROLE_AGENT, fleets[i].agents, fleets[i].zones) };
      bool zones[8] = { false };
      unsigned watchers = count_watchers (&fleet, fleet.routers, zones)
                          + count_watchers (&fleet, fleet.agents, zones);

      g_test_message ("fleet %u: %u watchers", i, watchers);
      g_assert_cmpuint (watchers, >=, fleets[i].least);
      g_assert_cmpuint (watchers, <=, fleets[i].most);
      for (unsigned zone = 0; zone < fleets[i].zones; zone++)
        g_assert_true (zones[zone]);
      g_ptr_array_unref (fleet.routers);
      g_ptr_array_unref (fleet.agents);
    }
}

static void
test_watcher_leaves (void)
{
  /* Half of the routers leave at once: others must take their place as soon as
     the list says so, not when the last watch has ended.  */
  fleet_t fleet = { make (ROLE_ROUTER, 40, 4), make (ROLE_AGENT, 60, 4) };
  bool zones[8] = { false };
  spread_position_t place;

  for (guint i = 0; i < fleet.routers->len; i++)
    {
      store_instance_t *router = g_ptr_array_index (fleet.routers, i);

      router->leaving = i < 20;
    }
  g_assert_cmpuint (count_watchers (&fleet, fleet.routers, zones), >=,
                    SPREAD_WATCHERS_PER_ROLE);
  spread_find_position (fleet.routers, fleet.agents, ROLE_ROUTER, "unlisted",
                        &place);
  g_assert_true (spread_is_watcher (&place));
  g_ptr_array_unref (fleet.routers);
  g_ptr_array_unref (fleet.agents);
}

static const struct
{
  unsigned fleet;
  uint32_t age_ms;
  cfd_time_t since_read;
  spread_action_t step;
} steps[] = {
  { 100, 0, 100000, SPREAD_WAIT },
  { 100, SPREAD_ASK_PEER_AFTER_MS - 1, 100000, SPREAD_WAIT },
  { 100, SPREAD_ASK_PEER_AFTER_MS, 100000, SPREAD_ASK_PEER },
  { 100, SPREAD_READ_PLATFORM_AFTER_MS - 1, 100000, SPREAD_ASK_PEER },
  { 100, SPREAD_READ_PLATFORM_AFTER_MS, 100000, SPREAD_READ_PLATFORM },
  { 100, SPREAD_READ_PLATFORM_AFTER_MS, SPREAD_MIN_READ_INTERVAL_MS - 1,
    SPREAD_ASK_PEER },
  { 100, SPREAD_READ_PLATFORM_AFTER_MS, SPREAD_MIN_READ_INTERVAL_MS,
    SPREAD_READ_PLATFORM },
  { 100, UINT32_MAX, SPREAD_MIN_READ_INTERVAL_MS, SPREAD_READ_PLATFORM },
  { 930, SPREAD_READ_PLATFORM_AFTER_MS, 9299, SPREAD_ASK_PEER },
  { 930, SPREAD_READ_PLATFORM_AFTER_MS, 9300, SPREAD_READ_PLATFORM },
};

static void
test_steps (void)
{
  const cfd_time_t now = 1000000;

  for (guint i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      spread_position_t place = { .fleet = steps[i].fleet };

      g_assert_cmpint (spread_choose_action (&place, steps[i].age_ms,
                                             now - steps[i].since_read, now),
                       ==, steps[i].step);
    }
}

static void
test_poll (void)
{
  static const unsigned fleets_ms[][2]
      = { { 0, 1000 }, { 32, 1000 }, { 60, 1000 }, { 930, 15500 } };

  for (guint i = 0; i < G_N_ELEMENTS (fleets_ms); i++)
    {
      spread_position_t place = { .fleet = fleets_ms[i][0] };

      g_assert_cmpuint (spread_poll_interval_ms (&place), ==, fleets_ms[i][1]);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/spread/watchers", test_watchers);
  g_test_add_func ("/spread/watcher-leaves", test_watcher_leaves);
  g_test_add_func ("/spread/steps", test_steps);
  g_test_add_func ("/spread/poll", test_poll);
  return g_test_run ();
}
