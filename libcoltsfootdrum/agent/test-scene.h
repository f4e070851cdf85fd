/* The environment of a whole agent in tests: a router that sends frames, and a
   platform and an endpoint that give a few HTTP answers, all on one loop.  */

#ifndef AGENT_TEST_SCENE_H
#define AGENT_TEST_SCENE_H

#include "config/store.h"
#include "http/web.h"
#include "libcoltsfootdrum.h"
#include "wire/peer.h"

/* The answer of ENGINE_COMPLETE consists of these two.  */
#define SCENE_TOKEN "data: {\"choices\":[{\"text\":\"x\"}]}\n\n"
#define SCENE_END                                                             \
  "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":2,"                     \
  "\"completion_tokens\":3}}\n\ndata: [DONE]\n\n"

typedef enum
{
  ENGINE_COMPLETE,
  ENGINE_BREAKS,         /* the answer breaks off; the rest can be requested */
  ENGINE_BREAKS_FORGETS, /* the answer breaks off and is then unknown */
  ENGINE_HANGS,
  ENGINE_DEAD_CONNECTION, /* no answer to the request, but to all others */
  ENGINE_STOPPED,         /* answers nothing after its first request */
  ENGINE_LARGE_ANSWER,
  ENGINE_CUT_REPORT /* its load reports are cut short */
} engine_t;

typedef struct
{
  struct ev_loop *loop;
  web_server_t *platform;
  web_server_t *endpoint;
  cfd_agent_t *agent;
  peer_hub_t *router;
  ev_timer deadline;
  bool has_timed_out;

  engine_t engine;
  unsigned load_requests;
  unsigned starts;
  unsigned resumes;
  unsigned cancels;
  web_request_t *hanging;
  web_request_t *watch;
  bool platform_is_down;
  const char *zone_state;
  const char *endpoint_state;
  uint64_t endpoint_revision;
  uint64_t revision;
  uint64_t router_revision;

  /* Received by the router.  */
  bool is_router_up;
  unsigned grants;
  uint64_t last_grant;
  double limit_vt; /* of the last grant */
  uint64_t incarnation;
  unsigned refusals;
  unsigned heads;
  GString *body;
  bool is_acknowledging;
  unsigned ends;
  msg_end_t last_end;
} scene_t;

/* Runs the loop until CONDITION holds; fails after some seconds.  */
#define SCENE_RUN_UNTIL(scene, condition)                                     \
  do                                                                          \
    {                                                                         \
      ev_timer_again ((scene)->loop, &(scene)->deadline);                     \
      (scene)->has_timed_out = false;                                         \
      while (!(condition) && !(scene)->has_timed_out)                         \
        ev_run ((scene)->loop, EVRUN_ONCE);                                   \
      g_assert_true (condition);                                              \
    }                                                                         \
  while (0)

/* Creates an agent that is running, has its records and the router's link.  */
scene_t *scene_new (engine_t engine);
void scene_free (scene_t *scene);
/* Sets the state of the agent's zone at the platform, "in" or "out".  */
void scene_zone (scene_t *scene, const char *state);
/* Sets the state of the agent's endpoint there, "in" or "leaving".  */
void scene_endpoint (scene_t *scene, const char *state);
/* Makes the platform unreachable or reachable.  */
void scene_platform (scene_t *scene, bool is_down);
/* Connects another router to the agent.  It goes silent when LOOP is no longer
   run.  */
peer_hub_t *scene_add_router (scene_t *scene, struct ev_loop *loop,
                              const char *name);
/* Connects the router to the agent; free its previous hub first.  */
void scene_connect_router (scene_t *scene, uint64_t incarnation);
/* Announces COUNT waiting requests of the account "acct", with virtual time
   0.  */
void scene_announce (scene_t *scene, unsigned count);
/* Announces five of "acct" and five of "other", which has VIRTUAL_TIME.  */
void scene_announce_two_accounts (scene_t *scene, double virtual_time);
/* Declines GRANT as stale; the account's virtual time is now VIRTUAL_TIME.  */
void scene_decline (scene_t *scene, uint64_t grant, double virtual_time);
void scene_assign (scene_t *scene, const char *request, uint64_t grant,
                   uint64_t incarnation);
/* Announces one request and assigns it to the grant that follows.  */
void scene_run (scene_t *scene, const char *request);
void scene_acknowledge (scene_t *scene, const char *request, uint64_t offset,
                        bool done);
/* Runs the loop for MS milliseconds.  */
void scene_run_loop_ms (scene_t *scene, int ms);

#endif
