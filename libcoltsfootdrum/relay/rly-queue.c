/* The relay of requests: queues, and the order in which requests are placed.

   Load pattern: more work than the endpoints can do, from a few large client
   accounts beside many small ones.  Engines have no priorities, so requests
   wait in the router.  The account that was served least over the last seconds
   goes first: accounts with enough demand get equal shares, and the others
   share what a small account leaves.  Within an account the more urgent routes
   go first, then the oldest requests.  */

#include "relay/rly-private.h"

#include "base/log.h"
#include <math.h>

/* Throttling begins for an account whose usage reaches the first ratio to the
   fair level; at the second its allowance is at the minimum.  */
#define THROTTLE_START_LEVEL 0.9
#define THROTTLE_FULL_LEVEL 1.2
#define MIN_ALLOWANCE 0.2
/* An account that was served less than this ratio of its fair share is
   underserved.  */
#define UNDERSERVED_RATIO 0.7
/* Largest share of the usual queueing time at an endpoint for requests that
   are past their target latency.  */
#define MAX_LATE_ALLOWANCE 0.1
/* A request is refused on arrival when at least this number of requests of its
   account wait before it, and are expected to take this factor of the time
   that it may wait.  The margin is for the rate at which an account is served,
   which changes within seconds.  */
#define EARLY_REFUSAL_MIN_QUEUE 4
#define EARLY_REFUSAL_FACTOR 2.
/* Target latency of routes that set none.  */
#define DEFAULT_TARGET_LATENCY_MS 1000
/* After this many queues without a request that could be placed, a round ends.
 */
#define MAX_SKIPPED_QUEUES 8
/* Most requests of a queue that are tried before the queue is skipped.  */
#define MAX_TRIES_PER_QUEUE 6
/* A request that waited in vain is refused for want of this router's processor
   time when its loop was late for at least this share of the wait.  */
#define OWN_DELAY_SHARE 0.5
/* Retry-After is a random share of the target latency within these bounds, so
   that refused callers don't return all at once.  */
#define MIN_RETRY_SHARE 0.2
#define MAX_RETRY_SHARE 0.6

static rly_queue_t *
find_or_add_queue (rly_request_t *request)
{
  const char *account = rly_get_account_name (request);
  rly_queue_t *queue;

  list_for_each (node, &request->service->queues)
    {
      queue = list_entry (node, rly_queue_t, node);
      if (g_str_equal (queue->account, account))
        return queue;
    }
  queue = g_new0 (rly_queue_t, 1);
  queue->service = request->service;
  queue->account = g_strdup (account);
  list_init (&queue->requests);
  list_init (&queue->node);
  list_append (&request->service->queues, &queue->node);
  return queue;
}

static int
get_rank (const rly_request_t *request)
{
  if (request->account != NULL && request->account->rank >= 0)
    return request->account->rank;
  return request->route->rank;
}

/* Returns whether the caller of REQUEST has received a part of its stream.  */
static bool
has_begun (const rly_request_t *request)
{
  return request->head_sent || request->is_resumed;
}

/* Returns whether A goes before B.  A stream that has begun goes before all
   others, since its caller sees the gap.  */
static bool
precedes (const rly_request_t *a, const rly_request_t *b)
{
  if (has_begun (a) != has_begun (b))
    return has_begun (a);
  if (get_rank (a) != get_rank (b))
    return get_rank (a) < get_rank (b);
  if (a->is_late != b->is_late)
    return b->is_late;
  return a->received_at < b->received_at;
}

/* Sets for how long REQUEST may wait before its first exchange.  A request
   waits while it can still meet the target latency.  A retry of the caller
   that can't meet it is late and doesn't wait: it takes spare capacity or is
   refused at once.  A stream that is resumed is never late, as its first event
   was delivered.  */
static void
set_wait_deadline (rly_request_t *request, cfd_time_t request_deadline)
{
  cfd_time_t since
      = request->is_resumed ? request->received_at : request->waiting_since;
  cfd_time_t latest_start = since + rly_compute_max_wait_ms (request);

  request->is_late = latest_start <= request->received_at
                     && rly_is_enabled (request->rly, MECH_LATE_LAST);
  if (request->is_late)
    latest_start = request->received_at;
  request->wait_deadline = MIN (latest_start, request_deadline);
}

void
rly_enqueue (rly_request_t *request)
{
  rly_queue_t *queue = find_or_add_queue (request);
  list_node_t *position = queue->requests.prev;
  cfd_time_t request_deadline
      = MIN (request->deadline, request->route_deadline);

  request->target_latency_ms = request->route->target_latency_ms > 0
                                   ? request->route->target_latency_ms
                                   : DEFAULT_TARGET_LATENCY_MS;
  request->wait_deadline = request_deadline;
  request->is_late = false;
  /* A request that failed at an endpoint may wait until its deadline, since
     the delay is not its caller's fault.  */
  if (request->tries == 0)
    set_wait_deadline (request, request_deadline);
  while (position != &queue->requests
         && precedes (request, list_entry (position, rly_request_t, node)))
    position = position->prev;
  list_prepend (position, &request->node);
  request->queue = queue;
  request->enqueued_round = request->service->rounds;
  request->enqueued_at = clock_now ();
  request->lost_ms_before = request->rly->lost_ms;
  request->service->waiting++;
  request->rly->counts.waiting++;
}

void
rly_dequeue (rly_request_t *request)
{
  rly_queue_t *queue = request->queue;

  request->queue = NULL;
  request->service->waiting--;
  request->rly->counts.waiting--;
  list_remove (&request->node);
  if (!list_is_empty (&queue->requests))
    return;
  list_remove (&queue->node);
  g_free (queue->account);
  g_free (queue);
}

void
rly_refuse_for (rly_request_t *request, cfd_time_t now, const char *reason,
                int64_t delay_ms)
{
  double retry_share
      = g_random_double_range (MIN_RETRY_SHARE, MAX_RETRY_SHARE);
  int64_t spread_ms
      = (int64_t)(retry_share * (double)request->target_latency_ms);

  rly_refuse (request, now, reason, delay_ms + spread_ms);
}

/* Returns whether a placement round has run since REQUEST was enqueued.  */
static bool
was_tried (const rly_request_t *request)
{
  return request->enqueued_round != request->service->rounds;
}

/* Returns whether most of the time that REQUEST waited was lost by this
   router, whose loop was late.  */
static bool
is_own_delay (const rly_request_t *request, cfd_time_t now)
{
  int64_t lost_ms = request->rly->lost_ms - request->lost_ms_before;

  return lost_ms > 0
         && (double)lost_ms
                >= OWN_DELAY_SHARE * (double)(now - request->enqueued_at);
}

/* Refuses REQUEST, which waited in vain.  ROUND is begun by the first one.  */
static void
refuse_expired (rly_request_t *request, cfd_time_t now, rly_round_t *round)
{
  rly_counts_t *counts = &request->rly->counts;
  plc_shortage_t shortage;

  if (is_own_delay (request, now))
    {
      counts->lacked_processor++;
      rly_refuse_for (request, now, "processor", 0);
      return;
    }
  if (round->rly == NULL)
    rly_begin_round (round, request->rly, request->service, now);
  shortage = rly_find_shortage (round, request);
  counts->lacked[shortage]++;
  rly_refuse_for (request, now, plc_shortage_name (shortage), 0);
}

/* Refuses one request that is past its wait deadline.  Returns false when
   there is none.  A request that no round has tried yet is kept, as there may
   be capacity for it.  */
static bool
refuse_one_expired (rly_service_t *service, cfd_time_t now, rly_round_t *round)
{
  list_for_each (node, &service->queues)
    {
      rly_queue_t *queue = list_entry (node, rly_queue_t, node);

      list_for_each (inner_node, &queue->requests)
        {
          rly_request_t *request
              = list_entry (inner_node, rly_request_t, node);

          if (now < request->wait_deadline || !was_tried (request))
            continue;
          refuse_expired (request, now, round);
          return true;
        }
    }
  return false;
}

/* Estimates how long REQUEST waits for the requests of its account before it,
   at the rate at which this router served the account lately.  Requests that
   no placement round has tried yet don't count: there may be capacity for
   them at once.  */
static double
estimate_queue_delay_ms (const rly_request_t *request, cfd_time_t now)
{
  const rly_t *rly = request->rly;
  double rate = use_own_rate (rly->use, now, rly_get_account_name (request));
  double cost = 0.;
  unsigned count = 0;

  list_for_each (node, &request->queue->requests)
    {
      const rly_request_t *other = list_entry (node, rly_request_t, node);

      if (other == request)
        break;
      if (!was_tried (other))
        continue;
      cost += other->cost;
      count++;
    }
  if (count < EARLY_REFUSAL_MIN_QUEUE)
    return 0.;
  return rate > 0. ? cost / rate : HUGE_VAL;
}

bool
rly_refuse_early (rly_request_t *request, cfd_time_t now)
{
  double delay_ms;
  double wait_ms = MAX ((double)(request->wait_deadline - now), 0.);

  if (request->prompt == NULL
      || !rly_is_enabled (request->rly, MECH_EARLY_REJECT))
    return false;
  delay_ms = estimate_queue_delay_ms (request, now);
  if (delay_ms <= EARLY_REFUSAL_FACTOR * wait_ms)
    return false;
  rly_refuse_for (request, now, "queue", 0);
  return true;
}

static rly_queue_t *
find_least_served (rly_service_t *service)
{
  rly_queue_t *best = NULL;

  list_for_each (node, &service->queues)
    {
      rly_queue_t *queue = list_entry (node, rly_queue_t, node);

      if (!queue->is_skipped && (best == NULL || queue->usage < best->usage))
        best = queue;
    }
  return best;
}

/* Returns the share of the usual queueing time and of the endpoints' capacity
   that the requests of an account may use: 1 below its fair share, little
   above it.  Accounts that were served less then find capacity at the
   endpoints that cache their prompts; a large account fills what they leave.
 */
static double
compute_allowance (const use_t *use, cfd_time_t now, const char *account)
{
  double level_ratio = use_level_ratio (use, now, account);
  double throttling = (level_ratio - THROTTLE_START_LEVEL)
                      / (THROTTLE_FULL_LEVEL - THROTTLE_START_LEVEL);

  return 1. - (1. - MIN_ALLOWANCE) * CLAMP (throttling, 0., 1.);
}

static void
update_queues (rly_t *rly, rly_service_t *service, cfd_time_t now)
{
  list_for_each (node, &service->queues)
    {
      rly_queue_t *queue = list_entry (node, rly_queue_t, node);

      queue->is_skipped = false;
      queue->usage = use_total (rly->use, now, queue->account).served;
      queue->allowance
          = rly_is_enabled (rly, MECH_THROTTLE)
                ? compute_allowance (rly->use, now, queue->account)
                : 1.;
      queue->is_underserved
          = use_due_ratio (rly->use, now, queue->account) < UNDERSERVED_RATIO;
      queue->late_allowance = MIN (queue->allowance, MAX_LATE_ALLOWANCE);
    }
}

/* Returns whether REQUEST is placed after all requests that are not late.  A
   late request of an underserved account is not deferred, since the delay is
   not the account's fault.  */
static bool
is_deferred (const rly_request_t *request)
{
  return request->is_late && !request->queue->is_underserved;
}

/* Places one request of QUEUE, of the deferred ones or of the others: the
   first of the first few for which an endpoint has capacity.  So a long
   request that has to wait doesn't block the short ones behind it.  */
static bool
place_one (rly_round_t *round, rly_queue_t *queue, bool deferred)
{
  unsigned tried = 0;

  list_for_each (node, &queue->requests)
    {
      rly_request_t *request = list_entry (node, rly_request_t, node);
      double cost = request->cost;

      if (is_deferred (request) != deferred)
        continue;
      if (tried++ == MAX_TRIES_PER_QUEUE)
        return false;
      /* Added before the request is sent, which may free the queue.  */
      queue->usage += cost;
      if (rly_place (round, request))
        return true;
      queue->usage -= cost;
    }
  return false;
}

/* Places all requests for which endpoints have capacity, the least served
   account first.  */
static void
place_all (rly_round_t *round, bool deferred)
{
  unsigned skipped = 0;

  update_queues (round->rly, round->service, round->now);
  while (skipped < MAX_SKIPPED_QUEUES)
    {
      rly_queue_t *queue = find_least_served (round->service);

      if (queue == NULL)
        return;
      if (place_one (round, queue, deferred))
        continue;
      queue->is_skipped = true;
      skipped++;
    }
}

void
rly_dispatch (rly_t *rly, rly_service_t *service, cfd_time_t now)
{
  rly_round_t round;

  service->dispatch_scheduled = false;
  service->rounds++;
  rly_apply_quarantine (service, rly, now);
  rly_apply_parts (service, rly, now);
  if (service->waiting == 0)
    return;
  rly_begin_round (&round, rly, service, now);
  if (round.count + round.canary_count == 0)
    rly_refuse_resting (rly, service, now);
  if (!round.has_free_slot)
    return;
  place_all (&round, false);
  place_all (&round, true);
}

void
rly_refuse_expired (rly_service_t *service, cfd_time_t now)
{
  rly_round_t round;

  round.rly = NULL;
  while (refuse_one_expired (service, now, &round))
    ;
}
