/* Runs of the measurement, each in a process of its own.  */

#include "measure-jobs.h"
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#define POLL_US 50000

static void add (GPtrArray *argv, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
add (GPtrArray *argv, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  g_ptr_array_add (argv, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

static proc_t *
job_start (proc_set_t *procs, const job_t *job, unsigned number)
{
  const measure_options_t *options = &job->options;
  g_autofree char *self = g_file_read_link ("/proc/self/exe", NULL);
  g_autofree char *name = g_strdup_printf ("run-%u", number);
  g_autoptr (GPtrArray) argv = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GError) error = NULL;

  add (argv, "%s", self);
  add (argv, "--one");
  add (argv, "--profile=%s", options->profile);
  add (argv, "--policy=%s", options->policy);
  add (argv, "--event=%s", options->event);
  add (argv, "--seed=%d", (int)options->seed);
  add (argv, "--routers=%d", options->routers);
  add (argv, "--models=%d", options->models);
  add (argv, "--accounts=%d", options->accounts);
  add (argv, "--idle=%d", options->idle);
  add (argv, "--seconds=%d", options->seconds);
  add (argv, "--warm=%d", options->warm);
  add (argv, "--held=%d", options->held);
  if (options->keep)
    add (argv, "--keep");
  if (options->exact_hints)
    add (argv, "--exact-hints");
  if (options->cold_again)
    add (argv, "--cold-again");
  if (options->counters)
    add (argv, "--counters");
  g_ptr_array_add (argv, NULL);
  proc_t *proc
      = proc_start (procs, name, (const char *const *)argv->pdata, &error);
  if (proc == NULL)
    fprintf (stderr, "measure: %s\n", error->message);
  return proc;
}

static void
take_figures (job_t *job, JsonObject *object)
{
  for (int i = 0; i < FIGURE_COUNT; i++)
    job->figures[i]
        = json_object_get_double_member (object, figure_name ((figure_t)i));
  job->good = true;
}

/* Reads the output of a run that ended: one line of JSON, and complaints.  */
static void
job_read (const proc_set_t *procs, job_t *job)
{
  g_autofree char *path = g_strdup_printf (
      "%s/%s.log", proc_set_get_log_dir (procs), job->proc->name);
  g_autofree char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return;
  g_auto (GStrv) lines = g_strsplit (text, "\n", 0);
  for (unsigned i = 0; lines[i] != NULL; i++)
    {
      g_autoptr (JsonNode) root
          = lines[i][0] == '{' ? json_from_string (lines[i], NULL) : NULL;
      if (root != NULL)
        take_figures (job, json_node_get_object (root));
      else if (lines[i][0] != '\0')
        fprintf (stderr, "%s seed %d: %s\n", job->options.policy,
                 (int)job->options.seed, lines[i]);
      if (root != NULL && job->options.json)
        printf ("%s\n", lines[i]);
    }
  fflush (stdout);
}

unsigned
jobs_run_all (job_t *jobs, unsigned count, unsigned at_once)
{
  proc_set_t *procs = proc_set_new ();
  unsigned started = 0;
  unsigned ended = 0;
  unsigned good = 0;

  while (ended < count)
    {
      for (unsigned i = 0; i < started; i++)
        {
          if (jobs[i].done || (jobs[i].proc && proc_is_running (jobs[i].proc)))
            continue;
          jobs[i].done = true;
          if (jobs[i].proc != NULL)
            job_read (procs, &jobs[i]);
          good += jobs[i].good;
          ended++;
        }
      while (started < count && started - ended < MAX (at_once, 1))
        {
          jobs[started].proc = job_start (procs, &jobs[started], started);
          started++;
        }
      g_usleep (POLL_US);
    }
  proc_set_free (procs, false);
  return good;
}
