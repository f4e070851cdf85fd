/* Messages between the processes of the fleet, as a tagged union.

   On the wire a message is a frame: a length, then a msgpack array [kind,
   stamp, revision, fields...].  The fields of a kind are in the order of its
   struct below.  Decoding checks each type and length, and ignores extra
   trailing fields, so that a newer sender can add fields (but no names: see
   msg-fields.h).

   There are two kinds of frames.  A whole frame can be decoded by itself and
   follows a 32-bit big-endian length.  A short frame omits what the receiver
   knows from earlier frames of the link (msg-state.h) and follows a length
   that is a msgpack unsigned integer.  The frames that authenticate a link are
   whole, and all later ones short.  If one end doesn't support short frames,
   all are whole, so that a fleet can be upgraded one process at a time.  */

#ifndef WIRE_MSG_H
#define WIRE_MSG_H

#include "base/err.h"
#include "wire/msg-state.h"
#include <stdbool.h>
#include <stdint.h>

#define MSG_FRAME_MAX (9u * 1024 * 1024)
#define MSG_BODY_MAX (8u * 1024 * 1024)
#define MSG_DATA_MAX (64u * 1024)
#define MSG_ENTRIES_MAX 4096u
#define MSG_HEADERS_MAX 64u
#define MSG_NAME_MAX 255u
#define MSG_NONCE_SIZE 32u
#define MSG_PROTOCOL 1u

typedef enum
{
  MSG_HELLO = 1,
  MSG_PROOF,
  MSG_PING,
  MSG_PONG,
  MSG_ANNOUNCE,
  MSG_GRANT,
  MSG_ASSIGN,
  MSG_DECLINE,
  MSG_NOT_STARTED,
  MSG_HEAD,
  MSG_DATA,
  MSG_END,
  MSG_ACK,
  MSG_RESUME,
  MSG_CANCEL,
  MSG_REPORT,
  MSG_SHARE,
  MSG_CONFIG_ASK,
  MSG_CONFIG_PART,
  MSG_LOAD,
  MSG_KIND_COUNT
} msg_kind_t;

typedef enum
{
  ROLE_ROUTER = 1,
  ROLE_AGENT,
  ROLE_CTL
} role_t;

typedef struct
{
  const uint8_t *data;
  size_t length;
} msg_bytes_t;

/* First frame of both sides of a link.  INCARNATION is chosen at random when a
   process starts, so that a restarted peer at the old address counts as new.
   SHORT_FRAMES (optional) says that the sender supports short frames.  */
typedef struct
{
  uint32_t protocol;
  role_t role;
  const char *instance;
  const char *zone;
  uint64_t incarnation;
  msg_bytes_t nonce;
  bool short_frames;
} msg_hello_t;

/* Keyed hash over both nonces and the sender's HELLO.  */
typedef struct
{
  msg_bytes_t mac;
} msg_proof_t;

/* Requests of one account that wait at one router.  */
typedef struct
{
  const char *account;
  uint32_t count;      /* waiting requests; 0 withdraws the entry */
  uint32_t class_rank; /* lowest rank that waits; lower ranks go first */
  uint32_t oldest_ms;  /* age of the oldest waiting request */
  double virtual_time; /* weighted tokens served by the fleet */
} msg_waiting_t;

/* Router to agent: the router's waiting requests of a service.  Replaces the
   entries of the accounts listed; with FULL, all others of this router and
   service are withdrawn.  Expires LIFE_MS after its arrival.  */
typedef struct
{
  const char *service;
  bool full;
  uint32_t life_ms;
  uint32_t count;
  const msg_waiting_t *entries;
} msg_announce_t;

/* Agent to router: a free slot for one request of ACCOUNT.  LIMIT_VT is the
   virtual time of the agent's second choice; the router declines when the
   account's virtual time has passed it, because the agent's data was stale.
   FLOOR is the lowest virtual time announced to the agent.  */
typedef struct
{
  uint64_t grant;
  uint64_t incarnation;
  const char *service;
  const char *account;
  double limit_vt;
  double floor;
} msg_grant_t;

/* Router to agent: the request that takes the slot of a grant.  HEADERS are
   "Name: value".  GRANT is 0 under the baseline policy, where routers push
   requests.  LEFT tells which requests of the account still wait at the
   router.  */
typedef struct
{
  uint64_t grant;
  uint64_t incarnation;
  const char *request;
  const char *account;
  const char *service;
  const char *method;
  const char *path;
  uint32_t header_count;
  const char *const *headers;
  msg_bytes_t body;
  double cost_hint;
  bool idempotent;
  msg_waiting_t left;
} msg_assign_t;

typedef enum
{
  DECLINE_NO_WORK = 1, /* the request was placed elsewhere or has expired */
  DECLINE_STALE,       /* the virtual time has passed limit_vt */
  DECLINE_ZONE,        /* the agent's zone is out of service */
  DECLINE_DRAINING     /* the router is shutting down */
} decline_reason_t;

typedef struct
{
  uint64_t grant;
  decline_reason_t reason;
  const char *service;
  msg_waiting_t left;
} msg_decline_t;

/* Agent to router: the agent did not start the request and never will.  */
typedef struct
{
  const char *request;
  const char *reason;
} msg_not_started_t;

typedef struct
{
  const char *request;
  uint32_t status;
  uint32_t header_count;
  const char *const *headers;
} msg_head_t;

/* Agent to router: bytes of the response body at OFFSET.  TOKENS counts output
   tokens since the start of the response.  */
typedef struct
{
  const char *request;
  uint64_t offset;
  uint32_t tokens;
  msg_bytes_t bytes;
} msg_data_t;

typedef enum
{
  OUTCOME_COMPLETE = 1, /* the whole response of LENGTH bytes was sent */
  OUTCOME_BROKEN,    /* the response ended early; the request may have run */
  OUTCOME_UNREACHED, /* no connection to the endpoint; it did not run */
  OUTCOME_CANCELLED, /* cancelled by the router */
  OUTCOME_UNKNOWN    /* the agent has no such request */
} outcome_t;

typedef struct
{
  const char *request;
  outcome_t outcome;
  uint64_t length;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  const char *detail;
} msg_end_t;

/* Router to agent: body bytes up to OFFSET were sent to the client.  DONE
   acknowledges the END, after which the agent drops the request.  */
typedef struct
{
  const char *request;
  uint64_t offset;
  bool done;
} msg_ack_t;

/* Router to agent after a lost link: asks for the HEAD message if HEAD is set,
   the body from OFFSET, and the END once more.  */
typedef struct
{
  const char *request;
  uint64_t offset;
  bool head;
} msg_resume_t;

typedef struct
{
  const char *request;
} msg_cancel_t;

/* Router to the account's home router: total charge of this router's
   incarnation for one account and service, in weighted tokens.  ACKED and
   LAST_VT are the charge and virtual time of the newest SHARE received, from
   which a new home restores its state.  */
typedef struct
{
  const char *account;
  const char *service;
  uint64_t sequence;
  double charged;
  double acked;
  double last_vt;
  double floor;
  bool backlogged;
} msg_report_entry_t;

typedef struct
{
  uint32_t count;
  const msg_report_entry_t *entries;
} msg_report_t;

/* Home router to router: the account's fleet-wide virtual time, and the newest
   SEQUENCE and CHARGED of the receiver that it includes.  */
typedef struct
{
  const char *account;
  const char *service;
  uint64_t sequence;
  double charged;
  double virtual_time;
} msg_share_entry_t;

typedef struct
{
  uint32_t count;
  const msg_share_entry_t *entries;
} msg_share_t;

/* A position in a snapshot of the configuration, which is ordered by kind and
   name: that of the last object before it.  KIND is a rec_kind_t, or 0 for the
   start or the end.  */
typedef struct
{
  uint32_t kind;
  const char *name;
} msg_cursor_t;

/* Asks the receiver for the changes after revision HAVE.  If that takes a
   snapshot, a sender that supports PIECES gets it in pieces: the next one of
   the snapshot of revision STATE after AFTER, or the first one when STATE is
   0.  All fields but HAVE are optional.  */
typedef struct
{
  uint64_t have;
  bool pieces;
  uint64_t state;
  msg_cursor_t after;
} msg_config_ask_t;

/* Records that changed in (FROM, UP_TO], as JSON texts.  Each text is a
   platform object or an array of objects, so that 18,000 records fit into one
   frame.  With FROM 0 it is a snapshot of the whole configuration.  AGE_MS is
   the time since the sender, or the peer that its configuration came from,
   last got an answer from the platform.

   If STATE isn't 0, this is a piece of the snapshot of that revision: the
   records after AFTER up to NEXT.  STATE and the fields after it are optional.
   The FROM of a piece is higher than any revision, so that a program without
   support for pieces ignores it; taken for a whole snapshot, it would delete
   all records that it lacks.  */
typedef struct
{
  uint64_t from;
  uint64_t up_to;
  uint32_t age_ms;
  uint32_t count;
  const char *const *records;
  uint64_t state;
  msg_cursor_t after;
  msg_cursor_t next;
} msg_config_part_t;

#define MSG_FROM_SNAPSHOT_PIECE UINT64_MAX

/* Agent to routers under the baseline policy, every 100 ms.  */
typedef struct
{
  const char *service;
  uint32_t busy;
  uint32_t slots;
  uint32_t queued;
} msg_load_t;

typedef struct
{
  msg_kind_t kind;
  uint64_t stamp;    /* hybrid logical clock of the sender */
  uint64_t revision; /* newest configuration revision of the sender */
  union
  {
    msg_hello_t hello;
    msg_proof_t proof;
    msg_announce_t announce;
    msg_grant_t grant;
    msg_assign_t assign;
    msg_decline_t decline;
    msg_not_started_t not_started;
    msg_head_t head;
    msg_data_t data;
    msg_end_t end;
    msg_ack_t ack;
    msg_resume_t resume;
    msg_cancel_t cancel;
    msg_report_t report;
    msg_share_t share;
    msg_config_ask_t config_ask;
    msg_config_part_t config_part;
    msg_load_t load;
  } u;
  void *arena; /* memory of a decoded message; NULL for one made locally */
} msg_t;

/* Returns the frame of MESSAGE with its length: a short one if STATE, the
   link's state at the sender, is given, or a whole one if it is NULL.  A NULL
   string is sent as the empty string.  Returns NULL if a field exceeds its
   limit or a number that must be finite is not, because the receiver would
   close the link, which other requests use as well.  STATE then stays usable,
   as if the message had not been encoded.  */
GByteArray *msg_encode (const msg_t *message, msg_state_t *state);

typedef enum
{
  MSG_LENGTH_COMPLETE,   /* LENGTH and PREFIX are set */
  MSG_LENGTH_INCOMPLETE, /* more bytes are needed */
  MSG_LENGTH_INVALID
} msg_length_t;

/* Parses the length before a frame from the AVAILABLE bytes; IS_SHORT tells
   the kind of frame.  PREFIX is set to the size of the length itself.  */
msg_length_t msg_parse_length (const uint8_t *bytes, size_t available,
                               bool is_short, uint32_t *length,
                               size_t *prefix);

/* Decodes the payload of one frame, without its length: a short one if STATE,
   the link's state at the receiver, is given, or a whole one if it is NULL.
   Strings are copied and never NULL; byte fields point into PAYLOAD, which
   must outlive the message.  Returns NULL and sets CFD_ERROR_FRAME if the
   frame is malformed; STATE is invalid then, and the link has to be closed. */
msg_t *msg_decode (const uint8_t *payload, size_t length, msg_state_t *state,
                   GError **error);
void msg_free (msg_t *message);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (msg_t, msg_free)

const char *msg_kind_name (msg_kind_t kind);

/* Returns whether KIND carries no part of a request or response.  */
bool msg_is_control (msg_kind_t kind);

#endif
