/* A router in this process, between a stub of the platform, two agents played
   by the test and callers, all on one loop.  */

#ifndef ROUTER_TEST_ROUTER_SCENE_H
#define ROUTER_TEST_ROUTER_SCENE_H

#include "http/web.h"
#include "libcoltsfootdrum.h"
#include "wire/peer.h"

#define SCENE_AGENTS 2u

typedef struct scene scene_t;

/* An agent of the model service "draft" (0) or the plain "register" (1).  */
typedef struct
{
  scene_t *scene;
  peer_hub_t *hub;
  char name[8];
  const char *service;
  uint64_t incarnation;
  uint64_t grants;
  bool silent; /* offers no slot by itself */

  /* What the router sent last.  */
  char *request;
  unsigned assigned;
  unsigned resumed;
  unsigned cancelled;
  unsigned acked;
  unsigned done; /* acknowledged as done */
  uint64_t resume_offset;
  bool resume_head;
  decline_reason_t declined; /* 0: none */
  uint32_t left;
} scene_agent_t;

struct scene
{
  struct ev_loop *loop;
  cfd_router_t *router;
  web_server_t *platform;
  web_request_t *watch;
  const char *zone_state;
  bool twins;
  uint64_t revision;
  scene_agent_t agents[SCENE_AGENTS];
};

typedef struct
{
  int fd;
  GString *text;
  bool closed;
} scene_call_t;

void scene_begin (scene_t *scene);
/* Both agents serve the model.  */
void scene_begin_twins (scene_t *scene);
void scene_end (scene_t *scene);
/* Runs the loop until HOLDS; fails the test when it does not in time.  */
void scene_run (scene_t *scene, bool (*holds) (void *user), void *user);
void scene_zone (scene_t *scene, const char *state);

void scene_stream (scene_t *scene, scene_call_t *call);
void scene_post (scene_t *scene, scene_call_t *call);
void scene_look_up (scene_t *scene, scene_call_t *call);
/* Runs the loop until the call is closed by the router or its text has PART.
 */
void scene_until (scene_t *scene, scene_call_t *call, const char *part);
/* Runs the loop until the router closes or ends the answer; true if whole.  */
bool scene_whole (scene_t *scene, scene_call_t *call);
void scene_call_end (scene_call_t *call);

/* Runs the loop until the agent was assigned COUNT requests; the id of the
   newest, to be freed.  */
char *scene_assigned (scene_agent_t *agent, unsigned count);
void scene_grant (scene_agent_t *agent, const char *account, double limit_vt);
void scene_head (scene_agent_t *agent, const char *request);
void scene_data (scene_agent_t *agent, const char *request, uint64_t offset,
                 const char *text);
void scene_finish (scene_agent_t *agent, const char *request,
                   outcome_t outcome, uint64_t length);
void scene_not_started (scene_agent_t *agent, const char *request);

#endif
