/* The relay's part in accounts' shares, over real connections: who counts as
   served, and what an account that is behind may do.  */

#include "test-rly-scene.h"

#include <string.h>

#define NOT_RUN                                                               \
  "HTTP/1.1 503 Busy\r\nX-Id: %I\r\nX-Not-Run: 1\r\nContent-Length: "         \
  "0\r\n\r\n"

#define CALL(path, id, prompt)                                                \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: " id "\r\nX-Prompt: " prompt    \
  "\r\nX-Deadline: 20000\r\nAuthorization: Bearer key-of-the-mill\r\n"        \
  "Content-Length: 0\r\n\r\n"

/* Tokens that others get, far more than all requests of a test.  */
#define MUCH 1e8
/* A request in time waits here for seconds.  */
#define AT_ONCE_MS 1500

static bool
has_one (void *user)
{
  return ((scene_t *)user)->arrived >= 1;
}

static bool
has_two (void *user)
{
  return ((scene_t *)user)->arrived >= 2;
}

static bool
has_three (void *user)
{
  return ((scene_t *)user)->arrived >= 3;
}

static bool
is_later (void *user)
{
  return clock_now () > *(const cfd_time_t *)user;
}

static bool
has_twelve (void *user)
{
  return ((scene_t *)user)->arrived >= 12;
}

static bool
has_waiting (void *user)
{
  return rly_counts (((scene_t *)user)->rly)->waiting > 0;
}

static bool
has_four_waiting (void *user)
{
  return rly_counts (((scene_t *)user)->rly)->waiting >= 4;
}

/* Endpoints give back what they get.  The caller sees refusals, and its
   account got nothing.  Were they counted, it would pass for the best served
   one, and its other requests would wait behind those of accounts that are
   served.  */
static void
test_given_back (void)
{
  static const scene_reply_t replies[] = { { NOT_RUN, SCENE_STAYS } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller
      = scene_call (scene, CALL ("/once/", "1", "a:100,b:900"));
  use_sum_t sum;

  scene_wait_for (scene, caller, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 503 "));
  sum = use_total (scene->use, clock_now (), "mill");
  g_assert_cmpfloat (sum.demand, >, 0.);
  g_assert_cmpfloat (sum.served, ==, 0.);
  scene_caller_free (caller);
  scene_free (scene);
}

/* All callers of an account come to one router, and what they ask begins
   alike.  The endpoint that keeps the beginning reads a long prompt; the other
   one is free but would read the beginning anew.  The request waits, until the
   account is far behind the others: with one endpoint alone it could never
   catch up.  */
static void
test_behind (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_STAYS } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *callers[3];
  cfd_time_t now;

  callers[0] = scene_call (scene, CALL ("/slow/", "1", "a:20000,b:200000"));
  scene_run (scene, has_one, scene);
  callers[1] = scene_call (scene, CALL ("/slow/", "2", "c:30000,d:10"));
  scene_run (scene, has_two, scene);
  callers[2] = scene_call (scene, CALL ("/slow/", "3", "a:20000,e:10"));
  scene_run (scene, has_waiting, scene);
  g_assert_cmpuint (scene->arrived, ==, 2);
  now = clock_now ();
  use_add_demand (scene->use, now, "mill", 2. * MUCH);
  use_add_demand (scene->use, now, "press", 2. * MUCH);
  use_add_served (scene->use, now, "press", MUCH);
  scene_run (scene, has_three, scene);
  g_assert_nonnull (strstr (scene->last->str, "|X-Id=3|"));
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    scene_caller_free (callers[i]);
  scene_free (scene);
}

/* The endpoint that caches a prefix has no free slot.  The other endpoint gets
   the request with the address to copy the prefix from, and doesn't prefill it
   anew.  Its own prefix, cached where it goes, is not copied.  */
static void
test_prefix_fetched (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_STAYS } };
  scene_t *scene = scene_new (replies, 1, 1);
  scene_caller_t *callers[2];
  g_autofree char *source = NULL;
  unsigned first;

  callers[0] = scene_call (scene, CALL ("/slow/", "1", "a:20000,b:10"));
  scene_run (scene, has_one, scene);
  g_assert_null (strstr (scene->last->str, "|X-Fetch="));
  first = scene->backs[0].requests > 0 ? 0 : 1;
  source
      = g_strdup_printf ("|X-Fetch=127.0.0.1:%u|", scene->backs[first].port);
  callers[1] = scene_call (scene, CALL ("/slow/", "2", "a:20000,c:10"));
  scene_run (scene, has_two, scene);
  g_assert_nonnull (strstr (scene->last->str, "|X-Id=2|"));
  g_assert_nonnull (strstr (scene->last->str, source));
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    scene_caller_free (callers[i]);
  scene_free (scene);
}

static bool
is_refused (void *user)
{
  const scene_caller_t *caller = user;

  return g_str_has_prefix (caller->text->str, "HTTP/1.1 503 ")
         && strstr (caller->text->str, "Retry-After: ") != NULL;
}

/* The caller of this call was refused elsewhere, and is past its latency
   objective by now.  */
static void
note_refused (scene_t *scene, const char *prompt)
{
  cfd_time_t now = clock_now ();

  ret_add_refusal (scene->ret, now, ret_request_key ("mill", prompt, "", 0),
                   now - 15000, now);
}

/* A caller who was refused comes back past its latency objective, with no free
   slot.  It is told at once; the slot that gets free goes to a new caller,
   whose answer can still be in time.  */
static void
test_late_told_at_once (void)
{
  static const scene_reply_t replies[]
      = { { NULL, SCENE_STAYS }, { NULL, SCENE_STAYS } };
  scene_t *scene = scene_new (replies, 2, 1);
  scene_caller_t *callers[3];
  cfd_time_t now;

  scene_list (scene, 1, false, 1);
  callers[0] = scene_call (scene, CALL ("/slow/", "1", "a:20,b:10"));
  scene_run (scene, has_one, scene);
  now = clock_now ();
  note_refused (scene, "c:20,d:10");
  callers[1] = scene_call (scene, CALL ("/slow/", "2", "c:20,d:10"));
  callers[2] = scene_call (scene, CALL ("/slow/", "3", "e:20,f:10"));
  scene_run (scene, is_refused, callers[1]);
  g_assert_cmpint (clock_now () - now, <, AT_ONCE_MS);
  g_assert_cmpuint (scene->arrived, ==, 1);
  scene_caller_free (callers[0]);
  scene_run (scene, has_two, scene);
  g_assert_nonnull (strstr (scene->last->str, "|X-Id=3|"));
  scene_caller_free (callers[1]);
  scene_caller_free (callers[2]);
  scene_free (scene);
}

/* With capacity to spare a late caller is served: a late answer is better than
   none.  */
static void
test_late_takes_spare (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_STAYS } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller;

  note_refused (scene, "c:20,d:10");
  caller = scene_call (scene, CALL ("/slow/", "2", "c:20,d:10"));
  scene_run (scene, has_one, scene);
  scene_caller_free (caller);
  scene_free (scene);
}

/* An account floods the router: the queue before its next request is longer
   than that may wait, at the rate at which the account is served.  Its caller
   is told on arrival, while those before it still wait.  */
static void
test_early_reject (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_STAYS } };
  scene_t *scene = scene_new (replies, 1, 1);
  scene_caller_t *callers[8];
  guint count = 0;
  cfd_time_t later;

  scene_list (scene, 1, false, 1);
  for (; count < 6; count++)
    {
      g_autofree char *call = g_strdup_printf (
          CALL ("/slow/", "%u", "a%u:2000,b:10"), count + 1, count);

      callers[count] = scene_call (scene, call);
      if (count == 0)
        scene_run (scene, has_one, scene);
    }
  scene_run (scene, has_four_waiting, scene);
  /* A round of placement has passed over them.  */
  later = clock_now () + 2 * RLY_TICK_MS;
  scene_run (scene, is_later, &later);
  /* What it got so far would take this queue a minute.  */
  callers[count] = scene_call (scene, CALL ("/slow/", "9", "c:2000,d:10"));
  scene_run (scene, is_refused, callers[count]);
  g_assert_cmpuint (rly_counts (scene->rly)->waiting, >=, 4);
  for (guint i = 0; i <= count; i++)
    scene_caller_free (callers[i]);
  scene_free (scene);
}

/* An account that was idle sends many requests in one turn of the loop.  They
   have not been passed over yet, and all are placed: none is rejected for a
   queue that is none.  */
static void
test_burst_of_idle_account (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_STAYS } };
  scene_t *scene = scene_new (replies, 1, 16);
  scene_caller_t *callers[12];

  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      g_autofree char *call
          = g_strdup_printf (CALL ("/slow/", "%u", "a%u:20,b:10"), i + 1, i);

      callers[i] = scene_call (scene, call);
    }
  scene_run (scene, has_twelve, scene);
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    scene_caller_free (callers[i]);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rly-share/given-back", test_given_back);
  g_test_add_func ("/rly-share/behind", test_behind);
  g_test_add_func ("/rly-share/late-told-at-once", test_late_told_at_once);
  g_test_add_func ("/rly-share/late-takes-spare", test_late_takes_spare);
  g_test_add_func ("/rly-share/early-reject", test_early_reject);
  g_test_add_func ("/rly-share/burst-of-idle-account",
                   test_burst_of_idle_account);
  g_test_add_func ("/rly-share/prefix-fetched", test_prefix_fetched);
  return g_test_run ();
}
