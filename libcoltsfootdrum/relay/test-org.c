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
  { "one-version", { ORG_ANY, false, true }, ORG_FREE },
  { "one-version-recorded", { 5, false, true }, ORG_BOUND },
  { "mixed-recorded", { 5, true, true }, ORG_BOUND },
  { "mixed", { ORG_ANY, true, true }, ORG_UNKNOWN },
  { "partitioned", { ORG_ANY, false, false }, ORG_UNKNOWN },
  { "partitioned-recorded", { 5, false, false }, ORG_BOUND },
  { "partitioned-mixed", { ORG_ANY, true, false }, ORG_UNKNOWN },
};

static void
test_decide (gconstpointer data)
{
  const case_t *one = data;

  g_assert_cmpint (org_decide (&one->inputs), ==, one->verdict);
}

static void
list_versions (org_t *org, cfd_time_t now, org_origin_t first,
               org_origin_t second)
{
  org_begin_versions (org);
  org_list_version (org, "app", first);
  org_list_version (org, "app", second);
  org_end_versions (org, now);
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
  g_test_add_func ("/org/mixed", test_mixed);
  g_test_add_func ("/org/published-later", test_published_later);
  g_test_add_func ("/org/record-age", test_record_age);
  g_test_add_func ("/org/flood", test_flood);
  g_test_add_func ("/org/retired-flood", test_retired_flood);
  g_test_add_func ("/org/hash", test_hash);
  return g_test_run ();
}
