/* Test processes: started, watched and ended by their process id.  A child
   ends with its parent, so that a killed test leaves no processes behind.  */

#ifndef TESTS_PROC_H
#define TESTS_PROC_H

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

typedef struct
{
  char *name;
  char **argv;
  pid_t pid; /* 0 when not running */
} proc_t;

typedef struct proc_set proc_set_t;

/* Output goes to a new temporary folder, one file for each process.  */
proc_set_t *proc_set_new (void);
/* Kills all processes; with KEEP, the folder stays.  */
void proc_set_free (proc_set_t *set, bool keep);
const char *proc_set_get_log_dir (const proc_set_t *set);

/* Starts ARGV, which is copied, with our environment.  */
proc_t *proc_start (proc_set_t *set, const char *name, const char *const *argv,
                    GError **error);
/* Restarts a process that has ended.  */
bool proc_restart (proc_set_t *set, proc_t *proc, GError **error);
/* Sends SIGNAL and waits up to WAIT_MS for the process to end.  Returns true
   if it has ended.  */
bool proc_stop (proc_t *proc, int signal, int wait_ms);
/* Returns true while PROC runs; otherwise reaps it.  */
bool proc_is_running (proc_t *proc);
/* Reads the processor seconds and the resident bytes of a process.  */
bool proc_read_usage (const proc_t *proc, double *cpu_s, double *resident);

/* Returns the build folder: CFD_BUILD, or derived from the path of the running
   program.  */
char *proc_get_build_dir (void);

/* Performs one blocking HTTP exchange.  Returns the response body, or NULL
   without a response within 5 s.  METHOD NULL is GET.  HEADER may be NULL; a
   newline separates several headers.  */
char *proc_send_http (const char *method, const char *url, const char *header,
                      const char *body, long *status);
/* Polls URL until it answers 200.  */
bool proc_wait_http_ok (const char *url, int wait_ms);

#endif
