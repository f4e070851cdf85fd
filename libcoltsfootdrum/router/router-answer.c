#include "router/router-private.h"

#include "base/log.h"
#include "http/syn.h"

#include <string.h>

/* How many bytes of an answer are sent to the caller between two
   acknowledgements to the agent; a part of the mebibyte that the agent
   buffers, so that it never has to wait for a caller that reads fast
   enough.  */
#define ACK_INTERVAL_BYTES (128u * 1024)
/* After this many ENDs before the whole answer the agent is assumed to be
   faulty.  */
#define MAX_PREMATURE_ENDS 3u
/* Links that are closed for silence in one sweep are reported as lost within
   this time.  */
#define SILENCE_WINDOW_MS 200
/* Cancellations kept for an agent whose link is lost.  */
#define MAX_PENDING_CANCELS 256u

/* ---- messages to the agent ---- */

static void
send_ack (cfd_router_t *router, const char *agent, const char *id,
          uint64_t offset, bool done)
{
  msg_t message
      = { .kind = MSG_ACK,
          .u.ack = { .request = id, .offset = offset, .done = done } };

  router_send (router, agent, &message);
}

static bool
send_cancel (cfd_router_t *router, const char *agent, const char *id)
{
  msg_t message = { .kind = MSG_CANCEL, .u.cancel = { .request = id } };

  return router_send (router, agent, &message);
}

void
answer_ack_done (request_t *request)
{
  send_ack (request->router, request->agent->name, request->id,
            request->received_bytes, true);
}

void
answer_send_cancel (request_t *request)
{
  agent_t *agent = request->agent;

  if (!send_cancel (request->router, agent->name, request->id)
      && agent->pending_cancels->len < MAX_PENDING_CANCELS)
    g_ptr_array_add (agent->pending_cancels, g_strdup (request->id));
}

static void
send_resume (request_t *request)
{
  msg_t message = { .kind = MSG_RESUME,
                    .u.resume = { .request = request->id,
                                  .offset = request->received_bytes,
                                  .head = !request->has_head } };

  request->router->counters.resumed++;
  router_record_event (request->router, TL_RESUME, request,
                       request->agent->name);
  router_send (request->router, request->agent->name, &message);
}

/* Asks the agent to send again from the first missing byte.  Sent once per
   gap: all data that was on its way before the response to this has the gap
   too.  */
static void
request_missing_data (request_t *request)
{
  if (request->resume_requested
      && request->resume_requested_offset == request->received_bytes)
    return;
  request->resume_requested = true;
  request->resume_requested_offset = request->received_bytes;
  request->router->counters.gaps++;
  send_resume (request);
}

/* ---- messages from the agent ---- */

/* Returns the attempt that a message of PEER is about, or NULL: for a former
   attempt, or one of a former incarnation of either side.  */
static request_t *
find_attempt (cfd_router_t *router, const peer_id_t *peer, const char *id)
{
  request_t *request = g_hash_table_lookup (router->requests, id);

  if (request == NULL || request->agent_incarnation != peer->incarnation
      || strcmp (request->agent->name, peer->instance) != 0)
    return NULL;
  return request;
}

/* Agents of other versions may check less of what endpoints answer.  */
static bool
is_valid_head (const msg_head_t *head)
{
  if (!syn_is_final_status (head->status))
    return false;
  for (uint32_t i = 0; i < head->header_count; i++)
    if (!syn_is_field (head->headers[i], strlen (head->headers[i])))
      return false;
  return true;
}

void
answer_handle_head (cfd_router_t *router, const peer_id_t *peer,
                    const msg_head_t *head, cfd_time_t now)
{
  request_t *request = find_attempt (router, peer, head->request);

  if (request == NULL || request->has_head)
    return;
  if (!is_valid_head (head))
    {
      log_warn ("router",
                "Agent passed on an answer that is not HTTP: agent=%s "
                "request=%s status=%u; upgrade it.",
                request->agent->name, request->id, head->status);
      request_handle_event (request, REQ_EV_LOST, now);
      return;
    }
  request->has_head = true;
  request->status = head->status;
  request->answer_headers = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < head->header_count; i++)
    g_ptr_array_add (request->answer_headers, g_strdup (head->headers[i]));
  g_ptr_array_add (request->answer_headers, NULL);
}

static void
copy_for_claim (request_t *request, const uint8_t *bytes, size_t length)
{
  if (request->answer_copy == NULL || !request->answer_copy_complete)
    return;
  request->answer_copy_complete
      = request->answer_copy->len + length <= ONCE_MAX_ANSWER_BYTES;
  if (request->answer_copy_complete)
    g_byte_array_append (request->answer_copy, bytes, length);
}

void
answer_on_drained (void *user, uint64_t total)
{
  request_t *request = user;

  request->drained_bytes = total;
  if (request->agent == NULL
      || total - request->acked_bytes < ACK_INTERVAL_BYTES)
    return;
  request->acked_bytes = total;
  send_ack (request->router, request->agent->name, request->id, total, false);
}

static void
forward_data (request_t *request, const uint8_t *bytes, size_t length)
{
  copy_for_claim (request, bytes, length);
  if (request->web != NULL)
    {
      request->written_bytes += length;
      INVARIANT ("answer-contiguous",
                 request->written_bytes == request->received_bytes,
                 request->id);
      web_stream_write (request->web, bytes, length);
    }
  else
    {
      answer_on_drained (request, request->received_bytes);
    }
}

/* Acknowledges data of an attempt that this router no longer has: a call that
   must not be repeated runs to its end, and the agent needs buffer space for
   its answer.  */
static void
ack_unknown_data (cfd_router_t *router, const peer_id_t *peer,
                  const msg_data_t *data)
{
  send_ack (router, peer->instance, data->request,
            data->offset + data->bytes.length, false);
}

void
answer_handle_data (cfd_router_t *router, const peer_id_t *peer,
                    const msg_data_t *data, cfd_time_t now)
{
  request_t *request = find_attempt (router, peer, data->request);
  uint64_t skip;

  if (request == NULL)
    {
      ack_unknown_data (router, peer, data);
      return;
    }
  /* A resumed answer may overlap with the data from the lost link.  A gap
     would give the caller a wrong answer, so the missing data is requested
     again.  */
  if (data->offset > request->received_bytes || !request->has_head)
    {
      request_missing_data (request);
      return;
    }
  skip = request->received_bytes - data->offset;
  if (skip >= data->bytes.length)
    return;
  request->received_bytes += data->bytes.length - skip;
  grant_charge_streamed (request, data->tokens, now);
  if (request->state == REQ_SENT)
    request_handle_event (request, REQ_EV_DATA, now);
  forward_data (request, data->bytes.data + skip, data->bytes.length - skip);
}

/* Returns the cost of the attempt by the agent's count, or below 0 if it is
   unknown.  */
static double
actual_cost (const request_t *request, const msg_end_t *end)
{
  double tokens = (double)end->prompt_tokens + end->output_tokens;

  if (end->outcome == OUTCOME_UNREACHED)
    return 0;
  if (end->outcome == OUTCOME_UNKNOWN)
    return -1;
  if (!request->is_model)
    return ROUTER_PLAIN_COST_TOKENS;
  return tokens > 0 ? tokens : -1;
}

static void
settle_cost (request_t *request, const msg_end_t *end, cfd_time_t now)
{
  double actual = actual_cost (request, end);

  grant_correct_charge (request, actual, now);
  if (request->is_model && actual > 0 && end->outcome == OUTCOME_COMPLETE)
    cost_update (request->router->cost, request->item.account,
                 request->item.service, request->cost_hint, actual, now);
}

static req_event_t
outcome_event (outcome_t outcome)
{
  switch (outcome)
    {
    case OUTCOME_COMPLETE:
      return REQ_EV_COMPLETE;
    case OUTCOME_UNREACHED:
      return REQ_EV_NOT_RUN;
    default:
      return REQ_EV_LOST;
    }
}

static bool
is_complete (const request_t *request, const msg_end_t *end)
{
  return request->has_head && end->length == request->received_bytes;
}

/* Handles an END with OUTCOME_COMPLETE that came before the whole answer.  It
   may have been on its way when the gap was detected; an agent that repeats it
   is faulty, and the caller must not wait forever.  */
static void
handle_premature_end (request_t *request, cfd_time_t now)
{
  if (++request->premature_ends < MAX_PREMATURE_ENDS)
    {
      request_missing_data (request);
      return;
    }
  log_warn (
      "router",
      "Agent ended an answer before its whole body: agent=%s request=%s.",
      request->agent->name, request->id);
  request->attempt_ended = true;
  request_handle_event (request, REQ_EV_LOST, now);
}

void
answer_handle_end (cfd_router_t *router, const peer_id_t *peer,
                   const msg_end_t *end, cfd_time_t now)
{
  request_t *request = find_attempt (router, peer, end->request);

  if (request == NULL)
    {
      send_ack (router, peer->instance, end->request, end->length, true);
      return;
    }
  if (end->outcome == OUTCOME_COMPLETE && !is_complete (request, end))
    {
      handle_premature_end (request, now);
      return;
    }
  router->counters.prompt_tokens += end->prompt_tokens;
  router->counters.output_tokens += end->output_tokens;
  request->attempt_ended = true;
  settle_cost (request, end, now);
  request_handle_event (request, outcome_event (end->outcome), now);
}

void
answer_handle_not_started (cfd_router_t *router, const peer_id_t *peer,
                           const msg_not_started_t *message, cfd_time_t now)
{
  request_t *request = find_attempt (router, peer, message->request);

  if (request == NULL)
    return;
  request->not_started = true;
  grant_correct_charge (request, 0, now);
  request_handle_event (request, REQ_EV_NOT_RUN, now);
}

/* ---- links ---- */

static void
send_pending_cancels (cfd_router_t *router, agent_t *agent)
{
  for (guint i = 0; i < agent->pending_cancels->len; i++)
    send_cancel (router, agent->name, agent->pending_cancels->pdata[i]);
  g_ptr_array_set_size (agent->pending_cancels, 0);
}

void
answer_agent_up (cfd_router_t *router, const peer_id_t *peer, cfd_time_t now)
{
  agent_t *agent = agents_find_or_add (router, peer->instance, peer->zone);

  agent->up = true;
  agent->link_lost_at = 0;
  /* A restarted agent has no state of the former process.  */
  if (agent->incarnation != peer->incarnation)
    {
      g_ptr_array_set_size (agent->pending_cancels, 0);
      agent->has_load = false;
    }
  agent->incarnation = peer->incarnation;
  disp_record_link_up (router->disp, agent->name);
  router_schedule (router, now);
  send_pending_cancels (router, agent);
  list_for_each_safe (node, &agent->requests)
    {
      request_t *request = list_entry (node, request_t, at_agent);

      request->resume_requested = false;
      if (request->agent_incarnation != peer->incarnation)
        request_handle_event (request, REQ_EV_LOST, now);
      else
        send_resume (request);
    }
}

/* Returns whether a link was just closed for silence.  Several are closed in
   one sweep before the first loss is reported.  Another link's silence may be
   attributed to this one: its agent is then waited for longer, which does no
   harm.  */
static bool
was_closed_for_silence (cfd_router_t *router, cfd_time_t now)
{
  peer_counters_t counters;

  peer_hub_get_counters (router->hub, &counters);
  if (counters.silences > router->seen_silences)
    router->last_silence_at = now;
  router->seen_silences = counters.silences;
  return router->seen_silences > 0
         && now - router->last_silence_at < SILENCE_WINDOW_MS;
}

void
answer_agent_down (cfd_router_t *router, const peer_id_t *peer, cfd_time_t now)
{
  agent_t *agent = agents_find (router, peer->instance);
  bool silent = was_closed_for_silence (router, now);

  if (agent == NULL || agent->incarnation != peer->incarnation)
    return;
  agent->up = false;
  agent->link_was_silent = silent;
  agent->has_load = false;
  /* A link that is not held was closed as idle, by either side.  */
  if (agent->link_held)
    {
      disp_record_link_lost (router->disp, agent->name, now);
      router_schedule (router, now);
    }
  if (agent->in_flight == 0)
    return;
  agent->link_lost_at = now;
  router_schedule (router, now + REQ_RETRY_WAIT_MS);
}

/* Ends the attempts at AGENT whose wait is over; returns when the next one
   is.  */
static cfd_time_t
expire_agent_requests (agent_t *agent, cfd_time_t now)
{
  cfd_time_t next = CFD_TIME_NEVER;

  list_for_each_safe (node, &agent->requests)
    {
      request_t *request = list_entry (node, request_t, at_agent);
      req_facts_t facts = request_get_facts (request);
      cfd_time_t until
          = agent->link_lost_at
            + req_link_wait_ms (request->state, &facts,
                                agent->link_was_silent && agent->listed);

      if (until <= now)
        request_handle_event (request, REQ_EV_LOST, now);
      else
        next = MIN (next, until);
    }
  return next;
}

cfd_time_t
answer_expire_lost (cfd_router_t *router, cfd_time_t now)
{
  cfd_time_t next = CFD_TIME_NEVER;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      agent_t *agent = value;

      if (agent->link_lost_at == 0)
        continue;
      next = MIN (next, expire_agent_requests (agent, now));
      if (list_is_empty (&agent->requests))
        agent->link_lost_at = 0;
    }
  return next;
}
