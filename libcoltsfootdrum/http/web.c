#include "http/web-private.h"

#include "base/addr.h"
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTION_MEMORY_BYTES (32u * 1024)
#define MEMORY_RETRY_AFTER_S 2
/* Unanswered keep-alive probes after which a connection is closed.  */
#define KEEPALIVE_PROBES 3

static void
request_free (web_request_t *request)
{
  list_remove (&request->node);
  request->server->reserved_bytes_total -= request->reserved_bytes;
  if (request->was_handled)
    request->server->active_requests--;
  if (request->response)
    MHD_destroy_response (request->response);
  if (request->buffer)
    g_byte_array_unref (request->buffer);
  if (request->body)
    g_byte_array_unref (request->body);
  g_free (request->method);
  g_free (request->target);
  g_free (request->header_name);
  g_free (request->header_value);
  g_free (request->path);
  g_free (request);
}

void
web_free_if_done (web_request_t *request)
{
  if (!request->connection && !request->has_owner)
    request_free (request);
}

/* MHD handles a resume when it next runs, but doesn't wake an external event
   loop.  MHD must not be run here, because this may be called from one of its
   callbacks.  */
static void
resume_connection (web_request_t *request)
{
  web_server_t *server = request->server;

  request->is_suspended = false;
  MHD_resume_connection (request->connection);
  ev_feed_event (server->loop, &server->readable, EV_READ);
}

/* MHD doesn't watch a suspended connection, so that a caller's disconnect
   would not be detected and its work would go on.  The socket is watched here
   instead.  */
static void
on_suspended_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  web_request_t *request = watcher->data;
  char byte;
  ssize_t got = recv (watcher->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  ev_io_stop (loop, watcher);
  if (got > 0)
    return; /* a pipelined request; a later write detects a disconnect */
  request->is_disconnected = true;
  resume_connection (request);
}

void
web_suspend (web_request_t *request)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  request->is_suspended = true;
  MHD_suspend_connection (request->connection);
  ev_io_init (&request->close_watcher, on_suspended_readable, info->connect_fd,
              EV_READ);
  request->close_watcher.data = request;
  ev_io_start (request->server->loop, &request->close_watcher);
}

void
web_resume (web_request_t *request)
{
  if (!request->is_suspended)
    return;
  ev_io_stop (request->server->loop, &request->close_watcher);
  resume_connection (request);
}

/* MHD accepts a response only inside its access callback.  */
static enum MHD_Result
queue_response (web_request_t *request)
{
  request->is_response_queued = true;
  if (request->server->is_quiesced)
    MHD_add_response_header (request->response, MHD_HTTP_HEADER_CONNECTION,
                             "close");
  return MHD_queue_response (request->connection, request->status,
                             request->response);
}

static void
call_handler (web_request_t *request)
{
  request->was_handled = true;
  request->has_owner = true;
  request->server->active_requests++;
  g_byte_array_append (request->body, (const guint8 *)"", 1);
  g_byte_array_set_size (request->body, request->body->len - 1);
  request->server->handler (request->server->user, request);
}

static void
refuse_too_large (web_request_t *request)
{
  web_respond_problem (
      request, MHD_HTTP_CONTENT_TOO_LARGE, "Request too large",
      "The body is over the limit; send a smaller one.", "not-run", -1);
}

static void
refuse_over_memory_limit (web_request_t *request)
{
  web_respond_problem (
      request, MHD_HTTP_SERVICE_UNAVAILABLE, "No room",
      "Too many large requests are held here; ask again later.", "not-run",
      MEMORY_RETRY_AFTER_S);
}

/* Many large bodies at once, perhaps from one client account, must not exhaust
   the memory of the whole instance.  */
static bool
reserve_body_bytes (web_request_t *request, size_t length)
{
  web_server_t *server = request->server;

  if (length > server->max_body_bytes_total
      || server->reserved_bytes_total > server->max_body_bytes_total - length)
    {
      request->over_memory_limit = true;
      return false;
    }
  server->reserved_bytes_total += length;
  request->reserved_bytes += length;
  return true;
}

static enum MHD_Result
on_upload (web_request_t *request, const char *data, size_t *length)
{
  size_t max = request->server->limits.max_body_bytes;
  size_t needed = request->body->len + *length;

  /* The length of a chunked body isn't known in advance: drop a body over the
     limit, and close the connection if the caller keeps sending.  */
  if (needed > max || request->over_memory_limit
      || (needed > request->reserved_bytes
          && !reserve_body_bytes (request, needed - request->reserved_bytes)))
    {
      request->too_large = true;
      g_byte_array_set_size (request->body, 0);
      request->dropped_bytes += *length;
      *length = 0;
      return request->dropped_bytes > max ? MHD_NO : MHD_YES;
    }
  g_byte_array_append (request->body, (const guint8 *)data, *length);
  *length = 0;
  return MHD_YES;
}

static enum MHD_Result
on_headers (web_request_t *request, struct MHD_Connection *connection,
            const char *method, const char *version)
{
  const char *text = MHD_lookup_connection_value (
      connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  guint64 length = text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;

  request->connection = connection;
  request->method = g_strdup (method);
  request->http10 = strcmp (version, MHD_HTTP_VERSION_1_0) == 0;
  request->body = g_byte_array_new ();
  if (length > request->server->limits.max_body_bytes)
    refuse_too_large (request);
  else if (!reserve_body_bytes (request, length))
    refuse_over_memory_limit (request);
  else
    return MHD_YES;
  return queue_response (request);
}

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *length, void **state)
{
  web_request_t *request = *state;

  if (!request->method)
    return on_headers (request, connection, method, version);
  if (*length > 0)
    return on_upload (request, data, length);
  if (request->is_disconnected)
    return MHD_NO;
  if (!request->was_handled && request->over_memory_limit)
    refuse_over_memory_limit (request);
  else if (!request->was_handled && request->too_large)
    refuse_too_large (request);
  else if (!request->was_handled)
    call_handler (request);
  if (request->response)
    return queue_response (request);
  web_suspend (request);
  return MHD_YES;
}

/* A caller whose connection died without a reset would otherwise occupy its
   request for hours.  Unacknowledged data and, while nothing is sent,
   unanswered keep-alive probes close the connection.  */
static void
on_connection (void *user, struct MHD_Connection *connection, void **state,
               enum MHD_ConnectionNotificationCode code)
{
  const web_server_t *server = user;
  const int timeout_ms = (int)server->limits.idle_timeout_s * 1000;
  const int probe_s
      = MAX (1, (int)server->limits.idle_timeout_s / (KEEPALIVE_PROBES + 1));
  const int probes = KEEPALIVE_PROBES;
  const int yes = 1;
  int fd;

  if (code != MHD_CONNECTION_NOTIFY_STARTED)
    return;
  fd = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
           ->connect_fd;
  (void)setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                    sizeof timeout_ms);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_s, sizeof probe_s);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s, sizeof probe_s);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  (void)setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &yes, sizeof yes);
}

/* MHD's first callback for a request, before it reads the headers, and the
   only one that receives the target as it was sent.  */
static void *
on_target (void *user, const char *uri, struct MHD_Connection *connection)
{
  web_server_t *server = user;
  web_request_t *request = g_new0 (web_request_t, 1);

  request->server = server;
  request->connection = connection;
  request->target = g_strdup (uri);
  request->path = g_strndup (uri, strcspn (uri, "?"));
  list_init (&request->node);
  list_append (&server->requests, &request->node);
  return request;
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  web_request_t *request = *state;

  if (!request)
    return;
  *state = NULL;
  if (request->is_suspended)
    ev_io_stop (request->server->loop, &request->close_watcher);
  request->is_suspended = false;
  request->connection = NULL;
  /* When MHD rightly ends a stream early (a response to HEAD), the owner keeps
     the request and may go on writing; the data is discarded.  */
  if (request->has_owner && request->on_closed
      && code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    {
      request->has_owner = false;
      request->on_closed (request->on_closed_user);
    }
  web_free_if_done (request);
}

static void
run_daemon (web_server_t *server)
{
  MHD_UNSIGNED_LONG_LONG wait_ms;

  MHD_run (server->daemon);
  ev_timer_stop (server->loop, &server->timeout);
  if (MHD_get_timeout (server->daemon, &wait_ms) != MHD_YES)
    return;
  ev_timer_set (&server->timeout, (double)wait_ms / 1000, 0);
  ev_timer_start (server->loop, &server->timeout);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  run_daemon (watcher->data);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  run_daemon (watcher->data);
}

static struct MHD_Daemon *
start_daemon (web_server_t *server, int fd)
{
  return MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access,
      server, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
      server->limits.connections, MHD_OPTION_CONNECTION_TIMEOUT,
      server->limits.idle_timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, server, MHD_OPTION_URI_LOG_CALLBACK, on_target, server,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
}

web_server_t *
web_server_new (struct ev_loop *loop, const char *address,
                const web_limits_t *limits, web_handler_t handler, void *user,
                GError **error)
{
  web_server_t *server;
  int fd = addr_listen (address, error);

  if (fd < 0)
    return NULL;
  server = g_new0 (web_server_t, 1);
  server->loop = loop;
  server->limits = *limits;
  server->max_body_bytes_total = SIZE_MAX;
  server->handler = handler;
  server->user = user;
  list_init (&server->requests);
  server->daemon = start_daemon (server, fd);
  if (!server->daemon)
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_LIMIT,
                   "the HTTP server for %s did not start; check the limits "
                   "of open files",
                   address);
      close (fd);
      g_free (server);
      return NULL;
    }
  ev_io_init (
      &server->readable, on_readable,
      MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd,
      EV_READ);
  server->readable.data = server;
  ev_io_start (loop, &server->readable);
  ev_timer_init (&server->timeout, on_timeout, 0, 0);
  server->timeout.data = server;
  return server;
}

void
web_server_set_max_total_body_bytes (web_server_t *server, size_t bytes)
{
  server->max_body_bytes_total = bytes;
}

void
web_server_quiesce (web_server_t *server)
{
  int fd;

  if (server->is_quiesced)
    return;
  /* Accept the connections that are in the kernel's backlog: closing the
     listening socket would reset them.  */
  run_daemon (server);
  server->is_quiesced = true;
  fd = MHD_quiesce_daemon (server->daemon);
  if (fd >= 0)
    close (fd);
}

void
web_server_free (web_server_t *server)
{
  if (!server)
    return;
  /* MHD must not be stopped while connections are suspended.  */
  list_for_each (node, &server->requests)
    {
      web_request_t *request = list_entry (node, web_request_t, node);

      request->is_disconnected = true;
      web_resume (request);
    }
  MHD_stop_daemon (server->daemon);
  list_for_each_safe (node, &server->requests)
    request_free (list_entry (node, web_request_t, node));
  ev_io_stop (server->loop, &server->readable);
  ev_timer_stop (server->loop, &server->timeout);
  g_free (server);
}

unsigned
web_server_count_active (const web_server_t *server)
{
  return server->active_requests;
}
