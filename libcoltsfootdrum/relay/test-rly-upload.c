/* Requests whose callers take long to send their bodies: which times count as
   the router's wait, and which count from the first byte.  */

#include "test-rly-scene.h"

#include <string.h>

#define OK                                                                    \
  "HTTP/1.1 200 OK\r\nX-Id: %I\r\nX-Stamp: s\r\n"                             \
  "Content-Length: 3\r\n\r\nabc"
#define UPLOAD_MS 600
#define DEADLINE_MS 5000

typedef struct
{
  scene_t *scene;
  scene_caller_t *caller;
  GString *rest; /* of the body, not sent yet */
} upload_t;

static const scene_reply_t ok_reply = { OK, SCENE_KEEP_OPEN };

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
  g_test_add_func ("/rly-upload/past-deadline", test_past_deadline);
  return g_test_run ();
}
