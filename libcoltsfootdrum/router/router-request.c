#include "router/router-private.h"

#include "base/log.h"

/* A request whose agent is lost this many times may itself be the cause.
   Attempts that never started don't count.  */
#define MAX_LOST_ATTEMPTS 3
#define SHUTDOWN_RETRY_AFTER_S 1

request_t *
request_new (cfd_router_t *router, web_request_t *web, const char *account,
             const char *service)
{
  request_t *request = g_new0 (request_t, 1);

  request->router = router;
  request->web = web;
  request->trace_id = g_strdup (web_get_response_header (web));
  request->method = g_strdup (web_get_method (web));
  request->item.account = g_strdup (account);
  request->item.service = g_strdup (service);
  list_init (&request->item.node);
  list_init (&request->item.by_deadline);
  list_init (&request->at_agent);
  list_append (&router->all_requests, &request->node);
  return request;
}

void
request_free (request_t *request)
{
  list_remove (&request->node);
  list_remove (&request->at_agent);
  if (request->headers != NULL)
    g_ptr_array_unref (request->headers);
  if (request->answer_headers != NULL)
    g_ptr_array_unref (request->answer_headers);
  if (request->body != NULL)
    g_bytes_unref (request->body);
  if (request->answer_copy != NULL)
    g_byte_array_unref (request->answer_copy);
  avoid_clear (&request->avoid);
  g_free ((char *)request->item.account);
  g_free ((char *)request->item.service);
  g_free (request->method);
  g_free (request->path);
  g_free (request->key);
  g_free (request->id);
  g_free (request->trace_id);
  g_free (request);
}

/* ---- answers to the caller ---- */

void
request_refuse (request_t *request, refusal_reason_t reason, unsigned status,
                const char *title, const char *detail, req_run_t run,
                int retry_after_s)
{
  request->router->counters.refused[reason]++;
  router_record_event (request->router, TL_REFUSE, request, title);
  if (request->web == NULL)
    return;
  web_respond_problem (request->web, status, title, detail, req_run_text (run),
                       retry_after_s);
  request->web = NULL;
}

static void
refuse_unserved (request_t *request, req_event_t event, req_run_t run)
{
  if (event == REQ_EV_SHUTDOWN)
    request_refuse (request, REFUSED_SHUTDOWN, 503, "Shutting down",
                    "This router is going away; ask another one.", run,
                    SHUTDOWN_RETRY_AFTER_S);
  else
    request_refuse (request, REFUSED_DEADLINE_EXCEEDED, 504, "Waited too long",
                    "No slot came free in time; ask again later.", run,
                    request->item.retry_after_s);
}

static void
fail_request (request_t *request, req_event_t event)
{
  bool stop = event == REQ_EV_SHUTDOWN;

  request->router->counters.failed++;
  router_record_event (request->router, TL_END, request,
                       stop ? "failed: shutting down"
                            : "failed: the agent was lost");
  if (request->web == NULL)
    return;
  web_respond_problem (request->web, stop ? 503 : 502,
                       stop ? "Shutting down" : "Lost on the way",
                       "The request was given to an endpoint and its outcome "
                       "is not known; it may have run.",
                       "unknown", -1);
  request->web = NULL;
}

static void
truncate_answer (request_t *request)
{
  request->router->counters.truncated++;
  router_record_event (request->router, TL_END, request, "broken off");
  if (request->web == NULL)
    return;
  web_stream_end (request->web, false);
  request->web = NULL;
}

const char *const *
request_answer_headers (const request_t *request)
{
  return request->answer_headers != NULL
             ? (const char *const *)request->answer_headers->pdata
             : NULL;
}

static void
begin_answer (request_t *request)
{
  g_clear_pointer (&request->body, g_bytes_unref);
  web_stream_begin (request->web, request->status,
                    request_answer_headers (request), answer_on_drained,
                    request);
}

static bool
status_has_no_body (const request_t *request)
{
  return request->status == 204 || request->status == 304;
}

static void
finish_answer (request_t *request, bool answer_began)
{
  request->router->counters.completed++;
  router_record_event (request->router, TL_END, request, "complete");
  if (request->web == NULL)
    return;
  if (!answer_began && status_has_no_body (request))
    {
      web_respond (request->web, request->status, NULL,
                   request_answer_headers (request), "", 0);
    }
  else
    {
      if (!answer_began)
        begin_answer (request);
      web_stream_end (request->web, true);
    }
  request->web = NULL;
}

/* ---- queueing ---- */

unsigned
request_queue_limit (const request_t *request)
{
  const rec_t *account
      = store_get (request->router->store, REC_ACCOUNT, request->item.account);

  return account != NULL ? account->u.account.queue_max : 0;
}

void
request_refuse_queue_full (request_t *request, int retry_after_s)
{
  request_refuse (
      request, REFUSED_QUEUE_FULL, 429, "Queue full",
      "The client account has too many requests waiting; ask again later.",
      RUN_NOT_RUN, retry_after_s);
}

/* Returns false when the queue is full; the request is then refused.  */
static bool
enqueue (request_t *request, cfd_time_t now)
{
  cfd_router_t *router = request->router;
  int retry_after_s = ADM_RETRY_MIN_S;

  if (!adm_enqueue (router->adm, &request->item, request_queue_limit (request),
                    now, &retry_after_s))
    {
      request_refuse_queue_full (request, retry_after_s);
      return false;
    }
  router->counters.admitted++;
  router->retry_budget
      = MIN (router->retry_budget + ROUTER_RETRY_RATIO, ROUTER_RETRY_BURST);
  router_record_event (router, TL_ADMIT, request, NULL);
  return true;
}

void
request_detach_agent (request_t *request)
{
  cfd_router_t *router = request->router;

  g_hash_table_remove (router->requests, request->id);
  list_remove (&request->at_agent);
  request->agent->in_flight--;
  router->in_flight--;
  request->agent = NULL;
}

/* Requeues the request for another attempt.  The state of the former attempt
   is dropped, since nothing of its answer was sent to the caller.  */
static void
requeue (request_t *request, cfd_time_t now)
{
  request->has_head = false;
  request->attempt_ended = false;
  request->not_started = false;
  request->resume_requested = false;
  request->premature_ends = 0;
  g_clear_pointer (&request->answer_headers, g_ptr_array_unref);
  request->received_bytes = 0;
  request->acked_bytes = 0;
  /* The deadline limits the time in the queue, not the time at the agent.  */
  request->item.deadline += now - request->assigned_at;
  adm_requeue (request->router->adm, &request->item);
}

static void
release_agent (request_t *request)
{
  if (request->agent == NULL)
    return;
  if (request->attempt_ended)
    answer_ack_done (request);
  else if (!request->not_started && request->idempotent)
    answer_send_cancel (request);
  request_detach_agent (request);
}

/* Makes the next attempt go to another agent.  NOT_STARTED is no failure of
   the endpoint.  */
static void
avoid_agent (request_t *request, cfd_time_t now)
{
  if (!request->not_started)
    avoid_add (&request->avoid, request->agent->name, now);
}

static void
end_request (request_t *request, const req_step_t *step, cfd_time_t now)
{
  cfd_router_t *router = request->router;

  INVARIANT ("caller-told", request->web == NULL, req_state_name (REQ_OVER));
  release_agent (request);
  claim_settle (request, step);
  adm_remove (router->adm, &request->item);
  if (router->draining)
    router_schedule (router, now);
  if (!request->claim_pending)
    request_free (request);
}

static void
apply_action (request_t *request, req_event_t event, req_step_t *step,
              bool answer_began, cfd_time_t now)
{
  cfd_router_t *router = request->router;

  switch (step->action)
    {
    case REQ_DO_NOTHING:
      return;
    case REQ_DO_QUEUE:
      if (!enqueue (request, now))
        step->next = REQ_OVER;
      return;
    case REQ_DO_RETRY:
      router->retry_budget -= 1;
      router->counters.retried++;
      request->lost_attempts++;
      request->may_have_run = true;
      router_record_event (router, TL_RETRY, request, "the agent was lost");
      avoid_agent (request, now);
      release_agent (request);
      requeue (request, now);
      return;
    case REQ_DO_REQUEUE:
      router->counters.requeued++;
      router_record_event (router, TL_RETRY, request,
                           request->not_started
                               ? "the agent gave it back unstarted"
                               : "the endpoint was not reached");
      avoid_agent (request, now);
      release_agent (request);
      requeue (request, now);
      return;
    case REQ_DO_ANSWER:
      begin_answer (request);
      return;
    case REQ_DO_FINISH:
      finish_answer (request, answer_began);
      return;
    case REQ_DO_REFUSE:
      refuse_unserved (request, event, step->run);
      return;
    case REQ_DO_FAIL:
      fail_request (request, event);
      return;
    case REQ_DO_TRUNCATE:
      truncate_answer (request);
      return;
    case REQ_DO_CANCEL:
      answer_send_cancel (request);
      return;
    case REQ_DO_DROP:
      router->counters.callers_gone++;
      router_record_event (router, TL_END, request, "the caller has left");
      return;
    case REQ_DO_REPORT_BUG:
      INVARIANT ("request-life", false, req_state_name (request->state));
      return;
    }
}

req_facts_t
request_get_facts (const request_t *request)
{
  return (req_facts_t){ .idempotent = request->idempotent,
                        .may_have_run = request->may_have_run,
                        .caller_gone = request->web == NULL,
                        .may_retry
                        = request->router->retry_budget >= 1
                          && request->lost_attempts + 1 < MAX_LOST_ATTEMPTS };
}

void
request_handle_event (request_t *request, req_event_t event, cfd_time_t now)
{
  cfd_router_t *router = request->router;
  req_facts_t facts = request_get_facts (request);
  req_step_t step = req_next (request->state, event, &facts);
  bool answer_began = request->state == REQ_ANSWERING;
  bool was_queued = request->state == REQ_QUEUED;
  g_autofree char *account = g_strdup (request->item.account);
  g_autofree char *service = g_strdup (request->item.service);

  apply_action (request, event, &step, answer_began, now);
  request->state = step.next;
  if (step.next == REQ_OVER)
    end_request (request, &step, now);
  if (was_queued || step.next == REQ_QUEUED)
    grant_queue_changed (router, account, service, now);
}

static void
on_caller_closed (void *user)
{
  request_t *request = user;

  request->web = NULL;
  request_handle_event (request, REQ_EV_CALLER_GONE, clock_now ());
}

void
request_start (request_t *request, cfd_time_t now)
{
  request->item.since = now;
  request->item.deadline = now + request->router->request_timeout_ms;
  web_set_on_closed (request->web, on_caller_closed, request);
  if (request->key == NULL)
    request_handle_event (request, REQ_EV_CLAIMED, now);
  else
    claim_acquire (request, now);
}

static void
on_deadline (void *user, adm_item_t *item)
{
  request_t *request = list_entry (item, request_t, item);

  request_handle_event (request, REQ_EV_DEADLINE, *(const cfd_time_t *)user);
}

void
request_expire_queued (cfd_router_t *router, cfd_time_t now)
{
  adm_expire (router->adm, now, on_deadline, &now);
}
