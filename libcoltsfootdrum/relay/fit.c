/* Linear fit: least squares with exponential decay.  */

#include "relay/fit.h"

#include <math.h>

/* Factor applied to the weight of older samples at each new one; about the
   last hundred samples count.  */
#define DECAY 0.99
/* Weight of the initial line in samples, and the x of the second of its two
   points.  The first is at 0.  */
#define PRIOR_WEIGHT 10.
#define PRIOR_X 10000.

void
fit_init (fit_t *fit, double base, double slope)
{
  *fit = (fit_t){ 0 };
  for (int i = 0; i < 2; i++)
    {
      double x = i * PRIOR_X;
      double y = base + slope * x;

      fit->weight += PRIOR_WEIGHT / 2;
      fit->x += PRIOR_WEIGHT / 2 * x;
      fit->y += PRIOR_WEIGHT / 2 * y;
      fit->xx += PRIOR_WEIGHT / 2 * x * x;
      fit->xy += PRIOR_WEIGHT / 2 * x * y;
    }
}

void
fit_add (fit_t *fit, double x, double y)
{
  fit->weight = fit->weight * DECAY + 1.;
  fit->x = fit->x * DECAY + x;
  fit->y = fit->y * DECAY + y;
  fit->xx = fit->xx * DECAY + x * x;
  fit->xy = fit->xy * DECAY + x * y;
}

double
fit_slope (const fit_t *fit)
{
  double spread = fit->weight * fit->xx - fit->x * fit->x;

  if (spread <= 0.)
    return 0.;
  return fmax ((fit->weight * fit->xy - fit->x * fit->y) / spread, 0.);
}

double
fit_base (const fit_t *fit)
{
  return fmax ((fit->y - fit_slope (fit) * fit->x) / fit->weight, 0.);
}
