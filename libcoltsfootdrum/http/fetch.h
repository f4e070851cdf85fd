/* HTTP client on the event loop, by libcurl's multi interface with socket
   actions.  */

#ifndef HTTP_FETCH_H
#define HTTP_FETCH_H

#include "base/err.h"
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct fetch_pool fetch_pool_t;
typedef struct fetch fetch_t;

typedef enum
{
  FETCH_COMPLETE,       /* the complete response was received */
  FETCH_CONNECT_FAILED, /* not connected, so that nothing was sent */
  FETCH_SEND_DENIED,    /* may_send returned false; nothing was sent */
  FETCH_INCOMPLETE,     /* sent at least in part, but without a complete
                           response: it may have taken effect */
  FETCH_TIMEOUT         /* like FETCH_INCOMPLETE, after a timeout */
} fetch_result_t;

/* The detail of a response that isn't HTTP/1.1, as far as the head and the
   trailers show.  */
#define FETCH_MALFORMED "the answer is not HTTP/1.1"

typedef struct
{
  const char *method;
  const char *url;
  const char *const *headers; /* NULL or NULL-terminated "Name: value" */
  const void *body;           /* copied */
  size_t body_length;
  unsigned connect_timeout_ms; /* 0: default of 1000 */
  unsigned total_timeout_ms;   /* 0: no limit */
  unsigned idle_timeout_ms;    /* time without a byte received; 0: no limit */
  size_t max_body_bytes;       /* of a body that is collected; 0: 32 MB */
  bool reuse_connection; /* allows a persistent connection, on which libcurl
                            resends the request if it turns out to be closed */

  /* Called once connected, just before the first byte is sent, because time
     may have passed since fetch_start; false ends the fetch with
     FETCH_SEND_DENIED.  NULL: always send.  */
  bool (*may_send) (void *user);
  /* Receives the response head; may be NULL.  HEADERS is NULL-terminated.  */
  void (*head) (void *user, unsigned status, const char *const *headers);
  /* Receives the body in pieces.  If NULL, the body is collected for DONE.  */
  void (*data) (void *user, const void *bytes, size_t length);
  /* Last callback.  STATUS is 0 unless a response's head was received.  BODY
     is NUL-terminated.  */
  void (*done) (void *user, fetch_result_t result, unsigned status,
                const char *body, size_t length, const char *detail);
  void *user;
} fetch_request_t;

fetch_pool_t *fetch_pool_new (struct ev_loop *loop);
void fetch_pool_free (fetch_pool_t *pool);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (fetch_pool_t, fetch_pool_free)

struct ev_loop *fetch_pool_get_loop (const fetch_pool_t *pool);

/* Starts a request; no callback is invoked before this returns.  */
fetch_t *fetch_start (fetch_pool_t *pool, const fetch_request_t *request);
/* Closes the connection; no callback is invoked afterwards.  */
void fetch_cancel (fetch_t *fetch);
/* Pauses or resumes reading of the response body.  */
void fetch_pause (fetch_t *fetch, bool paused);

#endif
