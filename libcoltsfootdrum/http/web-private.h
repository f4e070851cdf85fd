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
  unsigned active;
  size_t bodies_max;
  size_t bodies; /* bytes reserved by all requests */
  bool quiesced;
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
  bool no_room;
  size_t reserved;   /* of the server's bodies */
  size_t dropped;    /* bytes of a body over the limit */
  bool handed;       /* the handler was called */
  bool owned;        /* the owner has not ended its answer */
  bool suspended;    /* by us, with PEEK watching for the caller's close */
  bool gone;         /* the caller closed while suspended */
  bool queued;       /* RESPONSE was given to MHD */
  char *header_name; /* of web_set_response_header, or NULL */
  char *header_value;
  struct MHD_Response *response;
  unsigned status; /* of RESPONSE */
  ev_io peek;
  void (*closed) (void *user);
  void *closed_user;

  /* A streamed answer.  */
  GByteArray *buffer;
  size_t buffer_start; /* bytes of BUFFER that left */
  uint64_t total;      /* bytes that left */
  bool ended;
  bool whole;
  void (*drained) (void *user, uint64_t total);
  void *drained_user;
};

/* Both sides hold a request: MHD until its completed call, the owner until it
   ends the answer.  The last to let go frees it.  */
void web_free_if_done (web_request_t *request);

/* Stops a connection until web_resume, watching for the caller's close.  */
void web_suspend (web_request_t *request);
void web_resume (web_request_t *request);

#endif
