/* Platform stand-in for unit tests: a stand-in and a client of it on one event
   loop.  */

#ifndef TESTS_SP_TEST_H
#define TESTS_SP_TEST_H

#include "platform/plat.h"
#include "sp.h"

#define SP_TEST_HISTORY 16

typedef struct
{
  struct ev_loop *loop;
  fetch_pool_t *pool;
  plat_t *plat;
  sp_t *sp;
  char url[64];
} sp_test_t;

/* Listens on an address in 127.0.0.0/8 that is derived from the process
   id.  */
void sp_test_setup (sp_test_t *test);
void sp_test_teardown (sp_test_t *test);
/* Frees the stand-in: connections are refused from now on.  */
void sp_test_stop_platform (sp_test_t *test);

/* Runs the loop until CONDITION returns true; aborts the test after 30 s.  */
void sp_test_run_until (sp_test_t *test, bool (*condition) (void *user),
                        void *user);

/* Writes SPEC, which is JSON text, or deletes when SPEC is NULL; not subject
   to faults.  */
void sp_test_write_object (sp_test_t *test, const char *kind, const char *name,
                           const char *spec);

#endif
