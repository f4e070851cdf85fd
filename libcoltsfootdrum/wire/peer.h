/* Peer links: authenticated TCP connections between the processes of the
   fleet.  A hub owns all links of one process.  It accepts links, dials on
   demand the addresses that its owner sets, authenticates both sides by a
   keyed hash over fresh nonces, and passes complete messages to its owner.

   Routers dial agents and other routers; agents only accept.  Links that are
   held (because of running or announced work) exchange heartbeats.  A held
   link that stays silent for PEER_SILENCE_TIMEOUT_MS is closed and dialled
   again, because a connection can hang for good while new ones work.  Links
   that are not held are closed after PEER_IDLE_TIMEOUT_MS.  */

#ifndef WIRE_PEER_H
#define WIRE_PEER_H

#include "base/clock.h"
#include "events/tl.h"
#include "wire/msg.h"
#include <ev.h>

#define PEER_HEARTBEAT_INTERVAL_MS 500
#define PEER_SILENCE_TIMEOUT_MS 2000
#define PEER_IDLE_TIMEOUT_MS 30000
/* A held link that was silent for this long is unresponsive: the PING sent
   after one heartbeat interval went unanswered for another one.  */
#define PEER_UNRESPONSIVE_MS 1000
#define PEER_MAX_OUTPUT_BYTES (32u * 1024 * 1024)

typedef struct peer_hub peer_hub_t;

/* Identity and settings of the own process.  */
typedef struct
{
  role_t role;
  const char *instance;
  const char *zone;
  uint64_t incarnation;
  const char *listen; /* IP:PORT */
  const char *secret; /* shared by all processes of the fleet */
} peer_hub_options_t;

/* The authenticated other side of a link.  */
typedef struct
{
  role_t role;
  const char *instance;
  const char *zone;
  uint64_t incarnation;
  uint64_t revision; /* newest configuration revision in its frames */
} peer_id_t;

typedef struct
{
  /* A message arrived.  PEER and MESSAGE are valid only during the call.  */
  void (*message) (void *user, const peer_id_t *peer, const msg_t *message,
                   cfd_time_t now);
  /* A PING or PONG arrived; only the revision in PEER can be new.  */
  void (*heartbeat) (void *user, const peer_id_t *peer, cfd_time_t now);
  /* The first link to this incarnation of the peer is up.  */
  void (*up) (void *user, const peer_id_t *peer, cfd_time_t now);
  /* The link to this incarnation of the peer was lost, and frames with it.  */
  void (*down) (void *user, const peer_id_t *peer, cfd_time_t now);
  /* Returns the revision to put into frames.  */
  uint64_t (*revision) (void *user);
} peer_events_t;

peer_hub_t *peer_hub_new (struct ev_loop *loop,
                          const peer_hub_options_t *options, tl_ring_t *ring,
                          const peer_events_t *events, void *user,
                          GError **error);
void peer_hub_free (peer_hub_t *hub);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (peer_hub_t, peer_hub_free)

/* Sets the address where INSTANCE accepts links; "" clears it.  */
void peer_hub_set_address (peer_hub_t *hub, const char *instance,
                           const char *address);

/* Sends MESSAGE over the newest link to INSTANCE.  Without a link it dials, if
   the address is known, and returns false: nothing was sent.  Also returns
   false for a message that msg_encode rejects.  */
bool peer_hub_send (peer_hub_t *hub, const char *instance, msg_t *message);

/* Holds the link to INSTANCE until it has been released as often: heartbeats
   are exchanged, and a lost link is dialled again with backoff and jitter.  */
void peer_hub_hold (peer_hub_t *hub, const char *instance);
void peer_hub_release (peer_hub_t *hub, const char *instance);

bool peer_hub_is_up (const peer_hub_t *hub, const char *instance);
/* Returns whether the link is up but the other side does not answer a PING.
   It is frozen or disconnected, which is certain after
   PEER_SILENCE_TIMEOUT_MS.  */
bool peer_hub_is_unresponsive (const peer_hub_t *hub, const char *instance,
                               cfd_time_t now);

/* Returns the bytes in the link's output buffer, for flow control.  */
size_t peer_hub_get_pending_bytes (const peer_hub_t *hub,
                                   const char *instance);

typedef struct
{
  uint64_t frames;
  uint64_t bytes;
} peer_traffic_t;

/* Counters for /metrics and measurements; the traffic is by message kind.  */
typedef struct
{
  peer_traffic_t in[MSG_KIND_COUNT];
  peer_traffic_t out[MSG_KIND_COUNT];
  uint64_t links_up, links_refused, frames_bad, silences;
} peer_counters_t;
void peer_hub_get_counters (const peer_hub_t *hub, peer_counters_t *counters);

/* Returns the bytes of all control frames in TRAFFIC, an array by message
   kind.  */
uint64_t peer_sum_control_bytes (const peer_traffic_t *traffic);

#endif
