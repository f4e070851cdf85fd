/* make measure: runs a deployment under load with each policy and several
   seeds, a few runs side by side, and prints the medians.  */

#include "measure-jobs.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <signal.h>

#define RUNS_MAX 512

static const char *const names[FIGURE_COUNT]
    = { [FIGURE_FAIRNESS_GAP] = "fairness_gap_tokens",
        [FIGURE_STEADY_GAP] = "fairness_gap_steady_tokens",
        [FIGURE_STARTED_GAP] = "fairness_gap_started_tokens",
        [FIGURE_MAX_REQUEST] = "max_request_tokens",
        [FIGURE_UTILISATION] = "utilisation",
        [FIGURE_CONTROL_BYTES] = "control_bytes_per_node_second",
        [FIGURE_CONTROL_REQUEST] = "control_bytes_per_request",
        [FIGURE_CONTROL_CPU] = "control_cpu_percent",
        [FIGURE_PLATFORM_CALLS] = "platform_calls_per_second",
        [FIGURE_CONFIG_CALLS] = "platform_config_calls_per_second",
        [FIGURE_TTFT] = "ttft_p95_ms",
        [FIGURE_TTFT_ALL] = "ttft_all_p95_ms",
        [FIGURE_ITL] = "itl_p95_ms",
        [FIGURE_TOKENS] = "tokens_per_second",
        [FIGURE_OUT_LAST_NEW] = "zone_out_last_new_work_s",
        [FIGURE_OUT_RATIO] = "zone_out_served_ratio",
        [FIGURE_BACK_RATIO] = "zone_back_served_ratio",
        [FIGURE_DURING_GAP] = "fairness_gap_during_tokens",
        [FIGURE_AFTER_GAP] = "fairness_gap_after_tokens",
        [FIGURE_RECOVERY] = "recovery_s",
        [FIGURE_DURING_UTILISATION] = "utilisation_during",
        [FIGURE_DURING_COUNTED] = "utilisation_during_counted",
        [FIGURE_DURING_BUSY] = "busy_during",
        [FIGURE_AFTER_UTILISATION] = "utilisation_after",
        [FIGURE_DURING_TOKENS] = "tokens_during_per_second",
        [FIGURE_AFTER_TOKENS] = "tokens_after_per_second",
        [FIGURE_OVERLOADS] = "overload_count",
        [FIGURE_OVERLOADS_GRACE] = "overload_in_grace",
        [FIGURE_WRONG] = "wrong_answers",
        [FIGURE_DOUBLE] = "double_runs",
        [FIGURE_FALSE_NOT_RUN] = "false_not_run",
        [FIGURE_REQUESTS] = "requests",
        [FIGURE_REFUSED] = "refused",
        [FIGURE_BROKEN] = "broken",
        [FIGURE_ROUTER_RESIDENT] = "router_resident_bytes",
        [FIGURE_AGENT_CPU] = "agent_cpu_percent",
        [FIGURE_AGENT_RESIDENT] = "agent_resident_bytes" };

static const char *const policies[] = { "one", "fleet", "local" };

const char *
figure_name (figure_t figure)
{
  return names[figure];
}

/* ---- one run in this process ---- */

static void
print_json (const measure_run_t *run)
{
  const measure_options_t *options = &run->options;
  bool one = strcmp (options->policy, "one") == 0;

  printf ("{\"profile\":\"%s\",\"event\":\"%s\",\"seed\":%d,"
          "\"policy\":\"%s\",\"routers\":%d",
          options->profile, options->event, (int)options->seed,
          one ? "fleet" : options->policy, one ? 1 : options->routers);
  for (int i = 0; i < FIGURE_COUNT; i++)
    printf (",\"%s\":%.6g", names[i], run->figures[i]);
  printf ("}\n");
  fflush (stdout);
}

static int
run_one (const measure_options_t *options)
{
  measure_run_t run = { .options = *options };

  if (!measure_run_fleet (&run))
    return 1;
  print_json (&run);
  return 0;
}

/* ---- many runs ---- */

static int
compare (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

/* Median and greatest of FIGURE over the good runs of POLICY.  */
static double
median (const job_t *jobs, unsigned count, const char *policy, int figure,
        double *most)
{
  double values[RUNS_MAX];
  size_t found = 0;

  for (unsigned i = 0; i < count; i++)
    if (jobs[i].good && strcmp (jobs[i].options.policy, policy) == 0)
      values[found++] = jobs[i].figures[figure];
  *most = 0;
  if (found == 0)
    return 0;
  qsort (values, found, sizeof *values, compare);
  *most = values[found - 1];
  return found % 2 == 1 ? values[found / 2]
                        : (values[found / 2 - 1] + values[found / 2]) / 2;
}

static void
print_table (const measure_options_t *options, const job_t *jobs,
             unsigned count)
{
  unsigned good = 0;

  for (unsigned i = 0; i < count; i++)
    good += jobs[i].good;
  printf ("%s, event %s, %d routers, %u of %u runs ended well; "
          "median (most)\n",
          options->profile, options->event, options->routers, good, count);
  printf ("%-30s", "");
  for (unsigned i = 0; i < G_N_ELEMENTS (policies); i++)
    printf (" %22s", strcmp (policies[i], "one") == 0 ? "fleet, one router"
                                                      : policies[i]);
  printf ("\n");
  for (int figure = 0; figure < FIGURE_COUNT; figure++)
    {
      printf ("%-30s", names[figure]);
      for (unsigned i = 0; i < G_N_ELEMENTS (policies); i++)
        {
          double most;
          double middle = median (jobs, count, policies[i], figure, &most);
          g_autofree char *text
              = g_strdup_printf ("%.5g (%.5g)", middle, most);
          printf (" %22s", text);
        }
      printf ("\n");
    }
}

static int
run_many (const measure_options_t *options)
{
  static job_t jobs[RUNS_MAX];
  unsigned count = 0;

  for (int seed = 0; seed < options->seeds; seed++)
    for (unsigned i = 0; i < G_N_ELEMENTS (policies) && count < RUNS_MAX; i++)
      if (strcmp (options->policy, "all") == 0
          || strcmp (options->policy, policies[i]) == 0)
        {
          jobs[count].options = *options;
          jobs[count].options.policy = (char *)policies[i];
          jobs[count++].options.seed = options->seed + seed;
        }
  unsigned good = jobs_run_all (jobs, count, (unsigned)options->jobs);
  print_table (options, jobs, count);
  return good == count && count > 0 ? 0 : 1;
}

int
main (int argc, char **argv)
{
  measure_options_t options = { .seed = 1,
                                .seeds = 5,
                                .accounts = 16,
                                .seconds = 14,
                                .warm = 8,
                                .held = 100,
                                .jobs = 3 };
  const GOptionEntry entries[] = {
    { "profile", 0, 0, G_OPTION_ARG_STRING, &options.profile,
      "saeng-ruang, adfer, regions, data-path or scale", "NAME" },
    { "policy", 0, 0, G_OPTION_ARG_STRING, &options.policy,
      "fleet, local, one (fleet with one router) or all", "NAME" },
    { "event", 0, 0, G_OPTION_ARG_STRING, &options.event,
      "after the steady part: zone, partition, region, home, platform or "
      "slow",
      "NAME" },
    { "part", 0, 0, G_OPTION_ARG_STRING, &options.part,
      "of data-path: times, resident or slow; all without it", "NAME" },
    { "seed", 0, 0, G_OPTION_ARG_INT64, &options.seed, "first seed", "N" },
    { "seeds", 0, 0, G_OPTION_ARG_INT, &options.seeds, "number of seeds",
      "N" },
    { "routers", 0, 0, G_OPTION_ARG_INT, &options.routers,
      "routers; 0 is the profile's number", "N" },
    { "accounts", 0, 0, G_OPTION_ARG_INT, &options.accounts,
      "client accounts, a multiple of 16", "N" },
    { "idle", 0, 0, G_OPTION_ARG_INT, &options.idle,
      "more accounts, without requests", "N" },
    { "models", 0, 0, G_OPTION_ARG_INT, &options.models,
      "model endpoints; 0 is the profile's number", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds,
      "measured seconds of a run", "N" },
    { "warm", 0, 0, G_OPTION_ARG_INT, &options.warm, "seconds before them",
      "N" },
    { "held", 0, 0, G_OPTION_ARG_INT, &options.held,
      "requests held at once, in percent of the profile's", "N" },
    { "jobs", 0, 0, G_OPTION_ARG_INT, &options.jobs, "runs side by side",
      "N" },
    { "exact-hints", 0, 0, G_OPTION_ARG_NONE, &options.exact_hints,
      "requests tell the true length of their answers", NULL },
    { "cold-again", 0, 0, G_OPTION_ARG_NONE, &options.cold_again,
      "two engines turn cold in the steady part, one lies about its load",
      NULL },
    { "json", 0, 0, G_OPTION_ARG_NONE, &options.json,
      "also one JSON object a line for each run", NULL },
    { "keep", 0, 0, G_OPTION_ARG_NONE, &options.keep,
      "leave the logs of the processes", NULL },
    { "counters", 0, 0, G_OPTION_ARG_NONE, &options.counters,
      "also the growth of the nodes' counters in the steady part", NULL },
    { "samples", 0, 0, G_OPTION_ARG_FILENAME, &options.samples,
      "with --one: write the service of each account over time", "FILE" },
    { "one", 0, 0, G_OPTION_ARG_NONE, &options.one,
      "a single run, in this process", NULL },
    { NULL }
  };
  g_autoptr (GError) error = NULL;
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);

  prctl (PR_SET_PDEATHSIG, SIGTERM);
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "measure: %s\n", error->message);
      return 2;
    }
  options.profile = options.profile ? options.profile : "saeng-ruang";
  options.policy = options.policy ? options.policy : "all";
  options.event = options.event ? options.event : "zone";
  if (!measure_event_parse (options.event, &(event_kind_t){ 0 }))
    {
      fprintf (stderr,
               "measure: there is no event \"%s\"; use zone, "
               "partition, region, home, platform or slow\n",
               options.event);
      return 2;
    }
  if (options.routers <= 0)
    options.routers = measure_default_routers (options.profile);
  options.routers = CLAMP (options.routers, 1, 64);
  if (strcmp (options.profile, "data-path") == 0)
    return measure_run_path (&options) ? 0 : 1;
  if (strcmp (options.profile, "scale") == 0 && !options.one)
    return measure_run_scale (&options) ? 0 : 1;
  return options.one ? run_one (&options) : run_many (&options);
}
