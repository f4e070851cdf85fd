/* Faults of agents and endpoints in whole fleets of real processes: agents
   that are frozen, stopped or restarted; endpoints that start cold, report a
   wrong load, turn cold again, refuse requests, freeze, or stop sending in the
   middle of an answer.  */

#include "fault-events.h"
#include <signal.h>
#include <string.h>

#define MAX_STOP_MS 10000

/* ---- faults ---- */

static void
control_engine (const fault_run_t *run, unsigned index, const char *body)
{
  g_autofree char *base = fleet_get_url (run->fleet, FLEET_ENDPOINT, index);
  g_autofree char *url = g_strconcat (base, "/control", NULL);
  long status = 0;
  g_autofree char *answer = proc_send_http ("PUT", url, NULL, body, &status);

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
  /* Only printed: on a busy machine the agents may not have raised their
     limits yet.  */
  for (unsigned i = 0; i < fault_plan.models; i++)
    g_test_message (
        "agent %u offered %g slots before", i,
        fleet_sum_metric (run->fleet, FLEET_AGENT, i, "cfd_agent_slots"));
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
  proc_stop (fleet_get_process (run->fleet, FLEET_ENDPOINT, 0), SIGSTOP, 0);
}

static void
resume_engine (fault_run_t *run)
{
  proc_stop (fleet_get_process (run->fleet, FLEET_ENDPOINT, 0), SIGCONT, 0);
}

/* Signals the agents of zone 0: one of a model engine, one of a plain
   service.  */
static void
signal_agents (fault_run_t *run, int signal_number)
{
  int wait_ms
      = signal_number == SIGSTOP || signal_number == SIGCONT ? 0 : MAX_STOP_MS;

  proc_stop (fleet_get_process (run->fleet, FLEET_AGENT, 0), signal_number,
             wait_ms);
  proc_stop (fleet_get_process (run->fleet, FLEET_AGENT, fault_plan.models),
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
  proc_set_t *procs = fleet_get_processes (run->fleet);

  (void)proc_restart (procs, fleet_get_process (run->fleet, FLEET_AGENT, 0),
                      &error);
  g_assert_no_error (error);
  (void)proc_restart (
      procs, fleet_get_process (run->fleet, FLEET_AGENT, fault_plan.models),
      &error);
  g_assert_no_error (error);
}

/* ---- checks ---- */

/* Counts and prints the retries of all routers, see fault_count_retries.  */
static void
count_retries (fault_run_t *run, unsigned places[2])
{
  for (unsigned i = 0; i < fault_plan.routers; i++)
    {
      g_autoptr (JsonParser) parser = json_parser_new ();

      fault_count_retries (fault_fetch_events (run, FLEET_ROUTER, i, parser),
                           places);
    }
}

static void
verify_all_answered (fault_run_t *run)
{
  unsigned places[2] = { 0, 0 };

  /* Shows how the requests that failed came to it.  */
  if (run->totals.correct != run->totals.requests)
    count_retries (run, places);
  g_assert_cmpuint (run->totals.correct, ==, run->totals.requests);
}

/* An ejection and the return are two events.  Fewer than 12 requests may fail
   at the refusing engine in between.  */
static void
verify_ejected (fault_run_t *run)
{
  double broken = fleet_sum_metric (run->fleet, FLEET_AGENT, 0,
                                    "cfd_agent_broken_total");

  g_test_message ("%g requests failed at the engine", broken);
  g_assert_cmpuint (fault_count_agent_events (run, 0, "eject"), >=, 2);
  g_assert_cmpfloat (broken, <, 12);
  verify_all_answered (run);
}

static void
verify_retried_elsewhere (fault_run_t *run)
{
  unsigned places[2] = { 0, 0 };

  count_retries (run, places);
  g_test_message ("%u retries at the agent that failed, %u at another",
                  places[0], places[1]);
  g_assert_cmpuint (places[0], ==, 0);
  g_assert_cmpuint (places[1], >, 0);
  verify_all_answered (run);
}

/* The agent ejects the frozen endpoint after three requests that timed out,
   and a probe request brings it back once it runs again.  Without the agent's
   health check no request would time out before the engine is resumed, and
   none would be retried.  */
static void
verify_frozen_engine (fault_run_t *run)
{
  g_assert_cmpfloat (
      fleet_sum_metric (run->fleet, FLEET_AGENT, 0, "cfd_agent_broken_total"),
      >=, 3);
  verify_ejected (run);
  verify_retried_elsewhere (run);
}

/* Callers may see truncated answers and refusals, as long as these report the
   outcome correctly; at least half of the requests are answered.  */
static void
verify_half_answered (fault_run_t *run)
{
  g_assert_cmpuint (run->totals.correct, >=, run->totals.requests / 2);
}

/* Each start at the resumed agent must follow a grant made after it was
   resumed: requests that were assigned to older grants are refused.  */
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
  g_test_message ("agent %u resumed: %u grants, %u starts, %g refused", agent,
                  grants, starts,
                  fleet_sum_metric (run->fleet, FLEET_AGENT, agent,
                                    "cfd_agent_not_started_total"));
  g_assert_cmpfloat (fleet_sum_metric (run->fleet, FLEET_AGENT, agent,
                                       "cfd_agent_woken_total"),
                     >=, 1);
  g_assert_cmpuint (grants, >, 0);
}

/* When the agent is frozen, nearly all of its slots are granted to a router
   100 ms away, so that some assignment arrives too late.  Only one account
   sends requests, so that no grant is declined as stale.  */
static void
verify_late_assignment_refused (fault_run_t *run)
{
  verify_starts_follow_grants (run, fault_plan.models);
  g_assert_cmpfloat (fleet_sum_metric (run->fleet, FLEET_AGENT,
                                       fault_plan.models,
                                       "cfd_agent_not_started_total"),
                     >, 0);
  verify_half_answered (run);
}

static void
verify_starts_and_half_answered (fault_run_t *run)
{
  verify_starts_follow_grants (run, 0);
  verify_starts_follow_grants (run, fault_plan.models);
  verify_half_answered (run);
}

static void
verify_starts_and_all_answered (fault_run_t *run)
{
  verify_starts_follow_grants (run, 0);
  verify_all_answered (run);
}

static const fault_case_t cases[] = {
  /* Agents are frozen for longer than the lifetime of a grant, with
     assignments in transit to them, and resumed.  They must not start requests
     that were assigned to their old grants: these may be queued elsewhere by
     then, and a POST would run twice.  */
  { .name = "frozen",
    .stops_agents = true,
    .zone_ms = 100,
    .requests = 700,
    .accounts = 1,
    .first_action_ms = 1500,
    .second_action_ms = 2900,
    .first_action = freeze_agents,
    .second_action = resume_agents,
    .verify = verify_late_assignment_refused },
  /* The same, long enough for the routers to close the links.  Answers that
     continued in the meantime are resumed.  */
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
    .verify = verify_starts_and_half_answered },
  /* The same, for longer than a router waits for a process that has exited.
     The engine and the plain service keep running, and the agents have the
     answers when they are resumed: callers see a pause of about 10 s, and no
     answer is truncated, of unknown outcome or duplicated.  */
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
    .verify = verify_starts_and_all_answered },
  /* Engines in cold start can run one request, and report no load whatever
     runs.  Agents that relied on the report would overload them.  */
  { .name = "cold-start-with-lying-report",
    .requests = 120,
    .accounts = 2,
    .use_models = true,
    .first_action = make_engines_report_no_load,
    .verify = verify_all_answered },
  /* Engines turn cold under full load without notice.  Callers see slower
     answers; no request is started beyond the engines' cold capacity.  */
  { .name = "cold-again",
    .requests = 130,
    .accounts = 2,
    .use_models = true,
    .slots = 4,
    .first_action_ms = 6500,
    .first_action = turn_engines_cold,
    .verify = verify_all_answered },
  /* Engines turn cold while they are idle, then all accounts send requests at
     once.  The agents could not observe the change, so they must not offer as
     many slots as before the pause.  */
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
  /* Open connections to the engines stop delivering data in the middle of the
     answers, while new connections work.  Callers see a pause and complete
     answers.  */
  { .name = "silent-connections",
    .requests = 100,
    .accounts = 2,
    .use_models = true,
    .first_action_ms = 3000,
    .first_action = silence_engine_connections,
    .verify = verify_all_answered },
  /* An engine answers 503 for 2.5 s.  Its agent ejects it after three
     failures, probes it with single requests and restores it; callers see no
     failure.  */
  { .name = "refusing",
    .requests = 160,
    .accounts = 2,
    .use_models = true,
    .first_action_ms = 2500,
    .second_action_ms = 5000,
    .first_action = make_engine_refuse,
    .second_action = make_engine_serve,
    .verify = verify_ejected },
  /* An engine answers 503 for longer than the retries of one request last.
     Its agent offers a slot for a probe whenever the backoff ends, and the
     request that just failed there is the next in the queue.  A request that
     got the same agent again would fail for its caller, so each retry must go
     to the other agent.  */
  { .name = "retry-elsewhere",
    .requests = 300,
    .accounts = 2,
    .use_models = true,
    .first_action_ms = 1500,
    .second_action_ms = 9000,
    .first_action = make_engine_refuse,
    .second_action = make_engine_serve,
    .verify = verify_retried_elsewhere },
  /* An engine freezes while it is idle: its connections stay open, the kernel
     accepts new ones, and requests sent there get no first byte.  The agent
     sends a health check, abandons these requests when that is not answered
     either, and the other agent runs them: callers see about 8 s of silence
     and then one complete answer.  The engine is ejected, and restored once it
     runs again.  */
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
  /* Agents get SIGTERM under load, exit when all running requests are
     answered, and are restarted.  Callers see no failure.  */
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
  /* Agents are killed and restarted at the same addresses without state.
     Requests that ran there are retried or reported with an unknown outcome;
     frames for the previous incarnation start nothing.  */
  { .name = "restarted",
    .stops_agents = true,
    .requests = 600,
    .accounts = 2,
    .first_action_ms = 800,
    .second_action_ms = 1300,
    .first_action = kill_agents,
    .second_action = start_agents,
    .verify = verify_half_answered },
  /* The same with model engines under full load, which continue the requests
     of the killed agents.  Callers see truncated answers and refusals.  The
     new agents must wait until the engines are free, or they would start one
     request above their capacity.  */
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
