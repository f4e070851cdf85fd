/* Reader.  Reads HTTP/1.1 messages from a stream of bytes.  Parsing is done by
   libhttp-parser; this module collects the head of each message and stops
   after its end, so that bytes of the next one are never attributed to it.  */

#ifndef RELAY_RD_H
#define RELAY_RD_H

#include "relay/hdr.h"
#include <stddef.h>
#include <stdint.h>

typedef struct rd rd_t;

typedef enum
{
  RD_REQUESTS,
  RD_RESPONSES
} rd_kind_t;

typedef enum
{
  RD_INCOMPLETE, /* the message continues */
  RD_COMPLETE,   /* the message ended; further bytes were not read */
  RD_INVALID,    /* not HTTP/1.1, or rejected by a callback */
  RD_TOO_LARGE   /* the head or the framing of chunks exceeds its limit */
} rd_result_t;

/* What marks the end of a message.  */
typedef enum
{
  RD_LENGTH,     /* its length, or that it has no body */
  RD_CHUNKS,     /* the last chunk */
  RD_UNTIL_CLOSE /* nothing but the connection's end */
} rd_framing_t;

typedef struct
{
  const char *method; /* requests */
  const char *target; /* requests: path and query as sent */
  unsigned status;    /* responses */
  bool keep_alive;
  bool is_http10; /* the peer reads no chunks */
  rd_framing_t framing;
  int64_t length; /* of the body; -1: unknown */
  hdr_t fields;
} rd_head_t;

typedef struct
{
  /* Called after the head; returns false to reject the message.  */
  bool (*head) (void *user, rd_head_t *head);
  void (*body) (void *user, const char *bytes, size_t length);
} rd_ops_t;

/* Most header fields of a message, trailers included.  */
#define RD_MAX_FIELDS 512u
/* Bytes of a message that are not part of its body, such as blank lines,
   interim responses and the framing of chunks, per byte of the head's limit
   and per byte of the body.  A chunk of one byte takes up to 12 when its size
   is padded to 8 digits.  */
#define RD_OVERHEAD_PER_HEAD_BYTE 4u
#define RD_OVERHEAD_PER_BODY_BYTE 16u

/* MAX_HEAD_BYTES limits the size of a message's start line and fields, and,
   with the size of the body, that of everything else.  */
rd_t *rd_new (rd_kind_t kind, size_t max_head_bytes, const rd_ops_t *ops,
              void *user);
void rd_free (rd_t *rd);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (rd_t, rd_free)

void rd_set_max_head_bytes (rd_t *rd, size_t max_head_bytes);

/* Reads the part of BYTES that belongs to the message, and sets *USED to its
   length.  */
rd_result_t rd_feed (rd_t *rd, const char *bytes, size_t length, size_t *used);

/* Must be called when the peer has closed the connection.  Returns RD_COMPLETE
   when that ends the message.  */
rd_result_t rd_finish (rd_t *rd);

/* Returns true when nothing of the next message was read yet.  */
bool rd_is_idle (const rd_t *rd);

/* Discards the message and prepares for the next one.  */
void rd_reset (rd_t *rd);

/* Returns the size of the head, as far as it was read.  */
size_t rd_get_head_bytes (const rd_t *rd);

/* Sets whether the next response has no body, as to a HEAD request.  */
void rd_expect_no_body (rd_t *rd, bool none);

/* Returns the head of the current message, valid until rd_reset.  */
rd_head_t *rd_get_head (rd_t *rd);

#endif
