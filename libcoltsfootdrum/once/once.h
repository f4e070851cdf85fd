/* At most once.  A request that must not repeat and carries an
   Idempotency-Key is claimed in the platform by a create-if-absent object of
   kind "claim" before it is queued.  While the platform is down it is refused
   "not run".  A finished claim keeps the answer, up to ONCE_MAX_ANSWER_BYTES
   bytes, and the caller who asks again gets it.

   A claim whose holder is gone stays RUNNING: nobody knows whether the request
   ran, so nobody may run it again.  An operator who knows deletes the claim;
   else it is marked_unknown as UNKNOWN when its time is over (once/sweep.h).

   Any answer of the platform can be lost after the write took effect.  So each
   claim carries the name of its attempt: whoever reads it back sees whether
   the write was its own.  A claim that may have been written for a request
   that was refused is taken back in the background, or its caller could never
   succeed with that key.  */

#ifndef ONCE_ONCE_H
#define ONCE_ONCE_H

#include "base/clock.h"
#include "platform/plat.h"

#define ONCE_MAX_ANSWER_BYTES (64u * 1024)

typedef struct once once_t;

typedef enum
{
  ONCE_CLAIMED,         /* claimed now: run it */
  ONCE_RUNNING,         /* another holds it; whether it ran is not known yet */
  ONCE_FINISHED,        /* it ran; STATUS, TYPE and BODY are its answer */
  ONCE_OUTCOME_UNKNOWN, /* its router is gone; whether it ran won't be known */
  ONCE_KEY_REUSED,      /* the key was used for another request */
  ONCE_PLATFORM_DOWN    /* the platform does not answer: not run */
} once_claim_status_t;

typedef struct
{
  once_claim_status_t claim_status;
  unsigned status;
  const char *type;
  const char *body; /* NULL when it was too large to keep, or no text */
} once_claim_result_t;

/* OWNER is unique for this process incarnation.  PLAT must outlive the
   object.  */
once_t *once_new (plat_t *plat, const char *owner);
void once_free (once_t *once);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (once_t, once_free)

/* Claims made from now on say that they are kept for so long after their last
   write; 0: they do not say.  */
void once_set_retention_s (once_t *once, int retention_s);

/* DIGEST identifies the request's content (method, path, body).  */
void once_claim (once_t *once, const char *account, const char *key,
                 const char *digest,
                 void (*done) (void *user, const once_claim_result_t *answer),
                 void *user);
/* The claimed request ended with an answer.  */
void once_finish (once_t *once, const char *account, const char *key,
                  unsigned status, const char *type, const char *body);
/* The claimed request was not run and never will be: gives the claim back,
   so that the caller may ask again.  */
void once_release (once_t *once, const char *account, const char *key);

/* Name of the claim object, for operators; free with g_free.  */
char *once_claim_name (const char *account, const char *key);

/* Whether the claim NAME is of a request that still runs here.  */
bool once_has_running_claim (const once_t *once, const char *name);

/* Writes of ended or doubtful claims that still have to reach the platform; a
   graceful shutdown waits for them.  */
unsigned once_count_pending_writes (const once_t *once);

#endif
