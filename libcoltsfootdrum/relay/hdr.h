/* Headers.  The header fields of an HTTP message in their order, stored in one
   block of memory.  */

#ifndef RELAY_HDR_H
#define RELAY_HDR_H

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  GByteArray *text; /* names and values, each NUL-terminated */
  GArray *fields;   /* hdr_field_t */
} hdr_t;

typedef struct
{
  guint name; /* offsets into TEXT */
  guint value;
} hdr_field_t;

void hdr_init (hdr_t *hdr);
void hdr_clear (hdr_t *hdr);
/* Removes all fields and keeps the memory.  */
void hdr_reset (hdr_t *hdr);

void hdr_add (hdr_t *hdr, const char *name, const char *value);

guint hdr_count (const hdr_t *hdr);
const char *hdr_get_name (const hdr_t *hdr, guint i);
const char *hdr_get_value (const hdr_t *hdr, guint i);

/* Returns the value of the first field NAME, ignoring case, or NULL.  */
const char *hdr_get (const hdr_t *hdr, const char *name);

/* Parses the decimal number at the start of TEXT, 0 or more.  A larger one
   than MAX counts as MAX.  Returns DEFAULT_VALUE when TEXT is NULL or holds no
   such number.  */
double hdr_parse_number (const char *text, double max, double default_value);

/* Longest rest that a Retry-After field can ask for.  */
#define HDR_MAX_RETRY_AFTER_MS 3600000

/* Parses the value of a Retry-After field: seconds, which may have a fraction,
   or a date, which is compared with WALL_MS, the time of day in Unix
   milliseconds.  A longer time counts as HDR_MAX_RETRY_AFTER_MS.  Returns
   milliseconds; 0 when TEXT is NULL, names a past date or is neither.  */
int64_t hdr_parse_retry_after (const char *text, int64_t wall_ms);

/* Returns true when field I applies to a single connection and must not be
   forwarded: it is one of the hop-by-hop fields of RFC 9110, or the message's
   Connection field lists it.  */
bool hdr_is_hop_by_hop (const hdr_t *hdr, guint i);

/* Appends "Name: value\r\n".  */
void hdr_append_line (GString *out, const char *name, const char *value);

#endif
