/* Load from the callers' side: seeded, closed loops of requests for each
   client account.  Each answer is checked for completeness and for its
   request's nonce.  */

#ifndef TESTS_LOAD_H
#define TESTS_LOAD_H

#include "base/clock.h"
#include "base/list.h"
#include <ev.h>
#include <glib.h>
#include <stdbool.h>

typedef enum
{
  LOAD_STREAM,       /* chat completion as server-sent events */
  LOAD_NON_STREAM,   /* chat completion without streaming */
  LOAD_COMPLETION,   /* plain completion as server-sent events */
  LOAD_LOOKUP,       /* GET at the plain service */
  LOAD_POST,         /* POST with an Idempotency-Key */
  LOAD_POST_UNKEYED, /* POST without an Idempotency-Key */
  LOAD_KIND_COUNT
} load_kind_t;

typedef enum
{
  LOAD_RUNNING,
  LOAD_CORRECT,   /* complete and matching its request */
  LOAD_INCORRECT, /* complete by its framing, but truncated or not matching its
                     request */
  LOAD_REFUSED,   /* an error status */
  LOAD_INCOMPLETE /* the connection ended early, or no response came */
} load_outcome_t;

/* The load of one client account.  */
typedef struct
{
  char *name;
  char *key;
  double weight;
  unsigned outstanding;            /* concurrent requests */
  unsigned kinds[LOAD_KIND_COUNT]; /* relative frequency of each kind */
  double think_ms;                 /* pause before each request */
  double on_ms; /* alternates on and off when off_ms is set */
  double off_ms;
  double *router_shares;      /* share of the requests for each router */
  unsigned min_answer_tokens; /* range of the answers' lengths */
  unsigned max_answer_tokens;
} load_account_t;

typedef struct
{
  uint64_t seed;        /* of the load's random choices */
  uint64_t answer_seed; /* of the engines' answers */
  unsigned routers;
  char **urls;    /* base URLs of the routers */
  bool by_router; /* samples also have parts by router */
  const char *model;
  const char *plain;
  unsigned request_limit;   /* stops after this many requests; 0: no limit */
  unsigned idle_timeout_ms; /* a caller gives up after this long without a
                               byte */
  bool exact_hints;         /* max_tokens is the exact length of the answer */
  unsigned event_padding;   /* bytes that engines add to each event */
  unsigned read_pause_ms;   /* a caller stops reading for this long after the
                               first bytes; 0: never stops */
  GPtrArray *accounts;      /* of load_account_t */
} load_plan_t;

/* One request as its caller saw it.  */
typedef struct
{
  unsigned account;
  unsigned router;
  load_kind_t kind;
  load_outcome_t end;
  char *nonce;
  unsigned status;
  bool not_run; /* the refusal says that the request was not run */
  unsigned prompt_tokens;
  unsigned length; /* expected length of the answer */
  unsigned tokens;
  int64_t started_us;
  int64_t engine_start_us; /* when the engine received it; 0: unknown */
  int64_t first_byte_us;   /* 0 before the first byte */
  int64_t last_us;
  char *detail;
} load_request_t;

/* Service of each account at one moment, and by router if the plan asks for
   it.  */
typedef struct load_sample load_sample_t;

struct load_sample
{
  int64_t at_us;
  double *service;   /* weighted tokens received from the model service */
  double *started;   /* the same, with each request counted in full at its
                        first byte */
  unsigned *waiting; /* model requests without a first byte */
  unsigned total_waiting;
  double tokens; /* received by all accounts, unweighted */
  unsigned routers;
  load_sample_t *by_router;
};

typedef struct load load_t;

load_t *load_new (struct ev_loop *loop, const load_plan_t *plan);
void load_free (load_t *load);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (load_t, load_free)
void load_start (load_t *load);
/* Starts no more requests; running ones go on.  */
void load_stop (load_t *load);
unsigned load_count_active (const load_t *load);
/* Returns the number of accounts in the plan.  */
unsigned load_count_accounts (const load_t *load);
/* Returns all requests so far, as load_request_t.  */
const GPtrArray *load_get_requests (const load_t *load);
/* Returns load_sample_t taken every LOAD_SAMPLE_INTERVAL_MS.  */
const GPtrArray *load_get_samples (const load_t *load);
/* Returns the milliseconds between tokens, as float.  */
const GArray *load_get_intervals (const load_t *load);
/* Returns the delay in milliseconds of each token from the engine to the
   caller, as float.  */
const GArray *load_get_delays (const load_t *load);

#define LOAD_SAMPLE_INTERVAL_MS 50

const char *load_kind_name (load_kind_t kind);
bool load_kind_is_model (load_kind_t kind);

#endif
