#include "sp-test.h"

#include <stdio.h>
#include <unistd.h>

#define RUN_TIMEOUT_S 30.0

void
sp_test_setup (sp_test_t *test)
{
  unsigned pid = (unsigned)getpid ();
  g_autoptr (GError) error = NULL;
  char address[32];

  snprintf (address, sizeof address, "127.%u.%u.%u:7100",
            100 + (pid >> 16) % 100, (pid >> 8) % 256, pid % 256);
  snprintf (test->url, sizeof test->url, "http://%s", address);
  test->loop = ev_loop_new (EVFLAG_AUTO);
  test->sp = sp_new (test->loop, SP_TEST_HISTORY);
  g_assert_true (sp_listen (test->sp, address, NULL, &error));
  g_assert_no_error (error);
  test->pool = fetch_pool_new (test->loop);
  test->plat = plat_new (test->pool, test->url);
}

void
sp_test_stop_platform (sp_test_t *test)
{
  g_clear_pointer (&test->sp, sp_free);
}

void
sp_test_teardown (sp_test_t *test)
{
  plat_free (test->plat);
  fetch_pool_free (test->pool);
  sp_test_stop_platform (test);
  ev_loop_destroy (test->loop);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int revents)
{
  g_error ("the condition did not hold within %g s", RUN_TIMEOUT_S);
}

void
sp_test_run_until (sp_test_t *test, bool (*condition) (void *user), void *user)
{
  ev_timer timeout;

  ev_timer_init (&timeout, on_timeout, RUN_TIMEOUT_S, 0.0);
  ev_now_update (test->loop);
  ev_timer_start (test->loop, &timeout);
  while (!condition (user))
    ev_run (test->loop, EVRUN_ONCE);
  ev_timer_stop (test->loop, &timeout);
}

void
sp_test_write_object (sp_test_t *test, const char *kind, const char *name,
                      const char *spec)
{
  g_autoptr (JsonNode) node
      = spec == NULL ? NULL : json_from_string (spec, NULL);

  sp_model_write (sp_get_model (test->sp), kind, name, node, clock_now ());
  sp_notify_watches (test->sp);
}
