/* Prometheus text format: counters, gauges and latency histograms with fixed
   buckets.  */

#ifndef ADMIN_PROM_H
#define ADMIN_PROM_H

#include <glib.h>
#include <stdint.h>

/* Appends a sample, preceded by the type line if it is the first of NAME.
   TYPE is "counter" or "gauge", LABELS is NULL or "name=\"value\",...".  */
void prom_append_sample (GString *out, const char *name, const char *type,
                         const char *labels, double value);

/* The upper bounds of the buckets are 1, 2, 5, 10, ..., 10,000 ms and
   infinity.  They are a third of a decade apart and range from a round trip on
   the loopback interface to the deadlines of callers.  */
#define PROM_BUCKETS 14

typedef struct
{
  uint64_t counts[PROM_BUCKETS]; /* per bucket, not cumulative */
  double sum_ms;
} prom_hist_t;

/* Counts a duration of MS milliseconds.  */
void prom_hist_observe (prom_hist_t *hist, int64_t ms);

/* Appends HIST, preceded by the type line if it is the first of NAME.  LABELS
   is "name=\"value\",...".  */
void prom_hist_append (const prom_hist_t *hist, GString *out, const char *name,
                       const char *labels);

#endif
