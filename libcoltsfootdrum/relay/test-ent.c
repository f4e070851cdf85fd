/* Callers' connections under a burst.  */

#include "relay/ent.h"

#include "base/addr.h"

#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

/* More than wait in the listen queue.  */
#define BURST 400
#define WAVES 13
/* Turns of the loop in which all who wait are accepted.  */
#define TURNS 6

typedef struct
{
  struct ev_loop *loop;
  ent_t *ent;
  addr_t address;
} scene_t;

static void
on_request (void *user, ent_call_t *call)
{
  ent_respond (call, 200, NULL, NULL, 0);
}

static void
on_gone (void *user, ent_call_t *call)
{
}

static void
scene_init (scene_t *scene)
{
  static const ent_ops_t ops = { on_request, on_gone };
  g_autofree char *address = NULL;

  scene->loop = ev_loop_new (EVFLAG_AUTO);
  scene->ent = ent_new (scene->loop, "127.0.0.1:0", &ops, NULL, NULL);
  g_assert_nonnull (scene->ent);
  address = g_strdup_printf ("127.0.0.1:%u", ent_get_port (scene->ent));
  g_assert_true (addr_parse (address, &scene->address, NULL));
}

static void
scene_clear (scene_t *scene)
{
  ent_free (scene->ent);
  ev_loop_destroy (scene->loop);
}

/* Callers come while the process is paused; the number whose connections the
   system has made.  */
static unsigned
begin_wave (const scene_t *scene, int *fds)
{
  unsigned made = 0;

  for (unsigned i = 0; i < BURST; i++)
    {
      fds[i] = addr_connect (&scene->address);
      g_assert_cmpint (fds[i], >=, 0);
      made += send (fds[i], "", 0, MSG_NOSIGNAL) == 0;
    }
  return made;
}

static void
end_wave (const int *fds)
{
  for (unsigned i = 0; i < BURST; i++)
    close (fds[i]);
}

/* A router that lags has a long queue of connections, and those that it takes
   were given up before; nobody can connect, though it takes some all the time.
   Over 5,000 connections come to a process that is paused and then given few
   turns of its loop: no connection that was made waits longer than these.  */
static void
test_burst (void)
{
  scene_t scene = { 0 };
  int fds[BURST];

  scene_init (&scene);
  for (unsigned wave = 0; wave < WAVES; wave++)
    {
      unsigned before = ent_count_accepted (scene.ent);
      unsigned made = begin_wave (&scene, fds);

      for (unsigned turn = 0; turn < TURNS; turn++)
        ev_run (scene.loop, EVRUN_NOWAIT);
      g_assert_cmpuint (ent_count_accepted (scene.ent) - before, >=, made);
      end_wave (fds);
      for (unsigned turn = 0; turn < BURST; turn++)
        ev_run (scene.loop, EVRUN_NOWAIT);
    }
  scene_clear (&scene);
}

/* What readiness is judged by: connections that the last turn left.  */
static void
test_left_waiting (void)
{
  scene_t scene = { 0 };
  int fds[BURST];

  scene_init (&scene);
  ev_run (scene.loop, EVRUN_NOWAIT);
  g_assert_false (ent_test_and_clear_backlogged (scene.ent));
  begin_wave (&scene, fds);
  ev_run (scene.loop, EVRUN_NOWAIT);
  g_assert_true (ent_test_and_clear_backlogged (scene.ent));
  g_assert_false (ent_test_and_clear_backlogged (scene.ent));
  end_wave (fds);
  scene_clear (&scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ent/burst", test_burst);
  g_test_add_func ("/ent/left-waiting", test_left_waiting);
  return g_test_run ();
}
