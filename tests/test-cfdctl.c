/* Runs cfdctl as an operator does, against a small fleet of real processes. */

#include "call.h"
#include "fleet.h"
#include <json-glib/json-glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#define KEY "key-of-the-branch"
#define MAX_WAIT_MS 20000
#define ZONES 2

typedef struct
{
  fleet_t *fleet;
  char *program;
  char *platform;
  char *out; /* standard output of the last run */
  char *err;
} fixture_t;

static const fleet_account_t account = { "branch", KEY, 1 };

static fixture_t *
fixture_new (void)
{
  static const fleet_plan_t plan = { .zones = ZONES,
                                     .routers = 2,
                                     .models = 2,
                                     .slots = 8,
                                     .slots_cold = 8,
                                     .plain_slots = 4,
                                     .step_ms = 4,
                                     .plain_call_ms = 10,
                                     .zone_ms = 1,
                                     .caller_ms = 1,
                                     .seed = 3,
                                     .policy = "fleet",
                                     .account_count = 1,
                                     .accounts = &account };
  g_autoptr (GError) error = NULL;
  g_autofree char *build = proc_get_build_dir ();
  fixture_t *fixture = g_new0 (fixture_t, 1);

  fixture->fleet = fleet_new (&plan, &error);
  g_assert_no_error (error);
  fixture->program = g_build_filename (build, "cli", "cfdctl", NULL);
  fixture->platform = fleet_get_url (fixture->fleet, FLEET_PLATFORM, 0);
  return fixture;
}

static void
fixture_free (fixture_t *fixture)
{
  fleet_free (fixture->fleet, false);
  g_free (fixture->program);
  g_free (fixture->platform);
  g_free (fixture->out);
  g_free (fixture->err);
  g_free (fixture);
}

/* Runs cfdctl with ARGUMENTS, split as by a shell; returns its exit status. */
static int
run_cfdctl (fixture_t *fixture, const char *arguments)
{
  g_auto (GStrv) argv_tail = NULL;
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();
  g_autoptr (GError) error = NULL;
  int status;

  g_assert_true (g_shell_parse_argv (arguments, NULL, &argv_tail, NULL));
  g_ptr_array_add (argv, fixture->program);
  g_ptr_array_add (argv, (gpointer) "--platform");
  g_ptr_array_add (argv, fixture->platform);
  for (unsigned i = 0; argv_tail[i] != NULL; i++)
    g_ptr_array_add (argv, argv_tail[i]);
  g_ptr_array_add (argv, NULL);
  g_free (fixture->out);
  g_free (fixture->err);
  g_spawn_sync (NULL, (char **)argv->pdata, NULL, G_SPAWN_DEFAULT, NULL, NULL,
                &fixture->out, &fixture->err, &status, &error);
  g_assert_no_error (error);
  g_assert_true (WIFEXITED (status));
  g_test_message ("cfdctl %s: %d\n%s%s", arguments, WEXITSTATUS (status),
                  fixture->out, fixture->err);
  return WEXITSTATUS (status);
}

static void
check_cfdctl (fixture_t *fixture, const char *arguments, int status,
              const char *expected)
{
  g_assert_cmpint (run_cfdctl (fixture, arguments), ==, status);
  if (expected != NULL)
    g_assert_true (strstr (fixture->out, expected) != NULL
                   || strstr (fixture->err, expected) != NULL);
}

/* ---- records ---- */

typedef struct
{
  const char *arguments;
  int status;
  const char *expected;
} record_case_t;

/* Run in this order: later cases use the records of earlier ones.  */
static const record_case_t record_cases[] = {
  { "create client-account mill weight=2 queue_max=5 "
    "keys='[{\"hash\":\"HASH\"}]'",
    1, "64 lower-case hex digits" },
  { "create client-account mill weight=2 queue_max=5 keys=[]", 0, "version" },
  { "create client-account mill weight=2 queue_max=5 keys=[]", 3, "first" },
  { "get client-account mill", 0, "\"weight\":2" },
  { "get client-account absent", 2, "cfdctl list" },
  { "get client-acount mill", 1, "did you mean client-account?" },
  { "gte client-account mill", 1, "did you mean get?" },
  { "list client-account", 0, "mill" },
  { "--output json list endpoint", 0, "{\"kind\":\"endpoint\"" },
  { "set client-account mill weight=3", 0, "\"weight\":3" },
  { "set client-account mill schema=9", 1, "schema" },
  { "set client-account mill weight=heavy", 1, "weight" },
  { "set client-account mill weight=4 --if-version none-such", 3, "first" },
  { "get client-account mill", 0, "\"weight\":3" },
  { "delete client-account mill --if-version none-such", 3, "first" },
  { "delete client-account mill", 0, NULL },
  { "get client-account mill", 2, NULL },
  { "--output xml list", 1, "text or json" },
};

static void
test_records (void)
{
  fixture_t *fixture = fixture_new ();

  for (unsigned i = 0; i < G_N_ELEMENTS (record_cases); i++)
    check_cfdctl (fixture, record_cases[i].arguments, record_cases[i].status,
                  record_cases[i].expected);
  fixture_free (fixture);
}

static char *
read_version (fixture_t *fixture, const char *kind, const char *name)
{
  g_autofree char *arguments
      = g_strdup_printf ("--output json get %s %s", kind, name);
  g_autoptr (JsonNode) root = NULL;

  g_assert_cmpint (run_cfdctl (fixture, arguments), ==, 0);
  root = json_from_string (fixture->out, NULL);
  return g_strdup (
      json_object_get_string_member (json_node_get_object (root), "version"));
}

/* Two operators read the same version of a record and both update it.  The
   second write must fail with a conflict, or it would silently overwrite the
   first.  */
static void
test_race (void)
{
  fixture_t *fixture = fixture_new ();
  g_autofree char *version
      = read_version (fixture, "client-account", "branch");
  g_autofree char *first = g_strdup_printf (
      "set client-account branch weight=2 --if-version %s", version);
  g_autofree char *second = g_strdup_printf (
      "set client-account branch weight=5 --if-version %s", version);

  check_cfdctl (fixture, first, 0, "\"weight\":2");
  check_cfdctl (fixture, second, 3, "another writer was first");
  check_cfdctl (fixture, "get client-account branch", 0, "\"weight\":2");
  fixture_free (fixture);
}

/* ---- zones ---- */

/* A zone is taken out and restored; cfdctl exits only when the change is in
   force at all instances.  Then one agent is frozen, so that its state can't
   be known: at the deadline cfdctl reports that the change is not known to be
   in force, and at which instance.  */
static void
test_zone (void)
{
  fixture_t *fixture = fixture_new ();
  proc_t *agent = fleet_get_process (fixture->fleet, FLEET_AGENT, 0);

  check_cfdctl (fixture, "zone out zone-9", 2, NULL);
  check_cfdctl (fixture, "zone off zone-1", 1, "out|in");
  check_cfdctl (fixture, "zone out zone-1", 0, "in force at all 4 instances");
  for (unsigned i = 0; i < ZONES; i++)
    {
      g_assert_cmpfloat (
          fleet_sum_metric (fixture->fleet, FLEET_ROUTER, i, "cfd_zones_out"),
          ==, 1);
      g_assert_cmpfloat (
          fleet_sum_metric (fixture->fleet, FLEET_AGENT, i, "cfd_zones_out"),
          ==, 1);
      g_assert_cmpfloat (
          fleet_sum_metric (fixture->fleet, FLEET_AGENT, i, "cfd_ready"), ==,
          i == 0);
    }
  check_cfdctl (fixture, "status", 0, "why-not=zone-out");
  check_cfdctl (fixture, "--output json zone in zone-1", 0, "\"instances\":4");
  proc_stop (agent, SIGSTOP, 0);
  check_cfdctl (fixture, "zone out zone-1 --deadline 2 --timeout 1", 5,
                "at: agent-0;");
  check_cfdctl (fixture, "status --timeout 1", 0, "no answer");
  proc_stop (agent, SIGCONT, 0);
  check_cfdctl (fixture, "zone in zone-1", 0, "in force at all 4 instances");
  fixture_free (fixture);
}

/* ---- timeline ---- */

/* Returns the value of a response header; free with g_free.  */
static char *
copy_header (const call_t *answer, const char *name)
{
  g_autofree char *start = g_strdup_printf ("\r\n%s: ", name);
  const char *value = strstr (answer->text->str, start);

  g_assert_nonnull (value);
  value += strlen (start);
  return g_strndup (value, strcspn (value, "\r"));
}

/* Sends a request for a short answer; returns its request id.  */
static char *
serve_request (fixture_t *fixture)
{
  g_autofree char *url = fleet_get_direct_url (fixture->fleet, 0);
  g_autoptr (call_t) call
      = call_start (url, "POST", "/v1/chat/completions", KEY,
                    "X-Request-Id: the-callers-own\r\n",
                    "{\"model\":\"draft\",\"max_tokens\":5,\"messages\":"
                    "[{\"role\":\"user\",\"content\":\"hello\"}]}");

  g_assert_cmpint (call_read_to_end (call, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (call), ==, 200);
  return copy_header (call, "X-Request-Id");
}

/* Index of the first line that contains both texts; -1 when there is none.  */
static int
find_line (const char *text, const char *first_text, const char *second_text)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", 0);

  for (int i = 0; lines[i] != NULL; i++)
    if (strstr (lines[i], first_text) != NULL
        && strstr (lines[i], second_text) != NULL)
      return i;
  return -1;
}

static void
check_event_order (const char *text, const char *id)
{
  static const char *const kinds[]
      = { " admit ", " assign ", " run ", " end " };
  int last = -1;

  for (unsigned i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      int line = find_line (text, kinds[i], id);

      g_test_message ("%s: line %d", kinds[i], line);
      g_assert_cmpint (line, >, last);
      last = line;
    }
}

/* The timeline of all processes lists the admission, assignment, run and end
   of a request in this order even if their clocks differ, and explain finds it
   by the request id that the caller got.  */
static void
test_timeline (void)
{
  fixture_t *fixture = fixture_new ();
  g_autofree char *id = serve_request (fixture);
  g_autofree char *other_id = serve_request (fixture);
  g_autofree char *explain = g_strdup_printf ("explain %s", id);
  g_autofree char *filter
      = g_strdup_printf ("--output json timeline --request %s", id);

  g_assert_cmpstr (id, !=, "the-callers-own");
  check_cfdctl (fixture, "timeline", 0, id);
  check_event_order (fixture->out, id);
  check_cfdctl (fixture, explain, 0, "got least");
  check_event_order (fixture->out, id);
  g_assert_null (strstr (fixture->out, other_id));
  check_cfdctl (fixture, filter, 0, "\"kind\":\"assign\"");
  g_assert_null (strstr (fixture->out, other_id));
  check_cfdctl (fixture, "timeline --kind assign", 0, other_id);
  g_assert_cmpint (find_line (fixture->out, " admit ", ""), ==, -1);
  check_cfdctl (fixture, "timeline --account branch", 0, id);
  g_assert_cmpint (find_line (fixture->out, " config ", ""), ==, -1);
  check_cfdctl (fixture, "timeline --endpoint endpoint-0", 0, " assign ");
  g_assert_nonnull (strstr (fixture->out, " run "));
  g_assert_null (strstr (fixture->out, "endpoint-1"));
  check_cfdctl (fixture, "timeline --kind asign", 1, "did you mean assign?");
  check_cfdctl (fixture, "explain router-0.none.1", 2, "bounded");
  fixture_free (fixture);
}

static void
signal_endpoints (fixture_t *fixture, int signal_number)
{
  for (unsigned i = 0; i < ZONES; i++)
    proc_stop (fleet_get_process (fixture->fleet, FLEET_ENDPOINT, i),
               signal_number, 0);
}

/* A refused request also has an id that explain finds.  */
static void
test_refused (void)
{
  fixture_t *fixture = fixture_new ();
  g_autofree char *url = fleet_get_direct_url (fixture->fleet, 1);
  g_autoptr (call_t) call
      = call_start (url, "POST", "/v1/completions", "not-a-key", NULL, "{}");
  g_autofree char *id = NULL;
  g_autofree char *explain = NULL;

  g_assert_cmpint (call_read_to_end (call, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (call), ==, 401);
  id = copy_header (call, "X-Request-Id");
  explain = g_strdup_printf ("explain %s", id);
  check_cfdctl (fixture, explain, 0, "Unknown key");
  fixture_free (fixture);
}

/* An agent is killed while it runs a request, before its endpoint, which is
   frozen until then, answers.  The other agent runs the request, and explain
   shows both attempts under the caller's request id.  */
static void
test_retried (void)
{
  fixture_t *fixture = fixture_new ();
  g_autofree char *url = fleet_get_direct_url (fixture->fleet, 0);
  g_autoptr (call_t) call = NULL;
  g_autofree char *id = NULL;
  g_autofree char *explain = NULL;
  const char *first_agent;

  signal_endpoints (fixture, SIGSTOP);
  call = call_start (url, "POST", "/v1/chat/completions", KEY, NULL,
                     "{\"model\":\"draft\",\"max_tokens\":400,\"messages\":"
                     "[{\"role\":\"user\",\"content\":\"hello\"}]}");
  for (unsigned i = 0; i < MAX_WAIT_MS / 10; i++)
    if (fleet_sum_metric (fixture->fleet, FLEET_ROUTER, 0,
                          "cfd_router_in_flight")
        > 0)
      break;
    else
      g_usleep (10000);
  check_cfdctl (fixture, "status", 0, "in_flight=1");
  first_agent = find_line (fixture->out, "agent-0", "in_flight=1") >= 0
                    ? "agent-0"
                    : "agent-1";
  proc_stop (
      fleet_get_process (fixture->fleet, FLEET_AGENT, first_agent[6] - '0'),
      SIGKILL, 2000);
  signal_endpoints (fixture, SIGCONT);
  g_assert_cmpint (call_read_to_end (call, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (call), ==, 200);
  id = copy_header (call, "X-Request-Id");
  explain = g_strdup_printf ("explain %s", id);
  check_cfdctl (fixture, explain, 0, first_agent);
  g_assert_cmpint (find_line (fixture->out, " retry ", id), >=, 0);
  g_assert_cmpint (find_line (fixture->out, " assign ", "attempt=2"), >,
                   find_line (fixture->out, " assign ", "attempt=1"));
  fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cfdctl/records", test_records);
  g_test_add_func ("/cfdctl/race", test_race);
  g_test_add_func ("/cfdctl/zone", test_zone);
  g_test_add_func ("/cfdctl/timeline", test_timeline);
  g_test_add_func ("/cfdctl/refused", test_refused);
  g_test_add_func ("/cfdctl/retried", test_retried);
  return g_test_run ();
}
