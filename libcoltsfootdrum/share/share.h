/* Fair shares.  Shares capacity between client accounts over the whole fleet,
   without consensus between routers.  Does no I/O; callers pass the current
   time.

   Each router keeps, for each account and service, an absolute counter of the
   weighted tokens that it charged: the expected cost is charged when a request
   is assigned and corrected when it ends.  Home router: the router that adds
   up the account's virtual time, chosen by rendezvous hashing among the live
   routers.  It computes the virtual time from the counters that the routers
   report, and answers with it.  Reports are absolute and numbered, so lost,
   duplicated and reordered ones do no harm; a new home is rebuilt from the
   virtual time that each router last received.

   Virtual time is kept for each pair of account and service: accounts compete
   for one service's capacity, and their use of other services does not affect
   their claim on it.

   An account that returns from idle is raised to the floor, the virtual time
   at which work is now served.  No account stays further than the window above
   or below a floor that is fresh.  A report's floor is -INFINITY when its
   router received none within SHARE_FLOOR_MAX_AGE_MS: an outdated floor must
   not move an account.  */

#ifndef SHARE_SHARE_H
#define SHARE_SHARE_H

#include "base/clock.h"
#include "wire/msg.h"
#include <glib.h>

/* The window: the weighted tokens by which an account may be ahead of or
   behind the floor, whatever happened in a partition.  It is this multiple of
   the greatest recent charge ...  */
#define SHARE_WINDOW_CHARGES 2
/* ... within these bounds.  */
#define SHARE_WINDOW_MIN_TOKENS 1000.0
#define SHARE_WINDOW_MAX_TOKENS 20000.0
/* An account without work for this long is idle.  */
#define SHARE_IDLE_MS 1000
/* A floor older than this is outdated.  */
#define SHARE_FLOOR_MAX_AGE_MS 2000
/* Time without a report after which a home removes a router's counters.  */
#define SHARE_HOME_EXPIRY_MS 60000
/* Time after which a router removes an idle account.  Longer than the homes',
   so that a counter that starts again at 0 never meets a home that still has
   the old one.  */
#define SHARE_ROUTER_EXPIRY_MS (2 * SHARE_HOME_EXPIRY_MS)
/* Longest interval between reports of a backlogged account.  */
#define SHARE_REFRESH_INTERVAL_MS 1000

/* ---- counters of a router ---- */
typedef struct share share_t;

share_t *share_new (void);
void share_free (share_t *share);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (share_t, share_free)

/* Charges TOKENS (negative: refunds) divided by WEIGHT.  */
void share_charge (share_t *share, const char *account, const char *service,
                   double tokens, double weight, cfd_time_t now);
/* Sets whether work of the account waits here.  Running work does not count:
   an account whose work only ever runs would gather credit without bound.  */
void share_set_backlogged (share_t *share, const char *account,
                           const char *service, bool backlogged,
                           cfd_time_t now);
/* Returns the account's virtual time as best known here.  */
double share_get_virtual_time (const share_t *share, const char *account,
                               const char *service);
/* Records the floor that an agent sent with a grant.  */
void share_record_floor (share_t *share, const char *service, double floor,
                         cfd_time_t now);
/* Returns the greatest floor received in the last one to two seconds, or the
   last known one.  */
double share_get_floor (const share_t *share, const char *service,
                        cfd_time_t now);
/* Returns a number that identifies the home router of an account and
   service.  */
typedef uint64_t (*share_find_home_t) (void *user, const char *account,
                                       const char *service);
/* Called when the virtual time of an account changed by TOKENS without a
   charge.  */
typedef void (*share_vt_changed_t) (void *user, const char *account,
                                    const char *service, double tokens);
/* Sends ENTRY to its home and returns that home's number.  */
typedef uint64_t (*share_emit_t) (void *user, const msg_report_entry_t *entry);

/* Calls EMIT with each entry that changed or must be refreshed.  */
void share_emit_due (share_t *share, cfd_time_t now, share_emit_t emit,
                     void *user);
/* Marks as due each entry that has or recently had waiting work and whose
   home, according to FIND_HOME, is not the one it was last reported to.  If
   the report waited for the next change, the new home would lack this router's
   part of the account's service until then, and the account would be given
   that part once more.  */
void share_mark_moved_due (share_t *share, cfd_time_t now,
                           share_find_home_t find_home, void *user);
/* Sets whether answers of the home numbered HOME are late.  While they are,
   charges here to an account last reported there also stand for the charges of
   the other routers, in the proportion that the answers showed until then.
   Otherwise each router of the account would know only its own part and give
   the account a whole share.  An answer for the account ends that too.  Calls
   VT_CHANGED with the change of each affected virtual time.  */
void share_set_home_late (share_t *share, uint64_t home, bool is_late,
                          share_vt_changed_t vt_changed, void *user);
/* Applies a home's answer.  */
void share_apply_answer (share_t *share, const msg_share_entry_t *entry,
                         cfd_time_t now);

/* Removes accounts that have been idle for SHARE_ROUTER_EXPIRY_MS.  */
void share_expire (share_t *share, cfd_time_t now);
unsigned share_count_accounts (const share_t *share);

/* ---- virtual times that a home router adds up ---- */
typedef struct home home_t;

home_t *home_new (void);
void home_free (home_t *home);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (home_t, home_free)

/* Applies one report from a router incarnation.  */
void home_apply_report (home_t *home, const char *router, uint64_t incarnation,
                        const msg_report_entry_t *entry, cfd_time_t now);
/* Calls EMIT for each router that is owed an answer: it has sent a report, or
   has waiting work of an account whose virtual time changed since the last
   answer.  */
void home_emit_due (home_t *home, cfd_time_t now,
                    void (*emit) (void *user, const char *router,
                                  const msg_share_entry_t *entry),
                    void *user);
/* Removes the counters of routers without a report for SHARE_HOME_EXPIRY_MS,
   and accounts that no router reports.  */
void home_expire (home_t *home, cfd_time_t now);
unsigned home_count_accounts (const home_t *home);

/* Weighted tokens by which the window has moved accounts so far: debt removed
   from those ahead of the floor, credit removed from those behind it.  */
typedef struct
{
  double debt;
  double credit;
} home_clamped_t;

home_clamped_t home_get_clamped (const home_t *home);

#endif
