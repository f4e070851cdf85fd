/* Warmth.  Decides whether an endpoint may be cold, by evidence whose age is
   bounded, and when the endpoint itself has to be asked.

   Load pattern: an endpoint that takes hundreds of requests a second while it
   is warm crashes at a tenth of that when it is cold.  Its entry in the
   platform's list says so only after a heartbeat and the next read.  An
   endpoint that has just started is empty besides, so that each router prefers
   it.  Therefore each sign that its process ended limits it at once, and a
   warm endpoint is asked at intervals.

   evidence                          known after            limited until
   report in the list                a heartbeat, a read    its time is over
   first list, zone's return,        at once                a list is current
   as pause of the router                                    of then
   connections closed or refused     at once                its own answer
   its own answer to a health check  one interval           its time is over
   another router's health check     a datagram             its time is over

   Each suspicion ends no later than WARM_UP_MS after its last evidence.  */

#ifndef RELAY_WRM_H
#define RELAY_WRM_H

#include "base/clock.h"
#include <stdbool.h>

/* Longest interval at which one router of a cell asks each endpoint.  */
#define WRM_ASK_INTERVAL_MS 400

typedef enum
{
  WRM_CONFIRMED,   /* as the list says */
  WRM_UNCONFIRMED, /* the list may be older than the endpoint's turn to cold */
  WRM_ENDED /* its process may have ended, and another one may have started
               under its id and address */
} wrm_suspicion_t;

typedef struct
{
  int64_t warm_up_ms;    /* longest time that it can be cold; 0: it never is */
  cfd_time_t cold_until; /* by reports and answers */
  wrm_suspicion_t suspicion;
  cfd_time_t suspected_at; /* the last evidence */
  cfd_time_t asked_at; /* 0: never, or not since its process may have ended */
  cfd_time_t found_cold_until; /* by its last answer to this router */
  cfd_time_t alerted_at;       /* when another endpoint was found to be cold */
} wrm_t;

void wrm_init (wrm_t *wrm);
/* Returns whether the endpoint is cold, or may be.  */
bool wrm_is_cold (const wrm_t *wrm, cfd_time_t now);

/* Records that it is cold for COLD_MS from now on.  Returns whether it is so
   for longer than was known.  */
bool wrm_set_cold (wrm_t *wrm, cfd_time_t now, int64_t cold_ms);
/* Records a reason to suspect it.  Returns whether the suspicion is new.  */
bool wrm_suspect (wrm_t *wrm, cfd_time_t now, wrm_suspicion_t suspicion);
/* Records that the list of endpoints is current as of CURRENT_AT.  Returns
   whether that ends a suspicion, which has to be older.  */
bool wrm_confirm (wrm_t *wrm, cfd_time_t current_at);

/* Records that another endpoint was found to be cold, though no report said
   so: this one may have turned cold with it.  Load that the other one no
   longer gets comes here.  */
void wrm_alert (wrm_t *wrm, cfd_time_t now);

/* Returns the interval at which an endpoint that gets PER_S requests a second
   from all routers is asked, so that few come between its turn to cold and its
   answer.  */
int64_t wrm_get_interval_ms (double per_s);
/* Returns whether this router has to ask it now; RANK is the number of routers
   of the cell that rank before this one.  Usually the first one asks.  After
   an alert a few do, as the first may have failed.  While its process may have
   ended, each router that has evidence of that asks.  They ask one after the
   other, so that most learn the answer from another.  */
bool wrm_must_ask (const wrm_t *wrm, cfd_time_t now, unsigned rank,
                   int64_t interval_ms);
/* Returns whether that may change within an interval.  */
bool wrm_is_urgent (const wrm_t *wrm, cfd_time_t now);
/* Records that it is asked.  */
void wrm_note_asked (wrm_t *wrm, cfd_time_t now);
/* Records its answer that it is cold for COLD_MS from now on; 0: it is warm.
   Returns whether that ends a suspicion.  */
bool wrm_note_answer (wrm_t *wrm, cfd_time_t now, int64_t cold_ms);

#endif
