/* Events of a stream, cut out of its bytes.  Whole events alone are passed on:
   an endpoint may stop in the middle of one, and another may go on.  */

#ifndef RELAY_SSE_H
#define RELAY_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  GByteArray *bytes; /* not passed on yet */
  int64_t last_id;   /* of the events passed on; -1 before the first */
  unsigned events;   /* passed on */
} sse_t;

void sse_init (sse_t *sse);
void sse_clear (sse_t *sse);

/* Adds BYTES and appends to OUT the events that are whole by now, but those
   with an id that was passed on before.  Returns their number.  */
unsigned sse_feed (sse_t *sse, const char *bytes, size_t length, GString *out);

/* Drops the begun event, as when its stream broke off.  */
void sse_cut (sse_t *sse);

/* What is left at the end of a whole stream, which no blank line ended.  */
void sse_rest (sse_t *sse, GString *out);

#endif
