/* Upstream.  The pool of connections to one endpoint, and exchanges of one
   request and its response over them.

   An endpoint may send a second response to a request late, on a connection
   where the next response is expected.  It is recognized by the request id
   that endpoints echo, and skipped.  A response without an id is taken for
   that to a request without one, which doesn't follow another such request on
   its connection unless it may get a copy; a further copy is skipped.  After a
   request with an id, a response without one ends the exchange as malformed.
   A connection that receives bytes which belong to no request is closed and
   not used again.

   A response without length or chunks ends with its connection.  When the
   endpoint closes that while its request is being written, what follows
   decides: a reset, or the endpoint reads the request to its end.  */

#ifndef RELAY_UPS_H
#define RELAY_UPS_H

#include "base/addr.h"
#include "base/clock.h"
#include "relay/rd.h"
#include <ev.h>

typedef struct ups ups_t;
typedef struct ups_exchange ups_exchange_t;

typedef enum
{
  UPS_COMPLETE,       /* all of its length, or its last chunk, was received */
  UPS_CLOSED,         /* it has neither, and the endpoint closed in order */
  UPS_CONNECT_FAILED, /* not connected; the request was not sent */
  UPS_NO_RESPONSE,    /* sent, perhaps in part; no response began */
  UPS_TRUNCATED,      /* closed by the endpoint before the response's end */
  UPS_RESET,          /* the response began, and the connection failed */
  UPS_TIMED_OUT,      /* not reported by this module: given up by its user */
  UPS_MALFORMED       /* what was received is not a response, or not all */
} ups_end_t;

typedef struct
{
  void (*head) (void *user, rd_head_t *head);
  /* Called before that for each response's head that the endpoint sends, also
     that of a late response to an earlier request; may be NULL.  */
  void (*any_head) (void *user, const rd_head_t *head);
  void (*body) (void *user, const char *bytes, size_t length);
  /* Called after all parts of the body that one read from the socket brought,
     unless the exchange ended; may be NULL.  */
  void (*read_end) (void *user);
  /* The last callback.  */
  void (*ended) (void *user, ups_end_t end);
} ups_ops_t;

typedef struct
{
  const char *bytes; /* head, and body unless that is shared; copied */
  size_t length;
  const GByteArray *shared_body; /* see con_write_shared; NULL: none */
  const char *id_field;          /* header field in which endpoints echo ID */
  const char *id;      /* unique on a connection; NULL or empty: none */
  bool no_body;        /* the response has no body, as to HEAD */
  bool new_connection; /* don't use an idle one */
  /* Without ID: a second response to the last request without one may be taken
     for its own.  Otherwise it may need a new connection, which can hold a
     slot of the endpoint.  */
  bool may_get_copy;
} ups_request_t;

ups_t *ups_new (struct ev_loop *loop, const addr_t *addr);
/* Closes all connections.  Callbacks of pending exchanges are not called.  */
void ups_free (ups_t *ups);

/* Sets a function that is called after the endpoint closed or reset an
   established connection, which was idle for IDLE_MS; 0: it was in use.  Not
   called when the response announced or needs that.  It must not free UPS.  */
void ups_set_closed_callback (ups_t *ups,
                              void (*callback) (void *user, int64_t idle_ms),
                              void *user);

/* Sends REQUEST on an idle or a new connection.  Returns NULL when no
   connection can be started.  The callbacks are called only after it has
   returned.  */
ups_exchange_t *ups_send (ups_t *ups, cfd_time_t now,
                          const ups_request_t *request, const ups_ops_t *ops,
                          void *user);

/* Cancels the exchange and resets its connection, so that the endpoint stops
   working on the request.  No callback is called afterwards.  */
void ups_cancel (ups_exchange_t *exchange);

/* Returns true when the connection is established, so that the endpoint may
   have received the request.  */
bool ups_is_connected (const ups_exchange_t *exchange);
/* Returns whether a part of the request has not been sent yet.  */
bool ups_has_unsent_bytes (const ups_exchange_t *exchange);

/* Pauses or resumes reading of the response.  */
void ups_set_read_paused (ups_exchange_t *exchange, bool paused);

/* Closes connections that were idle for too long.  */
void ups_close_expired (ups_t *ups, cfd_time_t now);

/* Returns the number of connections, used and idle.  */
unsigned ups_count_connections (const ups_t *ups);
/* Returns whether a connection that was opened before TIME is established and
   not closed, as far as was read from its socket.  */
bool ups_has_connection_from_before (const ups_t *ups, cfd_time_t time);
/* Returns, while an exchange ends, whether it does as its connection was
   refused.  */
bool ups_is_refused (const ups_t *ups);
/* Returns the number of connections started since ups_new.  */
uint64_t ups_count_connects (const ups_t *ups);

#endif
