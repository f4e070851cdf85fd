/* Random faults against a running fleet: a table of what can go wrong, each
   with its way back.  */

#ifndef TESTS_SOAK_FAULTS_H
#define TESTS_SOAK_FAULTS_H

#include "base/clock.h"
#include "fleet.h"

typedef struct faults faults_t;

/* ONLY names the one kind of fault to do, in quick turns; NULL: the first
   KINDS of them, 0: all.  NULL when there is no kind of that name.  */
faults_t *faults_new (fleet_t *fleet, uint64_t seed, const char *only_kind,
                      unsigned kind_count);
void faults_free (faults_t *faults);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (faults_t, faults_free)

/* Undoes what is due and begins a new fault when it is time.  */
void faults_step (faults_t *faults, cfd_time_t now);
/* Undoes everything and begins nothing more.  */
void faults_revert_all (faults_t *faults, cfd_time_t now);

/* New work that a zone got later than ZONE_GRACE_MS after it went out.  */
unsigned faults_zone_violations (const faults_t *faults);
/* Operators that were told what is not so of their conditional writes.  */
unsigned faults_race_violations (const faults_t *faults);
/* Processes that ended though nobody ended them: an invariant's abort.  */
unsigned faults_unexpected_exits (const faults_t *faults);
/* Prints how often each fault was done.  */
void faults_print (const faults_t *faults);

#endif
