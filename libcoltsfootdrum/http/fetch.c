/* libcurl must not be called from its own callbacks, but the caller's
   callbacks, which run inside them, may start, cancel and resume fetches.
   Such an operation is marked on the fetch and carried out by the DEFERRED
   timer, which fires in the next iteration of the loop.  */

#include "http/fetch.h"
#include "base/list.h"
#include "http/fetch-easy.h"
#include "http/syn.h"

#include <glib.h>
#include <string.h>

#define DEFAULT_MAX_BODY_BYTES (32u * 1024 * 1024)
/* Size of a response's header lines, with those of interim responses and with
   trailers.  libcurl limits single lines alone.  */
#define MAX_HEAD_BYTES (256u * 1024)

struct fetch_pool
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;    /* libcurl's timeout */
  ev_timer deferred; /* carries out deferred operations */
  bool in_libcurl;   /* in a libcurl call that may invoke callbacks */
  list_node_t fetches;
};

struct fetch
{
  list_node_t node;
  fetch_pool_t *pool;
  CURL *easy;
  struct curl_slist *header_list;
  fetch_request_t request; /* url, headers and body are no longer valid */
  unsigned idle_timeout_ms;
  ev_timer idle_timer;
  unsigned status;
  GPtrArray *head;
  GByteArray *body;
  char error[CURL_ERROR_SIZE];
  bool is_added;        /* to the multi handle */
  bool is_cancelled;    /* will be freed by the DEFERRED timer */
  bool send_denied;     /* not sent, because may_send returned false */
  bool timed_out_idle;  /* exceeded idle_timeout_ms */
  size_t head_bytes;    /* see MAX_HEAD_BYTES */
  bool too_large;       /* the head or body exceeded its limit */
  bool malformed;       /* the head or the trailers are not HTTP/1.1 */
  bool finished;        /* the done callback has been reached */
  bool has_head;        /* the final response head is complete */
  bool pause_requested; /* by fetch_pause */
  bool has_paused_data; /* libcurl buffers bytes until the fetch resumes */
};

/* Watches one of libcurl's sockets.  */
typedef struct
{
  ev_io io;
  fetch_pool_t *pool;
} fetch_socket_t;

static void
schedule_deferred (fetch_pool_t *pool)
{
  if (ev_is_active (&pool->deferred))
    return;
  ev_timer_set (&pool->deferred, 0.0, 0.0);
  ev_timer_start (pool->loop, &pool->deferred);
}

static void
fetch_destroy (fetch_t *fetch)
{
  fetch_pool_t *pool = fetch->pool;

  if (fetch->is_added)
    curl_multi_remove_handle (pool->multi, fetch->easy);
  ev_timer_stop (pool->loop, &fetch->idle_timer);
  list_remove (&fetch->node);
  curl_easy_cleanup (fetch->easy);
  curl_slist_free_all (fetch->header_list);
  g_ptr_array_unref (fetch->head);
  g_byte_array_unref (fetch->body);
  g_free (fetch);
}

static void
restart_idle_timer (fetch_t *fetch)
{
  if (fetch->idle_timeout_ms == 0)
    return;
  ev_now_update (fetch->pool->loop);
  ev_timer_again (fetch->pool->loop, &fetch->idle_timer);
}

/* Returns whether any byte of the request may have been sent.  */
static bool
may_have_been_sent (fetch_t *fetch, CURLcode code)
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
get_result (fetch_t *fetch, CURLcode code)
{
  if (code == CURLE_OK && fetch->has_head)
    return FETCH_COMPLETE;
  if (fetch->send_denied)
    return FETCH_SEND_DENIED;
  if (!may_have_been_sent (fetch, code))
    return FETCH_CONNECT_FAILED;
  if (code == CURLE_OPERATION_TIMEDOUT)
    return FETCH_TIMEOUT;
  return FETCH_INCOMPLETE;
}

static const char *
get_detail (fetch_t *fetch, CURLcode code)
{
  if (fetch->timed_out_idle)
    return "no byte came within the silence limit";
  if (fetch->too_large)
    return "the answer is larger than the client takes";
  if (fetch->malformed)
    return FETCH_MALFORMED;
  if (fetch->error[0] != '\0')
    return fetch->error;
  return code == CURLE_OK ? "" : curl_easy_strerror (code);
}

/* Reports the result to the caller and frees FETCH.  */
static void
finish (fetch_t *fetch, CURLcode code)
{
  const fetch_request_t *request = &fetch->request;
  fetch_result_t result = get_result (fetch, code);
  size_t length = fetch->body->len;

  fetch->finished = true;
  g_byte_array_append (fetch->body, (const guint8 *)"", 1);
  if (request->done != NULL)
    request->done (request->user, result, fetch->has_head ? fetch->status : 0,
                   (const char *)fetch->body->data, length,
                   get_detail (fetch, code));
  fetch_destroy (fetch);
}

static void
finish_completed (fetch_pool_t *pool)
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
      if (fetch->is_cancelled)
        fetch_destroy (fetch);
      else
        finish (fetch, code);
    }
}

static void
run_multi (fetch_pool_t *pool, curl_socket_t socket, int events)
{
  int running;

  pool->in_libcurl = true;
  curl_multi_socket_action (pool->multi, socket, events, &running);
  pool->in_libcurl = false;
  finish_completed (pool);
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
add_to_multi (fetch_t *fetch)
{
  fetch->is_added = true;
  curl_multi_add_handle (fetch->pool->multi, fetch->easy);
}

static void
resume_transfer (fetch_t *fetch)
{
  fetch_pool_t *pool = fetch->pool;

  fetch->has_paused_data = false;
  restart_idle_timer (fetch);
  pool->in_libcurl = true;
  curl_easy_pause (fetch->easy, CURLPAUSE_CONT);
  pool->in_libcurl = false;
}

static void
on_deferred (struct ev_loop *loop, ev_timer *timer, int revents)
{
  fetch_pool_t *pool = timer->data;

  list_for_each_safe (node, &pool->fetches)
    {
      fetch_t *fetch = list_entry (node, fetch_t, node);

      if (fetch->is_cancelled)
        fetch_destroy (fetch);
      else if (!fetch->is_added)
        add_to_multi (fetch);
      else if (fetch->has_paused_data && !fetch->pause_requested)
        resume_transfer (fetch);
    }
  finish_completed (pool);
}

static void
on_idle_timeout (struct ev_loop *loop, ev_timer *timer, int revents)
{
  fetch_t *fetch = timer->data;

  ev_timer_stop (loop, timer);
  if (fetch->is_cancelled)
    return;
  fetch->timed_out_idle = true;
  finish (fetch, CURLE_OPERATION_TIMEDOUT);
}

static void
finish_head (fetch_t *fetch)
{
  const fetch_request_t *request = &fetch->request;

  if (fetch->status < 200)
    return; /* an interim response; the final head follows */
  fetch->has_head = true;
  g_ptr_array_add (fetch->head, NULL);
  if (request->head != NULL)
    request->head (request->user, fetch->status,
                   (const char *const *)fetch->head->pdata);
}

static size_t
trim_line_end (const char *line, size_t length)
{
  while (length > 0 && (line[length - 1] == '\r' || line[length - 1] == '\n'))
    length--;
  return length;
}

/* Takes a line of the head or of the trailers, without its end.  Returns false
   when a response has no such line: libcurl accepts more.  */
static bool
take_line (fetch_t *fetch, const char *line, size_t length)
{
  if (length == 0)
    {
      if (!fetch->has_head)
        finish_head (fetch);
      return true;
    }
  if (!fetch->has_head && length >= 5 && memcmp (line, "HTTP/", 5) == 0)
    {
      fetch->status = syn_parse_status_line (line, length);
      g_ptr_array_set_size (fetch->head, 0);
      return fetch->status != 0;
    }
  if (!syn_is_field (line, length))
    return false;
  if (!fetch->has_head)
    g_ptr_array_add (fetch->head, g_strndup (line, length));
  return true;
}

static size_t
on_header (char *line, size_t size, size_t count, void *user)
{
  fetch_t *fetch = user;
  size_t length = size * count;

  if (fetch->is_cancelled)
    return 0;
  fetch->head_bytes += length;
  fetch->too_large |= fetch->head_bytes > MAX_HEAD_BYTES;
  if (fetch->too_large)
    return 0;
  restart_idle_timer (fetch);
  if (!take_line (fetch, line, trim_line_end (line, length)))
    {
      fetch->malformed = true;
      return 0;
    }
  return fetch->is_cancelled ? 0 : length;
}

static size_t
on_body (char *bytes, size_t size, size_t count, void *user)
{
  fetch_t *fetch = user;
  const fetch_request_t *request = &fetch->request;
  size_t length = size * count;

  if (fetch->is_cancelled)
    return 0;
  if (fetch->pause_requested)
    {
      fetch->has_paused_data = true;
      ev_timer_stop (fetch->pool->loop, &fetch->idle_timer);
      return CURL_WRITEFUNC_PAUSE;
    }
  restart_idle_timer (fetch);
  if (request->data != NULL)
    request->data (request->user, bytes, length);
  else if (fetch->body->len + length <= fetch->request.max_body_bytes)
    g_byte_array_append (fetch->body, (const guint8 *)bytes, length);
  else
    fetch->too_large = true;
  return fetch->is_cancelled || fetch->too_large ? 0 : length;
}

static int
on_prerequest (void *user, char *peer, char *local, int peer_port,
               int local_port)
{
  fetch_t *fetch = user;
  const fetch_request_t *request = &fetch->request;

  if (fetch->is_cancelled)
    return CURL_PREREQFUNC_ABORT;
  if (request->may_send (request->user))
    return CURL_PREREQFUNC_OK;
  fetch->send_denied = true;
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
      curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_prerequest);
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
  ev_init (&pool->deferred, on_deferred);
  pool->deferred.data = pool;
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
  ev_timer_stop (pool->loop, &pool->deferred);
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
  if (fetch->request.max_body_bytes == 0)
    fetch->request.max_body_bytes = DEFAULT_MAX_BODY_BYTES;
  fetch->idle_timeout_ms = request->idle_timeout_ms;
  fetch->head = g_ptr_array_new_with_free_func (g_free);
  fetch->body = g_byte_array_new ();
  list_append (&pool->fetches, &fetch->node);
  ev_init (&fetch->idle_timer, on_idle_timeout);
  fetch->idle_timer.repeat = (double)request->idle_timeout_ms / 1000.0;
  fetch->idle_timer.data = fetch;
  set_up (fetch, request);
  restart_idle_timer (fetch);
  if (pool->in_libcurl)
    schedule_deferred (pool);
  else
    add_to_multi (fetch);
  return fetch;
}

void
fetch_cancel (fetch_t *fetch)
{
  if (fetch->finished || fetch->is_cancelled)
    return;
  fetch->is_cancelled = true;
  ev_timer_stop (fetch->pool->loop, &fetch->idle_timer);
  if (fetch->pool->in_libcurl)
    schedule_deferred (fetch->pool);
  else
    fetch_destroy (fetch);
}

void
fetch_pause (fetch_t *fetch, bool paused)
{
  fetch->pause_requested = paused;
  if (!paused && fetch->has_paused_data)
    schedule_deferred (fetch->pool);
}
