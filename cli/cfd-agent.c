/* cfd-agent: the process beside one endpoint.  */

#include "libcoltsfootdrum.h"
#include "base/log.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* The first signal begins a graceful shutdown, the second ends at once.  */
typedef struct
{
  cfd_agent_t *agent;
  bool draining;
} stop_t;

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  stop_t *stop = watcher->data;

  if (stop->draining)
    {
      ev_break (loop, EVBREAK_ALL);
      return;
    }
  stop->draining = true;
  cfd_agent_drain (stop->agent);
}

static void
watch_signal (struct ev_loop *loop, ev_signal *watcher, int number,
              stop_t *stop)
{
  ev_signal_init (watcher, on_signal, number);
  watcher->data = stop;
  ev_signal_start (loop, watcher);
}

int
main (int argc, char **argv)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (cfd_settings_t) settings
      = cfd_settings_parse ("agent", argc, argv, &error);
  struct ev_loop *loop = ev_default_loop (0);
  g_autoptr (cfd_agent_t) agent = NULL;
  ev_signal terminated;
  ev_signal interrupted;
  stop_t stop = { 0 };
  log_level_t level = LOG_INFO;

  if (settings == NULL && error == NULL)
    return 0;
  if (settings == NULL)
    {
      fprintf (stderr, "cfd-agent: %s\n", error->message);
      return 2;
    }
  if (settings->check)
    return 0;
  if (settings->log_level != NULL)
    (void)log_level_parse (settings->log_level, &level, NULL);
  signal (SIGPIPE, SIG_IGN);
  log_setup (settings->instance, level, settings->log_json);
  agent = cfd_agent_new (loop, settings, &error);
  if (agent == NULL)
    {
      fprintf (stderr, "cfd-agent: %s\n", error->message);
      return 1;
    }
  stop.agent = agent;
  watch_signal (loop, &terminated, SIGTERM, &stop);
  watch_signal (loop, &interrupted, SIGINT, &stop);
  ev_run (loop, 0);
  return 0;
}
