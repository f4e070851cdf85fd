/* Waiting and placement: whose request goes next, and where to.

   Load pattern: more work than the endpoints can do, from a few large accounts
   beside many small ones.  Engines know no priorities, so that what waits,
   waits here.  The account that got least over the last seconds goes first;
   with enough to do each gets the same, and what a small one leaves is shared
   by the others.  Within an account the more urgent routes go first, then the
   oldest requests.  */

#include "relay/rly-private.h"

#include "base/log.h"
#include "relay/plc.h"
#include <math.h>
#include <xxhash.h>

/* Of the time in which an answer earns its full worth, a request of a plain
   service may wait here for so long.  */
#define PATIENCE 0.6
/* And one whose prompt takes all of it to be read, for so long.  */
#define LONG_PATIENCE 0.25
/* The aim is the caller's; the rest goes on the way and in estimates.  */
#define AIM_SHARE 0.9
/* And so much of it behind prompts that an engine reads before.  What it has
   to read more than that can wait here, where the order is ours.  */
#define BEAR 0.5
/* Accounts that got this part of the fair level begin to be held back, and are
   down to the last part of what others may use at the second.  */
#define OVER_FIRST 0.9
#define OVER_LAST 1.2
#define OVER_ALLOWANCE 0.2
/* Of an endpoint's slots and memory so much is kept from those that are held
   back wholly: a slot that gets free is taken at once, by whoever waits.  */
#define OVER_RESERVE 0.3
/* Without an aim.  */
#define USUAL_AIM_MS 1000
/* Lines looked at in one round when their first requests find no room.  */
#define PASSED_MOST 4
/* Requests that wait for a plain service's endpoint are told to come back
   after this share of the aim, drawn anew for each.  */
#define RETRY_LEAST 0.2
#define RETRY_MOST 0.6
/* Slots of an endpoint that doesn't tell.  */
#define USUAL_SLOTS 8
/* Of what a cold endpoint bears a second, so much is used: routers' clocks and
   the way make bursts.  */
#define COLD_SAFETY 0.8

#define ENDPOINTS_MOST 256

static int64_t
aim_of (const rly_request_t *request)
{
  return request->route->aim_ms > 0 ? request->route->aim_ms : USUAL_AIM_MS;
}

static rly_line_t *
line_of (rly_request_t *request)
{
  const char *account = rly_account_name (request);
  rly_line_t *line;

  list_for_each (node, &request->service->lines)
    {
      line = list_entry (node, rly_line_t, node);
      if (g_str_equal (line->account, account))
        return line;
    }
  line = g_new0 (rly_line_t, 1);
  line->service = request->service;
  line->account = g_strdup (account);
  list_init (&line->requests);
  list_init (&line->node);
  list_append (&request->service->lines, &line->node);
  return line;
}

static int
rank_of (const rly_request_t *request)
{
  if (request->account != NULL && request->account->rank >= 0)
    return request->account->rank;
  return request->route->rank;
}

/* A stream that was begun goes before all others: its caller sees the gap.  */
static bool
goes_before (const rly_request_t *a, const rly_request_t *b)
{
  if (a->began != b->began)
    return a->began;
  if (rank_of (a) != rank_of (b))
    return rank_of (a) < rank_of (b);
  return a->since < b->since;
}

void
rly_wait (rly_request_t *request)
{
  rly_line_t *line = line_of (request);
  list_node_t *before = line->requests.prev;

  while (before != &line->requests
         && goes_before (request, list_entry (before, rly_request_t, node)))
    before = before->prev;
  list_prepend (before, &request->node);
  request->line = line;
  request->service->waiting++;
  request->rly->counts.waiting++;
}

void
rly_unwait (rly_request_t *request)
{
  rly_line_t *line = request->line;

  request->line = NULL;
  request->service->waiting--;
  request->rly->counts.waiting--;
  list_remove (&request->node);
  if (!list_is_empty (&line->requests))
    return;
  list_remove (&line->node);
  g_free (line->account);
  g_free (line);
}

static bool
is_engine (const rte_service_t *service)
{
  return service != NULL && service->is_engine;
}

static unsigned
slots_of (const edp_t *edp, const rte_service_t *service)
{
  if (edp->report->slots > 0)
    return edp->report->slots;
  return is_engine (service) && service->slots > 0 ? service->slots
                                                   : USUAL_SLOTS;
}

/* The endpoint that all routers choose for prompts with this beginning, while
   nothing speaks against it: rendezvous hashing.  */
static const edp_t *
home_of (edp_t *const *edps, guint count, const rly_request_t *request)
{
  uint64_t part
      = request->prompt != NULL ? pfx_prompt_shared (request->prompt) : 0;
  const edp_t *home = NULL;
  uint64_t best = 0;

  for (guint i = 0; part != 0 && i < count; i++)
    {
      uint64_t score
          = XXH3_64bits_withSeed (&edps[i]->hash, sizeof edps[i]->hash, part);

      if (home == NULL || score > best)
        {
          home = edps[i];
          best = score;
        }
    }
  return home;
}

static guint
open_endpoints (const rly_request_t *request, cfd_time_t now, edp_t **edps)
{
  rly_t *rly = request->rly;
  guint count = 0;

  list_for_each (node, edp_set_list (rly->endpoints))
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (count < ENDPOINTS_MOST && edp_is_open (edp, now)
          && g_str_equal (edp->report->service, request->service->name)
          && g_strcmp0 (edp->report->id, request->last_failed) != 0)
        edps[count++] = edp;
    }
  return count;
}

static plc_endpoint_t
figures_of (const rly_request_t *request, const edp_t *edp, cfd_time_t now,
            const rte_service_t *service)
{
  const pfx_prompt_t *prompt = request->prompt;
  plc_endpoint_t figures = { .active = edp->active + edp->peer_active,
                             .slots = slots_of (edp, service),
                             .unread = edp->unread + edp->peer_unread,
                             .context = edp->context + edp->peer_context };
  double kept;

  if (service != NULL)
    figures.memory = (double)service->memory_tokens;
  if (prompt == NULL)
    return figures;
  kept = pfx_kept (request->rly->pfx, now, edp->hash, prompt);
  figures.own = plc_reading (prompt->tokens, kept);
  figures.missing = pfx_prompt_shared_tokens (prompt) - kept;
  return figures;
}

/* Milliseconds until an answer's start is late.  */
static double
left_of (const rly_request_t *request, cfd_time_t now)
{
  return (double)aim_of (request) * AIM_SHARE - (double)(now - request->since);
}

/* How much of the usual wait behind others, and of the room at endpoints, a
   request of this account may use: all below its fair share, little above it,
   so that those who got less find room at the endpoints which keep their
   prompts. A large account fills what they leave.  */
static double
allowance (const rly_request_t *request, cfd_time_t now)
{
  double over = use_over (request->rly->use, now, rly_account_name (request));
  double part = (over - OVER_FIRST) / (OVER_LAST - OVER_FIRST);

  return 1. - (1. - OVER_ALLOWANCE) * CLAMP (part, 0., 1.);
}

static plc_request_t
wish_of (const rly_request_t *request, cfd_time_t now)
{
  const fit_t *line = &request->service->first_token;
  plc_request_t wish = { .left_ms = left_of (request, now),
                         .room = 1.,
                         .bear_ms = HUGE_VAL,
                         .draw = g_random_double () };
  double allowed;

  if (request->prompt == NULL)
    return wish;
  allowed = allowance (request, now);
  wish.bear_ms = (double)aim_of (request) * BEAR * allowed;
  wish.room = 1. - OVER_RESERVE * (1. - allowed);
  wish.base_ms = fit_base (line);
  wish.ms_per_work = fit_slope (line);
  wish.size = request->prompt->tokens + request->output;
  return wish;
}

static double
cold_part (const rly_t *rly, const rte_service_t *service)
{
  double per_s = service != NULL ? service->cold_per_s : 0.;

  return per_s > 0. ? per_s * COLD_SAFETY / rly->routers : 1.;
}

/* The endpoint for REQUEST, or NULL when it has to wait.  */
static edp_t *
choose (rly_request_t *request, cfd_time_t now)
{
  rly_t *rly = request->rly;
  const rte_service_t *service
      = rte_service (request->table, request->service->name);
  double cold = cold_part (rly, service);
  plc_endpoint_t figures[ENDPOINTS_MOST];
  edp_t *edps[ENDPOINTS_MOST];
  guint count = open_endpoints (request, now, edps);
  const edp_t *home = home_of (edps, count, request);
  plc_request_t wish = wish_of (request, now);
  int chosen;

  for (guint i = 0; i < count; i++)
    {
      figures[i] = figures_of (request, edps[i], now, service);
      figures[i].home = edps[i] == home;
      if (!edp_bears (edps[i], now, cold))
        figures[i].slots = 0;
    }
  chosen = plc_choose (figures, count, &wish);
  if (chosen < 0)
    return NULL;
  request->ahead = figures[chosen].unread + figures[chosen].own;
  request->unread = figures[chosen].own;
  request->context = wish.size;
  return edps[chosen];
}

static bool
place (rly_request_t *request, cfd_time_t now)
{
  edp_t *edp = choose (request, now);

  return edp != NULL && rly_send (request, edp, now);
}

/* How long REQUEST may wait from its arrival: until its prompt, read at once
   where its beginning is kept, would come too late.  */
static int64_t
longest_wait (const rly_request_t *request)
{
  const fit_t *line = &request->service->first_token;
  const pfx_prompt_t *prompt = request->prompt;
  double aim = (double)aim_of (request);
  double reading;

  if (prompt == NULL)
    return (int64_t)(aim * PATIENCE);
  reading = plc_reading (prompt->tokens, pfx_prompt_shared_tokens (prompt));
  aim *= AIM_SHARE;
  return (int64_t)MAX (aim - fit_base (line) - fit_slope (line) * reading,
                       aim * LONG_PATIENCE);
}

/* How much longer REQUEST may wait.  */
static int64_t
patience (const rly_request_t *request, cfd_time_t now)
{
  cfd_time_t until = request->since + longest_wait (request);

  if (request->began)
    until = request->deadline;
  return MIN (until, MIN (request->deadline, request->timeout)) - now;
}

static void
give_up (rly_request_t *request, cfd_time_t now)
{
  double share = g_random_double_range (RETRY_LEAST, RETRY_MOST);

  rly_refuse (request, now, "no-room",
              (int64_t)(share * (double)aim_of (request)));
}

/* Refuses one request that waited too long; false when there is none.  */
static bool
expire_one (rly_service_t *service, cfd_time_t now)
{
  list_for_each (node, &service->lines)
    {
      rly_line_t *line = list_entry (node, rly_line_t, node);

      list_for_each (inner, &line->requests)
        {
          rly_request_t *request = list_entry (inner, rly_request_t, node);

          if (patience (request, now) > 0)
            continue;
          give_up (request, now);
          return true;
        }
    }
  return false;
}

static rly_line_t *
least_served (rly_service_t *service)
{
  rly_line_t *best = NULL;

  list_for_each (node, &service->lines)
    {
      rly_line_t *line = list_entry (node, rly_line_t, node);

      if (!line->passed && (best == NULL || line->use < best->use))
        best = line;
    }
  return best;
}

static void
begin_round (rly_t *rly, rly_service_t *service, cfd_time_t now)
{
  list_for_each (node, &service->lines)
    {
      rly_line_t *line = list_entry (node, rly_line_t, node);

      line->passed = false;
      line->use = use_all (rly->use, now, line->account).got;
    }
}

void
rly_pump (rly_t *rly, rly_service_t *service, cfd_time_t now)
{
  unsigned passed = 0;

  if (service->waiting == 0)
    return;
  begin_round (rly, service, now);
  while (passed < PASSED_MOST)
    {
      rly_line_t *line = least_served (service);
      rly_request_t *request;

      if (line == NULL)
        return;
      request = list_entry (line->requests.next, rly_request_t, node);
      /* Before the request is sent, for that may free the line.  */
      line->use += request->prompt != NULL ? request->prompt->tokens : 0.;
      if (place (request, now))
        continue;
      line->passed = true;
      passed++;
    }
}

void
rly_pump_all (rly_t *rly, cfd_time_t now)
{
  GHashTableIter each;
  void *service;
  g_autoptr (GPtrArray) all = g_ptr_array_new ();

  g_hash_table_iter_init (&each, rly->services);
  while (g_hash_table_iter_next (&each, NULL, &service))
    g_ptr_array_add (all, service);
  for (guint i = 0; i < all->len; i++)
    {
      service = g_ptr_array_index (all, i);
      while (expire_one (service, now))
        ;
      rly_pump (rly, service, now);
    }
}
