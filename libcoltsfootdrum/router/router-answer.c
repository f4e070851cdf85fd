#include "router/router-private.h"

#include "base/log.h"

#include <string.h>

/* Bytes after which an agent hears how far its answer got; a part of the
   mebibyte that it keeps, so that it never has to wait for a good reader.  */
#define ACK_EACH (128u * 1024)
/* Ends before the whole answer after which the agent is taken to be at fault.
 */
#define EARLY_ENDS_MAX 3u
/* Links found silent together are told as lost within this time.  */
#define SILENT_SWEEP_MS 200
/* Cancellations remembered for an agent that is away.  */
#define ABANDONED_MAX 256u

/* ---- words to the agent ---- */

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
answer_done (request_t *request)
{
  send_ack (request->router, request->agent->name, request->id,
            request->received, true);
}

void
answer_cancel (request_t *request)
{
  agent_t *agent = request->agent;

  if (!send_cancel (request->router, agent->name, request->id)
      && agent->abandoned->len < ABANDONED_MAX)
    g_ptr_array_add (agent->abandoned, g_strdup (request->id));
}

static void
send_resume (request_t *request)
{
  msg_t message = { .kind = MSG_RESUME,
                    .u.resume = { .request = request->id,
                                  .offset = request->received,
                                  .head = !request->has_head } };

  request->router->counters.resumed++;
  router_note (request->router, TL_RESUME, request, request->agent->name);
  router_send (request->router, request->agent->name, &message);
}

/* A piece is missing.  Asked for once: all that was on its way before the
   answer to this comes with a gap too.  */
static void
ask_again (request_t *request)
{
  if (request->asked_again && request->asked_offset == request->received)
    return;
  request->asked_again = true;
  request->asked_offset = request->received;
  request->router->counters.gaps++;
  send_resume (request);
}

/* ---- words from the agent ---- */

/* The attempt that PEER speaks of; a former attempt, or one of a former
   incarnation of either side, is none.  */
static request_t *
find (cfd_router_t *router, const peer_id_t *peer, const char *id)
{
  request_t *request = g_hash_table_lookup (router->requests, id);

  if (request == NULL || request->agent_incarnation != peer->incarnation
      || strcmp (request->agent->name, peer->instance) != 0)
    return NULL;
  return request;
}

void
answer_head (cfd_router_t *router, const peer_id_t *peer,
             const msg_head_t *head, cfd_time_t now)
{
  request_t *request = find (router, peer, head->request);

  if (request == NULL || request->has_head)
    return;
  request->has_head = true;
  request->status = head->status;
  request->answer_headers = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < head->header_count; i++)
    g_ptr_array_add (request->answer_headers, g_strdup (head->headers[i]));
  g_ptr_array_add (request->answer_headers, NULL);
}

static void
keep (request_t *request, const uint8_t *bytes, size_t length)
{
  if (request->kept == NULL || !request->kept_whole)
    return;
  request->kept_whole = request->kept->len + length <= ONCE_MAX_ANSWER_BYTES;
  if (request->kept_whole)
    g_byte_array_append (request->kept, bytes, length);
}

void
answer_drained (void *user, uint64_t total)
{
  request_t *request = user;

  request->drained = total;
  if (request->agent == NULL || total - request->acked < ACK_EACH)
    return;
  request->acked = total;
  send_ack (request->router, request->agent->name, request->id, total, false);
}

static void
pass_on (request_t *request, const uint8_t *bytes, size_t length)
{
  keep (request, bytes, length);
  if (request->web != NULL)
    {
      request->written += length;
      INVARIANT ("answer-contiguous", request->written == request->received,
                 request->id);
      web_stream_write (request->web, bytes, length);
    }
  else
    {
      answer_drained (request, request->received);
    }
}

/* What nobody here waits for is taken off the agent's hands: a call that must
   not be repeated is let to end, and needs room to.  */
static void
let_go (cfd_router_t *router, const peer_id_t *peer, const msg_data_t *data)
{
  send_ack (router, peer->instance, data->request,
            data->offset + data->bytes.length, false);
}

void
answer_data (cfd_router_t *router, const peer_id_t *peer,
             const msg_data_t *data, cfd_time_t now)
{
  request_t *request = find (router, peer, data->request);
  uint64_t skip;

  if (request == NULL)
    {
      let_go (router, peer, data);
      return;
    }
  /* A resumed answer may overlap with what came over the lost link; a gap
     would give the caller a wrong answer, so it is asked for again.  */
  if (data->offset > request->received || !request->has_head)
    {
      ask_again (request);
      return;
    }
  skip = request->received - data->offset;
  if (skip >= data->bytes.length)
    return;
  request->received += data->bytes.length - skip;
  grant_streams (request, data->tokens, now);
  if (request->state == REQ_SENT)
    request_event (request, REQ_EV_DATA, now);
  pass_on (request, data->bytes.data + skip, data->bytes.length - skip);
}

/* What the attempt cost by the agent's count, or below 0 when it can't tell.
 */
static double
actual_cost (const request_t *request, const msg_end_t *end)
{
  double tokens = (double)end->prompt_tokens + end->output_tokens;

  if (end->outcome == OUTCOME_UNREACHED)
    return 0;
  if (end->outcome == OUTCOME_UNKNOWN)
    return -1;
  if (!request->is_model)
    return ROUTER_PLAIN_COST;
  return tokens > 0 ? tokens : -1;
}

static void
settle_cost (request_t *request, const msg_end_t *end, cfd_time_t now)
{
  double actual = actual_cost (request, end);

  grant_correct (request, actual, now);
  if (request->is_model && actual > 0 && end->outcome == OUTCOME_COMPLETE)
    cost_learn (request->router->cost, request->item.account,
                request->item.service, request->hint, actual, now);
}

static req_event_t
event_of (outcome_t outcome)
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
has_all (const request_t *request, const msg_end_t *end)
{
  return request->has_head && end->length == request->received;
}

/* An end that says complete came before the whole answer.  One may have been
   on its way when the gap was seen; an agent that goes on so is at fault, and
   its caller must not wait for ever.  */
static void
complete_in_part (request_t *request, cfd_time_t now)
{
  if (++request->early_ends < EARLY_ENDS_MAX)
    {
      ask_again (request);
      return;
    }
  log_warn ("router", "Answer without its whole body: agent=%s request=%s.",
            request->agent->name, request->id);
  request->ended = true;
  request_event (request, REQ_EV_LOST, now);
}

void
answer_end (cfd_router_t *router, const peer_id_t *peer, const msg_end_t *end,
            cfd_time_t now)
{
  request_t *request = find (router, peer, end->request);

  if (request == NULL)
    {
      send_ack (router, peer->instance, end->request, end->length, true);
      return;
    }
  if (end->outcome == OUTCOME_COMPLETE && !has_all (request, end))
    {
      complete_in_part (request, now);
      return;
    }
  router->counters.prompt_tokens += end->prompt_tokens;
  router->counters.output_tokens += end->output_tokens;
  request->ended = true;
  settle_cost (request, end, now);
  request_event (request, event_of (end->outcome), now);
}

void
answer_not_started (cfd_router_t *router, const peer_id_t *peer,
                    const msg_not_started_t *word, cfd_time_t now)
{
  request_t *request = find (router, peer, word->request);

  if (request == NULL)
    return;
  request->not_started = true;
  grant_correct (request, 0, now);
  request_event (request, REQ_EV_NOT_RUN, now);
}

/* ---- links ---- */

static void
cancel_abandoned (cfd_router_t *router, agent_t *agent)
{
  for (guint i = 0; i < agent->abandoned->len; i++)
    send_cancel (router, agent->name, agent->abandoned->pdata[i]);
  g_ptr_array_set_size (agent->abandoned, 0);
}

void
answer_agent_up (cfd_router_t *router, const peer_id_t *peer, cfd_time_t now)
{
  agent_t *agent = agents_get (router, peer->instance, peer->zone);

  agent->up = true;
  agent->away_since = 0;
  /* A restarted agent remembers nothing.  */
  if (agent->incarnation != peer->incarnation)
    {
      g_ptr_array_set_size (agent->abandoned, 0);
      agent->has_load = false;
    }
  agent->incarnation = peer->incarnation;
  disp_record_link_up (router->disp, agent->name);
  router_schedule (router, now);
  cancel_abandoned (router, agent);
  list_for_each_safe (node, &agent->requests)
    {
      request_t *request = list_entry (node, request_t, at_agent);

      request->asked_again = false;
      if (request->agent_incarnation != peer->incarnation)
        request_event (request, REQ_EV_LOST, now);
      else
        send_resume (request);
    }
}

/* Whether a link was closed for silence just now.  Several are closed in one
   sweep before the first loss is told.  Another link's silence may be taken
   for this one's: its agent then is waited for longer, which does no harm.  */
static bool
went_silent (cfd_router_t *router, cfd_time_t now)
{
  peer_counters_t counters;

  peer_hub_get_counters (router->hub, &counters);
  if (counters.silences > router->silences)
    router->silent_at = now;
  router->silences = counters.silences;
  return router->silences > 0 && now - router->silent_at < SILENT_SWEEP_MS;
}

void
answer_agent_down (cfd_router_t *router, const peer_id_t *peer, cfd_time_t now)
{
  agent_t *agent = agents_find (router, peer->instance);
  bool silent = went_silent (router, now);

  if (agent == NULL || agent->incarnation != peer->incarnation)
    return;
  agent->up = false;
  agent->silent = silent;
  agent->has_load = false;
  /* One that nobody holds is closed for being idle, at either end.  */
  if (agent->held)
    {
      disp_record_link_lost (router->disp, agent->name, now);
      router_schedule (router, now);
    }
  if (agent->in_flight == 0)
    return;
  agent->away_since = now;
  router_schedule (router, now + REQ_RETRY_WAIT_MS);
}

/* Gives up the requests of AGENT whose time is over; returns when the next
   is.  */
static cfd_time_t
give_up_late (agent_t *agent, cfd_time_t now)
{
  cfd_time_t next = CFD_TIME_NEVER;

  list_for_each_safe (node, &agent->requests)
    {
      request_t *request = list_entry (node, request_t, at_agent);
      req_facts_t facts = request_facts (request);
      cfd_time_t until = agent->away_since
                         + req_patience (request->state, &facts,
                                         agent->silent && agent->listed);

      if (until <= now)
        request_event (request, REQ_EV_LOST, now);
      else
        next = MIN (next, until);
    }
  return next;
}

cfd_time_t
answer_give_up (cfd_router_t *router, cfd_time_t now)
{
  cfd_time_t next = CFD_TIME_NEVER;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      agent_t *agent = value;

      if (agent->away_since == 0)
        continue;
      next = MIN (next, give_up_late (agent, now));
      if (list_is_empty (&agent->requests))
        agent->away_since = 0;
    }
  return next;
}
