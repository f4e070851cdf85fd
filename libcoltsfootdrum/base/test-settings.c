/* Settings: each bad value is refused at start with the flag, the value and
   the remedy; the secret is never told.  */

#include "base/settings.h"

#include "base/err.h"
#include "libcoltsfootdrum.h"
#include <string.h>

#define GOOD_SECRET "0123456789abcdef"

/* A good router; a case replaces one value or removes it by NULL.  */
static const char *const good[][2] = {
  { "instance", "r1" },
  { "zone", "zone-a" },
  { "platform", "http://127.0.0.1:7000" },
  { "peer-listen", "127.0.0.1:7001" },
  { "admin-listen", "127.0.0.1:7002" },
  { "listen", "[::1]:7003" },
  { "secret", GOOD_SECRET },
};

static cfd_settings_t *
parse_with (const char *flag, const char *value, GError **error)
{
  g_autoptr (GPtrArray) argv = g_ptr_array_new_with_free_func (g_free);
  bool replaced = false;

  g_ptr_array_add (argv, g_strdup ("cfd-router"));
  for (unsigned i = 0; i < G_N_ELEMENTS (good); i++)
    {
      bool same = g_strcmp0 (good[i][0], flag) == 0;
      const char *text = same ? value : good[i][1];

      replaced |= same;
      if (text != NULL)
        g_ptr_array_add (argv, g_strdup_printf ("--%s=%s", good[i][0], text));
    }
  if (flag != NULL && !replaced)
    g_ptr_array_add (argv, value != NULL
                               ? g_strdup_printf ("--%s=%s", flag, value)
                               : g_strdup_printf ("--%s", flag));
  g_ptr_array_add (argv, NULL);
  return cfd_settings_parse ("router", (int)argv->len - 1,
                             (char **)argv->pdata, error);
}

static void
test_values (void)
{
  static const struct
  {
    const char *flag;
    const char *value;
    const char *told; /* what the error names; NULL when the value is good */
  } cases[] = {
    { NULL, NULL, NULL },
    { "instance", NULL, "--instance or CFD_INSTANCE is missing" },
    { "instance", "", "--instance" },
    { "instance", "a/b", "\"a/b\"" },
    { "instance", "-a", "\"-a\"" },
    { "zone", "zone 1", "--zone" },
    { "zone", "1.a_b-c", NULL },
    { "platform", "127.0.0.1:7000", "http://IP:PORT" },
    { "platform", "https://127.0.0.1:7000", "--platform" },
    { "platform", "http://platform:7000", "--platform" },
    { "platform", "http://127.0.0.1:7000/v1", "--platform" },
    { "listen", "7003", "127.0.0.1:8080" },
    { "listen", "localhost:80", "\"localhost:80\"" },
    { "listen", "127.0.0.1:0", "other than 0" },
    { "listen", "127.0.0.1:65536", "--listen" },
    { "listen", "127.0.0.1:", "--listen" },
    { "listen", "127.0.0.1:+80", "--listen" },
    { "listen", "::1:80", "--listen" },
    { "listen", "[127.0.0.1]:80", "--listen" },
    { "listen", "0.0.0.0:80", NULL },
    { "listen", "127.0.0.1:7001", "--listen and --peer-listen" },
    { "listen", "127.0.0.1:7002", "--listen and --admin-listen" },
    { "peer-listen", "127.0.0.1:7002", "--peer-listen and --admin-listen" },
    { "secret", "fifteen-bytes..", "16 to 1024 bytes" },
    { "secret", NULL, "CFD_SECRET is missing" },
    { "policy", "local", NULL },
    { "policy", "fair", "use fleet or local" },
    { "drain-s", "0", "whole seconds" },
    { "drain-s", "1.5", "\"1.5\"" },
    { "drain-s", "86400", NULL },
    { "request-s", "86401", "--request-s" },
    { "request-s", "-1", "--request-s" },
    { "log-level", "loud", "error, warn, info or debug" },
    { "log-json", NULL, NULL },
    { "endpoint", "e1", "Unknown option" },
    { "bogus", "x", "see --help" },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autoptr (cfd_settings_t) kept
          = parse_with (cases[i].flag, cases[i].value, &error);

      if ((kept != NULL) != (cases[i].told == NULL))
        g_error ("--%s %s: %s", cases[i].flag, cases[i].value,
                 error ? error->message : "accepted");
      if (cases[i].told == NULL)
        continue;
      g_assert_error (error, CFD_ERROR, CFD_ERROR_SETTING);
      if (strstr (error->message, cases[i].told) == NULL)
        g_error ("\"%s\" lacks \"%s\"", error->message, cases[i].told);
    }
}

static void
test_defaults (void)
{
  g_autoptr (cfd_settings_t) kept = parse_with (NULL, NULL, NULL);

  g_assert_cmpint (kept->request_s, ==, 60);
  g_assert_cmpint (kept->drain_s, ==, 300);
  g_assert_cmpint (kept->policy, ==, CFD_POLICY_FLEET);
  g_assert_cmpstr (kept->log_level, ==, "info");
  g_assert_cmpstr (kept->listen, ==, "[::1]:7003");
  g_assert_false (kept->log_json);
  g_assert_false (kept->check);
}

static void
test_variables (void)
{
  static const struct
  {
    const char *variable;
    const char *value;
    const char *flag;
    const char *flag_value;
    const char *told;
    int drain_s;
  } cases[] = {
    { "CFD_DRAIN_S", "7", NULL, NULL, NULL, 7 },
    { "CFD_DRAIN_S", "7", "drain-s", "8", NULL, 8 },
    { "CFD_DRAIN_S", "x", NULL, NULL, "CFD_DRAIN_S has a bad value \"x\"", 0 },
    { "CFD_LOG_JSON", "perhaps", NULL, NULL, "use true or false", 0 },
    { "CFD_SECRET", GOOD_SECRET, "secret", NULL, NULL, 300 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autoptr (cfd_settings_t) kept = NULL;

      g_setenv (cases[i].variable, cases[i].value, TRUE);
      kept = parse_with (cases[i].flag, cases[i].flag_value, &error);
      g_unsetenv (cases[i].variable);
      if (cases[i].told != NULL)
        g_assert_nonnull (strstr (error->message, cases[i].told));
      else
        g_assert_cmpint (kept->drain_s, ==, cases[i].drain_s);
    }
}

static void
test_secret_is_not_told (void)
{
  g_autoptr (GError) error = NULL;

  g_assert_null (parse_with ("secret", "hunter2", &error));
  g_assert_null (strstr (error->message, "hunter2"));
}

static void
test_table (void)
{
  g_autofree char *router = settings_format_table ("router");
  g_autofree char *agent = settings_format_table ("agent");

  g_assert_nonnull (
      strstr (router, "`--request-s SECONDS` | `CFD_REQUEST_S`"));
  g_assert_null (strstr (router, "--endpoint"));
  g_assert_nonnull (strstr (agent, "--endpoint"));
  g_assert_null (settings_format_table ("server"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/settings/values", test_values);
  g_test_add_func ("/settings/defaults", test_defaults);
  g_test_add_func ("/settings/variables", test_variables);
  g_test_add_func ("/settings/secret-is-not-told", test_secret_is_not_told);
  g_test_add_func ("/settings/table", test_table);
  return g_test_run ();
}
