/* Who tells whom, by fleet: everyone is reached, nobody tells many.  */

#include "config/spread-tree.h"
#include "config/store.h"

#include <string.h>

static void
instance_free (gpointer pointer)
{
  g_free (((store_instance_t *)pointer)->name);
  g_free (pointer);
}

static GPtrArray *
make (const char *role, unsigned count)
{
  GPtrArray *instances = g_ptr_array_new_with_free_func (instance_free);

  for (unsigned i = 0; i < count; i++)
    {
      store_instance_t *instance = g_new0 (store_instance_t, 1);

      instance->name = g_strdup_printf ("%s-%u", role, i);
      g_ptr_array_add (instances, instance);
    }
  return instances;
}

/* Adds "ABOVE>BELOW" for each name of TOLD.  */
static void
note (GHashTable *pairs, const char *above, const GPtrArray *told)
{
  for (guint i = 0; i < told->len; i++)
    g_hash_table_add (
        pairs, g_strdup_printf ("%s>%s", above, (char *)told->pdata[i]));
}

static const struct
{
  unsigned routers, leaving, agents;
  unsigned agents_most; /* that one router tells */
} fleets[] = { { 1, 0, 40, 40 },
               { 2, 0, 40, 40 },
               { 36, 0, 64, 12 },
               { 40, 20, 60, 16 },
               { 330, 0, 600, 14 } };

static void
test_fleet (guint index)
{
  unsigned staying = fleets[index].routers - fleets[index].leaving;
  g_autoptr (GPtrArray) routers = make ("router", fleets[index].routers);
  g_autoptr (GPtrArray) agents = make ("agent", fleets[index].agents);
  g_autoptr (GHashTable) pairs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  unsigned asked_above = 0;

  for (guint i = 0; i < fleets[index].leaving; i++)
    ((store_instance_t *)routers->pdata[staying + i])->leaving = true;
  for (guint i = 0; i < staying; i++)
    {
      const char *self = ((store_instance_t *)routers->pdata[i])->name;
      g_autoptr (spread_tree_t) tree = spread_tree_new (routers, agents, self);

      g_assert_cmpuint (spread_tree_get_child_routers (tree)->len, <=,
                        SPREAD_TREE_FANOUT);
      g_assert_cmpuint (spread_tree_get_child_agents (tree)->len, <=,
                        fleets[index].agents_most);
      note (pairs, self, spread_tree_get_child_routers (tree));
      note (pairs, self, spread_tree_get_child_agents (tree));
    }
  /* Each router but the roots is told by one, each agent by two.  */
  g_assert_cmpuint (g_hash_table_size (pairs), ==,
                    staying - MIN (staying, SPREAD_WATCHERS_PER_ROLE)
                        + fleets[index].agents * MIN (staying, 2));
  for (guint i = 0; i < staying; i++)
    {
      const char *self = ((store_instance_t *)routers->pdata[i])->name;
      g_autoptr (spread_tree_t) tree = spread_tree_new (routers, agents, self);
      g_autoptr (GHashTable) asked
          = g_hash_table_new (g_str_hash, g_str_equal);
      g_autofree char *pair = g_strdup_printf (
          "%s>%s", spread_tree_choose_source (tree, 0), self);

      asked_above += g_hash_table_contains (pairs, pair);
      for (unsigned choice = 0; staying > 1 && choice < 20; choice++)
        {
          const char *name = spread_tree_choose_source (tree, choice);

          /* Never itself, nor one that leaves.  */
          g_assert_cmpstr (name, !=, self);
          g_assert_cmpuint (atoi (strchr (name, '-') + 1), <, staying);
          g_hash_table_add (asked, (gpointer)name);
        }
      g_assert_cmpuint (g_hash_table_size (asked), >=, MIN (staying - 1, 8));
    }
  g_assert_cmpuint (asked_above, >=,
                    staying - MIN (staying, SPREAD_WATCHERS_PER_ROLE));
}

static void
test_fleets (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (fleets); i++)
    {
      g_test_message ("fleet %u", i);
      test_fleet (i);
    }
}

static void
test_alone (void)
{
  /* A list that does not have this router yet, or no other.  */
  g_autoptr (GPtrArray) none = make ("router", 0);
  g_autoptr (GPtrArray) one = make ("router", 1);
  g_autoptr (spread_tree_t) first = spread_tree_new (none, none, "router-0");
  g_autoptr (spread_tree_t) second = spread_tree_new (one, none, "router-0");
  g_autoptr (spread_tree_t) third = spread_tree_new (one, one, "new");

  g_assert_null (spread_tree_choose_source (first, 0));
  g_assert_null (spread_tree_choose_source (second, 0));
  g_assert_cmpstr (spread_tree_choose_source (third, 0), ==, "router-0");
  g_assert_cmpuint (spread_tree_get_child_agents (third)->len, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/spread-tree/fleets", test_fleets);
  g_test_add_func ("/spread-tree/alone", test_alone);
  return g_test_run ();
}
