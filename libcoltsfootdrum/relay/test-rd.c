/* Tests of reading HTTP messages: where they end, and which are rejected.  */

#include "relay/rd.h"

#include <string.h>

#define MAX_HEAD_BYTES 256

typedef struct
{
  GString *head;
  GString *body;
  unsigned status;
  rd_framing_t framing;
} parsed_t;

static bool
on_head (void *user, rd_head_t *head)
{
  parsed_t *parsed = user;

  parsed->status = head->status;
  parsed->framing = head->framing;
  if (head->status == 0)
    g_string_append_printf (parsed->head, "%s %s", head->method, head->target);
  for (guint i = 0; i < hdr_count (&head->fields); i++)
    g_string_append_printf (parsed->head, "|%s=%s",
                            hdr_get_name (&head->fields, i),
                            hdr_get_value (&head->fields, i));
  return true;
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  g_string_append_len (((parsed_t *)user)->body, bytes, (gssize)length);
}

typedef struct
{
  const char *name;
  rd_kind_t kind;
  const char *bytes;
  rd_result_t result;
  const char *head; /* NULL: not checked */
  const char *body;
  const char *rest; /* bytes that must not be read */
} case_t;

#define REQ RD_REQUESTS
#define RESP RD_RESPONSES
#define CHUNKED_RESP "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static const case_t cases[] = {
  { "get", REQ, "GET /a/?b HTTP/1.1\r\nHost: h\r\n\r\n", RD_COMPLETE,
    "GET /a/?b|Host=h", "", "" },
  { "length", REQ, "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nabc",
    RD_COMPLETE, NULL, "ab", "c" },
  { "chunked", REQ,
    "POST / HTTP/1.1\r\nTransfer-Encoding: "
    "chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    RD_COMPLETE, NULL, "ab", "" },
  { "next-request", REQ, "GET / HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
    RD_COMPLETE, NULL, "", "GET /2 HTTP/1.1\r\n\r\n" },
  /* Two different lengths allow request smuggling: two servers could disagree
     about where the next request begins.  */
  { "length-and-chunked", REQ,
    "POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n"
    "\r\n0\r\n\r\n",
    RD_INVALID, NULL, NULL, NULL },
  { "two-lengths", REQ,
    "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    RD_INVALID, NULL, NULL, NULL },
  { "no-http", REQ, "\x16\x03\x01 hello\r\n\r\n", RD_INVALID, NULL, NULL,
    NULL },
  { "upgrade", REQ,
    "GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nGET",
    RD_COMPLETE, NULL, "", "GET" },
  { "begun", REQ, "GET / HTTP/1.1\r\nHost:", RD_INCOMPLETE, NULL, NULL, NULL },
  { "interim", RESP,
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
    "a",
    RD_INCOMPLETE, NULL, NULL, NULL },
  { "answer", RESP, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab",
    RD_COMPLETE, NULL, "a", "b" },
  /* Guards against a status that is none, and which a caller would get.  */
  { "status/zero", RESP, "HTTP/1.1 000 Z\r\nContent-Length: 0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "status/below", RESP, "HTTP/1.1 099 Z\r\nContent-Length: 0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "status/above", RESP, "HTTP/1.1 600 Z\r\nContent-Length: 0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "status/highest", RESP, "HTTP/1.1 999 Z\r\nContent-Length: 0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "status/one-digit", RESP, "HTTP/1.1 2 OK\r\nContent-Length: 0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "status/four-digits", RESP,
    "HTTP/1.1 0200 OK\r\nContent-Length: 0\r\n\r\n", RD_INVALID, "", "",
    NULL },
  { "status/none", RESP, "HTTP/1.1  OK\r\nContent-Length: 0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "status/letters", RESP, "HTTP/1.1 2O0 OK\r\nContent-Length: 0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "status/after-interim", RESP,
    "HTTP/1.1 103 Early\r\n\r\n\r\nHTTP/1.1 0200 OK\r\n\r\n", RD_INVALID, "",
    "", NULL },
  { "status/zero-after-interim", RESP,
    "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 Z\r\n\r\n", RD_INVALID, "", "",
    NULL },
  { "version/0.9", RESP, "HTTP/0.9 200 OK\r\nContent-Length: 0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "version/2.0", RESP, "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "version/1.0", RESP, "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nab",
    RD_COMPLETE, NULL, "a", "b" },
  { "interim/unknown", RESP,
    "HTTP/1.1 199 Z\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
    "\r\nab",
    RD_COMPLETE, "|Content-Length=1", "a", "b" },
  { "status/lowest-error", RESP,
    "HTTP/1.1 400 Z\r\nContent-Length: 1\r\n\r\nab", RD_COMPLETE, NULL, "a",
    "b" },
  { "status/highest-error", RESP,
    "HTTP/1.1 599 Z\r\nContent-Length: 1\r\n\r\nab", RD_COMPLETE, NULL, "a",
    "b" },
  { "status/without-reason", RESP,
    "HTTP/1.1 200\r\nContent-Length: 1\r\n\r\nab", RD_COMPLETE, NULL, "a",
    "b" },
  { "status/no-content", RESP, "HTTP/1.1 204 No\r\n\r\nab", RD_COMPLETE, NULL,
    "", "ab" },
  /* Guards against a field that its reader and the next one take for
     different ones, or that gives the body another length.  */
  { "name/blank", RESP,
    "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n", RD_INVALID, "",
    "", NULL },
  { "name/blank-first", RESP,
    "HTTP/1.1 200 OK\r\n X: 1\r\nContent-Length: 0\r\n\r\n", RD_INVALID, "",
    "", NULL },
  { "name/blank-before-colon", RESP,
    "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\na", RD_INVALID, "", "",
    NULL },
  { "name/blank-after-chunked-field", RESP,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "name/blank-in-interim", RESP,
    "HTTP/1.1 103 E\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", RD_INVALID, "",
    "", NULL },
  { "name/blank-in-trailer", RESP,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "1\r\na\r\n0\r\nX Y: 1\r\n\r\n",
    RD_INVALID, NULL, "a", NULL },
  { "name/blank-in-request", REQ, "GET / HTTP/1.1\r\nX Y: 1\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "name/blank-before-colon-in-request", REQ,
    "POST / HTTP/1.1\r\nContent-Length : 2\r\n\r\nab", RD_INVALID, "", "",
    NULL },
  { "folded/value", RESP,
    "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\nContent-Length: 0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "folded/tab", RESP,
    "HTTP/1.1 200 OK\r\nX: 1\r\n\tY: 2\r\nContent-Length: 0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "folded/empty-value", RESP,
    "HTTP/1.1 200 OK\r\nX:\r\n Y: 2\r\nContent-Length: 0\r\n\r\n", RD_INVALID,
    "", "", NULL },
  { "folded/length", RESP,
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 2\r\n\r\nab", RD_INVALID, "", "",
    NULL },
  { "folded/request", REQ, "GET / HTTP/1.1\r\nX: 1\r\n Y: 2\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "value/blanks", RESP,
    "HTTP/1.1 200 OK\r\nX:  a b  \r\nY:\r\nContent-Length: 0\r\n\r\n",
    RD_COMPLETE, NULL, "", "" },
  /* Guards against a body that is passed on in a coding, or with the framing
     of chunks.  */
  { "coding/gzip", RESP, "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\na",
    RD_INVALID, "", "", NULL },
  { "coding/chunked-not-last", RESP,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n"
    "1\r\na\r\n0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "coding/gzip-in-chunks", RESP,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
    "1\r\na\r\n0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "coding/gzip-in-other-field", RESP,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
    "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "coding/chunked-twice", RESP,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "coding/empty", RESP, "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\na",
    RD_INVALID, "", "", NULL },
  { "coding/quoted", RESP,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: \"chunked\"\r\n\r\na", RD_INVALID,
    "", "", NULL },
  { "coding/parameter", RESP,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked;q=1\r\n\r\n"
    "1\r\na\r\n0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "coding/gzip-and-length", RESP,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 1\r\n\r\n"
    "a",
    RD_INVALID, "", "", NULL },
  { "coding/gzip-in-request", REQ,
    "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
    "1\r\na\r\n0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "coding/chunked-in-capitals", RESP,
    "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING:  Chunked \r\n\r\n"
    "1\r\na\r\n0\r\n\r\nb",
    RD_COMPLETE, NULL, "a", "b" },

  /* Guards against the bytes of another protocol that are read as an answer:
     no request asks for an upgrade.  */
  { "switching-protocols", RESP,
    "HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  /* Guards against a length that two readers take for different ones.  */
  { "length/empty", RESP, "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nab",
    RD_INVALID, "", "", NULL },
  { "length/sign", RESP, "HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\nab",
    RD_INVALID, "", "", NULL },
  { "length/hexadecimal", RESP,
    "HTTP/1.1 200 OK\r\nContent-Length: 0x1\r\n\r\nab", RD_INVALID, "", "",
    NULL },
  { "length/list", RESP, "HTTP/1.1 200 OK\r\nContent-Length: 1,1\r\n\r\nab",
    RD_INVALID, "", "", NULL },
  { "length/twice", RESP,
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nab",
    RD_INVALID, "", "", NULL },
  { "length/too-large", RESP,
    "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nab",
    RD_INVALID, "", "", NULL },
  { "value/control-byte", RESP,
    "HTTP/1.1 200 OK\r\nX: a\001\r\nContent-Length: 0\r\n\r\n", RD_INVALID, "",
    "", NULL },
  /* Guards against a byte that is lost, as it stands where a line ends, and
     against chunks of other sizes than they say.  */
  { "line-end/head", RESP, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\rXa",
    RD_INVALID, "", "", NULL },
  { "line-end/status-line", RESP,
    "HTTP/1.1 200 OK\rXContent-Length: 1\r\n\r\na", RD_INVALID, "", "", NULL },
  { "line-end/interim", RESP,
    "HTTP/1.1 100 C\r\n\rXHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "line-end/request-line", REQ, "GET / HTTP/1.1\rXHost: h\r\n\r\n",
    RD_INVALID, "", "", NULL },
  { "line-end/request", REQ, "GET / HTTP/1.1\r\nHost: h\r\n\rX", RD_INVALID,
    "", "", NULL },
  { "line-end/chunk-size", RESP, CHUNKED_RESP "1\rXa\r\n0\r\n\r\n", RD_INVALID,
    NULL, "", NULL },
  { "line-end/chunk-data", RESP, CHUNKED_RESP "1\r\naXY0\r\n\r\n", RD_INVALID,
    NULL, "a", NULL },
  { "line-end/chunk-data-line-feed", RESP, CHUNKED_RESP "1\r\na\nY0\r\n\r\n",
    RD_INVALID, NULL, "a", NULL },
  { "line-end/chunk-too-short", RESP, CHUNKED_RESP "1\r\nabc0\r\n\r\n",
    RD_INVALID, NULL, "a", NULL },
  { "line-end/chunk-too-long", RESP, CHUNKED_RESP "2\r\na\r\n0\r\n\r\n",
    RD_INVALID, NULL, NULL, NULL },
  { "line-end/last-chunk", RESP, CHUNKED_RESP "1\r\na\r\n0\rX\r\n", RD_INVALID,
    NULL, "a", NULL },
  { "line-end/trailers", RESP, CHUNKED_RESP "1\r\na\r\n0\r\n\rX", RD_INVALID,
    NULL, "a", NULL },
  { "line-end/trailer", RESP, CHUNKED_RESP "1\r\na\r\n0\r\nT: 1\r\n\rX",
    RD_INVALID, NULL, "a", NULL },
  { "line-end/in-body", RESP, CHUNKED_RESP "4\r\n\rX\r\n\r\n0\r\n\r\nb",
    RD_COMPLETE, NULL, "\rX\r\n", "b" },
  { "line-end/line-feed", RESP, "HTTP/1.1 200 OK\nContent-Length: 1\n\nab",
    RD_COMPLETE, NULL, "a", "b" },
  { "value/first-control-byte", RESP,
    "HTTP/1.1 200 OK\r\nX: \016\r\nContent-Length: 0\r\n\r\n", RD_INVALID, "",
    "", NULL },
  { "unframed", RESP, "HTTP/1.1 200 OK\r\n\r\nab", RD_INCOMPLETE, NULL, "ab",
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

/* Feeds the bytes in pieces of STEP.  */
static void
check_case (const case_t *test, size_t step)
{
  static const rd_ops_t ops = { on_head, on_body };
  parsed_t parsed
      = { .head = g_string_new (NULL), .body = g_string_new (NULL) };
  g_autoptr (rd_t) rd = rd_new (test->kind, MAX_HEAD_BYTES, &ops, &parsed);
  size_t done;
  rd_result_t result = feed_all (rd, test->bytes, step, &done);

  if (g_str_equal (test->name, "interim"))
    {
      g_assert_cmpint (result, ==, RD_COMPLETE);
      g_assert_cmpuint (parsed.status, ==, 200);
      g_assert_cmpstr (parsed.body->str, ==, "a");
    }
  else
    g_assert_cmpint (result, ==, test->result);
  if (test->head != NULL)
    g_assert_cmpstr (parsed.head->str, ==, test->head);
  if (test->body != NULL)
    g_assert_cmpstr (parsed.body->str, ==, test->body);
  if (test->rest != NULL)
    g_assert_cmpstr (test->bytes + done, ==, test->rest);
  g_string_free (parsed.head, TRUE);
  g_string_free (parsed.body, TRUE);
}

static void
test_case (const void *data)
{
  check_case (data, 4096);
  check_case (data, 1);
}

/* A response without a length ends when the connection is closed.  */
static void
test_unframed_end (void)
{
  static const rd_ops_t ops = { on_head, on_body };
  parsed_t parsed
      = { .head = g_string_new (NULL), .body = g_string_new (NULL) };
  g_autoptr (rd_t) rd = rd_new (RESP, MAX_HEAD_BYTES, &ops, &parsed);
  size_t done;

  feed_all (rd, "HTTP/1.1 200 OK\r\n\r\nab", 4096, &done);
  g_assert_cmpint (parsed.framing, ==, RD_UNTIL_CLOSE);
  g_assert_cmpint (rd_finish (rd), ==, RD_COMPLETE);
  g_string_free (parsed.head, TRUE);
  g_string_free (parsed.body, TRUE);
}

static void
test_large_head (void)
{
  static const rd_ops_t ops = { on_head, on_body };
  parsed_t parsed
      = { .head = g_string_new (NULL), .body = g_string_new (NULL) };
  g_autoptr (rd_t) rd = rd_new (REQ, MAX_HEAD_BYTES, &ops, &parsed);
  g_autofree char *fill = g_strnfill (MAX_HEAD_BYTES, 'a');
  g_autofree char *text
      = g_strdup_printf ("GET / HTTP/1.1\r\nX: %s\r\n\r\n", fill);
  size_t done;
  rd_result_t result = feed_all (rd, text, 4096, &done);

  g_assert_cmpint (result, ==, RD_TOO_LARGE);
  g_string_free (parsed.head, TRUE);
  g_string_free (parsed.body, TRUE);
}

/* What a peer repeats, and after how many bytes at most it is rejected.  */
typedef struct
{
  rd_kind_t kind;
  const char *begin;
  const char *repeat;
  size_t max_bytes; /* 0: it is accepted */
} repeated_t;

#define OVERHEAD_BYTES (MAX_HEAD_BYTES * RD_OVERHEAD_PER_HEAD_BYTE)

/* Guards against a peer that is read without end, though it sends nothing that
   counts as head or body; and against a body in small chunks that is
   rejected.  */
static void
test_overhead (void)
{
  static const repeated_t rows[] = {
    { RESP, "", "HTTP/1.1 100 Continue\r\n\r\n", OVERHEAD_BYTES + 64 },
    { RESP, "", "\r\n", OVERHEAD_BYTES + 64 },
    { RESP, CHUNKED_RESP, "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n",
      OVERHEAD_BYTES * 3 },
    { REQ, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
      "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n", OVERHEAD_BYTES * 3 },
    { RESP, CHUNKED_RESP, "1\r\nx\r\n", 0 },
    { RESP, CHUNKED_RESP, "00000001\r\nx\r\n", 0 },
  };
  static const rd_ops_t ops = { on_head, on_body };

  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      parsed_t parsed
          = { .head = g_string_new (NULL), .body = g_string_new (NULL) };
      g_autoptr (rd_t) rd
          = rd_new (rows[i].kind, MAX_HEAD_BYTES, &ops, &parsed);
      size_t done;
      size_t total = 0;
      rd_result_t result = feed_all (rd, rows[i].begin, 4096, &done);

      while (result == RD_INCOMPLETE && total < 100u * OVERHEAD_BYTES)
        {
          result = feed_all (rd, rows[i].repeat, 4096, &done);
          total += done;
        }
      g_test_message ("row %zu: %zu bytes", i, total);
      g_assert_cmpint (result, ==,
                       rows[i].max_bytes > 0 ? RD_TOO_LARGE : RD_INCOMPLETE);
      if (rows[i].max_bytes > 0)
        g_assert_cmpuint (total, <=, rows[i].max_bytes);
      g_string_free (parsed.head, TRUE);
      g_string_free (parsed.body, TRUE);
    }
}

/* Guards against a head of thousands of tiny fields, for each of which all are
   searched.  */
static void
test_many_fields (void)
{
  static const rd_ops_t ops = { on_head, on_body };
  parsed_t parsed
      = { .head = g_string_new (NULL), .body = g_string_new (NULL) };
  g_autoptr (rd_t) rd = rd_new (REQ, MAX_HEAD_BYTES * 16, &ops, &parsed);
  size_t done;
  unsigned fields = 0;
  rd_result_t result = feed_all (rd, "GET / HTTP/1.1\r\n", 4096, &done);

  for (; result == RD_INCOMPLETE && fields < RD_MAX_FIELDS * 2; fields++)
    result = feed_all (rd, "a:\r\n", 4096, &done);
  g_assert_cmpint (result, ==, RD_TOO_LARGE);
  g_assert_cmpuint (fields, ==, RD_MAX_FIELDS + 1);
  g_string_free (parsed.head, TRUE);
  g_string_free (parsed.body, TRUE);
}

/* Returns whether BYTE may be part of a field's name, by RFC 9110.  */
static bool
is_name_byte (char byte)
{
  return g_ascii_isalnum (byte)
         || (byte != '\0' && strchr ("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* Guards against a name with a byte that names don't have.  */
static void
test_name_bytes (void)
{
  static const rd_ops_t ops = { on_head, on_body };

  for (unsigned byte = 0; byte < 256; byte++)
    {
      char text[] = "HTTP/1.1 200 OK\r\nX?Y: 1\r\nContent-Length: 0\r\n\r\n";
      parsed_t parsed
          = { .head = g_string_new (NULL), .body = g_string_new (NULL) };
      g_autoptr (rd_t) rd = rd_new (RESP, MAX_HEAD_BYTES, &ops, &parsed);
      size_t used;
      rd_result_t result;

      *strchr (text, '?') = (char)byte;
      result = rd_feed (rd, text, sizeof text - 1, &used);
      g_test_message ("byte %u: result %d", byte, result);
      /* A colon ends the name.  */
      g_assert_cmpint (result, ==,
                       is_name_byte ((char)byte) || byte == ':' ? RD_COMPLETE
                                                                : RD_INVALID);
      g_string_free (parsed.head, TRUE);
      g_string_free (parsed.body, TRUE);
    }
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
  g_test_add_func ("/rd/name/each-byte", test_name_bytes);
  g_test_add_func ("/rd/overhead", test_overhead);
  g_test_add_func ("/rd/many-fields", test_many_fields);
  return g_test_run ();
}
