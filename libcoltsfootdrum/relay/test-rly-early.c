/* Endpoints that answer before they have read a long upload, over real
   connections: what the caller gets when the connection ends under it.  */

#include "test-rly-scene.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LARGE_BYTES 3000000u
/* The socket buffers take all of it.  */
#define MEDIUM_BYTES 200000u
/* What the endpoint reads of the upload, with its head.  */
#define READ_BYTES 4096
#define ROUNDS 3
/* Less than an upload, so that its host can't acknowledge all of it.  */
#define RECEIVE_BUFFER_BYTES 32768

#define HEAD "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Stamp: s\r\n"
#define PART HEAD "\r\npart"
#define EVENT "id: 1\ndata: a\n\n"
#define FIRST_ANSWER HEAD "Content-Length: 5\r\n\r\nfirst"

typedef enum
{
  RESET,            /* at once */
  CLOSE,            /* with unread bytes, which resets the connection */
  SHUT_DOWN_RESET,  /* its sending side first */
  SHUT_DOWN_CLOSE,  /* likewise, with unread bytes */
  SHUT_DOWN_READ_ON /* reads the upload to the end */
} ending_t;

typedef struct
{
  const char *name;
  const char *path;
  unsigned upload_bytes;
  const char *answer;
  ending_t ending;
  bool is_kept;  /* on a connection that had a request before */
  bool is_whole; /* the caller gets the answer as complete */
} case_t;

#define ENDED_BY(how, name, ending, is_whole)                                 \
  {                                                                           \
    how "/plain-" name, "/once/", LARGE_BYTES, PART, ending, false, is_whole  \
  },                                                                          \
      { how "/plain-kept-" name,                                              \
        "/once/",                                                             \
        LARGE_BYTES,                                                          \
        PART,                                                                 \
        ending,                                                               \
        true,                                                                 \
        is_whole },                                                           \
      { how "/plain-medium-" name,                                            \
        "/once/",                                                             \
        MEDIUM_BYTES,                                                         \
        PART,                                                                 \
        ending,                                                               \
        false,                                                                \
        is_whole },                                                           \
  {                                                                           \
    how "/stream-" name, "/events-once/", LARGE_BYTES, HEAD "\r\n" EVENT,     \
        ending, false, is_whole                                               \
  }

static const case_t cases[] = {
  /* Guards against a part of an answer that counts as complete, since its
     connection was reset while the upload was being written.  */
  ENDED_BY ("reset", "reset", RESET, false),
  ENDED_BY ("reset", "unread", CLOSE, false),
  ENDED_BY ("shut-down", "reset", SHUT_DOWN_RESET, false),
  ENDED_BY ("shut-down", "unread", SHUT_DOWN_CLOSE, false),
  /* Guards against a complete early answer that is lost.  */
  { "shut-down/plain-read-on", "/once/", LARGE_BYTES, PART, SHUT_DOWN_READ_ON,
    false, true },
  { "shut-down/plain-medium-read-on", "/once/", MEDIUM_BYTES, PART,
    SHUT_DOWN_READ_ON, false, true },
};

/* An endpoint with a thread of its own, so that it answers and ends the
   connection while the router writes.  */
typedef struct
{
  const case_t *test;
  unsigned delay_us; /* between the answer and the end */
  int listener;
  GThread *thread;
} endpoint_t;

static void
send_text (int fd, const char *text)
{
  g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   (ssize_t)strlen (text));
}

static void
reset (int fd)
{
  struct linger none = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
}

static void
read_on (int fd)
{
  char buffer[READ_BYTES];

  while (recv (fd, buffer, sizeof buffer, 0) > 0)
    ;
}

static void
end_connection (int fd, ending_t ending, unsigned delay_us)
{
  switch (ending)
    {
    case RESET:
      g_usleep (delay_us);
      reset (fd);
      break;
    case CLOSE:
      g_usleep (delay_us);
      break;
    case SHUT_DOWN_RESET:
      shutdown (fd, SHUT_WR);
      g_usleep (delay_us);
      reset (fd);
      break;
    case SHUT_DOWN_CLOSE:
      shutdown (fd, SHUT_WR);
      g_usleep (delay_us);
      break;
    case SHUT_DOWN_READ_ON:
      shutdown (fd, SHUT_WR);
      g_usleep (delay_us);
      read_on (fd);
      break;
    }
  close (fd);
}

static gpointer
run_endpoint (gpointer data)
{
  endpoint_t *endpoint = data;
  const case_t *test = endpoint->test;
  char buffer[READ_BYTES];
  int fd = accept (endpoint->listener, NULL, NULL);

  g_assert_cmpint (fd, >=, 0);
  if (test->is_kept)
    {
      g_assert_cmpint (recv (fd, buffer, sizeof buffer, 0), >, 0);
      send_text (fd, FIRST_ANSWER);
    }
  g_assert_cmpint (recv (fd, buffer, sizeof buffer, 0), >, 0);
  send_text (fd, test->answer);
  end_connection (fd, test->ending, endpoint->delay_us);
  return NULL;
}

static unsigned
start_endpoint (endpoint_t *endpoint)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof addr;
  int buffer_bytes = RECEIVE_BUFFER_BYTES;

  endpoint->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (bind (endpoint->listener, (struct sockaddr *)&addr, length),
                   ==, 0);
  setsockopt (endpoint->listener, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
              sizeof buffer_bytes);
  g_assert_cmpint (listen (endpoint->listener, 1), ==, 0);
  getsockname (endpoint->listener, (struct sockaddr *)&addr, &length);
  endpoint->thread = g_thread_new ("endpoint", run_endpoint, endpoint);
  return ntohs (addr.sin_port);
}

static scene_caller_t *
send_upload (scene_t *scene, const char *path, unsigned bytes)
{
  g_autofree char *body = g_strnfill (bytes, 'u');
  g_autofree char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: 20000\r\n"
      "Authorization: Bearer key-of-the-mill\r\nContent-Length: %u\r\n\r\n%s",
      path, bytes, body);

  return scene_send_request (scene, text);
}

/* Returns whether CALLER has the end of an answer that the router frames, or
   its connection ended.  */
static bool
is_answered (void *user)
{
  const scene_caller_t *caller = user;
  const char *text = caller->text->str;

  return caller->ended || g_str_has_suffix (text, "\r\n0\r\n\r\n")
         || g_str_has_suffix (text, "\r\n\r\npart")
         || (g_str_has_prefix (text, "HTTP/1.1 5")
             && strstr (text, "\r\n\r\n") != NULL);
}

static void
check_answer (const case_t *test, const scene_caller_t *caller)
{
  const char *text = caller->text->str;
  bool is_whole = g_str_has_suffix (text, "\r\n0\r\n\r\n")
                  || g_str_has_suffix (text, "\r\n\r\npart");

  g_test_message ("caller: %s", text);
  g_assert_cmpint (is_whole, ==, test->is_whole);
  if (!is_whole && strstr (text, EVENT) == NULL)
    g_assert_true (g_str_has_prefix (text, "HTTP/1.1 502 "));
}

static void
run_once (const case_t *test, unsigned delay_us)
{
  static const scene_reply_t none = { NULL, SCENE_KEEP_OPEN };
  endpoint_t endpoint = { .test = test, .delay_us = delay_us };
  scene_t *scene = scene_new (&none, 1, 4);
  scene_caller_t *caller;

  scene->servers[SCENE_ENDPOINTS - 1].port = start_endpoint (&endpoint);
  scene_list_endpoints (scene, SCENE_ENDPOINTS - 1, false, 4);
  if (test->is_kept)
    {
      caller = send_upload (scene, test->path, 0);
      scene_wait_for (scene, caller, "first");
      scene_caller_free (caller);
    }
  caller = send_upload (scene, test->path, test->upload_bytes);
  scene_run (scene, is_answered, caller);
  check_answer (test, caller);
  scene_caller_free (caller);
  scene_free (scene);
  g_thread_join (endpoint.thread);
  close (endpoint.listener);
}

static void
test_case (const void *data)
{
  static const unsigned delays_us[] = { 0, 200, 5000 };

  for (unsigned round = 0; round < ROUNDS; round++)
    for (gsize i = 0; i < G_N_ELEMENTS (delays_us); i++)
      run_once (data, delays_us[i]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/early/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
    }
  return g_test_run ();
}
