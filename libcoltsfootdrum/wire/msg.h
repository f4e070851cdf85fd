/* Messages between the system's own processes, as one tagged union.

   On the wire a message is a frame: a length, then one msgpack array [kind,
   stamp, revision, fields...].  The fields of a kind are in the order of its
   struct here.  Decoding checks each type and length, and ignores extra
   trailing fields, so that a newer sender can add some (but no names: see
   msg-fields.h).

   The proof of a link has whole frames, which stand alone, behind a 32-bit
   big-endian length.  All later frames are short ones, which say only what
   the other end can't know from former frames (msg-state.h), behind a length
   that is a msgpack unsigned integer; but whole ones when one end doesn't
   know the short, so that a fleet can be upgraded one process at a time.  */

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

/* First frame of both sides of a link.  INCARNATION is random for each start
   of a process: a restarted peer on the old address is another peer.  */
typedef struct
{
  uint32_t protocol;
  role_t role;
  const char *instance;
  const char *zone;
  uint64_t incarnation;
  msg_bytes_t nonce;
  bool short_frames; /* known here; late */
} msg_hello_t;

/* Keyed hash over both nonces and the sender's hello.  */
typedef struct
{
  msg_bytes_t mac;
} msg_proof_t;

/* Work that waits for one account at one router.  */
typedef struct
{
  const char *account;
  uint32_t count;      /* waiting requests; 0 withdraws the entry */
  uint32_t class_rank; /* best class that waits; lower goes first */
  uint32_t oldest_ms;  /* age of the oldest that waits */
  double virtual_time; /* weighted tokens served in the fleet */
} msg_waiting_t;

/* Router to agent.  Replaces the entries named; when FULL, all others of this
   router and service are withdrawn.  Lives LIFE_MS from its arrival.  */
typedef struct
{
  const char *service;
  bool full;
  uint32_t life_ms;
  uint32_t count;
  const msg_waiting_t *entries;
} msg_announce_t;

/* Agent to router: a free slot for one request of ACCOUNT.  The router
   declines when the account's virtual time has passed LIMIT_VT, the second
   best choice of the agent: its knowledge was stale.  FLOOR is the least
   virtual time announced to the agent.  */
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
   "Name: value".  GRANT is 0 under the baseline policy, which pushes.  After
   the request come the router's remaining work for the account.  */
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
  DECLINE_NO_WORK = 1, /* placed elsewhere meanwhile, or expired */
  DECLINE_STALE,       /* the virtual time has passed limit_vt */
  DECLINE_ZONE,        /* the router knows the agent's zone as out */
  DECLINE_DRAINING     /* the router is going away */
} decline_reason_t;

typedef struct
{
  uint64_t grant;
  decline_reason_t reason;
  const char *service;
  msg_waiting_t left;
} msg_decline_t;

/* Agent's word that it did not start the request and never will.  */
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

/* A piece of the answer's body from OFFSET.  TOKENS counts output tokens
   since the start of the answer.  */
typedef struct
{
  const char *request;
  uint64_t offset;
  uint32_t tokens;
  msg_bytes_t bytes;
} msg_data_t;

typedef enum
{
  OUTCOME_COMPLETE = 1, /* the whole answer of LENGTH bytes was sent */
  OUTCOME_BROKEN,       /* the endpoint broke off; the request may have run */
  OUTCOME_UNREACHED,    /* the endpoint was never reached; not run */
  OUTCOME_CANCELLED,    /* the router asked for it */
  OUTCOME_UNKNOWN       /* the agent knows no such request */
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

/* Router to agent: body bytes up to OFFSET have left for the caller, and with
   DONE the end was seen: the agent forgets the request.  */
typedef struct
{
  const char *request;
  uint64_t offset;
  bool done;
} msg_ack_t;

/* After a lost link: send again the head, if HEAD is set, the body from
   OFFSET and the end.  */
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

/* Router to the account's home router: absolute service of this router's
   incarnation for one account and service, in weighted tokens.  ACKED and
   LAST_VT are the charge and virtual time of the newest share heard, by which
   a new home is rebuilt.  */
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

/* Home to router: the account's fleet-wide virtual time, with the newest
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

/* A place in a whole state, in the order of kind and name: that of the last
   object before it.  KIND is a rec_kind_t; 0 is the start, and the end.  */
typedef struct
{
  uint32_t kind;
  const char *name;
} msg_cursor_t;

/* The receiver sends what changed after revision HAVE.  When that takes a
   whole state, a sender that knows PIECES gets it so: those of revision STATE
   after AFTER, or from the start when STATE is 0.  All but HAVE is late.  */
typedef struct
{
  uint64_t have;
  bool pieces;
  uint64_t state;
  msg_cursor_t after;
} msg_config_ask_t;

/* Records changed in (FROM, UP_TO], as JSON texts: each a platform object or
   an array of them, so that 18,000 fit into one frame; FROM 0 is the whole
   configuration.  AGE_MS tells how long ago the sender or those it learned
   from heard the platform.

   Where STATE isn't 0 (all from there on is late), this is a piece of the
   whole state of that revision: the records after AFTER, up to NEXT.  Its FROM
   is beyond every revision, so that a program that doesn't know pieces leaves
   it alone: taken for the whole, it would delete all that it lacks.  */
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

/* Agent to routers under the baseline policy, each 100 ms.  */
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

/* The frame of MESSAGE with its length: a short one with STATE, the sender's
   of the link, or a whole one with NULL.  A NULL string is sent as the empty
   string.  NULL when a field is over its limit, or a number that must be
   finite is not: the receiver would close the link, and with it end the work
   of others.  STATE is then as if the message had never been.  */
GByteArray *msg_encode (const msg_t *message, msg_state_t *state);

typedef enum
{
  MSG_LENGTH_COMPLETE,   /* LENGTH and PREFIX are set */
  MSG_LENGTH_INCOMPLETE, /* more bytes are needed */
  MSG_LENGTH_INVALID
} msg_length_t;

/* Reads the length before a frame, a short one if so, from the HAVE bytes.
   PREFIX is how many bytes the length itself takes.  */
msg_length_t msg_parse_length (const uint8_t *bytes, size_t have,
                               bool is_short, uint32_t *length,
                               size_t *prefix);

/* Decodes the payload of one frame (without its length): a short one with
   STATE, the receiver's of the link, or a whole one with NULL.  Strings are
   copied and never NULL; byte fields point into PAYLOAD, which must outlive
   the message.  NULL with CFD_ERROR_FRAME when malformed: STATE is of no use
   then, and the link has to end.  */
msg_t *msg_decode (const uint8_t *payload, size_t length, msg_state_t *state,
                   GError **error);
void msg_free (msg_t *message);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (msg_t, msg_free)

const char *msg_kind_name (msg_kind_t kind);

/* All kinds but those that carry requests and answers.  */
bool msg_is_control (msg_kind_t kind);

#endif
