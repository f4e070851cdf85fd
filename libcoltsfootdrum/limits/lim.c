#include "limits/lim.h"

#include <math.h>

/* A first token or an interval that took this many times the usual one means
   that the endpoint's caches and weights are gone, not that it is busy.  */
#define COLD_FIRST_FACTOR 4.0
#define COLD_INTERVAL_FACTOR 2.5
/* An interval this many times the usual one is slow.  */
#define SLOW_FACTOR 1.5
#define CUT_FACTOR 0.7
#define USUAL_WEIGHT 0.1
#define BACKOFF_DOUBLINGS_MAX 6

static unsigned
least (unsigned a, unsigned b)
{
  return a < b ? a : b;
}

static unsigned
bearable_cold (const lim_t *lim)
{
  unsigned cold = lim->settings.cold > 0 ? lim->settings.cold : 1;

  return least (cold, lim->settings.max);
}

static void
set_slots (lim_t *lim, unsigned slots, lim_state_t state, cfd_time_t now)
{
  lim->slots = slots;
  lim->state = state;
  lim->completed = 0;
  lim->peak = 0;
  lim->changed = now;
}

static void
turn_cold (lim_t *lim, cfd_time_t now)
{
  set_slots (lim, bearable_cold (lim), LIM_COLD, now);
}

void
lim_init (lim_t *lim, const lim_settings_t *settings, cfd_time_t now)
{
  *lim = (lim_t){ .settings = *settings };
  lim->proved = now;
  turn_cold (lim, now);
}

void
lim_apply_settings (lim_t *lim, const lim_settings_t *settings, cfd_time_t now)
{
  unsigned was = lim->slots;

  lim->settings = *settings;
  if (lim->state == LIM_EJECTED)
    return;
  if (lim->state == LIM_COLD)
    lim->slots = bearable_cold (lim);
  lim->slots = least (lim->slots, settings->max);
  if (lim->slots == 0)
    lim->slots = bearable_cold (lim);
  if (lim->state == LIM_WARM && lim->slots < settings->max)
    lim->state = LIM_RAMPING;
  if (lim->slots != was)
    lim->changed = now;
}

static void
doubt_without_proof (lim_t *lim, cfd_time_t now)
{
  if (lim->settings.token_interval_ms <= 0)
    return;
  if (now - lim->proved > LIM_CONFIRMATION_MS)
    lim->doubted = true;
}

unsigned
lim_count_free_slots (lim_t *lim, unsigned busy, cfd_time_t now)
{
  unsigned slots;

  if (lim->state == LIM_EJECTED)
    /* One probe, not a rush of all that waited.  */
    return now >= lim->ejected_until && busy == 0 && lim->settings.max > 0;
  if (now < lim->paused_until)
    return 0;
  if (busy > lim->peak)
    lim->peak = busy;
  doubt_without_proof (lim, now);
  slots = lim->doubted ? least (lim->slots, bearable_cold (lim)) : lim->slots;
  return busy < slots ? slots - busy : 0;
}

/* Whether VALUE is over its LIMIT (0: no limit) and over FACTOR times what is
   usual here.  The limit is for the whole fleet; an endpoint that is always a
   little over it is not overloaded by one request more or less.  */
static bool
is_over (double value, double limit, double usual, double factor)
{
  if (value <= 0 || limit <= 0)
    return false;
  return value > limit && value > usual * factor;
}

static bool
is_first_token_slow (const lim_t *lim, double ms)
{
  return is_over (ms, lim->settings.first_token_ms, lim->first_token_usual,
                  SLOW_FACTOR);
}

static bool
is_interval_slow (const lim_t *lim, double ms)
{
  return is_over (ms, lim->settings.token_interval_ms,
                  lim->token_interval_usual, SLOW_FACTOR);
}

static void
learn (double *usual, double value)
{
  if (value <= 0)
    return;
  *usual = *usual <= 0 ? value : *usual + USUAL_WEIGHT * (value - *usual);
}

static void
cut_back (lim_t *lim, cfd_time_t now)
{
  unsigned cold = bearable_cold (lim);
  unsigned slots = (unsigned)floor (lim->slots * CUT_FACTOR);

  lim->completed = 0;
  if (lim->state == LIM_EJECTED || now < lim->changed + LIM_CUT_INTERVAL_MS)
    return;
  if (lim->slots <= cold)
    return;
  set_slots (lim, slots > cold ? slots : cold, LIM_RAMPING, now);
}

static void
grow (lim_t *lim, cfd_time_t now)
{
  bool was_used;

  lim->completed++;
  if (lim->completed < lim->slots)
    return;
  /* A round that never filled the slots says nothing about one more.  */
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

/* A request begun at STARTED was served.  */
static void
end_failures (lim_t *lim, cfd_time_t started, cfd_time_t now)
{
  if (lim->failures > 0 && started <= lim->failed)
    return;
  lim->failures = 0;
  lim->ejections = 0;
  if (lim->state == LIM_EJECTED)
    turn_cold (lim, now);
}

void
lim_record_completion (lim_t *lim, double first_token_ms,
                       double token_interval_ms, cfd_time_t started,
                       cfd_time_t now)
{
  bool slow = is_first_token_slow (lim, first_token_ms)
              || is_interval_slow (lim, token_interval_ms);
  bool was_ejected = lim->state == LIM_EJECTED;

  end_failures (lim, started, now);
  if (was_ejected)
    return;
  if (slow)
    {
      lim_check_first_token (lim, first_token_ms, now);
      lim_check_token_interval (lim, token_interval_ms, now);
      return;
    }
  /* Of a model only token times tell that it bore its load well; an answer
     without them, taken for good, would let a cold endpoint grow.  */
  if (lim->settings.token_interval_ms > 0 && token_interval_ms <= 0)
    return;
  learn (&lim->first_token_usual, first_token_ms);
  learn (&lim->token_interval_usual, token_interval_ms);
  grow (lim, now);
}

/* The endpoint was seen to be slow, or COLD.  */
static void
take_slowness (lim_t *lim, bool cold, cfd_time_t now)
{
  if (lim->state == LIM_EJECTED)
    return;
  if (cold && lim->state != LIM_COLD)
    turn_cold (lim, now);
  else
    cut_back (lim, now);
}

void
lim_check_first_token (lim_t *lim, double first_token_ms, cfd_time_t now)
{
  bool cold = lim->first_token_usual > 0
              && is_over (first_token_ms, lim->settings.first_token_ms,
                          lim->first_token_usual, COLD_FIRST_FACTOR);

  if (is_first_token_slow (lim, first_token_ms))
    take_slowness (lim, cold, now);
}

void
lim_check_token_interval (lim_t *lim, double token_interval_ms, cfd_time_t now)
{
  bool cold = lim->token_interval_usual > 0
              && is_over (token_interval_ms, lim->settings.token_interval_ms,
                          lim->token_interval_usual, COLD_INTERVAL_FACTOR);

  if (is_interval_slow (lim, token_interval_ms))
    take_slowness (lim, cold, now);
}

void
lim_confirm_warm (lim_t *lim, double token_interval_ms, cfd_time_t seen,
                  cfd_time_t now)
{
  if (token_interval_ms <= 0 || is_interval_slow (lim, token_interval_ms))
    return;
  if (seen <= lim->proved || now - seen > LIM_CONFIRMATION_MS)
    return;
  lim->proved = seen;
  lim->doubted = false;
}

void
lim_confirm_warm_unstreamed (lim_t *lim, double token_interval_ms,
                             unsigned tokens, cfd_time_t now)
{
  double excess = (token_interval_ms - lim->token_interval_usual) * tokens;
  double cold_end = fmax (excess, 0) / (1 - 1 / COLD_INTERVAL_FACTOR);

  lim_confirm_warm (lim, token_interval_ms, now - (cfd_time_t)cold_end, now);
}

/* xorshift64*: enough for spreading retries.  */
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
  unsigned doublings = least (lim->ejections, BACKOFF_DOUBLINGS_MAX);
  double pause = fmin ((double)LIM_BACKOFF_BASE_MS * (1u << doublings),
                       LIM_BACKOFF_MAX_MS);

  set_slots (lim, bearable_cold (lim), LIM_EJECTED, now);
  lim->ejections++;
  lim->ejected_until = now + (cfd_time_t)(pause * (0.5 + 0.5 * jitter (lim)));
}

void
lim_record_failure (lim_t *lim, cfd_time_t now)
{
  lim->failures++;
  lim->failed = now;
  /* Requests that ran at the time of the ejection fail after it; each would
     lengthen the backoff.  Only the probe's failure does.  */
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
    turn_cold (lim, now);
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
