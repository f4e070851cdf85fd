#include "ctl/ctl.h"

#include "libcoltsfootdrum.h"

#include <stdio.h>
#include <stdlib.h>

#define TIMEOUT_S 5
#define DEADLINE_S 12

typedef struct
{
  const char *name;
  const char *words;
  const char *help;
  ctl_exit_t (*run) (ctl_t *ctl, int count, char **args);
} command_t;

static const command_t commands[] = {
  { "create", "KIND NAME [MEMBER=VALUE...]", "create a record",
    ctl_cmd_create },
  { "get", "KIND NAME", "print one record", ctl_cmd_get },
  { "list", "[KIND]", "print all records", ctl_cmd_list },
  { "set", "KIND NAME MEMBER=VALUE...", "change members of a record",
    ctl_cmd_set },
  { "delete", "KIND NAME", "delete a record", ctl_cmd_delete },
  { "key-hash", "", "hash a caller's key from standard input",
    ctl_cmd_key_hash },
  { "zone", "out|in NAME", "take a zone out or back; waits until in force",
    ctl_cmd_zone },
  { "status", "", "what each instance says of itself", ctl_cmd_status },
  { "timeline", "", "events of all processes in one order", ctl_cmd_timeline },
  { "explain", "REQUEST-ID", "where a request went, when and why",
    ctl_cmd_explain },
  { "logs", "FILE...", "log lines of several processes as one story",
    ctl_cmd_logs },
};

typedef struct
{
  char *platform;
  char *output;
  gboolean version;
} options_t;

static char *
command_help (void)
{
  g_autoptr (GString) text = g_string_new ("Commands:\n");

  for (unsigned i = 0; i < G_N_ELEMENTS (commands); i++)
    g_string_append_printf (text, "  %-9s %-28s %s\n", commands[i].name,
                            commands[i].words, commands[i].help);
  g_string_append (text, "\nExit status: 0 done, 1 usage, 2 not found, "
                         "3 conflict, 4 unavailable or unknown, 5 deadline "
                         "passed.");
  return g_string_free (g_steal_pointer (&text), FALSE);
}

static bool
parse (ctl_t *ctl, options_t *options, int *argc, char ***argv, GError **error)
{
  const GOptionEntry entries[]
      = { { "platform", 0, 0, G_OPTION_ARG_STRING, &options->platform,
            "Object API (CFD_PLATFORM)", "http://IP:PORT" },
          { "output", 0, 0, G_OPTION_ARG_STRING, &options->output,
            "text or json, one object a line", "FORMAT" },
          { "timeout", 0, 0, G_OPTION_ARG_INT, &ctl->timeout_s,
            "Longest wait for one admin page", "SECONDS" },
          { "deadline", 0, 0, G_OPTION_ARG_INT, &ctl->deadline_s,
            "zone: when it must be in force everywhere", "SECONDS" },
          { "if-version", 0, 0, G_OPTION_ARG_STRING, &ctl->if_version,
            "set, delete: only if the record has it", "VERSION" },
          { "file", 0, 0, G_OPTION_ARG_STRING, &ctl->file,
            "create: read the spec as JSON, - is standard input", "FILE" },
          { "account", 0, 0, G_OPTION_ARG_STRING, &ctl->account,
            "timeline, logs: of this client account", "NAME" },
          { "zone", 0, 0, G_OPTION_ARG_STRING, &ctl->zone,
            "timeline: of this availability zone", "NAME" },
          { "endpoint", 0, 0, G_OPTION_ARG_STRING, &ctl->endpoint,
            "timeline, logs: of this endpoint", "NAME" },
          { "request", 0, 0, G_OPTION_ARG_STRING, &ctl->request,
            "timeline, logs: of this request", "ID" },
          { "kind", 0, 0, G_OPTION_ARG_STRING, &ctl->kind,
            "timeline: of this kind of event", "KIND" },
          { "version", 0, 0, G_OPTION_ARG_NONE, &options->version,
            "Print the version", NULL },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("COMMAND [WORD...]");
  g_autofree char *help = command_help ();

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (context, help);
  return g_option_context_parse (context, argc, argv, error);
}

static const command_t *
find_command (const char *name)
{
  const char *names[G_N_ELEMENTS (commands) + 1] = { NULL };
  const char *near;

  for (unsigned i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (g_str_equal (commands[i].name, name))
        return &commands[i];
      names[i] = commands[i].name;
    }
  near = ctl_find_nearest (name, names);
  if (near != NULL)
    (void)ctl_report_usage ("no command \"%s\"; did you mean %s?", name, near);
  else
    (void)ctl_report_usage ("no command \"%s\"; see cfdctl --help", name);
  return NULL;
}

static bool
check_options (ctl_t *ctl, options_t *options)
{
  if (options->output != NULL && !g_str_equal (options->output, "json")
      && !g_str_equal (options->output, "text"))
    {
      (void)ctl_report_usage ("--output is text or json, not \"%s\"",
                              options->output);
      return false;
    }
  if (ctl->timeout_s < 1 || ctl->deadline_s < 1)
    {
      (void)ctl_report_usage (
          "--timeout and --deadline are whole seconds from 1");
      return false;
    }
  ctl->json = options->output != NULL && g_str_equal (options->output, "json");
  if (options->platform == NULL)
    options->platform = g_strdup (g_getenv ("CFD_PLATFORM"));
  return true;
}

static ctl_exit_t
run (ctl_t *ctl, const options_t *options, int count, char **words)
{
  const command_t *command;

  if (options->version)
    {
      puts ("cfdctl " CFD_VERSION);
      return CTL_OK;
    }
  if (count < 1)
    return ctl_report_usage ("name a command; see cfdctl --help");
  command = find_command (words[0]);
  if (command == NULL)
    return CTL_USAGE;
  if (options->platform == NULL && command->run != ctl_cmd_key_hash
      && command->run != ctl_cmd_logs)
    return ctl_report_usage (
        "set --platform or CFD_PLATFORM to http://IP:PORT");
  ctl->loop = ev_loop_new (EVFLAG_AUTO);
  ctl->pool = fetch_pool_new (ctl->loop);
  if (options->platform != NULL)
    ctl->plat = plat_new (ctl->pool, options->platform);
  return command->run (ctl, count - 1, words + 1);
}

static void
clear (ctl_t *ctl, options_t *options)
{
  plat_free (ctl->plat);
  fetch_pool_free (ctl->pool);
  if (ctl->loop != NULL)
    ev_loop_destroy (ctl->loop);
  g_free (ctl->if_version);
  g_free (ctl->file);
  g_free (ctl->account);
  g_free (ctl->zone);
  g_free (ctl->endpoint);
  g_free (ctl->request);
  g_free (ctl->kind);
  g_free (options->platform);
  g_free (options->output);
}

int
cfd_ctl_main (int argc, char **argv)
{
  ctl_t ctl = { .timeout_s = TIMEOUT_S, .deadline_s = DEADLINE_S };
  options_t options = { NULL, NULL, FALSE };
  g_autoptr (GError) error = NULL;
  ctl_exit_t status = CTL_USAGE;

  if (!parse (&ctl, &options, &argc, &argv, &error))
    (void)ctl_report_usage ("%s; see cfdctl --help", error->message);
  else if (check_options (&ctl, &options))
    status = run (&ctl, &options, argc - 1, argv + 1);
  clear (&ctl, &options);
  return status;
}
