/* Test fixture: a relay between callers and scripted endpoints, all on one
   event loop.  */

#ifndef RELAY_TEST_RLY_SCENE_H
#define RELAY_TEST_RLY_SCENE_H

#include "relay/con.h"
#include "relay/rly.h"

#define SCENE_ENDPOINTS 2
/* Longest pause that the route of /events/ allows.  */
#define SCENE_MAX_PAUSE_MS 100
/* Time-out of the route of /brief/.  */
#define SCENE_BRIEF_TIMEOUT_MS 400
/* Time-out of the other routes.  */
#define SCENE_TIMEOUT_MS 30000

/* A reply of the endpoints.  Replies are sent in order, by whichever endpoint
   gets the request.  In BYTES "%I" stands for the request's id.  */
typedef struct
{
  const char *bytes; /* NULL: no reply */
  enum
  {
    SCENE_KEEP_OPEN,
    SCENE_CLOSE,
    SCENE_RESET,
    SCENE_REPEAT /* sends scene_t.repeat until the connection is closed */
  } then;
} scene_reply_t;

typedef struct scene scene_t;

typedef struct
{
  scene_t *scene;
  struct ev_io listener;
  unsigned port;
  unsigned requests;
  bool reads_nothing; /* on connections that it accepts from now on */
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
  org_t *org;
  qua_t *qua;
  prt_t *prt;
  rly_t *rly;
  ent_t *ent;
  scene_server_t servers[SCENE_ENDPOINTS];
  const scene_reply_t *replies;
  unsigned reply_count;        /* the last one is repeated */
  const char *repeat;          /* see SCENE_REPEAT */
  unsigned requests_received;  /* by all endpoints */
  unsigned closed_connections; /* as seen by endpoints */
  uint64_t repeated_bytes;     /* written by SCENE_REPEAT */
  GString *last_request;       /* as its endpoint received it */
  GPtrArray *server_cons;      /* open connections at endpoints */
  GArray *reserved_fds;        /* int: sockets of ports without a listener */
  bool timed_out;
};

typedef struct
{
  con_t *con;
  GString *text; /* received */
  bool ended;
} scene_caller_t;

/* Each endpoint has SLOTS.  */
scene_t *scene_new (const scene_reply_t *replies, unsigned count,
                    unsigned slots);
void scene_free (scene_t *scene);
/* Lists the endpoints except the first HIDDEN ones, and when UNREACHABLE also
   an address without a listener.  */
void scene_list_endpoints (scene_t *scene, unsigned hidden, bool unreachable,
                           unsigned slots);
/* Lists the last endpoint and COUNT addresses without a listener.  */
void scene_list_dead (scene_t *scene, unsigned count);

/* Registers the version of the endpoints, without which no caller resumes a
   stream.  */
void scene_register_version (scene_t *scene);

/* Sends BYTES from the endpoints, on each connection with a request.  */
void scene_answer (scene_t *scene, const char *bytes);

/* Closes all connections at the endpoints.  */
void scene_close_connections (scene_t *scene);

scene_caller_t *scene_send_request (scene_t *scene, const char *bytes);
void scene_caller_free (scene_caller_t *caller);

/* Runs the loop until DONE returns true; fails after a time-out.  */
void scene_run (scene_t *scene, bool (*done) (void *user), void *user);
/* Runs the loop until CALLER has received TEXT, or until its connection has
   ended.  With NULL, waits for the end alone.  */
void scene_wait_for (scene_t *scene, scene_caller_t *caller, const char *text);

#endif
