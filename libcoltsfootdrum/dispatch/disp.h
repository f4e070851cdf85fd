/* A router's announcements: which agents hear of which waiting work, and
   when.  Pure.  New work is first told to DISP_INITIAL_AGENTS random agents:
   while slots are free, telling all of them brings a grant from each, and all
   but one are declined.  What then still waits is told to all after
   DISP_SMALL_FLEET_WIDEN_MS where a service has at most
   DISP_SMALL_FLEET_AGENTS agents; in a larger fleet to twice as many after
   each DISP_WIDEN_MS unserved.  Agents that seem to be out of reach
   (dispatch/reach.h) are told too, and not counted.

   What an agent was told by an announcement, or with the answer to a grant, is
   remembered (dispatch/belief.h): it hears of an account again only when it
   must believe too much of it, or the word would lapse.  A change of numbers
   alone is told with the next refresh.  */

#ifndef DISPATCH_DISP_H
#define DISPATCH_DISP_H

#include "base/clock.h"
#include "dispatch/reach.h"
#include "wire/msg.h"
#include <glib.h>

#define DISP_SMALL_FLEET_AGENTS 24
#define DISP_INITIAL_AGENTS 2
/* For each agent in reach that is to be told, so many are looked at.  With
   half of a fleet gone, one entry in 3,800 finds less than two.  */
#define DISP_MAX_CANDIDATES_PER_AGENT 8
#define DISP_SMALL_FLEET_WIDEN_MS 20
#define DISP_WIDEN_MS 300
/* An agent hears of an account again after so long ... */
#define DISP_REFRESH_MS 2000
/* ... or this, where all agents hear all work: fresher knowledge is
   affordable there.  */
#define DISP_SMALL_FLEET_REFRESH_MS 1000
#define DISP_LIFETIME_MS 3000
/* With a word that an agent must hear go those that would be refreshed so
   soon: a frame for each costs more than saying them early.  */
#define DISP_EARLY_REFRESH_MS 500
/* What agents believe is looked at so often ... */
#define DISP_CHECK_INTERVAL_MS 250
/* ... and at once when an account falls behind what the agents were told, but
   not more often than this.  */
#define DISP_CORRECTION_INTERVAL_MS 100
/* A withdrawal waits so long for others and for new work.  */
#define DISP_WITHDRAWAL_DELAY_MS 100

typedef struct disp disp_t;
typedef reach_result_t disp_send_t (void *user, const char *agent,
                                    const msg_announce_t *announce);

disp_t *disp_new (uint64_t seed);
void disp_free (disp_t *disp);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (disp_t, disp_free)

/* The agents of SERVICE that may be told, replacing the former set.  */
void disp_set_agents (disp_t *disp, const char *service,
                      const GPtrArray *names);
/* Work of the account, as msg_waiting_t; count 0 when none is left.  A count
   that went down counts as served.  */
void disp_update_waiting (disp_t *disp, const char *service,
                          const msg_waiting_t *waiting, cfd_time_t now);
/* Calls TELL for each agent with the entries that are due for it.  */
void disp_send_due (disp_t *disp, cfd_time_t now, disp_send_t *tell,
                    void *user);
/* AGENT got the account's newest numbers with the answer to its grant.  */
void disp_record_answer (disp_t *disp, const char *service, const char *agent,
                         const msg_waiting_t *left, cfd_time_t now);
/* An agent's link came up anew: it knows nothing, and is in reach.  */
void disp_record_link_up (disp_t *disp, const char *agent);
/* An agent's link was lost while it was in use.  */
void disp_record_link_lost (disp_t *disp, const char *agent, cfd_time_t now);
/* When disp_send_due has something to tell next, or CFD_TIME_NEVER.  */
cfd_time_t disp_next_due (const disp_t *disp, cfd_time_t now);
/* Agents that seem to be out of reach, in the lists of all services.  */
unsigned disp_count_suspect_agents (const disp_t *disp, cfd_time_t now);
/* How many agents are told of the account's work now.  */
unsigned disp_fanout (const disp_t *disp, const char *service,
                      const char *account);

#endif
