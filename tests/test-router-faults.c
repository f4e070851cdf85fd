/* What callers see when agents, links, routers or the platform fail.  Each
   test has its own small fleet of real processes.  */

#include "call.h"
#include "fleet.h"
#include "load.h"
#include <json-glib/json-glib.h>
#include <signal.h>
#include <string.h>

#define KEY "key-of-a"
#define MAX_WAIT_MS 20000

static const fleet_account_t accounts[] = { { "a", KEY, 1 } };

/* Router I and agent I are in zone I modulo 2; agent 0 serves the model, agent
   PLAIN_AGENT the plain service.  */
#define PLAIN_AGENT 1

static fleet_t *
start_fleet (double step_ms, double plain_call_ms, unsigned plain_slots)
{
  const fleet_plan_t plan = { .zones = 2,
                              .routers = 2,
                              .models = 1,
                              .plains = 1,
                              .slots = 4,
                              .slots_cold = 4,
                              .plain_slots = plain_slots,
                              .cold_ms = 100,
                              .step_ms = step_ms,
                              .plain_call_ms = plain_call_ms,
                              .zone_ms = 0.5,
                              .seed = 5,
                              .policy = "fleet",
                              .account_count = 1,
                              .accounts = accounts };
  g_autoptr (GError) error = NULL;
  fleet_t *fleet = fleet_new (&plan, &error);

  g_assert_no_error (error);
  return fleet;
}

static void
stop_fleet (fleet_t *fleet)
{
  fleet_free (fleet, g_test_failed ());
}

static call_t *
start_stream (fleet_t *fleet, unsigned router, unsigned tokens)
{
  g_autofree char *base = fleet_get_direct_url (fleet, router);
  g_autofree char *body = g_strdup_printf (
      "{\"model\":\"" FLEET_MODEL_SERVICE
      "\",\"stream\":true,\"max_tokens\":%u,"
      "\"messages\":[{\"role\":\"user\",\"content\":\"nonce=n length=%u\"}]}",
      tokens, tokens);

  return call_start (base, "POST", "/v1/chat/completions", KEY, NULL, body);
}

static call_t *
start_post (fleet_t *fleet, unsigned router, const char *nonce,
            const char *idempotency_key)
{
  g_autofree char *base = fleet_get_direct_url (fleet, router);
  g_autofree char *body = g_strdup_printf ("{\"nonce\":\"%s\"}", nonce);
  g_autofree char *header
      = idempotency_key != NULL
            ? g_strdup_printf ("Idempotency-Key: %s\r\n", idempotency_key)
            : NULL;

  return call_start (base, "POST", "/services/" FLEET_PLAIN_SERVICE "/entries",
                     KEY, header, body);
}

static call_t *
start_lookup (fleet_t *fleet, unsigned router, const char *nonce)
{
  g_autofree char *base = fleet_get_direct_url (fleet, router);
  g_autofree char *path = g_strdup_printf (
      "/services/" FLEET_PLAIN_SERVICE "/entries/7?nonce=%s", nonce);

  return call_start (base, "GET", path, KEY, NULL, NULL);
}

/* Counts how often the plain service ran the request with NONCE.  */
static unsigned
count_executions (fleet_t *fleet, const char *nonce)
{
  g_autofree char *base = fleet_get_url (fleet, FLEET_ENDPOINT, PLAIN_AGENT);
  g_autofree char *url = g_strconcat (base, "/control/counters", NULL);
  long status = 0;
  g_autofree char *text = proc_send_http (NULL, url, NULL, NULL, &status);
  g_autoptr (JsonParser) parser = json_parser_new ();

  g_assert_true (json_parser_load_from_data (parser, text, -1, NULL));
  JsonObject *nonces = json_object_get_object_member (
      json_node_get_object (json_parser_get_root (parser)), "nonces");
  return (unsigned)json_object_get_double_member_with_default (nonces, nonce,
                                                               0);
}

static void
wait_until_executed (fleet_t *fleet, const char *nonce)
{
  for (int i = 0; i < MAX_WAIT_MS / 10 && count_executions (fleet, nonce) == 0;
       i++)
    g_usleep (10000);
  g_assert_cmpuint (count_executions (fleet, nonce), ==, 1);
}

static void
wait_for_metric (fleet_t *fleet, fleet_role_t sort, unsigned index,
                 const char *name, double min_value)
{
  for (int i = 0; i < MAX_WAIT_MS / 10; i++)
    {
      if (fleet_sum_metric (fleet, sort, index, name) >= min_value)
        return;
      g_usleep (10000);
    }
  g_assert_not_reached ();
}

static void
set_platform_mode (fleet_t *fleet, const char *mode)
{
  g_autofree char *base = fleet_get_url (fleet, FLEET_PLATFORM, 0);
  g_autofree char *url = g_strconcat (base, "/control/faults", NULL);
  g_autofree char *body = g_strdup_printf ("{\"mode\":\"%s\"}", mode);
  long status = 0;
  g_autofree char *answer = proc_send_http ("PUT", url, NULL, body, &status);

  g_assert_cmpint (status, ==, 200);
}

/* Agents are killed while a stream, a POST and a lookup run.  The stream has
   been delivered in part: it is cut off, and its framing shows that.  The POST
   may have run: its caller gets one answer with the outcome "unknown", and it
   is never sent again.  The lookup may be repeated: the restarted agent
   answers it completely.  */
static void
test_agent_killed (void)
{
  fleet_t *fleet = start_fleet (20, 1500, 4);
  g_autoptr (call_t) streamed = start_stream (fleet, 0, 400);
  g_autoptr (call_t) posted = start_post (fleet, 0, "p", NULL);
  g_autoptr (call_t) looked = start_lookup (fleet, 0, "l");
  g_autoptr (GError) error = NULL;
  proc_t *plain = fleet_get_process (fleet, FLEET_AGENT, PLAIN_AGENT);

  g_assert_true (call_wait_for_text (streamed, "data: ", MAX_WAIT_MS));
  wait_until_executed (fleet, "p");
  wait_until_executed (fleet, "l");
  g_assert_true (proc_stop (fleet_get_process (fleet, FLEET_AGENT, 0), SIGKILL,
                            MAX_WAIT_MS));
  g_assert_true (proc_stop (plain, SIGKILL, MAX_WAIT_MS));
  g_assert_true (proc_restart (fleet_get_processes (fleet), plain, &error));
  g_assert_cmpint (call_read_to_end (streamed, MAX_WAIT_MS), ==,
                   CALL_INCOMPLETE);
  g_assert_cmpint (call_read_to_end (posted, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (posted), ==, 502);
  g_assert_nonnull (strstr (posted->text->str, "\"run\":\"unknown\""));
  g_assert_cmpint (call_read_to_end (looked, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (looked), ==, 200);
  g_assert_cmpuint (count_executions (fleet, "p"), ==, 1);
  stop_fleet (fleet);
}

/* The connection between router and agent stops delivering data for good in
   the middle of a stream and of a POST, while new ones work.  The router gets
   no answer to its heartbeats, reconnects and resumes by offset: callers see a
   pause and then the rest, and nothing runs twice.  */
static void
test_link_silent (void)
{
  fleet_t *fleet = start_fleet (10, 1000, 4);
  /* Agent 0 is in zone 0, the caller's router in zone 1; for the plain
     service it is the other way round.  */
  g_autoptr (call_t) streamed = start_stream (fleet, 1, 300);
  g_autoptr (call_t) posted = start_post (fleet, 0, "p", NULL);

  g_assert_true (call_wait_for_text (streamed, "data: ", MAX_WAIT_MS));
  wait_until_executed (fleet, "p");
  g_assert_true (fleet_set_relay_mode (fleet, "zone-1>zone-0", "silent"));
  g_assert_true (fleet_set_relay_mode (fleet, "zone-0>zone-1", "silent"));
  g_assert_cmpint (call_read_to_end (streamed, MAX_WAIT_MS), ==,
                   CALL_COMPLETE);
  g_assert_nonnull (strstr (streamed->text->str, "data: [DONE]"));
  g_assert_cmpint (call_read_to_end (posted, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (posted), ==, 200);
  g_assert_cmpuint (count_executions (fleet, "p"), ==, 1);
  g_assert_cmpfloat (
      fleet_sum_metric (fleet, FLEET_ROUTER, 1, "cfd_router_resumed_total"),
      >=, 1);
  stop_fleet (fleet);
}

/* A router is frozen while an agent grants it a slot, and answers with a POST
   after the grant has expired.  The agent confirms that it did not start the
   request, the router queues it again, and the caller gets one answer of one
   execution.  Repeated up to five times, because it depends on the machine's
   timing whether the grant falls into the pause.  */
static void
test_answer_after_lapse (void)
{
  fleet_t *fleet = start_fleet (10, 700, 1);
  proc_t *router = fleet_get_process (fleet, FLEET_ROUTER, 0);
  double returned = 0;

  for (unsigned round = 0; round < 5 && returned < 1; round++)
    {
      g_autofree char *first = g_strdup_printf ("first-%u", round);
      g_autofree char *second = g_strdup_printf ("second-%u", round);
      g_autoptr (call_t) holder = start_post (fleet, 1, first, NULL);
      wait_until_executed (fleet, first);
      g_autoptr (call_t) waiter = start_post (fleet, 0, second, NULL);
      wait_for_metric (fleet, FLEET_ROUTER, 0, "cfd_router_waiting", 1);
      kill (router->pid, SIGSTOP);
      g_assert_cmpint (call_read_to_end (holder, MAX_WAIT_MS), ==,
                       CALL_COMPLETE);
      g_usleep (1200000); /* longer than the lifetime of a grant */
      kill (router->pid, SIGCONT);
      g_assert_cmpint (call_read_to_end (waiter, MAX_WAIT_MS), ==,
                       CALL_COMPLETE);
      g_assert_cmpuint (call_get_status (waiter), ==, 200);
      g_assert_cmpuint (count_executions (fleet, second), ==, 1);
      returned = fleet_sum_metric (fleet, FLEET_ROUTER, 0,
                                   "cfd_router_returned_total");
    }
  g_assert_cmpfloat (returned, >=, 1);
  stop_fleet (fleet);
}

/* A caller repeats a POST with its Idempotency-Key through another router:
   while the first one runs the answer is "unknown", afterwards it is the
   stored answer, and the same key with another body is refused.  With the
   platform down, a new key is refused as not run, and is not run.  */
static void
test_asked_again (void)
{
  fleet_t *fleet = start_fleet (10, 1000, 4);
  g_autoptr (call_t) first = start_post (fleet, 0, "p", "key-1");

  wait_until_executed (fleet, "p");
  g_autoptr (call_t) during = start_post (fleet, 1, "p", "key-1");
  g_assert_cmpint (call_read_to_end (during, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (during), ==, 409);
  g_assert_nonnull (strstr (during->text->str, "\"run\":\"unknown\""));
  g_assert_cmpint (call_read_to_end (first, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (first), ==, 200);
  /* The answer is stored after the caller has received it.  */
  for (unsigned i = 0; i < 100; i++)
    {
      g_autoptr (call_t) after = start_post (fleet, 1, "p", "key-1");

      g_assert_cmpint (call_read_to_end (after, MAX_WAIT_MS), ==,
                       CALL_COMPLETE);
      if (call_get_status (after) == 409 && i < 99)
        {
          g_usleep (20000);
          continue;
        }
      g_assert_cmpuint (call_get_status (after), ==, 200);
      g_assert_nonnull (strstr (after->text->str, "Idempotent-Replayed"));
      g_assert_nonnull (strstr (after->text->str, "\"executions\":1"));
      break;
    }
  g_autoptr (call_t) other = start_post (fleet, 1, "q", "key-1");
  g_assert_cmpint (call_read_to_end (other, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (other), ==, 422);
  set_platform_mode (fleet, "down");
  g_autoptr (call_t) down = start_post (fleet, 1, "r", "key-2");
  g_assert_cmpint (call_read_to_end (down, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (down), ==, 503);
  g_assert_nonnull (strstr (down->text->str, "\"run\":\"not-run\""));
  g_assert_nonnull (strstr (down->text->str, "Retry-After: "));
  /* A POST that needs no claim is still served.  */
  g_autoptr (call_t) bare = start_post (fleet, 1, "s", NULL);
  g_assert_cmpint (call_read_to_end (bare, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (bare), ==, 200);
  g_assert_cmpuint (count_executions (fleet, "p"), ==, 1);
  g_assert_cmpuint (count_executions (fleet, "q"), ==, 0);
  g_assert_cmpuint (count_executions (fleet, "r"), ==, 0);
  stop_fleet (fleet);
}

/* A router is killed while a claimed POST runs.  Its caller's connection
   breaks.  The same key through the other router gets the answer "unknown" and
   no second run, because the outcome of the first is not known.  */
static void
test_router_killed (void)
{
  fleet_t *fleet = start_fleet (10, 1000, 4);
  g_autoptr (call_t) first = start_post (fleet, 0, "p", "key-1");
  g_autoptr (call_t) streamed = start_stream (fleet, 1, 100);

  wait_until_executed (fleet, "p");
  g_assert_true (proc_stop (fleet_get_process (fleet, FLEET_ROUTER, 0),
                            SIGKILL, MAX_WAIT_MS));
  g_assert_cmpint (call_read_to_end (first, MAX_WAIT_MS), ==, CALL_INCOMPLETE);
  g_autoptr (call_t) again = start_post (fleet, 1, "p", "key-1");
  g_assert_cmpint (call_read_to_end (again, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (again), ==, 409);
  g_assert_nonnull (strstr (again->text->str, "\"run\":\"unknown\""));
  g_assert_cmpint (call_read_to_end (streamed, MAX_WAIT_MS), ==,
                   CALL_COMPLETE);
  g_assert_cmpuint (count_executions (fleet, "p"), ==, 1);
  stop_fleet (fleet);
}

/* A router gets SIGTERM while a stream and a POST run, two POSTs are queued
   and the platform is down.  It accepts no new connections, all callers get
   complete answers, and the process exits once it has finished its claim,
   which must wait for the platform.  */
static void
test_drain (void)
{
  fleet_t *fleet = start_fleet (10, 700, 1);
  proc_t *router = fleet_get_process (fleet, FLEET_ROUTER, 0);
  g_autofree char *admin = fleet_get_admin_url (fleet, FLEET_ROUTER, 0);
  g_autofree char *ready = g_strconcat (admin, "/readyz", NULL);
  g_autoptr (call_t) streamed = start_stream (fleet, 0, 100);
  g_autoptr (call_t) running = start_post (fleet, 0, "p", NULL);
  long status = 0;

  g_assert_true (call_wait_for_text (streamed, "data: ", MAX_WAIT_MS));
  wait_until_executed (fleet, "p");
  g_autoptr (call_t) queued = start_post (fleet, 0, "q", NULL);
  g_autoptr (call_t) claimed = start_post (fleet, 0, "r", "key-1");
  wait_for_metric (fleet, FLEET_ROUTER, 0, "cfd_router_waiting", 2);
  set_platform_mode (fleet, "down");
  kill (router->pid, SIGTERM);
  for (int i = 0; i < MAX_WAIT_MS / 10 && status != 503; i++)
    {
      g_autofree char *answer
          = proc_send_http (NULL, ready, NULL, NULL, &status);
      g_usleep (10000);
    }
  g_autoptr (call_t) late = start_lookup (fleet, 0, "late");
  g_assert_cmpint (call_read_to_end (late, MAX_WAIT_MS), ==, CALL_INCOMPLETE);
  g_assert_cmpint (call_read_to_end (running, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpint (call_read_to_end (queued, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpint (call_read_to_end (claimed, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpint (call_read_to_end (streamed, MAX_WAIT_MS), ==,
                   CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (running), ==, 200);
  g_assert_cmpuint (call_get_status (queued), ==, 200);
  g_assert_cmpuint (call_get_status (claimed), ==, 200);
  g_assert_nonnull (strstr (streamed->text->str, "data: [DONE]"));
  /* Only the claim of the last POST is still to be finished.  */
  g_usleep (1000000);
  set_platform_mode (fleet, "up");
  for (int i = 0; i < MAX_WAIT_MS / 10 && proc_is_running (router); i++)
    g_usleep (10000);
  g_assert_false (proc_is_running (router));
  /* The claim was finished before the process exited.  */
  g_autoptr (call_t) after = start_post (fleet, 1, "r", "key-1");
  g_assert_cmpint (call_read_to_end (after, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (after), ==, 200);
  g_assert_cmpuint (count_executions (fleet, "r"), ==, 1);
  stop_fleet (fleet);
}

typedef struct
{
  load_t *load;
  proc_t *router;
  int64_t start_us;
  int64_t signalled_us; /* when the router got SIGTERM; 0 before */
} shutdown_t;

#define SIGNAL_AFTER_US 1500000
#define MAX_RUN_US 60000000

static void
on_shutdown_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  shutdown_t *down = watcher->data;
  int64_t now = clock_now_us ();

  if (down->signalled_us == 0 && now - down->start_us > SIGNAL_AFTER_US)
    {
      down->signalled_us = now;
      kill (down->router->pid, SIGTERM);
    }
  if (down->signalled_us != 0 && !proc_is_running (down->router))
    load_stop (down->load);
  if (now - down->start_us > MAX_RUN_US
      || (down->signalled_us != 0 && !proc_is_running (down->router)
          && load_count_active (down->load) == 0))
    ev_break (loop, EVBREAK_ALL);
}

/* Requests that the stopping router had before the signal are answered
   completely; later ones are answered completely too or get no connection.  */
static void
verify_shutdown (const shutdown_t *down)
{
  const GPtrArray *requests = load_get_requests (down->load);
  unsigned before = 0;

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = g_ptr_array_index (requests, i);

      if (request->router == 0 && request->started_us < down->signalled_us)
        {
          before++;
          g_assert_cmpint (request->end, ==, LOAD_CORRECT);
        }
      if (request->first_byte_us != 0)
        g_assert_cmpint (request->end, ==, LOAD_CORRECT);
      if (request->router == 1)
        g_assert_cmpint (request->end, ==, LOAD_CORRECT);
    }
  g_test_message ("%u requests before the signal, %u in all", before,
                  requests->len);
  g_assert_cmpuint (before, >, 10);
}

/* A planned stop of one of two routers under a mixed load with queued
   requests.  No request from before the signal and no answer that has begun is
   refused or cut off; callers of the other router are not affected.  */
static void
test_drain_under_load (void)
{
  fleet_t *fleet = start_fleet (10, 60, 2);
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  double router_shares[] = { 0.5, 0.5 };
  load_account_t account = { .name = (char *)"a",
                             .key = (char *)KEY,
                             .weight = 1,
                             .outstanding = 24,
                             .kinds = { 4, 2, 1, 2, 2, 1 },
                             .think_ms = 5,
                             .router_shares = router_shares,
                             .min_answer_tokens = 5,
                             .max_answer_tokens = 30 };
  g_autoptr (GPtrArray) all = g_ptr_array_new ();
  char *urls[]
      = { fleet_get_direct_url (fleet, 0), fleet_get_direct_url (fleet, 1) };
  load_plan_t plan = { .seed = 3,
                       .answer_seed = 5,
                       .routers = 2,
                       .urls = urls,
                       .model = FLEET_MODEL_SERVICE,
                       .plain = FLEET_PLAIN_SERVICE,
                       .idle_timeout_ms = MAX_WAIT_MS,
                       .accounts = all };
  shutdown_t down = { .router = fleet_get_process (fleet, FLEET_ROUTER, 0) };
  ev_timer check;

  g_ptr_array_add (all, &account);
  down.load = load_new (loop, &plan);
  ev_timer_init (&check, on_shutdown_timer, 0.02, 0.02);
  check.data = &down;
  ev_timer_start (loop, &check);
  down.start_us = clock_now_us ();
  load_start (down.load);
  ev_run (loop, 0);
  verify_shutdown (&down);
  load_free (down.load);
  ev_loop_destroy (loop);
  g_free (urls[0]);
  g_free (urls[1]);
  stop_fleet (fleet);
}

/* One caller disconnects during a stream, another during a POST.  The stream
   is cancelled and its slot released; the POST runs to its end.  */
static void
test_caller_leaves (void)
{
  fleet_t *fleet = start_fleet (20, 500, 1);
  call_t *streamed = start_stream (fleet, 0, 2000);
  call_t *posted = start_post (fleet, 0, "p", "key-1");

  g_assert_true (call_wait_for_text (streamed, "data: ", MAX_WAIT_MS));
  wait_until_executed (fleet, "p");
  call_free (streamed);
  call_free (posted);
  wait_for_metric (fleet, FLEET_ROUTER, 0, "cfd_router_ended_total", 2);
  g_assert_cmpfloat (
      fleet_sum_metric (fleet, FLEET_ROUTER, 0, "cfd_router_in_flight"), ==,
      0);
  /* The answer of the POST was stored for a repeat with the same key.  */
  g_usleep (200000);
  g_autoptr (call_t) again = start_post (fleet, 1, "p", "key-1");
  g_assert_cmpint (call_read_to_end (again, MAX_WAIT_MS), ==, CALL_COMPLETE);
  g_assert_cmpuint (call_get_status (again), ==, 200);
  g_assert_cmpuint (count_executions (fleet, "p"), ==, 1);
  stop_fleet (fleet);
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/router-faults/agent-killed", test_agent_killed);
  g_test_add_func ("/router-faults/link-silent", test_link_silent);
  g_test_add_func ("/router-faults/answer-after-lapse",
                   test_answer_after_lapse);
  g_test_add_func ("/router-faults/asked-again", test_asked_again);
  g_test_add_func ("/router-faults/router-killed", test_router_killed);
  g_test_add_func ("/router-faults/drain", test_drain);
  g_test_add_func ("/router-faults/drain-under-load", test_drain_under_load);
  g_test_add_func ("/router-faults/caller-leaves", test_caller_leaves);
  return g_test_run ();
}
