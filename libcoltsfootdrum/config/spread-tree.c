#include "config/spread-tree.h"
#include "config/store.h"

#include <string.h>
#include <xxhash.h>

#define NOT_LISTED UINT_MAX

struct spread_tree
{
  char *self;
  unsigned rank;      /* of SELF among ROUTERS, or NOT_LISTED */
  GPtrArray *routers; /* names in order of rank, SELF too */
  GPtrArray *told_routers;
  GPtrArray *told_agents;
};

static gint
compare (gconstpointer a, gconstpointer b)
{
  const store_instance_t *first = *(const store_instance_t *const *)a;
  const store_instance_t *second = *(const store_instance_t *const *)b;

  if (strcmp (first->name, second->name) == 0)
    return 0;
  return spread_ranks_before (first->name, second->name) ? -1 : 1;
}

/* The names of the INSTANCES that stay, in order of rank.  */
static GPtrArray *
rank_all (const GPtrArray *instances)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GPtrArray) staying = g_ptr_array_new ();

  for (guint i = 0; i < instances->len; i++)
    if (!((const store_instance_t *)instances->pdata[i])->leaving)
      g_ptr_array_add (staying, instances->pdata[i]);
  g_ptr_array_sort (staying, compare);
  for (guint i = 0; i < staying->len; i++)
    {
      const store_instance_t *instance = staying->pdata[i];

      g_ptr_array_add (names, g_strdup (instance->name));
    }
  return names;
}

static unsigned
rank_of (const GPtrArray *names, const char *name)
{
  for (guint i = 0; i < names->len; i++)
    if (strcmp (names->pdata[i], name) == 0)
      return i;
  return NOT_LISTED;
}

static void
choose_routers (spread_tree_t *tree)
{
  unsigned first = SPREAD_WATCHERS_PER_ROLE + tree->rank * SPREAD_TREE_FANOUT;

  for (unsigned i = first; i < first + SPREAD_TREE_FANOUT; i++)
    if (i < tree->routers->len)
      g_ptr_array_add (tree->told_routers, tree->routers->pdata[i]);
}

static void
choose_agents (spread_tree_t *tree, const GPtrArray *agents)
{
  unsigned routers = tree->routers->len;

  for (guint i = 0; i < agents->len; i++)
    {
      const store_instance_t *agent = agents->pdata[i];
      uint64_t hash = XXH3_64bits (agent->name, strlen (agent->name));

      if (hash % routers == tree->rank
          || (hash + MAX (routers / 2, 1u)) % routers == tree->rank)
        g_ptr_array_add (tree->told_agents, g_strdup (agent->name));
    }
}

spread_tree_t *
spread_tree_new (const GPtrArray *routers, const GPtrArray *agents,
                 const char *self)
{
  spread_tree_t *tree = g_new0 (spread_tree_t, 1);

  tree->self = g_strdup (self);
  tree->routers = rank_all (routers);
  tree->rank = rank_of (tree->routers, self);
  tree->told_routers = g_ptr_array_new ();
  tree->told_agents = g_ptr_array_new_with_free_func (g_free);
  if (tree->rank == NOT_LISTED)
    return tree;
  choose_routers (tree);
  choose_agents (tree, agents);
  return tree;
}

void
spread_tree_free (spread_tree_t *tree)
{
  if (tree == NULL)
    return;
  g_ptr_array_unref (tree->told_agents);
  g_ptr_array_unref (tree->told_routers);
  g_ptr_array_unref (tree->routers);
  g_free (tree->self);
  g_free (tree);
}

const GPtrArray *
spread_tree_get_child_routers (const spread_tree_t *tree)
{
  return tree->told_routers;
}

const GPtrArray *
spread_tree_get_child_agents (const spread_tree_t *tree)
{
  return tree->told_agents;
}

const char *
spread_tree_choose_source (const spread_tree_t *tree, unsigned choice)
{
  const GPtrArray *routers = tree->routers;
  unsigned others = routers->len - (tree->rank == NOT_LISTED ? 0 : 1);
  unsigned index;

  if (others == 0)
    return NULL;
  if (choice == 0 && tree->rank != NOT_LISTED
      && tree->rank >= SPREAD_WATCHERS_PER_ROLE)
    return routers
        ->pdata[(tree->rank - SPREAD_WATCHERS_PER_ROLE) / SPREAD_TREE_FANOUT];
  index = (unsigned)(XXH3_64bits_withSeed (tree->self, strlen (tree->self),
                                           choice)
                     % others);
  /* One further from SELF's own place on, which is left out.  */
  if (tree->rank != NOT_LISTED && index >= tree->rank)
    index++;
  return routers->pdata[index];
}
