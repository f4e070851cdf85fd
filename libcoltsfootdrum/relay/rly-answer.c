/* The relay of requests: answers.  The caller gets the endpoint's answer
   unchanged, or a refusal or failure when no retry is possible.  */

#include "relay/rly-private.h"

#include "base/log.h"
#include <string.h>

/* Largest body of an answer that is not a stream.  These are buffered, so that
   the answer is checked before it is forwarded.  */
#define MAX_BODY_BYTES 8388608
/* Retry-After of a request that its endpoint rejected: about the time until
   the endpoint has a free slot.  */
#define REJECTED_RETRY_MS 150
/* Another endpoint than the one that was named has the address.  */
#define STATUS_MISDIRECTED 421

void
rly_answer_reset (rly_answer_t *answer)
{
  answer->status = 0;
  answer->is_stream = false;
  answer->not_run = false;
  answer->is_valid = false;
  answer->is_too_large = false;
  answer->has_no_memory = false;
  answer->framing = RD_LENGTH;
  answer->received_bytes = 0;
  g_string_truncate (answer->fields, 0);
  g_string_truncate (answer->body, 0);
  evs_discard_partial (&answer->events);
}

void
rly_answer_clear (rly_answer_t *answer)
{
  g_string_free (answer->fields, TRUE);
  g_string_free (answer->body, TRUE);
  evs_clear (&answer->events);
}

/* Frees REQUEST and schedules a placement round for its slot.  */
static void
finish_request (rly_request_t *request)
{
  rly_service_t *service = request->service;

  rly_request_free (request);
  rly_schedule_dispatch (service);
}

void
rly_refuse (rly_request_t *request, cfd_time_t now, const char *reason,
            int64_t retry_ms)
{
  g_autofree char *fields = NULL;
  ent_call_t *call = request->call;
  char retry_after[G_ASCII_DTOSTR_BUF_SIZE];

  /* A refusal promises that the request was not run.  This one waited for a
     retry: its caller has a part of the answer, or an endpoint may have run
     it.  */
  if (request->head_sent || request->may_have_run)
    {
      rly_fail (request, 502, reason);
      return;
    }
  INVARIANT ("refusal-is-true", !request->started, request->id);
  log_info ("relay",
            "A request was refused, not run: request=%s account=%s reason=%s "
            "waited_ms=%" G_GINT64_FORMAT
            " waiting=%u retry_ms=%" G_GINT64_FORMAT ".",
            request->id, rly_get_account_name (request), reason,
            now - request->received_at, request->service->waiting, retry_ms);
  request->rly->counts.refused++;
  if (request->retry_key != 0)
    ret_add_refusal (request->rly->ret, now, request->retry_key,
                     request->waiting_since, now + retry_ms);
  g_ascii_formatd (retry_after, sizeof retry_after, "%.3f",
                   (double)retry_ms / 1000.);
  fields = g_strdup_printf ("Retry-After: %s\r\n", retry_after);
  rly_request_free (request);
  /* Callers send a retry on a new connection.  */
  ent_close_after (call);
  ent_respond (call, 503, fields, NULL, 0);
}

void
rly_fail (rly_request_t *request, unsigned status, const char *reason)
{
  ent_call_t *call = request->call;
  bool head_sent = request->head_sent;

  log_info ("relay",
            "A request failed: request=%s account=%s endpoint=%s status=%u "
            "reason=%s began=%d attempts=%u.",
            request->id, rly_get_account_name (request),
            request->edp != NULL ? request->edp->report->id : "", status,
            reason, head_sent, request->attempts);
  request->rly->counts.failed++;
  finish_request (request);
  if (head_sent)
    ent_abort (call);
  else
    ent_respond (call, status, NULL, NULL, 0);
}

/* Returns whether STATUS tells the caller that the request was not run.  */
static bool
implies_not_run (unsigned status)
{
  return status == 408 || status == STATUS_MISDIRECTED || status == 429
         || status == 503;
}

static void
collect_fields (rly_answer_t *answer, const hdr_t *fields)
{
  for (guint i = 0; i < hdr_count (fields); i++)
    if (!hdr_is_hop_by_hop (fields, i)
        && g_ascii_strcasecmp (hdr_get_name (fields, i), "Content-Length")
               != 0)
      hdr_append_line (answer->fields, hdr_get_name (fields, i),
                       hdr_get_value (fields, i));
}

/* Returns whether the answer may be forwarded.  A success must have the
   endpoint's stamp and no content encoding, since the caller asked for none.
 */
static bool
is_valid_head (const rly_request_t *request, const rd_head_t *head)
{
  const rly_names_t *names = &request->rly->names;

  if (head->status / 100 != 2)
    return true;
  return hdr_get (&head->fields, names->response_stamp) != NULL
         && hdr_get (&head->fields, "Content-Encoding") == NULL;
}

void
rly_handle_head (rly_request_t *request, rd_head_t *head)
{
  const rly_names_t *names = &request->rly->names;
  rly_answer_t *answer = &request->answer;

  answer->status = head->status;
  answer->framing = head->framing;
  answer->is_valid = is_valid_head (request, head);
  answer->not_run = head->status == STATUS_MISDIRECTED
                    || hdr_get (&head->fields, names->not_run) != NULL;
  answer->is_stream = answer->is_valid && head->status == 200
                      && request->route->kind == RTE_STREAM;
  if (!request->head_sent)
    {
      g_string_truncate (answer->fields, 0);
      collect_fields (answer, &head->fields);
    }
}

/* Forwards the buffered bytes of a stream, which are complete events.  */
static void
forward_body (rly_request_t *request)
{
  rly_answer_t *answer = &request->answer;

  if (answer->body->len == 0)
    return;
  if (!request->head_sent)
    {
      request->head_sent = true;
      ent_begin_response (request->call, answer->status, answer->fields->str,
                          -1);
    }
  ent_send_body (request->call, answer->body->str, answer->body->len);
  g_string_truncate (answer->body, 0);
}

void
rly_forward (rly_request_t *request)
{
  if (!request->answer.is_stream || rly_is_held (request))
    return;
  forward_body (request);
}

void
rly_handle_body (rly_request_t *request, const char *bytes, size_t length)
{
  rly_answer_t *answer = &request->answer;

  answer->received_bytes += length;
  /* Once bytes were dropped, none may follow.  */
  if (answer->has_no_memory || !rly_may_buffer (request, length))
    answer->has_no_memory = true;
  else if (!answer->is_stream)
    {
      if (answer->body->len + length <= MAX_BODY_BYTES)
        g_string_append_len (answer->body, bytes, (gssize)length);
      else
        answer->is_too_large = true;
    }
  else
    {
      evs_feed (&answer->events, bytes, length, answer->body);
      answer->is_too_large |= answer->events.is_too_long;
    }
  if (answer->is_too_large || answer->has_no_memory)
    answer->is_valid = false;
}

/* Returns whether REQUEST may be sent to another endpoint, apart from the
   retry budget and its deadline.  */
static bool
has_attempt_left (const rly_request_t *request)
{
  return request->attempts < request->route->max_attempts
         && request->tries < RLY_MAX_TRIES;
}

/* Puts REQUEST back into its queue.  */
static void
retry (rly_request_t *request, cfd_time_t now, const char *reason)
{
  rly_service_t *service = request->service;

  log_info ("relay",
            "A request is sent once more: request=%s endpoint=%s version=%s "
            "reason=%s attempts=%u last_event=%" G_GINT64_FORMAT ".",
            request->id, request->edp->report->id,
            request->edp->report->version != NULL
                ? request->edp->report->version
                : "",
            reason, request->attempts, request->answer.events.last_id);
  rly_add_failure (request, request->edp);
  rly_detach (request, true);
  rly_answer_reset (&request->answer);
  rly_enqueue (request);
  rly_schedule_dispatch (service);
}

/* Takes a retry of REQUEST out of the budget.  Returns false when none is
   left.  */
static bool
consume_retry (rly_request_t *request, cfd_time_t now)
{
  if (!has_attempt_left (request)
      || !bud_try_retry (&request->service->retry_budget, now))
    return false;
  request->rly->counts.retries++;
  return true;
}

/* Returns whether the endpoint of REQUEST rejected it although no more than
   half of its slots were taken, by what this router knows.  */
static bool
is_rejected_while_idle (const rly_request_t *request)
{
  const edp_t *edp = request->edp;

  return (edp->active + edp->peer_active) * 2 <= edp->report->slots;
}

/* Another endpoint has the address: the one that was meant is gone.  That is
   no attempt of the caller's request.  */
static void
handle_misdirected (rly_request_t *request, cfd_time_t now)
{
  log_info ("relay",
            "An address belongs to another endpoint: request=%s endpoint=%s "
            "address=%s.",
            request->id, request->edp->report->id,
            request->edp->report->address);
  edp_record_failure (request->edp, now);
  request->attempts--;
}

/* Handles an answer that says that the request was not run.  */
static void
handle_not_run (rly_request_t *request, cfd_time_t now)
{
  if (request->answer.status == STATUS_MISDIRECTED)
    handle_misdirected (request, now);
  else
    {
      rly_count_rollout_answer (request, now,
                                is_rejected_while_idle (request));
      if (rly_is_enabled (request->rly, MECH_REJECT_PAUSE))
        edp_record_rejection (request->edp, now);
    }
  if (consume_retry (request, now))
    {
      retry (request, now, "not-run");
      return;
    }
  if (request->head_sent)
    {
      rly_fail (request, 502, "not-run");
      return;
    }
  rly_detach (request, true);
  rly_refuse (request, now, "endpoint-full",
              MAX (REJECTED_RETRY_MS,
                   edp_set_find_rest_end (request->rly->endpoints,
                                          request->service->name, now)
                       - now));
}

/* Handles a missing, truncated or invalid answer, after which the request may
   have run.  */
static void
handle_unknown_outcome (rly_request_t *request, cfd_time_t now,
                        const char *reason)
{
  rly_count_rollout_answer (request, now, true);
  edp_record_failure (request->edp, now);
  request->may_have_run = true;
  if (rly_is_quarantined (request, now))
    {
      request->rly->counts.quarantined++;
      rly_fail (request, 502, "quarantined");
      return;
    }
  /* A trial is one send.  */
  if (request->is_trial)
    {
      rly_fail (request, 502, reason);
      return;
    }
  if (rte_may_retry (request->route) && rly_can_continue (request)
      && !request->answer.events.lacks_id && consume_retry (request, now))
    {
      request->rly->counts.resumed += request->head_sent;
      retry (request, now, reason);
      return;
    }
  rly_fail (request, 502, reason);
}

/* Handles a connection that could not be opened.  */
static void
handle_unreached (rly_request_t *request, cfd_time_t now)
{
  rly_count_rollout_answer (request, now, true);
  edp_record_failure (request->edp, now);
  edp_note_unreachable (request->edp, now);
  /* Nothing was sent, so this is no attempt.  */
  request->attempts--;
  if (request->tries < RLY_MAX_TRIES)
    {
      retry (request, now, "unreached");
      return;
    }
  if (request->head_sent)
    {
      rly_fail (request, 502, "unreached");
      return;
    }
  rly_detach (request, true);
  rly_refuse (request, now, "unreached", REJECTED_RETRY_MS);
}

static void
finish_stream (rly_request_t *request)
{
  rly_answer_t *answer = &request->answer;
  ent_call_t *call = request->call;

  g_autoptr (GString) rest = g_steal_pointer (&answer->body);

  answer->body = g_string_new (NULL);
  INVARIANT ("whole-answer", !evs_is_inside_event (&answer->events),
             request->id);
  evs_flush (&answer->events, rest);
  request->rly->counts.answered++;
  if (!request->head_sent)
    ent_begin_response (call, answer->status, answer->fields->str, -1);
  finish_request (request);
  ent_finish_response (call, rest->str, rest->len);
}

static void
finish_answer (rly_request_t *request)
{
  rly_answer_t *answer = &request->answer;
  g_autofree char *fields = g_strdup (answer->fields->str);
  g_autoptr (GString) body = g_steal_pointer (&answer->body);
  ent_call_t *call = request->call;
  unsigned status = answer->status;

  answer->body = g_string_new (NULL);
  request->rly->counts.answered++;
  finish_request (request);
  ent_respond (call, status, fields, body->str, body->len);
}

static void
handle_complete (rly_request_t *request, cfd_time_t now)
{
  rly_answer_t *answer = &request->answer;

  if (answer->not_run)
    {
      handle_not_run (request, now);
      return;
    }
  /* That is not the endpoint's fault.  Events before the dropped bytes count
     as passed on.  */
  if (answer->has_no_memory)
    {
      rly_forward (request);
      request->may_have_run = true;
      rly_fail (request, 502, "answer-memory");
      return;
    }
  if (!answer->is_valid || (request->head_sent && !answer->is_stream))
    {
      handle_unknown_outcome (request, now, "unsound");
      return;
    }
  rly_count_rollout_answer (request, now, answer->status >= 500);
  rly_add_answer (request, now);
  if (answer->status / 100 == 2)
    rly_note_answer_went_on (request, now);
  edp_record_success (request->edp, now);
  if (answer->status / 100 == 2)
    prom_hist_observe (&request->service->total_ms,
                       now - request->received_at);
  if (answer->is_stream)
    {
      finish_stream (request);
      return;
    }
  if (answer->status >= 500 && request->route->kind == RTE_IDEMPOTENT
      && consume_retry (request, now))
    {
      retry (request, now, "endpoint-error");
      return;
    }
  /* The status would tell the caller that the request was not run, which its
     endpoint did not say.  */
  if (implies_not_run (answer->status))
    {
      rly_fail (request, 502, "endpoint-refusal");
      return;
    }
  finish_answer (request);
}

static end_kind_t
classify_end (const rly_answer_t *answer, ups_end_t exchange)
{
  const end_evidence_t evidence
      = { .exchange = exchange,
          .framing = answer->framing,
          .is_stream = answer->is_stream,
          .is_inside_event = evs_is_inside_event (&answer->events),
          .is_empty = answer->received_bytes == 0 };

  return end_classify (&evidence);
}

/* Ends that depend on the connection's close have a line of their own, so that
   the rate limit of the others doesn't drop them.  */
static void
log_end (const rly_request_t *request, end_kind_t kind)
{
  const rly_answer_t *answer = &request->answer;
  const char *endpoint = request->edp->report->id;

  if (kind == END_CLOSE || kind == END_NO_EVENT || kind == END_SPLIT_EVENT)
    log_info ("relay",
              "An answer ended with its connection: request=%s endpoint=%s "
              "status=%u end=%s bytes=%" G_GUINT64_FORMAT
              " events=%u last_event=%" G_GINT64_FORMAT
              " unfinished=%u longest_pause_ms=%" G_GINT64_FORMAT
              " late_events=%u.",
              request->id, endpoint, answer->status, end_get_name (kind),
              answer->received_bytes, answer->events.events,
              answer->events.last_id, answer->events.bytes->len,
              request->longest_pause_ms, request->late_events);
  else
    log_info ("relay",
              "An exchange ended: request=%s endpoint=%s status=%u end=%s "
              "bytes=%" G_GUINT64_FORMAT
              " events=%u longest_pause_ms=%" G_GINT64_FORMAT
              " late_events=%u held_ms=%" G_GINT64_FORMAT ".",
              request->id, endpoint, answer->status, end_get_name (kind),
              answer->received_bytes, answer->events.events,
              request->longest_pause_ms, request->late_events,
              request->held_ms);
}

end_kind_t
rly_note_end (rly_request_t *request, ups_end_t end)
{
  end_kind_t kind = classify_end (&request->answer, end);

  request->rly->counts.ends[kind]++;
  if (request->longest_pause_ms >= 0)
    prom_hist_observe (&request->service->pause_ms, request->longest_pause_ms);
  log_end (request, kind);
  return kind;
}

/* Returns whether the connection with which the answer to REQUEST ended may
   have been closed by the end of the endpoint's process.  The kernel closes
   the connections of a process that was killed in order, and all of them.  */
static bool
may_have_ended (const rly_request_t *request)
{
  const edp_t *edp = request->edp;

  return request->answer.is_stream && !edp->report->leaving
         && !edp->has_announced_leaving;
}

void
rly_settle_closed (rly_request_t *request, bool has_ended, cfd_time_t now)
{
  request->closed_at = 0;
  request->closed_is_probed = false;
  if (has_ended)
    handle_unknown_outcome (request, now, "endpoint-ended");
  else
    handle_complete (request, now);
}

void
rly_handle_end (rly_request_t *request, ups_end_t end, cfd_time_t now)
{
  end_kind_t kind = rly_note_end (request, end);

  rly_end_hold (request, now);
  rly_note_break (request, kind, now);
  /* The events before a break are delivered: a resumed stream goes on after
     them.  */
  if (!end_is_whole (kind))
    rly_forward (request);
  switch (kind)
    {
    case END_CLOSE:
      if (may_have_ended (request))
        {
          rly_forward (request);
          request->closed_at = now;
          break;
        }
      handle_complete (request, now);
      break;
    case END_LENGTH:
    case END_CHUNKS:
      handle_complete (request, now);
      break;
    case END_NOT_CONNECTED:
      handle_unreached (request, now);
      break;
    case END_NO_EVENT:
      handle_unknown_outcome (request, now, "no-event");
      break;
    case END_SPLIT_EVENT:
      handle_unknown_outcome (request, now, "split-event");
      break;
    case END_TRUNCATED:
      handle_unknown_outcome (request, now, "cut");
      break;
    case END_RESET:
      handle_unknown_outcome (request, now, "reset");
      break;
    case END_NO_ANSWER:
      handle_unknown_outcome (request, now, "broken");
      break;
    case END_TIMED_OUT:
      handle_unknown_outcome (request, now, "silent");
      break;
    case END_MALFORMED:
    case END_KINDS:
      handle_unknown_outcome (request, now, "garbled");
      break;
    }
}
