/* Where streams began, and which versions are in service.  */

#include "relay/org.h"

#define NOW 1000000
#define KEEP_MS 20000

typedef struct
{
  const char *name;
  org_inputs_t inputs;
  org_verdict_t verdict;
} case_t;

/* A router never guesses at which version a stream began.  */
static const case_t cases[] = {
  { "recorded", { 5, ORG_ANY, true }, { ORG_RECORDED, 5 } },
  { "recorded-beside-sole", { 5, 6, true }, { ORG_RECORDED, 5 } },
  { "recorded-register-old", { 5, 6, false }, { ORG_RECORDED, 5 } },
  { "sole", { ORG_ANY, 6, true }, { ORG_SOLE, 6 } },
  { "sole-register-old", { ORG_ANY, 6, false }, { ORG_UNKNOWN, ORG_ANY } },
  { "several", { ORG_ANY, ORG_ANY, true }, { ORG_UNKNOWN, ORG_ANY } },
  { "several-register-old",
    { ORG_ANY, ORG_ANY, false },
    { ORG_UNKNOWN, ORG_ANY } },
};

static void
test_decide (gconstpointer data)
{
  const case_t *one = data;
  org_verdict_t verdict = org_decide (&one->inputs);

  g_assert_cmpint (verdict.ground, ==, one->verdict.ground);
  g_assert_cmpuint (verdict.origin, ==, one->verdict.origin);
}

static void
list_named (org_t *org, cfd_time_t now, const char *first, const char *second)
{
  org_begin_versions (org);
  if (first != NULL)
    org_list_version (org, "app", first);
  if (second != NULL)
    org_list_version (org, "app", second);
  org_end_versions (org, now);
}

static void
list_versions (org_t *org, cfd_time_t now, org_origin_t first,
               org_origin_t second)
{
  g_autofree char *one = g_strdup_printf ("v%u", first);
  g_autofree char *other = g_strdup_printf ("v%u", second);

  list_named (org, now, one, other);
}

static void
register_named (org_t *org, cfd_time_t now, const char *first,
                const char *second)
{
  org_begin_register (org);
  if (first != NULL)
    org_register_version (org, "app", first);
  if (second != NULL)
    org_register_version (org, "app", second);
  org_end_register (org, now, true);
}

static void
append_due (void *user, const char *service, const char *version)
{
  g_string_append_printf (user, "%s/%s ", service, version);
}

/* Asserts which versions ought to be registered: none others than those that
   are, if DIFFERS is false.  */
static void
assert_due (const org_t *org, cfd_time_t now, bool is_list_current,
            bool differs, const char *expected)
{
  g_autoptr (GString) due = g_string_new (NULL);

  g_assert_cmpint (
      org_foreach_due (org, now, is_list_current, append_due, due), ==,
      differs);
  g_assert_cmpstr (due->str, ==, expected);
}

/* Guards against streams of two versions that are joined after all routers
   ended: a version is registered once it is listed, and for as long as its
   streams may be resumed after it left.  */
static void
test_register_due (void)
{
  org_t *org = org_new ();

  register_named (org, NOW, NULL, NULL);
  assert_due (org, NOW, true, false, "");
  list_named (org, NOW, "v1", NULL);
  assert_due (org, NOW, true, true, "app/v1 ");
  register_named (org, NOW, "v1", NULL);
  assert_due (org, NOW, true, false, "app/v1 ");
  list_named (org, NOW + 1, "v1", "v2");
  assert_due (org, NOW + 1, true, true, "app/v1 app/v2 ");
  register_named (org, NOW + 2, "v1", "v2");
  list_named (org, NOW + 3, NULL, "v2");
  assert_due (org, NOW + 3 + KEEP_MS, true, false, "app/v1 app/v2 ");
  assert_due (org, NOW + 4 + KEEP_MS, true, true, "app/v2 ");
  org_free (org);
}

/* A router that starts doesn't know when a registered version left.  It
   counted as gone at once.  */
static void
test_register_at_start (void)
{
  org_t *org = org_new ();

  list_named (org, NOW - 10, "v2", NULL);
  register_named (org, NOW, "v1", "v2");
  assert_due (org, NOW + KEEP_MS, true, false, "app/v2 app/v1 ");
  assert_due (org, NOW + KEEP_MS + 1, true, true, "app/v2 ");
  org_free (org);
}

/* By an old list a version seems to have left that came back.  */
static void
test_register_old_list (void)
{
  org_t *org = org_new ();

  list_named (org, NOW, "v1", "v2");
  register_named (org, NOW, "v1", "v2");
  list_named (org, NOW, "v1", NULL);
  assert_due (org, NOW + KEEP_MS + 1, false, false, "app/v1 app/v2 ");
  assert_due (org, NOW + KEEP_MS + 1, true, true, "app/v1 ");
  org_free (org);
}

/* Two routers that saw a version leave at different times write the register
   in turns.  */
static void
test_register_removed_by_other (void)
{
  org_t *org = org_new ();

  list_named (org, NOW, "v1", "v2");
  register_named (org, NOW, "v1", "v2");
  list_named (org, NOW + 500, "v1", NULL);
  register_named (org, NOW + KEEP_MS, "v1", NULL);
  assert_due (org, NOW + KEEP_MS, true, false, "app/v1 ");
  /* Another router lists it again.  */
  register_named (org, NOW + KEEP_MS + 10, "v1", "v2");
  assert_due (org, NOW + KEEP_MS + 600, true, false, "app/v1 app/v2 ");
  /* So does this one.  */
  list_named (org, NOW + KEEP_MS + 700, "v1", "v2");
  register_named (org, NOW + KEEP_MS + 800, "v1", NULL);
  assert_due (org, NOW + KEEP_MS + 800, true, true, "app/v1 app/v2 ");
  org_free (org);
}

/* A stream without a record is of the only registered version, whatever is
   listed.  Nothing follows from a register that wasn't read.  */
static void
test_sole (void)
{
  org_t *org = org_new ();
  org_origin_t v1 = org_hash ("app", "v1");

  list_named (org, NOW, "v1", NULL);
  g_assert_cmpuint (org_get_sole (org, "app"), ==, ORG_ANY);
  register_named (org, NOW, NULL, NULL);
  g_assert_cmpuint (org_get_sole (org, "app"), ==, ORG_ANY);
  register_named (org, NOW, "v1", NULL);
  g_assert_cmpuint (org_get_sole (org, "app"), ==, v1);
  g_assert_cmpuint (org_get_sole (org, "other"), ==, ORG_ANY);
  list_named (org, NOW, "v1", "v2");
  g_assert_cmpuint (org_get_sole (org, "app"), ==, v1);
  g_assert_true (org_is_registered (org, "app", v1));
  g_assert_false (org_is_registered (org, "app", org_hash ("app", "v2")));
  register_named (org, NOW, "v1", "v2");
  g_assert_cmpuint (org_get_sole (org, "app"), ==, ORG_ANY);
  g_assert_cmpuint (org_count_registered (org, "app"), ==, 2);
  g_assert_cmpuint (org_count_registered (org, NULL), ==, 2);
  org_free (org);
}

/* A register of which a part can't be read names no sole version, and the
   versions read before are kept.  */
static void
test_register_damaged (void)
{
  org_t *org = org_new ();

  list_named (org, NOW, "v1", NULL);
  register_named (org, NOW, "v1", "v2");
  org_begin_register (org);
  org_register_version (org, "app", "v1");
  org_end_register (org, NOW, false);
  g_assert_false (org_knows_register (org));
  g_assert_cmpuint (org_get_sole (org, "app"), ==, ORG_ANY);
  g_assert_cmpuint (org_count_registered (org, "app"), ==, 2);
  assert_due (org, NOW, true, false, "app/v1 app/v2 ");
  register_named (org, NOW, "v1", NULL);
  g_assert_cmpuint (org_get_sole (org, "app"), ==, org_hash ("app", "v1"));
  org_free (org);
}

/* Streams are published while a version that only the register has may have
   begun some: all routers ended after it left.  */
static void
test_registered_mixed (void)
{
  org_t *org = org_new ();

  list_named (org, NOW, "v1", NULL);
  org_add (org, NOW, 1, org_hash ("app", "v1"), false);
  g_assert_false (org_is_mixed (org, NOW, "app"));
  register_named (org, NOW, "v1", "v2");
  g_assert_true (org_is_mixed (org, NOW, "app"));
  g_assert_cmpuint (org_updates (org, NOW)->len, ==, 1);
  g_assert_true (org_is_mixed (org, NOW + KEEP_MS + 1, "app"));
  register_named (org, NOW + KEEP_MS + 1, "v1", NULL);
  g_assert_false (org_is_mixed (org, NOW + KEEP_MS + 1, "app"));
  org_free (org);
}

/* A version that left service counts while its streams may be resumed.  */
static void
test_mixed (void)
{
  org_t *org = org_new ();

  list_versions (org, NOW, 5, 5);
  g_assert_false (org_is_mixed (org, NOW, "app"));
  g_assert_false (org_is_mixed (org, NOW, "other"));
  list_versions (org, NOW + 1, 5, 6);
  g_assert_true (org_is_mixed (org, NOW + 1, "app"));
  list_versions (org, NOW + 100, 6, 6);
  list_versions (org, NOW + 5000, 6, 6);
  g_assert_true (org_is_mixed (org, NOW + 100 + KEEP_MS, "app"));
  g_assert_false (org_is_mixed (org, NOW + 101 + KEEP_MS, "app"));
  org_free (org);
}

/* Streams that began before the second version appeared are published when it
   does.  */
static void
test_published_later (void)
{
  org_t *org = org_new ();

  list_versions (org, NOW, 5, 5);
  org_add (org, NOW, 1, 5, false);
  org_add (org, NOW + 8000, 2, 5, false);
  org_add_peer (org, NOW + 8000, 3, 5);
  g_assert_cmpuint (org_updates (org, NOW + 8000)->len, ==, 0);
  list_versions (org, NOW + 12000, 5, 6);
  g_assert_cmpuint (org_updates (org, NOW + 12000)->len, ==, 1);
  g_assert_cmpuint (
      g_array_index (org_updates (org, NOW + 12000), org_update_t, 0).key, ==,
      2);
  org_free (org);
}

/* Records are sent again with the full state.  One that is repeated seemed to
   be new each time.  */
static void
test_record_age (void)
{
  org_t *org = org_new ();

  org_add_peer (org, NOW, 1, 5);
  org_add_peer (org, NOW + 100, 1, 5);
  g_assert_cmpint (org_find (org, NOW + 150, 1).age_ms, ==, 150);
  org_add (org, NOW + 200, 2, 5, true);
  org_add_peer (org, NOW + 300, 2, 5);
  g_assert_true (org_find (org, NOW + 300, 2).is_own);
  org_free (org);
}

/* Guards against another router's record, or a malformed one without an
   origin, that replaces what this router knows of a stream.  */
static void
test_record_kept (void)
{
  org_t *org = org_new ();

  org_add (org, NOW, 1, 5, true);
  org_add_peer (org, NOW, 1, 6);
  org_add_near (org, NOW, 1, 6);
  g_assert_cmpuint (org_find (org, NOW, 1).origin, ==, 5);
  g_assert_true (org_find (org, NOW, 1).is_own);
  org_add_peer (org, NOW, 2, 7);
  org_add_peer (org, NOW, 2, ORG_ANY);
  g_assert_cmpuint (org_find (org, NOW, 2).origin, ==, 7);
  org_add_peer (org, NOW, 3, ORG_ANY);
  g_assert_cmpuint (org_count_streams (org), ==, 2);
  org_free (org);
}

static void
count_stored (void *user, cfd_time_t now, uint64_t key)
{
  ++*(unsigned *)user;
}

/* What this router stores is reported to the routers where it began, each of
   which notes it once.  */
static void
test_stored (void)
{
  org_t *org = org_new ();
  unsigned stored = 0;

  org_set_stored_callback (org, count_stored, &stored);
  org_add (org, NOW, 1, 5, true);
  org_await (org, NOW, 1, 5);
  org_add_near (org, NOW, 4, 6);
  org_add_stored (org, NOW, 4);
  org_add_near_awaited (org, NOW, 2, 6);
  org_add_stored (org, NOW, 2);
  g_assert_cmpuint (stored, ==, 0);
  g_assert_cmpuint (org_get_awaited (org, NOW)->len, ==, 1);
  g_assert_false (org_find (org, NOW, 1).is_stored);
  g_assert_cmpuint (org_get_stored (org, NOW)->len, ==, 1);
  g_assert_cmpuint (
      g_array_index (org_get_stored (org, NOW), org_stored_t, 0).key, ==, 2);
  org_add_stored (org, NOW, 1);
  org_note_stored (org, NOW, 1);
  org_note_stored (org, NOW, 2);
  org_note_stored (org, NOW, 3);
  g_assert_cmpuint (stored, ==, 1);
  g_assert_true (org_find (org, NOW, 1).is_stored);
  g_assert_cmpuint (org_get_awaited (org, NOW)->len, ==, 0);
  g_assert_cmpuint (org_get_last_stored (org), ==, 1);
  /* The report was lost, and the record came again.  */
  org_add_near_awaited (org, NOW, 2, 6);
  g_assert_cmpuint (org_get_last_stored (org), ==, 2);
  org_await (org, NOW, 5, 5);
  g_assert_cmpuint (org_get_awaited (org, NOW + ORG_AWAIT_MS + 1)->len, ==, 0);
  g_assert_cmpuint (org_get_stored (org, NOW + ORG_UPDATE_KEEP_MS + 1)->len,
                    ==, 0);
  org_free (org);
}

/* A flood of streams takes a bounded amount of memory and of datagrams, and
   the newest are kept.  */
static void
test_flood (void)
{
  org_t *org = org_new ();

  for (uint64_t key = 1; key <= 100000; key++)
    org_add (org, NOW, key, 5, true);
  g_assert_cmpuint (org_count_streams (org), ==, 40000);
  g_assert_cmpuint (org_updates (org, NOW)->len, <=, 2048);
  g_assert_cmpuint (org_find (org, NOW, 100000).origin, ==, 5);
  g_assert_cmpuint (org_find (org, NOW, 1).origin, ==, ORG_ANY);
  org_sweep (org, NOW + KEEP_MS + 1);
  g_assert_cmpuint (org_count_streams (org), ==, 0);
  org_free (org);
}

static void
count_retired (void *user, const org_retired_t *retired)
{
  ++*(unsigned *)user;
}

static void
read_service (void *user, const org_retired_t *retired)
{
  *(uint64_t *)user = retired->service;
}

/* Reports of retired versions come from the network: made-up ones take no
   memory for services that aren't listed, and little for others.  */
static void
test_retired_flood (void)
{
  org_t *org = org_new ();
  org_retired_t retired = { .retired_ms = 10 };
  unsigned count = 0;

  list_versions (org, NOW, 5, 5);
  for (retired.origin = 100; retired.origin < 10000; retired.origin++)
    {
      retired.service = retired.origin;
      org_add_retired (org, NOW, &retired);
    }
  org_foreach_retired (org, NOW, count_retired, &count);
  g_assert_cmpuint (count, ==, 0);
  list_versions (org, NOW, 6, 6);
  org_foreach_retired (org, NOW, read_service, &retired.service);
  for (retired.origin = 100; retired.origin < 10000; retired.origin++)
    org_add_retired (org, NOW, &retired);
  org_foreach_retired (org, NOW, count_retired, &count);
  g_assert_cmpuint (count, <=, 64);
  g_assert_true (org_is_mixed (org, NOW, "app"));
  org_free (org);
}

static void
deliver_retired (void *user, const org_retired_t *retired)
{
  g_array_append_val ((GArray *)user, *retired);
}

/* Has TO learn at NOW what FROM sent at SENT_AT.  */
static void
exchange_retired (const org_t *from, cfd_time_t sent_at, org_t *to,
                  cfd_time_t now)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (org_retired_t));

  org_foreach_retired (from, sent_at, deliver_retired, rows);
  for (guint i = 0; i < rows->len; i++)
    org_add_retired (to, now, &g_array_index (rows, org_retired_t, i));
}

/* Guards against a version that never counts as gone: routers that tell each
   other for how long it has left moved its departure forward each time, by the
   delay of the datagram.  The third router started after it had left.  */
static void
test_retired_exchange (void)
{
  const int64_t delay_ms = 150;
  const int64_t interval_ms = 200;
  org_t *all[3];

  for (unsigned i = 0; i < G_N_ELEMENTS (all); i++)
    {
      all[i] = org_new ();
      list_named (all[i], NOW - 100, "v1", i < 2 ? "v2" : NULL);
      list_named (all[i], NOW + 100 * i, "v1", NULL);
    }
  for (cfd_time_t now = NOW + 300; now <= NOW + KEEP_MS + 1000;
       now += interval_ms)
    for (unsigned i = 0; i < 9; i++)
      if (i / 3 != i % 3)
        exchange_retired (all[i / 3], now, all[i % 3], now + delay_ms);
  for (unsigned i = 0; i < G_N_ELEMENTS (all); i++)
    {
      g_assert_true (org_is_mixed (all[i], NOW + KEEP_MS, "app"));
      g_assert_false (org_is_mixed (all[i], NOW + KEEP_MS + 1000, "app"));
      org_free (all[i]);
    }
}

static void
test_hash (void)
{
  g_assert_cmpuint (org_hash ("app", "v1"), ==, org_hash ("app", "v1"));
  g_assert_cmpuint (org_hash ("app", "v1"), !=, org_hash ("app", "v2"));
  g_assert_cmpuint (org_hash ("app", "v1"), !=, org_hash ("other", "v1"));
  g_assert_cmpuint (org_hash ("app", NULL), !=, ORG_ANY);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/org/decide/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_decide);
    }
  g_test_add_func ("/org/register/due", test_register_due);
  g_test_add_func ("/org/register/at-start", test_register_at_start);
  g_test_add_func ("/org/register/old-list", test_register_old_list);
  g_test_add_func ("/org/register/removed-by-other",
                   test_register_removed_by_other);
  g_test_add_func ("/org/register/sole", test_sole);
  g_test_add_func ("/org/register/damaged", test_register_damaged);
  g_test_add_func ("/org/register/mixed", test_registered_mixed);
  g_test_add_func ("/org/mixed", test_mixed);
  g_test_add_func ("/org/published-later", test_published_later);
  g_test_add_func ("/org/record-age", test_record_age);
  g_test_add_func ("/org/record-kept", test_record_kept);
  g_test_add_func ("/org/stored", test_stored);
  g_test_add_func ("/org/flood", test_flood);
  g_test_add_func ("/org/retired-flood", test_retired_flood);
  g_test_add_func ("/org/retired-exchange", test_retired_exchange);
  g_test_add_func ("/org/hash", test_hash);
  return g_test_run ();
}
