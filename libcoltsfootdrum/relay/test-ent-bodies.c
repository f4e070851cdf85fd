/* Tests of the memory for request bodies, over real connections.  */

#include "relay/ent.h"

#include "base/addr.h"
#include "relay/con.h"

#include <string.h>

#define BODY_BYTES 1000000u
#define BUDGET (8u * BODY_BYTES)
/* What one read of each connection may bring beyond the budget.  */
#define READ_BYTES 16384u
#define MAX_CALLERS 24u
/* Of a caller's line: 10 MB/s.  */
#define PIECE_BYTES 50000u
#define PIECE_INTERVAL_S 0.005
/* The same for a caller that takes two seconds for its body.  */
#define SLOW_INTERVAL_S 0.1
#define TICK_S 0.02
#define TIMEOUT_MS 20000

typedef struct fixture fixture_t;

typedef struct
{
  fixture_t *fixture;
  con_t *con;
  GString *text; /* received */
  size_t body_left;
  bool is_chunked;
  bool is_over; /* its connection ended */
  con_end_t end;
  ev_timer timer;
} caller_t;

struct fixture
{
  struct ev_loop *loop;
  ent_t *ent;
  addr_t address;
  ev_timer tick;
  GPtrArray *calls; /* ent_call_t: whole requests that wait for an answer */
  caller_t callers[MAX_CALLERS];
  unsigned caller_count;
  size_t max_held;
};

static void
on_request (void *user, ent_call_t *call)
{
  g_ptr_array_add (((fixture_t *)user)->calls, call);
}

static void
on_disconnected (void *user, ent_call_t *call)
{
  g_ptr_array_remove (((fixture_t *)user)->calls, call);
}

static const char *
get_account (void *user, ent_call_t *call)
{
  return hdr_get (&ent_get_head (call)->fields, "X-Account");
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  fixture_t *fixture = timer->data;

  ent_tick (fixture->ent, clock_now ());
}

static void
fixture_init (fixture_t *fixture, size_t budget)
{
  static const ent_ops_t ops = { .request = on_request,
                                 .disconnected = on_disconnected,
                                 .account = get_account };
  const ent_limits_t limits = { .head_bytes = 16384,
                                .body_bytes = 4 * BODY_BYTES,
                                .head_ms = 5000,
                                .idle_ms = 15000 };
  g_autofree char *text = NULL;

  *fixture = (fixture_t){ 0 };
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->ent = ent_new (fixture->loop, "127.0.0.1:0", &ops, fixture, NULL);
  g_assert_nonnull (fixture->ent);
  ent_set_limits (fixture->ent, &limits);
  ent_set_body_budget (fixture->ent, budget);
  text = g_strdup_printf ("127.0.0.1:%u", ent_get_port (fixture->ent));
  g_assert_true (addr_parse (text, &fixture->address, NULL));
  fixture->calls = g_ptr_array_new ();
  ev_timer_init (&fixture->tick, on_tick, 0., TICK_S);
  fixture->tick.data = fixture;
  ev_timer_start (fixture->loop, &fixture->tick);
}

static void
caller_clear (caller_t *caller)
{
  ev_timer_stop (caller->fixture->loop, &caller->timer);
  g_clear_pointer (&caller->con, con_free);
  g_string_free (caller->text, TRUE);
}

static void
fixture_clear (fixture_t *fixture)
{
  ev_timer_stop (fixture->loop, &fixture->tick);
  for (unsigned i = 0; i < fixture->caller_count; i++)
    caller_clear (&fixture->callers[i]);
  ent_free (fixture->ent);
  g_ptr_array_unref (fixture->calls);
  ev_loop_destroy (fixture->loop);
}

static void
on_caller_bytes (void *user, const char *bytes, size_t length)
{
  g_string_append_len (((caller_t *)user)->text, bytes, (gssize)length);
}

static void
on_caller_ended (void *user, con_end_t end)
{
  caller_t *caller = user;

  ev_timer_stop (caller->fixture->loop, &caller->timer);
  caller->is_over = true;
  caller->end = end;
}

/* Sends the next piece of the body.  */
static void
on_piece_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  static const char piece[PIECE_BYTES];
  caller_t *caller = timer->data;
  size_t length = MIN (caller->body_left, PIECE_BYTES);
  g_autofree char *size = g_strdup_printf ("%zx\r\n", length);

  if (con_get_unsent_bytes (caller->con) > 0)
    return;
  if (caller->is_chunked)
    con_write (caller->con, size, strlen (size));
  con_write (caller->con, piece, length);
  if (caller->is_chunked)
    con_write (caller->con, "\r\n", 2);
  caller->body_left -= length;
  if (caller->body_left > 0)
    return;
  if (caller->is_chunked)
    con_write (caller->con, "0\r\n\r\n", 5);
  ev_timer_stop (loop, timer);
}

static caller_t *
connect_caller (fixture_t *fixture)
{
  static const con_ops_t ops
      = { .bytes = on_caller_bytes, .ended = on_caller_ended };
  caller_t *caller = &fixture->callers[fixture->caller_count++];

  g_assert_cmpuint (fixture->caller_count, <=, MAX_CALLERS);
  *caller = (caller_t){ .fixture = fixture };
  caller->text = g_string_new (NULL);
  caller->con
      = con_new_outbound (fixture->loop, &fixture->address, &ops, caller);
  g_assert_nonnull (caller->con);
  ev_timer_init (&caller->timer, on_piece_due, 0., PIECE_INTERVAL_S);
  caller->timer.data = caller;
  return caller;
}

static void
send_head (caller_t *caller, const char *account, const char *field)
{
  g_autofree char *head
      = g_strdup_printf ("POST / HTTP/1.1\r\nHost: h\r\nX-Account: %s\r\n%s"
                         "\r\n",
                         account, field);

  con_write (caller->con, head, strlen (head));
}

static void
start_body (caller_t *caller, size_t length)
{
  caller->body_left = length;
  ev_timer_start (caller->fixture->loop, &caller->timer);
}

/* Starts to send a body of BODY_BYTES.  */
static caller_t *
upload (fixture_t *fixture, const char *account)
{
  caller_t *caller = connect_caller (fixture);

  send_head (caller, account, "Content-Length: 1000000\r\n");
  start_body (caller, BODY_BYTES);
  return caller;
}

static caller_t *
upload_chunked (fixture_t *fixture, const char *account, size_t length)
{
  caller_t *caller = connect_caller (fixture);

  caller->is_chunked = true;
  send_head (caller, account, "Transfer-Encoding: chunked\r\n");
  start_body (caller, length);
  return caller;
}

static size_t
get_held (const fixture_t *fixture)
{
  return ent_get_body_stats (fixture->ent).held;
}

static void
step (fixture_t *fixture)
{
  ev_run (fixture->loop, EVRUN_ONCE);
  fixture->max_held = MAX (fixture->max_held, get_held (fixture));
}

static void
run_ms (fixture_t *fixture, int64_t ms)
{
  cfd_time_t until = clock_now () + ms;

  while (clock_now () < until)
    step (fixture);
}

/* Runs until COUNT requests are whole.  */
static void
wait_calls (fixture_t *fixture, guint count)
{
  cfd_time_t until = clock_now () + TIMEOUT_MS;

  while (fixture->calls->len < count)
    {
      g_assert_cmpint (clock_now (), <, until);
      step (fixture);
    }
}

static void
wait_status (caller_t *caller, const char *status)
{
  cfd_time_t until = clock_now () + TIMEOUT_MS;

  while (strstr (caller->text->str, status) == NULL && !caller->is_over)
    {
      g_assert_cmpint (clock_now (), <, until);
      step (caller->fixture);
    }
  g_assert_nonnull (strstr (caller->text->str, status));
}

static void
answer_oldest (fixture_t *fixture)
{
  ent_call_t *call = g_ptr_array_steal_index (fixture->calls, 0);

  ent_respond (call, 200, NULL, NULL, 0);
}

/* Guards against large bodies of one account that take all memory of an
   instance: their sum is bounded, what there is no memory for is refused, and
   another account's body is taken.  */
static void
test_one_account (void)
{
  fixture_t fixture;
  caller_t *other;
  unsigned refused = 0;

  fixture_init (&fixture, BUDGET);
  for (unsigned i = 0; i < 20; i++)
    upload (&fixture, "hot");
  run_ms (&fixture, 1500);
  for (unsigned i = 0; i < 20; i++)
    refused += strstr (fixture.callers[i].text->str, " 503 ") != NULL;
  g_assert_cmpuint (fixture.calls->len, >=, 5);
  g_assert_cmpuint (fixture.calls->len + refused, ==, 20);
  g_assert_cmpuint (ent_get_body_stats (fixture.ent).refused, ==, refused);
  other = upload (&fixture, "other");
  wait_calls (&fixture, 20 - refused + 1);
  while (fixture.calls->len > 0)
    answer_oldest (&fixture);
  wait_status (other, "HTTP/1.1 200 ");
  g_assert_cmpuint (fixture.max_held, <=, BUDGET);
  g_assert_cmpuint (get_held (&fixture), ==, 0);
  fixture_clear (&fixture);
}

/* Guards against a caller that sends its whole body before it reads, and loses
   the response which refused it, as the connection is reset.  */
static void
test_refused_while_sending (void)
{
  fixture_t fixture;
  caller_t *caller;

  fixture_init (&fixture, BODY_BYTES / 2);
  caller = upload (&fixture, "a");
  ev_timer_stop (fixture.loop, &caller->timer);
  ev_timer_set (&caller->timer, 0., SLOW_INTERVAL_S);
  ev_timer_start (fixture.loop, &caller->timer);
  while (!con_is_connected (caller->con))
    step (&fixture);
  con_set_read_paused (caller->con, true);
  while (caller->body_left > 0)
    step (&fixture);
  con_set_read_paused (caller->con, false);
  wait_status (caller, "HTTP/1.1 503 ");
  g_assert_nonnull (strstr (caller->text->str, "Retry-After: "));
  g_assert_nonnull (strstr (caller->text->str, "Connection: close"));
  while (!caller->is_over)
    step (&fixture);
  g_assert_cmpint (caller->end, ==, CON_END_CLOSED);
  fixture_clear (&fixture);
}

/* Guards against a request that is refused although memory is free a moment
   later: its body waits at the caller.  */
static void
test_waits (void)
{
  fixture_t fixture;

  fixture_init (&fixture, BODY_BYTES * 2 - 1);
  upload (&fixture, "a");
  wait_calls (&fixture, 1);
  upload (&fixture, "a");
  run_ms (&fixture, 200);
  g_assert_cmpuint (ent_get_body_stats (fixture.ent).waiting, ==, 1);
  g_assert_cmpuint (fixture.calls->len, ==, 1);
  answer_oldest (&fixture);
  wait_calls (&fixture, 1);
  g_assert_cmpuint (ent_get_body (fixture.calls->pdata[0])->len, ==,
                    BODY_BYTES);
  g_assert_cmpuint (ent_get_body_stats (fixture.ent).refused, ==, 0);
  fixture_clear (&fixture);
}

/* Guards against a body that waits for memory until its caller's deadline.  */
static void
test_waits_too_long (void)
{
  fixture_t fixture;
  caller_t *caller;
  cfd_time_t start;

  fixture_init (&fixture, BODY_BYTES * 2 - 1);
  upload (&fixture, "a");
  wait_calls (&fixture, 1);
  start = clock_now ();
  caller = upload (&fixture, "b");
  wait_status (caller, "HTTP/1.1 503 ");
  g_assert_cmpint (clock_now () - start, <, 3000);
  g_assert_cmpuint (get_held (&fixture), <, BODY_BYTES + READ_BYTES);
  fixture_clear (&fixture);
}

/* Guards against bodies without a length, of which no sum is known.  */
static void
test_chunked (void)
{
  fixture_t fixture;

  fixture_init (&fixture, BUDGET);
  for (unsigned i = 0; i < 12; i++)
    upload_chunked (&fixture, "a", 3 * BODY_BYTES);
  run_ms (&fixture, 3000);
  g_assert_cmpuint (fixture.max_held, <=, BUDGET);
  g_assert_cmpuint (fixture.calls->len, >=, 1);
  g_assert_cmpuint (ent_get_body (fixture.calls->pdata[0])->len, ==,
                    3 * BODY_BYTES);
  fixture_clear (&fixture);
}

/* Guards against a caller that is told to send its body while there is no
   memory for it.  */
static void
test_expect_continue (void)
{
  fixture_t fixture;
  caller_t *caller;

  fixture_init (&fixture, BODY_BYTES * 2 - 1);
  upload (&fixture, "a");
  wait_calls (&fixture, 1);
  caller = connect_caller (&fixture);
  send_head (caller, "a",
             "Content-Length: 1000000\r\nExpect: 100-continue\r\n");
  run_ms (&fixture, 200);
  g_assert_cmpstr (caller->text->str, ==, "");
  answer_oldest (&fixture);
  wait_status (caller, "HTTP/1.1 100 Continue\r\n\r\n");
  start_body (caller, BODY_BYTES);
  wait_calls (&fixture, 1);
  fixture_clear (&fixture);
}

/* Guards against memory that stays reserved for callers that left.  */
static void
test_callers_leave (void)
{
  fixture_t fixture;
  cfd_time_t until;

  fixture_init (&fixture, BUDGET);
  for (unsigned i = 0; i < 10; i++)
    upload (&fixture, "a");
  run_ms (&fixture, 50);
  g_assert_cmpuint (get_held (&fixture), >, 0);
  for (unsigned i = 0; i < 10; i++)
    {
      ev_timer_stop (fixture.loop, &fixture.callers[i].timer);
      g_clear_pointer (&fixture.callers[i].con, con_free);
    }
  until = clock_now () + TIMEOUT_MS;
  while (get_held (&fixture) > 0 && clock_now () < until)
    step (&fixture);
  g_assert_cmpuint (get_held (&fixture), ==, 0);
  fixture_clear (&fixture);
}

/* Guards against a small body that came after its head and was refused, as
   large ones of its account waited.  */
static void
test_small_after_head (void)
{
  fixture_t fixture;
  caller_t *caller;

  fixture_init (&fixture, BODY_BYTES * 2 - 1);
  upload (&fixture, "a");
  wait_calls (&fixture, 1);
  upload (&fixture, "a");
  caller = connect_caller (&fixture);
  send_head (caller, "a", "Content-Length: 7\r\n");
  run_ms (&fixture, 100);
  con_write (caller->con, "summary", 7);
  wait_calls (&fixture, 2);
  g_assert_cmpuint (ent_get_body_stats (fixture.ent).waiting, ==, 1);
  fixture_clear (&fixture);
}

#define SMALL "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello"

/* Guards against small requests in such numbers that they take all memory.  */
static void
test_small (void)
{
  fixture_t fixture;
  caller_t *last;
  size_t each;

  fixture_init (&fixture, 99);
  con_write (connect_caller (&fixture)->con, SMALL, strlen (SMALL));
  wait_calls (&fixture, 1);
  each = get_held (&fixture);
  g_assert_cmpuint (each, >=, 5);
  for (size_t held = 2 * each; held <= 132; held += each)
    con_write (connect_caller (&fixture)->con, SMALL, strlen (SMALL));
  wait_calls (&fixture, (guint)(132 / each));
  last = connect_caller (&fixture);
  con_write (last->con, SMALL, strlen (SMALL));
  wait_status (last, "HTTP/1.1 503 ");
  g_assert_cmpuint (fixture.max_held, <=, 132);
  while (fixture.calls->len > 0)
    answer_oldest (&fixture);
  g_assert_cmpuint (get_held (&fixture), ==, 0);
  fixture_clear (&fixture);
}

/* Guards against heads that many callers send without an end.  */
static void
test_partial_heads (void)
{
  fixture_t fixture;
  g_autofree char *value = g_strnfill (8000, 'v');
  g_autofree char *head
      = g_strdup_printf ("POST / HTTP/1.1\r\nX-A: %s", value);
  unsigned rejected = 0;

  fixture_init (&fixture, 3 * 40000);
  for (unsigned i = 0; i < 10; i++)
    con_write (connect_caller (&fixture)->con, head, strlen (head));
  run_ms (&fixture, 500);
  for (unsigned i = 0; i < 10; i++)
    rejected += strstr (fixture.callers[i].text->str, " 408 ") != NULL;
  /* Each has over 8,000 bytes, and 40,000 may be taken.  */
  g_assert_cmpuint (rejected, ==, 6);
  fixture_clear (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ent-bodies/one-account", test_one_account);
  g_test_add_func ("/ent-bodies/refused-while-sending",
                   test_refused_while_sending);
  g_test_add_func ("/ent-bodies/waits", test_waits);
  g_test_add_func ("/ent-bodies/waits-too-long", test_waits_too_long);
  g_test_add_func ("/ent-bodies/chunked", test_chunked);
  g_test_add_func ("/ent-bodies/expect-continue", test_expect_continue);
  g_test_add_func ("/ent-bodies/callers-leave", test_callers_leave);
  g_test_add_func ("/ent-bodies/small-after-head", test_small_after_head);
  g_test_add_func ("/ent-bodies/small", test_small);
  g_test_add_func ("/ent-bodies/partial-heads", test_partial_heads);
  return g_test_run ();
}
