/* Readiness.  Decides whether this instance should get new connections.

   Load pattern: clients are distributed over instances by a hash, so that a
   small instance may get several times the load that it can serve while others
   of its availability zone are idle.  Connections to it then wait until their
   clients give up.  When an instance can't accept all connections, or is late
   with all its work, for some time, it reports that it is not ready, and new
   ones go elsewhere.  */

#ifndef RELAY_RDY_H
#define RELAY_RDY_H

#include "base/clock.h"
#include <stdbool.h>

typedef struct
{
  double busy;                 /* share of time spent working, smoothed */
  cfd_time_t overloaded_since; /* CFD_TIME_NEVER: not overloaded */
  cfd_time_t not_ready_until;  /* at least */
  cfd_time_t ready_since;      /* end of the last time not ready */
  int64_t hold_ms;             /* least duration of the last time not ready */
  bool not_ready;
} rdy_t;

/* Measurements since the last update.  */
typedef struct
{
  double busy_ms;  /* working */
  double idle_ms;  /* waiting for events */
  bool backlogged; /* an iteration left connections waiting for accept */
  bool is_late;    /* the event loop is behind */
} rdy_sample_t;

void rdy_init (rdy_t *rdy);
void rdy_update (rdy_t *rdy, cfd_time_t now, const rdy_sample_t *sample);
bool rdy_is_ready (const rdy_t *rdy);

#endif
