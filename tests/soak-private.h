/* Types shared by the soak's fault scheduler and its kinds of fault.  */

#ifndef TESTS_SOAK_PRIVATE_H
#define TESTS_SOAK_PRIVATE_H

#include "soak-faults.h"

/* Concurrent operators in one "operators-race" fault.  */
#define RACE_OPERATORS 2

typedef struct fault fault_t;
typedef struct active_fault active_fault_t;

/* One kind of fault.  INJECT chooses a target and returns false when none is
   available; REVERT undoes the fault.  */
struct fault
{
  const char *name;
  unsigned min_ms; /* from injection to reversal */
  unsigned max_ms;
  bool (*inject) (faults_t *faults, active_fault_t *active);
  void (*revert) (faults_t *faults, active_fault_t *active);
  bool needs_platform; /* REVERT writes a record */
  fleet_role_t role;   /* of the target, where INJECT serves several roles */
  const char *spec;    /* JSON for a stand-in's control path, or the
                          relay's mode; NULL: none */
};

/* A fault that has been injected and not yet reverted.  */
struct active_fault
{
  const fault_t *fault;
  fleet_role_t role;
  unsigned target;
  unsigned router; /* that fails together with the agent, when has_router */
  bool has_router;
  char *group; /* of the relay's links; NULL: the target is a process */
  GPid operators[RACE_OPERATORS];
  unsigned value; /* written by the first operator; each next one adds 1 */
  cfd_time_t started_at;
  cfd_time_t ends_at;
};

struct faults
{
  fleet_t *fleet;
  GRand *rand;
  const fault_t *only_kind; /* NULL: all kinds */
  GPtrArray *active;        /* of active_fault_t */
  unsigned *injected;       /* count by kind */
  cfd_time_t next_at;
  bool platform_faulty;
  unsigned zone_violations;
  unsigned unexpected_exits;
  unsigned race_count;
  unsigned race_violations;
  unsigned kind_count; /* only the first ones of fault_kinds are used */
};

extern const fault_t fault_kinds[];
extern const unsigned fault_kind_count;

/* Sets the mode of the platform stand-in; SPEC is JSON.  */
bool faults_set_platform_mode (faults_t *faults, const char *spec);

/* ---- soak-race.c ---- */
bool race_inject (faults_t *faults, active_fault_t *active);
void race_revert (faults_t *faults, active_fault_t *active);

/* True when an active fault has stopped or killed this process.  */
bool faults_is_target (const faults_t *faults, fleet_role_t role,
                       unsigned index);

#endif
