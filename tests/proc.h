/* Processes of a test: started, watched and ended by their id.  A child ends
   with its parent, so that a test that is killed leaves nothing behind.  */

#ifndef TESTS_PROC_H
#define TESTS_PROC_H

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

typedef struct
{
  char *name;
  char **argv;
  pid_t pid; /* 0 when it does not run */
} proc_t;

typedef struct proc_set proc_set_t;

/* Output goes to a new temporary folder, a file for each process.  */
proc_set_t *proc_set_new (void);
/* Ends all processes; the folder stays when KEEP is set.  */
void proc_set_free (proc_set_t *set, bool keep);
const char *proc_set_get_log_dir (const proc_set_t *set);

/* Starts ARGV, which is copied, with our environment.  */
proc_t *proc_start (proc_set_t *set, const char *name, const char *const *argv,
                    GError **error);
/* Starts a process again that has ended.  */
bool proc_restart (proc_set_t *set, proc_t *proc, GError **error);
/* Sends SIGNAL; for SIGKILL and SIGTERM also waits up to WAIT_MS for the end.
   True when it has ended.  */
bool proc_stop (proc_t *proc, int signal, int wait_ms);
/* True while PROC runs; its exit is collected otherwise.  */
bool proc_is_running (proc_t *proc);
/* Processor seconds and resident bytes of the process so far.  */
bool proc_read_usage (const proc_t *proc, double *cpu_s, double *resident);

/* Folder of the programs of this build, by the running program's place or
   CFD_BUILD.  */
char *proc_get_build_dir (void);

/* One HTTP exchange, waited for; the answer's body, or NULL when none came
   within 5 s.  METHOD NULL is GET.  HEADER may be NULL; a newline separates
   several.  */
char *proc_send_http (const char *method, const char *url, const char *header,
                      const char *body, long *status);
/* Waits until URL answers 200.  */
bool proc_wait_http_ok (const char *url, int wait_ms);

#endif
