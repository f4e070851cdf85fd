/* The last write of a claim: its answer, or its removal.  Tried until the
   platform took it, with backoff; never touches another attempt's claim.  */

#ifndef ONCE_ONCE_JOB_H
#define ONCE_ONCE_JOB_H

#include "base/list.h"
#include "platform/plat.h"

#define ONCE_KIND "claim"
#define ONCE_STATE_RUNNING "running"
#define ONCE_STATE_FINISHED "finished"
/* Its router went away while it ran: marked_unknown so by once/sweep.c.  */
#define ONCE_STATE_UNKNOWN "unknown"

typedef struct
{
  plat_t *plat;
  list_node_t jobs; /* of once_job_t */
  unsigned count;
} once_jobs_t;

void once_jobs_init (once_jobs_t *jobs, plat_t *plat);
void once_jobs_clear (once_jobs_t *jobs);

/* Replaces the claim NAME of ATTEMPT by SPEC, or deletes it when SPEC is NULL.
   VERSION is the claim's newest known one; NULL when it is not known whether
   it was written at all.  */
void once_jobs_add (once_jobs_t *jobs, const char *name, const char *attempt,
                    const char *version, JsonObject *spec);

/* A text member, or "".  */
const char *once_text (JsonObject *object, const char *member);
/* The spec of a claim object, or NULL.  */
JsonObject *once_spec (JsonObject *object);

#endif
