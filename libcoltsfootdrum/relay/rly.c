/* The relay: a request from its arrival until it waits, and the tick.  */

#include "relay/rly-private.h"

#include "base/log.h"
#include <stdlib.h>
#include <string.h>

/* Until endpoints' answers show how fast they read prompts; slow, so that a
   fresh router sends them too little rather than too much.  */
#define FIRST_BASE_MS 50.
#define FIRST_MS_PER_WORK (1. / 80.)
/* Until the configuration is known, callers are told to come back so soon.  */
#define NO_TABLE_RETRY_MS 500
/* Of a caller that names no deadline.  */
#define USUAL_DEADLINE_MS 60000
/* A generated token counts as so many prompt tokens.  */
#define OUTPUT_WEIGHT 2.
/* What a request of a plain service counts.  */
#define PLAIN_COST 100.
/* Accounts' level is computed anew so often.  */
#define LEVEL_MS 100
/* Sweeps of caches and idle connections.  */
#define SWEEP_MS 500
/* Of the budget of repeats a router takes a part for itself that keeps the sum
   within the bound when work is spread unevenly.  */
#define REPEAT_SAFETY 0.7

static void
service_free (rly_service_t *service)
{
  list_remove (&service->node);
  g_free (service->name);
  g_free (service);
}

void
rly_pump_later (rly_service_t *service)
{
  service->due = true;
}

/* Services whose requests may have found room.  */
static void
pump_due (rly_t *rly, cfd_time_t now)
{
  lag_kind_t before = lag_enter (rly->lag, LAG_PLACEMENT);

  list_for_each (node, &rly->services)
    {
      rly_service_t *service = list_entry (node, rly_service_t, node);

      if (service->due)
        rly_pump (rly, service, now);
    }
  lag_leave (rly->lag, before, 1);
}

/* What waited too long is refused; for the others time alone may have made
   room, or what other routers told.  */
static void
tick_waiting (rly_t *rly, cfd_time_t now)
{
  list_for_each (node, &rly->services)
    {
      rly_service_t *service = list_entry (node, rly_service_t, node);

      rly_expire (service, now);
      rly_pump_later (service);
    }
}

/* Once for all that happened in a turn: a round over all that wait is dear,
   and under high load a turn brings many events.  */
static void
on_turn (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  rly_t *rly = watcher->data;

  if (rly->table != NULL)
    pump_due (rly, clock_now ());
}

rly_t *
rly_new (struct ev_loop *loop, const rly_names_t *names,
         const rly_settings_t *bounds, edp_set_t *endpoints, use_t *use,
         pfx_t *pfx, ret_t *ret)
{
  rly_t *rly = g_new0 (rly_t, 1);

  rly->loop = loop;
  rly->names = *names;
  rly->bounds = *bounds;
  rly->endpoints = endpoints;
  rly->use = use;
  rly->pfx = pfx;
  rly->ret = ret;
  list_init (&rly->services);
  list_init (&rly->running);
  rly->routers = 1;
  ev_prepare_init (&rly->turn, on_turn);
  rly->turn.data = rly;
  /* Before the other routers are told what this turn changed.  */
  ev_set_priority (&rly->turn, EV_MAXPRI);
  ev_prepare_start (loop, &rly->turn);
  return rly;
}

static void
free_requests (list_node_t *list)
{
  list_for_each_safe (node, list)
    {
      rly_request_free (list_entry (node, rly_request_t, node));
    }
}

/* A line goes with its last request, so that they are gathered first.  */
static void
free_lines (rly_service_t *service)
{
  g_autoptr (GPtrArray) requests = g_ptr_array_new ();

  list_for_each (node, &service->lines)
    {
      rly_line_t *line = list_entry (node, rly_line_t, node);

      list_for_each (inner, &line->requests)
        {
          g_ptr_array_add (requests, list_entry (inner, rly_request_t, node));
        }
    }
  for (guint i = 0; i < requests->len; i++)
    rly_request_free (g_ptr_array_index (requests, i));
}

void
rly_free (rly_t *rly)
{
  if (rly == NULL)
    return;
  ev_prepare_stop (rly->loop, &rly->turn);
  free_requests (&rly->running);
  list_for_each_safe (node, &rly->services)
    {
      rly_service_t *service = list_entry (node, rly_service_t, node);

      free_lines (service);
      service_free (service);
    }
  rte_table_unref (rly->table);
  g_free (rly);
}

void
rly_set_lag (rly_t *rly, lag_t *lag)
{
  rly->lag = lag;
}

rly_service_t *
rly_service (rly_t *rly, const char *name)
{
  rly_service_t *service;

  list_for_each (node, &rly->services)
    {
      service = list_entry (node, rly_service_t, node);
      if (g_str_equal (service->name, name))
        return service;
    }
  service = g_new0 (rly_service_t, 1);
  service->name = g_strdup (name);
  fit_init (&service->first_token, FIRST_BASE_MS, FIRST_MS_PER_WORK);
  list_init (&service->lines);
  bud_init (&service->repeats, rly->bounds.retry_window_ms,
            rly->bounds.retry_ratio * REPEAT_SAFETY,
            rly->bounds.retry_slack * REPEAT_SAFETY / rly->routers);
  list_init (&service->node);
  list_append (&rly->services, &service->node);
  return service;
}

bool
rly_has (const rly_t *rly, mech_t mechanism)
{
  return (rly->bounds.disabled & mechanism) == 0;
}

const char *
rly_account_name (const rly_request_t *request)
{
  return request->account != NULL ? request->account->name : "";
}

void
rly_set_table (rly_t *rly, rte_table_t *table)
{
  if (rly->table != NULL
      && rte_table_version (table) <= rte_table_version (rly->table))
    return;
  log_info ("relay",
            "A configuration is in force: version=%" G_GUINT64_FORMAT
            " routes=%u.",
            rte_table_version (table), rte_table_route_count (table));
  rte_table_unref (rly->table);
  rly->table = rte_table_ref (table);
}

const rte_table_t *
rly_table (const rly_t *rly)
{
  return rly->table;
}

void
rly_set_router_count (rly_t *rly, unsigned routers)
{
  rly->routers = MAX (routers, 1);
  list_for_each (node, &rly->services)
    {
      list_entry (node, rly_service_t, node)->repeats.slack
          = rly->bounds.retry_slack * REPEAT_SAFETY / rly->routers;
    }
}

void
rly_stop_accepting (rly_t *rly)
{
  rly->closed = true;
}

const rly_counts_t *
rly_counts (const rly_t *rly)
{
  return &rly->counts;
}

void
rly_request_free (rly_request_t *request)
{
  if (request->edp != NULL)
    rly_leave (request, true);
  if (request->line != NULL)
    rly_unwait (request);
  list_remove (&request->node);
  rly_answer_clear (&request->answer);
  pfx_prompt_free (request->prompt);
  rte_table_unref (request->table);
  g_free (request->last_failed);
  g_free (request->id);
  g_free (request);
}

/* The key of "SCHEME KEY"; NULL when there is none.  */
static const char *
key_of (const rly_t *rly, const hdr_t *fields)
{
  const char *text = hdr_get (fields, "Authorization");
  size_t scheme = strlen (rly->names.key_scheme);

  if (text == NULL
      || g_ascii_strncasecmp (text, rly->names.key_scheme, scheme) != 0
      || text[scheme] != ' ')
    return NULL;
  return text + scheme + 1 + strspn (text + scheme + 1, " ");
}

/* A number in a field; MISSING without one.  */
static double
number (const hdr_t *fields, const char *name, double missing)
{
  const char *text = hdr_get (fields, name);
  char *end = NULL;
  double value = text != NULL ? g_ascii_strtod (text, &end) : missing;

  return end != text && value >= 0. ? value : missing;
}

/* "PROMPT,MOST": the most tokens that may be generated.  */
static double
most_output (const hdr_t *fields, const char *name)
{
  const char *text = hdr_get (fields, name);
  const char *comma = text != NULL ? strchr (text, ',') : NULL;

  return comma != NULL ? g_ascii_strtod (comma + 1, NULL) : 0.;
}

static void
read_work (rly_request_t *request, const hdr_t *fields)
{
  const rly_names_t *names = &request->rly->names;
  const char *prompt = hdr_get (fields, names->prompt);

  if (prompt != NULL)
    request->prompt = pfx_prompt_parse (prompt);
  request->output = number (fields, names->length_hint,
                            most_output (fields, names->tokens));
}

/* What REQUEST counts in its account's share.  */
static double
cost_of (const rly_request_t *request)
{
  if (request->prompt == NULL)
    return PLAIN_COST;
  return request->prompt->tokens + OUTPUT_WEIGHT * request->output;
}

static void
answer_plainly (rly_t *rly, ent_call_t *call, unsigned status,
                const char *reason)
{
  const char *id
      = hdr_get (&ent_get_head (call)->fields, rly->names.request_id);
  g_autofree char *fields = NULL;

  log_info ("relay",
            "A request was turned away: request=%s status=%u reason=%s.",
            id != NULL ? id : "", status, reason);
  rly->counts.refused++;
  if (status == 503)
    fields
        = g_strdup_printf ("Retry-After: %.3f\r\n", NO_TABLE_RETRY_MS / 1000.);
  ent_respond (call, status, fields, NULL, 0);
}

/* When the caller of REQUEST first asked.  */
static cfd_time_t
first_asked (rly_request_t *request, const hdr_t *fields)
{
  const char *prompt = hdr_get (fields, request->rly->names.prompt);
  const GByteArray *body = ent_get_body (request->call);

  if (request->prompt == NULL)
    return request->since;
  request->key = ret_request_key (rly_account_name (request), prompt,
                                  body->data, body->len);
  return ret_take_first_attempt (request->rly->ret, request->since,
                                 request->key);
}

static rly_request_t *
request_new (rly_t *rly, ent_call_t *call, const rte_route_t *route,
             const rte_account_t *account)
{
  const hdr_t *fields = &ent_get_head (call)->fields;
  rly_request_t *request = g_new0 (rly_request_t, 1);
  double deadline = number (fields, rly->names.deadline_ms, USUAL_DEADLINE_MS);

  request->rly = rly;
  request->call = call;
  request->table = rte_table_ref (rly->table);
  request->route = route;
  request->account = account;
  request->id = g_strdup (hdr_get (fields, rly->names.request_id));
  request->since = ent_get_start_time (call);
  request->deadline = request->since + (int64_t)deadline;
  request->timeout = CFD_TIME_NEVER;
  if (route->timeout_ms > 0)
    request->timeout = request->since + route->timeout_ms;
  list_init (&request->node);
  evs_init (&request->answer.events);
  request->answer.fields = g_string_new (NULL);
  request->answer.body = g_string_new (NULL);
  read_work (request, fields);
  request->cost = cost_of (request);
  request->asked = first_asked (request, fields);
  return request;
}

void
rly_on_request (void *user, ent_call_t *call)
{
  rly_t *rly = user;
  rd_head_t *head = ent_get_head (call);
  const char *host = hdr_get (&head->fields, "Host");
  const char *key = key_of (rly, &head->fields);
  const rte_account_t *account = NULL;
  const rte_route_t *route;
  rly_request_t *request;
  cfd_time_t now = clock_now ();

  rly->counts.requests++;
  if (rly->table == NULL || rly->closed)
    {
      answer_plainly (rly, call, 503,
                      rly->closed ? "shutdown" : "no-configuration");
      return;
    }
  route
      = host != NULL ? rte_find_route (rly->table, host, head->target) : NULL;
  if (route == NULL)
    {
      answer_plainly (rly, call, 404, "no-route");
      return;
    }
  if (key != NULL)
    account = rte_find_account (rly->table, key);
  if (account == NULL && !route->open && rte_table_has_accounts (rly->table))
    {
      answer_plainly (rly, call, 401, "unknown-key");
      return;
    }
  request = request_new (rly, call, route, account);
  ent_set_data (call, request);
  request->service
      = rly_service (rly, rte_choose_service (route, g_random_double ()));
  bud_count_request (&request->service->repeats, now);
  use_add_demand (rly->use, now, rly_account_name (request), request->cost);
  rly_wait (request);
  if (!rly_refuse_early (request, now))
    rly_pump_later (request->service);
}

void
rly_on_disconnect (void *user, ent_call_t *call)
{
  rly_t *rly = user;
  rly_request_t *request = ent_get_data (call);
  rly_service_t *service;

  if (request == NULL)
    return;
  rly->counts.departed++;
  service = request->service;
  rly_request_free (request);
  rly_pump_later (service);
}

static void
tick_running (rly_t *rly, cfd_time_t now)
{
  list_for_each_safe (node, &rly->running)
    {
      rly_check_running (list_entry (node, rly_request_t, node), now);
    }
}

void
rly_tick (rly_t *rly, cfd_time_t now)
{
  if (now - rly->levelled >= LEVEL_MS)
    {
      rly->levelled = now;
      use_update_level (rly->use, now);
    }
  tick_running (rly, now);
  if (rly->table != NULL)
    tick_waiting (rly, now);
  if (now - rly->swept < SWEEP_MS)
    return;
  rly->swept = now;
  edp_set_sweep (rly->endpoints, now);
  pfx_evict_expired (rly->pfx, now);
  ret_sweep (rly->ret, now);
}
