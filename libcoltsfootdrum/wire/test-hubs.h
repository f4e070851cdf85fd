/* Several hubs on one event loop, for the tests of peer links.  "a" is a
   router, "b" an agent, and the role of "c" is chosen by the test.  */

#ifndef WIRE_TEST_HUBS_H
#define WIRE_TEST_HUBS_H

#include "wire/peer-private.h"

#define HUBS_SECRET "sixteen bytes or more"

typedef struct hubs_node hubs_node_t;

struct hubs_node
{
  peer_hub_t *hub;
  GString *event_log; /* "+PEER/INCARNATION ", "-PEER/... ", "KIND<PEER " */
  bool sends_ack;     /* answers a CANCEL by an ACK from inside the callback */
  /* If set, called instead of adding to EVENT_LOG; MESSAGE is NULL when the
     peer goes up or down.  */
  void (*event) (hubs_node_t *node, const msg_t *message);
  bool up; /* checked: up and down alternate, frames arrive only while up */
  unsigned session_count; /* number of times that the peer went up */
  uint64_t last_received; /* for the test's use */
  uint64_t last_sequence; /* for the test's use */
};

typedef struct hubs hubs_t;

struct hubs
{
  struct ev_loop *loop;
  ev_timer poll_timer;
  cfd_time_t deadline;
  bool (*condition) (hubs_t *hubs);
  char address_a[32];
  char address_b[32];
  char address_c[32];
  hubs_node_t a, b, c;
  int raw_fd; /* a socket without a hub, or -1 */
};

/* Starts "a", incarnation 1, and "b", incarnation 2, unconnected.  */
void hubs_start (hubs_t *hubs, const char *secret_of_b);
void hubs_end (hubs_t *hubs);

void hubs_node_start (hubs_t *hubs, hubs_node_t *node, role_t role,
                      const char *instance, const char *address,
                      uint64_t incarnation, const char *secret);
void hubs_node_stop (hubs_node_t *node);

/* Sets the address of "b" at "a", which holds a link to it.  */
void hubs_hold_b (hubs_t *hubs);

/* Runs the loop until CONDITION returns true; a hang fails the test.  */
void hubs_run_until (hubs_t *hubs, bool (*condition) (hubs_t *hubs));
bool hubs_are_both_up (hubs_t *hubs);

bool hubs_has_event (const hubs_node_t *node, const char *text);
peer_counters_t hubs_counters (const hubs_node_t *node);
peer_link_t *hubs_link (const hubs_node_t *node, const char *instance);

/* Writes log lines as messages to the test's output.  */
void hubs_log_to_test_output (void);

#endif
