/* cfd-router: the router daemon.  */

#include "base/log.h"
#include "libcoltsfootdrum.h"

#include <signal.h>
#include <stdio.h>
#include <sys/resource.h>

typedef struct
{
  cfd_router_t *router;
  bool draining;
} program_t;

/* The first signal begins a graceful shutdown, the second one exits at once.
 */
static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  program_t *program = watcher->data;

  if (program->draining)
    {
      ev_break (loop, EVBREAK_ALL);
      return;
    }
  program->draining = true;
  cfd_router_drain (program->router);
}

/* Raises the soft limit of file descriptors to the hard limit.  Each caller
   and each link needs a descriptor, and a router serves more than the usual
   soft limit of 1024.  */
static void
raise_file_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    log_warn ("router", "The limit of open files could not be raised.");
}

static int
run (const cfd_settings_t *settings, GError **error)
{
  static const int signals[] = { SIGTERM, SIGINT };
  struct ev_loop *loop = ev_default_loop (EVFLAG_AUTO);
  g_autoptr (cfd_router_t) router = cfd_router_new (loop, settings, error);
  program_t program = { .router = router };
  ev_signal watchers[G_N_ELEMENTS (signals)];

  if (router == NULL)
    return 1;
  for (guint i = 0; i < G_N_ELEMENTS (signals); i++)
    {
      ev_signal_init (&watchers[i], on_signal, signals[i]);
      watchers[i].data = &program;
      ev_signal_start (loop, &watchers[i]);
    }
  ev_run (loop, 0);
  return 0;
}

int
main (int argc, char **argv)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (cfd_settings_t) settings
      = cfd_settings_parse ("router", argc, argv, &error);
  log_level_t level = LOG_INFO;
  int status = 0;

  if (settings != NULL && !settings->check)
    {
      signal (SIGPIPE, SIG_IGN);
      log_level_parse (settings->log_level, &level, NULL);
      log_setup (settings->instance, level, settings->log_json);
      raise_file_limit ();
      status = run (settings, &error);
    }
  if (error == NULL)
    return status;
  fprintf (stderr, "cfd-router: %s\n", error->message);
  return settings == NULL ? 2 : 1;
}
