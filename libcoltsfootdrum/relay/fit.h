/* A straight line through samples that come one after the other, old ones
   fading out: how long a first token takes, by the work before it.  */

#ifndef RELAY_FIT_H
#define RELAY_FIT_H

typedef struct
{
  double weight; /* of all samples */
  double x;      /* weighted sums */
  double y;
  double xx;
  double xy;
} fit_t;

/* Begins with the line BASE + SLOPE * x, as if that had been seen some times.
 */
void fit_init (fit_t *fit, double base, double slope);
void fit_add (fit_t *fit, double x, double y);
double fit_slope (const fit_t *fit);
double fit_base (const fit_t *fit);

#endif
