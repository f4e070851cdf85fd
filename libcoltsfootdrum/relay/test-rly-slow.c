/* Callers that read their answers slowly or not at all, over real
   connections: what becomes of their answers, and of other callers.  */

#include "relay/slw.h"
#include "test-rly-scene.h"

#include <string.h>

#define HEAD "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\n"
#define UNTIL_CLOSE HEAD "\r\n"
#define TEN "aaaaaaaaaa"
#define HUNDRED TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN
#define EVENT "data: " HUNDRED HUNDRED "\n\n"
#define SMALL HEAD "Content-Length: 3\r\n\r\nabc"

#define CALL(path)                                                            \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: 20000\r\n"     \
  "Authorization: Bearer key-of-the-mill\r\nContent-Length: 0\r\n\r\n"
#define PLAIN CALL ("/once/")
#define ONCE CALL ("/events-once/")

/* An endpoint cuts off an answer that stays unread for longer.  */
#define PATIENCE_MS 2500
/* More than the sockets' buffers and a caller's share hold together.  */
#define LARGE_BYTES (9u * 1024 * 1024)

/* Sends a request for a stream, and stops reading once it begins.  */
static scene_caller_t *
send_and_stop (scene_t *scene)
{
  scene_caller_t *caller = scene_send_request (scene, ONCE);

  scene_wait_for (scene, caller, "data: ");
  con_set_read_paused (caller->con, true);
  return caller;
}

typedef struct
{
  scene_t *scene;
  cfd_time_t until;
  unsigned closed; /* connections at endpoints */
  uint64_t last_bytes;
  cfd_time_t last_progress;
  int64_t longest_ms; /* without progress of the endpoints' answers */
  size_t max_unsent;
} wait_t;

static wait_t
wait_new (scene_t *scene, int64_t ms, unsigned closed)
{
  cfd_time_t now = clock_now ();

  return (wait_t){
    .scene = scene, .until = now + ms, .closed = closed, .last_progress = now
  };
}

static bool
is_over (void *user)
{
  wait_t *wait = user;
  const scene_t *scene = wait->scene;
  cfd_time_t now = clock_now ();

  if (scene->repeated_bytes != wait->last_bytes)
    wait->last_progress = now;
  wait->last_bytes = scene->repeated_bytes;
  wait->longest_ms = MAX (wait->longest_ms, now - wait->last_progress);
  wait->max_unsent = MAX (wait->max_unsent, ent_get_unsent_total (scene->ent));
  return now > wait->until || scene->closed_connections >= wait->closed;
}

/* Guards against an answer that waits at its endpoint, which may cut it off,
   until its caller reads on: all of it is taken while the caller reads
   nothing, and the caller gets it later.  */
static void
test_drained (void)
{
  g_autoptr (GString) bytes = g_string_new (UNTIL_CLOSE);
  scene_reply_t reply = { NULL, SCENE_CLOSE };
  scene_t *scene;
  scene_caller_t *caller;
  wait_t wait;

  while (bytes->len < LARGE_BYTES)
    g_string_append (bytes, EVENT);
  reply.bytes = bytes->str;
  scene = scene_new (&reply, 1, 4);
  caller = send_and_stop (scene);
  wait = wait_new (scene, 1500, 1);
  scene_run (scene, is_over, &wait);
  g_assert_cmpuint (scene->closed_connections, ==, 1);
  con_set_read_paused (caller->con, false);
  scene_wait_for (scene, caller, "\r\n0\r\n\r\n");
  g_assert_false (caller->ended);
  g_assert_cmpuint (caller->text->len, >=, bytes->len);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against a caller that reads nothing and makes its endpoint wait for
   seconds: it is disconnected before.  */
static void
test_disconnected (void)
{
  static const scene_reply_t reply = { UNTIL_CLOSE, SCENE_REPEAT };
  scene_t *scene = scene_new (&reply, 1, 4);
  scene_caller_t *caller;
  wait_t wait;

  scene->repeat = EVENT;
  caller = send_and_stop (scene);
  wait = wait_new (scene, 10000, 1);
  scene_run (scene, is_over, &wait);
  g_test_message ("longest=%d ms", (int)wait.longest_ms);
  g_assert_cmpuint (scene->closed_connections, ==, 1);
  g_assert_cmpint (wait.longest_ms, <, PATIENCE_MS);
  g_assert_cmpuint (rly_counts (scene->rly)->slow_callers, ==, 1);
  g_assert_cmpuint (rly_counts (scene->rly)->failed, ==, 0);
  scene_caller_free (caller);
  scene_free (scene);
}

#define SLOW_CALLERS 6
#define OTHER_CALLERS 50
/* The test runs both sides of all connections.  */
#define MAX_DELAY_MS 300

/* Guards against callers that read nothing and delay others, or take more
   memory than their budget.  */
static void
test_others_not_delayed (void)
{
  scene_reply_t replies[SLOW_CALLERS + 1];
  scene_caller_t *slow[SLOW_CALLERS];
  const size_t budget = 4u * 1024 * 1024;
  const size_t slack = SLOW_CALLERS * 2 * SLW_STEP_BYTES;
  scene_t *scene;
  wait_t wait;

  for (unsigned i = 0; i < SLOW_CALLERS; i++)
    replies[i] = (scene_reply_t){ UNTIL_CLOSE, SCENE_REPEAT };
  replies[SLOW_CALLERS] = (scene_reply_t){ SMALL, SCENE_KEEP_OPEN };
  scene = scene_new (replies, G_N_ELEMENTS (replies), 2 * SLOW_CALLERS);
  scene->repeat = EVENT;
  ent_set_unsent_budget (scene->ent, budget);
  for (unsigned i = 0; i < SLOW_CALLERS; i++)
    slow[i] = send_and_stop (scene);
  for (unsigned i = 0; i < OTHER_CALLERS; i++)
    {
      cfd_time_t start = clock_now ();
      scene_caller_t *other = scene_send_request (scene, PLAIN);

      scene_wait_for (scene, other, "\r\n\r\nabc");
      g_assert_true (g_str_has_prefix (other->text->str, "HTTP/1.1 200 "));
      g_assert_cmpint (clock_now () - start, <, MAX_DELAY_MS);
      scene_caller_free (other);
      wait = wait_new (scene, 50, SLOW_CALLERS);
      scene_run (scene, is_over, &wait);
      g_assert_cmpuint (wait.max_unsent, <=, budget + slack);
    }
  wait = wait_new (scene, 5000, SLOW_CALLERS);
  scene_run (scene, is_over, &wait);
  g_assert_cmpuint (scene->closed_connections, ==, SLOW_CALLERS);
  g_assert_cmpuint (wait.max_unsent, <=, budget + slack);
  for (unsigned i = 0; i < SLOW_CALLERS; i++)
    scene_caller_free (slow[i]);
  scene_free (scene);
}

#define LARGE_ANSWERS 8
#define LARGE_ANSWER_BYTES 1048576u

static bool
has_failures (void *user)
{
  const scene_t *scene = user;

  return rly_counts (scene->rly)->failed >= LARGE_ANSWERS / 2;
}

/* Guards against a process that ends out of memory because many large answers
   are kept until they are whole: beyond the budget some are broken off, their
   endpoints aren't blamed, and small answers are still kept.  */
static void
test_answer_memory (void)
{
  g_autofree char *part = g_strnfill (LARGE_ANSWER_BYTES, 'a');
  g_autofree char *begun
      = g_strconcat (HEAD "Content-Length: 2097152\r\n\r\n", part, NULL);
  scene_reply_t replies[LARGE_ANSWERS + 1];
  scene_caller_t *callers[LARGE_ANSWERS];
  scene_caller_t *other;
  scene_t *scene;

  for (unsigned i = 0; i < LARGE_ANSWERS; i++)
    replies[i] = (scene_reply_t){ begun, SCENE_KEEP_OPEN };
  replies[LARGE_ANSWERS] = (scene_reply_t){ SMALL, SCENE_KEEP_OPEN };
  scene = scene_new (replies, G_N_ELEMENTS (replies), LARGE_ANSWERS);
  rly_set_answer_budget (scene->rly, LARGE_ANSWERS / 2 * LARGE_ANSWER_BYTES);
  for (unsigned i = 0; i < LARGE_ANSWERS; i++)
    callers[i] = scene_send_request (scene, PLAIN);
  scene_run (scene, has_failures, scene);
  other = scene_send_request (scene, PLAIN);
  scene_wait_for (scene, other, "\r\n\r\nabc");
  g_assert_true (g_str_has_prefix (other->text->str, "HTTP/1.1 200 "));
  g_assert_cmpuint (rly_counts (scene->rly)->running, >=,
                    LARGE_ANSWERS / 2 - 1);
  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%u", i);
      const edp_t *edp = edp_set_find (scene->endpoints, id);

      g_assert_cmpuint (edp->consecutive_failures, ==, 0);
    }
  for (unsigned i = 0; i < LARGE_ANSWERS; i++)
    scene_caller_free (callers[i]);
  scene_caller_free (other);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/slow/drained", test_drained);
  g_test_add_func ("/slow/disconnected", test_disconnected);
  g_test_add_func ("/slow/others-not-delayed", test_others_not_delayed);
  g_test_add_func ("/slow/answer-memory", test_answer_memory);
  return g_test_run ();
}
