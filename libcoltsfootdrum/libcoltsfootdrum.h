/* Public interface of libcoltsfootdrum, which the daemons and the command line
   call.  All state is in the opaque objects, except that of the log, which is
   process-wide.  */

#ifndef LIBCOLTSFOOTDRUM_H
#define LIBCOLTSFOOTDRUM_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

typedef enum
{
  CFD_POLICY_FLEET, /* agents pull requests by fleet-wide fair share */
  CFD_POLICY_LOCAL /* baseline: each router dispatches by its own fair queue */
} cfd_policy_t;

/* Settings of a daemon; README.md and the man pages list the flags.  */
typedef struct
{
  char *instance;     /* name in the platform's list of instances */
  char *zone;         /* availability zone */
  char *platform;     /* http://IP:PORT of the object API */
  char *peer_listen;  /* IP:PORT for links of the fleet's processes */
  char *admin_listen; /* IP:PORT for /metrics, /healthz, /readyz, /events */
  char *secret;       /* shared by the fleet */
  char *listen;       /* router: IP:PORT for callers */
  char *endpoint;     /* agent: name of its endpoint record */
  char *log_level;    /* error, warn, info, debug */
  bool log_json;
  int drain_s;       /* time limit of a graceful shutdown */
  int request_s;     /* router: maximum time in the queue */
  int claims_kept_s; /* router: retention of a claim; 0: unlimited */
  int claim_calls;   /* router: platform calls per second of all routers to
                        remove claims */
  cfd_policy_t policy;
  bool check; /* validate the settings and exit */
} cfd_settings_t;

typedef struct cfd_router cfd_router_t;
typedef struct cfd_agent cfd_agent_t;

/* Parses the flags and environment of ROLE ("router" or "agent").  Returns
   NULL with CFD_ERROR_SETTING for an invalid value.  Returns NULL without an
   error after printing the help, the settings or the version; the program must
   then exit with success.  */
cfd_settings_t *cfd_settings_parse (const char *role, int argc, char **argv,
                                    GError **error);
void cfd_settings_free (cfd_settings_t *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (cfd_settings_t, cfd_settings_free)

cfd_router_t *cfd_router_new (struct ev_loop *loop,
                              const cfd_settings_t *settings, GError **error);
/* Begins a graceful shutdown.  Stops the event loop once all requests have
   ended or the time limit has passed.  */
void cfd_router_drain (cfd_router_t *router);
void cfd_router_free (cfd_router_t *router);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (cfd_router_t, cfd_router_free)

cfd_agent_t *cfd_agent_new (struct ev_loop *loop,
                            const cfd_settings_t *settings, GError **error);
void cfd_agent_drain (cfd_agent_t *agent);
void cfd_agent_free (cfd_agent_t *agent);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (cfd_agent_t, cfd_agent_free)

/* Runs the operators' command line, cfdctl; returns the exit status.  */
int cfd_ctl_main (int argc, char **argv);

#endif
