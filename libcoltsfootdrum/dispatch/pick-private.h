/* Inside an agent's table of announced work: words on what waits come in by
   pick-updates.c, grants go out by pick.c.  */

#ifndef DISPATCH_PICK_PRIVATE_H
#define DISPATCH_PICK_PRIVATE_H

#include "base/list.h"
#include "dispatch/vt-rate.h"
#include "dispatch/pick.h"

/* One router that announced work.  QUIET is set when it let a grant die: a
   stopped or cut-off router would otherwise take a slot for a whole grant's
   life again and again expires its link is closed.  Any waiting from it clears
   the flag, so that a merely slow router loses little.  Before a first grant
   has died, ASKED tells that an answer is overdue.  */
typedef struct
{
  const char *name; /* its key in SOURCES */
  bool unresponsive;
  cfd_time_t first_unanswered; /* the first grant since its last waiting, or
                       CFD_TIME_NEVER */
  double round_trip_ms; /* milliseconds from a grant to its answer, smoothed */
} router_t;

typedef struct
{
  list_node_t node; /* in accounts */
  list_node_t entries;
  char *name;
  double vt_step; /* expected growth of the virtual time by one request */
  uint64_t last_grant_id; /* of the last grant; the longest ago goes first in a
                             tie */
  unsigned in_flight;     /* grants in flight */
} account_t;

typedef struct
{
  list_node_t node; /* in the account's entries */
  router_t *router;
  uint32_t count;
  uint32_t class_rank;
  cfd_time_t oldest_enqueued;
  double virtual_time;
  cfd_time_t vt_updated; /* when VIRTUAL_TIME was */
  uint32_t life_ms;
  cfd_time_t expires;
  unsigned in_flight;
  bool listed; /* in the announcement that is being taken */
} entry_t;

typedef struct
{
  uint64_t id;
  char *router;
  char *account;
  cfd_time_t granted;
  cfd_time_t expires;
} grant_t;

struct pick
{
  list_node_t accounts;
  GHashTable *by_account; /* name -> account_t */
  GHashTable *routers;    /* name -> router_t */
  GHashTable *grants;     /* id -> grant_t */
  uint64_t newest_grant_id;
  vt_rate_t vt_rate;
};

entry_t *pick_entry_find (account_t *account, const char *router);
void pick_entry_free (entry_t *entry);
/* Withdraws ENTRY.  One with grants in flight stays, empty, so that their
   answers find it.  */
void pick_entry_withdraw (pick_t *pick, account_t *account, entry_t *entry);
/* Forgets an account without work.  Its expected vt_step goes with it.  */
void pick_account_free_if_empty (pick_t *pick, account_t *account);
/* The account's virtual time as best known.  It grows but for corrections at
   a request's end, so the greatest waiting of any router is the newest; taking
   the lowest would send grants after every stale announcement.  */
double pick_estimate_account_vt (const pick_t *pick, const account_t *account,
                                 cfd_time_t now);

#endif
