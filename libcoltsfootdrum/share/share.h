/* Fair share over the whole fleet without agreement.

   Each router keeps, for each account and service, an absolute counter of the
   weighted service it gave out: the expected cost is charged when a request is
   assigned and corrected when it ends.  The account's home (the rendezvous
   choice among the live routers) adds up what the routers report into one
   virtual time and answers with it.  Reports are absolute and numbered, so
   lost, doubled and reordered ones do no harm; a new home is rebuilt from the
   virtual time each reporter last heard.

   Virtual time is kept for each pair of account and service: accounts compete
   for one service's capacity, and what they use elsewhere says nothing about
   their claim on it.

   An account that comes back from idle is lifted to the floor, the virtual
   time at which work is taken now; none stays further from a floor heard just
   now than the window, on either side.  A report's floor is -INFINITY when its
   router heard none within SHARE_FLOOR_MAX_AGE_MS: an old floor must not move
   an account.  Pure: time is an argument, nothing is sent.  */

#ifndef SHARE_SHARE_H
#define SHARE_SHARE_H

#include "base/clock.h"
#include "wire/msg.h"
#include <glib.h>

/* Weighted tokens by which an account may be ahead of or behind the floor,
   whatever happened in a partition: so many of the greatest charges lately
   seen, within bounds.  */
#define SHARE_WINDOW_CHARGES 2
#define SHARE_WINDOW_MIN_TOKENS 1000.0
#define SHARE_WINDOW_MAX_TOKENS 20000.0
/* An account without work for so long has come back from idle.  */
#define SHARE_IDLE_MS 1000
/* A floor heard longer ago is old.  */
#define SHARE_FLOOR_MAX_AGE_MS 2000
/* A home forgets a writer it hasn't heard for so long.  */
#define SHARE_HOME_EXPIRY_MS 60000
/* A router forgets an account later than every home has, so that a counter
   that starts again at 0 never meets a home that knows the old one.  */
#define SHARE_ROUTER_EXPIRY_MS (2 * SHARE_HOME_EXPIRY_MS)
/* Backlogged accounts are reported at least so often.  */
#define SHARE_REFRESH_INTERVAL_MS 1000

/* ---- a router's own side ---- */
typedef struct share share_t;

share_t *share_new (void);
void share_free (share_t *share);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (share_t, share_free)

/* Adds TOKENS (negative: takes back) of service, divided by WEIGHT.  */
void share_charge (share_t *share, const char *account, const char *service,
                   double tokens, double weight, cfd_time_t now);
/* Tells whether work of the account waits here.  Running work does not count:
   an account that only ever runs would gather credit without bound.  */
void share_set_backlogged (share_t *share, const char *account,
                           const char *service, bool backlogged,
                           cfd_time_t now);
/* The account's virtual time as best known here.  */
double share_get_virtual_time (const share_t *share, const char *account,
                               const char *service);
/* The floor heard from an agent with a grant.  */
void share_record_floor (share_t *share, const char *service, double floor,
                         cfd_time_t now);
/* The greatest floor heard in the last one to two seconds, or the last
   known.  */
double share_get_floor (const share_t *share, const char *service,
                        cfd_time_t now);
/* A number for the home of an account and service.  */
typedef uint64_t (*share_find_home_t) (void *user, const char *account,
                                       const char *service);
/* The virtual time of an account was moved by TOKENS, and not by a charge.  */
typedef void (*share_vt_changed_t) (void *user, const char *account,
                                    const char *service, double tokens);
/* Sends ENTRY to its home and returns that home's number.  */
typedef uint64_t (*share_emit_t) (void *user, const msg_report_entry_t *entry);

/* Calls EMIT with each entry that is due: changed, or to be refreshed.  */
void share_emit_due (share_t *share, cfd_time_t now, share_emit_t emit,
                     void *user);
/* Makes each entry due that has work waiting, or had lately, and whose home by
   HOME is not the one that it was last reported to.  Left until it changes, a
   new home would go without that router's part of the account's service for as
   long, and the account would get that part once more.  */
void share_mark_moved_due (share_t *share, cfd_time_t now,
                           share_find_home_t home, void *user);
/* Tells whether answers of the home numbered HOME are late.  While they are,
   what is charged here to an account last reported there stands for what other
   routers charge too, in the proportion that the answers had until then: else
   each router of the account would know but its own part, and would give it a
   whole share.  An answer for the account ends that as well.  Calls MOVED with
   what the virtual time of each rises or falls by.  */
void share_set_home_late (share_t *share, uint64_t home, bool is_late,
                          share_vt_changed_t moved, void *user);
/* Takes a home's answer.  */
void share_apply_answer (share_t *share, const msg_share_entry_t *entry,
                         cfd_time_t now);

/* Forgets accounts that have been idle for SHARE_ROUTER_EXPIRY_MS.  */
void share_expire (share_t *share, cfd_time_t now);
unsigned share_count_accounts (const share_t *share);

/* ---- a home's side ---- */
typedef struct home home_t;

home_t *home_new (void);
void home_free (home_t *home);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (home_t, home_free)

/* Takes one report from a router incarnation.  */
void home_apply_report (home_t *home, const char *router, uint64_t incarnation,
                        const msg_report_entry_t *entry, cfd_time_t now);
/* Calls EMIT for each router that has work of an account whose virtual time
   changed since it was last told.  */
void home_emit_due (home_t *home, cfd_time_t now,
                    void (*emit) (void *user, const char *router,
                                  const msg_share_entry_t *entry),
                    void *user);
void home_expire (home_t *home, cfd_time_t now);
unsigned home_count_accounts (const home_t *home);

/* Weighted tokens that the window took from accounts so far: debt of those
   ahead of the floor, credit of those behind it.  */
typedef struct
{
  double debt;
  double credit;
} home_clamped_t;

home_clamped_t home_get_clamped (const home_t *home);

#endif
