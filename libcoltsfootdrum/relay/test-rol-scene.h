/* Test fixture: a router's view of rollouts, without sockets.  */

#ifndef RELAY_TEST_ROL_SCENE_H
#define RELAY_TEST_ROL_SCENE_H

#include "relay/rol-private.h"

#define NOW 1000000
#define SHARE 0.1
/* Slots of each endpoint.  */
#define SCENE_SLOTS 64

/* An endpoint of service "app", or of "other" where its id begins with o.  */
typedef struct
{
  const char *id; /* NULL ends the list */
  const char *version;
  int64_t revision;
} scene_endpoint_t;

/* Two endpoints of version "v1"; these and one of "v2".  */
extern const scene_endpoint_t scene_old_only[];
extern const scene_endpoint_t scene_both[];

typedef struct
{
  struct ev_loop *loop;
  edp_set_t *endpoints;
  rol_t *rol;
} scene_t;

scene_t scene_new (double exposure_share);
void scene_free (scene_t *router);
void scene_list (scene_t *router, const scene_endpoint_t *listed);

rol_order_t *scene_order_new (const char *service, const char *target,
                              rol_state_t state, int64_t revision);
/* Applies one order for "app", or none when TARGET is NULL.  */
void scene_set_order (scene_t *router, const char *target, rol_state_t state,
                      int64_t revision, int64_t as_of);
/* Lists both versions and an order for "v2" that is in progress.  */
void scene_start_rollout (scene_t *router);
void scene_assert_standing (scene_t *router, const char *id,
                            edp_standing_t standing);

rte_route_t *scene_route_new (const char *name);
void scene_count_answers (scene_t *router, const rte_route_t *route,
                          unsigned count, bool is_canary, bool failed);
/* Delivers the evidence of one router, the process INCARNATION, to another. */
void scene_exchange (scene_t *from, scene_t *to, uint64_t incarnation,
                     cfd_time_t now);

#endif
