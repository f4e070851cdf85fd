#include "router/router-private.h"

#include <string.h>

/* A word of the agent's service and its endpoint's state is needed before the
   first link to it.  The list of instances does not give them, but the agent
   runs beside its endpoint: when just one endpoint has its address, that is
   it.  Otherwise the agent hears of all services and shows its own by its
   first grant.  */

static void
agent_free (gpointer data)
{
  agent_t *agent = data;

  g_free (agent->name);
  g_free (agent->zone);
  g_free (agent->host);
  g_free (agent->granted);
  g_free (agent->service);
  g_ptr_array_unref (agent->abandoned);
  g_free (agent);
}

void
agents_init (cfd_router_t *router)
{
  router->agents
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, agent_free);
  router->served
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

agent_t *
agents_find (cfd_router_t *router, const char *name)
{
  return g_hash_table_lookup (router->agents, name);
}

agent_t *
agents_get (cfd_router_t *router, const char *name, const char *zone)
{
  agent_t *agent = agents_find (router, name);

  if (agent == NULL)
    {
      agent = g_new0 (agent_t, 1);
      agent->name = g_strdup (name);
      agent->abandoned = g_ptr_array_new_with_free_func (g_free);
      list_init (&agent->requests);
      g_hash_table_insert (router->agents, agent->name, agent);
    }
  if (zone != NULL && g_strcmp0 (agent->zone, zone) != 0)
    {
      g_free (agent->zone);
      agent->zone = g_strdup (zone);
    }
  return agent;
}

/* The host of "http://HOST:PORT/..." or "HOST:PORT"; free with g_free.  */
static char *
host_of (const char *address)
{
  const char *start = strstr (address, "://");
  const char *end;

  start = start != NULL ? start + 3 : address;
  if (*start == '[')
    end = strchr (start, ']');
  else
    end = start + strcspn (start, ":/");
  return end != NULL ? g_strndup (start, end - start) : g_strdup (start);
}

static void
list_agent (cfd_router_t *router, const store_instance_t *instance)
{
  agent_t *agent = agents_get (router, instance->name, instance->zone);

  agent->listed = true;
  agent->leaving = instance->leaving;
  g_free (agent->host);
  agent->host = host_of (instance->address);
  peer_hub_set_address (router->hub, instance->name, instance->address);
}

/* Forgets agents that are neither listed nor needed.  */
static void
sweep (cfd_router_t *router)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      agent_t *agent = value;

      if (agent->listed || agent->up || agent->in_flight > 0 || agent->held)
        continue;
      peer_hub_set_address (router->hub, agent->name, "");
      g_hash_table_iter_remove (&iter);
    }
}

void
agents_listed (cfd_router_t *router)
{
  GPtrArray *instances = store_get_instances (router->store, ROLE_AGENT);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((agent_t *)value)->listed = false;
  for (guint i = 0; i < instances->len; i++)
    list_agent (router, instances->pdata[i]);
  sweep (router);
  router->agents_changed = true;
}

/* ---- endpoints by host ---- */

typedef struct
{
  const rec_t *record;
  bool is_shared; /* several endpoints have this host */
} at_host_t;

typedef struct
{
  cfd_router_t *router;
  GHashTable *hosts; /* host to at_host_t */
} endpoints_t;

static void
add_endpoint (void *user, const rec_t *record)
{
  endpoints_t *endpoints = user;
  GHashTable *hosts = endpoints->hosts;
  char *host = host_of (record->u.endpoint.url);
  at_host_t *known = g_hash_table_lookup (hosts, host);

  g_hash_table_add (endpoints->router->served,
                    g_strdup (record->u.endpoint.service));
  if (known != NULL)
    {
      known->is_shared = true;
      g_free (host);
      return;
    }
  known = g_new0 (at_host_t, 1);
  known->record = record;
  g_hash_table_insert (hosts, host, known);
}

static void
guess (agent_t *agent, GHashTable *hosts)
{
  const at_host_t *at
      = agent->host != NULL ? g_hash_table_lookup (hosts, agent->host) : NULL;
  const rec_t *record = at != NULL && !at->is_shared ? at->record : NULL;
  const char *service = agent->granted;

  if (record != NULL)
    service = record->u.endpoint.service;
  if (record != NULL && record->u.endpoint.leaving)
    agent->leaving = true;
  if (g_strcmp0 (agent->service, service) == 0)
    return;
  g_free (agent->service);
  agent->service = g_strdup (service);
}

bool
agents_may_work (const cfd_router_t *router, const agent_t *agent)
{
  if (agent->leaving)
    return false;
  return agent->zone == NULL
         || !store_is_zone_out (router->store, agent->zone);
}

static bool
is_for (const agent_t *agent, const char *service)
{
  return agent->service == NULL || strcmp (agent->service, service) == 0;
}

static void
sort_service (void *user, const rec_t *record)
{
  cfd_router_t *router = user;
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const agent_t *agent = value;

      if (agent->listed && agents_may_work (router, agent)
          && is_for (agent, record->name))
        g_ptr_array_add (names, agent->name);
    }
  disp_set_agents (router->disp, record->name, names);
}

void
agents_sort (cfd_router_t *router)
{
  g_autoptr (GHashTable) hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  endpoints_t endpoints = { router, hosts };
  GPtrArray *instances = store_get_instances (router->store, ROLE_AGENT);
  GHashTableIter iter;
  gpointer value;

  if (!router->agents_changed)
    return;
  router->agents_changed = false;
  for (guint i = 0; i < instances->len; i++)
    {
      const store_instance_t *instance = instances->pdata[i];

      agents_get (router, instance->name, NULL)->leaving = instance->leaving;
    }
  g_hash_table_remove_all (router->served);
  store_foreach (router->store, REC_ENDPOINT, add_endpoint, &endpoints);
  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    guess (value, hosts);
  store_foreach (router->store, REC_SERVICE, sort_service, router);
}

static bool
is_alternative (const cfd_router_t *router, const agent_t *agent,
                const request_t *request, cfd_time_t now)
{
  return agent->listed && agents_may_work (router, agent)
         && is_for (agent, request->item.service)
         && !avoid_has (&request->avoid, agent->name, now);
}

bool
agents_may_try (const cfd_router_t *router, const agent_t *agent,
                const request_t *request, cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (!avoid_has (&request->avoid, agent->name, now))
    return true;
  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_alternative (router, value, request, now))
      return false;
  return true;
}

void
agents_serves (cfd_router_t *router, agent_t *agent, const char *service)
{
  if (g_strcmp0 (agent->granted, service) == 0)
    return;
  g_free (agent->granted);
  agent->granted = g_strdup (service);
  router->agents_changed = true;
  router_schedule (router, 0);
}

bool
agents_any_for (const cfd_router_t *router, const char *service)
{
  return g_hash_table_contains (router->served, service);
}

/* ---- links ---- */

void
agents_hold (cfd_router_t *router, agent_t *agent)
{
  if (agent->held)
    return;
  agent->held = true;
  peer_hub_hold (router->hub, agent->name);
}

cfd_time_t
agents_release (cfd_router_t *router, cfd_time_t now)
{
  cfd_time_t next = CFD_TIME_NEVER;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      agent_t *agent = value;

      if (!agent->held || agent->in_flight > 0)
        continue;
      if (agent->announced_until > now)
        {
          next = MIN (next, agent->announced_until);
          continue;
        }
      agent->held = false;
      peer_hub_release (router->hub, agent->name);
    }
  return next;
}
