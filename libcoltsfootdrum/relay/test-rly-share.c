/* Fair shares of client accounts in the relay, over real connections: which
   requests count as served, and how underserved accounts and late requests are
   placed.  */

#include "test-rly-scene.h"

#include <string.h>

#define NOT_RUN                                                               \
  "HTTP/1.1 503 Busy\r\nX-Id: %I\r\nX-Not-Run: 1\r\nContent-Length: "         \
  "0\r\n\r\n"

#define CALL(path, id, prompt)                                                \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: " id "\r\nX-Prompt: " prompt    \
  "\r\nX-Deadline: 20000\r\nAuthorization: Bearer key-of-the-mill\r\n"        \
  "Content-Length: 0\r\n\r\n"

/* Usage of another account, far more than all requests of a test.  */
#define LARGE_USAGE_TOKENS 1e8
/* Time for an immediate refusal; a request that is not late would wait for
   seconds.  */
#define MAX_REFUSAL_MS 1500

static bool
has_received_one (void *user)
{
  return ((scene_t *)user)->requests_received >= 1;
}

static bool
has_received_two (void *user)
{
  return ((scene_t *)user)->requests_received >= 2;
}

static bool
has_received_three (void *user)
{
  return ((scene_t *)user)->requests_received >= 3;
}

static bool
is_later (void *user)
{
  return clock_now () > *(const cfd_time_t *)user;
}

static bool
has_received_twelve (void *user)
{
  return ((scene_t *)user)->requests_received >= 12;
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

/* Rejected requests must not count as served.  Otherwise the account would
   seem the best served one, and its other requests would wait behind those of
   accounts that are really served.  */
static void
test_rejected_not_served (void)
{
  static const scene_reply_t replies[] = { { NOT_RUN, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller
      = scene_send_request (scene, CALL ("/once/", "1", "a:100,b:900"));
  use_sum_t sum;

  scene_wait_for (scene, caller, "\r\n\r\n");
  g_assert_true (g_str_has_prefix (caller->text->str, "HTTP/1.1 503 "));
  sum = use_total (scene->use, clock_now (), "mill");
  g_assert_cmpfloat (sum.demand, >, 0.);
  g_assert_cmpfloat (sum.served, ==, 0.);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Counts that are no counts, in the fields of a caller's request.  */
static const char *const absurd_counts[]
    = { "1,inf", "1,1e300", "1,nan", "1,-1e9" };

/* A request whose output was said to be infinite turned fair shares off for
   all accounts, and a negative one let its account pass all others.  */
static void
test_absurd_count (gconstpointer data)
{
  static const scene_reply_t replies[]
      = { { "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\nContent-Length: "
            "1\r\n\r\nx",
            SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  g_autofree char *bytes
      = g_strdup_printf ("POST /slow/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n"
                         "X-Prompt: a:1000,b:1000\r\nX-Tokens: %s\r\n"
                         "Authorization: Bearer key-of-the-mill\r\n"
                         "Content-Length: 0\r\n\r\n",
                         (const char *)data);
  scene_caller_t *caller = scene_send_request (scene, bytes);
  cfd_time_t now;
  use_sum_t sum;

  scene_wait_for (scene, caller, "\r\n\r\nx");
  now = clock_now ();
  sum = use_total (scene->use, now, "mill");
  g_assert_cmpfloat (sum.served, >, 1000.);
  g_assert_cmpfloat (sum.served, <, LARGE_USAGE_TOKENS);
  use_add_demand (scene->use, now, "press", 2. * LARGE_USAGE_TOKENS);
  use_add_served (scene->use, now, "press", LARGE_USAGE_TOKENS);
  use_update_level (scene->use, now);
  g_assert_cmpfloat (use_level_ratio (scene->use, now, "press"), >, 0.);
  scene_caller_free (caller);
  scene_free (scene);
}

/* All requests of an account come to one router and share a prefix.  The
   endpoint that caches the prefix is busy with a long prompt; the other is
   free but would have to prefill the prefix again.  The request waits until
   its account is underserved: with a single endpoint the account could never
   catch up.  */
static void
test_underserved (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *callers[3];
  cfd_time_t now;

  callers[0]
      = scene_send_request (scene, CALL ("/slow/", "1", "a:20000,b:200000"));
  scene_run (scene, has_received_one, scene);
  callers[1]
      = scene_send_request (scene, CALL ("/slow/", "2", "c:30000,d:10"));
  scene_run (scene, has_received_two, scene);
  callers[2]
      = scene_send_request (scene, CALL ("/slow/", "3", "a:20000,e:10"));
  scene_run (scene, has_waiting, scene);
  g_assert_cmpuint (scene->requests_received, ==, 2);
  now = clock_now ();
  use_add_demand (scene->use, now, "mill", 2. * LARGE_USAGE_TOKENS);
  use_add_demand (scene->use, now, "press", 2. * LARGE_USAGE_TOKENS);
  use_add_served (scene->use, now, "press", LARGE_USAGE_TOKENS);
  scene_run (scene, has_received_three, scene);
  g_assert_nonnull (strstr (scene->last_request->str, "|X-Id=3|"));
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    scene_caller_free (callers[i]);
  scene_free (scene);
}

/* The endpoint that caches a prefix has no free slot.  The other endpoint gets
   the request with the address to copy the prefix from, instead of prefilling
   it again.  The first request, with nothing cached elsewhere, has no such
   address.  */
static void
test_prefix_fetched (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 1);
  scene_caller_t *callers[2];
  g_autofree char *source = NULL;
  unsigned first;

  callers[0]
      = scene_send_request (scene, CALL ("/slow/", "1", "a:20000,b:10"));
  scene_run (scene, has_received_one, scene);
  g_assert_null (strstr (scene->last_request->str, "|X-Fetch="));
  first = scene->servers[0].requests > 0 ? 0 : 1;
  source
      = g_strdup_printf ("|X-Fetch=127.0.0.1:%u|", scene->servers[first].port);
  callers[1]
      = scene_send_request (scene, CALL ("/slow/", "2", "a:20000,c:10"));
  scene_run (scene, has_received_two, scene);
  g_assert_nonnull (strstr (scene->last_request->str, "|X-Id=2|"));
  g_assert_nonnull (strstr (scene->last_request->str, source));
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

/* Records that the caller of PROMPT was refused elsewhere and is past its
   target latency.  */
static void
add_refusal (scene_t *scene, const char *prompt)
{
  cfd_time_t now = clock_now ();

  ret_add_refusal (scene->ret, now, ret_request_key ("mill", prompt, "", 0),
                   now - 15000, now);
}

/* A refused caller returns past its target latency while no slot is free.  It
   must be refused at once, and the next free slot must go to a new caller,
   whose answer can still be in time.  */
static void
test_late_refused_at_once (void)
{
  static const scene_reply_t replies[]
      = { { NULL, SCENE_KEEP_OPEN }, { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 1);
  scene_caller_t *callers[3];
  cfd_time_t now;

  scene_list_endpoints (scene, 1, false, 1);
  callers[0] = scene_send_request (scene, CALL ("/slow/", "1", "a:20,b:10"));
  scene_run (scene, has_received_one, scene);
  now = clock_now ();
  add_refusal (scene, "c:20,d:10");
  callers[1] = scene_send_request (scene, CALL ("/slow/", "2", "c:20,d:10"));
  callers[2] = scene_send_request (scene, CALL ("/slow/", "3", "e:20,f:10"));
  scene_run (scene, is_refused, callers[1]);
  g_assert_cmpint (clock_now () - now, <, MAX_REFUSAL_MS);
  g_assert_cmpuint (scene->requests_received, ==, 1);
  scene_caller_free (callers[0]);
  scene_run (scene, has_received_two, scene);
  g_assert_nonnull (strstr (scene->last_request->str, "|X-Id=3|"));
  scene_caller_free (callers[1]);
  scene_caller_free (callers[2]);
  scene_free (scene);
}

/* With spare capacity a late caller is served: a late answer is better than
   none.  */
static void
test_late_uses_spare_capacity (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  scene_caller_t *caller;

  add_refusal (scene, "c:20,d:10");
  caller = scene_send_request (scene, CALL ("/slow/", "2", "c:20,d:10"));
  scene_run (scene, has_received_one, scene);
  scene_caller_free (caller);
  scene_free (scene);
}

/* Guards against a late caller who is refused for a queue without a delay, as
   its request was read later than it arrived.  */
static void
test_late_read_slowly (void)
{
  static const char request[] = CALL ("/slow/", "2", "c:20,d:10");
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 4);
  g_autofree char *first = g_strndup (request, 20);
  scene_caller_t *caller;
  cfd_time_t later;

  add_refusal (scene, "c:20,d:10");
  caller = scene_send_request (scene, first);
  later = clock_now () + 2 * RLY_TICK_MS;
  scene_run (scene, is_later, &later);
  con_write (caller->con, request + 20, strlen (request + 20));
  scene_run (scene, has_received_one, scene);
  scene_caller_free (caller);
  scene_free (scene);
}

/* An account floods the router.  At the rate at which the account is served,
   its next request would wait for too long.  It must be refused on arrival,
   while the requests before it still wait.  */
static void
test_early_reject (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 1);
  scene_caller_t *callers[8];
  guint count = 0;
  cfd_time_t later;

  scene_list_endpoints (scene, 1, false, 1);
  for (; count < 6; count++)
    {
      g_autofree char *call = g_strdup_printf (
          CALL ("/slow/", "%u", "a%u:2000,b:10"), count + 1, count);

      callers[count] = scene_send_request (scene, call);
      if (count == 0)
        scene_run (scene, has_received_one, scene);
    }
  scene_run (scene, has_four_waiting, scene);
  /* Time for a placement round to try them.  */
  later = clock_now () + 2 * RLY_TICK_MS;
  scene_run (scene, is_later, &later);
  /* At the rate so far, this queue would take a minute.  */
  callers[count]
      = scene_send_request (scene, CALL ("/slow/", "9", "c:2000,d:10"));
  scene_run (scene, is_refused, callers[count]);
  g_assert_cmpuint (rly_counts (scene->rly)->waiting, >=, 4);
  for (guint i = 0; i <= count; i++)
    scene_caller_free (callers[i]);
  scene_free (scene);
}

/* An idle account sends many requests in one loop iteration.  No placement
   round has tried them yet, so none may be refused for the queue before it;
   all are placed.  */
static void
test_burst_of_idle_account (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 1, 16);
  scene_caller_t *callers[12];

  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      g_autofree char *call
          = g_strdup_printf (CALL ("/slow/", "%u", "a%u:20,b:10"), i + 1, i);

      callers[i] = scene_send_request (scene, call);
    }
  scene_run (scene, has_received_twelve, scene);
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    scene_caller_free (callers[i]);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (absurd_counts); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/rly-share/absurd-count/%u", i);

      g_test_add_data_func (path, absurd_counts[i], test_absurd_count);
    }
  g_test_add_func ("/rly-share/given-back", test_rejected_not_served);
  g_test_add_func ("/rly-share/behind", test_underserved);
  g_test_add_func ("/rly-share/late-refused-at-once",
                   test_late_refused_at_once);
  g_test_add_func ("/rly-share/late-uses-spare-capacity",
                   test_late_uses_spare_capacity);
  g_test_add_func ("/rly-share/late-read-slowly", test_late_read_slowly);
  g_test_add_func ("/rly-share/early-reject", test_early_reject);
  g_test_add_func ("/rly-share/burst-of-idle-account",
                   test_burst_of_idle_account);
  g_test_add_func ("/rly-share/prefix-fetched", test_prefix_fetched);
  return g_test_run ();
}
