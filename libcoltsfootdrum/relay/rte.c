/* Routes: the routing table.  */

#include "relay/rte.h"

#include <string.h>

struct rte_table
{
  gint refs;
  uint64_t version;
  rte_limits_t limits;
  GHashTable *hosts;    /* host to GPtrArray of rte_route_t */
  GHashTable *services; /* name to rte_service_t */
  GHashTable *keys;     /* key to rte_account_t */
  GHashTable *pauses;   /* service to int64_t, the shortest allowed pause */
  GPtrArray *accounts;
  guint routes;
};

static void
free_account (void *data)
{
  rte_account_t *account = data;

  g_free (account->name);
  g_free (account);
}

static void
free_routes (void *data)
{
  g_ptr_array_unref (data);
}

static void
free_route (void *data)
{
  rte_route_free (data);
}

static void
free_service (void *data)
{
  rte_service_free (data);
}

rte_table_t *
rte_table_new (uint64_t version, const rte_limits_t *limits)
{
  rte_table_t *table = g_new0 (rte_table_t, 1);

  table->refs = 1;
  table->version = version;
  table->limits = *limits;
  table->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_routes);
  table->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  table->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  table->pauses
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  table->accounts = g_ptr_array_new_with_free_func (free_account);
  return table;
}

rte_table_t *
rte_table_ref (rte_table_t *table)
{
  table->refs++;
  return table;
}

void
rte_table_unref (rte_table_t *table)
{
  if (table == NULL || --table->refs > 0)
    return;
  g_hash_table_unref (table->hosts);
  g_hash_table_unref (table->services);
  g_hash_table_unref (table->keys);
  g_hash_table_unref (table->pauses);
  g_ptr_array_unref (table->accounts);
  g_free (table);
}

static void
clear_traffic_share (void *data)
{
  rte_traffic_share_t *share = data;

  g_free (share->service);
}

rte_route_t *
rte_route_new (void)
{
  rte_route_t *route = g_new0 (rte_route_t, 1);

  route->traffic_shares
      = g_array_new (FALSE, FALSE, sizeof (rte_traffic_share_t));
  g_array_set_clear_func (route->traffic_shares, clear_traffic_share);
  route->max_attempts = 1;
  return route;
}

void
rte_route_free (rte_route_t *route)
{
  if (route == NULL)
    return;
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_array_unref (route->traffic_shares);
  g_free (route);
}

void
rte_route_add_traffic_share (rte_route_t *route, const char *service,
                             double weight)
{
  rte_traffic_share_t share
      = { .service = g_strdup (service), .weight = weight };

  g_array_append_val (route->traffic_shares, share);
}

void
rte_service_free (rte_service_t *service)
{
  if (service == NULL)
    return;
  g_free (service->name);
  g_free (service->health_path);
  g_free (service);
}

static void
note_max_pause (rte_table_t *table, const char *service, int64_t pause_ms)
{
  int64_t *shortest_ms = g_hash_table_lookup (table->pauses, service);

  if (shortest_ms == NULL)
    g_hash_table_insert (table->pauses, g_strdup (service),
                         g_memdup2 (&pause_ms, sizeof pause_ms));
  else
    *shortest_ms = MIN (*shortest_ms, pause_ms);
}

int64_t
rte_get_max_pause_ms (const rte_table_t *table, const char *service)
{
  const int64_t *shortest_ms = g_hash_table_lookup (table->pauses, service);

  return shortest_ms != NULL ? *shortest_ms : 0;
}

void
rte_table_add_route (rte_table_t *table, rte_route_t *route)
{
  g_autofree char *host = g_ascii_strdown (route->host, -1);
  GPtrArray *routes = g_hash_table_lookup (table->hosts, host);

  if (routes == NULL)
    {
      routes = g_ptr_array_new_with_free_func (free_route);
      g_hash_table_insert (table->hosts, g_steal_pointer (&host), routes);
    }
  g_ptr_array_add (routes, route);
  table->routes++;
  for (guint i = 0; route->max_pause_ms > 0 && i < route->traffic_shares->len;
       i++)
    note_max_pause (
        table,
        g_array_index (route->traffic_shares, rte_traffic_share_t, i).service,
        route->max_pause_ms);
}

void
rte_table_add_service (rte_table_t *table, rte_service_t *service)
{
  g_hash_table_replace (table->services, service->name, service);
}

void
rte_table_add_account (rte_table_t *table, rte_account_t *account,
                       const char *const *keys)
{
  g_ptr_array_add (table->accounts, account);
  for (; *keys != NULL; keys++)
    g_hash_table_replace (table->keys, g_strdup (*keys), account);
}

void
rte_table_foreach_route (const rte_table_t *table,
                         void (*each) (void *user, const rte_route_t *route),
                         void *user)
{
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, table->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const GPtrArray *routes = data;

      for (guint i = 0; i < routes->len; i++)
        each (user, g_ptr_array_index (routes, i));
    }
}

/* Adds a copy of ROUTE to the table USER.  */
static void
copy_route (void *user, const rte_route_t *route)
{
  rte_route_t *copy = rte_route_new ();
  GArray *traffic_shares = copy->traffic_shares;

  *copy = *route;
  copy->name = g_strdup (route->name);
  copy->host = g_strdup (route->host);
  copy->prefix = g_strdup (route->prefix);
  copy->traffic_shares = traffic_shares;
  for (guint i = 0; i < route->traffic_shares->len; i++)
    {
      const rte_traffic_share_t *share
          = &g_array_index (route->traffic_shares, rte_traffic_share_t, i);

      rte_route_add_traffic_share (copy, share->service, share->weight);
    }
  rte_table_add_route (user, copy);
}

rte_table_t *
rte_table_copy_routes (const rte_table_t *table)
{
  rte_table_t *copy = rte_table_new (table->version, &table->limits);

  rte_table_foreach_route (table, copy_route, copy);
  return copy;
}

uint64_t
rte_table_version (const rte_table_t *table)
{
  return table->version;
}

const rte_limits_t *
rte_table_limits (const rte_table_t *table)
{
  return &table->limits;
}

guint
rte_table_route_count (const rte_table_t *table)
{
  return table->routes;
}

bool
rte_table_has_accounts (const rte_table_t *table)
{
  return table->accounts->len > 0;
}

int64_t
rte_table_cold_ms (const rte_table_t *table)
{
  GHashTableIter each;
  void *service;
  int64_t longest = 0;

  g_hash_table_iter_init (&each, table->services);
  while (g_hash_table_iter_next (&each, NULL, &service))
    longest = MAX (longest, ((rte_service_t *)service)->cold_ms);
  return longest;
}

/* Returns the length of TARGET's path, without the query.  */
static size_t
get_path_length (const char *target)
{
  return strcspn (target, "?#");
}

static bool
has_prefix (const char *target, size_t length, const char *prefix)
{
  size_t prefix_length = strlen (prefix);

  return length >= prefix_length
         && strncmp (target, prefix, prefix_length) == 0;
}

const rte_route_t *
rte_find_route (const rte_table_t *table, const char *host, const char *target)
{
  g_autofree char *name = g_ascii_strdown (host, -1);
  size_t length = get_path_length (target);
  const rte_route_t *best = NULL;
  const GPtrArray *routes;
  char *port = strrchr (name, ':');

  if (port != NULL)
    *port = '\0';
  routes = g_hash_table_lookup (table->hosts, name);
  for (guint i = 0; routes != NULL && i < routes->len; i++)
    {
      const rte_route_t *route = g_ptr_array_index (routes, i);

      if (has_prefix (target, length, route->prefix)
          && (best == NULL || strlen (route->prefix) > strlen (best->prefix)))
        best = route;
    }
  return best;
}

const rte_service_t *
rte_find_service (const rte_table_t *table, const char *name)
{
  return g_hash_table_lookup (table->services, name);
}

const rte_account_t *
rte_find_account (const rte_table_t *table, const char *key)
{
  return g_hash_table_lookup (table->keys, key);
}

const char *
rte_choose_service (const rte_route_t *route, double draw)
{
  const rte_traffic_share_t *traffic_shares
      = (const rte_traffic_share_t *)route->traffic_shares->data;
  double total_weight = 0.;

  for (guint i = 0; i < route->traffic_shares->len; i++)
    total_weight += traffic_shares[i].weight;
  draw *= total_weight;
  for (guint i = 0; i + 1 < route->traffic_shares->len; i++)
    {
      if (draw < traffic_shares[i].weight)
        return traffic_shares[i].service;
      draw -= traffic_shares[i].weight;
    }
  return traffic_shares[route->traffic_shares->len - 1].service;
}

bool
rte_may_retry (const rte_route_t *route)
{
  switch (route->kind)
    {
    case RTE_IDEMPOTENT:
      return true;
    case RTE_STREAM:
      return route->resumable;
    case RTE_ONCE:
      break;
    }
  return false;
}
