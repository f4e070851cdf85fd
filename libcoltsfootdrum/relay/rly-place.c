/* The relay of requests: placement of a waiting request.  The load of the
   endpoints is collected once for each round; plc.h makes the choice.  */

#include "relay/rly-private.h"

#include "base/log.h"
#include "relay/cold.h"

#include <math.h>
#include <xxhash.h>

/* Share of the caller's target latency that placement plans with.  The rest is
   for the network and for errors of the estimates.  */
#define TARGET_LATENCY_SHARE 0.8
/* Share of the target latency that may pass behind the prefill of other
   requests.  A request that would wait longer stays in the router, which can
   still change the order.  */
#define MAX_QUEUEING_SHARE 0.5
/* Share of an endpoint's slots and KV cache that fully throttled accounts must
   leave to others.  Without it, their waiting requests would take each free
   slot at once.  */
#define THROTTLED_RESERVE_SHARE 0.3
/* Share of slots and KV cache that late requests may fill: below this load an
   endpoint is as fast for the other requests as an idle one.  */
#define LATE_CAPACITY_SHARE 0.4
/* An endpoint counts as caching a prefix when no more than this share of it is
   missing.  */
#define MAX_MISSING_SHARE 0.1
/* Cost of a kilobyte sent between availability zones, in milliseconds of
   delay: that traffic is billed, and the links are slower.  The cost is less
   than that of prefilling some hundred tokens again.  */
#define OTHER_ZONE_MS_PER_KB 1.5
/* Size of a generated token in an event stream.  */
#define STREAM_BYTES_PER_TOKEN 8.
/* Longest copy of a cached prefix, as a multiple of the prefill time that it
   saves.  It may take longer than the prefill, which would delay all other
   requests at the endpoint.  */
#define MAX_COPY_TIME_FACTOR 3.
/* Time from the command to copy a cached prefix until its first byte.  */
#define TRANSFER_SETUP_MS 3.
/* Warm-up rate of services that set none, for all routers together.  */
#define DEFAULT_COLD_PER_S 4.
/* Endpoints of other cells that a placement round considers.  */
#define SPILLOVER_ENDPOINTS 8
/* Time to prefill a shared prefix from which on a request may go to another
   cell, where the prefix is cached: about that to open a connection.  */
#define MIN_REMOTE_PREFIX_MS 3.
/* Failures in a row after which an endpoint may have ended, though it is still
   listed.  Others of its version may have, too.  */
#define MAX_FAILURES 3
/* Slots of an endpoint when neither its report nor its service gives them.  */
#define DEFAULT_SLOTS 8

/* Request bodies that an endpoint holds at a time, from all routers: one that
   runs out of memory ends with all its requests.  */
#define MAX_ENDPOINT_BODY_BYTES 67108864u
/* The least part of that for one router: the largest body by default.  */
#define MIN_ROUTER_BODY_BYTES 4194304u

static unsigned
get_slots (const edp_t *edp, const rte_service_t *config)
{
  if (edp->report->slots > 0)
    return edp->report->slots;
  return config != NULL && config->slots > 0 ? config->slots : DEFAULT_SLOTS;
}

/* Returns the requests a second that this router may send to EDP while it is
   cold.  */
static double
compute_cold_rate (const rly_round_t *round, const edp_t *edp)
{
  double per_s = round->config != NULL ? round->config->cold_per_s : 0.;

  if (per_s <= 0.)
    per_s = DEFAULT_COLD_PER_S;
  return cold_rate_per_router (per_s, round->rly->routers, edp->cold_rank,
                               round->rly->is_list_old);
}

static bool
is_in_other_zone (const rly_round_t *round, const edp_t *edp)
{
  const char *zone = round->rly->settings.zone;

  return zone != NULL && edp->report->zone != NULL
         && !g_str_equal (zone, edp->report->zone);
}

/* Collects the load figures of EDP that are the same for all requests.  */
static plc_endpoint_t
collect_load (const rly_round_t *round, edp_t *edp)
{
  /* Routers of other cells send no details, but put about as much load on an
     endpoint that they share as those of this cell.  */
  unsigned cells = edp->cell_count;
  plc_endpoint_t load
      = { .active = (edp->active + edp->peer_active) * cells,
          .pending_prefill
          = (edp->pending_prefill + edp->peer_pending_prefill) * cells,
          .context_tokens
          = (edp->context_tokens + edp->peer_context_tokens) * cells,
          .slowness = 1.,
          .body_bytes = edp->body_bytes,
          .in_other_zone = is_in_other_zone (round, edp) };

  if (rly_is_enabled (round->rly, MECH_ENDPOINT_SPEED))
    load.slowness = spd_get_slowness (&edp->speed, round->now);
  edp->pause_window_ms = round->pauses.window_ms;
  load.prefill_budget = pau_compute_budget (&round->pauses, load.slowness);
  load.recent_prefill = pau_get_recent (&edp->finished_prefill, round->now,
                                        round->pauses.window_ms)
                        * cells;
  if (edp_allows_request (edp, round->now, compute_cold_rate (round, edp)))
    load.slots = get_slots (edp, round->config);
  if (round->config != NULL)
    load.kv_capacity_tokens = (double)round->config->memory_tokens;
  return load;
}

static void
add_endpoint (rly_round_t *round, edp_t *edp)
{
  guint i = round->count + round->canary_count;

  round->endpoints[i] = edp;
  round->loads[i] = collect_load (round, edp);
  round->has_free_slot |= round->loads[i].active < round->loads[i].slots;
  if (round->loads[i].slots > 0)
    round->max_budget
        = MAX (round->max_budget, round->loads[i].prefill_budget);
}

/* Adds those of ENDPOINTS that are of STANDING and open.  */
static void
add_endpoints (rly_round_t *round, const GPtrArray *endpoints,
               edp_standing_t standing)
{
  guint *count = standing == EDP_CANARY ? &round->canary_count : &round->count;

  for (guint i = 0; endpoints != NULL && i < endpoints->len; i++)
    {
      edp_t *edp = g_ptr_array_index (endpoints, i);

      if (round->count + round->canary_count == RLY_MAX_ENDPOINTS)
        return;
      round->has_resting |= edp_is_resting (edp, round->now);
      round->has_registered |= edp->is_registered && edp_is_usable (edp)
                               && edp->standing == EDP_CURRENT
                               && edp->consecutive_failures < MAX_FAILURES;
      round->has_unregistered |= !edp->is_registered;
      if (edp->standing != standing || !edp_is_open (edp, round->now))
        continue;
      add_endpoint (round, edp);
      ++*count;
    }
}

/* Adds a few endpoints of other cells, drawn at random: those of the own cell
   are all down or full.  */
static void
add_spillover (rly_round_t *round, const GPtrArray *endpoints)
{
  guint first;

  if (endpoints == NULL || endpoints->len == 0)
    return;
  first = (guint)g_random_int_range (0, (gint32)endpoints->len);
  for (guint i = 0; i < endpoints->len && round->count < SPILLOVER_ENDPOINTS;
       i++)
    {
      edp_t *edp = g_ptr_array_index (endpoints, (first + i) % endpoints->len);

      if (edp->standing != EDP_CURRENT || !edp_is_open (edp, round->now))
        continue;
      add_endpoint (round, edp);
      round->has_unregistered |= !edp->is_registered;
      round->count++;
    }
}

/* Sets the mean load of the endpoints of this cell.  */
static void
compute_means (rly_round_t *round)
{
  guint count = MAX (round->count, 1);

  round->mean_active = 0.;
  round->mean_prefill = 0.;
  for (guint i = 0; i < round->count; i++)
    {
      round->mean_active += (double)round->loads[i].active / count;
      round->mean_prefill += round->loads[i].pending_prefill / count;
    }
}

/* Returns what limits the pauses of streams of SERVICE.  */
static pau_service_t
get_pause_limit (const rly_t *rly, const rly_service_t *service)
{
  const rte_service_t *config = rte_find_service (rly->table, service->name);
  pau_service_t pauses = { .event_ms = service->event_ms,
                           .ms_per_token = fit_slope (&service->prefill_fit) };

  if (config != NULL && config->is_engine
      && rly_is_enabled (rly, MECH_PAUSE_LIMIT))
    pauses.window_ms = pau_compute_window_ms (
        rte_get_max_pause_ms (rly->table, service->name));
  return pauses;
}

void
rly_begin_round (rly_round_t *round, rly_t *rly, rly_service_t *service,
                 cfd_time_t now)
{
  const GPtrArray *near = edp_set_get_near (rly->endpoints, service->name);

  round->rly = rly;
  round->service = service;
  round->config = rte_find_service (rly->table, service->name);
  round->now = now;
  round->base_ms = fit_base (&service->first_token_fit);
  round->ms_per_token = fit_slope (&service->first_token_fit);
  round->pauses = get_pause_limit (rly, service);
  round->max_budget = 0.;
  round->has_free_slot = false;
  round->has_resting = false;
  round->has_exclusions = false;
  round->has_registered = false;
  round->has_unregistered = false;
  round->rollout = rol_find (rly->rol, service->name);
  round->count = 0;
  round->canary_count = 0;
  round->has_remote = false;
  add_endpoints (round, near, EDP_CURRENT);
  if (round->count == 0)
    add_spillover (round, edp_set_get_all (rly->endpoints, service->name));
  if (round->rollout != NULL)
    add_endpoints (round, near, EDP_CANARY);
  compute_means (round);
}

/* Returns the share of the usual queueing time and capacity that REQUEST may
   use.  */
static double
get_allowance (const rly_request_t *request)
{
  return request->is_late ? request->queue->late_allowance
                          : request->queue->allowance;
}

static double
get_budget_share (const rly_request_t *request)
{
  return pau_compute_share (get_allowance (request),
                            request->queue->is_underserved);
}

/* Returns the cost of sending REQUEST and its answer between availability
   zones.  */
static double
estimate_zone_cost_ms (const rly_request_t *request)
{
  double bytes = ent_get_body (request->call)->len
                 + request->output_tokens * STREAM_BYTES_PER_TOKEN;

  if (!rly_is_enabled (request->rly, MECH_ZONE_COST))
    return 0.;
  return bytes / 1024. * OTHER_ZONE_MS_PER_KB;
}

/* Returns the preferred endpoint of PROMPT's shared prefix, by rendezvous
   hashing; NULL when it has none.  */
static const edp_t *
find_preferred_endpoint (const rly_round_t *round, const pfx_prompt_t *prompt)
{
  uint64_t prefix_id = pfx_prompt_get_shared_id (prompt);
  const edp_t *preferred = NULL;
  uint64_t best = 0;

  for (guint i = 0; prefix_id != 0 && i < round->count; i++)
    {
      const edp_t *edp = round->endpoints[i];
      uint64_t weight = edp_compute_weight (edp, prefix_id);

      if (preferred == NULL || weight > best)
        {
          preferred = edp;
          best = weight;
        }
    }
  return preferred;
}

/* Returns the load of EDP, which is of another cell: what the routers of each
   cell send there for its prefixes, which is known of this cell alone, and the
   usual load of its own cell.  */
static plc_endpoint_t
estimate_remote_load (const rly_round_t *round, edp_t *edp)
{
  unsigned cells = edp_set_get_cells (round->rly->endpoints);
  plc_endpoint_t load = collect_load (round, edp);

  load.active = load.active * cells + (unsigned)ceil (round->mean_active);
  load.pending_prefill = load.pending_prefill * cells + round->mean_prefill;
  load.context_tokens *= cells;
  load.in_other_cell = true;
  return load;
}

/* Returns whether REQUEST, which would begin a stream, is kept from
   unregistered versions.  When all routers ended, a stream that began at one
   would be taken for one of the registered version.  */
static bool
needs_registered (const rly_round_t *round, const rly_request_t *request)
{
  return round->has_registered && round->has_unregistered
         && request->route->resumable && request->origin == ORG_ANY;
}

/* Returns whether EDP may get REQUEST, as far as their versions go.  */
static bool
fits_version (const rly_round_t *round, const rly_request_t *request,
              const edp_t *edp)
{
  return rly_fits_origin (request, edp)
         && (edp->is_registered || !needs_registered (round, request));
}

/* Returns whether an endpoint of this cell may continue the stream of REQUEST,
   now or later.  */
static bool
has_near_origin (const rly_request_t *request)
{
  const GPtrArray *near
      = edp_set_get_near (request->rly->endpoints, request->service->name);

  for (guint i = 0; near != NULL && i < near->len; i++)
    {
      const edp_t *edp = g_ptr_array_index (near, i);

      if (rly_fits_origin (request, edp) && edp_is_usable (edp))
        return true;
    }
  return false;
}

/* Returns the endpoint of another cell at which the stream of REQUEST goes on,
   by rendezvous hashing; NULL if none is open.  */
static edp_t *
choose_of_origin (const rly_round_t *round, const rly_request_t *request)
{
  const GPtrArray *all
      = edp_set_get_all (round->rly->endpoints, round->service->name);
  edp_t *chosen = NULL;
  uint64_t best = 0;

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      edp_t *edp = g_ptr_array_index (all, i);
      uint64_t weight = edp_compute_weight (edp, request->stream_key);

      if (!rly_fits_origin (request, edp) || edp->standing != EDP_CURRENT
          || !edp_is_open (edp, round->now) || edp_is_cold (edp, round->now)
          || rly_has_failed_at (request, edp)
          || (chosen != NULL && weight <= best))
        continue;
      chosen = edp;
      best = weight;
    }
  return chosen;
}

/* Adds an endpoint of another cell when the version at which the stream of
   REQUEST began serves only there.  Returns whether one was added.  */
static bool
add_of_origin (rly_round_t *round, const rly_request_t *request)
{
  edp_t *edp;

  if (request->origin == ORG_ANY || round->canary_count > 0
      || round->count == RLY_MAX_ENDPOINTS
      || edp_set_get_cells (round->rly->endpoints) == 1
      || has_near_origin (request))
    return false;
  edp = choose_of_origin (round, request);
  if (edp == NULL)
    return false;
  round->has_remote = true;
  round->endpoints[round->count] = edp;
  round->loads[round->count] = estimate_remote_load (round, edp);
  return true;
}

/* Adds the endpoint that the routers of all cells prefer for the prefix of
   REQUEST, unless it is of this cell.  If each cell used an endpoint of its
   own, a long prefix would be prefilled once in each.  */
static void
add_remote (rly_round_t *round, const rly_request_t *request)
{
  const pfx_prompt_t *prompt = request->prompt;
  const rly_t *rly = round->rly;
  edp_t *edp;

  if (edp_set_get_cells (rly->endpoints) == 1 || round->canary_count > 0
      || round->count == RLY_MAX_ENDPOINTS || request->tries > 0
      || request->origin != ORG_ANY
      || !rly_is_enabled (rly, MECH_PREFIX_AFFINITY)
      || pfx_prompt_get_shared_id (prompt) == 0
      || pfx_prompt_count_shared_tokens (prompt) * round->ms_per_token
             < MIN_REMOTE_PREFIX_MS)
    return;
  edp = edp_set_find_preferred (rly->endpoints, round->service->name,
                                round->now, pfx_prompt_get_shared_id (prompt));
  /* The warm-up rate of a cold endpoint is shared out in its own cell.  */
  if (edp == NULL || edp->is_near || edp_is_cold (edp, round->now))
    return;
  if (request->route->resumable && round->has_registered
      && !edp->is_registered)
    return;
  round->has_remote = true;
  round->endpoints[round->count] = edp;
  round->loads[round->count] = estimate_remote_load (round, edp);
}

/* Returns the number of endpoints that the current request may go to.  */
static guint
count_candidates (const rly_round_t *round)
{
  return round->count + round->canary_count + round->has_remote;
}

/* Returns the milliseconds that an endpoint needs to copy TOKENS of a cached
   prefix from another one; 0 when the service has no transfers.  */
static double
estimate_transfer_ms (const rly_round_t *round, double tokens)
{
  const rte_service_t *config = round->config;

  if (config == NULL || config->link_mbps <= 0.
      || !rly_is_enabled (round->rly, MECH_PREFIX_FETCH))
    return 0.;
  return TRANSFER_SETUP_MS
         + tokens * config->bytes_per_token * 8. / (config->link_mbps * 1000.);
}

/* Sets the prefill work of PROMPT at endpoint I.  Where copying the cached
   prefix from another endpoint is worth its time, sets the work that is left
   after the copy.  */
static void
set_prefill_work (rly_round_t *round, const pfx_prompt_t *prompt, guint i)
{
  plc_endpoint_t *load = &round->loads[i];
  double cached = round->cached_tokens[i];
  double max_cached = round->cached_tokens[round->source];
  double copy_ms = estimate_transfer_ms (round, max_cached - cached);
  double prefill_left = plc_compute_prefill_work (prompt->tokens, max_cached);

  load->own_prefill = plc_compute_prefill_work (prompt->tokens, cached);
  load->fetch_ms = 0.;
  if (copy_ms <= 0.
      || copy_ms >= round->ms_per_token * (load->own_prefill - prefill_left)
                        * MAX_COPY_TIME_FACTOR)
    return;
  load->own_prefill = prefill_left;
  load->fetch_ms = copy_ms;
}

/* Returns whether an endpoint caches most of the SHARED tokens of REQUEST, and
   could get it if it prefilled nothing else.  REQUEST would wait in vain for
   one that is too slow for it.  */
static bool
is_cached_in_reach (const rly_round_t *round, const rly_request_t *request,
                    double shared)
{
  plc_request_t constraints = { .budget_share = get_budget_share (request),
                                .max_budget = round->max_budget };
  guint count = round->count > 0 ? round->count + round->has_remote : 0;

  for (guint i = 0; i < count; i++)
    {
      plc_endpoint_t idle = round->loads[i];

      idle.pending_prefill = 0.;
      idle.recent_prefill = 0.;
      if (round->cached_tokens[i] >= shared * (1. - MAX_MISSING_SHARE)
          && plc_allows_pauses (&idle, &constraints))
        return true;
    }
  return false;
}

/* Sets the prefill work of REQUEST at each endpoint.  Returns whether an
   endpoint caches most of its shared prefix.  */
static bool
set_prompt_work (rly_round_t *round, const rly_request_t *request)
{
  const pfx_prompt_t *prompt = request->prompt;
  bool affinity = rly_is_enabled (round->rly, MECH_PREFIX_AFFINITY);
  const edp_t *preferred = affinity && !round->has_remote
                               ? find_preferred_endpoint (round, prompt)
                               : NULL;
  double shared = pfx_prompt_count_shared_tokens (prompt);
  guint count = count_candidates (round);

  round->source = 0;
  for (guint i = 0; i < count; i++)
    {
      round->cached_tokens[i] = pfx_count_cached_tokens (
          round->rly->pfx, round->now, round->endpoints[i]->hash, prompt);
      /* A copy from a canary would count as its request.  */
      if (i < round->count + round->has_remote
          && round->cached_tokens[i] > round->cached_tokens[round->source])
        round->source = i;
    }
  for (guint i = 0; i < count; i++)
    {
      set_prefill_work (round, prompt, i);
      round->loads[i].missing_tokens
          = affinity ? shared - round->cached_tokens[i] : 0.;
      round->loads[i].is_preferred = round->endpoints[i] == preferred;
    }
  /* Where no endpoint caches the prefix, it is to be prefilled there.  */
  if (round->has_remote)
    {
      round->loads[round->count].missing_tokens = 0.;
      round->loads[round->count].is_preferred = true;
    }
  return is_cached_in_reach (round, request, shared);
}

/* Returns how many tokens of its shared prefix may be missing at the endpoint
   of REQUEST.  The request waits for an endpoint that caches the prefix.
   Otherwise, with all endpoints full, any waiting request would take the next
   free slot, and each prefix would be prefilled at every endpoint.  */
static double
compute_max_missing_tokens (const rly_request_t *request)
{
  if (request->tries > 0 || request->is_resumed
      || request->queue->is_underserved
      || !rly_is_enabled (request->rly, MECH_PREFIX_WAIT))
    return HUGE_VAL;
  return pfx_prompt_count_shared_tokens (request->prompt) * MAX_MISSING_SHARE;
}

static plc_request_t
make_constraints (const rly_round_t *round, const rly_request_t *request)
{
  /* A late request, one that failed, or one that resumes a stream is placed as
     if it had just come.  */
  bool restarts_clock
      = request->tries > 0 || request->is_late || request->is_resumed;
  int64_t waited = restarts_clock ? 0 : round->now - request->waiting_since;
  double allowed = get_allowance (request);
  plc_request_t constraints
      = { .time_left_ms
          = (double)request->target_latency_ms * TARGET_LATENCY_SHARE
            - (double)waited,
          .max_queueing_ms = HUGE_VAL,
          .max_missing_tokens = HUGE_VAL,
          .capacity_share = 1.,
          .body_bytes = ent_get_body (request->call)->len,
          .max_body_bytes = MAX (MAX_ENDPOINT_BODY_BYTES / round->rly->routers,
                                 MIN_ROUTER_BODY_BYTES),
          .other_zone_cost_ms = estimate_zone_cost_ms (request),
          .tie_break = g_random_double () };

  if (request->prompt == NULL)
    return constraints;
  constraints.max_queueing_ms
      = (double)request->target_latency_ms * MAX_QUEUEING_SHARE * allowed;
  constraints.capacity_share = 1. - THROTTLED_RESERVE_SHARE * (1. - allowed);
  if (request->is_late)
    constraints.capacity_share = LATE_CAPACITY_SHARE;
  constraints.max_budget = round->max_budget;
  constraints.budget_share = get_budget_share (request);
  constraints.base_ms = round->base_ms;
  constraints.ms_per_token = round->ms_per_token;
  constraints.needed_tokens = request->prompt->tokens + request->output_tokens;
  return constraints;
}

/* Returns whether an endpoint can take REQUEST that has not failed it, now or
   when the pause after a rejection is over.  */
static bool
has_alternative (const rly_round_t *round, const rly_request_t *request)
{
  const GPtrArray *near
      = edp_set_get_near (round->rly->endpoints, round->service->name);

  for (guint i = 0; i < round->count; i++)
    if (fits_version (round, request, round->endpoints[i])
        && !rly_has_failed_at (request, round->endpoints[i]))
      return true;
  for (guint i = 0; near != NULL && i < near->len; i++)
    {
      const edp_t *edp = g_ptr_array_index (near, i);

      if (edp->standing == EDP_CURRENT && edp_is_serving (edp, round->now)
          && fits_version (round, request, edp)
          && !rly_has_failed_at (request, edp))
        return true;
    }
  return false;
}

static bool
was_last_failure (const rly_request_t *request, const edp_t *edp)
{
  return request->failed_count > 0
         && request->failed_at[request->failed_count - 1] == edp->hash;
}

/* Returns whether endpoint I may not get REQUEST, which it failed.  HAS_OTHER:
   another endpoint can take it.  IS_SINGLE: no other one may.  */
static bool
is_barred_by_failure (const rly_round_t *round, const rly_request_t *request,
                      guint i, bool has_other, bool is_single)
{
  const edp_t *edp = round->endpoints[i];

  if (has_other || i >= round->count)
    return rly_has_failed_at (request, edp);
  return !is_single && was_last_failure (request, edp);
}

/* Excludes the endpoints at which the stream of REQUEST can't continue or
   begin, and those that failed it.  An endpoint that fails at once has the
   least load, so that the request would go there again.  Where all have failed
   it, those before the last failure are allowed again, and so is a single
   endpoint.  */
static void
exclude_unfit (rly_round_t *round, const rly_request_t *request)
{
  guint count = count_candidates (round);
  bool is_retry = request->failed_count > 0;
  bool must_exclude = is_retry || request->origin != ORG_ANY
                      || needs_registered (round, request);
  bool has_other = is_retry && has_alternative (round, request);
  guint fitting = 0;

  if (!must_exclude && !round->has_exclusions)
    return;
  for (guint i = 0; i < round->count; i++)
    fitting += fits_version (round, request, round->endpoints[i]);
  for (guint i = 0; i < count; i++)
    round->loads[i].is_excluded
        = !fits_version (round, request, round->endpoints[i])
          || is_barred_by_failure (round, request, i, has_other, fitting <= 1);
  round->has_exclusions = must_exclude;
}

/* Chooses a canary for REQUEST, which need not cache its prefix: the share of
   canaries would otherwise go to few prompts.  Returns -1 when REQUEST may not
   be sent to one, or none has capacity.  */
static int
choose_canary (rly_round_t *round, const rly_request_t *request,
               const plc_request_t *constraints)
{
  plc_request_t relaxed = *constraints;
  int chosen;

  if (!rly_allows_canary (round, request))
    return -1;
  relaxed.max_missing_tokens = HUGE_VAL;
  chosen = plc_choose_endpoint (round->loads + round->count,
                                round->canary_count, &relaxed);
  return chosen < 0 ? -1 : (int)round->count + chosen;
}

/* Sends REQUEST to the endpoint at index CHOSEN.  Returns false when no
   connection can be opened.  */
static bool
send_to (rly_round_t *round, rly_request_t *request, guint chosen,
         double needed_tokens)
{
  plc_endpoint_t *load = &round->loads[chosen];
  edp_t *edp = round->endpoints[chosen];
  const edp_t *source = NULL;

  INVARIANT ("retry-elsewhere", !load->is_excluded, request->id);
  request->prefill_ahead = load->pending_prefill + load->own_prefill;
  request->pending_prefill = request->prompt != NULL ? load->own_prefill : 0.;
  request->context_tokens = needed_tokens;
  request->fetch_ms = request->prompt != NULL ? load->fetch_ms : 0.;
  if (request->fetch_ms > 0.)
    source = round->endpoints[round->source];
  request->is_remote = load->in_other_cell;
  if (!rly_send (request, edp, load, source, round->now))
    {
      load->slots = 0;
      return false;
    }
  if (!request->is_remote)
    *load = collect_load (round, edp);
  round->rly->counts.rest_avoided += round->has_resting;
  return true;
}

bool
rly_place (rly_round_t *round, rly_request_t *request)
{
  plc_request_t constraints;
  bool is_elsewhere;
  int chosen;

  if (!round->has_free_slot || rly_is_past_deadline (request, round->now)
      || rly_awaits_quarantine (request, round->now)
      || rly_is_part_quarantined (request, round->now))
    return false;
  round->has_remote = false;
  constraints = make_constraints (round, request);
  exclude_unfit (round, request);
  is_elsewhere = add_of_origin (round, request);
  /* At high load all endpoints are full for most requests.  For these the
     lookup of cached prefixes is skipped.  */
  if (!is_elsewhere
      && !plc_has_candidate (round->loads, round->count + round->canary_count,
                             &constraints))
    return false;
  if (request->prompt != NULL && !is_elsewhere)
    add_remote (round, request);
  if (request->prompt != NULL && set_prompt_work (round, request))
    constraints.max_missing_tokens = compute_max_missing_tokens (request);
  chosen = choose_canary (round, request, &constraints);
  if (chosen < 0)
    chosen = plc_choose_endpoint (
        round->loads, round->count + round->has_remote, &constraints);
  /* A busy router reads a request and, an iteration later, the end of its
     connection.  Without this check, an endpoint would already work for a
     caller who has disconnected.  */
  if (chosen < 0 || !ent_is_client_connected (request->call))
    return false;
  return send_to (round, request, (guint)chosen, constraints.needed_tokens);
}

plc_shortage_t
rly_find_shortage (rly_round_t *round, const rly_request_t *request)
{
  plc_request_t constraints = make_constraints (round, request);
  const pfx_prompt_t *prompt = request->prompt;
  double own = 0.;

  /* At the endpoint that caches its shared prefix.  */
  if (prompt != NULL)
    own = plc_compute_prefill_work (prompt->tokens,
                                    pfx_prompt_count_shared_tokens (prompt));
  for (guint i = 0; i < round->count + round->canary_count; i++)
    round->loads[i].own_prefill = own;
  exclude_unfit (round, request);
  return plc_find_shortage (round->loads, round->count + round->canary_count,
                            &constraints);
}

int64_t
rly_compute_max_wait_ms (const rly_request_t *request)
{
  const fit_t *fit = &request->service->first_token_fit;
  const pfx_prompt_t *prompt = request->prompt;
  double target_ms = (double)request->target_latency_ms * TARGET_LATENCY_SHARE;
  double prefill_work;

  if (prompt == NULL)
    return (int64_t)(target_ms * RLY_PLAIN_MAX_WAIT_SHARE);
  prefill_work = plc_compute_prefill_work (
      prompt->tokens, pfx_prompt_count_shared_tokens (prompt));
  return (int64_t)MAX (target_ms - fit_base (fit)
                           - fit_slope (fit) * prefill_work,
                       target_ms * RLY_LONG_MAX_WAIT_SHARE);
}
