/* Placement.  */

#include "relay/plc.h"

/* So many pairs of a prompt's tokens take as long as one token by itself: 4 x
   layers x width operations a pair against 2 x parameters a token, for dense
   models of some billion parameters.  */
#define PAIRS_A_TOKEN 25000.
/* An endpoint that is not the home of a prompt must be better by so much, so
   that routers which know nothing yet choose the same one.  */
#define AWAY_MS 8.
/* What running requests add to the time of a new one, at full memory: their
   tokens are made between the parts of its prompt.  */
#define FULL_MS 60.
/* A beginning that is read again costs its own time, and the same again for
   what it pushes out of the cache.  */
#define AGAIN 15.
/* A prompt that takes longer to read than there is time may still go where it
   waits for no more than this share of the time left.  */
#define LONG_SHARE 0.4
/* An endpoint filled no more than this has room to spare: a beginning that is
   read there too takes nothing from others.  */
#define SPARE 0.15
/* Of an endpoint's memory, running requests get so much; the rest keeps shared
   beginnings.  */
#define MEMORY_SHARE 0.85

double
plc_reading (double tokens, double kept)
{
  double pairs = (tokens * tokens - kept * kept) / 2.;

  return MAX (tokens - kept, 0.) + MAX (pairs, 0.) / PAIRS_A_TOKEN;
}

double
plc_first_token (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  return request->base_ms + endpoint->fetch_ms
         + request->ms_per_work * (endpoint->pending_prefill + endpoint->own);
}

static double
others_ms (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  return request->ms_per_work * endpoint->pending_prefill;
}

static bool
is_in_time (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  double first = plc_first_token (endpoint, request);
  double others = others_ms (endpoint, request);

  if (others > request->max_queueing_ms)
    return false;
  return first <= request->left_ms
         || (first - others > request->left_ms
             && others <= request->left_ms * LONG_SHARE);
}

static double
fullness (const plc_endpoint_t *endpoint)
{
  double slots = (double)endpoint->active / endpoint->slots;
  double memory = endpoint->memory > 0.
                      ? endpoint->context_tokens / endpoint->memory
                      : 0.;

  return MAX (slots, memory);
}

static bool
has_room (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  double slots = endpoint->slots * request->capacity_share;
  double memory = endpoint->memory * MEMORY_SHARE * request->capacity_share;

  if (endpoint->slots == 0 || endpoint->active >= slots)
    return false;
  return endpoint->memory <= 0. || endpoint->active == 0
         || endpoint->context_tokens + request->size <= memory;
}

/* Too much of a shared prefix would be prefilled there again.  */
static bool
lacks_prefix (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  return endpoint->missing > request->missing_most
         && fullness (endpoint) > SPARE;
}

bool
plc_may_place (const plc_endpoint_t *endpoints, guint count,
               const plc_request_t *request)
{
  for (guint i = 0; i < count; i++)
    if (has_room (&endpoints[i], request)
        && others_ms (&endpoints[i], request) <= request->max_queueing_ms)
      return true;
  return false;
}

static double
cost_of (const plc_endpoint_t *endpoint, const plc_request_t *request)
{
  return plc_first_token (endpoint, request)
         + AGAIN * request->ms_per_work * endpoint->missing
         + fullness (endpoint) * FULL_MS + (endpoint->home ? 0. : AWAY_MS)
         + (endpoint->far ? request->far_ms : 0.);
}

int
plc_choose (const plc_endpoint_t *endpoints, guint count,
            const plc_request_t *request)
{
  guint first = count > 0 ? (guint)(request->draw * count) % count : 0;
  double best_cost = 0.;
  int best = -1;

  for (guint n = 0; n < count; n++)
    {
      guint i = (first + n) % count;
      double cost;

      if (!has_room (&endpoints[i], request)
          || lacks_prefix (&endpoints[i], request)
          || !is_in_time (&endpoints[i], request))
        continue;
      cost = cost_of (&endpoints[i], request);
      if (best < 0 || cost < best_cost)
        {
          best = (int)i;
          best_cost = cost;
        }
    }
  return best;
}
