/* cfdctl: the operators' command line, a client of the platform's object API
   and of the daemons' admin pages.  Commands are synchronous: each call runs
   the event loop until it is complete or times out.  */

#ifndef CTL_CTL_H
#define CTL_CTL_H

#include "config/rec.h"
#include "platform/plat.h"
#include <ev.h>

typedef enum
{
  CTL_OK = 0,
  CTL_USAGE = 1,
  CTL_NOT_FOUND = 2,
  CTL_CONFLICT = 3,
  CTL_UNAVAILABLE = 4,
  CTL_DEADLINE = 5
} ctl_exit_t;

typedef struct
{
  struct ev_loop *loop;
  fetch_pool_t *pool;
  plat_t *plat;
  bool json;
  int timeout_s;
  int deadline_s;   /* zone: time limit until the change is in force */
  char *if_version; /* set, delete: only if the record has this version */
  char *file;       /* create: file of the spec; - is standard input */
  char *account;    /* filters of timeline and logs, from here on */
  char *zone;
  char *endpoint;
  char *request;
  char *kind;
} ctl_t;

/* ---- ctl-call.c: synchronous calls ---- */
plat_status_t ctl_get (ctl_t *ctl, const char *kind, const char *name,
                       JsonObject **answer);
plat_status_t ctl_list (ctl_t *ctl, JsonObject **answer);
plat_status_t ctl_put (ctl_t *ctl, const char *kind, const char *name,
                       const char *version, JsonObject *spec,
                       JsonObject **answer);
plat_status_t ctl_delete (ctl_t *ctl, const char *kind, const char *name,
                          const char *version);
plat_status_t ctl_list_instances (ctl_t *ctl, JsonObject **answer);

/* An instance of the platform's list and its admin page.  */
typedef struct
{
  char *name;
  char *role;
  char *zone;
  char *state;
  char *admin;    /* IP:PORT, or NULL when the list has none */
  JsonNode *page; /* NULL when it didn't respond */
} ctl_instance_t;

/* Fetches the JSON of PATH from all instances concurrently.  Returns an array
   of ctl_instance_t, or NULL with the platform's status.  */
GPtrArray *ctl_fetch_pages (ctl_t *ctl, const char *path,
                            plat_status_t *status);

/* Prints the failure and its remedy unless STATUS is PLAT_OK; returns the exit
   status.  */
ctl_exit_t ctl_report_failure (plat_status_t status, const char *what);
/* Prints "cfdctl: MESSAGE" and returns CTL_USAGE.  */
ctl_exit_t ctl_report_usage (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* ---- ctl-logs.c: log lines of several processes ---- */
typedef struct ctl_logs ctl_logs_t;

/* Selects log lines; a NULL member matches any.  */
typedef struct
{
  const char *request; /* also selects possible causes of its outcome */
  const char *account;
  const char *endpoint;
} ctl_logs_filter_t;

ctl_logs_t *ctl_logs_new (void);
void ctl_logs_free (ctl_logs_t *logs);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (ctl_logs_t, ctl_logs_free)
/* Adds the log lines of TEXT; other lines are only counted.  */
void ctl_logs_read (ctl_logs_t *logs, const char *text);
/* Formats the lines that match FILTER in order of time; free with g_free.  */
char *ctl_logs_format (const ctl_logs_t *logs, const ctl_logs_filter_t *filter,
                       bool json);

/* ---- commands; ARGS holds the COUNT arguments after the command ---- */
ctl_exit_t ctl_cmd_create (ctl_t *ctl, int count, char **args);
ctl_exit_t ctl_cmd_get (ctl_t *ctl, int count, char **args);
ctl_exit_t ctl_cmd_list (ctl_t *ctl, int count, char **args);
ctl_exit_t ctl_cmd_set (ctl_t *ctl, int count, char **args);
ctl_exit_t ctl_cmd_delete (ctl_t *ctl, int count, char **args);
ctl_exit_t ctl_cmd_key_hash (ctl_t *ctl, int count, char **args);
ctl_exit_t ctl_cmd_zone (ctl_t *ctl, int count, char **args);
ctl_exit_t ctl_cmd_status (ctl_t *ctl, int count, char **args);
ctl_exit_t ctl_cmd_timeline (ctl_t *ctl, int count, char **args);
ctl_exit_t ctl_cmd_explain (ctl_t *ctl, int count, char **args);
ctl_exit_t ctl_cmd_logs (ctl_t *ctl, int count, char **args);

/* ---- ctl-spec.c: functions without I/O ---- */
/* Sets a member of SPEC from WORD, which is MEMBER=VALUE.  Dots in MEMBER name
   a nested member.  VALUE is JSON, or taken as a string if it isn't.  */
bool ctl_spec_assign (JsonObject *spec, const char *word, GError **error);
/* Returns whether the daemons would accept SPEC.  */
bool ctl_spec_check (const char *kind, const char *name, JsonObject *spec,
                     GError **error);
/* Returns the word of WORDS (NULL-terminated) with the smallest edit distance
   to TEXT, or NULL if all distances are too large for a misspelling.  */
const char *ctl_find_nearest (const char *text, const char *const *words);

#endif
