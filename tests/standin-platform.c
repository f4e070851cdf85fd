/* Platform stand-in as a process:
   standin-platform --listen IP:PORT [--listen-zone ZONE=IP:PORT ...]  */

#include "sp.h"

#include <stdio.h>
#include <string.h>

static bool
listen_zones (sp_t *sp, char **zones, GError **error)
{
  for (char **zone = zones; zone != NULL && *zone != NULL; zone++)
    {
      char *address = strchr (*zone, '=');

      if (address == NULL)
        {
          g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                       "--listen-zone needs ZONE=IP:PORT");
          return false;
        }
      *address = '\0';
      if (!sp_listen (sp, address + 1, *zone, error))
        return false;
    }
  return true;
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int revents)
{
  ev_break (loop, EVBREAK_ALL);
}

static void
run (struct ev_loop *loop)
{
  ev_signal term;
  ev_signal interrupt;

  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_init (&interrupt, on_signal, SIGINT);
  ev_signal_start (loop, &term);
  ev_signal_start (loop, &interrupt);
  ev_run (loop, 0);
  ev_signal_stop (loop, &term);
  ev_signal_stop (loop, &interrupt);
}

int
main (int argc, char **argv)
{
  g_autofree char *listen = NULL;
  g_auto (GStrv) zones = NULL;
  int history = 1000;
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address", "IP:PORT" },
    { "listen-zone", 0, 0, G_OPTION_ARG_STRING_ARRAY, &zones,
      "The platform as seen from ZONE", "ZONE=IP:PORT" },
    { "history", 0, 0, G_OPTION_ARG_INT, &history,
      "Writes that a watch can reach back", "N" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  g_autoptr (GOptionContext) options = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  g_autoptr (sp_t) sp = NULL;

  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &error))
    goto failed;
  sp = sp_new (loop, (unsigned)MAX (history, 1));
  if (!sp_listen (sp, listen != NULL ? listen : "", NULL, &error)
      || !listen_zones (sp, zones, &error))
    goto failed;
  run (loop);
  g_clear_pointer (&sp, sp_free);
  ev_loop_destroy (loop);
  return 0;

failed:
  fprintf (stderr, "standin-platform: %s\n", error->message);
  g_clear_pointer (&sp, sp_free);
  ev_loop_destroy (loop);
  return 1;
}
