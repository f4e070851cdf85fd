/* One run: a fleet under load; after a steady part an event begins, and
   ends.  */

#include "collect.h"
#include "measure-slow.h"
#include "measure.h"
#include <ev.h>
#include <stdio.h>

/* Parts of the measured time after which an event begins, and ends.  What cuts
   the fleet apart needs longer to be over.  */
#define OUT_PART 0.5
#define BACK_PART 0.75
#define CUT_PART 0.3
#define JOIN_PART 0.6
/* A slow engine: the middle third.  */
#define SLOW_PART (1 / 3.0)
#define QUICK_PART (2 / 3.0)
#define COLD_PART 0.1
/* Rates are taken from so long after a change on.  */
#define SETTLE_US (1 * G_USEC_PER_SEC)
/* The gap after an event counts from so long after its end on.  */
#define AFTER_US (2 * G_USEC_PER_SEC)
/* A gap under so many times the steady one has recovered.  */
#define RECOVERED 2
#define DRAIN_S 10

typedef enum
{
  PHASE_WARM,
  PHASE_STEADY,
  PHASE_OUT,
  PHASE_BACK,
  PHASE_DRAIN
} phase_t;

typedef struct
{
  measure_run_t *run;
  deployment_t *deployment;
  struct ev_loop *loop;
  fleet_t *fleet;
  load_t *load;
  watch_t *watch;
  event_kind_t kind;
  event_t *event;
  ev_timer timer;
  ev_timer cold;
  phase_t phase;
  guint first_interval;
  node_sum_t before;
  node_sum_t after;
  GHashTable *counters;
  int64_t steady_us; /* begin of each phase */
  int64_t out_us;
  int64_t back_us;
  int64_t end_us;
  cfd_time_t out_at;
  cfd_time_t last_start;
  unsigned drain_checks;
  bool failed;
} running_t;

static void
schedule (running_t *running, double after_s)
{
  ev_timer_set (&running->timer, after_s, 0);
  ev_timer_start (running->loop, &running->timer);
}

static void
control_engine (const running_t *running, unsigned index, const char *body)
{
  g_autofree char *base
      = fleet_get_url (running->fleet, FLEET_ENDPOINT, index);
  g_autofree char *url = g_strconcat (base, "/control", NULL);
  long status = 0;
  g_autofree char *answer = proc_send_http ("PUT", url, NULL, body, &status);
}

/* Engines 0 and 1 turn cold while all their slots are busy; 0 reports no load
   from then on.  */
static void
on_cold (struct ev_loop *loop, ev_timer *watcher, int events)
{
  const running_t *running = watcher->data;

  control_engine (running, 0, "{\"cold\":true,\"lie\":true}");
  control_engine (running, 1, "{\"cold\":true}");
}

static void
begin_steady (running_t *running)
{
  running->first_interval = load_get_intervals (running->load)->len;
  watch_query_nodes (running->fleet, &running->before);
  watch_begin_span (running->watch, PHASE_STEADY - 1);
  if (running->run->options.counters)
    running->counters = watch_sum_counters (running->fleet);
  if (running->run->options.cold_again)
    {
      ev_timer_set (&running->cold, running->run->options.seconds * COLD_PART,
                    0);
      ev_timer_start (running->loop, &running->cold);
    }
  running->steady_us = clock_now_us ();
}

static void
print_counters (running_t *running)
{
  if (running->counters == NULL)
    return;
  g_autoptr (GHashTable) now = watch_sum_counters (running->fleet);
  watch_print_growth (running->counters, now,
                      (double)(clock_now_us () - running->steady_us)
                          / G_USEC_PER_SEC);
  g_clear_pointer (&running->counters, g_hash_table_unref);
}

static void
begin_out (running_t *running)
{
  watch_begin_span (running->watch, PHASE_OUT - 1);
  watch_query_nodes (running->fleet, &running->after);
  print_counters (running);
  if (!event_begin (running->event))
    running->failed = true;
  if (running->deployment->load.by_router)
    watch_set_partition (running->watch,
                         event_get_router_sides (running->event),
                         event_get_zone_sides (running->event));
  running->out_us = clock_now_us ();
  running->out_at = clock_now ();
}

static void
begin_back (running_t *running)
{
  running->last_start
      = watch_get_last_start (running->watch, event_get_zone (running->event));
  watch_begin_span (running->watch, PHASE_BACK - 1);
  watch_set_partition (running->watch, NULL, NULL);
  if (!event_end (running->event))
    running->failed = true;
  running->back_us = clock_now_us ();
}

static void
begin_drain (running_t *running)
{
  watch_begin_span (running->watch, WATCH_SPANS);
  running->end_us = clock_now_us ();
  load_stop (running->load);
}

/* Leaves both as they are for an event that cuts the fleet apart.  */
static void
event_parts (event_kind_t kind, double *out, double *back)
{
  if (kind == EVENT_ZONE)
    {
      *out = OUT_PART;
      *back = BACK_PART;
    }
  if (kind == EVENT_SLOW)
    {
      *out = SLOW_PART;
      *back = QUICK_PART;
    }
}

static void
on_phase_over (struct ev_loop *loop, ev_timer *watcher, int events)
{
  running_t *running = watcher->data;
  double seconds = running->run->options.seconds;
  double out = CUT_PART;
  double back = JOIN_PART;

  event_parts (running->kind, &out, &back);
  switch (running->phase)
    {
    case PHASE_WARM:
      begin_steady (running);
      schedule (running, seconds * out);
      break;
    case PHASE_STEADY:
      begin_out (running);
      schedule (running, seconds * (back - out));
      break;
    case PHASE_OUT:
      begin_back (running);
      schedule (running, seconds * (1 - back));
      break;
    case PHASE_BACK:
      begin_drain (running);
      schedule (running, 0.2);
      break;
    case PHASE_DRAIN:
      running->drain_checks++;
      if (load_count_active (running->load) == 0
          || running->drain_checks > DRAIN_S * 5)
        ev_break (loop, EVBREAK_ALL);
      else
        schedule (running, 0.2);
      return;
    }
  running->phase++;
}

/* Times to the first token of requests that began in the measured part.  */
static GArray *
first_tokens (const running_t *running, unsigned from, unsigned count)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (float));
  const GPtrArray *requests = load_get_requests (running->load);

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = requests->pdata[i];
      float ms = (float)(request->first_byte_us - request->started_us) / 1000;
      if (request->first_byte_us == 0
          || request->started_us < running->steady_us
          || request->account < from || request->account >= from + count
          || request->kind == LOAD_NON_STREAM)
        continue;
      g_array_append_val (times, ms);
    }
  return times;
}

static void
put_latencies (const running_t *running, double *figures)
{
  const deployment_t *deployment = running->deployment;
  const GArray *all = load_get_intervals (running->load);
  g_autoptr (GArray) single = first_tokens (running, deployment->single_first,
                                            deployment->single_count);
  g_autoptr (GArray) every
      = first_tokens (running, 0, deployment->model_accounts);
  g_autoptr (GArray) intervals = g_array_new (FALSE, FALSE, sizeof (float));

  if (all->len > running->first_interval)
    g_array_append_vals (intervals,
                         &g_array_index (all, float, running->first_interval),
                         all->len - running->first_interval);
  figures[FIGURE_TTFT] = fair_quantile (single, 0.95);
  figures[FIGURE_TTFT_ALL] = fair_quantile (every, 0.95);
  figures[FIGURE_ITL] = fair_quantile (intervals, 0.95);
}

static void
put_costs (const running_t *running, double *figures)
{
  const node_sum_t *before = &running->before;
  const node_sum_t *after = &running->after;
  unsigned routers = fleet_count_members (running->fleet, FLEET_ROUTER);
  unsigned agents = fleet_count_members (running->fleet, FLEET_AGENT);
  double seconds = (double)(after->at_us - before->at_us) / G_USEC_PER_SEC;

  figures[FIGURE_CONTROL_BYTES]
      = (after->control_bytes - before->control_bytes) / seconds
        / (routers + agents);
  if (after->completed > before->completed)
    figures[FIGURE_CONTROL_REQUEST]
        = (after->control_bytes - before->control_bytes)
          / (after->completed - before->completed);
  figures[FIGURE_CONTROL_CPU]
      = (after->router_cpu_s - before->router_cpu_s) / seconds / routers * 100;
  figures[FIGURE_AGENT_CPU]
      = (after->agent_cpu_s - before->agent_cpu_s) / seconds / agents * 100;
  figures[FIGURE_PLATFORM_CALLS]
      = (after->platform_calls - before->platform_calls) / seconds;
  figures[FIGURE_CONFIG_CALLS]
      = (after->config_calls - before->config_calls) / seconds;
  figures[FIGURE_ROUTER_RESIDENT] = after->router_resident;
  figures[FIGURE_AGENT_RESIDENT] = after->agent_resident;
}

/* Part of the model slots outside a zone that an operator takes out.  */
static double
capacity_left (const running_t *running)
{
  unsigned models = fleet_get_plan (running->fleet)->models;
  unsigned left = 0;

  if (running->kind != EVENT_ZONE)
    return 1;
  for (unsigned i = 0; i < models; i++)
    left += fleet_get_zone (running->fleet, FLEET_AGENT, i)
            != event_get_zone (running->event);
  return (double)left / models;
}

static void
put_service (const running_t *running, double *figures)
{
  const GPtrArray *samples = load_get_samples (running->load);
  const GPtrArray *requests = load_get_requests (running->load);
  unsigned accounts = running->deployment->model_accounts;
  double before
      = fair_token_rate (samples, running->steady_us, running->out_us);
  double out = fair_token_rate (samples, running->out_us + SETTLE_US,
                                running->back_us);
  double back = fair_token_rate (samples, running->back_us + SETTLE_US,
                                 running->end_us);

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = requests->pdata[i];
      if (load_kind_is_model (request->kind))
        figures[FIGURE_MAX_REQUEST]
            = MAX (figures[FIGURE_MAX_REQUEST],
                   request->prompt_tokens + request->length);
    }
  fair_gap_t gap = fair_gap (samples, FAIR_RECEIVED, accounts,
                             running->steady_us, running->end_us);
  figures[FIGURE_FAIRNESS_GAP] = gap.tokens;
  figures[FIGURE_STEADY_GAP] = fair_gap (samples, FAIR_RECEIVED, accounts,
                                         running->steady_us, running->out_us)
                                   .tokens;
  if (running->run->options.samples != NULL)
    fair_write_samples (samples, accounts, running->steady_us,
                        running->run->options.samples);
  figures[FIGURE_STARTED_GAP] = fair_gap (samples, FAIR_STARTED, accounts,
                                          running->steady_us, running->end_us)
                                    .tokens;
  fprintf (stderr, "greatest gap: account-%u and account-%u after %.2f s\n",
           gap.a, gap.b,
           (double)(gap.at_us - running->steady_us) / G_USEC_PER_SEC);
  figures[FIGURE_TOKENS] = before;
  figures[FIGURE_UTILISATION] = watch_get_utilisation (running->watch, 0);
  figures[FIGURE_OUT_LAST_NEW]
      = MAX ((double)(running->last_start - running->out_at) / 1000, 0);
  figures[FIGURE_OUT_RATIO]
      = before > 0 ? out / before / capacity_left (running) : 0;
  figures[FIGURE_BACK_RATIO] = before > 0 ? back / before : 0;
}

/* Before, during and after the event.  */
static void
put_event (const running_t *running, double *figures)
{
  const GPtrArray *samples = load_get_samples (running->load);
  unsigned accounts = running->deployment->model_accounts;
  fair_gap_t after = fair_gap (samples, FAIR_RECEIVED, accounts,
                               running->back_us + AFTER_US, running->end_us);

  figures[FIGURE_DURING_GAP] = event_max_gap (
      running->event, samples, accounts, running->out_us, running->back_us);
  figures[FIGURE_AFTER_GAP] = after.tokens;
  fprintf (stderr, "gap after: account-%u and account-%u after %.2f s\n",
           after.a, after.b,
           (double)(after.at_us - running->back_us) / G_USEC_PER_SEC);
  figures[FIGURE_RECOVERY] = fair_recovery_time_s (
      samples, accounts, running->back_us, running->end_us,
      figures[FIGURE_STEADY_GAP] * RECOVERED);
  figures[FIGURE_DURING_UTILISATION]
      = watch_get_utilisation (running->watch, 1);
  figures[FIGURE_DURING_COUNTED] = watch_get_counted_share (running->watch, 1);
  figures[FIGURE_DURING_BUSY] = watch_get_busy_share (running->watch, 1);
  figures[FIGURE_AFTER_UTILISATION]
      = watch_get_utilisation (running->watch, 2);
  figures[FIGURE_DURING_TOKENS]
      = fair_token_rate (samples, running->out_us, running->back_us);
  figures[FIGURE_AFTER_TOKENS]
      = fair_token_rate (samples, running->back_us, running->end_us);
}

static void
print_slow (const running_t *running)
{
  const fleet_plan_t *plan = fleet_get_plan (running->fleet);
  const GPtrArray *requests = load_get_requests (running->load);
  const int64_t times_us[] = { running->steady_us, running->out_us,
                               running->back_us, running->end_us };
  g_autoptr (GHashTable) slow = collect_started_nonces (
      running->fleet, event_get_slow_endpoint (running->event));

  if (slow == NULL)
    return;
  for (unsigned i = 0; i + 1 < G_N_ELEMENTS (times_us); i++)
    {
      slow_span_t span
          = slow_summarize_span (requests, slow, times_us[i], times_us[i + 1]);
      slow_print_span (&span, i, plan->slots * plan->models);
    }
}

static bool
put_verdict (const running_t *running, double *figures)
{
  collect_result_t sum;

  if (!collect_results (running->fleet, running->load, &sum))
    return false;
  figures[FIGURE_OVERLOADS] = sum.overload_count;
  figures[FIGURE_OVERLOADS_GRACE] = sum.overload_in_grace;
  figures[FIGURE_WRONG] = sum.wrong_answers;
  figures[FIGURE_DOUBLE] = sum.duplicate_runs;
  figures[FIGURE_FALSE_NOT_RUN] = sum.false_not_run;
  figures[FIGURE_REQUESTS] = sum.requests;
  figures[FIGURE_REFUSED] = sum.refused;
  figures[FIGURE_BROKEN] = sum.broken + sum.unfinished;
  return true;
}

static bool
run_load (running_t *running)
{
  double *figures = running->run->figures;

  running->loop = ev_default_loop (0);
  running->load = load_new (running->loop, &running->deployment->load);
  running->watch = watch_new (running->loop, running->fleet, running->load);
  ev_timer_init (&running->timer, on_phase_over, 0, 0);
  running->timer.data = running;
  ev_timer_init (&running->cold, on_cold, 0, 0);
  running->cold.data = running;
  schedule (running, running->run->options.warm);
  load_start (running->load);
  ev_run (running->loop, 0);
  put_latencies (running, figures);
  put_costs (running, figures);
  put_service (running, figures);
  put_event (running, figures);
  if (running->kind == EVENT_SLOW)
    print_slow (running);
  bool judged = put_verdict (running, figures);
  watch_free (running->watch);
  load_free (running->load);
  return judged && !running->failed;
}

bool
measure_run_fleet (measure_run_t *run)
{
  g_autoptr (GError) error = NULL;
  running_t running
      = { .run = run, .deployment = deployment_new (&run->options) };
  bool good = false;

  if (!measure_event_parse (run->options.event, &running.kind))
    running.kind = EVENT_ZONE;
  running.fleet = fleet_new (&running.deployment->fleet, &error);
  if (running.fleet != NULL)
    {
      deployment_connect (running.deployment, running.fleet);
      running.event = event_new (running.kind, running.fleet);
      good = run_load (&running);
      event_free (running.event);
      fleet_free (running.fleet, run->options.keep);
    }
  else
    fprintf (stderr, "measure: %s\n", error->message);
  deployment_free (running.deployment);
  return good;
}
