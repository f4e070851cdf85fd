/* Header fields of one HTTP message, in order, in one block of memory.  */

#ifndef RELAY_HDR_H
#define RELAY_HDR_H

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  GByteArray *text; /* names and values, each NUL-ended */
  GArray *fields;   /* hdr_field_t */
} hdr_t;

typedef struct
{
  guint name; /* offsets into TEXT */
  guint value;
} hdr_field_t;

void hdr_init (hdr_t *hdr);
void hdr_clear (hdr_t *hdr);
void hdr_reset (hdr_t *hdr);

void hdr_add (hdr_t *hdr, const char *name, const char *value);

guint hdr_count (const hdr_t *hdr);
const char *hdr_get_name (const hdr_t *hdr, guint i);
const char *hdr_get_value (const hdr_t *hdr, guint i);

/* The first value of NAME, whatever its case; NULL when there is none.  */
const char *hdr_get (const hdr_t *hdr, const char *name);

/* True when field I concerns one connection alone: it is one of the fixed
   names of RFC 9110, or the message's Connection field lists it.  */
bool hdr_is_hop_by_hop (const hdr_t *hdr, guint i);

/* Appends "Name: value\r\n".  */
void hdr_append_line (GString *out, const char *name, const char *value);

#endif
