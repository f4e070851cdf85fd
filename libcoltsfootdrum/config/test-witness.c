/* Who is a witness for whom: some in each zone, and none that leaves.  */

#include "config/store.h"
#include "config/witness.h"

#define ZONES 3u
#define AGENTS 200u

static GPtrArray *
make (unsigned routers)
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
drop (GPtrArray *list)
{
  for (guint i = 0; i < list->len; i++)
    g_free (((store_instance_t *)list->pdata[i])->name);
  g_ptr_array_unref (list);
}

/* Each agent has its witnesses in each zone, and no router has many agents. */
static void
test_spread (void)
{
  GPtrArray *list = make (30);
  unsigned most = 0;
  unsigned all = 0;

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
      most = MAX (most, count);
      all += count;
    }
  g_assert_cmpuint (all, ==, AGENTS * ZONES * WITNESS_PER_ZONE);
  /* 40 on the mean.  */
  g_assert_cmpuint (most, <, 70);
  g_assert_false (witness_is_selected (list, "not-listed", "agent-0"));
  drop (list);
}

static void
test_zones (void)
{
  GPtrArray *list = make (4);

  g_assert_cmpuint (witness_count_zones (list), ==, 3);
  ((store_instance_t *)list->pdata[1])->leaving = true;
  g_assert_cmpuint (witness_count_zones (list), ==, 2);
  ((store_instance_t *)list->pdata[0])->leaving = true;
  g_assert_cmpuint (witness_count_zones (list), ==, 2);
  drop (list);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/witness/spread", test_spread);
  g_test_add_func ("/witness/zones", test_zones);
  return g_test_run ();
}
