/* The verdict over a run.  */

#include "collect.h"
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

/* Where a nonce was started.  */
typedef struct
{
  unsigned times;
  unsigned endpoint; /* the last */
} place_t;

/* The counters of one endpoint as a JSON object, or NULL.  */
static JsonObject *
ask_counters (const fleet_t *fleet, unsigned index)
{
  g_autofree char *base = fleet_get_url (fleet, FLEET_ENDPOINT, index);
  g_autofree char *url
      = g_strconcat (base, "/control/counters?nonces=1", NULL);
  long status = 0;
  g_autofree char *answer = proc_send_http (NULL, url, NULL, NULL, &status);
  g_autoptr (JsonParser) parser = json_parser_new ();

  if (status != 200 || !json_parser_load_from_data (parser, answer, -1, NULL))
    return NULL;
  return json_object_ref (
      json_node_get_object (json_parser_get_root (parser)));
}

static void
take_nonces (GHashTable *places, JsonObject *counters, unsigned endpoint)
{
  JsonObject *nonces = json_object_get_object_member (counters, "nonces");
  JsonObjectIter iter;
  const char *name;
  JsonNode *node;

  if (nonces == NULL)
    return;
  json_object_iter_init (&iter, nonces);
  while (json_object_iter_next (&iter, &name, &node))
    {
      place_t *place = g_hash_table_lookup (places, name);
      if (place == NULL)
        {
          place = g_new0 (place_t, 1);
          g_hash_table_insert (places, g_strdup (name), place);
        }
      place->times += (unsigned)json_node_get_double (node);
      place->endpoint = endpoint;
    }
}

static double
count_of (JsonObject *counters, const char *name)
{
  return json_object_get_double_member_with_default (counters, name, 0);
}

static void
take_overloads (collect_result_t *sum, JsonObject *counters, unsigned endpoint)
{
  unsigned count = (unsigned)count_of (counters, "overload_count");

  sum->overload_count += count;
  sum->overload_in_grace += (unsigned)count_of (counters, "overload_in_grace");
  if (count > 0)
    fprintf (stderr,
             "overload: endpoint-%u, %u times; at the last %g ran and %g were "
             "bearable, %g ms after it turned cold\n",
             endpoint, count, count_of (counters, "overload_running"),
             count_of (counters, "overload_bearable"),
             count_of (counters, "overload_cold_ms"));
}

/* All nonces by place; SUM, when set, gets the overload counts.  */
static GHashTable *
ask_places (const fleet_t *fleet, collect_result_t *sum)
{
  g_autoptr (GHashTable) places
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);

  for (unsigned i = 0; i < fleet_count_members (fleet, FLEET_ENDPOINT); i++)
    {
      g_autoptr (JsonObject) counters = ask_counters (fleet, i);
      if (counters == NULL)
        return NULL;
      take_nonces (places, counters, i);
      if (sum != NULL)
        take_overloads (sum, counters, i);
    }
  return g_steal_pointer (&places);
}

GHashTable *
collect_started_nonces (const fleet_t *fleet, unsigned index)
{
  g_autoptr (JsonObject) counters = ask_counters (fleet, index);
  GHashTable *places;

  if (counters == NULL)
    return NULL;
  places = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  take_nonces (places, counters, index);
  return places;
}

static void
complain (const char *what, const load_request_t *request)
{
  fprintf (stderr,
           "%s: %s %s at router-%u, status %u, %u of %u tokens: %.200s\n",
           what, load_kind_name (request->kind), request->nonce,
           request->router, request->status, request->tokens, request->length,
           request->detail ? request->detail : "");
}

static void
judge (collect_result_t *sum, const load_request_t *request,
       const place_t *place)
{
  bool must_not_repeat
      = request->kind == LOAD_POST || request->kind == LOAD_POST_UNKEYED;

  sum->requests++;
  sum->correct += request->end == LOAD_CORRECT;
  sum->refused += request->end == LOAD_REFUSED;
  sum->broken += request->end == LOAD_INCOMPLETE;
  sum->unfinished += request->end == LOAD_RUNNING;
  if (request->end == LOAD_INCORRECT
      || (request->end == LOAD_CORRECT && place == NULL))
    {
      sum->wrong_answers++;
      complain ("wrong answer", request);
    }
  if (must_not_repeat && place != NULL && place->times > 1)
    {
      sum->duplicate_runs++;
      complain ("ran twice", request);
    }
  if (request->end == LOAD_REFUSED && request->not_run && place != NULL)
    {
      sum->false_not_run++;
      complain ("ran after all", request);
    }
}

bool
collect_results (const fleet_t *fleet, const load_t *load,
                 collect_result_t *sum)
{
  memset (sum, 0, sizeof *sum);
  g_autoptr (GHashTable) places = ask_places (fleet, sum);
  const GPtrArray *requests = load_get_requests (load);

  if (places == NULL)
    return false;
  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = requests->pdata[i];
      judge (sum, request, g_hash_table_lookup (places, request->nonce));
    }
  return true;
}

bool
collect_has_no_violation (const collect_result_t *sum)
{
  return sum->wrong_answers == 0 && sum->duplicate_runs == 0
         && sum->false_not_run == 0 && sum->overload_count == 0;
}

/* ---- tables ---- */

static void
print_account (const fleet_t *fleet, const GPtrArray *requests,
               unsigned account)
{
  unsigned kinds[LOAD_KIND_COUNT] = { 0 };
  unsigned tokens = 0;
  unsigned other = 0;
  bool routers[FLEET_MAX_MEMBERS] = { false };
  g_autoptr (GString) by = g_string_new (NULL);

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = requests->pdata[i];
      if (request->account != account)
        continue;
      routers[request->router] = true;
      if (request->end != LOAD_CORRECT)
        {
          other++;
          continue;
        }
      kinds[request->kind]++;
      if (load_kind_is_model (request->kind))
        tokens += request->prompt_tokens + request->tokens;
    }
  for (unsigned i = 0; i < fleet_count_members (fleet, FLEET_ROUTER); i++)
    if (routers[i])
      g_string_append_printf (by, " %u", i);
  printf ("%-12s %6g %7u %7u %11u %7u %6u %10u %7u %6u %s\n",
          fleet_get_plan (fleet)->accounts[account].name,
          fleet_get_plan (fleet)->accounts[account].weight, kinds[LOAD_STREAM],
          kinds[LOAD_NON_STREAM], kinds[LOAD_COMPLETION], kinds[LOAD_LOOKUP],
          kinds[LOAD_POST], kinds[LOAD_POST_UNKEYED], tokens, other, by->str);
}

static void
print_endpoints (const fleet_t *fleet, const GPtrArray *requests,
                 GHashTable *places)
{
  const fleet_plan_t *plan = fleet_get_plan (fleet);
  unsigned count = fleet_count_members (fleet, FLEET_ENDPOINT);
  unsigned served[FLEET_MAX_MEMBERS] = { 0 };
  unsigned tokens[FLEET_MAX_MEMBERS] = { 0 };

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = requests->pdata[i];
      const place_t *place = g_hash_table_lookup (places, request->nonce);
      if (place == NULL || request->end != LOAD_CORRECT)
        continue;
      served[place->endpoint]++;
      if (load_kind_is_model (request->kind))
        tokens[place->endpoint] += request->prompt_tokens + request->tokens;
    }
  printf ("\n%-12s %-10s %-8s %8s %8s\n", "endpoint", "service", "zone",
          "served", "tokens");
  for (unsigned i = 0; i < count; i++)
    printf ("endpoint-%-3u %-10s zone-%-3u %8u %8u\n", i,
            i >= plan->models && i < plan->models + plan->plains
                ? FLEET_PLAIN_SERVICE
                : FLEET_MODEL_SERVICE,
            fleet_get_zone (fleet, FLEET_AGENT, i), served[i], tokens[i]);
}

void
collect_print_tables (const fleet_t *fleet, const load_t *load)
{
  g_autoptr (GHashTable) places = ask_places (fleet, NULL);
  const GPtrArray *requests = load_get_requests (load);

  if (places == NULL)
    return;
  printf ("%-12s %6s %7s %7s %11s %7s %6s %10s %7s %6s %s\n", "account",
          "weight", "streams", "wholes", "completions", "lookups", "posts",
          "bare-posts", "tokens", "other", "by routers");
  for (unsigned i = 0; i < fleet_get_plan (fleet)->account_count; i++)
    print_account (fleet, requests, i);
  print_endpoints (fleet, requests, places);
}
