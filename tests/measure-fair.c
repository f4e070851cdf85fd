/* Figures from what callers received.  */

#include "load-tally.h"
#include "measure.h"

#define RECOVERY_STEP_US 100000

/* Range of the difference in service between one pair of accounts.  */
typedef struct
{
  bool open; /* both are backlogged */
  double least;
  double most;
} pair_range_t;

static void
range_add (pair_range_t *range, double difference)
{
  if (!range->open)
    {
      range->open = true;
      range->least = difference;
      range->most = difference;
    }
  range->least = MIN (range->least, difference);
  range->most = MAX (range->most, difference);
}

/* The gap of one pair: the difference is a running one, so its range within a
   span is the greatest difference over any part of the span.  */
static fair_gap_t
pair_gap (const GPtrArray *samples, fair_metric_t what, unsigned a, unsigned b,
          int64_t from_us, int64_t to_us)
{
  pair_range_t range = { 0 };
  fair_gap_t gap = { .a = a, .b = b };

  for (guint i = 0; i < samples->len; i++)
    {
      const load_sample_t *sample = samples->pdata[i];
      if (sample->at_us < from_us || sample->at_us > to_us)
        continue;
      if (sample->waiting[a] == 0 || sample->waiting[b] == 0)
        {
          range.open = false;
          continue;
        }
      const double *service
          = what == FAIR_STARTED ? sample->started : sample->service;
      range_add (&range, service[a] - service[b]);
      if (range.most - range.least <= gap.tokens)
        continue;
      gap.tokens = range.most - range.least;
      gap.at_us = sample->at_us;
    }
  return gap;
}

fair_gap_t
fair_gap (const GPtrArray *samples, fair_metric_t what, unsigned accounts,
          int64_t from_us, int64_t to_us)
{
  fair_gap_t most = { 0 };

  for (unsigned a = 0; a < accounts; a++)
    for (unsigned b = a + 1; b < accounts; b++)
      {
        fair_gap_t gap = pair_gap (samples, what, a, b, from_us, to_us);
        if (gap.tokens > most.tokens)
          most = gap;
      }
  return most;
}

/* Adds what went through one router to what a side got.  */
static void
add_router (load_sample_t *sum, const load_sample_t *part, unsigned accounts)
{
  for (unsigned i = 0; i < accounts; i++)
    {
      sum->service[i] += part->service[i];
      sum->started[i] += part->started[i];
      sum->waiting[i] += part->waiting[i];
    }
  sum->total_waiting += part->total_waiting;
  sum->tokens += part->tokens;
}

GPtrArray *
fair_filter_side (const GPtrArray *samples, const unsigned *sides,
                  unsigned side, unsigned accounts)
{
  GPtrArray *found = g_ptr_array_new_with_free_func (load_sample_free);

  for (guint i = 0; i < samples->len; i++)
    {
      const load_sample_t *sample = samples->pdata[i];
      load_sample_t *sum = g_new0 (load_sample_t, 1);
      sum->at_us = sample->at_us;
      sum->service = g_new0 (double, accounts);
      sum->started = g_new0 (double, accounts);
      sum->waiting = g_new0 (unsigned, accounts);
      for (unsigned router = 0; router < sample->routers; router++)
        if (sides[router] == side)
          add_router (sum, &sample->by_router[router], accounts);
      g_ptr_array_add (found, sum);
    }
  return found;
}

static unsigned
side_waiting (const load_sample_t *sample, const unsigned *sides,
              unsigned side, unsigned accounts)
{
  unsigned waiting = 0;

  if (sides == NULL)
    return sample->total_waiting;
  for (unsigned router = 0; router < sample->routers; router++)
    for (unsigned i = 0; i < accounts && sides[router] == side; i++)
      waiting += sample->by_router[router].waiting[i];
  return waiting;
}

unsigned
fair_min_waiting (const GPtrArray *samples, const unsigned *sides,
                  unsigned side, unsigned accounts, guint count)
{
  unsigned least = G_MAXUINT;

  if (samples->len < count || count == 0)
    return 0;
  for (guint i = samples->len - count; i < samples->len; i++)
    least
        = MIN (least, side_waiting (samples->pdata[i], sides, side, accounts));
  return least;
}

double
fair_recovery_time_s (const GPtrArray *samples, unsigned accounts,
                      int64_t from_us, int64_t to_us, double limit)
{
  int64_t start_us = from_us;

  while (start_us < to_us
         && fair_gap (samples, FAIR_RECEIVED, accounts, start_us, to_us).tokens
                > limit)
    start_us += RECOVERY_STEP_US;
  return (double)(MIN (start_us, to_us) - from_us) / G_USEC_PER_SEC;
}

bool
fair_write_samples (const GPtrArray *samples, unsigned accounts,
                    int64_t from_us, const char *path)
{
  g_autoptr (GString) text = g_string_new ("seconds");

  for (unsigned a = 0; a < accounts; a++)
    g_string_append_printf (text, "\treceived-%u\tstarted-%u\twaiting-%u", a,
                            a, a);
  for (guint i = 0; i < samples->len; i++)
    {
      const load_sample_t *sample = samples->pdata[i];
      g_string_append_printf (
          text, "\n%.3f", (double)(sample->at_us - from_us) / G_USEC_PER_SEC);
      for (unsigned a = 0; a < accounts; a++)
        g_string_append_printf (text, "\t%.1f\t%.1f\t%u", sample->service[a],
                                sample->started[a], sample->waiting[a]);
    }
  g_string_append_c (text, '\n');
  return g_file_set_contents (path, text->str, (gssize)text->len, NULL);
}

double
fair_token_rate (const GPtrArray *samples, int64_t from_us, int64_t to_us)
{
  const load_sample_t *first = NULL;
  const load_sample_t *last = NULL;

  for (guint i = 0; i < samples->len; i++)
    {
      const load_sample_t *sample = samples->pdata[i];
      if (sample->at_us < from_us || sample->at_us > to_us)
        continue;
      if (first == NULL)
        first = sample;
      last = sample;
    }
  if (first == last)
    return 0;
  return (last->tokens - first->tokens) * G_USEC_PER_SEC
         / (double)(last->at_us - first->at_us);
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  float left = *(const float *)a;
  float right = *(const float *)b;

  return (left > right) - (left < right);
}

double
fair_quantile (GArray *values, double share)
{
  if (values->len == 0)
    return 0;
  g_array_sort (values, compare);
  guint index = (guint)(share * (values->len - 1) + 0.5);
  return (double)g_array_index (values, float, index);
}
