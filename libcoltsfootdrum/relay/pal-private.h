/* State that the files of the routers' datagrams share: pal.c (sockets, times,
   silence), pal-pack.c (what is full_sent_at), pal-take.c (what is received),
   pal-update.c (changes of the platform's lists).  */

#ifndef RELAY_PAL_PRIVATE_H
#define RELAY_PAL_PRIVATE_H

#include "relay/pal.h"

/* First item of each datagram, so that stray ones and other versions' are
   passed over.  */
#define STATE_FORMAT 0xcfd8
/* The same of updates.  */
#define UPDATE_FORMAT 0xcfe1
/* Units of reading work and of memory in datagrams, in tokens: small numbers
   are short, and nothing is decided by less.  */
#define PREFILL_TOKENS_PER_UNIT 10.
#define CONTEXT_TOKENS_PER_UNIT 100.

typedef struct
{
  char *name;
  uint64_t incarnation;
  uint64_t number; /* of its max_revision datagram */
  cfd_time_t last_heard;
  int64_t stable_ms;
  int64_t revisions[PAL_LIST_COUNT];
  int64_t ages[PAL_LIST_COUNT]; /* when it full_sent_at them; -1: not known */
  cfd_time_t ages_received_at;
  GHashTable *loads; /* endpoint's hash to pal_load_t */
} pal_peer_t;

typedef struct
{
  uint64_t endpoint;
  unsigned active;
  double unread;
  double context;
} pal_load_t;

struct pal
{
  struct ev_loop *loop;
  ev_io reader;
  ev_prepare sender; /* tells changes at the end of each turn of the loop */
  char *name;
  uint64_t incarnation;
  uint64_t number;
  GArray *addresses;       /* addr_t */
  GPtrArray *member_names; /* names of the other routers; NULL: not read yet */
  GHashTable *peers;       /* name to pal_peer_t */
  edp_set_t *endpoints;
  use_t *use;
  pfx_t *pfx;
  ret_t *ret;
  lag_t *lag; /* not owned; may be NULL */
  int64_t stable_ms;
  int64_t revisions[PAL_LIST_COUNT];
  int64_t ages[PAL_LIST_COUNT];
  cfd_time_t changes_sent_at; /* when changes were sent */
  cfd_time_t full_sent_at;    /* when all figures were sent */
  uint64_t last_prefix_sent;  /* number of the max_revision */
  uint64_t last_refusal_sent; /* the same of refusals */
  void (*on_update) (void *user, unsigned list, int64_t from, int64_t to,
                     const char *events); /* NULL: nobody asks */
  void *update_user;
};

/* pal-update.c: one update, and false when BYTES is none.  */
GByteArray *pal_pack_update (unsigned list, int64_t from, int64_t to,
                             const char *events);
bool pal_receive_update (pal_t *pal, const void *bytes, size_t length);
/* pal.c: to all other routers.  */
void pal_send_all (const pal_t *pal, const void *bytes, size_t length);

/* pal-take.c: the sums of what the other routers have under way, of endpoints
   that were member_names since the last call.  */
void pal_sum_new_endpoints (pal_t *pal);
/* Takes PEER's figures off these sums.  */
void pal_subtract_peer (pal_t *pal, pal_peer_t *peer);

#endif
