/* Checks what routers and agents log at the level debug, and what their admin
   ports show, in a real run.  */

#include "call.h"
#include "fleet.h"
#include <json-glib/json-glib.h>
#include <signal.h>
#include <string.h>

#define KEY "key-that-must-not-be-told"
#define WRONG_KEY "wrong-key-that-must-not-be-told"
#define MAX_WAIT_MS 20000

static const char *const secrets[] = { KEY, WRONG_KEY, FLEET_SECRET };

static const fleet_account_t account = { "branch", KEY, 1 };

static fleet_t *
start_fleet (void)
{
  static const fleet_plan_t plan = { .zones = 1,
                                     .routers = 1,
                                     .models = 1,
                                     .plains = 1,
                                     .slots = 4,
                                     .slots_cold = 4,
                                     .plain_slots = 4,
                                     .step_ms = 4,
                                     .plain_call_ms = 5,
                                     .zone_ms = 1,
                                     .caller_ms = 1,
                                     .seed = 3,
                                     .policy = "fleet",
                                     .log_level = "debug",
                                     .log_json = true,
                                     .account_count = 1,
                                     .accounts = &account };
  g_autoptr (GError) error = NULL;
  fleet_t *fleet = fleet_new (&plan, &error);

  g_assert_no_error (error);
  return fleet;
}

typedef struct
{
  const char *path;
  const char *key;
  const char *headers;
  const char *body;
  unsigned status;
} call_case_t;

#define CHAT                                                                  \
  "{\"model\":\"draft\",\"stream\":true,\"max_tokens\":5,\"messages\":"       \
  "[{\"role\":\"user\",\"content\":\"hello\"}]}"

static const call_case_t call_cases[] = {
  { "/v1/chat/completions", KEY, NULL, CHAT, 200 },
  { "/v1/chat/completions", WRONG_KEY, NULL, CHAT, 401 },
  { "/v1/chat/completions", KEY, NULL, "{", 400 },
  { "/v1/nothing", KEY, NULL, "{}", 404 },
  { "/services/register/entries", KEY, "Idempotency-Key: one\r\n", "{\"a\":1}",
    200 },
  { "/services/register/entries", KEY, "Idempotency-Key: one\r\n", "{\"a\":2}",
    422 },
};

static void
make_calls (fleet_t *fleet)
{
  g_autofree char *url = fleet_get_direct_url (fleet, 0);

  for (unsigned i = 0; i < G_N_ELEMENTS (call_cases); i++)
    {
      const call_case_t *c = &call_cases[i];
      g_autoptr (call_t) call
          = call_start (url, "POST", c->path, c->key, c->headers, c->body);

      g_assert_cmpint (call_read_to_end (call, MAX_WAIT_MS), ==,
                       CALL_COMPLETE);
      g_test_message ("%s %s: %u", c->path, c->body, call_get_status (call));
      g_assert_cmpuint (call_get_status (call), ==, c->status);
    }
}

static void
check_no_secrets (const char *text, const char *where)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (secrets); i++)
    if (strstr (text, secrets[i]) != NULL)
      g_error ("%s contains a secret: %s", where, secrets[i]);
}

static void
check_admin_pages (fleet_t *fleet, fleet_role_t role, unsigned index)
{
  static const char *const paths[]
      = { "/status", "/metrics", "/events", "/readyz" };
  g_autofree char *base = fleet_get_admin_url (fleet, role, index);

  for (unsigned i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      g_autofree char *url = g_strconcat (base, paths[i], NULL);
      long status = 0;
      g_autofree char *text = proc_send_http (NULL, url, NULL, NULL, &status);

      g_assert_nonnull (text);
      check_no_secrets (text, url);
    }
}

static void
check_line (const char *line, const char *name)
{
  static const char *const members[] = { "part", "message" };
  static const char *const levels[]
      = { "error", "warn", "info", "debug", NULL };
  g_autoptr (JsonNode) root = json_from_string (line, NULL);
  JsonObject *object;

  g_test_message ("%s", line);
  g_assert_nonnull (root);
  object = json_node_get_object (root);
  g_assert_cmpint (json_object_get_int_member (object, "wall_ms"), >, 0);
  g_assert_cmpstr (json_object_get_string_member (object, "instance"), ==,
                   name);
  g_assert_true (g_strv_contains (
      levels, json_object_get_string_member (object, "level")));
  for (unsigned i = 0; i < G_N_ELEMENTS (members); i++)
    g_assert_cmpstr (json_object_get_string_member (object, members[i]), !=,
                     "");
}

static void
check_log (fleet_t *fleet, const char *name)
{
  g_autofree char *file = g_strconcat (name, ".log", NULL);
  g_autofree char *path = g_build_filename (
      proc_set_get_log_dir (fleet_get_processes (fleet)), file, NULL);
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  unsigned seen = 0;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  check_no_secrets (text, name);
  g_assert_nonnull (strstr (text, "\"level\":\"debug\""));
  lines = g_strsplit (text, "\n", 0);
  for (unsigned i = 0; lines[i] != NULL; i++)
    if (*lines[i] != '\0')
      {
        check_line (lines[i], name);
        seen++;
      }
  g_assert_cmpuint (seen, >, 3);
}

/* After served, refused and repeated requests, a killed agent and a regular
   stop, no log line and no admin page contains a client account's key or the
   fleet's secret, and each log line is one JSON object.  */
static void
test_no_secrets (void)
{
  fleet_t *fleet = start_fleet ();

  make_calls (fleet);
  proc_stop (fleet_get_process (fleet, FLEET_AGENT, 1), SIGKILL, 2000);
  check_admin_pages (fleet, FLEET_ROUTER, 0);
  check_admin_pages (fleet, FLEET_AGENT, 0);
  proc_stop (fleet_get_process (fleet, FLEET_ROUTER, 0), SIGTERM, MAX_WAIT_MS);
  proc_stop (fleet_get_process (fleet, FLEET_AGENT, 0), SIGTERM, MAX_WAIT_MS);
  check_log (fleet, "router-0");
  check_log (fleet, "agent-0");
  check_log (fleet, "agent-1");
  fleet_free (fleet, false);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/logs/no-secrets", test_no_secrets);
  return g_test_run ();
}
