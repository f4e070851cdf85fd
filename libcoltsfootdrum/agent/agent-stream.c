#include "agent/agent-stream.h"

#include <string.h>

/* Acknowledged bytes are moved out when they are this many, so that small
   acknowledgements don't each move the rest.  */
#define COMPACT_MIN (64u * 1024)

void
stream_init (stream_t *stream)
{
  *stream = (stream_t){ 0 };
  stream->bytes = g_byte_array_new ();
  stream->headers = g_ptr_array_new_with_free_func (g_free);
}

void
stream_clear (stream_t *stream)
{
  g_byte_array_unref (stream->bytes);
  g_ptr_array_unref (stream->headers);
  g_free (stream->detail);
}

/* Connection headers are between the endpoint and us.  */
static bool
is_for_caller (const char *header)
{
  static const char *const ours[]
      = { "connection:", "transfer-encoding:", "content-length:",
          "keep-alive:", "upgrade:",           "te:",
          "trailer:" };

  for (size_t i = 0; i < G_N_ELEMENTS (ours); i++)
    if (g_ascii_strncasecmp (header, ours[i], strlen (ours[i])) == 0)
      return false;
  return true;
}

void
stream_head (stream_t *stream, uint32_t status, const char *const *headers)
{
  if (stream->has_head)
    return;
  stream->has_head = true;
  stream->status = status;
  for (; headers != NULL && *headers != NULL; headers++)
    if (is_for_caller (*headers) && stream->headers->len < MSG_HEADERS_MAX)
      g_ptr_array_add (stream->headers, g_strdup (*headers));
}

void
stream_append (stream_t *stream, const void *bytes, size_t length,
               uint32_t tokens)
{
  g_byte_array_append (stream->bytes, bytes, (guint)length);
  stream->tokens = tokens;
}

void
stream_end (stream_t *stream, outcome_t outcome, const char *detail)
{
  if (stream->ended)
    return;
  stream->ended = true;
  stream->outcome = outcome;
  stream->detail = g_strdup (detail);
}

size_t
stream_retained (const stream_t *stream)
{
  return stream->bytes->len - stream->skip;
}

uint64_t
stream_total (const stream_t *stream)
{
  return stream->base + stream_retained (stream);
}

bool
stream_is_full (const stream_t *stream)
{
  return stream_retained (stream) >= STREAM_RETAINED_MAX;
}

bool
stream_ack (stream_t *stream, uint64_t offset)
{
  if (offset > stream_total (stream))
    return false;
  if (offset <= stream->base)
    return true;
  stream->skip += (size_t)(offset - stream->base);
  stream->base = offset;
  if (stream->sent < offset)
    stream->sent = offset;
  if (stream->skip < COMPACT_MIN && stream->skip < stream->bytes->len)
    return true;
  g_byte_array_remove_range (stream->bytes, 0, (guint)stream->skip);
  stream->skip = 0;
  return true;
}

bool
stream_resume (stream_t *stream, uint64_t offset, bool head)
{
  if (offset < stream->base || offset > stream_total (stream))
    return false;
  /* All before OFFSET was received: as good as acknowledged.  */
  (void)stream_ack (stream, offset);
  stream->sent = offset;
  if (head)
    stream->head_sent = false;
  stream->end_sent = false;
  return true;
}

bool
stream_next (const stream_t *stream, msg_data_t *data)
{
  uint64_t left = stream_total (stream) - stream->sent;
  size_t at = stream->skip + (size_t)(stream->sent - stream->base);

  if (left == 0)
    return false;
  data->offset = stream->sent;
  data->tokens = stream->tokens;
  data->bytes.data = stream->bytes->data + at;
  data->bytes.length = left < MSG_DATA_MAX ? (size_t)left : MSG_DATA_MAX;
  return true;
}

void
stream_sent (stream_t *stream, size_t length)
{
  stream->sent += length;
}
