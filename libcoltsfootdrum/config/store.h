/* The configuration in force at this process.  Fed by the platform's watch
   and by peers; never goes back to an older revision.  A record of an unknown
   schema is skipped with a logged reason while the last good one stays.

   Also the instances of the fleet from the platform's lagging list.  */

#ifndef CONFIG_STORE_H
#define CONFIG_STORE_H

#include "base/clock.h"
#include "config/rec.h"
#include "events/tl.h"
#include "platform/plat.h"
#include "wire/msg.h"
#include <ev.h>

typedef struct store store_t;

typedef struct
{
  role_t role;
  bool leaving;
  char *name;
  char *zone;
  char *address; /* IP:PORT of its peer links */
} store_instance_t;

typedef struct
{
  /* RECORD came into force; deleted ones come with DELETED set.  */
  void (*record) (void *user, const rec_t *record, cfd_time_t now);
  /* The list of instances changed.  */
  void (*instances) (void *user, cfd_time_t now);
  /* The revision in force rose.  */
  void (*advanced) (void *user);
} store_events_t;

store_t *store_new (tl_ring_t *ring, const store_events_t *events, void *user);
void store_free (store_t *store);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (store_t, store_free)

/* Tells which instance this process is, so that in a large fleet only a few
   processes watch the platform.  Without it the process always watches.  An
   agent keeps no client accounts: 18,000 would take a quarter of its memory.
   Its revision still counts changes of them, so that it can tell whether it is
   behind a peer.  */
void store_set_self (store_t *store, role_t role, const char *instance);
/* Whether to send a CONFIG_ASK to some peer now, because nothing was heard for
   a while or a peer is known to be ahead; to be asked each second.  False
   while the process watches.  */
bool store_should_ask_peer (const store_t *store, cfd_time_t now);
/* Whether the fleet is so large that most learn from peers alone.  */
bool store_is_fleet_large (const store_t *store);
/* A frame of a peer showed REVISION.  */
void store_record_peer_revision (store_t *store, uint64_t revision,
                                 cfd_time_t now);

/* Starts to list, watch and poll the instances from PLAT, for ever, with
   backoff and jitter.  */
void store_follow (store_t *store, struct ev_loop *loop, plat_t *plat);

uint64_t store_get_revision (const store_t *store);
/* Milliseconds since this process, or a peer it learned from, last heard the
   platform.  */
uint32_t store_get_age_ms (const store_t *store, cfd_time_t now);
/* Milliseconds for which a peer has been known to be ahead; 0: none is.  */
cfd_time_t store_get_behind_ms (const store_t *store, cfd_time_t now);
bool store_is_platform_up (const store_t *store);

const rec_t *store_get (const store_t *store, rec_kind_t kind,
                        const char *name);
/* Calls VISIT for each record of KIND that is not deleted.  */
void store_foreach (const store_t *store, rec_kind_t kind,
                    void (*visit) (void *user, const rec_t *record),
                    void *user);
/* The account whose key this is, or NULL.  Records stay valid until the next
   store_take_... or turn of the loop: keep names, not records.  */
const rec_t *store_find_account_by_key (const store_t *store, const char *key);
bool store_is_zone_out (const store_t *store, const char *zone);

/* Instances of ROLE, of store_instance_t, owned by the store.  */
GPtrArray *store_get_instances (const store_t *store, role_t role);

/* Takes what a platform list or watch, or a peer, gave.  */
void store_apply_objects (store_t *store, JsonObject *answer, cfd_time_t now);
/* True when it brought something, so that its sender may have more.  */
bool store_apply_part (store_t *store, const msg_config_part_t *part,
                       cfd_time_t now);
/* What to ask any peer for now; ASK is good until the next store_take_...  */
void store_make_ask (const store_t *store, msg_config_ask_t *ask);
/* The part for a peer of ROLE that sent ASK, with the kinds that it keeps;
   good as long as ASK, free with store_part_clear.  Empty, and no word of any
   age, when it keeps kinds that this process does not.  */
void store_make_part (const store_t *store, role_t role,
                      const msg_config_ask_t *ask, cfd_time_t now,
                      msg_config_part_t *part);
void store_part_clear (msg_config_part_t *part);

/* The rendezvous choice for KEY among the live routers for which USABLE (may
   be NULL) says true: every process that sees the same list picks the same.
   NULL when there is none.  */
const char *store_find_home_router (
    const store_t *store, const char *account, const char *service,
    bool (*usable) (void *user, const char *router), void *user);

#endif
