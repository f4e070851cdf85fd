/* What the soak's scheduler and its kinds of fault share.  */

#ifndef TESTS_SOAK_PRIVATE_H
#define TESTS_SOAK_PRIVATE_H

#include "soak-faults.h"

/* Operators of a race.  */
#define RACE_OPERATORS 2

typedef struct fault fault_t;
typedef struct active_fault active_fault_t;

/* One kind of fault.  BEGIN chooses a victim and returns false when there is
   none; END undoes it.  */
struct fault
{
  const char *name;
  unsigned min_ms; /* between begin and end */
  unsigned max_ms;
  bool (*inject) (faults_t *faults, active_fault_t *active);
  void (*revert) (faults_t *faults, active_fault_t *active);
  bool needs_platform; /* END writes a record */
  fleet_role_t sort;   /* of the victim, where BEGIN serves several sorts */
  const char *spec;    /* what BEGIN tells a stand-in or the relay, or NULL */
};

struct active_fault
{
  const fault_t *fault;
  fleet_role_t sort;
  unsigned target;
  unsigned router; /* router that goes with an agent, when has_partner */
  bool has_router;
  char *group;
  GPid operators[RACE_OPERATORS];
  unsigned value; /* that the first of them writes; the next one more */
  cfd_time_t started_at;
  cfd_time_t ends_at;
};

struct faults
{
  fleet_t *fleet;
  GRand *rand;
  const fault_t *only_kind; /* NULL: all kinds */
  GPtrArray *active;        /* of running_t */
  unsigned *injected;       /* by kind */
  cfd_time_t next_at;
  bool platform_faulty;
  unsigned zone_violations;
  unsigned unexpected_exits;
  unsigned race_count;
  unsigned race_violations;
  unsigned kind_count; /* of fault_kinds, the first ones, that are used */
};

extern const fault_t fault_kinds[];
extern const unsigned fault_kind_count;

/* Sets the platform's mode by JSON text.  */
bool faults_set_platform_mode (faults_t *faults, const char *spec);

/* ---- soak-race.c ---- */
bool race_begin (faults_t *faults, active_fault_t *active);
void race_end (faults_t *faults, active_fault_t *active);

/* True when another fault has stopped or ended this process.  */
bool faults_is_target (const faults_t *faults, fleet_role_t sort,
                       unsigned index);

#endif
