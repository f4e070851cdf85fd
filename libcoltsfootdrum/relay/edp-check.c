/* Endpoints: health checks, by which routers learn from the endpoints
   themselves whether they are cold, while the platform's list can't be read.
 */

#include "relay/edp-private.h"

#include "base/log.h"
#include "relay/cold.h"

#define CHECK_INTERVAL_MS 400
#define CHECK_TIMEOUT_MS 1000
/* Time for which an endpoint that is ill, or whose address another one has,
   counts as cold: until the answer to the next check is due.  */
#define ILL_MS (2 * CHECK_INTERVAL_MS)
#define STATUS_OK 200

/* Returns how long the endpoint that was asked stays cold, by its answer.  */
static int64_t
read_cold_ms (const edp_t *edp, const rd_head_t *head)
{
  const edp_check_options_t *options = edp->check.options;
  const char *id = hdr_get (&head->fields, options->endpoint_id);
  const char *cold_ms = hdr_get (&head->fields, options->cold_ms);

  if (head->status != STATUS_OK || g_strcmp0 (id, edp->report->id) != 0)
    return MIN (ILL_MS, edp->warm_up_ms);
  return (int64_t)hdr_parse_number (cold_ms, (double)edp->warm_up_ms, 0.);
}

static void
on_head (void *user, rd_head_t *head)
{
  edp_t *edp = user;
  cfd_time_t now = clock_now ();
  int64_t cold_ms;

  if (hdr_get (&head->fields, edp->check.options->not_run) != NULL)
    return;
  cold_ms = read_cold_ms (edp, head);
  edp->check.cold_until = now + cold_ms;
  if (cold_ms == 0)
    return;
  /* Until it is computed.  */
  if (!edp_is_cold (edp, now))
    edp->cold_rank = COLD_RANK_UNKNOWN;
  edp_set_cold (edp, now, cold_ms, "health-check");
  edp_set_note_changed (edp->check.set, edp);
}

static void
on_body (void *user, const char *bytes, size_t length)
{
}

static void
on_ended (void *user, ups_end_t end)
{
  ((edp_t *)user)->check.exchange = NULL;
}

static void
send_check (edp_set_t *set, edp_t *edp, cfd_time_t now,
            const edp_check_options_t *options)
{
  static const ups_ops_t ops
      = { .head = on_head, .body = on_body, .ended = on_ended };
  const char *path = options->get_path (options->user, edp->report->service);
  g_autofree char *text = NULL;
  ups_request_t request = { .id_field = "", .id = "" };

  if (path == NULL)
    return;
  text = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path,
                          edp->report->address);
  request.bytes = text;
  request.length = strlen (text);
  edp->check.set = set;
  edp->check.options = options;
  edp->check.sent_at = now;
  edp->check.exchange = ups_send (edp->ups, now, &request, &ops, edp);
  set->checks_sent++;
}

void
edp_expire_check (edp_t *edp, cfd_time_t now)
{
  if (edp->check.exchange == NULL
      || now - edp->check.sent_at <= CHECK_TIMEOUT_MS)
    return;
  ups_cancel (edp->check.exchange);
  edp->check.exchange = NULL;
}

static bool
is_due (const edp_t *edp, cfd_time_t now)
{
  return edp->warm_up_ms > 0 && edp->is_near && !edp->withdrawn
         && !edp->report->leaving && edp->check.exchange == NULL
         && (edp->check.sent_at == CFD_TIME_NEVER
             || now - edp->check.sent_at >= CHECK_INTERVAL_MS);
}

void
edp_set_check_health (edp_set_t *set, cfd_time_t now,
                      const edp_check_options_t *options)
{
  list_for_each (node, &set->list)
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (is_due (edp, now) && options->is_checked (options->user, edp))
        send_check (set, edp, now, options);
    }
}

int64_t
edp_get_found_cold_ms (const edp_t *edp, cfd_time_t now)
{
  return MAX (edp->check.cold_until - now, 0);
}

void
edp_set_note_cold (edp_set_t *set, cfd_time_t now, uint64_t hash,
                   int64_t cold_ms)
{
  edp_t *edp = edp_set_find_by_hash (set, hash);

  if (edp != NULL)
    edp_set_cold (edp, now, MIN (cold_ms, edp->warm_up_ms), "peer");
}

uint64_t
edp_set_count_checks (const edp_set_t *set)
{
  return set->checks_sent;
}
