/* Load from the callers' side.  */

#include "load.h"
#include "http/fetch.h"
#include "load-make.h"
#include "load-tally.h"
#include "standin.h"
#include <string.h>

#define RETRY_DELAY_MS 250

struct load
{
  struct ev_loop *loop;
  const load_plan_t *plan;
  fetch_pool_t *pool;
  GRand *random;
  GPtrArray *requests;
  GPtrArray *samples;
  GPtrArray *callers;
  GArray *intervals;
  GArray *delays;
  ev_timer sampler;
  load_tally_t *tally;
  unsigned active;
  int64_t began_us;
  bool stopped;
};

/* One closed loop of an account: at most one request at a time.  */
typedef struct
{
  load_t *load;
  unsigned account;
  ev_timer pause;
  load_request_t *request;
  fetch_t *fetch;
  bool has_paused;
  GString *received; /* an incomplete line, or the whole body */
  bool received_done;
  bool has_wrong_content;
} caller_t;

static const char *const kind_names[]
    = { "stream", "whole", "completion", "lookup", "post", "post-bare" };

const char *
load_kind_name (load_kind_t kind)
{
  return kind_names[kind];
}

bool
load_kind_is_model (load_kind_t kind)
{
  return kind <= LOAD_COMPLETION;
}

static const load_account_t *
get_account (const caller_t *caller)
{
  return caller->load->plan->accounts->pdata[caller->account];
}

static void
request_free (gpointer data)
{
  load_request_t *request = data;

  g_free (request->nonce);
  g_free (request->detail);
  g_free (request);
}

static void
on_sample (struct ev_loop *loop, ev_timer *watcher, int events)
{
  load_t *load = watcher->data;

  g_ptr_array_add (load->samples,
                   load_tally_take_sample (load->tally, clock_now_us ()));
}

/* Records the arrival of the first byte of the content.  */
static void
record_first_byte (caller_t *caller, int64_t now_us)
{
  load_t *load = caller->load;
  load_request_t *request = caller->request;

  if (request->first_byte_us != 0)
    return;
  request->first_byte_us = now_us;
  if (load_kind_is_model (request->kind))
    load_tally_add_first_byte (load->tally, request);
}

static void
record_tokens (caller_t *caller, unsigned count, int64_t now_us)
{
  load_t *load = caller->load;
  load_request_t *request = caller->request;

  record_first_byte (caller, now_us);
  if (request->tokens > 0 && count == 1)
    {
      float interval = (float)(now_us - request->last_us) / 1000;
      g_array_append_val (load->intervals, interval);
    }
  request->last_us = now_us;
  request->tokens += count;
  load_tally_add_tokens (load->tally, request, count);
}

/* Records the delay of a token; the line has the time at which the engine
   produced it.  */
static void
record_delay (load_t *load, const char *line, int64_t now_us)
{
  const char *stamp = strstr (line, "\"t\":");

  if (stamp == NULL)
    return;
  float delay = (float)(now_us - g_ascii_strtoll (stamp + 4, NULL, 10)) / 1000;
  g_array_append_val (load->delays, delay);
}

/* Reads the time at which the engine received the request from the last event
   of a stream.  */
static void
record_engine_start (load_request_t *request, const char *line)
{
  const char *started = strstr (line, "\"started\":");

  if (started != NULL)
    request->engine_start_us
        = g_ascii_strtoll (strchr (started, ':') + 1, NULL, 10) * 1000;
}

/* Parses and checks one "data: " line of a stream.  */
static void
parse_event_line (caller_t *caller, const char *line, int64_t now_us)
{
  load_request_t *request = caller->request;
  const char *content_start
      = strstr (line, request->kind == LOAD_COMPLETION ? "\"text\":\""
                                                       : "\"content\":\"");
  char token[STANDIN_MAX_TOKEN_BYTES];

  if (strcmp (line, "data: [DONE]") == 0)
    caller->received_done = true;
  if (content_start == NULL)
    {
      record_engine_start (request, line);
      return;
    }
  content_start = strchr (content_start, ':') + 2;
  standin_format_token (token, caller->load->plan->answer_seed, request->nonce,
                        request->tokens);
  if (strncmp (content_start, token, strlen (token)) != 0
      || content_start[strlen (token)] != '"')
    caller->has_wrong_content = true;
  record_delay (caller->load, line, now_us);
  record_tokens (caller, 1, now_us);
}

static void
schedule (caller_t *caller, double after_ms)
{
  ev_timer_stop (caller->load->loop, &caller->pause);
  ev_timer_set (&caller->pause, after_ms / 1000, 0);
  ev_timer_start (caller->load->loop, &caller->pause);
}

/* Pauses reading key_header, to simulate a slow reader.  */
static void
pause_reading (caller_t *caller)
{
  unsigned read_pause_ms = caller->load->plan->read_pause_ms;

  if (read_pause_ms == 0 || caller->has_paused)
    return;
  caller->has_paused = true;
  fetch_pause (caller->fetch, true);
  schedule (caller, read_pause_ms);
}

static void
on_data (void *user, const void *bytes, size_t length)
{
  caller_t *caller = user;
  load_request_t *request = caller->request;
  int64_t now_us = clock_now_us ();

  pause_reading (caller);
  g_string_append_len (caller->received, bytes, (gssize)length);
  if (request->kind == LOAD_NON_STREAM || !load_kind_is_model (request->kind)
      || request->status >= 300)
    return;
  char *start = caller->received->str;
  for (char *end; (end = strchr (start, '\n')) != NULL; start = end + 1)
    {
      *end = '\0';
      parse_event_line (caller, start, now_us);
    }
  g_string_erase (caller->received, 0, start - caller->received->str);
}

static void
on_head (void *user, unsigned status, const char *const *headers)
{
  caller_t *caller = user;

  caller->request->status = status;
}

/* Returns true if a non-streaming answer is complete and belongs to the
   request.  */
static bool
is_body_correct (caller_t *caller, int64_t now_us)
{
  load_request_t *request = caller->request;
  const char *text = caller->received->str;

  if (request->kind == LOAD_NON_STREAM)
    {
      g_autofree char *answer = standin_format_answer (
          caller->load->plan->answer_seed, request->nonce, request->length);
      g_autofree char *content
          = g_strconcat ("\"content\":\"", answer, "\"", NULL);
      if (strstr (text, content) == NULL)
        return false;
      record_tokens (caller, request->length, now_us);
      return true;
    }
  g_autofree char *nonce
      = g_strconcat ("\"nonce\":\"", request->nonce, "\"", NULL);
  record_first_byte (caller, now_us);
  return strstr (text, nonce) != NULL;
}

static load_outcome_t
classify_outcome (caller_t *caller, fetch_result_t result, const char *detail)
{
  load_request_t *request = caller->request;

  if (g_str_equal (detail, FETCH_MALFORMED))
    return LOAD_INCORRECT;
  if (result != FETCH_COMPLETE)
    return caller->has_wrong_content ? LOAD_INCORRECT : LOAD_INCOMPLETE;
  if (request->status >= 300)
    {
      request->not_run = strstr (caller->received->str, "\"not-run\"") != NULL;
      return LOAD_REFUSED;
    }
  if (request->kind == LOAD_STREAM || request->kind == LOAD_COMPLETION)
    return caller->received_done && !caller->has_wrong_content
                   && request->tokens == request->length
               ? LOAD_CORRECT
               : LOAD_INCORRECT;
  return is_body_correct (caller, clock_now_us ()) ? LOAD_CORRECT
                                                   : LOAD_INCORRECT;
}

static void
on_done (void *user, fetch_result_t result, unsigned status, const char *body,
         size_t length, const char *detail)
{
  caller_t *caller = user;
  load_t *load = caller->load;
  load_request_t *request = caller->request;

  request->status = status;
  request->end = classify_outcome (caller, result, detail);
  request->last_us = clock_now_us ();
  if (request->end != LOAD_CORRECT)
    request->detail
        = g_strdup (result == FETCH_COMPLETE ? caller->received->str : detail);
  if (request->first_byte_us == 0 && load_kind_is_model (request->kind))
    load_tally_remove_waiting (load->tally, request);
  load->active--;
  caller->request = NULL;
  schedule (caller, request->end == LOAD_CORRECT
                        ? get_account (caller)->think_ms
                        : RETRY_DELAY_MS);
}

static load_request_t *
request_new (caller_t *caller)
{
  load_t *load = caller->load;
  const load_account_t *account = get_account (caller);
  load_request_t *request = g_new0 (load_request_t, 1);

  request->account = caller->account;
  request->kind = load_choose_kind (load->random, account);
  request->router = load_choose_router (load->plan, load->random, account);
  request->length = (unsigned)g_rand_int_range (
      load->random, (gint32)account->min_answer_tokens,
      (gint32)account->max_answer_tokens + 1);
  request->nonce = g_strdup_printf ("n%u-%08x", load->requests->len,
                                    g_rand_int (load->random));
  request->started_us = clock_now_us ();
  g_ptr_array_add (load->requests, request);
  return request;
}

static void
send_request (caller_t *caller)
{
  load_t *load = caller->load;
  load_request_t *request = request_new (caller);
  const load_account_t *account = get_account (caller);
  g_autofree char *key
      = g_strconcat ("Authorization: Bearer ", account->key, NULL);
  g_autofree char *key_header
      = g_strconcat ("Idempotency-Key: ", request->nonce, NULL);
  g_autofree char *url = load_build_url (load->plan, request);
  g_autofree char *body = load_build_body (load->plan, load->random, request);
  const char *headers[]
      = { key, "Content-Type: application/json",
          request->kind == LOAD_POST ? key_header : NULL, NULL };
  const fetch_request_t fetch
      = { .method = request->kind == LOAD_LOOKUP ? "GET" : "POST",
          .url = url,
          .headers = headers,
          .body = body,
          .body_length = body != NULL ? strlen (body) : 0,
          .connect_timeout_ms = 3000,
          .total_timeout_ms = 60000,
          .idle_timeout_ms = load->plan->idle_timeout_ms,
          .head = on_head,
          .data = on_data,
          .done = on_done,
          .user = caller };

  caller->request = request;
  caller->received_done = false;
  caller->has_wrong_content = false;
  g_string_truncate (caller->received, 0);
  if (load_kind_is_model (request->kind))
    load_tally_add_waiting (load->tally, request);
  load->active++;
  caller->has_paused = false;
  caller->fetch = fetch_start (load->pool, &fetch);
}

/* Returns the milliseconds left in the off part of an account's on/off cycle;
   0 in the on part.  */
static double
get_off_time_left_ms (const caller_t *caller)
{
  const load_account_t *account = get_account (caller);
  double period_ms = account->on_ms + account->off_ms;

  if (account->off_ms <= 0)
    return 0;
  double elapsed_ms
      = (double)(clock_now_us () - caller->load->began_us) / 1000;
  double in_period_ms
      = elapsed_ms - period_ms * (double)(int64_t)(elapsed_ms / period_ms);
  return in_period_ms < account->on_ms ? 0 : period_ms - in_period_ms;
}

static void
on_pause_over (struct ev_loop *loop, ev_timer *watcher, int events)
{
  caller_t *caller = watcher->data;
  load_t *load = caller->load;
  unsigned limit = load->plan->request_limit;
  double wait = get_off_time_left_ms (caller);

  if (caller->request != NULL)
    {
      fetch_pause (caller->fetch, false);
      return;
    }
  if (load->stopped || (limit > 0 && load->requests->len >= limit))
    return;
  if (wait > 0)
    schedule (caller, wait + 1);
  else
    send_request (caller);
}

static void
caller_free (gpointer data)
{
  caller_t *caller = data;

  ev_timer_stop (caller->load->loop, &caller->pause);
  g_string_free (caller->received, TRUE);
  g_free (caller);
}

load_t *
load_new (struct ev_loop *loop, const load_plan_t *plan)
{
  load_t *load = g_new0 (load_t, 1);

  load->loop = loop;
  load->plan = plan;
  load->pool = fetch_pool_new (loop);
  load->random = g_rand_new_with_seed ((guint32)plan->seed);
  load->requests = g_ptr_array_new_with_free_func (request_free);
  load->samples = g_ptr_array_new_with_free_func (load_sample_free);
  load->callers = g_ptr_array_new_with_free_func (caller_free);
  load->intervals = g_array_new (FALSE, FALSE, sizeof (float));
  load->delays = g_array_new (FALSE, FALSE, sizeof (float));
  load->tally = load_tally_new (plan);
  ev_timer_init (&load->sampler, on_sample, 0,
                 LOAD_SAMPLE_INTERVAL_MS / 1000.0);
  load->sampler.data = load;
  return load;
}

void
load_free (load_t *load)
{
  ev_timer_stop (load->loop, &load->sampler);
  fetch_pool_free (load->pool);
  g_ptr_array_unref (load->callers);
  g_ptr_array_unref (load->requests);
  g_ptr_array_unref (load->samples);
  g_array_unref (load->intervals);
  g_array_unref (load->delays);
  g_rand_free (load->random);
  load_tally_free (load->tally);
  g_free (load);
}

void
load_start (load_t *load)
{
  load->began_us = clock_now_us ();
  for (unsigned i = 0; i < load->plan->accounts->len; i++)
    {
      const load_account_t *account = load->plan->accounts->pdata[i];
      for (unsigned j = 0; j < account->outstanding; j++)
        {
          caller_t *caller = g_new0 (caller_t, 1);
          caller->load = load;
          caller->account = i;
          caller->received = g_string_new (NULL);
          ev_timer_init (&caller->pause, on_pause_over, 0, 0);
          caller->pause.data = caller;
          g_ptr_array_add (load->callers, caller);
          schedule (caller, g_rand_double_range (load->random, 0, 300));
        }
    }
  ev_timer_start (load->loop, &load->sampler);
}

void
load_stop (load_t *load)
{
  load->stopped = true;
}

unsigned
load_count_active (const load_t *load)
{
  return load->active;
}

unsigned
load_count_accounts (const load_t *load)
{
  return load->plan->accounts->len;
}

const GPtrArray *
load_get_requests (const load_t *load)
{
  return load->requests;
}

const GPtrArray *
load_get_samples (const load_t *load)
{
  return load->samples;
}

const GArray *
load_get_intervals (const load_t *load)
{
  return load->intervals;
}

const GArray *
load_get_delays (const load_t *load)
{
  return load->delays;
}
