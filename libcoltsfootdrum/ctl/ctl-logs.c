/* Log lines of several processes as one story: JSON objects, one a line, as
   the daemons write them; what stands before the first brace is passed over,
   for collectors put their own time or source there.

   Order is by wall time, which differs between instances by some milliseconds;
   lines of one instance stay in theirs.  */

#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>

/* What an instance and the request's endpoints went through so long before the
   request's first line and after its last may be the cause: entries lapse and
   silence is noticed within these.  */
#define BEFORE_MS 4000
#define AFTER_MS 1000

typedef struct
{
  gint64 wall_ms;
  guint number; /* of the line, over all files */
  JsonObject *members;
} line_t;

struct ctl_logs
{
  GPtrArray *lines; /* line_t */
  guint unread;     /* lines that are no log lines */
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
text_of (const line_t *line, const char *name)
{
  JsonNode *node = json_object_get_member (line->members, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

static void
read_line (ctl_logs_t *logs, const char *text)
{
  const char *brace = strchr (text, '{');
  g_autoptr (JsonNode) root
      = brace != NULL ? json_from_string (brace, NULL) : NULL;
  line_t *line;
  JsonObject *members;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root)
      || !json_object_has_member (json_node_get_object (root), "message"))
    {
      logs->unread += *text != '\0';
      return;
    }
  members = json_node_get_object (root);
  line = g_new0 (line_t, 1);
  line->wall_ms
      = json_object_get_int_member_with_default (members, "wall_ms", 0);
  line->number = logs->lines->len;
  line->members = json_object_ref (members);
  g_ptr_array_add (logs->lines, line);
}

void
ctl_logs_read (ctl_logs_t *logs, const char *text)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    read_line (logs, *line);
}

static bool
is_wanted (const line_t *line, const char *name, const char *value)
{
  return value == NULL || g_strcmp0 (text_of (line, name), value) == 0;
}

static bool
matches (const line_t *line, const ctl_logs_filter_t *filter)
{
  return is_wanted (line, "request", filter->request)
         && is_wanted (line, "account", filter->account)
         && is_wanted (line, "endpoint", filter->endpoint);
}

/* What the lines of one request tell of where and when to look further.  */
typedef struct
{
  GHashTable *endpoints;
  GHashTable *instances;
  gint64 first_ms;
  gint64 last_ms;
} reach_t;

static reach_t
reach_of (const GPtrArray *found)
{
  reach_t reach = { .endpoints = g_hash_table_new (g_str_hash, g_str_equal),
                    .instances = g_hash_table_new (g_str_hash, g_str_equal),
                    .first_ms = G_MAXINT64 };

  for (guint i = 0; i < found->len; i++)
    {
      const line_t *line = g_ptr_array_index (found, i);
      const char *endpoint = text_of (line, "endpoint");
      const char *instance = text_of (line, "instance");

      if (endpoint != NULL && *endpoint != '\0')
        g_hash_table_add (reach.endpoints, (void *)endpoint);
      if (instance != NULL)
        g_hash_table_add (reach.instances, (void *)instance);
      reach.first_ms = MIN (reach.first_ms, line->wall_ms);
      reach.last_ms = MAX (reach.last_ms, line->wall_ms);
    }
  return reach;
}

/* A line of no request that may tell why: of an endpoint that the request went
   to, from any instance, or of what its own instance believes.  */
static bool
may_tell_why (const line_t *line, const reach_t *reach)
{
  const char *endpoint = text_of (line, "endpoint");
  const char *instance = text_of (line, "instance");

  if (text_of (line, "request") != NULL
      || line->wall_ms < reach->first_ms - BEFORE_MS
      || line->wall_ms > reach->last_ms + AFTER_MS)
    return false;
  if (endpoint != NULL)
    return g_hash_table_contains (reach->endpoints, endpoint);
  return instance != NULL && text_of (line, "account") == NULL
         && g_hash_table_contains (reach->instances, instance);
}

static int
compare (const void *a, const void *b)
{
  const line_t *x = *(line_t *const *)a;
  const line_t *y = *(line_t *const *)b;

  if (x->wall_ms != y->wall_ms)
    return x->wall_ms < y->wall_ms ? -1 : 1;
  return (x->number > y->number) - (x->number < y->number);
}

static GPtrArray *
select_lines (const ctl_logs_t *logs, const ctl_logs_filter_t *filter)
{
  GPtrArray *found = g_ptr_array_new ();
  reach_t reach;

  for (guint i = 0; i < logs->lines->len; i++)
    if (matches (g_ptr_array_index (logs->lines, i), filter))
      g_ptr_array_add (found, g_ptr_array_index (logs->lines, i));
  if (filter->request != NULL && found->len > 0)
    {
      reach = reach_of (found);
      for (guint i = 0; i < logs->lines->len; i++)
        if (may_tell_why (g_ptr_array_index (logs->lines, i), &reach))
          g_ptr_array_add (found, g_ptr_array_index (logs->lines, i));
      g_hash_table_unref (reach.endpoints);
      g_hash_table_unref (reach.instances);
    }
  g_ptr_array_sort (found, compare);
  return found;
}

static void
put_line (const line_t *line, bool json, GString *out)
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
  g_string_append_printf (out, "%s.%03d %s %s: %s\n", time,
                          (int)(line->wall_ms % 1000),
                          text_of (line, "instance"), text_of (line, "part"),
                          text_of (line, "message"));
}

char *
ctl_logs_format (const ctl_logs_t *logs, const ctl_logs_filter_t *filter,
                 bool json)
{
  g_autoptr (GPtrArray) found = select_lines (logs, filter);
  g_autoptr (GString) out = g_string_new (NULL);

  for (guint i = 0; i < found->len; i++)
    put_line (g_ptr_array_index (found, i), json, out);
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
  char *story = NULL;

  if (count < 1)
    return ctl_report_usage ("logs: name one or more files of log lines");
  logs = ctl_logs_new ();
  for (int i = 0; i < count; i++)
    if (!read_file (logs, args[i]))
      goto out;
  story = ctl_logs_format (logs, &filter, ctl->json);
  fputs (story, stdout);
  if (logs->unread > 0)
    fprintf (stderr, "cfdctl: logs: %u lines are no log lines\n",
             logs->unread);
  status = *story != '\0' ? CTL_OK : CTL_NOT_FOUND;
out:
  g_free (story);
  ctl_logs_free (logs);
  return status;
}
