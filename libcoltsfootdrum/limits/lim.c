#include "limits/lim.h"

#include <math.h>

/* A first token or an interval that takes this many times its average means
   that the endpoint has lost its caches and weights, not that it is busy.  */
#define COLD_FIRST_TOKEN_FACTOR 4.0
#define COLD_INTERVAL_FACTOR 2.5
/* A time is slow above this many times its average.  */
#define SLOW_FACTOR 1.5
/* A cut leaves this part of the limit.  */
#define CUT_FACTOR 0.7
/* Weight of the newest sample in an average.  */
#define AVERAGE_WEIGHT 0.1
#define BACKOFF_DOUBLINGS_MAX 6

static unsigned
min_unsigned (unsigned a, unsigned b)
{
  return a < b ? a : b;
}

static unsigned
cold_slots (const lim_t *lim)
{
  unsigned cold = lim->settings.cold > 0 ? lim->settings.cold : 1;

  return min_unsigned (cold, lim->settings.max);
}

static void
set_slots (lim_t *lim, unsigned slots, lim_state_t state, cfd_time_t now)
{
  lim->slots = slots;
  lim->state = state;
  lim->completed = 0;
  lim->peak = 0;
  lim->last_change = now;
}

static void
reset_to_cold (lim_t *lim, cfd_time_t now)
{
  set_slots (lim, cold_slots (lim), LIM_COLD, now);
}

void
lim_init (lim_t *lim, const lim_settings_t *settings, cfd_time_t now)
{
  *lim = (lim_t){ .settings = *settings };
  lim->last_confirmed = now;
  reset_to_cold (lim, now);
}

void
lim_apply_settings (lim_t *lim, const lim_settings_t *settings, cfd_time_t now)
{
  unsigned previous_slots = lim->slots;

  lim->settings = *settings;
  if (lim->state == LIM_EJECTED)
    return;
  if (lim->state == LIM_COLD)
    lim->slots = cold_slots (lim);
  lim->slots = min_unsigned (lim->slots, settings->max);
  if (lim->slots == 0)
    lim->slots = cold_slots (lim);
  if (lim->state == LIM_WARM && lim->slots < settings->max)
    lim->state = LIM_RAMPING;
  if (lim->slots != previous_slots)
    lim->last_change = now;
}

/* Marks a model endpoint whose last good interval is too old.  */
static void
mark_unconfirmed (lim_t *lim, cfd_time_t now)
{
  if (lim->settings.token_interval_ms <= 0)
    return;
  if (now - lim->last_confirmed > LIM_CONFIRMATION_MS)
    lim->unconfirmed = true;
}

unsigned
lim_count_free_slots (lim_t *lim, unsigned busy, cfd_time_t now)
{
  unsigned slots;

  if (lim->state == LIM_EJECTED)
    /* One probe, not all the work that was waiting.  */
    return now >= lim->ejected_until && busy == 0 && lim->settings.max > 0;
  if (now < lim->paused_until)
    return 0;
  if (busy > lim->peak)
    lim->peak = busy;
  mark_unconfirmed (lim, now);
  slots = lim->unconfirmed ? min_unsigned (lim->slots, cold_slots (lim))
                           : lim->slots;
  return busy < slots ? slots - busy : 0;
}

/* Returns whether VALUE is over its LIMIT (0: no limit) and over FACTOR times
   this endpoint's AVERAGE.  The limit holds for the whole fleet; an endpoint
   that is always a little over it is not overloaded by one request more or
   less.  */
static bool
is_excessive (double value, double limit, double average, double factor)
{
  if (value <= 0 || limit <= 0)
    return false;
  return value > limit && value > average * factor;
}

static bool
is_first_token_slow (const lim_t *lim, double ms)
{
  return is_excessive (ms, lim->settings.first_token_ms,
                       lim->first_token_average_ms, SLOW_FACTOR);
}

static bool
is_interval_slow (const lim_t *lim, double ms)
{
  return is_excessive (ms, lim->settings.token_interval_ms,
                       lim->token_interval_average_ms, SLOW_FACTOR);
}

static void
update_average (double *average, double value)
{
  if (value <= 0)
    return;
  *average
      = *average <= 0 ? value : *average + AVERAGE_WEIGHT * (value - *average);
}

/* Cuts the limit, at most once in LIM_CUT_INTERVAL_MS and not below the cold
   start's load.  */
static void
cut_back (lim_t *lim, cfd_time_t now)
{
  unsigned cold = cold_slots (lim);
  unsigned slots = (unsigned)floor (lim->slots * CUT_FACTOR);

  lim->completed = 0;
  if (lim->state == LIM_EJECTED
      || now < lim->last_change + LIM_CUT_INTERVAL_MS)
    return;
  if (lim->slots <= cold)
    return;
  set_slots (lim, slots > cold ? slots : cold, LIM_RAMPING, now);
}

/* Counts a good completion; grows the limit by one slot after a full round. */
static void
grow (lim_t *lim, cfd_time_t now)
{
  bool was_used;

  lim->completed++;
  if (lim->completed < lim->slots)
    return;
  /* A round that never filled the slots is no evidence for one more.  */
  was_used = lim->peak >= lim->slots;
  lim->completed = 0;
  lim->peak = 0;
  if (!was_used)
    return;
  if (lim->slots < lim->settings.max)
    set_slots (lim, lim->slots + 1, LIM_RAMPING, now);
  if (lim->slots >= lim->settings.max)
    lim->state = LIM_WARM;
}

/* Resets the failures after a request begun at STARTED was served, unless one
   is newer.  */
static void
reset_failures (lim_t *lim, cfd_time_t started, cfd_time_t now)
{
  if (lim->failures > 0 && started <= lim->last_failure)
    return;
  lim->failures = 0;
  lim->ejections = 0;
  if (lim->state == LIM_EJECTED)
    reset_to_cold (lim, now);
}

void
lim_record_completion (lim_t *lim, double first_token_ms,
                       double token_interval_ms, cfd_time_t started,
                       cfd_time_t now)
{
  bool slow = is_first_token_slow (lim, first_token_ms)
              || is_interval_slow (lim, token_interval_ms);
  bool was_ejected = lim->state == LIM_EJECTED;

  reset_failures (lim, started, now);
  if (was_ejected)
    return;
  if (slow)
    {
      lim_check_first_token (lim, first_token_ms, now);
      lim_check_token_interval (lim, token_interval_ms, now);
      return;
    }
  /* Only token times show that a model endpoint sustains its load.  Counting
     a response without them as good would let the limit of a cold endpoint
     grow.  */
  if (lim->settings.token_interval_ms > 0 && token_interval_ms <= 0)
    return;
  update_average (&lim->first_token_average_ms, first_token_ms);
  update_average (&lim->token_interval_average_ms, token_interval_ms);
  grow (lim, now);
}

/* Reduces the limit of an endpoint that is slow or even COLD.  */
static void
handle_slowness (lim_t *lim, bool cold, cfd_time_t now)
{
  if (lim->state == LIM_EJECTED)
    return;
  if (cold && lim->state != LIM_COLD)
    reset_to_cold (lim, now);
  else
    cut_back (lim, now);
}

void
lim_check_first_token (lim_t *lim, double first_token_ms, cfd_time_t now)
{
  bool cold
      = lim->first_token_average_ms > 0
        && is_excessive (first_token_ms, lim->settings.first_token_ms,
                         lim->first_token_average_ms, COLD_FIRST_TOKEN_FACTOR);

  if (is_first_token_slow (lim, first_token_ms))
    handle_slowness (lim, cold, now);
}

void
lim_check_token_interval (lim_t *lim, double token_interval_ms, cfd_time_t now)
{
  bool cold
      = lim->token_interval_average_ms > 0
        && is_excessive (token_interval_ms, lim->settings.token_interval_ms,
                         lim->token_interval_average_ms, COLD_INTERVAL_FACTOR);

  if (is_interval_slow (lim, token_interval_ms))
    handle_slowness (lim, cold, now);
}

void
lim_confirm_warm (lim_t *lim, double token_interval_ms, cfd_time_t seen_at,
                  cfd_time_t now)
{
  if (token_interval_ms <= 0 || is_interval_slow (lim, token_interval_ms))
    return;
  if (seen_at <= lim->last_confirmed || now - seen_at > LIM_CONFIRMATION_MS)
    return;
  lim->last_confirmed = seen_at;
  lim->unconfirmed = false;
}

void
lim_confirm_warm_unstreamed (lim_t *lim, double token_interval_ms,
                             unsigned tokens, cfd_time_t now)
{
  double excess_ms
      = (token_interval_ms - lim->token_interval_average_ms) * tokens;
  double cold_end_ms = fmax (excess_ms, 0) / (1 - 1 / COLD_INTERVAL_FACTOR);

  lim_confirm_warm (lim, token_interval_ms, now - (cfd_time_t)cold_end_ms,
                    now);
}

/* Returns a value in [0, 1) from xorshift64*, which is good enough for
   spreading retries.  */
static double
jitter (lim_t *lim)
{
  uint64_t x = lim->seed != 0 ? lim->seed : 1;

  x ^= x >> 12;
  x ^= x << 25;
  x ^= x >> 27;
  lim->seed = x;
  return (double)((x * 2685821657736338717ULL) >> 11) / 9007199254740992.0;
}

static void
eject (lim_t *lim, cfd_time_t now)
{
  unsigned doublings = min_unsigned (lim->ejections, BACKOFF_DOUBLINGS_MAX);
  double backoff_ms = fmin ((double)LIM_BACKOFF_BASE_MS * (1u << doublings),
                            LIM_BACKOFF_MAX_MS);

  set_slots (lim, cold_slots (lim), LIM_EJECTED, now);
  lim->ejections++;
  lim->ejected_until
      = now + (cfd_time_t)(backoff_ms * (0.5 + 0.5 * jitter (lim)));
}

void
lim_record_failure (lim_t *lim, cfd_time_t now)
{
  lim->failures++;
  lim->last_failure = now;
  /* Requests that ran at the time of the ejection fail after it and must not
     lengthen the backoff; only the failure of the probe does.  */
  if (lim->state == LIM_EJECTED && now < lim->ejected_until)
    return;
  if (lim->state == LIM_EJECTED || lim->failures >= LIM_EJECTION_FAILURES)
    {
      eject (lim, now);
      return;
    }
  lim->paused_until = now + (LIM_FAILURE_PAUSE_MS << (lim->failures - 1));
  cut_back (lim, now);
}

void
lim_reset_to_cold (lim_t *lim, cfd_time_t now)
{
  if (lim->state != LIM_EJECTED)
    reset_to_cold (lim, now);
}

const char *
lim_state_name (lim_state_t state)
{
  switch (state)
    {
    case LIM_COLD:
      return "cold";
    case LIM_RAMPING:
      return "ramp";
    case LIM_WARM:
      return "warm";
    case LIM_EJECTED:
      return "ejected";
    }
  return "unknown";
}
