/* cfdctl's pure parts: members from words, hints for misspelt words.  */

#include "ctl/ctl.h"

typedef struct
{
  const char *before;
  const char *word;
  const char *after; /* NULL: refused */
} assign_case_t;

static const assign_case_t assign_cases[] = {
  { "{}", "weight=2", "{\"weight\":2}" },
  { "{}", "zone=bangkok-a", "{\"zone\":\"bangkok-a\"}" },
  { "{\"slots\":{\"max\":8,\"cold\":1}}", "slots.max=16",
    "{\"slots\":{\"max\":16,\"cold\":1}}" },
  { "{}", "slots.max=4", "{\"slots\":{\"max\":4}}" },
  { "{\"later\":[1]}", "weight=3", "{\"later\":[1],\"weight\":3}" },
  { "{\"slots\":8}", "slots.max=4", NULL },
  { "{}", "weight", NULL },
  { "{}", "=2", NULL },
};

static void
test_assign (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (assign_cases); i++)
    {
      const assign_case_t *c = &assign_cases[i];
      g_autoptr (GError) error = NULL;
      g_autoptr (JsonNode) node = json_from_string (c->before, NULL);
      g_autofree char *after = NULL;
      bool done
          = ctl_spec_assign (json_node_get_object (node), c->word, &error);

      g_test_message ("%s %s", c->before, c->word);
      g_assert_true (done == (c->after != NULL));
      if (!done)
        {
          g_assert_error (error, CFD_ERROR, CFD_ERROR_RECORD);
          continue;
        }
      after = json_to_string (node, FALSE);
      g_assert_cmpstr (after, ==, c->after);
    }
}

static void
test_nearest (void)
{
  const char *const words[] = { "endpoint", "service", NULL };

  g_assert_cmpstr (ctl_find_nearest ("endpiont", words), ==, "endpoint");
  g_assert_cmpstr (ctl_find_nearest ("servce", words), ==, "service");
  g_assert_null (ctl_find_nearest ("zebra", words));
}

/* Lines of two processes and a collector's words before them: a request was
   sent to an endpoint that then fell silent.  */
#define SENT                                                                  \
  "12.1 r1 {\"wall_ms\":5100,\"instance\":\"r1\",\"part\":\"relay\","         \
  "\"message\":\"sent\",\"request\":\"7\",\"endpoint\":\"e1\"}\n"
#define OTHER                                                                 \
  "{\"wall_ms\":5150,\"instance\":\"r1\",\"part\":\"relay\","                 \
  "\"message\":\"sent\",\"request\":\"8\",\"endpoint\":\"e1\"}\n"
#define LAPSED                                                                \
  "{\"wall_ms\":5900,\"instance\":\"r2\",\"part\":\"endpoints\","             \
  "\"message\":\"lapsed\",\"endpoint\":\"e1\"}\n"
#define ELSEWHERE                                                             \
  "{\"wall_ms\":5900,\"instance\":\"r2\",\"part\":\"endpoints\","             \
  "\"message\":\"lapsed\",\"endpoint\":\"e2\"}\n"
#define LONG_AGO                                                              \
  "{\"wall_ms\":100,\"instance\":\"r1\",\"part\":\"store\","                  \
  "\"message\":\"up\"}\n"
#define FAILED                                                                \
  "{\"wall_ms\":6000,\"instance\":\"r1\",\"part\":\"relay\","                 \
  "\"message\":\"failed\",\"request\":\"7\",\"endpoint\":\"e1\"}\n"

static void
test_logs (void)
{
  static const ctl_logs_filter_t one = { .request = "7" };
  static const ctl_logs_filter_t endpoint = { .endpoint = "e2" };
  static const ctl_logs_filter_t none = { .request = "9" };
  g_autoptr (ctl_logs_t) logs = ctl_logs_new ();
  g_autofree char *story = NULL;
  g_autofree char *of_endpoint = NULL;
  g_autofree char *nothing = NULL;

  ctl_logs_read (logs, FAILED OTHER SENT LONG_AGO "no log line\n{\"a\":");
  ctl_logs_read (logs, LAPSED ELSEWHERE);
  story = ctl_logs_format (logs, &one, false);
  g_assert_cmpstr (story, ==,
                   "00:00:05.100 r1 relay: sent\n"
                   "00:00:05.900 r2 endpoints: lapsed\n"
                   "00:00:06.000 r1 relay: failed\n");
  of_endpoint = ctl_logs_format (logs, &endpoint, true);
  g_assert_true (g_str_has_prefix (of_endpoint, "{\"wall_ms\":5900,"));
  nothing = ctl_logs_format (logs, &none, false);
  g_assert_cmpstr (nothing, ==, "");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ctl/assign", test_assign);
  g_test_add_func ("/ctl/nearest", test_nearest);
  g_test_add_func ("/ctl/logs", test_logs);
  return g_test_run ();
}
