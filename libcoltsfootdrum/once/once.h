/* At-most-once execution of requests that carry an Idempotency-Key and must
   not be repeated.  Before such a request is queued, its key is claimed by a
   create-if-absent object of kind "claim" at the platform.  While the platform
   is down, the request is refused as "not run".  A finished claim stores the
   answer, up to ONCE_MAX_ANSWER_BYTES; a caller that repeats the request
   receives the stored answer.

   A claim whose router is gone stays RUNNING: whether its request ran is not
   known, so it must not be run again.  An operator who knows may delete the
   claim; otherwise it is marked UNKNOWN when its retention time has passed
   (once/sweep.h).

   A reply of the platform can be lost after its write took effect.  So each
   claim names the attempt that wrote it, and a router that reads it back can
   tell whether it wrote it.  A claim that may have been written for a request
   that was then refused is deleted in the background; otherwise the caller
   could never succeed with that key.  */

#ifndef ONCE_ONCE_H
#define ONCE_ONCE_H

#include "base/clock.h"
#include "platform/plat.h"

#define ONCE_MAX_ANSWER_BYTES (64u * 1024)

typedef struct once once_t;

typedef enum
{
  ONCE_CLAIMED,         /* this call made the claim: run the request */
  ONCE_RUNNING,         /* claimed before; whether it ran is not known yet */
  ONCE_FINISHED,        /* it ran; STATUS, TYPE and BODY are its answer */
  ONCE_OUTCOME_UNKNOWN, /* its router is gone; whether it ran stays unknown */
  ONCE_KEY_REUSED,      /* the key was used with another request */
  ONCE_PLATFORM_DOWN    /* the platform does not answer: not run */
} once_claim_status_t;

typedef struct
{
  once_claim_status_t claim_status;
  unsigned status; /* HTTP status of the stored answer */
  const char *type;
  const char *body; /* NULL when it was too large to store or is not text, or
                       when its status is none */
} once_claim_result_t;

/* OWNER must be unique to this incarnation of the process.  PLAT must outlive
   the returned object.  */
once_t *once_new (plat_t *plat, const char *owner);
void once_free (once_t *once);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (once_t, once_free)

/* Sets the retention time that is written into new claims, counted from their
   last write; 0 writes none.  */
void once_set_retention_s (once_t *once, int retention_s);

/* Claims KEY for ACCOUNT and calls DONE with the result.  DIGEST identifies
   the request's content (method, path, body).  */
void once_claim (once_t *once, const char *account, const char *key,
                 const char *digest,
                 void (*done) (void *user, const once_claim_result_t *result),
                 void *user);
/* Stores the answer of the claimed request.  */
void once_finish (once_t *once, const char *account, const char *key,
                  unsigned status, const char *type, const char *body);
/* Deletes the claim of a request that did not run and never will, so that the
   caller may repeat it.  */
void once_release (once_t *once, const char *account, const char *key);

/* The name of the claim object, for operators; free with g_free.  */
char *once_make_claim_name (const char *account, const char *key);

/* Whether the claim NAME belongs to a request that still runs here.  */
bool once_has_running_claim (const once_t *once, const char *name);

/* Number of final claim writes that the platform has not accepted yet; a
   graceful shutdown waits for them.  */
unsigned once_count_pending_writes (const once_t *once);

#endif
