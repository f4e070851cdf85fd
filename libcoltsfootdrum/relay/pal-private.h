/* Definitions shared by the files of this module: pal.c (socket, timing,
   timeout of peers), pal-inbox.c (datagrams that wait), pal-pack.c (encoding
   of the state), pal-receive.c (decoding and applying it), pal-update.c
   (changes of the platform's lists).  */

#ifndef RELAY_PAL_PRIVATE_H
#define RELAY_PAL_PRIVATE_H

#include "relay/pal.h"
#include "wire/msg-tree.h"
#include <msgpack/zone.h>

/* First item of each state datagram, by which foreign datagrams and those of
   other versions are recognized and ignored.  */
#define STATE_FORMAT 0xcfdb
/* First item of each update datagram.  */
#define UPDATE_FORMAT 0xcfe1
/* Units of pending_prefill and of context_tokens in datagrams.  Small numbers
   take fewer bytes in msgpack, and no decision depends on finer values.  */
#define PREFILL_TOKENS_PER_UNIT 10.
#define CONTEXT_TOKENS_PER_UNIT 100.

/* Limits of what is read from one datagram: its nodes, and the rows of each
   list.  A datagram holds fewer of each row that this router sends.  */
#define MAX_NODES 65536u
#define MAX_LOAD_ROWS 8192u
#define MAX_USAGE_ROWS 8192u
#define MAX_PREFIX_ROWS 16384u
#define MAX_REFUSAL_ROWS 8192u
#define MAX_EVIDENCE_ROWS 4096u
#define MAX_STREAM_ROWS 4096u
#define MAX_STORED_ROWS 4096u
#define MAX_RETIRED_ROWS 256u
#define MAX_COLD_ROWS 1024u
#define MAX_QUARANTINE_ROWS 4096u
#define MAX_PART_ROWS 4096u
#define MAX_SPEED_ROWS 4096u
/* Largest sum of a speed that is accepted.  */
#define MAX_SPEED_MS UINT64_C (1000000)

/* Items of a state datagram.  The ones from SPEEDS_ITEM on may be missing:
   routers of an earlier version don't send them.  */
#define REQUIRED_ITEMS 17
#define SPEEDS_ITEM 17   /* endpoint, observed and expected milliseconds */
#define CAPACITY_ITEM 18 /* processor share, busy share, readiness */
#define STORE_ITEM 19    /* whether writes to the platform's store fail */
#define STORED_ITEM 20   /* streams whose record was stored */
#define AWAITED_ITEM 21  /* key and origin of streams to be stored */
#define STATE_ITEMS 22

typedef struct
{
  char *name;
  uint64_t incarnation;
  uint64_t number; /* sequence number of its newest datagram */
  cfd_time_t last_received_at;
  int64_t stable_ms;
  int64_t revisions[PAL_LIST_COUNT];
  int64_t ages[PAL_LIST_COUNT]; /* at ages_received_at; -1: not known */
  cfd_time_t ages_received_at;
  /* Whether it precedes this router as a reader of each list.  */
  bool precedes[PAL_LIST_COUNT];
  bool sends_summaries; /* its cell is another one */
  bool fails_writes;    /* to the platform's store */
  unsigned share;       /* of a processor, in thousandths; 0: not known */
  GHashTable *loads;    /* hash of the endpoint to pal_load_t */
  GHashTable *speeds;   /* hash of the endpoint to pal_speed_t */
} pal_peer_t;

/* Speed of one endpoint, as one peer measured it.  */
typedef struct
{
  uint64_t endpoint;
  spd_sums_t sums; /* at received_at */
  cfd_time_t received_at;
} pal_speed_t;

/* Load that one peer puts on one endpoint.  */
typedef struct
{
  uint64_t endpoint;
  unsigned active;        /* requests */
  double pending_prefill; /* prompt tokens whose prefill is pending */
  double context_tokens;  /* tokens */
  uint64_t datagram;      /* sequence number of the last one that had it */
} pal_load_t;

typedef struct
{
  guint offset; /* in the inbox's bytes */
  guint length;
  bool is_update;
} pal_inbox_item_t;

/* Datagrams that were read and wait to be decoded.  */
typedef struct
{
  GByteArray *bytes;
  GArray *items; /* pal_inbox_item_t, in the order of arrival */
} pal_inbox_t;

struct pal
{
  struct ev_loop *loop;
  ev_io reader;
  ev_prepare sender; /* sends changes at the end of each loop iteration */
  char *name;
  uint64_t incarnation;
  uint64_t number;            /* sequence number of the last datagram sent */
  GArray *near_addresses;     /* addr_t, of the other routers of the cell */
  GArray *far_addresses;      /* addr_t, of all others */
  GPtrArray *member_names;    /* of the other routers; NULL: not known */
  GPtrArray *near_names;      /* of those of the cell; NULL: not known */
  bool is_reader;             /* see pal_set_reader */
  bool fails_writes;          /* see pal_set_fails_writes */
  GHashTable *peers;          /* name to pal_peer_t */
  GHashTable *by_incarnation; /* incarnation to pal_peer_t */
  edp_set_t *endpoints;
  use_t *use;
  pfx_t *pfx;
  ret_t *ret;
  rol_t *rol; /* not owned; may be NULL */
  org_t *org; /* not owned; may be NULL */
  qua_t *qua; /* not owned; may be NULL */
  prt_t *prt; /* not owned; may be NULL */
  bal_t *bal; /* not owned; may be NULL */
  lag_t *lag; /* not owned; may be NULL */
  int64_t stable_ms;
  int64_t revisions[PAL_LIST_COUNT];
  int64_t ages[PAL_LIST_COUNT];
  cfd_time_t started_at; /* of the first tick; CFD_TIME_NEVER until then */
  cfd_time_t changes_sent_at;
  cfd_time_t full_sent_at;
  cfd_time_t summary_sent_at;
  cfd_time_t silence_checked_at;
  cfd_time_t usage_sent_at;
  cfd_time_t speeds_sent_at;
  cfd_time_t speeds_summed_at;
  cfd_time_t usage_refreshed_at; /* the usage of all accounts was sent */
  char *read_buffer;             /* of several datagrams */
  msgpack_zone *arena; /* of the nodes of the datagram being decoded */
  pal_inbox_t inbox;
  uint64_t invalid_datagrams;      /* received */
  uint64_t dropped_datagrams;      /* not decoded, for lack of time */
  uint64_t last_prefix_sent;       /* pfx_update_t.number */
  uint64_t last_refusal_sent;      /* ret_update_t.number */
  uint64_t last_stream_sent;       /* org_update_t.number */
  uint64_t last_stream_summarized; /* the same, to other cells */
  uint64_t last_stored_sent;       /* org_stored_t.number */
  uint64_t last_end_sent;          /* number of qua_collect */
  uint64_t last_end_summarized;    /* the same, to other cells */
  uint64_t last_part_sent;         /* number of prt_collect */
  uint64_t last_part_summarized;   /* the same, to other cells */
  void (*on_update) (void *user, unsigned list, int64_t from, int64_t to,
                     const char *events); /* may be NULL */
  void *update_user;
};

G_DEFINE_AUTOPTR_CLEANUP_FUNC (msgpack_zone, msgpack_zone_free)
/* pal-receive.c: returns an arena for the nodes of one datagram.  */
msgpack_zone *pal_arena_new (void);

/* pal-update.c: encode and apply one update.  pal_receive_update returns false
   when BYTES is not a valid update.  */
GByteArray *pal_pack_update (unsigned list, int64_t from, int64_t to,
                             const char *events);
bool pal_receive_update (pal_t *pal, const void *bytes, size_t length);
/* pal-inbox.c */
void pal_inbox_init (pal_inbox_t *inbox);
void pal_inbox_clear (pal_inbox_t *inbox);
void pal_inbox_add (pal_inbox_t *inbox, const void *bytes, size_t length);
void pal_inbox_empty (pal_inbox_t *inbox);
/* Returns the indices of the items in the order in which they are to be
   decoded: updates first, whose loss would cost a call to the store.  */
GArray *pal_inbox_order (const pal_inbox_t *inbox);

/* pal.c: decodes the inbox and empties it.  From DEADLINE_US on, the rest is
   dropped; GET_TIME_US returns the present time.  */
void pal_decode_inbox (pal_t *pal, cfd_time_t now, int64_t deadline_us,
                       int64_t (*get_time_us) (void));
/* pal.c: applies a datagram of any kind; counts and logs an invalid one.  */
void pal_receive_any (pal_t *pal, cfd_time_t now, const void *bytes,
                      size_t length);
/* pal.c: sends a datagram to all other routers.  */
void pal_send_all (const pal_t *pal, const void *bytes, size_t length);

/* pal-speeds.c: reads the speeds that PEER sent.  ROWS are valid.  */
void pal_receive_speeds (pal_peer_t *peer, cfd_time_t now,
                         const msg_node_t *rows);
/* Computes the peers' speeds of all endpoints at intervals, and discards those
   that were not sent again.  */
void pal_sum_speeds (pal_t *pal, cfd_time_t now);

/* pal-receive.c: computes the peers' total load of each endpoint that was
   added since the last call.  */
void pal_sum_new_endpoints (pal_t *pal);
/* Discards what is known of PEER by its incarnation.  */
void pal_forget_incarnation (pal_t *pal, pal_peer_t *peer);
/* Subtracts PEER's load from these totals and discards it.  */
void pal_subtract_peer (pal_t *pal, pal_peer_t *peer);

#endif
