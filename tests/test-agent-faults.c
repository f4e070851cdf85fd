/* Failures on the agents' side, in whole fleets of real processes: frozen and
   restarted agents, endpoints that are cold, lie, turn cold again, refuse, or
   go silent in the middle of their answers.  */

#include "fault-events.h"
#include <signal.h>
#include <string.h>

#define STOP_MS 10000

/* ---- faults ---- */

static void
control_engine (const fault_run_t *run, unsigned index, const char *body)
{
  g_autofree char *base = fleet_url (run->fleet, FLEET_ENDPOINT, index);
  g_autofree char *url = g_strconcat (base, "/control", NULL);
  long status = 0;
  g_autofree char *answer = proc_ask ("PUT", url, NULL, body, &status);

  g_assert_cmpint (status, ==, 200);
}

static void
control_engines (const fault_run_t *run, const char *body)
{
  for (unsigned i = 0; i < fault_plan.models; i++)
    control_engine (run, i, body);
}

static void
make_engines_report_no_load (fault_run_t *run)
{
  control_engines (run, "{\"lie\":true}");
}

static void
turn_engines_cold (fault_run_t *run)
{
  /* Not asserted: a busy machine is slow to warm up.  */
  for (unsigned i = 0; i < fault_plan.models; i++)
    g_test_message (
        "agent %u offered %g slots before", i,
        fleet_metric (run->fleet, FLEET_AGENT, i, "cfd_agent_slots"));
  control_engines (run, "{\"cold\":true}");
}

static void
silence_engine_connections (fault_run_t *run)
{
  control_engines (run, "{\"silent\":true}");
}

static void
make_engine_refuse (fault_run_t *run)
{
  control_engine (run, 0, "{\"refuse\":true}");
}

static void
make_engine_serve (fault_run_t *run)
{
  control_engine (run, 0, "{\"refuse\":false}");
}

static void
freeze_engine (fault_run_t *run)
{
  proc_stop (fleet_proc (run->fleet, FLEET_ENDPOINT, 0), SIGSTOP, 0);
}

static void
resume_engine (fault_run_t *run)
{
  proc_stop (fleet_proc (run->fleet, FLEET_ENDPOINT, 0), SIGCONT, 0);
}

/* The agents of one zone: one of a model engine, one of a plain service.  */
static void
signal_agents (fault_run_t *run, int signal_number)
{
  int wait_ms
      = signal_number == SIGSTOP || signal_number == SIGCONT ? 0 : STOP_MS;

  proc_stop (fleet_proc (run->fleet, FLEET_AGENT, 0), signal_number, wait_ms);
  proc_stop (fleet_proc (run->fleet, FLEET_AGENT, fault_plan.models),
             signal_number, wait_ms);
}

static void
freeze_agents (fault_run_t *run)
{
  signal_agents (run, SIGSTOP);
}

static void
resume_agents (fault_run_t *run)
{
  run->resumed_wall_ms = clock_wall_ms ();
  signal_agents (run, SIGCONT);
}

static void
kill_agents (fault_run_t *run)
{
  signal_agents (run, SIGKILL);
}

static void
stop_agents (fault_run_t *run)
{
  signal_agents (run, SIGTERM);
}

static void
start_agents (fault_run_t *run)
{
  g_autoptr (GError) error = NULL;
  proc_set_t *procs = fleet_procs (run->fleet);

  (void)proc_again (procs, fleet_proc (run->fleet, FLEET_AGENT, 0), &error);
  g_assert_no_error (error);
  (void)proc_again (
      procs, fleet_proc (run->fleet, FLEET_AGENT, fault_plan.models), &error);
  g_assert_no_error (error);
}

/* ---- judgements ---- */

static void
verify_all_answered (fault_run_t *run)
{
  g_assert_cmpuint (run->totals.right, ==, run->totals.requests);
}

/* Out and back: two events.  Few requests are lost on a refusing engine.  */
static void
verify_ejected (fault_run_t *run)
{
  double broken
      = fleet_metric (run->fleet, FLEET_AGENT, 0, "cfd_agent_broken_total");

  g_test_message ("%g requests were turned away", broken);
  g_assert_cmpuint (fault_count_agent_events (run, 0, "eject"), >=, 2);
  g_assert_cmpfloat (broken, <, 12);
  verify_all_answered (run);
}

static void
verify_retried_elsewhere (fault_run_t *run)
{
  unsigned places[2] = { 0, 0 };

  for (unsigned i = 0; i < fault_plan.routers; i++)
    {
      g_autoptr (JsonParser) parser = json_parser_new ();

      fault_count_retries (fault_fetch_events (run, FLEET_ROUTER, i, parser),
                           places);
    }
  g_test_message ("%u retries went to the agent that failed, %u elsewhere",
                  places[0], places[1]);
  g_assert_cmpuint (places[0], ==, 0);
  g_assert_cmpuint (places[1], >, 0);
  verify_all_answered (run);
}

/* The first three that were given up eject the endpoint while it stands still,
   and a probe brings it back after the thaw.  Without the agent's question
   nothing is given up before the thaw, and no retry is made.  */
static void
verify_frozen_engine (fault_run_t *run)
{
  g_assert_cmpfloat (
      fleet_metric (run->fleet, FLEET_AGENT, 0, "cfd_agent_broken_total"), >=,
      3);
  verify_ejected (run);
  verify_retried_elsewhere (run);
}

/* Callers may see broken answers and refusals, but true ones, and the load
   goes on.  */
static void
verify_half_answered (fault_run_t *run)
{
  g_assert_cmpuint (run->totals.right, >=, run->totals.requests / 2);
}

/* Of what the woken agent did, each start must follow a grant made after the
   waking: what was assigned to an older one is not started.  */
static void
verify_starts_follow_grants (const fault_run_t *run, unsigned agent)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonArray *events = fault_fetch_events (run, FLEET_AGENT, agent, parser);
  unsigned grants = 0;
  unsigned starts = 0;

  for (guint i = 0; i < json_array_get_length (events); i++)
    {
      JsonObject *event = json_array_get_object_element (events, i);
      const char *kind = json_object_get_string_member (event, "kind");

      if (json_object_get_int_member (event, "wall_ms") < run->resumed_wall_ms)
        continue;
      grants += strcmp (kind, "grant") == 0;
      starts += strcmp (kind, "run") == 0;
      g_assert_cmpuint (starts, <=, grants);
    }
  g_test_message ("agent %u after waking: %u grants, %u starts, %g refused",
                  agent, grants, starts,
                  fleet_metric (run->fleet, FLEET_AGENT, agent,
                                "cfd_agent_not_started_total"));
  g_assert_cmpfloat (
      fleet_metric (run->fleet, FLEET_AGENT, agent, "cfd_agent_woken_total"),
      >=, 1);
  g_assert_cmpuint (grants, >, 0);
}

/* Nearly all of an agent's slots wait for a router 100 ms away when it is
   frozen, and one account alone asks, so that no grant is declined as stale:
   some assignment comes too late.  */
static void
verify_frozen (fault_run_t *run)
{
  verify_starts_follow_grants (run, fault_plan.models);
  g_assert_cmpfloat (fleet_metric (run->fleet, FLEET_AGENT, fault_plan.models,
                                   "cfd_agent_not_started_total"),
                     >, 0);
  verify_half_answered (run);
}

static void
verify_frozen_long (fault_run_t *run)
{
  verify_starts_follow_grants (run, 0);
  verify_starts_follow_grants (run, fault_plan.models);
  verify_half_answered (run);
}

static void
verify_frozen_longer (fault_run_t *run)
{
  verify_starts_follow_grants (run, 0);
  verify_all_answered (run);
}

static const fault_case_t cases[] = {
  /* An agent is stopped for longer than a grant lives, with assignments on
     their way to it, and wakes.  It must not start what was assigned to its
     old grants: it may be long queued elsewhere, and the callers would see a
     post run twice.  */
  { .name = "frozen",
    .stops_agents = true,
    .zone_ms = 100,
    .requests = 700,
    .accounts = 1,
    .first_action_ms = 1500,
    .second_action_ms = 2900,
    .first_action = freeze_agents,
    .second_action = resume_agents,
    .verify = verify_frozen },
  /* As before, and long enough for the routers to give up the links: the
     answers that ran on are resumed.  */
  { .name = "frozen-long",
    .stops_agents = true,
    .zone_ms = 30,
    .requests = 300,
    .accounts = 2,
    .use_models = true,
    .first_action_ms = 1500,
    .second_action_ms = 5000,
    .first_action = freeze_agents,
    .second_action = resume_agents,
    .verify = verify_frozen_long },
  /* As before, for longer than a router waits for a process that is gone.  The
     engine and the plain service run on, and the agents wake with the answers:
     callers see a pause of some 10 s, and no answer cut, unknown or doubled.
   */
  { .name = "frozen-longer",
    .stops_agents = true,
    .zone_ms = 5,
    .requests = 500,
    .accounts = 2,
    .use_models = true,
    .first_action_ms = 2500,
    .second_action_ms = 11000,
    .first_action = freeze_agents,
    .second_action = resume_agents,
    .verify = verify_frozen_longer },
  /* Engines in cold start bear one request, and report no load whatever runs.
     Agents that believed the report would fill them.  */
  { .name = "cold-start-with-lying-report",
    .requests = 120,
    .accounts = 2,
    .use_models = true,
    .first_action = make_engines_report_no_load,
    .verify = verify_all_answered },
  /* Engines turn cold under full load, without warning.  Callers see slower
     answers; no new work goes there above what they bear.  */
  { .name = "cold-again",
    .requests = 130,
    .accounts = 2,
    .use_models = true,
    .slots = 4,
    .first_action_ms = 6500,
    .first_action = turn_engines_cold,
    .verify = verify_all_answered },
  /* Engines turn cold while nothing runs there; then all accounts come back
     at once.  Nothing was seen of the cold: the agents must not offer what
     they offered before the pause.  */
  { .name = "cold-while-idle",
    .requests = 110,
    .accounts = 2,
    .use_models = true,
    .slots = 4,
    .on_ms = 6000,
    .off_ms = 3000,
    .first_action_ms = 8200,
    .first_action = turn_engines_cold,
    .verify = verify_all_answered },
  /* The connections to the engines go silent for good in the middle of the
     answers, and new ones work.  Callers see a pause, and whole answers.  */
  { .name = "silent-connections",
    .requests = 100,
    .accounts = 2,
    .use_models = true,
    .first_action_ms = 3000,
    .first_action = silence_engine_connections,
    .verify = verify_all_answered },
  /* An engine answers 503 for a while.  Its agent ejects it after three, tries
     it with single requests, and takes it back; callers see none of it.  */
  { .name = "refusing",
    .requests = 160,
    .accounts = 2,
    .use_models = true,
    .first_action_ms = 2500,
    .second_action_ms = 5000,
    .first_action = make_engine_refuse,
    .second_action = make_engine_serve,
    .verify = verify_ejected },
  /* An engine answers 503 for longer than a request has attempts.  Its agent
     offers a slot for a probe whenever the backoff ends, and the request that
     it failed is the next in its queue; callers see a failure when it gets the
     same one again.  Each retry must go to the other agent.  */
  { .name = "retry-elsewhere",
    .requests = 300,
    .accounts = 2,
    .use_models = true,
    .first_action_ms = 1500,
    .second_action_ms = 9000,
    .first_action = make_engine_refuse,
    .second_action = make_engine_serve,
    .verify = verify_retried_elsewhere },
  /* An engine stands still while nothing runs there: connections stay open,
     the kernel takes new ones, and what is sent there waits before its first
     byte.  Callers see some 8 s of silence, then one whole answer: the agent
     asks the engine anything else, gives these requests up, and the other
     agent takes them.  The engine is ejected, and back after its thaw.  */
  { .name = "engine-frozen",
    .requests = 85,
    .accounts = 1,
    .use_models = true,
    .slots = 8,
    .on_ms = 1300,
    .off_ms = 3200,
    .first_action_ms = 4200,
    .second_action_ms = 13200,
    .first_action = freeze_engine,
    .second_action = resume_engine,
    .verify = verify_frozen_engine },
  /* Agents are asked to stop under load, end when all that runs there is
     answered, and are started again.  No caller sees it.  */
  { .name = "stopped",
    .stops_agents = true,
    .zone_ms = 5,
    .requests = 160,
    .accounts = 2,
    .use_models = true,
    .first_action_ms = 2500,
    .second_action_ms = 2600,
    .first_action = stop_agents,
    .second_action = start_agents,
    .verify = verify_all_answered },
  /* Agents are killed and start again at their addresses, with no memory.
     What ran there is retried or its outcome is said to be unknown; frames for
     the former incarnation start nothing.  */
  { .name = "restarted",
    .stops_agents = true,
    .requests = 600,
    .accounts = 2,
    .first_action_ms = 800,
    .second_action_ms = 1300,
    .first_action = kill_agents,
    .second_action = start_agents,
    .verify = verify_half_answered },
  /* As before, with model engines under full load that go on with what the
     killed agents gave them.  Callers see broken answers and refusals; the new
     agents must wait until the engines are free, or they would run one more
     than they bear.  */
  { .name = "restarted-engines-busy",
    .stops_agents = true,
    .requests = 700,
    .accounts = 2,
    .use_models = true,
    .first_action_ms = 9000,
    .second_action_ms = 9050,
    .first_action = kill_agents,
    .second_action = start_agents,
    .verify = verify_half_answered },
};

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strconcat (
          cases[i].stops_agents ? "/agent-stops/" : "/agent-faults/",
          cases[i].name, NULL);

      g_test_add_data_func (path, &cases[i], fault_run_case);
    }
  return g_test_run ();
}
