/* Tests of the distribution tree for several fleets: every process is reached,
   and no router has many children.  */

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
make_instances (const char *role, unsigned count)
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

/* Adds "PARENT>CHILD" for each name in CHILDREN.  */
static void
add_pairs (GHashTable *pairs, const char *parent, const GPtrArray *children)
{
  for (guint i = 0; i < children->len; i++)
    g_hash_table_add (
        pairs, g_strdup_printf ("%s>%s", parent, (char *)children->pdata[i]));
}

static const struct
{
  unsigned routers, leaving, agents;
  unsigned max_agents; /* of one router */
} fleets[] = { { 1, 0, 40, 40 },
               { 2, 0, 40, 40 },
               { 36, 0, 64, 12 },
               { 40, 20, 60, 16 },
               { 330, 0, 600, 14 } };

static void
test_fleet (guint index)
{
  unsigned active = fleets[index].routers - fleets[index].leaving;
  g_autoptr (GPtrArray) routers
      = make_instances ("router", fleets[index].routers);
  g_autoptr (GPtrArray) agents
      = make_instances ("agent", fleets[index].agents);
  g_autoptr (GHashTable) pairs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  unsigned asked_parent = 0;

  for (guint i = 0; i < fleets[index].leaving; i++)
    ((store_instance_t *)routers->pdata[active + i])->leaving = true;
  for (guint i = 0; i < active; i++)
    {
      const char *self = ((store_instance_t *)routers->pdata[i])->name;
      g_autoptr (spread_tree_t) tree = spread_tree_new (routers, agents, self);

      g_assert_cmpuint (spread_tree_get_child_routers (tree)->len, <=,
                        SPREAD_TREE_FANOUT);
      g_assert_cmpuint (spread_tree_get_child_agents (tree)->len, <=,
                        fleets[index].max_agents);
      add_pairs (pairs, self, spread_tree_get_child_routers (tree));
      add_pairs (pairs, self, spread_tree_get_child_agents (tree));
    }
  /* Each router but the roots has one parent, each agent two.  */
  g_assert_cmpuint (g_hash_table_size (pairs), ==,
                    active - MIN (active, SPREAD_WATCHERS_PER_ROLE)
                        + fleets[index].agents * MIN (active, 2));
  for (guint i = 0; i < active; i++)
    {
      const char *self = ((store_instance_t *)routers->pdata[i])->name;
      g_autoptr (spread_tree_t) tree = spread_tree_new (routers, agents, self);
      g_autoptr (GHashTable) asked_names
          = g_hash_table_new (g_str_hash, g_str_equal);
      g_autofree char *pair = g_strdup_printf (
          "%s>%s", spread_tree_choose_source (tree, 0), self);

      asked_parent += g_hash_table_contains (pairs, pair);
      for (unsigned attempt = 0; active > 1 && attempt < 20; attempt++)
        {
          const char *name = spread_tree_choose_source (tree, attempt);

          /* Never itself, nor a router that is leaving.  */
          g_assert_cmpstr (name, !=, self);
          g_assert_cmpuint (atoi (strchr (name, '-') + 1), <, active);
          g_hash_table_add (asked_names, (gpointer)name);
        }
      g_assert_cmpuint (g_hash_table_size (asked_names), >=,
                        MIN (active - 1, 8));
    }
  g_assert_cmpuint (asked_parent, >=,
                    active - MIN (active, SPREAD_WATCHERS_PER_ROLE));
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
  /* Lists that lack this router, or have no other.  */
  g_autoptr (GPtrArray) none = make_instances ("router", 0);
  g_autoptr (GPtrArray) one = make_instances ("router", 1);
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
