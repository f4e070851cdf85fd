/* HTTP messages out of bytes: what belongs to one, and what is refused.  */

#include "relay/rd.h"

#include <string.h>

#define HEAD_MOST 256

typedef struct
{
  GString *head;
  GString *body;
  unsigned status;
  bool framed;
} seen_t;

static bool
on_head (void *user, rd_head_t *head)
{
  seen_t *seen = user;

  seen->status = head->status;
  seen->framed = head->framed;
  if (head->status == 0)
    g_string_append_printf (seen->head, "%s %s", head->method, head->target);
  for (guint i = 0; i < hdr_count (&head->fields); i++)
    g_string_append_printf (seen->head, "|%s=%s",
                            hdr_get_name (&head->fields, i),
                            hdr_get_value (&head->fields, i));
  return true;
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  g_string_append_len (((seen_t *)user)->body, bytes, (gssize)length);
}

typedef struct
{
  const char *name;
  rd_kind_t kind;
  const char *bytes;
  rd_result_t result;
  const char *head; /* NULL: not looked at */
  const char *body;
  const char *rest; /* not read */
} case_t;

#define R RD_REQUESTS
#define A RD_RESPONSES

static const case_t cases[] = {
  { "get", R, "GET /a/?b HTTP/1.1\r\nHost: h\r\n\r\n", RD_COMPLETE,
    "GET /a/?b|Host=h", "", "" },
  { "length", R, "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nabc",
    RD_COMPLETE, NULL, "ab", "c" },
  { "chunked", R,
    "POST / HTTP/1.1\r\nTransfer-Encoding: "
    "chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    RD_COMPLETE, NULL, "ab", "" },
  { "next-request", R, "GET / HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
    RD_COMPLETE, NULL, "", "GET /2 HTTP/1.1\r\n\r\n" },
  /* Two lengths: two readers could disagree where the next request begins.  */
  { "length-and-chunked", R,
    "POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n"
    "\r\n0\r\n\r\n",
    RD_INVALID, NULL, NULL, NULL },
  { "two-lengths", R,
    "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    RD_INVALID, NULL, NULL, NULL },
  { "no-http", R, "\x16\x03\x01 hello\r\n\r\n", RD_INVALID, NULL, NULL, NULL },
  { "upgrade", R,
    "GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nGET",
    RD_COMPLETE, NULL, "", "GET" },
  { "begun", R, "GET / HTTP/1.1\r\nHost:", RD_INCOMPLETE, NULL, NULL, NULL },
  { "interim", A,
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
    "a",
    RD_INCOMPLETE, NULL, NULL, NULL },
  { "answer", A, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab", RD_COMPLETE,
    NULL, "a", "b" },
  { "unframed", A, "HTTP/1.1 200 OK\r\n\r\nab", RD_INCOMPLETE, NULL, "ab",
    NULL },
};

static rd_result_t
feed_all (rd_t *rd, const char *bytes, size_t step, size_t *done)
{
  size_t length = strlen (bytes);
  rd_result_t result = RD_INCOMPLETE;

  *done = 0;
  while (*done < length && result == RD_INCOMPLETE)
    {
      size_t used = 0;

      result = rd_feed (rd, bytes + *done, MIN (step, length - *done), &used);
      *done += used;
    }
  return result;
}

/* In one piece, and byte by byte.  */
static void
check_case (const case_t *one, size_t step)
{
  static const rd_ops_t ops = { on_head, on_body };
  seen_t seen = { .head = g_string_new (NULL), .body = g_string_new (NULL) };
  g_autoptr (rd_t) rd = rd_new (one->kind, HEAD_MOST, &ops, &seen);
  size_t done;
  rd_result_t result = feed_all (rd, one->bytes, step, &done);

  if (g_str_equal (one->name, "interim"))
    {
      g_assert_cmpint (result, ==, RD_COMPLETE);
      g_assert_cmpuint (seen.status, ==, 200);
      g_assert_cmpstr (seen.body->str, ==, "a");
    }
  else
    g_assert_cmpint (result, ==, one->result);
  if (one->head != NULL)
    g_assert_cmpstr (seen.head->str, ==, one->head);
  if (one->body != NULL)
    g_assert_cmpstr (seen.body->str, ==, one->body);
  if (one->rest != NULL)
    g_assert_cmpstr (one->bytes + done, ==, one->rest);
  g_string_free (seen.head, TRUE);
  g_string_free (seen.body, TRUE);
}

static void
test_case (const void *data)
{
  check_case (data, 4096);
  check_case (data, 1);
}

/* An answer without a length ends with its connection.  */
static void
test_unframed_end (void)
{
  static const rd_ops_t ops = { on_head, on_body };
  seen_t seen = { .head = g_string_new (NULL), .body = g_string_new (NULL) };
  g_autoptr (rd_t) rd = rd_new (A, HEAD_MOST, &ops, &seen);
  size_t done;

  feed_all (rd, "HTTP/1.1 200 OK\r\n\r\nab", 4096, &done);
  g_assert_false (seen.framed);
  g_assert_cmpint (rd_finish (rd), ==, RD_COMPLETE);
  g_string_free (seen.head, TRUE);
  g_string_free (seen.body, TRUE);
}

static void
test_large_head (void)
{
  static const rd_ops_t ops = { on_head, on_body };
  seen_t seen = { .head = g_string_new (NULL), .body = g_string_new (NULL) };
  g_autoptr (rd_t) rd = rd_new (R, HEAD_MOST, &ops, &seen);
  g_autofree char *fill = g_strnfill (HEAD_MOST, 'a');
  g_autofree char *text
      = g_strdup_printf ("GET / HTTP/1.1\r\nX: %s\r\n\r\n", fill);
  size_t done;
  rd_result_t result = feed_all (rd, text, 4096, &done);

  g_assert_cmpint (result, ==, RD_TOO_LARGE);
  g_string_free (seen.head, TRUE);
  g_string_free (seen.body, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/rd/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
    }
  g_test_add_func ("/rd/unframed-end", test_unframed_end);
  g_test_add_func ("/rd/large-head", test_large_head);
  return g_test_run ();
}
