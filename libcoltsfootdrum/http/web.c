#include "http/web-private.h"

#include "base/addr.h"
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTION_MEMORY (32u * 1024)
#define RETRY_ROOM_S 2
/* Unanswered keep-alive probes that end a connection.  */
#define PROBES 3

static void
request_free (web_request_t *request)
{
  list_remove (&request->node);
  request->server->bodies -= request->reserved;
  if (request->handed)
    request->server->active--;
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
  if (!request->connection && !request->owned)
    request_free (request);
}

/* MHD acts on a resume only when it next runs, and does not wake an outside
   loop.  Never run it here: this may be inside one of its callbacks.  */
static void
resume (web_request_t *request)
{
  web_server_t *server = request->server;

  request->suspended = false;
  MHD_resume_connection (request->connection);
  ev_feed_event (server->loop, &server->readable, EV_READ);
}

/* MHD does not watch a suspended connection, so that a caller who leaves
   would go unseen and its work go on: watch the socket here meanwhile.  */
static void
on_peek (struct ev_loop *loop, ev_io *watcher, int events)
{
  web_request_t *request = watcher->data;
  char byte;
  ssize_t got = recv (watcher->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  ev_io_stop (loop, watcher);
  if (got > 0)
    return; /* a pipelined request: its close shows when we write */
  request->gone = true;
  resume (request);
}

void
web_suspend (web_request_t *request)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  request->suspended = true;
  MHD_suspend_connection (request->connection);
  ev_io_init (&request->peek, on_peek, info->connect_fd, EV_READ);
  request->peek.data = request;
  ev_io_start (request->server->loop, &request->peek);
}

void
web_resume (web_request_t *request)
{
  if (!request->suspended)
    return;
  ev_io_stop (request->server->loop, &request->peek);
  resume (request);
}

/* MHD takes a response inside its access callback only.  */
static enum MHD_Result
queue_response (web_request_t *request)
{
  request->queued = true;
  if (request->server->quiesced)
    MHD_add_response_header (request->response, MHD_HTTP_HEADER_CONNECTION,
                             "close");
  return MHD_queue_response (request->connection, request->status,
                             request->response);
}

static void
hand_over (web_request_t *request)
{
  request->handed = true;
  request->owned = true;
  request->server->active++;
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
refuse_no_room (web_request_t *request)
{
  web_respond_problem (
      request, MHD_HTTP_SERVICE_UNAVAILABLE, "No room",
      "Too many large requests are held here; ask again later.", "not-run",
      RETRY_ROOM_S);
}

/* Many large bodies at once, from one client account perhaps, must not take
   the memory of the whole instance.  */
static bool
reserve (web_request_t *request, size_t length)
{
  web_server_t *server = request->server;

  if (length > server->bodies_max
      || server->bodies > server->bodies_max - length)
    {
      request->no_room = true;
      return false;
    }
  server->bodies += length;
  request->reserved += length;
  return true;
}

static enum MHD_Result
on_upload (web_request_t *request, const char *data, size_t *length)
{
  size_t max = request->server->limits.max_body_bytes;
  size_t needed = request->body->len + *length;

  /* A chunked body names no length beforehand: drop what is over the limit,
     and close on a caller who sends far more.  */
  if (needed > max || request->no_room
      || (needed > request->reserved
          && !reserve (request, needed - request->reserved)))
    {
      request->too_large = true;
      g_byte_array_set_size (request->body, 0);
      request->dropped += *length;
      *length = 0;
      return request->dropped > max ? MHD_NO : MHD_YES;
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
  else if (!reserve (request, length))
    refuse_no_room (request);
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
  if (request->gone)
    return MHD_NO;
  if (!request->handed && request->no_room)
    refuse_no_room (request);
  else if (!request->handed && request->too_large)
    refuse_too_large (request);
  else if (!request->handed)
    hand_over (request);
  if (request->response)
    return queue_response (request);
  web_suspend (request);
  return MHD_YES;
}

/* A caller whose connection has gone silent for good, with nothing on its way
   back, would otherwise hold its request for hours: unanswered bytes and,
   while nothing is sent, unanswered probes end the connection.  */
static void
on_connection (void *user, struct MHD_Connection *connection, void **state,
               enum MHD_ConnectionNotificationCode code)
{
  const web_server_t *server = user;
  const int timeout_ms = (int)server->limits.idle_timeout_s * 1000;
  const int probe_s
      = MAX (1, (int)server->limits.idle_timeout_s / (PROBES + 1));
  const int probes = PROBES;
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

/* The first call for a request, before its headers are read: the only place
   where MHD gives the target as it was sent.  */
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
  if (request->suspended)
    ev_io_stop (request->server->loop, &request->peek);
  request->suspended = false;
  request->connection = NULL;
  /* A stream that MHD ended early as it should (an answer to HEAD) stays the
     owner's, who may go on writing to nowhere.  */
  if (request->owned && request->closed
      && code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    {
      request->owned = false;
      request->closed (request->closed_user);
    }
  web_free_if_done (request);
}

static void
run (web_server_t *server)
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
  run (watcher->data);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  run (watcher->data);
}

static struct MHD_Daemon *
start_daemon (web_server_t *server, int fd)
{
  return MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access,
      server, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
      server->limits.connections, MHD_OPTION_CONNECTION_TIMEOUT,
      server->limits.idle_timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
      server, MHD_OPTION_URI_LOG_CALLBACK, on_target, server,
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
  server->bodies_max = SIZE_MAX;
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
  server->bodies_max = bytes;
}

void
web_server_quiesce (web_server_t *server)
{
  int fd;

  if (server->quiesced)
    return;
  /* Take in the connections that the kernel has accepted already: closing the
     socket would reset them.  */
  run (server);
  server->quiesced = true;
  fd = MHD_quiesce_daemon (server->daemon);
  if (fd >= 0)
    close (fd);
}

void
web_server_free (web_server_t *server)
{
  if (!server)
    return;
  /* MHD must not be stopped with suspended connections.  */
  list_for_each (node, &server->requests)
    {
      web_request_t *request = list_entry (node, web_request_t, node);

      request->gone = true;
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
  return server->active;
}
