#include "agent/agent-sse.h"

#include "base/jsn.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define EVENT_PREFIX "data:"
#define EVENT_END "[DONE]"

void
sse_init (sse_t *sse, bool streamed)
{
  *sse = (sse_t){ .is_streamed = streamed };
  sse->buffer = g_string_new (NULL);
}

void
sse_clear (sse_t *sse)
{
  if (sse->buffer != NULL)
    (void)g_string_free (sse->buffer, TRUE);
  sse->buffer = NULL;
}

static bool
read_count (JsonObject *usage, const char *member, unsigned *count)
{
  JsonNode *node = json_object_get_member (usage, member);
  gint64 value;

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node))
    return false;
  value = json_node_get_int (node);
  if (value < 0 || value > G_MAXINT32)
    return false;
  *count = (unsigned)value;
  return true;
}

/* Reads the usage figures of a JSON object; false when TEXT is none.  Many
   engines send "usage": null with each token.  */
static bool
read_usage (sse_t *sse, const char *text, size_t length)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonNode *root;
  JsonNode *usage;

  if (!jsn_load (parser, text, length, NULL))
    return false;
  root = json_parser_get_root (parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return false;
  usage = json_object_get_member (json_node_get_object (root), "usage");
  if (usage == NULL || !JSON_NODE_HOLDS_OBJECT (usage))
    return true;
  (void)read_count (json_node_get_object (usage), "prompt_tokens",
                    &sse->prompt_tokens);
  sse->has_usage = read_count (json_node_get_object (usage),
                               "completion_tokens", &sse->output_tokens);
  return true;
}

/* Whether an event carries output.  An event with usage alone has an empty
   list of choices.  */
static bool
has_token (const char *event)
{
  return strstr (event, "\"choices\":[]") == NULL
         && strstr (event, "\"choices\": []") == NULL;
}

static void
parse_line (sse_t *sse, cfd_time_t now)
{
  const char *event = sse->buffer->str;

  /* Clients discard an event without the blank line after it.  */
  if (event[0] == '\0' || g_str_equal (event, "\r"))
    {
      sse->is_complete |= sse->has_end_mark;
      return;
    }
  if (!g_str_has_prefix (event, EVENT_PREFIX))
    return;
  event += strlen (EVENT_PREFIX);
  while (*event == ' ')
    event++;
  if (g_str_has_prefix (event, EVENT_END))
    {
      sse->has_end_mark = true;
      return;
    }
  if (strstr (event, "\"usage\"") != NULL)
    (void)read_usage (sse, event, strlen (event));
  if (!has_token (event))
    return;
  if (sse->first_token_at == 0)
    sse->first_token_at = now;
  else
    sse->intervals_ms[sse->token_events % SSE_INTERVALS]
        = (unsigned)(now - sse->last_token_at);
  sse->token_events++;
  sse->last_token_at = now;
}

static void
buffer_bytes (sse_t *sse, const char *bytes, size_t length, size_t max_bytes)
{
  if (sse->is_too_long || sse->buffer->len + length > max_bytes)
    {
      sse->is_too_long = true;
      return;
    }
  g_string_append_len (sse->buffer, bytes, (gssize)length);
}

void
sse_feed (sse_t *sse, const char *bytes, size_t length, cfd_time_t now)
{
  if (!sse->is_streamed)
    {
      buffer_bytes (sse, bytes, length, SSE_MAX_ANSWER_BYTES);
      return;
    }
  while (length > 0)
    {
      const char *newline = memchr (bytes, '\n', length);
      size_t part = newline != NULL ? (size_t)(newline - bytes) : length;

      buffer_bytes (sse, bytes, part, SSE_MAX_LINE_BYTES);
      if (newline == NULL)
        return;
      if (!sse->is_too_long)
        parse_line (sse, now);
      sse->is_too_long = false;
      g_string_truncate (sse->buffer, 0);
      bytes += part + 1;
      length -= part + 1;
    }
}

void
sse_finish (sse_t *sse)
{
  if (sse->is_streamed)
    return;
  sse->is_complete = sse->is_too_long
                     || read_usage (sse, sse->buffer->str, sse->buffer->len);
}

unsigned
sse_count_output_tokens (const sse_t *sse)
{
  return sse->has_usage ? sse->output_tokens : sse->token_events;
}

double
sse_get_mean_interval_ms (const sse_t *sse)
{
  if (sse->token_events < 2)
    return 0;
  return (double)(sse->last_token_at - sse->first_token_at)
         / (sse->token_events - 1);
}

static int
compare_intervals (const void *a, const void *b)
{
  unsigned first = *(const unsigned *)a;
  unsigned second = *(const unsigned *)b;

  return (first > second) - (first < second);
}

double
sse_get_median_interval_ms (const sse_t *sse)
{
  unsigned sorted[SSE_INTERVALS];
  size_t middle = SSE_INTERVALS / 2;

  if (sse->token_events <= SSE_INTERVALS)
    return 0;
  memcpy (sorted, sse->intervals_ms, sizeof sorted);
  qsort (sorted, SSE_INTERVALS, sizeof sorted[0], compare_intervals);
  return sorted[middle];
}

double
sse_get_newest_interval_ms (const sse_t *sse)
{
  return sse->token_events < 2
             ? 0
             : sse->intervals_ms[(sse->token_events - 1) % SSE_INTERVALS];
}
