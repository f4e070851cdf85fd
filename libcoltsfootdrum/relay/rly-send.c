/* One exchange of a request with an endpoint.  */

#include "relay/rly-private.h"

#include "base/log.h"
#include <string.h>

/* An endpoint that accepts no connection for so long is passed over: nothing
   was sent, so that another may have the request.  Several round trips of the
   widest region, and less than a caller's shortest aim.  */
#define CONNECT_MS 350
/* No first byte for this long beyond what was expected: the endpoint is
   silent. A request that may be repeated goes elsewhere.  */
#define SILENT_MS 1500

static bool
is_ours (const rly_names_t *names, const char *name)
{
  for (const char *const *own = names->ours; *own != NULL; own++)
    if (g_ascii_strcasecmp (*own, name) == 0)
      return true;
  return g_ascii_strcasecmp (name, names->deadline_ms) == 0
         || g_ascii_strcasecmp (name, names->account) == 0
         || g_ascii_strcasecmp (name, names->expect_endpoint) == 0
         || g_ascii_strcasecmp (name, "Authorization") == 0
         || g_ascii_strcasecmp (name, "Content-Length") == 0;
}

static void
put_callers_fields (const rly_request_t *request, GString *text)
{
  const rly_names_t *names = &request->rly->names;
  const hdr_t *fields = &ent_get_head (request->call)->fields;
  bool goes_on = request->answer.events.last_id >= 0;

  for (guint i = 0; i < hdr_count (fields); i++)
    {
      const char *name = hdr_get_name (fields, i);

      if (is_ours (names, name) || hdr_is_hop_by_hop (fields, i)
          || (goes_on && g_ascii_strcasecmp (name, names->last_event) == 0))
        continue;
      hdr_append_line (text, name, hdr_get_value (fields, i));
    }
}

static int64_t
time_left (const rly_request_t *request, cfd_time_t now)
{
  return MAX (MIN (request->deadline, request->timeout) - now, 1);
}

static GString *
request_text (const rly_request_t *request, const edp_t *edp,
              const edp_t *source, cfd_time_t now)
{
  const rly_names_t *names = &request->rly->names;
  const rd_head_t *head = ent_get_head (request->call);
  const GByteArray *body = ent_get_body (request->call);
  const evs_t *events = &request->answer.events;
  GString *text = g_string_sized_new (1024 + body->len);

  g_string_append_printf (text, "%s %s HTTP/1.1\r\n", head->method,
                          head->target);
  put_callers_fields (request, text);
  g_string_append_printf (text, "%s: %" G_GINT64_FORMAT "\r\n",
                          names->deadline_ms, time_left (request, now));
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
  if (body->len > 0)
    g_string_append_len (text, (const char *)body->data, body->len);
  return text;
}

/* Once: the first byte came, or the request is off its endpoint.  */
static void
stop_reading_prompt (rly_request_t *request)
{
  request->edp->unread = MAX (request->edp->unread - request->unread, 0.);
  request->edp->changed = true;
  request->unread = 0.;
}

static void
learn (rly_request_t *request, cfd_time_t now)
{
  fit_add (&request->service->first_token, request->ahead,
           (double)(now - request->sent_at) - request->fetch_ms);
}

static void
on_head (void *user, rd_head_t *head)
{
  rly_request_t *request = user;
  lag_t *lag = request->rly->lag;
  lag_kind_t before = lag_enter (lag, LAG_ENDPOINTS);

  rly_take_head (request, head);
  lag_leave (lag, before, 0);
}

/* Anything else says nothing of how fast prompts are read.  */
static bool
is_success (const rly_answer_t *answer)
{
  return answer->sound && !answer->not_run && answer->status / 100 == 2;
}

static void
take_body (rly_request_t *request, cfd_time_t now, const char *bytes,
           size_t length)
{
  bool first = request->unread > 0.;

  request->edp->heard = now;
  if (!request->ran && is_success (&request->answer))
    {
      request->ran = true;
      if (request->key != 0)
        ret_mark_served (request->rly->ret, request->key);
      prom_hist_observe (&request->service->first_byte, now - request->since);
    }
  if (first && is_success (&request->answer))
    {
      edp_record_acceptance (request->edp);
      learn (request, now);
      stop_reading_prompt (request);
    }
  rly_take_body (request, bytes, length);
  if (first)
    rly_pump_later (request->service);
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  rly_request_t *request = user;
  lag_t *lag = request->rly->lag;
  lag_kind_t before = lag_enter (lag, LAG_ENDPOINTS);

  take_body (request, clock_now (), bytes, length);
  lag_leave (lag, before, 1);
}

static void
on_ended (void *user, ups_end_t end)
{
  rly_request_t *request = user;
  lag_t *lag = request->rly->lag;
  lag_kind_t before = lag_enter (lag, LAG_ENDPOINTS);

  request->exchange = NULL;
  rly_take_end (request, end, clock_now ());
  lag_leave (lag, before, 0);
}

static const ups_ops_t exchange_ops
    = { .head = on_head, .body = on_body, .ended = on_ended };

static void
begin (rly_request_t *request, edp_t *edp, cfd_time_t now)
{
  rly_t *rly = request->rly;

  INVARIANT ("at-most-once",
             !request->may_have_run || rte_may_retry (request->route),
             request->id);
  INVARIANT ("endpoint-open", edp_is_open (edp, now), edp->report->id);
  rly_unwait (request);
  list_append (&rly->running, &request->node);
  rly->counts.running++;
  request->edp = edp;
  request->sent_at = now;
  request->tries++;
  request->attempts++;
  edp->active++;
  edp->unread += request->unread;
  edp->context += request->context;
  edp_count_cold_request (edp, now);
  edp->changed = true;
  if (request->prompt != NULL)
    pfx_record (rly->pfx, now, edp->hash, request->prompt);
  if (!request->charged)
    use_add_served (rly->use, now, rly_account_name (request), request->cost);
  request->charged = true;
}

/* Milliseconds until the first byte.  */
static double
expected (const rly_request_t *request)
{
  const fit_t *line = &request->service->first_token;

  return fit_base (line) + fit_slope (line) * request->ahead
         + request->fetch_ms;
}

bool
rly_send (rly_request_t *request, edp_t *edp, const edp_t *source,
          cfd_time_t now)
{
  const rly_names_t *names = &request->rly->names;
  g_autoptr (GString) text = request_text (request, edp, source, now);
  ups_request_t wire = { .bytes = text->str,
                         .length = text->len,
                         .id_field = names->request_id,
                         .id = request->id != NULL ? request->id : "",
                         .no_body = g_str_equal (
                             ent_get_head (request->call)->method, "HEAD") };

  request->exchange = ups_send (edp->ups, now, &wire, &exchange_ops, request);
  if (request->exchange == NULL)
    {
      edp_record_failure (edp, now);
      return false;
    }
  begin (request, edp, now);
  prom_hist_observe (&request->service->wait, now - request->since);
  log_info (
      "relay",
      "A request was sent: request=%s account=%s endpoint=%s active=%u "
      "peers=%u ahead=%.0f own=%.0f expect_ms=%.0f waited_ms=%" G_GINT64_FORMAT
      " source=%s fetch_ms=%.0f.",
      request->id, rly_account_name (request), edp->report->id, edp->active,
      edp->peer_active, request->ahead, request->unread, expected (request),
      now - request->since, source != NULL ? source->report->id : "",
      request->fetch_ms);
  return true;
}

/* What never began to run was not got.  Endpoints that give back hundreds of
   requests a second would else make the account that sent them seem the best
   served one, and it would wait while the others are served.  */
static void
take_back_charge (rly_request_t *request, cfd_time_t now)
{
  if (!request->charged || request->ran)
    return;
  use_add_served (request->rly->use, now, rly_account_name (request),
                  -request->cost);
  request->charged = false;
}

void
rly_leave (rly_request_t *request, bool cancel)
{
  edp_t *edp = request->edp;

  if (edp == NULL)
    return;
  if (cancel && request->exchange != NULL)
    ups_cancel (request->exchange);
  request->exchange = NULL;
  request->held = false;
  stop_reading_prompt (request);
  edp->context = MAX (edp->context - request->context, 0.);
  INVARIANT ("running-counted", edp->active > 0, edp->report->id);
  edp->active--;
  request->rly->counts.running--;
  request->edp = NULL;
  list_remove (&request->node);
  take_back_charge (request, clock_now ());
}

/* What was expected of the first byte, and a span in which an endpoint that
   works would have answered.  */
static int64_t
silent_after (const rly_request_t *request)
{
  return SILENT_MS + (int64_t)(2. * expected (request));
}

static void
give_up (rly_request_t *request, cfd_time_t now, ups_end_t end)
{
  ups_exchange_t *exchange = request->exchange;

  request->exchange = NULL;
  ups_cancel (exchange);
  rly_take_end (request, end, now);
}

void
rly_check_running (rly_request_t *request, cfd_time_t now)
{
  int64_t since_sent = now - request->sent_at;

  if (now >= MIN (request->deadline, request->timeout))
    {
      rly_fail (request, 504, "timeout");
      return;
    }
  if (!ups_is_connected (request->exchange))
    {
      if (since_sent > CONNECT_MS)
        give_up (request, now, UPS_CONNECT_FAILED);
      return;
    }
  if (request->held && ent_get_unsent_bytes (request->call) == 0)
    {
      request->held = false;
      ups_set_read_paused (request->exchange, false);
    }
  if (request->answer.status == 0 && since_sent > silent_after (request)
      && rte_may_retry (request->route)
      && request->attempts < request->route->attempts)
    give_up (request, now, UPS_NO_RESPONSE);
}
