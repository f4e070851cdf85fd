/* Tests of the log: levels, one line per event, JSON and rate limits.  */

#include "base/log.h"

#include "base/err.h"
#include <json-glib/json-glib.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

static void
record_line (void *user, const char *line)
{
  g_ptr_array_add (user, g_strdup (line));
}

static GPtrArray *
start_capture (log_level_t least, bool json)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);

  log_setup ("r1", least, json);
  log_set_sink (record_line, lines);
  return lines;
}

static void
test_levels (void)
{
  g_autoptr (GPtrArray) lines = start_capture (LOG_WARN, false);

  log_error ("part", "An error: key=%d.", 1);
  log_warn ("part", "A warning.");
  log_info ("part", "Not written.");
  log_debug ("part", "Not written either.");
  g_assert_cmpuint (lines->len, ==, 2);
  g_assert_true (
      g_str_has_suffix (lines->pdata[0], " error r1 part: An error: key=1."));
}

static void
test_one_line (void)
{
  g_autoptr (GPtrArray) lines = start_capture (LOG_INFO, false);

  log_info ("part", "From a peer: name=%s.", "a\nFAKE error r1\r\xff");
  g_assert_cmpuint (lines->len, ==, 1);
  g_assert_null (strpbrk (lines->pdata[0], "\r\n"));
  g_assert_true (g_utf8_validate (lines->pdata[0], -1, NULL));
}

static void
test_json (void)
{
  g_autoptr (GPtrArray) lines = start_capture (LOG_INFO, true);
  g_autoptr (JsonNode) root = NULL;
  JsonObject *line;

  log_warn ("admit", "Refused: account=\"%s\".", "a\"b");
  root = json_from_string (lines->pdata[0], NULL);
  line = json_node_get_object (root);
  g_assert_cmpstr (json_object_get_string_member (line, "level"), ==, "warn");
  g_assert_cmpstr (json_object_get_string_member (line, "instance"), ==, "r1");
  g_assert_cmpstr (json_object_get_string_member (line, "part"), ==, "admit");
  g_assert_cmpstr (json_object_get_string_member (line, "message"), ==,
                   "Refused: account=\"a\"b\".");
}

/* A peer that causes a log line at a high rate must neither fill the log nor
   suppress lines of other formats.  */
static void
test_flood (void)
{
  g_autoptr (GPtrArray) lines = start_capture (LOG_INFO, false);
  unsigned flood = 0;

  for (int i = 0; i < 1000; i++)
    log_info ("part", "A flood: i=%d.", i);
  log_info ("part", "Another line.");
  for (unsigned i = 0; i < lines->len; i++)
    if (strstr (lines->pdata[i], "A flood") != NULL)
      flood++;
  /* 20 lines per second: the loop may run into the next second, but hardly
     into a fifth one.  */
  g_assert_cmpuint (flood, >=, 20);
  g_assert_cmpuint (flood, <=, 100);
  g_assert_nonnull (strstr (lines->pdata[lines->len - 1], "Another line"));
}

/* Lines of GLib and other libraries are formatted in the same way.  */
static void
test_of_libraries (void)
{
  g_autoptr (GPtrArray) lines = start_capture (LOG_INFO, false);

  g_log_structured ("Json", G_LOG_LEVEL_WARNING, "MESSAGE", "Odd: %d.", 7);
  g_log_structured ("Json", G_LOG_LEVEL_DEBUG, "MESSAGE", "Not written.");
  g_assert_cmpuint (lines->len, ==, 1);
  g_assert_true (
      g_str_has_suffix (lines->pdata[0], " warn  r1 Json: Odd: 7."));
}

typedef struct
{
  const char *message;
  const char *key;
  const char *value; /* NULL: no such member */
} field_case_t;

static const field_case_t field_cases[] = {
  { "Bad frame: peer=router-1 fault=short.", "fault", "short" },
  { "Bad frame: peer=router-1 fault=short.", "peer", "router-1" },
  { "Refused: url=http://a/b?c=d.", "url", "http://a/b?c=d" },
  { "Closed: why=the end of it peer=a.", "why", "the end of it" },
  { "Closed: why=the end of it peer=a.", "peer", "a" },
  { "Empty: peer=.", "peer", "" },
  { "Twice: peer=a peer=b.", "peer", "a" },
  { "Own: level=9 message=x.", "level", "info" },
  { "None: Peer=a =b 1.", "peer", NULL },
};

/* The fields of a message are also members of the JSON object.  */
static void
test_fields (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (field_cases); i++)
    {
      const field_case_t *c = &field_cases[i];
      g_autoptr (GPtrArray) lines = start_capture (LOG_INFO, true);
      g_autoptr (JsonNode) root = NULL;

      log_info ("part", "%s", c->message);
      root = json_from_string (lines->pdata[0], NULL);
      g_assert_cmpstr (json_object_get_string_member_with_default (
                           json_node_get_object (root), c->key, NULL),
                       ==, c->value);
    }
}

/* A JSON line stays valid when a peer sends a long name.  */
static void
test_long_message (void)
{
  g_autoptr (GPtrArray) lines = start_capture (LOG_INFO, true);
  g_autofree char *name = g_strnfill (100000, '"');
  g_autoptr (JsonNode) root = NULL;

  log_info ("part", "Long: name=%s.", name);
  g_assert_cmpuint (strlen (lines->pdata[0]), <, 4000);
  root = json_from_string (lines->pdata[0], NULL);
  g_assert_nonnull (root);
}

static char pipe_buffer[1 << 20];

/* The reader of standard error has stalled and the pipe is full: a blocking
   write would stop the event loop, and all callers would hang.  The line is
   dropped and counted, and the next line written gives the count.  */
static void
test_stuck_reader (void)
{
  int saved = dup (STDERR_FILENO);
  int pipe_ends[2];
  char *tail;

  log_setup ("r1", LOG_INFO, false);
  log_set_sink (NULL, NULL);
  g_assert_cmpint (pipe2 (pipe_ends, O_NONBLOCK), ==, 0);
  while (write (pipe_ends[1], pipe_buffer, 4096) > 0)
    continue;
  g_assert_cmpint (fcntl (pipe_ends[1], F_SETFL, 0), ==, 0);
  g_assert_cmpint (dup2 (pipe_ends[1], STDERR_FILENO), >=, 0);
  log_info ("part", "Lost.");
  while (read (pipe_ends[0], pipe_buffer, sizeof pipe_buffer) > 0)
    continue;
  memset (pipe_buffer, 0, sizeof pipe_buffer);
  log_info ("part", "Seen.");
  g_assert_cmpint (dup2 (saved, STDERR_FILENO), >=, 0);
  g_assert_cmpint (read (pipe_ends[0], pipe_buffer, sizeof pipe_buffer - 1), >,
                   0);
  tail = strstr (pipe_buffer, "part: Seen.\n(lines lost: 1)\n");
  g_assert_nonnull (tail);
  close (pipe_ends[0]);
  close (pipe_ends[1]);
  close (saved);
}

static void
test_parse (void)
{
  static const struct
  {
    const char *text;
    bool good;
    log_level_t level;
  } cases[] = {
    { "error", true, LOG_ERROR }, { "debug", true, LOG_DEBUG },
    { "Info", false, 0 },         { "", false, 0 },
    { NULL, false, 0 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      log_level_t level = 0;

      g_assert_true (log_level_parse (cases[i].text, &level, &error)
                     == cases[i].good);
      g_assert_cmpint (level, ==, cases[i].level);
      if (!cases[i].good)
        g_assert_error (error, CFD_ERROR, CFD_ERROR_SETTING);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log/levels", test_levels);
  g_test_add_func ("/log/one-line", test_one_line);
  g_test_add_func ("/log/json", test_json);
  g_test_add_func ("/log/flood", test_flood);
  g_test_add_func ("/log/of-libraries", test_of_libraries);
  g_test_add_func ("/log/fields", test_fields);
  g_test_add_func ("/log/long-message", test_long_message);
  g_test_add_func ("/log/stuck-reader", test_stuck_reader);
  g_test_add_func ("/log/parse", test_parse);
  return g_test_run ();
}
