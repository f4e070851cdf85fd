/* Runs one case of a failure in a whole fleet: a seeded load, faults at given
   moments, and a judgement of what the callers saw against what the endpoints
   did.  */

#ifndef TESTS_FAULT_RUN_H
#define TESTS_FAULT_RUN_H

#include "collect.h"

typedef struct fault_case fault_case_t;

/* One run of a case.  */
typedef struct
{
  const fault_case_t *fault_case;
  fleet_t *fleet;
  load_t *load;
  int64_t resumed_wall_ms; /* when a frozen agent was woken */
  int64_t start_us;
  unsigned idle_checks;
  unsigned actions_done;
  collect_t totals;
} fault_run_t;

struct fault_case
{
  const char *name;
  bool stops_agents; /* agents freeze, stop or restart: a part of its own */
  double zone_ms;    /* with it, all requests come to the router of zone 1 */
  unsigned requests;
  unsigned accounts; /* that ask */
  bool use_models;   /* requests to the model service, else to the plain one */
  unsigned flood_outstanding; /* requests that the first account holds at once,
                     while the others hold one each; 0: all hold the same */
  unsigned slots;             /* of an engine; 0: the common plan's limits */
  unsigned on_ms;             /* accounts work and pause in turns when set */
  unsigned off_ms;
  unsigned first_action_ms; /* FIRST is done so long after the start */
  unsigned second_action_ms;
  void (*first_action) (fault_run_t *run);
  void (*second_action) (fault_run_t *run);
  void (*verify) (fault_run_t *run);
};

/* Every case's fleet, but for what the case changes.  */
extern const fleet_plan_t fault_plan;

/* For g_test_add_data_func; DATA is a case_t.  */
void fault_run_case (gconstpointer data);

#endif
