/* Measurement: cost of a slow engine to callers, and the possible gain of a
   hedge.  */

#include "measure-slow.h"
#include "measure.h"
#include <stdio.h>

#define LATE_QUANTILE 0.95

/* One stream; times in milliseconds.  */
typedef struct
{
  bool at_slow;
  double wait;  /* from the caller to the engine */
  double first; /* from the engine's start to the first token at the caller */
  double whole; /* from the engine's start to the last byte at the caller */
  unsigned prompt;
  unsigned tokens;
} stream_t;

/* Medians and second_attempts thresholds of the endpoints that are not slow.
 */
typedef struct
{
  double first;
  double interval;
  double first_late;
  double whole_late;
} typical_t;

static double
ms_between (int64_t from_us, int64_t to_us)
{
  return (double)(to_us - from_us) / 1000;
}

static GArray *
collect_streams (const GPtrArray *requests, GHashTable *slow, int64_t from_us,
                 int64_t to_us)
{
  GArray *streams = g_array_new (FALSE, FALSE, sizeof (stream_t));

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = requests->pdata[i];
      if (request->engine_start_us == 0 || request->end != LOAD_CORRECT
          || request->last_us < from_us || request->last_us >= to_us)
        continue;
      const stream_t stream = {
        .at_slow = g_hash_table_contains (slow, request->nonce),
        .wait = ms_between (request->started_us, request->engine_start_us),
        .first = ms_between (request->engine_start_us, request->first_byte_us),
        .whole = ms_between (request->engine_start_us, request->last_us),
        .prompt = request->prompt_tokens,
        .tokens = request->tokens
      };
      g_array_append_val (streams, stream);
    }
  return streams;
}

/* Returns the mean number of slots that ran a request over the span.  */
static double
get_mean_busy_slots (const GPtrArray *requests, int64_t from_us, int64_t to_us)
{
  double busy_us = 0;

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = requests->pdata[i];
      int64_t begin = MAX (request->engine_start_us, from_us);
      int64_t end = MIN (request->last_us, to_us);
      if (request->engine_start_us > 0 && end > begin)
        busy_us += (double)(end - begin);
    }
  return busy_us / (double)(to_us - from_us);
}

static double
get_token_interval_ms (const stream_t *stream)
{
  return stream->tokens > 1
             ? (stream->whole - stream->first) / (stream->tokens - 1)
             : 0;
}

static typical_t
get_typical (const GArray *streams)
{
  g_autoptr (GArray) first = g_array_new (FALSE, FALSE, sizeof (float));
  g_autoptr (GArray) whole = g_array_new (FALSE, FALSE, sizeof (float));
  g_autoptr (GArray) intervals = g_array_new (FALSE, FALSE, sizeof (float));

  for (guint i = 0; i < streams->len; i++)
    {
      const stream_t *stream = &g_array_index (streams, stream_t, i);
      float times[] = { (float)stream->first, (float)stream->whole,
                        (float)get_token_interval_ms (stream) };
      if (stream->at_slow)
        continue;
      g_array_append_val (first, times[0]);
      g_array_append_val (whole, times[1]);
      g_array_append_val (intervals, times[2]);
    }
  return (typical_t){ .first = fair_quantile (first, 0.5),
                      .interval = fair_quantile (intervals, 0.5),
                      .first_late = fair_quantile (first, LATE_QUANTILE),
                      .whole_late = fair_quantile (whole, LATE_QUANTILE) };
}

static slow_percentiles_t
get_percentiles (GArray *values)
{
  return (slow_percentiles_t){ .p50 = fair_quantile (values, 0.5),
                               .p95 = fair_quantile (values, 0.95),
                               .p99 = fair_quantile (values, 0.99),
                               .max = fair_quantile (values, 1) };
}

/* Returns the time until the first token of STREAM or, with WHOLE, its
   end.  */
static double
get_completion_ms (const stream_t *stream, bool whole)
{
  return whole ? stream->whole : stream->first;
}

/* Returns the tokens that a second attempt consumes within LENGTH ms; the
   engine always consumes the whole prompt.  */
static double
count_hedge_tokens (const stream_t *stream, const typical_t *typical,
                    double length)
{
  double emitted
      = length < typical->first
            ? 0
            : 1 + (length - typical->first) / MAX (typical->interval, 1);

  return stream->prompt + MIN (emitted, stream->tokens);
}

/* Returns the tokens that the first attempt of STREAM consumed within LENGTH
   ms.  */
static double
count_first_attempt_tokens (const stream_t *stream, double length)
{
  double emitted = length < stream->first
                       ? 0
                       : 1
                             + (length - stream->first)
                                   / MAX (get_token_interval_ms (stream), 1);

  return stream->prompt + MIN (emitted, stream->tokens);
}

static slow_hedge_t
simulate_hedge (const GArray *streams, const typical_t *typical, bool whole)
{
  slow_hedge_t result
      = { .after_ms = whole ? typical->whole_late : typical->first_late };
  g_autoptr (GArray) ends = g_array_new (FALSE, FALSE, sizeof (float));

  for (guint i = 0; i < streams->len; i++)
    {
      const stream_t *stream = &g_array_index (streams, stream_t, i);
      double time = get_completion_ms (stream, whole);
      double second = result.after_ms + typical->first
                      + (whole ? (stream->tokens - 1) * typical->interval : 0);
      float end = (float)(stream->wait + MIN (time, second));
      g_array_append_val (ends, end);
      if (time <= result.after_ms)
        continue;
      result.second_attempts++;
      result.second_wins += second < time;
      result.tokens += second < time
                           ? count_first_attempt_tokens (stream, second)
                           : count_hedge_tokens (stream, typical,
                                                 time - result.after_ms);
    }
  result.end = get_percentiles (ends);
  return result;
}

slow_span_t
slow_summarize_span (const GPtrArray *requests, GHashTable *slow,
                     int64_t from_us, int64_t to_us)
{
  g_autoptr (GArray) streams
      = collect_streams (requests, slow, from_us, to_us);
  g_autoptr (GArray) wait = g_array_new (FALSE, FALSE, sizeof (float));
  g_autoptr (GArray) first = g_array_new (FALSE, FALSE, sizeof (float));
  g_autoptr (GArray) whole = g_array_new (FALSE, FALSE, sizeof (float));
  typical_t typical = get_typical (streams);
  slow_span_t span
      = { .count = streams->len,
          .busy = get_mean_busy_slots (requests, from_us, to_us) };

  for (guint i = 0; i < streams->len; i++)
    {
      const stream_t *stream = &g_array_index (streams, stream_t, i);
      float times[]
          = { (float)stream->wait, (float)(stream->wait + stream->first),
              (float)(stream->wait + stream->whole) };
      span.at_slow += stream->at_slow;
      span.tokens += stream->prompt + stream->tokens;
      g_array_append_val (wait, times[0]);
      g_array_append_val (first, times[1]);
      g_array_append_val (whole, times[2]);
    }
  span.wait = get_percentiles (wait);
  span.first = get_percentiles (first);
  span.whole = get_percentiles (whole);
  span.hedge_first = simulate_hedge (streams, &typical, false);
  span.hedge_whole = simulate_hedge (streams, &typical, true);
  return span;
}

static void
print_times (const char *what, const slow_percentiles_t *times)
{
  fprintf (stderr, "slow:   %s p50 %.0f, p95 %.0f, p99 %.0f, most %.0f ms\n",
           what, times->p50, times->p95, times->p99, times->max);
}

static void
print_hedge (const char *what, const slow_hedge_t *it, double tokens)
{
  fprintf (stderr,
           "slow:   hedge after %.0f ms without %s: %u attempts, %u won, "
           "%.2f%% more tokens; p50 %.0f, p95 %.0f, p99 %.0f, "
           "most %.0f ms\n",
           it->after_ms, what, it->second_attempts, it->second_wins,
           tokens > 0 ? 100 * it->tokens / tokens : 0, it->end.p50,
           it->end.p95, it->end.p99, it->end.max);
}

void
slow_print_span (const slow_span_t *span, unsigned number, unsigned slots)
{
  static const char *const names[] = { "before", "during", "after" };

  fprintf (stderr,
           "slow: %s: %u answers, %.2f%% at the slow endpoint, %.0f%% of the "
           "slots busy\n",
           names[number], span->count,
           span->count > 0 ? 100.0 * span->at_slow / span->count : 0,
           100 * span->busy / slots);
  print_times ("wait for a slot", &span->wait);
  print_times ("first token", &span->first);
  print_times ("whole answer", &span->whole);
  print_hedge ("a first token", &span->hedge_first, span->tokens);
  print_hedge ("the whole answer", &span->hedge_whole, span->tokens);
}
