/* Tests of how connections end, over TCP.  */

#include "relay/con.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_S 20.
/* Two reads of the connection.  */
#define INPUT_BYTES 32768

typedef struct
{
  con_t *con;
  int peer;
  size_t received;
  con_t *writes_to; /* when bytes are received; NULL: none */
  bool has_ended;
  con_end_t end;
} link_t;

static void
on_bytes (void *user, const char *bytes, size_t length)
{
  link_t *link = user;

  link->received += length;
  if (link->writes_to != NULL)
    con_write (link->writes_to, "x", 1);
}

static void
on_ended (void *user, con_end_t end)
{
  link_t *link = user;

  link->has_ended = true;
  link->end = end;
}

static void
link_open (link_t *link, struct ev_loop *loop)
{
  static const con_ops_t ops = { .bytes = on_bytes, .ended = on_ended };
  int listener = addr_listen ("127.0.0.1:0", NULL);
  struct sockaddr_in addr = { 0 };
  socklen_t length = sizeof addr;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  g_assert_cmpint (getsockname (listener, (struct sockaddr *)&addr, &length),
                   ==, 0);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&addr, length), ==, 0);
  link->peer = fd;
  do
    fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  while (fd < 0);
  link->con = con_new_accepted (loop, fd, &ops, link);
  close (listener);
}

static void
link_close (link_t *link)
{
  con_free (link->con);
  close (link->peer);
}

static void
send_bytes (const link_t *link, size_t length)
{
  g_autofree char *bytes = g_strnfill (length, 'b');

  g_assert_cmpint (send (link->peer, bytes, length, MSG_NOSIGNAL), ==,
                   (ssize_t)length);
}

/* Resets the connection at the peer, whose descriptor is replaced.  */
static void
reset_peer (link_t *link)
{
  struct linger none = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (link->peer, SOL_SOCKET, SO_LINGER, &none, sizeof none);
  close (link->peer);
  link->peer = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  g_error ("The connection didn't end in time.");
}

static void
run_until_end (struct ev_loop *loop, const link_t *link)
{
  ev_timer timeout;

  ev_timer_init (&timeout, on_timeout, TIMEOUT_S, 0.);
  ev_timer_start (loop, &timeout);
  while (!link->has_ended)
    ev_run (loop, EVRUN_ONCE);
  ev_timer_stop (loop, &timeout);
}

static void
test_closed (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  link_t link = { 0 };

  link_open (&link, loop);
  send_bytes (&link, INPUT_BYTES);
  shutdown (link.peer, SHUT_WR);
  run_until_end (loop, &link);
  g_assert_cmpuint (link.received, ==, INPUT_BYTES);
  g_assert_cmpint (link.end, ==, CON_END_CLOSED);
  link_close (&link);
  ev_loop_destroy (loop);
}

/* Guards against a reset that counts as an orderly end, as the peer had closed
   its sending side first: the socket reports the end of input alone.  */
static void
test_reset_after_shutdown (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  link_t link = { 0 };

  link_open (&link, loop);
  send_bytes (&link, INPUT_BYTES);
  shutdown (link.peer, SHUT_WR);
  reset_peer (&link);
  run_until_end (loop, &link);
  g_assert_cmpint (link.end, ==, CON_END_RESET);
  link_close (&link);
  ev_loop_destroy (loop);
}

/* Guards against a reset that counts as an orderly end, as a write took the
   socket's error before the input was read.  */
static void
test_reset_seen_by_write (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  link_t link = { 0 };
  link_t triggers[2] = { 0 };

  /* Whichever order the loop takes, one trigger comes before LINK.  */
  link_open (&triggers[0], loop);
  link_open (&link, loop);
  link_open (&triggers[1], loop);
  triggers[0].writes_to = link.con;
  triggers[1].writes_to = link.con;
  ev_run (loop, EVRUN_NOWAIT);
  send_bytes (&triggers[0], 1);
  send_bytes (&link, INPUT_BYTES);
  reset_peer (&link);
  send_bytes (&triggers[1], 1);
  run_until_end (loop, &link);
  g_assert_cmpint (link.end, ==, CON_END_RESET);
  for (gsize i = 0; i < G_N_ELEMENTS (triggers); i++)
    link_close (&triggers[i]);
  link_close (&link);
  ev_loop_destroy (loop);
}

/* Guards against a reset that counts as an orderly end, as it came while
   reading was paused.  */
static void
test_reset_while_paused (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  link_t link = { 0 };

  link_open (&link, loop);
  con_set_read_paused (link.con, true);
  send_bytes (&link, INPUT_BYTES);
  reset_peer (&link);
  ev_run (loop, EVRUN_NOWAIT);
  g_assert_cmpuint (link.received, ==, 0);
  con_set_read_paused (link.con, false);
  run_until_end (loop, &link);
  g_assert_cmpint (link.end, ==, CON_END_RESET);
  link_close (&link);
  ev_loop_destroy (loop);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/con/closed", test_closed);
  g_test_add_func ("/con/reset-after-shutdown", test_reset_after_shutdown);
  g_test_add_func ("/con/reset-seen-by-write", test_reset_seen_by_write);
  g_test_add_func ("/con/reset-while-paused", test_reset_while_paused);
  return g_test_run ();
}
