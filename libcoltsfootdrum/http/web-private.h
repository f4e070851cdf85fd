/* HTTP server internals, shared by web.c (connections), web-request.c (request
   accessors) and web-answer.c (responses).  */

#ifndef HTTP_WEB_PRIVATE_H
#define HTTP_WEB_PRIVATE_H

#include "base/list.h"
#include "http/web.h"

#include <microhttpd.h>

struct web_server
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  web_limits_t limits;
  web_handler_t handler;
  void *user;
  ev_io readable;
  ev_timer timeout;
  list_node_t requests;
  unsigned active_requests;
  size_t max_body_bytes_total;
  size_t reserved_bytes_total; /* for the bodies of all requests */
  bool is_quiesced;
};

struct web_request
{
  list_node_t node;
  web_server_t *server;
  struct MHD_Connection *connection; /* NULL once MHD is done with it */
  char *method;
  char *target;
  char *path;
  GByteArray *body;
  bool http10;
  bool too_large;
  bool over_memory_limit;
  size_t reserved_bytes;   /* part of the server's reserved_bytes_total */
  size_t dropped_bytes;    /* of a body over the limit */
  bool was_handled;        /* the handler has been called */
  bool has_owner;          /* the handler's side hasn't ended its response */
  bool is_suspended;       /* CLOSE_WATCHER detects a close by the caller */
  bool is_disconnected;    /* closed while suspended, or must be closed */
  bool is_response_queued; /* RESPONSE was passed to MHD */
  char *header_name;       /* set by web_set_response_header, or NULL */
  char *header_value;
  struct MHD_Response *response;
  unsigned status; /* of RESPONSE */
  ev_io close_watcher;
  void (*on_closed) (void *user);
  void *on_closed_user;

  /* A streamed response.  */
  GByteArray *buffer;
  size_t buffer_offset; /* bytes of BUFFER that MHD has read */
  uint64_t sent_bytes;  /* bytes that MHD has read in total */
  bool stream_ended;
  bool is_complete;
  void (*on_drained) (void *user, uint64_t sent_bytes);
  void *on_drained_user;
};

/* Frees REQUEST once neither side uses it: MHD until its completed callback,
   the owner until it ends the response.  */
void web_free_if_done (web_request_t *request);

/* Suspends the connection until web_resume, or until the caller closes it.  */
void web_suspend (web_request_t *request);
void web_resume (web_request_t *request);

#endif
