/* Runs of the measurement, each in a process of its own, some side by side. */

#ifndef TESTS_MEASURE_JOBS_H
#define TESTS_MEASURE_JOBS_H

#include "measure.h"

typedef struct
{
  measure_options_t options;
  proc_t *proc;
  bool done;
  bool good; /* has its figures */
  double figures[FIGURE_COUNT];
} job_t;

/* Runs all; returns how many are good.  */
unsigned jobs_run_all (job_t *jobs, unsigned count, unsigned at_once);

#endif
