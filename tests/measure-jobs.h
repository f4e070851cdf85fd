/* Measurement: runs in processes of their own, a few at a time.  */

#ifndef TESTS_MEASURE_JOBS_H
#define TESTS_MEASURE_JOBS_H

#include "measure.h"

typedef struct
{
  measure_options_t options;
  proc_t *proc;
  bool done;
  bool good; /* its figures were read */
  double figures[FIGURE_COUNT];
} job_t;

/* Runs all jobs, at most MAX_RUNNING at a time; returns the number of good
   ones.  */
unsigned jobs_run_all (job_t *jobs, unsigned count, unsigned max_running);

#endif
