/* The model engine behind the stand-in's HTTP: continuous batching without
   sockets.  Each step gives one token to every request past its prefill; a
   step takes longer the more requests run, and much longer in cold start.
   docs/ENGINE.md has the protocol.  */

#ifndef TESTS_ENGINE_H
#define TESTS_ENGINE_H

#include "base/clock.h"
#include "base/list.h"
#include <glib.h>
#include <stdbool.h>

typedef struct
{
  uint64_t seed;
  unsigned slots;      /* bearable when warm */
  unsigned slots_cold; /* and in cold start */
  unsigned cold_ms;    /* length of a cold start */
  double step_ms;      /* step with one request */
} engine_settings_t;

/* Starts above what is bearable don't count for so long after the engine
   turned cold by itself: nobody can know yet.  */
#define ENGINE_OVERLOAD_GRACE_MS 500
/* A finished stream can be resumed for so long.  */
#define ENGINE_RESUME_WINDOW_MS 30000

typedef struct engine engine_t;

/* One request; SINK hears of each piece of the answer.  */
typedef struct
{
  list_node_t node;
  char *id;
  char *nonce;
  bool stream;
  bool chat;
  bool usage_sent;
  unsigned prompt_tokens;
  unsigned length; /* tokens of the answer */
  unsigned given;  /* tokens given */
  unsigned pad;    /* more bytes in each event */
  cfd_time_t started;
  cfd_time_t prefilled;
  cfd_time_t ended; /* CFD_TIME_NEVER while it runs */
  bool silent;      /* its connection went silent */
  GString *body;    /* what was given, for resuming */
  void *sink;
} engine_run_t;

typedef struct
{
  uint64_t requests;
  uint64_t overload_count;    /* starts above what was bearable */
  uint64_t overload_in_grace; /* the same, soon after turning cold */
  double overload_ms;         /* time above what was bearable */
  unsigned overload_running;  /* at the last start that was counted ... */
  unsigned overload_bearable; /* ... what was bearable ... */
  cfd_time_t overload_cold;   /* ... and how long ago it turned cold; 0: never
                               */
  double busy_ms;             /* sum over time of the running requests */
  unsigned peak;
  uint64_t prompt_tokens;
  uint64_t output_tokens;
  cfd_time_t last_start;
} engine_counters_t;

engine_t *engine_new (const engine_settings_t *settings, cfd_time_t now);
void engine_free (engine_t *engine);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (engine_t, engine_free)

/* Starts a request; the run stays until engine_forget or
   ENGINE_RESUME_WINDOW_MS after its end.  */
engine_run_t *engine_start (engine_t *engine, const char *id,
                            const char *prompt, bool stream, bool chat,
                            cfd_time_t now);
void engine_cancel (engine_t *engine, engine_run_t *run, cfd_time_t now);
engine_run_t *engine_find_run (engine_t *engine, const char *id);

/* One step; GIVEN is called for each run that got a piece of its answer, and
   with ENDED set for the last.  Returns the milliseconds until the next.  */
double engine_step (engine_t *engine, cfd_time_t now,
                    void (*given) (void *user, engine_run_t *run,
                                   const char *bytes, size_t length),
                    void *user);

/* Each step takes FACTOR times as long from now on; 1: as usual.  */
void engine_set_step_factor (engine_t *engine, double factor);
void engine_set_cold (engine_t *engine, cfd_time_t now);
bool engine_is_cold (const engine_t *engine, cfd_time_t now);
unsigned engine_get_capacity (const engine_t *engine, cfd_time_t now);
unsigned engine_count_running (const engine_t *engine);
const engine_counters_t *engine_get_counters (engine_t *engine,
                                              cfd_time_t now);
/* Starts by nonce: a table of strings to counts.  */
GHashTable *engine_get_nonces (engine_t *engine);
list_node_t *engine_get_runs (engine_t *engine);

#endif
