/* Tests of splitting a stream into events, whatever pieces it arrives in.  */

#include "relay/evs.h"

#include <string.h>

typedef struct
{
  const char *name;
  const char *pieces[5]; /* NULL-terminated */
  const char *output;
  int64_t last_id;
} case_t;

static const case_t cases[] = {
  { "whole", { "id: 1\ndata: a\n\n", NULL }, "id: 1\ndata: a\n\n", 1 },
  { "in-pieces",
    { "id: 1\nda", "ta: a\n", "\nid: 2", "\ndata: b\n\n", NULL },
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    2 },
  { "begun",
    { "id: 1\ndata: a\n\nid: 2\nda", NULL },
    "id: 1\ndata: a\n\n",
    1 },
  { "twice",
    { "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2\n\n", NULL },
    "id: 1\ndata: a\n\nid: 2\n\n",
    2 },
  /* The number was searched for in the lines after an empty id, so that the
     event was taken for an old one and dropped.  */
  { "empty-id",
    { "id: 3\ndata: a\n\nid:\ndata: b\n\n", NULL },
    "id: 3\ndata: a\n\nid:\ndata: b\n\n",
    3 },
  { "id-in-next-event",
    { "id: 3\n\nid:\n\n2\n\nid: 4\n\n", NULL },
    "id: 3\n\nid:\n\n2\n\nid: 4\n\n",
    4 },
  { "huge-id",
    { "id: 99999999999999999999\n\nid: 5\n\n", NULL },
    "id: 99999999999999999999\n\nid: 5\n\n",
    5 },
  { "empty-id-carriage-return",
    { "id: 2\n\nid:\n\r\nid: 4\n\n", NULL },
    "id: 2\n\nid:\n\r\nid: 4\n\n",
    4 },
  { "no-id", { "data: a\n\n", NULL }, "data: a\n\n", -1 },
  /* Guards against a stream whose lines end with carriage returns alone, of
     which no event is passed on.  */
  { "lone-carriage-returns",
    { "id: 7\rdata: a\r\rid: 8\rda", "ta: b\r", "\rid", NULL },
    "id: 7\rdata: a\r\rid: 8\rdata: b\r\r",
    8 },
  { "lone-carriage-returns-twice",
    { "data: a\rid: 7\r\r", "id: 7\r\r", NULL },
    "data: a\rid: 7\r\r",
    7 },
  { "carriage-returns",
    { "id: 7\r\ndata: a\r\n\r\n", NULL },
    "id: 7\r\ndata: a\r\n\r\n",
    7 },
};

static void
test_case (const void *data)
{
  const case_t *test = data;
  g_autoptr (GString) out = g_string_new (NULL);
  evs_t stream;

  evs_init (&stream);
  for (unsigned i = 0; test->pieces[i] != NULL; i++)
    evs_feed (&stream, test->pieces[i], strlen (test->pieces[i]), out);
  g_assert_cmpstr (out->str, ==, test->output);
  g_assert_cmpint (stream.last_id, ==, test->last_id);
  evs_clear (&stream);
}

/* The client must receive each event once and complete.  An endpoint fails in
   the middle of event 2; another one continues after event 1 and sends event 2
   again.  Half an event that was passed on could not be withdrawn.  */
static void
test_goes_on_elsewhere (void)
{
  static const char first[] = "id: 1\ndata: a\n\nid: 2\ndata: b";
  static const char second[] = "id: 2\ndata: b\n\n";
  g_autoptr (GString) out = g_string_new (NULL);
  evs_t stream;

  evs_init (&stream);
  evs_feed (&stream, first, strlen (first), out);
  evs_discard_partial (&stream);
  evs_feed (&stream, second, strlen (second), out);
  g_assert_cmpstr (out->str, ==, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  evs_clear (&stream);
}

/* An endpoint's event without an end took memory without a limit, and each
   part that arrived was searched from the event's beginning.  */
static void
test_too_long (void)
{
  g_autoptr (GString) out = g_string_new (NULL);
  char part[1000];
  evs_t stream;

  evs_init (&stream);
  memset (part, 'x', sizeof part);
  for (unsigned i = 0; i < 2 * EVS_MAX_EVENT_BYTES / sizeof part; i++)
    {
      evs_feed (&stream, part, sizeof part, out);
      g_assert_cmpuint (stream.bytes->len, <=, EVS_MAX_EVENT_BYTES);
    }
  g_assert_true (stream.is_too_long);
  evs_feed (&stream, "\n\nid: 2\n\n", 9, out);
  g_assert_cmpuint (out->len, ==, 0);
  evs_discard_partial (&stream);
  evs_feed (&stream, "id: 2\n\n", 7, out);
  g_assert_cmpstr (out->str, ==, "id: 2\n\n");
  evs_clear (&stream);
}

/* Feeds REPEATED until it has LENGTH bytes.  */
static void
feed_repeatedly (evs_t *stream, const char *repeated, size_t length)
{
  g_autoptr (GString) out = g_string_new (NULL);

  for (size_t fed = 0; fed < length; fed += strlen (repeated))
    {
      evs_feed (stream, repeated, strlen (repeated), out);
      g_string_truncate (out, 0);
    }
}

/* Guards against a stream that is read without end, though it brings nothing
   but comments, blank lines or events that were received before.  */
static void
test_idle (void)
{
  static const char *const idle[]
      = { ": a\n\n", "\n\n", "\r\n\r\n", ":\r: b\r\r", "id: 1\ndata: a\n\n" };

  for (unsigned i = 0; i < G_N_ELEMENTS (idle); i++)
    {
      evs_t stream;

      evs_init (&stream);
      feed_repeatedly (&stream, "id: 1\n\n", 1);
      feed_repeatedly (&stream, idle[i], EVS_MAX_IDLE_BYTES - 64);
      g_assert_false (stream.is_too_long);
      feed_repeatedly (&stream, "data: a\n\n", 1);
      feed_repeatedly (&stream, idle[i], EVS_MAX_IDLE_BYTES - 64);
      g_assert_false (stream.is_too_long);
      feed_repeatedly (&stream, idle[i], 128);
      g_assert_true (stream.is_too_long);
      evs_clear (&stream);
    }
}

/* Guards against a long stream that is taken for an endless one, since its
   endpoint begins it anew instead of resuming it.  */
static void
test_begun_anew (void)
{
  g_autoptr (GString) out = g_string_new (NULL);
  evs_t stream;

  evs_init (&stream);
  for (unsigned pass = 0; pass < 2; pass++)
    {
      for (unsigned id = 1; id <= EVS_MAX_IDLE_BYTES / 8; id++)
        {
          g_autofree char *event = g_strdup_printf ("id: %u\n\n", id);

          evs_feed (&stream, event, strlen (event), out);
        }
      g_assert_false (stream.is_too_long);
      g_assert_cmpint (stream.last_id, ==, EVS_MAX_IDLE_BYTES / 8);
      evs_discard_partial (&stream);
    }
  evs_clear (&stream);
}

/* Pieces of one byte give the same events as the whole.  */
static void
test_single_bytes (void)
{
  static const char text[] = "id: 1\r\ndata: a\r\n\r\nid: 2\n\ndata: \n\n";
  g_autoptr (GString) out = g_string_new (NULL);
  evs_t stream;

  evs_init (&stream);
  for (size_t i = 0; i + 1 < sizeof text; i++)
    evs_feed (&stream, text + i, 1, out);
  g_assert_cmpstr (out->str, ==, text);
  g_assert_cmpuint (stream.events, ==, 3);
  evs_clear (&stream);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/evs/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
    }
  g_test_add_func ("/evs/goes-on-elsewhere", test_goes_on_elsewhere);
  g_test_add_func ("/evs/too-long", test_too_long);
  g_test_add_func ("/evs/idle", test_idle);
  g_test_add_func ("/evs/begun-anew", test_begun_anew);
  g_test_add_func ("/evs/single-bytes", test_single_bytes);
  return g_test_run ();
}
