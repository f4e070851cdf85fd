/* Rollouts.  Moves a service's traffic to a target version as the operator
   orders, and protects callers from a bad one.

   Load pattern: new endpoints of another version are listed beside the old
   ones, and fail or slow down a part of their requests.  Until the verdict
   they are canaries: each router sends them a small share of the requests that
   it sends to the service.  The share is of each router's own requests, so
   that the sum over all routers stays within it whichever of them are cut off,
   paused or restarted.  Routers exchange counts of answers (relay/pal.h); a
   router that finds the target bad, or receives that verdict from another,
   stops sending to it at once.

   Terms: an endpoint's version is that of its software.  The baseline version
   is the one that served before the order.  A version that is listed without
   an order replaces the old one by a release, and gets its traffic at once. */

#ifndef RELAY_ROL_H
#define RELAY_ROL_H

#include "relay/edp.h"
#include "relay/rte.h"

typedef enum
{
  ROL_ORDERED, /* no status was written for the target yet */
  ROL_IN_PROGRESS,
  ROL_COMPLETED,
  ROL_ROLLED_BACK
} rol_state_t;

/* Returns a word for logs.  */
const char *rol_state_name (rol_state_t state);

/* The operator's order for one service, with the status in the store.  */
typedef struct
{
  char *service;
  char *target; /* version */
  int64_t duration_ms;
  int64_t revision; /* of the store, at the order's last change */
  rol_state_t state;
} rol_order_t;

void rol_order_free (rol_order_t *order);

typedef struct
{
  /* Share of a service's requests that a bad version may get; 0: rollouts are
     not followed.  */
  double exposure_share;
  /* Requests that it may get beyond that.  */
  double exposure_slack;
} rol_settings_t;

typedef struct rol rol_t;

/* ENDPOINTS is not owned.  */
rol_t *rol_new (const rol_settings_t *settings, edp_set_t *endpoints);
void rol_free (rol_t *rol);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (rol_t, rol_free)

/* Applies ORDERS, the complete list of rol_order_t as of REVISION of the
   store, and takes ownership of it.  */
void rol_set_orders (rol_t *rol, cfd_time_t now, GPtrArray *orders,
                     int64_t revision);
/* Records that the orders are still as given as of REVISION.  */
void rol_note_revision (rol_t *rol, int64_t revision);
/* Decides which endpoints may be used.  To be called after the list of
   endpoints changed, before the next request is placed.  */
void rol_update_endpoints (rol_t *rol);
/* Returns the lowest revision as of which the list of orders must be known
   before all listed endpoints can be used; 0 when it is known well enough.  */
int64_t rol_get_required_revision (const rol_t *rol);

/* Sets the number of routers that live, this one included.  */
void rol_set_router_count (rol_t *rol, unsigned routers);
/* Weighs the evidence and moves traffic; to be called several times a
   second.  */
void rol_tick (rol_t *rol, cfd_time_t now);

/* The rollout in progress for SERVICE; NULL when there is none.  It is valid
   until the next call of rol_set_orders.  */
typedef struct rol_rollout rol_rollout_t;
rol_rollout_t *rol_find (const rol_t *rol, const char *service);

/* Returns whether a request of ROUTE may be sent to a canary, by the share
   that canaries may get.  One that failed before is a RETRY.  */
bool rol_allows_canary (const rol_t *rol, rol_rollout_t *rollout,
                        const rte_route_t *route, cfd_time_t now,
                        bool is_retry);
/* Counts the first send of a request of ROUTE to the service.  */
void rol_count_send (const rol_t *rol, rol_rollout_t *rollout,
                     const rte_route_t *route, cfd_time_t now, bool is_canary);

/* The outcome of one exchange with an endpoint of the service.  Answers that
   the caller did not wait for are not counted.  */
typedef struct
{
  bool is_canary;
  bool failed;        /* no answer, an error, or an unsound answer */
  bool is_warming_up; /* the endpoint was cold, so times say nothing */
  double first_ratio; /* time to the first byte, divided by the expected
                         time; 0: unknown */
  double event_ms;    /* time of each further event; 0: unknown */
} rol_outcome_t;

void rol_count_answer (rol_rollout_t *rollout, const rte_route_t *route,
                       const rol_outcome_t *outcome);

/* Calls CALLBACK for each order whose status in the store has to be changed to
   WANTED.  */
void rol_foreach_write (const rol_t *rol,
                        void (*callback) (void *user, const rol_order_t *order,
                                          rol_state_t wanted),
                        void *user);

/* ---- evidence of other routers ---- */

typedef enum
{
  ROL_BASELINE,
  ROL_TARGET,
  ROL_VERDICT,  /* a bad answer stands for "the target is bad" */
  ROL_PROGRESS, /* an answer: no request runs at the baseline */
  ROL_AGE       /* answers are milliseconds since the order was seen */
} rol_subject_t;

/* Counts of one router, of one route of a rollout.  */
typedef struct
{
  uint64_t rollout; /* hash of the service and target version */
  uint64_t route;   /* hash of its name; 0 where it is about no route */
  rol_subject_t subject;
  uint64_t answers;
  uint64_t bad;
} rol_evidence_t;

/* Calls CALLBACK with each of this router's counts.  */
void rol_foreach_own (const rol_t *rol, cfd_time_t now,
                      void (*callback) (void *user,
                                        const rol_evidence_t *evidence),
                      void *user);
/* Applies counts of the router process INCARNATION.  They are absolute, and
   stay valid when that router stops.  */
void rol_receive (rol_t *rol, cfd_time_t now, uint64_t incarnation,
                  const rol_evidence_t *evidence);

/* Discards what the router process INCARNATION reported of its progress: it
   has ended, or is silent.  */
void rol_forget_process (rol_t *rol, uint64_t incarnation);

/* Appends the state of rollouts to OUT in Prometheus' text format.  */
void rol_append_metrics (const rol_t *rol, GString *out);

#endif
