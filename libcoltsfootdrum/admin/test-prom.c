/* Prometheus' text format: each span falls into one bucket, and the text adds
   them up as its readers expect.  */

#include "admin/prom.h"

#include <stdbool.h>
#include <string.h>

#define LABELS "service=\"app\""

typedef struct
{
  int64_t ms;
  const char *first;  /* the first bucket that counts it */
  const char *before; /* the last that does not; NULL: none */
} case_t;

static const case_t cases[] = {
  { 0, "1", NULL },
  { 1, "1", NULL },
  { 2, "2", "1" },
  { 3, "5", "2" },
  { 10000, "10000", "5000" },
  { 10001, "+Inf", "10000" },
  /* A clock that stood still, or a process that did.  */
  { -5, "1", NULL },
};

static bool
has_bucket (const GString *out, const char *bound, unsigned count)
{
  g_autofree char *line = g_strdup_printf (
      "cfd_x_ms_bucket{" LABELS ",le=\"%s\"} %u\n", bound, count);

  return strstr (out->str, line) != NULL;
}

static void
test_bounds (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GString) out = g_string_new (NULL);
      prom_hist_t hist = { 0 };

      prom_hist_observe (&hist, cases[i].ms);
      prom_hist_append (&hist, out, "cfd_x_ms", LABELS);
      g_assert_true (has_bucket (out, cases[i].first, 1));
      g_assert_true (cases[i].before == NULL
                     || has_bucket (out, cases[i].before, 0));
      g_assert_true (has_bucket (out, "+Inf", 1));
    }
}

static void
test_text (void)
{
  g_autoptr (GString) out = g_string_new (NULL);
  prom_hist_t hist = { 0 };
  const char *type = "# TYPE cfd_x_ms histogram\n";

  prom_hist_observe (&hist, 7);
  prom_hist_observe (&hist, 70);
  prom_hist_append (&hist, out, "cfd_x_ms", LABELS);
  prom_hist_append (&hist, out, "cfd_x_ms", "service=\"other\"");
  g_assert_true (g_str_has_prefix (out->str, type));
  g_assert_null (strstr (out->str + 1, type));
  g_assert_nonnull (strstr (out->str, "cfd_x_ms_sum{" LABELS "} 77\n"));
  g_assert_nonnull (strstr (out->str, "cfd_x_ms_count{" LABELS "} 2\n"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/prom/bounds", test_bounds);
  g_test_add_func ("/prom/text", test_text);
  return g_test_run ();
}
