/* The routing table: which service a request goes to, on what terms, and which
   client account holds a key.  One table is one version of the configuration;
   it never changes once it is in use.  */

#ifndef RELAY_RTE_H
#define RELAY_RTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  RTE_IDEMPOTENT, /* may run more than once */
  RTE_ONCE,       /* runs at most once */
  RTE_STREAM      /* answered in events; may be resumed where the route says */
} rte_kind_t;

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
  GArray *shares; /* rte_traffic_share_t, one at least */
  int64_t timeout_ms;
  int64_t target_latency_ms; /* an answer within it earns its full worth */
  unsigned attempts;
  int rank;       /* 0 is the most urgent */
  bool open;      /* needs no key */
  bool sticky;    /* requests name the parts of their prompts */
  bool resumable; /* a stream that another endpoint may go on with */
} rte_route_t;

typedef struct
{
  char *name;
  unsigned connections; /* that an endpoint accepts from all its callers */
  int64_t cold_ms;      /* how long an endpoint is cold after its start */
  double cold_per_s;    /* warm-up rate limit, requests a second */
  bool is_engine;
  unsigned slots;          /* engines: requests that run at once */
  int64_t memory_tokens;   /* engines: for running requests and cached parts */
  double tokens_per_event; /* engines: tokens in one event of a stream */
  double bytes_per_token;  /* engines: of cache memory; 0: not told */
  double link_mbps;        /* between engines; 0: no transfers */
} rte_service_t;

typedef struct
{
  char *name;
  int rank; /* -1: as the route says */
} rte_account_t;

/* Bounds on what callers may send.  */
typedef struct
{
  size_t head_bytes;
  size_t body_bytes;
  int64_t head_ms;
  int64_t idle_ms;
  double tokens_per_s; /* of the whole fleet, about; 0: not told */
} rte_limits_t;

typedef struct rte_table rte_table_t;

rte_table_t *rte_table_new (uint64_t version, const rte_limits_t *limits);
rte_table_t *rte_table_ref (rte_table_t *table);
void rte_table_unref (rte_table_t *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (rte_table_t, rte_table_unref)

/* These take over what they are given.  */
void rte_table_add_route (rte_table_t *table, rte_route_t *route);
void rte_table_add_service (rte_table_t *table, rte_service_t *service);
/* Keys are copied.  */
void rte_table_add_account (rte_table_t *table, rte_account_t *account,
                            const char *const *keys);

rte_route_t *rte_route_new (void);
void rte_route_free (rte_route_t *route);
void rte_route_add_traffic_share (rte_route_t *route, const char *service,
                                  double weight);
void rte_service_free (rte_service_t *service);

uint64_t rte_table_version (const rte_table_t *table);
const rte_limits_t *rte_table_limits (const rte_table_t *table);
guint rte_table_route_count (const rte_table_t *table);
bool rte_table_has_accounts (const rte_table_t *table);
/* The longest time for which endpoints of any service are cold.  */
int64_t rte_table_cold_ms (const rte_table_t *table);

/* Of the routes of HOST the one with the longest prefix of TARGET's path; NULL
   when there is none.  A port behind HOST doesn't count.  */
const rte_route_t *rte_find_route (const rte_table_t *table, const char *host,
                                   const char *target);
const rte_service_t *rte_find_service (const rte_table_t *table,
                                       const char *name);
/* NULL for a key that nobody holds.  */
const rte_account_t *rte_find_account (const rte_table_t *table,
                                       const char *key);

/* The service for a request of ROUTE, by weight; DRAW is from 0 to 1.  */
const char *rte_choose_service (const rte_route_t *route, double draw);

/* A request of ROUTE may be sent again after it may have run.  */
bool rte_may_retry (const rte_route_t *route);

#endif
