/* The connections of the relay.  */

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

#define CHUNK (64 * 1024)
#define QUEUE_MAX (1024 * 1024)

/* All bytes with the same delay, first in first out.  Its timer is a
   descriptor, because epoll's own time limit is in whole milliseconds.  */
struct lane
{
  int64_t delay_us;
  int timer;
  ev_io expired;
  list_node_t chunks;
};

typedef struct flow flow_t;

/* Bytes on their way, due at the other side at DUE_US.  */
typedef struct
{
  list_node_t node;
  list_node_t in_lane; /* unlinked when due */
  flow_t *flow;
  int64_t due_us;
  size_t length;
  size_t sent;
  char bytes[];
} chunk_t;

/* One direction of a connection.  */
struct flow
{
  pair_t *pair;
  int from;
  int to;
  ev_io readable;
  ev_io writable;
  list_node_t queue;
  size_t queued;
  bool ended;  /* FROM sent its last byte */
  bool closed; /* and TO was told */
};

struct pair
{
  list_node_t node;
  struct ev_loop *loop;
  lane_t *lane;
  bool silent;
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
      list_remove (&chunk->in_lane);
      list_remove (node);
      g_free (chunk);
    }
}

static void
pair_free (pair_t *pair)
{
  struct ev_loop *loop = pair->loop;

  flow_clear (loop, &pair->flows[0]);
  flow_clear (loop, &pair->flows[1]);
  close (pair->flows[0].from);
  close (pair->flows[0].to);
  list_remove (&pair->node);
  g_free (pair);
}

/* Tells the other side of the end when all before it has left; true when
   both directions are over and the pair was freed.  */
static bool
flow_finish (flow_t *flow)
{
  pair_t *pair = flow->pair;

  if (!flow->ended || flow->closed || !list_is_empty (&flow->queue))
    return false;
  flow->closed = true;
  shutdown (flow->to, SHUT_WR);
  if (!pair->flows[0].closed || !pair->flows[1].closed)
    return false;
  pair_free (pair);
  return true;
}

/* Writes what is due.  */
static void
flow_write (struct ev_loop *loop, flow_t *flow)
{
  list_for_each_safe (node, &flow->queue)
    {
      chunk_t *chunk = list_entry (node, chunk_t, node);
      if (list_is_linked (&chunk->in_lane))
        return;
      ssize_t count = write (flow->to, chunk->bytes + chunk->sent,
                             chunk->length - chunk->sent);
      if (count < 0 && errno != EAGAIN)
        {
          pair_free (flow->pair);
          return;
        }
      chunk->sent += (size_t)MAX (count, 0);
      if (chunk->sent < chunk->length)
        {
          ev_io_start (loop, &flow->writable);
          return;
        }
      flow->queued -= chunk->length;
      list_remove (&chunk->node);
      g_free (chunk);
    }
  ev_io_stop (loop, &flow->writable);
  if (flow_finish (flow))
    return;
  if (!flow->ended && !flow->pair->silent)
    ev_io_start (loop, &flow->readable);
}

static void
lane_arm (lane_t *lane)
{
  struct itimerspec when = { 0 };

  if (list_is_empty (&lane->chunks))
    return;
  int64_t due = list_entry (lane->chunks.next, chunk_t, in_lane)->due_us;
  when.it_value.tv_sec = due / G_USEC_PER_SEC;
  when.it_value.tv_nsec = due % G_USEC_PER_SEC * 1000 + 1;
  timerfd_settime (lane->timer, TFD_TIMER_ABSTIME, &when, NULL);
}

static void
on_expired (struct ev_loop *loop, ev_io *watcher, int events)
{
  lane_t *lane = watcher->data;
  uint64_t count;
  int64_t now = clock_now_us ();

  if (read (lane->timer, &count, sizeof count) < 0)
    return;
  while (!list_is_empty (&lane->chunks))
    {
      chunk_t *chunk = list_entry (lane->chunks.next, chunk_t, in_lane);
      if (chunk->due_us > now)
        break;
      list_remove (&chunk->in_lane);
      flow_write (loop, chunk->flow);
    }
  lane_arm (lane);
}

static lane_t *
lane_new (struct ev_loop *loop, int64_t delay_us)
{
  lane_t *lane = g_new0 (lane_t, 1);

  lane->delay_us = delay_us;
  lane->timer = timerfd_create (CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  list_init (&lane->chunks);
  ev_io_init (&lane->expired, on_expired, lane->timer, EV_READ);
  lane->expired.data = lane;
  ev_io_start (loop, &lane->expired);
  return lane;
}

lane_t *
lane_get (struct ev_loop *loop, GPtrArray *lanes, int64_t delay_us)
{
  for (guint i = 0; i < lanes->len; i++)
    {
      lane_t *lane = lanes->pdata[i];
      if (lane->delay_us == delay_us)
        return lane;
    }
  lane_t *lane = lane_new (loop, delay_us);
  g_ptr_array_add (lanes, lane);
  return lane;
}

static void
lane_add (lane_t *lane, chunk_t *chunk)
{
  bool first = list_is_empty (&lane->chunks);

  chunk->due_us = clock_now_us () + lane->delay_us;
  list_append (&lane->chunks, &chunk->in_lane);
  if (first)
    lane_arm (lane);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  flow_write (loop, watcher->data);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  static char buffer[CHUNK];
  flow_t *flow = watcher->data;
  ssize_t count = read (flow->from, buffer, sizeof buffer);

  if (count < 0 && errno == EAGAIN)
    return;
  if (count < 0)
    {
      pair_free (flow->pair);
      return;
    }
  if (count == 0)
    {
      ev_io_stop (loop, &flow->readable);
      flow->ended = true;
      if (list_is_empty (&flow->queue))
        flow_finish (flow);
      return;
    }
  chunk_t *chunk = g_malloc (sizeof *chunk + (size_t)count);
  memcpy (chunk->bytes, buffer, (size_t)count);
  chunk->length = (size_t)count;
  chunk->sent = 0;
  chunk->flow = flow;
  list_init (&chunk->in_lane);
  list_append (&flow->queue, &chunk->node);
  flow->queued += chunk->length;
  if (flow->queued >= QUEUE_MAX)
    ev_io_stop (loop, &flow->readable);
  if (flow->pair->lane->delay_us > 0)
    lane_add (flow->pair->lane, chunk);
  else
    flow_write (loop, flow);
}

static void
flow_start (pair_t *pair, flow_t *flow, int from, int to)
{
  struct ev_loop *loop = pair->loop;

  flow->pair = pair;
  flow->from = from;
  flow->to = to;
  list_init (&flow->queue);
  ev_io_init (&flow->readable, on_readable, from, EV_READ);
  ev_io_init (&flow->writable, on_writable, to, EV_WRITE);
  flow->readable.data = flow;
  flow->writable.data = flow;
  if (!pair->silent)
    ev_io_start (loop, &flow->readable);
}

static void
set_options (int fd)
{
  int on = 1;

  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void
pair_start (struct ev_loop *loop, lane_t *lane, int near,
            const struct sockaddr_in *target, bool silent, list_node_t *list)
{
  int far = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (far < 0)
    {
      close (near);
      return;
    }
  set_options (near);
  set_options (far);
  if (connect (far, (const struct sockaddr *)target, sizeof *target) < 0
      && errno != EINPROGRESS)
    {
      close (near);
      close (far);
      return;
    }
  pair_t *pair = g_new0 (pair_t, 1);
  pair->loop = loop;
  pair->lane = lane;
  pair->silent = silent;
  list_append (list, &pair->node);
  flow_start (pair, &pair->flows[0], near, far);
  flow_start (pair, &pair->flows[1], far, near);
}

void
pair_cut_all (list_node_t *list)
{
  list_for_each_safe (node, list)
    pair_free (list_entry (node, pair_t, node));
}

void
pair_silence_all (list_node_t *list)
{
  list_for_each (node, list)
    {
      pair_t *pair = list_entry (node, pair_t, node);
      pair->silent = true;
      flow_clear (pair->loop, &pair->flows[0]);
      flow_clear (pair->loop, &pair->flows[1]);
    }
}
