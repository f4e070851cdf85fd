/* Internals shared by the source files of the peer links.

   The owner's event handlers are called only from callbacks of the event loop,
   never from within peer_hub_send, _hold or _release, so that an owner may
   call these while it iterates over its own tables.  A closed link stays in
   memory until the next run of the loop's prepare watcher, because functions
   further up the stack may still use it.  */

#ifndef WIRE_PEER_PRIVATE_H
#define WIRE_PEER_PRIVATE_H

#include "base/list.h"
#include "wire/peer.h"

#define PEER_KEY_SIZE 32u
#define PEER_MAC_SIZE 32u
/* Largest frame that is accepted on a link before it is authenticated.  */
#define PEER_MAX_HELLO_BYTES 1024u
#define PEER_MAX_UNAUTHENTICATED 256u
#define PEER_TICK_INTERVAL_MS 100
/* A PING that is unanswered for this long closes the link, even if the other
   side sends: our frames get lost or wait too long.  */
#define PEER_PONG_TIMEOUT_MS 10000
#define PEER_MIN_BACKOFF_MS 100
#define PEER_MAX_BACKOFF_MS 2000
/* A link that was up for this long resets the backoff.  */
#define PEER_STABLE_LINK_MS 1000
/* A tick that is late by this much means that the own process was frozen.  */
#define PEER_FREEZE_THRESHOLD_MS 1000

typedef struct peer peer_t;
typedef struct peer_link peer_link_t;

typedef enum
{
  LINK_CONNECTING,
  LINK_AWAITING_HELLO,
  LINK_AWAITING_PROOF,
  LINK_AUTHENTICATED,
  LINK_CLOSED
} link_state_t;

struct peer_link
{
  list_node_t node;       /* in the hub's links or closed_links */
  list_node_t peer_node;  /* in the peer's links */
  list_node_t flush_node; /* in the hub's flush_queue */
  peer_hub_t *hub;
  peer_t *peer; /* NULL for an accepted link until it is authenticated */
  link_state_t state;
  bool is_dialled;
  bool short_frames; /* in both directions, once authenticated */
  int fd;
  ev_io readable;
  ev_io writable;
  GByteArray *in;
  GByteArray *out;
  size_t out_sent_bytes; /* bytes at the start of OUT that are sent */
  msg_state_t in_state;  /* of short frames */
  msg_state_t out_state;
  cfd_time_t created_at;
  cfd_time_t authenticated_at;
  cfd_time_t silent_since; /* last receipt, or start of supervision */
  cfd_time_t last_sent;
  cfd_time_t last_ping;
  cfd_time_t unanswered_ping_since; /* time of the oldest one, or 0 */
  peer_id_t id;                     /* strings are owned by the link */
  uint8_t nonce[MSG_NONCE_SIZE];
  uint8_t peer_nonce[MSG_NONCE_SIZE];
  GBytes *hello;      /* payload of our HELLO */
  GBytes *peer_hello; /* payload of the peer's HELLO */
};

struct peer
{
  char *instance;
  char *address; /* NULL when unknown */
  unsigned hold_count;
  list_node_t links;       /* authenticated, newest first */
  list_node_t notify_node; /* in the hub's notify_queue */
  peer_link_t *dialling_link;
  cfd_time_t next_dial;
  int backoff_ms;
  bool reported_up;       /* last event sent to the owner */
  bool lost_since_report; /* the newest link was lost after that event */
  peer_id_t reported_id;  /* strings are owned by the peer */
};

struct peer_hub
{
  struct ev_loop *loop;
  role_t role;
  char *instance;
  char *zone;
  uint64_t incarnation;
  bool short_frames; /* false in tests of an older version */
  uint8_t key[PEER_KEY_SIZE];
  tl_ring_t *ring;
  hlc_t own_clock; /* used if there is no ring */
  hlc_t *clock;
  peer_events_t events;
  void *user;
  GHashTable *peers; /* instance to peer_t */
  list_node_t links;
  list_node_t closed_links; /* to be freed */
  list_node_t flush_queue;  /* links with output to send */
  list_node_t notify_queue; /* peers with events for the owner */
  unsigned unauthenticated_links;
  int listen_fd;
  ev_io accept_watcher;
  bool is_accept_paused;
  ev_timer tick_timer;
  ev_prepare prepare_watcher;
  cfd_time_t last_tick;
  peer_counters_t counters;
  uint8_t read_buffer[64 * 1024];
};

/* ---- peer.c: the hub ---- */
peer_t *hub_get_or_add_peer (peer_hub_t *hub, const char *instance);
/* Calls the owner's event handlers for the peers in the notification queue. */
void hub_notify_owner (peer_hub_t *hub);
void hub_queue_notification (peer_hub_t *hub, peer_t *peer);
/* Dials PEER unless it has a link or its backoff has not elapsed.  */
void hub_dial (peer_hub_t *hub, peer_t *peer, cfd_time_t now);
/* Returns the link over which messages to PEER are sent, or NULL.  */
peer_link_t *peer_get_newest_link (const peer_t *peer);
/* Makes LINK, which was just authenticated, the newest link of its peer.  */
void hub_add_authenticated_link (peer_hub_t *hub, peer_link_t *link,
                                 cfd_time_t now);

/* ---- peer-link.c: sockets, buffers, frames ---- */
peer_link_t *link_new (peer_hub_t *hub, int fd, peer_t *peer, bool is_dialled,
                       cfd_time_t now);
void link_free (peer_link_t *link);
/* Closes LINK unless it is closed already.  REASON is logged.  */
void link_close (peer_link_t *link, const char *reason);
/* Stamps MESSAGE and adds it to the output.  Returns false if it can't be
   encoded, or if the output is full, which closes the link.  */
bool link_send (peer_link_t *link, msg_t *message);
void link_flush (peer_link_t *link);
/* Records the sender's configuration revision, as MESSAGE carries it.  */
void link_record_revision (peer_link_t *link, const msg_t *message);
size_t link_get_pending_bytes (const peer_link_t *link);

/* ---- peer-auth.c: authentication ---- */
void auth_derive_key (const char *secret, uint8_t key[PEER_KEY_SIZE]);
void auth_send_hello (peer_link_t *link);
/* Handles a frame of a link that is not authenticated yet.  Returns false if
   the link has to be closed.  */
bool auth_handle_frame (peer_link_t *link, const msg_t *message,
                        const uint8_t *payload, size_t length, cfd_time_t now);

/* ---- peer-watch.c: heartbeats, silence, idleness ---- */
void watch_check_links (peer_hub_t *hub, cfd_time_t now);
/* Starts the supervision of LINK anew: earlier silence no longer counts.  */
void watch_reset (peer_link_t *link, cfd_time_t now);
void watch_record_pong (peer_link_t *link);

#endif
