/* libcurl may not be entered from its own callbacks, yet the owner's
   callbacks, which run inside them, may start, cancel and resume fetches.
   What can't be done at once is marked on the fetch and done by the WORK
   timer, which fires in the next turn of the loop.  */

#include "http/fetch.h"
#include "base/list.h"
#include "http/fetch-easy.h"

#include <glib.h>
#include <string.h>

#define BODY_MAX (32u * 1024 * 1024)

struct fetch_pool
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer; /* libcurl's own */
  ev_timer work;  /* does what was put off */
  bool inside;    /* in a call of libcurl that may call back */
  list_node_t fetches;
};

struct fetch
{
  list_node_t node;
  fetch_pool_t *pool;
  CURL *easy;
  struct curl_slist *header_list;
  fetch_request_t request; /* its pointers to data are not kept */
  unsigned idle_timeout_ms;
  ev_timer silence;
  unsigned status;
  GPtrArray *head;
  GByteArray *body;
  char error[CURL_ERROR_SIZE];
  bool added;      /* libcurl has it */
  bool cancelled;  /* waits for WORK to free it */
  bool withheld;   /* not sent, by the owner's word */
  bool silent;     /* ran into the silence limit */
  bool too_large;  /* ran into BODY_MAX */
  bool ended;      /* in the last callback */
  bool has_head;   /* the final head is complete */
  bool want_pause; /* the owner's wish */
  bool held;       /* libcurl holds back bytes */
};

/* The watcher of one of libcurl's sockets.  */
typedef struct
{
  ev_io io;
  fetch_pool_t *pool;
} fetch_socket_t;

static void
put_off (fetch_pool_t *pool)
{
  if (ev_is_active (&pool->work))
    return;
  ev_timer_set (&pool->work, 0.0, 0.0);
  ev_timer_start (pool->loop, &pool->work);
}

static void
fetch_destroy (fetch_t *fetch)
{
  fetch_pool_t *pool = fetch->pool;

  if (fetch->added)
    curl_multi_remove_handle (pool->multi, fetch->easy);
  ev_timer_stop (pool->loop, &fetch->silence);
  list_remove (&fetch->node);
  curl_easy_cleanup (fetch->easy);
  curl_slist_free_all (fetch->header_list);
  g_ptr_array_unref (fetch->head);
  g_byte_array_unref (fetch->body);
  g_free (fetch);
}

static void
restart_silence (fetch_t *fetch)
{
  if (fetch->idle_timeout_ms == 0)
    return;
  ev_now_update (fetch->pool->loop);
  ev_timer_again (fetch->pool->loop, &fetch->silence);
}

/* Whether any of the request may have left.  */
static bool
may_be_sent (fetch_t *fetch, CURLcode code)
{
  curl_off_t ready_us = 0;

  switch (code)
    {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_COULDNT_RESOLVE_PROXY:
      return false;
    default:
      break;
    }
  curl_easy_getinfo (fetch->easy, CURLINFO_PRETRANSFER_TIME_T, &ready_us);
  return fetch->status != 0 || ready_us > 0;
}

static fetch_result_t
result_of (fetch_t *fetch, CURLcode code)
{
  if (code == CURLE_OK && fetch->has_head)
    return FETCH_COMPLETE;
  if (fetch->withheld)
    return FETCH_SEND_DENIED;
  if (!may_be_sent (fetch, code))
    return FETCH_CONNECT_FAILED;
  if (code == CURLE_OPERATION_TIMEDOUT)
    return FETCH_TIMEOUT;
  return FETCH_INCOMPLETE;
}

static const char *
detail_of (fetch_t *fetch, CURLcode code)
{
  if (fetch->silent)
    return "no byte came within the silence limit";
  if (fetch->too_large)
    return "the answer is larger than the client takes";
  if (fetch->error[0] != '\0')
    return fetch->error;
  return code == CURLE_OK ? "" : curl_easy_strerror (code);
}

/* Tells the owner of the end, and frees FETCH.  */
static void
finish (fetch_t *fetch, CURLcode code)
{
  const fetch_request_t *request = &fetch->request;
  fetch_result_t result = result_of (fetch, code);
  size_t length = fetch->body->len;

  fetch->ended = true;
  g_byte_array_append (fetch->body, (const guint8 *)"", 1);
  if (request->done != NULL)
    request->done (request->user, result, fetch->status,
                   (const char *)fetch->body->data, length,
                   detail_of (fetch, code));
  fetch_destroy (fetch);
}

static void
finish_all_done (fetch_pool_t *pool)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (pool->multi, &left)) != NULL)
    {
      CURLcode code = message->data.result;
      fetch_t *fetch = NULL;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &fetch);
      if (fetch->cancelled)
        fetch_destroy (fetch);
      else
        finish (fetch, code);
    }
}

static void
run_multi (fetch_pool_t *pool, curl_socket_t socket, int events)
{
  int running;

  pool->inside = true;
  curl_multi_socket_action (pool->multi, socket, events, &running);
  pool->inside = false;
  finish_all_done (pool);
}

static void
on_socket (struct ev_loop *loop, ev_io *io, int revents)
{
  fetch_pool_t *pool = ((fetch_socket_t *)io)->pool;
  int events = 0;

  if (revents & EV_READ)
    events |= CURL_CSELECT_IN;
  if (revents & EV_WRITE)
    events |= CURL_CSELECT_OUT;
  run_multi (pool, io->fd, events);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  run_multi (timer->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
set_timer (CURLM *multi, long timeout_ms, void *user)
{
  fetch_pool_t *pool = user;

  ev_timer_stop (pool->loop, &pool->timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&pool->timer, (double)timeout_ms / 1000.0, 0.0);
  ev_timer_start (pool->loop, &pool->timer);
  return 0;
}

static int
set_socket (CURL *easy, curl_socket_t socket, int what, void *user,
            void *per_socket)
{
  fetch_pool_t *pool = user;
  fetch_socket_t *watcher = per_socket;
  int events = 0;

  if (watcher != NULL)
    ev_io_stop (pool->loop, &watcher->io);
  if (what == CURL_POLL_REMOVE)
    {
      g_free (watcher);
      curl_multi_assign (pool->multi, socket, NULL);
      return 0;
    }
  if (watcher == NULL)
    {
      watcher = g_new0 (fetch_socket_t, 1);
      watcher->pool = pool;
      ev_init (&watcher->io, on_socket);
      curl_multi_assign (pool->multi, socket, watcher);
    }
  if (what & CURL_POLL_IN)
    events |= EV_READ;
  if (what & CURL_POLL_OUT)
    events |= EV_WRITE;
  ev_io_set (&watcher->io, socket, events);
  ev_io_start (pool->loop, &watcher->io);
  return 0;
}

static void
add (fetch_t *fetch)
{
  fetch->added = true;
  curl_multi_add_handle (fetch->pool->multi, fetch->easy);
}

static void
resume (fetch_t *fetch)
{
  fetch_pool_t *pool = fetch->pool;

  fetch->held = false;
  restart_silence (fetch);
  pool->inside = true;
  curl_easy_pause (fetch->easy, CURLPAUSE_CONT);
  pool->inside = false;
}

static void
on_work (struct ev_loop *loop, ev_timer *timer, int revents)
{
  fetch_pool_t *pool = timer->data;

  list_for_each_safe (node, &pool->fetches)
    {
      fetch_t *fetch = list_entry (node, fetch_t, node);

      if (fetch->cancelled)
        fetch_destroy (fetch);
      else if (!fetch->added)
        add (fetch);
      else if (fetch->held && !fetch->want_pause)
        resume (fetch);
    }
  finish_all_done (pool);
}

static void
on_silence (struct ev_loop *loop, ev_timer *timer, int revents)
{
  fetch_t *fetch = timer->data;

  ev_timer_stop (loop, timer);
  if (fetch->cancelled)
    return;
  fetch->silent = true;
  finish (fetch, CURLE_OPERATION_TIMEDOUT);
}

static unsigned
parse_status (const char *line, size_t length)
{
  const char *space = memchr (line, ' ', length);

  return space == NULL ? 0 : (unsigned)g_ascii_strtoull (space, NULL, 10);
}

static void
end_head (fetch_t *fetch)
{
  const fetch_request_t *request = &fetch->request;

  if (fetch->status < 200)
    return; /* interim: the final head follows */
  fetch->has_head = true;
  g_ptr_array_add (fetch->head, NULL);
  if (request->head != NULL)
    request->head (request->user, fetch->status,
                   (const char *const *)fetch->head->pdata);
}

static size_t
on_header (char *line, size_t size, size_t count, void *user)
{
  fetch_t *fetch = user;
  size_t length = size * count;
  size_t bare = length;

  if (fetch->cancelled)
    return 0;
  restart_silence (fetch);
  if (fetch->has_head)
    return length; /* a trailer */
  while (bare > 0 && (line[bare - 1] == '\r' || line[bare - 1] == '\n'))
    bare--;
  if (bare == 0)
    end_head (fetch);
  else if (bare >= 5 && memcmp (line, "HTTP/", 5) == 0)
    {
      fetch->status = parse_status (line, bare);
      g_ptr_array_set_size (fetch->head, 0);
    }
  else
    g_ptr_array_add (fetch->head, g_strndup (line, bare));
  return fetch->cancelled ? 0 : length;
}

static size_t
on_body (char *bytes, size_t size, size_t count, void *user)
{
  fetch_t *fetch = user;
  const fetch_request_t *request = &fetch->request;
  size_t length = size * count;

  if (fetch->cancelled)
    return 0;
  if (fetch->want_pause)
    {
      fetch->held = true;
      ev_timer_stop (fetch->pool->loop, &fetch->silence);
      return CURL_WRITEFUNC_PAUSE;
    }
  restart_silence (fetch);
  if (request->data != NULL)
    request->data (request->user, bytes, length);
  else if (fetch->body->len + length <= BODY_MAX)
    g_byte_array_append (fetch->body, (const guint8 *)bytes, length);
  else
    fetch->too_large = true;
  return fetch->cancelled || fetch->too_large ? 0 : length;
}

static int
on_connected (void *user, char *peer, char *local, int peer_port,
              int local_port)
{
  fetch_t *fetch = user;
  const fetch_request_t *request = &fetch->request;

  if (fetch->cancelled)
    return CURL_PREREQFUNC_ABORT;
  if (request->may_send (request->user))
    return CURL_PREREQFUNC_OK;
  fetch->withheld = true;
  return CURL_PREREQFUNC_ABORT;
}

static void
set_up (fetch_t *fetch, const fetch_request_t *request)
{
  CURL *easy = curl_easy_init ();

  fetch->easy = easy;
  curl_easy_setopt (easy, CURLOPT_PRIVATE, fetch);
  curl_easy_setopt (easy, CURLOPT_ERRORBUFFER, fetch->error);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, fetch);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, fetch);
  if (request->may_send != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_connected);
      curl_easy_setopt (easy, CURLOPT_PREREQDATA, fetch);
    }
  fetch->header_list = fetch_easy_setup (easy, request);
}

fetch_pool_t *
fetch_pool_new (struct ev_loop *loop)
{
  fetch_pool_t *pool = g_new0 (fetch_pool_t, 1);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  pool->loop = loop;
  list_init (&pool->fetches);
  ev_init (&pool->timer, on_timer);
  pool->timer.data = pool;
  ev_init (&pool->work, on_work);
  pool->work.data = pool;
  pool->multi = curl_multi_init ();
  curl_multi_setopt (pool->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
  curl_multi_setopt (pool->multi, CURLMOPT_SOCKETDATA, pool);
  curl_multi_setopt (pool->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (pool->multi, CURLMOPT_TIMERDATA, pool);
  return pool;
}

void
fetch_pool_free (fetch_pool_t *pool)
{
  if (pool == NULL)
    return;
  list_for_each_safe (node, &pool->fetches)
    fetch_destroy (list_entry (node, fetch_t, node));
  curl_multi_cleanup (pool->multi);
  ev_timer_stop (pool->loop, &pool->timer);
  ev_timer_stop (pool->loop, &pool->work);
  curl_global_cleanup ();
  g_free (pool);
}

struct ev_loop *
fetch_pool_get_loop (const fetch_pool_t *pool)
{
  return pool->loop;
}

fetch_t *
fetch_start (fetch_pool_t *pool, const fetch_request_t *request)
{
  fetch_t *fetch = g_new0 (fetch_t, 1);

  fetch->pool = pool;
  fetch->request = *request;
  fetch->idle_timeout_ms = request->idle_timeout_ms;
  fetch->head = g_ptr_array_new_with_free_func (g_free);
  fetch->body = g_byte_array_new ();
  list_append (&pool->fetches, &fetch->node);
  ev_init (&fetch->silence, on_silence);
  fetch->silence.repeat = (double)request->idle_timeout_ms / 1000.0;
  fetch->silence.data = fetch;
  set_up (fetch, request);
  restart_silence (fetch);
  if (pool->inside)
    put_off (pool);
  else
    add (fetch);
  return fetch;
}

void
fetch_cancel (fetch_t *fetch)
{
  if (fetch->ended || fetch->cancelled)
    return;
  fetch->cancelled = true;
  ev_timer_stop (fetch->pool->loop, &fetch->silence);
  if (fetch->pool->inside)
    put_off (fetch->pool);
  else
    fetch_destroy (fetch);
}

void
fetch_pause (fetch_t *fetch, bool paused)
{
  fetch->want_pause = paused;
  if (!paused && fetch->held)
    put_off (fetch->pool);
}
