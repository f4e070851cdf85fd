/* Checks that docs/METRICS.md lists exactly the metrics that real processes
   export.  */

#include "fleet.h"
#include <string.h>

/* Adds "NAME TYPE" of each metric that a process exports.  */
static void
add_exported_metrics (const fleet_t *fleet, fleet_role_t role,
                      GHashTable *exported)
{
  g_autofree char *base = fleet_get_admin_url (fleet, role, 0);
  g_autofree char *url = g_strconcat (base, "/metrics", NULL);
  long status = 0;
  g_autofree char *text = proc_send_http (NULL, url, NULL, NULL, &status);
  g_auto (GStrv) lines = NULL;

  g_assert_cmpint (status, ==, 200);
  lines = g_strsplit (text, "\n", 0);
  for (unsigned i = 0; lines[i] != NULL; i++)
    if (g_str_has_prefix (lines[i], "# TYPE "))
      g_hash_table_add (exported, g_strdup (lines[i] + strlen ("# TYPE ")));
}

/* Returns "NAME TYPE" of each row of the page.  */
static GHashTable *
read_documented_metrics (void)
{
  GHashTable *documented
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;

  g_assert_true (g_file_get_contents (PAGES "/METRICS.md", &text, NULL, NULL));
  lines = g_strsplit (text, "\n", 0);
  for (unsigned i = 0; lines[i] != NULL; i++)
    {
      g_auto (GStrv) cells = NULL;

      if (!g_str_has_prefix (lines[i], "| `cfd_"))
        continue;
      cells = g_strsplit (lines[i], "|", 0);
      g_strdelimit (cells[1], "`", ' ');
      g_hash_table_add (documented,
                        g_strdup_printf ("%s %s", g_strstrip (cells[1]),
                                         g_strstrip (cells[2])));
    }
  return documented;
}

static void
check_subset (GHashTable *subset, GHashTable *superset, const char *missing_in)
{
  GHashTableIter iter;
  gpointer row;

  g_hash_table_iter_init (&iter, subset);
  while (g_hash_table_iter_next (&iter, &row, NULL))
    if (!g_hash_table_contains (superset, row))
      g_error ("%s is missing in %s", (const char *)row, missing_in);
}

static void
test_metrics (void)
{
  static const fleet_account_t account = { "branch", "key-of-branch", 1 };
  static const fleet_plan_t plan = { .zones = 1,
                                     .routers = 1,
                                     .models = 1,
                                     .slots = 4,
                                     .slots_cold = 4,
                                     .step_ms = 10,
                                     .zone_ms = 1,
                                     .caller_ms = 1,
                                     .seed = 1,
                                     .policy = "fleet",
                                     .account_count = 1,
                                     .accounts = &account };
  g_autoptr (GError) error = NULL;
  g_autoptr (GHashTable) documented = read_documented_metrics ();
  g_autoptr (GHashTable) exported
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet_t *fleet = fleet_new (&plan, &error);

  g_assert_no_error (error);
  add_exported_metrics (fleet, FLEET_ROUTER, exported);
  add_exported_metrics (fleet, FLEET_AGENT, exported);
  fleet_free (fleet, false);
  check_subset (exported, documented, "docs/METRICS.md");
  check_subset (documented, exported, "the processes' metrics");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pages/metrics", test_metrics);
  return g_test_run ();
}
