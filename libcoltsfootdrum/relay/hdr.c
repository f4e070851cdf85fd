/* Headers: the fields of an HTTP message.  */

#include "relay/hdr.h"

#include <curl/curl.h>
#include <math.h>
#include <string.h>

void
hdr_init (hdr_t *hdr)
{
  hdr->text = g_byte_array_new ();
  hdr->fields = g_array_new (FALSE, FALSE, sizeof (hdr_field_t));
}

void
hdr_clear (hdr_t *hdr)
{
  g_clear_pointer (&hdr->text, g_byte_array_unref);
  g_clear_pointer (&hdr->fields, g_array_unref);
}

void
hdr_reset (hdr_t *hdr)
{
  g_byte_array_set_size (hdr->text, 0);
  g_array_set_size (hdr->fields, 0);
}

static guint
store_text (hdr_t *hdr, const char *text)
{
  guint at = hdr->text->len;

  g_byte_array_append (hdr->text, (const guint8 *)text,
                       (guint)strlen (text) + 1);
  return at;
}

void
hdr_add (hdr_t *hdr, const char *name, const char *value)
{
  hdr_field_t field = { 0 };

  field.name = store_text (hdr, name);
  field.value = store_text (hdr, value);
  g_array_append_val (hdr->fields, field);
}

guint
hdr_count (const hdr_t *hdr)
{
  return hdr->fields->len;
}

const char *
hdr_get_name (const hdr_t *hdr, guint i)
{
  const hdr_field_t *field = &g_array_index (hdr->fields, hdr_field_t, i);

  return (const char *)hdr->text->data + field->name;
}

const char *
hdr_get_value (const hdr_t *hdr, guint i)
{
  const hdr_field_t *field = &g_array_index (hdr->fields, hdr_field_t, i);

  return (const char *)hdr->text->data + field->value;
}

const char *
hdr_get (const hdr_t *hdr, const char *name)
{
  for (guint i = 0; i < hdr_count (hdr); i++)
    if (g_ascii_strcasecmp (hdr_get_name (hdr, i), name) == 0)
      return hdr_get_value (hdr, i);
  return NULL;
}

double
hdr_parse_number (const char *text, double max, double default_value)
{
  char *end = NULL;
  double value = text != NULL ? g_ascii_strtod (text, &end) : default_value;

  /* Not a number compares as false.  */
  if (end == text || !(value >= 0.))
    return default_value;
  return MIN (value, max);
}

/* Returns whether TEXT is a number without a sign or an exponent.  */
static bool
is_plain_decimal (const char *text)
{
  size_t length = strlen (text);

  return strpbrk (text, "0123456789") != NULL
         && strspn (text, "0123456789.") == length
         && strchr (text, '.') == strrchr (text, '.');
}

int64_t
hdr_parse_retry_after (const char *text, int64_t wall_ms)
{
  g_autofree char *value = text != NULL ? g_strstrip (g_strdup (text)) : NULL;
  double ms;
  time_t date;

  if (value == NULL)
    return 0;
  if (is_plain_decimal (value))
    {
      ms = ceil (g_ascii_strtod (value, NULL) * 1000.);
      return (int64_t)MIN (ms, HDR_MAX_RETRY_AFTER_MS);
    }
  /* Only a date has a time of day.  */
  date = strchr (value, ':') != NULL ? curl_getdate (value, NULL) : -1;
  if (date < 0)
    return 0;
  return CLAMP ((int64_t)date * 1000 - wall_ms, 0, HDR_MAX_RETRY_AFTER_MS);
}

/* Returns whether the comma-separated LIST contains ITEM, ignoring case.  It
   is called for each field, so that it must not allocate: a peer may send
   hundreds of fields and a list of thousands of items.  */
static bool
list_contains (const char *list, const char *item)
{
  size_t length = strlen (item);

  while (*list != '\0')
    {
      size_t part = strcspn (list, ",");
      size_t start = MIN (strspn (list, " \t"), part);
      size_t end = part;

      while (end > start && g_ascii_isspace (list[end - 1]))
        end--;
      if (end - start == length
          && g_ascii_strncasecmp (list + start, item, length) == 0)
        return true;
      list += part + (list[part] == ',');
    }
  return false;
}

bool
hdr_is_hop_by_hop (const hdr_t *hdr, guint i)
{
  static const char *const hop_by_hop[] = { "Connection",
                                            "Keep-Alive",
                                            "Proxy-Connection",
                                            "TE",
                                            "Trailer",
                                            "Transfer-Encoding",
                                            "Upgrade",
                                            "Proxy-Authenticate",
                                            "Proxy-Authorization",
                                            "Expect",
                                            NULL };
  const char *name = hdr_get_name (hdr, i);
  const char *connection;

  for (const char *const *known = hop_by_hop; *known != NULL; known++)
    if (g_ascii_strcasecmp (*known, name) == 0)
      return true;
  connection = hdr_get (hdr, "Connection");
  return connection != NULL && list_contains (connection, name);
}

void
hdr_append_line (GString *out, const char *name, const char *value)
{
  g_string_append (out, name);
  g_string_append_len (out, ": ", 2);
  g_string_append (out, value);
  g_string_append_len (out, "\r\n", 2);
}
