/* Runs one fault case against a whole fleet: a seeded load, up to two actions
   at fixed times, and a check of the callers' results against the endpoints'
   counters.  */

#ifndef TESTS_FAULT_RUN_H
#define TESTS_FAULT_RUN_H

#include "collect.h"

typedef struct fault_case fault_case_t;

/* State of one run of a case.  */
typedef struct
{
  const fault_case_t *fault_case;
  fleet_t *fleet;
  load_t *load;
  int64_t resumed_wall_ms; /* when frozen agents were resumed; 0 before */
  int64_t start_us;
  unsigned idle_checks; /* consecutive checks without an open request */
  unsigned actions_done;
  collect_result_t totals;
} fault_run_t;

struct fault_case
{
  const char *name;
  bool stops_agents; /* freezes, stops or restarts agents: listed under
                        /agent-stops instead of /agent-faults */
  double zone_ms;    /* delay between zones; when set, all requests go to the
                        router of zone 1 */
  unsigned requests;
  unsigned accounts; /* client accounts that send requests */
  bool use_models;   /* requests to the model service, else to the plain one */
  unsigned flood_outstanding; /* requests that the first account holds at once,
                     while the others hold one each; 0: all hold the same */
  unsigned slots;             /* of an engine; 0: those of fault_plan */
  unsigned on_ms; /* accounts alternate between load and pause when set */
  unsigned off_ms;
  unsigned first_action_ms; /* after the start of the load */
  unsigned second_action_ms;
  void (*first_action) (fault_run_t *run);
  void (*second_action) (fault_run_t *run);
  void (*verify) (fault_run_t *run);
};

/* The fleet of every case; zone_ms and slots of a case override it.  */
extern const fleet_plan_t fault_plan;

/* For g_test_add_data_func; DATA is a fault_case_t.  */
void fault_run_case (gconstpointer data);

#endif
