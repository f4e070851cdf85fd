/* Tests of a whole agent, which exchanges frames with a simulated router.  */

#include "agent/agent-grant.h"
#include "agent/agent-private.h"
#include "agent/test-scene.h"
#include <math.h>
#include <string.h>

/* The time after which a silent held link is closed, and a margin.  */
#define UNTIL_CUT_OFF_MS (PEER_SILENCE_TIMEOUT_MS + 1000)
/* Longer than the gap by which the agent detects a suspension.  */
#define SUSPENSION_MS 1500

/* ---- cases ---- */

static const struct
{
  const char *name;
  engine_t engine;
  outcome_t outcome;
  const char *body;
  unsigned tokens;
  unsigned resumes;
} runs[] = {
  { "whole", ENGINE_COMPLETE, OUTCOME_COMPLETE, SCENE_TOKEN SCENE_END, 3, 0 },
  { "resumed-at-the-engine", ENGINE_BREAKS, OUTCOME_COMPLETE,
    SCENE_TOKEN SCENE_END, 3, 1 },
  /* The connection is dead but the engine isn't: the answer comes by a second
     connection.  */
  { "dead-connection", ENGINE_DEAD_CONNECTION, OUTCOME_COMPLETE,
    SCENE_TOKEN SCENE_END, 3, 1 },
  /* The engine stops before the first byte: the router must be told soon,
     since another endpoint can answer the waiting caller.  */
  { "stopped-engine", ENGINE_STOPPED, OUTCOME_BROKEN, "", 0, 0 },
  { "forgotten-by-the-engine", ENGINE_BREAKS_FORGETS, OUTCOME_BROKEN,
    SCENE_TOKEN, 1, 1 },
};

static void
test_runs (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (runs); i++)
    {
      scene_t *scene = scene_new (runs[i].engine);

      g_test_message ("%s", runs[i].name);
      scene_run (scene, "q");
      SCENE_RUN_UNTIL (scene, scene->ends == 1);
      g_assert_cmpint (scene->last_end.outcome, ==, runs[i].outcome);
      g_assert_cmpuint (scene->last_end.length, ==, strlen (runs[i].body));
      g_assert_cmpuint (scene->last_end.output_tokens, ==, runs[i].tokens);
      g_assert_cmpstr (scene->body->str, ==, runs[i].body);
      g_assert_cmpuint (scene->heads, ==, runs[i].body[0] != '\0');
      g_assert_cmpuint (scene->resumes, ==, runs[i].resumes);
      scene_free (scene);
    }
}

/* Guards against an agent that takes a load report that was cut short for an
   engine without reports, and fills slots that are still in use.  */
static void
test_cut_load_report (void)
{
  scene_t *scene = scene_new (ENGINE_CUT_REPORT);

  SCENE_RUN_UNTIL (scene, scene->load_requests >= 3);
  scene_free (scene);
}

/* A late ASSIGN, one for another incarnation, one that arrives twice, and one
   after the zone was taken out: none starts anything, and the router is
   told.  */
static void
test_not_started (void)
{
  scene_t *scene = scene_new (ENGINE_COMPLETE);

  scene_announce (scene, 1);
  SCENE_RUN_UNTIL (scene, scene->grants == 1);
  scene_run_loop_ms (scene, 1100);
  scene_assign (scene, "late", scene->last_grant, scene->incarnation);
  SCENE_RUN_UNTIL (scene, scene->refusals == 1);

  scene_announce (scene, 1);
  SCENE_RUN_UNTIL (scene, scene->grants == 2);
  scene_assign (scene, "other", scene->last_grant, scene->incarnation + 1);
  SCENE_RUN_UNTIL (scene, scene->refusals == 2);
  g_assert_cmpuint (scene->starts, ==, 0);

  scene_run (scene, "twice");
  SCENE_RUN_UNTIL (scene, scene->ends == 1);
  scene_acknowledge (scene, "twice", scene->body->len, true);
  scene_run (scene, "twice");
  SCENE_RUN_UNTIL (scene, scene->ends == 2);
  g_assert_cmpint (scene->last_end.outcome, ==, OUTCOME_UNKNOWN);
  g_assert_cmpuint (scene->starts, ==, 1);

  scene_announce (scene, 1);
  SCENE_RUN_UNTIL (scene, scene->grants == 5);
  scene_zone (scene, "out");
  SCENE_RUN_UNTIL (scene, scene->watch != NULL);
  scene_assign (scene, "out", scene->last_grant, scene->incarnation);
  SCENE_RUN_UNTIL (scene, scene->refusals == 3);
  scene_announce (scene, 1);
  scene_run_loop_ms (scene, 300);
  g_assert_cmpuint (scene->grants, ==, 5);
  g_assert_cmpuint (scene->starts, ==, 1);
  scene_free (scene);
}

/* The process is suspended after a request was started and before it was sent,
   and nothing confirms that the endpoint is still in service: the router gets
   the request back as not run, and the endpoint receives nothing of it.  */
static void
test_suspended_before_sending (void)
{
  scene_t *scene = scene_new (ENGINE_COMPLETE);

  scene_run (scene, "q");
  while (scene->agent->counters.started == 0)
    ev_run (scene->loop, EVRUN_ONCE);
  g_usleep (SUSPENSION_MS * 1000);
  SCENE_RUN_UNTIL (scene, scene->ends == 1);
  g_assert_cmpint (scene->last_end.outcome, ==, OUTCOME_UNREACHED);
  scene_run_loop_ms (scene, 300);
  g_assert_cmpuint (scene->starts, ==, 0);
  scene_free (scene);
}

/* The endpoint begins to leave while a grant is outstanding, and the platform
   goes down after that: the request assigned to the grant is returned
   unstarted, and no slot is granted however long the platform is down.  When
   the endpoint is in service again, work goes on.  */
static void
test_leaving (void)
{
  scene_t *scene = scene_new (ENGINE_COMPLETE);

  scene_announce (scene, 1);
  SCENE_RUN_UNTIL (scene, scene->grants == 1);
  scene_endpoint (scene, "leaving");
  SCENE_RUN_UNTIL (scene, scene->watch != NULL);
  scene_platform (scene, true);
  scene_assign (scene, "q", scene->last_grant, scene->incarnation);
  SCENE_RUN_UNTIL (scene, scene->refusals == 1);
  scene_announce (scene, 1);
  scene_run_loop_ms (scene, 1000);
  g_assert_cmpuint (scene->grants, ==, 1);
  g_assert_cmpuint (scene->starts, ==, 0);

  scene_platform (scene, false);
  scene_endpoint (scene, "in");
  scene_announce (scene, 1);
  SCENE_RUN_UNTIL (scene, scene->grants == 2);
  scene_free (scene);
}

/* A router with newer configuration gets no grant until the agent has caught
   up; then work goes on.  */
static void
test_behind (void)
{
  scene_t *scene = scene_new (ENGINE_COMPLETE);

  scene->router_revision = 4;
  scene_announce (scene, 1);
  scene_run_loop_ms (scene, 300);
  g_assert_cmpuint (scene->grants, ==, 0);
  scene_zone (scene, "in");
  SCENE_RUN_UNTIL (scene, scene->grants == 1);
  scene_free (scene);
}

/* The router's link is lost in the middle of an answer.  The router connects
   again and resumes at the offset it has; no byte is doubled or missing.  */
static void
test_link_lost (void)
{
  scene_t *scene = scene_new (ENGINE_LARGE_ANSWER);
  msg_t message = { .kind = MSG_RESUME };

  scene_run (scene, "q");
  SCENE_RUN_UNTIL (scene, scene->body->len > 300000);
  peer_hub_free (scene->router);
  scene_connect_router (scene, 1);
  SCENE_RUN_UNTIL (scene, scene->is_router_up);
  message.u.resume = (msg_resume_t){ "q", scene->body->len, false };
  g_assert_true (peer_hub_send (scene->router, "agent", &message));
  SCENE_RUN_UNTIL (scene, scene->ends == 1);
  g_assert_cmpint (scene->last_end.outcome, ==, OUTCOME_COMPLETE);
  g_assert_cmpuint (scene->body->len, ==, scene->last_end.length);
  g_assert_cmpuint (scene->heads, ==, 1);

  message.u.resume.request = "never-seen";
  g_assert_true (peer_hub_send (scene->router, "agent", &message));
  SCENE_RUN_UNTIL (scene, scene->ends == 2);
  g_assert_cmpint (scene->last_end.outcome, ==, OUTCOME_UNKNOWN);
  scene_free (scene);
}

/* A slow caller: without acknowledgements the agent keeps 1 MiB and stops
   reading; with them the rest arrives.  */
static void
test_slow_reader (void)
{
  scene_t *scene = scene_new (ENGINE_LARGE_ANSWER);

  scene->is_acknowledging = false;
  scene_run (scene, "q");
  SCENE_RUN_UNTIL (scene, scene->body->len >= 1024 * 1024);
  scene_run_loop_ms (scene, 300);
  g_assert_cmpuint (scene->body->len, <, 1024 * 1024 + 300000);
  scene->is_acknowledging = true;
  scene_acknowledge (scene, "q", scene->body->len, false);
  SCENE_RUN_UNTIL (scene, scene->ends == 1);
  g_assert_cmpuint (scene->body->len, ==, scene->last_end.length);
  scene_free (scene);
}

static void
test_cancel (void)
{
  scene_t *scene = scene_new (ENGINE_HANGS);
  msg_t message = { .kind = MSG_CANCEL };

  scene_run (scene, "q");
  SCENE_RUN_UNTIL (scene, scene->body->len > 0);
  message.u.cancel.request = "q";
  g_assert_true (peer_hub_send (scene->router, "agent", &message));
  SCENE_RUN_UNTIL (scene, scene->ends == 1 && scene->hanging == NULL);
  g_assert_cmpint (scene->last_end.outcome, ==, OUTCOME_CANCELLED);
  g_assert_cmpuint (scene->cancels, ==, 1);
  scene_free (scene);
}

/* An agent without the platform and with one of three routers: the loops of
   the other two don't run, so their links time out.  */
typedef struct
{
  scene_t *scene;
  struct ev_loop *silent_loop;
  peer_hub_t *second;
  peer_hub_t *third;
  unsigned grants; /* before it was cut off */
} partition_t;

static void
partition_start (partition_t *partition)
{
  scene_t *scene = scene_new (ENGINE_HANGS);

  partition->scene = scene;
  partition->silent_loop = ev_loop_new (0);
  partition->second
      = scene_add_router (scene, partition->silent_loop, "router-2");
  partition->third
      = scene_add_router (scene, partition->silent_loop, "router-3");
  scene_platform (scene, true);
  scene_run_loop_ms (scene, UNTIL_CUT_OFF_MS);
  partition->grants = scene->grants;
}

static void
partition_end (partition_t *partition)
{
  peer_hub_free (partition->second);
  peer_hub_free (partition->third);
  ev_loop_destroy (partition->silent_loop);
  scene_free (partition->scene);
}

/* Announces work and checks that nothing is granted for a while.  */
static void
assert_nothing_granted (const partition_t *partition)
{
  scene_announce (partition->scene, 1);
  scene_run_loop_ms (partition->scene, 300);
  g_assert_cmpuint (partition->scene->grants, ==, partition->grants);
}

/* The platform is unreachable and the links of two of three routers time out:
   the agent may be in a network partition where nobody learns that its zone
   was taken out.  It grants nothing while that lasts.  The zone is taken out
   meanwhile; when the platform is back, the agent reads that before it grants
   anything.  */
static void
test_cut_off (void)
{
  partition_t partition;
  scene_t *scene;

  partition_start (&partition);
  scene = partition.scene;
  assert_nothing_granted (&partition);

  scene_zone (scene, "out");
  scene_platform (scene, false);
  SCENE_RUN_UNTIL (scene, scene->watch != NULL);
  assert_nothing_granted (&partition);

  scene_zone (scene, "in");
  scene_announce (scene, 1);
  SCENE_RUN_UNTIL (scene, scene->grants > partition.grants);
  partition_end (&partition);
}

/* The agent is cut off as above, its zone is taken out, and then a router that
   knows it connects again.  The agent is no longer cut off at once, though the
   platform is still down and no message of that router has arrived.  Callers
   must not be served in the zone on that account: the link's first frame
   stated newer configuration, so nothing is granted before it has arrived.  */
static void
test_revision_by_link (void)
{
  partition_t partition;
  scene_t *scene;

  partition_start (&partition);
  scene = partition.scene;
  scene_announce (scene, 1);
  peer_hub_free (partition.second);
  scene->router_revision = scene->revision + 1;
  partition.second = scene_add_router (scene, scene->loop, "router-2");
  scene->router_revision = scene->revision;
  assert_nothing_granted (&partition);
  partition_end (&partition);
}

/* A router sends nothing but heartbeats after it has learnt that the zone was
   taken out; another one that hasn't learnt it announces work.  The agent
   can't reach the platform, takes the first router's revision from its
   heartbeat, and grants nothing.  */
static void
test_revision_by_heartbeat (void)
{
  scene_t *scene = scene_new (ENGINE_HANGS);
  peer_hub_t *second = scene_add_router (scene, scene->loop, "router-2");

  scene_platform (scene, true);
  scene->router_revision = scene->revision + 1;
  scene_run_loop_ms (scene, PEER_SILENCE_TIMEOUT_MS);
  scene->router_revision = scene->revision;
  scene_announce (scene, 1);
  scene_run_loop_ms (scene, 300);
  g_assert_cmpuint (scene->grants, ==, 0);
  peer_hub_free (second);
  scene_free (scene);
}

/* Only the platform is unreachable: work goes on.  */
static void
test_platform_down (void)
{
  scene_t *scene = scene_new (ENGINE_HANGS);

  scene_platform (scene, true);
  scene_run_loop_ms (scene, UNTIL_CUT_OFF_MS);
  scene_announce (scene, 1);
  SCENE_RUN_UNTIL (scene, scene->grants == 1);
  scene_free (scene);
}

/* However often a router declines a grant as stale, in the end a grant comes
   without a limit and the slot is filled.  */
static void
test_stale_declines (void)
{
  scene_t *scene = scene_new (ENGINE_HANGS);

  scene_announce_two_accounts (scene, 1000);
  for (unsigned i = 2; i <= 1 + AGENT_MAX_STALE_DECLINES; i++)
    {
      SCENE_RUN_UNTIL (scene, scene->grants == i);
      g_assert_true (isfinite (scene->limit_vt));
      scene_decline (scene, scene->last_grant, 100 * i);
    }
  SCENE_RUN_UNTIL (scene, scene->grants == 2 + AGENT_MAX_STALE_DECLINES);
  g_assert_false (isfinite (scene->limit_vt));
  scene_free (scene);
}

/* A cold endpoint has two slots, and the agent grants no third one, whatever
   waits.  */
static void
test_cold_start_slots (void)
{
  scene_t *scene = scene_new (ENGINE_HANGS);

  scene_announce (scene, 9);
  SCENE_RUN_UNTIL (scene, scene->grants == 2);
  scene_run_loop_ms (scene, 300);
  g_assert_cmpuint (scene->grants, ==, 2);
  scene_free (scene);
}

/* Another router gets the grants of both slots and falls silent.  The agent
   grants the slots again, and the first router uses one.  Then the silent
   router uses both old grants: no more requests run than there are slots, and
   the rest is returned unstarted.  */
static void
test_silent_router (void)
{
  scene_t *scene = scene_new (ENGINE_HANGS);
  struct ev_loop *others = ev_loop_new (0);
  peer_hub_t *router = scene->router;
  peer_hub_t *silent = scene_add_router (scene, others, "router-2");

  scene->router = silent;
  scene_announce (scene, 2);
  ev_run (others, EVRUN_NOWAIT);
  scene_run_loop_ms (scene, 50);
  scene->router = router;
  scene_run (scene, "a");
  SCENE_RUN_UNTIL (scene, scene->starts == 1);

  scene->router = silent;
  scene_assign (scene, "late-1", 1, scene->incarnation);
  scene_assign (scene, "late-2", 2, scene->incarnation);
  ev_run (others, EVRUN_NOWAIT);
  scene_run_loop_ms (scene, 300);
  g_assert_cmpuint (scene->starts, <=, 2);

  scene->router = router;
  peer_hub_free (silent);
  ev_loop_destroy (others);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/agent/cut-load-report", test_cut_load_report);
  g_test_add_func ("/agent/runs", test_runs);
  g_test_add_func ("/agent/not-started", test_not_started);
  g_test_add_func ("/agent/suspended-before-sending",
                   test_suspended_before_sending);
  g_test_add_func ("/agent/leaving", test_leaving);
  g_test_add_func ("/agent/behind", test_behind);
  g_test_add_func ("/agent/link-lost", test_link_lost);
  g_test_add_func ("/agent/slow-reader", test_slow_reader);
  g_test_add_func ("/agent/cancel", test_cancel);
  g_test_add_func ("/agent/cut-off", test_cut_off);
  g_test_add_func ("/agent/revision-by-link", test_revision_by_link);
  g_test_add_func ("/agent/revision-by-heartbeat", test_revision_by_heartbeat);
  g_test_add_func ("/agent/platform-down", test_platform_down);
  g_test_add_func ("/agent/stale", test_stale_declines);
  g_test_add_func ("/agent/slots", test_cold_start_slots);
  g_test_add_func ("/agent/silent-router", test_silent_router);
  return g_test_run ();
}
