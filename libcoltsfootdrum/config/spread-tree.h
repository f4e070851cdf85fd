/* Whom a router tells of a change, and whom it asks, in a large fleet.  Pure.

   Routers stand in a tree by hash of the name: the first
   SPREAD_WATCHERS_PER_ROLE, which watch the platform, are the roots, and each
   has SPREAD_TREE_FANOUT routers under it. A router that came to a new
   revision tells those under it at once, so that a change passes a fleet of
   330 routers in three steps, and what one router sends does not grow with the
   fleet.  Agents can't dial: each has two routers that tell it, so that one
   may be dead or frozen.

   What telling misses is asked for: a router without word asks the one above
   it, and when that is silent or behind, others by hash.  */

#ifndef CONFIG_SPREAD_TREE_H
#define CONFIG_SPREAD_TREE_H

#include "config/spread.h"

#define SPREAD_TREE_FANOUT 4u

typedef struct spread_tree spread_tree_t;

/* The tree as the router SELF sees it, from arrays of store_instance_t, which
   need not outlive the call.  Those that leave have nobody under them.  */
spread_tree_t *spread_tree_new (const GPtrArray *routers,
                                const GPtrArray *agents, const char *self);
void spread_tree_free (spread_tree_t *tree);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (spread_tree_t, spread_tree_free)

/* Names of the routers and agents that SELF tells; owned by the tree.  */
const GPtrArray *spread_tree_get_child_routers (const spread_tree_t *tree);
const GPtrArray *spread_tree_get_child_agents (const spread_tree_t *tree);

/* The router to ask: that above at CHOICE 0, if there is one, others by hash
   at each further CHOICE.  NULL when SELF is alone.  */
const char *spread_tree_choose_source (const spread_tree_t *tree,
                                       unsigned choice);

#endif
