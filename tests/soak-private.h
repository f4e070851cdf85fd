/* What the soak's scheduler and its kinds of fault share.  */

#ifndef TESTS_SOAK_PRIVATE_H
#define TESTS_SOAK_PRIVATE_H

#include "soak-faults.h"

/* Operators of a race.  */
#define RACERS 2

typedef struct fault fault_t;
typedef struct running running_t;

/* One kind of fault.  BEGIN chooses a victim and returns false when there is
   none; END undoes it.  */
struct fault
{
  const char *name;
  unsigned least_ms; /* between begin and end */
  unsigned most_ms;
  bool (*begin) (faults_t *faults, running_t *running);
  void (*end) (faults_t *faults, running_t *running);
  bool needs_platform; /* END writes a record */
  fleet_role_t sort;   /* of the victim, where BEGIN serves several sorts */
  const char *spec;    /* what BEGIN tells a stand-in or the relay, or NULL */
};

struct running
{
  const fault_t *fault;
  fleet_role_t sort;
  unsigned victim;
  unsigned partner; /* router that goes with an agent, when has_partner */
  bool has_partner;
  char *group;
  GPid operators[RACERS];
  unsigned value; /* that the first of them writes; the next one more */
  cfd_time_t began;
  cfd_time_t until;
};

struct faults
{
  fleet_t *fleet;
  GRand *rand;
  const fault_t *only; /* NULL: all kinds */
  GPtrArray *running;  /* of running_t */
  unsigned *done;      /* by kind */
  cfd_time_t next;
  bool platform_faulty;
  unsigned violations;
  unsigned deaths;
  unsigned races;
  unsigned race_violations;
  unsigned kinds; /* of fault_kinds, the first ones, that are used */
};

extern const fault_t fault_kinds[];
extern const unsigned fault_kind_count;

/* Sets the platform's mode by JSON text.  */
bool faults_platform (faults_t *faults, const char *spec);

/* ---- soak-race.c ---- */
bool race_begin (faults_t *faults, running_t *running);
void race_end (faults_t *faults, running_t *running);

/* True when another fault has stopped or ended this process.  */
bool faults_is_victim (const faults_t *faults, fleet_role_t sort,
                       unsigned index);

#endif
