#include "dispatch/vt-rate.h"

#include <math.h>

void
vt_rate_update (vt_rate_t *rate, double tokens, cfd_time_t interval_ms)
{
  double decay
      = VT_RATE_AVERAGING_MS / (VT_RATE_AVERAGING_MS + (double)interval_ms);

  if (interval_ms < VT_RATE_MIN_INTERVAL_MS
      || interval_ms > VT_RATE_MAX_INTERVAL_MS || !isfinite (tokens))
    return;
  rate->tokens = rate->tokens * decay + tokens;
  rate->elapsed_ms = rate->elapsed_ms * decay + (double)interval_ms;
}

double
vt_rate_tokens_per_ms (const vt_rate_t *rate)
{
  if (rate->elapsed_ms <= 0 || rate->tokens <= 0)
    return 0;
  return rate->tokens / rate->elapsed_ms;
}
