/* The relay of requests: the exchange of a request with an endpoint.  */

#include "relay/rly-private.h"

#include "base/log.h"
#include <inttypes.h>
#include <math.h>
#include <string.h>

/* Time for a connection to open.  After that another endpoint gets the
   request, of which nothing was sent.  Several round trips across the widest
   region, and less than the shortest target latency.  */
#define CONNECT_TIMEOUT_MS 350
/* Time beyond the expected one without a first byte.  After that a request
   that may be retried is sent to another endpoint.  */
#define SILENCE_TIMEOUT_MS 1500
/* Events of an answer that show that its endpoint survived its beginning.  */
#define EVENTS_THAT_GO_ON 2
/* Weight of one sample in the average time of an event.  */
#define EVENT_WEIGHT 0.02
/* Less prefill work takes about as long as the rest of a first token, and
   doesn't show the speed of an endpoint.  */
#define MIN_SPEED_TOKENS 1000.

static bool
is_reserved (const rly_names_t *names, const char *name)
{
  for (const char *const *reserved = names->reserved_fields; *reserved != NULL;
       reserved++)
    if (g_ascii_strcasecmp (*reserved, name) == 0)
      return true;
  return g_ascii_strcasecmp (name, names->deadline_ms) == 0
         || g_ascii_strcasecmp (name, names->account) == 0
         || g_ascii_strcasecmp (name, names->expect_endpoint) == 0
         || g_ascii_strcasecmp (name, "Authorization") == 0
         || g_ascii_strcasecmp (name, "Content-Length") == 0;
}

static void
append_caller_fields (const rly_request_t *request, GString *text)
{
  const rly_names_t *names = &request->rly->names;
  const hdr_t *fields = &ent_get_head (request->call)->fields;
  bool is_resumed = request->answer.events.last_id >= 0;

  for (guint i = 0; i < hdr_count (fields); i++)
    {
      const char *name = hdr_get_name (fields, i);

      if (is_reserved (names, name) || hdr_is_hop_by_hop (fields, i)
          || (is_resumed && g_ascii_strcasecmp (name, names->last_event) == 0))
        continue;
      hdr_append_line (text, name, hdr_get_value (fields, i));
    }
}

static int64_t
compute_time_left_ms (const rly_request_t *request, cfd_time_t now)
{
  return MAX (MIN (request->deadline, request->route_deadline) - now, 1);
}

/* Returns whether the body is sent without copying it.  */
static bool
must_share_body (const rly_request_t *request)
{
  return ent_get_body (request->call)->len > ENT_MAX_KEPT_BODY_BYTES;
}

/* Returns the request's bytes, without its body if that is shared.  */
static GString *
format_request (const rly_request_t *request, const edp_t *edp,
                const edp_t *source, cfd_time_t now)
{
  const rly_names_t *names = &request->rly->names;
  const rd_head_t *head = ent_get_head (request->call);
  const GByteArray *body = ent_get_body (request->call);
  const evs_t *events = &request->answer.events;
  size_t copied = must_share_body (request) ? 0 : body->len;
  GString *text = g_string_sized_new (1024 + copied);

  g_string_append_printf (text, "%s %s HTTP/1.1\r\n", head->method,
                          head->target);
  append_caller_fields (request, text);
  g_string_append_printf (text, "%s: %" G_GINT64_FORMAT "\r\n",
                          names->deadline_ms,
                          compute_time_left_ms (request, now));
  hdr_append_line (text, names->expect_endpoint, edp->report->id);
  if (source != NULL)
    hdr_append_line (text, names->fetch_from, source->report->address);
  if (request->account != NULL)
    hdr_append_line (text, names->account, request->account->name);
  if (events->last_id >= 0)
    g_string_append_printf (text, "%s: %" G_GINT64_FORMAT "\r\n",
                            names->last_event, events->last_id);
  if (body->len > 0 || hdr_get (&head->fields, "Content-Length") != NULL
      || hdr_get (&head->fields, "Transfer-Encoding") != NULL)
    g_string_append_printf (text, "Content-Length: %u\r\n", body->len);
  g_string_append (text, "\r\n");
  if (copied > 0)
    g_string_append_len (text, (const char *)body->data, (gssize)copied);
  return text;
}

/* Subtracts the pending prefill work of REQUEST from its endpoint's.  To be
   called after the first byte or at the end of the exchange; further calls do
   nothing.  */
static void
clear_pending_prefill (rly_request_t *request)
{
  request->edp->pending_prefill
      = MAX (request->edp->pending_prefill - request->pending_prefill, 0.);
  edp_set_note_changed (request->rly->endpoints, request->edp);
  request->pending_prefill = 0.;
}

/* Returns whether the first token of REQUEST shows the speed of its endpoint:
   nothing else was pending there, and the router itself was on time.  The
   endpoint of a retry may have prefilled the prompt before.  */
static bool
shows_speed (const rly_request_t *request, cfd_time_t now)
{
  return request->prefill_ahead <= request->pending_prefill
         && request->tries == 1 && !request->is_warming_up
         && rly_was_on_time (request->rly, request->sent_at, now);
}

/* Learns the speed of the endpoint of REQUEST, which prefilled nothing else.
 */
static void
record_idle_first_token (rly_request_t *request, cfd_time_t now,
                         double observed_ms)
{
  fit_t *fit = &request->service->prefill_fit;
  spd_t *speed = &request->edp->speed;

  if (request->prefill_ahead > MIN_SPEED_TOKENS)
    spd_add (speed, now, observed_ms,
             fit_base (fit) + fit_slope (fit) * request->prefill_ahead);
  fit_add (fit, request->prefill_ahead,
           observed_ms / spd_get_slowness (speed, now));
}

static void
record_first_token (rly_request_t *request, cfd_time_t now)
{
  double observed_ms = (double)(now - request->sent_at) - request->fetch_ms;

  if (request->is_canary || request->is_remote)
    return;
  if (shows_speed (request, now))
    record_idle_first_token (request, now, observed_ms);
  fit_add (&request->service->first_token_fit, request->prefill_ahead,
           observed_ms);
}

static void
on_any_head (void *user, const rd_head_t *head)
{
  rly_note_head (user, head, clock_now ());
}

static void
on_head (void *user, rd_head_t *head)
{
  rly_request_t *request = user;
  lag_t *lag = request->rly->lag;
  lag_kind_t before = lag_enter (lag, LAG_ENDPOINTS);

  rly_handle_head (request, head);
  lag_leave (lag, before, 0);
}

/* Returns whether the answer is a success.  Only these show how fast an
   endpoint prefills.  */
static bool
is_success (const rly_answer_t *answer)
{
  return answer->is_valid && !answer->not_run && answer->status / 100 == 2;
}

/* Learns the time of an event while the endpoint prefills nothing, from one
   that came GAP_MS after the event before.  */
static void
learn_event_ms (rly_request_t *request, cfd_time_t now, int64_t gap_ms)
{
  rly_service_t *service = request->service;

  if (rly_was_on_time (request->rly, request->last_event_at, now))
    service->event_ms
        += ((double)gap_ms / spd_get_slowness (&request->edp->speed, now)
            - service->event_ms)
           * EVENT_WEIGHT;
}

/* Notes the arrival of one event, or of several at once.  */
static void
note_event (rly_request_t *request, cfd_time_t now)
{
  const edp_t *edp = request->edp;
  int64_t max_pause_ms = request->route->max_pause_ms;
  int64_t gap_ms = now - request->last_event_at;
  bool undisturbed = edp->pending_prefill + edp->peer_pending_prefill <= 0.;

  if (request->last_event_at > 0)
    {
      request->longest_pause_ms = MAX (request->longest_pause_ms, gap_ms);
      request->late_events += max_pause_ms > 0 && gap_ms > max_pause_ms;
      if (undisturbed && request->was_undisturbed)
        learn_event_ms (request, now, gap_ms);
    }
  request->was_undisturbed = undisturbed;
  request->last_event_at = now;
}

static void
handle_body (rly_request_t *request, cfd_time_t now, const char *bytes,
             size_t length)
{
  bool first = request->pending_prefill > 0.;
  unsigned events;

  if (request->first_byte_at == 0)
    request->first_byte_at = now;
  request->edp->last_answer_at = now;
  if (!request->started && is_success (&request->answer))
    {
      request->started = true;
      if (request->retry_key != 0)
        ret_mark_served (request->rly->ret, request->retry_key);
      prom_hist_observe (&request->service->first_byte_ms,
                         now - request->received_at);
    }
  if (first && is_success (&request->answer))
    {
      edp_record_acceptance (request->edp);
      record_first_token (request, now);
      pau_add_finished (&request->edp->finished_prefill, now,
                        request->edp->pause_window_ms,
                        request->pending_prefill);
      clear_pending_prefill (request);
    }
  events = request->answer.events.events;
  rly_handle_body (request, bytes, length);
  if (request->answer.events.events > events)
    note_event (request, now);
  if (request->answer.events.events > 0)
    rly_note_origin (request, now);
  if (request->answer.events.events - request->events_before
      >= EVENTS_THAT_GO_ON)
    rly_note_answer_went_on (request, now);
  if (first)
    rly_schedule_dispatch (request->service);
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  rly_request_t *request = user;
  lag_t *lag = request->rly->lag;
  lag_kind_t before = lag_enter (lag, LAG_ENDPOINTS);

  handle_body (request, clock_now (), bytes, length);
  lag_leave (lag, before, 1);
}

static void
abort_exchange (rly_request_t *request, cfd_time_t now, ups_end_t end)
{
  ups_exchange_t *exchange = request->exchange;

  request->exchange = NULL;
  ups_cancel (exchange);
  rly_handle_end (request, end, now);
}

/* Breaks off an answer that exceeds its limits: its endpoint may send without
   end.  */
static void
abort_excessive (rly_request_t *request, cfd_time_t now)
{
  log_warn ("relay",
            "An answer exceeds its limits and is broken off: request=%s "
            "endpoint=%s stream=%d bytes=%" G_GUINT64_FORMAT ".",
            request->id, request->edp->report->id, request->answer.is_stream,
            request->answer.received_bytes);
  abort_exchange (request, now, UPS_MALFORMED);
}

/* Breaks off an answer for which memory is short here, which is not the
   endpoint's fault.  */
static void
abort_unbuffered (rly_request_t *request)
{
  rly_note_end (request, UPS_TIMED_OUT);
  request->may_have_run = true;
  rly_fail (request, 502, "answer-memory");
}

static void
on_read_end (void *user)
{
  rly_request_t *request = user;
  lag_t *lag = request->rly->lag;
  lag_kind_t before = lag_enter (lag, LAG_ENDPOINTS);

  rly_forward (request);
  if (request->answer.is_too_large)
    abort_excessive (request, clock_now ());
  else if (request->answer.has_no_memory)
    abort_unbuffered (request);
  else if (!request->read_paused)
    rly_pace_reading (request, clock_now ());
  lag_leave (lag, before, 0);
}

static void
on_ended (void *user, ups_end_t end)
{
  rly_request_t *request = user;
  lag_t *lag = request->rly->lag;
  lag_kind_t before = lag_enter (lag, LAG_ENDPOINTS);

  request->exchange = NULL;
  rly_handle_end (request, end, clock_now ());
  lag_leave (lag, before, 0);
}

static const ups_ops_t exchange_ops = { .head = on_head,
                                        .any_head = on_any_head,
                                        .body = on_body,
                                        .read_end = on_read_end,
                                        .ended = on_ended };

static void
start_exchange (rly_request_t *request, edp_t *edp, cfd_time_t now)
{
  rly_t *rly = request->rly;

  INVARIANT ("at-most-once",
             !request->may_have_run || rte_may_retry (request->route),
             request->id);
  INVARIANT ("not-quarantined",
             !rly_is_quarantined (request, now)
                 && !rly_is_part_quarantined (request, now),
             request->id);
  INVARIANT ("endpoint-open", edp_is_open (edp, now), edp->report->id);
  rly_dequeue (request);
  list_append (&rly->running, &request->node);
  rly->counts.running++;
  edp_set_note_used (rly->endpoints, edp);
  request->edp = edp;
  request->sent_at = now;
  request->events_before = request->answer.events.events;
  request->went_on = false;
  request->last_event_at = 0;
  request->longest_pause_ms = -1;
  request->late_events = 0;
  request->tries++;
  request->attempts++;
  edp->active++;
  edp->pending_prefill += request->pending_prefill;
  edp->context_tokens += request->context_tokens;
  request->body_bytes = ent_get_body (request->call)->len;
  edp->body_bytes += request->body_bytes;
  rly->counts.cold_requests += edp_is_cold (edp, now);
  edp_count_request (edp, now);
  edp_set_note_changed (rly->endpoints, edp);
  rly_note_trial (request, now);
  rly_count_rollout_send (request, now);
  if (request->prompt != NULL)
    pfx_record (rly->pfx, now, edp->hash, request->prompt);
  if (!request->is_charged)
    use_add_served (rly->use, now, rly_get_account_name (request),
                    request->cost);
  request->is_charged = true;
}

/* Returns the expected milliseconds until the first byte.  */
static double
estimate_first_byte_ms (const rly_request_t *request)
{
  const fit_t *fit = &request->service->first_token_fit;

  return fit_base (fit) + fit_slope (fit) * request->prefill_ahead
         + request->fetch_ms;
}

bool
rly_send (rly_request_t *request, edp_t *edp, const plc_endpoint_t *load,
          const edp_t *source, cfd_time_t now)
{
  const rly_names_t *names = &request->rly->names;
  g_autoptr (GString) text = format_request (request, edp, source, now);
  ups_request_t wire
      = { .bytes = text->str,
          .length = text->len,
          .shared_body
          = must_share_body (request) ? ent_get_body (request->call) : NULL,
          .id_field = names->request_id,
          .id = request->id != NULL ? request->id : "",
          .no_body
          = g_str_equal (ent_get_head (request->call)->method, "HEAD"),
          /* A second copy of the answer to the earlier attempt
             would have the same id.  */
          .new_connection = rly_has_failed_at (request, edp) };

  request->exchange = ups_send (edp->ups, now, &wire, &exchange_ops, request);
  if (request->exchange == NULL)
    {
      edp_record_failure (edp, now);
      return false;
    }
  start_exchange (request, edp, now);
  request->expected_ms
      = request->prompt != NULL ? estimate_first_byte_ms (request) : 1.;
  prom_hist_observe (&request->service->wait_ms, now - request->received_at);
  log_info (
      "relay",
      "A request was sent: request=%s key=%010" PRIx64
      " account=%s endpoint=%s version=%s active=%u "
      "peers=%u ahead=%.0f own=%.0f expect_ms=%.0f waited_ms=%" G_GINT64_FORMAT
      " source=%s fetch_ms=%.0f canary=%d again=%d slowness=%.2f recent=%.0f "
      "budget=%.0f.",
      request->id, request->content_key, rly_get_account_name (request),
      edp->report->id,
      edp->report->version != NULL ? edp->report->version : "", edp->active,
      edp->peer_active, request->prefill_ahead, request->pending_prefill,
      estimate_first_byte_ms (request), now - request->received_at,
      source != NULL ? source->report->id : "", request->fetch_ms,
      request->is_canary, rly_has_failed_at (request, edp), load->slowness,
      load->recent_prefill,
      isfinite (load->prefill_budget) ? load->prefill_budget : 0.);
  return true;
}

/* Undoes the charge for a request that did not start.  Otherwise an account
   with hundreds of rejected requests a second would seem the best served one,
   and would wait while the others are served.  */
static void
refund_charge (rly_request_t *request, cfd_time_t now)
{
  if (!request->is_charged || request->started)
    return;
  use_add_served (request->rly->use, now, rly_get_account_name (request),
                  -request->cost);
  request->is_charged = false;
}

void
rly_detach (rly_request_t *request, bool cancel)
{
  edp_t *edp = request->edp;

  if (edp == NULL)
    return;
  if (cancel && request->exchange != NULL)
    ups_cancel (request->exchange);
  request->exchange = NULL;
  request->read_paused = false;
  request->is_draining = false;
  clear_pending_prefill (request);
  edp->context_tokens
      = MAX (edp->context_tokens - request->context_tokens, 0.);
  edp->body_bytes -= MIN (request->body_bytes, edp->body_bytes);
  INVARIANT ("running-counted", edp->active > 0, edp->report->id);
  edp->active--;
  request->rly->counts.running--;
  request->edp = NULL;
  list_remove (&request->node);
  refund_charge (request, clock_now ());
}

/* Returns the time without a first byte after which an endpoint counts as
   failed: twice the expected time, plus a fixed one.  */
static int64_t
compute_silence_timeout_ms (const rly_request_t *request)
{
  return SILENCE_TIMEOUT_MS + (int64_t)(2. * estimate_first_byte_ms (request));
}

void
rly_check_timeouts (rly_request_t *request, cfd_time_t now)
{
  int64_t since_sent = now - request->sent_at;

  if (request->closed_at != 0)
    {
      rly_check_closed (request, now);
      return;
    }
  if (rly_is_past_deadline (request, now))
    {
      rly_note_break (request, rly_note_end (request, UPS_TIMED_OUT), now);
      rly_count_rollout_answer (request, now, true);
      rly_fail (request, 504, "timeout");
      return;
    }
  if (!ups_is_connected (request->exchange))
    {
      if (since_sent > CONNECT_TIMEOUT_MS)
        abort_exchange (request, now, UPS_CONNECT_FAILED);
      return;
    }
  if (request->read_paused && !rly_pace_reading (request, now))
    return;
  if (request->answer.status == 0
      && since_sent > compute_silence_timeout_ms (request)
      && rte_may_retry (request->route)
      && request->attempts < request->route->max_attempts)
    abort_exchange (request, now, UPS_TIMED_OUT);
}
