/* The parts of the measurement.  docs/MEASURES.md defines each figure.  */

#ifndef TESTS_MEASURE_H
#define TESTS_MEASURE_H

#include "fleet.h"
#include "load.h"

/* Figures of a run, in the order of the JSON members.  */
typedef enum
{
  FIGURE_FAIRNESS_GAP,
  FIGURE_STEADY_GAP,
  FIGURE_STARTED_GAP,
  FIGURE_MAX_REQUEST,
  FIGURE_UTILISATION,
  FIGURE_CONTROL_BYTES,
  FIGURE_CONTROL_REQUEST,
  FIGURE_CONTROL_CPU,
  FIGURE_PLATFORM_CALLS,
  FIGURE_CONFIG_CALLS,
  FIGURE_TTFT,
  FIGURE_TTFT_ALL,
  FIGURE_ITL,
  FIGURE_TOKENS,
  FIGURE_OUT_LAST_NEW,
  FIGURE_OUT_RATIO,
  FIGURE_BACK_RATIO,
  FIGURE_DURING_GAP,
  FIGURE_AFTER_GAP,
  FIGURE_RECOVERY,
  FIGURE_DURING_UTILISATION,
  FIGURE_DURING_COUNTED,
  FIGURE_DURING_BUSY,
  FIGURE_AFTER_UTILISATION,
  FIGURE_DURING_TOKENS,
  FIGURE_AFTER_TOKENS,
  FIGURE_OVERLOADS,
  FIGURE_OVERLOADS_GRACE,
  FIGURE_WRONG,
  FIGURE_DOUBLE,
  FIGURE_FALSE_NOT_RUN,
  FIGURE_REQUESTS,
  FIGURE_REFUSED,
  FIGURE_BROKEN,
  FIGURE_ROUTER_RESIDENT,
  FIGURE_AGENT_CPU,
  FIGURE_AGENT_RESIDENT,
  FIGURE_COUNT
} figure_t;

const char *figure_name (figure_t figure);

typedef struct
{
  char *profile;
  char *policy;  /* "fleet", "local", or "one": fleet with one router */
  char *event;   /* by measure_event_parse */
  char *samples; /* of one run: file for the service of each account */
  char *part;    /* of the data path: times, resident or slow; NULL: all */
  gint64 seed;
  int seeds;
  int routers;
  int accounts;
  int idle; /* accounts without requests */
  int models;
  int seconds; /* of the measured part */
  int warm;    /* seconds before it */
  int held;    /* requests held at once, in percent of the profile's */
  int jobs;    /* runs side by side */
  gboolean exact_hints;
  gboolean cold_again; /* an engine turns cold in the steady part, and one
                          reports no load at all */
  gboolean json;
  gboolean one; /* a single run in this process */
  gboolean keep;
  gboolean counters; /* print the growth of the nodes' counters */
} measure_options_t;

/* What happens in a run after its steady part, and then ends.  */
typedef enum
{
  EVENT_ZONE,      /* an operator takes a zone out and brings it back */
  EVENT_PARTITION, /* a zone loses the others and the platform */
  EVENT_REGION,    /* regions lose each other, the second the platform too */
  EVENT_HOME,      /* the homes of most accounts are killed */
  EVENT_PLATFORM,  /* the platform is down for all */
  EVENT_SLOW       /* one model engine's steps take four times as long */
} event_kind_t;

typedef struct
{
  measure_options_t options;
  double figures[FIGURE_COUNT];
} measure_run_t;

/* ---- the deployments ---- */

/* What a profile and a seed lead to; owns all that the plans point to.  */
typedef struct
{
  fleet_plan_t fleet;
  load_plan_t load;
  GPtrArray *names;
  unsigned model_accounts; /* the first of the load's; the rest call the plain
                              service */
  unsigned single_first;   /* accounts with one request at a time */
  unsigned single_count;
} deployment_t;

/* Routers of a profile, where no number is asked for.  */
int measure_default_routers (const char *profile);

deployment_t *deployment_new (const measure_options_t *options);
void deployment_free (deployment_t *deployment);
/* Sets the callers' addresses when the fleet is up.  */
void deployment_connect (deployment_t *deployment, const fleet_t *fleet);

/* ---- the figures ---- */

/* The greatest difference of weighted service between two accounts, which it
   got at AT_US over a part of a span in which both were backlogged.  */
typedef struct
{
  double tokens;
  unsigned a;
  unsigned b;
  int64_t at_us;
} fair_gap_t;

/* WHAT FAIR_STARTED counts each request whole at its first byte.  */
typedef enum
{
  FAIR_RECEIVED,
  FAIR_STARTED
} fair_metric_t;

fair_gap_t fair_gap (const GPtrArray *samples, fair_metric_t what,
                     unsigned accounts, int64_t from_us, int64_t to_us);
/* SAMPLES, taken by router, of the routers with SIDE in SIDES alone.  */
GPtrArray *fair_filter_side (const GPtrArray *samples, const unsigned *sides,
                             unsigned side, unsigned accounts);
/* Least number of requests that waited at the routers with SIDE in SIDES, over
   the last COUNT samples; 0 when there are fewer.  SIDES may be NULL: all
   routers.  */
unsigned fair_min_waiting (const GPtrArray *samples, const unsigned *sides,
                           unsigned side, unsigned accounts, guint count);
/* Seconds from FROM_US after which the gap never again exceeds LIMIT.  */
double fair_recovery_time_s (const GPtrArray *samples, unsigned accounts,
                             int64_t from_us, int64_t to_us, double limit);
/* Writes a table: seconds, then for each account the received and the started
   service and the number of waiting requests.  */
bool fair_write_samples (const GPtrArray *samples, unsigned accounts,
                         int64_t from_us, const char *path);
/* Tokens a second that callers received in a span.  */
double fair_token_rate (const GPtrArray *samples, int64_t from_us,
                        int64_t to_us);
/* Value below which SHARE of VALUES (of float) lie; sorts them.  */
double fair_quantile (GArray *values, double share);

/* ---- watching a fleet while it runs ---- */
typedef struct watch watch_t;

watch_t *watch_new (struct ev_loop *loop, const fleet_t *fleet,
                    const load_t *load);
void watch_free (watch_t *watch);
/* Spans of the utilisation: before, during and after the event.  */
#define WATCH_SPANS 3
/* Ends the present span and begins SPAN; WATCH_SPANS is none.  */
void watch_begin_span (watch_t *watch, unsigned span);
/* From now on an endpoint's slots can be used by work on its own side alone;
   ROUTERS and ZONES have the side of each.  NULL: there are no sides.  */
void watch_set_partition (watch_t *watch, const unsigned *routers,
                          const unsigned *zones);
/* Busy slots over slots while enough work waited that could use them.  */
double watch_get_utilisation (const watch_t *watch, unsigned span);
/* Part of the slots' time that this is made from.  */
double watch_get_counted_share (const watch_t *watch, unsigned span);
/* Busy slots over slots, whatever waited.  */
double watch_get_busy_share (const watch_t *watch, unsigned span);
/* Latest start of a request at any endpoint of ZONE, in clock_now time.  */
cfd_time_t watch_get_last_start (const watch_t *watch, unsigned zone);

/* Counters of all nodes at one moment.  */
typedef struct
{
  int64_t at_us;
  double control_bytes;  /* of routers and agents, in and out */
  double completed;      /* requests, as the agents count */
  double platform_calls; /* as the platform counts them */
  double config_calls;   /* of these: lists, watches and instances */
  double router_cpu_s;
  double agent_cpu_s;
  double router_resident; /* greatest of all */
  double agent_resident;
  double router_peak; /* the same, greatest since the start */
  double agent_peak;
} node_sum_t;

/* Asks all nodes and waits for them.  */
void watch_query_nodes (const fleet_t *fleet, node_sum_t *sum);

/* All counters of routers and agents, summed: names with labels to doubles. */
GHashTable *watch_sum_counters (const fleet_t *fleet);
/* Prints, on standard error, what grew, by second.  */
void watch_print_growth (GHashTable *before, GHashTable *after,
                         double seconds);

/* ---- the event ---- */
typedef struct event event_t;

bool measure_event_parse (const char *name, event_kind_t *kind);

event_t *event_new (event_kind_t kind, fleet_t *fleet);
void event_free (event_t *event);
bool event_begin (event_t *event);
bool event_end (event_t *event);
/* The zone that an operator takes out, or loses the others.  */
unsigned event_get_zone (const event_t *event);
/* The engine that is slow.  */
unsigned event_get_slow_endpoint (const event_t *event);
/* Of each router, valid from event_begin on: those of one number can reach
   each other during the event.  */
const unsigned *event_get_router_sides (const event_t *event);
/* The same of each zone, for its endpoints.  */
const unsigned *event_get_zone_sides (const event_t *event);
/* The greatest gap within one side.  */
double event_max_gap (const event_t *event, const GPtrArray *samples,
                      unsigned accounts, int64_t from_us, int64_t to_us);

/* ---- runs ---- */
bool measure_run_fleet (measure_run_t *run);
bool measure_run_path (const measure_options_t *options);
bool measure_run_scale (const measure_options_t *options);

#endif
