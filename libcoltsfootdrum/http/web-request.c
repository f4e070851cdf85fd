#include "http/web-private.h"

const char *
web_get_method (const web_request_t *request)
{
  return request->method;
}

const char *
web_get_target (const web_request_t *request)
{
  return request->target;
}

const char *
web_get_path (const web_request_t *request)
{
  return request->path;
}

const char *
web_get_query (const web_request_t *request, const char *name)
{
  if (!request->connection)
    return NULL;
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

const char *
web_get_header (const web_request_t *request, const char *name)
{
  if (!request->connection)
    return NULL;
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

typedef struct
{
  void (*visit) (void *user, const char *name, const char *value);
  void *user;
} visit_t;

static enum MHD_Result
visit_header (void *user, enum MHD_ValueKind kind, const char *name,
              const char *value)
{
  visit_t *visit = user;

  visit->visit (visit->user, name, value ? value : "");
  return MHD_YES;
}

void
web_foreach_header (const web_request_t *request,
                    void (*visit) (void *user, const char *name,
                                   const char *value),
                    void *user)
{
  visit_t all = { visit, user };

  if (request->connection)
    MHD_get_connection_values (request->connection, MHD_HEADER_KIND,
                               visit_header, &all);
}

const char *
web_get_body (const web_request_t *request, size_t *length)
{
  *length = request->body->len;
  return (const char *)request->body->data;
}

GBytes *
web_take_body (web_request_t *request)
{
  GByteArray *body = request->body;

  request->body = g_byte_array_new ();
  return g_byte_array_free_to_bytes (body);
}

void
web_set_on_closed (web_request_t *request, void (*closed) (void *user),
                   void *user)
{
  request->closed = closed;
  request->closed_user = user;
}
