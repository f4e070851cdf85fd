/* Events of streams.  */

#include "relay/evs.h"

#include <stdlib.h>
#include <string.h>

void
evs_init (evs_t *sse)
{
  sse->bytes = g_byte_array_new ();
  sse->last_id = -1;
  sse->events = 0;
}

void
evs_clear (evs_t *sse)
{
  g_clear_pointer (&sse->bytes, g_byte_array_unref);
}

/* Length of the first event in TEXT with the blank line that ends it; 0 when
   it isn't whole.  */
static size_t
event_length (const char *text, size_t length)
{
  for (size_t i = 0; i + 1 < length; i++)
    {
      if (text[i] != '\n')
        continue;
      if (text[i + 1] == '\n')
        return i + 2;
      if (text[i + 1] == '\r' && i + 2 < length && text[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

/* The number in the event's "id:" line; -1 without one.  */
static int64_t
event_id (const char *text, size_t length)
{
  static const char field[] = "id:";
  size_t at = 0;

  while (at + sizeof field <= length)
    {
      const char *end = memchr (text + at, '\n', length - at);

      if (strncmp (text + at, field, sizeof field - 1) == 0)
        return g_ascii_strtoll (text + at + sizeof field - 1, NULL, 10);
      if (end == NULL)
        break;
      at = (size_t)(end - text) + 1;
    }
  return -1;
}

unsigned
evs_feed (evs_t *sse, const char *bytes, size_t length, GString *out)
{
  size_t done = 0;
  unsigned events = 0;

  g_byte_array_append (sse->bytes, (const guint8 *)bytes, (guint)length);
  while (done < sse->bytes->len)
    {
      const char *text = (const char *)sse->bytes->data + done;
      size_t size = event_length (text, sse->bytes->len - done);
      int64_t id;

      if (size == 0)
        break;
      id = event_id (text, size);
      done += size;
      if (id >= 0 && id <= sse->last_id)
        continue;
      if (id >= 0)
        sse->last_id = id;
      g_string_append_len (out, text, (gssize)size);
      events++;
    }
  if (done > 0)
    g_byte_array_remove_range (sse->bytes, 0, (guint)done);
  sse->events += events;
  return events;
}

void
evs_discard_partial (evs_t *sse)
{
  g_byte_array_set_size (sse->bytes, 0);
}

void
evs_flush (evs_t *sse, GString *out)
{
  g_string_append_len (out, (const char *)sse->bytes->data, sse->bytes->len);
  evs_discard_partial (sse);
}
