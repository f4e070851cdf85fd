#include "router/avoid.h"

#include <glib.h>

static avoid_entry_t *
find (const avoid_t *avoid, const char *agent)
{
  for (unsigned i = 0; i < AVOID_MAX_AGENTS; i++)
    if (g_strcmp0 (avoid->entries[i].agent, agent) == 0)
      return (avoid_entry_t *)&avoid->entries[i];
  return NULL;
}

void
avoid_add (avoid_t *avoid, const char *agent, cfd_time_t now)
{
  avoid_entry_t *entry = find (avoid, agent);

  if (entry == NULL)
    {
      entry = &avoid->entries[avoid->next];
      avoid->next = (avoid->next + 1) % AVOID_MAX_AGENTS;
      g_free (entry->agent);
      entry->agent = g_strdup (agent);
    }
  entry->until = now + AVOID_AGENT_MS;
}

bool
avoid_has_failed (const avoid_t *avoid, const char *agent)
{
  return find (avoid, agent) != NULL;
}

bool
avoid_contains (const avoid_t *avoid, const char *agent, cfd_time_t now)
{
  const avoid_entry_t *entry = find (avoid, agent);

  return entry != NULL && now < entry->until;
}

void
avoid_clear (avoid_t *avoid)
{
  for (unsigned i = 0; i < AVOID_MAX_AGENTS; i++)
    g_free (avoid->entries[i].agent);
  *avoid = (avoid_t){ 0 };
}
