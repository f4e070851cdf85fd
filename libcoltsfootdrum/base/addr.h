/* Socket addresses: parses numeric IP:PORT texts such as "127.0.0.1:8080" or
   "[::1]:8080" and opens sockets on them.  Host names are not resolved,
   because name resolution would block the event loop.  */

#ifndef BASE_ADDR_H
#define BASE_ADDR_H

#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>

typedef struct
{
  struct sockaddr_storage storage;
  socklen_t length;
} addr_t;

/* Parses TEXT; fails with CFD_ERROR_ADDRESS unless it is a numeric IP:PORT. */
bool addr_parse (const char *text, addr_t *addr, GError **error);

/* Opens a listening, non-blocking, close-on-exec socket on TEXT.  Returns -1
   with CFD_ERROR_ADDRESS on failure.  */
int addr_listen (const char *text, GError **error);

/* Opens a non-blocking, close-on-exec socket and starts connecting it to ADDR.
   The connect may still be in progress on return.  Returns -1 with errno set
   on failure.  */
int addr_connect (const addr_t *addr);

#endif
