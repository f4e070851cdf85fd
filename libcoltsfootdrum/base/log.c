/* The log writer of GLib: all lines, ours and the libraries', go through
   write_log.  The state here is process-wide, as GLib's writer is: every part
   logs, also where no object of the process is at hand.  */

#include "base/log.h"

#include "base/clock.h"
#include "base/err.h"
#include <json-glib/json-glib.h>
#include <limits.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LINES_A_SECOND 20
#define WINDOW_MS 1000
/* With its JSON escapes, its other members and the count of lost lines it fits
   into PIPE_BUF.  */
#define MESSAGE_MOST 1408
/* Of the fields that a JSON line repeats as members.  */
#define FIELDS_MOST 256
/* Quotation marks, colon and comma of a member.  */
#define MEMBER_MARKS 6
#define LINE_MOST (PIPE_BUF - 96)

#define FIELD_MESSAGE "MESSAGE"
#define FIELD_PART "CFD_PART"
#define FIELD_DOMAIN "GLIB_DOMAIN"

/* The lines of one format in the present second.  */
typedef struct
{
  cfd_time_t since;
  unsigned written;
  unsigned held_back;
} log_rate_t;

static struct
{
  char *instance;
  log_level_t least;
  bool json;
  GHashTable *rates; /* format to log_rate_t */
  log_sink_t sink;
  void *sink_user;
  invariant_hook_t hook;
  void *hook_user;
  bool has_writer;
  int descriptor;
  unsigned lost; /* lines that the descriptor did not take */
  unsigned failures;
} state = { .least = LOG_INFO, .descriptor = STDERR_FILENO };

static const char *const level_names[] = { "error", "warn", "info", "debug" };

/* GLib's own ERROR would abort.  */
static const GLogLevelFlags glib_levels[]
    = { G_LOG_LEVEL_CRITICAL, G_LOG_LEVEL_WARNING, G_LOG_LEVEL_INFO,
        G_LOG_LEVEL_DEBUG };

bool
log_level_parse (const char *text, log_level_t *level, GError **error)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (level_names); i++)
    if (g_strcmp0 (text, level_names[i]) == 0)
      {
        *level = i;
        return true;
      }
  g_set_error (error, CFD_ERROR, CFD_ERROR_SETTING,
               "Log level \"%s\" is unknown; use error, warn, info or debug",
               text != NULL ? text : "");
  return false;
}

/* Members that each line has; a field of such a name would be a second one. */
static bool
is_own_member (const char *name)
{
  static const char *const own[]
      = { "wall_ms", "level", "instance", "part", "message", NULL };

  return g_strv_contains (own, name);
}

/* Length of the key when WORD is KEY=VALUE, else 0.  */
static size_t
key_length (const char *word)
{
  static const char letters[] = G_CSET_a_2_z G_CSET_DIGITS "_";
  size_t length = strspn (word, letters);

  return word[length] == '=' ? length : 0;
}

/* The value that begins in *WORD and goes on to the next key, or to the end;
 *WORD is then its last.  */
static char *
take_value (char ***word, size_t key)
{
  g_autoptr (GString) value = g_string_new (**word + key + 1);

  while ((*word)[1] != NULL && key_length ((*word)[1]) == 0)
    g_string_append_printf (value, " %s", *++*word);
  if (value->len > 0 && strchr (".,;:", value->str[value->len - 1]) != NULL)
    g_string_truncate (value, value->len - 1);
  return g_string_free (g_steal_pointer (&value), FALSE);
}

/* The fields of MESSAGE as members, so that a reader needn't take the sentence
   apart.  */
static void
add_fields (JsonBuilder *builder, const char *message)
{
  g_auto (GStrv) words = g_strsplit (message, " ", 0);
  g_autoptr (GHashTable) seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  size_t left = FIELDS_MOST;

  for (char **word = words; *word != NULL; word++)
    {
      size_t key = key_length (*word);
      g_autofree char *name = g_strndup (*word, key);
      g_autofree char *value = key > 0 ? take_value (&word, key) : NULL;
      size_t taken = key + MEMBER_MARKS + (value ? strlen (value) : 0);

      if (value == NULL || taken > left || is_own_member (name)
          || !g_hash_table_add (seen, g_strdup (name)))
        continue;
      left -= taken;
      json_builder_set_member_name (builder, name);
      json_builder_add_string_value (builder, value);
    }
}

static char *
json_line (log_level_t level, const char *part, const char *message)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "wall_ms");
  json_builder_add_int_value (builder, clock_wall_ms ());
  json_builder_set_member_name (builder, "level");
  json_builder_add_string_value (builder, level_names[level]);
  json_builder_set_member_name (builder, "instance");
  json_builder_add_string_value (builder,
                                 state.instance ? state.instance : "");
  json_builder_set_member_name (builder, "part");
  json_builder_add_string_value (builder, part);
  json_builder_set_member_name (builder, "message");
  json_builder_add_string_value (builder, message);
  add_fields (builder, message);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

static char *
text_line (log_level_t level, const char *part, const char *message)
{
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S");

  return g_strdup_printf (
      "%s.%03dZ %-5s %s %s: %s", time,
      g_date_time_get_microsecond (now) / 1000, level_names[level],
      state.instance ? state.instance : "-", part, message);
}

/* A reader of our log that stopped must not stop us: a pipe that has room for
   PIPE_BUF bytes takes one line without blocking, and else the line is lost
   and counted.  */
static void
write_out (const char *line)
{
  struct pollfd ready = { .fd = state.descriptor, .events = POLLOUT };
  g_autofree char *text = NULL;

  if (poll (&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
    {
      state.lost++;
      return;
    }
  text = state.lost > 0 ? g_strdup_printf ("%.*s\n(lines lost: %u)\n",
                                           LINE_MOST, line, state.lost)
                        : g_strdup_printf ("%.*s\n", LINE_MOST, line);
  if (write (state.descriptor, text, strlen (text)) < 0)
    {
      state.lost++;
      return;
    }
  state.lost = 0;
}

/* One event is one line, of bounded length, whatever a peer put into a name.
   Free with g_free.  */
static char *
clean (const char *message)
{
  g_autofree char *cut = g_strndup (message, MESSAGE_MOST);
  char *valid = g_utf8_make_valid (cut, -1);

  for (char *c = valid; *c != 0; c++)
    if (g_ascii_iscntrl (*c))
      *c = ' ';
  return valid;
}

static void
write_line (log_level_t level, const char *part, const char *message)
{
  g_autofree char *cleaned = clean (message);
  g_autofree char *line = state.json ? json_line (level, part, cleaned)
                                     : text_line (level, part, cleaned);

  if (state.sink != NULL)
    state.sink (state.sink_user, line);
  else
    write_out (line);
}

static log_level_t
level_of (GLogLevelFlags flags)
{
  if ((flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)) != 0)
    return LOG_ERROR;
  if ((flags & G_LOG_LEVEL_WARNING) != 0)
    return LOG_WARN;
  return (flags & G_LOG_LEVEL_DEBUG) != 0 ? LOG_DEBUG : LOG_INFO;
}

static const char *
field_value (const GLogField *fields, gsize count, const char *key)
{
  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, key) == 0 && fields[i].length < 0)
      return fields[i].value;
  return NULL;
}

/* All of GLib's log comes here, also what the libraries say: they have no
   part, their domain takes its place.  */
static GLogWriterOutput
write_log (GLogLevelFlags flags, const GLogField *fields, gsize count,
           gpointer user)
{
  const char *message = field_value (fields, count, FIELD_MESSAGE);
  const char *part = field_value (fields, count, FIELD_PART);
  log_level_t level = level_of (flags);

  if (part == NULL)
    part = field_value (fields, count, FIELD_DOMAIN);
  if (message != NULL && level <= state.least)
    write_line (level, part != NULL ? part : "-", message);
  return G_LOG_WRITER_HANDLED;
}

/* GLib takes a writer once in the life of a process.  */
static void
use_writer (void)
{
  if (state.has_writer)
    return;
  state.has_writer = true;
  g_log_set_writer_func (write_log, NULL, NULL);
}

/* Whether a line of FORMAT may be written now; *HELD_BACK tells how many were
   not since the last that was.  */
static bool
rate_allows (const char *format, unsigned *held_back)
{
  cfd_time_t now = clock_now ();
  log_rate_t *rate;

  if (state.rates == NULL)
    state.rates = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  rate = g_hash_table_lookup (state.rates, format);
  if (rate == NULL)
    {
      rate = g_new0 (log_rate_t, 1);
      rate->since = now;
      g_hash_table_insert (state.rates, (gpointer)format, rate);
    }
  if (now - rate->since >= WINDOW_MS)
    {
      rate->since = now;
      rate->written = 0;
    }
  if (rate->written >= LINES_A_SECOND)
    {
      rate->held_back++;
      return false;
    }
  rate->written++;
  *held_back = rate->held_back;
  rate->held_back = 0;
  return true;
}

void
log_setup (const char *instance, log_level_t least, bool json)
{
  g_free (state.instance);
  state.instance = g_strdup (instance);
  state.least = least;
  state.json = json;
  use_writer ();
}

void
log_set_descriptor (int descriptor)
{
  state.descriptor = descriptor;
}

void
log_set_sink (log_sink_t sink, void *user)
{
  state.sink = sink;
  state.sink_user = user;
  use_writer ();
}

void
log_at (log_level_t level, const char *part, const char *format, ...)
{
  g_autofree char *message = NULL;
  unsigned held_back = 0;
  va_list arguments;

  if (level > state.least || !rate_allows (format, &held_back))
    return;
  va_start (arguments, format);
  message = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  if (held_back > 0)
    {
      char *counted
          = g_strdup_printf ("%s (held back: %u)", message, held_back);

      g_free (message);
      message = counted;
    }
  use_writer ();
  g_log_structured_array (glib_levels[level],
                          (GLogField[]){ { FIELD_MESSAGE, message, -1 },
                                         { FIELD_PART, part, -1 } },
                          2);
}

void
invariant_set_hook (invariant_hook_t hook, void *user)
{
  state.hook = hook;
  state.hook_user = user;
}

void *
invariant_get_hook_user (void)
{
  return state.hook_user;
}

void
invariant_report_failure (const char *invariant, const char *file, int line,
                          const char *detail)
{
  state.failures++;
  log_error ("invariant", "Broken: name=%s at=%s:%d detail=%s.", invariant,
             file, line, detail != NULL ? detail : "");
  if (state.hook != NULL)
    state.hook (state.hook_user, invariant, detail);
#ifdef CFD_ABORT_ON_VIOLATION
  abort ();
#endif
}

unsigned
invariant_count_failures (void)
{
  return state.failures;
}
