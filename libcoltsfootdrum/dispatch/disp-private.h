/* Internals of announcement dispatch.  disp.c keeps the services and their
   agents and sends to them; disp-entry.c decides which agents receive the work
   of one account, and when.  */

#ifndef DISPATCH_DISP_PRIVATE_H
#define DISPATCH_DISP_PRIVATE_H

#include "dispatch/disp.h"
#include "dispatch/order.h"
#include "dispatch/view.h"
#include "dispatch/vt-rate.h"

typedef struct
{
  char *name;
  bool needs_full;   /* has no entries: the next announcement is a full one */
  bool needs_update; /* on some entry; valid during disp_send_due */
  GArray *entries;   /* of msg_waiting_t to send; used by disp_send_due */
  reach_t reach;
} agent_t;

/* The waiting work of one account.  */
typedef struct
{
  char *account;
  msg_waiting_t waiting;      /* its OLDEST_MS is computed when it is sent */
  cfd_time_t oldest_enqueued; /* when the oldest request came */
  cfd_time_t last_served;     /* when work last left, or the entry was made */
  cfd_time_t due;
  unsigned reachable_target; /* reachable agents to announce it to */
  unsigned fanout;       /* agents announced to, suspects included; 0 before
                            the first time */
  GArray *views;         /* of view_t, by rank below FANOUT */
  cfd_time_t last_sent;  /* 0 before the first announcement */
  cfd_time_t vt_updated; /* when the virtual time in WAITING was set */
  order_t order;         /* in which agents are notified */
} entry_t;

typedef struct
{
  const char *name;      /* owned by the table of services, as its key */
  GPtrArray *agents;     /* of agent_t */
  GHashTable *entries;   /* account to entry_t */
  cfd_time_t refresh_ms; /* interval at which entries are sent again */
  bool any_needs_full;   /* some agent may lack entries that are not due */
  vt_rate_t vt_rate;     /* of the accounts that wait here */
} service_t;

/* Creates an entry that was not announced yet; ORDER is the order in which
   its agents are notified.  */
entry_t *disp_entry_new (const service_t *service, const char *account,
                         order_t order, cfd_time_t now);
void disp_entry_free (gpointer data);
/* Adapts ENTRY to a changed set of agents.  The agents' ranks change with it,
   so all ranks of ENTRY are sent it again, also when it is withdrawn.  */
void disp_entry_reset_ranks (const service_t *service, entry_t *entry);
/* Sets the waiting work of ENTRY.  Returns when ENTRY is due for that, or
   CFD_TIME_NEVER when the change need not be announced.  */
cfd_time_t disp_entry_update (service_t *service, entry_t *entry,
                              const msg_waiting_t *waiting, cfd_time_t now);
/* Updates the fan-out of an ENTRY that is due, and when it is due next.  */
void disp_entry_schedule (const service_t *service, entry_t *entry,
                          cfd_time_t now);
/* Marks the agents that need an update on ENTRY: those with an outdated view
   when it is due, otherwise those that need a full announcement.  */
void disp_entry_mark_recipients (const service_t *service,
                                 const entry_t *entry, bool due,
                                 cfd_time_t now);
/* Adds ENTRY to the announcements of the marked agents whose view is outdated
   or soon due for a refresh.  */
void disp_entry_append_updates (const service_t *service, entry_t *entry,
                                cfd_time_t now);
/* Records that AGENT received LEFT with the answer to its grant.  */
void disp_entry_record_answer (const service_t *service, const entry_t *entry,
                               const char *agent, const msg_waiting_t *left,
                               cfd_time_t now);

#endif
