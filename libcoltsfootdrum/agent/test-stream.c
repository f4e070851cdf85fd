/* Tests of the answer buffer: offsets sent, acknowledged and resumed.  */

#include "agent/agent-stream.h"
#include <string.h>

/* Sends all unsent bytes; returns them as a string.  */
static char *
send_all (stream_t *stream)
{
  GString *text = g_string_new (NULL);
  msg_data_t data;

  while (stream_get_next (stream, &data))
    {
      g_assert_cmpuint (data.bytes.length, <=, MSG_DATA_MAX);
      g_string_append_len (text, (const char *)data.bytes.data,
                           (gssize)data.bytes.length);
      stream_mark_sent (stream, data.bytes.length);
    }
  return g_string_free (text, FALSE);
}

typedef enum
{
  APPEND,
  ACK,
  RESUME
} step_t;

/* Each step, whether it is accepted, and which bytes are sent after it.  */
static const struct
{
  step_t step;
  const char *bytes;
  uint64_t offset;
  bool is_accepted;
  const char *sent;
  size_t retained;
} steps[] = {
  { APPEND, "abcdef", 0, true, "abcdef", 6 },
  { ACK, NULL, 2, true, "", 4 },
  { ACK, NULL, 1, true, "", 4 },      /* arrived late: no effect */
  { ACK, NULL, 9, false, "", 4 },     /* never sent */
  { RESUME, NULL, 4, true, "ef", 2 }, /* sends the rest again */
  { RESUME, NULL, 4, true, "ef", 2 }, /* repeated */
  { RESUME, NULL, 3, false, "", 2 },  /* dropped already */
  { RESUME, NULL, 7, false, "", 2 },  /* not produced yet */
  { APPEND, "gh", 0, true, "gh", 4 },
  { ACK, NULL, 8, true, "", 0 },
  { RESUME, NULL, 8, true, "", 0 },
  { APPEND, "i", 0, true, "i", 1 },
};

static void
test_table (void)
{
  stream_t stream;

  stream_init (&stream);
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      g_autofree char *sent = NULL;
      bool is_accepted = true;

      switch (steps[i].step)
        {
        case APPEND:
          stream_append (&stream, steps[i].bytes, strlen (steps[i].bytes), 0);
          break;
        case ACK:
          is_accepted = stream_acknowledge (&stream, steps[i].offset);
          break;
        case RESUME:
          is_accepted = stream_resume (&stream, steps[i].offset, false);
          break;
        }
      sent = send_all (&stream);
      g_test_message ("step %zu", i);
      g_assert_cmpint (is_accepted, ==, steps[i].is_accepted);
      g_assert_cmpstr (sent, ==, steps[i].sent);
      g_assert_cmpuint (stream_count_retained_bytes (&stream), ==,
                        steps[i].retained);
    }
  stream_clear (&stream);
}

/* A large answer that is acknowledged with a lag stays within its bound and
   arrives completely.  */
static void
test_large (void)
{
  enum
  {
    PIECE = 50000,
    PIECES = 60
  };
  g_autofree char *piece = g_strnfill (PIECE, 'x');
  uint64_t sent = 0;
  stream_t stream;

  stream_init (&stream);
  for (int i = 0; i < PIECES; i++)
    {
      g_autofree char *out = NULL;

      piece[0] = (char)('a' + i % 26);
      stream_append (&stream, piece, PIECE, 0);
      if (i % 7 == 0)
        (void)stream_resume (&stream, stream.acked_offset, false);
      out = send_all (&stream);
      sent = stream.sent_offset;
      if (i >= 4)
        g_assert_true (
            stream_acknowledge (&stream, sent - 4 * (uint64_t)PIECE));
      g_assert_cmpuint (stream_count_retained_bytes (&stream), <=, 5 * PIECE);
      g_assert_true (out[strlen (out) - PIECE] == 'a' + i % 26);
    }
  g_assert_cmpuint (sent, ==, (uint64_t)PIECE * PIECES);
  stream_clear (&stream);
}

static void
test_head_and_end (void)
{
  static const char *const headers[]
      = { "Content-Type: text/plain", "Content-Length: 3",
          "transfer-encoding: chunked", NULL };
  stream_t stream;

  stream_init (&stream);
  stream_set_head (&stream, 200, headers);
  g_assert_cmpuint (stream.headers->len, ==, 1);
  stream_set_head (&stream, 500, headers);
  g_assert_cmpuint (stream.status, ==, 200);
  stream_set_end (&stream, OUTCOME_BROKEN, "first");
  stream_set_end (&stream, OUTCOME_COMPLETE, "second");
  g_assert_cmpint (stream.outcome, ==, OUTCOME_BROKEN);
  stream.is_head_sent = true;
  stream.is_end_sent = true;
  g_assert_true (stream_resume (&stream, 0, false));
  g_assert_true (stream.is_head_sent);
  g_assert_false (stream.is_end_sent);
  g_assert_true (stream_resume (&stream, 0, true));
  g_assert_false (stream.is_head_sent);
  stream_clear (&stream);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/stream/table", test_table);
  g_test_add_func ("/stream/large", test_large);
  g_test_add_func ("/stream/head-and-end", test_head_and_end);
  return g_test_run ();
}
