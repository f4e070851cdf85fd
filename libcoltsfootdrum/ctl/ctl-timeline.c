/* timeline, explain: the events of all processes in one order.  */

#include "ctl/ctl.h"

#include "events/tl.h"

#include <stdio.h>
#include <string.h>

static const char *
text_member (JsonObject *object, const char *name)
{
  return json_object_get_string_member_with_default (object, name, "");
}

static bool
passes (JsonObject *event, const char *member, const char *wanted)
{
  return wanted == NULL || g_str_equal (text_member (event, member), wanted);
}

static bool
is_wanted (const ctl_t *ctl, JsonObject *event)
{
  return passes (event, "account", ctl->account)
         && passes (event, "zone", ctl->zone)
         && passes (event, "endpoint", ctl->endpoint)
         && (ctl->request == NULL
             || tl_matches_request (text_member (event, "request"),
                                    ctl->request))
         && passes (event, "kind", ctl->kind);
}

/* Stamps are hybrid logical: each event comes after its causes, whatever the
   wall clocks say.  */
static gint
by_stamp (gconstpointer a, gconstpointer b)
{
  JsonObject *left = *(JsonObject *const *)a;
  JsonObject *right = *(JsonObject *const *)b;
  gint64 first = json_object_get_int_member_with_default (left, "stamp", 0);
  gint64 second = json_object_get_int_member_with_default (right, "stamp", 0);

  return (first > second) - (first < second);
}

/* The endpoint that the agent of these events feeds, or NULL.  */
static const char *
endpoint_of (JsonArray *list)
{
  const char *endpoint = NULL;

  for (unsigned i = 0; endpoint == NULL && i < json_array_get_length (list);
       i++)
    endpoint = json_object_get_string_member_with_default (
        json_array_get_object_element (list, i), "endpoint", NULL);
  return endpoint;
}

/* Agents to the names of their endpoints.  */
static GHashTable *
find_endpoints (const GPtrArray *pages)
{
  GHashTable *found = g_hash_table_new (g_str_hash, g_str_equal);

  for (unsigned i = 0; i < pages->len; i++)
    {
      const ctl_instance_t *instance = g_ptr_array_index (pages, i);
      const char *endpoint;

      if (instance->page == NULL || !JSON_NODE_HOLDS_ARRAY (instance->page)
          || !g_str_equal (instance->role, "agent"))
        continue;
      endpoint = endpoint_of (json_node_get_array (instance->page));
      if (endpoint != NULL)
        g_hash_table_insert (found, instance->name, (gpointer)endpoint);
    }
  return found;
}

/* Routers know the agents alone and name them; one endpoint should have one
   name in the whole time line.  */
static void
name_endpoint (GHashTable *endpoints, JsonObject *event)
{
  const char *endpoint
      = g_hash_table_lookup (endpoints, text_member (event, "endpoint"));

  if (endpoint != NULL)
    json_object_set_string_member (event, "endpoint", endpoint);
}

static void
collect (const ctl_t *ctl, const ctl_instance_t *instance,
         GHashTable *endpoints, GPtrArray *events)
{
  JsonArray *list;

  if (instance->page == NULL || !JSON_NODE_HOLDS_ARRAY (instance->page))
    return;
  list = json_node_get_array (instance->page);
  for (unsigned i = 0; i < json_array_get_length (list); i++)
    {
      JsonObject *event = json_array_get_object_element (list, i);

      name_endpoint (endpoints, event);
      if (is_wanted (ctl, event))
        g_ptr_array_add (events, event);
    }
}

static void
print_field (JsonObject *event, const char *member)
{
  const char *text = text_member (event, member);

  if (*text != '\0')
    printf (" %s=%s", member, text);
}

static void
print_event (const ctl_t *ctl, JsonObject *event)
{
  gint64 wall = json_object_get_int_member_with_default (event, "wall_ms", 0);
  g_autoptr (GDateTime) time = g_date_time_new_from_unix_utc (wall / 1000);
  g_autofree char *clock = g_date_time_format (time, "%H:%M:%S");
  g_autoptr (JsonNode) node = NULL;
  g_autofree char *text = NULL;

  if (ctl->json)
    {
      node = json_node_new (JSON_NODE_OBJECT);
      json_node_set_object (node, event);
      text = json_to_string (node, FALSE);
      puts (text);
      return;
    }
  printf ("%s.%03d %-14s %-12s", clock, (int)(wall % 1000),
          text_member (event, "instance"), text_member (event, "kind"));
  print_field (event, "account");
  print_field (event, "zone");
  print_field (event, "endpoint");
  print_field (event, "request");
  printf (" %s\n", text_member (event, "detail"));
}

static void
add_query (GString *path, const char *name, const char *value)
{
  if (value == NULL)
    return;
  g_string_append_printf (
      path, "%c%s=", strchr (path->str, '?') == NULL ? '?' : '&', name);
  g_string_append_uri_escaped (path, value, NULL, FALSE);
}

/* In a large fleet a process must not send thousands of events for the few of
   one request; the filters that make them few go with the question.  */
static char *
events_path (const ctl_t *ctl)
{
  g_autoptr (GString) path = g_string_new ("/events");

  add_query (path, "account", ctl->account);
  add_query (path, "request", ctl->request);
  return g_string_free (g_steal_pointer (&path), FALSE);
}

static ctl_exit_t
print_timeline (ctl_t *ctl)
{
  plat_status_t status;
  g_autofree char *path = events_path (ctl);
  g_autoptr (GPtrArray) pages = ctl_fetch_pages (ctl, path, &status);
  g_autoptr (GPtrArray) events = g_ptr_array_new ();
  g_autoptr (GHashTable) endpoints = NULL;

  if (pages == NULL)
    return ctl_report_failure (status, "timeline");
  endpoints = find_endpoints (pages);
  for (unsigned i = 0; i < pages->len; i++)
    {
      const ctl_instance_t *instance = g_ptr_array_index (pages, i);

      if (instance->page == NULL)
        fprintf (stderr,
                 "cfdctl: %s does not answer; its events are missing\n",
                 instance->name);
      collect (ctl, instance, endpoints, events);
    }
  g_ptr_array_sort (events, by_stamp);
  for (unsigned i = 0; i < events->len; i++)
    print_event (ctl, g_ptr_array_index (events, i));
  return events->len > 0 ? CTL_OK : CTL_NOT_FOUND;
}

static bool
check_event_kind (const char *kind)
{
  const char *names[TL_KIND_COUNT + 1] = { NULL };
  g_autofree char *all = NULL;
  const char *near;

  for (unsigned i = 0; i < TL_KIND_COUNT; i++)
    {
      names[i] = tl_kind_name (i);
      if (g_str_equal (names[i], kind))
        return true;
    }
  near = ctl_find_nearest (kind, names);
  all = g_strjoinv (", ", (char **)names);
  if (near != NULL)
    (void)ctl_report_usage ("no kind of event \"%s\"; did you mean %s?", kind,
                            near);
  else
    (void)ctl_report_usage ("no kind of event \"%s\"; there are %s", kind,
                            all);
  return false;
}

ctl_exit_t
ctl_cmd_timeline (ctl_t *ctl, int count, char **args)
{
  if (count != 0)
    return ctl_report_usage (
        "timeline takes only options, such as --account NAME");
  if (ctl->kind != NULL && !check_event_kind (ctl->kind))
    return CTL_USAGE;
  return print_timeline (ctl);
}

ctl_exit_t
ctl_cmd_explain (ctl_t *ctl, int count, char **args)
{
  ctl_exit_t result;

  if (count != 1)
    return ctl_report_usage (
        "explain takes a REQUEST-ID, from the answer's header "
        "X-Request-Id");
  g_free (ctl->request);
  ctl->request = g_strdup (args[0]);
  result = print_timeline (ctl);
  if (result == CTL_NOT_FOUND)
    fprintf (stderr,
             "cfdctl: no event of %s is kept any more; time lines are bounded "
             "and end with their process\n",
             args[0]);
  return result;
}
