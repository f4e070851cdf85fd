/* An agent's limit of requests at its endpoint.  Pure.  Begins at the bearable
   load of a cold start and grows by one slot for each full round of completed
   work with good token times, up to the record's maximum; is cut back when the
   first token or the interval between tokens says that the endpoint is slow,
   and to the cold start's load when it seems to have turned cold again.  The
   engine's own load report lags and is never trusted over this.

   An endpoint may turn cold while nothing runs there, or while what runs gives
   no token.  So a model endpoint's limit above the cold start's load rests on
   proof: good token intervals seen in the last LIM_CONFIRMATION_MS.  Without
   it the limit is doubted, and only the cold start's load is allowed until the
   next good interval, which restores it at once.  Answers in one piece prove
   when they end.  To trust an endpoint while only such answers run was tried:
   each request added then was one too many where the endpoint had turned cold.

   An endpoint that fails LIM_EJECTION_FAILURES times in a row is ejected: it
   gets nothing for a backoff with jitter, then one request as a probe, and
   starts over as cold when that succeeds.  */

#ifndef LIMITS_LIM_H
#define LIMITS_LIM_H

#include "base/clock.h"
#include <stdbool.h>

/* Some ten intervals.  An endpoint that turns cold is known to be so after
   this time and what the machine adds; its engine's own grace is 500 ms.  */
#define LIM_CONFIRMATION_MS 250

/* Failures in a row that eject.  */
#define LIM_EJECTION_FAILURES 3
#define LIM_BACKOFF_BASE_MS 1500
/* Pause after a failure that doesn't eject yet, doubled with each in a row.
   An endpoint that fails at once is the first to be free again: without the
   pause it takes the same request, put back to the queue, time after time.  */
#define LIM_FAILURE_PAUSE_MS 400
#define LIM_BACKOFF_MAX_MS 30000
/* Least time between two cut-backs: what ran already when the limit was cut
   stays slow for a while and says nothing new.  */
#define LIM_CUT_INTERVAL_MS 1000

typedef struct
{
  unsigned max;             /* record's maximum */
  unsigned cold;            /* bearable in cold start */
  double first_token_ms;    /* more is slow; 0: not judged */
  double token_interval_ms; /* more is slow; 0: not judged */
} lim_settings_t;

typedef enum
{
  LIM_COLD,
  LIM_RAMPING,
  LIM_WARM,
  LIM_EJECTED
} lim_state_t;

typedef struct
{
  lim_settings_t settings;
  lim_state_t state;
  unsigned slots;     /* allowed now */
  unsigned completed; /* good completions since the last growth */
  unsigned peak;      /* most requests at once since the last growth */
  unsigned failures;  /* in a row */
  unsigned ejections; /* in a row, for the backoff */
  cfd_time_t ejected_until;
  cfd_time_t paused_until;
  cfd_time_t failed; /* when it last did; of use while FAILURES > 0 */
  cfd_time_t changed;
  double first_token_usual; /* averages of good requests; 0: none yet */
  double token_interval_usual;
  cfd_time_t proved; /* when a good interval was last seen */
  bool doubted;
  uint64_t seed; /* of the backoff's jitter; set by the owner */
} lim_t;

void lim_init (lim_t *lim, const lim_settings_t *settings, cfd_time_t now);
void lim_apply_settings (lim_t *lim, const lim_settings_t *settings,
                         cfd_time_t now);
/* Slots that may be filled beyond BUSY ones.  */
unsigned lim_count_free_slots (lim_t *lim, unsigned busy, cfd_time_t now);
/* One request, begun at STARTED, completed; times are of this request, 0 when
   it had none.  With a limit for the token interval one without it changes
   nothing but the count of failures.  That one begins anew, and an ejection
   ends, only by a request begun after the last failure: an endpoint that turns
   all new work away may still end what it took before, and would otherwise
   never be ejected while it does.  */
void lim_record_completion (lim_t *lim, double first_token_ms,
                            double token_interval_ms, cfd_time_t started,
                            cfd_time_t now);
/* The endpoint was not reached, broke off or went silent.  */
void lim_record_failure (lim_t *lim, cfd_time_t now);
/* A running request shows a slow endpoint, before it completes.  */
void lim_check_token_interval (lim_t *lim, double token_interval_ms,
                               cfd_time_t now);
/* A running request got its first token after FIRST_TOKEN_MS, or has waited so
   long without one.  */
void lim_check_first_token (lim_t *lim, double first_token_ms, cfd_time_t now);
/* The newest interval between tokens of a request, the last of them SEEN.  The
   mean or median of several would hide a cold end behind a good beginning, and
   with few requests the slow tokens of a cold endpoint would go on proving
   that it is warm.  */
void lim_confirm_warm (lim_t *lim, double token_interval_ms, cfd_time_t seen,
                       cfd_time_t now);
/* An answer of TOKENS in one piece has ended, of which only the mean interval
   is known.  What it took over the usual time may all have been a cold end:
   the proof is as old as that end could be long.  */
void lim_confirm_warm_unstreamed (lim_t *lim, double token_interval_ms,
                                  unsigned tokens, cfd_time_t now);
/* The endpoint has lost its state for certain: it was restarted.  */
void lim_reset_to_cold (lim_t *lim, cfd_time_t now);
const char *lim_state_name (lim_state_t state);

#endif
