/* What the caller gets: an endpoint's answer unchanged, another attempt, or a
   failure that says what is known.  */

#include "relay/rly-private.h"

#include "base/log.h"
#include <string.h>

/* Connections that may fail before a request is given up on; nothing was sent
   over them.  */
#define TRIES_MOST 5
/* Of a gathered answer; above, the endpoint's answer can't be checked before
   it is passed on.  */
#define BODY_MOST 8388608
/* A caller that takes its stream slowly: reading stops above this and goes on
   once all is written.  */
#define BEHIND_MOST 1048576
/* Endpoints that gave a request back are full for about as long.  */
#define FULL_RETRY_MS 150

void
rly_answer_reset (rly_answer_t *answer)
{
  answer->status = 0;
  answer->stream = false;
  answer->not_run = false;
  answer->sound = false;
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
finish (rly_request_t *request)
{
  rly_service_t *service = request->service;

  rly_request_free (request);
  rly_pump_later (service);
}

void
rly_refuse (rly_request_t *request, cfd_time_t now, const char *reason,
            int64_t retry_ms)
{
  g_autofree char *fields = NULL;
  ent_call_t *call = request->call;
  char retry[G_ASCII_DTOSTR_BUF_SIZE];

  /* It was to go on elsewhere: its caller has a part of it, or an endpoint may
     have run it, so that a refusal would not be true.  */
  if (request->began || request->may_have_run)
    {
      rly_fail (request, 502, reason);
      return;
    }
  INVARIANT ("refusal-is-true", !request->ran, request->id);
  log_info ("relay",
            "A request was refused, not run: request=%s account=%s reason=%s "
            "waited_ms=%" G_GINT64_FORMAT
            " waiting=%u retry_ms=%" G_GINT64_FORMAT ".",
            request->id, rly_account_name (request), reason,
            now - request->since, request->service->waiting, retry_ms);
  request->rly->counts.refused++;
  if (request->key != 0)
    ret_add_refusal (request->rly->ret, now, request->key, request->asked,
                     now + retry_ms);
  g_ascii_formatd (retry, sizeof retry, "%.3f", (double)retry_ms / 1000.);
  fields = g_strdup_printf ("Retry-After: %s\r\n", retry);
  rly_request_free (request);
  /* Callers ask again on a new connection.  */
  ent_close_after (call);
  ent_respond (call, 503, fields, NULL, 0);
}

void
rly_fail (rly_request_t *request, unsigned status, const char *reason)
{
  ent_call_t *call = request->call;
  bool began = request->began;

  log_info ("relay",
            "A request failed: request=%s account=%s endpoint=%s status=%u "
            "reason=%s began=%d attempts=%u.",
            request->id, rly_account_name (request),
            request->edp != NULL ? request->edp->report->id : "", status,
            reason, began, request->attempts);
  request->rly->counts.failed++;
  finish (request);
  if (began)
    ent_abort (call);
  else
    ent_respond (call, status, NULL, NULL, 0);
}

static bool
is_promise (unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
gather_fields (rly_answer_t *answer, const hdr_t *fields)
{
  for (guint i = 0; i < hdr_count (fields); i++)
    if (!hdr_is_hop_by_hop (fields, i)
        && g_ascii_strcasecmp (hdr_get_name (fields, i), "Content-Length")
               != 0)
      hdr_append_line (answer->fields, hdr_get_name (fields, i),
                       hdr_get_value (fields, i));
}

/* A success counts only with the endpoint's mark, and in plain coding, for
   that is what the caller asked for.  */
static bool
is_sound (const rly_request_t *request, const rd_head_t *head)
{
  const rly_names_t *names = &request->rly->names;

  if (head->status / 100 != 2)
    return true;
  return hdr_get (&head->fields, names->stamp) != NULL
         && hdr_get (&head->fields, "Content-Encoding") == NULL;
}

void
rly_take_head (rly_request_t *request, rd_head_t *head)
{
  const rly_names_t *names = &request->rly->names;
  rly_answer_t *answer = &request->answer;

  answer->status = head->status;
  answer->framed = head->framed;
  answer->sound = is_sound (request, head);
  answer->not_run
      = head->status == 421 || hdr_get (&head->fields, names->not_run) != NULL;
  answer->stream = answer->sound && head->status == 200
                   && request->route->kind == RTE_STREAM;
  if (!request->began)
    {
      g_string_truncate (answer->fields, 0);
      gather_fields (answer, &head->fields);
    }
}

/* Passes on what is in the answer's body: whole events.  */
static void
pass_on (rly_request_t *request)
{
  rly_answer_t *answer = &request->answer;

  if (answer->body->len == 0)
    return;
  if (!request->began)
    {
      request->began = true;
      ent_begin_response (request->call, answer->status, answer->fields->str,
                          -1);
    }
  ent_send_body (request->call, answer->body->str, answer->body->len);
  g_string_truncate (answer->body, 0);
}

void
rly_take_body (rly_request_t *request, const char *bytes, size_t length)
{
  rly_answer_t *answer = &request->answer;

  if (!answer->stream)
    {
      if (answer->body->len + length <= BODY_MOST)
        g_string_append_len (answer->body, bytes, (gssize)length);
      else
        answer->sound = false;
      return;
    }
  evs_feed (&answer->events, bytes, length, answer->body);
  pass_on (request);
  if (request->held || request->exchange == NULL
      || ent_get_unsent_bytes (request->call) <= BEHIND_MOST)
    return;
  request->held = true;
  ups_set_read_paused (request->exchange, true);
}

/* REQUEST may go to one more endpoint.  Nothing is said of budget and time. */
static bool
has_attempt (const rly_request_t *request)
{
  return request->attempts < request->route->attempts
         && request->tries < TRIES_MOST;
}

/* Puts REQUEST back among those that wait.  */
static void
again (rly_request_t *request, cfd_time_t now, const char *reason)
{
  rly_service_t *service = request->service;

  log_info ("relay",
            "A request is sent once more: request=%s endpoint=%s reason=%s "
            "attempts=%u last_event=%" G_GINT64_FORMAT ".",
            request->id, request->edp->report->id, reason, request->attempts,
            request->answer.events.last_id);
  g_free (request->last_failed);
  request->last_failed = g_strdup (request->edp->report->id);
  rly_leave (request, true);
  rly_answer_reset (&request->answer);
  rly_wait (request);
  rly_pump_later (service);
}

static bool
may_repeat_now (rly_request_t *request, cfd_time_t now)
{
  if (!has_attempt (request)
      || !bud_try_retry (&request->service->repeats, now))
    return false;
  request->rly->counts.repeats++;
  return true;
}

/* The endpoint gave the request back: it did not run.  */
static void
take_not_run (rly_request_t *request, cfd_time_t now)
{
  if (rly_has (request->rly, MECH_REJECT_PAUSE))
    edp_record_rejection (request->edp, now);
  if (may_repeat_now (request, now))
    {
      again (request, now, "not-run");
      return;
    }
  if (request->began)
    {
      rly_fail (request, 502, "not-run");
      return;
    }
  rly_leave (request, true);
  rly_refuse (request, now, "endpoint-full", FULL_RETRY_MS);
}

/* The answer is not whole, or no answer came: the request may have run.  */
static void
take_unknown (rly_request_t *request, cfd_time_t now, const char *reason)
{
  edp_record_failure (request->edp, now);
  request->may_have_run = true;
  if (rte_may_retry (request->route) && may_repeat_now (request, now))
    {
      request->rly->counts.resumed += request->began;
      again (request, now, reason);
      return;
    }
  rly_fail (request, 502, reason);
}

static void
take_unreached (rly_request_t *request, cfd_time_t now)
{
  edp_record_failure (request->edp, now);
  /* Nothing was sent, so that no endpoint's attempt is spent.  */
  request->attempts--;
  if (request->tries < TRIES_MOST)
    {
      again (request, now, "unreached");
      return;
    }
  if (request->began)
    {
      rly_fail (request, 502, "unreached");
      return;
    }
  rly_leave (request, true);
  rly_refuse (request, now, "unreached", FULL_RETRY_MS);
}

static void
end_stream (rly_request_t *request)
{
  rly_answer_t *answer = &request->answer;
  ent_call_t *call = request->call;

  evs_flush (&answer->events, answer->body);
  pass_on (request);
  request->rly->counts.answered++;
  if (!request->began)
    ent_begin_response (call, answer->status, answer->fields->str, -1);
  finish (request);
  ent_finish_response (call);
}

static void
end_whole (rly_request_t *request)
{
  rly_answer_t *answer = &request->answer;
  g_autofree char *fields = g_strdup (answer->fields->str);
  g_autoptr (GString) body = g_steal_pointer (&answer->body);
  ent_call_t *call = request->call;
  unsigned status = answer->status;

  answer->body = g_string_new (NULL);
  request->rly->counts.answered++;
  finish (request);
  ent_respond (call, status, fields, body->str, body->len);
}

static void
take_whole (rly_request_t *request, cfd_time_t now)
{
  rly_answer_t *answer = &request->answer;

  if (answer->not_run)
    {
      take_not_run (request, now);
      return;
    }
  if (!answer->sound || (request->began && !answer->stream))
    {
      take_unknown (request, now, "unsound");
      return;
    }
  edp_record_success (request->edp, now);
  if (answer->status / 100 == 2)
    prom_hist_observe (&request->service->whole, now - request->since);
  if (answer->stream)
    {
      end_stream (request);
      return;
    }
  if (answer->status >= 500 && request->route->kind == RTE_IDEMPOTENT
      && may_repeat_now (request, now))
    {
      again (request, now, "endpoint-error");
      return;
    }
  /* Such a status would promise that the request did not run, which its
     endpoint did not say.  */
  if (is_promise (answer->status))
    {
      rly_fail (request, 502, "endpoint-refusal");
      return;
    }
  end_whole (request);
}

void
rly_take_end (rly_request_t *request, ups_end_t end, cfd_time_t now)
{
  switch (end)
    {
    case UPS_COMPLETE:
      take_whole (request, now);
      break;
    case UPS_CONNECT_FAILED:
      take_unreached (request, now);
      break;
    case UPS_NO_RESPONSE:
      take_unknown (request, now, "broken");
      break;
    case UPS_TRUNCATED:
      take_unknown (request, now, "cut");
      break;
    case UPS_MALFORMED:
      take_unknown (request, now, "garbled");
      break;
    }
}
