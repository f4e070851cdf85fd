/* Relay connections.  */

#include "relay.h"
#include "base/clock.h"
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define CHUNK_BYTES (64 * 1024)
#define MAX_QUEUED_BYTES (1024 * 1024)

/* Queue of all chunks with the same delay, first in first out.  It uses a
   timerfd, because the timeout of epoll_wait has a resolution of one
   millisecond.  */
struct delay_line
{
  int64_t delay_us;
  int timer_fd;
  ev_io expired;
  list_node_t chunks;
};

typedef struct flow flow_t;

/* Bytes in transit, to be written at DUE_US.  */
typedef struct
{
  list_node_t node;
  list_node_t in_delay_line; /* unlinked once due */
  flow_t *flow;
  int64_t due_us;
  size_t length;
  size_t sent;
  char bytes[];
} chunk_t;

/* One direction of a connection.  */
struct flow
{
  relay_conn_t *conn;
  int from;
  int to;
  ev_io readable;
  ev_io writable;
  list_node_t queue;
  size_t queued_bytes;
  bool input_ended;   /* read end of file from FROM */
  bool output_closed; /* shut down TO for writing */
};

struct relay_conn
{
  list_node_t node;
  struct ev_loop *loop;
  delay_line_t *delay_line;
  bool stalled;
  flow_t flows[2];
};

static void
flow_clear (struct ev_loop *loop, flow_t *flow)
{
  ev_io_stop (loop, &flow->readable);
  ev_io_stop (loop, &flow->writable);
  list_for_each_safe (node, &flow->queue)
    {
      chunk_t *chunk = list_entry (node, chunk_t, node);
      list_remove (&chunk->in_delay_line);
      list_remove (node);
      g_free (chunk);
    }
}

static void
relay_conn_free (relay_conn_t *conn)
{
  struct ev_loop *loop = conn->loop;

  flow_clear (loop, &conn->flows[0]);
  flow_clear (loop, &conn->flows[1]);
  close (conn->flows[0].from);
  close (conn->flows[0].to);
  list_remove (&conn->node);
  g_free (conn);
}

/* Forwards the end of the stream once all bytes are written.  Returns true if
   both directions have ended and the connection was freed.  */
static bool
flow_forward_end (flow_t *flow)
{
  relay_conn_t *conn = flow->conn;

  if (!flow->input_ended || flow->output_closed
      || !list_is_empty (&flow->queue))
    return false;
  flow->output_closed = true;
  shutdown (flow->to, SHUT_WR);
  if (!conn->flows[0].output_closed || !conn->flows[1].output_closed)
    return false;
  relay_conn_free (conn);
  return true;
}

/* Writes the chunks that are due.  */
static void
flow_write_due (struct ev_loop *loop, flow_t *flow)
{
  list_for_each_safe (node, &flow->queue)
    {
      chunk_t *chunk = list_entry (node, chunk_t, node);
      if (list_is_linked (&chunk->in_delay_line))
        return;
      ssize_t count = write (flow->to, chunk->bytes + chunk->sent,
                             chunk->length - chunk->sent);
      if (count < 0 && errno != EAGAIN)
        {
          relay_conn_free (flow->conn);
          return;
        }
      chunk->sent += (size_t)MAX (count, 0);
      if (chunk->sent < chunk->length)
        {
          ev_io_start (loop, &flow->writable);
          return;
        }
      flow->queued_bytes -= chunk->length;
      list_remove (&chunk->node);
      g_free (chunk);
    }
  ev_io_stop (loop, &flow->writable);
  if (flow_forward_end (flow))
    return;
  if (!flow->input_ended && !flow->conn->stalled)
    ev_io_start (loop, &flow->readable);
}

static void
delay_line_arm_timer (delay_line_t *delay_line)
{
  struct itimerspec when = { 0 };

  if (list_is_empty (&delay_line->chunks))
    return;
  int64_t due
      = list_entry (delay_line->chunks.next, chunk_t, in_delay_line)->due_us;
  when.it_value.tv_sec = due / G_USEC_PER_SEC;
  when.it_value.tv_nsec = due % G_USEC_PER_SEC * 1000 + 1;
  timerfd_settime (delay_line->timer_fd, TFD_TIMER_ABSTIME, &when, NULL);
}

static void
on_delay_timer (struct ev_loop *loop, ev_io *watcher, int events)
{
  delay_line_t *delay_line = watcher->data;
  uint64_t count;
  int64_t now = clock_now_us ();

  if (read (delay_line->timer_fd, &count, sizeof count) < 0)
    return;
  while (!list_is_empty (&delay_line->chunks))
    {
      chunk_t *chunk
          = list_entry (delay_line->chunks.next, chunk_t, in_delay_line);
      if (chunk->due_us > now)
        break;
      list_remove (&chunk->in_delay_line);
      flow_write_due (loop, chunk->flow);
    }
  delay_line_arm_timer (delay_line);
}

static delay_line_t *
delay_line_new (struct ev_loop *loop, int64_t delay_us)
{
  delay_line_t *delay_line = g_new0 (delay_line_t, 1);

  delay_line->delay_us = delay_us;
  delay_line->timer_fd
      = timerfd_create (CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  list_init (&delay_line->chunks);
  ev_io_init (&delay_line->expired, on_delay_timer, delay_line->timer_fd,
              EV_READ);
  delay_line->expired.data = delay_line;
  ev_io_start (loop, &delay_line->expired);
  return delay_line;
}

delay_line_t *
delay_line_get (struct ev_loop *loop, GPtrArray *delay_lines, int64_t delay_us)
{
  for (guint i = 0; i < delay_lines->len; i++)
    {
      delay_line_t *delay_line = delay_lines->pdata[i];
      if (delay_line->delay_us == delay_us)
        return delay_line;
    }
  delay_line_t *delay_line = delay_line_new (loop, delay_us);
  g_ptr_array_add (delay_lines, delay_line);
  return delay_line;
}

static void
delay_line_add (delay_line_t *delay_line, chunk_t *chunk)
{
  bool first = list_is_empty (&delay_line->chunks);

  chunk->due_us = clock_now_us () + delay_line->delay_us;
  list_append (&delay_line->chunks, &chunk->in_delay_line);
  if (first)
    delay_line_arm_timer (delay_line);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  flow_write_due (loop, watcher->data);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  static char buffer[CHUNK_BYTES];
  flow_t *flow = watcher->data;
  ssize_t count = read (flow->from, buffer, sizeof buffer);

  if (count < 0 && errno == EAGAIN)
    return;
  if (count < 0)
    {
      relay_conn_free (flow->conn);
      return;
    }
  if (count == 0)
    {
      ev_io_stop (loop, &flow->readable);
      flow->input_ended = true;
      if (list_is_empty (&flow->queue))
        flow_forward_end (flow);
      return;
    }
  chunk_t *chunk = g_malloc (sizeof *chunk + (size_t)count);
  memcpy (chunk->bytes, buffer, (size_t)count);
  chunk->length = (size_t)count;
  chunk->sent = 0;
  chunk->flow = flow;
  list_init (&chunk->in_delay_line);
  list_append (&flow->queue, &chunk->node);
  flow->queued_bytes += chunk->length;
  if (flow->queued_bytes >= MAX_QUEUED_BYTES)
    ev_io_stop (loop, &flow->readable);
  if (flow->conn->delay_line->delay_us > 0)
    delay_line_add (flow->conn->delay_line, chunk);
  else
    flow_write_due (loop, flow);
}

static void
flow_start (relay_conn_t *conn, flow_t *flow, int from, int to)
{
  struct ev_loop *loop = conn->loop;

  flow->conn = conn;
  flow->from = from;
  flow->to = to;
  list_init (&flow->queue);
  ev_io_init (&flow->readable, on_readable, from, EV_READ);
  ev_io_init (&flow->writable, on_writable, to, EV_WRITE);
  flow->readable.data = flow;
  flow->writable.data = flow;
  if (!conn->stalled)
    ev_io_start (loop, &flow->readable);
}

static void
set_socket_options (int fd)
{
  int on = 1;

  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void
relay_conn_start (struct ev_loop *loop, delay_line_t *delay_line,
                  int accepted_fd, const struct sockaddr_in *target,
                  bool stalled, list_node_t *list)
{
  int target_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (target_fd < 0)
    {
      close (accepted_fd);
      return;
    }
  set_socket_options (accepted_fd);
  set_socket_options (target_fd);
  if (connect (target_fd, (const struct sockaddr *)target, sizeof *target) < 0
      && errno != EINPROGRESS)
    {
      close (accepted_fd);
      close (target_fd);
      return;
    }
  relay_conn_t *conn = g_new0 (relay_conn_t, 1);
  conn->loop = loop;
  conn->delay_line = delay_line;
  conn->stalled = stalled;
  list_append (list, &conn->node);
  flow_start (conn, &conn->flows[0], accepted_fd, target_fd);
  flow_start (conn, &conn->flows[1], target_fd, accepted_fd);
}

void
relay_conn_close_all (list_node_t *list)
{
  list_for_each_safe (node, list)
    relay_conn_free (list_entry (node, relay_conn_t, node));
}

void
relay_conn_stall_all (list_node_t *list)
{
  list_for_each (node, list)
    {
      relay_conn_t *conn = list_entry (node, relay_conn_t, node);
      conn->stalled = true;
      flow_clear (conn->loop, &conn->flows[0]);
      flow_clear (conn->loop, &conn->flows[1]);
    }
}
