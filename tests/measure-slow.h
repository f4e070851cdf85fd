/* Measurement of the event "slow": latencies at the callers while one engine
   decodes slower than the others, and an upper bound on the gain of a second
   attempt beside the first (a hedge).  The functions are pure except for the
   printing. docs/MEASURES.md defines the figures.  */

#ifndef TESTS_MEASURE_SLOW_H
#define TESTS_MEASURE_SLOW_H

#include "load.h"

/* Percentiles in milliseconds; MAX is the longest time.  */
typedef struct
{
  double p50;
  double p95;
  double p99;
  double max;
} slow_percentiles_t;

/* A simulated hedging policy.  A request whose first attempt has not reached
   the goal AFTER_MS after the engine received it gets a second attempt, which
   finds a free slot at once and takes the median time of the other endpoints.
   The first of the two to reach the goal counts, and the other is
   cancelled.  */
typedef struct
{
  double after_ms; /* 95th percentile of the other endpoints */
  unsigned second_attempts;
  unsigned second_wins;   /* second attempts that finished before the first */
  double tokens;          /* lower bound of the tokens of cancelled attempts */
  slow_percentiles_t end; /* latencies at the callers with the hedge */
} slow_hedge_t;

/* Streams that ended in a span.  */
typedef struct
{
  unsigned count;
  unsigned at_slow; /* streams at the slow endpoint */
  double tokens;    /* prompt and output tokens */
  double busy;      /* mean number of slots that ran a request */
  slow_percentiles_t wait;
  slow_percentiles_t first;
  slow_percentiles_t whole;
  slow_hedge_t hedge_first; /* goal: the first token */
  slow_hedge_t hedge_whole; /* goal: the whole answer */
} slow_span_t;

/* SLOW has the nonces started by the slow endpoint as keys.  */
slow_span_t slow_summarize_span (const GPtrArray *requests, GHashTable *slow,
                                 int64_t from_us, int64_t to_us);
/* Prints a span on standard error; NUMBER is 0 before, 1 during and 2 after
   the event.  */
void slow_print_span (const slow_span_t *span, unsigned number,
                      unsigned slots);

#endif
