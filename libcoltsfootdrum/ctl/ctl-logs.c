/* Merges the log lines of several processes.  A line is a JSON object as the
   daemons write it; text before the first brace is skipped, because log
   collectors put their own time or source there.

   Lines are ordered by wall time, which differs between instances by some
   milliseconds; lines of equal time keep their order in the files.  */

#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>

/* Lines of the request's instances and endpoints in this time before its first
   line and after its last may show the cause of its outcome: state expires and
   unresponsive peers are detected within these times.  */
#define CAUSE_BEFORE_MS 4000
#define CAUSE_AFTER_MS 1000

typedef struct
{
  gint64 wall_ms;
  guint sequence; /* position of the line over all files */
  JsonObject *members;
} line_t;

struct ctl_logs
{
  GPtrArray *lines;     /* line_t */
  guint unparsed_count; /* lines that aren't log lines */
};

static void
line_free (void *data)
{
  line_t *line = data;

  json_object_unref (line->members);
  g_free (line);
}

ctl_logs_t *
ctl_logs_new (void)
{
  ctl_logs_t *logs = g_new0 (ctl_logs_t, 1);

  logs->lines = g_ptr_array_new_with_free_func (line_free);
  return logs;
}

void
ctl_logs_free (ctl_logs_t *logs)
{
  if (logs == NULL)
    return;
  g_ptr_array_unref (logs->lines);
  g_free (logs);
}

static const char *
get_string_member (const line_t *line, const char *name)
{
  JsonNode *node = json_object_get_member (line->members, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

static void
parse_line (ctl_logs_t *logs, const char *text)
{
  const char *brace = strchr (text, '{');
  g_autoptr (JsonNode) root
      = brace != NULL ? json_from_string (brace, NULL) : NULL;
  line_t *line;
  JsonObject *members;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root)
      || !json_object_has_member (json_node_get_object (root), "message"))
    {
      logs->unparsed_count += *text != '\0';
      return;
    }
  members = json_node_get_object (root);
  line = g_new0 (line_t, 1);
  line->wall_ms
      = json_object_get_int_member_with_default (members, "wall_ms", 0);
  line->sequence = logs->lines->len;
  line->members = json_object_ref (members);
  g_ptr_array_add (logs->lines, line);
}

void
ctl_logs_read (ctl_logs_t *logs, const char *text)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    parse_line (logs, *line);
}

static bool
matches_member (const line_t *line, const char *name, const char *value)
{
  return value == NULL
         || g_strcmp0 (get_string_member (line, name), value) == 0;
}

static bool
matches_filter (const line_t *line, const ctl_logs_filter_t *filter)
{
  return matches_member (line, "request", filter->request)
         && matches_member (line, "account", filter->account)
         && matches_member (line, "endpoint", filter->endpoint);
}

/* The endpoints, instances and time span of one request's lines, in which
   other lines may show the cause of its outcome.  */
typedef struct
{
  GHashTable *endpoints;
  GHashTable *instances;
  gint64 first_ms;
  gint64 last_ms;
} request_scope_t;

static request_scope_t
get_request_scope (const GPtrArray *selected)
{
  request_scope_t scope
      = { .endpoints = g_hash_table_new (g_str_hash, g_str_equal),
          .instances = g_hash_table_new (g_str_hash, g_str_equal),
          .first_ms = G_MAXINT64 };

  for (guint i = 0; i < selected->len; i++)
    {
      const line_t *line = g_ptr_array_index (selected, i);
      const char *endpoint = get_string_member (line, "endpoint");
      const char *instance = get_string_member (line, "instance");

      if (endpoint != NULL && *endpoint != '\0')
        g_hash_table_add (scope.endpoints, (void *)endpoint);
      if (instance != NULL)
        g_hash_table_add (scope.instances, (void *)instance);
      scope.first_ms = MIN (scope.first_ms, line->wall_ms);
      scope.last_ms = MAX (scope.last_ms, line->wall_ms);
    }
  return scope;
}

/* Returns whether LINE belongs to no request and may show the cause of the
   outcome: it concerns an endpoint of the request, on any instance, or the
   state of one of the request's instances.  */
static bool
is_possible_cause (const line_t *line, const request_scope_t *scope)
{
  const char *endpoint = get_string_member (line, "endpoint");
  const char *instance = get_string_member (line, "instance");

  if (get_string_member (line, "request") != NULL
      || line->wall_ms < scope->first_ms - CAUSE_BEFORE_MS
      || line->wall_ms > scope->last_ms + CAUSE_AFTER_MS)
    return false;
  if (endpoint != NULL)
    return g_hash_table_contains (scope->endpoints, endpoint);
  return instance != NULL && get_string_member (line, "account") == NULL
         && g_hash_table_contains (scope->instances, instance);
}

static int
compare_lines (const void *a, const void *b)
{
  const line_t *x = *(line_t *const *)a;
  const line_t *y = *(line_t *const *)b;

  if (x->wall_ms != y->wall_ms)
    return x->wall_ms < y->wall_ms ? -1 : 1;
  return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

static GPtrArray *
select_lines (const ctl_logs_t *logs, const ctl_logs_filter_t *filter)
{
  GPtrArray *selected = g_ptr_array_new ();
  request_scope_t scope;

  for (guint i = 0; i < logs->lines->len; i++)
    if (matches_filter (g_ptr_array_index (logs->lines, i), filter))
      g_ptr_array_add (selected, g_ptr_array_index (logs->lines, i));
  if (filter->request != NULL && selected->len > 0)
    {
      scope = get_request_scope (selected);
      for (guint i = 0; i < logs->lines->len; i++)
        if (is_possible_cause (g_ptr_array_index (logs->lines, i), &scope))
          g_ptr_array_add (selected, g_ptr_array_index (logs->lines, i));
      g_hash_table_unref (scope.endpoints);
      g_hash_table_unref (scope.instances);
    }
  g_ptr_array_sort (selected, compare_lines);
  return selected;
}

static void
append_line (const line_t *line, bool json, GString *out)
{
  g_autoptr (GDateTime) second
      = g_date_time_new_from_unix_utc (line->wall_ms / 1000);
  g_autofree char *time = NULL;
  g_autoptr (JsonNode) root = NULL;
  g_autofree char *text = NULL;

  if (json)
    {
      root = json_node_init_object (json_node_alloc (), line->members);
      text = json_to_string (root, FALSE);
      g_string_append_printf (out, "%s\n", text);
      return;
    }
  time = second != NULL ? g_date_time_format (second, "%T") : g_strdup ("?");
  g_string_append_printf (
      out, "%s.%03d %s %s: %s\n", time, (int)(line->wall_ms % 1000),
      get_string_member (line, "instance"), get_string_member (line, "part"),
      get_string_member (line, "message"));
}

char *
ctl_logs_format (const ctl_logs_t *logs, const ctl_logs_filter_t *filter,
                 bool json)
{
  g_autoptr (GPtrArray) selected = select_lines (logs, filter);
  g_autoptr (GString) out = g_string_new (NULL);

  for (guint i = 0; i < selected->len; i++)
    append_line (g_ptr_array_index (selected, i), json, out);
  return g_string_free (g_steal_pointer (&out), FALSE);
}

static bool
read_file (ctl_logs_t *logs, const char *path)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      (void)ctl_report_usage ("logs: %s; name files that can be read",
                              error->message);
      return false;
    }
  ctl_logs_read (logs, text);
  return true;
}

ctl_exit_t
ctl_cmd_logs (ctl_t *ctl, int count, char **args)
{
  const ctl_logs_filter_t filter = { .request = ctl->request,
                                     .account = ctl->account,
                                     .endpoint = ctl->endpoint };
  ctl_exit_t status = CTL_USAGE;
  ctl_logs_t *logs;
  char *report = NULL;

  if (count < 1)
    return ctl_report_usage ("logs: name one or more files of log lines");
  logs = ctl_logs_new ();
  for (int i = 0; i < count; i++)
    if (!read_file (logs, args[i]))
      goto out;
  report = ctl_logs_format (logs, &filter, ctl->json);
  fputs (report, stdout);
  if (logs->unparsed_count > 0)
    fprintf (stderr, "cfdctl: logs: %u lines are not log lines\n",
             logs->unparsed_count);
  status = *report != '\0' ? CTL_OK : CTL_NOT_FOUND;
out:
  g_free (report);
  ctl_logs_free (logs);
  return status;
}
