/* Load: random choices and bodies of its requests.  All choices come from
   RANDOM, so that a seed reproduces the same requests.  */

#ifndef TESTS_LOAD_MAKE_H
#define TESTS_LOAD_MAKE_H

#include "load.h"

unsigned load_choose_router (const load_plan_t *plan, GRand *random,
                             const load_account_t *account);
load_kind_t load_choose_kind (GRand *random, const load_account_t *account);
/* Returns the request body, or NULL without one, and sets the request's
   prompt_tokens.  Unless the plan asks for exact hints, max_tokens is only a
   rough hint of the answer's length.  */
char *load_build_body (const load_plan_t *plan, GRand *random,
                       load_request_t *request);
char *load_build_url (const load_plan_t *plan, const load_request_t *request);

#endif
