/* Events of streams, cut out of bytes that come in any pieces.  */

#include "relay/evs.h"

#include <string.h>

typedef struct
{
  const char *name;
  const char *pieces[5]; /* NULL-ended */
  const char *passed;    /* what comes out */
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
  { "no-id", { "data: a\n\n", NULL }, "data: a\n\n", -1 },
  { "carriage-returns",
    { "id: 7\r\ndata: a\r\n\r\n", NULL },
    "id: 7\r\ndata: a\r\n\r\n",
    7 },
};

static void
test_case (const void *data)
{
  const case_t *one = data;
  g_autoptr (GString) out = g_string_new (NULL);
  evs_t sse;

  evs_init (&sse);
  for (unsigned i = 0; one->pieces[i] != NULL; i++)
    evs_feed (&sse, one->pieces[i], strlen (one->pieces[i]), out);
  g_assert_cmpstr (out->str, ==, one->passed);
  g_assert_cmpint (sse.last_id, ==, one->last_id);
  evs_clear (&sse);
}

/* The caller must see each event once and whole.  An endpoint stops in the
   middle of event 2; another goes on after event 1 and sends it again.  Half
   an event that was passed on could not be taken back.  */
static void
test_goes_on_elsewhere (void)
{
  static const char first[] = "id: 1\ndata: a\n\nid: 2\ndata: b";
  static const char second[] = "id: 2\ndata: b\n\n";
  g_autoptr (GString) out = g_string_new (NULL);
  evs_t sse;

  evs_init (&sse);
  evs_feed (&sse, first, strlen (first), out);
  evs_discard_partial (&sse);
  evs_feed (&sse, second, strlen (second), out);
  g_assert_cmpstr (out->str, ==, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  evs_clear (&sse);
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
  return g_test_run ();
}
