/* Tests of the ends of answers, in tables.  */

#include "relay/end.h"

#include "relay/evs.h"
#include <string.h>

typedef struct
{
  const char *name;
  end_evidence_t evidence;
  end_kind_t kind;
} case_t;

#define PLAIN(exchange, framing)                                              \
  {                                                                           \
    exchange, framing, false, false, false                                    \
  }
#define STREAM(exchange, framing)                                             \
  {                                                                           \
    exchange, framing, true, false, false                                     \
  }
#define IN_EVENT(exchange, framing)                                           \
  {                                                                           \
    exchange, framing, true, true, false                                      \
  }
#define EMPTY(exchange, framing, is_stream)                                   \
  {                                                                           \
    exchange, framing, is_stream, false, true                                 \
  }

static const case_t cases[] = {
  { "length", PLAIN (UPS_COMPLETE, RD_LENGTH), END_LENGTH },
  { "chunks", PLAIN (UPS_COMPLETE, RD_CHUNKS), END_CHUNKS },
  { "close", PLAIN (UPS_CLOSED, RD_UNTIL_CLOSE), END_CLOSE },
  { "truncated-length", PLAIN (UPS_TRUNCATED, RD_LENGTH), END_TRUNCATED },
  { "truncated-chunks", PLAIN (UPS_TRUNCATED, RD_CHUNKS), END_TRUNCATED },
  { "reset-length", PLAIN (UPS_RESET, RD_LENGTH), END_RESET },
  { "reset-until-close", PLAIN (UPS_RESET, RD_UNTIL_CLOSE), END_RESET },
  { "no-answer", PLAIN (UPS_NO_RESPONSE, RD_LENGTH), END_NO_ANSWER },
  { "timed-out", PLAIN (UPS_TIMED_OUT, RD_LENGTH), END_TIMED_OUT },
  { "malformed", PLAIN (UPS_MALFORMED, RD_LENGTH), END_MALFORMED },
  { "not-connected", PLAIN (UPS_CONNECT_FAILED, RD_LENGTH),
    END_NOT_CONNECTED },
  { "stream-length", STREAM (UPS_COMPLETE, RD_LENGTH), END_LENGTH },
  { "stream-chunks", STREAM (UPS_COMPLETE, RD_CHUNKS), END_CHUNKS },
  { "stream-close", STREAM (UPS_CLOSED, RD_UNTIL_CLOSE), END_CLOSE },
  { "stream-close-empty", EMPTY (UPS_CLOSED, RD_UNTIL_CLOSE, true),
    END_NO_EVENT },
  { "stream-chunks-empty", EMPTY (UPS_COMPLETE, RD_CHUNKS, true), END_CHUNKS },
  { "plain-close-empty", EMPTY (UPS_CLOSED, RD_UNTIL_CLOSE, false),
    END_CLOSE },
  { "stream-reset", STREAM (UPS_RESET, RD_UNTIL_CLOSE), END_RESET },
  { "stream-truncated", IN_EVENT (UPS_TRUNCATED, RD_CHUNKS), END_TRUNCATED },
  { "event-length", IN_EVENT (UPS_COMPLETE, RD_LENGTH), END_SPLIT_EVENT },
  { "event-chunks", IN_EVENT (UPS_COMPLETE, RD_CHUNKS), END_SPLIT_EVENT },
  { "event-close", IN_EVENT (UPS_CLOSED, RD_UNTIL_CLOSE), END_SPLIT_EVENT },
  { "event-reset", IN_EVENT (UPS_RESET, RD_UNTIL_CLOSE), END_RESET },
  { "event-timed-out", IN_EVENT (UPS_TIMED_OUT, RD_UNTIL_CLOSE),
    END_TIMED_OUT },
};

static void
test_classify (const void *data)
{
  const case_t *test = data;

  g_assert_cmpstr (end_get_name (end_classify (&test->evidence)), ==,
                   end_get_name (test->kind));
}

typedef struct
{
  const char *name;
  const char *bytes;
  bool is_inside_event;
} stream_t;

static const stream_t streams[] = {
  { "empty", "", false },
  { "whole", "id: 1\ndata: a\n\n", false },
  { "in-field-name", "id: 1\ndata: a\n\nid", true },
  { "in-value", "id: 1\ndata: a\n\nid: 2\ndata: b", true },
  { "between-lines", "id: 1\ndata: a\n\nid: 2\n", true },
  { "before-blank-line", "id: 1\ndata: a\n", true },
  { "in-blank-line", "id: 1\r\ndata: a\r\n\r", true },
  { "further-blank-line", "id: 1\ndata: a\n\n\n", false },
  { "carriage-return-blank-line", "id: 1\r\ndata: a\r\n\r\n\r\n", false },
  { "lone-carriage-returns", "id: 1\rdata: a\r\r", false },
  { "lone-carriage-returns-between-lines", "id: 1\r\rid: 2\r", true },
  { "lone-carriage-returns-comment", "id: 1\r\r: ping\r", false },
  { "comment", "id: 1\ndata: a\n\n: ping\n", false },
  { "in-comment", "id: 1\ndata: a\n\n: pi", true },
  { "event-after-comment", "id: 1\ndata: a\n\n: ping\nid: 2\n", true },
};

static void
test_inside_event (const void *data)
{
  const stream_t *test = data;
  g_autoptr (GString) out = g_string_new (NULL);
  evs_t stream;

  evs_init (&stream);
  evs_feed (&stream, test->bytes, strlen (test->bytes), out);
  g_assert_cmpint (evs_is_inside_event (&stream), ==, test->is_inside_event);
  evs_clear (&stream);
}

static void
test_names (void)
{
  for (unsigned i = 0; i < END_KINDS; i++)
    g_assert_cmpstr (end_get_name ((end_kind_t)i), !=,
                     end_get_name (END_KINDS));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/end/kind/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_classify);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (streams); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/end/stream/%s", streams[i].name);

      g_test_add_data_func (path, &streams[i], test_inside_event);
    }
  g_test_add_func ("/end/names", test_names);
  return g_test_run ();
}
