/* State that the files of the routers' datagrams share: pal.c (sockets, times,
   silence), pal-pack.c (what is told), pal-take.c (what is received),
   pal-update.c (changes of the platform's lists).  */

#ifndef RELAY_PAL_PRIVATE_H
#define RELAY_PAL_PRIVATE_H

#include "relay/pal.h"

/* First item of each datagram, so that stray ones and other versions' are
   passed over.  */
#define FORMAT 0xcfd8
/* The same of updates.  */
#define UPDATE_FORMAT 0xcfe1
/* Units of reading work and of memory in datagrams, in tokens: small numbers
   are short, and nothing is decided by less.  */
#define UNREAD_UNIT 10.
#define CONTEXT_UNIT 100.

typedef struct
{
  char *name;
  uint64_t incarnation;
  uint64_t number; /* of its newest datagram */
  cfd_time_t heard;
  int64_t steady_ms;
  int64_t seen[PAL_LIST_COUNT];
  int64_t ages[PAL_LIST_COUNT]; /* when it told them; -1: not known */
  cfd_time_t ages_told;
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
  ev_prepare teller; /* tells changes at the end of each turn of the loop */
  char *name;
  uint64_t incarnation;
  uint64_t number;
  GArray *addresses; /* addr_t */
  GPtrArray *listed; /* names of the other routers; NULL: not read yet */
  GHashTable *peers; /* name to pal_peer_t */
  edp_set_t *endpoints;
  use_t *use;
  pfx_t *pfx;
  ret_t *ret;
  lag_t *lag; /* not owned; may be NULL */
  int64_t steady_ms;
  int64_t seen[PAL_LIST_COUNT];
  int64_t ages[PAL_LIST_COUNT];
  cfd_time_t told_changes; /* when changes were sent */
  cfd_time_t told;         /* when all figures were sent */
  uint64_t prefixes_told;  /* number of the newest */
  uint64_t refusals_told;  /* the same of refusals */
  void (*on_update) (void *user, unsigned list, int64_t from, int64_t to,
                     const char *events); /* NULL: nobody asks */
  void *update_user;
};

/* pal-update.c: one update, and false when BYTES is none.  */
GByteArray *pal_pack_update (unsigned list, int64_t from, int64_t to,
                             const char *events);
bool pal_take_update (pal_t *pal, const void *bytes, size_t length);
/* pal.c: to all other routers.  */
void pal_send_all (const pal_t *pal, const void *bytes, size_t length);

/* pal-take.c: the sums of what the other routers have under way, of endpoints
   that were listed since the last call.  */
void pal_count_new (pal_t *pal);
/* Takes PEER's figures off these sums.  */
void pal_uncount (pal_t *pal, pal_peer_t *peer);

#endif
