/* Inside a router's announcements: disp.c knows the services and their agents
   and tells them; disp-entry.c decides for the work of one account who hears
   of it, and when.  */

#ifndef DISPATCH_DISP_PRIVATE_H
#define DISPATCH_DISP_PRIVATE_H

#include "dispatch/belief.h"
#include "dispatch/disp.h"
#include "dispatch/order.h"
#include "dispatch/pace.h"

typedef struct
{
  char *name;
  bool forgot;     /* it knows nothing: the next word is a full one */
  bool must_hear;  /* of some entry, while disp_send_due gathers */
  GArray *entries; /* of msg_waiting_t, while disp_send_due gathers */
  reach_t reach;
} agent_t;

typedef struct
{
  char *account;
  msg_waiting_t waiting; /* without its age and account */
  cfd_time_t oldest;
  cfd_time_t served; /* last time that work left, or the first came */
  cfd_time_t due;
  unsigned wanted;  /* agents in reach to tell */
  unsigned width;   /* agents told, also in doubt; 0 before the first time */
  GArray *beliefs;  /* of belief_t, by rank below WIDTH */
  cfd_time_t told;  /* the last correction or refresh; 0 before the first */
  cfd_time_t heard; /* when WAITING's virtual time was */
  order_t order;    /* of the agents */
} entry_t;

typedef struct
{
  const char *name;      /* its key among the services */
  GPtrArray *agents;     /* of agent_t */
  GHashTable *entries;   /* account to entry_t */
  cfd_time_t refresh_ms; /* an agent hears of an entry again */
  bool any_forgot;       /* some agent may have forgotten what is not due */
  pace_t pace;           /* of the accounts that wait here */
} service_t;

/* Never told so far; ORDER is that of the agents for it.  */
entry_t *disp_entry_new (const service_t *service, const char *account,
                         order_t order, cfd_time_t now);
void disp_entry_free (gpointer data);
/* The set of agents changed, and with it who has which rank: ENTRY is told to
   all of its ranks again, also that it is over.  */
void disp_entry_forget_ranks (const service_t *service, entry_t *entry);
/* Takes the newest word on what waits; returns when ENTRY is due for it, or
   CFD_TIME_NEVER when the word needn't be told.  */
cfd_time_t disp_entry_take (service_t *service, entry_t *entry,
                            const msg_waiting_t *waiting, cfd_time_t now);
/* ENTRY is due: how many agents it goes to, and when it is due again.  */
void disp_entry_turn (const service_t *service, entry_t *entry,
                      cfd_time_t now);
/* Finds out which agents must hear of ENTRY: all that believe too much when it
   is due, else those that forgot.  */
void disp_entry_find_hearers (const service_t *service, const entry_t *entry,
                              bool due, cfd_time_t now);
/* Gathers ENTRY for those that must hear something, where worth saying.  */
void disp_entry_gather (const service_t *service, entry_t *entry,
                        cfd_time_t now);
/* AGENT got LEFT with the answer to its grant.  */
void disp_entry_answered (const service_t *service, const entry_t *entry,
                          const char *agent, const msg_waiting_t *left,
                          cfd_time_t now);

#endif
