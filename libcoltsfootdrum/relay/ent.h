/* Entry.  The HTTP server for clients: a listening socket and its connections.
   Each connection handles one call at a time, that is, one request and its
   response.  A call is passed to the user once its request is complete.  */

#ifndef RELAY_ENT_H
#define RELAY_ENT_H

#include "base/clock.h"
#include "relay/lag.h"
#include "relay/rd.h"
#include <ev.h>

typedef struct ent ent_t;
typedef struct ent_call ent_call_t;

/* Limits of a client's connection and request; 0 means no limit.  */
typedef struct
{
  size_t head_bytes; /* request line and header fields */
  size_t body_bytes;
  int64_t head_ms;      /* time to receive the head */
  int64_t idle_ms;      /* between requests, and for receiving one */
  unsigned connections; /* total, by which idle ones are closed earlier */
} ent_limits_t;

typedef struct
{
  /* Called for each complete request.  CALL stays valid until its response is
     finished or aborted, or DISCONNECTED was called.  */
  void (*request) (void *user, ent_call_t *call);
  /* Called when the client has closed the connection before the response was
     finished.  CALL must not be used afterwards.  */
  void (*disconnected) (void *user, ent_call_t *call);
  /* Called after the head of a request whose body is still to come.  Returns
     the name of its account, which shares the memory for bodies with others,
     or NULL after it has responded to CALL; may be NULL.  */
  const char *(*account) (void *user, ent_call_t *call);
} ent_ops_t;

typedef struct
{
  size_t held;      /* bytes reserved for request bodies */
  size_t budget;    /* 0: no limit */
  unsigned waiting; /* requests whose bodies wait for memory */
  uint64_t refused; /* for want of it, since the start */
} ent_body_stats_t;

/* Size of a request's body up to which its memory is used again for the next
   one on its connection.  A larger one doesn't change until it is freed.  */
#define ENT_MAX_KEPT_BODY_BYTES 65536u

/* Listens on ADDRESS (IP:PORT).  Returns NULL with CFD_ERROR_ADDRESS when that
   fails.  */
ent_t *ent_new (struct ev_loop *loop, const char *address,
                const ent_ops_t *ops, void *user, GError **error);
void ent_free (ent_t *ent);

/* Sets whether connections are accepted, as they are at first.  Otherwise they
   wait in the kernel's queue.  */
void ent_set_accepting (ent_t *ent, bool is_accepting);

/* Returns true when, since the last call of this function, a wakeup accepted
   as many connections as it may, so that more were probably waiting.  */
bool ent_test_and_clear_backlogged (ent_t *ent);

/* Accounts the time spent on connections to LAG, which is not owned.  */
void ent_set_lag (ent_t *ent, lag_t *lag);

/* Returns the port that the server listens on.  */
unsigned ent_get_port (const ent_t *ent);

void ent_set_limits (ent_t *ent, const ent_limits_t *limits);

/* Sets the memory for the bodies of all requests; 0: no limit.  It is shared
   between accounts (see bdm.h).  Heads, and bodies that arrive with them in
   one read, may take a third of it in addition.  */
void ent_set_body_budget (ent_t *ent, size_t bytes);
ent_body_stats_t ent_get_body_stats (const ent_t *ent);

/* Sets how many bytes may wait for all clients together; 0: no limit.  Beyond
   it, clients that read nothing for some time are cut off.  */
void ent_set_unsent_budget (ent_t *ent, size_t bytes);
/* Returns how many bytes wait for all clients, as of the last tick, with those
   that were added since then.  */
size_t ent_get_unsent_total (const ent_t *ent);
/* Returns how many bytes may wait for CALL's client before no more should be
   sent to it: fewer, the more wait for all.  */
size_t ent_get_unsent_limit (const ent_call_t *call);
/* Returns the same for a client whose answer can't be delayed any longer.  */
size_t ent_get_drain_limit (const ent_call_t *call);
/* Closes the connection of CALL, as if its client had done so.  */
void ent_disconnect (ent_call_t *call);

/* Sets how many connections may be closed after their next responses, until
   the next call.  The response announces the close.  A connection on which a
   further request was received by then stays open.  */
void ent_allow_closes (ent_t *ent, unsigned count);
/* Returns the number of connections that were so closed since the start.  */
unsigned ent_count_allowed_closes (const ent_t *ent);

/* Closes each connection after its next response, from now on.  */
void ent_drain (ent_t *ent);
/* Closes the listening socket, so that new connections are refused.  */
void ent_close_listener (ent_t *ent);
/* Closes the connections that have no request in progress, those whose clients
   are still reading a response once that is written.  */
void ent_close_idle (ent_t *ent);
/* Must be called several times a second.  Enforces the time limits.  */
void ent_tick (ent_t *ent, cfd_time_t now);
unsigned ent_count_connections (const ent_t *ent);
/* Returns the number of connections accepted since the start.  */
unsigned ent_count_accepted (const ent_t *ent);

rd_head_t *ent_get_head (ent_call_t *call);
const GByteArray *ent_get_body (const ent_call_t *call);
/* Returns when the first bytes of the request were received.  */
cfd_time_t ent_get_start_time (const ent_call_t *call);
/* Returns when the request was whole, or would have been if its body had not
   waited for memory here.  */
cfd_time_t ent_get_receive_time (const ent_call_t *call);
/* Attaches the user's data to CALL.  */
void ent_set_data (ent_call_t *call, void *data);
void *ent_get_data (const ent_call_t *call);

/* Closes the connection after the response to CALL.  */
void ent_close_after (ent_call_t *call);

/* Sends a complete response.  FIELDS are formatted header lines, or NULL.  The
   body of a response to HEAD is not sent, here and below.  */
void ent_respond (ent_call_t *call, unsigned status, const char *fields,
                  const void *body, size_t length);

/* Starts a response whose body is sent in pieces.  LENGTH is that of the whole
   body; -1 selects chunked encoding.  A client of HTTP/1.0 reads no chunks:
   its response is collected and sent with its length when it is finished.  A
   body that ends with the connection would look whole also when this process
   ends first.  */
void ent_begin_response (ent_call_t *call, unsigned status, const char *fields,
                         int64_t length);
/* Sends a piece of the body, the first one together with the head.  */
void ent_send_body (ent_call_t *call, const void *bytes, size_t length);
/* Sends the last piece, which may be empty, and ends the response.  */
void ent_finish_response (ent_call_t *call, const void *bytes, size_t length);
/* Closes the connection at once, so that the client sees that the response is
   incomplete.  If nothing of it was sent, the client gets 502 instead.  */
void ent_abort (ent_call_t *call);

/* Returns false when the client has closed the connection, even if that was
   not read from the socket yet.  */
bool ent_is_client_connected (const ent_call_t *call);

/* Returns the number of bytes that wait to be written to the socket.  */
size_t ent_get_unsent_bytes (const ent_call_t *call);

#endif
