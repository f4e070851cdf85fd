/* The data path: what the way through router and agent adds over going
   straight to the engine.  */

#include "measure.h"
#include <ev.h>
#include <stdio.h>
#include <string.h>

#define SEQUENTIAL 300
#define FLOW_S 5
#define HOLD_LIMIT_S 25
/* An answer of a slow reader has some 25 MB, more than the system's socket
   buffers and ours together may hold.  */
#define SLOW_STREAMS 5u
#define SLOW_TOKENS 6000
#define SLOW_PAD 4096
#define SLOW_PAUSE_MS 15000
#define SLOW_LIMIT_S 50

static const fleet_account_t account = { "account", "key-of-account", 1 };
static const unsigned holds[] = { 100, 1000, 3000 };

/* One load on one address.  */
typedef struct
{
  unsigned outstanding;
  load_kind_t kind;
  unsigned tokens;
  unsigned requests; /* ends after so many, or after */
  double seconds;    /* so many seconds */
  unsigned pad;      /* more bytes in each event */
  unsigned pause_ms; /* each reader stops reading for so long */
  bool hold;         /* ends when each has its first byte */
} flow_t;

typedef struct
{
  double first_ms;  /* median to the first token */
  double delay_ms;  /* median of a token's way */
  double delay_p95; /* and 95 of 100 */
  double requests_per_s;
  double tokens_per_s;
  unsigned correct;
  unsigned open;
  unsigned bad;
} flow_result_t;

typedef struct
{
  const flow_t *flow;
  load_t *load;
  int64_t end_us;
  /* Called when a held flow is complete, before its end.  */
  void (*held) (void *user);
  void *user;
} flow_state_t;

static unsigned
count_open (const load_t *load)
{
  const GPtrArray *requests = load_get_requests (load);
  unsigned open = 0;

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = requests->pdata[i];
      open += request->first_byte_us != 0 && request->end == LOAD_RUNNING;
    }
  return open;
}

static void
on_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  flow_state_t *state = watcher->data;
  const flow_t *flow = state->flow;
  bool over = clock_now_us () >= state->end_us;

  if (flow->requests > 0
      && load_get_requests (state->load)->len >= flow->requests
      && load_count_active (state->load) == 0)
    over = true;
  if (flow->hold && count_open (state->load) >= flow->outstanding)
    over = true;
  if (over)
    ev_break (loop, EVBREAK_ALL);
}

static void
summarise (const load_t *load, double seconds, flow_result_t *result)
{
  const GPtrArray *requests = load_get_requests (load);
  g_autoptr (GArray) first = g_array_new (FALSE, FALSE, sizeof (float));
  g_autoptr (GArray) delays = g_array_new (FALSE, FALSE, sizeof (float));
  unsigned correct = 0;
  unsigned tokens = 0;

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = requests->pdata[i];
      float ms = (float)(request->first_byte_us - request->started_us) / 1000;
      tokens += request->tokens;
      correct += request->end == LOAD_CORRECT;
      result->bad
          += request->end != LOAD_CORRECT && request->end != LOAD_RUNNING;
      if (request->first_byte_us != 0)
        g_array_append_val (first, ms);
    }
  g_array_append_vals (delays, load_get_delays (load)->data,
                       load_get_delays (load)->len);
  result->first_ms = fair_quantile (first, 0.5);
  result->delay_ms = fair_quantile (delays, 0.5);
  result->delay_p95 = fair_quantile (delays, 0.95);
  result->correct = correct;
  result->requests_per_s = correct / seconds;
  result->tokens_per_s = tokens / seconds;
  result->open = count_open (load);
}

/* Runs FLOW against URL; HELD is called before the requests are let go.  */
static void
run_flow (const char *url, const flow_t *flow, flow_result_t *result,
          void (*held) (void *user), void *user)
{
  struct ev_loop *loop = ev_default_loop (0);
  double router_shares[] = { 1 };
  char *urls[] = { (char *)url };
  load_account_t caller = { .name = (char *)account.name,
                            .key = (char *)account.key,
                            .weight = 1,
                            .outstanding = flow->outstanding,
                            .router_shares = router_shares,
                            .min_answer_tokens = flow->tokens,
                            .max_answer_tokens = flow->tokens };
  g_autoptr (GPtrArray) accounts = g_ptr_array_new ();
  const load_plan_t plan = { .seed = 3,
                             .answer_seed = 11,
                             .routers = 1,
                             .urls = urls,
                             .model = FLEET_MODEL_SERVICE,
                             .plain = FLEET_PLAIN_SERVICE,
                             .request_limit = flow->requests,
                             .idle_timeout_ms = 60000,
                             .pad = flow->pad,
                             .pause_ms = flow->pause_ms,
                             .accounts = accounts };
  int64_t began_us = clock_now_us ();
  flow_state_t state
      = { .flow = flow,
          .end_us = began_us + (int64_t)(flow->seconds * G_USEC_PER_SEC) };
  ev_timer check;

  *result = (flow_result_t){ 0 };
  caller.kinds[flow->kind] = 1;
  g_ptr_array_add (accounts, &caller);
  state.load = load_new (loop, &plan);
  ev_timer_init (&check, on_check, 0.1, 0.05);
  check.data = &state;
  ev_timer_start (loop, &check);
  load_start (state.load);
  ev_run (loop, 0);
  ev_timer_stop (loop, &check);
  summarise (state.load, (double)(clock_now_us () - began_us) / G_USEC_PER_SEC,
             result);
  if (held != NULL)
    held (user);
  load_free (state.load);
}

static fleet_t *
path_fleet (double step_ms, GError **error)
{
  const fleet_plan_t plan = { .zones = 1,
                              .routers = 1,
                              .models = 1,
                              .plains = 0,
                              .slots = 4000,
                              .slots_cold = 4000,
                              .cold_ms = 0,
                              .step_ms = step_ms,
                              .seed = 11,
                              .policy = "fleet",
                              .account_count = 1,
                              .accounts = &account };

  return fleet_new (&plan, error);
}

static void
print_flow (const char *name, const flow_result_t *direct,
            const flow_result_t *routed)
{
  printf ("%-28s first token %6.2f -> %6.2f ms (+%.2f); token's way, median "
          "%.2f -> %.2f ms (+%.2f), p95 %.2f -> %.2f ms; %u bad\n",
          name, direct->first_ms, routed->first_ms,
          routed->first_ms - direct->first_ms, direct->delay_ms,
          routed->delay_ms, routed->delay_ms - direct->delay_ms,
          direct->delay_p95, routed->delay_p95, direct->bad + routed->bad);
}

/* Time added, at several numbers of streams at once.  */
static bool
measure_times (const char *direct, const char *routed)
{
  static const flow_t flows[]
      = { { 1, LOAD_STREAM, 20, SEQUENTIAL, 30, 0, 0, false },
          { 8, LOAD_STREAM, 50, 0, FLOW_S, 0, 0, false },
          { 100, LOAD_STREAM, 50, 0, FLOW_S, 0, 0, false } };
  bool good = true;

  for (unsigned i = 0; i < G_N_ELEMENTS (flows); i++)
    {
      flow_result_t straight;
      flow_result_t through;
      g_autofree char *name
          = g_strdup_printf ("%u stream%s at once", flows[i].outstanding,
                             flows[i].outstanding == 1 ? "" : "s");
      run_flow (direct, &flows[i], &straight, NULL, NULL);
      run_flow (routed, &flows[i], &through, NULL, NULL);
      print_flow (name, &straight, &through);
      good = good && straight.bad + through.bad == 0;
    }
  return good;
}

/* Requests and tokens a second for each core of a router and of an agent.  */
static bool
measure_rate (const fleet_t *fleet, const char *routed)
{
  static const flow_t flows[]
      = { { 64, LOAD_NON_STREAM, 1, 0, FLOW_S, 0, 0, false },
          { 64, LOAD_STREAM, 50, 0, FLOW_S, 0, 0, false } };
  bool good = true;

  for (unsigned i = 0; i < G_N_ELEMENTS (flows); i++)
    {
      node_sum_t before;
      node_sum_t after;
      flow_result_t result;
      watch_query_nodes (fleet, &before);
      run_flow (routed, &flows[i], &result, NULL, NULL);
      watch_query_nodes (fleet, &after);
      double seconds = (double)(after.at_us - before.at_us) / G_USEC_PER_SEC;
      double router = (after.router_cpu_s - before.router_cpu_s) / seconds;
      double agent = (after.agent_cpu_s - before.agent_cpu_s) / seconds;
      printf ("%-28s %.0f requests/s, %.0f tokens/s; router %.0f%% of a "
              "core, agent %.0f%%: %.0f requests/s and %.0f tokens/s a "
              "router core, %.0f and %.0f an agent core; %u bad\n",
              i == 0 ? "64 short answers at once" : "64 streams at once",
              result.requests_per_s, result.tokens_per_s, router * 100,
              agent * 100, result.requests_per_s / router,
              result.tokens_per_s / router, result.requests_per_s / agent,
              result.tokens_per_s / agent, result.bad);
      good = good && result.bad == 0;
    }
  return good;
}

typedef struct
{
  const fleet_t *fleet;
  node_sum_t nodes;
} hold_t;

static void
on_held (void *user)
{
  hold_t *hold = user;

  watch_query_nodes (hold->fleet, &hold->nodes);
}

/* Resident bytes for each open stream.  */
static bool
measure_resident (void)
{
  bool good = true;

  for (unsigned i = 0; i < G_N_ELEMENTS (holds); i++)
    {
      const flow_t flow
          = { holds[i], LOAD_STREAM, 200, 0, HOLD_LIMIT_S, 0, 0, true };
      g_autoptr (GError) error = NULL;
      fleet_t *fleet = path_fleet (400, &error);
      flow_result_t result;
      node_sum_t before;
      hold_t hold = { .fleet = fleet };

      if (fleet == NULL)
        {
          fprintf (stderr, "measure: %s\n", error->message);
          return false;
        }
      g_autofree char *routed = fleet_get_direct_url (fleet, 0);
      watch_query_nodes (fleet, &before);
      run_flow (routed, &flow, &result, on_held, &hold);
      printf ("%-4u streams held, %4u open: router %.1f -> %.1f MB, %.1f kB "
              "a stream; agent %.1f -> %.1f MB, %.1f kB a stream; %u bad\n",
              holds[i], result.open, before.router_resident / 1e6,
              hold.nodes.router_resident / 1e6,
              (hold.nodes.router_resident - before.router_resident) / 1e3
                  / MAX (result.open, 1),
              before.agent_resident / 1e6, hold.nodes.agent_resident / 1e6,
              (hold.nodes.agent_resident - before.agent_resident) / 1e3
                  / MAX (result.open, 1),
              result.bad);
      fflush (stdout);
      good = good && result.open == holds[i] && result.bad == 0;
      fleet_free (fleet, false);
    }
  return good;
}

/* Callers that stop reading for a while: what is kept for them must be
   bounded, and their answers whole in the end.  */
static bool
measure_slow (void)
{
  static const flow_t flow = { .outstanding = SLOW_STREAMS,
                               .kind = LOAD_STREAM,
                               .tokens = SLOW_TOKENS,
                               .requests = SLOW_STREAMS,
                               .seconds = SLOW_LIMIT_S,
                               .pad = SLOW_PAD,
                               .pause_ms = SLOW_PAUSE_MS };
  g_autoptr (GError) error = NULL;
  fleet_t *fleet = path_fleet (0.5, &error);
  flow_result_t result;
  node_sum_t before;
  node_sum_t after;

  if (fleet == NULL)
    {
      fprintf (stderr, "measure: %s\n", error->message);
      return false;
    }
  g_autofree char *routed = fleet_get_direct_url (fleet, 0);
  watch_query_nodes (fleet, &before);
  run_flow (routed, &flow, &result, NULL, NULL);
  watch_query_nodes (fleet, &after);
  printf ("%u readers that stop for %d s: router at most %.1f -> %.1f MB, "
          "%.0f kB a stream; agent %.1f -> %.1f MB, %.0f kB a stream; %u of "
          "%u answers whole, %u bad\n",
          SLOW_STREAMS, SLOW_PAUSE_MS / 1000, before.router_peak / 1e6,
          after.router_peak / 1e6,
          (after.router_peak - before.router_peak) / 1e3 / SLOW_STREAMS,
          before.agent_peak / 1e6, after.agent_peak / 1e6,
          (after.agent_peak - before.agent_peak) / 1e3 / SLOW_STREAMS,
          result.correct, SLOW_STREAMS, result.bad);
  fleet_free (fleet, false);
  return result.correct == SLOW_STREAMS && result.bad == 0;
}

/* Times and rates, with one fleet.  */
static bool
measure_speed (bool keep)
{
  g_autoptr (GError) error = NULL;
  fleet_t *fleet = path_fleet (4, &error);

  if (fleet == NULL)
    {
      fprintf (stderr, "measure: %s\n", error->message);
      return false;
    }
  g_autofree char *direct = fleet_get_url (fleet, FLEET_ENDPOINT, 0);
  g_autofree char *routed = fleet_get_direct_url (fleet, 0);
  bool good = measure_times (direct, routed);
  fflush (stdout);
  good = measure_rate (fleet, routed) && good;
  fleet_free (fleet, keep);
  return good;
}

bool
measure_run_path (const measure_options_t *options)
{
  const char *part = options->part;
  bool good = true;

  if (part == NULL || strcmp (part, "times") == 0)
    good = measure_speed (options->keep);
  if (part == NULL || strcmp (part, "resident") == 0)
    good = measure_resident () && good;
  if (part == NULL || strcmp (part, "slow") == 0)
    good = measure_slow () && good;
  return good;
}
