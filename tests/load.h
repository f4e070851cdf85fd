/* Load from the callers' side: seeded, closed loops of requests for each
   client account, each answer checked to be whole and its own.  */

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
  LOAD_NON_STREAM,   /* chat completion in one piece */
  LOAD_COMPLETION,   /* plain completion as server-sent events */
  LOAD_LOOKUP,       /* GET at the plain service */
  LOAD_POST,         /* POST with an Idempotency-Key */
  LOAD_POST_UNKEYED, /* POST without one */
  LOAD_KIND_COUNT
} load_kind_t;

typedef enum
{
  LOAD_RUNNING,
  LOAD_CORRECT,   /* whole and its own */
  LOAD_INCORRECT, /* said to be whole, and was not, or not its own */
  LOAD_REFUSED,   /* an answer with an error status */
  LOAD_INCOMPLETE /* broken off, or no answer at all */
} load_outcome_t;

/* One client account's part.  */
typedef struct
{
  char *name;
  char *key;
  double weight;
  unsigned outstanding;            /* requests held at once */
  unsigned kinds[LOAD_KIND_COUNT]; /* relative frequency of each */
  double think_ms;                 /* pause before each request */
  double on_ms; /* works and pauses in turn when both are set */
  double off_ms;
  double *router_shares;      /* share of each router */
  unsigned min_answer_tokens; /* length of the answers */
  unsigned max_answer_tokens;
} load_account_t;

typedef struct
{
  uint64_t seed;        /* of the load */
  uint64_t answer_seed; /* of the engines */
  unsigned routers;
  char **urls;    /* of the routers */
  bool by_router; /* samples also tell the routers apart */
  const char *model;
  const char *plain;
  unsigned request_limit;   /* stops by itself after so many; 0: none */
  unsigned idle_timeout_ms; /* a caller gives up after such a silence */
  bool exact_hints;         /* max_tokens is the answer's length */
  unsigned pad;             /* bytes that engines add to each event */
  unsigned pause_ms;   /* a caller reads nothing for so long after the first
                          bytes; 0: reads at once */
  GPtrArray *accounts; /* of load_account_t */
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
  bool not_run; /* the refusal says so */
  unsigned prompt_tokens;
  unsigned length; /* expected tokens */
  unsigned tokens;
  int64_t started_us;
  int64_t engine_start_us; /* when the engine got it; 0: not known */
  int64_t first_byte_us;   /* 0 while nothing came */
  int64_t last_us;
  char *detail;
} load_request_t;

/* Service of each account at one moment, with the same by router
   where the plan asks for it.  */
typedef struct load_sample load_sample_t;

struct load_sample
{
  int64_t at_us;
  double *service;   /* weighted tokens received from the model service */
  double *started;   /* the same, each request whole at its first byte */
  unsigned *waiting; /* model requests without a first byte */
  unsigned total_waiting;
  double tokens; /* received, all accounts, not weighted */
  unsigned routers;
  load_sample_t *by_router;
};

typedef struct load load_t;

load_t *load_new (struct ev_loop *loop, const load_plan_t *plan);
void load_free (load_t *load);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (load_t, load_free)
void load_start (load_t *load);
/* No new requests; those that run go on.  */
void load_stop (load_t *load);
unsigned load_count_active (const load_t *load);
/* Number of accounts of the plan.  */
unsigned load_count_accounts (const load_t *load);
/* All requests so far, of load_request_t.  */
const GPtrArray *load_get_requests (const load_t *load);
/* Taken each LOAD_SAMPLE_INTERVAL_MS, of load_sample_t.  */
const GPtrArray *load_get_samples (const load_t *load);
/* Milliseconds between tokens, of float.  */
const GArray *load_get_intervals (const load_t *load);
/* Milliseconds of each token from the engine to here, of float.  */
const GArray *load_get_delays (const load_t *load);

#define LOAD_SAMPLE_INTERVAL_MS 50

const char *load_kind_name (load_kind_t kind);
bool load_kind_is_model (load_kind_t kind);

#endif
