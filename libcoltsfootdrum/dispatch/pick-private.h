/* Internals of work selection.  pick-updates.c applies what routers announce;
   pick.c makes and completes grants.  */

#ifndef DISPATCH_PICK_PRIVATE_H
#define DISPATCH_PICK_PRIVATE_H

#include "base/list.h"
#include "dispatch/pick.h"
#include "dispatch/vt-rate.h"

/* A router that announced work.  */
typedef struct
{
  const char *name; /* owned by the table of routers, as its key */
  /* Set when the router let a grant expire: a stopped or cut-off router would
     otherwise take a slot for a whole grant lifetime again and again until its
     link is closed.  Any message from it clears the flag, so that a router
     that is merely slow loses little.  */
  bool unresponsive;
  /* When the first grant since its last message was made, or CFD_TIME_NEVER;
     shows an overdue answer before a grant has expired.  */
  cfd_time_t first_unanswered;
  double round_trip_ms; /* from a grant to its answer, smoothed */
} router_t;

/* An account with announced work.  */
typedef struct
{
  list_node_t node; /* in pick->accounts */
  list_node_t entries;
  char *name;
  double vt_step;         /* expected growth of virtual time by one request */
  uint64_t last_grant_id; /* in a tie the least, granted longest ago, wins */
  unsigned in_flight;     /* grants in flight */
} account_t;

/* The work of one account that one router announced.  */
typedef struct
{
  list_node_t node; /* in the account's entries */
  router_t *router;
  uint32_t count;
  uint32_t class_rank;
  cfd_time_t oldest_enqueued; /* when the oldest request came */
  double virtual_time;
  cfd_time_t vt_updated; /* when VIRTUAL_TIME was announced */
  uint32_t life_ms;
  cfd_time_t expires;
  unsigned in_flight; /* grants in flight */
  bool listed;        /* in the full announcement being applied */
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
  GHashTable *by_account; /* name to account_t */
  GHashTable *routers;    /* name to router_t */
  GHashTable *grants;     /* id to grant_t */
  uint64_t newest_grant_id;
  vt_rate_t vt_rate;
};

entry_t *pick_entry_find (account_t *account, const char *router);
void pick_entry_free (entry_t *entry);
/* Withdraws ENTRY.  One with grants in flight stays, with a count of 0, so
   that their answers find it.  */
void pick_entry_withdraw (pick_t *pick, account_t *account, entry_t *entry);
/* Frees an account that has no entries.  Its expected step is lost.  */
void pick_account_free_if_empty (pick_t *pick, account_t *account);
/* Estimates the account's virtual time as the greatest of its entries.
   Virtual time only grows, apart from corrections when a request ends, so the
   greatest announced value is the newest; taking the least would send grants
   after every stale announcement.  */
double pick_estimate_account_vt (const pick_t *pick, const account_t *account,
                                 cfd_time_t now);

#endif
