/* Requests whose callers take long to send their bodies: which times count as
   the router's wait, and which count from the first byte.  */

#include "test-rly-scene.h"

#include <stdlib.h>
#include <string.h>

#define OK                                                                    \
  "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\n"                             \
  "Content-Length: 3\r\n\r\nabc"
#define EVENTS                                                                \
  "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\nTransfer-Encoding: "          \
  "chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"
/* The routes allow 300 ms until the first byte, "/slow/" 10 s.  */
#define UPLOAD_MS 600
#define DEADLINE_MS 5000
/* Time in which a head reaches the router.  */
#define CONNECT_MS 200
#define PROMPT "a:100,b:900"

typedef struct
{
  scene_t *scene;
  scene_caller_t *caller;
  GString *rest; /* of the body, not sent yet */
} upload_t;

static const scene_reply_t ok_reply = { OK, SCENE_KEEP_OPEN };
static const scene_reply_t stream_reply = { EVENTS, SCENE_KEEP_OPEN };
static const scene_reply_t no_reply = { NULL, SCENE_KEEP_OPEN };

typedef struct
{
  const char *path;
  const char *id;
  const char *fields; /* further header lines; NULL: none */
  size_t body_bytes;
  int deadline_ms; /* 0: DEADLINE_MS */
  bool is_chunked;
} upload_plan_t;

static bool
is_later (void *user)
{
  return clock_now () >= *(const cfd_time_t *)user;
}

static void
run_ms (scene_t *scene, int64_t ms)
{
  cfd_time_t until = clock_now () + ms;

  scene_run (scene, is_later, &until);
}

static bool
has_waiting (void *user)
{
  return rly_counts (((const scene_t *)user)->rly)->waiting > 0;
}

static bool
has_ended_waiting (void *user)
{
  return rly_counts (((const scene_t *)user)->rly)->waiting == 0;
}

static bool
has_two_waiting (void *user)
{
  return rly_counts (((const scene_t *)user)->rly)->waiting >= 2;
}

static bool
has_received_one (void *user)
{
  return ((const scene_t *)user)->requests_received >= 1;
}

static bool
has_received_two (void *user)
{
  return ((const scene_t *)user)->requests_received >= 2;
}

static bool
has_received_three (void *user)
{
  return ((const scene_t *)user)->requests_received >= 3;
}

static bool
has_received_four (void *user)
{
  return ((const scene_t *)user)->requests_received >= 4;
}

static bool
has_waiting_body (void *user)
{
  return ent_get_body_stats (((const scene_t *)user)->ent).waiting > 0;
}

/* Sends the head of a request and the first byte of its body.  */
static void
upload_init (upload_t *upload, scene_t *scene, const upload_plan_t *plan)
{
  g_autofree char *body = g_strnfill (plan->body_bytes, 'a');
  g_autofree char *length
      = plan->is_chunked
            ? g_strdup ("Transfer-Encoding: chunked")
            : g_strdup_printf ("Content-Length: %zu", plan->body_bytes);
  g_autofree char *head = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Deadline: %d\r\n%s"
      "Authorization: Bearer key-of-the-mill\r\n%s\r\n\r\n%s",
      plan->path, plan->id,
      plan->deadline_ms > 0 ? plan->deadline_ms : DEADLINE_MS,
      plan->fields != NULL ? plan->fields : "", length,
      plan->is_chunked ? "1\r\na\r\n" : "a");

  upload->scene = scene;
  upload->rest = g_string_new (NULL);
  if (plan->is_chunked)
    g_string_printf (upload->rest, "%zx\r\n%s\r\n0\r\n\r\n",
                     plan->body_bytes - 1, body + 1);
  else
    g_string_assign (upload->rest, body + 1);
  upload->caller = scene_send_request (scene, head);
}

/* Sends the rest of the body.  */
static void
upload_finish (upload_t *upload)
{
  con_write (upload->caller->con, upload->rest->str, upload->rest->len);
}

static void
upload_clear (upload_t *upload)
{
  scene_caller_free (upload->caller);
  g_string_free (upload->rest, TRUE);
}

static void
expect_status (const upload_t *upload, const char *status)
{
  scene_wait_for (upload->scene, upload->caller, "\r\n\r\n");
  if (!g_str_has_prefix (upload->caller->text->str, status))
    g_error ("the answer is not %s: %s", status, upload->caller->text->str);
}

/* Returns the deadline that the last endpoint was given.  */
static int
get_sent_deadline_ms (const scene_t *scene)
{
  const char *field = strstr (scene->last_request->str, "X-Deadline=");

  g_assert_nonnull (field);
  return atoi (field + strlen ("X-Deadline="));
}

static const upload_plan_t idle_plans[]
    = { { "/once/", "plain", NULL, 1000, 0, false },
        { "/once/", "prompt", "X-Prompt: " PROMPT "\r\n", 1000, 0, false },
        { "/once/", "large", NULL, 500000, 0, false },
        { "/once/", "chunked", NULL, 100000, 0, true },
        { "/events/", "stream", NULL, 1000, 0, false } };

/* Guards against the refusal of a request beside idle endpoints, since its
   caller took longer for the body than the route allows for the first byte;
   and against an endpoint that is given more time than the caller has.  */
static void
test_idle (gconstpointer data)
{
  const upload_plan_t *plan = data;
  bool is_stream = g_str_equal (plan->path, "/events/");
  scene_t *scene = scene_new (is_stream ? &stream_reply : &ok_reply, 1, 4);
  upload_t upload;
  int64_t left_ms;

  upload_init (&upload, scene, plan);
  run_ms (scene, UPLOAD_MS);
  upload_finish (&upload);
  expect_status (&upload, "HTTP/1.1 200 ");
  left_ms = DEADLINE_MS - UPLOAD_MS + CONNECT_MS;
  g_assert_cmpint (get_sent_deadline_ms (scene), <=, left_ms);
  g_assert_cmpint (get_sent_deadline_ms (scene), >, left_ms / 2);
  upload_clear (&upload);
  scene_free (scene);
}

/* Guards against a request that gets no slot when one becomes free: it may
   wait as long as one that came in one read.  */
static void
test_waits (void)
{
  scene_t *scene = scene_new (&no_reply, 1, 1);
  upload_plan_t plan = { "/slow/", "1", NULL, 1000, 0, false };
  upload_t uploads[SCENE_ENDPOINTS];
  upload_t upload;

  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    {
      upload_init (&uploads[i], scene, &plan);
      upload_finish (&uploads[i]);
    }
  scene_run (scene, has_received_two, scene);
  plan.path = "/once/";
  upload_init (&upload, scene, &plan);
  run_ms (scene, UPLOAD_MS);
  upload_finish (&upload);
  scene_run (scene, has_waiting, scene);
  scene_answer (scene, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Stamp: s\r\n"
                       "Content-Length: 0\r\n\r\n");
  scene_run (scene, has_ended_waiting, scene);
  g_assert_cmpuint (rly_counts (scene->rly)->refused, ==, 0);
  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    upload_clear (&uploads[i]);
  upload_clear (&upload);
  scene_free (scene);
}

/* Guards against a caller that passes the requests of its account that wait,
   since it began to send earlier.  */
static void
test_order (void)
{
  scene_t *scene = scene_new (&no_reply, 1, 1);
  upload_plan_t plan = { "/slow/", "1", NULL, 1000, 0, false };
  upload_t uploads[SCENE_ENDPOINTS];
  upload_t first_begun;
  upload_t first_whole;

  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    {
      upload_init (&uploads[i], scene, &plan);
      upload_finish (&uploads[i]);
    }
  scene_run (scene, has_received_two, scene);
  plan.id = "first-begun";
  upload_init (&first_begun, scene, &plan);
  run_ms (scene, 100);
  plan.id = "first-whole";
  upload_init (&first_whole, scene, &plan);
  upload_finish (&first_whole);
  scene_run (scene, has_waiting, scene);
  run_ms (scene, 100);
  upload_finish (&first_begun);
  scene_run (scene, has_two_waiting, scene);
  scene_list_endpoints (scene, 1, false, 2);
  scene_run (scene, has_received_three, scene);
  g_assert_nonnull (strstr (scene->last_request->str, "X-Id=first-whole"));
  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    upload_clear (&uploads[i]);
  upload_clear (&first_begun);
  upload_clear (&first_whole);
  scene_free (scene);
}

/* Guards against the retry of a refused caller that counts as late for the
   time that its second upload took: it would get no slot of an endpoint that
   is half full.  */
static void
test_retry (void)
{
  static const scene_reply_t replies[] = { { NULL, SCENE_KEEP_OPEN },
                                           { NULL, SCENE_KEEP_OPEN },
                                           { NULL, SCENE_KEEP_OPEN },
                                           { NULL, SCENE_KEEP_OPEN },
                                           { OK, SCENE_KEEP_OPEN } };
  static const upload_plan_t other_plan
      = { "/slow/", "o", NULL, 1000, 0, false };
  static const upload_plan_t plan
      = { "/once/", "1", "X-Prompt: " PROMPT "\r\n", 1000, 0, false };
  scene_t *scene = scene_new (replies, G_N_ELEMENTS (replies), 4);
  g_autofree char *body = g_strnfill (plan.body_bytes, 'a');
  upload_t others[2 * SCENE_ENDPOINTS];
  upload_t upload;
  cfd_time_t now;

  for (unsigned i = 0; i < G_N_ELEMENTS (others); i++)
    {
      upload_init (&others[i], scene, &other_plan);
      upload_finish (&others[i]);
    }
  scene_run (scene, has_received_four, scene);
  now = clock_now ();
  ret_add_refusal (scene->ret, now,
                   ret_request_key ("mill", PROMPT, body, plan.body_bytes),
                   now - 50, now);
  upload_init (&upload, scene, &plan);
  run_ms (scene, UPLOAD_MS);
  upload_finish (&upload);
  expect_status (&upload, "HTTP/1.1 200 ");
  for (unsigned i = 0; i < G_N_ELEMENTS (others); i++)
    upload_clear (&others[i]);
  upload_clear (&upload);
  scene_free (scene);
}

/* Guards against time that is not counted as the router's although the router
   let the body wait: a request past its target latency would still wait for
   endpoints as long as a new one, before those that can be in time.  */
static void
test_memory_wait (void)
{
  static const upload_plan_t first_plan
      = { "/slow/", "1", NULL, 500000, 0, false };
  static const upload_plan_t plan = { "/once/", "2", NULL, 500000, 0, false };
  scene_t *scene = scene_new (&no_reply, 1, 4);
  upload_t first;
  upload_t upload;

  ent_set_body_budget (scene->ent, 900000);
  upload_init (&first, scene, &first_plan);
  upload_finish (&first);
  scene_run (scene, has_received_one, scene);
  upload_init (&upload, scene, &plan);
  upload_finish (&upload);
  scene_run (scene, has_waiting_body, scene);
  run_ms (scene, 350);
  scene_caller_free (first.caller);
  first.caller = NULL;
  expect_status (&upload, "HTTP/1.1 503 ");
  g_assert_cmpuint (rly_counts (scene->rly)->lacked[PLC_NOTHING], ==, 1);
  g_string_free (first.rest, TRUE);
  upload_clear (&upload);
  scene_free (scene);
}

/* Guards against a request that the route's time-out ends while its caller is
   still sending: it bounds how long the request is kept waiting here.  */
static void
test_route_timeout (void)
{
  static const upload_plan_t plan = { "/brief/", "1", NULL, 1000, 0, false };
  scene_t *scene = scene_new (&ok_reply, 1, 4);
  upload_t upload;

  upload_init (&upload, scene, &plan);
  run_ms (scene, UPLOAD_MS);
  upload_finish (&upload);
  expect_status (&upload, "HTTP/1.1 200 ");
  g_assert_cmpint (get_sent_deadline_ms (scene), <=, SCENE_BRIEF_TIMEOUT_MS);
  g_assert_cmpint (get_sent_deadline_ms (scene), >,
                   SCENE_BRIEF_TIMEOUT_MS / 2);
  upload_clear (&upload);
  scene_free (scene);
}

/* Guards against an endpoint that gets a request whose caller's deadline
   passed during the upload.  */
static void
test_past_deadline (void)
{
  static const upload_plan_t plan
      = { "/slow/", "1", NULL, 1000, UPLOAD_MS / 2, false };
  scene_t *scene = scene_new (&ok_reply, 1, 4);
  upload_t upload;

  upload_init (&upload, scene, &plan);
  run_ms (scene, UPLOAD_MS);
  upload_finish (&upload);
  expect_status (&upload, "HTTP/1.1 503 ");
  g_assert_cmpuint (scene->requests_received, ==, 0);
  upload_clear (&upload);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (idle_plans); i++)
    {
      g_autofree char *name
          = g_strconcat ("/rly-upload/idle/", idle_plans[i].id, NULL);

      g_test_add_data_func (name, &idle_plans[i], test_idle);
    }
  g_test_add_func ("/rly-upload/waits", test_waits);
  g_test_add_func ("/rly-upload/order", test_order);
  g_test_add_func ("/rly-upload/retry", test_retry);
  g_test_add_func ("/rly-upload/memory-wait", test_memory_wait);
  g_test_add_func ("/rly-upload/route-timeout", test_route_timeout);
  g_test_add_func ("/rly-upload/past-deadline", test_past_deadline);
  return g_test_run ();
}
