/* What the client accounts got so far and how much of theirs waits, over the
   fleet and by router.  */

#ifndef TESTS_LOAD_TALLY_H
#define TESTS_LOAD_TALLY_H

#include "load.h"

typedef struct load_tally load_tally_t;

load_tally_t *load_tally_new (const load_plan_t *plan);
void load_tally_free (load_tally_t *tally);

/* REQUEST waits for its first byte, or no longer.  */
void load_tally_add_waiting (load_tally_t *tally,
                             const load_request_t *request);
void load_tally_remove_waiting (load_tally_t *tally,
                                const load_request_t *request);
/* The first byte of a model's answer came.  */
void load_tally_add_first_byte (load_tally_t *tally,
                                const load_request_t *request);
void load_tally_add_tokens (load_tally_t *tally, const load_request_t *request,
                            unsigned count);

load_sample_t *load_tally_take_sample (const load_tally_t *tally,
                                       int64_t now_us);
void load_sample_free (gpointer sample);

#endif
