/* The verdict over a run: what the callers saw against what the endpoints
   did.  docs/MEASURES.md defines the counts.  */

#ifndef TESTS_COLLECT_H
#define TESTS_COLLECT_H

#include "fleet.h"
#include "load.h"

typedef struct
{
  unsigned requests;
  unsigned correct;
  unsigned refused;
  unsigned broken;
  unsigned unfinished;
  unsigned wrong_answers;
  unsigned duplicate_runs;
  unsigned false_not_run;
  unsigned overload_count;
  unsigned overload_in_grace;
} collect_result_t;

/* Asks all endpoints and judges all requests of LOAD; prints one line on
   standard error for each that breaks a promise.  */
bool collect_results (const fleet_t *fleet, const load_t *load,
                      collect_result_t *sum);
bool collect_has_no_violation (const collect_result_t *sum);

/* The nonces that endpoint INDEX has started, as keys; NULL when it gives no
   answer.  */
GHashTable *collect_started_nonces (const fleet_t *fleet, unsigned index);

/* Prints what was served, for whom, and where.  */
void collect_print_tables (const fleet_t *fleet, const load_t *load);

#endif
