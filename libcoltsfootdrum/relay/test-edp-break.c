/* Whether an endpoint's process has ended when exchanges with it broke.  */

#include "relay/edp.h"
#include "relay/ent.h"

#include <string.h>

#define TIMEOUT_MS 5000
#define TICK_MS 10
#define WARM_UP_MS 20000
/* Idle for longer than a connection that was in use a moment before.  */
#define IDLE_MS 150
#define REQUEST "GET / HTTP/1.1\r\nHost: h\r\nX-Id: %u\r\n\r\n"

typedef enum
{
  UNKNOWN,
  RUNS,
  ENDED
} finding_t;

typedef struct
{
  struct ev_loop *loop;
  edp_set_t *set;
  ent_t *server;
  GPtrArray *calls; /* ent_call_t, at the server */
  finding_t finding;
  unsigned answered;
  cfd_time_t wait_end;
} scene_t;

static void
on_request (void *user, ent_call_t *call)
{
  g_ptr_array_add (((scene_t *)user)->calls, call);
}

static void
on_gone (void *user, ent_call_t *call)
{
  g_ptr_array_remove (((scene_t *)user)->calls, call);
}

static void
on_break (void *user, edp_t *edp, bool has_ended, cfd_time_t first_at)
{
  ((scene_t *)user)->finding = has_ended ? ENDED : RUNS;
}

static void
list_endpoint (scene_t *scene, bool is_leaving)
{
  GPtrArray *reports = g_ptr_array_new ();
  edp_report_t *report = g_new0 (edp_report_t, 1);

  report->id = g_strdup ("e");
  report->service = g_strdup ("app");
  report->zone = g_strdup ("z");
  report->address
      = g_strdup_printf ("127.0.0.1:%u", ent_get_port (scene->server));
  report->leaving = is_leaving;
  g_ptr_array_add (reports, report);
  edp_set_update (scene->set, clock_now (), reports, true, 0);
}

static int64_t
get_warm_up_ms (void *user, const char *service)
{
  return WARM_UP_MS;
}

static scene_t *
scene_new (void)
{
  static const ent_ops_t ops
      = { .request = on_request, .disconnected = on_gone };
  scene_t *scene = g_new0 (scene_t, 1);

  scene->loop = ev_loop_new (EVFLAG_AUTO);
  scene->calls = g_ptr_array_new ();
  scene->server = ent_new (scene->loop, "127.0.0.1:0", &ops, scene, NULL);
  g_assert_nonnull (scene->server);
  scene->set = edp_set_new (scene->loop);
  edp_set_set_break_callback (scene->set, on_break, scene);
  list_endpoint (scene, false);
  edp_set_update_warm_up (scene->set, get_warm_up_ms, NULL);
  edp_set_note_current (scene->set, clock_now () + 1, clock_now () + 1);
  return scene;
}

static void
scene_free (scene_t *scene)
{
  edp_set_free (scene->set);
  ent_free (scene->server);
  g_ptr_array_unref (scene->calls);
  ev_loop_destroy (scene->loop);
  g_free (scene);
}

static edp_t *
get_endpoint (const scene_t *scene)
{
  return edp_set_find (scene->set, "e");
}

static bool
is_cold (const scene_t *scene)
{
  return edp_is_cold (get_endpoint (scene), clock_now ());
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  edp_set_check_breaks (((scene_t *)timer->data)->set, clock_now ());
}

/* Runs the loop until DONE returns true or the time is over.  */
static void
run_until (scene_t *scene, bool (*done) (const scene_t *scene))
{
  cfd_time_t end = clock_now () + TIMEOUT_MS;
  ev_timer tick;

  ev_timer_init (&tick, on_tick, TICK_MS / 1000., TICK_MS / 1000.);
  tick.data = scene;
  ev_timer_start (scene->loop, &tick);
  while (!done (scene) && clock_now () < end)
    ev_run (scene->loop, EVRUN_ONCE);
  ev_timer_stop (scene->loop, &tick);
}

static bool
has_two_calls (const scene_t *scene)
{
  return scene->calls->len == 2;
}

static bool
has_finding (const scene_t *scene)
{
  return scene->finding != UNKNOWN;
}

static void
ignore_head (void *user, rd_head_t *head)
{
}

static void
ignore_body (void *user, const char *bytes, size_t length)
{
}

static void
on_exchange_ended (void *user, ups_end_t end)
{
  scene_t *scene = user;

  if (end == UPS_COMPLETE)
    scene->answered++;
  else
    edp_set_note_break (scene->set, get_endpoint (scene), clock_now (), false);
}

/* Sends two requests, which the endpoint has in hand on return.  */
static void
send_two (scene_t *scene)
{
  static const ups_ops_t ops = { .head = ignore_head,
                                 .body = ignore_body,
                                 .ended = on_exchange_ended };

  for (unsigned i = 0; i < 2; i++)
    {
      g_autofree char *text = g_strdup_printf (REQUEST, i);
      const ups_request_t request = {
        .bytes = text, .length = strlen (text), .id_field = "X-Id", .id = ""
      };

      g_assert_nonnull (ups_send (get_endpoint (scene)->ups, clock_now () - 1,
                                  &request, &ops, scene));
    }
  run_until (scene, has_two_calls);
  g_assert_cmpuint (scene->calls->len, ==, 2);
}

static bool
has_two_answers (const scene_t *scene)
{
  return scene->answered == 2;
}

static bool
is_over (const scene_t *scene)
{
  return clock_now () >= scene->wait_end;
}

static void
wait_ms (scene_t *scene, int64_t ms)
{
  scene->wait_end = clock_now () + ms;
  run_until (scene, is_over);
}

static void
end_server (scene_t *scene)
{
  ent_free (scene->server);
  scene->server = NULL;
  g_ptr_array_set_size (scene->calls, 0);
}

/* The process ends: all connections are closed, and a new one is refused.  */
static void
test_process_ends (void)
{
  scene_t *scene = scene_new ();

  send_two (scene);
  end_server (scene);
  run_until (scene, has_finding);
  g_assert_cmpint (scene->finding, ==, ENDED);
  g_assert_cmpuint (edp_set_count_ended (scene->set), ==, 1);
  g_assert_true (is_cold (scene));
  scene_free (scene);
}

/* One answer is lost while the endpoint goes on with another.  */
static void
test_one_answer_lost (void)
{
  scene_t *scene = scene_new ();

  send_two (scene);
  ent_abort (g_ptr_array_steal_index (scene->calls, 0));
  run_until (scene, has_finding);
  g_assert_cmpint (scene->finding, ==, RUNS);
  g_assert_cmpuint (edp_set_count_ended (scene->set), ==, 0);
  g_assert_false (is_cold (scene));
  scene_free (scene);
}

/* All answers are lost, and the endpoint takes new connections.  */
static void
test_all_answers_lost (void)
{
  scene_t *scene = scene_new ();

  send_two (scene);
  ent_abort (g_ptr_array_steal_index (scene->calls, 1));
  ent_abort (g_ptr_array_steal_index (scene->calls, 0));
  run_until (scene, has_finding);
  g_assert_cmpint (scene->finding, ==, RUNS);
  /* Another process may have taken its place at once.  */
  g_assert_true (is_cold (scene));
  scene_free (scene);
}

static bool
has_no_connection (const scene_t *scene)
{
  return ups_count_connections (get_endpoint (scene)->ups) == 0;
}

/* Connections that were idle for long are closed, as servers do.  */
static void
test_idle_connections_closed (void)
{
  scene_t *scene = scene_new ();

  send_two (scene);
  ent_respond (g_ptr_array_steal_index (scene->calls, 1), 200, NULL, "", 0);
  ent_respond (g_ptr_array_steal_index (scene->calls, 0), 200, NULL, "", 0);
  run_until (scene, has_two_answers);
  wait_ms (scene, IDLE_MS);
  ent_close_idle (scene->server);
  run_until (scene, has_no_connection);
  g_assert_true (has_no_connection (scene));
  g_assert_false (is_cold (scene));
  scene_free (scene);
}

/* The response tells that its connection is closed after it.  */
static void
test_close_announced (void)
{
  scene_t *scene = scene_new ();

  send_two (scene);
  for (unsigned i = 0; i < 2; i++)
    {
      ent_call_t *call = g_ptr_array_steal_index (scene->calls, 0);

      ent_close_after (call);
      ent_respond (call, 200, NULL, "", 0);
    }
  run_until (scene, has_no_connection);
  g_assert_cmpuint (scene->answered, ==, 2);
  g_assert_false (is_cold (scene));
  scene_free (scene);
}

/* A process that can't be reached may be another one when it can.  */
static void
test_unreachable (void)
{
  scene_t *scene = scene_new ();

  send_two (scene);
  edp_note_unreachable (get_endpoint (scene), clock_now ());
  g_assert_false (is_cold (scene));
  end_server (scene);
  run_until (scene, has_no_connection);
  get_endpoint (scene)->warmth.suspicion = WRM_CONFIRMED;
  edp_note_unreachable (get_endpoint (scene), clock_now ());
  g_assert_true (is_cold (scene));
  scene_free (scene);
}

/* Its connections stay open, since the machine is gone; a new one fails.  */
static void
test_silent (void)
{
  scene_t *scene = scene_new ();

  send_two (scene);
  ent_close_listener (scene->server);
  edp_set_note_break (scene->set, get_endpoint (scene), clock_now (), true);
  run_until (scene, has_finding);
  g_assert_cmpint (scene->finding, ==, ENDED);
  scene_free (scene);
}

/* The list shows the end before the probe does; one that leaves is to end.  */
static void
test_unlisted (gconstpointer data)
{
  bool is_leaving = GPOINTER_TO_INT (data) != 0;
  scene_t *scene = scene_new ();

  list_endpoint (scene, is_leaving);
  edp_set_note_break (scene->set, get_endpoint (scene), clock_now (), false);
  edp_set_update (scene->set, clock_now (), g_ptr_array_new (), true, 0);
  g_assert_cmpint (scene->finding, ==, is_leaving ? RUNS : ENDED);
  scene_free (scene);
}

/* The endpoint is freed while its probe is under way.  */
static void
test_freed_while_pending (void)
{
  scene_t *scene = scene_new ();

  edp_set_note_break (scene->set, get_endpoint (scene), clock_now (), true);
  edp_set_check_breaks (scene->set, clock_now ());
  g_assert_true (edp_is_break_pending (get_endpoint (scene)));
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edp-break/process-ends", test_process_ends);
  g_test_add_func ("/edp-break/one-answer-lost", test_one_answer_lost);
  g_test_add_func ("/edp-break/all-answers-lost", test_all_answers_lost);
  g_test_add_func ("/edp-break/idle-connections-closed",
                   test_idle_connections_closed);
  g_test_add_func ("/edp-break/close-announced", test_close_announced);
  g_test_add_func ("/edp-break/unreachable", test_unreachable);
  g_test_add_func ("/edp-break/silent", test_silent);
  g_test_add_data_func ("/edp-break/unlisted", GINT_TO_POINTER (0),
                        test_unlisted);
  g_test_add_data_func ("/edp-break/leaving", GINT_TO_POINTER (1),
                        test_unlisted);
  g_test_add_func ("/edp-break/freed-while-pending", test_freed_while_pending);
  return g_test_run ();
}
