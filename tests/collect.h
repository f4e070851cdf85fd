/* Verification of a run: compares what the callers received with what the
   endpoints executed. docs/MEASURES.md defines the counts.  */

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

/* Fetches the counters of all endpoints and checks all requests of LOAD;
   prints a line on standard error for each violation.  */
bool collect_results (const fleet_t *fleet, const load_t *load,
                      collect_result_t *sum);
bool collect_has_no_violation (const collect_result_t *sum);

/* Returns the nonces that endpoint INDEX has started, as keys; NULL when it
   does not answer.  */
GHashTable *collect_started_nonces (const fleet_t *fleet, unsigned index);

/* Prints tables of served requests by account and by endpoint.  */
void collect_print_tables (const fleet_t *fleet, const load_t *load);

#endif
