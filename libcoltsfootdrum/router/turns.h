/* Whose turn it was: a check that no client account starves.  Pure: time is an
   argument, nothing is sent.

   A slot goes to the account that has the least virtual time of all that wait
   at this router and could take it.  So whoever takes a slot in another's
   place is not ahead of it, and is ahead of it at most by the charge
   afterwards.  Its virtual time rises by each charge and falls only where a
   home or a correction lowers it.  While account A waits unserved, all that B
   takes in A's place is therefore at most

     how far B was behind A before B's first slot in that time
     + how far A's own virtual time rose meanwhile
     + what B's was lowered by meanwhile
     + one charge,

   and all that others take is at most the sum of that over them.  It stands
   for any order of moves of homes, lifts, forgiveness, weights, corrections,
   retries, returns from idle and agents that A must avoid; each of them moves
   a virtual time, begins a new wait or is no turn that A could have had.

   What is counted here are the charges themselves, not what became of them in
   virtual time: a charge that got lost makes the bound break.  A wrong order
   shows at once, with the first slot that goes to one who is ahead.  */

#ifndef ROUTER_TURNS_H
#define ROUTER_TURNS_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>

/* An account that took no slot for so long is forgotten, and counted as a new
   one.  Shorter than SHARE_ROUTER_EXPIRY_MS: what share forgets must be new
   here.  */
#define TURNS_KEEP_MS 60000

typedef struct turns turns_t;

/* A slot that ACCOUNT takes.  */
typedef struct
{
  const char *account;
  const char *service;
  double virtual_time; /* before the charge */
  double charge;       /* expected cost in weighted tokens */
} turn_t;

typedef enum
{
  TURN_LAWFUL,
  TURN_OUT_OF_ORDER, /* the one passed over had got less */
  TURN_BEYOND_BOUND  /* others took more in its place than they could */
} turn_verdict_t;

turns_t *turns_new (void);
void turns_free (turns_t *turns);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (turns_t, turns_free)

/* ACCOUNT waits for the same service, at VIRTUAL_TIME, and MAY take the slot
   or not.  To be called for each other account that waits, before
   turns_take.  */
turn_verdict_t turns_pass (turns_t *turns, const turn_t *turn,
                           const char *account, double virtual_time, bool may,
                           cfd_time_t now);
void turns_take (turns_t *turns, const turn_t *turn, cfd_time_t now);
/* Nothing of the account waits any more.  */
void turns_rest (turns_t *turns, const char *account, const char *service);
/* Its virtual time was changed by so many weighted tokens otherwise than by
   turns_take; only a fall matters.  */
void turns_moved (turns_t *turns, const char *account, const char *service,
                  double tokens);
void turns_expire (turns_t *turns, cfd_time_t now);
/* Milliseconds between the first and the last slot that went to others in
   place of one account that still waits; the longest of all.  */
cfd_time_t turns_longest (const turns_t *turns);

#endif
