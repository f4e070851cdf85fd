/* Quarantine.  Records under which requests endpoints ended, so that a request
   that ends each endpoint that runs it isn't sent again.

   Load pattern: a request makes the process of an endpoint end, and its caller
   repeats it, at any router and with a new id each time.  Limits on attempts
   and retries hold for one attempt or for a whole service; without a memory of
   the request itself every attempt ends further endpoints, with all that runs
   there.

   A caller may send several copies at once, and each end counts.  Requests
   without a body and a prompt may coincide: several callers look up the same
   thing.  Of these, ends count when they follow one another, each under a
   repeat that was sent after the end before it; several at one moment, as when
   a rack fails, are one.  An answer to the request shows that it wasn't the
   cause.  Routers exchange ends
   and answers (relay/pal.h), and each concludes the same from them.  */

#ifndef RELAY_QUA_H
#define RELAY_QUA_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Ends after which a request is quarantined.  */
#define QUA_MAX_ENDS 3u
/* Time without further ends until a quarantined request may be sent again.  It
   doubles with each further end.  */
#define QUA_MIN_MS 60000
#define QUA_MAX_MS 3600000

typedef struct qua qua_t;

qua_t *qua_new (void);
void qua_free (qua_t *qua);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (qua_t, qua_free)

/* Returns the key of requests whose content has HASH; MAY_COINCIDE: different
   callers may send the same content.  */
uint64_t qua_make_key (uint64_t hash, bool may_coincide);

/* A process that ended while it ran a request; or an answer to the request,
   which clears it of all earlier ends.  */
typedef struct
{
  uint64_t request;  /* of qua_make_key: the same in all attempts */
  uint64_t endpoint; /* hash of its id and start time; 0: an answer */
  cfd_time_t sent_at;
  cfd_time_t at; /* of the end, or of the answer */
} qua_event_t;

/* What is known of a request.  */
typedef struct
{
  unsigned ends;      /* that count */
  bool is_active;     /* it is quarantined */
  cfd_time_t last_at; /* of the last end */
  int64_t left_ms;    /* until the quarantine ends, without further ends */
} qua_state_t;

/* Records what this router saw, for the others too.  An answer to a request
   without ends changes nothing.  Returns whether that quarantined the request.
 */
bool qua_add (qua_t *qua, cfd_time_t now, const qua_event_t *event);
/* Records what another router saw.  */
bool qua_add_peer (qua_t *qua, cfd_time_t now, const qua_event_t *event);

qua_state_t qua_find (const qua_t *qua, cfd_time_t now, uint64_t request);
/* Returns a number that changes when a request is quarantined.  */
unsigned qua_get_epoch (const qua_t *qua);
/* Returns the number of requests with ends, and of those in quarantine.  */
unsigned qua_count (const qua_t *qua);
unsigned qua_count_active (const qua_t *qua, cfd_time_t now);

/* Returns the events to send to the other routers, a qua_event_t each: this
   router's own since number *LAST, which is advanced, and from RESENT_SINCE
   on.  WITH_UNSETTLED: also the events of all requests that another end would
   quarantine, for routers that have just started.  Free with g_array_unref. */
#define QUA_MAX_UNSETTLED 256u
GArray *qua_collect (qua_t *qua, cfd_time_t now, uint64_t *last,
                     cfd_time_t resent_since, bool with_unsettled);

/* Removes what is too old to be needed.  */
void qua_sweep (qua_t *qua, cfd_time_t now);

#endif
