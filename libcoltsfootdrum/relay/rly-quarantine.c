/* The relay of requests: requests under which endpoints ended one after the
   other (relay/qua.h).  They are refused at once.  */

#include "relay/rly-private.h"

#include "base/log.h"
#include <inttypes.h>

bool
rly_is_quarantined (const rly_request_t *request, cfd_time_t now)
{
  const qua_t *qua = request->rly->qua;

  return qua != NULL && qua_count (qua) > 0
         && qua_find (qua, now, request->content_key).is_active;
}

bool
rly_awaits_quarantine (const rly_request_t *request, cfd_time_t now)
{
  const rly_t *rly = request->rly;
  const edp_t *last;

  if (rly->qua == NULL || request->failed_count == 0
      || qua_find (rly->qua, now, request->content_key).ends + 1
             < QUA_MAX_ENDS)
    return false;
  last = edp_set_find_by_hash (rly->endpoints,
                               request->failed_at[request->failed_count - 1]);
  return last != NULL && edp_is_break_pending (last);
}

void
rly_refuse_quarantined (rly_request_t *request, cfd_time_t now)
{
  rly_t *rly = request->rly;
  qua_state_t state = qua_find (rly->qua, now, request->content_key);

  log_info ("relay",
            "A request is in quarantine: request=%s key=%010" PRIx64
            " account=%s ends=%u age_ms=%" G_GINT64_FORMAT
            " left_ms=%" G_GINT64_FORMAT ".",
            request->id, request->content_key, rly_get_account_name (request),
            state.ends, now - state.last_at, state.left_ms);
  rly->counts.quarantined++;
  /* Its retry gets no precedence.  */
  request->retry_key = 0;
  rly_refuse (request, now, "quarantined", state.left_ms);
}

/* Refuses one waiting request.  Returns false when there is none to refuse. */
static bool
refuse_one (rly_service_t *service, cfd_time_t now)
{
  list_for_each (node, &service->queues)
    {
      rly_queue_t *queue = list_entry (node, rly_queue_t, node);

      list_for_each (inner_node, &queue->requests)
        {
          rly_request_t *request
              = list_entry (inner_node, rly_request_t, node);

          if (!rly_is_quarantined (request, now))
            continue;
          rly_refuse_quarantined (request, now);
          return true;
        }
    }
  return false;
}

void
rly_apply_quarantine (rly_service_t *service, rly_t *rly, cfd_time_t now)
{
  if (rly->qua == NULL
      || service->quarantine_epoch == qua_get_epoch (rly->qua))
    return;
  service->quarantine_epoch = qua_get_epoch (rly->qua);
  while (refuse_one (service, now))
    ;
}

void
rly_add_end (rly_t *rly, cfd_time_t now, const qua_event_t *end, edp_t *edp)
{
  if (rly->qua == NULL)
    return;
  if (qua_add (rly->qua, now, end))
    log_warn ("relay",
              "A request is quarantined: key=%010" PRIx64
              " endpoint=%s source=own ends=%u.",
              end->request, edp->report->id,
              qua_find (rly->qua, now, end->request).ends);
  /* The event goes out with the changes of load.  */
  edp_set_note_changed (rly->endpoints, edp);
}

void
rly_add_answer (const rly_request_t *request, cfd_time_t now)
{
  rly_t *rly = request->rly;
  const qua_event_t answer = { .request = request->content_key,
                               .sent_at = request->sent_at,
                               .at = now };

  if (rly->qua == NULL || qua_count (rly->qua) == 0
      || qua_find (rly->qua, now, request->content_key).ends == 0)
    return;
  qua_add (rly->qua, now, &answer);
  edp_set_note_changed (rly->endpoints, request->edp);
}

void
rly_set_quarantine (rly_t *rly, qua_t *qua)
{
  rly->qua = qua;
}
