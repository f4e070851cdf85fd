/* A scene of the whole-path tests.  */

#include "scene.h"
#include <json-glib/json-glib.h>

#define CHECK_S 0.02

static const fleet_account_t account = { "branch", SCENE_KEY, 1 };
static double even[] = { 1, 0, 0, 0 };

scene_plan_t
scene_default_plan (void)
{
  scene_plan_t plan = { .fleet = { .zones = 1,
                                   .routers = 1,
                                   .models = 1,
                                   .plains = 0,
                                   .slots = 8,
                                   .slots_cold = 8,
                                   .plain_slots = 4,
                                   .cold_ms = 0,
                                   .step_ms = 12,
                                   .plain_call_ms = 20,
                                   .zone_ms = 1,
                                   .caller_ms = 1,
                                   .seed = 3,
                                   .policy = "fleet",
                                   .account_count = 1,
                                   .accounts = &account },
                        .outstanding = 4,
                        .tokens = 40 };

  plan.kinds[LOAD_STREAM] = 1;
  return plan;
}

scene_t *
scene_new (const scene_plan_t *plan)
{
  scene_t *scene = g_new0 (scene_t, 1);
  g_autoptr (GError) error = NULL;

  scene->loop = ev_loop_new (EVFLAG_AUTO);
  scene->fleet = fleet_new (&plan->fleet, &error);
  g_assert_no_error (error);
  scene->account = (load_account_t){ .name = (char *)account.name,
                                     .key = (char *)SCENE_KEY,
                                     .weight = 1,
                                     .outstanding = plan->outstanding,
                                     .router_shares = even,
                                     .min_answer_tokens = plan->tokens,
                                     .max_answer_tokens = plan->tokens };
  for (unsigned i = 0; i < LOAD_KIND_COUNT; i++)
    scene->account.kinds[i] = plan->kinds[i];
  scene->load_plan = (load_plan_t){ .seed = 1,
                                    .answer_seed = plan->fleet.seed,
                                    .routers = 1,
                                    .urls = g_new0 (char *, 2),
                                    .model = FLEET_MODEL_SERVICE,
                                    .plain = FLEET_PLAIN_SERVICE,
                                    .request_limit = plan->requests,
                                    .idle_timeout_ms = 20000,
                                    .accounts = g_ptr_array_new () };
  scene->load_plan.urls[0]
      = fleet_get_url (scene->fleet, FLEET_ROUTER, plan->router);
  g_ptr_array_add (scene->load_plan.accounts, &scene->account);
  scene->load = load_new (scene->loop, &scene->load_plan);
  load_start (scene->load);
  return scene;
}

void
scene_free (scene_t *scene)
{
  load_free (scene->load);
  fleet_free (scene->fleet, false);
  g_strfreev (scene->load_plan.urls);
  g_ptr_array_unref (scene->load_plan.accounts);
  ev_loop_destroy (scene->loop);
  g_free (scene);
}

typedef struct
{
  const scene_t *scene;
  bool (*done) (const scene_t *scene);
  int64_t end_us;
  bool is_done;
} wait_t;

static void
on_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  wait_t *wait = watcher->data;

  wait->is_done = wait->done != NULL && wait->done (wait->scene);
  if (wait->is_done || clock_now_us () >= wait->end_us)
    ev_break (loop, EVBREAK_ALL);
}

static bool
run_until (scene_t *scene, bool (*done) (const scene_t *scene),
           unsigned limit_ms)
{
  wait_t wait = { .scene = scene,
                  .done = done,
                  .end_us = clock_now_us () + (int64_t)limit_ms * 1000 };
  ev_timer check;

  ev_timer_init (&check, on_check, CHECK_S, CHECK_S);
  check.data = &wait;
  ev_timer_start (scene->loop, &check);
  ev_run (scene->loop, 0);
  ev_timer_stop (scene->loop, &check);
  return wait.is_done;
}

void
scene_run (scene_t *scene, unsigned ms)
{
  run_until (scene, NULL, ms);
}

void
scene_run_until (scene_t *scene, bool (*done) (const scene_t *scene),
                 unsigned limit_ms)
{
  g_assert_true (run_until (scene, done, limit_ms));
}

void
scene_finish (scene_t *scene, unsigned limit_ms)
{
  load_stop (scene->load);
  scene_run_until (scene, scene_is_idle, limit_ms);
  g_assert_true (collect_results (scene->fleet, scene->load, &scene->sum));
  g_assert_true (collect_has_no_violation (&scene->sum));
}

bool
scene_is_streaming (const scene_t *scene)
{
  const GPtrArray *requests = load_get_requests (scene->load);

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = requests->pdata[i];
      if (request->end == LOAD_RUNNING && request->tokens > 2)
        return true;
    }
  return false;
}

bool
scene_is_idle (const scene_t *scene)
{
  return load_count_active (scene->load) == 0;
}

double
scene_read_counter (const scene_t *scene, unsigned endpoint, const char *name)
{
  g_autofree char *base
      = fleet_get_url (scene->fleet, FLEET_ENDPOINT, endpoint);
  g_autofree char *url = g_strconcat (base, "/control/counters", NULL);
  long status = 0;
  g_autofree char *answer = proc_send_http (NULL, url, NULL, NULL, &status);
  g_autoptr (JsonNode) root = json_from_string (answer ? answer : "", NULL);

  g_assert_cmpint (status, ==, 200);
  return json_object_get_double_member (json_node_get_object (root), name);
}

void
scene_put_control (const scene_t *scene, fleet_role_t sort, unsigned index,
                   const char *path, const char *body)
{
  g_autofree char *base = fleet_get_url (scene->fleet, sort, index);
  g_autofree char *url = g_strconcat (base, path, NULL);
  long status = 0;
  g_autofree char *answer = proc_send_http ("PUT", url, NULL, body, &status);

  g_assert_cmpint (status, ==, 200);
}
