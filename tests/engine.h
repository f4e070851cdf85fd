/* Model engine behind the engine stand-in: continuous batching, without
   sockets.  Each step produces one token for every request past its prefill; a
   step takes longer the more requests run, and much longer in cold start.
   docs/ENGINE.md describes the protocol.  */

#ifndef TESTS_ENGINE_H
#define TESTS_ENGINE_H

#include "base/clock.h"
#include "base/list.h"
#include <glib.h>
#include <stdbool.h>

typedef struct
{
  uint64_t seed;
  unsigned slots;      /* capacity when warm */
  unsigned slots_cold; /* capacity in cold start */
  unsigned cold_ms;    /* duration of a cold start */
  double step_ms;      /* duration of a step with one request */
} engine_settings_t;

/* Starts above capacity are counted apart for this long after the engine
   turned cold by itself, since routers and agents cannot know yet.  */
#define ENGINE_OVERLOAD_GRACE_MS 500
/* A finished stream can be resumed for this long.  */
#define ENGINE_RESUME_WINDOW_MS 30000

typedef struct engine engine_t;

/* One request; SINK receives its output.  */
typedef struct
{
  list_node_t node;
  char *id;
  char *nonce;
  bool stream;
  bool chat;
  bool usage_sent;
  unsigned prompt_tokens;
  unsigned length;         /* tokens of the answer */
  unsigned emitted_tokens; /* tokens produced so far */
  unsigned padding;        /* extra bytes in each event */
  cfd_time_t started;
  cfd_time_t prefilled;
  cfd_time_t ended; /* CFD_TIME_NEVER while it runs */
  bool stalled;     /* its connection passes no more bytes */
  GString *body;    /* output so far, kept for resuming */
  void *sink;
} engine_run_t;

typedef struct
{
  uint64_t requests;
  uint64_t overload_count;    /* starts above capacity */
  uint64_t overload_in_grace; /* the same, within the grace time */
  double overload_ms;         /* time above capacity */
  unsigned overload_running;  /* running requests at the last counted
                                 overload */
  unsigned overload_bearable; /* capacity at that time */
  cfd_time_t overload_cold;   /* time since the engine turned cold by itself;
                                 0: never did */
  double busy_ms;             /* integral of the running requests over time */
  unsigned peak;
  uint64_t prompt_tokens;
  uint64_t output_tokens;
  cfd_time_t last_start;
} engine_counters_t;

engine_t *engine_new (const engine_settings_t *settings, cfd_time_t now);
void engine_free (engine_t *engine);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (engine_t, engine_free)

/* Starts a request.  The run is kept until ENGINE_RESUME_WINDOW_MS after its
   end.  */
engine_run_t *engine_start (engine_t *engine, const char *id,
                            const char *prompt, bool stream, bool chat,
                            cfd_time_t now);
void engine_cancel (engine_t *engine, engine_run_t *run, cfd_time_t now);
engine_run_t *engine_find_run (engine_t *engine, const char *id);

/* Runs one step.  Calls ON_OUTPUT for each run that produced output; a run
   that finished has its ENDED time set.  Returns the milliseconds until the
   next step.  */
double engine_step (engine_t *engine, cfd_time_t now,
                    void (*on_output) (void *user, engine_run_t *run,
                                       const char *bytes, size_t length),
                    void *user);

/* Multiplies the duration of each step by FACTOR from now on; 1 is normal.  */
void engine_set_step_factor (engine_t *engine, double factor);
void engine_set_cold (engine_t *engine, cfd_time_t now);
bool engine_is_cold (const engine_t *engine, cfd_time_t now);
unsigned engine_get_capacity (const engine_t *engine, cfd_time_t now);
unsigned engine_count_running (const engine_t *engine);
const engine_counters_t *engine_get_counters (engine_t *engine,
                                              cfd_time_t now);
/* Returns the number of starts for each nonce: a table from string to
   count.  */
GHashTable *engine_get_nonces (engine_t *engine);
list_node_t *engine_get_runs (engine_t *engine);

#endif
