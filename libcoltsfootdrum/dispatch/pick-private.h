/* Inside an agent's table of announced work: words on what waits come in by
   pick-words.c, grants go out by pick.c.  */

#ifndef DISPATCH_PICK_PRIVATE_H
#define DISPATCH_PICK_PRIVATE_H

#include "base/list.h"
#include "dispatch/pace.h"
#include "dispatch/pick.h"

/* One router that announced work.  QUIET is set when it let a grant die: a
   stopped or cut-off router would otherwise take a slot for a whole grant's
   life again and again until its link is closed.  Any word from it clears
   the flag, so that a merely slow router loses little.  Before a first grant
   has died, ASKED tells that an answer is overdue.  */
typedef struct
{
  const char *name; /* its key in SOURCES */
  bool quiet;
  cfd_time_t asked;  /* the first grant since its last word, or
                        CFD_TIME_NEVER */
  double round_trip; /* milliseconds from a grant to its answer, smoothed */
} source_t;

typedef struct
{
  list_node_t node; /* in accounts */
  list_node_t entries;
  char *name;
  double step;     /* expected growth of the virtual time by one request */
  uint64_t turn;   /* of the last grant; the longest ago goes first in a tie */
  unsigned flying; /* grants in flight */
} claimant_t;

typedef struct
{
  list_node_t node; /* in the claimant's entries */
  source_t *source;
  uint32_t count;
  uint32_t class_rank;
  cfd_time_t oldest;
  double virtual_time;
  cfd_time_t heard; /* when VIRTUAL_TIME was */
  uint32_t life_ms;
  cfd_time_t until;
  unsigned flying;
  bool named; /* in the announcement that is being taken */
} entry_t;

typedef struct
{
  uint64_t id;
  char *router;
  char *account;
  cfd_time_t made;
  cfd_time_t until;
} flight_t;

struct pick
{
  list_node_t accounts;
  GHashTable *by_account; /* name -> claimant_t */
  GHashTable *sources;    /* name -> source_t */
  GHashTable *flights;    /* id -> flight_t */
  uint64_t last_grant;
  pace_t pace;
};

entry_t *pick_entry_find (claimant_t *claimant, const char *router);
void pick_entry_drop (entry_t *entry);
/* Withdraws ENTRY.  One with grants in flight stays, empty, so that their
   answers find it.  */
void pick_entry_withdraw (pick_t *pick, claimant_t *claimant, entry_t *entry);
/* Forgets an account without work.  Its expected step goes with it.  */
void pick_claimant_sweep (pick_t *pick, claimant_t *claimant);
/* The account's virtual time as best known.  It grows but for corrections at
   a request's end, so the greatest word of any router is the newest; taking
   the least would send grants after every stale announcement.  */
double pick_claimant_time (const pick_t *pick, const claimant_t *claimant,
                           cfd_time_t now);

#endif
