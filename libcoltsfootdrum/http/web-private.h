/* What web.c (server), web-request.c (what a request says) and web-answer.c
   (answers) share.  */

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
  size_t reserved_bytes_total; /* bytes reserved_bytes by all requests */
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
  size_t reserved_bytes; /* of the server's reserved_bytes_total */
  size_t dropped_bytes;  /* bytes of a body over the limit */
  bool was_handled;      /* the handler was called */
  bool has_owner;        /* the owner has not stream_ended its answer */
  bool is_suspended;     /* by us, with PEEK watching for the caller's close */
  bool is_disconnected;  /* the caller on_closed while is_suspended */
  bool is_response_queued; /* RESPONSE was given to MHD */
  char *header_name;       /* of web_set_response_header, or NULL */
  char *header_value;
  struct MHD_Response *response;
  unsigned status; /* of RESPONSE */
  ev_io close_watcher;
  void (*on_closed) (void *user);
  void *on_closed_user;

  /* A streamed answer.  */
  GByteArray *buffer;
  size_t buffer_offset; /* bytes of BUFFER that left */
  uint64_t sent_bytes;  /* bytes that left */
  bool stream_ended;
  bool is_complete;
  void (*on_drained) (void *user, uint64_t sent_bytes);
  void *on_drained_user;
};

/* Both sides hold a request: MHD until its completed call, the owner until it
   ends the answer.  The last to let go frees it.  */
void web_free_if_done (web_request_t *request);

/* Stops a connection until web_resume, watching for the caller's close.  */
void web_suspend (web_request_t *request);
void web_resume (web_request_t *request);

#endif
