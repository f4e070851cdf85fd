/* What a whole agent is tested between: a router made of frames, and a
   platform and an endpoint made of a few HTTP answers, all on one loop.  */

#ifndef AGENT_TEST_SCENE_H
#define AGENT_TEST_SCENE_H

#include "config/store.h"
#include "http/web.h"
#include "libcoltsfootdrum.h"
#include "wire/peer.h"

/* An answer of ENGINE_WHOLE is the two after each other.  */
#define SCENE_TOKEN "data: {\"choices\":[{\"text\":\"x\"}]}\n\n"
#define SCENE_LAST                                                            \
  "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":2,"                     \
  "\"completion_tokens\":3}}\n\ndata: [DONE]\n\n"

typedef enum
{
  ENGINE_WHOLE,
  ENGINE_BREAKS,         /* in the middle; the rest can be asked for */
  ENGINE_BREAKS_FORGETS, /* and is unknown afterwards */
  ENGINE_HANGS,
  ENGINE_MUTE,   /* says nothing on the request's connection, all elsewhere */
  ENGINE_FROZEN, /* answers nothing from its first request on */
  ENGINE_BIG
} engine_t;

typedef struct
{
  struct ev_loop *loop;
  web_server_t *platform;
  web_server_t *endpoint;
  cfd_agent_t *agent;
  peer_hub_t *router;
  ev_timer deadline;
  bool late;

  engine_t engine;
  bool load_asked;
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

  /* What the router heard.  */
  bool up;
  unsigned grants;
  uint64_t grant;
  double limit; /* of that grant */
  uint64_t incarnation;
  unsigned refusals;
  unsigned heads;
  GString *body;
  bool ack_data;
  unsigned ends;
  msg_end_t end;
} scene_t;

/* Runs the loop until CONDITION holds; fails after some seconds.  */
#define SCENE_UNTIL(scene, condition)                                         \
  do                                                                          \
    {                                                                         \
      ev_timer_again ((scene)->loop, &(scene)->deadline);                     \
      (scene)->late = false;                                                  \
      while (!(condition) && !(scene)->late)                                  \
        ev_run ((scene)->loop, EVRUN_ONCE);                                   \
      g_assert_true (condition);                                              \
    }                                                                         \
  while (0)

/* The agent runs, has its records and the router's link.  */
scene_t *scene_new (engine_t engine);
void scene_free (scene_t *scene);
/* Puts the agent's zone "in" or "out" at the platform.  */
void scene_zone (scene_t *scene, const char *state);
/* Puts the agent's endpoint "in" or "leaving" there.  */
void scene_endpoint (scene_t *scene, const char *state);
/* Takes the platform out of reach, or brings it back.  */
void scene_platform (scene_t *scene, bool down);
/* Links another router to the agent.  It goes silent when LOOP is no longer
   run.  */
peer_hub_t *scene_other_router (scene_t *scene, struct ev_loop *loop,
                                const char *name);
/* The router dials the agent; end the former hub first.  */
void scene_dial (scene_t *scene, uint64_t incarnation);
/* COUNT requests of the account "acct" wait, with virtual time 0.  */
void scene_announce (scene_t *scene, unsigned count);
/* Five, and as many of "other", with VIRTUAL_TIME.  */
void scene_announce_rivals (scene_t *scene, double virtual_time);
/* The router declines GRANT as stale; the account's virtual time is now
   VIRTUAL_TIME.  */
void scene_decline (scene_t *scene, uint64_t grant, double virtual_time);
void scene_assign (scene_t *scene, const char *request, uint64_t grant,
                   uint64_t incarnation);
/* Announces one request, and assigns it to the grant that comes.  */
void scene_run (scene_t *scene, const char *request);
void scene_acknowledge (scene_t *scene, const char *request, uint64_t offset,
                        bool done);
/* Lets the loop run for MS.  */
void scene_pass (scene_t *scene, int ms);

#endif
