/* Upstream: connections to one endpoint.  */

#include "relay/ups.h"

#include "base/list.h"
#include "base/log.h"
#include "relay/con.h"
#include <stdlib.h>
#include <string.h>

/* Limit of a response's head: endpoints send few header fields.  */
#define MAX_HEAD_BYTES 32768
/* Most bytes of late responses to earlier requests, with their heads, that are
   skipped before a response: two of the largest plain answers.  */
#define MAX_STALE_BYTES 16777216u
/* Idle time of connections to an endpoint that announces no Keep-Alive
   timeout. Servers commonly close idle connections after 5 s or later.  A
   request that is sent while the endpoint closes its connection has an unknown
   outcome.  */
#define DEFAULT_IDLE_MS 3500
/* Longest that an endpoint's answer can make it.  */
#define MAX_IDLE_S 3600
/* Subtracted from an announced timeout, to allow for the network delay.  */
#define IDLE_MARGIN_MS 900

struct ups
{
  struct ev_loop *loop;
  addr_t addr;
  list_node_t idle; /* ups_connection_t, the most recently used first */
  list_node_t used;
  unsigned connection_count;
  uint64_t connects;
  bool is_refused;                                 /* see ups_is_refused */
  void (*on_closed) (void *user, int64_t idle_ms); /* may be NULL */
  void *closed_user;
};

typedef struct
{
  list_node_t node;
  ups_t *ups;
  con_t *con;
  rd_t *rd;
  ups_exchange_t *exchange; /* NULL when idle */
  cfd_time_t opened_at;
  cfd_time_t idle_since;
  int64_t max_idle_ms; /* from the last response */
  bool stale_response; /* the response being read is to another request */
  /* A request without an id was the last one on it: a response without an id
     may be a late copy of the response to that.  */
  bool may_repeat_anonymous;
  size_t stale_bytes; /* of such responses, since the last request */
  bool in_callback;   /* freeing is deferred */
  bool free_pending;
  bool aborted;     /* its request was cancelled */
  bool peer_closed; /* the request is still being written */
} ups_connection_t;

struct ups_exchange
{
  ups_connection_t *connection;
  ups_ops_t ops;
  void *user;
  char *id_field;
  char *id; /* empty: none */
  bool no_body;
  bool response_started; /* the head was received */
};

static void
connection_free (ups_connection_t *connection)
{
  if (connection->in_callback)
    {
      connection->free_pending = true;
      return;
    }
  list_remove (&connection->node);
  connection->ups->connection_count--;
  if (connection->aborted)
    con_abort (connection->con);
  else
    con_free (connection->con);
  rd_free (connection->rd);
  g_free (connection);
}

static void
exchange_free (ups_exchange_t *exchange)
{
  g_free (exchange->id_field);
  g_free (exchange->id);
  g_free (exchange);
}

/* Ends the exchange of CONNECTION and notifies its user.  The connection is
   not freed.  */
static void
end_exchange (ups_connection_t *connection, ups_end_t end)
{
  ups_exchange_t *exchange = connection->exchange;

  if (exchange == NULL)
    return;
  connection->exchange = NULL;
  exchange->ops.ended (exchange->user, end);
  exchange_free (exchange);
}

/* Returns the idle time for a Keep-Alive field such as "timeout=5, max=100",
   or the default if there is none.  */
static int64_t
parse_keep_alive (const hdr_t *fields)
{
  const char *text = hdr_get (fields, "Keep-Alive");
  const char *at = text != NULL ? strstr (text, "timeout=") : NULL;
  int64_t seconds;

  if (at == NULL)
    return DEFAULT_IDLE_MS;
  seconds = strtol (at + strlen ("timeout="), NULL, 10);
  seconds = CLAMP (seconds, 0, MAX_IDLE_S);
  return MAX (seconds * 1000 - IDLE_MARGIN_MS, 0);
}

typedef enum
{
  MATCH_OWN,    /* the response is to this exchange's request */
  MATCH_OTHER,  /* to an earlier request on the connection */
  MATCH_UNKNOWN /* nothing shows to which request */
} match_t;

/* Returns to which request a response with ID belongs; NULL: it has none.  A
   request without an id doesn't follow another one on a connection, unless it
   may get a copy, so that a response without one is to that request.  */
static match_t
match_response (const ups_connection_t *connection, const char *id)
{
  const char *expected = connection->exchange->id;

  if (id == NULL || *id == '\0')
    {
      if (*expected == '\0')
        return MATCH_OWN;
      return connection->may_repeat_anonymous ? MATCH_OTHER : MATCH_UNKNOWN;
    }
  return strcmp (id, expected) == 0 ? MATCH_OWN : MATCH_OTHER;
}

static bool
on_head (void *user, rd_head_t *head)
{
  ups_connection_t *connection = user;
  ups_exchange_t *exchange = connection->exchange;
  const char *id;
  match_t match;

  if (exchange == NULL)
    return false;
  if (exchange->ops.any_head != NULL)
    exchange->ops.any_head (exchange->user, head);
  id = hdr_get (&head->fields, exchange->id_field);
  match = match_response (connection, id);
  connection->stale_response = match == MATCH_OTHER;
  if (match != MATCH_OWN)
    {
      log_info ("upstream",
                "A response does not belong to the request: request=%s "
                "response=%s status=%u skipped=%d.",
                exchange->id, id != NULL ? id : "", head->status,
                match == MATCH_OTHER);
      return match == MATCH_OTHER;
    }
  connection->max_idle_ms = parse_keep_alive (&head->fields);
  /* A late copy comes before the next response.  */
  connection->may_repeat_anonymous = *exchange->id == '\0';
  exchange->response_started = true;
  exchange->ops.head (exchange->user, head);
  return connection->exchange != NULL;
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  ups_connection_t *connection = user;

  if (connection->exchange != NULL && !connection->stale_response)
    connection->exchange->ops.body (connection->exchange->user, bytes, length);
}

static const rd_ops_t parser_ops = { .head = on_head, .body = on_body };

/* Returns whether the connection can be used for another request: this one was
   written completely, and nothing was received after its response.  */
static bool
is_reusable (ups_connection_t *connection, bool has_excess_bytes)
{
  rd_head_t *head = rd_get_head (connection->rd);

  return !has_excess_bytes && !connection->free_pending && head->keep_alive
         && head->framing != RD_UNTIL_CLOSE
         && con_get_unsent_bytes (connection->con) == 0;
}

static void
finish_response (ups_connection_t *connection, bool has_excess_bytes)
{
  bool reusable = is_reusable (connection, has_excess_bytes);

  rd_reset (connection->rd);
  if (reusable)
    {
      list_remove (&connection->node);
      list_prepend (&connection->ups->idle, &connection->node);
      connection->idle_since = clock_now ();
    }
  else
    connection->free_pending = true;
  end_exchange (connection, UPS_COMPLETE);
}

/* Returns how the exchange of CONNECTION ended, which itself ended by END.  */
static ups_end_t
classify_end (ups_connection_t *connection, con_end_t end)
{
  if (end == CON_END_CONNECT_FAILED)
    return UPS_CONNECT_FAILED;
  if (!connection->exchange->response_started)
    return UPS_NO_RESPONSE;
  if (end == CON_END_RESET)
    return UPS_RESET;
  if (!connection->stale_response && rd_finish (connection->rd) == RD_COMPLETE)
    return UPS_CLOSED;
  return UPS_TRUNCATED;
}

static void
parse_bytes (ups_connection_t *connection, const char *bytes, size_t length)
{
  while (length > 0 && !connection->free_pending)
    {
      size_t used = 0;
      rd_result_t result;

      if (connection->exchange == NULL)
        {
          connection->free_pending = true;
          return;
        }
      result = rd_feed (connection->rd, bytes, length, &used);
      if (connection->exchange == NULL)
        {
          connection->free_pending = true;
          return;
        }
      bytes += used;
      length -= MIN (used, length);
      if (connection->stale_response)
        connection->stale_bytes += used;
      if (connection->stale_bytes > MAX_STALE_BYTES)
        result = RD_TOO_LARGE;
      if (result == RD_INCOMPLETE)
        return;
      if (result != RD_COMPLETE)
        {
          connection->free_pending = true;
          end_exchange (connection, UPS_MALFORMED);
          return;
        }
      if (connection->stale_response)
        {
          connection->stale_response = false;
          rd_reset (connection->rd);
          rd_expect_no_body (connection->rd, connection->exchange->no_body);
          continue;
        }
      finish_response (connection, length > 0);
      return;
    }
}

static void
on_bytes (void *user, const char *bytes, size_t length)
{
  ups_connection_t *connection = user;

  connection->in_callback = true;
  parse_bytes (connection, bytes, length);
  if (connection->exchange != NULL
      && connection->exchange->ops.read_end != NULL)
    connection->exchange->ops.read_end (connection->exchange->user);
  connection->in_callback = false;
  if (connection->free_pending)
    connection_free (connection);
}

/* Returns whether the end of the connection is that of its response, or was
   announced by it.  */
static bool
is_close_expected (const ups_connection_t *connection)
{
  const rd_head_t *head = rd_get_head (connection->rd);

  return connection->exchange != NULL && connection->exchange->response_started
         && (!head->keep_alive || head->framing == RD_UNTIL_CLOSE);
}

/* Returns whether a reset may still show that the response is cut off: it ends
   with its connection, and the endpoint hasn't received all of the request.
   An endpoint that ends such a response in order reads on until then.  */
static bool
may_be_reset (const ups_connection_t *connection)
{
  return connection->exchange != NULL && connection->exchange->response_started
         && !connection->stale_response
         && rd_get_head (connection->rd)->framing == RD_UNTIL_CLOSE
         && !con_is_output_delivered (connection->con);
}

static void
on_ended (void *user, con_end_t end)
{
  ups_connection_t *connection = user;
  ups_t *ups = connection->ups;
  int64_t idle_ms = connection->exchange == NULL
                        ? clock_now () - connection->idle_since
                        : 0;
  bool is_noted = end != CON_END_CONNECT_FAILED && ups->on_closed != NULL
                  && !is_close_expected (connection);

  if (end == CON_END_CLOSED && may_be_reset (connection))
    {
      connection->peer_closed = true;
      con_finish_output (connection->con);
      return;
    }
  connection->in_callback = true;
  ups->is_refused = con_is_refused (connection->con);
  if (connection->exchange != NULL)
    end_exchange (connection, classify_end (connection, end));
  ups->is_refused = false;
  connection->in_callback = false;
  connection_free (connection);
  if (is_noted)
    ups->on_closed (ups->closed_user, idle_ms);
}

static const con_ops_t connection_ops
    = { .bytes = on_bytes, .ended = on_ended };

static ups_connection_t *
connection_new (ups_t *ups, cfd_time_t now)
{
  ups_connection_t *connection = g_new0 (ups_connection_t, 1);

  connection->con
      = con_new_outbound (ups->loop, &ups->addr, &connection_ops, connection);
  if (connection->con == NULL)
    {
      g_free (connection);
      return NULL;
    }
  connection->ups = ups;
  connection->opened_at = now;
  connection->rd
      = rd_new (RD_RESPONSES, MAX_HEAD_BYTES, &parser_ops, connection);
  list_init (&connection->node);
  ups->connection_count++;
  ups->connects++;
  return connection;
}

/* Returns the most recently used idle connection, so that the others reach
   their idle timeout and the pool shrinks to the size that is needed; for an
   request that NEEDS_OWN response and has no id one on which it doesn't follow
   another such request.  */
static ups_connection_t *
find_idle_connection (ups_t *ups, cfd_time_t now, bool needs_own)
{
  list_for_each (node, &ups->idle)
    {
      ups_connection_t *connection = list_entry (node, ups_connection_t, node);

      if (now - connection->idle_since >= connection->max_idle_ms)
        return NULL;
      if (!needs_own || !connection->may_repeat_anonymous)
        return connection;
    }
  return NULL;
}

ups_t *
ups_new (struct ev_loop *loop, const addr_t *addr)
{
  ups_t *ups = g_new0 (ups_t, 1);

  ups->loop = loop;
  ups->addr = *addr;
  list_init (&ups->idle);
  list_init (&ups->used);
  return ups;
}

void
ups_set_closed_callback (ups_t *ups,
                         void (*callback) (void *user, int64_t idle_ms),
                         void *user)
{
  ups->on_closed = callback;
  ups->closed_user = user;
}

static void
free_connections (list_node_t *connections)
{
  list_for_each_safe (node, connections)
    {
      ups_connection_t *connection = list_entry (node, ups_connection_t, node);

      if (connection->exchange != NULL)
        exchange_free (connection->exchange);
      connection->exchange = NULL;
      connection_free (connection);
    }
}

void
ups_free (ups_t *ups)
{
  if (ups == NULL)
    return;
  free_connections (&ups->idle);
  free_connections (&ups->used);
  g_free (ups);
}

ups_exchange_t *
ups_send (ups_t *ups, cfd_time_t now, const ups_request_t *request,
          const ups_ops_t *ops, void *user)
{
  bool anonymous = request->id == NULL || *request->id == '\0';
  ups_connection_t *connection
      = request->new_connection
            ? NULL
            : find_idle_connection (ups, now,
                                    anonymous && !request->may_get_copy);
  ups_exchange_t *exchange;

  if (connection == NULL)
    connection = connection_new (ups, now);
  if (connection == NULL)
    return NULL;
  list_remove (&connection->node);
  list_append (&ups->used, &connection->node);
  exchange = g_new0 (ups_exchange_t, 1);
  exchange->connection = connection;
  exchange->ops = *ops;
  exchange->user = user;
  exchange->id_field = g_strdup (request->id_field);
  exchange->id = g_strdup (anonymous ? "" : request->id);
  exchange->no_body = request->no_body;
  connection->exchange = exchange;
  connection->stale_bytes = 0;
  rd_expect_no_body (connection->rd, request->no_body);
  con_write (connection->con, request->bytes, request->length);
  if (request->shared_body != NULL)
    con_write_shared (connection->con, request->shared_body);
  return exchange;
}

void
ups_cancel (ups_exchange_t *exchange)
{
  ups_connection_t *connection = exchange->connection;

  connection->exchange = NULL;
  connection->aborted = true;
  exchange_free (exchange);
  connection_free (connection);
}

bool
ups_is_connected (const ups_exchange_t *exchange)
{
  return con_is_connected (exchange->connection->con);
}

bool
ups_has_unsent_bytes (const ups_exchange_t *exchange)
{
  return con_get_unsent_bytes (exchange->connection->con) > 0;
}

void
ups_set_read_paused (ups_exchange_t *exchange, bool paused)
{
  con_set_read_paused (exchange->connection->con, paused);
}

void
ups_close_expired (ups_t *ups, cfd_time_t now)
{
  list_for_each_safe (node, &ups->idle)
    {
      ups_connection_t *connection = list_entry (node, ups_connection_t, node);

      if (now - connection->idle_since >= connection->max_idle_ms)
        connection_free (connection);
    }
}

unsigned
ups_count_connections (const ups_t *ups)
{
  return ups->connection_count;
}

static bool
has_connection_from_before (const list_node_t *connections, cfd_time_t time)
{
  list_for_each (node, connections)
    {
      const ups_connection_t *connection
          = list_entry (node, ups_connection_t, node);

      if (connection->opened_at < time && !connection->free_pending
          && !connection->peer_closed && con_is_connected (connection->con))
        return true;
    }
  return false;
}

bool
ups_is_refused (const ups_t *ups)
{
  return ups->is_refused;
}

bool
ups_has_connection_from_before (const ups_t *ups, cfd_time_t time)
{
  return has_connection_from_before (&ups->idle, time)
         || has_connection_from_before (&ups->used, time);
}

uint64_t
ups_count_connects (const ups_t *ups)
{
  return ups->connects;
}
