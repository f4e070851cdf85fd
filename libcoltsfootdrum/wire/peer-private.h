/* Shared by the files of the peer links.

   Events reach the owner only from callbacks of the loop, never from within
   peer_hub_send, _hold or _release; so an owner may call these while it walks
   its own tables.  A closed link stays in memory until the loop's next prepare
   step, because it may still be on the stack.  */

#ifndef WIRE_PEER_PRIVATE_H
#define WIRE_PEER_PRIVATE_H

#include "base/list.h"
#include "wire/peer.h"

#define PEER_KEY_SIZE 32u
#define PEER_MAC_SIZE 32u
/* A peer that did not prove itself yet may send no larger frame.  */
#define PEER_MAX_HELLO_BYTES 1024u
#define PEER_MAX_UNAUTHENTICATED 256u
#define PEER_TICK_INTERVAL_MS 100
/* A PING so long without its PONG condemns a link that is not silent: what
   we send gets lost, or waits behind far too much.  */
#define PEER_PONG_TIMEOUT_MS 10000
#define PEER_MIN_BACKOFF_MS 100
#define PEER_MAX_BACKOFF_MS 2000
/* A link that lived so long proves that dialling works again.  */
#define PEER_STABLE_LINK_MS 1000
/* A tick late by this much means that our own process was frozen.  */
#define PEER_FREEZE_THRESHOLD_MS 1000

typedef struct peer peer_t;
typedef struct peer_link peer_link_t;

typedef enum
{
  LINK_CONNECTING,
  LINK_AWAITING_HELLO, /* waits for the other side's HELLO */
  LINK_AWAITING_PROOF, /* waits for its PROOF */
  LINK_AUTHENTICATED,
  LINK_CLOSED
} link_state_t;

struct peer_link
{
  list_node_t node;        /* in the hub's links, or its dead */
  list_node_t peer_node;   /* in the peer's proved links, newest first */
  list_node_t flush_queue; /* in the hub's links with output to flush */
  peer_hub_t *hub;
  peer_t *peer; /* NULL for an accepted link until it is proved */
  link_state_t state;
  bool is_dialled;
  bool short_frames; /* once proved, both ways */
  int fd;
  ev_io readable;
  ev_io writable;
  GByteArray *in;
  GByteArray *out;
  size_t out_sent_bytes; /* bytes of OUT that are sent */
  msg_state_t in_state;  /* of frames after the proof ... */
  msg_state_t out_state; /* ... in each direction */
  cfd_time_t created_at;
  cfd_time_t authenticated_at;
  cfd_time_t silent_since; /* nothing was heard since, or not listened for */
  cfd_time_t last_sent;
  cfd_time_t last_ping;
  cfd_time_t
      unanswered_ping_since; /* of the oldest PING without a PONG, or 0 */
  peer_id_t id;              /* strings are owned by the link */
  uint8_t nonce[MSG_NONCE_SIZE];
  uint8_t peer_nonce[MSG_NONCE_SIZE];
  GBytes *hello;      /* our payload */
  GBytes *peer_hello; /* theirs */
};

struct peer
{
  char *instance;
  char *address; /* NULL when unknown */
  unsigned hold_count;
  list_node_t links;        /* proved, newest first */
  list_node_t notify_queue; /* in the hub's peers whose owner is to be told */
  peer_link_t *dialling_link;
  cfd_time_t next_dial;
  int backoff_ms;
  bool reported_up;
  bool lost_since_report; /* the link for sending was lost since the owner was
                             told */
  peer_id_t reported_id;  /* strings are owned by the peer */
};

struct peer_hub
{
  struct ev_loop *loop;
  role_t role;
  char *instance;
  char *zone;
  uint64_t incarnation;
  bool short_frames; /* false: as an older version, for tests */
  uint8_t key[PEER_KEY_SIZE];
  tl_ring_t *ring;
  hlc_t own_clock; /* used without a ring */
  hlc_t *clock;
  peer_events_t events;
  void *user;
  GHashTable *peers; /* instance to peer_t */
  list_node_t links;
  list_node_t closed_links;
  list_node_t flush_queue;
  list_node_t notify_queue;
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
void hub_notify_owner (peer_hub_t *hub);
void hub_queue_notification (peer_hub_t *hub, peer_t *peer);
void hub_dial (peer_hub_t *hub, peer_t *peer, cfd_time_t now);
/* The link by which PEER is sent to, or NULL.  */
peer_link_t *peer_get_newest_link (const peer_t *peer);
/* LINK was just proved: it becomes the newest of its peer.  */
void hub_add_authenticated_link (peer_hub_t *hub, peer_link_t *link,
                                 cfd_time_t now);

/* ---- peer-link.c: sockets, buffers, frames ---- */
peer_link_t *link_new (peer_hub_t *hub, int fd, peer_t *peer, bool is_dialled,
                       cfd_time_t now);
void link_free (peer_link_t *link);
/* Harmless when repeated.  WHY is told in the log.  */
void link_close (peer_link_t *link, const char *reason);
/* Queues MESSAGE with its stamp; false, with the link closed, when its output
   is full.  */
bool link_send (peer_link_t *link, msg_t *message);
void link_flush (peer_link_t *link);
/* Keeps the revision that MESSAGE, from the other side, was sent at.  */
void link_record_revision (peer_link_t *link, const msg_t *message);
size_t link_get_pending_bytes (const peer_link_t *link);

/* ---- peer-auth.c: who is the other side ---- */
void auth_derive_key (const char *secret, uint8_t key[PEER_KEY_SIZE]);
void auth_send_hello (peer_link_t *link);
/* Handles a frame of a link that is not proved yet.  False closes it.  */
bool auth_handle_frame (peer_link_t *link, const msg_t *message,
                        const uint8_t *payload, size_t length, cfd_time_t now);

/* ---- peer-watch.c: heartbeats, silence, idleness ---- */
void watch_check_links (peer_hub_t *hub, cfd_time_t now);
/* From now on LINK is listened to: what was silent before does not count.  */
void watch_reset (peer_link_t *link, cfd_time_t now);
void watch_record_pong (peer_link_t *link);

#endif
