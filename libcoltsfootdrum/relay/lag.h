/* Loop lag.  Measures the time that the event loop spends on each kind of
   work.

   Load pattern: an instance with a small share of a processor and more
   connections and datagrams than it can handle.  Its loop then runs only a few
   iterations a second, and everything it does is late; the sums show which
   kind of work takes the time.  */

#ifndef RELAY_LAG_H
#define RELAY_LAG_H

#include <ev.h>
#include <glib.h>
#include <stdint.h>

typedef enum
{
  LAG_IDLE,      /* waiting for events */
  LAG_ACCEPT,    /* accepting callers' connections */
  LAG_DATAGRAMS, /* reading other routers' datagrams */
  LAG_CALLERS,   /* reading and refusing requests */
  LAG_ENDPOINTS, /* reading and forwarding answers */
  LAG_PLACEMENT, /* choosing endpoints and sending requests */
  LAG_LISTS,     /* decoding and applying the platform's lists */
  LAG_TICK,      /* periodic work */
  LAG_OTHER,
  LAG_KINDS
} lag_kind_t;

typedef struct
{
  unsigned turns;            /* iterations of the loop */
  int64_t us[LAG_KINDS];     /* microseconds */
  unsigned count[LAG_KINDS]; /* units of work: connections, datagrams, ... */
} lag_sums_t;

typedef struct lag lag_t;

/* Starts to measure LOOP.  NOW_US is the time from clock_now_us.  */
lag_t *lag_new (struct ev_loop *loop, int64_t now_us);
void lag_free (lag_t *lag);

/* Starts work of KIND.  Returns the kind of work that it interrupts, to be
   given to lag_leave.  Both functions do nothing when LAG is NULL.  */
lag_kind_t lag_enter (lag_t *lag, lag_kind_t kind);
/* Ends the work, after COUNT units, and continues the kind BEFORE.  */
void lag_leave (lag_t *lag, lag_kind_t before, unsigned count);

/* Returns the sums since the last call and resets them.  */
lag_sums_t lag_take_sums (lag_t *lag);

/* Adds SUMS to TOTAL.  */
void lag_add_sums (lag_sums_t *total, const lag_sums_t *sums);

/* Returns by how much callers and datagrams delayed the loop, when a tick was
   LATE_MS late and SUMS is the work before it.  The time for the platform's
   lists doesn't count.  It is no load by callers, and a router that has just
   read a list needs no datagram about it.  A router that lags reads each list
   for itself; if reading counted as lag, that would never end.  */
int64_t lag_get_load_delay_ms (const lag_sums_t *sums, int64_t late_ms);

/* Appends the time spent on each kind since the start to OUT, in Prometheus'
   text format.  */
void lag_append_metrics (const lag_t *lag, GString *out);

/* Returns SUMS as "turns=3 idle_ms=1 accept_ms=..."; free with g_free.  */
char *lag_format (const lag_sums_t *sums);

#endif
