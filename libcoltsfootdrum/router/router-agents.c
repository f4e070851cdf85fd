#include "router/router-private.h"

#include <string.h>

/* The agent's service and the state of its endpoint are needed before the
   first link to it.  The list of instances does not contain them, but the
   agent runs beside its endpoint: if exactly one endpoint has the agent's
   host, it is that one.  Otherwise the agent gets the announcements of all
   services and names its own in its first grant.  */

static void
agent_free (gpointer data)
{
  agent_t *agent = data;

  g_free (agent->name);
  g_free (agent->zone);
  g_free (agent->host);
  g_free (agent->granted_service);
  g_free (agent->service);
  g_ptr_array_unref (agent->pending_cancels);
  g_free (agent);
}

void
agents_init (cfd_router_t *router)
{
  router->agents
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, agent_free);
  router->served_services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

agent_t *
agents_find (cfd_router_t *router, const char *name)
{
  return g_hash_table_lookup (router->agents, name);
}

agent_t *
agents_find_or_add (cfd_router_t *router, const char *name, const char *zone)
{
  agent_t *agent = agents_find (router, name);

  if (agent == NULL)
    {
      agent = g_new0 (agent_t, 1);
      agent->name = g_strdup (name);
      agent->pending_cancels = g_ptr_array_new_with_free_func (g_free);
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

/* Returns the host of "http://HOST:PORT/..." or "HOST:PORT"; free with
   g_free.  */
static char *
parse_host (const char *address)
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
update_listed_agent (cfd_router_t *router, const store_instance_t *instance)
{
  agent_t *agent = agents_find_or_add (router, instance->name, instance->zone);

  agent->listed = true;
  agent->leaving = instance->leaving;
  g_free (agent->host);
  agent->host = parse_host (instance->address);
  peer_hub_set_address (router->hub, instance->name, instance->address);
}

/* Removes agents that are neither listed nor in use.  */
static void
remove_unused (cfd_router_t *router)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      agent_t *agent = value;

      if (agent->listed || agent->up || agent->in_flight > 0
          || agent->link_held)
        continue;
      peer_hub_set_address (router->hub, agent->name, "");
      g_hash_table_iter_remove (&iter);
    }
}

void
agents_instances_changed (cfd_router_t *router)
{
  GPtrArray *instances = store_get_instances (router->store, ROLE_AGENT);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((agent_t *)value)->listed = false;
  for (guint i = 0; i < instances->len; i++)
    update_listed_agent (router, instances->pdata[i]);
  remove_unused (router);
  router->agents_changed = true;
}

/* ---- endpoints by host ---- */

typedef struct
{
  const rec_t *record;
  bool is_shared; /* several endpoints have this host */
} host_endpoint_t;

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
  char *host = parse_host (record->u.endpoint.url);
  host_endpoint_t *known = g_hash_table_lookup (hosts, host);

  g_hash_table_add (endpoints->router->served_services,
                    g_strdup (record->u.endpoint.service));
  if (known != NULL)
    {
      known->is_shared = true;
      g_free (host);
      return;
    }
  known = g_new0 (host_endpoint_t, 1);
  known->record = record;
  g_hash_table_insert (hosts, host, known);
}

static void
infer_service (agent_t *agent, GHashTable *hosts)
{
  const host_endpoint_t *at
      = agent->host != NULL ? g_hash_table_lookup (hosts, agent->host) : NULL;
  const rec_t *record = at != NULL && !at->is_shared ? at->record : NULL;
  const char *service = agent->granted_service;

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
agents_accepts_work (const cfd_router_t *router, const agent_t *agent)
{
  if (agent->leaving)
    return false;
  return agent->zone == NULL
         || !store_is_zone_out (router->store, agent->zone);
}

static bool
serves_service (const agent_t *agent, const char *service)
{
  return agent->service == NULL || strcmp (agent->service, service) == 0;
}

static void
refresh_service_agents (void *user, const rec_t *record)
{
  cfd_router_t *router = user;
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const agent_t *agent = value;

      if (agent->listed && agents_accepts_work (router, agent)
          && serves_service (agent, record->name))
        g_ptr_array_add (names, agent->name);
    }
  disp_set_agents (router->disp, record->name, names);
}

void
agents_refresh_services (cfd_router_t *router)
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

      agents_find_or_add (router, instance->name, NULL)->leaving
          = instance->leaving;
    }
  g_hash_table_remove_all (router->served_services);
  store_foreach (router->store, REC_ENDPOINT, add_endpoint, &endpoints);
  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    infer_service (value, hosts);
  store_foreach (router->store, REC_SERVICE, refresh_service_agents, router);
}

/* Returns whether AGENT takes work of this router.  A full agent offers no
   slot for seconds; the requests that it runs show that it serves.  */
static bool
takes_work (const agent_t *agent, cfd_time_t now)
{
  return agent->up
         && (agent->in_flight > 0
             || now - agent->last_grant_at < AVOID_AGENT_MS);
}

/* Returns whether REQUEST has to wait for AGENT in place of one that failed
   it.  RECENTLY: it failed a moment ago.  */
static bool
is_alternative (const cfd_router_t *router, const agent_t *agent,
                const request_t *request, bool recently, cfd_time_t now)
{
  const avoid_t *avoid = &request->avoid;

  if (!agents_accepts_work (router, agent)
      || !serves_service (agent, request->item.service))
    return false;
  if (recently && agent->listed && !avoid_contains (avoid, agent->name, now))
    return true;
  return !avoid_has_failed (avoid, agent->name) && takes_work (agent, now);
}

bool
agents_is_eligible (const cfd_router_t *router, const agent_t *agent,
                    const request_t *request, cfd_time_t now)
{
  bool recently = avoid_contains (&request->avoid, agent->name, now);
  GHashTableIter iter;
  gpointer value;

  if (!avoid_has_failed (&request->avoid, agent->name))
    return true;
  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_alternative (router, value, request, recently, now))
      return false;
  return true;
}

void
agents_set_service (cfd_router_t *router, agent_t *agent, const char *service)
{
  if (g_strcmp0 (agent->granted_service, service) == 0)
    return;
  g_free (agent->granted_service);
  agent->granted_service = g_strdup (service);
  router->agents_changed = true;
  router_schedule (router, 0);
}

bool
agents_has_endpoint_for (const cfd_router_t *router, const char *service)
{
  return g_hash_table_contains (router->served_services, service);
}

/* ---- links ---- */

void
agents_hold_link (cfd_router_t *router, agent_t *agent)
{
  if (agent->link_held)
    return;
  agent->link_held = true;
  peer_hub_hold (router->hub, agent->name);
}

cfd_time_t
agents_release_links (cfd_router_t *router, cfd_time_t now)
{
  cfd_time_t next = CFD_TIME_NEVER;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      agent_t *agent = value;

      if (!agent->link_held || agent->in_flight > 0)
        continue;
      if (agent->announced_until > now)
        {
          next = MIN (next, agent->announced_until);
          continue;
        }
      agent->link_held = false;
      peer_hub_release (router->hub, agent->name);
    }
  return next;
}
