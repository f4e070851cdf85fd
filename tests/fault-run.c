#include "fault-run.h"

#include <ev.h>

#define LIMIT_S 50
/* Long enough for requests to end, and others to start, in it.  */
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
tell_failures (const load_t *load)
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
account_load (const fleet_account_t *account, const case_t *it,
              double *router_shares)
{
  load_account_t *load = g_new0 (load_account_t, 1);

  load->name = (char *)account->name;
  load->key = (char *)account->key;
  load->weight = account->weight;
  load->outstanding = it->models ? 14 : 60;
  if (it->models)
    {
      load->kinds[LOAD_STREAM] = 4;
      load->kinds[LOAD_COMPLETION] = 2;
      load->kinds[LOAD_NON_STREAM] = 1;
    }
  if (!it->models || it->zone_ms > 0)
    {
      load->kinds[LOAD_LOOKUP] = 2;
      load->kinds[LOAD_POST] = 2;
      load->kinds[LOAD_POST_UNKEYED] = 4;
    }
  load->on_ms = it->on_ms;
  load->off_ms = it->off_ms;
  load->router_shares = router_shares;
  load->min_answer_tokens = 16;
  load->max_answer_tokens = 48;
  return load;
}

static void
on_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  run_t *run = watcher->data;
  const case_t *it = run->it;
  int64_t ms = (clock_now_us () - run->began_us) / 1000;

  if (run->stage == 0 && it->first != NULL && ms >= it->first_ms)
    {
      it->first (run);
      run->stage = 1;
    }
  if (run->stage == 1 && it->second != NULL && ms >= it->second_ms)
    {
      it->second (run);
      run->stage = 2;
    }
  /* Callers may all pause in the middle; the end is when none asks again.  */
  run->idle = load_count_active (run->load) > 0
                      || load_get_requests (run->load)->len < it->requests
                  ? 0
                  : run->idle + 1;
  if (ms >= LIMIT_S * 1000 || (run->idle > 20 && ms > it->second_ms))
    ev_break (loop, EVBREAK_ALL);
}

static void
run_load (run_t *run, struct ev_loop *loop)
{
  ev_timer check;

  ev_timer_init (&check, on_check, 0.02, 0.02);
  check.data = run;
  ev_timer_start (loop, &check);
  run->began_us = clock_now_us ();
  load_start (run->load);
  ev_run (loop, 0);
  ev_timer_stop (loop, &check);
}

void
fault_run (gconstpointer data)
{
  run_t run = { .it = data };
  fleet_plan_t plan = fault_plan;
  double router_shares[] = { 0.5, 0.5 };
  char *urls[2];
  g_autoptr (GError) error = NULL;
  g_autoptr (GPtrArray) members = g_ptr_array_new_with_free_func (g_free);
  load_plan_t load_plan = { .seed = 8,
                            .answer_seed = plan.seed,
                            .routers = plan.routers,
                            .urls = urls,
                            .model = FLEET_MODEL_SERVICE,
                            .plain = FLEET_PLAIN_SERVICE,
                            .request_limit = run.it->requests,
                            .idle_timeout_ms = 20000,
                            .accounts = members };
  struct ev_loop *loop = ev_loop_new (0);

  if (run.it->zone_ms > 0)
    {
      plan.zone_ms = run.it->zone_ms;
      router_shares[0] = 0;
      router_shares[1] = 1;
    }
  if (run.it->slots > 0)
    {
      plan.slots = run.it->slots;
      plan.slots_cold = run.it->slots / 2;
      plan.cold_ms = LONG_COLD_MS;
    }
  run.fleet = fleet_new (&plan, &error);
  g_assert_no_error (error);
  for (unsigned i = 0; i < plan.routers; i++)
    urls[i] = fleet_get_url (run.fleet, FLEET_ROUTER, i);
  for (unsigned i = 0; i < run.it->accounts; i++)
    {
      load_account_t *load
          = account_load (&accounts[i], run.it, router_shares);

      if (run.it->flood > 0)
        load->outstanding = i == 0 ? run.it->flood : 1;
      g_ptr_array_add (members, load);
    }
  run.load = load_new (loop, &load_plan);
  run_load (&run, loop);
  g_assert_true (collect_results (run.fleet, run.load, &run.sum));
  g_test_message ("%u requests: %u right, %u refused, %u broken, "
                  "%u unfinished, %u overloads, %u in grace",
                  run.sum.requests, run.sum.correct, run.sum.refused,
                  run.sum.broken, run.sum.unfinished, run.sum.overload_count,
                  run.sum.overload_in_grace);
  tell_failures (run.load);
  run.it->judge (&run);
  g_assert_true (collect_has_no_violation (&run.sum));
  g_assert_cmpuint (run.sum.unfinished, ==, 0);
  load_free (run.load);
  ev_loop_destroy (loop);
  fleet_free (run.fleet, g_test_failed ());
  for (unsigned i = 0; i < plan.routers; i++)
    g_free (urls[i]);
}
