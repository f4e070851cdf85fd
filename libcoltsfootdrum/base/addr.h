/* Numeric socket addresses: "127.0.0.1:8080" or "[::1]:8080".  Names are
   never resolved, for that would block the loop.  */

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

/* CFD_ERROR_ADDRESS when TEXT is not a numeric IP:PORT.  */
bool addr_parse (const char *text, addr_t *addr, GError **error);

/* A listening, non-blocking, close-on-exec socket on TEXT, or -1 with
   CFD_ERROR_ADDRESS.  */
int addr_listen (const char *text, GError **error);

/* A non-blocking, close-on-exec socket whose connect to ADDR has begun or is
   done; -1 with errno set.  */
int addr_connect (const addr_t *addr);

#endif
