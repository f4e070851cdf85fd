/* Answer buffer: holds the answer to one request until the router has
   acknowledged it: the head, the unacknowledged bytes, how far they were sent
   over the present link, and the end.  Pure.

   Offsets count body bytes from the start of the answer:

     0 .. acked_offset (acknowledged, dropped) .. sent_offset .. length  */

#ifndef AGENT_AGENT_STREAM_H
#define AGENT_AGENT_STREAM_H

#include "wire/msg.h"
#include <glib.h>

/* The endpoint is not read further while this many bytes are
   unacknowledged.  */
#define STREAM_MAX_RETAINED_BYTES (1024u * 1024)

typedef struct
{
  GByteArray *bytes;
  size_t dropped_bytes; /* dropped bytes still at the front of BYTES */
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
/* Only the first call has an effect; an outcome never changes.  */
void stream_set_end (stream_t *stream, outcome_t outcome, const char *detail);

uint64_t stream_get_length (const stream_t *stream);
size_t stream_count_retained_bytes (const stream_t *stream);
bool stream_is_full (const stream_t *stream);

/* Drops the bytes before OFFSET, which the caller has received.  False, with
   nothing dropped, when OFFSET is beyond the length: an error of the peer.  */
bool stream_acknowledge (stream_t *stream, uint64_t offset);
/* Prepares to send everything from OFFSET over the next link, and the head
   again when HEAD is true.  False when OFFSET is in the dropped bytes or
   beyond the length.  */
bool stream_resume (stream_t *stream, uint64_t offset, bool head);
/* Gets the next unsent piece, of at most MSG_DATA_MAX bytes; false when there
   is none.  It counts as unsent until stream_mark_sent.  */
bool stream_get_next (const stream_t *stream, msg_data_t *data);
void stream_mark_sent (stream_t *stream, size_t length);

#endif
