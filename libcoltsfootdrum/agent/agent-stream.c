#include "agent/agent-stream.h"

#include <string.h>

/* Acknowledged bytes are removed from the buffer only when there are at least
   this many, so that small acknowledgements don't each move the rest.  */
#define MIN_COMPACT_BYTES (64u * 1024)

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

/* Connection headers concern only the endpoint and the agent.  */
static bool
is_forwarded (const char *header)
{
  static const char *const excluded[]
      = { "connection:", "transfer-encoding:", "content-length:",
          "keep-alive:", "upgrade:",           "te:",
          "trailer:" };

  for (size_t i = 0; i < G_N_ELEMENTS (excluded); i++)
    if (g_ascii_strncasecmp (header, excluded[i], strlen (excluded[i])) == 0)
      return false;
  return true;
}

void
stream_set_head (stream_t *stream, uint32_t status, const char *const *headers)
{
  if (stream->has_head)
    return;
  stream->has_head = true;
  stream->status = status;
  for (; headers != NULL && *headers != NULL; headers++)
    if (is_forwarded (*headers) && stream->headers->len < MSG_HEADERS_MAX)
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
stream_set_end (stream_t *stream, outcome_t outcome, const char *detail)
{
  if (stream->has_ended)
    return;
  stream->has_ended = true;
  stream->outcome = outcome;
  stream->detail = g_strdup (detail);
}

size_t
stream_count_retained_bytes (const stream_t *stream)
{
  return stream->bytes->len - stream->dropped_bytes;
}

uint64_t
stream_get_length (const stream_t *stream)
{
  return stream->acked_offset + stream_count_retained_bytes (stream);
}

bool
stream_is_full (const stream_t *stream)
{
  return stream_count_retained_bytes (stream) >= STREAM_MAX_RETAINED_BYTES;
}

bool
stream_acknowledge (stream_t *stream, uint64_t offset)
{
  if (offset > stream_get_length (stream))
    return false;
  if (offset <= stream->acked_offset)
    return true;
  stream->dropped_bytes += (size_t)(offset - stream->acked_offset);
  stream->acked_offset = offset;
  if (stream->sent_offset < offset)
    stream->sent_offset = offset;
  if (stream->dropped_bytes < MIN_COMPACT_BYTES
      && stream->dropped_bytes < stream->bytes->len)
    return true;
  g_byte_array_remove_range (stream->bytes, 0, (guint)stream->dropped_bytes);
  stream->dropped_bytes = 0;
  return true;
}

bool
stream_resume (stream_t *stream, uint64_t offset, bool head)
{
  if (offset < stream->acked_offset || offset > stream_get_length (stream))
    return false;
  /* The router has received all before OFFSET, which acknowledges it.  */
  (void)stream_acknowledge (stream, offset);
  stream->sent_offset = offset;
  if (head)
    stream->is_head_sent = false;
  stream->is_end_sent = false;
  return true;
}

bool
stream_get_next (const stream_t *stream, msg_data_t *data)
{
  uint64_t left = stream_get_length (stream) - stream->sent_offset;
  size_t start = stream->dropped_bytes
                 + (size_t)(stream->sent_offset - stream->acked_offset);

  if (left == 0)
    return false;
  data->offset = stream->sent_offset;
  data->tokens = stream->tokens;
  data->bytes.data = stream->bytes->data + start;
  data->bytes.length = left < MSG_DATA_MAX ? (size_t)left : MSG_DATA_MAX;
  return true;
}

void
stream_mark_sent (stream_t *stream, size_t length)
{
  stream->sent_offset += length;
}
