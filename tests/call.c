#include "call.h"

#include "base/addr.h"
#include "base/clock.h"
#include "http/syn.h"
#include <poll.h>
#include <string.h>
#include <unistd.h>

static void
send_all (int fd, const char *text)
{
  size_t left = strlen (text);

  while (left > 0)
    {
      ssize_t sent = send (fd, text, left, MSG_NOSIGNAL);
      if (sent <= 0)
        return;
      text += sent;
      left -= (size_t)sent;
    }
}

static int
connect_to (const char *base)
{
  addr_t addr;
  int fd;

  if (!addr_parse (base + strlen ("http://"), &addr, NULL))
    return -1;
  fd = socket (addr.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *)&addr.storage, addr.length) == 0)
    return fd;
  close (fd);
  return -1;
}

call_t *
call_start (const char *base, const char *method, const char *path,
            const char *key, const char *headers, const char *body)
{
  call_t *call = g_new0 (call_t, 1);
  g_autofree char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\n%s"
      "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
      method, path, key, headers ? headers : "", body ? strlen (body) : 0,
      body ? body : "");

  call->text = g_string_new (NULL);
  call->fd = connect_to (base);
  if (call->fd >= 0)
    send_all (call->fd, text);
  return call;
}

void
call_free (call_t *call)
{
  if (call->fd >= 0)
    close (call->fd);
  g_string_free (call->text, TRUE);
  g_free (call);
}

unsigned
call_get_status (const call_t *call)
{
  return syn_parse_status_line (call->text->str,
                                strcspn (call->text->str, "\r\n"));
}

static gboolean
is_complete (const call_t *call)
{
  const char *body = strstr (call->text->str, "\r\n\r\n");
  const char *length = strstr (call->text->str, "Content-Length: ");

  if (body == NULL)
    return FALSE;
  if (length != NULL && length < body)
    return strlen (body + 4) >= g_ascii_strtoull (
               length + strlen ("Content-Length: "), NULL, 10);
  return g_str_has_suffix (call->text->str, "\r\n0\r\n\r\n");
}

/* Reads available bytes, waiting until DEADLINE; false when the connection has
   ended.  */
static gboolean
read_available (call_t *call, cfd_time_t deadline)
{
  struct pollfd poll_fd = { .fd = call->fd, .events = POLLIN };
  cfd_time_t left = deadline - clock_now ();
  char buffer[16384];
  ssize_t received;

  if (call->fd < 0)
    return FALSE;
  if (poll (&poll_fd, 1, (int)MAX (left, 0)) == 0)
    return TRUE;
  received = recv (call->fd, buffer, sizeof buffer, 0);
  if (received <= 0)
    return FALSE;
  g_string_append_len (call->text, buffer, received);
  return TRUE;
}

gboolean
call_wait_for_text (call_t *call, const char *text, int wait_ms)
{
  cfd_time_t deadline = clock_now () + wait_ms;

  while (strstr (call->text->str, text) == NULL)
    if (clock_now () >= deadline || !read_available (call, deadline))
      return FALSE;
  return TRUE;
}

call_result_t
call_read_to_end (call_t *call, int wait_ms)
{
  cfd_time_t deadline = clock_now () + wait_ms;

  while (!is_complete (call))
    {
      if (!read_available (call, deadline))
        return CALL_INCOMPLETE;
      if (clock_now () >= deadline && !is_complete (call))
        return CALL_TIMED_OUT;
    }
  return CALL_COMPLETE;
}
