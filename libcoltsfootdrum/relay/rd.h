/* Reads HTTP/1.1 messages from a stream of bytes.  The grammar is
   libhttp-parser's; this module gathers heads and stops after each message, so
   that bytes of the next one are never taken for this one's.  */

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
  RD_INCOMPLETE, /* the message goes on */
  RD_COMPLETE,   /* a message ended; what follows was not read */
  RD_INVALID,    /* not HTTP/1.1, or refused by a callback */
  RD_TOO_LARGE   /* the head is over its bound */
} rd_result_t;

typedef struct
{
  const char *method; /* requests */
  const char *target; /* requests: path and query as sent */
  unsigned status;    /* responses */
  bool keep_alive;
  bool framed;    /* the end is known before the connection's */
  int64_t length; /* of the body; -1: not told beforehand */
  hdr_t fields;
} rd_head_t;

typedef struct
{
  /* False refuses the message.  */
  bool (*head) (void *user, rd_head_t *head);
  void (*body) (void *user, const char *bytes, size_t length);
} rd_ops_t;

/* HEAD_MOST bounds a message's first line and fields, in bytes.  */
rd_t *rd_new (rd_kind_t kind, size_t head_most, const rd_ops_t *ops,
              void *user);
void rd_free (rd_t *rd);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (rd_t, rd_free)

void rd_set_max_head_bytes (rd_t *rd, size_t head_most);

/* Reads of BYTES what belongs to the message and sets *USED to its length. */
rd_result_t rd_feed (rd_t *rd, const char *bytes, size_t length, size_t *used);

/* The connection closed in order: RD_COMPLETE when that ends the message.  */
rd_result_t rd_finish (rd_t *rd);

/* True between messages: nothing of the next one was read.  */
bool rd_is_idle (const rd_t *rd);

/* Forgets the message and waits for the next one.  */
void rd_reset (rd_t *rd);

/* The next response has no body, as to a HEAD request.  */
void rd_expect_no_body (rd_t *rd, bool none);

/* The head that was read last; valid until rd_reset.  */
rd_head_t *rd_head (rd_t *rd);

#endif
