/* Placement.  */

#include "relay/plc.h"

/* So many pairs of a prompt's tokens take as long as one token by itself: 4 x
   layers x width operations a pair against 2 x parameters a token, for dense
   models of some billion parameters.  */
#define ATTENTION_PAIRS_PER_TOKEN 25000.
/* An endpoint that is not the home of a prompt must be better by so much, so
   that routers which know nothing yet choose the same one.  */
#define NOT_HOME_COST_MS 8.
/* What running requests add to the time of a new one, at full memory: their
   tokens are made between the parts of its prompt.  */
#define FULL_LOAD_COST_MS 60.
/* A beginning that is read again costs its own time, and the same again for
   what it pushes out of the cache.  */
#define MISSING_PREFIX_WEIGHT 15.
/* A prompt that takes longer to read than there is time may still go where it
   waits for no more than this share of the time left.  */
#define LONG_PROMPT_QUEUEING_SHARE 0.4
/* An endpoint filled no more than this has room to spare: a beginning that is
   read there too takes nothing from others.  */
#define SPARE_CAPACITY_LOAD 0.15
/* Of an endpoint's memory, running requests get so much; the rest keeps shared
   beginnings.  */
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
         + request->ms_per_token
               * (endpoint->pending_prefill + endpoint->own_prefill);
}

static double
queueing_ms (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  return request->ms_per_token * endpoint->pending_prefill;
}

static bool
meets_target (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  double first = plc_estimate_first_token_ms (endpoint, request);
  double others = queueing_ms (endpoint, request);

  if (others > request->max_queueing_ms)
    return false;
  return first <= request->time_left_ms
         || (first - others > request->time_left_ms
             && others <= request->time_left_ms * LONG_PROMPT_QUEUEING_SHARE);
}

static double
get_load (const plc_endpoint_t *endpoint)
{
  double slots = (double)endpoint->active / endpoint->slots;
  double memory = endpoint->kv_capacity_tokens > 0.
                      ? endpoint->context_tokens / endpoint->kv_capacity_tokens
                      : 0.;

  return MAX (slots, memory);
}

static bool
has_capacity (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  double slots = endpoint->slots * request->capacity_share;
  double memory = endpoint->kv_capacity_tokens * RUNNING_KV_SHARE
                  * request->capacity_share;

  if (endpoint->slots == 0 || endpoint->active >= slots)
    return false;
  return endpoint->kv_capacity_tokens <= 0. || endpoint->active == 0
         || endpoint->context_tokens + request->needed_tokens <= memory;
}

/* Too much of a shared prefix would be prefilled there again.  */
static bool
lacks_prefix (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  return endpoint->missing_tokens > request->max_missing_tokens
         && get_load (endpoint) > SPARE_CAPACITY_LOAD;
}

bool
plc_has_candidate (const plc_endpoint_t *endpoints, guint count,
                   const plc_request_t *request)
{
  for (guint i = 0; i < count; i++)
    if (has_capacity (&endpoints[i], request)
        && queueing_ms (&endpoints[i], request) <= request->max_queueing_ms)
      return true;
  return false;
}

static double
compute_cost (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  return plc_estimate_first_token_ms (endpoint, request)
         + MISSING_PREFIX_WEIGHT * request->ms_per_token
               * endpoint->missing_tokens
         + get_load (endpoint) * FULL_LOAD_COST_MS
         + (endpoint->is_home ? 0. : NOT_HOME_COST_MS)
         + (endpoint->in_other_zone ? request->other_zone_cost_ms : 0.);
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
