/* The operators' command line over the platform's object API and the admin
   pages of the daemons.  Commands are synchronous: each call runs the loop
   until its answer is there or its time is up.  */

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
  int deadline_s;   /* zone out and in: until it must be in force */
  char *if_version; /* set and delete: only this version */
  char *file;       /* create and set: read the spec from it, - is stdin */
  char *account;    /* filters of timeline */
  char *zone;
  char *endpoint;
  char *request;
  char *kind;
} ctl_t;

/* ---- ctl-call.c: calls that wait for their answer ---- */
plat_status_t ctl_get (ctl_t *ctl, const char *kind, const char *name,
                       JsonObject **answer);
plat_status_t ctl_list (ctl_t *ctl, JsonObject **answer);
plat_status_t ctl_put (ctl_t *ctl, const char *kind, const char *name,
                       const char *version, JsonObject *spec,
                       JsonObject **answer);
plat_status_t ctl_delete (ctl_t *ctl, const char *kind, const char *name,
                          const char *version);
plat_status_t ctl_list_instances (ctl_t *ctl, JsonObject **answer);

/* One instance of the platform's list and what its admin page said.  */
typedef struct
{
  char *name;
  char *role;
  char *zone;
  char *state;
  char *admin;    /* IP:PORT, or NULL when the list has none */
  JsonNode *page; /* NULL when it did not answer */
} ctl_instance_t;

/* Asks all instances at once for the JSON of PATH; an array of
   ctl_instance_t, or NULL with the platform's status.  */
GPtrArray *ctl_fetch_pages (ctl_t *ctl, const char *path,
                            plat_status_t *status);

/* Prints what went wrong with its remedy; returns the exit status.  */
ctl_exit_t ctl_report_failure (plat_status_t status, const char *what);
/* Prints "cfdctl: MESSAGE" and returns CTL_USAGE.  */
ctl_exit_t ctl_report_usage (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* ---- ctl-logs.c: log lines of several processes ---- */
typedef struct ctl_logs ctl_logs_t;

/* NULL members are not looked at.  */
typedef struct
{
  const char *request; /* and what may tell why it went as it did */
  const char *account;
  const char *endpoint;
} ctl_logs_filter_t;

ctl_logs_t *ctl_logs_new (void);
void ctl_logs_free (ctl_logs_t *logs);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (ctl_logs_t, ctl_logs_free)
/* Adds the lines of TEXT; such as are no log lines are counted.  */
void ctl_logs_read (ctl_logs_t *logs, const char *text);
/* The lines that FILTER lets through, in order of time; free with g_free.  */
char *ctl_logs_format (const ctl_logs_t *logs, const ctl_logs_filter_t *filter,
                       bool json);

/* ---- commands; ARGS holds COUNT words after the command ---- */
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

/* ---- ctl-spec.c: pure ---- */
/* Sets MEMBER=VALUE in SPEC; MEMBER may name a nested one with dots.  VALUE
   is JSON, or else a string.  */
bool ctl_spec_assign (JsonObject *spec, const char *word, GError **error);
/* Whether the daemons would accept SPEC.  */
bool ctl_spec_check (const char *kind, const char *name, JsonObject *spec,
                     GError **error);
/* The word of WORDS (NULL-ended) nearest to TEXT, or NULL when none is near.
 */
const char *ctl_find_nearest (const char *text, const char *const *words);

#endif
