/* Test helpers: a router's announcements for the service "draft", as received
   by its agents "agent-0", "agent-1" and so on.  */

#ifndef DISPATCH_TEST_DISP_HELP_H
#define DISPATCH_TEST_DISP_HELP_H

#include "dispatch/disp.h"

/* What the agents received in one call of disp_send_due.  */
typedef struct
{
  unsigned frames;
  unsigned entries;
  unsigned full;
  GHashTable *agents;   /* name to the count in its newest entry */
  unsigned unreachable; /* agents numbered below this have no link ... */
  bool unresponsive;    /* ... or one that does not respond */
} received_t;

bool has_link (const received_t *received, const char *agent);
/* Callback for disp_send_due; USER is a received_t.  */
reach_result_t record_announcement (void *user, const char *agent,
                                    const msg_announce_t *announce);
/* The caller unreferences AGENTS of the result.  */
received_t send_due_with_unreachable (disp_t *disp, unsigned unreachable,
                                      cfd_time_t now);
received_t send_due (disp_t *disp, cfd_time_t now);
unsigned count_recipients (disp_t *disp, cfd_time_t now);
/* Sets the agents in a shuffled order, as a router's table lists them.  */
void set_agents (disp_t *disp, unsigned count);
void set_waiting (disp_t *disp, const char *account, unsigned count,
                  cfd_time_t now);

#endif
