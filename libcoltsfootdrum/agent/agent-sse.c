#include "agent/agent-sse.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define EVENT_PREFIX "data:"
#define EVENT_END "[DONE]"

void
sse_init (sse_t *sse, bool streamed)
{
  *sse = (sse_t){ .streamed = streamed };
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

/* Reads {"usage": {...}}; many engines send "usage": null with each token.  */
/* False when TEXT is no JSON object.  */
static bool
read_usage (sse_t *sse, const char *text, size_t length)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonNode *root;
  JsonNode *usage;

  if (!json_parser_load_from_data (parser, text, (gssize)length, NULL))
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

/* Whether an event carries output.  An event that only has usage has an empty
   list of choices.  */
static bool
has_token (const char *event)
{
  return strstr (event, "\"choices\":[]") == NULL
         && strstr (event, "\"choices\": []") == NULL;
}

static void
take_line (sse_t *sse, cfd_time_t now)
{
  const char *event = sse->buffer->str;

  if (!g_str_has_prefix (event, EVENT_PREFIX))
    return;
  event += strlen (EVENT_PREFIX);
  while (*event == ' ')
    event++;
  if (g_str_has_prefix (event, EVENT_END))
    {
      sse->done = true;
      return;
    }
  if (strstr (event, "\"usage\"") != NULL)
    (void)read_usage (sse, event, strlen (event));
  if (!has_token (event))
    return;
  if (sse->first == 0)
    sse->first = now;
  else
    sse->gaps[sse->tokens % SSE_GAPS] = (unsigned)(now - sse->last);
  sse->tokens++;
  sse->last = now;
}

static void
append (sse_t *sse, const char *bytes, size_t length, size_t most)
{
  if (sse->too_long || sse->buffer->len + length > most)
    {
      sse->too_long = true;
      return;
    }
  g_string_append_len (sse->buffer, bytes, (gssize)length);
}

void
sse_feed (sse_t *sse, const char *bytes, size_t length, cfd_time_t now)
{
  if (!sse->streamed)
    {
      append (sse, bytes, length, SSE_WHOLE_MAX);
      return;
    }
  while (length > 0)
    {
      const char *end = memchr (bytes, '\n', length);
      size_t part = end != NULL ? (size_t)(end - bytes) : length;

      append (sse, bytes, part, SSE_LINE_MAX);
      if (end == NULL)
        return;
      if (!sse->too_long)
        take_line (sse, now);
      sse->too_long = false;
      g_string_truncate (sse->buffer, 0);
      bytes += part + 1;
      length -= part + 1;
    }
}

void
sse_finish (sse_t *sse)
{
  if (sse->streamed)
    return;
  sse->done
      = sse->too_long || read_usage (sse, sse->buffer->str, sse->buffer->len);
}

unsigned
sse_output_tokens (const sse_t *sse)
{
  return sse->has_usage ? sse->output_tokens : sse->tokens;
}

double
sse_interval (const sse_t *sse)
{
  if (sse->tokens < 2)
    return 0;
  return (double)(sse->last - sse->first) / (sse->tokens - 1);
}

static int
compare_gaps (const void *a, const void *b)
{
  unsigned first = *(const unsigned *)a;
  unsigned second = *(const unsigned *)b;

  return (first > second) - (first < second);
}

double
sse_interval_now (const sse_t *sse)
{
  unsigned sorted[SSE_GAPS];
  size_t middle = SSE_GAPS / 2;

  if (sse->tokens <= SSE_GAPS)
    return 0;
  memcpy (sorted, sse->gaps, sizeof sorted);
  qsort (sorted, SSE_GAPS, sizeof sorted[0], compare_gaps);
  return sorted[middle];
}

double
sse_newest_gap (const sse_t *sse)
{
  return sse->tokens < 2 ? 0 : sse->gaps[(sse->tokens - 1) % SSE_GAPS];
}
