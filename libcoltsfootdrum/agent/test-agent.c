/* A whole agent against frames of a router.  */

#include "agent/agent-grant.h"
#include "agent/agent-private.h"
#include "agent/test-scene.h"
#include <math.h>
#include <string.h>

/* The silence that closes a held link, and some more.  */
#define CUT_OFF_MS (PEER_SILENCE_TIMEOUT_MS + 1000)
/* Longer than the gap by which the agent knows that it was stopped.  */
#define STOP_MS 1500

/* ---- the cases ---- */

static const struct
{
  const char *name;
  engine_t engine;
  outcome_t outcome;
  const char *body;
  unsigned tokens;
  unsigned resumes;
} runs[] = {
  { "whole", ENGINE_WHOLE, OUTCOME_COMPLETE, SCENE_TOKEN SCENE_LAST, 3, 0 },
  { "resumed-at-the-engine", ENGINE_BREAKS, OUTCOME_COMPLETE,
    SCENE_TOKEN SCENE_LAST, 3, 1 },
  /* The connection is dead, and the engine is not: another connection.  */
  { "mute-connection", ENGINE_MUTE, OUTCOME_COMPLETE, SCENE_TOKEN SCENE_LAST,
    3, 1 },
  /* The engine stands still before the first byte: the router must hear soon,
     for another endpoint can answer the waiting caller.  */
  { "frozen-engine", ENGINE_FROZEN, OUTCOME_BROKEN, "", 0, 0 },
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
      SCENE_UNTIL (scene, scene->ends == 1);
      g_assert_cmpint (scene->end.outcome, ==, runs[i].outcome);
      g_assert_cmpuint (scene->end.length, ==, strlen (runs[i].body));
      g_assert_cmpuint (scene->end.output_tokens, ==, runs[i].tokens);
      g_assert_cmpstr (scene->body->str, ==, runs[i].body);
      g_assert_cmpuint (scene->heads, ==, runs[i].body[0] != '\0');
      g_assert_cmpuint (scene->resumes, ==, runs[i].resumes);
      scene_free (scene);
    }
}

/* A late ASSIGN, one for another incarnation, one that comes twice, and one
   after the zone went out: none starts anything, and the router is told.  */
static void
test_not_started (void)
{
  scene_t *scene = scene_new (ENGINE_WHOLE);

  scene_announce (scene, 1);
  SCENE_UNTIL (scene, scene->grants == 1);
  scene_pass (scene, 1100);
  scene_assign (scene, "late", scene->grant, scene->incarnation);
  SCENE_UNTIL (scene, scene->refusals == 1);

  scene_announce (scene, 1);
  SCENE_UNTIL (scene, scene->grants == 2);
  scene_assign (scene, "other", scene->grant, scene->incarnation + 1);
  SCENE_UNTIL (scene, scene->refusals == 2);
  g_assert_cmpuint (scene->starts, ==, 0);

  scene_run (scene, "twice");
  SCENE_UNTIL (scene, scene->ends == 1);
  scene_acknowledge (scene, "twice", scene->body->len, true);
  scene_run (scene, "twice");
  SCENE_UNTIL (scene, scene->ends == 2);
  g_assert_cmpint (scene->end.outcome, ==, OUTCOME_UNKNOWN);
  g_assert_cmpuint (scene->starts, ==, 1);

  scene_announce (scene, 1);
  SCENE_UNTIL (scene, scene->grants == 5);
  scene_zone (scene, "out");
  SCENE_UNTIL (scene, scene->watch != NULL);
  scene_assign (scene, "out", scene->grant, scene->incarnation);
  SCENE_UNTIL (scene, scene->refusals == 3);
  scene_announce (scene, 1);
  scene_pass (scene, 300);
  g_assert_cmpuint (scene->grants, ==, 5);
  g_assert_cmpuint (scene->starts, ==, 1);
  scene_free (scene);
}

/* The process is stopped after a request was started and before it was sent,
   and nothing confirms that the endpoint is still in service: the router gets
   the request back as not run, and the endpoint sees nothing of it.  */
static void
test_stopped_before_sending (void)
{
  scene_t *scene = scene_new (ENGINE_WHOLE);

  scene_run (scene, "q");
  while (scene->agent->counters.started == 0)
    ev_run (scene->loop, EVRUN_ONCE);
  g_usleep (STOP_MS * 1000);
  SCENE_UNTIL (scene, scene->ends == 1);
  g_assert_cmpint (scene->end.outcome, ==, OUTCOME_UNREACHED);
  scene_pass (scene, 300);
  g_assert_cmpuint (scene->starts, ==, 0);
  scene_free (scene);
}

/* The endpoint begins to leave while a grant is out, and the platform goes
   down after that: the request that answers the grant is given back unstarted,
   and no slot is offered, however long the platform is away.  When the
   endpoint is in service again, work goes on.  */
static void
test_leaving (void)
{
  scene_t *scene = scene_new (ENGINE_WHOLE);

  scene_announce (scene, 1);
  SCENE_UNTIL (scene, scene->grants == 1);
  scene_endpoint (scene, "leaving");
  SCENE_UNTIL (scene, scene->watch != NULL);
  scene_platform (scene, true);
  scene_assign (scene, "q", scene->grant, scene->incarnation);
  SCENE_UNTIL (scene, scene->refusals == 1);
  scene_announce (scene, 1);
  scene_pass (scene, 1000);
  g_assert_cmpuint (scene->grants, ==, 1);
  g_assert_cmpuint (scene->starts, ==, 0);

  scene_platform (scene, false);
  scene_endpoint (scene, "in");
  scene_announce (scene, 1);
  SCENE_UNTIL (scene, scene->grants == 2);
  scene_free (scene);
}

/* A router that knows newer configuration gets no grant until the agent has
   caught up; then work goes on.  */
static void
test_behind (void)
{
  scene_t *scene = scene_new (ENGINE_WHOLE);

  scene->router_revision = 4;
  scene_announce (scene, 1);
  scene_pass (scene, 300);
  g_assert_cmpuint (scene->grants, ==, 0);
  scene_zone (scene, "in");
  SCENE_UNTIL (scene, scene->grants == 1);
  scene_free (scene);
}

/* The router's link is lost in the middle of an answer.  The router dials
   again and asks from the byte it has; nothing is doubled or missing.  */
static void
test_link_lost (void)
{
  scene_t *scene = scene_new (ENGINE_BIG);
  msg_t message = { .kind = MSG_RESUME };

  scene_run (scene, "q");
  SCENE_UNTIL (scene, scene->body->len > 300000);
  peer_hub_free (scene->router);
  scene_dial (scene, 1);
  SCENE_UNTIL (scene, scene->up);
  message.u.resume = (msg_resume_t){ "q", scene->body->len, false };
  g_assert_true (peer_hub_send (scene->router, "agent", &message));
  SCENE_UNTIL (scene, scene->ends == 1);
  g_assert_cmpint (scene->end.outcome, ==, OUTCOME_COMPLETE);
  g_assert_cmpuint (scene->body->len, ==, scene->end.length);
  g_assert_cmpuint (scene->heads, ==, 1);

  message.u.resume.request = "never-seen";
  g_assert_true (peer_hub_send (scene->router, "agent", &message));
  SCENE_UNTIL (scene, scene->ends == 2);
  g_assert_cmpint (scene->end.outcome, ==, OUTCOME_UNKNOWN);
  scene_free (scene);
}

/* A slow caller: without acknowledgements the agent keeps 1 MiB and reads no
   further; with them the rest comes.  */
static void
test_slow_reader (void)
{
  scene_t *scene = scene_new (ENGINE_BIG);

  scene->ack_data = false;
  scene_run (scene, "q");
  SCENE_UNTIL (scene, scene->body->len >= 1024 * 1024);
  scene_pass (scene, 300);
  g_assert_cmpuint (scene->body->len, <, 1024 * 1024 + 300000);
  scene->ack_data = true;
  scene_acknowledge (scene, "q", scene->body->len, false);
  SCENE_UNTIL (scene, scene->ends == 1);
  g_assert_cmpuint (scene->body->len, ==, scene->end.length);
  scene_free (scene);
}

static void
test_cancel (void)
{
  scene_t *scene = scene_new (ENGINE_HANGS);
  msg_t message = { .kind = MSG_CANCEL };

  scene_run (scene, "q");
  SCENE_UNTIL (scene, scene->body->len > 0);
  message.u.cancel.request = "q";
  g_assert_true (peer_hub_send (scene->router, "agent", &message));
  SCENE_UNTIL (scene, scene->ends == 1 && scene->hanging == NULL);
  g_assert_cmpint (scene->end.outcome, ==, OUTCOME_CANCELLED);
  g_assert_cmpuint (scene->cancels, ==, 1);
  scene_free (scene);
}

/* An agent that neither the platform nor most routers reach: two of three are
   silent, for nobody runs their loop.  */
typedef struct
{
  scene_t *scene;
  struct ev_loop *silent;
  peer_hub_t *second;
  peer_hub_t *third;
  unsigned grants; /* until it was cut off */
} island_t;

static void
island_begin (island_t *island)
{
  scene_t *scene = scene_new (ENGINE_HANGS);

  island->scene = scene;
  island->silent = ev_loop_new (0);
  island->second = scene_other_router (scene, island->silent, "router-2");
  island->third = scene_other_router (scene, island->silent, "router-3");
  scene_platform (scene, true);
  scene_pass (scene, CUT_OFF_MS);
  island->grants = scene->grants;
}

static void
island_end (island_t *island)
{
  peer_hub_free (island->second);
  peer_hub_free (island->third);
  ev_loop_destroy (island->silent);
  scene_free (island->scene);
}

/* Work is announced, and for a while nothing is granted.  */
static void
island_grants_nothing (const island_t *island)
{
  scene_announce (island->scene, 1);
  scene_pass (island->scene, 300);
  g_assert_cmpuint (island->scene->grants, ==, island->grants);
}

/* The platform is out of reach and two of three routers fall silent: the agent
   may be in an island where nobody learns that its zone was taken out.  It
   takes no work while that lasts.  The zone is taken out meanwhile; when the
   platform is back, the agent learns it before it takes any work.  */
static void
test_cut_off (void)
{
  island_t island;
  scene_t *scene;

  island_begin (&island);
  scene = island.scene;
  island_grants_nothing (&island);

  scene_zone (scene, "out");
  scene_platform (scene, false);
  SCENE_UNTIL (scene, scene->watch != NULL);
  island_grants_nothing (&island);

  scene_zone (scene, "in");
  scene_announce (scene, 1);
  SCENE_UNTIL (scene, scene->grants > island.grants);
  island_end (&island);
}

/* The agent is cut off as above, its zone is taken out, and then a router that
   knows it is heard again: the agent counts as in reach at once, with the
   platform still away and no message from that router yet.  Callers in the
   zone must not be served on that strength: the link's first frame showed
   newer configuration, so nothing is granted before it is here.  */
static void
test_heard_by_link (void)
{
  island_t island;
  scene_t *scene;

  island_begin (&island);
  scene = island.scene;
  scene_announce (scene, 1);
  peer_hub_free (island.second);
  scene->router_revision = scene->revision + 1;
  island.second = scene_other_router (scene, scene->loop, "router-2");
  scene->router_revision = scene->revision;
  island_grants_nothing (&island);
  island_end (&island);
}

/* A router has nothing to say but heartbeats when it learns that the zone was
   taken out; another that hasn't learnt it announces work.  The agent, which
   has no word from the platform, heard the first one's revision and grants
   nothing.  */
static void
test_heard_by_heartbeat (void)
{
  scene_t *scene = scene_new (ENGINE_HANGS);
  peer_hub_t *second = scene_other_router (scene, scene->loop, "router-2");

  scene_platform (scene, true);
  scene->router_revision = scene->revision + 1;
  scene_pass (scene, PEER_SILENCE_TIMEOUT_MS);
  scene->router_revision = scene->revision;
  scene_announce (scene, 1);
  scene_pass (scene, 300);
  g_assert_cmpuint (scene->grants, ==, 0);
  peer_hub_free (second);
  scene_free (scene);
}

/* The platform alone is out of reach: work goes on.  */
static void
test_platform_down (void)
{
  scene_t *scene = scene_new (ENGINE_HANGS);

  scene_platform (scene, true);
  scene_pass (scene, CUT_OFF_MS);
  scene_announce (scene, 1);
  SCENE_UNTIL (scene, scene->grants == 1);
  scene_free (scene);
}

/* However often a router finds the agent's knowledge stale, in the end a grant
   comes without a limit and the slot is filled.  */
static void
test_stale (void)
{
  scene_t *scene = scene_new (ENGINE_HANGS);

  scene_announce_rivals (scene, 1000);
  for (unsigned i = 2; i <= 1 + AGENT_MAX_STALE_DECLINES; i++)
    {
      SCENE_UNTIL (scene, scene->grants == i);
      g_assert_true (isfinite (scene->limit));
      scene_decline (scene, scene->grant, 100 * i);
    }
  SCENE_UNTIL (scene, scene->grants == 2 + AGENT_MAX_STALE_DECLINES);
  g_assert_false (isfinite (scene->limit));
  scene_free (scene);
}

/* In cold start two slots; the agent offers no third, whatever waits.  */
static void
test_slots (void)
{
  scene_t *scene = scene_new (ENGINE_HANGS);

  scene_announce (scene, 9);
  SCENE_UNTIL (scene, scene->grants == 2);
  scene_pass (scene, 300);
  g_assert_cmpuint (scene->grants, ==, 2);
  scene_free (scene);
}

/* Another router takes both slots' grants and falls silent.  The agent offers
   the slots again and the first router uses one.  Then the silent one answers
   both grants after all: as many requests run as there are slots, at most,
   and the rest is given back unstarted.  */
static void
test_silent_router (void)
{
  scene_t *scene = scene_new (ENGINE_HANGS);
  struct ev_loop *others = ev_loop_new (0);
  peer_hub_t *router = scene->router;
  peer_hub_t *silent = scene_other_router (scene, others, "router-2");

  scene->router = silent;
  scene_announce (scene, 2);
  ev_run (others, EVRUN_NOWAIT);
  scene_pass (scene, 50);
  scene->router = router;
  scene_run (scene, "a");
  SCENE_UNTIL (scene, scene->starts == 1);

  scene->router = silent;
  scene_assign (scene, "late-1", 1, scene->incarnation);
  scene_assign (scene, "late-2", 2, scene->incarnation);
  ev_run (others, EVRUN_NOWAIT);
  scene_pass (scene, 300);
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
  g_test_add_func ("/agent/runs", test_runs);
  g_test_add_func ("/agent/not-started", test_not_started);
  g_test_add_func ("/agent/stopped-before-sending",
                   test_stopped_before_sending);
  g_test_add_func ("/agent/leaving", test_leaving);
  g_test_add_func ("/agent/behind", test_behind);
  g_test_add_func ("/agent/link-lost", test_link_lost);
  g_test_add_func ("/agent/slow-reader", test_slow_reader);
  g_test_add_func ("/agent/cancel", test_cancel);
  g_test_add_func ("/agent/cut-off", test_cut_off);
  g_test_add_func ("/agent/heard-by-link", test_heard_by_link);
  g_test_add_func ("/agent/heard-by-heartbeat", test_heard_by_heartbeat);
  g_test_add_func ("/agent/platform-down", test_platform_down);
  g_test_add_func ("/agent/stale", test_stale);
  g_test_add_func ("/agent/slots", test_slots);
  g_test_add_func ("/agent/silent-router", test_silent_router);
  return g_test_run ();
}
