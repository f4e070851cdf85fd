/* Endpoints that announce in an answer that they leave, over real connections.
 */

#include "test-rly-scene.h"

#include <string.h>

#define HEAD(status, fields)                                                  \
  "HTTP/1.1 " status "\r\nX-Id: %I\r\nX-Stamp: s\r\n" fields
#define OK HEAD ("200 OK", "Content-Length: 1\r\n\r\nx")

#define CALL(path, id)                                                        \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: " id                            \
  "\r\nX-Deadline: 20000\r\nAuthorization: Bearer key-of-the-mill\r\n"        \
  "Content-Length: 0\r\n\r\n"

typedef struct
{
  const char *name;
  const char *path;
  const char *answer;
  bool leaves;
} leaving_case_t;

static const leaving_case_t cases[] = {
  { "success", "/once/",
    HEAD ("200 OK", "X-Leaving: 1\r\nContent-Length: 1\r\n\r\nx"), true },
  { "error", "/once/",
    HEAD ("500 No", "X-Leaving: 1\r\nContent-Length: 1\r\n\r\nx"), true },
  { "not-found", "/once/",
    HEAD ("404 No", "x-leaving: 1\r\nContent-Length: 1\r\n\r\nx"), true },
  { "rejection", "/once/",
    HEAD ("503 Busy",
          "X-Not-Run: 1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n"),
    true },
  { "stream", "/events-once/",
    HEAD ("200 OK", "X-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"),
    true },
  { "late", "/once/",
    "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Leaving: 1\r\nContent-Length: "
    "0\r\n\r\n" OK,
    true },
  { "other-value", "/once/",
    HEAD ("200 OK", "X-Leaving: 0\r\nContent-Length: 1\r\n\r\nx"), false },
  { "malformed-status", "/once/",
    "HTTP/1.1 000 Z\r\nX-Id: %I\r\nX-Leaving: 1\r\nContent-Length: "
    "0\r\n\r\n",
    false },
  { "malformed-name", "/once/",
    HEAD ("200 OK", "X-Leaving: 1\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n"),
    false },
  /* It is of the endpoint that has the address now.  */
  { "misdirected", "/once/",
    HEAD ("421 Not here", "X-Leaving: 1\r\nContent-Length: 0\r\n\r\n"),
    false },
};

static void
list_endpoint (scene_t *scene, int64_t started_ms)
{
  GPtrArray *reports = g_ptr_array_new ();
  edp_report_t *report = g_new0 (edp_report_t, 1);

  report->id = g_strdup ("e1");
  report->service = g_strdup ("app");
  report->address = g_strdup_printf ("127.0.0.1:%u", scene->servers[1].port);
  report->zone = g_strdup ("z");
  report->slots = 4;
  report->started_ms = started_ms;
  g_ptr_array_add (reports, report);
  edp_set_update (scene->endpoints, clock_now (), reports, true, 0);
}

static void
call (scene_t *scene, const char *request)
{
  scene_caller_t *caller = scene_send_request (scene, request);

  scene_wait_for (scene, caller, "\r\n\r\n");
  scene_caller_free (caller);
}

/* Guards against requests to an endpoint that has announced that it leaves:
   after each kind of answer, and after a list that is older.  */
static void
test_leaves (gconstpointer data)
{
  const leaving_case_t *one = data;
  const scene_reply_t replies[]
      = { { one->answer, SCENE_KEEP_OPEN }, { OK, SCENE_KEEP_OPEN } };
  scene_t *scene = scene_new (replies, 2, 4);
  g_autofree char *first = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: 20000\r\n"
      "Authorization: Bearer key-of-the-mill\r\nContent-Length: 0\r\n\r\n",
      one->path);
  unsigned received;
  edp_t *edp;

  list_endpoint (scene, 7);
  call (scene, first);
  list_endpoint (scene, 7);
  edp = edp_set_find (scene->endpoints, "e1");
  g_assert_true (edp->has_announced_leaving == one->leaves);
  if (one->leaves)
    {
      call (scene, CALL ("/twice/", "2"));
      g_assert_cmpuint (scene->requests_received, ==, 1);
    }
  received = scene->requests_received;
  /* Another process at the address.  */
  list_endpoint (scene, 8);
  call (scene, CALL ("/slow/", "3"));
  g_assert_cmpuint (scene->requests_received, ==, received + 1);
  scene_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/rly-leaving/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_leaves);
    }
  return g_test_run ();
}
