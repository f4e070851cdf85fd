/* Linear fit.  Fits a line through a stream of samples by least squares, with
   exponentially decreasing weights for older ones.  The relay estimates the
   time to first token with it, from the prefill work.  */

#ifndef RELAY_FIT_H
#define RELAY_FIT_H

/* Weighted sums over all samples.  */
typedef struct
{
  double weight;
  double x;
  double y;
  double xx;
  double xy;
} fit_t;

/* Starts with the line BASE + SLOPE * x, which counts as several samples.  */
void fit_init (fit_t *fit, double base, double slope);
void fit_add (fit_t *fit, double x, double y);
double fit_slope (const fit_t *fit);
double fit_base (const fit_t *fit);

#endif
