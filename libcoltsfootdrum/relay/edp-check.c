/* Endpoints: health checks, by which routers learn from the endpoints
   themselves whether they are cold.  */

#include "relay/edp-private.h"

#include "base/log.h"
#include "relay/cold.h"

#define CHECK_TIMEOUT_MS 1000
/* Time for which an endpoint that is ill, or whose address another one has,
   counts as cold while the list is old: until the answer to the next check is
   due.  */
#define ILL_MS (2 * WRM_ASK_INTERVAL_MS)
#define STATUS_OK 200
/* Largest body of an answer that is read.  It isn't used, and an endpoint may
   send without end.  */
#define MAX_BODY_BYTES 65536u

void
edp_cancel_check (edp_t *edp)
{
  if (edp->check.exchange != NULL)
    ups_cancel (edp->check.exchange);
  edp->check.exchange = NULL;
}

/* Returns how long the endpoint that was asked stays cold, by its answer; -1:
   the answer doesn't tell.  */
static int64_t
read_cold_ms (const edp_t *edp, const rd_head_t *head)
{
  const edp_check_options_t *options = edp->check.options;
  const char *id = hdr_get (&head->fields, options->endpoint_id);
  const char *cold_ms = hdr_get (&head->fields, options->cold_ms);
  int64_t warm_up_ms = edp->warmth.warm_up_ms;

  if (hdr_get (&head->fields, options->not_run) != NULL)
    return -1;
  if (head->status == STATUS_OK && g_strcmp0 (id, edp->report->id) == 0)
    return (int64_t)hdr_parse_number (cold_ms, (double)warm_up_ms, 0.);
  return edp->set->is_list_old ? MIN (ILL_MS, warm_up_ms) : -1;
}

/* Has the other endpoints asked too, at most once an interval.  */
static void
alert_all (edp_set_t *set, cfd_time_t now)
{
  if (now - set->alerted_at < WRM_ASK_INTERVAL_MS)
    return;
  set->alerted_at = now;
  list_for_each (node, &set->list)
    {
      wrm_alert (&list_entry (node, edp_t, node)->warmth, now);
    }
}

static void
on_head (void *user, rd_head_t *head)
{
  edp_t *edp = user;
  cfd_time_t now = clock_now ();
  int64_t cold_ms = read_cold_ms (edp, head);
  bool was_cold = edp_is_cold (edp, now);

  if (cold_ms < 0)
    return;
  if (edp_set_cold (edp, now, cold_ms, "health-check"))
    alert_all (edp->set, now);
  if (wrm_note_answer (&edp->warmth, now, cold_ms))
    log_info ("endpoints",
              "An endpoint said whether it is cold: endpoint=%s "
              "cold_ms=%" G_GINT64_FORMAT " after_ms=%" G_GINT64_FORMAT ".",
              edp->report->id, cold_ms, now - edp->warmth.suspected_at);
  if (cold_ms == 0)
    return;
  /* Until it is computed.  */
  if (!was_cold)
    edp->cold_rank = COLD_RANK_UNKNOWN;
  edp->set->has_newly_cold = true;
  edp_set_note_changed (edp->set, edp);
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  edp_t *edp = user;

  edp->check.body_bytes += length;
}

/* Counts a failure of EDP, whose answer to a check is none or has no end.  */
static void
record_bad_answer (edp_t *edp)
{
  log_warn ("endpoints",
            "The answer to a health check is invalid or too large: "
            "endpoint=%s body_bytes=%zu.",
            edp->report->id, edp->check.body_bytes);
  edp_record_failure (edp, clock_now ());
}

static void
on_read_end (void *user)
{
  edp_t *edp = user;

  if (edp->check.body_bytes <= MAX_BODY_BYTES)
    return;
  edp_cancel_check (edp);
  record_bad_answer (edp);
}

static void
on_ended (void *user, ups_end_t end)
{
  edp_t *edp = user;

  edp->check.exchange = NULL;
  if (end == UPS_MALFORMED)
    record_bad_answer (edp);
  if (end == UPS_CONNECT_FAILED)
    edp_note_unreachable (edp, clock_now ());
}

static void
send_check (edp_set_t *set, edp_t *edp, cfd_time_t now,
            const edp_check_options_t *options)
{
  static const ups_ops_t ops = { .head = on_head,
                                 .body = on_body,
                                 .read_end = on_read_end,
                                 .ended = on_ended };
  const char *path = options->get_path (options->user, edp->report->service);
  g_autofree char *text = NULL;
  /* While nothing suggests that the endpoint turned cold, what it said at the
     last check may serve once more.  */
  bool is_routine = edp->warmth.suspicion == WRM_CONFIRMED
                    && !wrm_is_urgent (&edp->warmth, now);
  ups_request_t request
      = { .id_field = options->request_id, .may_get_copy = is_routine };

  if (path == NULL)
    return;
  text = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path,
                          edp->report->address);
  request.bytes = text;
  request.length = strlen (text);
  edp->check.options = options;
  edp->check.sent_at = now;
  edp->check.body_bytes = 0;
  wrm_note_asked (&edp->warmth, now);
  edp->check.exchange = ups_send (edp->ups, now, &request, &ops, edp);
  set->checks_sent++;
}

void
edp_expire_check (edp_t *edp, cfd_time_t now)
{
  bool is_connected;

  if (edp->check.exchange == NULL
      || now - edp->check.sent_at <= CHECK_TIMEOUT_MS)
    return;
  is_connected = ups_is_connected (edp->check.exchange);
  edp_cancel_check (edp);
  if (!is_connected)
    edp_note_unreachable (edp, now);
}

/* Returns whether EDP can be asked, and it may be this router's turn.  */
static bool
is_considered (const edp_t *edp, cfd_time_t now, int64_t interval_ms)
{
  return edp->warmth.warm_up_ms > 0 && edp->is_near && edp_is_usable (edp)
         && !edp_is_resting (edp, now) && edp->check.exchange == NULL
         && (wrm_is_urgent (&edp->warmth, now)
             || now - edp->check.considered_at >= interval_ms);
}

void
edp_set_check_health (edp_set_t *set, cfd_time_t now,
                      const edp_check_options_t *options, bool is_old)
{
  set->is_list_old = is_old;
  list_for_each (node, &set->list)
    {
      edp_t *edp = list_entry (node, edp_t, node);
      unsigned routers = options->count_routers (options->user, edp);
      int64_t interval_ms
          = wrm_get_interval_ms (edp_estimate_rate (edp, now) * routers);

      if (!is_considered (edp, now, interval_ms))
        continue;
      edp->check.considered_at = now;
      if (wrm_must_ask (&edp->warmth, now,
                        options->get_rank (options->user, now, edp),
                        interval_ms))
        send_check (set, edp, now, options);
    }
}

int64_t
edp_get_found_cold_ms (const edp_t *edp, cfd_time_t now)
{
  return MAX (edp->warmth.found_cold_until - now, 0);
}

void
edp_set_note_cold (edp_set_t *set, cfd_time_t now, uint64_t hash,
                   int64_t cold_ms)
{
  edp_t *edp = edp_set_find_by_hash (set, hash);

  if (edp != NULL
      && edp_set_cold (edp, now, MIN (cold_ms, edp->warmth.warm_up_ms),
                       "peer"))
    alert_all (set, now);
}

uint64_t
edp_set_count_checks (const edp_set_t *set)
{
  return set->checks_sent;
}
