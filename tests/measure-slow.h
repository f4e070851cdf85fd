/* The event "slow": what callers saw while one engine decodes slower than the
   others, and the most that a second attempt beside the first (a hedge) could
   have gained.  Pure but for the printing.  docs/MEASURES.md defines the
   figures.  */

#ifndef TESTS_MEASURE_SLOW_H
#define TESTS_MEASURE_SLOW_H

#include "load.h"

/* Milliseconds below which half, 95 and 99 of 100 and all lie.  */
typedef struct
{
  double p50;
  double p95;
  double p99;
  double most;
} slow_percentiles_t;

/* A policy of hedging, reckoned: each request whose first attempt has not come
   so far AFTER_MS after the engine got it gets a second one, which finds a
   free slot at once and does as well as the middle of the other endpoints; the
   first of the two to come counts, and the other is cancelled.  */
typedef struct
{
  double after_ms;          /* 95 of 100 at the other endpoints come sooner */
  unsigned second_attempts; /* second attempts */
  unsigned second_wins;     /* of these, sooner than the first */
  double tokens;            /* of the attempts that are cancelled, at least */
  slow_percentiles_t end;   /* of the callers' times, with them */
} slow_hedge_t;

/* The streams that ended in a span.  */
typedef struct
{
  unsigned count;
  unsigned at_slow; /* of these at the slow endpoint */
  double tokens;    /* prompt and output */
  double busy;      /* slots that ran a request, mean over the span */
  slow_percentiles_t wait;
  slow_percentiles_t first;
  slow_percentiles_t whole;
  slow_hedge_t hedge_first; /* until the first token */
  slow_hedge_t hedge_whole; /* until the whole answer */
} slow_span_t;

/* SLOW has the nonces that the slow endpoint started as keys.  */
slow_span_t slow_summarize_span (const GPtrArray *requests, GHashTable *slow,
                                 int64_t from_us, int64_t to_us);
/* Prints, on standard error, span NUMBER: before, during, after.  */
void slow_print_span (const slow_span_t *span, unsigned number,
                      unsigned slots);

#endif
