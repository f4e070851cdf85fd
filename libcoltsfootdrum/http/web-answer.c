#include "http/web-private.h"

#include <json-glib/json-glib.h>
#include <string.h>
#include <sys/socket.h>

#define STREAM_BLOCK_BYTES (16u * 1024)
/* A sender with working flow control doesn't reach this limit; beyond it the
   stream is aborted, so that a faulty sender can't exhaust the memory.  */
#define MAX_STREAM_BUFFER_BYTES (4u * 1024 * 1024)

/* Returns whether MHD generates HEADER itself.  A stream's Content-Length is
   passed to MHD by get_stream_size.  */
static bool
is_framing_header (const char *header)
{
  static const char *const framing[] = {
    "Content-Length:", "Transfer-Encoding:", "Connection:", "Keep-Alive:", NULL
  };

  for (const char *const *name = framing; *name; name++)
    if (g_ascii_strncasecmp (header, *name, strlen (*name)) == 0)
      return true;
  return false;
}

static void
add_headers (struct MHD_Response *response, const char *const *headers)
{
  for (; headers && *headers; headers++)
    {
      const char *colon = strchr (*headers, ':');
      g_autofree char *name = NULL;
      g_autofree char *value = NULL;

      if (!colon || is_framing_header (*headers))
        continue;
      name = g_strndup (*headers, colon - *headers);
      value = g_strstrip (g_strdup (colon + 1));
      MHD_add_response_header (response, name, value);
    }
}

void
web_set_response_header (web_request_t *request, const char *name,
                         const char *value)
{
  g_free (request->header_name);
  g_free (request->header_value);
  request->header_name = g_strdup (name);
  request->header_value = g_strdup (value);
}

const char *
web_get_response_header (const web_request_t *request)
{
  return request->header_value;
}

static void
replace_header (const web_request_t *request, struct MHD_Response *response)
{
  const char *old;

  if (request->header_name == NULL)
    return;
  while ((old = MHD_get_response_header (response, request->header_name)))
    MHD_del_response_header (response, request->header_name, old);
  MHD_add_response_header (response, request->header_name,
                           request->header_value);
}

static void
set_response (web_request_t *request, unsigned status,
              struct MHD_Response *response)
{
  replace_header (request, response);
  request->status = status;
  request->response = response;
  if (request->connection)
    web_resume (request);
}

void
web_respond (web_request_t *request, unsigned status, const char *content_type,
             const char *const *headers, const void *body, size_t length)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      length, (void *)body, MHD_RESPMEM_MUST_COPY);

  if (content_type)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                             content_type);
  add_headers (response, headers);
  request->has_owner = false;
  request->on_closed = NULL;
  set_response (request, status, response);
  web_free_if_done (request);
}

void
web_respond_problem (web_request_t *request, unsigned status,
                     const char *title, const char *detail, const char *run,
                     int retry_after_s)
{
  g_autoptr (JsonNode) root = json_node_new (JSON_NODE_OBJECT);
  JsonObject *problem = json_object_new ();
  g_autofree char *retry = g_strdup_printf ("Retry-After: %d", retry_after_s);
  const char *const headers[] = { retry_after_s >= 0 ? retry : NULL, NULL };
  g_autofree char *text = NULL;

  json_object_set_string_member (problem, "type", "about:blank");
  json_object_set_string_member (problem, "title", title);
  json_object_set_int_member (problem, "status", status);
  json_object_set_string_member (problem, "detail", detail);
  json_object_set_string_member (problem, "run", run);
  json_node_take_object (root, problem);
  text = json_to_string (root, false);
  web_respond (request, status, "application/problem+json", headers, text,
               strlen (text));
}

static void
report_drained (web_request_t *request, size_t length)
{
  request->sent_bytes += length;
  if (request->on_drained && !request->stream_ended)
    request->on_drained (request->on_drained_user, request->sent_bytes);
}

static size_t
get_buffered_bytes (const web_request_t *request)
{
  return request->buffer->len - request->buffer_offset;
}

static ssize_t
finish_stream (const web_request_t *request)
{
  struct sockaddr none = { .sa_family = AF_UNSPEC };
  const union MHD_ConnectionInfo *info;

  if (request->is_complete && !request->is_disconnected)
    return MHD_CONTENT_READER_END_OF_STREAM;
  /* A body of HTTP/1.0 ends with the connection, so that only a reset shows
     that it is incomplete.  MHD would shut the socket down gracefully;
     connecting it to AF_UNSPEC resets it first.  */
  if (request->http10)
    {
      info = MHD_get_connection_info (request->connection,
                                      MHD_CONNECTION_INFO_CONNECTION_FD);
      (void)connect (info->connect_fd, &none, sizeof none);
    }
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

/* Moves the unread part of the buffer to its front once half of it has been
   read.  */
static void
compact_buffer (web_request_t *request)
{
  if (request->buffer_offset * 2 < request->buffer->len)
    return;
  g_byte_array_remove_range (request->buffer, 0, request->buffer_offset);
  request->buffer_offset = 0;
}

static ssize_t
on_read (void *user, uint64_t position, char *out, size_t max)
{
  web_request_t *request = user;
  size_t length = MIN (get_buffered_bytes (request), max);

  if (request->is_disconnected)
    return finish_stream (request);
  if (length == 0 && request->stream_ended)
    return finish_stream (request);
  if (length == 0)
    {
      web_suspend (request);
      return 0;
    }
  memcpy (out, request->buffer->data + request->buffer_offset, length);
  request->buffer_offset += length;
  compact_buffer (request);
  report_drained (request, length);
  return (ssize_t)length;
}

static uint64_t
get_stream_size (const char *const *headers)
{
  static const char name[] = "Content-Length:";

  for (; headers && *headers; headers++)
    if (g_ascii_strncasecmp (*headers, name, sizeof name - 1) == 0)
      return g_ascii_strtoull (*headers + sizeof name - 1, NULL, 10);
  return MHD_SIZE_UNKNOWN;
}

/* Creates the response of REQUEST, whose body is read from its buffer.  */
static struct MHD_Response *
create_stream_response (web_request_t *request, const char *const *headers)
{
  uint64_t size = get_stream_size (headers);
  struct MHD_Response *response = MHD_create_response_from_callback (
      size, STREAM_BLOCK_BYTES, on_read, request, NULL);

  /* MHD would send the last chunk although a response to HEAD has no body.  */
  if (size == MHD_SIZE_UNKNOWN
      && strcmp (request->method, MHD_HTTP_METHOD_HEAD) == 0)
    MHD_set_response_options (response, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
                              MHD_RO_END);
  return response;
}

void
web_stream_begin (web_request_t *request, unsigned status,
                  const char *const *headers,
                  void (*on_drained) (void *user, uint64_t sent_bytes),
                  void *user)
{
  struct MHD_Response *response = create_stream_response (request, headers);

  request->buffer = g_byte_array_new ();
  request->on_drained = on_drained;
  request->on_drained_user = user;
  add_headers (response, headers);
  set_response (request, status, response);
}

void
web_stream_write (web_request_t *request, const void *bytes, size_t length)
{
  if (!request->connection)
    {
      report_drained (request, length);
      return;
    }
  if (get_buffered_bytes (request) + length > MAX_STREAM_BUFFER_BYTES)
    request->is_disconnected = true;
  else
    g_byte_array_append (request->buffer, bytes, length);
  web_resume (request);
}

void
web_stream_end (web_request_t *request, bool is_complete)
{
  request->stream_ended = true;
  request->is_complete = is_complete;
  request->has_owner = false;
  request->on_closed = NULL;
  if (request->connection)
    web_resume (request);
  web_free_if_done (request);
}
