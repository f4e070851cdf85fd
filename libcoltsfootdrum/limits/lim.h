/* Concurrency limit.  An agent's limit of concurrent requests at its endpoint.
   Does no I/O; callers pass the current time.

   The limit begins at the load that the endpoint sustains during a cold start
   and grows by one slot for each full round of completed work with good token
   times, up to the maximum in the endpoint's record.  It is cut back when the
   first token or the interval between tokens shows that the endpoint is slow,
   and to the cold start's load when it seems to have become cold again.  The
   engine's own load report lags and never overrides this.

   An endpoint may become cold while nothing runs there, or while what runs
   produces no tokens.  So a model endpoint's limit above the cold start's load
   requires confirmation: good token intervals in the last
   LIM_CONFIRMATION_MS.  Without it only the cold start's load is allowed until
   the next good interval, which restores the limit at once.  Responses that
   are not streamed confirm when they end.  Trusting an endpoint while only
   such responses run does not work: each request added then was one too many
   where the endpoint had become cold.

   An endpoint that fails LIM_EJECTION_FAILURES times in a row is ejected: it
   gets no work for a backoff with jitter, then one request as a probe, and
   starts over as cold when that succeeds.  */

#ifndef LIMITS_LIM_H
#define LIMITS_LIM_H

#include "base/clock.h"
#include <stdbool.h>

/* About ten token intervals.  An endpoint that becomes cold is detected after
   this time plus the machine's delays; its engine's own grace is 500 ms.  */
#define LIM_CONFIRMATION_MS 250

/* Failures in a row after which an endpoint is ejected.  */
#define LIM_EJECTION_FAILURES 3
/* Backoff of the first ejection, doubled with each in a row.  */
#define LIM_BACKOFF_BASE_MS 1500

/* Pause after a failure that does not eject yet, doubled with each in a row.
   An endpoint that fails immediately is the first to have a free slot again:
   without the pause it would take the same requeued request repeatedly.  */
#define LIM_FAILURE_PAUSE_MS 400
#define LIM_BACKOFF_MAX_MS 30000
/* Least interval between two cuts: what ran already when the limit was cut
   stays slow for a while and is no new evidence.  */
#define LIM_CUT_INTERVAL_MS 1000

typedef struct
{
  unsigned max;             /* maximum of the endpoint's record */
  unsigned cold;            /* slots that are allowed during a cold start */
  double first_token_ms;    /* a longer time is slow; 0: no limit */
  double token_interval_ms; /* a longer interval is slow; 0: no limit */
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
  unsigned slots;     /* the limit, before confirmation is considered */
  unsigned completed; /* good completions in this round */
  unsigned peak;      /* most concurrent requests in this round */
  unsigned failures;  /* in a row */
  unsigned ejections; /* in a row, for the backoff */
  cfd_time_t ejected_until;
  cfd_time_t paused_until;
  cfd_time_t last_failure;       /* valid while FAILURES > 0 */
  cfd_time_t last_change;        /* when SLOTS last changed */
  double first_token_average_ms; /* of good requests; 0: none yet */
  double token_interval_average_ms;
  cfd_time_t last_confirmed; /* time of the last good interval */
  bool unconfirmed;          /* until the next good interval */
  uint64_t seed;             /* of the backoff's jitter; set by the owner */
} lim_t;

void lim_init (lim_t *lim, const lim_settings_t *settings, cfd_time_t now);
void lim_apply_settings (lim_t *lim, const lim_settings_t *settings,
                         cfd_time_t now);
/* Returns how many slots may be filled in addition to BUSY ones.  */
unsigned lim_count_free_slots (lim_t *lim, unsigned busy, cfd_time_t now);
/* Records that a request, begun at STARTED, completed.  The times are those of
   this request, 0 when it had none.  If there is a limit for the token
   interval, a request without one changes nothing but the count of failures.
   Only a request begun after the last failure resets that count and ends an
   ejection: an endpoint that rejects all new work may still complete what it
   accepted before, and would otherwise not be ejected while it does.  */
void lim_record_completion (lim_t *lim, double first_token_ms,
                            double token_interval_ms, cfd_time_t started,
                            cfd_time_t now);
/* Records that the endpoint was not reached, closed the connection early or
   stopped responding.  */
void lim_record_failure (lim_t *lim, cfd_time_t now);
/* Checks the token interval of a running request, so that a slow endpoint is
   detected before the request completes.  */
void lim_check_token_interval (lim_t *lim, double token_interval_ms,
                               cfd_time_t now);
/* Checks a running request that got its first token after FIRST_TOKEN_MS, or
   has waited for that long without one.  */
void lim_check_first_token (lim_t *lim, double first_token_ms, cfd_time_t now);
/* Confirms that the endpoint is warm if TOKEN_INTERVAL_MS is good: the newest
   interval between tokens of a request, the last received at SEEN_AT.  The
   mean or median of several intervals would hide a cold end behind a good
   start, and with few requests the slow tokens of a cold endpoint would go
   on confirming that it is warm.  */
void lim_confirm_warm (lim_t *lim, double token_interval_ms,
                       cfd_time_t seen_at, cfd_time_t now);
/* The same for a response of TOKENS that was not streamed and has ended, of
   which only the mean interval is known.  All the time in excess of the
   average may have been spent cold at the end, so the confirmation is dated
   back by the longest time that this cold end can have taken.  */
void lim_confirm_warm_unstreamed (lim_t *lim, double token_interval_ms,
                                  unsigned tokens, cfd_time_t now);
/* Resets the limit because the endpoint was restarted and has lost its state.
 */
void lim_reset_to_cold (lim_t *lim, cfd_time_t now);
const char *lim_state_name (lim_state_t state);

#endif
