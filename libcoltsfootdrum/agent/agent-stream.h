/* The answer to one request as the agent keeps it: the bytes that the router
   hasn't acknowledged, how far they were sent over the present link, and the
   end.  Pure.

   Offsets count body bytes from the start of the answer:

     0 .. base (acknowledged, dropped) .. sent .. total  */

#ifndef AGENT_AGENT_STREAM_H
#define AGENT_AGENT_STREAM_H

#include "wire/msg.h"
#include <glib.h>

/* With more unacknowledged bytes the endpoint is not read further.  */
#define STREAM_MAX_RETAINED_BYTES (1024u * 1024)

typedef struct
{
  GByteArray *bytes;
  size_t dropped_bytes; /* dropped bytes still in BYTES, at its front */
  uint64_t acked_offset;
  uint64_t sent_offset;
  bool has_head;
  bool is_head_sent;
  uint32_t status;
  GPtrArray *headers; /* of char * */
  uint32_t tokens;
  bool has_ended;
  bool is_end_sent;
  outcome_t outcome;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  char *detail;
} stream_t;

void stream_init (stream_t *stream);
void stream_clear (stream_t *stream);

void stream_set_head (stream_t *stream, uint32_t status,
                      const char *const *headers);
void stream_append (stream_t *stream, const void *bytes, size_t length,
                    uint32_t tokens);
/* The first call counts; an outcome never changes.  */
void stream_set_end (stream_t *stream, outcome_t outcome, const char *detail);

uint64_t stream_get_length (const stream_t *stream);
size_t stream_count_retained_bytes (const stream_t *stream);
bool stream_is_full (const stream_t *stream);

/* Bytes up to OFFSET left for the caller.  False when OFFSET was never sent
   to anybody: a fault of the peer, and nothing is dropped.  */
bool stream_acknowledge (stream_t *stream, uint64_t offset);
/* The next link gets all from OFFSET.  False when those bytes are gone or
   never were.  */
bool stream_resume (stream_t *stream, uint64_t offset, bool head);
/* The next unsent piece, at most MSG_DATA_MAX long; false when there is none.
   Stays unsent until stream_mark_sent.  */
bool stream_get_next (const stream_t *stream, msg_data_t *data);
void stream_mark_sent (stream_t *stream, size_t length);

#endif
