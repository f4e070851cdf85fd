/* Exchanges with one endpoint.  */

#include "relay/ups.h"

#include "base/list.h"
#include "relay/con.h"
#include <stdlib.h>
#include <string.h>

/* Of an answer's head: an endpoint's fields are few.  */
#define HEAD_MOST 32768
/* An idle connection is kept for so long where the endpoint names no time.
   The usual least idle timeout of servers is 5 s; a request that crosses the
   close of its connection has an unknown outcome.  */
#define IDLE_MS 3500
/* And so much less than a time that the endpoint does name, for the way.  */
#define IDLE_MARGIN_MS 900

struct ups
{
  struct ev_loop *loop;
  addr_t addr;
  list_node_t idle; /* ups_line_t, the latest used first */
  list_node_t used;
  unsigned open;
  uint64_t dialled;
};

/* One connection.  */
typedef struct
{
  list_node_t node;
  ups_t *ups;
  con_t *con;
  rd_t *rd;
  ups_exchange_t *exchange; /* NULL when idle */
  cfd_time_t idle_since;
  int64_t keep_ms;
  bool foreign; /* the answer being read belongs to another request */
  bool reading; /* bytes are being taken in; freeing waits */
  bool doomed;
  bool aborted; /* its request was given up */
} ups_line_t;

struct ups_exchange
{
  ups_line_t *line;
  ups_ops_t ops;
  void *user;
  char *id_field;
  char *id;
  bool began; /* an answer's head came */
};

static void
line_free (ups_line_t *line)
{
  if (line->reading)
    {
      line->doomed = true;
      return;
    }
  list_remove (&line->node);
  line->ups->open--;
  if (line->aborted)
    con_abort (line->con);
  else
    con_free (line->con);
  rd_free (line->rd);
  g_free (line);
}

static void
exchange_free (ups_exchange_t *exchange)
{
  g_free (exchange->id_field);
  g_free (exchange->id);
  g_free (exchange);
}

/* Ends the exchange of LINE and tells its user; the line stays.  */
static void
end_exchange (ups_line_t *line, ups_end_t end)
{
  ups_exchange_t *exchange = line->exchange;

  if (exchange == NULL)
    return;
  line->exchange = NULL;
  exchange->ops.ended (exchange->user, end);
  exchange_free (exchange);
}

/* "timeout=5, max=100" in milliseconds; the usual time without it.  */
static int64_t
keep_time (const hdr_t *fields)
{
  const char *text = hdr_get (fields, "Keep-Alive");
  const char *at = text != NULL ? strstr (text, "timeout=") : NULL;
  int64_t seconds;

  if (at == NULL)
    return IDLE_MS;
  seconds = strtol (at + strlen ("timeout="), NULL, 10);
  return MAX (seconds * 1000 - IDLE_MARGIN_MS, 0);
}

static bool
on_head (void *user, rd_head_t *head)
{
  ups_line_t *line = user;
  ups_exchange_t *exchange = line->exchange;
  const char *id;

  if (exchange == NULL)
    return false;
  id = hdr_get (&head->fields, exchange->id_field);
  line->foreign = id != NULL && strcmp (id, exchange->id) != 0;
  if (line->foreign)
    return true;
  line->keep_ms = keep_time (&head->fields);
  exchange->began = true;
  exchange->ops.head (exchange->user, head);
  return line->exchange != NULL;
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  ups_line_t *line = user;

  if (line->exchange != NULL && !line->foreign)
    line->exchange->ops.body (line->exchange->user, bytes, length);
}

static const rd_ops_t reader = { .head = on_head, .body = on_body };

/* The connection may serve another request: nothing of this one is still to
   be written, and no byte came after its answer.  */
static bool
may_keep (ups_line_t *line, bool left_over)
{
  rd_head_t *head = rd_head (line->rd);

  return !left_over && !line->doomed && head->keep_alive && head->framed
         && con_get_unsent_bytes (line->con) == 0;
}

static void
after_message (ups_line_t *line, bool left_over)
{
  bool keep = may_keep (line, left_over);

  rd_reset (line->rd);
  if (keep)
    {
      list_remove (&line->node);
      list_prepend (&line->ups->idle, &line->node);
      line->idle_since = clock_now ();
    }
  else
    line->doomed = true;
  end_exchange (line, UPS_COMPLETE);
}

static ups_end_t
early_end (const ups_exchange_t *exchange)
{
  return exchange->began ? UPS_TRUNCATED : UPS_NO_RESPONSE;
}

static void
take_bytes (ups_line_t *line, const char *bytes, size_t length)
{
  while (length > 0 && !line->doomed)
    {
      size_t used = 0;
      rd_result_t result;

      if (line->exchange == NULL)
        {
          line->doomed = true;
          return;
        }
      result = rd_feed (line->rd, bytes, length, &used);
      if (line->exchange == NULL)
        {
          line->doomed = true;
          return;
        }
      bytes += used;
      length -= MIN (used, length);
      if (result == RD_INCOMPLETE)
        return;
      if (result != RD_COMPLETE)
        {
          line->doomed = true;
          end_exchange (line,
                        line->exchange->began ? UPS_TRUNCATED : UPS_MALFORMED);
          return;
        }
      if (line->foreign)
        {
          line->foreign = false;
          rd_reset (line->rd);
          continue;
        }
      after_message (line, length > 0);
      return;
    }
}

static void
on_bytes (void *user, const char *bytes, size_t length)
{
  ups_line_t *line = user;

  line->reading = true;
  take_bytes (line, bytes, length);
  line->reading = false;
  if (line->doomed)
    line_free (line);
}

static void
on_ended (void *user, con_end_t end)
{
  ups_line_t *line = user;
  ups_exchange_t *exchange = line->exchange;

  line->reading = true;
  if (exchange != NULL && end == CON_END_CONNECT_FAILED)
    end_exchange (line, UPS_CONNECT_FAILED);
  else if (exchange != NULL && end == CON_END_CLOSED && exchange->began
           && !line->foreign && rd_finish (line->rd) == RD_COMPLETE)
    end_exchange (line, UPS_COMPLETE);
  else if (exchange != NULL && line->exchange != NULL)
    end_exchange (line, early_end (exchange));
  line->reading = false;
  line_free (line);
}

static const con_ops_t wire = { .bytes = on_bytes, .ended = on_ended };

static ups_line_t *
line_new (ups_t *ups)
{
  ups_line_t *line = g_new0 (ups_line_t, 1);

  line->con = con_new_outbound (ups->loop, &ups->addr, &wire, line);
  if (line->con == NULL)
    {
      g_free (line);
      return NULL;
    }
  line->ups = ups;
  line->rd = rd_new (RD_RESPONSES, HEAD_MOST, &reader, line);
  list_init (&line->node);
  ups->open++;
  ups->dialled++;
  return line;
}

/* The connection that was used last: the others run into their idle timeout
   and the pool shrinks to what is needed.  */
static ups_line_t *
idle_line (ups_t *ups, cfd_time_t now)
{
  ups_line_t *line;

  if (list_is_empty (&ups->idle))
    return NULL;
  line = list_entry (ups->idle.next, ups_line_t, node);
  return now - line->idle_since < line->keep_ms ? line : NULL;
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

static void
free_lines (list_node_t *lines)
{
  list_for_each_safe (node, lines)
    {
      ups_line_t *line = list_entry (node, ups_line_t, node);

      if (line->exchange != NULL)
        exchange_free (line->exchange);
      line->exchange = NULL;
      line_free (line);
    }
}

void
ups_free (ups_t *ups)
{
  if (ups == NULL)
    return;
  free_lines (&ups->idle);
  free_lines (&ups->used);
  g_free (ups);
}

ups_exchange_t *
ups_send (ups_t *ups, cfd_time_t now, const ups_request_t *request,
          const ups_ops_t *ops, void *user)
{
  ups_line_t *line = request->fresh ? NULL : idle_line (ups, now);
  ups_exchange_t *exchange;

  if (line == NULL)
    line = line_new (ups);
  if (line == NULL)
    return NULL;
  list_remove (&line->node);
  list_append (&ups->used, &line->node);
  exchange = g_new0 (ups_exchange_t, 1);
  exchange->line = line;
  exchange->ops = *ops;
  exchange->user = user;
  exchange->id_field = g_strdup (request->id_field);
  exchange->id = g_strdup (request->id);
  line->exchange = exchange;
  rd_expect_no_body (line->rd, request->no_body);
  con_write (line->con, request->bytes, request->length);
  return exchange;
}

void
ups_cancel (ups_exchange_t *exchange)
{
  ups_line_t *line = exchange->line;

  line->exchange = NULL;
  line->aborted = true;
  exchange_free (exchange);
  line_free (line);
}

bool
ups_is_connected (const ups_exchange_t *exchange)
{
  return con_is_connected (exchange->line->con);
}

void
ups_set_read_paused (ups_exchange_t *exchange, bool hold)
{
  con_set_read_paused (exchange->line->con, hold);
}

void
ups_close_expired (ups_t *ups, cfd_time_t now)
{
  list_for_each_safe (node, &ups->idle)
    {
      ups_line_t *line = list_entry (node, ups_line_t, node);

      if (now - line->idle_since >= line->keep_ms)
        line_free (line);
    }
}

unsigned
ups_count_connections (const ups_t *ups)
{
  return ups->open;
}

uint64_t
ups_count_connects (const ups_t *ups)
{
  return ups->dialled;
}
