/* Sends the answer from the agent to the router: head, body pieces, end.  */

#include "agent/agent-private.h"

static bool
send_head (run_t *run)
{
  const stream_t *stream = &run->stream;
  msg_t message = { .kind = MSG_HEAD };

  message.u.head = (msg_head_t){
    .request = run->request,
    .status = stream->status,
    .header_count = stream->headers->len,
    .headers = (const char *const *)stream->headers->pdata,
  };
  return agent_send (run->agent, run->router, &message);
}

static bool
send_body (run_t *run)
{
  msg_t message = { .kind = MSG_DATA };

  message.u.data.request = run->request;
  while (stream_get_next (&run->stream, &message.u.data))
    {
      if (!agent_send (run->agent, run->router, &message))
        return false;
      stream_mark_sent (&run->stream, message.u.data.bytes.length);
    }
  return true;
}

static bool
send_end (run_t *run)
{
  const stream_t *stream = &run->stream;
  msg_t message = { .kind = MSG_END };

  message.u.end = (msg_end_t){
    .request = run->request,
    .outcome = stream->outcome,
    .length = stream_get_length (stream),
    .prompt_tokens = stream->prompt_tokens,
    .output_tokens = stream->output_tokens,
    .detail = stream->detail,
  };
  return agent_send (run->agent, run->router, &message);
}

static bool
send_all (run_t *run)
{
  stream_t *stream = &run->stream;

  if (stream->has_head && !stream->is_head_sent)
    {
      if (!send_head (run))
        return false;
      stream->is_head_sent = true;
    }
  if (!send_body (run))
    return false;
  if (stream->has_ended && !stream->is_end_sent)
    {
      if (!send_end (run))
        return false;
      stream->is_end_sent = true;
    }
  return true;
}

void
answer_flush (run_t *run, cfd_time_t now)
{
  if (run->is_attached && !send_all (run))
    run_detach (run, now);
}

void
answer_send_unknown (cfd_agent_t *agent, const char *router,
                     const char *request, const char *detail)
{
  msg_t message = { .kind = MSG_END };

  message.u.end = (msg_end_t){ .request = request,
                               .outcome = OUTCOME_UNKNOWN,
                               .detail = detail };
  (void)agent_send (agent, router, &message);
}
