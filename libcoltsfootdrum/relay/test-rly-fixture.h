/* Test fixture: a relay between callers and scripted endpoints, all on one
   event loop.  */

#ifndef RELAY_TEST_RLY_FIXTURE_H
#define RELAY_TEST_RLY_FIXTURE_H

#include "relay/con.h"
#include "relay/rly.h"

#define FIXTURE_ENDPOINTS 2

/* A reply of the endpoints.  Replies are sent in order, by whichever endpoint
   gets the request.  In BYTES "%I" stands for the request's id.  */
typedef struct
{
  const char *bytes; /* NULL: no reply */
  enum
  {
    FIXTURE_KEEP_OPEN,
    FIXTURE_CLOSE,
    FIXTURE_RESET
  } then;
} fixture_reply_t;

typedef struct fixture fixture_t;

typedef struct
{
  fixture_t *fixture;
  struct ev_io listener;
  unsigned port;
  unsigned requests;
} fixture_server_t;

struct fixture
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
  fixture_server_t servers[FIXTURE_ENDPOINTS];
  const fixture_reply_t *replies;
  unsigned reply_count;        /* the last one is repeated */
  unsigned requests_received;  /* by all endpoints */
  unsigned closed_connections; /* as seen by endpoints */
  GString *last_request;       /* as its endpoint received it */
  GPtrArray *server_cons;      /* open connections at endpoints */
  bool timed_out;
};

typedef struct
{
  con_t *con;
  GString *text; /* received */
  bool ended;
} fixture_caller_t;

/* Each endpoint has SLOTS.  */
fixture_t *fixture_new (const fixture_reply_t *replies, unsigned count,
                        unsigned slots);
void fixture_free (fixture_t *fixture);
/* Lists the endpoints except the first HIDDEN ones, and when DEAD also an
   address without a listener.  */
void fixture_list_endpoints (fixture_t *fixture, unsigned hidden, bool dead,
                             unsigned slots);

fixture_caller_t *fixture_send_request (fixture_t *fixture, const char *bytes);
void fixture_caller_free (fixture_caller_t *caller);

/* Runs the loop until DONE returns true; fails after a time-out.  */
void fixture_run (fixture_t *fixture, bool (*done) (void *user), void *user);
/* Runs the loop until CALLER has received TEXT, or until its connection has
   ended.  With NULL, waits for the end alone.  */
void fixture_wait_for (fixture_t *fixture, fixture_caller_t *caller,
                       const char *text);

#endif
