#include "config/witness.h"

#include "config/store.h"

#include <string.h>
#include <xxhash.h>

static uint64_t
weight_of (const char *router, const char *agent)
{
  XXH64_hash_t first = XXH64 (agent, strlen (agent), 0);

  return XXH64 (router, strlen (router), first);
}

static const store_instance_t *
find (const GPtrArray *routers, const char *name)
{
  for (guint i = 0; i < routers->len; i++)
    {
      const store_instance_t *router = g_ptr_array_index (routers, i);

      if (strcmp (router->name, name) == 0)
        return router;
    }
  return NULL;
}

bool
witness_is_selected (const GPtrArray *routers, const char *self,
                     const char *agent)
{
  const store_instance_t *own = find (routers, self);
  uint64_t weight = weight_of (self, agent);
  unsigned before = 0;

  if (own == NULL || own->leaving)
    return false;
  for (guint i = 0; i < routers->len; i++)
    {
      const store_instance_t *other = g_ptr_array_index (routers, i);

      if (!other->leaving && strcmp (other->zone, own->zone) == 0
          && weight_of (other->name, agent) > weight)
        before++;
    }
  return before < WITNESS_PER_ZONE;
}

unsigned
witness_count_zones (const GPtrArray *routers)
{
  g_autoptr (GHashTable) zones = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < routers->len; i++)
    {
      const store_instance_t *router = g_ptr_array_index (routers, i);

      if (!router->leaving)
        g_hash_table_add (zones, router->zone);
    }
  return g_hash_table_size (zones);
}
