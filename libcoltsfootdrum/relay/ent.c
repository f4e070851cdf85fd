/* Entry: the clients' connections.  */

#include "relay/ent-private.h"

#include "base/addr.h"
#include "base/log.h"

#include <errno.h>
#include <http_parser.h>
#include <string.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* Limits until a configuration is loaded.  */
#define DEFAULT_MAX_HEAD_BYTES 16384
#define DEFAULT_MAX_BODY_BYTES 4194304
/* Time that a connection may stay idle: the default while no limit is
   configured, and the minimum when connections are scarce.  */
#define DEFAULT_IDLE_MS 60000.
#define MIN_IDLE_MS 300.
/* Length of the kernel's accept queue.  It is a FIFO: at a slow instance, a
   long queue would hold only clients that have given up by the time they are
   accepted.  */
#define LISTEN_BACKLOG 128
/* Connections accepted per wakeup, so that a burst of new ones doesn't delay
   those that are being served.  */
#define MAX_ACCEPTS_PER_WAKEUP 32
/* Buffered bytes of pipelined requests, above which reading is paused.  */
#define MAX_PIPELINED_BYTES 16384
/* Largest response that is collected for a client of HTTP/1.0.  */
#define MAX_COLLECTED_BYTES 8388608u
/* Interval at which the time-outs of all connections are checked.  */
#define TIMEOUT_CHECK_INTERVAL_MS 100
/* Before a connection is closed, further input is read and discarded for this
   time: closing a socket with unread bytes resets the connection, and the
   client might lose the response.  The time begins anew with each input, as of
   a client that sends a large body, up to the maximum.  */
#define LINGER_MS 1000
#define MAX_LINGER_MS 5000

void
ent_call_free (ent_call_t *call)
{
  if (call->parsing)
    {
      call->free_pending = true;
      return;
    }
  list_remove (&call->node);
  ent_release_body (call);
  call->ent->count--;
  con_free (call->con);
  rd_free (call->rd);
  g_byte_array_unref (call->body);
  g_byte_array_unref (call->pipelined);
  if (call->head != NULL)
    g_string_free (call->head, TRUE);
  if (call->collected != NULL)
    g_string_free (call->collected, TRUE);
  g_free (call);
}

static void
set_state (ent_call_t *call, ent_state_t state)
{
  call->state = state;
  call->state_since = clock_now ();
}

static bool
on_head (void *user, rd_head_t *head)
{
  ent_call_t *call = user;
  size_t limit = call->ent->limits.body_bytes;
  const char *expect = hdr_get (&head->fields, "Expect");

  call->head_done = true;
  call->is_head = strcmp (head->method, "HEAD") == 0;
  if (limit > 0 && head->length > (int64_t)limit)
    {
      call->too_large = true;
      return false;
    }
  call->expects_continue
      = expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0;
  return true;
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  ent_call_t *call = user;
  size_t limit = call->ent->limits.body_bytes;

  if (limit > 0 && call->body->len + length > limit)
    call->too_large = true;
  else
    g_byte_array_append (call->body, (const guint8 *)bytes, (guint)length);
}

static const rd_ops_t parser_ops = { .head = on_head, .body = on_body };

void
ent_reject_request (ent_call_t *call, unsigned status)
{
  log_info ("entry", "A request was rejected: status=%u.", status);
  call->reusable = false;
  ent_respond (call, status, NULL, NULL, 0);
}

static void
dispatch_request (ent_call_t *call)
{
  rd_head_t *head = rd_get_head (call->rd);

  if (!ent_count_request (call))
    return;
  call->reusable = head->keep_alive && !head->is_http10;
  set_state (call, ENT_SERVING);
  call->received = MAX (call->state_since - call->body_wait_ms, call->started);
  call->ent->ops.request (call->ent->user, call);
}

/* Parses the part of BYTES that belongs to the current request, and returns
   its length.  */
static size_t
read_request (ent_call_t *call, const char *bytes, size_t length)
{
  size_t used = 0;
  rd_result_t result;

  if (call->state == ENT_IDLE)
    {
      set_state (call, ENT_READING);
      call->started = call->state_since;
      call->body_wait_ms = 0;
    }
  result = rd_feed (call->rd, bytes, length, &used);
  if (call->too_large)
    ent_reject_request (call, 413);
  else if (result == RD_TOO_LARGE)
    ent_reject_request (call, 431);
  else if (result == RD_INVALID)
    ent_reject_request (call, 400);
  else if (result == RD_COMPLETE)
    dispatch_request (call);
  else if (call->head_done)
    ent_reserve_body (call);
  return used;
}

static void
parse_bytes (ent_call_t *call, const char *bytes, size_t length)
{
  while (length > 0 && !call->free_pending
         && (call->state == ENT_IDLE || call->state == ENT_READING))
    {
      size_t used = read_request (call, bytes, length);

      bytes += used;
      length -= MIN (used, length);
    }
  if (call->state == ENT_CLOSING)
    call->input_at = clock_now ();
  if (length == 0 || call->free_pending || call->state == ENT_CLOSING)
    return;
  g_byte_array_append (call->pipelined, (const guint8 *)bytes, (guint)length);
  if (call->pipelined->len > MAX_PIPELINED_BYTES)
    con_set_read_paused (call->con, true);
}

static void
on_bytes (void *user, const char *bytes, size_t length)
{
  ent_call_t *call = user;
  lag_t *lag = call->ent->lag;
  lag_kind_t before = lag_enter (lag, LAG_CALLERS);

  call->parsing = true;
  parse_bytes (call, bytes, length);
  call->parsing = false;
  if (call->free_pending)
    ent_call_free (call);
  lag_leave (lag, before, 1);
}

static void
on_ended (void *user, con_end_t end)
{
  ent_call_t *call = user;

  if (call->state == ENT_SERVING)
    call->ent->ops.disconnected (call->ent->user, call);
  call->parsing = false;
  ent_call_free (call);
}

static const con_ops_t connection_ops
    = { .bytes = on_bytes, .ended = on_ended };

static void
add_connection (ent_t *ent, int fd)
{
  ent_call_t *call = g_new0 (ent_call_t, 1);

  call->ent = ent;
  call->rd = rd_new (RD_REQUESTS, ent->limits.head_bytes, &parser_ops, call);
  call->body = g_byte_array_new ();
  call->pipelined = g_byte_array_new ();
  bdm_claim_init (&call->claim);
  set_state (call, ENT_IDLE);
  list_init (&call->node);
  list_append (&ent->calls, &call->node);
  ent->count++;
  ent->accepted++;
  call->con = con_new_accepted (ent->loop, fd, &connection_ops, call);
}

/* Accepts waiting connections and returns their number.  */
static unsigned
accept_connections (ent_t *ent)
{
  unsigned accepted = 0;

  while (accepted < MAX_ACCEPTS_PER_WAKEUP)
    {
      int fd = accept4 (ent->listener.fd, NULL, NULL,
                        SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd < 0)
        {
          if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED)
            log_warn ("entry",
                      "A connection was not accepted: problem=%s; raise the "
                      "limit of open files if it is exhausted.",
                      g_strerror (errno));
          break;
        }
      add_connection (ent, fd);
      accepted++;
    }
  ent->backlogged |= accepted == MAX_ACCEPTS_PER_WAKEUP;
  return accepted;
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  ent_t *ent = watcher->data;
  lag_kind_t before = lag_enter (ent->lag, LAG_ACCEPT);

  lag_leave (ent->lag, before, accept_connections (ent));
}

ent_t *
ent_new (struct ev_loop *loop, const char *address, const ent_ops_t *ops,
         void *user, GError **error)
{
  int fd = addr_listen (address, error);
  ent_t *ent;

  if (fd < 0)
    return NULL;
  listen (fd, LISTEN_BACKLOG);
  ent = g_new0 (ent_t, 1);
  ent->loop = loop;
  ent->ops = *ops;
  ent->user = user;
  ent->limits.head_bytes = DEFAULT_MAX_HEAD_BYTES;
  ent->limits.body_bytes = DEFAULT_MAX_BODY_BYTES;
  list_init (&ent->calls);
  ent->bodies = bdm_new ();
  ev_io_init (&ent->listener, on_accept, fd, EV_READ);
  ent->listener.data = ent;
  ev_io_start (loop, &ent->listener);
  return ent;
}

void
ent_set_accepting (ent_t *ent, bool is_accepting)
{
  if (ent->listener.fd < 0)
    return;
  if (is_accepting)
    ev_io_start (ent->loop, &ent->listener);
  else
    ev_io_stop (ent->loop, &ent->listener);
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
  list_for_each_safe (node, &ent->calls)
    {
      ent_call_free (list_entry (node, ent_call_t, node));
    }
  bdm_free (ent->bodies);
  g_free (ent);
}

bool
ent_test_and_clear_backlogged (ent_t *ent)
{
  bool was_backlogged = ent->backlogged;

  ent->backlogged = false;
  return was_backlogged;
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
  list_for_each (node, &ent->calls)
    {
      ent_call_t *call = list_entry (node, ent_call_t, node);

      rd_set_max_head_bytes (call->rd, limits->head_bytes);
    }
}

void
ent_allow_closes (ent_t *ent, unsigned count)
{
  ent->closes_left = count;
}

unsigned
ent_count_allowed_closes (const ent_t *ent)
{
  return ent->closes;
}

void
ent_drain (ent_t *ent)
{
  ent->draining = true;
}

/* Starts to close the connection; further input is read and discarded.  */
static void
start_close (ent_call_t *call)
{
  set_state (call, ENT_CLOSING);
  con_shutdown_after_flush (call->con);
}

void
ent_close_idle (ent_t *ent)
{
  list_for_each_safe (node, &ent->calls)
    {
      ent_call_t *call = list_entry (node, ent_call_t, node);

      if (call->state != ENT_IDLE)
        continue;
      /* Its client is still reading the last response.  */
      if (con_get_unsent_bytes (call->con) > 0)
        start_close (call);
      else
        ent_call_free (call);
    }
}

/* Writes or buffers TEXT, and counts what is buffered.  */
static void
write_text (ent_call_t *call, const GString *text)
{
  size_t before = con_get_unsent_bytes (call->con);

  con_write (call->con, text->str, text->len);
  call->ent->unsent_total += con_get_unsent_bytes (call->con) - before;
}

/* Returns for how many milliseconds a connection may stay idle.  Above half of
   the connection limit the time shrinks, down to MIN_IDLE_MS at the limit:
   clients that open a new connection for each attempt would otherwise use up
   all descriptors, and no other client could connect.  */
static int64_t
get_idle_limit_ms (const ent_t *ent)
{
  double limit = ent->limits.connections;
  double max_idle_ms = ent->limits.idle_ms > 0 ? (double)ent->limits.idle_ms
                                               : DEFAULT_IDLE_MS;
  double free_share;

  if (limit <= 0.)
    return (int64_t)max_idle_ms;
  free_share = CLAMP (2. * (1. - ent->count / limit), 0., 1.);
  return (int64_t)MAX (max_idle_ms * free_share, MIN_IDLE_MS);
}

static void
enforce_timeouts (ent_call_t *call, cfd_time_t now, int64_t idle_ms)
{
  const ent_limits_t *limits = &call->ent->limits;
  int64_t in_state = now - call->state_since;
  bool has_unsent = con_get_unsent_bytes (call->con) > 0;

  switch (call->state)
    {
    case ENT_IDLE:
      /* It becomes idle once the last response is written.  */
      if (has_unsent)
        call->state_since = now;
      else if (in_state > idle_ms)
        ent_call_free (call);
      break;
    case ENT_READING:
      if (ent_is_body_overdue (call, now))
        ent_refuse_body (call, now);
      else if (!call->head_done && limits->head_ms > 0
               && in_state > limits->head_ms)
        ent_reject_request (call, 408);
      else if (limits->idle_ms > 0 && in_state > limits->idle_ms)
        ent_reject_request (call, 408);
      break;
    case ENT_CLOSING:
      if (has_unsent)
        call->state_since = now;
      else if (now - MAX (call->state_since, call->input_at) > LINGER_MS
               || in_state > MAX_LINGER_MS)
        ent_call_free (call);
      break;
    case ENT_SERVING:
      break;
    }
}

void
ent_tick (ent_t *ent, cfd_time_t now)
{
  int64_t idle_ms = get_idle_limit_ms (ent);

  if (now - ent->checked_at < TIMEOUT_CHECK_INTERVAL_MS)
    return;
  ent->checked_at = now;
  ent_check_unsent (ent, now);
  ent_check_heads (ent);
  list_for_each_safe (node, &ent->calls)
    {
      enforce_timeouts (list_entry (node, ent_call_t, node), now, idle_ms);
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
  return rd_get_head (call->rd);
}

const GByteArray *
ent_get_body (const ent_call_t *call)
{
  return call->body;
}

cfd_time_t
ent_get_start_time (const ent_call_t *call)
{
  return call->started;
}

cfd_time_t
ent_get_receive_time (const ent_call_t *call)
{
  return call->received;
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
  return !call->reusable || call->ent->draining;
}

/* Marks the connection as one of those that may be closed.  While input is
   being parsed, a further request may follow in it.  */
static void
use_allowed_close (ent_call_t *call)
{
  ent_t *ent = call->ent;

  if (ent->closes_left == 0 || will_close (call) || call->parsing
      || call->pipelined->len > 0)
    return;
  ent->closes_left--;
  ent->closes++;
  call->reusable = false;
}

static GString *
build_head (ent_call_t *call, unsigned status, const char *fields)
{
  GString *text = g_string_sized_new (512);

  use_allowed_close (call);
  g_string_append_printf (text, "HTTP/1.1 %u %s\r\n", status,
                          http_status_str (status));
  if (fields != NULL)
    g_string_append (text, fields);
  if (will_close (call))
    hdr_append_line (text, "Connection", "close");
  return text;
}

/* Empties the request's body.  An idle connection keeps no memory of a large
   one.  */
static void
reset_body (ent_call_t *call)
{
  if (call->body->len <= ENT_MAX_KEPT_BODY_BYTES)
    {
      g_byte_array_set_size (call->body, 0);
      return;
    }
  g_byte_array_unref (call->body);
  call->body = g_byte_array_new ();
}

/* Prepares the connection for its next request, or closes it.  */
static void
finish_call (ent_call_t *call)
{
  g_autoptr (GByteArray) pipelined = NULL;

  call->data = NULL;
  ent_release_body (call);
  reset_body (call);
  if (will_close (call))
    {
      start_close (call);
      return;
    }
  rd_reset (call->rd);
  call->head_done = false;
  call->is_head = false;
  call->too_large = false;
  set_state (call, ENT_IDLE);
  if (call->pipelined->len == 0)
    return;
  pipelined = g_steal_pointer (&call->pipelined);
  call->pipelined = g_byte_array_new ();
  con_set_read_paused (call->con, false);
  if (call->parsing)
    /* The response was sent while its request was being parsed; the bytes that
       follow are parsed when that returns.  */
    g_byte_array_append (call->pipelined, pipelined->data, pipelined->len);
  else
    on_bytes (call, (const char *)pipelined->data, pipelined->len);
}

void
ent_close_after (ent_call_t *call)
{
  call->reusable = false;
}

void
ent_respond (ent_call_t *call, unsigned status, const char *fields,
             const void *body, size_t length)
{
  g_autoptr (GString) text = build_head (call, status, fields);

  g_string_append_printf (text, "Content-Length: %zu\r\n\r\n", length);
  if (length > 0 && !call->is_head)
    g_string_append_len (text, body, (gssize)length);
  write_text (call, text);
  finish_call (call);
}

void
ent_begin_response (ent_call_t *call, unsigned status, const char *fields,
                    int64_t length)
{
  GString *text = build_head (call, status, fields);

  call->chunked = length < 0;
  if (call->chunked && rd_get_head (call->rd)->is_http10)
    {
      call->head = text;
      call->collected = g_string_new (NULL);
      return;
    }
  if (call->chunked)
    hdr_append_line (text, "Transfer-Encoding", "chunked");
  else
    g_string_append_printf (text, "Content-Length: %" G_GINT64_FORMAT "\r\n",
                            length);
  g_string_append (text, "\r\n");
  call->head = text;
}

static void
append_body (const ent_call_t *call, GString *text, const void *bytes,
             size_t length)
{
  if (length == 0 || call->is_head)
    return;
  if (call->chunked)
    g_string_append_printf (text, "%zx\r\n", length);
  g_string_append_len (text, bytes, (gssize)length);
  if (call->chunked)
    g_string_append_len (text, "\r\n", 2);
}

/* Returns the head if it was not written yet, or an empty text.  */
static GString *
take_head (ent_call_t *call)
{
  return call->head != NULL ? g_steal_pointer (&call->head)
                            : g_string_sized_new (512);
}

/* Adds BYTES to the response that is collected.  A larger one than the limit
   is not sent.  */
static void
collect_body (ent_call_t *call, const void *bytes, size_t length)
{
  if (call->collected->len <= MAX_COLLECTED_BYTES)
    g_string_append_len (call->collected, bytes, (gssize)length);
}

/* Sends the collected response.  */
static void
finish_collected (ent_call_t *call)
{
  g_autoptr (GString) body = g_steal_pointer (&call->collected);
  g_autoptr (GString) text = take_head (call);

  if (body->len > MAX_COLLECTED_BYTES)
    {
      ent_respond (call, 502, NULL, NULL, 0);
      return;
    }
  g_string_append_printf (text, "Content-Length: %zu\r\n\r\n", body->len);
  if (!call->is_head)
    g_string_append_len (text, body->str, (gssize)body->len);
  write_text (call, text);
  finish_call (call);
}

void
ent_send_body (ent_call_t *call, const void *bytes, size_t length)
{
  g_autoptr (GString) text = NULL;

  if (length == 0)
    return;
  if (call->collected != NULL)
    {
      collect_body (call, bytes, length);
      return;
    }
  text = take_head (call);
  append_body (call, text, bytes, length);
  write_text (call, text);
}

void
ent_finish_response (ent_call_t *call, const void *bytes, size_t length)
{
  g_autoptr (GString) text = NULL;

  if (call->collected != NULL)
    {
      collect_body (call, bytes, length);
      finish_collected (call);
      return;
    }
  text = take_head (call);
  append_body (call, text, bytes, length);
  if (call->chunked && !call->is_head)
    g_string_append (text, "0\r\n\r\n");
  write_text (call, text);
  finish_call (call);
}

void
ent_abort (ent_call_t *call)
{
  if (call->collected != NULL)
    {
      g_string_free (g_steal_pointer (&call->collected), TRUE);
      g_string_free (g_steal_pointer (&call->head), TRUE);
      ent_respond (call, 502, NULL, NULL, 0);
      return;
    }
  ent_call_free (call);
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
