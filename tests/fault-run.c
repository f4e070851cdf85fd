#include "fault-run.h"

#include <ev.h>

#define MAX_RUN_S 50
/* Long enough for requests to end and others to start during a cold start.  */
#define LONG_COLD_MS 3000

static const fleet_account_t accounts[]
    = { { "lampang", "key-of-lampang", 2 }, { "trang", "key-of-trang", 1 } };

const fleet_plan_t fault_plan = { .zones = 2,
                                  .routers = 2,
                                  .models = 2,
                                  .plains = 2,
                                  .slots = 8,
                                  .slots_cold = 1,
                                  .plain_slots = 4,
                                  .cold_ms = 1500,
                                  .step_ms = 12,
                                  .plain_call_ms = 30,
                                  .zone_ms = 1.5,
                                  .caller_ms = 1,
                                  .seed = 21,
                                  .policy = "fleet",
                                  .account_count = G_N_ELEMENTS (accounts),
                                  .accounts = accounts };

static void
print_failures (const load_t *load)
{
  const GPtrArray *requests = load_get_requests (load);

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = g_ptr_array_index (requests, i);

      if (request->end != LOAD_CORRECT)
        g_test_message ("%s of %s at router %u: status %u, %u of %u tokens, "
                        "%.1f s, %s",
                        load_kind_name (request->kind), request->nonce,
                        request->router, request->status, request->tokens,
                        request->length,
                        (double)(request->last_us - request->started_us) / 1e6,
                        request->detail);
    }
}

static load_account_t *
make_account_load (const fleet_account_t *account,
                   const fault_case_t *fault_case, double *router_shares)
{
  load_account_t *load = g_new0 (load_account_t, 1);

  load->name = (char *)account->name;
  load->key = (char *)account->key;
  load->weight = account->weight;
  load->outstanding = fault_case->use_models ? 14 : 60;
  if (fault_case->use_models)
    {
      load->kinds[LOAD_STREAM] = 4;
      load->kinds[LOAD_COMPLETION] = 2;
      load->kinds[LOAD_NON_STREAM] = 1;
    }
  if (!fault_case->use_models || fault_case->zone_ms > 0)
    {
      load->kinds[LOAD_LOOKUP] = 2;
      load->kinds[LOAD_POST] = 2;
      load->kinds[LOAD_POST_UNKEYED] = 4;
    }
  load->on_ms = fault_case->on_ms;
  load->off_ms = fault_case->off_ms;
  load->router_shares = router_shares;
  load->min_answer_tokens = 16;
  load->max_answer_tokens = 48;
  return load;
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  fault_run_t *run = watcher->data;
  const fault_case_t *fault_case = run->fault_case;
  int64_t ms = (clock_now_us () - run->start_us) / 1000;

  if (run->actions_done == 0 && fault_case->first_action != NULL
      && ms >= fault_case->first_action_ms)
    {
      fault_case->first_action (run);
      run->actions_done = 1;
    }
  if (run->actions_done == 1 && fault_case->second_action != NULL
      && ms >= fault_case->second_action_ms)
    {
      fault_case->second_action (run);
      run->actions_done = 2;
    }
  /* All accounts may pause at once, so that a single check without requests
     does not mean that the load has ended.  */
  run->idle_checks
      = load_count_active (run->load) > 0
                || load_get_requests (run->load)->len < fault_case->requests
            ? 0
            : run->idle_checks + 1;
  if (ms >= MAX_RUN_S * 1000
      || (run->idle_checks > 20 && ms > fault_case->second_action_ms))
    ev_break (loop, EVBREAK_ALL);
}

static void
run_load (fault_run_t *run, struct ev_loop *loop)
{
  ev_timer check;

  ev_timer_init (&check, on_timer, 0.02, 0.02);
  check.data = run;
  ev_timer_start (loop, &check);
  run->start_us = clock_now_us ();
  load_start (run->load);
  ev_run (loop, 0);
  ev_timer_stop (loop, &check);
}

void
fault_run_case (gconstpointer data)
{
  fault_run_t run = { .fault_case = data };
  fleet_plan_t plan = fault_plan;
  double router_shares[] = { 0.5, 0.5 };
  char *urls[2];
  g_autoptr (GError) error = NULL;
  g_autoptr (GPtrArray) account_loads
      = g_ptr_array_new_with_free_func (g_free);
  load_plan_t load_plan = { .seed = 8,
                            .answer_seed = plan.seed,
                            .routers = plan.routers,
                            .urls = urls,
                            .model = FLEET_MODEL_SERVICE,
                            .plain = FLEET_PLAIN_SERVICE,
                            .request_limit = run.fault_case->requests,
                            .idle_timeout_ms = 20000,
                            .accounts = account_loads };
  struct ev_loop *loop = ev_loop_new (0);

  if (run.fault_case->zone_ms > 0)
    {
      plan.zone_ms = run.fault_case->zone_ms;
      router_shares[0] = 0;
      router_shares[1] = 1;
    }
  if (run.fault_case->slots > 0)
    {
      plan.slots = run.fault_case->slots;
      plan.slots_cold = run.fault_case->slots / 2;
      plan.cold_ms = LONG_COLD_MS;
    }
  run.fleet = fleet_new (&plan, &error);
  g_assert_no_error (error);
  for (unsigned i = 0; i < plan.routers; i++)
    urls[i] = fleet_get_url (run.fleet, FLEET_ROUTER, i);
  for (unsigned i = 0; i < run.fault_case->accounts; i++)
    {
      load_account_t *load
          = make_account_load (&accounts[i], run.fault_case, router_shares);

      if (run.fault_case->flood_outstanding > 0)
        load->outstanding = i == 0 ? run.fault_case->flood_outstanding : 1;
      g_ptr_array_add (account_loads, load);
    }
  run.load = load_new (loop, &load_plan);
  run_load (&run, loop);
  g_assert_true (collect_results (run.fleet, run.load, &run.totals));
  g_test_message ("%u requests: %u correct, %u refused, %u broken, "
                  "%u unfinished, %u overloads, %u in grace",
                  run.totals.requests, run.totals.correct, run.totals.refused,
                  run.totals.broken, run.totals.unfinished,
                  run.totals.overload_count, run.totals.overload_in_grace);
  print_failures (run.load);
  run.fault_case->verify (&run);
  g_assert_true (collect_has_no_violation (&run.totals));
  g_assert_cmpuint (run.totals.unfinished, ==, 0);
  load_free (run.load);
  ev_loop_destroy (loop);
  fleet_free (run.fleet, g_test_failed ());
  for (unsigned i = 0; i < plan.routers; i++)
    g_free (urls[i]);
}
