/* Verdicts.  Decides from counts of answers whether the target version of a
   rollout is worse than the baseline version.

   An answer is bad when it fails, or when it takes several times as long as
   the baseline's at the same time.  The baseline has bad answers too, so that
   its rate, over the last seconds or over all if that is higher, is the null
   hypothesis.  A cumulative sum
   test (Page's sequential probability-ratio test) compares it with a clearly
   higher rate.  Unlike a plain ratio test it forgets good answers, so that a
   version that turns bad late is found as fast as one that starts bad.  */

#ifndef RELAY_VDT_H
#define RELAY_VDT_H

#include "base/clock.h"
#include <stdbool.h>

typedef struct
{
  double answers;
  double bad; /* of these */
} vdt_counts_t;

typedef struct
{
  vdt_counts_t target;   /* totals at the last update */
  vdt_counts_t baseline; /* totals at the last update */
  vdt_counts_t recent;   /* of the baseline, exponentially decayed */
  cfd_time_t updated_at;
  double score; /* log-likelihood ratio since its last minimum */
} vdt_t;

void vdt_init (vdt_t *verdict, cfd_time_t now);

/* Takes the totals of both versions as of NOW.  Returns whether the target is
   bad, by the answers so far.  */
bool vdt_update (vdt_t *verdict, cfd_time_t now, const vdt_counts_t *baseline,
                 const vdt_counts_t *target);

/* Returns the log-likelihood ratio of a target whose rate of bad answers is
   EXCESS above the baseline's against an equal one, by all answers.  The more
   it is below 0, the surer is it that the target is not that bad.  */
double vdt_compare_excess (const vdt_t *verdict, double excess);

/* Returns the baseline's rate of bad answers, as the test uses it.  */
double vdt_get_baseline_rate (const vdt_t *verdict);

#endif
