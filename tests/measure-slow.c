/* What a slow engine costs the callers, and what a hedge could gain.  */

#include "measure-slow.h"
#include "measure.h"
#include <stdio.h>

#define LATE_SHARE 0.95

/* One stream; times in milliseconds.  */
typedef struct
{
  bool at_slow;
  double wait;  /* from the caller to the engine */
  double first; /* from the engine's start to the caller's first token */
  double whole; /* ... and to its last byte */
  unsigned prompt;
  unsigned tokens;
} stream_t;

/* The middle of the endpoints that are not slow.  */
typedef struct
{
  double first;
  double interval;
  double first_late;
  double whole_late;
} usual_t;

static double
ms_between (int64_t from_us, int64_t to_us)
{
  return (double)(to_us - from_us) / 1000;
}

static GArray *
streams_of (const GPtrArray *requests, GHashTable *slow, int64_t from_us,
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

/* Slots that ran a request, mean over the span.  */
static double
busy_slots (const GPtrArray *requests, int64_t from_us, int64_t to_us)
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
interval_of (const stream_t *stream)
{
  return stream->tokens > 1
             ? (stream->whole - stream->first) / (stream->tokens - 1)
             : 0;
}

static usual_t
usual_of (const GArray *streams)
{
  g_autoptr (GArray) first = g_array_new (FALSE, FALSE, sizeof (float));
  g_autoptr (GArray) whole = g_array_new (FALSE, FALSE, sizeof (float));
  g_autoptr (GArray) intervals = g_array_new (FALSE, FALSE, sizeof (float));

  for (guint i = 0; i < streams->len; i++)
    {
      const stream_t *stream = &g_array_index (streams, stream_t, i);
      float times[] = { (float)stream->first, (float)stream->whole,
                        (float)interval_of (stream) };
      if (stream->at_slow)
        continue;
      g_array_append_val (first, times[0]);
      g_array_append_val (whole, times[1]);
      g_array_append_val (intervals, times[2]);
    }
  return (usual_t){ .first = fair_quantile (first, 0.5),
                    .interval = fair_quantile (intervals, 0.5),
                    .first_late = fair_quantile (first, LATE_SHARE),
                    .whole_late = fair_quantile (whole, LATE_SHARE) };
}

static slow_percentiles_t
times_of (GArray *values)
{
  return (slow_percentiles_t){ .p50 = fair_quantile (values, 0.5),
                               .p95 = fair_quantile (values, 0.95),
                               .p99 = fair_quantile (values, 0.99),
                               .most = fair_quantile (values, 1) };
}

/* Time until STREAM comes so far, the whole or the first token.  */
static double
time_of (const stream_t *stream, bool whole)
{
  return whole ? stream->whole : stream->first;
}

/* Tokens that the second attempt takes when it runs for LENGTH; the engine
   takes the whole prompt in any case.  */
static double
tokens_in (const stream_t *stream, const usual_t *usual, double length)
{
  double given = length < usual->first
                     ? 0
                     : 1 + (length - usual->first) / MAX (usual->interval, 1);

  return stream->prompt + MIN (given, stream->tokens);
}

/* Tokens that STREAM's first attempt had taken when it had run for LENGTH.  */
static double
tokens_before (const stream_t *stream, double length)
{
  double given
      = length < stream->first
            ? 0
            : 1 + (length - stream->first) / MAX (interval_of (stream), 1);

  return stream->prompt + MIN (given, stream->tokens);
}

static slow_hedge_t
hedge (const GArray *streams, const usual_t *usual, bool whole)
{
  slow_hedge_t found
      = { .after_ms = whole ? usual->whole_late : usual->first_late };
  g_autoptr (GArray) ends = g_array_new (FALSE, FALSE, sizeof (float));

  for (guint i = 0; i < streams->len; i++)
    {
      const stream_t *stream = &g_array_index (streams, stream_t, i);
      double time = time_of (stream, whole);
      double second = found.after_ms + usual->first
                      + (whole ? (stream->tokens - 1) * usual->interval : 0);
      float end = (float)(stream->wait + MIN (time, second));
      g_array_append_val (ends, end);
      if (time <= found.after_ms)
        continue;
      found.second_attempts++;
      found.second_wins += second < time;
      found.tokens += second < time
                          ? tokens_before (stream, second)
                          : tokens_in (stream, usual, time - found.after_ms);
    }
  found.end = times_of (ends);
  return found;
}

slow_span_t
slow_summarize_span (const GPtrArray *requests, GHashTable *slow,
                     int64_t from_us, int64_t to_us)
{
  g_autoptr (GArray) streams = streams_of (requests, slow, from_us, to_us);
  g_autoptr (GArray) wait = g_array_new (FALSE, FALSE, sizeof (float));
  g_autoptr (GArray) first = g_array_new (FALSE, FALSE, sizeof (float));
  g_autoptr (GArray) whole = g_array_new (FALSE, FALSE, sizeof (float));
  usual_t usual = usual_of (streams);
  slow_span_t span = { .count = streams->len,
                       .busy = busy_slots (requests, from_us, to_us) };

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
  span.wait = times_of (wait);
  span.first = times_of (first);
  span.whole = times_of (whole);
  span.hedge_first = hedge (streams, &usual, false);
  span.hedge_whole = hedge (streams, &usual, true);
  return span;
}

static void
print_times (const char *what, const slow_percentiles_t *times)
{
  fprintf (stderr, "slow:   %s p50 %.0f, p95 %.0f, p99 %.0f, most %.0f ms\n",
           what, times->p50, times->p95, times->p99, times->most);
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
           it->end.p95, it->end.p99, it->end.most);
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
