/* Authenticated links between the system's own processes.  A hub owns all
   links of one process: it listens, dials on demand by the address that
   membership told it, proves both sides by a keyed hash over fresh nonces,
   and hands whole messages to its owner.

   Routers dial agents and other routers; agents only accept.  Links that are
   held (by work in flight or announced) exchange heartbeats; a held link that
   stays silent for PEER_SILENCE_TIMEOUT_MS is closed and dialled anew, because
   a connection can go silent for good while new ones work.  Links nobody holds
   are closed after PEER_IDLE_TIMEOUT_MS.  */

#ifndef WIRE_PEER_H
#define WIRE_PEER_H

#include "base/clock.h"
#include "events/tl.h"
#include "wire/msg.h"
#include <ev.h>

#define PEER_HEARTBEAT_INTERVAL_MS 500
#define PEER_SILENCE_TIMEOUT_MS 2000
#define PEER_IDLE_TIMEOUT_MS 30000
/* A held link from which nothing was heard for so long is quiet: the PING sent
   after one heartbeat has had another one's time.  */
#define PEER_UNRESPONSIVE_MS 1000
#define PEER_MAX_OUTPUT_BYTES (32u * 1024 * 1024)

typedef struct peer_hub peer_hub_t;

/* What a process says of itself.  */
typedef struct
{
  role_t role;
  const char *instance;
  const char *zone;
  uint64_t incarnation;
  const char *listen; /* IP:PORT */
  const char *secret; /* shared by all processes of the fleet */
} peer_hub_options_t;

/* The proved other side of a link.  */
typedef struct
{
  role_t role;
  const char *instance;
  const char *zone;
  uint64_t incarnation;
  uint64_t revision; /* of configuration, the newest that it showed */
} peer_id_t;

typedef struct
{
  /* PEER is valid during the call only; MESSAGE too.  */
  void (*message) (void *user, const peer_id_t *peer, const msg_t *message,
                   cfd_time_t now);
  /* A PING or PONG came: nothing but the revision in PEER is news.  */
  void (*heartbeat) (void *user, const peer_id_t *peer, cfd_time_t now);
  /* The first proved link to this peer incarnation is there.  */
  void (*up) (void *user, const peer_id_t *peer, cfd_time_t now);
  /* The last link to this peer incarnation is gone.  */
  void (*down) (void *user, const peer_id_t *peer, cfd_time_t now);
  /* The revision to stamp on frames.  */
  uint64_t (*revision) (void *user);
} peer_events_t;

peer_hub_t *peer_hub_new (struct ev_loop *loop, const peer_hub_options_t *self,
                          tl_ring_t *ring, const peer_events_t *events,
                          void *user, GError **error);
void peer_hub_free (peer_hub_t *hub);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (peer_hub_t, peer_hub_free)

/* The address at which INSTANCE accepts links; "" forgets it.  */
void peer_hub_set_address (peer_hub_t *hub, const char *instance,
                           const char *address);

/* Sends over the newest proved link to INSTANCE.  Without one it starts to
   dial, if the address is known, and returns false: nothing was sent.  False
   also for a message that msg_encode refuses.  */
bool peer_hub_send (peer_hub_t *hub, const char *instance, msg_t *message);

/* Keeps a link to INSTANCE with heartbeats until released as often.  Dials
   again, with backoff and jitter, while held and down.  */
void peer_hub_hold (peer_hub_t *hub, const char *instance);
void peer_hub_release (peer_hub_t *hub, const char *instance);

bool peer_hub_is_up (const peer_hub_t *hub, const char *instance);
/* Whether the link is up, and its other side answers no PING by now: frozen or
   cut off, which PEER_SILENCE_TIMEOUT_MS will show for certain.  */
bool peer_hub_is_unresponsive (const peer_hub_t *hub, const char *instance,
                               cfd_time_t now);

/* Bytes that wait in the output of the link, for flow control.  */
size_t peer_hub_get_pending_bytes (const peer_hub_t *hub,
                                   const char *instance);

typedef struct
{
  uint64_t frames;
  uint64_t bytes;
} peer_traffic_t;

/* Counters for /metrics and measures, the traffic by kind of frame.  */
typedef struct
{
  peer_traffic_t in[MSG_KIND_COUNT];
  peer_traffic_t out[MSG_KIND_COUNT];
  uint64_t links_up, links_refused, frames_bad, silences;
} peer_counters_t;
void peer_hub_get_counters (const peer_hub_t *hub, peer_counters_t *counters);

/* Bytes of all control frames in TRAFFIC, by kind as above.  */
uint64_t peer_sum_control_bytes (const peer_traffic_t *traffic);

#endif
