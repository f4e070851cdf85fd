/* Measurement: deployments, figures, observation, events and runs.
   docs/MEASURES.md defines each figure.  */

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
  FIGURE_ZONE_OUT_LAST_START,
  FIGURE_ZONE_OUT_RATIO,
  FIGURE_ZONE_BACK_RATIO,
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
  FIGURE_WRONG_ANSWERS,
  FIGURE_DUPLICATE_RUNS,
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
  char *policy;  /* "fleet", "local", or "one": "fleet" with one router */
  char *event;   /* see measure_event_parse */
  char *samples; /* file for the service of each account in a single run */
  char *part;    /* of the data path: "times", "resident" or "slow"; NULL:
                    all */
  gint64 seed;
  int seeds;
  int routers;
  int accounts;
  int idle_accounts; /* accounts without requests */
  int models;
  int measured_s;   /* duration of the measured part */
  int warmup_s;     /* duration of the warm-up before it */
  int held_percent; /* concurrent requests, in percent of the profile's */
  int max_running;
  gboolean exact_hints;
  gboolean cold_again; /* two engines turn cold in the steady part, and one of
                          them reports no load */
  gboolean json;
  gboolean single_run; /* one run, in this process */
  gboolean keep;
  gboolean counters; /* print the growth of the nodes' counters */
} measure_options_t;

/* Event that begins after the steady part of a run and later ends.  */
typedef enum
{
  EVENT_ZONE,      /* an operator takes a zone out and brings it back */
  EVENT_PARTITION, /* a zone is cut off from the other zones and the
                      platform */
  EVENT_REGION,    /* regions are cut off from each other, the second also from
                      the platform */
  EVENT_HOME,      /* the routers that are home to most accounts are killed */
  EVENT_PLATFORM,  /* the platform is unavailable to all */
  EVENT_SLOW       /* the steps of one model engine take four times as long */
} event_kind_t;

typedef struct
{
  measure_options_t options;
  double figures[FIGURE_COUNT];
} measure_run_t;

/* ---- the deployments ---- */

/* The deployment for a profile and a seed; owns everything that the plans
   point to.  */
typedef struct
{
  fleet_plan_t fleet;
  load_plan_t load;
  GPtrArray *names;
  unsigned model_accounts; /* the first accounts of the load; the others call
                              the plain service */
  unsigned single_first;   /* accounts with one concurrent request */
  unsigned single_count;
} deployment_t;

/* Returns the default number of routers of a profile.  */
int measure_default_routers (const char *profile);

deployment_t *deployment_new (const measure_options_t *options);
void deployment_free (deployment_t *deployment);
/* Sets the URLs of the routers, once the fleet is running.  */
void deployment_connect (deployment_t *deployment, const fleet_t *fleet);

/* ---- the figures ---- */

/* Greatest difference of weighted service between accounts A and B over a part
   of a span in which both were backlogged; it was reached at AT_US.  */
typedef struct
{
  double tokens;
  unsigned a;
  unsigned b;
  int64_t at_us;
} fair_gap_t;

/* FAIR_STARTED counts each request in full at its first byte.  */
typedef enum
{
  FAIR_RECEIVED,
  FAIR_STARTED
} fair_metric_t;

fair_gap_t fair_gap (const GPtrArray *samples, fair_metric_t metric,
                     unsigned accounts, int64_t from_us, int64_t to_us);
/* Returns SAMPLES, which have parts by router, reduced to the routers with
   SIDE in SIDES.  */
GPtrArray *fair_filter_side (const GPtrArray *samples, const unsigned *sides,
                             unsigned side, unsigned accounts);
/* Returns the minimum number of requests that waited at the routers with SIDE
   in SIDES, over the last COUNT samples; 0 with fewer samples.  SIDES NULL:
   all routers.  */
unsigned fair_min_waiting (const GPtrArray *samples, const unsigned *sides,
                           unsigned side, unsigned accounts, guint count);
/* Returns the seconds from FROM_US after which the gap stays within LIMIT.  */
double fair_recovery_time_s (const GPtrArray *samples, unsigned accounts,
                             int64_t from_us, int64_t to_us, double limit);
/* Writes a table: seconds, then the received service, the started service and
   the waiting requests of each account.  */
bool fair_write_samples (const GPtrArray *samples, unsigned accounts,
                         int64_t from_us, const char *path);
/* Returns the tokens per second that callers received in a span.  */
double fair_token_rate (const GPtrArray *samples, int64_t from_us,
                        int64_t to_us);
/* Returns the quantile SHARE of VALUES, which are float; sorts them.  */
double fair_quantile (GArray *values, double share);

/* ---- observation of a running fleet ---- */
typedef struct watch watch_t;

watch_t *watch_new (struct ev_loop *loop, const fleet_t *fleet,
                    const load_t *load);
void watch_free (watch_t *watch);
/* Spans of the utilisation: before, during and after the event.  */
#define WATCH_SPANS 3
/* Ends the current span and begins SPAN; WATCH_SPANS is none.  */
void watch_begin_span (watch_t *watch, unsigned span);
/* From now on only work on the same side can use an endpoint's slots; ROUTERS
   and ZONES have the side of each.  NULL: no partition.  */
void watch_set_partition (watch_t *watch, const unsigned *routers,
                          const unsigned *zones);
/* Returns busy slots over all slots, while enough work waited that could use
   them.  */
double watch_get_utilisation (const watch_t *watch, unsigned span);
/* Returns the share of the slots' time that watch_get_utilisation counts.  */
double watch_get_counted_share (const watch_t *watch, unsigned span);
/* Returns busy slots over all slots, regardless of waiting work.  */
double watch_get_busy_share (const watch_t *watch, unsigned span);
/* Returns the latest start of a request at any endpoint of ZONE, in clock_now
   time.  */
cfd_time_t watch_get_last_start (const watch_t *watch, unsigned zone);

/* Sums of the counters of all nodes at one moment.  */
typedef struct
{
  int64_t at_us;
  double control_bytes;  /* of routers and agents, in and out */
  double completed;      /* requests, as counted by the agents */
  double platform_calls; /* as counted by the platform */
  double config_calls;   /* of these: list, watch and instances calls */
  double router_cpu_s;
  double agent_cpu_s;
  double router_resident; /* maximum over the routers */
  double agent_resident;
  double router_peak; /* maximum since the process start */
  double agent_peak;
} node_sum_t;

/* Queries all nodes and waits for their answers.  */
void watch_query_nodes (const fleet_t *fleet, node_sum_t *sum);

/* Returns the counters of all routers and agents, summed: from names with
   labels to double.  */
GHashTable *watch_sum_counters (const fleet_t *fleet);
/* Prints the growth of each counter per second on standard error.  */
void watch_print_growth (GHashTable *before, GHashTable *after,
                         double seconds);

/* ---- the event ---- */
typedef struct event event_t;

bool measure_event_parse (const char *name, event_kind_t *kind);

event_t *event_new (event_kind_t kind, fleet_t *fleet);
void event_free (event_t *event);
bool event_begin (event_t *event);
bool event_end (event_t *event);
/* Returns the zone that is taken out or cut off.  */
unsigned event_get_zone (const event_t *event);
/* Returns the index of the slow engine's endpoint.  */
unsigned event_get_slow_endpoint (const event_t *event);
/* Returns the side of each router, valid from event_begin on: routers of the
   same side can reach each other during the event.  */
const unsigned *event_get_router_sides (const event_t *event);
/* Returns the side of each zone, for its endpoints.  */
const unsigned *event_get_zone_sides (const event_t *event);
/* Returns the greatest gap within one side.  */
double event_max_gap (const event_t *event, const GPtrArray *samples,
                      unsigned accounts, int64_t from_us, int64_t to_us);

/* ---- runs ---- */
bool measure_run_fleet (measure_run_t *run);
bool measure_run_path (const measure_options_t *options);
bool measure_run_scale (const measure_options_t *options);

#endif
