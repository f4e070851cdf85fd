#include "admin/prom.h"

#include <string.h>

static const int64_t bucket_bounds_ms[PROM_BUCKETS - 1]
    = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000 };

static void
append_type_line (GString *out, const char *name, const char *type)
{
  g_autofree char *line = g_strdup_printf ("# TYPE %s %s\n", name, type);

  if (strstr (out->str, line) == NULL)
    g_string_append (out, line);
}

void
prom_append_sample (GString *out, const char *name, const char *type,
                    const char *labels, double value)
{
  char number[G_ASCII_DTOSTR_BUF_SIZE];

  g_ascii_dtostr (number, sizeof number, value);
  append_type_line (out, name, type);
  g_string_append (out, name);
  if (labels != NULL)
    g_string_append_printf (out, "{%s}", labels);
  g_string_append_printf (out, " %s\n", number);
}

void
prom_hist_observe (prom_hist_t *hist, int64_t ms)
{
  unsigned i = 0;

  while (i < G_N_ELEMENTS (bucket_bounds_ms) && ms > bucket_bounds_ms[i])
    i++;
  hist->counts[i]++;
  hist->sum_ms += (double)MAX (ms, 0);
}

void
prom_hist_append (const prom_hist_t *hist, GString *out, const char *name,
                  const char *labels)
{
  uint64_t cumulative_count = 0;

  append_type_line (out, name, "histogram");
  for (unsigned i = 0; i < G_N_ELEMENTS (bucket_bounds_ms); i++)
    {
      cumulative_count += hist->counts[i];
      g_string_append_printf (
          out,
          "%s_bucket{%s,le=\"%" G_GINT64_FORMAT "\"} %" G_GUINT64_FORMAT "\n",
          name, labels, bucket_bounds_ms[i], cumulative_count);
    }
  cumulative_count += hist->counts[PROM_BUCKETS - 1];
  g_string_append_printf (out,
                          "%s_bucket{%s,le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
                          name, labels, cumulative_count);
  g_string_append_printf (out, "%s_sum{%s} %.0f\n", name, labels,
                          hist->sum_ms);
  g_string_append_printf (out, "%s_count{%s} %" G_GUINT64_FORMAT "\n", name,
                          labels, cumulative_count);
}
