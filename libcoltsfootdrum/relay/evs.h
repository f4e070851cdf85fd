/* Event streams.  Splits a stream of server-sent events into events.  Only
   complete events are passed on: an endpoint may fail in the middle of one,
   and another endpoint may continue the stream.  */

#ifndef RELAY_EVS_H
#define RELAY_EVS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Longest event.  */
#define EVS_MAX_EVENT_BYTES 1048576u
/* Most bytes of comments, blank lines and events that were received before,
   with nothing else between them.  */
#define EVS_MAX_IDLE_BYTES 1048576u

typedef struct
{
  GByteArray *bytes; /* the start of an incomplete event */
  size_t scanned;    /* number of these bytes in which no event ends */
  /* An event, or what came instead of one, exceeded its limit; all bytes are
     dropped.  */
  bool is_too_long;
  size_t idle_bytes; /* see EVS_MAX_IDLE_BYTES */
  int64_t last_id;   /* of the last event that the caller has; -1: none */
  /* Of the last event received since the start or the last interruption, also
     when it was dropped; -1: none.  */
  int64_t seen_id;
  /* An event without an id was passed on after LAST_ID, so that the stream
     can't be resumed after that.  */
  bool lacks_id;
  unsigned events; /* number of events passed on */
} evs_t;

void evs_init (evs_t *stream);
void evs_clear (evs_t *stream);

/* Sets the last event that the caller of a resumed stream has, from the id
   that it sent.  An id that isn't a number is ignored.  */
void evs_set_last_id (evs_t *stream, const char *id);

/* Adds BYTES to the stream and appends the events that are now complete to
   OUT.  Events that the caller has by their id are dropped.  Returns the
   number of events appended.  After one that is too long, appends nothing.  */
unsigned evs_feed (evs_t *stream, const char *bytes, size_t length,
                   GString *out);

/* Returns whether the bytes after the last complete event begin another one.
   Blank lines and comments don't.  */
bool evs_is_inside_event (const evs_t *stream);

/* Discards an incomplete event, for when the stream was interrupted.  */
void evs_discard_partial (evs_t *stream);

/* Appends the remaining bytes to OUT, for when the stream is complete: blank
   lines and comments after its last event.  */
void evs_flush (evs_t *stream, GString *out);

#endif
