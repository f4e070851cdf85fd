/* cfd-agent: the agent daemon, which runs beside one endpoint.  */

#include "libcoltsfootdrum.h"
#include "base/log.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* State of the signal handlers.  */
typedef struct
{
  cfd_agent_t *agent;
  bool draining;
} signal_context_t;

/* The first signal begins a graceful shutdown, the second one exits at once.
 */
static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  signal_context_t *context = watcher->data;

  if (context->draining)
    {
      ev_break (loop, EVBREAK_ALL);
      return;
    }
  context->draining = true;
  cfd_agent_drain (context->agent);
}

static void
watch_signal (struct ev_loop *loop, ev_signal *watcher, int number,
              signal_context_t *context)
{
  ev_signal_init (watcher, on_signal, number);
  watcher->data = context;
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
  ev_signal sigterm_watcher;
  ev_signal sigint_watcher;
  signal_context_t context = { 0 };
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
  context.agent = agent;
  watch_signal (loop, &sigterm_watcher, SIGTERM, &context);
  watch_signal (loop, &sigint_watcher, SIGINT, &context);
  ev_run (loop, 0);
  return 0;
}
