/* Least squares with forgetting.  */

#include "relay/fit.h"

#include <math.h>

/* Each sample leaves so much of the former ones: some hundred count.  */
#define KEEP 0.99
/* What the first line weighs, in samples, and where it was seen.  */
#define FIRST_WEIGHT 10.
#define FIRST_X 10000.

void
fit_init (fit_t *fit, double base, double slope)
{
  *fit = (fit_t){ 0 };
  for (int i = 0; i < 2; i++)
    {
      double x = i * FIRST_X;
      double y = base + slope * x;

      fit->weight += FIRST_WEIGHT / 2;
      fit->x += FIRST_WEIGHT / 2 * x;
      fit->y += FIRST_WEIGHT / 2 * y;
      fit->xx += FIRST_WEIGHT / 2 * x * x;
      fit->xy += FIRST_WEIGHT / 2 * x * y;
    }
}

void
fit_add (fit_t *fit, double x, double y)
{
  fit->weight = fit->weight * KEEP + 1.;
  fit->x = fit->x * KEEP + x;
  fit->y = fit->y * KEEP + y;
  fit->xx = fit->xx * KEEP + x * x;
  fit->xy = fit->xy * KEEP + x * y;
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
