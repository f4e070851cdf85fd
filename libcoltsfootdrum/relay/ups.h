/* Connections to one endpoint, and exchanges of one request and its answer
   over them.

   An endpoint may send a second answer late, where the next one is due; the
   echoed request id tells it apart, and it is passed over.  A connection with
   bytes that belong to no request is closed and never used again.  */

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
  UPS_COMPLETE,       /* the whole answer came */
  UPS_CONNECT_FAILED, /* no connection was made: the request was never sent */
  UPS_NO_RESPONSE,    /* sent, maybe in part, and no answer began */
  UPS_TRUNCATED,      /* the answer began and is not whole */
  UPS_MALFORMED       /* what came is no answer */
} ups_end_t;

typedef struct
{
  void (*head) (void *user, rd_head_t *head);
  void (*body) (void *user, const char *bytes, size_t length);
  /* Last call.  */
  void (*ended) (void *user, ups_end_t end);
} ups_ops_t;

typedef struct
{
  const char *bytes; /* head and body; copied */
  size_t length;
  const char *id_field; /* the field in which endpoints echo ID */
  const char *id;
  bool no_body; /* the answer has none, as to HEAD */
  bool fresh;   /* on a new connection */
} ups_request_t;

ups_t *ups_new (struct ev_loop *loop, const addr_t *addr);
/* Exchanges under way end without a call.  */
void ups_free (ups_t *ups);

/* NULL when no connection can be begun.  Calls back later, never before it
   returns.  */
ups_exchange_t *ups_send (ups_t *ups, cfd_time_t now,
                          const ups_request_t *request, const ups_ops_t *ops,
                          void *user);

/* Closes the connection, whereupon the endpoint drops the work.  No call
   comes afterwards.  */
void ups_cancel (ups_exchange_t *exchange);

/* True when the connection is there, so that the request may have arrived. */
bool ups_is_connected (const ups_exchange_t *exchange);

/* Stops and restarts reading of the answer.  */
void ups_set_read_paused (ups_exchange_t *exchange, bool hold);

/* Closes what was idle for too long.  */
void ups_close_expired (ups_t *ups, cfd_time_t now);

/* Connections, used and idle.  */
unsigned ups_count_connections (const ups_t *ups);
/* Connections that were ever begun.  */
uint64_t ups_count_connects (const ups_t *ups);

#endif
