/* The stream journal: which slot is written when, and what it holds.  */

#include "relay/jrn.h"

#define NOW 1000000
#define INTERVAL JRN_WRITE_INTERVAL_MS
#define SPAN JRN_SPAN_MS

static void
add_many (jrn_t *jrn, cfd_time_t now, uint64_t first, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    jrn_add (jrn, now, first + i, 5);
}

/* A step of a case: records are added, and a write that began, if any, has the
   result of the step before.  */
typedef struct
{
  int64_t at_ms;
  unsigned added;
  jrn_result_t result; /* of the write that the step begins */
  int slot;            /* that is written; -1: none */
  unsigned records;
} step_t;

#define MAX_STEPS 6

typedef struct
{
  const char *name; /* and the failure it guards against */
  step_t steps[MAX_STEPS];
} case_t;

static const case_t cases[] = {
  /* Calls to the store without anything to write.  */
  { "nothing", { { 0, 0, JRN_WRITTEN, -1, 0 } } },
  { "only-new",
    { { 0, 1, JRN_WRITTEN, 0, 1 },
      { 300, 0, JRN_WRITTEN, -1, 0 },
      { 600, 0, JRN_WRITTEN, -1, 0 } } },
  /* A call for each stream.  */
  { "interval",
    { { 0, 1, JRN_WRITTEN, 0, 1 },
      { INTERVAL - 1, 1, JRN_WRITTEN, -1, 0 },
      { INTERVAL, 1, JRN_WRITTEN, 0, 3 } } },
  /* Slots that grow without end.  */
  { "span",
    { { 0, 1, JRN_WRITTEN, 0, 1 },
      { SPAN - 1, 1, JRN_WRITTEN, 0, 2 },
      { SPAN + 300, 1, JRN_WRITTEN, 1, 1 },
      { 2 * SPAN + 300, 1, JRN_WRITTEN, 2, 1 } } },
  /* A refused write after whose span nothing new came: its records were never
     written.  */
  { "refused",
    { { 0, 1, JRN_WRITTEN, 0, 1 },
      { SPAN - 200, 1, JRN_REFUSED, 0, 2 },
      { SPAN - 1, 0, JRN_WRITTEN, -1, 0 },
      { SPAN + 300, 0, JRN_WRITTEN, 1, 1 } } },
  { "refused-within-span",
    { { 0, 2, JRN_REFUSED, 0, 2 }, { 400, 1, JRN_WRITTEN, 0, 3 } } },
  /* A write without a response that the store does late: it replaced the
     records of a newer one of the same slot.  */
  { "late",
    { { 0, 1, JRN_WRITTEN, 0, 1 },
      { INTERVAL, 1, JRN_UNKNOWN, 0, 2 },
      { INTERVAL + 200, 1, JRN_WRITTEN, -1, 0 },
      { INTERVAL + 400, 1, JRN_WRITTEN, 1, 3 } } },
  /* Records that nobody asks for any more.  */
  { "old", { { 0, 1, JRN_REFUSED, 0, 1 }, { 20001, 0, JRN_WRITTEN, -1, 0 } } },
  /* Objects of a megabyte.  */
  { "too-large",
    { { 0, JRN_MAX_SLOT_RECORDS + 10, JRN_WRITTEN, 0, JRN_MAX_SLOT_RECORDS },
      { 200, 0, JRN_WRITTEN, 1, 10 } } },
};

static void
test_steps (gconstpointer data)
{
  const case_t *one = data;
  g_autoptr (jrn_t) jrn = jrn_new ();
  uint64_t key = 1;

  for (unsigned i = 0; i < MAX_STEPS; i++)
    {
      const step_t *step = &one->steps[i];
      cfd_time_t now = NOW + step->at_ms;
      jrn_write_t write;
      bool begins;

      if (i > 0 && step->at_ms == 0)
        break;
      add_many (jrn, now, key, step->added);
      key += step->added;
      begins = jrn_begin_write (jrn, now, &write);
      g_assert_cmpint (begins ? (int)write.slot : -1, ==, step->slot);
      if (!begins)
        continue;
      g_assert_cmpuint (write.records, ==, step->records);
      jrn_end_write (jrn, now, step->result);
    }
}

/* With records that are needed for longer, no slot is used again too early,
   and the number of slots stays limited.  */
static void
test_long_kept (void)
{
  const int64_t keep_ms = 3 * JRN_KEEP_MS;
  g_autoptr (jrn_t) jrn = jrn_new ();
  cfd_time_t written_at[JRN_MAX_SLOTS] = { 0 };
  unsigned last = JRN_MAX_SLOTS;

  jrn_extend_keep_ms (jrn, keep_ms);
  jrn_extend_keep_ms (jrn, JRN_KEEP_MS);
  for (unsigned i = 0; i < 600; i++)
    {
      cfd_time_t now = NOW + (cfd_time_t)i * 300;
      jrn_write_t write;

      add_many (jrn, now, i + 1, 1);
      g_assert_true (jrn_begin_write (jrn, now, &write));
      g_assert_cmpuint (write.slot, <, JRN_MAX_SLOTS);
      if (written_at[write.slot] != 0 && write.slot != last)
        g_assert_cmpint (now - written_at[write.slot], >, keep_ms);
      written_at[write.slot] = now;
      last = write.slot;
      jrn_end_write (jrn, now, JRN_WRITTEN);
    }
}

static void
append_confirmed (void *user, uint64_t key)
{
  g_array_append_val ((GArray *)user, key);
}

/* Records are reported as stored once, by the write that added them, and not
   those that wait or whose write failed.  */
static void
test_confirmed (void)
{
  g_autoptr (jrn_t) jrn = jrn_new ();
  g_autoptr (GArray) keys = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  jrn_write_t write;

  add_many (jrn, NOW, 1, 2);
  g_assert_true (jrn_begin_write (jrn, NOW, &write));
  add_many (jrn, NOW, 3, 1);
  jrn_foreach_confirmed (jrn, append_confirmed, keys);
  g_assert_cmpuint (keys->len, ==, 0);
  jrn_end_write (jrn, NOW + 5, JRN_WRITTEN);
  jrn_foreach_confirmed (jrn, append_confirmed, keys);
  g_assert_cmpuint (keys->len, ==, 2);
  g_assert_true (jrn_begin_write (jrn, NOW + 100, &write));
  jrn_end_write (jrn, NOW + 105, JRN_WRITTEN);
  jrn_foreach_confirmed (jrn, append_confirmed, keys);
  g_assert_cmpuint (keys->len, ==, 3);
  g_assert_cmpuint (g_array_index (keys, uint64_t, 2), ==, 3);
  add_many (jrn, NOW + 200, 4, 1);
  g_assert_true (jrn_begin_write (jrn, NOW + 200, &write));
  jrn_end_write (jrn, NOW + 205, JRN_UNKNOWN);
  jrn_foreach_confirmed (jrn, append_confirmed, keys);
  g_assert_cmpuint (keys->len, ==, 3);
}

/* A second call while the first one is unanswered: the store may do them in
   any order.  */
static void
test_one_at_a_time (void)
{
  g_autoptr (jrn_t) jrn = jrn_new ();
  jrn_write_t write;

  add_many (jrn, NOW, 1, 1);
  g_assert_true (jrn_begin_write (jrn, NOW, &write));
  g_assert_false (write.exists);
  add_many (jrn, NOW + 300, 2, 1);
  g_assert_false (jrn_begin_write (jrn, NOW + 300, &write));
  jrn_end_write (jrn, NOW + 400, JRN_WRITTEN);
  g_assert_cmpuint (jrn_count_unwritten (jrn), ==, 1);
  g_assert_true (jrn_begin_write (jrn, NOW + 400, &write));
  g_assert_cmpuint (write.added, ==, 1);
  g_assert_true (write.exists);
}

/* Records that are lost as their slot is used again before they are 20 s old,
   also when writes without a response use up slots.  */
static void
test_reuse (gconstpointer data)
{
  jrn_result_t failure = (jrn_result_t)GPOINTER_TO_INT (data);
  g_autoptr (jrn_t) jrn = jrn_new ();
  cfd_time_t written_at[JRN_MAX_SLOTS] = { 0 };
  unsigned max_slot = 0;
  unsigned last = 0;

  for (unsigned i = 0; i < 600; i++)
    {
      cfd_time_t now = NOW + i * 200;
      bool fails = i % 8 == 7;
      jrn_write_t write;

      add_many (jrn, now, i + 1, 1);
      if (!jrn_begin_write (jrn, now, &write))
        continue;
      g_assert_cmpuint (write.slot, <, JRN_MAX_SLOTS);
      if (written_at[write.slot] != 0 && write.slot != last)
        g_assert_cmpint (now - written_at[write.slot], >, JRN_KEEP_MS);
      written_at[write.slot] = now;
      last = write.slot;
      max_slot = MAX (max_slot, write.slot);
      jrn_end_write (jrn, now, fails ? failure : JRN_WRITTEN);
    }
  g_assert_cmpuint (max_slot, <,
                    JRN_KEEP_MS / SPAN + (failure == JRN_UNKNOWN ? 14 : 3));
}

/* An outage of the store takes memory without end.  */
static void
test_flood (void)
{
  g_autoptr (jrn_t) jrn = jrn_new ();
  jrn_write_t write;

  add_many (jrn, NOW, 1, 100000);
  g_assert_true (jrn_begin_write (jrn, NOW, &write));
  jrn_end_write (jrn, NOW, JRN_UNKNOWN);
  add_many (jrn, NOW, 100001, 100000);
  g_assert_cmpuint (jrn_count_unwritten (jrn), <=, JRN_MAX_RECORDS);
}

/* A router that isn't to write keeps what the one that is may not have
   written.  */
static void
test_expire (void)
{
  g_autoptr (jrn_t) jrn = jrn_new ();

  add_many (jrn, NOW, 1, 2);
  add_many (jrn, NOW + 3000, 3, 1);
  jrn_expire (jrn, NOW + 5000, 5000);
  g_assert_cmpuint (jrn_count_unwritten (jrn), ==, 3);
  jrn_expire (jrn, NOW + 5001, 5000);
  g_assert_cmpuint (jrn_count_unwritten (jrn), ==, 1);
}

/* Records come out as they went in.  */
static void
test_format (void)
{
  g_autoptr (jrn_t) jrn = jrn_new ();
  g_autoptr (GArray) keys = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_autofree char *text = NULL;
  jrn_write_t write;

  jrn_add (jrn, NOW, UINT64_C (0xff00112233), 7);
  jrn_add (jrn, NOW, 1, 7);
  jrn_begin_write (jrn, NOW, &write);
  text = jrn_format (jrn);
  g_assert_cmpstr (text, ==,
                   "{\"origins\":[{\"origin\":7,\"keys\":"
                   "\"/wARIjMAAAAAAQ==\"}]}");
  g_assert_true (jrn_decode_keys ("/wARIjMAAAAAAQ==", keys));
  g_assert_cmpuint (keys->len, ==, 2);
  g_assert_cmpuint (g_array_index (keys, uint64_t, 0), ==,
                    UINT64_C (0xff00112233));
  g_assert_cmpuint (g_array_index (keys, uint64_t, 1), ==, 1);
}

/* Keys of a damaged object that are taken for others.  */
static void
test_malformed (void)
{
  static const char *const texts[]
      = { "AAAAAAE",  "AAAAAAE=A", "AAAA AE=", "AA==",
          "AAAAAAEC", "=",         "====",     "\xff\xff\xff\xff" };
  g_autoptr (GArray) keys = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (unsigned i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_assert_false (jrn_decode_keys (texts[i], keys));
      g_assert_cmpuint (keys->len, ==, 0);
    }
  g_assert_true (jrn_decode_keys ("", keys));
}

/* The journal gets own records and those of the cell, each once, when several
   versions serve; those of other cells are written there.  */
static void
test_sources (void)
{
  g_autoptr (jrn_t) jrn = jrn_new ();
  org_t *org = org_new ();

  org_set_journal (org, jrn);
  org_add (org, NOW, 1, 5, false);
  org_add_peer (org, NOW, 2, 5);
  g_assert_cmpuint (jrn_count_unwritten (jrn), ==, 0);
  org_add (org, NOW, 3, 5, true);
  org_add_near (org, NOW, 4, 5);
  org_add_near (org, NOW + 100, 4, 5);
  g_assert_cmpuint (jrn_count_unwritten (jrn), ==, 2);
  org_begin_versions (org);
  org_list_version (org, "app", "v1");
  org_list_version (org, "app", "v2");
  org_end_versions (org, NOW + 100);
  g_assert_true (org_is_any_mixed (org, NOW + 100));
  g_assert_cmpuint (jrn_count_unwritten (jrn), ==, 4);
  org_free (org);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/jrn/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_steps);
    }
  g_test_add_func ("/jrn/confirmed", test_confirmed);
  g_test_add_func ("/jrn/long-kept", test_long_kept);
  g_test_add_func ("/jrn/one-at-a-time", test_one_at_a_time);
  g_test_add_data_func ("/jrn/reuse", GINT_TO_POINTER (JRN_REFUSED),
                        test_reuse);
  g_test_add_data_func ("/jrn/reuse-unknown", GINT_TO_POINTER (JRN_UNKNOWN),
                        test_reuse);
  g_test_add_func ("/jrn/flood", test_flood);
  g_test_add_func ("/jrn/expire", test_expire);
  g_test_add_func ("/jrn/format", test_format);
  g_test_add_func ("/jrn/malformed", test_malformed);
  g_test_add_func ("/jrn/sources", test_sources);
  return g_test_run ();
}
