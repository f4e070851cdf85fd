/* The GLib log writer: write_log receives the lines of this program and of the
   libraries.  The state is process-wide, as GLib's writer is, because all
   parts log, also where no object of the process is accessible.  */

#include "base/log.h"

#include "base/clock.h"
#include "base/err.h"
#include <json-glib/json-glib.h>
#include <limits.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_LINES_PER_S 20
#define RATE_WINDOW_MS 1000
/* A message with its JSON escapes, the other members and the count of dropped
   lines fits into PIPE_BUF.  */
#define MAX_MESSAGE_BYTES 1408
/* For the fields that a JSON line repeats as members.  */
#define MAX_FIELD_BYTES 256
/* Quotation marks, colon and comma of a JSON member.  */
#define MEMBER_OVERHEAD_BYTES 6
#define MAX_LINE_BYTES (PIPE_BUF - 96)

#define FIELD_MESSAGE "MESSAGE"
#define FIELD_PART "CFD_PART"
#define FIELD_DOMAIN "GLIB_DOMAIN"

/* Rate limit of the lines of one format.  */
typedef struct
{
  cfd_time_t window_start;
  unsigned written;
  unsigned suppressed;
} log_rate_t;

static struct
{
  char *instance;
  log_level_t threshold;
  bool json;
  GHashTable *rates; /* log_rate_t by format */
  log_sink_t sink;
  void *sink_user;
  invariant_hook_t hook;
  void *hook_user;
  bool is_writer_installed;
  int descriptor;
  unsigned dropped_lines; /* because the descriptor wasn't writable */
  unsigned failure_count;
} state = { .threshold = LOG_INFO, .descriptor = STDERR_FILENO };

static const char *const level_names[] = { "error", "warn", "info", "debug" };

/* G_LOG_LEVEL_ERROR would abort the process.  */
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

/* Returns whether every JSON line has a member NAME, which a field would
   duplicate.  */
static bool
is_reserved_member (const char *name)
{
  static const char *const reserved[]
      = { "wall_ms", "level", "instance", "part", "message", NULL };

  return g_strv_contains (reserved, name);
}

/* Returns the length of KEY if WORD is KEY=VALUE, else 0.  */
static size_t
parse_key_length (const char *word)
{
  static const char letters[] = G_CSET_a_2_z G_CSET_DIGITS "_";
  size_t length = strspn (word, letters);

  return word[length] == '=' ? length : 0;
}

/* Returns the value that begins in *WORD and ends before the next key or at
   the end of the message.  Sets *WORD to the value's last word.  */
static char *
read_value (char ***word, size_t key)
{
  g_autoptr (GString) value = g_string_new (**word + key + 1);

  while ((*word)[1] != NULL && parse_key_length ((*word)[1]) == 0)
    g_string_append_printf (value, " %s", *++*word);
  if (value->len > 0 && strchr (".,;:", value->str[value->len - 1]) != NULL)
    g_string_truncate (value, value->len - 1);
  return g_string_free (g_steal_pointer (&value), FALSE);
}

/* Adds the fields of MESSAGE as members, so that a reader needn't parse the
   sentence.  */
static void
add_fields (JsonBuilder *builder, const char *message)
{
  g_auto (GStrv) words = g_strsplit (message, " ", 0);
  g_autoptr (GHashTable) seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  size_t remaining_bytes = MAX_FIELD_BYTES;

  for (char **word = words; *word != NULL; word++)
    {
      size_t key = parse_key_length (*word);
      g_autofree char *name = g_strndup (*word, key);
      g_autofree char *value = key > 0 ? read_value (&word, key) : NULL;
      size_t member_bytes
          = key + MEMBER_OVERHEAD_BYTES + (value ? strlen (value) : 0);

      if (value == NULL || member_bytes > remaining_bytes
          || is_reserved_member (name)
          || !g_hash_table_add (seen, g_strdup (name)))
        continue;
      remaining_bytes -= member_bytes;
      json_builder_set_member_name (builder, name);
      json_builder_add_string_value (builder, value);
    }
}

static char *
format_json_line (log_level_t level, const char *part, const char *message)
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
format_text_line (log_level_t level, const char *part, const char *message)
{
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S");

  return g_strdup_printf (
      "%s.%03dZ %-5s %s %s: %s", time,
      g_date_time_get_microsecond (now) / 1000, level_names[level],
      state.instance ? state.instance : "-", part, message);
}

/* A stalled reader of the log must not block the process.  A pipe that polls
   writable accepts PIPE_BUF bytes, hence one line, without blocking; otherwise
   the line is dropped and counted.  */
static void
write_to_descriptor (const char *line)
{
  struct pollfd ready = { .fd = state.descriptor, .events = POLLOUT };
  g_autofree char *text = NULL;

  if (poll (&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
    {
      state.dropped_lines++;
      return;
    }
  text = state.dropped_lines > 0
             ? g_strdup_printf ("%.*s\n(lines lost: %u)\n", MAX_LINE_BYTES,
                                line, state.dropped_lines)
             : g_strdup_printf ("%.*s\n", MAX_LINE_BYTES, line);
  if (write (state.descriptor, text, strlen (text)) < 0)
    {
      state.dropped_lines++;
      return;
    }
  state.dropped_lines = 0;
}

/* Returns MESSAGE as valid UTF-8 of bounded length without control characters,
   so that one event is one line whatever a peer put into a name.  Free with
   g_free.  */
static char *
sanitize_message (const char *message)
{
  g_autofree char *cut = g_strndup (message, MAX_MESSAGE_BYTES);
  char *valid = g_utf8_make_valid (cut, -1);

  for (char *c = valid; *c != 0; c++)
    if (g_ascii_iscntrl (*c))
      *c = ' ';
  return valid;
}

static void
write_line (log_level_t level, const char *part, const char *message)
{
  g_autofree char *sanitized = sanitize_message (message);
  g_autofree char *line = state.json
                              ? format_json_line (level, part, sanitized)
                              : format_text_line (level, part, sanitized);

  if (state.sink != NULL)
    state.sink (state.sink_user, line);
  else
    write_to_descriptor (line);
}

static log_level_t
get_level (GLogLevelFlags flags)
{
  if ((flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)) != 0)
    return LOG_ERROR;
  if ((flags & G_LOG_LEVEL_WARNING) != 0)
    return LOG_WARN;
  return (flags & G_LOG_LEVEL_DEBUG) != 0 ? LOG_DEBUG : LOG_INFO;
}

static const char *
find_field_value (const GLogField *fields, gsize count, const char *key)
{
  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, key) == 0 && fields[i].length < 0)
      return fields[i].value;
  return NULL;
}

/* Receives all GLib log lines.  Those of the libraries have no part and get
   their domain in its place.  */
static GLogWriterOutput
write_log (GLogLevelFlags flags, const GLogField *fields, gsize count,
           gpointer user)
{
  const char *message = find_field_value (fields, count, FIELD_MESSAGE);
  const char *part = find_field_value (fields, count, FIELD_PART);
  log_level_t level = get_level (flags);

  if (part == NULL)
    part = find_field_value (fields, count, FIELD_DOMAIN);
  if (message != NULL && level <= state.threshold)
    write_line (level, part != NULL ? part : "-", message);
  return G_LOG_WRITER_HANDLED;
}

/* GLib accepts only one call of g_log_set_writer_func per process.  */
static void
install_writer (void)
{
  if (state.is_writer_installed)
    return;
  state.is_writer_installed = true;
  g_log_set_writer_func (write_log, NULL, NULL);
}

/* Returns whether a line of FORMAT may be written now.  *SUPPRESSED receives
   the number of lines suppressed since the last one written.  */
static bool
check_rate_limit (const char *format, unsigned *suppressed)
{
  cfd_time_t now = clock_now ();
  log_rate_t *rate;

  if (state.rates == NULL)
    state.rates = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  rate = g_hash_table_lookup (state.rates, format);
  if (rate == NULL)
    {
      rate = g_new0 (log_rate_t, 1);
      rate->window_start = now;
      g_hash_table_insert (state.rates, (gpointer)format, rate);
    }
  if (now - rate->window_start >= RATE_WINDOW_MS)
    {
      rate->window_start = now;
      rate->written = 0;
    }
  if (rate->written >= MAX_LINES_PER_S)
    {
      rate->suppressed++;
      return false;
    }
  rate->written++;
  *suppressed = rate->suppressed;
  rate->suppressed = 0;
  return true;
}

void
log_setup (const char *instance, log_level_t threshold, bool json)
{
  g_free (state.instance);
  state.instance = g_strdup (instance);
  state.threshold = threshold;
  state.json = json;
  install_writer ();
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
  install_writer ();
}

void
log_at (log_level_t level, const char *part, const char *format, ...)
{
  g_autofree char *message = NULL;
  unsigned suppressed = 0;
  va_list arguments;

  if (level > state.threshold || !check_rate_limit (format, &suppressed))
    return;
  va_start (arguments, format);
  message = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  if (suppressed > 0)
    {
      char *counted
          = g_strdup_printf ("%s (held back: %u)", message, suppressed);

      g_free (message);
      message = counted;
    }
  install_writer ();
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
  state.failure_count++;
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
  return state.failure_count;
}
