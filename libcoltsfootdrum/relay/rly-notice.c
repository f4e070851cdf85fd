/* The relay of requests: what endpoints say of themselves in the heads of
   their answers, and what follows for requests that wait or are being sent.

   An endpoint that rejects a request may ask for rest, a time in which it
   wants nothing from this router, and any answer may announce that it leaves.
   Both are facts of that endpoint, whatever address it has.  Other routers
   aren't notified: each is asked for rest by itself, and learns from the
   platform's list which endpoints leave.  */

#include "relay/rly-private.h"

#include "base/log.h"

/* Status of a rejection that may ask for rest.  */
#define STATUS_UNAVAILABLE 503
/* Another endpoint has the address, and the answer is about that one.  */
#define STATUS_MISDIRECTED 421

/* Takes REQUEST, which runs, back from its endpoint before that has received
   it, to be sent elsewhere: it is not connected yet, or a part is unsent and
   it may be repeated.  Returns false when neither holds.  */
static bool
withdraw (rly_request_t *request, cfd_time_t now)
{
  rly_service_t *service = request->service;
  ups_exchange_t *exchange = request->exchange;

  if (exchange == NULL || request->answer.status != 0
      || request->tries >= RLY_MAX_TRIES)
    return false;
  /* A part that was sent counts as a send, though the endpoint can't run it.
   */
  if (ups_is_connected (exchange)
      && (!ups_has_unsent_bytes (exchange) || !rte_may_retry (request->route)
          || !bud_try_retry (&service->retry_budget, now)))
    return false;
  request->attempts--;
  request->rly->counts.withdrawn++;
  rly_detach (request, true);
  rly_answer_reset (&request->answer);
  rly_enqueue (request);
  rly_schedule_dispatch (service);
  return true;
}

/* Withdraws the requests other than KEPT that are being sent to EDP.  Returns
   their number.  */
static unsigned
withdraw_all (rly_t *rly, const edp_t *edp, const rly_request_t *kept,
              cfd_time_t now)
{
  unsigned count = 0;

  list_for_each_safe (node, &rly->running)
    {
      rly_request_t *request = list_entry (node, rly_request_t, node);

      if (request != kept && request->edp == edp)
        count += withdraw (request, now);
    }
  return count;
}

static void
note_rest (rly_request_t *request, const rd_head_t *head, cfd_time_t now)
{
  edp_t *edp = request->edp;
  int64_t rest_ms = hdr_parse_retry_after (
      hdr_get (&head->fields, "Retry-After"), clock_wall_ms ());
  unsigned withdrawn;

  if (rest_ms == 0 || !edp_record_rest (edp, now, rest_ms))
    return;
  withdrawn = withdraw_all (request->rly, edp, request, now);
  log_info ("relay",
            "An endpoint asked for rest: endpoint=%s service=%s "
            "rest_ms=%" G_GINT64_FORMAT " request=%s withdrawn=%u.",
            edp->report->id, edp->report->service, rest_ms, request->id,
            withdrawn);
}

static void
note_leaving (rly_request_t *request, unsigned status, cfd_time_t now)
{
  edp_t *edp = request->edp;
  unsigned withdrawn;

  if (!edp_record_leaving (edp))
    return;
  withdrawn = withdraw_all (request->rly, edp, request, now);
  log_info ("relay",
            "An endpoint announced that it leaves: endpoint=%s service=%s "
            "status=%u request=%s withdrawn=%u.",
            edp->report->id, edp->report->service, status, request->id,
            withdrawn);
}

void
rly_note_head (rly_request_t *request, const rd_head_t *head, cfd_time_t now)
{
  const char *leaving = hdr_get (&head->fields, request->rly->names.leaving);

  if (head->status == STATUS_MISDIRECTED)
    return;
  if (head->status == STATUS_UNAVAILABLE)
    note_rest (request, head, now);
  if (g_strcmp0 (leaving, "1") == 0)
    note_leaving (request, head->status, now);
}

/* Refuses one request that can't wait until REST_END.  Returns false when
   there is none.  */
static bool
refuse_one (rly_service_t *service, cfd_time_t now, cfd_time_t rest_end)
{
  list_for_each (node, &service->queues)
    {
      rly_queue_t *queue = list_entry (node, rly_queue_t, node);

      list_for_each (inner_node, &queue->requests)
        {
          rly_request_t *request
              = list_entry (inner_node, rly_request_t, node);

          if (request->wait_deadline >= rest_end)
            continue;
          request->rly->counts.rest_avoided++;
          rly_refuse_for (request, now, "resting", rest_end - now);
          return true;
        }
    }
  return false;
}

void
rly_refuse_resting (rly_t *rly, rly_service_t *service, cfd_time_t now)
{
  cfd_time_t rest_end
      = edp_set_find_rest_end (rly->endpoints, service->name, now);

  if (rest_end <= now)
    return;
  while (refuse_one (service, now, rest_end))
    ;
}
