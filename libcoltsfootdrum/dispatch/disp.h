/* Announcement dispatch.  Decides which agents a router notifies of waiting
   work, and when.  Does no I/O; callers pass the current time.

   New work is first announced to DISP_INITIAL_AGENTS random agents: while
   slots are free, announcing it to all brings a grant from each, of which all
   but one are declined.  Work that is still waiting is announced to all agents
   after DISP_SMALL_FLEET_WIDEN_MS where a service has at most
   DISP_SMALL_FLEET_AGENTS; in a larger fleet the fan-out doubles after each
   DISP_WIDEN_MS in which none of it was served.  Agents that are suspected to
   be unreachable (dispatch/reach.h) are notified too, but not counted.

   The router tracks what each agent was sent, by an announcement or with the
   answer to a grant (dispatch/view.h).  An agent is sent an update on an
   account only when its view would make it choose wrongly or the entry would
   expire.  Other changes of its numbers are sent with the next refresh.  */

#ifndef DISPATCH_DISP_H
#define DISPATCH_DISP_H

#include "base/clock.h"
#include "dispatch/reach.h"
#include "wire/msg.h"
#include <glib.h>

/* Services with at most this many agents announce all work to all agents.  */
#define DISP_SMALL_FLEET_AGENTS 24
/* Agents that new work is announced to at once.  */
#define DISP_INITIAL_AGENTS 2
/* Agents that are examined for each reachable one that is wanted.  With half
   of a fleet gone, one entry in 3,800 finds fewer than two.  */
#define DISP_MAX_CANDIDATES_PER_AGENT 8
/* Delay before work in a small fleet is announced to all agents.  */
#define DISP_SMALL_FLEET_WIDEN_MS 20
/* Time unserved after which the fan-out doubles in a larger fleet.  */
#define DISP_WIDEN_MS 300
/* Interval at which an agent is sent an unchanged entry again ...  */
#define DISP_REFRESH_MS 2000
/* ... and in a small fleet, where all agents know all work and fresher data is
   affordable.  */
#define DISP_SMALL_FLEET_REFRESH_MS 1000
/* Time after which an agent drops an entry that was not refreshed.  */
#define DISP_LIFETIME_MS 3000
/* A frame to an agent also carries the entries whose refresh is due within
   this time: a frame for each costs more than sending them early.  */
#define DISP_EARLY_REFRESH_MS 500
/* Interval at which the views of the agents are checked.  */
#define DISP_CHECK_INTERVAL_MS 250
/* Least interval between corrections of an entry, which are sent as soon as an
   account falls behind the agents' views.  */
#define DISP_CORRECTION_INTERVAL_MS 100
/* Delay of a withdrawal, so that it shares a frame with others and with new
   work.  */
#define DISP_WITHDRAWAL_DELAY_MS 100

typedef struct disp disp_t;
/* Sends ANNOUNCE to AGENT and returns the result.  */
typedef reach_result_t disp_send_t (void *user, const char *agent,
                                    const msg_announce_t *announce);

disp_t *disp_new (uint64_t seed);
void disp_free (disp_t *disp);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (disp_t, disp_free)

/* Sets the agents of SERVICE that may be notified; replaces the previous
   set.  */
void disp_set_agents (disp_t *disp, const char *service,
                      const GPtrArray *names);
/* Sets the waiting work of an account; a count of 0 withdraws it.  A count
   that decreased means that work was served.  */
void disp_update_waiting (disp_t *disp, const char *service,
                          const msg_waiting_t *waiting, cfd_time_t now);
/* Calls SEND for each agent with the entries that are due for it.  */
void disp_send_due (disp_t *disp, cfd_time_t now, disp_send_t *send,
                    void *user);
/* Records that AGENT received LEFT, the account's remaining work, with the
   answer to its grant.  */
void disp_record_answer (disp_t *disp, const char *service, const char *agent,
                         const msg_waiting_t *left, cfd_time_t now);
/* Records that an agent's link was established again: the agent is reachable
   and has no entries of this router.  */
void disp_record_link_up (disp_t *disp, const char *agent);
/* Records that an agent's link was lost while it was in use.  */
void disp_record_link_lost (disp_t *disp, const char *agent, cfd_time_t now);
/* Returns when disp_send_due must be called next, or CFD_TIME_NEVER.  */
cfd_time_t disp_next_due (const disp_t *disp, cfd_time_t now);
/* Counts the agents suspected to be unreachable, over all services.  */
unsigned disp_count_suspect_agents (const disp_t *disp, cfd_time_t now);
/* Returns the number of agents that the account's work is announced to.  */
unsigned disp_fanout (const disp_t *disp, const char *service,
                      const char *account);

#endif
