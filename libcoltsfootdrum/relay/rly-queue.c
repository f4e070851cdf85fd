/* Waiting: whose request goes next.

   Load pattern: more work than the endpoints can do, from a few large accounts
   beside many small ones.  Engines know no priorities, so that what waits,
   waits here.  The account that got least over the last seconds goes first;
   with enough to do each gets the same, and what a small one leaves is shared
   by the others.  Within an account the more urgent routes go first, then the
   oldest requests.  */

#include "relay/rly-private.h"

#include "base/log.h"
#include <math.h>

/* Accounts that got the first part of the fair level begin to be held back,
   and are down to the least allowance at the second.  */
#define OVER_FIRST 0.9
#define OVER_LAST 1.2
#define OVER_ALLOWANCE 0.2
/* An account that got less than this part of what it is due is behind.  */
#define BEHIND 0.7
/* Of the usual work before their own, for requests past their latency
   objective.  */
#define LATE_ALLOWANCE 0.1
/* A request is refused on arrival when at least this number of its account
   wait before it, for longer by this factor than it may wait: the rate at
   which an account is served changes within seconds.  */
#define EARLY_QUEUE 4
#define EARLY_MARGIN 2.
/* Without an aim.  */
#define USUAL_AIM_MS 1000
/* Lines looked at in one round when their requests find no room.  */
#define PASSED_MOST 8
/* And requests of a line.  */
#define TRIED_MOST 6
/* Who is refused is told to come back after a share of the aim, drawn anew for
   each.  */
#define RETRY_LEAST 0.2
#define RETRY_MOST 0.6

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
  if (a->late != b->late)
    return b->late;
  return a->since < b->since;
}

/* How long REQUEST may wait at its first time here.  One that can still be in
   time waits as long as that holds.  One that came again too late doesn't
   wait: it takes spare capacity, if there is any, or its caller is told at
   once.  */
static void
set_patience (rly_request_t *request, cfd_time_t end)
{
  cfd_time_t latest = request->asked + rly_longest_wait (request);

  request->late
      = latest <= request->since && rly_has (request->rly, MECH_LATE_LAST);
  if (request->late)
    latest = request->since;
  request->until = MIN (latest, end);
}

void
rly_wait (rly_request_t *request)
{
  rly_line_t *line = line_of (request);
  list_node_t *before = line->requests.prev;
  cfd_time_t end = MIN (request->deadline, request->timeout);

  request->target_latency_ms = request->route->target_latency_ms > 0
                                   ? request->route->target_latency_ms
                                   : USUAL_AIM_MS;
  request->until = end;
  request->late = false;
  /* One that failed elsewhere has lost its time by no fault of its own.  */
  if (request->tries == 0)
    set_patience (request, end);
  while (before != &line->requests
         && goes_before (request, list_entry (before, rly_request_t, node)))
    before = before->prev;
  list_prepend (before, &request->node);
  request->line = line;
  request->queued = request->service->rounds;
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

static void
give_up (rly_request_t *request, cfd_time_t now, const char *reason)
{
  double share = g_random_double_range (RETRY_LEAST, RETRY_MOST);

  rly_refuse (request, now, reason,
              (int64_t)(share * (double)request->target_latency_ms));
}

/* A round of placement has passed REQUEST over.  */
static bool
was_tried (const rly_request_t *request)
{
  return request->queued != request->service->rounds;
}

/* Refuses one request that waited too long; false when there is none.  What no
   round has tried yet may find room, also when its time is over.  */
static bool
expire_one (rly_service_t *service, cfd_time_t now)
{
  list_for_each (node, &service->lines)
    {
      rly_line_t *line = list_entry (node, rly_line_t, node);

      list_for_each (inner, &line->requests)
        {
          rly_request_t *request = list_entry (inner, rly_request_t, node);

          if (now < request->until || !was_tried (request))
            continue;
          give_up (request, now, "no-room");
          return true;
        }
    }
  return false;
}

/* How long REQUEST waits for those of its account that go before it, at the
   rate at which the account was served here lately.  Those that no round of
   placement has passed over yet may find room at once.  */
static double
queue_delay_ms (const rly_request_t *request, cfd_time_t now)
{
  const rly_t *rly = request->rly;
  double rate = use_own_rate (rly->use, now, rly_account_name (request));
  double cost = 0.;
  unsigned count = 0;

  list_for_each (node, &request->line->requests)
    {
      const rly_request_t *other = list_entry (node, rly_request_t, node);

      if (other == request)
        break;
      if (!was_tried (other))
        continue;
      cost += other->cost;
      count++;
    }
  if (count < EARLY_QUEUE)
    return 0.;
  return rate > 0. ? cost / rate : HUGE_VAL;
}

bool
rly_refuse_early (rly_request_t *request, cfd_time_t now)
{
  double delay_ms;

  if (request->prompt == NULL || !rly_has (request->rly, MECH_EARLY_REJECT))
    return false;
  delay_ms = queue_delay_ms (request, now);
  if (delay_ms <= EARLY_MARGIN * (double)(request->until - now))
    return false;
  give_up (request, now, "queue");
  return true;
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

/* How much of the usual wait behind others, and of the room at endpoints, the
   requests of an account may use: all below its fair share, little above it,
   so that those who got less find room at the endpoints which keep their
   prompts. A large account fills what they leave.  */
static double
allowance (const use_t *use, cfd_time_t now, const char *account)
{
  double over = use_level_ratio (use, now, account);
  double part = (over - OVER_FIRST) / (OVER_LAST - OVER_FIRST);

  return 1. - (1. - OVER_ALLOWANCE) * CLAMP (part, 0., 1.);
}

static void
begin_lines (rly_t *rly, rly_service_t *service, cfd_time_t now)
{
  list_for_each (node, &service->lines)
    {
      rly_line_t *line = list_entry (node, rly_line_t, node);

      line->passed = false;
      line->use = use_total (rly->use, now, line->account).served;
      line->allowed = rly_has (rly, MECH_THROTTLE)
                          ? allowance (rly->use, now, line->account)
                          : 1.;
      line->behind = use_due_ratio (rly->use, now, line->account) < BEHIND;
      line->late_allowed = MIN (line->allowed, LATE_ALLOWANCE);
    }
}

/* An account that got far less than it is due has lost its time by no fault of
   its own.  */
static bool
goes_last (const rly_request_t *request)
{
  return request->late && !request->line->behind;
}

/* Places one request of LINE, of those past their latency objective or of the
   others: of the first few the first that finds room.  A long one that has to
   wait does not hold up the short ones behind it.  */
static bool
place_one (rly_round_t *round, rly_line_t *line, bool late)
{
  unsigned tried = 0;

  list_for_each (node, &line->requests)
    {
      rly_request_t *request = list_entry (node, rly_request_t, node);
      double cost = request->cost;

      if (goes_last (request) != late)
        continue;
      if (tried++ == TRIED_MOST)
        return false;
      /* Before the request is sent, for that may free the line.  */
      line->use += cost;
      if (rly_round_place (round, request))
        return true;
      line->use -= cost;
    }
  return false;
}

/* Places what finds room, the least served account first.  */
static void
place_all (rly_round_t *round, bool late)
{
  unsigned passed = 0;

  begin_lines (round->rly, round->service, round->now);
  while (passed < PASSED_MOST)
    {
      rly_line_t *line = least_served (round->service);

      if (line == NULL)
        return;
      if (place_one (round, line, late))
        continue;
      line->passed = true;
      passed++;
    }
}

void
rly_pump (rly_t *rly, rly_service_t *service, cfd_time_t now)
{
  rly_round_t round;

  service->due = false;
  service->rounds++;
  if (service->waiting == 0)
    return;
  rly_round_begin (&round, rly, service, now);
  if (!round.has_room)
    return;
  place_all (&round, false);
  place_all (&round, true);
}

void
rly_expire (rly_service_t *service, cfd_time_t now)
{
  while (expire_one (service, now))
    ;
}
