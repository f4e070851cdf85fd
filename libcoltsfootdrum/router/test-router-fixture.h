/* Test fixture of a whole router in this process, with a stub of the platform,
   two fake agents and callers, all on one loop.  */

#ifndef ROUTER_TEST_ROUTER_FIXTURE_H
#define ROUTER_TEST_ROUTER_FIXTURE_H

#include "http/web.h"
#include "libcoltsfootdrum.h"
#include "wire/peer.h"

#define FAKE_AGENTS 2u

typedef struct fixture fixture_t;

/* Fake agent of the model service "draft" (0) or the plain service "register"
   (1).  */
typedef struct
{
  fixture_t *fixture;
  peer_hub_t *hub;
  char name[8];
  const char *service;
  uint64_t incarnation;
  uint64_t grants;
  bool withholds_grants; /* sends grants only on request of the test */

  /* From the router's messages.  */
  char *request;
  unsigned assigned;
  unsigned resumed;
  unsigned cancelled;
  unsigned acked;
  unsigned done; /* ACKs with "done" set */
  uint64_t resume_offset;
  bool resume_head;
  decline_reason_t declined; /* 0: none */
  uint32_t left;
} fake_agent_t;

struct fixture
{
  struct ev_loop *loop;
  cfd_router_t *router;
  web_server_t *platform;
  web_request_t *watch;
  const char *zone_state;
  bool same_service;
  uint64_t revision;
  fake_agent_t agents[FAKE_AGENTS];
};

typedef struct
{
  int fd;
  GString *text;
  bool closed;
} call_t;

void fixture_begin (fixture_t *fixture);
/* Both agents serve the model service.  Requests may wait REQUEST_S seconds.
 */
void fixture_begin_same_service (fixture_t *fixture, unsigned request_s);
void fixture_end (fixture_t *fixture);
/* Runs the loop until CONDITION holds; fails the test if it does not in
   time.  */
void fixture_run_until (fixture_t *fixture, bool (*condition) (void *user),
                        void *user);
void fixture_set_zone_state (fixture_t *fixture, const char *state);

void call_post_completion (fixture_t *fixture, call_t *call);
void call_post_register (fixture_t *fixture, call_t *call);
void call_get_register (fixture_t *fixture, call_t *call);
/* Runs the loop until the router closes the call or its text contains
   PART.  */
void call_read_until (fixture_t *fixture, call_t *call, const char *part);
/* Runs the loop until the router closes or ends the answer; returns true if it
   is whole.  */
bool call_read_answer (fixture_t *fixture, call_t *call);
void call_end (call_t *call);

/* Runs the loop until the agent was assigned COUNT requests; returns the id of
   the latest, to be freed.  */
char *agent_await_assignment (fake_agent_t *agent, unsigned count);
void agent_send_grant (fake_agent_t *agent, const char *account,
                       double limit_vt);
void agent_send_head (fake_agent_t *agent, const char *request);
/* The same with another status and header.  */
void agent_send_head_with (fake_agent_t *agent, const char *request,
                           unsigned status, const char *header);
void agent_send_data (fake_agent_t *agent, const char *request,
                      uint64_t offset, const char *text);
void agent_send_end (fake_agent_t *agent, const char *request,
                     outcome_t outcome, uint64_t length);
void agent_send_not_started (fake_agent_t *agent, const char *request);

#endif
