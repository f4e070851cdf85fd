/* Definitions shared by the files of this module: rol.c (orders, exposure),
   rol-standing.c (which endpoints may be used), rol-evidence.c (counts of
   answers, verdict, metrics), rol-shift.c (moving the traffic of a good
   target).  Read rol.c first.  */

#ifndef RELAY_ROL_PRIVATE_H
#define RELAY_ROL_PRIVATE_H

#include "relay/rol.h"
#include "relay/vdt.h"

#define ROL_VERSIONS 2 /* ROL_BASELINE, ROL_TARGET */

/* Mean of a duration at the baseline, over its last answers.  */
typedef struct
{
  double mean;
  unsigned samples;
} rol_mean_t;

typedef struct
{
  uint64_t id; /* hash of the route's name */
  char *name;  /* NULL while only other routers had requests of it */
  uint64_t sent;
  uint64_t canary_sent;
  vdt_counts_t own[ROL_VERSIONS];
  vdt_counts_t total[ROL_VERSIONS]; /* of all routers */
  rol_mean_t first_ratio;
  rol_mean_t event_ms;
  vdt_t verdict;
} rol_route_t;

/* What keeps a rollout from its end.  */
typedef enum
{
  ROL_WAIT_NONE,
  ROL_WAIT_TRIAL,    /* it is too young */
  ROL_WAIT_EVIDENCE, /* too few answers, or a suspicion */
  ROL_WAIT_CAPACITY, /* the target has too few free slots */
  ROL_WAIT_BUDGET,   /* the target may not get that much before the deadline */
  ROL_WAIT_DRAIN,    /* requests run at the baseline */
  ROL_WAIT_ROUTERS   /* other routers have not moved their requests */
} rol_wait_t;

/* Progress of another router process.  */
typedef struct
{
  uint64_t incarnation;
  bool is_drained;
  cfd_time_t received_at;
} rol_progress_t;

struct rol_rollout
{
  rol_order_t *order;
  uint64_t key;          /* hash of the service and target version */
  cfd_time_t seen_at;    /* by this router */
  cfd_time_t ordered_at; /* seen by the first router, as far as is known */
  bool is_bad;           /* verdict of this router, or received from another */
  bool is_withdrawn;     /* the order was removed, and its target isn't good */
  /* Versions of earlier targets that were not completed, while their endpoints
     are listed.  */
  GHashTable *rejected;
  bool has_endpoints; /* the service has any */
  bool had_baseline;  /* endpoints of another version were listed */
  double credit;      /* requests that may be sent to canaries now */
  uint64_t sent;      /* first sends of this router since the order */
  uint64_t canary_sent;
  GHashTable *routes;  /* id to rol_route_t */
  GHashTable *peers;   /* rol_peer_counts_t, a set */
  vdt_t verdict;       /* over all routes */
  double target_share; /* of the requests, beyond the trial; 0: none */
  unsigned step;       /* steps taken after the deadline */
  cfd_time_t step_at;
  bool is_drained;  /* this router has no request at the baseline */
  bool is_complete; /* no router has */
  rol_wait_t wait;
  GHashTable *progress; /* incarnation to rol_progress_t */
};

struct rol
{
  rol_settings_t settings;
  edp_set_t *endpoints;
  GHashTable *rollouts;      /* service to rol_rollout_t */
  unsigned endpoints_epoch;  /* of the endpoints, as they were weighed last */
  bool must_update;          /* orders or a verdict changed since then */
  unsigned routers;          /* that live, this one included */
  int64_t revision;          /* as of which the orders are known; 0: not yet */
  int64_t required_revision; /* see rol_get_required_revision */
};

/* rol-evidence.c */
rol_rollout_t *rol_rollout_new (cfd_time_t now, rol_order_t *order);
void rol_rollout_free (void *data);
/* Returns NULL when there are too many routes.  */
rol_route_t *rol_get_route (rol_rollout_t *rollout, const rte_route_t *route);
/* Returns whether the evidence shows that the target is bad.  */
bool rol_weigh_evidence (rol_rollout_t *rollout, cfd_time_t now);

/* rol-shift.c: takes the next step of a rollout in progress.  */
void rol_move (const rol_t *rol, rol_rollout_t *rollout, cfd_time_t now);
/* rol-shift.c: returns whether MORE requests may be sent to the target, when
   it may get SHARE of the allowed exposure.  */
bool rol_is_within_budget (const rol_t *rol, const rol_rollout_t *rollout,
                           cfd_time_t now, double share, double more);
/* rol-shift.c: returns a word for logs.  */
const char *rol_wait_name (rol_wait_t wait);

/* rol.c: returns whether canaries may be used, apart from their share.  */
bool rol_is_open (const rol_rollout_t *rollout);
/* rol.c: stops the use of the target version; SOURCE is for the log.  */
void rol_condemn (rol_t *rol, rol_rollout_t *rollout, const char *source);

#endif
