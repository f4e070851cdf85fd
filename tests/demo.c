/* The demo: a small fleet of real processes serves a short mixed load and
   prints what was served, for whom, and where.  Exits with 0 only if every
   answer was whole and correct.  */

#include "collect.h"
#include <ev.h>
#include <stdio.h>

#define DEMO_REQUESTS 300
#define DEMO_LIMIT_S 40

static const fleet_account_t accounts[]
    = { { "chiang-mai", "key-of-chiang-mai", 2 },
        { "phuket", "key-of-phuket", 1 },
        { "khon-kaen", "key-of-khon-kaen", 1 },
        { "nakhon", "key-of-nakhon", 1 } };

static const fleet_plan_t plan = { .zones = 2,
                                   .routers = 3,
                                   .models = 4,
                                   .plains = 1,
                                   .slots = 8,
                                   .slots_cold = 1,
                                   .plain_slots = 4,
                                   .cold_ms = 1000,
                                   .step_ms = 12,
                                   .plain_call_ms = 30,
                                   .zone_ms = 1.5,
                                   .caller_ms = 1,
                                   .seed = 11,
                                   .policy = "fleet",
                                   .account_count = G_N_ELEMENTS (accounts),
                                   .accounts = accounts };

static load_account_t *
demo_account (const fleet_account_t *account, double *router_shares)
{
  load_account_t *load = g_new0 (load_account_t, 1);

  load->name = (char *)account->name;
  load->key = (char *)account->key;
  load->weight = account->weight;
  load->outstanding = 8;
  load->kinds[LOAD_STREAM] = 5;
  load->kinds[LOAD_NON_STREAM] = 2;
  load->kinds[LOAD_COMPLETION] = 2;
  load->kinds[LOAD_LOOKUP] = 2;
  load->kinds[LOAD_POST] = 2;
  load->kinds[LOAD_POST_UNKEYED] = 1;
  load->router_shares = router_shares;
  load->min_answer_tokens = 8;
  load->max_answer_tokens = 40;
  return load;
}

typedef struct
{
  load_t *load;
  int64_t end_us;
  unsigned idle; /* checks in a row without a request running */
} watch_t;

static void
on_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  watch_t *watch = watcher->data;
  bool late = clock_now_us () >= watch->end_us;

  watch->idle = load_count_active (watch->load) > 0 ? 0 : watch->idle + 1;
  if (late || watch->idle > 4)
    ev_break (loop, EVBREAK_ALL);
}

/* Runs LOAD until its requests are over.  */
static void
run_load (struct ev_loop *loop, load_t *load)
{
  watch_t watch
      = { .load = load,
          .end_us = clock_now_us () + (int64_t)DEMO_LIMIT_S * G_USEC_PER_SEC };
  ev_timer check;

  ev_timer_init (&check, on_check, 0.5, 0.1);
  check.data = &watch;
  ev_timer_start (loop, &check);
  load_start (load);
  ev_run (loop, 0);
  ev_timer_stop (loop, &check);
}

static bool
demo (struct ev_loop *loop, fleet_t *fleet)
{
  double router_shares[] = { 0.6, 0.3, 0.1 };
  char *urls[3];
  collect_result_t sum;
  g_autoptr (GPtrArray) members = g_ptr_array_new_with_free_func (g_free);
  load_plan_t load_plan = { .seed = 5,
                            .answer_seed = plan.seed,
                            .routers = plan.routers,
                            .urls = urls,
                            .model = FLEET_MODEL_SERVICE,
                            .plain = FLEET_PLAIN_SERVICE,
                            .request_limit = DEMO_REQUESTS,
                            .idle_timeout_ms = 20000,
                            .accounts = members };

  for (unsigned i = 0; i < plan.routers; i++)
    urls[i] = fleet_get_url (fleet, FLEET_ROUTER, i);
  for (unsigned i = 0; i < plan.account_count; i++)
    g_ptr_array_add (members, demo_account (&accounts[i], router_shares));
  load_t *load = load_new (loop, &load_plan);
  run_load (loop, load);
  collect_print_tables (fleet, load);
  bool asked = collect_results (fleet, load, &sum);
  printf ("\n%u requests: %u whole and right, %u refused, %u broken, %u "
          "unfinished; %u wrong answers, %u ran twice, %u not run but ran, "
          "%u overloads\n",
          sum.requests, sum.correct, sum.refused, sum.broken, sum.unfinished,
          sum.wrong_answers, sum.duplicate_runs, sum.false_not_run,
          sum.overload_count);
  load_free (load);
  for (unsigned i = 0; i < plan.routers; i++)
    g_free (urls[i]);
  return asked && sum.requests == DEMO_REQUESTS && sum.correct == sum.requests
         && collect_has_no_violation (&sum);
}

int
main (void)
{
  g_autoptr (GError) error = NULL;
  int64_t began_us = clock_now_us ();
  fleet_t *fleet = fleet_new (&plan, &error);

  if (fleet == NULL)
    {
      fprintf (stderr, "demo: %s\n", error->message);
      return 1;
    }
  printf ("%u routers, %u agents, %u zones are up after %.1f s\n\n",
          plan.routers, plan.models + plan.plains, plan.zones,
          (double)(clock_now_us () - began_us) / G_USEC_PER_SEC);
  bool good = demo (ev_default_loop (0), fleet);
  fleet_free (fleet, !good);
  printf ("%s after %.1f s\n",
          good ? "every answer was whole and right"
               : "FAILED: not every answer was whole and right",
          (double)(clock_now_us () - began_us) / G_USEC_PER_SEC);
  return good ? 0 : 1;
}
