#include "router/router-private.h"

#include "base/log.h"

#include <string.h>

/* A long answer is charged this part ahead of its output, so that it does not
   cause a report for each token.  */
#define CHARGE_AHEAD_RATIO 0.25

void
grant_describe_queue (cfd_router_t *router, const char *account,
                      const char *service, cfd_time_t now, msg_waiting_t *left)
{
  adm_queue_info_t info;

  adm_get_queue_info (router->adm, account, service, now, &info);
  *left = (msg_waiting_t){
    .account = account,
    .count = info.count,
    .class_rank = info.class_rank,
    .oldest_ms = info.count > 0 ? (uint32_t)(now - info.oldest) : 0,
    .virtual_time = share_get_virtual_time (router->share, account, service),
  };
}

void
grant_queue_changed (cfd_router_t *router, const char *account,
                     const char *service, cfd_time_t now)
{
  msg_waiting_t left;

  grant_describe_queue (router, account, service, now, &left);
  share_set_backlogged (router->share, account, service, left.count > 0, now);
  if (left.count == 0)
    fairness_end_wait (router->fairness, account, service);
  shares_schedule_report (router, now);
  if (router->policy == CFD_POLICY_LOCAL)
    {
      baseline_queue_changed (router, account, service, left.count);
      return;
    }
  /* The new backlog may have lifted the account's virtual time to the
     floor.  */
  left.virtual_time = share_get_virtual_time (router->share, account, service);
  disp_update_waiting (router->disp, service, &left, now);
  router_schedule (router, MIN (disp_next_due (router->disp, now),
                                adm_next_deadline (router->adm)));
}

/* ---- announcements ---- */

static reach_result_t
send_announcement (void *user, const char *name,
                   const msg_announce_t *announcement)
{
  cfd_router_t *router = user;
  agent_t *agent = agents_find (router, name);
  msg_t message = { .kind = MSG_ANNOUNCE, .u.announce = *announcement };
  cfd_time_t now = clock_now ();

  if (agent == NULL)
    return REACH_DIALLING;
  agent->announced_until = now + DISP_LIFETIME_MS;
  agents_hold_link (router, agent);
  /* Not sent: the agent gets all announcements when its link is up.  */
  if (!router_send (router, name, &message))
    return REACH_DIALLING;
  router->counters.announces++;
  router->counters.announced_entries += announcement->count;
  return peer_hub_is_unresponsive (router->hub, name, now) ? REACH_UNRESPONSIVE
                                                           : REACH_SENT;
}

void
grant_announce (cfd_router_t *router, cfd_time_t now)
{
  disp_send_due (router->disp, now, send_announcement, router);
}

/* ---- grants ---- */

/* The agent that a queued request is checked against.  */
typedef struct
{
  const cfd_router_t *router;
  const agent_t *agent;
  cfd_time_t now;
} target_t;

static bool
is_eligible (void *user, const adm_item_t *item)
{
  const target_t *target = user;

  /* The baseline policy picks the agent before the request.  */
  if (target->router->policy == CFD_POLICY_LOCAL)
    return true;
  return agents_is_eligible (target->router, target->agent,
                             list_entry (item, const request_t, item),
                             target->now);
}

static void
decline (cfd_router_t *router, const peer_id_t *peer, const msg_grant_t *grant,
         decline_reason_t reason, cfd_time_t now)
{
  msg_t message = { .kind = MSG_DECLINE };
  target_t target = { router, agents_find (router, peer->instance), now };

  message.u.decline.grant = grant->grant;
  message.u.decline.reason = reason;
  message.u.decline.service = grant->service;
  grant_describe_queue (router, grant->account, grant->service, now,
                        &message.u.decline.left);
  /* This agent failed everything that waits: if it were given the count, it
     would offer the same slot again and again.  */
  if (!adm_has_allowed (router->adm, grant->account, grant->service,
                        is_eligible, &target))
    message.u.decline.left.count = 0;
  router->counters.declined[reason]++;
  if (router_send (router, peer->instance, &message))
    disp_record_answer (router->disp, grant->service, peer->instance,
                        &message.u.decline.left, now);
}

typedef struct
{
  cfd_router_t *router;
  target_t target;
  const char *service;
  const char *account; /* NULL until one is found */
  double time;
} least_account_t;

static void
consider_account (void *user, const char *account, const char *service)
{
  least_account_t *least = user;
  double time;

  if (strcmp (service, least->service) != 0)
    return;
  time = share_get_virtual_time (least->router->share, account, service);
  if (least->account != NULL && time >= least->time)
    return;
  if (!adm_has_allowed (least->router->adm, account, service, is_eligible,
                        &least->target))
    return;
  least->account = account;
  least->time = time;
}

/* Returns whether the agent's choice rests on outdated virtual times.  Up to
   one request's cost beyond the second least is within what any order would
   do.  */
static bool
is_stale_grant (cfd_router_t *router, const msg_grant_t *grant,
                const least_account_t *least, cfd_time_t now)
{
  const rec_t *record = store_get (router->store, REC_ACCOUNT, least->account);
  double weight = record != NULL ? record->u.account.weight : 1;
  adm_queue_info_t info;

  adm_get_queue_info (router->adm, least->account, grant->service, now, &info);
  return least->time > grant->limit_vt + info.cost / info.count / weight;
}

/* Assigns the slot to the waiting account with the least virtual time,
   whichever account the agent named: the agent's virtual times are up to a
   refresh old, this router's up to a report.  Declining instead would leave
   the slot empty for at least a round trip.  */
static void
answer_grant (cfd_router_t *router, agent_t *agent, const peer_id_t *peer,
              const msg_grant_t *grant, cfd_time_t now)
{
  least_account_t least = { .router = router,
                            .target = { router, agent, now },
                            .service = grant->service };

  adm_for_each_queue (router->adm, consider_account, &least);
  if (least.account == NULL)
    decline (router, peer, grant, DECLINE_NO_WORK, now);
  else if (is_stale_grant (router, grant, &least, now))
    decline (router, peer, grant, DECLINE_STALE, now);
  else if (!grant_assign (router, agent, grant->grant, grant->incarnation,
                          least.account, grant->service, now))
    decline (router, peer, grant,
             router->draining ? DECLINE_DRAINING : DECLINE_NO_WORK, now);
}

void
grant_handle (cfd_router_t *router, const peer_id_t *peer,
              const msg_grant_t *grant, cfd_time_t now)
{
  agent_t *agent = agents_find_or_add (router, peer->instance, peer->zone);

  router->counters.grants++;
  agent->last_grant_at = now;
  agents_set_service (router, agent, grant->service);
  share_record_floor (router->share, grant->service, grant->floor, now);
  request_expire_queued (router, now);
  if (!agents_accepts_work (router, agent))
    decline (router, peer, grant, DECLINE_ZONE, now);
  else
    answer_grant (router, agent, peer, grant, now);
}

/* ---- assignments ---- */

static void
charge_request (cfd_router_t *router, request_t *request, cfd_time_t now)
{
  const rec_t *record
      = store_get (router->store, REC_ACCOUNT, request->item.account);

  request->weight = record != NULL ? record->u.account.weight : 1;
  request->charged_tokens = request->item.cost;
  share_charge (router->share, request->item.account, request->item.service,
                request->charged_tokens, request->weight, now);
  if (router->policy == CFD_POLICY_LOCAL)
    wfq_charge (router->wfq, request->item.account, request->item.service,
                request->charged_tokens, request->weight);
}

void
grant_correct_charge (request_t *request, double actual_tokens, cfd_time_t now)
{
  cfd_router_t *router = request->router;
  double difference = actual_tokens - request->charged_tokens;

  if (actual_tokens < 0)
    return;
  request->charged_tokens = actual_tokens;
  share_charge (router->share, request->item.account, request->item.service,
                difference, request->weight, now);
  fairness_adjust (router->fairness, request->item.account,
                   request->item.service, difference / request->weight);
  if (router->policy == CFD_POLICY_LOCAL)
    wfq_charge (router->wfq, request->item.account, request->item.service,
                difference, request->weight);
  shares_schedule_report (router, now);
}

void
grant_charge_streamed (request_t *request, uint32_t output_tokens,
                       cfd_time_t now)
{
  if (request->is_model && output_tokens > request->charged_tokens)
    grant_correct_charge (request, output_tokens * (1 + CHARGE_AHEAD_RATIO),
                          now);
}

/* Gives each attempt a new id, so that late messages of a former one are
   distinguished from those of the current one.  */
static void
attach_agent (cfd_router_t *router, request_t *request, agent_t *agent,
              uint64_t incarnation, cfd_time_t now)
{
  g_free (request->id);
  request->id
      = g_strdup_printf ("%s-%u", request->trace_id, ++request->attempts);
  request->agent = agent;
  request->agent_incarnation = incarnation;
  request->assigned_at = now;
  g_hash_table_insert (router->requests, request->id, request);
  list_append (&agent->requests, &request->at_agent);
  agent->in_flight++;
  router->in_flight++;
  agents_hold_link (router, agent);
}

static bool
send_assign (cfd_router_t *router, request_t *request, uint64_t grant,
             cfd_time_t now)
{
  msg_t message = { .kind = MSG_ASSIGN };
  msg_assign_t *assign = &message.u.assign;
  gsize length;

  assign->grant = grant;
  assign->incarnation = request->agent_incarnation;
  assign->request = request->id;
  assign->account = request->item.account;
  assign->service = request->item.service;
  assign->method = request->method;
  assign->path = request->path;
  assign->header_count = request->headers->len;
  assign->headers = (const char *const *)request->headers->pdata;
  assign->body.data = g_bytes_get_data (request->body, &length);
  assign->body.length = length;
  assign->cost_hint = request->item.cost;
  assign->idempotent = request->idempotent;
  grant_describe_queue (router, request->item.account, request->item.service,
                        now, &assign->left);
  if (!router_send (router, request->agent->name, &message))
    return false;
  disp_record_answer (router->disp, request->item.service,
                      request->agent->name, &assign->left, now);
  return true;
}

/* Records why the request went to this agent.  */
static void
record_assignment (cfd_router_t *router, const request_t *request,
                   uint64_t grant, double virtual_time)
{
  g_autofree char *detail = g_strdup_printf (
      "to %s: %s, virtual_time=%.0f attempt=%u%s", request->agent->name,
      grant != 0 ? "it offered a slot to the account that got least"
                 : "it has the least load known here",
      virtual_time, request->attempts,
      avoid_has_failed (&request->avoid, request->agent->name)
          ? ", it failed the request before and no other agent takes work"
          : "");

  router_record_event (router, TL_ASSIGN, request, detail);
}

/* ---- fairness check ---- */

/* The virtual time by which the policy orders the accounts.  */
static double
policy_virtual_time (const cfd_router_t *router, const char *account,
                     const char *service)
{
  return router->policy == CFD_POLICY_LOCAL
             ? wfq_virtual_time (router->wfq, account, service)
             : share_get_virtual_time (router->share, account, service);
}

typedef struct
{
  const cfd_router_t *router;
  const target_t *target;
  const fairness_slot_t *slot;
} passed_over_t;

/* A wrong order or a lost charge lets some accounts take all slots: the
   callers of the others time out one by one, which looks like too little
   capacity.  So each slot is checked against every account that it passes
   over, and the slots taken in an account's place against the bound of the
   order; see fairness.h.  */
static void
check_passed_over (void *user, const char *account, const char *service)
{
  const passed_over_t *passed_over = user;
  const cfd_router_t *router = passed_over->router;
  fairness_verdict_t verdict;

  if (strcmp (service, passed_over->slot->service) != 0
      || strcmp (account, passed_over->slot->account) == 0)
    return;
  verdict = fairness_check_passed (
      router->fairness, passed_over->slot, account,
      policy_virtual_time (router, account, service),
      adm_has_allowed (router->adm, account, service, is_eligible,
                       (void *)passed_over->target),
      passed_over->target->now);
  INVARIANT ("slot-to-least", verdict != FAIRNESS_OUT_OF_ORDER, account);
  INVARIANT ("passed-over-bound", verdict != FAIRNESS_BOUND_EXCEEDED, account);
}

static void
check_fairness (cfd_router_t *router, const request_t *request,
                double virtual_time, const target_t *target)
{
  const fairness_slot_t slot
      = { .account = request->item.account,
          .service = request->item.service,
          .virtual_time = virtual_time,
          .charge = request->charged_tokens / request->weight };
  passed_over_t passed_over = { router, target, &slot };

  adm_for_each_queue (router->adm, check_passed_over, &passed_over);
  fairness_assign (router->fairness, &slot, target->now);
}

bool
grant_assign (cfd_router_t *router, agent_t *agent, uint64_t grant,
              uint64_t incarnation, const char *account, const char *service,
              cfd_time_t now)
{
  target_t target = { router, agent, now };
  adm_item_t *item = adm_dequeue_allowed (router->adm, account, service, now,
                                          is_eligible, &target);
  request_t *request;
  double time;
  double order;

  if (item == NULL)
    return false;
  /* ACCOUNT and SERVICE may belong to the queue, which is freed with its last
     item.  */
  time = share_get_virtual_time (router->share, item->account, item->service);
  order = policy_virtual_time (router, item->account, item->service);
  request = list_entry (item, request_t, item);
  attach_agent (router, request, agent, incarnation, now);
  charge_request (router, request, now);
  if (!send_assign (router, request, grant, now))
    {
      grant_correct_charge (request, 0, now);
      request_detach_agent (request);
      adm_requeue (router->adm, item);
      return false;
    }
  router->counters.assigned++;
  record_assignment (router, request, grant, time);
  check_fairness (router, request, order, &target);
  request_handle_event (request, REQ_EV_ASSIGNED, now);
  return true;
}
