/* Placement of requests that wait: what all of one round share is gathered
   once, the choice itself is plc.h's.  */

#include "relay/rly-private.h"

#include "relay/cold.h"

#include <math.h>
#include <xxhash.h>

/* The aim is the caller's; the rest goes on the way and in estimates.  */
#define AIM_SHARE 0.8
/* Share of the latency objective that may pass behind others' prefill.  What
   would wait longer waits here, where the order is ours.  */
#define MAX_QUEUEING_SHARE 0.5
/* Share of an endpoint's slots and memory that is kept from accounts that are
   held back wholly: a slot that gets free is taken at once, by whoever waits.
 */
#define OVER_RESERVE 0.3
/* Of slots and memory, for requests that are past their latency objective: an
   endpoint below this is as fast for the others as one that is idle.  */
#define LATE_CAPACITY_SHARE 0.4
/* An endpoint keeps a beginning when no more than this share is missing.  */
#define MISSING_SHARE 0.1
/* Bytes between availability zones are paid for, and links between them are
   slower.  A kilobyte that has to cross is as bad as so much delay: less
   than reading some hundred tokens again.  With 4 ms more is read again than
   crossings save.  */
#define FAR_MS_A_KB 1.5
/* Of an event stream.  */
#define BYTES_A_TOKEN 8.
/* Longest copy, in times of the prefill that it saves: the prefill
   would delay all other requests at the endpoint.  */
#define COPY_WORTH 3.
/* From the order to copy a cached prefix until its first byte.  */
#define TRANSFER_SETUP_MS 3.
/* Of all routers, to an endpoint whose service names no warm-up rate.  */
#define COLD_USUAL_PER_S 4.
/* Slots of an endpoint that doesn't tell.  */
#define USUAL_SLOTS 8

static unsigned
slots_of (const edp_t *edp, const rte_service_t *terms)
{
  if (edp->report->slots > 0)
    return edp->report->slots;
  return terms != NULL && terms->slots > 0 ? terms->slots : USUAL_SLOTS;
}

/* Requests a second that EDP takes from this router while it is cold.  */
static double
cold_rate_of (const rly_round_t *round, const edp_t *edp)
{
  double per_s = round->terms != NULL ? round->terms->cold_per_s : 0.;

  if (per_s <= 0.)
    per_s = COLD_USUAL_PER_S;
  return cold_rate_per_router (per_s, round->rly->routers, edp->cold_rank);
}

static bool
is_far (const rly_round_t *round, const edp_t *edp)
{
  const char *zone = round->rly->bounds.zone;

  return zone != NULL && edp->report->zone != NULL
         && !g_str_equal (zone, edp->report->zone);
}

/* What holds for all requests.  */
static plc_endpoint_t
figures_of (const rly_round_t *round, edp_t *edp)
{
  plc_endpoint_t figures
      = { .active = edp->active + edp->peer_active,
          .unread = edp->unread + edp->peer_pending_prefill,
          .context = edp->context + edp->peer_context_tokens,
          .far = is_far (round, edp) };

  if (edp_allows_request (edp, round->now, cold_rate_of (round, edp)))
    figures.slots = slots_of (edp, round->terms);
  if (round->terms != NULL)
    figures.memory = (double)round->terms->memory_tokens;
  return figures;
}

void
rly_round_begin (rly_round_t *round, rly_t *rly, rly_service_t *service,
                 cfd_time_t now)
{
  round->rly = rly;
  round->service = service;
  round->terms = rte_find_service (rly->table, service->name);
  round->now = now;
  round->base_ms = fit_base (&service->first_token);
  round->ms_per_work = fit_slope (&service->first_token);
  round->count = 0;
  round->has_room = false;
  list_for_each (node, edp_set_endpoints (rly->endpoints))
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (round->count == RLY_ENDPOINTS_MOST || !edp_is_open (edp, now)
          || !g_str_equal (edp->report->service, service->name))
        continue;
      round->edps[round->count] = edp;
      round->figures[round->count] = figures_of (round, edp);
      round->has_room |= round->figures[round->count].active
                         < round->figures[round->count].slots;
      round->count++;
    }
}

/* What it is as bad as that REQUEST and its answer cross between zones.  */
static double
far_ms (const rly_request_t *request)
{
  double bytes
      = ent_get_body (request->call)->len + request->output * BYTES_A_TOKEN;

  if (!rly_has (request->rly, MECH_ZONE_COST))
    return 0.;
  return bytes / 1024. * FAR_MS_A_KB;
}

/* The endpoint that all routers choose for prompts with this beginning, while
   nothing speaks against it: rendezvous hashing.  */
static const edp_t *
home_of (const rly_round_t *round, const pfx_prompt_t *prompt)
{
  uint64_t part = pfx_prompt_get_shared_id (prompt);
  const edp_t *home = NULL;
  uint64_t best = 0;

  for (guint i = 0; part != 0 && i < round->count; i++)
    {
      const edp_t *edp = round->edps[i];
      uint64_t score
          = XXH3_64bits_withSeed (&edp->hash, sizeof edp->hash, part);

      if (home == NULL || score > best)
        {
          home = edp;
          best = score;
        }
    }
  return home;
}

/* Milliseconds in which an endpoint copies TOKENS of a cached prefix from
   another one; 0 when the service has no transfers.  */
static double
transfer_ms (const rly_round_t *round, double tokens)
{
  const rte_service_t *terms = round->terms;

  if (terms == NULL || terms->link_mbps <= 0.
      || !rly_has (round->rly, MECH_PREFIX_FETCH))
    return 0.;
  return TRANSFER_SETUP_MS
         + tokens * terms->bytes_per_token * 8. / (terms->link_mbps * 1000.);
}

/* The prefill work of PROMPT at endpoint I, or what is left of it after a copy
   of the cached prefix from another endpoint, where that is worth its time. */
static void
add_work (rly_round_t *round, const pfx_prompt_t *prompt, guint i)
{
  plc_endpoint_t *figures = &round->figures[i];
  double cached = round->cached[i];
  double most = round->cached[round->source];
  double copy_ms = transfer_ms (round, most - cached);
  double left = plc_reading (prompt->tokens, most);

  figures->own = plc_reading (prompt->tokens, cached);
  figures->fetch_ms = 0.;
  if (copy_ms <= 0.
      || copy_ms >= round->ms_per_work * (figures->own - left) * COPY_WORTH)
    return;
  figures->own = left;
  figures->fetch_ms = copy_ms;
}

/* What prefilling the prompt costs at each endpoint; true when one caches most
   of its shared parts.  */
static bool
add_prompt (rly_round_t *round, const rly_request_t *request)
{
  const pfx_prompt_t *prompt = request->prompt;
  bool affinity = rly_has (round->rly, MECH_PREFIX_AFFINITY);
  const edp_t *home = affinity ? home_of (round, prompt) : NULL;
  double shared = pfx_prompt_count_shared_tokens (prompt);

  round->source = 0;
  for (guint i = 0; i < round->count; i++)
    {
      round->cached[i] = pfx_count_cached_tokens (
          round->rly->pfx, round->now, round->edps[i]->hash, prompt);
      if (round->cached[i] > round->cached[round->source])
        round->source = i;
    }
  for (guint i = 0; i < round->count; i++)
    {
      add_work (round, prompt, i);
      round->figures[i].missing = affinity ? shared - round->cached[i] : 0.;
      round->figures[i].home = round->edps[i] == home;
    }
  return round->count > 0
         && round->cached[round->source] >= shared * (1. - MISSING_SHARE);
}

/* The most that may be missing of its beginning where REQUEST goes now.  It
   waits for an endpoint that keeps it: with all of them full, a slot that gets
   free anywhere would else be taken by whoever waits, and each beginning be
   read everywhere.  */
static double
missing_most (const rly_request_t *request)
{
  if (request->tries > 0 || request->line->behind
      || !rly_has (request->rly, MECH_PREFIX_WAIT))
    return HUGE_VAL;
  return pfx_prompt_count_shared_tokens (request->prompt) * MISSING_SHARE;
}

static plc_request_t
constraints_of (const rly_round_t *round, const rly_request_t *request)
{
  /* What is late already goes where one that came just now would.  */
  bool anew = request->tries > 0 || request->late;
  int64_t waited = anew ? 0 : round->now - request->asked;
  double allowed
      = request->late ? request->line->late_allowed : request->line->allowed;
  plc_request_t constraints
      = { .left_ms
          = (double)request->target_latency_ms * AIM_SHARE - (double)waited,
          .max_queueing_ms = HUGE_VAL,
          .missing_most = HUGE_VAL,
          .capacity_share = 1.,
          .far_ms = far_ms (request),
          .draw = g_random_double () };

  if (request->prompt == NULL)
    return constraints;
  constraints.max_queueing_ms
      = (double)request->target_latency_ms * MAX_QUEUEING_SHARE * allowed;
  constraints.capacity_share = 1. - OVER_RESERVE * (1. - allowed);
  if (request->late)
    constraints.capacity_share = LATE_CAPACITY_SHARE;
  constraints.base_ms = round->base_ms;
  constraints.ms_per_work = round->ms_per_work;
  constraints.size = request->prompt->tokens + request->output;
  return constraints;
}

/* Where REQUEST failed last it isn't sent again, as long as there is another
   endpoint.  */
static int
choose (rly_round_t *round, const rly_request_t *request,
        const plc_request_t *constraints)
{
  unsigned slots = 0;
  guint failed = round->count;
  int chosen;

  for (guint i = 0; i < round->count && request->last_failed != NULL; i++)
    if (g_str_equal (round->edps[i]->report->id, request->last_failed))
      failed = i;
  if (failed < round->count && round->count > 1)
    {
      slots = round->figures[failed].slots;
      round->figures[failed].slots = 0;
    }
  chosen = plc_choose (round->figures, round->count, constraints);
  if (failed < round->count && round->count > 1)
    round->figures[failed].slots = slots;
  return chosen;
}

bool
rly_round_place (rly_round_t *round, rly_request_t *request)
{
  plc_request_t constraints;
  plc_endpoint_t *figures;
  const edp_t *source = NULL;
  edp_t *edp;
  int chosen;

  if (!round->has_room)
    return false;
  constraints = constraints_of (round, request);
  /* At high load most requests find all endpoints full: nothing is looked up
     for these.  */
  if (!plc_may_place (round->figures, round->count, &constraints))
    return false;
  if (request->prompt != NULL && add_prompt (round, request))
    constraints.missing_most = missing_most (request);
  chosen = choose (round, request, &constraints);
  /* A process that is behind reads a request, and the end of its connection a
     turn later: by then an endpoint would work for a caller who left.  */
  if (chosen < 0 || !ent_is_client_connected (request->call))
    return false;
  edp = round->edps[chosen];
  figures = &round->figures[chosen];
  request->ahead = figures->unread + figures->own;
  request->unread = request->prompt != NULL ? figures->own : 0.;
  request->context = constraints.size;
  request->fetch_ms = request->prompt != NULL ? figures->fetch_ms : 0.;
  if (request->fetch_ms > 0.)
    source = round->edps[round->source];
  if (!rly_send (request, edp, source, round->now))
    {
      figures->slots = 0;
      return false;
    }
  *figures = figures_of (round, edp);
  return true;
}

int64_t
rly_longest_wait (const rly_request_t *request)
{
  const fit_t *line = &request->service->first_token;
  const pfx_prompt_t *prompt = request->prompt;
  double aim = (double)request->target_latency_ms * AIM_SHARE;
  double reading;

  if (prompt == NULL)
    return (int64_t)(aim * RLY_PLAIN_PATIENCE);
  reading
      = plc_reading (prompt->tokens, pfx_prompt_count_shared_tokens (prompt));
  return (int64_t)MAX (aim - fit_base (line) - fit_slope (line) * reading,
                       aim * RLY_LONG_PATIENCE);
}
