/* Tests of the selection of witnesses: some in each zone, and none that is
   leaving.  */

#include "config/store.h"
#include "config/witness.h"

#define ZONES 3u
#define AGENTS 200u

static GPtrArray *
make_routers (unsigned routers)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (g_free);
  static const char *const zones[ZONES] = { "a", "b", "c" };

  for (unsigned i = 0; i < routers; i++)
    {
      store_instance_t *router = g_new0 (store_instance_t, 1);

      router->name = g_strdup_printf ("router-%u", i);
      router->zone = (char *)zones[i % ZONES];
      g_ptr_array_add (list, router);
    }
  return list;
}

static void
free_routers (GPtrArray *list)
{
  for (guint i = 0; i < list->len; i++)
    g_free (((store_instance_t *)list->pdata[i])->name);
  g_ptr_array_unref (list);
}

/* Each agent has witnesses in each zone, and no router is the witness of many
   agents.  */
static void
test_spread (void)
{
  GPtrArray *list = make_routers (30);
  unsigned max_agents = 0;
  unsigned total = 0;

  ((store_instance_t *)list->pdata[0])->leaving = true;
  for (guint i = 0; i < list->len; i++)
    {
      const store_instance_t *router = list->pdata[i];
      unsigned count = 0;

      for (unsigned j = 0; j < AGENTS; j++)
        {
          g_autofree char *agent = g_strdup_printf ("agent-%u", j);

          count += witness_is_selected (list, router->name, agent);
        }
      g_assert_true ((count == 0) == router->leaving);
      max_agents = MAX (max_agents, count);
      total += count;
    }
  g_assert_cmpuint (total, ==, AGENTS * ZONES * WITNESS_PER_ZONE);
  /* The mean is 40.  */
  g_assert_cmpuint (max_agents, <, 70);
  g_assert_false (witness_is_selected (list, "not-listed", "agent-0"));
  free_routers (list);
}

static void
test_zones (void)
{
  GPtrArray *list = make_routers (4);

  g_assert_cmpuint (witness_count_zones (list), ==, 3);
  ((store_instance_t *)list->pdata[1])->leaving = true;
  g_assert_cmpuint (witness_count_zones (list), ==, 2);
  ((store_instance_t *)list->pdata[0])->leaving = true;
  g_assert_cmpuint (witness_count_zones (list), ==, 2);
  free_routers (list);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/witness/spread", test_spread);
  g_test_add_func ("/witness/zones", test_zones);
  return g_test_run ();
}
