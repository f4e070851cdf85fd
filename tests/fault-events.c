#include "fault-events.h"

#include <string.h>

/* The detail of a retry that follows no failure of this request: another
   request failed, the agent reduced its limit or was ejected, and it returned
   the assignments that answered its outstanding grants without starting them.
   Routers do not avoid the agent for that reason, so its next grant may take
   the request again.  */
#define RETRY_GIVEN_BACK "the agent gave it back unstarted"

JsonArray *
fault_fetch_events (const fault_run_t *run, fleet_role_t role, unsigned index,
                    JsonParser *parser)
{
  g_autofree char *base = fleet_get_admin_url (run->fleet, role, index);
  g_autofree char *url = g_strconcat (base, "/events?since=0", NULL);
  long status = 0;
  g_autofree char *text = proc_send_http (NULL, url, NULL, NULL, &status);
  g_autoptr (GError) error = NULL;

  g_assert_cmpint (status, ==, 200);
  json_parser_load_from_data (parser, text, -1, &error);
  g_assert_no_error (error);
  return json_node_get_array (json_parser_get_root (parser));
}

unsigned
fault_count_agent_events (const fault_run_t *run, unsigned agent,
                          const char *kind)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonArray *events = fault_fetch_events (run, FLEET_AGENT, agent, parser);
  unsigned count = 0;

  for (guint i = 0; i < json_array_get_length (events); i++)
    {
      JsonObject *event = json_array_get_object_element (events, i);

      count
          += strcmp (json_object_get_string_member (event, "kind"), kind) == 0;
    }
  return count;
}

void
fault_count_retries (JsonArray *events, unsigned places[2])
{
  g_autoptr (GHashTable) failed_agents
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < json_array_get_length (events); i++)
    {
      JsonObject *event = json_array_get_object_element (events, i);
      const char *kind = json_object_get_string_member (event, "kind");
      const char *id
          = json_object_get_string_member_with_default (event, "request", "");
      const char *agent
          = json_object_get_string_member_with_default (event, "endpoint", "");
      const char *attempt = strrchr (id, '-');
      g_autofree char *request
          = g_strndup (id, attempt != NULL ? (gsize)(attempt - id) : 0);
      const char *failed_agent = g_hash_table_lookup (failed_agents, request);
      const char *detail
          = json_object_get_string_member_with_default (event, "detail", "");

      if (failed_agent != NULL || strcmp (kind, "retry") == 0
          || g_str_has_prefix (detail, "failed:"))
        g_test_message ("%" G_GINT64_FORMAT " %s %s %s: %s",
                        json_object_get_int_member (event, "wall_ms"), kind,
                        id, agent, detail);
      if (strcmp (kind, "retry") == 0
          && strcmp (detail, RETRY_GIVEN_BACK) != 0)
        g_hash_table_insert (failed_agents, g_steal_pointer (&request),
                             (char *)agent);
      else if (strcmp (kind, "assign") == 0 && failed_agent != NULL)
        places[strcmp (failed_agent, agent) != 0]++;
    }
}
