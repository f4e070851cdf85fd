/* Answer ends.  The ways in which an endpoint's answer can end, and which of
   them show that it is whole.

   An answer with neither a length nor chunks ends with its connection.  Then
   nothing but the way in which that was closed, and for a stream its last
   bytes, distinguishes a whole answer from one that was broken off.  */

#ifndef RELAY_END_H
#define RELAY_END_H

#include "relay/ups.h"

typedef enum
{
  END_LENGTH,      /* all bytes of its length were received */
  END_CHUNKS,      /* its last chunk was received */
  END_CLOSE,       /* neither; the endpoint closed the connection */
  END_NO_EVENT,    /* a stream without framing closed before its first event */
  END_SPLIT_EVENT, /* a stream ended inside an event */
  END_TRUNCATED,   /* closed before its length or last chunk */
  END_RESET,       /* the connection failed after the head */
  END_NO_ANSWER,   /* sent, and no answer began */
  END_TIMED_OUT,   /* sent, and given up by this router */
  END_MALFORMED,   /* what was received is no answer, or not all */
  END_NOT_CONNECTED, /* nothing was sent */
  END_KINDS          /* their number */
} end_kind_t;

/* What is known of an answer once its exchange has ended.  */
typedef struct
{
  ups_end_t exchange;
  rd_framing_t framing;
  bool is_stream;
  bool is_inside_event; /* the last event is incomplete */
  bool is_empty;        /* no byte of the body was received */
} end_evidence_t;

end_kind_t end_classify (const end_evidence_t *evidence);

/* Returns whether KIND shows that the caller may be sent the answer as a whole
   one.  */
bool end_is_whole (end_kind_t kind);

/* Returns the name of KIND in logs and metrics.  */
const char *end_get_name (end_kind_t kind);

#endif
