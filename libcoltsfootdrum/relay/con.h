/* A TCP connection on the loop: reads are handed on as they come, writes are
   tried at once and kept when the peer does not take them.

   Callbacks may free the connection; nothing is touched afterwards.  */

#ifndef RELAY_CON_H
#define RELAY_CON_H

#include "base/addr.h"
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct con con_t;

typedef enum
{
  CON_END_CLOSED,        /* the peer closed in order */
  CON_END_RESET,         /* reset, timed out or broken */
  CON_END_CONNECT_FAILED /* the connection was never made */
} con_end_t;

typedef struct
{
  void (*connected) (void *user); /* dialled connections alone; may be NULL */
  void (*bytes) (void *user, const char *bytes, size_t length);
  /* Last call; the user frees the connection.  */
  void (*ended) (void *user, con_end_t end);
} con_ops_t;

/* Takes over the accepted descriptor FD.  */
con_t *con_new_accepted (struct ev_loop *loop, int fd, const con_ops_t *ops,
                         void *user);

/* Begins to connect to ADDR; NULL with errno set when that fails at once.  */
con_t *con_new_outbound (struct ev_loop *loop, const addr_t *addr,
                         const con_ops_t *ops, void *user);

/* Closes; what is still unwritten is given up.  */
void con_free (con_t *con);

/* As con_free, and resets the connection: bytes that the peer didn't get yet
   are never sent.  After a usual close the system goes on sending them, and a
   request that was given up could reach its endpoint seconds later.  */
void con_abort (con_t *con);

/* Puts other callbacks in place.  */
void con_set_ops (con_t *con, const con_ops_t *ops, void *user);

bool con_is_connected (const con_t *con);

/* A failure to write is told by the ended callback, later.  */
void con_write (con_t *con, const void *bytes, size_t length);

/* Bytes that the peer has not taken yet.  */
size_t con_get_unsent_bytes (const con_t *con);

/* True once a byte was handed to the system.  */
bool con_has_sent (const con_t *con);

/* Shuts down the sending side once all is written.  Bytes that still come are
   handed on, and the peer's close ends the connection: a close with unread
   bytes would reset it, and the peer might lose what was written last.  */
void con_shutdown_after_flush (con_t *con);

/* False when the peer has closed and all that it sent was read: its end is
   still to be told.  */
bool con_is_peer_open (const con_t *con);

/* Stops and restarts reading.  */
void con_set_read_paused (con_t *con, bool hold);

#endif
