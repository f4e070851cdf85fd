/* Placement.  Chooses the endpoint for a request from load figures alone.

   Load pattern: long prompts before many short ones, on engines that admit in
   order of arrival.  A request sent to an engine waits until all prompts
   before it are prefilled.  It is therefore sent where its first token is
   expected in time, and stays in the router's queue while there is no such
   endpoint.  Prompts with a common prefix go to the same endpoints while that
   costs little: each engine that prefills the prefix again spends the time for
   it, and the memory to cache it.

   Preferred endpoint: the one that all routers prefer for prompts with the
   same prefix, chosen by rendezvous hashing.  */

#ifndef RELAY_PLC_H
#define RELAY_PLC_H

#include <glib.h>
#include <stdbool.h>

/* The load of one endpoint, and what the request would cost there.  Prefill
   work is in tokens, as computed by plc_compute_prefill_work.  */
typedef struct
{
  unsigned active;           /* running requests of all routers */
  unsigned slots;            /* concurrent requests that it runs; 0: none */
  double pending_prefill;    /* prefill work sent there and not done yet */
  double own_prefill;        /* prefill work of this request */
  double recent_prefill;     /* prefill work finished there lately */
  double prefill_budget;     /* see pau_endpoint_t */
  double slowness;           /* ratio of its times to the average */
  double missing_tokens;     /* tokens of the shared prefix not cached there */
  double fetch_ms;           /* time to copy a cached prefix from elsewhere */
  double context_tokens;     /* KV cache used by running requests */
  double kv_capacity_tokens; /* size of the KV cache; 0: unknown */
  size_t body_bytes;  /* of request bodies that it holds, from this router */
  bool is_preferred;  /* the preferred endpoint of the prompt's prefix */
  bool in_other_zone; /* not in the router's availability zone */
  bool in_other_cell; /* the router has hardly any connections to it */
  bool is_excluded;   /* the request must not go there */
} plc_endpoint_t;

/* The constraints and cost factors of one request.  */
typedef struct
{
  double base_ms;            /* time to first token without prefill */
  double ms_per_token;       /* time for each token of prefill work */
  double time_left_ms;       /* until the first token is late */
  double budget_share;       /* of prefill_budget, see pau_prompt_t */
  double max_budget;         /* the largest prefill_budget */
  double max_queueing_ms;    /* longest prefill of other requests before it */
  double capacity_share;     /* share of slots and KV cache it may fill */
  double needed_tokens;      /* KV cache that it will use */
  size_t body_bytes;         /* of its body */
  size_t max_body_bytes;     /* of bodies at an endpoint; 0: no limit */
  double max_missing_tokens; /* of the shared prefix, where it may go */
  double other_zone_cost_ms; /* cost of another availability zone */
  double tie_break;          /* random, from 0 to 1 */
} plc_request_t;

/* What the endpoint that comes closest to taking a request lacks.  */
typedef enum
{
  PLC_NO_ENDPOINT, /* none may get it */
  PLC_SLOTS,
  PLC_KV_CACHE,
  PLC_BODIES,  /* memory for request bodies */
  PLC_PREFILL, /* time: prompts of other requests are before it */
  PLC_PAUSES,  /* prefill budget: its streams would pause for too long */
  PLC_NOTHING, /* nothing, as far as these go */
  PLC_SHORTAGES
} plc_shortage_t;

/* Returns a word for logs and metrics.  */
const char *plc_shortage_name (plc_shortage_t shortage);
plc_shortage_t plc_find_shortage (const plc_endpoint_t *endpoints, guint count,
                                  const plc_request_t *request);

/* Returns the work to prefill a prompt of TOKENS, of which the first CACHED
   are cached, in tokens of an empty context.  Each token attends to all tokens
   before it, so the work grows faster than the number of tokens.  */
double plc_compute_prefill_work (double tokens, double cached);

/* Returns the expected time to the first token of REQUEST at ENDPOINT.  */
double plc_estimate_first_token_ms (const plc_endpoint_t *endpoint,
                                    const plc_request_t *request);

/* Returns whether the streams that run at ENDPOINT don't pause for too long
   when it gets REQUEST.  */
bool plc_allows_pauses (const plc_endpoint_t *endpoint,
                        const plc_request_t *request);

/* Returns whether any of COUNT endpoints may have capacity for REQUEST,
   whatever they cache.  When false, plc_choose_endpoint would return -1.  */
bool plc_has_candidate (const plc_endpoint_t *endpoints, guint count,
                        const plc_request_t *request);

/* Returns the index of the best of COUNT endpoints; -1 when the request has to
   wait.  */
int plc_choose_endpoint (const plc_endpoint_t *endpoints, guint count,
                         const plc_request_t *request);

#endif
