/* Prometheus' text format: samples, and latency histograms with fixed bounds.
 */

#ifndef ADMIN_PROM_H
#define ADMIN_PROM_H

#include <glib.h>
#include <stdint.h>

/* Appends one sample, before the first of its name the type line; TYPE is
   "counter" or "gauge", LABELS is NULL or "name=\"value\",...".  */
void prom_append_sample (GString *out, const char *name, const char *type,
                         const char *labels, double value);

/* Upper bounds are 1, 2, 5, 10, ... up to 10,000 ms, then infinity: a third of
   a decade apart, from a loopback's round trip to callers' deadlines.  */
#define PROM_BUCKETS 14

typedef struct
{
  uint64_t counts[PROM_BUCKETS]; /* of one bucket alone */
  double sum_ms;
} prom_hist_t;

void prom_hist_observe (prom_hist_t *hist, int64_t ms);

/* Appends HIST; LABELS is "name=\"value\",...", and
   the type line comes before the first of its name.  */
void prom_hist_append (const prom_hist_t *hist, GString *out, const char *name,
                       const char *labels);

#endif
