/* Scenarios of the whole-path tests: a small fleet under load on which the
   test triggers events.  */

#ifndef TESTS_SCENE_H
#define TESTS_SCENE_H

#include "collect.h"
#include <ev.h>

#define SCENE_KEY "key-of-the-account"

typedef struct scene scene_t;

typedef struct
{
  fleet_plan_t fleet;
  unsigned router; /* index of the router that gets the load */
  unsigned outstanding;
  unsigned kinds[LOAD_KIND_COUNT];
  unsigned tokens;   /* length of each answer */
  unsigned requests; /* the load ends after this many; 0: ends at
                        scene_finish */
} scene_plan_t;

struct scene
{
  struct ev_loop *loop;
  fleet_t *fleet;
  load_t *load;
  load_plan_t load_plan;
  load_account_t account;
  collect_result_t sum;
};

/* Returns a plan with engines that are warm from the start; the test changes
   what it needs.  */
scene_plan_t scene_default_plan (void);
scene_t *scene_new (const scene_plan_t *plan);
void scene_free (scene_t *scene);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (scene_t, scene_free)

/* Runs the load for MS milliseconds.  */
void scene_run (scene_t *scene, unsigned ms);
/* Runs the load until CONDITION holds; fails the test after LIMIT_MS.  */
void scene_run_until (scene_t *scene, bool (*condition) (const scene_t *scene),
                      unsigned limit_ms);
/* Ends the load, waits for running requests and verifies the results; fails
   the test on any violation.  */
void scene_finish (scene_t *scene, unsigned limit_ms);

/* Conditions: at least one stream is in progress; no request is active.  */
bool scene_is_streaming (const scene_t *scene);
bool scene_is_idle (const scene_t *scene);

/* Reads a counter of an endpoint.  */
double scene_read_counter (const scene_t *scene, unsigned endpoint,
                           const char *name);
/* Sends a PUT with a JSON body to a stand-in's control path.  */
void scene_put_control (const scene_t *scene, fleet_role_t role,
                        unsigned index, const char *path, const char *body);

#endif
