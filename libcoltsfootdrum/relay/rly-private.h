/* The relay of requests: state and functions shared by its files.  */

#ifndef RELAY_RLY_PRIVATE_H
#define RELAY_RLY_PRIVATE_H

#include "admin/prom.h"
#include "base/list.h"
#include "relay/bud.h"
#include "relay/end.h"
#include "relay/fit.h"
#include "relay/mech.h"
#include "relay/pfx.h"
#include "relay/plc.h"
#include "relay/rly.h"
#include "relay/rol.h"
#include "relay/rth.h"
#include "relay/slw.h"
#include "relay/evs.h"

/* Most exchanges for a request, with those whose connection failed before
   anything was sent.  */
#define RLY_MAX_TRIES 5

typedef struct
{
  list_node_t node;
  char *name;
  bud_t retry_budget;
  fit_t first_token_fit;     /* time to first token by prefill work, in ms */
  fit_t prefill_fit;         /* the same where nothing else is prefilled */
  double event_ms;           /* time of an event while nothing is prefilled */
  prom_hist_t wait_ms;       /* from its receipt until sent */
  prom_hist_t first_byte_ms; /* from there to the first byte; successes */
  prom_hist_t total_ms;      /* from there to the last byte; successes */
  prom_hist_t pause_ms;      /* longest time between events of each exchange */
  prom_hist_t hold_ms;       /* for which first events were held back */
  list_node_t queues;        /* rly_queue_t, none of them empty */
  unsigned waiting;
  bool dispatch_scheduled;   /* at the end of this loop iteration */
  unsigned rounds;           /* placement rounds since the start */
  unsigned quarantine_epoch; /* qua_get_epoch, when it was last applied */
  unsigned part_epoch;       /* prt_get_epoch, likewise */
} rly_service_t;

/* The waiting requests of one client account for one service.  */
typedef struct
{
  list_node_t node;
  rly_service_t *service;
  char *account;
  list_node_t requests;  /* rly_request_t, the most urgent first */
  double usage;          /* of the account, updated each round */
  double allowance;      /* share of the usual capacity it may use */
  double late_allowance; /* the same for its late requests */
  bool is_underserved;   /* the account got far less than its fair share */
  bool is_skipped;       /* nothing more can be placed this round */
} rly_queue_t;

struct rly
{
  struct ev_loop *loop;
  rly_names_t names;
  rly_settings_t settings;
  edp_set_t *endpoints;
  use_t *use;
  pfx_t *pfx;       /* not owned */
  ret_t *ret;       /* not owned */
  lag_t *lag;       /* not owned; may be NULL */
  const shd_t *shd; /* not owned; may be NULL */
  rol_t *rol;       /* not owned; may be NULL */
  org_t *org;       /* not owned; may be NULL */
  qua_t *qua;       /* not owned; may be NULL */
  prt_t *prt;       /* not owned; may be NULL */
  rte_table_t *table;
  rth_t *history;
  bool is_list_old;     /* see rly_set_list_old */
  list_node_t services; /* rly_service_t */
  list_node_t running;  /* rly_request_t */
  list_node_t held;     /* of rly-hold.c; rly_request_t, the earliest first */
  /* Since when no record was stored although some should have been;
     CFD_TIME_NEVER: not so.  */
  cfd_time_t stalled_since;
  cfd_time_t no_hold_until;
  list_node_t breaks; /* of rly-break.c */
  unsigned break_count;
  rly_counts_t counts;
  size_t answer_budget;  /* see rly_set_answer_budget */
  size_t buffered_bytes; /* as of the last tick, and what came since then */
  unsigned routers;
  bool is_draining; /* refuses new requests */
  ev_prepare before_poll;
  cfd_time_t last_sweep;
  cfd_time_t last_level_update;
  cfd_time_t ticked_at; /* CFD_TIME_NEVER until the first tick */
  cfd_time_t late_at;   /* of the last tick that came late */
  int64_t lost_ms;      /* by which ticks were late, since the start */
};

/* The answer to a request.  */
typedef struct
{
  unsigned status;
  GString *fields; /* header lines for the caller */
  GString *body;   /* bytes not forwarded to the caller yet */
  evs_t events;
  bool is_stream;     /* forwarded event by event as it arrives */
  bool not_run;       /* the endpoint rejected the request */
  bool is_valid;      /* may be forwarded to the caller */
  bool is_too_large;  /* exceeded a limit; the rest must not be read */
  bool has_no_memory; /* the same for want of memory here */
  rd_framing_t framing;
  uint64_t received_bytes; /* of the body */
} rly_answer_t;

typedef struct
{
  list_node_t node; /* in a queue, or in rly_t.running */
  rly_t *rly;
  ent_call_t *call;
  rte_table_t *table;
  const rte_route_t *route;
  rly_service_t *service;
  rly_queue_t *queue;           /* NULL unless it waits */
  const rte_account_t *account; /* NULL: anonymous */
  char *id;
  uint64_t retry_key;   /* identifies the caller's retries; 0: none */
  uint64_t content_key; /* the same in all attempts of its caller */
  pfx_prompt_t *prompt; /* NULL: no prompt parts given */
  GArray *parts;        /* of prt_parse; NULL: none are shared */
  double output_tokens; /* expected */
  double cost;          /* in tokens, see use.h */
  bool is_charged;      /* the cost is counted as served */
  uint64_t stream_key;  /* of the stream that it begins or resumes */
  /* Where that began; ORG_ANY: it has no event yet, or may be resumed
   * anywhere.
   */
  org_origin_t origin;
  bool origin_noted;     /* the first event of this answer was received */
  list_node_t held_node; /* in rly_t.held while its events are held back */
  cfd_time_t held_since;
  int64_t held_ms;
  bool is_resumed; /* its caller resumes a stream, at a known origin */
  bool started;    /* an endpoint began a successful answer */
  bool went_on;    /* this exchange's answer cleared the parts */
  bool is_trial;   /* of a quarantined part */

  cfd_time_t arrived_at; /* its first byte */
  /* When it was whole.  The time that its caller takes to send it is not this
     router's: it counts for the caller's deadline alone.  */
  cfd_time_t received_at;
  /* Since when routers let its caller wait: RECEIVED_AT, earlier by the time
     since its first attempt was received if it is a retry.  */
  cfd_time_t waiting_since;
  cfd_time_t deadline;       /* from the caller; counts from the first byte */
  cfd_time_t route_deadline; /* from the route's time-out */
  int64_t target_latency_ms; /* for the first byte */
  cfd_time_t wait_deadline;  /* refused if still waiting then */
  bool is_late;              /* a retry that can't meet the target latency */
  unsigned enqueued_round;   /* value of the service's rounds at that time */
  unsigned tries;            /* exchanges begun, with failed connections */
  unsigned attempts;         /* exchanges that may have reached an endpoint */
  uint64_t failed_at[RLY_MAX_TRIES]; /* edp_t.hash, in the order of failures */
  unsigned failed_count;

  edp_t *edp; /* NULL unless it runs */
  ups_exchange_t *exchange;
  cfd_time_t sent_at;
  unsigned events_before; /* events of the answer, of earlier exchanges */
  double prefill_ahead;   /* prefill work before its first token */
  double pending_prefill; /* its own part of it; 0 after the first byte */
  double context_tokens;  /* KV cache that it uses */
  size_t body_bytes;      /* counted at its endpoint */
  cfd_time_t enqueued_at; /* the last time */
  int64_t lost_ms_before; /* rly_t.lost_ms at that time */
  double fetch_ms;        /* time to copy a cached prefix to the endpoint */
  bool is_canary;         /* the endpoint is of a version on trial */
  bool is_remote;         /* the endpoint is of another cell */
  bool is_warming_up;     /* the endpoint was cold when it was sent */
  double expected_ms;     /* time to the first byte, at the time of sending */
  cfd_time_t first_byte_at; /* of this exchange; 0: none yet */
  cfd_time_t last_event_at; /* of this exchange; 0: none yet */
  bool was_undisturbed;     /* nothing was to be prefilled at that time */
  int64_t longest_pause_ms; /* between events of this exchange; -1: none */
  unsigned late_events;     /* after more than the route's max_pause_ms */
  bool head_sent;           /* the answer's head was sent to the caller */
  bool may_have_run;        /* sent to an endpoint that did not reject it */
  /* When its answer ended with its connection, which may have been the end of
     the endpoint's process; 0: not so.  */
  cfd_time_t closed_at;
  bool closed_is_probed; /* the endpoint is asked whether it goes on */
  bool read_paused;      /* the caller reads too slowly */
  bool is_draining;      /* so its answer is buffered up to a limit */
  cfd_time_t paused_at;  /* when READ_PAUSED changed */
  rly_answer_t answer;
} rly_request_t;

/* rly.c */
rly_service_t *rly_find_or_add_service (rly_t *rly, const char *name);
/* Returns whether the event loop was on time from SINCE to NOW, so that times
   measured from then on show what endpoints do.  */
bool rly_was_on_time (const rly_t *rly, cfd_time_t since, cfd_time_t now);
/* Returns whether MECHANISM is not disabled.  */
bool rly_is_enabled (const rly_t *rly, mech_t mechanism);
const char *rly_get_account_name (const rly_request_t *request);
/* Returns whether the time of REQUEST's caller, or that of its route, is over.
 */
bool rly_is_past_deadline (const rly_request_t *request, cfd_time_t now);
/* Records that an exchange of REQUEST with EDP failed.  */
void rly_add_failure (rly_request_t *request, const edp_t *edp);
/* Returns whether an exchange of REQUEST with EDP has failed.  */
bool rly_has_failed_at (const rly_request_t *request, const edp_t *edp);
/* Detaches REQUEST from its queue or endpoint and frees it.  Its call must
   have been answered, or its caller disconnected.  */
void rly_request_free (rly_request_t *request);

/* rly-origin.c: resumed streams.  */
/* Binds REQUEST to the version at which the stream that it resumes began.
   Chooses its service, where the route has several.  */
rly_resume_t rly_bind_origin (rly_request_t *request, cfd_time_t now);
/* To be called before events of REQUEST's answer are passed on: from now on it
   is bound to the version of its endpoint.  */
void rly_note_origin (rly_request_t *request, cfd_time_t now);
/* Returns whether EDP may continue the stream of REQUEST, or begin one.  */
bool rly_fits_origin (const rly_request_t *request, const edp_t *edp);
/* Returns whether REQUEST may be sent again here.  */
bool rly_can_continue (const rly_request_t *request);

/* rly-hold.c: events that are held back until the record of their stream's
   origin is stored.  */
/* Holds the events of REQUEST back, unless records aren't stored now.  */
void rly_hold_events (rly_request_t *request, cfd_time_t now);
/* Ends that, if it is so.  Forwards nothing.  */
void rly_end_hold (rly_request_t *request, cfd_time_t now);
bool rly_is_held (const rly_request_t *request);
/* For org_set_stored_callback; USER is the relay.  Passes on the events of
   stream KEY.  */
void rly_on_stored (void *user, cfd_time_t now, uint64_t key);
/* Passes on what was held back for too long.  */
void rly_check_held (rly_t *rly, cfd_time_t now);

/* rly-queue.c: waiting requests.  */
/* Refuses REQUEST, which may be sent again after DELAY_MS and a random time
   more, so that refused callers don't return all at once.  */
void rly_refuse_for (rly_request_t *request, cfd_time_t now,
                     const char *reason, int64_t delay_ms);
void rly_enqueue (rly_request_t *request);
/* Refuses REQUEST, which was just enqueued, when the requests of its account
   before it would take too long.  Returns whether it was refused.  */
bool rly_refuse_early (rly_request_t *request, cfd_time_t now);
void rly_dequeue (rly_request_t *request);
/* Runs a placement round: sends the waiting requests for which an endpoint has
   capacity.  */
void rly_dispatch (rly_t *rly, rly_service_t *service, cfd_time_t now);
/* Refuses requests that are past their wait deadline.  */
void rly_refuse_expired (rly_service_t *service, cfd_time_t now);

/* rly-place.c: placement of one request.  */
#define RLY_MAX_ENDPOINTS 512

/* State of a placement round of one service.  */
typedef struct
{
  rly_t *rly;
  rly_service_t *service;
  const rte_service_t *config; /* NULL: not in the configuration */
  cfd_time_t now;
  double base_ms; /* time to first token without prefill */
  double ms_per_token;
  pau_service_t pauses;
  double max_budget;      /* of prefill work in a window, of all endpoints */
  bool has_free_slot;     /* at any endpoint */
  bool has_resting;       /* an endpoint of the cell rests */
  bool has_exclusions;    /* of the last request */
  bool has_registered;    /* an endpoint of the cell that may serve is of a
                             registered version */
  bool has_unregistered;  /* an endpoint is of another version */
  double mean_active;     /* running requests of an endpoint */
  double mean_prefill;    /* pending prefill work of an endpoint */
  rol_rollout_t *rollout; /* in progress; NULL: none */
  guint count;            /* of endpoints without canaries, which come first */
  guint canary_count;
  /* An endpoint of another cell, for the current request, follows the COUNT
     others.  There is none while there are canaries.  */
  bool has_remote;
  edp_t *endpoints[RLY_MAX_ENDPOINTS];
  plc_endpoint_t loads[RLY_MAX_ENDPOINTS];
  double cached_tokens[RLY_MAX_ENDPOINTS]; /* of the current prompt */
  guint source; /* index of the endpoint that caches most */
} rly_round_t;

/* Share of the target latency for which a request without prompt parts may
   wait.  */
#define RLY_PLAIN_MAX_WAIT_SHARE 0.65
/* Smallest such share for a request with a prompt, however long its prefill
   takes.  */
#define RLY_LONG_MAX_WAIT_SHARE 0.25

void rly_begin_round (rly_round_t *round, rly_t *rly, rly_service_t *service,
                      cfd_time_t now);
/* Sends REQUEST to the best endpoint.  Returns false when it has to wait.  */
bool rly_place (rly_round_t *round, rly_request_t *request);
/* Returns what the endpoints lack to take REQUEST, which waits.  */
plc_shortage_t rly_find_shortage (rly_round_t *round,
                                  const rly_request_t *request);
/* Returns for how long REQUEST may wait from its receipt.  After that its
   first token would be late even at an idle endpoint that caches its shared
   prefix.  */
int64_t rly_compute_max_wait_ms (const rly_request_t *request);

/* rly.c: schedules a placement round of SERVICE for the end of this loop
   iteration.  */
void rly_schedule_dispatch (rly_service_t *service);

/* rly-notice.c: what endpoints say of themselves in the heads of answers.  */
/* Applies the head of any answer from the endpoint of REQUEST.  */
void rly_note_head (rly_request_t *request, const rd_head_t *head,
                    cfd_time_t now);
/* Refuses the waiting requests of SERVICE that would have to wait too long,
   as all endpoints rest.  */
void rly_refuse_resting (rly_t *rly, rly_service_t *service, cfd_time_t now);

/* rly-break.c: requests whose exchange broke, until it is known whether their
   endpoint's process ended under them.  */
/* Returns a hash of what is the same in all attempts of REQUEST's caller: its
   account, method, target, prompt field and body.  */
uint64_t rly_compute_content_key (const rly_request_t *request);
/* Records that the exchange of REQUEST ended like KIND.  */
void rly_note_break (rly_request_t *request, end_kind_t kind, cfd_time_t now);
/* For edp_set_set_break_callback; USER is the relay.  */
void rly_settle_breaks (void *user, edp_t *edp, bool has_ended,
                        cfd_time_t first_at);
void rly_clear_breaks (rly_t *rly);
/* Finds out whether the process of REQUEST's endpoint has ended; closed_at is
   set.  */
void rly_check_closed (rly_request_t *request, cfd_time_t now);

/* rly-quarantine.c: requests that are not sent.  */
bool rly_is_quarantined (const rly_request_t *request, cfd_time_t now);
/* Returns whether REQUEST must wait, since it isn't known yet whether its last
   endpoint ended, which would quarantine it.  */
bool rly_awaits_quarantine (const rly_request_t *request, cfd_time_t now);
/* Refuses REQUEST, which waits.  */
void rly_refuse_quarantined (rly_request_t *request, cfd_time_t now);
/* Refuses the waiting requests of SERVICE that were quarantined since the last
   call.  */
void rly_apply_quarantine (rly_service_t *service, rly_t *rly, cfd_time_t now);
/* Records that an endpoint ended while it ran a request.  */
void rly_add_end (rly_t *rly, cfd_time_t now, const qua_event_t *end,
                  edp_t *edp);
/* Records that REQUEST got a whole answer.  */
void rly_add_answer (const rly_request_t *request, cfd_time_t now);

/* rly-part.c: prompts with a part under which endpoints end.  */
/* Returns what holds for the prompt of REQUEST; PART, which may be NULL, gets
   the index of the part that decides.  */
prt_state_t rly_find_part (const rly_request_t *request, cfd_time_t now,
                           guint *part);
/* Returns whether REQUEST must not be sent.  */
bool rly_is_part_quarantined (const rly_request_t *request, cfd_time_t now);
/* Refuses REQUEST, which waits.  */
void rly_refuse_part (rly_request_t *request, cfd_time_t now);
/* Refuses the waiting requests of SERVICE with quarantined parts, and breaks
   off those of which no answer has begun.  */
void rly_apply_parts (rly_service_t *service, rly_t *rly, cfd_time_t now);
/* Records the send of a trial, if REQUEST is one.  */
void rly_note_trial (rly_request_t *request, cfd_time_t now);
/* Records that an endpoint ended before it went on with an answer to a prompt
   with PARTS.  */
void rly_add_part_ends (rly_t *rly, cfd_time_t now, const GArray *parts,
                        const qua_event_t *end);
/* Records that the answer to REQUEST goes on, or is whole.  */
void rly_note_answer_went_on (rly_request_t *request, cfd_time_t now);
/* Decides what follows from the ends that were added.  */
void rly_decide_parts (rly_t *rly, cfd_time_t now);

/* rly-rollout.c: what rollouts need to know of requests.  */
/* Returns the rollout in progress for the service of REQUEST, or NULL.  */
rol_rollout_t *rly_find_rollout (const rly_request_t *request);
/* Returns whether REQUEST may be sent to a canary.  */
bool rly_allows_canary (const rly_round_t *round,
                        const rly_request_t *request);
/* Counts the send of REQUEST to its endpoint.  */
void rly_count_rollout_send (rly_request_t *request, cfd_time_t now);
/* Counts the end of the exchange of REQUEST; FAILED unless its answer is
   sound.  */
void rly_count_rollout_answer (rly_request_t *request, cfd_time_t now,
                               bool failed);

/* rly-send.c: one exchange with an endpoint.  */
/* Sends REQUEST to EDP, which has LOAD and copies a cached prefix from SOURCE
   unless that is NULL.  Returns false when no connection can be opened.  */
bool rly_send (rly_request_t *request, edp_t *edp, const plc_endpoint_t *load,
               const edp_t *source, cfd_time_t now);
/* Ends the exchange of REQUEST; CANCEL closes the connection.  */
void rly_detach (rly_request_t *request, bool cancel);
/* Applies the time-outs of a running REQUEST.  */
void rly_check_timeouts (rly_request_t *request, cfd_time_t now);

/* rly-slow.c: callers that read slowly, and memory for answers.  */
/* Reads on the answer to REQUEST, leaves it unread for now, or disconnects the
   caller.  Returns false in that case; REQUEST is freed.  */
bool rly_pace_reading (rly_request_t *request, cfd_time_t now);
/* Returns whether LENGTH bytes more of the answer to REQUEST may be kept, and
   counts them.  */
bool rly_may_buffer (rly_request_t *request, size_t length);
/* Counts the bytes that are kept anew.  */
void rly_count_buffered (rly_t *rly);

/* rly-answer.c: answers to the caller.  */
void rly_refuse (rly_request_t *request, cfd_time_t now, const char *reason,
                 int64_t retry_ms);
void rly_fail (rly_request_t *request, unsigned status, const char *reason);
void rly_answer_reset (rly_answer_t *answer);
void rly_answer_clear (rly_answer_t *answer);
void rly_handle_head (rly_request_t *request, rd_head_t *head);
void rly_handle_body (rly_request_t *request, const char *bytes,
                      size_t length);
/* Forwards the events that were received since the last call, in one write:
   several arrive in one read when the loop is behind.  */
void rly_forward (rly_request_t *request);
/* Counts and logs the end of an exchange.  */
end_kind_t rly_note_end (rly_request_t *request, ups_end_t end);
void rly_handle_end (rly_request_t *request, ups_end_t end, cfd_time_t now);
/* Ends REQUEST, whose closed_at is set; HAS_ENDED: so has the process of its
   endpoint.  */
void rly_settle_closed (rly_request_t *request, bool has_ended,
                        cfd_time_t now);

#endif
