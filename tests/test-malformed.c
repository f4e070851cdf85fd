/* Endpoints whose answers have the status 000, behind routers and agents:
   separate processes from the caller to the endpoint.  */

#include "fleet.h"
#include "raw.h"
#include <signal.h>
#include <string.h>

#define KEY "key-of-a"
#define MODELS 2u
#define PLAINS 4u

typedef struct
{
  struct ev_loop *loop;
  fleet_t *fleet;
  char *address; /* for callers */
} fixture_t;

#define FIELDS                                                                \
  "Host: h\r\nConnection: close\r\nAuthorization: Bearer " KEY "\r\n"
#define PLAIN "/services/" FLEET_PLAIN_SERVICE "/entries?form=%F"

/* "%F" stands for the form of the answer.  */
#define POST "POST " PLAIN " HTTP/1.1\r\n" FIELDS "Content-Length: 1\r\n\r\nx"
#define POST_HTTP10                                                           \
  "POST " PLAIN " HTTP/1.0\r\n" FIELDS "Content-Length: 1\r\n\r\nx"
#define KEYED                                                                 \
  "POST " PLAIN " HTTP/1.1\r\n" FIELDS                                        \
  "Idempotency-Key: k\r\nContent-Length: 1\r\n\r\nx"
#define GET "GET " PLAIN " HTTP/1.1\r\n" FIELDS "\r\n"
#define HEAD "HEAD " PLAIN " HTTP/1.1\r\n" FIELDS "\r\n"
#define COMPLETION                                                            \
  "POST /v1/completions HTTP/1.1\r\n" FIELDS "Content-Length: %zu\r\n\r\n%s"
#define PROMPT                                                                \
  "{\"model\":\"" FLEET_MODEL_SERVICE "\",\"max_tokens\":8,"                  \
  "%s\"prompt\":\"form=zero \"}"

typedef struct
{
  const char *text;
  const char *form;
  const char *answer; /* as raw_call_describe returns it */
} case_t;

/* Requests that may not be repeated: each is answered by one endpoint.  */
static const case_t posts[] = {
  { POST, "zero", "502" },
  { POST, "zero-closed", "502" },
  { POST, "zero-reset", "502" },
  { POST, "zero-line", "502" },
  { POST, "zero-http10", "502" },
  { POST, "zero-until-close", "502" },
  { POST, "zero-chunked", "502" },
  { POST, "zero-after-interim", "502" },
  { POST, "zero-in-parts", "502" },
  { POST, "zero-before-sound", "502" },
  { POST, "above-all", "502" },
  { POST, "zero-after-sound", "200 sound" },
  { POST, "zero-later", "200 sound" },
  { POST, "sound", "200 sound" },
  { POST, "sound-in-chunks", "200 sound" },
  { POST_HTTP10, "zero", "502" },
  { POST_HTTP10, "sound", "200 sound" },
};

static const case_t repeated[] = {
  { GET, "zero", "502" },
  { GET, "sound", "200 sound" },
};

static const case_t heads[] = {
  { HEAD, "zero-line", "502" },
  { HEAD, "sound", "200" },
  { HEAD, "sound-in-chunks", "200" },
};

/* Has endpoint INDEX replaced by one in trouble.  */
static void
replace_endpoint (fixture_t *f, unsigned index)
{
  g_autofree char *build = proc_get_build_dir ();
  g_autofree char *program
      = g_build_filename (build, "tests", "standin-malformed", NULL);
  g_autofree char *url = fleet_get_url (f->fleet, FLEET_ENDPOINT, index);
  g_autofree char *name = g_strdup_printf ("malformed-%u", index);
  const char *const argv[]
      = { program, "--listen", url + strlen ("http://"), NULL };
  g_autoptr (GError) error = NULL;

  proc_stop (fleet_get_process (f->fleet, FLEET_ENDPOINT, index), SIGKILL,
             5000);
  proc_start (fleet_get_processes (f->fleet), name, argv, &error);
  g_assert_no_error (error);
}

static void
fixture_init (fixture_t *f)
{
  static const fleet_account_t accounts[] = { { "a", KEY, 1 } };
  const fleet_plan_t plan = { .zones = 1,
                              .routers = 1,
                              .models = MODELS,
                              .plains = PLAINS,
                              .slots = 4,
                              .slots_cold = 4,
                              .plain_slots = 8,
                              .cold_ms = 100,
                              .step_ms = 5,
                              .plain_call_ms = 5,
                              .seed = 5,
                              .policy = "fleet",
                              .account_count = 1,
                              .accounts = accounts };
  g_autoptr (GError) error = NULL;
  g_autofree char *url = NULL;

  f->loop = ev_loop_new (EVFLAG_AUTO);
  f->fleet = fleet_new (&plan, &error);
  g_assert_no_error (error);
  url = fleet_get_direct_url (f->fleet, 0);
  f->address = g_strdup (url + strlen ("http://"));
  for (unsigned i = 0; i < MODELS + PLAINS; i++)
    replace_endpoint (f, i);
}

static void
fixture_clear (fixture_t *f)
{
  fleet_free (f->fleet, g_test_failed ());
  ev_loop_destroy (f->loop);
  g_free (f->address);
}

static void
check_cases (const fixture_t *f, const case_t *cases, size_t count)
{
  g_autoptr (GPtrArray) calls
      = g_ptr_array_new_with_free_func ((GDestroyNotify)raw_call_free);

  for (size_t i = 0; i < count; i++)
    {
      g_autoptr (GString) text = g_string_new (cases[i].text);

      g_string_replace (text, "%F", cases[i].form, 0);
      g_ptr_array_add (calls, raw_call_new (f->loop, f->address, text->str));
    }
  raw_run (f->loop, calls);
  for (size_t i = 0; i < count; i++)
    {
      bool is_head = g_str_has_prefix (cases[i].text, "HEAD ");
      g_autofree char *seen
          = raw_call_describe (g_ptr_array_index (calls, i), is_head);

      g_test_message ("%.4s %s: %s", cases[i].text, cases[i].form, seen);
      g_assert_cmpstr (seen, ==, cases[i].answer);
    }
}

/* Guards against a caller that gets an answer whose status is none, or the
   body behind it.  */
static void
test_posts (gconstpointer data)
{
  check_cases (data, posts, G_N_ELEMENTS (posts));
}

/* The same when several endpoints are asked.  */
static void
test_repeated (gconstpointer data)
{
  check_cases (data, repeated, G_N_ELEMENTS (repeated));
}

/* Guards against bytes behind the head of an answer to HEAD.  */
static void
test_heads (gconstpointer data)
{
  check_cases (data, heads, G_N_ELEMENTS (heads));
}

/* Guards against a model's answer without a status that is taken for its rest,
   which the agent asks for.  */
static void
test_completions (gconstpointer data)
{
  static const char *const kinds[] = { "", "\"stream\":true," };

  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      g_autofree char *body = g_strdup_printf (PROMPT, kinds[i]);
      g_autofree char *text
          = g_strdup_printf (COMPLETION, strlen (body), body);
      const case_t test = { text, "zero", "502" };

      check_cases (data, &test, 1);
    }
}

/* Guards against an answer without a status that is stored for its key.  */
static void
test_keyed (gconstpointer data)
{
  static const case_t first = { KEYED, "zero", "502" };
  static const case_t again = { KEYED, "zero", "409" };

  check_cases (data, &first, 1);
  check_cases (data, &again, 1);
}

int
main (int argc, char **argv)
{
  fixture_t fixture = { 0 };
  int result;

  g_test_init (&argc, &argv, NULL);
  fixture_init (&fixture);
  g_test_add_data_func ("/malformed/posts", &fixture, test_posts);
  g_test_add_data_func ("/malformed/repeated", &fixture, test_repeated);
  g_test_add_data_func ("/malformed/heads", &fixture, test_heads);
  g_test_add_data_func ("/malformed/keyed", &fixture, test_keyed);
  g_test_add_data_func ("/malformed/completions", &fixture, test_completions);
  result = g_test_run ();
  fixture_clear (&fixture);
  return result;
}
