/* Callers' connections.  */

#include "relay/ent.h"

#include "base/addr.h"
#include "base/list.h"
#include "base/log.h"
#include "relay/con.h"

#include <errno.h>
#include <http_parser.h>
#include <string.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bounds until the configuration gives its own.  */
#define HEAD_BYTES 16384
#define BODY_BYTES 4194304
/* Idle connections: while no bound is known, and the least one.  */
#define IDLE_USUAL_MS 60000.
#define IDLE_LEAST_MS 300.
/* Connections that wait to be accepted.  The queue is in order of arrival: at
   a slow instance a long one holds callers alone who have given up meanwhile.
 */
#define BACKLOG 128
/* Accepted at one wake, so that a crowd of new ones doesn't hold up those that
   are served.  */
#define ACCEPTS_A_WAKE 32
/* Bytes kept of a next request that came before the answer to this one.  */
#define AHEAD_MOST 65536
/* After a refusal that ends the connection the rest of the request is read and
   dropped for so long: a close with unread bytes would reset the connection,
   and the caller might lose the answer.  */
#define LINGER_MS 1000

struct ent
{
  struct ev_loop *loop;
  ev_io listener;
  ent_ops_t ops;
  void *user;
  ent_limits_t limits;
  lag_t *lag;          /* not owned; may be NULL */
  list_node_t callers; /* ent_call_t */
  unsigned count;
  unsigned accepted; /* since the start */
  bool backlogged;   /* since the last question */
  bool draining;
};

typedef enum
{
  STATE_IDLE,    /* between requests */
  STATE_READING, /* a request has begun */
  STATE_SERVING, /* with the user */
  STATE_ENDING   /* closes; what comes is dropped */
} state_t;

/* A connection with the call that is on it.  */
struct ent_call
{
  list_node_t node;
  ent_t *ent;
  con_t *con;
  rd_t *rd;
  GByteArray *body;
  GByteArray *ahead; /* read, and not yet looked at */
  void *data;
  cfd_time_t since; /* of the present state */
  cfd_time_t began; /* of the request */
  state_t state;
  bool head_done;
  bool too_large;
  bool chunked;
  bool keep;
  bool taking; /* the request is being read; freeing waits */
  bool doomed;
};

static void
call_free (ent_call_t *call)
{
  if (call->taking)
    {
      call->doomed = true;
      return;
    }
  list_remove (&call->node);
  call->ent->count--;
  con_free (call->con);
  rd_free (call->rd);
  g_byte_array_unref (call->body);
  g_byte_array_unref (call->ahead);
  g_free (call);
}

static void
set_state (ent_call_t *call, state_t state)
{
  call->state = state;
  call->since = clock_now ();
}

static bool
on_head (void *user, rd_head_t *head)
{
  ent_call_t *call = user;
  size_t most = call->ent->limits.body_bytes;
  const char *expect = hdr_get (&head->fields, "Expect");

  call->head_done = true;
  if (most > 0 && head->length > (int64_t)most)
    {
      call->too_large = true;
      return false;
    }
  if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0)
    con_write (call->con, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  return true;
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  ent_call_t *call = user;
  size_t most = call->ent->limits.body_bytes;

  if (most > 0 && call->body->len + length > most)
    call->too_large = true;
  else
    g_byte_array_append (call->body, (const guint8 *)bytes, (guint)length);
}

static const rd_ops_t reader = { .head = on_head, .body = on_body };

/* Ends the connection after STATUS.  */
static void
refuse (ent_call_t *call, unsigned status)
{
  log_info ("entry", "A request was refused: status=%u.", status);
  call->keep = false;
  ent_respond (call, status, NULL, NULL, 0);
}

static void
hand_over (ent_call_t *call)
{
  rd_head_t *head = rd_head (call->rd);

  call->keep = head->keep_alive;
  set_state (call, STATE_SERVING);
  call->ent->ops.request (call->ent->user, call);
}

/* Reads as much as belongs to the present request.  */
static size_t
read_request (ent_call_t *call, const char *bytes, size_t length)
{
  size_t used = 0;
  rd_result_t result;

  if (call->state == STATE_IDLE)
    {
      set_state (call, STATE_READING);
      call->began = call->since;
    }
  result = rd_feed (call->rd, bytes, length, &used);
  if (call->too_large)
    refuse (call, 413);
  else if (result == RD_TOO_LARGE)
    refuse (call, 431);
  else if (result == RD_INVALID)
    refuse (call, 400);
  else if (result == RD_COMPLETE)
    hand_over (call);
  return used;
}

static void
take_bytes (ent_call_t *call, const char *bytes, size_t length)
{
  while (length > 0 && !call->doomed
         && (call->state == STATE_IDLE || call->state == STATE_READING))
    {
      size_t used = read_request (call, bytes, length);

      bytes += used;
      length -= MIN (used, length);
    }
  if (length == 0 || call->doomed || call->state == STATE_ENDING)
    return;
  g_byte_array_append (call->ahead, (const guint8 *)bytes, (guint)length);
  if (call->ahead->len > AHEAD_MOST)
    con_set_read_paused (call->con, true);
}

static void
on_bytes (void *user, const char *bytes, size_t length)
{
  ent_call_t *call = user;
  lag_t *lag = call->ent->lag;
  lag_kind_t before = lag_enter (lag, LAG_CALLERS);

  call->taking = true;
  take_bytes (call, bytes, length);
  call->taking = false;
  if (call->doomed)
    call_free (call);
  lag_leave (lag, before, 1);
}

static void
on_ended (void *user, con_end_t end)
{
  ent_call_t *call = user;

  if (call->state == STATE_SERVING)
    call->ent->ops.gone (call->ent->user, call);
  call->taking = false;
  call_free (call);
}

static const con_ops_t wire = { .bytes = on_bytes, .ended = on_ended };

static void
add_caller (ent_t *ent, int fd)
{
  ent_call_t *call = g_new0 (ent_call_t, 1);

  call->ent = ent;
  call->rd = rd_new (RD_REQUESTS, ent->limits.head_bytes, &reader, call);
  call->body = g_byte_array_new ();
  call->ahead = g_byte_array_new ();
  set_state (call, STATE_IDLE);
  list_init (&call->node);
  list_append (&ent->callers, &call->node);
  ent->count++;
  ent->accepted++;
  call->con = con_new_accepted (ent->loop, fd, &wire, call);
}

/* Takes on what waits; the number of connections.  */
static unsigned
accept_some (ent_t *ent)
{
  unsigned accepted = 0;

  while (accepted < ACCEPTS_A_WAKE)
    {
      int fd = accept4 (ent->listener.fd, NULL, NULL,
                        SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd < 0)
        {
          if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED)
            log_warn ("entry",
                      "A caller was not accepted: problem=%s; raise the limit "
                      "of open files if they have run out.",
                      g_strerror (errno));
          break;
        }
      add_caller (ent, fd);
      accepted++;
    }
  ent->backlogged |= accepted == ACCEPTS_A_WAKE;
  return accepted;
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  ent_t *ent = watcher->data;
  lag_kind_t before = lag_enter (ent->lag, LAG_ACCEPT);

  lag_leave (ent->lag, before, accept_some (ent));
}

ent_t *
ent_new (struct ev_loop *loop, const char *address, const ent_ops_t *ops,
         void *user, GError **error)
{
  int fd = addr_listen (address, error);
  ent_t *ent;

  if (fd < 0)
    return NULL;
  listen (fd, BACKLOG);
  ent = g_new0 (ent_t, 1);
  ent->loop = loop;
  ent->ops = *ops;
  ent->user = user;
  ent->limits.head_bytes = HEAD_BYTES;
  ent->limits.body_bytes = BODY_BYTES;
  list_init (&ent->callers);
  ev_io_init (&ent->listener, on_accept, fd, EV_READ);
  ent->listener.data = ent;
  ev_io_start (loop, &ent->listener);
  return ent;
}

void
ent_close_listener (ent_t *ent)
{
  if (ent->listener.fd < 0)
    return;
  ev_io_stop (ent->loop, &ent->listener);
  close (ent->listener.fd);
  ent->listener.fd = -1;
}

void
ent_free (ent_t *ent)
{
  if (ent == NULL)
    return;
  ent_close_listener (ent);
  list_for_each_safe (node, &ent->callers)
    {
      call_free (list_entry (node, ent_call_t, node));
    }
  g_free (ent);
}

bool
ent_test_and_clear_backlogged (ent_t *ent)
{
  bool left = ent->backlogged;

  ent->backlogged = false;
  return left;
}

void
ent_set_lag (ent_t *ent, lag_t *lag)
{
  ent->lag = lag;
}

unsigned
ent_get_port (const ent_t *ent)
{
  struct sockaddr_in addr = { 0 };
  socklen_t length = sizeof addr;

  getsockname (ent->listener.fd, (struct sockaddr *)&addr, &length);
  return ntohs (addr.sin_port);
}

void
ent_set_limits (ent_t *ent, const ent_limits_t *limits)
{
  ent->limits = *limits;
  list_for_each (node, &ent->callers)
    {
      ent_call_t *call = list_entry (node, ent_call_t, node);

      rd_set_max_head_bytes (call->rd, limits->head_bytes);
    }
}

void
ent_drain (ent_t *ent)
{
  ent->draining = true;
}

void
ent_close_idle (ent_t *ent)
{
  list_for_each_safe (node, &ent->callers)
    {
      ent_call_t *call = list_entry (node, ent_call_t, node);

      if (call->state == STATE_IDLE)
        call_free (call);
    }
}

/* Begins to close: what the caller still sends is read and dropped.  */
static void
end_caller (ent_call_t *call)
{
  set_state (call, STATE_ENDING);
  con_shutdown_after_flush (call->con);
}

/* Milliseconds that a connection may stay idle.  Above half of the connections
   that there may be it shrinks to the least at the full number: callers who
   open a new one for each try would use up all descriptors, and nobody else
   could connect.  */
static int64_t
idle_bound (const ent_t *ent)
{
  double most = ent->limits.connections;
  double usual
      = ent->limits.idle_ms > 0 ? (double)ent->limits.idle_ms : IDLE_USUAL_MS;
  double free_part;

  if (most <= 0.)
    return (int64_t)usual;
  free_part = CLAMP (2. * (1. - ent->count / most), 0., 1.);
  return (int64_t)MAX (usual * free_part, IDLE_LEAST_MS);
}

static void
tick_call (ent_call_t *call, cfd_time_t now, int64_t idle_ms)
{
  const ent_limits_t *limits = &call->ent->limits;
  int64_t in_state = now - call->since;

  switch (call->state)
    {
    case STATE_IDLE:
      if (in_state > idle_ms)
        call_free (call);
      break;
    case STATE_READING:
      if (!call->head_done && limits->head_ms > 0
          && in_state > limits->head_ms)
        refuse (call, 408);
      else if (limits->idle_ms > 0 && in_state > limits->idle_ms)
        refuse (call, 408);
      break;
    case STATE_ENDING:
      if (in_state > LINGER_MS && con_get_unsent_bytes (call->con) == 0)
        call_free (call);
      break;
    case STATE_SERVING:
      break;
    }
}

void
ent_tick (ent_t *ent, cfd_time_t now)
{
  int64_t idle_ms = idle_bound (ent);

  list_for_each_safe (node, &ent->callers)
    {
      tick_call (list_entry (node, ent_call_t, node), now, idle_ms);
    }
}

unsigned
ent_count_connections (const ent_t *ent)
{
  return ent->count;
}

unsigned
ent_count_accepted (const ent_t *ent)
{
  return ent->accepted;
}

rd_head_t *
ent_get_head (ent_call_t *call)
{
  return rd_head (call->rd);
}

const GByteArray *
ent_get_body (const ent_call_t *call)
{
  return call->body;
}

cfd_time_t
ent_get_start_time (const ent_call_t *call)
{
  return call->began;
}

void
ent_set_data (ent_call_t *call, void *data)
{
  call->data = data;
}

void *
ent_get_data (const ent_call_t *call)
{
  return call->data;
}

static bool
will_close (const ent_call_t *call)
{
  return !call->keep || call->ent->draining;
}

static GString *
head_text (ent_call_t *call, unsigned status, const char *fields)
{
  GString *text = g_string_sized_new (512);

  g_string_append_printf (text, "HTTP/1.1 %u %s\r\n", status,
                          http_status_str (status));
  if (fields != NULL)
    g_string_append (text, fields);
  if (will_close (call))
    hdr_append_line (text, "Connection", "close");
  return text;
}

/* The next request on the connection, or its end.  */
static void
after_answer (ent_call_t *call)
{
  g_autoptr (GByteArray) ahead = NULL;

  call->data = NULL;
  if (will_close (call))
    {
      end_caller (call);
      return;
    }
  rd_reset (call->rd);
  g_byte_array_set_size (call->body, 0);
  call->head_done = false;
  call->too_large = false;
  set_state (call, STATE_IDLE);
  if (call->ahead->len == 0)
    return;
  ahead = g_steal_pointer (&call->ahead);
  call->ahead = g_byte_array_new ();
  con_set_read_paused (call->con, false);
  if (call->taking)
    /* The answer came from inside the reading of its request; the bytes that
       follow are looked at when that returns.  */
    g_byte_array_append (call->ahead, ahead->data, ahead->len);
  else
    on_bytes (call, (const char *)ahead->data, ahead->len);
}

void
ent_close_after (ent_call_t *call)
{
  call->keep = false;
}

void
ent_respond (ent_call_t *call, unsigned status, const char *fields,
             const void *body, size_t length)
{
  g_autoptr (GString) text = head_text (call, status, fields);

  g_string_append_printf (text, "Content-Length: %zu\r\n\r\n", length);
  if (length > 0)
    g_string_append_len (text, body, (gssize)length);
  con_write (call->con, text->str, text->len);
  after_answer (call);
}

void
ent_begin_response (ent_call_t *call, unsigned status, const char *fields,
                    int64_t length)
{
  g_autoptr (GString) text = head_text (call, status, fields);

  call->chunked = length < 0;
  if (call->chunked)
    hdr_append_line (text, "Transfer-Encoding", "chunked");
  else
    g_string_append_printf (text, "Content-Length: %" G_GINT64_FORMAT "\r\n",
                            length);
  g_string_append (text, "\r\n");
  con_write (call->con, text->str, text->len);
}

void
ent_send_body (ent_call_t *call, const void *bytes, size_t length)
{
  g_autoptr (GString) text = NULL;

  if (length == 0)
    return;
  if (!call->chunked)
    {
      con_write (call->con, bytes, length);
      return;
    }
  text = g_string_sized_new (length + 32);
  g_string_append_printf (text, "%zx\r\n", length);
  g_string_append_len (text, bytes, (gssize)length);
  g_string_append_len (text, "\r\n", 2);
  con_write (call->con, text->str, text->len);
}

void
ent_finish_response (ent_call_t *call)
{
  if (call->chunked)
    con_write (call->con, "0\r\n\r\n", 5);
  after_answer (call);
}

void
ent_abort (ent_call_t *call)
{
  call_free (call);
}

bool
ent_is_client_connected (const ent_call_t *call)
{
  return con_is_peer_open (call->con);
}

size_t
ent_get_unsent_bytes (const ent_call_t *call)
{
  return con_get_unsent_bytes (call->con);
}
