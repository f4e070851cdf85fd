/* A scene of the whole-path tests: a small fleet under load to which something
   happens on the way.  */

#ifndef TESTS_SCENE_H
#define TESTS_SCENE_H

#include "collect.h"
#include <ev.h>

#define SCENE_KEY "key-of-the-account"

typedef struct scene scene_t;

typedef struct
{
  fleet_plan_t fleet;
  unsigned router; /* that the load comes to */
  unsigned outstanding;
  unsigned kinds[LOAD_KIND_COUNT];
  unsigned tokens;   /* of each answer */
  unsigned requests; /* then the load ends by itself; 0: when told */
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

/* Engines that are warm from the start; the test changes what it needs.  */
scene_plan_t scene_default_plan (void);
scene_t *scene_new (const scene_plan_t *plan);
void scene_free (scene_t *scene);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (scene_t, scene_free)

/* Lets the load run for so long.  */
void scene_run (scene_t *scene, unsigned ms);
/* Until DONE says so; fails the test after LIMIT_MS.  */
void scene_run_until (scene_t *scene, bool (*done) (const scene_t *scene),
                      unsigned limit_ms);
/* Ends the load, waits for what runs, and takes the verdict; no promise may
   be broken.  */
void scene_finish (scene_t *scene, unsigned limit_ms);

/* Ready-made conditions: some stream is under way; nothing is.  */
bool scene_is_streaming (const scene_t *scene);
bool scene_is_idle (const scene_t *scene);

/* A counter of an endpoint.  */
double scene_read_counter (const scene_t *scene, unsigned endpoint,
                           const char *name);
/* PUT of JSON to a stand-in's control path.  */
void scene_put_control (const scene_t *scene, fleet_role_t sort,
                        unsigned index, const char *path, const char *body);

#endif
