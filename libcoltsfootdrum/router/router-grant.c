#include "router/router-private.h"

#include "base/log.h"

#include <string.h>

/* A long answer is charged by steps of this part ahead, so that it doesn't
   make a report for each token.  */
#define CHARGE_AHEAD 0.25

void
grant_left (cfd_router_t *router, const char *account, const char *service,
            cfd_time_t now, msg_waiting_t *left)
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

  grant_left (router, account, service, now, &left);
  share_set_backlogged (router->share, account, service, left.count > 0, now);
  if (left.count == 0)
    turns_rest (router->turns, account, service);
  shares_changed (router, now);
  if (router->policy == CFD_POLICY_LOCAL)
    {
      baseline_queue_changed (router, account, service, left.count);
      return;
    }
  /* The backlog may have lifted the account to the floor.  */
  left.virtual_time = share_get_virtual_time (router->share, account, service);
  disp_update_waiting (router->disp, service, &left, now);
  router_schedule (router, MIN (disp_next_due (router->disp, now),
                                adm_next_deadline (router->adm)));
}

/* ---- announcements ---- */

static reach_result_t
announce (void *user, const char *name, const msg_announce_t *word)
{
  cfd_router_t *router = user;
  agent_t *agent = agents_find (router, name);
  msg_t message = { .kind = MSG_ANNOUNCE, .u.announce = *word };
  cfd_time_t now = clock_now ();

  if (agent == NULL)
    return REACH_DIALLING;
  agent->announced_until = now + DISP_LIFETIME_MS;
  agents_hold (router, agent);
  /* Not sent: the agent hears all when its link is up.  */
  if (!router_send (router, name, &message))
    return REACH_DIALLING;
  router->counters.announces++;
  router->counters.announced_entries += word->count;
  return peer_hub_is_unresponsive (router->hub, name, now) ? REACH_UNRESPONSIVE
                                                           : REACH_SENT;
}

void
grant_announce (cfd_router_t *router, cfd_time_t now)
{
  disp_send_due (router->disp, now, announce, router);
}

/* ---- grants ---- */

/* An agent, as the one that a queued request may go to.  */
typedef struct
{
  const cfd_router_t *router;
  const agent_t *agent;
  cfd_time_t now;
} target_t;

static bool
may_go (void *user, const adm_item_t *item)
{
  const target_t *target = user;

  /* The baseline picks its agent before the request.  */
  if (target->router->policy == CFD_POLICY_LOCAL)
    return true;
  return agents_may_try (target->router, target->agent,
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
  grant_left (router, grant->account, grant->service, now,
              &message.u.decline.left);
  /* All that waits was failed by this agent: told of it, it would offer the
     same slot again and again.  */
  if (!adm_has_allowed (router->adm, grant->account, grant->service, may_go,
                        &target))
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
  const char *account; /* NULL while none is found */
  double time;
} least_t;

static void
offer_least (void *user, const char *account, const char *service)
{
  least_t *least = user;
  double time;

  if (strcmp (service, least->service) != 0)
    return;
  time = share_get_virtual_time (least->router->share, account, service);
  if (least->account != NULL && time >= least->time)
    return;
  if (!adm_has_allowed (least->router->adm, account, service, may_go,
                        &least->target))
    return;
  least->account = account;
  least->time = time;
}

/* Whether the agent chose by old knowledge.  Up to one request's cost beyond
   the second best is within what any order would do.  */
static bool
is_stale (cfd_router_t *router, const msg_grant_t *grant, const least_t *least,
          cfd_time_t now)
{
  const rec_t *record = store_get (router->store, REC_ACCOUNT, least->account);
  double weight = record != NULL ? record->u.account.weight : 1;
  adm_queue_info_t info;

  adm_get_queue_info (router->adm, least->account, grant->service, now, &info);
  return least->time > grant->limit_vt + info.cost / info.count / weight;
}

/* The slot goes to the account with the least virtual time that waits here,
   whichever the agent named: its knowledge is up to a refresh old, this
   router's a report.  Declining instead would leave the slot empty for a round
   trip and more.  */
static void
answer (cfd_router_t *router, agent_t *agent, const peer_id_t *peer,
        const msg_grant_t *grant, cfd_time_t now)
{
  least_t least = { .router = router,
                    .target = { router, agent, now },
                    .service = grant->service };

  adm_for_each_queue (router->adm, offer_least, &least);
  if (least.account == NULL)
    decline (router, peer, grant, DECLINE_NO_WORK, now);
  else if (is_stale (router, grant, &least, now))
    decline (router, peer, grant, DECLINE_STALE, now);
  else if (!grant_assign (router, agent, grant->grant, grant->incarnation,
                          least.account, grant->service, now))
    decline (router, peer, grant,
             router->draining ? DECLINE_DRAINING : DECLINE_NO_WORK, now);
}

void
grant_take (cfd_router_t *router, const peer_id_t *peer,
            const msg_grant_t *grant, cfd_time_t now)
{
  agent_t *agent = agents_get (router, peer->instance, peer->zone);

  router->counters.grants++;
  agents_serves (router, agent, grant->service);
  share_record_floor (router->share, grant->service, grant->floor, now);
  request_expire (router, now);
  if (!agents_may_work (router, agent))
    decline (router, peer, grant, DECLINE_ZONE, now);
  else
    answer (router, agent, peer, grant, now);
}

/* ---- assignments ---- */

static void
charge (cfd_router_t *router, request_t *request, cfd_time_t now)
{
  const rec_t *record
      = store_get (router->store, REC_ACCOUNT, request->item.account);

  request->weight = record != NULL ? record->u.account.weight : 1;
  request->charged = request->item.cost;
  share_charge (router->share, request->item.account, request->item.service,
                request->charged, request->weight, now);
  if (router->policy == CFD_POLICY_LOCAL)
    wfq_charge (router->wfq, request->item.account, request->item.service,
                request->charged, request->weight);
}

void
grant_correct (request_t *request, double actual, cfd_time_t now)
{
  cfd_router_t *router = request->router;
  double difference = actual - request->charged;

  if (actual < 0)
    return;
  request->charged = actual;
  share_charge (router->share, request->item.account, request->item.service,
                difference, request->weight, now);
  turns_moved (router->turns, request->item.account, request->item.service,
               difference / request->weight);
  if (router->policy == CFD_POLICY_LOCAL)
    wfq_charge (router->wfq, request->item.account, request->item.service,
                difference, request->weight);
  shares_changed (router, now);
}

void
grant_streams (request_t *request, uint32_t output, cfd_time_t now)
{
  if (request->is_model && output > request->charged)
    grant_correct (request, output * (1 + CHARGE_AHEAD), now);
}

/* A new id for each attempt, so that late words of a former one are told from
   those of the present.  */
static void
attach (cfd_router_t *router, request_t *request, agent_t *agent,
        uint64_t incarnation, cfd_time_t now)
{
  g_free (request->id);
  request->id = g_strdup_printf ("%s-%u", request->trace, ++request->attempts);
  request->agent = agent;
  request->agent_incarnation = incarnation;
  request->assigned = now;
  g_hash_table_insert (router->requests, request->id, request);
  list_append (&agent->requests, &request->at_agent);
  agent->in_flight++;
  router->in_flight++;
  agents_hold (router, agent);
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
  grant_left (router, request->item.account, request->item.service, now,
              &assign->left);
  if (!router_send (router, request->agent->name, &message))
    return false;
  disp_record_answer (router->disp, request->item.service,
                      request->agent->name, &assign->left, now);
  return true;
}

/* Tells why the request went where it did: the agent offered a slot to the
   account that had got least.  */
static void
note_assign (cfd_router_t *router, const request_t *request, uint64_t grant,
             double virtual_time)
{
  g_autofree char *detail = g_strdup_printf (
      "to %s: %s, virtual_time=%.0f attempt=%u", request->agent->name,
      grant != 0 ? "it offered a slot to the account that got least"
                 : "it has the least load known here",
      virtual_time, request->attempts);

  router_note (router, TL_ASSIGN, request, detail);
}

/* ---- whose turn it was ---- */

/* What the order of the policy goes by.  */
static double
order_time (const cfd_router_t *router, const char *account,
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
  const turn_t *turn;
} passing_t;

/* An order that is wrong, or a charge that is lost, lets some accounts take
   all slots: the callers of the others time out one by one, which looks like
   too little capacity.  Each slot is held against each account that it passes
   over, and what was given away in an account's place against what the order
   can give; see turns.h.  */
static void
check_passed (void *user, const char *account, const char *service)
{
  const passing_t *passing = user;
  const cfd_router_t *router = passing->router;
  turn_verdict_t verdict;

  if (strcmp (service, passing->turn->service) != 0
      || strcmp (account, passing->turn->account) == 0)
    return;
  verdict = turns_pass (router->turns, passing->turn, account,
                        order_time (router, account, service),
                        adm_has_allowed (router->adm, account, service, may_go,
                                         (void *)passing->target),
                        passing->target->now);
  INVARIANT ("slot-to-least", verdict != TURN_OUT_OF_ORDER, account);
  INVARIANT ("passed-over-bound", verdict != TURN_BEYOND_BOUND, account);
}

static void
take_turn (cfd_router_t *router, const request_t *request, double virtual_time,
           const target_t *target)
{
  const turn_t turn = { .account = request->item.account,
                        .service = request->item.service,
                        .virtual_time = virtual_time,
                        .charge = request->charged / request->weight };
  passing_t passing = { router, target, &turn };

  adm_for_each_queue (router->adm, check_passed, &passing);
  turns_take (router->turns, &turn, target->now);
}

bool
grant_assign (cfd_router_t *router, agent_t *agent, uint64_t grant,
              uint64_t incarnation, const char *account, const char *service,
              cfd_time_t now)
{
  target_t target = { router, agent, now };
  adm_item_t *item = adm_dequeue_allowed (router->adm, account, service, now,
                                          may_go, &target);
  request_t *request;
  double time;
  double order;

  if (item == NULL)
    return false;
  /* ACCOUNT and SERVICE may be of the queue, which goes with its last item. */
  time = share_get_virtual_time (router->share, item->account, item->service);
  order = order_time (router, item->account, item->service);
  request = list_entry (item, request_t, item);
  attach (router, request, agent, incarnation, now);
  charge (router, request, now);
  if (!send_assign (router, request, grant, now))
    {
      grant_correct (request, 0, now);
      request_detach (request);
      adm_requeue (router->adm, item);
      return false;
    }
  router->counters.assigned++;
  note_assign (router, request, grant, time);
  take_turn (router, request, order, &target);
  request_event (request, REQ_EV_ASSIGNED, now);
  return true;
}
