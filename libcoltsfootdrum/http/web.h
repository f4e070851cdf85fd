/* HTTP server on the loop: libmicrohttpd with its epoll descriptor watched by
   an ev_io.  Bodies are collected whole up to a limit; answers are whole or
   streamed with bounded buffers and flow control.  */

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
  size_t max_body_bytes;   /* a larger body is answered 413 */
  unsigned connections;    /* more are refused */
  unsigned idle_timeout_s; /* a connection silent for so long is closed */
} web_limits_t;

/* Called once for each request when its body is whole.  The handler must
   answer REQUEST at some time, in the call or later, by web_respond or
   web_stream_begin.  */
typedef void (*web_handler_t) (void *user, web_request_t *request);

web_server_t *web_server_new (struct ev_loop *loop, const char *address,
                              const web_limits_t *limits,
                              web_handler_t handler, void *user,
                              GError **error);
/* Bytes of bodies that all requests may hold together; a request beyond it is
   answered 503.  No limit without this call.  */
void web_server_set_max_total_body_bytes (web_server_t *server, size_t bytes);
/* Stops accepting; requests in progress go on.  */
void web_server_quiesce (web_server_t *server);
void web_server_free (web_server_t *server);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (web_server_t, web_server_free)
unsigned web_server_count_active (const web_server_t *server);

const char *web_get_method (const web_request_t *request);
/* The path with its query, as sent.  */
const char *web_get_target (const web_request_t *request);
/* The path alone.  */
const char *web_get_path (const web_request_t *request);
/* NULL when absent.  */
const char *web_get_query (const web_request_t *request, const char *name);
const char *web_get_header (const web_request_t *request, const char *name);
void web_foreach_header (const web_request_t *request,
                         void (*visit) (void *user, const char *name,
                                        const char *value),
                         void *user);
const char *web_get_body (const web_request_t *request, size_t *length);
/* The body, which the request then no longer has; free with g_bytes_unref.  It
   counts against the server's limit until the request is answered.  */
GBytes *web_take_body (web_request_t *request);

/* CLOSED is called at most once, when the caller went away before the whole
   answer was sent; the request must not be used afterwards.  */
void web_set_on_closed (web_request_t *request, void (*closed) (void *user),
                        void *user);

/* Goes into the answer, whatever it is, instead of a header of the same name
   in the answer's own.  One a request; a second call replaces the first.  */
void web_set_response_header (web_request_t *request, const char *name,
                              const char *value);
/* The value that was set, or NULL.  */
const char *web_get_response_header (const web_request_t *request);

/* HEADERS is NULL or NULL-ended "Name: value" strings.  */
void web_respond (web_request_t *request, unsigned status,
                  const char *content_type, const char *const *headers,
                  const void *body, size_t length);

/* A problem+json answer after RFC 9457.  RUN is "not-run" or "unknown";
   RETRY_AFTER_S below 0 leaves Retry-After out.  */
void web_respond_problem (web_request_t *request, unsigned status,
                          const char *title, const char *detail,
                          const char *run, int retry_after_s);

/* A streamed answer.  DRAINED is called when bytes have left for the caller,
   with the total so far.  */
void web_stream_begin (web_request_t *request, unsigned status,
                       const char *const *headers,
                       void (*drained) (void *user, uint64_t total),
                       void *user);
void web_stream_write (web_request_t *request, const void *bytes,
                       size_t length);
/* Ends the stream; WHOLE false breaks the connection off, so that the caller
   can't take a part for the whole.  */
void web_stream_end (web_request_t *request, bool whole);

#endif
