/* Runs one case of a failure in a whole fleet: a seeded load, faults at given
   moments, and a judgement of what the callers saw against what the endpoints
   did.  */

#ifndef TESTS_FAULT_RUN_H
#define TESTS_FAULT_RUN_H

#include "collect.h"

typedef struct case_s case_t;

/* One run of a case.  */
typedef struct
{
  const case_t *it;
  fleet_t *fleet;
  load_t *load;
  int64_t woken_wall; /* when a frozen agent was woken */
  int64_t began_us;
  unsigned idle;
  unsigned stage;
  collect_result_t sum;
} run_t;

struct case_s
{
  const char *name;
  bool stops;     /* agents freeze, stop or restart: a part of its own */
  double zone_ms; /* with it, all requests come to the router of zone 1 */
  unsigned requests;
  unsigned accounts; /* that ask */
  bool models;       /* requests to the model service, else to the plain one */
  unsigned flood;    /* requests that the first account holds at once, while
                        the others hold one each; 0: all hold the same */
  unsigned slots;    /* of an engine; 0: the common plan's limits */
  unsigned on_ms;    /* accounts work and pause in turns when set */
  unsigned off_ms;
  unsigned first_ms; /* FIRST is done so long after the start */
  unsigned second_ms;
  void (*first) (run_t *run);
  void (*second) (run_t *run);
  void (*judge) (run_t *run);
};

/* Every case's fleet, but for what the case changes.  */
extern const fleet_plan_t fault_plan;

/* For g_test_add_data_func; DATA is a case_t.  */
void fault_run (gconstpointer data);

#endif
