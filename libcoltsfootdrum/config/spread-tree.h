/* Distribution tree of configuration changes in a large fleet.  Pure
   functions without I/O.

   Routers are ordered by the hash of their name and form a tree.  The first
   SPREAD_WATCHERS_PER_ROLE, which watch the platform, are the roots, and each
   router has SPREAD_TREE_FANOUT children.  A router that reaches a new
   revision sends it to its children at once, so that a change reaches a fleet
   of 330 routers in three steps, and the traffic of one router does not grow
   with the fleet.  Agents can't open connections, so each gets changes from
   two routers in case one of them is dead or frozen.

   A router that misses an update asks for it: first its parent and, when that
   is silent or behind, other routers chosen by hash.  */

#ifndef CONFIG_SPREAD_TREE_H
#define CONFIG_SPREAD_TREE_H

#include "config/spread.h"

#define SPREAD_TREE_FANOUT 4u

typedef struct spread_tree spread_tree_t;

/* Builds the part of the tree around the router SELF.  ROUTERS and AGENTS are
   arrays of store_instance_t that need not outlive the call.  Routers that are
   leaving are not part of the tree.  */
spread_tree_t *spread_tree_new (const GPtrArray *routers,
                                const GPtrArray *agents, const char *self);
void spread_tree_free (spread_tree_t *tree);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (spread_tree_t, spread_tree_free)

/* Return the names of the routers and agents that SELF sends changes to; owned
   by the tree.  */
const GPtrArray *spread_tree_get_child_routers (const spread_tree_t *tree);
const GPtrArray *spread_tree_get_child_agents (const spread_tree_t *tree);

/* Returns the router to ask for changes: at ATTEMPT 0 the parent, if there is
   one, and otherwise a router chosen by the hash of SELF and ATTEMPT.  NULL
   when there is no other router.  */
const char *spread_tree_choose_source (const spread_tree_t *tree,
                                       unsigned attempt);

#endif
