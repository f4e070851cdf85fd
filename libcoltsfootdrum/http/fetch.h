/* HTTP client on the loop: libcurl's multi interface with socket actions.  */

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
  FETCH_COMPLETE,       /* the whole answer came */
  FETCH_CONNECT_FAILED, /* no connection was made: the request was never sent
                         */
  FETCH_SEND_DENIED,    /* MAY_SEND said no: the request was never sent */
  FETCH_INCOMPLETE, /* sent, maybe in part; whether it took effect is unknown
                     */
  FETCH_TIMEOUT     /* as FETCH_INCOMPLETE, after the time limit */
} fetch_result_t;

typedef struct
{
  const char *method;
  const char *url;
  const char *const *headers; /* NULL or NULL-ended "Name: value" */
  const void *body;           /* copied */
  size_t body_length;
  unsigned connect_timeout_ms; /* 0: 1000 */
  unsigned total_timeout_ms;   /* 0: no limit */
  unsigned idle_timeout_ms;    /* 0: none; no byte for so long is a timeout */
  bool reuse_connection; /* may use a kept connection: libcurl sends again by
                      itself when that turns out to be closed */

  /* Asked once the connection stands, just before the first byte is sent:
     time may have passed since the start.  NULL: always.  */
  bool (*may_send) (void *user);
  /* NULL when not wanted.  HEADERS is NULL-ended.  */
  void (*head) (void *user, unsigned status, const char *const *headers);
  /* With DATA set the body is streamed to it, else collected.  */
  void (*data) (void *user, const void *bytes, size_t length);
  /* Last call.  STATUS is 0 unless an answer began.  BODY is NUL-ended.  */
  void (*done) (void *user, fetch_result_t result, unsigned status,
                const char *body, size_t length, const char *detail);
  void *user;
} fetch_request_t;

fetch_pool_t *fetch_pool_new (struct ev_loop *loop);
void fetch_pool_free (fetch_pool_t *pool);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (fetch_pool_t, fetch_pool_free)

struct ev_loop *fetch_pool_get_loop (const fetch_pool_t *pool);

/* Never calls back before it returns.  */
fetch_t *fetch_start (fetch_pool_t *pool, const fetch_request_t *request);
/* No call back comes afterwards; the connection is closed.  */
void fetch_cancel (fetch_t *fetch);
/* Stops and restarts reading of the answer's body.  */
void fetch_pause (fetch_t *fetch, bool paused);

#endif
