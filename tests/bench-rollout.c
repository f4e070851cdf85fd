/* Compares two tests of a rollout's target version on simulated answers: the
   cumulative sum test of relay/vdt.h, and fixed windows with thresholds.  For
   each kind of target it prints how long a bad one stays in use, and how often
   a good one is taken for bad.

   Usage: bench-rollout [RUNS]  */

#include "relay/vdt.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define ROUTES 5
#define TICK_MS 25
#define CANARY_SHARE 0.05
#define MAX_SECONDS 60
/* Spread of the logarithm of answer times.  */
#define TIME_SIGMA 0.45
/* As in relay/rol-evidence.c.  */
#define SLOW_FACTOR 2.5
#define DEFAULT_RUNS 400

typedef struct
{
  const char *name;
  double per_s;         /* requests to the service */
  double failure_rate;  /* of the target */
  double slowness;      /* of the target, as a factor; 1: as the baseline */
  double baseline_rate; /* failures of the baseline */
  bool one_route;       /* the target is bad on one route of five only */
  double from_per_s;    /* bad from this rate at the target on */
  double from_s;        /* bad from this time on */
} target_t;

static const target_t targets[] = {
  { "good", 1432., 0., 1., 0.002, false, 0., 0. },
  { "good, 233 requests/s", 233., 0., 1., 0.002, false, 0., 0. },
  { "good, 20 requests/s", 20., 0., 1., 0.002, false, 0., 0. },
  { "good, baseline fails 6%", 1432., 0., 1., 0.06, false, 0., 0. },
  { "2% fail", 1432., 0.02, 1., 0.002, false, 0., 0. },
  { "5% fail", 1432., 0.05, 1., 0.002, false, 0., 0. },
  { "20% fail", 1432., 0.2, 1., 0.002, false, 0., 0. },
  { "100% fail", 1432., 1., 1., 0.002, false, 0., 0. },
  { "2 times slower", 1432., 0., 2., 0.002, false, 0., 0. },
  { "4 times slower", 1432., 0., 4., 0.002, false, 0., 0. },
  { "10 times slower", 1432., 0., 10., 0.002, false, 0., 0. },
  { "20% fail, one route", 1432., 0.2, 1., 0.002, true, 0., 0. },
  { "100% fail, one route", 1432., 1., 1., 0.002, true, 0., 0. },
  { "20% fail, 233 requests/s", 233., 0.2, 1., 0.002, false, 0., 0. },
  { "20% fail, 233/s, one route", 233., 0.2, 1., 0.002, true, 0., 0. },
  { "20% fail, 20 requests/s", 20., 0.2, 1., 0.002, false, 0., 0. },
  { "20% fail from 40/s", 1432., 0.2, 1., 0.002, false, 40., 0. },
  { "20% fail after 6 s", 1432., 0.2, 1., 0.002, false, 0., 6. },
  { "100% fail after 6 s", 1432., 1., 1., 0.002, false, 0., 6. },
  { "20% fail, baseline 6%", 1432., 0.2, 1., 0.06, false, 0., 0. },
  { "50% fail, baseline 15%", 1432., 0.5, 1., 0.15, false, 0., 0. },
};

/* ---- fixed windows ---- */

#define WINDOW_MS 2000
#define WINDOW_MIN_ANSWERS 20.
#define WINDOW_MIN_BAD 4.
#define WINDOW_RATE_FACTOR 3.
#define WINDOW_RATE_EXCESS 0.05

typedef struct
{
  vdt_counts_t baseline; /* totals at the window's start */
  vdt_counts_t target;
  cfd_time_t started_at;
} windows_t;

static bool
windows_update (windows_t *windows, cfd_time_t now,
                const vdt_counts_t *baseline, const vdt_counts_t *target)
{
  double answers = target->answers - windows->target.answers;
  double bad = target->bad - windows->target.bad;
  double baseline_answers = baseline->answers - windows->baseline.answers;
  double baseline_bad = baseline->bad - windows->baseline.bad;
  double rate = baseline_bad / MAX (baseline_answers, 1.);

  if (now - windows->started_at < WINDOW_MS || answers < WINDOW_MIN_ANSWERS)
    return false;
  windows->baseline = *baseline;
  windows->target = *target;
  windows->started_at = now;
  return bad >= WINDOW_MIN_BAD
         && bad / answers
                > MAX (rate * WINDOW_RATE_FACTOR, rate + WINDOW_RATE_EXCESS);
}

/* ---- simulated answers ---- */

typedef struct
{
  vdt_t verdicts[ROUTES + 1]; /* the last one is over all routes */
  windows_t windows[ROUTES + 1];
  vdt_counts_t baseline[ROUTES + 1];
  vdt_counts_t target[ROUTES + 1];
} run_t;

static double
draw_normal (GRand *random)
{
  double radius = sqrt (-2. * log (1. - g_rand_double (random)));

  return radius * cos (2. * G_PI * g_rand_double (random));
}

static bool
is_bad (GRand *random, double failure_rate, double slowness)
{
  double mean = exp (TIME_SIGMA * TIME_SIGMA / 2.);
  double time = slowness * exp (TIME_SIGMA * draw_normal (random));

  return g_rand_double (random) < failure_rate || time > SLOW_FACTOR * mean;
}

static void
count (vdt_counts_t *counts, unsigned route, bool bad)
{
  counts[route].answers += 1.;
  counts[route].bad += bad;
  counts[ROUTES].answers += 1.;
  counts[ROUTES].bad += bad;
}

static void
simulate_tick (run_t *run, GRand *random, const target_t *target, double at_s)
{
  double expected = target->per_s * TICK_MS / 1000.;
  unsigned requests = (unsigned)(expected + g_rand_double (random));
  bool is_active = at_s >= target->from_s
                   && target->per_s * CANARY_SHARE >= target->from_per_s;

  for (unsigned i = 0; i < requests; i++)
    {
      unsigned route = (unsigned)g_rand_int_range (random, 0, ROUTES);
      bool is_canary = g_rand_double (random) < CANARY_SHARE;
      bool is_affected = is_active && (!target->one_route || route == 0);

      if (!is_canary)
        count (run->baseline, route,
               is_bad (random, target->baseline_rate, 1.));
      else if (is_affected)
        count (run->target, route,
               is_bad (random,
                       MAX (target->failure_rate, target->baseline_rate),
                       target->slowness));
      else
        count (run->target, route, is_bad (random, target->baseline_rate, 1.));
    }
}

static bool
update (run_t *run, cfd_time_t now, bool sequential)
{
  bool found = false;

  for (unsigned i = 0; i <= ROUTES; i++)
    found |= sequential ? vdt_update (&run->verdicts[i], now,
                                      &run->baseline[i], &run->target[i])
                        : windows_update (&run->windows[i], now,
                                          &run->baseline[i], &run->target[i]);
  return found;
}

typedef struct
{
  double seconds;
  double answers; /* of the target */
  double bad;     /* of these */
} result_t;

/* Returns when the target is found bad; seconds is MAX_SECONDS if it isn't. */
static result_t
simulate (const target_t *target, guint32 seed, bool sequential)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (seed);
  run_t run = { 0 };
  cfd_time_t now = 0;

  for (unsigned i = 0; i <= ROUTES; i++)
    vdt_init (&run.verdicts[i], 0);
  while (now < MAX_SECONDS * 1000)
    {
      now += TICK_MS;
      simulate_tick (&run, random, target, (double)now / 1000.);
      if (update (&run, now, sequential))
        break;
    }
  return (result_t){ (double)now / 1000., run.target[ROUTES].answers,
                     run.target[ROUTES].bad };
}

static int
compare_results (const void *a, const void *b)
{
  double one = ((const result_t *)a)->seconds;
  double other = ((const result_t *)b)->seconds;

  return (one > other) - (one < other);
}

static unsigned
count_before (const result_t *results, unsigned runs, double seconds)
{
  unsigned found = 0;

  for (unsigned i = 0; i < runs; i++)
    found += results[i].seconds < seconds;
  return found;
}

static void
print_row (const target_t *target, unsigned runs, bool sequential)
{
  g_autofree result_t *results = g_new0 (result_t, runs);
  const result_t *middle = &results[runs / 2];
  const result_t *slow = &results[runs * 95 / 100];

  for (unsigned i = 0; i < runs; i++)
    results[i] = simulate (target, i + 1, sequential);
  qsort (results, runs, sizeof *results, compare_results);
  printf ("| %s | %s | %.2f / %.2f | %.0f / %.0f | %.0f / %.0f | %.1f%% | "
          "%.1f%% |\n",
          target->name, sequential ? "cumulative sum" : "windows",
          middle->seconds, slow->seconds, middle->answers, slow->answers,
          middle->bad, slow->bad,
          100. * count_before (results, runs, 12.) / runs,
          100. * count_before (results, runs, MAX_SECONDS) / runs);
}

int
main (int argc, char **argv)
{
  unsigned runs = argc > 1 ? (unsigned)atoi (argv[1]) : DEFAULT_RUNS;

  printf ("| target | test | seconds | answers | bad answers | found in 12 s "
          "| in %d s |\n|---|---|---|---|---|---|---|\n",
          MAX_SECONDS);
  for (unsigned i = 0; i < G_N_ELEMENTS (targets); i++)
    for (int way = 1; way >= 0; way--)
      print_row (&targets[i], MAX (runs, 1), way == 1);
  return 0;
}
