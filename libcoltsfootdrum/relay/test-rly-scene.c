/* The scene of the relay's tests.  */

#include "test-rly-scene.h"

#include "base/list.h"
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A condition that isn't met by then never will be.  */
#define LIMIT_S 30.
#define HEAD_MOST 16384

/* A connection at an endpoint.  */
typedef struct
{
  scene_endpoint_t *back;
  con_t *con;
  rd_t *rd;
  GString *body;
  char *id;
} line_t;

static const char *const ours[] = { "X-Hold", NULL };

static const rly_names_t names = {
  .request_id = "X-Id",
  .deadline_ms = "X-Deadline",
  .account = "X-Account",
  .expect_endpoint = "X-Expect",
  .not_run = "X-Not-Run",
  .stamp = "X-Stamp",
  .prompt = "X-Prompt",
  .tokens = "X-Tokens",
  .length_hint = "X-Hint",
  .fetch_from = "X-Fetch",
  .last_event = "Last-Event-Id",
  .key_scheme = "Bearer",
  .ours = ours,
};

static void
line_free (line_t *line)
{
  g_ptr_array_remove_fast (line->back->scene->lines, line);
  con_free (line->con);
  rd_free (line->rd);
  g_string_free (line->body, TRUE);
  g_free (line->id);
  g_free (line);
}

static bool
on_head (void *user, rd_head_t *head)
{
  line_t *line = user;
  GString *last = line->back->scene->last;

  g_free (line->id);
  line->id = g_strdup (hdr_get (&head->fields, "X-Id"));
  g_string_printf (last, "%s %s", head->method, head->target);
  for (guint i = 0; i < hdr_count (&head->fields); i++)
    g_string_append_printf (last, "|%s=%s", hdr_get_name (&head->fields, i),
                            hdr_get_value (&head->fields, i));
  return true;
}

static void
on_body (void *user, const char *bytes, size_t length)
{
  g_string_append_len (((line_t *)user)->body, bytes, (gssize)length);
}

static void
reply (line_t *line)
{
  scene_t *scene = line->back->scene;
  unsigned turn = MIN (scene->arrived, scene->reply_count - 1);
  const scene_reply_t *next = &scene->replies[turn];
  g_autofree char *text = NULL;
  g_auto (GStrv) parts = NULL;

  scene->arrived++;
  line->back->requests++;
  if (next->bytes == NULL)
    return;
  parts = g_strsplit (next->bytes, "%I", -1);
  text = g_strjoinv (line->id != NULL ? line->id : "", parts);
  con_write (line->con, text, strlen (text));
  if (next->then == SCENE_CLOSES)
    con_shutdown_after_flush (line->con);
}

static bool
resets (const scene_t *scene)
{
  unsigned turn = MIN (scene->arrived - 1, scene->reply_count - 1);

  return scene->replies[turn].then == SCENE_RESETS;
}

static void
on_bytes (void *user, const char *bytes, size_t length)
{
  line_t *line = user;
  scene_t *scene = line->back->scene;

  while (length > 0)
    {
      size_t used = 0;

      if (rd_feed (line->rd, bytes, length, &used) != RD_COMPLETE)
        return;
      bytes += used;
      length -= used;
      g_string_append_printf (scene->last, "|body=%s", line->body->str);
      g_string_truncate (line->body, 0);
      reply (line);
      rd_reset (line->rd);
      if (!resets (scene))
        continue;
      con_abort (line->con);
      line->con = NULL;
      line_free (line);
      return;
    }
}

static void
on_ended (void *user, con_end_t end)
{
  line_t *line = user;

  line->back->scene->lost++;
  line_free (line);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  static const con_ops_t wire = { .bytes = on_bytes, .ended = on_ended };
  static const rd_ops_t reader = { on_head, on_body };
  int fd = accept4 (watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  line_t *line;

  if (fd < 0)
    return;
  line = g_new0 (line_t, 1);
  line->back = watcher->data;
  line->body = g_string_new (NULL);
  line->rd = rd_new (RD_REQUESTS, HEAD_MOST, &reader, line);
  line->con = con_new_accepted (loop, fd, &wire, line);
  g_ptr_array_add (line->back->scene->lines, line);
}

static void
open_back (scene_t *scene, scene_endpoint_t *back)
{
  struct sockaddr_in addr = { 0 };
  socklen_t length = sizeof addr;
  int fd = addr_listen ("127.0.0.1:0", NULL);

  g_assert_cmpint (fd, >=, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *)&addr, &length), ==, 0);
  back->scene = scene;
  back->port = ntohs (addr.sin_port);
  ev_io_init (&back->listener, on_accept, fd, EV_READ);
  back->listener.data = back;
  ev_io_start (scene->loop, &back->listener);
}

static edp_report_t *
report (const char *id, unsigned port, unsigned slots)
{
  edp_report_t *one = g_new0 (edp_report_t, 1);

  one->id = g_strdup (id);
  one->service = g_strdup ("app");
  one->address = g_strdup_printf ("127.0.0.1:%u", port);
  one->zone = g_strdup ("z");
  one->slots = slots;
  return one;
}

/* A port on which nobody listens.  */
static unsigned
dead_port (void)
{
  struct sockaddr_in addr = { 0 };
  socklen_t length = sizeof addr;
  int fd = addr_listen ("127.0.0.1:0", NULL);

  getsockname (fd, (struct sockaddr *)&addr, &length);
  close (fd);
  return ntohs (addr.sin_port);
}

void
scene_list (scene_t *scene, unsigned hidden, bool dead, unsigned slots)
{
  GPtrArray *reports = g_ptr_array_new ();

  for (unsigned i = hidden; i < SCENE_ENDPOINTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%u", i);

      g_ptr_array_add (reports, report (id, scene->backs[i].port, slots));
    }
  if (dead)
    g_ptr_array_add (reports, report ("dead", dead_port (), slots));
  edp_set_update (scene->endpoints, clock_now (), reports, true, 0);
}

static rte_route_t *
add_route (rte_table_t *table, const char *prefix, rte_kind_t kind,
           unsigned attempts, bool resumable)
{
  rte_route_t *route = rte_route_new ();

  route->name = g_strdup (prefix);
  route->host = g_strdup ("h");
  route->prefix = g_strdup (prefix);
  route->kind = kind;
  route->attempts = attempts;
  route->resumable = resumable;
  route->target_latency_ms = 300;
  route->timeout_ms = 30000;
  rte_route_add_traffic_share (route, "app", 1.);
  rte_table_add_route (table, route);
  return route;
}

/* Engines that copy 1,000 tokens of cache in about a millisecond.  */
static void
add_service (rte_table_t *table)
{
  rte_service_t *service = g_new0 (rte_service_t, 1);

  service->name = g_strdup ("app");
  service->bytes_per_token = 125000.;
  service->link_mbps = 1e6;
  rte_table_add_service (table, service);
}

static rte_table_t *
make_table (void)
{
  static const char *const mill[] = { "key-of-the-mill", NULL };
  static const char *const press[] = { "key-of-the-press", NULL };
  static const char *const *const keys[] = { mill, press };
  static const char *const accounts[] = { "mill", "press" };
  rte_limits_t limits = { 0 };
  rte_table_t *table = rte_table_new (1, &limits);

  add_route (table, "/twice/", RTE_IDEMPOTENT, 2, false);
  add_route (table, "/once/", RTE_ONCE, 1, false);
  add_route (table, "/events/", RTE_STREAM, 2, true);
  add_route (table, "/events-once/", RTE_STREAM, 1, false);
  add_route (table, "/slow/", RTE_IDEMPOTENT, 1, false)->target_latency_ms
      = 10000;
  add_service (table);
  for (unsigned i = 0; i < G_N_ELEMENTS (accounts); i++)
    {
      rte_account_t *account = g_new0 (rte_account_t, 1);

      account->name = g_strdup (accounts[i]);
      account->rank = -1;
      rte_table_add_account (table, account, keys[i]);
    }
  return table;
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  scene_t *scene = timer->data;
  cfd_time_t now = clock_now ();

  rly_tick (scene->rly, now);
  ent_tick (scene->ent, now);
}

static void
on_limit (struct ev_loop *loop, ev_timer *timer, int events)
{
  ((scene_t *)timer->data)->late = true;
}

scene_t *
scene_new (const scene_reply_t *replies, unsigned count, unsigned slots)
{
  static const ent_ops_t front = { rly_on_request, rly_on_disconnect };
  static const rly_settings_t bounds = { .retry_window_ms = 10000,
                                         .retry_ratio = 0.2,
                                         .retry_slack = 50.,
                                         .share_window_ms = 4000 };
  scene_t *scene = g_new0 (scene_t, 1);
  g_autoptr (rte_table_t) table = make_table ();

  scene->loop = ev_loop_new (EVFLAG_AUTO);
  scene->replies = replies;
  scene->reply_count = count;
  scene->last = g_string_new (NULL);
  scene->lines = g_ptr_array_new ();
  scene->endpoints = edp_set_new (scene->loop);
  scene->use = use_new (bounds.share_window_ms);
  scene->pfx = pfx_new ();
  scene->ret = ret_new ();
  scene->rly = rly_new (scene->loop, &names, &bounds, scene->endpoints,
                        scene->use, scene->pfx, scene->ret);
  scene->ent = ent_new (scene->loop, "127.0.0.1:0", &front, scene->rly, NULL);
  g_assert_nonnull (scene->ent);
  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    open_back (scene, &scene->backs[i]);
  rly_set_table (scene->rly, table);
  scene_list (scene, 0, false, slots);
  ev_timer_init (&scene->tick, on_tick, 0., RLY_TICK_MS / 1000.);
  scene->tick.data = scene;
  ev_timer_start (scene->loop, &scene->tick);
  return scene;
}

void
scene_free (scene_t *scene)
{
  g_autoptr (GPtrArray) lines = NULL;

  ev_timer_stop (scene->loop, &scene->tick);
  rly_free (scene->rly);
  ent_free (scene->ent);
  edp_set_free (scene->endpoints);
  lines = g_steal_pointer (&scene->lines);
  scene->lines = g_ptr_array_new ();
  for (guint i = 0; i < lines->len; i++)
    line_free (g_ptr_array_index (lines, i));
  for (unsigned i = 0; i < SCENE_ENDPOINTS; i++)
    {
      ev_io_stop (scene->loop, &scene->backs[i].listener);
      close (scene->backs[i].listener.fd);
    }
  use_free (scene->use);
  pfx_free (scene->pfx);
  ret_free (scene->ret);
  ev_loop_destroy (scene->loop);
  g_ptr_array_unref (scene->lines);
  g_string_free (scene->last, TRUE);
  g_free (scene);
}

static void
on_caller_bytes (void *user, const char *bytes, size_t length)
{
  g_string_append_len (((scene_caller_t *)user)->text, bytes, (gssize)length);
}

static void
on_caller_ended (void *user, con_end_t end)
{
  ((scene_caller_t *)user)->ended = true;
}

scene_caller_t *
scene_call (scene_t *scene, const char *bytes)
{
  static const con_ops_t wire
      = { .bytes = on_caller_bytes, .ended = on_caller_ended };
  scene_caller_t *caller = g_new0 (scene_caller_t, 1);
  g_autofree char *text
      = g_strdup_printf ("127.0.0.1:%u", ent_get_port (scene->ent));
  addr_t addr;

  g_assert_true (addr_parse (text, &addr, NULL));
  caller->text = g_string_new (NULL);
  caller->con = con_new_outbound (scene->loop, &addr, &wire, caller);
  g_assert_nonnull (caller->con);
  con_write (caller->con, bytes, strlen (bytes));
  return caller;
}

void
scene_caller_free (scene_caller_t *caller)
{
  con_free (caller->con);
  g_string_free (caller->text, TRUE);
  g_free (caller);
}

void
scene_run (scene_t *scene, bool (*done) (void *user), void *user)
{
  scene->late = false;
  ev_timer_init (&scene->limit, on_limit, LIMIT_S, 0.);
  scene->limit.data = scene;
  ev_timer_start (scene->loop, &scene->limit);
  while (!done (user) && !scene->late)
    ev_run (scene->loop, EVRUN_ONCE);
  ev_timer_stop (scene->loop, &scene->limit);
  g_assert_false (scene->late);
}

typedef struct
{
  scene_caller_t *caller;
  const char *text;
} wish_t;

static bool
has_come (void *user)
{
  const wish_t *wish = user;

  if (wish->text == NULL)
    return wish->caller->ended;
  return strstr (wish->caller->text->str, wish->text) != NULL
         || wish->caller->ended;
}

void
scene_wait_for (scene_t *scene, scene_caller_t *caller, const char *text)
{
  wish_t wish = { caller, text };

  scene_run (scene, has_come, &wish);
}
