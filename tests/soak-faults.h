/* Random fault injection into a running fleet.  Each kind of fault can be
   injected and reverted.  */

#ifndef TESTS_SOAK_FAULTS_H
#define TESTS_SOAK_FAULTS_H

#include "base/clock.h"
#include "fleet.h"

typedef struct faults faults_t;

/* ONLY_KIND restricts the run to one kind of fault, at short intervals; NULL
   uses the first KIND_COUNT kinds, 0: all.  Returns NULL when there is no kind
   of that name.  */
faults_t *faults_new (fleet_t *fleet, uint64_t seed, const char *only_kind,
                      unsigned kind_count);
void faults_free (faults_t *faults);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (faults_t, faults_free)

/* Reverts the faults that are due, injects the next one when its time has
   come, and restarts processes that exited unexpectedly.  */
void faults_step (faults_t *faults, cfd_time_t now);
/* Reverts all faults.  */
void faults_revert_all (faults_t *faults, cfd_time_t now);

/* Number of endpoints that started a request later than ZONE_GRACE_MS after
   their zone was taken out.  */
unsigned faults_zone_violations (const faults_t *faults);
/* Number of operators that got a wrong result for a conditional write.  */
unsigned faults_race_violations (const faults_t *faults);
/* Number of processes that exited without a fault, such as by the abort of a
   failed invariant check.  */
unsigned faults_unexpected_exits (const faults_t *faults);
/* Prints how often each kind of fault was injected.  */
void faults_print (const faults_t *faults);

#endif
