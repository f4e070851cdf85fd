/* HTTP server on the event loop: libmicrohttpd (MHD), whose epoll descriptor
   is watched by an ev_io.  Request bodies are collected up to a size limit;
   responses are sent complete or streamed with bounded buffers and flow
   control.  */

#ifndef HTTP_WEB_H
#define HTTP_WEB_H

#include "base/err.h"
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct web_server web_server_t;
typedef struct web_request web_request_t;

typedef struct
{
  size_t max_body_bytes;   /* a larger body gets a 413 response */
  unsigned connections;    /* at most; more are refused */
  unsigned idle_timeout_s; /* closes a connection without traffic */
} web_limits_t;

/* Called once for each request when its body is complete.  The handler must
   respond to REQUEST, in the call or later, by web_respond,
   web_respond_problem or web_stream_begin.  */
typedef void (*web_handler_t) (void *user, web_request_t *request);

web_server_t *web_server_new (struct ev_loop *loop, const char *address,
                              const web_limits_t *limits,
                              web_handler_t handler, void *user,
                              GError **error);
/* Limits the bodies of all requests together to BYTES; a request beyond the
   limit gets a 503 response.  The default is no limit.  */
void web_server_set_max_total_body_bytes (web_server_t *server, size_t bytes);
/* Stops accepting connections; requests in progress go on.  */
void web_server_quiesce (web_server_t *server);
void web_server_free (web_server_t *server);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (web_server_t, web_server_free)
/* Returns the number of requests passed to the handler and not yet freed.  */
unsigned web_server_count_active (const web_server_t *server);

const char *web_get_method (const web_request_t *request);
/* Returns the path with its query, as sent.  */
const char *web_get_target (const web_request_t *request);
/* Returns the path without the query.  */
const char *web_get_path (const web_request_t *request);
/* Return NULL if NAME is absent.  */
const char *web_get_query (const web_request_t *request, const char *name);
const char *web_get_header (const web_request_t *request, const char *name);
void web_foreach_header (const web_request_t *request,
                         void (*visit) (void *user, const char *name,
                                        const char *value),
                         void *user);
const char *web_get_body (const web_request_t *request, size_t *length);
/* Moves the body out of the request; free with g_bytes_unref.  It counts
   towards the server's limit until the request is freed.  */
GBytes *web_take_body (web_request_t *request);

/* Sets a callback that is called at most once, if the caller disconnects
   before the complete response was sent.  The request must not be used
   afterwards.  */
void web_set_on_closed (web_request_t *request, void (*on_closed) (void *user),
                        void *user);

/* Sets a header of the response, which replaces a header of the same name
   passed to web_respond or web_stream_begin.  A request has at most one; a
   second call replaces the first.  */
void web_set_response_header (web_request_t *request, const char *name,
                              const char *value);
/* Returns the value set by web_set_response_header, or NULL.  */
const char *web_get_response_header (const web_request_t *request);

/* Sends a complete response.  HEADERS is NULL or NULL-terminated "Name: value"
   strings.  */
void web_respond (web_request_t *request, unsigned status,
                  const char *content_type, const char *const *headers,
                  const void *body, size_t length);

/* Sends a problem+json response (RFC 9457).  RUN is "not-run" or "unknown".  A
   RETRY_AFTER_S below 0 omits the header Retry-After.  */
void web_respond_problem (web_request_t *request, unsigned status,
                          const char *title, const char *detail,
                          const char *run, int retry_after_s);

/* Begins a streamed response.  ON_DRAINED is called when buffered bytes have
   been passed to the connection, with their total so far.  */
void web_stream_begin (web_request_t *request, unsigned status,
                       const char *const *headers,
                       void (*on_drained) (void *user, uint64_t sent_bytes),
                       void *user);
/* Buffers BYTES for the caller.  A sender must limit what it writes ahead of
   ON_DRAINED, because the stream is aborted if the buffer exceeds 4 MiB.  */
void web_stream_write (web_request_t *request, const void *bytes,
                       size_t length);
/* Ends the stream.  IS_COMPLETE false aborts the connection, so that the
   caller can't take a partial response for a complete one.  */
void web_stream_end (web_request_t *request, bool is_complete);

#endif
