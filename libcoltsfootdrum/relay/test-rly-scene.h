/* A relay between raw callers and scripted endpoints, all on one loop.  */

#ifndef RELAY_TEST_RLY_SCENE_H
#define RELAY_TEST_RLY_SCENE_H

#include "relay/con.h"
#include "relay/rly.h"

#define SCENE_ENDPOINTS 2

/* The next reply of the endpoints, whichever gets the request.  In BYTES "%I"
   stands for the request's id.  */
typedef struct
{
  const char *bytes; /* NULL: silence */
  enum
  {
    SCENE_KEEP_OPEN,
    SCENE_CLOSE,
    SCENE_RESET
  } then;
} scene_reply_t;

typedef struct scene scene_t;

typedef struct
{
  scene_t *scene;
  struct ev_io listener;
  unsigned port;
  unsigned requests;
} scene_server_t;

struct scene
{
  struct ev_loop *loop;
  ev_timer tick;
  ev_timer timeout;
  edp_set_t *endpoints;
  use_t *use;
  pfx_t *pfx;
  ret_t *ret;
  rly_t *rly;
  ent_t *ent;
  scene_server_t servers[SCENE_ENDPOINTS];
  const scene_reply_t *replies;
  unsigned reply_count;        /* the last one is used again and again */
  unsigned requests_received;  /* requests at endpoints */
  unsigned closed_connections; /* connections that endpoints saw end */
  GString
      *last_request; /* the request that came last, as its endpoint saw it */
  GPtrArray *server_cons; /* of the endpoints */
  bool timed_out;
};

typedef struct
{
  con_t *con;
  GString *text; /* what came */
  bool ended;
} scene_caller_t;

/* SLOTS: of each endpoint.  */
scene_t *scene_new (const scene_reply_t *replies, unsigned count,
                    unsigned slots);
void scene_free (scene_t *scene);
/* Lists the endpoints but the first HIDDEN, and an address without a listener
   when DEAD.  */
void scene_list_endpoints (scene_t *scene, unsigned hidden, bool dead,
                           unsigned slots);

scene_caller_t *scene_send_request (scene_t *scene, const char *bytes);
void scene_caller_free (scene_caller_t *caller);

/* Runs the loop until DONE says so; fails after many seconds.  */
void scene_run (scene_t *scene, bool (*done) (void *user), void *user);
/* Until TEXT came; or the connection's end when TEXT is NULL.  */
void scene_wait_for (scene_t *scene, scene_caller_t *caller, const char *text);

#endif
