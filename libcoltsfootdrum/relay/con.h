/* Connections.  A TCP connection on the event loop: input is passed on as it
   is received, and output is written at once or buffered until the socket is
   writable.

   Callbacks may free the connection; it is not accessed afterwards.  */

#ifndef RELAY_CON_H
#define RELAY_CON_H

#include "base/addr.h"
#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct con con_t;

typedef enum
{
  CON_END_CLOSED,        /* closed by the peer */
  CON_END_RESET,         /* reset, timed out or failed */
  CON_END_CONNECT_FAILED /* was never established */
} con_end_t;

typedef struct
{
  void (*connected) (void *user); /* outbound only; may be NULL */
  void (*bytes) (void *user, const char *bytes, size_t length);
  /* The last callback; the user must free the connection, unless it calls
     con_finish_output.  */
  void (*ended) (void *user, con_end_t end);
} con_ops_t;

/* Takes ownership of the accepted socket FD.  */
con_t *con_new_accepted (struct ev_loop *loop, int fd, const con_ops_t *ops,
                         void *user);

/* Starts to connect to ADDR.  Returns NULL with errno set when that fails
   immediately.  */
con_t *con_new_outbound (struct ev_loop *loop, const addr_t *addr,
                         const con_ops_t *ops, void *user);

/* Closes the connection and discards unwritten output.  */
void con_free (con_t *con);

/* Like con_free, but resets the connection, so that bytes in the socket's send
   buffer are discarded.  After a normal close the kernel goes on sending them,
   and a cancelled request could reach its endpoint seconds later.  */
void con_abort (con_t *con);

/* Replaces the callbacks.  */
void con_set_ops (con_t *con, const con_ops_t *ops, void *user);

bool con_is_connected (const con_t *con);
/* Returns whether the peer refused the connection: no process listens.  */
bool con_is_refused (const con_t *con);

/* Writes or buffers BYTES.  The ended callback reports a failure later.  */
void con_write (con_t *con, const void *bytes, size_t length);

/* The same for large BYTES, which must not change until they are written: they
   are referenced and not copied.  */
void con_write_shared (con_t *con, const GByteArray *bytes);

/* Returns the number of bytes that wait to be written to the socket.  */
size_t con_get_unsent_bytes (const con_t *con);

/* Returns the number of bytes that were written to the socket.  */
uint64_t con_get_sent_bytes (const con_t *con);

/* Returns true once any byte was written to the socket.  */
bool con_has_sent (const con_t *con);

/* Shuts down the sending side once all output is written.  Further input is
   still passed on until the peer closes: closing a socket with unread bytes
   resets the connection, and the peer might lose the last output.  */
void con_shutdown_after_flush (con_t *con);

/* Returns whether the peer's host has acknowledged all output.  */
bool con_is_output_delivered (const con_t *con);

/* Goes on writing after the ended callback reported that the peer closed its
   side.  It is called again: with CON_END_CLOSED when all output is delivered,
   or with CON_END_RESET.  */
void con_finish_output (con_t *con);

/* Returns false when the peer has closed and all its output was read, even if
   the ended callback was not called yet.  */
bool con_is_peer_open (const con_t *con);

/* Pauses or resumes reading.  */
void con_set_read_paused (con_t *con, bool paused);

#endif
