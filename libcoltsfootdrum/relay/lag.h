/* Loop lag: on what the turns of the event loop spend their time.

   Load pattern: an instance with a small share of a processor and more
   connections and datagrams than it can take.  Its loop then turns a few times
   a second, and all that it does comes late; the figures tell which kind of
   work takes the time.  */

#ifndef RELAY_LAG_H
#define RELAY_LAG_H

#include <ev.h>
#include <glib.h>
#include <stdint.h>

typedef enum
{
  LAG_IDLE,      /* waiting for events */
  LAG_ACCEPT,    /* new connections of callers */
  LAG_DATAGRAMS, /* of the other routers */
  LAG_CALLERS,   /* reading requests, and refusing them */
  LAG_ENDPOINTS, /* reading answers and passing them on */
  LAG_PLACEMENT, /* choosing endpoints and sending requests */
  LAG_TICK,      /* what is done at set times */
  LAG_OTHER,
  LAG_KINDS
} lag_kind_t;

typedef struct
{
  unsigned turns;
  int64_t us[LAG_KINDS];     /* microseconds */
  unsigned count[LAG_KINDS]; /* units of work: connections, datagrams, ... */
} lag_sums_t;

typedef struct lag lag_t;

/* Counts the turns of LOOP from now on; NOW_US as of clock_now_us.  */
lag_t *lag_new (struct ev_loop *loop, int64_t now_us);
void lag_free (lag_t *lag);

/* Work of KIND begins; what was under way is returned, for lag_leave.  LAG may
   be NULL in both: nothing is counted then.  */
lag_kind_t lag_enter (lag_t *lag, lag_kind_t kind);
/* The work ends, after COUNT units of it.  */
void lag_leave (lag_t *lag, lag_kind_t before, unsigned count);

/* The sums since the last call; they begin anew.  */
lag_sums_t lag_take_sums (lag_t *lag);

/* Appends the time of each kind since the start, in Prometheus' text format.
 */
void lag_append_metrics (const lag_t *lag, GString *out);

/* "turns=3 idle_ms=1 accept_ms=..."; free with g_free.  */
char *lag_format (const lag_sums_t *sums);

#endif
