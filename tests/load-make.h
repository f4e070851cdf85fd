/* What the load's requests ask for: all choices come from RANDOM, so that a
   seed gives the same requests.  */

#ifndef TESTS_LOAD_MAKE_H
#define TESTS_LOAD_MAKE_H

#include "load.h"

unsigned load_choose_router (const load_plan_t *plan, GRand *random,
                             const load_account_t *account);
load_kind_t load_choose_kind (GRand *random, const load_account_t *account);
/* The body, NULL when there is none; the hint of a model request's length is
   rough.  Sets the prompt's tokens.  */
char *load_build_body (const load_plan_t *plan, GRand *random,
                       load_request_t *request);
char *load_build_url (const load_plan_t *plan, const load_request_t *request);

#endif
