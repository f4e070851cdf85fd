/* A router's announcements of work at the service "draft", as its agents
   "agent-0", "agent-1" and so on hear them.  */

#ifndef DISPATCH_TEST_DISP_HELP_H
#define DISPATCH_TEST_DISP_HELP_H

#include "dispatch/disp.h"

/* What agents received in one turn.  */
typedef struct
{
  unsigned frames;
  unsigned entries;
  unsigned full;
  GHashTable *agents;   /* name to the count of its newest entry */
  unsigned unreachable; /* agents numbered below have no link ... */
  bool unresponsive;    /* ... or one that doesn't answer */
} received_t;

bool has_link (const received_t *received, const char *agent);
/* For disp_send_due, with a received_t.  */
reach_result_t record_announcement (void *user, const char *agent,
                                    const msg_announce_t *announce);
/* The AGENTS of what is returned are to be unreferenced.  */
received_t send_due_with_unreachable (disp_t *disp, unsigned unreachable,
                                      cfd_time_t now);
received_t send_due (disp_t *disp, cfd_time_t now);
unsigned count_recipients (disp_t *disp, cfd_time_t now);
/* In no order, as a router's table of agents gives them.  */
void set_agents (disp_t *disp, unsigned count);
void set_waiting (disp_t *disp, const char *account, unsigned count,
                  cfd_time_t now);

#endif
