/* Routes.  The routing table gives the service and the limits of a request,
   and the client account of a key.  One table is one version of the
   configuration; it is not modified once it is in use.  */

#ifndef RELAY_RTE_H
#define RELAY_RTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  RTE_IDEMPOTENT, /* may be run more than once */
  RTE_ONCE,       /* must be run at most once */
  RTE_STREAM /* answered as an event stream, resumed if the route allows */
} rte_kind_t;

/* A service and its weight in the traffic of a route.  */
typedef struct
{
  char *service;
  double weight;
} rte_traffic_share_t;

typedef struct
{
  char *name;
  char *host;
  char *prefix; /* of the path; begins and ends with a slash */
  rte_kind_t kind;
  GArray *traffic_shares; /* rte_traffic_share_t, at least one */
  int64_t timeout_ms;
  int64_t target_latency_ms; /* for the first byte; 0: not set */
  int64_t max_pause_ms;      /* between events of a stream; 0: not set */
  unsigned max_attempts;
  int rank;              /* priority, 0 is the most urgent */
  bool allows_anonymous; /* no key is needed */
  bool sticky;           /* requests list the parts of their prompts */
  bool resumable;        /* streams may resume at another endpoint */
} rte_route_t;

typedef struct
{
  char *name;
  char *health_path;    /* of health checks; NULL: it has none */
  unsigned connections; /* most connections to an endpoint */
  int64_t cold_ms;      /* warm-up time after the start of an endpoint */
  double cold_per_s;    /* warm-up rate limit in requests a second */
  bool is_engine;
  unsigned slots;          /* engines: concurrent requests */
  int64_t memory_tokens;   /* engines: size of the KV cache */
  double tokens_per_event; /* engines: tokens in an event of a stream */
  double bytes_per_token;  /* engines: of KV cache; 0: unknown */
  double link_mbps;        /* between engines; 0: no transfer of prefixes */
} rte_service_t;

typedef struct
{
  char *name;
  int rank; /* priority; -1: that of the route */
} rte_account_t;

/* Limits for callers.  */
typedef struct
{
  size_t head_bytes;   /* largest request head */
  size_t body_bytes;   /* largest request body */
  int64_t head_ms;     /* longest time to receive a head */
  int64_t idle_ms;     /* longest idle time of a connection */
  double tokens_per_s; /* of the whole fleet, approximate; 0: unknown */
} rte_limits_t;

typedef struct rte_table rte_table_t;

rte_table_t *rte_table_new (uint64_t version, const rte_limits_t *limits);
rte_table_t *rte_table_ref (rte_table_t *table);
void rte_table_unref (rte_table_t *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (rte_table_t, rte_table_unref)

/* These take ownership of ROUTE, SERVICE and ACCOUNT.  */
void rte_table_add_route (rte_table_t *table, rte_route_t *route);
void rte_table_add_service (rte_table_t *table, rte_service_t *service);
/* KEYS, NULL-terminated, are copied.  */
void rte_table_add_account (rte_table_t *table, rte_account_t *account,
                            const char *const *keys);

rte_route_t *rte_route_new (void);
void rte_route_free (rte_route_t *route);
void rte_route_add_traffic_share (rte_route_t *route, const char *service,
                                  double weight);
void rte_service_free (rte_service_t *service);

/* Returns a table with copies of TABLE's routes, and nothing else.  */
rte_table_t *rte_table_copy_routes (const rte_table_t *table);
/* Calls EACH for the routes of TABLE.  */
void rte_table_foreach_route (const rte_table_t *table,
                              void (*each) (void *user,
                                            const rte_route_t *route),
                              void *user);

uint64_t rte_table_version (const rte_table_t *table);
const rte_limits_t *rte_table_limits (const rte_table_t *table);
guint rte_table_route_count (const rte_table_t *table);
bool rte_table_has_accounts (const rte_table_t *table);
/* Returns the longest warm-up time of all services.  */
int64_t rte_table_cold_ms (const rte_table_t *table);

/* Returns the route of HOST with the longest prefix of TARGET's path; NULL
   when there is none.  A port in HOST is ignored.  */
const rte_route_t *rte_find_route (const rte_table_t *table, const char *host,
                                   const char *target);
const rte_service_t *rte_find_service (const rte_table_t *table,
                                       const char *name);
/* Returns the shortest pause between events that the routes to SERVICE allow,
   in milliseconds; 0: they set none.  */
int64_t rte_get_max_pause_ms (const rte_table_t *table, const char *service);
/* Returns NULL for an unknown key.  */
const rte_account_t *rte_find_account (const rte_table_t *table,
                                       const char *key);

/* Chooses a service for a request of ROUTE by weight.  DRAW is a random number
   from 0 to 1.  */
const char *rte_choose_service (const rte_route_t *route, double draw);

/* Returns whether a request of ROUTE may be sent again although it may have
   run.  */
bool rte_may_retry (const rte_route_t *route);

#endif
