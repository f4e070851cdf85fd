/* Raw calls: requests whose answers are compared as bytes, by rules of this
   module's own and not by the readers under test.  */

#ifndef TESTS_RAW_H
#define TESTS_RAW_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

typedef struct raw_call raw_call_t;

/* Sends REQUEST, any bytes, to ADDRESS, IP:PORT.  The last one in it should
   ask for a close of the connection, before which stray bytes would come.  */
raw_call_t *raw_call_new (struct ev_loop *loop, const char *address,
                          const char *request);
void raw_call_free (raw_call_t *call);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (raw_call_t, raw_call_free)

/* Runs LOOP until the answers of all CALLS, raw_call_t, have ended: by a
   close, or by a silence in which stray bytes would have come.  Fails the test
   after half a minute.  */
void raw_run (struct ev_loop *loop, const GPtrArray *calls);

/* Returns what the caller was sent, such as "200 sound, 502": statuses, with
   the bodies of successes.  A body without its end is followed by "(cut)", and
   bytes that are no answer by "(not an answer: BYTES)".  IS_HEAD: the answers
   are to HEAD, and have no bodies.  Free with g_free.  */
char *raw_call_describe (const raw_call_t *call, bool is_head);

#endif
