/* Events of a stream, cut out of its bytes.  Whole events alone are passed on:
   an endpoint may stop in the middle of one, and another may go on.  */

#ifndef RELAY_EVS_H
#define RELAY_EVS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  GByteArray *bytes; /* not passed on yet */
  int64_t last_id;   /* of the events passed on; -1 before the first */
  unsigned events;   /* passed on */
} evs_t;

void evs_init (evs_t *sse);
void evs_clear (evs_t *sse);

/* Adds BYTES and appends to OUT the events that are whole by now, but those
   with an id that was passed on before.  Returns their number.  */
unsigned evs_feed (evs_t *sse, const char *bytes, size_t length, GString *out);

/* Drops the begun event, as when its stream broke off.  */
void evs_discard_partial (evs_t *sse);

/* What is left at the end of a whole stream, which no blank line ended.  */
void evs_flush (evs_t *sse, GString *out);

#endif
