/* Timeline: a ring buffer of the events of this process.  The admin port
   serves it as /events?since=SEQUENCE, and cfdctl timeline merges those of all
   processes in the order of their hybrid logical stamps.  */

#ifndef EVENTS_TL_H
#define EVENTS_TL_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>

typedef enum
{
  TL_START,       /* process started */
  TL_STOP,        /* graceful shutdown began or ended */
  TL_CONFIG,      /* a configuration revision came into force */
  TL_PEER_UP,     /* a link to a peer was authenticated */
  TL_PEER_DOWN,   /* a link was lost */
  TL_ADMIT,       /* a request was queued */
  TL_REFUSE,      /* a request was refused, not run */
  TL_GRANT,       /* an agent offered a slot */
  TL_ASSIGN,      /* a router answered a grant with a request */
  TL_RUN,         /* an agent sent a request to its endpoint */
  TL_NOT_STARTED, /* an agent confirmed that it didn't start a request */
  TL_RESUME,      /* a stream was resumed after a lost link */
  TL_RETRY,       /* a request was queued again */
  TL_END,         /* a request ended */
  TL_LIMIT,       /* an agent's slot limit changed */
  TL_EJECT,       /* an endpoint was ejected after failures, or reinstated */
  TL_ZONE,        /* a zone was taken out of service or put back */
  TL_CLAIM,       /* an idempotency claim was made, found or finished */
  TL_INVARIANT,   /* an invariant check failed */
  TL_KIND_COUNT
} tl_kind_t;

typedef struct tl_ring tl_ring_t;

/* Creates a ring of CAPACITY events; new events overwrite the oldest.  */
tl_ring_t *tl_ring_new (const char *instance, unsigned capacity);
void tl_ring_free (tl_ring_t *ring);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (tl_ring_t, tl_ring_free)

/* Returns the process-wide logical clock, which frames advance and merge.  */
hlc_t *tl_ring_get_clock (tl_ring_t *ring);

/* Records an event.  Fields that don't apply are NULL; DETAIL is a short
   sentence.  */
void tl_add (tl_ring_t *ring, tl_kind_t kind, const char *account,
             const char *zone, const char *endpoint, const char *request,
             const char *detail);

/* Selects events; a NULL member matches any.  REQUEST also matches the
   attempts "REQUEST-N" of a request.  */
typedef struct
{
  const char *account;
  const char *request;
} tl_filter_t;

/* Returns whether REQUEST is WANTED or one of its attempts "WANTED-N".  */
bool tl_matches_request (const char *request, const char *wanted);

/* Returns a JSON array of the events after sequence SINCE that match FILTER
   (NULL: all), oldest first; free with g_free.
   Members: sequence, stamp, wall_ms, instance, kind, account, zone, endpoint,
   request, detail.  */
char *tl_to_json (const tl_ring_t *ring, uint64_t since,
                  const tl_filter_t *filter);

const char *tl_kind_name (tl_kind_t kind);

#endif
