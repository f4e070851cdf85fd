/* Placement: constraints and cost of each endpoint.  */

#include "relay/plc.h"

#include "relay/pau.h"

/* Pairs of tokens whose attention takes as long as one token does without
   attention: 4 x layers x width operations a pair against 2 x parameters a
   token, for dense models of some billion parameters.  */
#define ATTENTION_PAIRS_PER_TOKEN 25000.
/* Added for an endpoint that is not the preferred one of the prompt's prefix,
   so that routers without information about caches choose the same
   endpoint.  */
#define NOT_PREFERRED_COST_MS 8.
/* Added for an endpoint of another cell: mostly a connection has to be opened,
   and its load is only estimated.  */
#define OTHER_CELL_COST_MS 6.
/* Added for running requests, in proportion to the load: engines generate
   their tokens between the chunks of a new request's prompt.  */
#define FULL_LOAD_COST_MS 60.
/* Weight of the time to prefill a missing prefix, added to the time itself:
   the prefix evicts others from the cache, which are then prefilled again.  */
#define MISSING_PREFIX_WEIGHT 15.
/* A prompt whose own prefill takes longer than the time left may go to an
   endpoint where it waits for no more than this share of the time left.  */
#define LONG_PROMPT_QUEUEING_SHARE 0.4
/* Up to this load an endpoint has spare capacity: prefilling a prefix there as
   well delays no other request.  */
#define SPARE_CAPACITY_LOAD 0.15
/* Share of an endpoint's KV cache for running requests.  The rest caches
   shared prefixes.  */
#define RUNNING_KV_SHARE 0.85

double
plc_compute_prefill_work (double tokens, double cached)
{
  double pairs = (tokens * tokens - cached * cached) / 2.;

  return MAX (tokens - cached, 0.)
         + MAX (pairs, 0.) / ATTENTION_PAIRS_PER_TOKEN;
}

double
plc_estimate_first_token_ms (const plc_endpoint_t *endpoint,
                             const plc_request_t *request)
{
  return request->base_ms + endpoint->fetch_ms
         + request->ms_per_token * endpoint->slowness
               * (endpoint->pending_prefill + endpoint->own_prefill);
}

/* Time to prefill the prompts that are before REQUEST.  */
static double
estimate_queueing_ms (const plc_endpoint_t *endpoint,
                      const plc_request_t *request)
{
  return request->ms_per_token * endpoint->slowness
         * endpoint->pending_prefill;
}

/* Returns whether the first token is in time; for a prompt that can't be in
   time anywhere, whether it waits for a small share of the time left.  */
static bool
meets_target (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  double first = plc_estimate_first_token_ms (endpoint, request);
  double queueing_ms = estimate_queueing_ms (endpoint, request);

  if (queueing_ms > request->max_queueing_ms)
    return false;
  return first <= request->time_left_ms
         || (first - queueing_ms > request->time_left_ms
             && queueing_ms
                    <= request->time_left_ms * LONG_PROMPT_QUEUEING_SHARE);
}

bool
plc_allows_pauses (const plc_endpoint_t *endpoint,
                   const plc_request_t *request)
{
  pau_endpoint_t state
      = { .level = endpoint->pending_prefill + endpoint->recent_prefill,
          .budget = endpoint->prefill_budget };
  pau_prompt_t prompt = { .own = endpoint->own_prefill,
                          .share = request->budget_share,
                          .max_budget = request->max_budget };

  return endpoint->active == 0 || pau_admits (&state, &prompt);
}

/* Load as the larger used share of slots and of KV cache.  */
static double
compute_load (const plc_endpoint_t *endpoint)
{
  double slots = (double)endpoint->active / endpoint->slots;
  double memory = endpoint->kv_capacity_tokens > 0.
                      ? endpoint->context_tokens / endpoint->kv_capacity_tokens
                      : 0.;

  return MAX (slots, memory);
}

static bool
lacks_kv_cache (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  double memory = endpoint->kv_capacity_tokens * RUNNING_KV_SHARE
                  * request->capacity_share;

  return endpoint->kv_capacity_tokens > 0. && endpoint->active > 0
         && endpoint->context_tokens + request->needed_tokens > memory;
}

/* Returns whether ENDPOINT holds too many request bodies to take that of
   REQUEST.  A single one may be larger than the limit.  */
static bool
lacks_body_memory (const plc_endpoint_t *endpoint,
                   const plc_request_t *request)
{
  return request->max_body_bytes > 0 && request->body_bytes > 0
         && endpoint->body_bytes > 0
         && endpoint->body_bytes + request->body_bytes
                > request->max_body_bytes;
}

/* Returns what ENDPOINT lacks to take REQUEST, whatever its prompt.  */
static plc_shortage_t
find_capacity_shortage (const plc_endpoint_t *endpoint,
                        const plc_request_t *request)
{
  if (endpoint->is_excluded || endpoint->slots == 0)
    return PLC_NO_ENDPOINT;
  if (endpoint->active >= endpoint->slots * request->capacity_share)
    return PLC_SLOTS;
  if (lacks_kv_cache (endpoint, request))
    return PLC_KV_CACHE;
  return lacks_body_memory (endpoint, request) ? PLC_BODIES : PLC_NOTHING;
}

static bool
has_capacity (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  return find_capacity_shortage (endpoint, request) == PLC_NOTHING;
}

const char *
plc_shortage_name (plc_shortage_t shortage)
{
  switch (shortage)
    {
    case PLC_NO_ENDPOINT:
      return "no-endpoint";
    case PLC_SLOTS:
      return "slots";
    case PLC_KV_CACHE:
      return "kv-cache";
    case PLC_BODIES:
      return "bodies";
    case PLC_PREFILL:
      return "prefill";
    case PLC_PAUSES:
      return "pauses";
    case PLC_NOTHING:
    case PLC_SHORTAGES:
      break;
    }
  return "no-room";
}

plc_shortage_t
plc_find_shortage (const plc_endpoint_t *endpoints, guint count,
                   const plc_request_t *request)
{
  plc_shortage_t found = PLC_NO_ENDPOINT;

  for (guint i = 0; i < count; i++)
    {
      plc_shortage_t shortage
          = find_capacity_shortage (&endpoints[i], request);

      if (shortage == PLC_NOTHING
          && estimate_queueing_ms (&endpoints[i], request)
                 > request->max_queueing_ms)
        shortage = PLC_PREFILL;
      else if (shortage == PLC_NOTHING
               && !plc_allows_pauses (&endpoints[i], request))
        shortage = PLC_PAUSES;
      found = MAX (found, shortage);
    }
  return found;
}

/* Returns whether too much of a shared prefix would be prefilled there again.
 */
static bool
lacks_prefix (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  return endpoint->missing_tokens > request->max_missing_tokens
         && compute_load (endpoint) > SPARE_CAPACITY_LOAD;
}

bool
plc_has_candidate (const plc_endpoint_t *endpoints, guint count,
                   const plc_request_t *request)
{
  for (guint i = 0; i < count; i++)
    if (has_capacity (&endpoints[i], request)
        && estimate_queueing_ms (&endpoints[i], request)
               <= request->max_queueing_ms)
      return true;
  return false;
}

/* Cost of placing REQUEST at ENDPOINT, in milliseconds.  */
static double
compute_cost (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  return plc_estimate_first_token_ms (endpoint, request)
         + MISSING_PREFIX_WEIGHT * request->ms_per_token
               * endpoint->missing_tokens
         + compute_load (endpoint) * FULL_LOAD_COST_MS
         + (endpoint->is_preferred ? 0. : NOT_PREFERRED_COST_MS)
         + (endpoint->in_other_zone ? request->other_zone_cost_ms : 0.)
         + (endpoint->in_other_cell ? OTHER_CELL_COST_MS : 0.);
}

int
plc_choose_endpoint (const plc_endpoint_t *endpoints, guint count,
                     const plc_request_t *request)
{
  guint first = count > 0 ? (guint)(request->tie_break * count) % count : 0;
  double best_cost = 0.;
  int best = -1;

  for (guint n = 0; n < count; n++)
    {
      guint i = (first + n) % count;
      double cost;

      if (!has_capacity (&endpoints[i], request)
          || lacks_prefix (&endpoints[i], request)
          || !plc_allows_pauses (&endpoints[i], request)
          || !meets_target (&endpoints[i], request))
        continue;
      cost = compute_cost (&endpoints[i], request);
      if (best < 0 || cost < best_cost)
        {
          best = (int)i;
          best_cost = cost;
        }
    }
  return best;
}
