#include "raw.h"

#include "base/addr.h"
#include "base/clock.h"
#include "relay/con.h"
#include <string.h>

#define TIMEOUT_MS 30000
#define TICK_MS 20

struct raw_call
{
  con_t *con;
  GString *text; /* received */
  bool has_ended;
  bool was_reset; /* and has no orderly end */
};

static void
on_bytes (void *user, const char *bytes, size_t length)
{
  g_string_append_len (((raw_call_t *)user)->text, bytes, (gssize)length);
}

static void
on_ended (void *user, con_end_t end)
{
  raw_call_t *call = user;

  call->has_ended = true;
  call->was_reset = end != CON_END_CLOSED;
}

raw_call_t *
raw_call_new (struct ev_loop *loop, const char *address, const char *request)
{
  static const con_ops_t ops = { .bytes = on_bytes, .ended = on_ended };
  raw_call_t *call = g_new0 (raw_call_t, 1);
  addr_t addr;

  g_assert_true (addr_parse (address, &addr, NULL));
  call->text = g_string_new (NULL);
  call->con = con_new_outbound (loop, &addr, &ops, call);
  g_assert_nonnull (call->con);
  con_write (call->con, request, strlen (request));
  return call;
}

void
raw_call_free (raw_call_t *call)
{
  con_free (call->con);
  g_string_free (call->text, TRUE);
  g_free (call);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
}

void
raw_run (struct ev_loop *loop, const GPtrArray *calls)
{
  cfd_time_t deadline = clock_now () + TIMEOUT_MS;
  ev_timer tick;

  ev_timer_init (&tick, on_tick, 0., TICK_MS / 1000.);
  ev_timer_start (loop, &tick);
  for (guint i = 0; i < calls->len; i++)
    while (!((const raw_call_t *)g_ptr_array_index (calls, i))->has_ended)
      {
        g_assert_cmpint (clock_now (), <, deadline);
        ev_run (loop, EVRUN_ONCE);
      }
  ev_timer_stop (loop, &tick);
}

/* ---- what the bytes say ---- */

#define FIELD "^[-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*$"

/* A part of the text that is not described yet.  */
typedef struct
{
  const char *at;
  const char *end;
} rest_t;

typedef struct
{
  unsigned status;
  bool is_chunked;
  bool has_length;
  gsize length;
} head_t;

/* Takes a line that ends with CR LF; NULL when there is none.  */
static char *
take_line (rest_t *rest)
{
  const char *end
      = g_strstr_len (rest->at, (gssize)(rest->end - rest->at), "\r\n");
  char *line;

  if (end == NULL)
    return NULL;
  line = g_strndup (rest->at, (gsize)(end - rest->at));
  rest->at = end + 2;
  return line;
}

static bool
matches (const char *pattern, const char *line)
{
  return g_regex_match_simple (pattern, line,
                               G_REGEX_DOLLAR_ENDONLY | G_REGEX_RAW, 0);
}

static bool
take_status (rest_t *rest, head_t *head)
{
  g_autofree char *line = take_line (rest);

  if (line == NULL
      || !matches ("^HTTP/1\\.1 [1-5][0-9][0-9] [^\\x00-\\x1f\\x7f]*$", line))
    return false;
  head->status = (unsigned)g_ascii_strtoull (line + 9, NULL, 10);
  return true;
}

static bool
take_fields (rest_t *rest, head_t *head)
{
  for (;;)
    {
      g_autofree char *line = take_line (rest);

      if (line == NULL)
        return false;
      if (*line == '\0')
        return true;
      if (!matches (FIELD, line))
        return false;
      if (g_ascii_strncasecmp (line, "Content-Length:", 15) == 0)
        {
          head->has_length = true;
          head->length = (gsize)g_ascii_strtoull (line + 15, NULL, 10);
        }
      head->is_chunked
          |= g_ascii_strcasecmp (line, "Transfer-Encoding: chunked") == 0;
    }
}

/* Appends up to LENGTH bytes to BODY.  Returns whether there were as many.  */
static bool
take_bytes (rest_t *rest, gsize length, GString *body)
{
  gsize left = (gsize)(rest->end - rest->at);

  g_string_append_len (body, rest->at, (gssize)MIN (left, length));
  rest->at += MIN (left, length);
  return left >= length;
}

static bool
take_chunks (rest_t *rest, GString *body)
{
  for (;;)
    {
      g_autofree char *size = take_line (rest);
      gsize length = size != NULL ? g_ascii_strtoull (size, NULL, 16) : 0;
      g_autofree char *end = NULL;

      if (size == NULL || !take_bytes (rest, length, body))
        return false;
      end = take_line (rest);
      if (end == NULL || *end != '\0')
        return false;
      if (length == 0)
        return true;
    }
}

/* Returns whether the body has its end.  IS_CLOSED: the connection is, in
   order.  */
static bool
take_body (rest_t *rest, const head_t *head, bool is_closed, GString *body)
{
  if (head->status < 200 || head->status == 204 || head->status == 304)
    return true;
  if (head->is_chunked)
    return take_chunks (rest, body);
  if (head->has_length)
    return take_bytes (rest, head->length, body);
  take_bytes (rest, G_MAXSIZE, body);
  return is_closed;
}

/* Describes the next answer.  Returns false when the bytes are none.  */
static bool
describe_answer (rest_t *rest, bool is_head, bool is_closed, GString *out)
{
  g_autoptr (GString) body = g_string_new (NULL);
  g_autofree char *escaped = NULL;
  head_t head = { 0 };
  bool is_whole;

  if (!take_status (rest, &head) || !take_fields (rest, &head))
    return false;
  is_whole = is_head || take_body (rest, &head, is_closed, body);
  escaped = g_strescape (body->str, NULL);
  g_string_append_printf (out, "%s%u", out->len > 0 ? ", " : "", head.status);
  if (head.status / 100 == 2 && body->len > 0)
    g_string_append_printf (out, " %s", escaped);
  if (!is_whole)
    g_string_append (out, " (cut)");
  return true;
}

char *
raw_call_describe (const raw_call_t *call, bool is_head)
{
  rest_t rest = { call->text->str, call->text->str + call->text->len };
  bool is_closed = call->has_ended && !call->was_reset;
  GString *out = g_string_new (NULL);

  while (rest.at < rest.end)
    {
      const char *start = rest.at;
      g_autofree char *escaped = NULL;

      if (describe_answer (&rest, is_head, is_closed, out))
        continue;
      escaped = g_strescape (start, NULL);
      g_string_append_printf (out, "%s(not an answer: %s)",
                              out->len > 0 ? " " : "", escaped);
      break;
    }
  return g_string_free (out, FALSE);
}
