/* A router's announcements of work at the service "draft", as its agents
   "agent-0", "agent-1" and so on hear them.  */

#ifndef DISPATCH_TEST_DISP_HELP_H
#define DISPATCH_TEST_DISP_HELP_H

#include "dispatch/disp.h"

/* What agents heard in one turn.  */
typedef struct
{
  unsigned frames;
  unsigned entries;
  unsigned full;
  GHashTable *agents; /* name to the count of its newest entry */
  unsigned dead;      /* agents numbered below have no link ... */
  bool frozen;        /* ... or one that doesn't answer */
} heard_t;

bool has_link (const heard_t *heard, const char *agent);
/* For disp_send_due, with a heard_t.  */
reach_result_t tell (void *user, const char *agent,
                     const msg_announce_t *announce);
/* The AGENTS of what is returned are to be unreferenced.  */
heard_t due_with_dead (disp_t *disp, unsigned dead, cfd_time_t now);
heard_t due (disp_t *disp, cfd_time_t now);
unsigned agents_told (disp_t *disp, cfd_time_t now);
/* In no order, as a router's table of agents gives them.  */
void set_agents (disp_t *disp, unsigned count);
void wait_for (disp_t *disp, const char *account, unsigned count,
               cfd_time_t now);

#endif
