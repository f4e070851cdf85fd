/* Processes of a test.  */

#include "proc.h"
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

struct proc_set
{
  char *folder;
  GPtrArray *procs; /* of proc_t, in the order of their start */
};

static void
proc_free (gpointer data)
{
  proc_t *proc = data;

  g_free (proc->name);
  g_strfreev (proc->argv);
  g_free (proc);
}

proc_set_t *
proc_set_new (void)
{
  proc_set_t *set = g_new0 (proc_set_t, 1);

  set->folder = g_dir_make_tmp ("cfd-XXXXXX", NULL);
  set->procs = g_ptr_array_new_with_free_func (proc_free);
  return set;
}

const char *
proc_set_get_log_dir (const proc_set_t *set)
{
  return set->folder;
}

static void
remove_folder (const char *folder)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *path = g_build_filename (folder, name, NULL);
      g_unlink (path);
    }
  if (dir != NULL)
    g_dir_close (dir);
  g_rmdir (folder);
}

void
proc_set_free (proc_set_t *set, bool keep)
{
  for (guint i = 0; i < set->procs->len; i++)
    proc_stop (set->procs->pdata[i], SIGKILL, 0);
  for (guint i = 0; i < set->procs->len; i++)
    proc_stop (set->procs->pdata[i], SIGKILL, 5000);
  if (!keep && set->folder != NULL)
    remove_folder (set->folder);
  g_ptr_array_unref (set->procs);
  g_free (set->folder);
  g_free (set);
}

/* Runs in the child before exec.  */
static void
child_setup (gpointer data)
{
  const int *output = data;

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  dup2 (*output, STDOUT_FILENO);
  dup2 (*output, STDERR_FILENO);
}

bool
proc_restart (proc_set_t *set, proc_t *proc, GError **error)
{
  g_autofree char *path
      = g_strdup_printf ("%s/%s.log", set->folder, proc->name);
  int output = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

  if (output < 0)
    {
      g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                   "can't write %s; make room in the temporary folder", path);
      return false;
    }
  bool started
      = g_spawn_async (NULL, proc->argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                       child_setup, &output, &proc->pid, error);
  close (output);
  return started;
}

proc_t *
proc_start (proc_set_t *set, const char *name, const char *const *argv,
            GError **error)
{
  proc_t *proc = g_new0 (proc_t, 1);

  proc->name = g_strdup (name);
  proc->argv = g_strdupv ((char **)argv);
  g_ptr_array_add (set->procs, proc);
  return proc_restart (set, proc, error) ? proc : NULL;
}

bool
proc_is_running (proc_t *proc)
{
  if (proc->pid <= 0)
    return false;
  if (waitpid (proc->pid, NULL, WNOHANG) == 0)
    return true;
  proc->pid = 0;
  return false;
}

bool
proc_stop (proc_t *proc, int signal, int wait_ms)
{
  gint64 end = g_get_monotonic_time () + (gint64)wait_ms * 1000;

  if (!proc_is_running (proc))
    return true;
  kill (proc->pid, signal);
  while (proc_is_running (proc))
    {
      if (g_get_monotonic_time () >= end)
        return false;
      g_usleep (2000);
    }
  return true;
}

bool
proc_read_usage (const proc_t *proc, double *cpu_s, double *resident)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/stat", (int)proc->pid);
  g_autofree char *text = NULL;

  if (proc->pid <= 0 || !g_file_get_contents (path, &text, NULL, NULL))
    return false;
  /* The command's name may hold blanks; fields 3 and on follow its bracket. */
  const char *rest = strrchr (text, ')');
  if (rest == NULL)
    return false;
  g_auto (GStrv) fields = g_strsplit (rest + 2, " ", 0);
  if (g_strv_length (fields) < 22)
    return false;
  double ticks
      = g_ascii_strtod (fields[11], NULL) + g_ascii_strtod (fields[12], NULL);
  *cpu_s = ticks / (double)sysconf (_SC_CLK_TCK);
  *resident
      = g_ascii_strtod (fields[21], NULL) * (double)sysconf (_SC_PAGESIZE);
  return true;
}

char *
proc_get_build_dir (void)
{
  const char *given = g_getenv ("CFD_BUILD");
  g_autofree char *self = g_file_read_link ("/proc/self/exe", NULL);

  if (given != NULL || self == NULL)
    return g_strdup (given ? given : "build");
  g_autofree char *tests = g_path_get_dirname (self);
  return g_path_get_dirname (tests);
}

static size_t
collect_results (char *bytes, size_t size, size_t count, void *user)
{
  g_string_append_len (user, bytes, (gssize)(size * count));
  return size * count;
}

char *
proc_send_http (const char *method, const char *url, const char *header,
                const char *body, long *status)
{
  CURL *curl = curl_easy_init ();
  struct curl_slist *headers = NULL;
  GString *answer = g_string_new (NULL);

  headers = curl_slist_append (headers, "Expect:");
  g_auto (GStrv) lines = g_strsplit (header ? header : "", "\n", 0);
  for (unsigned i = 0; lines[i] != NULL; i++)
    headers = curl_slist_append (headers, lines[i]);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, 5000L);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, collect_results);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, answer);
  if (body != NULL)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  if (method != NULL)
    curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  CURLcode code = curl_easy_perform (curl);
  *status = 0;
  if (code == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  return g_string_free (answer, code != CURLE_OK);
}

bool
proc_wait_http_ok (const char *url, int wait_ms)
{
  gint64 end = g_get_monotonic_time () + (gint64)wait_ms * 1000;

  for (;;)
    {
      long status = 0;
      g_autofree char *answer
          = proc_send_http (NULL, url, NULL, NULL, &status);
      if (status == 200)
        return true;
      if (g_get_monotonic_time () >= end)
        return false;
      g_usleep (20000);
    }
}
