/* What the caller gets: an endpoint's answer unchanged, another attempt, or a
   failure that says what is known.  */

#include "relay/rly-private.h"

#include "base/log.h"
#include <string.h>

/* Connections that may fail before a request is given up on; nothing was sent
   over them.  */
#define MAX_TRIES 5
/* Of a gathered answer; above, the endpoint's answer can't be checked before
   it is passed on.  */
#define MAX_BODY_BYTES 8388608
/* A caller that takes its stream slowly: reading stops above this and goes on
   once all is written.  */
#define MAX_UNSENT_BYTES 1048576
/* Endpoints that gave a request back are full for about as long.  */
#define REJECTED_RETRY_MS 150

void
rly_answer_reset (rly_answer_t *answer)
{
  answer->status = 0;
  answer->is_stream = false;
  answer->not_run = false;
  answer->is_valid = false;
  answer->framed = false;
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

/* Ends REQUEST after its call was answered, and gives its place to others.  */
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

  /* It was to go on elsewhere: its caller has a part of it, or an endpoint may
     have run it, so that a refusal would not be true.  */
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
            now - request->arrived_at, request->service->waiting, retry_ms);
  request->rly->counts.refused++;
  if (request->retry_key != 0)
    ret_add_refusal (request->rly->ret, now, request->retry_key,
                     request->first_attempt, now + retry_ms);
  g_ascii_formatd (retry_after, sizeof retry_after, "%.3f",
                   (double)retry_ms / 1000.);
  fields = g_strdup_printf ("Retry-After: %s\r\n", retry_after);
  rly_request_free (request);
  /* Callers ask again on a new connection.  */
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

static bool
implies_not_run (unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
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

/* A success counts only with the endpoint's mark, and in plain coding, for
   that is what the caller first_attempt for.  */
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
  answer->framed = head->framed;
  answer->is_valid = is_valid_head (request, head);
  answer->not_run
      = head->status == 421 || hdr_get (&head->fields, names->not_run) != NULL;
  answer->is_stream = answer->is_valid && head->status == 200
                      && request->route->kind == RTE_STREAM;
  if (!request->head_sent)
    {
      g_string_truncate (answer->fields, 0);
      collect_fields (answer, &head->fields);
    }
}

/* Passes on what is in the answer's body: whole events.  */
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
rly_handle_body (rly_request_t *request, const char *bytes, size_t length)
{
  rly_answer_t *answer = &request->answer;

  if (!answer->is_stream)
    {
      if (answer->body->len + length <= MAX_BODY_BYTES)
        g_string_append_len (answer->body, bytes, (gssize)length);
      else
        answer->is_valid = false;
      return;
    }
  evs_feed (&answer->events, bytes, length, answer->body);
  forward_body (request);
  if (request->read_paused || request->exchange == NULL
      || ent_get_unsent_bytes (request->call) <= MAX_UNSENT_BYTES)
    return;
  request->read_paused = true;
  ups_set_read_paused (request->exchange, true);
}

/* REQUEST may go to one more endpoint.  Nothing is said of budget and time. */
static bool
has_attempt_left (const rly_request_t *request)
{
  return request->attempts < request->route->max_attempts
         && request->tries < MAX_TRIES;
}

/* Puts REQUEST back among those that wait.  */
static void
retry (rly_request_t *request, cfd_time_t now, const char *reason)
{
  rly_service_t *service = request->service;

  log_info ("relay",
            "A request is sent once more: request=%s endpoint=%s reason=%s "
            "attempts=%u last_event=%" G_GINT64_FORMAT ".",
            request->id, request->edp->report->id, reason, request->attempts,
            request->answer.events.last_id);
  g_free (request->last_failed_id);
  request->last_failed_id = g_strdup (request->edp->report->id);
  rly_detach (request, true);
  rly_answer_reset (&request->answer);
  rly_enqueue (request);
  rly_schedule_dispatch (service);
}

static bool
consume_retry (rly_request_t *request, cfd_time_t now)
{
  if (!has_attempt_left (request)
      || !bud_try_retry (&request->service->retry_budget, now))
    return false;
  request->rly->counts.retries++;
  return true;
}

/* The endpoint gave the request back: it did not run.  */
static void
handle_not_run (rly_request_t *request, cfd_time_t now)
{
  if (rly_is_enabled (request->rly, MECH_REJECT_PAUSE))
    edp_record_rejection (request->edp, now);
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
  rly_refuse (request, now, "endpoint-full", REJECTED_RETRY_MS);
}

/* The answer is not whole, or no answer came: the request may have run.  */
static void
handle_unknown_outcome (rly_request_t *request, cfd_time_t now,
                        const char *reason)
{
  edp_record_failure (request->edp, now);
  request->may_have_run = true;
  if (rte_may_retry (request->route) && consume_retry (request, now))
    {
      request->rly->counts.resumed += request->head_sent;
      retry (request, now, reason);
      return;
    }
  rly_fail (request, 502, reason);
}

static void
handle_unreached (rly_request_t *request, cfd_time_t now)
{
  edp_record_failure (request->edp, now);
  /* Nothing was sent, so that no endpoint's attempt is spent.  */
  request->attempts--;
  if (request->tries < MAX_TRIES)
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

  evs_flush (&answer->events, answer->body);
  forward_body (request);
  request->rly->counts.answered++;
  if (!request->head_sent)
    ent_begin_response (call, answer->status, answer->fields->str, -1);
  finish_request (request);
  ent_finish_response (call);
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
  if (!answer->is_valid || (request->head_sent && !answer->is_stream))
    {
      handle_unknown_outcome (request, now, "unsound");
      return;
    }
  edp_record_success (request->edp, now);
  if (answer->status / 100 == 2)
    prom_hist_add (&request->service->total_ms, now - request->arrived_at);
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
  /* Such a status would promise that the request did not run, which its
     endpoint did not say.  */
  if (implies_not_run (answer->status))
    {
      rly_fail (request, 502, "endpoint-refusal");
      return;
    }
  finish_answer (request);
}

void
rly_handle_end (rly_request_t *request, ups_end_t end, cfd_time_t now)
{
  switch (end)
    {
    case UPS_COMPLETE:
      handle_complete (request, now);
      break;
    case UPS_CONNECT_FAILED:
      handle_unreached (request, now);
      break;
    case UPS_NO_RESPONSE:
      handle_unknown_outcome (request, now, "broken");
      break;
    case UPS_TRUNCATED:
      handle_unknown_outcome (request, now, "cut");
      break;
    case UPS_MALFORMED:
      handle_unknown_outcome (request, now, "garbled");
      break;
    }
}
