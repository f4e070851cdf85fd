/* Route history: the services of the tables of the last seconds.  */

#include "relay/rth.h"

/* A table that was replaced.  */
typedef struct
{
  rte_table_t *routes; /* without its services and accounts */
  cfd_time_t replaced_at;
} rth_past_t;

struct rth
{
  int64_t keep_ms;          /* see rth_extend_keep_ms */
  rte_table_t *table;       /* in force; NULL: none yet */
  GArray *past;             /* rth_past_t, the earliest first */
  cfd_time_t dropped_until; /* until when a table counts that was dropped */
  cfd_time_t several_until; /* see rth_get_several_until */
};

static void
clear_past (void *data)
{
  rte_table_unref (((rth_past_t *)data)->routes);
}

rth_t *
rth_new (void)
{
  rth_t *rth = g_new0 (rth_t, 1);

  rth->keep_ms = RTH_KEEP_MS;
  rth->past = g_array_new (FALSE, FALSE, sizeof (rth_past_t));
  g_array_set_clear_func (rth->past, clear_past);
  return rth;
}

void
rth_free (rth_t *rth)
{
  if (rth == NULL)
    return;
  rte_table_unref (rth->table);
  g_array_unref (rth->past);
  g_free (rth);
}

void
rth_extend_keep_ms (rth_t *rth, int64_t keep_ms)
{
  rth->keep_ms = MAX (rth->keep_ms, keep_ms);
}

/* Adds the services that TABLE, which may be NULL, gives to streams of HOST
   and TARGET.  Returns whether they may be resumed.  */
static bool
add_services (GPtrArray *services, const rte_table_t *table, const char *host,
              const char *target)
{
  const rte_route_t *route
      = table != NULL ? rte_find_route (table, host, target) : NULL;

  if (route == NULL || route->kind != RTE_STREAM)
    return false;
  for (guint i = 0; i < route->traffic_shares->len; i++)
    {
      char *service
          = g_array_index (route->traffic_shares, rte_traffic_share_t, i)
                .service;

      if (!g_ptr_array_find_with_equal_func (services, service, g_str_equal,
                                             NULL))
        g_ptr_array_add (services, service);
    }
  return route->resumable;
}

/* Returns the services that streams of HOST and TARGET have had lately.  */
static GPtrArray *
find_services (const rth_t *rth, cfd_time_t now, const char *host,
               const char *target)
{
  GPtrArray *services = g_ptr_array_new ();

  add_services (services, rth->table, host, target);
  for (guint i = 0; i < rth->past->len; i++)
    {
      const rth_past_t *past = &g_array_index (rth->past, rth_past_t, i);

      if (now - past->replaced_at <= rth->keep_ms)
        add_services (services, past->routes, host, target);
    }
  return services;
}

static void
collect_route (void *user, const rte_route_t *route)
{
  g_ptr_array_add (user, (rte_route_t *)route);
}

/* Adds the routes of TABLE, which may be NULL, to ROUTES.  All paths of which
   the longest prefix among them is the same have the same route in each of
   their tables, so that a look at each prefix is enough.  */
static void
collect_routes (GPtrArray *routes, const rte_table_t *table)
{
  if (table != NULL)
    rte_table_foreach_route (table, collect_route, routes);
}

/* Returns whether TABLE gives a route a service beside those it has had.  */
static bool
adds_service (const rth_t *rth, cfd_time_t now, const rte_table_t *table)
{
  g_autoptr (GPtrArray) routes = g_ptr_array_new ();

  collect_routes (routes, table);
  collect_routes (routes, rth->table);
  for (guint i = 0; i < rth->past->len; i++)
    collect_routes (routes, g_array_index (rth->past, rth_past_t, i).routes);
  for (guint i = 0; i < routes->len; i++)
    {
      const rte_route_t *route = g_ptr_array_index (routes, i);
      g_autoptr (GPtrArray) services
          = find_services (rth, now, route->host, route->prefix);
      guint before = services->len;

      add_services (services, table, route->host, route->prefix);
      if (before > 0 && services->len > before)
        return true;
    }
  return false;
}

/* Returns whether the table in force has a service of a route that NEXT
   lacks.  */
static bool
has_more_than (const rth_t *rth, const rte_table_t *next)
{
  g_autoptr (GPtrArray) routes = g_ptr_array_new ();

  collect_routes (routes, rth->table);
  collect_routes (routes, next);
  for (guint i = 0; i < routes->len; i++)
    {
      const rte_route_t *route = g_ptr_array_index (routes, i);
      g_autoptr (GPtrArray) services = g_ptr_array_new ();
      guint count;

      add_services (services, next, route->host, route->prefix);
      count = services->len;
      add_services (services, rth->table, route->host, route->prefix);
      if (services->len > count)
        return true;
    }
  return false;
}

static void
remove_old (rth_t *rth, cfd_time_t now)
{
  while (rth->past->len > 0
         && now - g_array_index (rth->past, rth_past_t, 0).replaced_at
                > rth->keep_ms)
    g_array_remove_index (rth->past, 0);
}

/* Keeps the table in force, which is about to be replaced.  Returns whether
   another one was dropped.  */
static bool
keep_table (rth_t *rth, cfd_time_t now)
{
  rth_past_t past
      = { .routes = rte_table_copy_routes (rth->table), .replaced_at = now };
  bool is_full = rth->past->len >= RTH_MAX_TABLES;

  if (is_full)
    {
      rth->dropped_until = g_array_index (rth->past, rth_past_t, 0).replaced_at
                           + rth->keep_ms;
      g_array_remove_index (rth->past, 0);
    }
  g_array_append_val (rth->past, past);
  return is_full;
}

/* Returns until when ROUTE's prefix counts as having several services; 0: it
   has one, or may not be resumed.  */
static cfd_time_t
find_several_until (const rth_t *rth, const rte_route_t *route)
{
  g_autoptr (GPtrArray) services = g_ptr_array_new ();
  bool is_resumable
      = add_services (services, rth->table, route->host, route->prefix);
  cfd_time_t until = services->len > 1 ? CFD_TIME_NEVER : 0;

  for (guint i = rth->past->len; i-- > 0;)
    {
      const rth_past_t *past = &g_array_index (rth->past, rth_past_t, i);

      is_resumable
          |= add_services (services, past->routes, route->host, route->prefix);
      if (until == 0 && services->len > 1)
        until = past->replaced_at + rth->keep_ms;
    }
  return is_resumable ? until : 0;
}

static void
update_several_until (rth_t *rth)
{
  g_autoptr (GPtrArray) routes = g_ptr_array_new ();

  collect_routes (routes, rth->table);
  for (guint i = 0; i < rth->past->len; i++)
    collect_routes (routes, g_array_index (rth->past, rth_past_t, i).routes);
  rth->several_until = rth->dropped_until;
  for (guint i = 0; i < routes->len; i++)
    rth->several_until
        = MAX (rth->several_until,
               find_several_until (rth, g_ptr_array_index (routes, i)));
}

bool
rth_set_table (rth_t *rth, cfd_time_t now, rte_table_t *table)
{
  bool is_wider;

  remove_old (rth, now);
  is_wider = adds_service (rth, now, table);
  if (rth->table != NULL && has_more_than (rth, table))
    is_wider |= keep_table (rth, now);
  rte_table_ref (table);
  rte_table_unref (rth->table);
  rth->table = table;
  update_several_until (rth);
  return is_wider;
}

const char *
rth_get_sole_service (const rth_t *rth, cfd_time_t now, const char *host,
                      const char *target)
{
  g_autoptr (GPtrArray) services = find_services (rth, now, host, target);

  if (now <= rth->dropped_until || services->len != 1)
    return NULL;
  return g_ptr_array_index (services, 0);
}

cfd_time_t
rth_get_several_until (const rth_t *rth)
{
  return rth->several_until;
}
