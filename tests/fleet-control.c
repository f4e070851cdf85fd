/* What a test does to a running fleet: records, the platform's list of
   instances, the relay and metrics.  */

#include "base/err.h"
#include "fleet-private.h"
#include <json-glib/json-glib.h>
#include <string.h>

#define PUT_TRIES 5

/* The version of an object, or NULL when it is not there.  */
static char *
object_version (const char *url)
{
  long status = 0;
  g_autofree char *answer = proc_send_http (NULL, url, NULL, NULL, &status);
  g_autoptr (JsonParser) parser = json_parser_new ();

  if (status != 200 || !json_parser_load_from_data (parser, answer, -1, NULL))
    return NULL;
  JsonNode *root = json_parser_get_root (parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return NULL;
  return g_strdup (json_object_get_string_member_with_default (
      json_node_get_object (root), "version", NULL));
}

bool
fleet_put_object (fleet_t *fleet, const char *kind, const char *name,
                  const char *spec, GError **error)
{
  g_autofree char *base = fleet_get_url (fleet, FLEET_PLATFORM, 0);
  g_autofree char *url
      = g_strdup_printf ("%s/v1/objects/%s/%s", base, kind, name);
  g_autofree char *body = g_strdup_printf ("{\"spec\":%s}", spec);
  long status = 0;

  for (unsigned i = 0; i < PUT_TRIES; i++)
    {
      g_autofree char *version = object_version (url);
      g_autofree char *condition
          = version != NULL ? g_strdup_printf ("If-Match: %s", version)
                            : g_strdup ("If-None-Match: *");
      g_autofree char *answer
          = proc_send_http ("PUT", url, condition, body, &status);
      if (status == 200 || status == 201)
        return true;
    }
  g_set_error (error, CFD_ERROR, CFD_ERROR_CONFLICT,
               "writing %s %s got status %ld; read the platform's log", kind,
               name, status);
  return false;
}

unsigned
fleet_get_region (const fleet_t *fleet, unsigned zone)
{
  return zone * MAX (fleet->plan.regions, 1) / fleet->plan.zones;
}

/* Adds, for each other zone, the relayed address at which it sees a peer.  */
static void
add_views (const fleet_t *fleet, JsonBuilder *builder, fleet_role_t sort,
           unsigned index)
{
  unsigned own = fleet_get_zone (fleet, sort, index);
  unsigned view = sort == FLEET_ROUTER ? PORT_ROUTER_VIEW : PORT_AGENT_VIEW;

  json_builder_set_member_name (builder, "views");
  json_builder_begin_object (builder);
  for (unsigned zone = 0; zone < fleet->plan.zones; zone++)
    {
      g_autofree char *name = g_strdup_printf ("zone-%u", zone);
      g_autofree char *address
          = fleet_format_address (fleet, index, view + zone);
      if (zone == own)
        continue;
      json_builder_set_member_name (builder, name);
      json_builder_add_string_value (builder, address);
    }
  json_builder_end_object (builder);
}

static void
add_text (JsonBuilder *builder, const char *name, char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
  g_free (value);
}

static void
add_instance (const fleet_t *fleet, JsonBuilder *builder, fleet_role_t sort,
              unsigned index, const char *state)
{
  bool router = sort == FLEET_ROUTER;

  json_builder_begin_object (builder);
  add_text (builder, "name",
            g_strdup_printf ("%s-%u", router ? "router" : "agent", index));
  add_text (builder, "role", g_strdup (router ? "router" : "agent"));
  add_text (builder, "zone",
            g_strdup_printf ("zone-%u", fleet_get_zone (fleet, sort, index)));
  add_text (builder, "address",
            fleet_format_address (
                fleet, index, router ? PORT_ROUTER_PEER : PORT_AGENT_PEER));
  add_text (builder, "admin",
            fleet_format_address (
                fleet, index, router ? PORT_ROUTER_ADMIN : PORT_AGENT_ADMIN));
  add_text (builder, "state", g_strdup (state));
  add_views (fleet, builder, sort, index);
  json_builder_end_object (builder);
}

/* The whole list; the platform takes no less.  */
static char *
list_text (const fleet_t *fleet)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_array (builder);
  for (unsigned i = 0; i < FLEET_MAX_MEMBERS; i++)
    {
      if (fleet->listed[FLEET_ROUTER][i] != NULL)
        add_instance (fleet, builder, FLEET_ROUTER, i,
                      fleet->listed[FLEET_ROUTER][i]);
      if (fleet->listed[FLEET_AGENT][i] != NULL)
        add_instance (fleet, builder, FLEET_AGENT, i,
                      fleet->listed[FLEET_AGENT][i]);
    }
  json_builder_end_array (builder);
  g_autoptr (JsonNode) root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

bool
fleet_publish_instances (fleet_t *fleet, GError **error)
{
  g_autofree char *base = fleet_get_url (fleet, FLEET_PLATFORM, 0);
  g_autofree char *url = g_strconcat (base, "/control/instances", NULL);
  g_autofree char *body = list_text (fleet);
  long status = 0;
  g_autofree char *answer = proc_send_http ("PUT", url, NULL, body, &status);

  if (status == 200)
    return true;
  g_set_error (error, CFD_ERROR, CFD_ERROR_UNAVAILABLE,
               "listing the instances got status %ld; read the platform's log",
               status);
  return false;
}

bool
fleet_set_instance_state (fleet_t *fleet, fleet_role_t sort, unsigned index,
                          const char *state, GError **error)
{
  fleet->listed[sort][index] = state;
  return fleet_publish_instances (fleet, error);
}

bool
fleet_set_relay_mode (fleet_t *fleet, const char *group, const char *mode)
{
  g_autofree char *base = fleet_get_url (fleet, FLEET_RELAY, 0);
  g_autofree char *url = g_strconcat (base, "/control", NULL);
  g_autofree char *body
      = g_strdup_printf ("{\"group\":\"%s\",\"mode\":\"%s\"}", group, mode);
  long status = 0;
  g_autofree char *answer = proc_send_http ("PUT", url, NULL, body, &status);

  return status == 200;
}

static bool
set_passage (fleet_t *fleet, unsigned zone, const char *target, bool apart)
{
  g_autofree char *group = g_strdup_printf ("zone-%u>%s", zone, target);

  return fleet_set_relay_mode (fleet, group, apart ? "hole" : "pass");
}

bool
fleet_set_partition (fleet_t *fleet, const unsigned *sides, bool apart)
{
  bool good = true;

  for (unsigned from = 0; from < fleet->plan.zones; from++)
    for (unsigned to = 0; to < fleet->plan.zones; to++)
      {
        g_autofree char *target = g_strdup_printf ("zone-%u", to);
        if (sides[from] != sides[to])
          good = set_passage (fleet, from, target, apart) && good;
      }
  return good;
}

bool
fleet_set_platform_partition (fleet_t *fleet, const unsigned *sides,
                              unsigned side, bool apart)
{
  bool good = true;

  for (unsigned zone = 0; zone < fleet->plan.zones; zone++)
    if (sides[zone] == side)
      good = set_passage (fleet, zone, "platform", apart) && good;
  return good;
}

double
fleet_sum_metric (const fleet_t *fleet, fleet_role_t sort, unsigned index,
                  const char *name)
{
  g_autofree char *base = fleet_get_admin_url (fleet, sort, index);
  g_autofree char *url = g_strconcat (base, "/metrics", NULL);
  long status = 0;
  g_autofree char *answer = proc_send_http (NULL, url, NULL, NULL, &status);
  g_auto (GStrv) lines = g_strsplit (answer ? answer : "", "\n", 0);
  size_t length = strlen (name);
  double sum = -1;

  for (unsigned i = 0; lines[i] != NULL; i++)
    {
      const char *line = lines[i];
      const char *value = strrchr (line, ' ');
      if (strncmp (line, name, length) != 0 || value == NULL
          || (line[length] != ' ' && line[length] != '{'))
        continue;
      sum = MAX (sum, 0) + g_ascii_strtod (value, NULL);
    }
  return sum;
}
