/* Returning callers: who was refused and asks again, at whichever router.

   Load pattern: callers who were refused all come back.  An answer's time
   counts from their first try, so that most of them are past their latency
   objective; where capacity is short it does more good to a caller who just
   came.  A prompt's last part is the request's own, so that the same prompt of
   the same account within some seconds is the same request.  */

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

/* By which a request is known again: its account, the text of its prompt's
   parts and its body.  */
uint64_t ret_request_key (const char *account, const char *prompt,
                          const void *body, size_t length);

/* The caller of KEY, who first asked at ASKED, was refused and told to come
   back at BACK_AT.  */
void ret_add_refusal (ret_t *ret, cfd_time_t now, uint64_t key,
                      cfd_time_t asked, cfd_time_t retry_at);

/* When the caller of KEY, who asks now, first asked.  One refusal stands for
   one return, and a caller who asks before it was told to is another one with
   the same request.  */
cfd_time_t ret_take_first_attempt (ret_t *ret, cfd_time_t now, uint64_t key);

/* A caller of KEY is being served: who asks the same later has not come back
   from a refusal before that.  */
void ret_mark_served (ret_t *ret, uint64_t key);

/* A refusal that the other routers are to be told of.  */
typedef struct
{
  uint64_t key;
  cfd_time_t asked;
  cfd_time_t retry_at;
  uint64_t number; /* counts up */
  cfd_time_t at;
} ret_update_t;

/* Refusals since SINCE; valid until the next call.  */
const GArray *ret_updates (ret_t *ret, cfd_time_t since);
/* Another router refused the caller of KEY.  */
void ret_add_peer_refusal (ret_t *ret, cfd_time_t now, uint64_t key,
                           cfd_time_t asked, cfd_time_t retry_at);

/* Forgets callers who didn't come back.  */
void ret_sweep (ret_t *ret, cfd_time_t now);

#endif
