/* Connections: one watcher for reading, and one for writing while output is
   buffered.  */

#include "relay/con.h"

#include <errno.h>
#include <glib.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <unistd.h>

/* Size of one read: larger than a usual request or event, so that one call
   reads all available input.  */
#define READ_BYTES 16384
/* Reads per wakeup, so that one busy connection can't starve the others.  */
#define MAX_READS_PER_WAKEUP 4
/* Size up to which an empty output buffer is kept.  Hundreds of idle
   connections that have sent a large answer would otherwise keep its
   memory.  */
#define MAX_KEPT_BYTES 65536u
/* A connection fails when sent bytes stay unacknowledged for this time: a
   broken network path sends no reset, and the client would wait until its
   deadline.  */
#define ACK_TIMEOUT_MS 2500
/* Interval at which output is checked for its acknowledgement, for which there
   is no event.  */
#define DELIVERY_CHECK_MS 2

struct con
{
  struct ev_loop *loop;
  ev_io reader;
  ev_io writer;
  ev_timer failure_timer;  /* reports a failed write from the event loop */
  ev_timer delivery_timer; /* see con_finish_output */
  const con_ops_t *ops;
  void *user;
  GByteArray *out;
  size_t out_sent;    /* bytes at the start of OUT that are written */
  GByteArray *shared; /* to be written after OUT; NULL: none */
  size_t shared_sent;
  uint64_t sent; /* bytes written since the start */
  bool *freed;   /* set to true when freed during a callback */
  bool connected;
  bool is_refused;
  bool shutdown_pending; /* shut down once OUT is written */
  bool failed;
};

static void
notify_ended (con_t *con, con_end_t end)
{
  ev_io_stop (con->loop, &con->reader);
  ev_io_stop (con->loop, &con->writer);
  ev_timer_stop (con->loop, &con->delivery_timer);
  con->ops->ended (con->user, end);
}

/* Returns the error of the socket and clears it; 0: none.  */
static int
take_error (con_t *con)
{
  int problem = 0;
  socklen_t length = sizeof problem;

  if (getsockopt (con->reader.fd, SOL_SOCKET, SO_ERROR, &problem, &length)
      != 0)
    return errno;
  return problem;
}

/* Reports the end of input.  After a reset the socket reports an orderly end
   too, when the peer had closed its sending side before, or when a write has
   taken the error.  */
static void
notify_closed (con_t *con)
{
  bool was_reset = con->failed || take_error (con) != 0;

  notify_ended (con, was_reset ? CON_END_RESET : CON_END_CLOSED);
}

static void
on_failure_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  con_t *con = timer->data;

  notify_ended (con, CON_END_RESET);
}

static void
defer_failure (con_t *con)
{
  con->failed = true;
  ev_io_stop (con->loop, &con->writer);
  if (ev_is_active (&con->failure_timer))
    return;
  ev_timer_set (&con->failure_timer, 0., 0.);
  ev_timer_start (con->loop, &con->failure_timer);
}

/* Empties the buffer, all of which was written.  */
static void
release_output (con_t *con)
{
  con->out_sent = 0;
  if (con->out->len <= MAX_KEPT_BYTES)
    {
      g_byte_array_set_size (con->out, 0);
      return;
    }
  g_byte_array_unref (con->out);
  con->out = g_byte_array_new ();
}

/* Removes what was written from the buffer, once that is half of it.  The
   buffer for a peer that reads slowly may never be empty.  */
static void
compact_output (con_t *con)
{
  if (con->out_sent < MAX_KEPT_BYTES || con->out_sent < con->out->len / 2)
    return;
  g_byte_array_remove_range (con->out, 0, (guint)con->out_sent);
  con->out_sent = 0;
}

/* Writes the bytes of ARRAY from *DONE on, as far as the socket takes them,
   and advances *DONE.  Returns false when the connection has failed.  */
static bool
write_from (con_t *con, const GByteArray *array, size_t *done)
{
  while (*done < array->len)
    {
      ssize_t n = send (con->reader.fd, array->data + *done,
                        array->len - *done, MSG_NOSIGNAL);

      if (n < 0)
        return errno == EAGAIN || errno == EINTR;
      con->sent += (uint64_t)n;
      *done += (size_t)n;
    }
  return true;
}

static void
release_shared (con_t *con)
{
  g_clear_pointer (&con->shared, g_byte_array_unref);
  con->shared_sent = 0;
}

/* Writes buffered output.  Returns false when the connection has failed.  */
static bool
flush (con_t *con)
{
  if (!write_from (con, con->out, &con->out_sent))
    return false;
  if (con->out_sent < con->out->len)
    return true;
  release_output (con);
  if (con->shared != NULL)
    {
      if (!write_from (con, con->shared, &con->shared_sent))
        return false;
      if (con->shared_sent < con->shared->len)
        return true;
      release_shared (con);
    }
  ev_io_stop (con->loop, &con->writer);
  if (con->shutdown_pending)
    shutdown (con->reader.fd, SHUT_WR);
  return true;
}

static bool
finish_connect (con_t *con)
{
  int problem = take_error (con);

  if (problem != 0)
    {
      con->is_refused = problem == ECONNREFUSED;
      notify_ended (con, CON_END_CONNECT_FAILED);
      return false;
    }
  con->connected = true;
  ev_io_start (con->loop, &con->reader);
  return true;
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  con_t *con = watcher->data;
  bool freed = false;

  if (!con->connected)
    {
      if (!finish_connect (con))
        return;
      con->freed = &freed;
      if (con->ops->connected != NULL)
        con->ops->connected (con->user);
      if (freed)
        return;
      con->freed = NULL;
    }
  if (!flush (con))
    notify_ended (con, CON_END_RESET);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  con_t *con = watcher->data;
  char buffer[READ_BYTES];
  bool freed = false;

  for (int i = 0; i < MAX_READS_PER_WAKEUP; i++)
    {
      ssize_t n = recv (watcher->fd, buffer, sizeof buffer, 0);

      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (n == 0)
        {
          notify_closed (con);
          return;
        }
      if (n < 0)
        {
          notify_ended (con, CON_END_RESET);
          return;
        }
      con->freed = &freed;
      con->ops->bytes (con->user, buffer, (size_t)n);
      if (freed)
        return;
      con->freed = NULL;
      if ((size_t)n < sizeof buffer || !ev_is_active (&con->reader))
        return;
    }
}

/* A reset leaves output unacknowledged, and may be reported nowhere else.  */
static void
on_delivery_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  con_t *con = timer->data;

  if (take_error (con) != 0)
    notify_ended (con, CON_END_RESET);
  else if (con_is_output_delivered (con))
    notify_ended (con, CON_END_CLOSED);
}

static void
set_options (int fd)
{
  int on = 1;
  unsigned ack_timeout_ms = ACK_TIMEOUT_MS;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ack_timeout_ms,
              sizeof ack_timeout_ms);
}

static con_t *
con_new (struct ev_loop *loop, int fd, const con_ops_t *ops, void *user)
{
  con_t *con = g_new0 (con_t, 1);

  set_options (fd);
  con->loop = loop;
  con->ops = ops;
  con->user = user;
  con->out = g_byte_array_new ();
  ev_io_init (&con->reader, on_readable, fd, EV_READ);
  ev_io_init (&con->writer, on_writable, fd, EV_WRITE);
  ev_timer_init (&con->failure_timer, on_failure_timer, 0., 0.);
  ev_timer_init (&con->delivery_timer, on_delivery_timer, 0.,
                 DELIVERY_CHECK_MS / 1000.);
  con->reader.data = con;
  con->writer.data = con;
  con->failure_timer.data = con;
  con->delivery_timer.data = con;
  return con;
}

con_t *
con_new_accepted (struct ev_loop *loop, int fd, const con_ops_t *ops,
                  void *user)
{
  con_t *con = con_new (loop, fd, ops, user);

  con->connected = true;
  ev_io_start (loop, &con->reader);
  return con;
}

con_t *
con_new_outbound (struct ev_loop *loop, const addr_t *addr,
                  const con_ops_t *ops, void *user)
{
  int fd = addr_connect (addr);
  con_t *con;

  if (fd < 0)
    return NULL;
  con = con_new (loop, fd, ops, user);
  ev_io_start (loop, &con->writer);
  return con;
}

void
con_free (con_t *con)
{
  if (con == NULL)
    return;
  if (con->freed != NULL)
    *con->freed = true;
  ev_io_stop (con->loop, &con->reader);
  ev_io_stop (con->loop, &con->writer);
  ev_timer_stop (con->loop, &con->failure_timer);
  ev_timer_stop (con->loop, &con->delivery_timer);
  close (con->reader.fd);
  g_byte_array_unref (con->out);
  release_shared (con);
  g_free (con);
}

void
con_abort (con_t *con)
{
  struct linger none = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (con->reader.fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
  con_free (con);
}

void
con_set_ops (con_t *con, const con_ops_t *ops, void *user)
{
  con->ops = ops;
  con->user = user;
}

bool
con_is_connected (const con_t *con)
{
  return con->connected;
}

bool
con_is_refused (const con_t *con)
{
  return con->is_refused;
}

/* Appends what is left of the shared bytes to the buffer.  */
static void
copy_shared (con_t *con)
{
  if (con->shared == NULL)
    return;
  g_byte_array_append (con->out, con->shared->data + con->shared_sent,
                       con->shared->len - (guint)con->shared_sent);
  release_shared (con);
}

void
con_write (con_t *con, const void *bytes, size_t length)
{
  if (con->failed)
    return;
  copy_shared (con);
  if (con->connected && con->out->len == 0)
    {
      ssize_t n = send (con->reader.fd, bytes, length, MSG_NOSIGNAL);

      if (n < 0 && errno != EAGAIN && errno != EINTR)
        {
          defer_failure (con);
          return;
        }
      if (n > 0)
        {
          con->sent += (uint64_t)n;
          bytes = (const char *)bytes + n;
          length -= (size_t)n;
        }
    }
  if (length == 0)
    return;
  compact_output (con);
  g_byte_array_append (con->out, bytes, (guint)length);
  ev_io_start (con->loop, &con->writer);
}

void
con_write_shared (con_t *con, const GByteArray *bytes)
{
  if (con->failed || bytes->len == 0)
    return;
  copy_shared (con);
  con->shared = g_byte_array_ref ((GByteArray *)bytes);
  con->shared_sent = 0;
  if (con->connected && con->out->len == 0
      && !write_from (con, con->shared, &con->shared_sent))
    {
      defer_failure (con);
      return;
    }
  if (con->shared_sent == con->shared->len)
    release_shared (con);
  else
    ev_io_start (con->loop, &con->writer);
}

static size_t
get_shared_left (const con_t *con)
{
  return con->shared != NULL ? con->shared->len - con->shared_sent : 0;
}

size_t
con_get_unsent_bytes (const con_t *con)
{
  return con->out->len - con->out_sent + get_shared_left (con);
}

uint64_t
con_get_sent_bytes (const con_t *con)
{
  return con->sent;
}

bool
con_has_sent (const con_t *con)
{
  return con->sent > 0;
}

void
con_shutdown_after_flush (con_t *con)
{
  con->shutdown_pending = true;
  if (con->connected && con_get_unsent_bytes (con) == 0)
    shutdown (con->reader.fd, SHUT_WR);
}

bool
con_is_output_delivered (const con_t *con)
{
  int unacknowledged = 0;

  return con_get_unsent_bytes (con) == 0
         && (ioctl (con->reader.fd, SIOCOUTQ, &unacknowledged) != 0
             || unacknowledged == 0);
}

void
con_finish_output (con_t *con)
{
  if (con_get_unsent_bytes (con) > 0)
    ev_io_start (con->loop, &con->writer);
  ev_timer_again (con->loop, &con->delivery_timer);
}

bool
con_is_peer_open (const con_t *con)
{
  char byte;

  return recv (con->reader.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
}

void
con_set_read_paused (con_t *con, bool paused)
{
  if (!con->connected || con->failed)
    return;
  if (paused)
    ev_io_stop (con->loop, &con->reader);
  else
    ev_io_start (con->loop, &con->reader);
}
