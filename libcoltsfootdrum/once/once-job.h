/* Background jobs of module once: the last write of a claim, which stores the
   answer or deletes the claim.  A job is retried with backoff until the
   platform accepts it, and never changes a claim of another attempt.  */

#ifndef ONCE_ONCE_JOB_H
#define ONCE_ONCE_JOB_H

#include "base/list.h"
#include "platform/plat.h"

#define ONCE_KIND "claim"
#define ONCE_STATE_RUNNING "running"
#define ONCE_STATE_FINISHED "finished"
/* Set by once/sweep.c when the claim's router is gone before the request
   finished.  */
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
   VERSION is the newest known version of the claim; NULL when it is not known
   whether the claim was written at all.  */
void once_jobs_add (once_jobs_t *jobs, const char *name, const char *attempt,
                    const char *version, JsonObject *spec);

/* The string value of MEMBER; "" when it is missing or no string.  */
const char *once_get_text (JsonObject *object, const char *member);
/* The spec of a claim object; NULL when it has none.  */
JsonObject *once_get_spec (JsonObject *object);

#endif
