/* Prompt parts.  Finds a part of prompts that ends each endpoint which begins
   an answer on it, so that prompts with that part aren't sent any more.

   Load pattern: requests that share one part of their prompts, and nothing
   else, end one endpoint after the other.  Everything that ran there breaks,
   so that sound parts are in prompts under which endpoints ended, too; and
   endpoints end for other reasons.

   An end counts against the parts of requests whose answer had not gone on,
   and an answer that goes on clears its parts of all earlier ends.  Ends at
   one moment are one, and so are ends under one request.  What is left against
   a part that was never answered is enough after a few ends.  One that was
   answered lately needs more, and most of all ends since its first: parts that
   many prompts share are near many ends.  Of parts that the same ends count
   against, that with the most is the cause of them, and they no longer count
   against the others.

   Routers exchange ends and answers (relay/pal.h), and each concludes the same
   from them.  A part counts by itself, whatever precedes it, and for one
   service.  */

#ifndef RELAY_PRT_H
#define RELAY_PRT_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Ends after which a part is quarantined: one that was not answered lately,
   one that was, and one that shares them with another part.  */
#define PRT_MAX_ENDS 3u
#define PRT_MAX_ENDS_ANSWERED 4u
#define PRT_MAX_ENDS_IN_DOUBT 5u
/* Time for an answer to clear a part in doubt, from the last of these ends.
   Less than the time in which a router counts as in touch.  */
#define PRT_DOUBT_MS 1500
/* Ends within this time are one.  */
#define PRT_MOMENT_MS 150
/* Time until one request is sent as a trial, and the same for a part that was
   answered lately, which may be a sound one.  It doubles with each further
   end.  */
#define PRT_MIN_MS 120000
#define PRT_MIN_ANSWERED_MS 15000
#define PRT_MAX_MS 3600000
/* Parts of one prompt that an end counts against, and an answer clears.  */
#define PRT_MAX_PARTS 256u

typedef struct prt prt_t;

/* ROUTER is the name of this router, by which trials are spread over time.  */
prt_t *prt_new (const char *router);
void prt_free (prt_t *prt);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (prt_t, prt_free)

/* Parses "ID:TOKENS, ..." and returns the keys of all parts but the last,
   which is the request's own; NULL when there are none.  Each key stands for a
   part at SERVICE.  */
GArray *prt_parse (const char *service, const char *prompt);

typedef enum
{
  PRT_END,    /* an endpoint ended under a request with the part */
  PRT_ANSWER, /* an endpoint went on with an answer to one */
  PRT_TRIAL,  /* one is sent after a quarantine, to see what happens */
  PRT_KINDS
} prt_kind_t;

typedef struct
{
  prt_kind_t kind;
  uint64_t part;
  uint64_t endpoint; /* PRT_END: hash of its id and start time */
  uint64_t request;  /* PRT_END: hash of the request's content */
  cfd_time_t at;
} prt_event_t;

/* Records what this router saw, for the others too.  An answer to a part
   without ends is only remembered.  */
void prt_add (prt_t *prt, cfd_time_t now, const prt_event_t *event);
/* Records what another router saw.  */
void prt_add_peer (prt_t *prt, cfd_time_t now, const prt_event_t *event);

typedef enum
{
  PRT_FREE,
  PRT_QUARANTINED,
  PRT_ON_TRIAL /* one request may be sent, as a trial */
} prt_verdict_t;

typedef struct
{
  prt_verdict_t verdict;
  unsigned ends;         /* that count */
  cfd_time_t last_at;    /* of the last end */
  int64_t left_ms;       /* until a trial may be due */
  uint64_t endpoints[3]; /* of the last ends that count; 0: none */
} prt_state_t;

prt_state_t prt_find (const prt_t *prt, cfd_time_t now, uint64_t part);

/* Decides which parts are quarantined.  To be called after ends were added,
   and several times a second.  Calls QUARANTINED for each new one.  */
void prt_decide (prt_t *prt, cfd_time_t now,
                 void (*quarantined) (void *user, uint64_t part,
                                      const prt_state_t *state),
                 void *user);
/* Returns a number that changes when a part is quarantined.  */
unsigned prt_get_epoch (const prt_t *prt);
/* Returns the number of parts that ends count against, and of those that are
   quarantined, or were and got no answer since.  */
unsigned prt_count (const prt_t *prt);
unsigned prt_count_active (const prt_t *prt);
bool prt_has_active (const prt_t *prt);

/* Returns the events to send to the other routers, a prt_event_t each: this
   router's own since number *LAST, which is advanced, and from RESENT_SINCE
   on.  WITH_UNSETTLED: also those of parts that are quarantined or soon may
   be, for routers that have just started.  Free with g_array_unref.  */
#define PRT_MAX_UNSETTLED 256u
GArray *prt_collect (prt_t *prt, cfd_time_t now, uint64_t *last,
                     cfd_time_t resent_since, bool with_unsettled);

/* Removes what is too old to be needed.  */
void prt_sweep (prt_t *prt, cfd_time_t now);

#endif
