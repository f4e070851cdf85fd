/* Event streams: server-sent events.  */

#include "relay/evs.h"

#include <string.h>

/* An event with a larger number counts as one without an id.  */
#define MAX_EVENT_ID INT64_C (1000000000000000)

void
evs_init (evs_t *stream)
{
  stream->bytes = g_byte_array_new ();
  stream->scanned = 0;
  stream->is_too_long = false;
  stream->idle_bytes = 0;
  stream->last_id = -1;
  stream->seen_id = -1;
  stream->lacks_id = false;
  stream->events = 0;
}

void
evs_clear (evs_t *stream)
{
  g_clear_pointer (&stream->bytes, g_byte_array_unref);
}

void
evs_set_last_id (evs_t *stream, const char *id)
{
  guint64 number;

  if (g_ascii_string_to_unsigned (id, 10, 0, MAX_EVENT_ID, &number, NULL))
    stream->last_id = (int64_t)number;
}

/* Returns the end of the line that begins at TEXT, without its terminator;
   NULL when that is missing.  Terminators are LF, CR and both.  */
static const char *
find_line_end (const char *text, const char *end)
{
  for (; text < end; text++)
    if (*text == '\n' || *text == '\r')
      return text;
  return NULL;
}

/* Returns the length of the first event in TEXT, including the blank line that
   terminates it, or 0 when the event is incomplete.  The line does not begin
   before START.  */
static size_t
find_event_length (const char *text, size_t length, size_t start)
{
  for (size_t i = start; i + 1 < length; i++)
    {
      if (text[i] != '\n' && text[i] != '\r')
        continue;
      if (text[i + 1] == text[i])
        return i + 2;
      if (text[i] == '\r')
        continue;
      if (text[i + 1] == '\r' && i + 2 < length && text[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

/* Returns the decimal number at AT, which ends before END at the latest; -1 if
   there is none, or a larger one than MAX_EVENT_ID.  */
static int64_t
parse_number (const char *at, const char *end)
{
  int64_t number = 0;

  while (at < end && *at == ' ')
    at++;
  if (at == end || !g_ascii_isdigit (*at))
    return -1;
  for (; at < end && g_ascii_isdigit (*at); at++)
    {
      number = number * 10 + g_ascii_digit_value (*at);
      if (number > MAX_EVENT_ID)
        return -1;
    }
  return number;
}

/* Returns the number in the event's "id:" line, or -1 if there is none.  */
static int64_t
parse_event_id (const char *text, size_t length)
{
  static const char field[] = "id:";
  const char *end = text + length;

  while (text < end)
    {
      const char *terminator = find_line_end (text, end);
      const char *line_end = terminator != NULL ? terminator : end;

      if ((size_t)(line_end - text) >= sizeof field - 1
          && strncmp (text, field, sizeof field - 1) == 0)
        return parse_number (text + sizeof field - 1, line_end);
      if (terminator == NULL)
        break;
      text = terminator + 1;
    }
  return -1;
}

/* Returns whether TEXT has a line that is neither blank nor a comment.  */
static bool
has_field (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      bool starts_line = i == 0 || text[i - 1] == '\n' || text[i - 1] == '\r';

      if (starts_line && text[i] != ':' && text[i] != '\n' && text[i] != '\r')
        return true;
    }
  return false;
}

/* Counts the bytes of an event with ID, -1 for none, unless it brings the
   stream forward.  An endpoint that repeats the stream from its beginning does
   that too.  */
static void
count_idle_bytes (evs_t *stream, const char *text, size_t length, int64_t id)
{
  bool goes_on = id >= 0 ? id > stream->seen_id : has_field (text, length);

  stream->idle_bytes = goes_on ? 0 : stream->idle_bytes + length;
  stream->seen_id = MAX (stream->seen_id, id);
}

unsigned
evs_feed (evs_t *stream, const char *bytes, size_t length, GString *out)
{
  size_t consumed = 0;
  unsigned events = 0;

  if (stream->is_too_long)
    return 0;
  g_byte_array_append (stream->bytes, (const guint8 *)bytes, (guint)length);
  while (consumed < stream->bytes->len)
    {
      const char *text = (const char *)stream->bytes->data + consumed;
      size_t left = stream->bytes->len - consumed;
      size_t size = find_event_length (text, left, stream->scanned);
      int64_t id;

      /* The blank line may begin in the last two bytes.  */
      stream->scanned = size == 0 ? left - MIN (left, 2) : 0;
      if (size == 0)
        break;
      id = parse_event_id (text, size);
      consumed += size;
      count_idle_bytes (stream, text, size, id);
      if (id >= 0 && id <= stream->last_id)
        continue;
      if (id >= 0)
        stream->last_id = id;
      stream->lacks_id
          = id < 0 && (stream->lacks_id || has_field (text, size));
      g_string_append_len (out, text, (gssize)size);
      events++;
    }
  if (consumed > 0)
    g_byte_array_remove_range (stream->bytes, 0, (guint)consumed);
  stream->events += events;
  if (stream->bytes->len > EVS_MAX_EVENT_BYTES
      || stream->idle_bytes > EVS_MAX_IDLE_BYTES)
    {
      evs_discard_partial (stream);
      stream->is_too_long = true;
    }
  return events;
}

bool
evs_is_inside_event (const evs_t *stream)
{
  const char *line = (const char *)stream->bytes->data;
  const char *end = line + stream->bytes->len;

  if (stream->is_too_long)
    return true;
  while (line < end)
    {
      const char *terminator = find_line_end (line, end);

      if (terminator == NULL || (*line != ':' && terminator != line))
        return true;
      line = terminator + 1;
    }
  return false;
}

void
evs_discard_partial (evs_t *stream)
{
  g_byte_array_set_size (stream->bytes, 0);
  stream->scanned = 0;
  stream->is_too_long = false;
  stream->idle_bytes = 0;
  stream->seen_id = -1;
}

void
evs_flush (evs_t *stream, GString *out)
{
  g_string_append_len (out, (const char *)stream->bytes->data,
                       stream->bytes->len);
  evs_discard_partial (stream);
}
