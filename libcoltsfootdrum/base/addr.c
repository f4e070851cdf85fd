#include "base/addr.h"

#include "base/err.h"
#include <errno.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#define BACKLOG 1024

static bool
bad_address (const char *text, GError **error)
{
  g_set_error (error, CFD_ERROR, CFD_ERROR_ADDRESS,
               "Address \"%s\" is not numeric; write IP:PORT as in "
               "127.0.0.1:8080 or [::1]:8080",
               text != NULL ? text : "");
  return false;
}

bool
addr_parse (const char *text, addr_t *addr, GError **error)
{
  struct addrinfo hints
      = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE,
          .ai_socktype = SOCK_STREAM };
  struct addrinfo *found = NULL;
  const char *colon = text != NULL ? strrchr (text, ':') : NULL;
  g_autofree char *host = NULL;
  guint64 port;

  if (colon == NULL || colon == text
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, 65535, &port, NULL))
    return bad_address (text, error);
  if (text[0] == '[' && colon[-1] == ']')
    host = g_strndup (text + 1, colon - text - 2);
  else
    host = g_strndup (text, colon - text);
  if ((strchr (host, ':') != NULL) != (text[0] == '[')
      || getaddrinfo (host, colon + 1, &hints, &found) != 0)
    return bad_address (text, error);
  memcpy (&addr->storage, found->ai_addr, found->ai_addrlen);
  addr->length = found->ai_addrlen;
  freeaddrinfo (found);
  return true;
}

int
addr_listen (const char *text, GError **error)
{
  addr_t addr;
  int on = 1;
  int fd;

  if (!addr_parse (text, &addr, error))
    return -1;
  fd = socket (addr.storage.ss_family,
               SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    goto fail;
  (void)setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&addr.storage, addr.length) != 0
      || listen (fd, BACKLOG) != 0)
    goto fail;
  return fd;

fail:
  g_set_error (error, CFD_ERROR, CFD_ERROR_ADDRESS,
               "Can't listen on %s: %s; choose a free address of this machine",
               text, g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

int
addr_connect (const addr_t *addr)
{
  int on = 1;
  int fd;

  fd = socket (addr->storage.ss_family,
               SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (const struct sockaddr *)&addr->storage, addr->length) == 0
      || errno == EINPROGRESS)
    return fd;
  close (fd);
  return -1;
}
