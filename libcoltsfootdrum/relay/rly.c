/* The relay of requests: arrival of a request, configuration, periodic work.
 */

#include "relay/rly-private.h"

#include "base/log.h"
#include <stdlib.h>
#include <string.h>

/* Assumed time to first token until answers show how fast endpoints prefill.
   A slow estimate makes a new router send too little rather than too much.  */
#define INITIAL_BASE_MS 50.
#define INITIAL_MS_PER_TOKEN (1. / 80.)
#define INITIAL_IDLE_BASE_MS 10. /* where nothing else is prefilled */
#define INITIAL_EVENT_MS 50.
/* Lateness of a tick from which on the times of endpoints don't count: a
   fifth of the prefill of a prompt of 12,000 tokens.  */
#define MAX_LATE_MS 30
/* Retry-After while there is no configuration.  */
#define NO_CONFIG_RETRY_MS 500
/* Retry-After of a request that is refused for lack of processor time: the
   retry reaches another router, which may have some at once.  */
#define MIN_SHED_RETRY_MS 100
#define MAX_SHED_RETRY_MS 300
/* Least Retry-After of a resumed stream while stored records are being read:
   the time of a read.  */
#define LOADING_RETRY_MS 300
/* Deadline of a request that gives none, and the longest one.  */
#define DEFAULT_DEADLINE_MS 60000.
#define MAX_DEADLINE_MS 3600000.
/* Time within which the caller of a broken stream resumes it.  */
#define RESUME_DELAY_MS 5000
/* Most generated tokens that are expected of a request.  The number comes from
   its caller and counts in the sums of all accounts.  */
#define MAX_OUTPUT_TOKENS 1e6
/* Cost of a generated token, in prompt tokens.  */
#define OUTPUT_WEIGHT 2.
/* Cost of a request without prompt parts, in prompt tokens.  */
#define PLAIN_REQUEST_COST 100.
/* Interval at which the fair level of accounts is recomputed.  */
#define LEVEL_UPDATE_INTERVAL_MS 100
/* Interval at which unused endpoints, idle connections and expired cache
   entries are removed.  */
#define SWEEP_INTERVAL_MS 500
/* Share of the configured retry budget that is used, so that all routers
   together stay within it when the load is spread unevenly.  */
#define RETRY_BUDGET_SHARE 0.7

static void
service_free (rly_service_t *service)
{
  list_remove (&service->node);
  g_free (service->name);
  g_free (service);
}

void
rly_schedule_dispatch (rly_service_t *service)
{
  service->dispatch_scheduled = true;
}

/* Runs a placement round for each service that has one scheduled.  */
static void
run_scheduled_dispatches (rly_t *rly, cfd_time_t now)
{
  lag_kind_t before = lag_enter (rly->lag, LAG_PLACEMENT);

  list_for_each (node, &rly->services)
    {
      rly_service_t *service = list_entry (node, rly_service_t, node);

      if (service->dispatch_scheduled)
        rly_dispatch (rly, service, now);
    }
  lag_leave (rly->lag, before, 1);
}

/* Refuses expired requests.  For the others a round is scheduled, since the
   passing of time or updates from other routers may have made capacity
   available.  */
static void
update_waiting (rly_t *rly, cfd_time_t now)
{
  list_for_each (node, &rly->services)
    {
      rly_service_t *service = list_entry (node, rly_service_t, node);

      rly_refuse_expired (service, now);
      rly_schedule_dispatch (service);
    }
}

/* Runs once per loop iteration: a round over all waiting requests is
   expensive, and under high load an iteration handles many events.  */
static void
on_before_poll (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  rly_t *rly = watcher->data;

  if (rly->table != NULL)
    run_scheduled_dispatches (rly, clock_now ());
}

rly_t *
rly_new (struct ev_loop *loop, const rly_names_t *names,
         const rly_settings_t *settings, edp_set_t *endpoints, use_t *use,
         pfx_t *pfx, ret_t *ret)
{
  rly_t *rly = g_new0 (rly_t, 1);

  rly->ticked_at = CFD_TIME_NEVER;
  rly->loop = loop;
  rly->names = *names;
  rly->settings = *settings;
  rly->endpoints = endpoints;
  rly->use = use;
  rly->pfx = pfx;
  rly->ret = ret;
  rly->history = rth_new ();
  list_init (&rly->services);
  list_init (&rly->running);
  list_init (&rly->held);
  rly->stalled_since = CFD_TIME_NEVER;
  list_init (&rly->breaks);
  edp_set_set_break_callback (endpoints, rly_settle_breaks, rly);
  rly->routers = 1;
  ev_prepare_init (&rly->before_poll, on_before_poll);
  rly->before_poll.data = rly;
  /* Before the changes of this iteration are sent to the other routers.  */
  ev_set_priority (&rly->before_poll, EV_MAXPRI);
  ev_prepare_start (loop, &rly->before_poll);
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

/* A queue is freed together with its last request, so the requests are
   collected first.  */
static void
free_queues (rly_service_t *service)
{
  g_autoptr (GPtrArray) requests = g_ptr_array_new ();

  list_for_each (node, &service->queues)
    {
      rly_queue_t *queue = list_entry (node, rly_queue_t, node);

      list_for_each (inner, &queue->requests)
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
  ev_prepare_stop (rly->loop, &rly->before_poll);
  edp_set_set_break_callback (rly->endpoints, NULL, NULL);
  rly_clear_breaks (rly);
  free_requests (&rly->running);
  list_for_each_safe (node, &rly->services)
    {
      rly_service_t *service = list_entry (node, rly_service_t, node);

      free_queues (service);
      service_free (service);
    }
  rte_table_unref (rly->table);
  rth_free (rly->history);
  g_free (rly);
}

void
rly_set_lag (rly_t *rly, lag_t *lag)
{
  rly->lag = lag;
}

void
rly_set_shedding (rly_t *rly, const shd_t *shd)
{
  rly->shd = shd;
}

void
rly_set_rollouts (rly_t *rly, rol_t *rol)
{
  rly->rol = rol;
}

void
rly_set_origins (rly_t *rly, org_t *org)
{
  rly->org = org;
  org_set_stored_callback (org, rly_on_stored, rly);
}

rly_service_t *
rly_find_or_add_service (rly_t *rly, const char *name)
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
  fit_init (&service->first_token_fit, INITIAL_BASE_MS, INITIAL_MS_PER_TOKEN);
  service->event_ms = INITIAL_EVENT_MS;
  fit_init (&service->prefill_fit, INITIAL_IDLE_BASE_MS, INITIAL_MS_PER_TOKEN);
  list_init (&service->queues);
  bud_init (&service->retry_budget, rly->settings.retry_window_ms,
            rly->settings.retry_ratio * RETRY_BUDGET_SHARE,
            rly->settings.retry_slack * RETRY_BUDGET_SHARE / rly->routers);
  list_init (&service->node);
  list_append (&rly->services, &service->node);
  return service;
}

bool
rly_is_enabled (const rly_t *rly, mech_t mechanism)
{
  return (rly->settings.disabled & mechanism) == 0;
}

const char *
rly_get_account_name (const rly_request_t *request)
{
  return request->account != NULL ? request->account->name : "";
}

bool
rly_is_past_deadline (const rly_request_t *request, cfd_time_t now)
{
  return now >= MIN (request->deadline, request->route_deadline);
}

void
rly_add_failure (rly_request_t *request, const edp_t *edp)
{
  if (request->failed_count < RLY_MAX_TRIES)
    request->failed_at[request->failed_count++] = edp->hash;
}

bool
rly_has_failed_at (const rly_request_t *request, const edp_t *edp)
{
  for (unsigned i = 0; i < request->failed_count; i++)
    if (request->failed_at[i] == edp->hash)
      return true;
  return false;
}

static void
find_longest_stream (void *user, const rte_route_t *route)
{
  int64_t *longest_ms = user;
  int64_t length_ms = route->timeout_ms > 0 ? route->timeout_ms
                                            : (int64_t)DEFAULT_DEADLINE_MS;

  if (route->kind == RTE_STREAM && route->resumable)
    *longest_ms = MAX (*longest_ms, length_ms);
}

/* Extends the time for which is remembered where streams began: an attempt
   lasts until its route's time-out, and its caller comes back within a
   moment.  */
static void
extend_stream_memory (const rly_t *rly, const rte_table_t *table)
{
  int64_t longest_ms = 0;

  rte_table_foreach_route (table, find_longest_stream, &longest_ms);
  rth_extend_keep_ms (rly->history, longest_ms + RESUME_DELAY_MS);
  if (rly->org != NULL)
    org_extend_keep_ms (rly->org, longest_ms + RESUME_DELAY_MS);
}

void
rly_set_table (rly_t *rly, rte_table_t *table, cfd_time_t now)
{
  bool is_wider;

  if (rly->table != NULL
      && rte_table_version (table) <= rte_table_version (rly->table))
    return;
  log_info ("relay",
            "A configuration is in force: version=%" G_GUINT64_FORMAT
            " routes=%u.",
            rte_table_version (table), rte_table_route_count (table));
  rte_table_unref (rly->table);
  rly->table = rte_table_ref (table);
  extend_stream_memory (rly, table);
  is_wider = rth_set_table (rly->history, now, table);
  if (rly->org != NULL)
    org_set_several_until (rly->org, now, rth_get_several_until (rly->history),
                           is_wider);
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
      list_entry (node, rly_service_t, node)->retry_budget.min_retries
          = rly->settings.retry_slack * RETRY_BUDGET_SHARE / rly->routers;
    }
}

void
rly_set_list_old (rly_t *rly, bool is_list_old)
{
  rly->is_list_old = is_list_old;
}

void
rly_stop_accepting (rly_t *rly)
{
  rly->is_draining = true;
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
    rly_detach (request, true);
  if (request->queue != NULL)
    rly_dequeue (request);
  list_remove (&request->node);
  list_remove (&request->held_node);
  rly_answer_clear (&request->answer);
  pfx_prompt_free (request->prompt);
  if (request->parts != NULL)
    g_array_unref (request->parts);
  rte_table_unref (request->table);
  g_free (request->id);
  g_free (request);
}

/* Returns the key of "SCHEME KEY"; NULL when there is none.  */
static const char *
parse_key (const rly_t *rly, const hdr_t *fields)
{
  const char *text = hdr_get (fields, "Authorization");
  size_t scheme = strlen (rly->names.key_scheme);

  if (text == NULL
      || g_ascii_strncasecmp (text, rly->names.key_scheme, scheme) != 0
      || text[scheme] != ' ')
    return NULL;
  return text + scheme + 1 + strspn (text + scheme + 1, " ");
}

/* Parses "PROMPT,OUTPUT" and returns OUTPUT, the maximum of generated tokens.
 */
static double
parse_max_output_tokens (const hdr_t *fields, const char *name)
{
  const char *text = hdr_get (fields, name);
  const char *comma = text != NULL ? strchr (text, ',') : NULL;

  return hdr_parse_number (comma != NULL ? comma + 1 : NULL, MAX_OUTPUT_TOKENS,
                           0.);
}

static void
parse_prompt_fields (rly_request_t *request, const hdr_t *fields)
{
  const rly_names_t *names = &request->rly->names;
  const char *prompt = hdr_get (fields, names->prompt);

  if (prompt != NULL)
    request->prompt = pfx_prompt_parse (prompt);
  request->output_tokens = hdr_parse_number (
      hdr_get (fields, names->length_hint), MAX_OUTPUT_TOKENS,
      parse_max_output_tokens (fields, names->token_counts));
}

/* Returns the cost of REQUEST in its account's usage.  */
static double
compute_cost (const rly_request_t *request)
{
  if (request->prompt == NULL)
    return PLAIN_REQUEST_COST;
  return request->prompt->tokens + OUTPUT_WEIGHT * request->output_tokens;
}

static void
refuse_on_arrival (rly_t *rly, ent_call_t *call, unsigned status,
                   const char *reason, int retry_ms)
{
  const char *id
      = hdr_get (&ent_get_head (call)->fields, rly->names.request_id);
  g_autofree char *fields = NULL;

  log_info ("relay",
            "A request was refused on arrival: request=%s status=%u "
            "reason=%s.",
            id != NULL ? id : "", status, reason);
  rly->counts.refused++;
  if (status == 503)
    fields = g_strdup_printf ("Retry-After: %.3f\r\n", retry_ms / 1000.);
  ent_respond (call, status, fields, NULL, 0);
}

/* Returns since when routers let the caller of REQUEST wait.  */
static cfd_time_t
find_wait_start (rly_request_t *request, const hdr_t *fields)
{
  cfd_time_t upload_ms = request->received_at - request->arrived_at;
  const char *prompt = hdr_get (fields, request->rly->names.prompt);
  const GByteArray *body = ent_get_body (request->call);

  if (request->prompt == NULL)
    return request->received_at;
  request->retry_key = ret_request_key (rly_get_account_name (request), prompt,
                                        body->data, body->len);
  return ret_take_first_attempt (request->rly->ret, request->arrived_at,
                                 request->retry_key)
         + upload_ms;
}

static rly_request_t *
request_new (rly_t *rly, ent_call_t *call, const rte_route_t *route,
             const rte_account_t *account)
{
  const hdr_t *fields = &ent_get_head (call)->fields;
  const char *last_event = hdr_get (fields, rly->names.last_event);
  rly_request_t *request = g_new0 (rly_request_t, 1);
  double deadline = hdr_parse_number (hdr_get (fields, rly->names.deadline_ms),
                                      MAX_DEADLINE_MS, DEFAULT_DEADLINE_MS);

  request->rly = rly;
  request->call = call;
  request->table = rte_table_ref (rly->table);
  request->route = route;
  request->account = account;
  request->id = g_strdup (hdr_get (fields, rly->names.request_id));
  request->arrived_at = ent_get_start_time (call);
  request->received_at = ent_get_receive_time (call);
  request->deadline = request->arrived_at + (int64_t)deadline;
  request->route_deadline = CFD_TIME_NEVER;
  if (route->timeout_ms > 0)
    request->route_deadline = request->received_at + route->timeout_ms;
  list_init (&request->node);
  list_init (&request->held_node);
  evs_init (&request->answer.events);
  /* The endpoint may repeat events that the caller has.  */
  if (last_event != NULL && route->kind == RTE_STREAM && route->resumable)
    evs_set_last_id (&request->answer.events, last_event);
  request->answer.fields = g_string_new (NULL);
  request->answer.body = g_string_new (NULL);
  parse_prompt_fields (request, fields);
  request->cost = compute_cost (request);
  request->content_key = rly_compute_content_key (request);
  request->waiting_since = find_wait_start (request, fields);
  return request;
}

/* To be called once the service of REQUEST is known.  */
static void
parse_parts (rly_request_t *request)
{
  const char *prompt = hdr_get (&ent_get_head (request->call)->fields,
                                request->rly->names.prompt);

  if (prompt != NULL)
    request->parts = prt_parse (request->service->name, prompt);
}

/* Refuses a request for a stream that can't be resumed here.  Its caller may
   start the stream again, or come back once the stored records were read.  */
static void
refuse_resumption (rly_request_t *request, cfd_time_t now,
                   rly_resume_t outcome)
{
  bool is_loading
      = outcome == RLY_RESUME_UNKNOWN && org_is_loading (request->rly->org);

  rly_refuse_for (request, now,
                  outcome == RLY_RESUME_UNAVAILABLE ? "version-unavailable"
                                                    : "version-unknown",
                  is_loading ? LOADING_RETRY_MS : 0);
}

/* Returns whether a new request is refused because this router lacks processor
   time.  */
static bool
must_shed (const rly_t *rly)
{
  return rly->shd != NULL && !shd_admits (rly->shd, g_random_double ());
}

/* Finds the route and the account of CALL, NULL if it is anonymous.  Responds
   to CALL and returns NULL when there is no route, or its key is unknown.  */
static const rte_route_t *
find_route (rly_t *rly, ent_call_t *call, const rte_account_t **account)
{
  const rd_head_t *head = ent_get_head (call);
  const char *host = hdr_get (&head->fields, "Host");
  const char *key = parse_key (rly, &head->fields);
  const rte_route_t *route
      = host != NULL ? rte_find_route (rly->table, host, head->target) : NULL;

  *account = NULL;
  if (route == NULL)
    {
      refuse_on_arrival (rly, call, 404, "no-route", 0);
      return NULL;
    }
  if (key != NULL)
    *account = rte_find_account (rly->table, key);
  if (*account == NULL && !route->allows_anonymous
      && rte_table_has_accounts (rly->table))
    {
      refuse_on_arrival (rly, call, 401, "unknown-key", 0);
      return NULL;
    }
  return route;
}

const char *
rly_on_head (void *user, ent_call_t *call)
{
  rly_t *rly = user;
  const rte_account_t *account;

  if (rly->table == NULL)
    return "";
  /* What is refused here is not read on.  */
  ent_close_after (call);
  if (find_route (rly, call, &account) == NULL)
    {
      rly->counts.requests++;
      return NULL;
    }
  return account != NULL ? account->name : "";
}

void
rly_on_request (void *user, ent_call_t *call)
{
  rly_t *rly = user;
  const rte_account_t *account;
  const rte_route_t *route;
  rly_request_t *request;
  rly_resume_t outcome;
  cfd_time_t now = clock_now ();

  rly->counts.requests++;
  if (must_shed (rly))
    {
      rly->counts.lacked_processor++;
      /* The retry comes on a new connection, by which it reaches another
         router.  */
      ent_close_after (call);
      refuse_on_arrival (
          rly, call, 503, "processor",
          g_random_int_range (MIN_SHED_RETRY_MS, MAX_SHED_RETRY_MS));
      return;
    }
  if (rly->table == NULL || rly->is_draining)
    {
      refuse_on_arrival (rly, call, 503,
                         rly->is_draining ? "shutdown" : "no-configuration",
                         NO_CONFIG_RETRY_MS);
      return;
    }
  route = find_route (rly, call, &account);
  if (route == NULL)
    return;
  request = request_new (rly, call, route, account);
  ent_set_data (call, request);
  request->service = rly_find_or_add_service (
      rly, rte_choose_service (route, g_random_double ()));
  outcome = rly_bind_origin (request, now);
  parse_parts (request);
  bud_count_request (&request->service->retry_budget, now);
  use_add_demand (rly->use, now, rly_get_account_name (request),
                  request->cost);
  rly_enqueue (request);
  /* The time may be over when the last byte of the body comes.  */
  if (rly_is_past_deadline (request, now))
    rly_refuse_for (request, now, "deadline", 0);
  else if (rly_is_quarantined (request, now))
    rly_refuse_quarantined (request, now);
  else if (rly_is_part_quarantined (request, now))
    rly_refuse_part (request, now);
  else if (outcome == RLY_RESUME_UNKNOWN || outcome == RLY_RESUME_UNAVAILABLE)
    refuse_resumption (request, now, outcome);
  else if (!rly_refuse_early (request, now))
    rly_schedule_dispatch (request->service);
}

void
rly_on_disconnect (void *user, ent_call_t *call)
{
  rly_t *rly = user;
  rly_request_t *request = ent_get_data (call);
  rly_service_t *service;

  if (request == NULL)
    return;
  rly->counts.disconnected++;
  log_info ("relay",
            "A caller left: request=%s endpoint=%s began=%d attempts=%u "
            "events=%u.",
            request->id, request->edp != NULL ? request->edp->report->id : "",
            request->head_sent, request->attempts,
            request->answer.events.events);
  service = request->service;
  rly_request_free (request);
  rly_schedule_dispatch (service);
}

static void
update_running (rly_t *rly, cfd_time_t now)
{
  list_for_each_safe (node, &rly->running)
    {
      rly_check_timeouts (list_entry (node, rly_request_t, node), now);
    }
}

/* Returns by how much a tick is late; 0 when that is normal on a shared
   machine.  */
static int64_t
get_late_ms (const rly_t *rly, cfd_time_t now)
{
  int64_t late_ms = now - rly->ticked_at - RLY_TICK_MS;

  if (rly->ticked_at == CFD_TIME_NEVER || late_ms <= MAX_LATE_MS)
    return 0;
  return late_ms;
}

/* Records a tick, and the time by which it is late, as this router lacks
   processor time.  */
static void
note_tick (rly_t *rly, cfd_time_t now)
{
  int64_t late_ms = get_late_ms (rly, now);

  rly->lost_ms += late_ms;
  if (late_ms > 0)
    rly->late_at = now;
  rly->ticked_at = now;
}

bool
rly_was_on_time (const rly_t *rly, cfd_time_t since, cfd_time_t now)
{
  /* The tick after a delay may come after what the delay held up.  */
  return get_late_ms (rly, now) == 0 && rly->late_at < since;
}

void
rly_tick (rly_t *rly, cfd_time_t now)
{
  note_tick (rly, now);
  if (now - rly->last_level_update >= LEVEL_UPDATE_INTERVAL_MS)
    {
      rly->last_level_update = now;
      use_update_level (rly->use, now);
    }
  rly_count_buffered (rly);
  update_running (rly, now);
  rly_check_held (rly, now);
  edp_set_check_breaks (rly->endpoints, now);
  rly_decide_parts (rly, now);
  if (rly->table != NULL)
    update_waiting (rly, now);
  if (now - rly->last_sweep < SWEEP_INTERVAL_MS)
    return;
  rly->last_sweep = now;
  edp_set_sweep (rly->endpoints, now);
  pfx_evict_expired (rly->pfx, now);
  ret_sweep (rly->ret, now);
  if (rly->org != NULL)
    org_sweep (rly->org, now);
  if (rly->qua != NULL)
    qua_sweep (rly->qua, now);
  if (rly->prt != NULL)
    prt_sweep (rly->prt, now);
}
