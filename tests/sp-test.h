/* A stand-in platform and a client of it on one loop, for unit tests.  */

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

/* Listens at an address of its own in 127.0.0.0/8.  */
void sp_test_setup (sp_test_t *test);
void sp_test_teardown (sp_test_t *test);
/* Stops the stand-in's process: connections are refused from now on.  */
void sp_test_stop_platform (sp_test_t *test);

/* Runs the loop until HOLDS says true; fails the test after 30 s.  */
void sp_test_run_until (sp_test_t *test, bool (*holds) (void *user),
                        void *user);

/* Writes SPEC, JSON text, or deletes when SPEC is NULL, whatever the fault. */
void sp_test_write_object (sp_test_t *test, const char *kind, const char *name,
                           const char *spec);

#endif
