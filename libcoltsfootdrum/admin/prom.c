/* Prometheus' text format.  */

#include "admin/prom.h"

#include <string.h>

static const int64_t bounds_ms[PROM_BUCKETS - 1]
    = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000 };

static void
put_type (GString *out, const char *name, const char *type)
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
  put_type (out, name, type);
  g_string_append (out, name);
  if (labels != NULL)
    g_string_append_printf (out, "{%s}", labels);
  g_string_append_printf (out, " %s\n", number);
}

void
prom_hist_observe (prom_hist_t *hist, int64_t ms)
{
  unsigned i = 0;

  while (i < G_N_ELEMENTS (bounds_ms) && ms > bounds_ms[i])
    i++;
  hist->counts[i]++;
  hist->sum_ms += (double)MAX (ms, 0);
}

void
prom_hist_append (const prom_hist_t *hist, GString *out, const char *name,
                  const char *labels)
{
  uint64_t below = 0;

  put_type (out, name, "histogram");
  for (unsigned i = 0; i < G_N_ELEMENTS (bounds_ms); i++)
    {
      below += hist->counts[i];
      g_string_append_printf (out,
                              "%s_bucket{%s,le=\"%" G_GINT64_FORMAT
                              "\"} %" G_GUINT64_FORMAT "\n",
                              name, labels, bounds_ms[i], below);
    }
  below += hist->counts[PROM_BUCKETS - 1];
  g_string_append_printf (out,
                          "%s_bucket{%s,le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
                          name, labels, below);
  g_string_append_printf (out, "%s_sum{%s} %.0f\n", name, labels,
                          hist->sum_ms);
  g_string_append_printf (out, "%s_count{%s} %" G_GUINT64_FORMAT "\n", name,
                          labels, below);
}
