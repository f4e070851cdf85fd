/* Verdicts: the cumulative sum test.  */

#include "relay/vdt.h"

#include <glib.h>
#include <math.h>

/* Time constant of the baseline's recent counts.  */
#define RECENT_MS 3000.
/* Prior of the baseline's rate, as counts: few answers don't make it 0.  */
#define PRIOR_ANSWERS 150.
#define PRIOR_BAD 0.75
/* The alternative hypothesis: the rate times the factor, but at least this
   much above it.  */
#define BAD_RATE_FACTOR 3.
#define MIN_BAD_RATE_EXCESS 0.02
#define MAX_RATE 0.9
/* Score at which the target is bad.  */
#define BAD_SCORE 10.

void
vdt_init (vdt_t *verdict, cfd_time_t now)
{
  *verdict = (vdt_t){ .updated_at = now };
}

static double
estimate_rate (const vdt_counts_t *counts)
{
  return (counts->bad + PRIOR_BAD) / (counts->answers + PRIOR_ANSWERS);
}

/* The baseline may be ill for a moment, or get nothing any more.  */
double
vdt_get_baseline_rate (const vdt_t *verdict)
{
  return MIN (MAX (estimate_rate (&verdict->recent),
                   estimate_rate (&verdict->baseline)),
              MAX_RATE);
}

/* Returns the answers of NOW that are not in BEFORE.  Totals fall when the
   counts of a peer are discarded.  */
static vdt_counts_t
subtract (const vdt_counts_t *now, const vdt_counts_t *before)
{
  double answers = MAX (now->answers - before->answers, 0.);

  return (vdt_counts_t){ .answers = answers,
                         .bad = CLAMP (now->bad - before->bad, 0., answers) };
}

static void
update_recent (vdt_t *verdict, cfd_time_t now, const vdt_counts_t *added)
{
  double kept = exp (-(double)(now - verdict->updated_at) / RECENT_MS);

  verdict->recent.answers = verdict->recent.answers * kept + added->answers;
  verdict->recent.bad = verdict->recent.bad * kept + added->bad;
  verdict->updated_at = now;
}

/* Returns the log-likelihood ratio of BAD_RATE against GOOD_RATE.  */
static double
compute_ratio (const vdt_counts_t *counts, double good_rate, double bad_rate)
{
  return counts->bad * log (bad_rate / good_rate)
         + (counts->answers - counts->bad)
               * log ((1. - bad_rate) / (1. - good_rate));
}

double
vdt_compare_excess (const vdt_t *verdict, double excess)
{
  double good_rate = vdt_get_baseline_rate (verdict);

  return compute_ratio (&verdict->target, good_rate,
                        MIN (good_rate + excess, (1. + MAX_RATE) / 2.));
}

bool
vdt_update (vdt_t *verdict, cfd_time_t now, const vdt_counts_t *baseline,
            const vdt_counts_t *target)
{
  vdt_counts_t added_baseline = subtract (baseline, &verdict->baseline);
  vdt_counts_t added = subtract (target, &verdict->target);
  double good_rate;
  double bad_rate;

  update_recent (verdict, now, &added_baseline);
  verdict->baseline = *baseline;
  verdict->target = *target;
  good_rate = vdt_get_baseline_rate (verdict);
  bad_rate = MIN (
      MAX (good_rate * BAD_RATE_FACTOR, good_rate + MIN_BAD_RATE_EXCESS),
      (1. + MAX_RATE) / 2.);
  verdict->score += compute_ratio (&added, good_rate, bad_rate);
  verdict->score = MAX (verdict->score, 0.);
  return verdict->score >= BAD_SCORE;
}
