/* Returning callers.  Recognizes callers who retry after a refusal, at any
   router.

   Load pattern: all refused callers retry.  The latency of an answer counts
   from the first attempt, so most of them are past their target latency;
   scarce capacity does more good to a caller who has just arrived.  The last
   part of a prompt is specific to the request, so the same prompt of the same
   account within some seconds is taken for the same request.  */

#ifndef RELAY_RET_H
#define RELAY_RET_H

#include "base/clock.h"
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

typedef struct ret ret_t;

ret_t *ret_new (void);
void ret_free (ret_t *ret);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (ret_t, ret_free)

/* Returns the key that identifies a request and its retries: a hash of its
   account, its prompt field and its body.  */
uint64_t ret_request_key (const char *account, const char *prompt,
                          const void *body, size_t length);

/* Records that the caller of KEY was refused and told to retry at RETRY_AT.
   FIRST_ATTEMPT is when its first attempt was whole; the time that it took to
   send further ones is added.  */
void ret_add_refusal (ret_t *ret, cfd_time_t now, uint64_t key,
                      cfd_time_t first_attempt, cfd_time_t retry_at);

/* Returns when the caller of KEY, whose request arrives now, made its first
   attempt, and removes the refusal: each refusal accounts for one retry.  A
   request that arrives before the time given to the refused caller is from
   another caller with the same request.  */
cfd_time_t ret_take_first_attempt (ret_t *ret, cfd_time_t now, uint64_t key);

/* Removes the refusal of KEY, since a caller with that request is being
   served.  A later request with this key is no retry of an earlier refusal. */
void ret_mark_served (ret_t *ret, uint64_t key);

/* A refusal to send to the other routers.  */
typedef struct
{
  uint64_t key;
  cfd_time_t first_attempt;
  cfd_time_t retry_at;
  uint64_t number; /* sequence number */
  cfd_time_t at;
} ret_update_t;

/* Returns the refusals at this router since SINCE, valid until the next call.
   Drops older ones.  */
const GArray *ret_updates (ret_t *ret, cfd_time_t since);
/* Records that another router refused the caller of KEY.  */
void ret_add_peer_refusal (ret_t *ret, cfd_time_t now, uint64_t key,
                           cfd_time_t first_attempt, cfd_time_t retry_at);

/* Removes refusals whose callers didn't retry.  */
void ret_sweep (ret_t *ret, cfd_time_t now);

#endif
