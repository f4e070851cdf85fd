/* Configuration store: the configuration in force in this process.  It is
   updated by the platform's watch and by peers, and never goes back to an
   older revision.  A record of an unknown schema version is skipped with a log
   line, and the last valid one stays in force.

   The store also keeps the platform's list of the fleet's instances, which may
   lag behind.  */

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
  char *address; /* IP:PORT where it accepts peer links */
} store_instance_t;

typedef struct
{
  /* RECORD came into force; a deletion is a record with DELETED set.  */
  void (*record) (void *user, const rec_t *record, cfd_time_t now);
  /* The list of instances changed.  */
  void (*instances) (void *user, cfd_time_t now);
  /* The revision in force rose.  */
  void (*revision_advanced) (void *user);
} store_events_t;

store_t *store_new (tl_ring_t *ring, const store_events_t *events, void *user);
void store_free (store_t *store);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (store_t, store_free)

/* Sets which instance this process is, so that in a large fleet only a few
   processes watch the platform.  If it is not set, the process always watches.
   An agent keeps no client accounts, because 18,000 would take a quarter of
   its memory.  Its revision still advances with their changes, so that it can
   tell whether it is behind a peer.  */
void store_set_self (store_t *store, role_t role, const char *instance);
/* Returns whether to send a CONFIG_ASK to a peer now, because no update came
   for a while or a peer is known to have a newer revision.  Call it every
   second.  False while the process watches the platform.  */
bool store_should_ask_peer (const store_t *store, cfd_time_t now);
/* Returns whether the fleet is so large that most processes get changes only
   from peers.  */
bool store_is_fleet_large (const store_t *store);
/* Records that a peer has REVISION, as a frame of it showed.  */
void store_record_peer_revision (store_t *store, uint64_t revision,
                                 cfd_time_t now);

/* Starts to list and watch the configuration and to poll the instances of
   PLAT, until the store is freed.  Failed calls are retried with backoff and
   jitter.  */
void store_follow (store_t *store, struct ev_loop *loop, plat_t *plat);

uint64_t store_get_revision (const store_t *store);
/* Returns the milliseconds since this process, or the peer that its
   configuration came from, last got an answer from the platform.  */
uint32_t store_get_age_ms (const store_t *store, cfd_time_t now);
/* Returns the milliseconds for which a peer has been known to have a newer
   revision, or 0 when none has.  */
cfd_time_t store_get_behind_ms (const store_t *store, cfd_time_t now);
bool store_is_platform_up (const store_t *store);

const rec_t *store_get (const store_t *store, rec_kind_t kind,
                        const char *name);
/* Calls VISIT for each record of KIND that is not deleted.  */
void store_foreach (const store_t *store, rec_kind_t kind,
                    void (*visit) (void *user, const rec_t *record),
                    void *user);
/* Returns the account that has KEY, or NULL.  A record is valid until the next
   call of a store_apply function or iteration of the event loop; callers keep
   names, not records.  */
const rec_t *store_find_account_by_key (const store_t *store, const char *key);
bool store_is_zone_out (const store_t *store, const char *zone);

/* Returns the instances of ROLE, as store_instance_t; owned by the store.  */
GPtrArray *store_get_instances (const store_t *store, role_t role);

/* Applies the answer to a list or watch of the platform.  */
void store_apply_objects (store_t *store, JsonObject *answer, cfd_time_t now);
/* Applies a part that a peer sent.  Returns true if the part brought anything
   new, in which case its sender may have more.  */
bool store_apply_part (store_t *store, const msg_config_part_t *part,
                       cfd_time_t now);
/* Fills in the CONFIG_ASK to send to a peer.  ASK is valid until the next call
   of a store_apply function.  */
void store_make_ask (const store_t *store, msg_config_ask_t *ask);
/* Fills in the answer to ASK for a peer of ROLE, with the kinds of records
   that such a peer keeps.  PART is valid as long as ASK; free it with
   store_part_clear.  It is empty and has no age when the peer keeps kinds that
   this process does not.  */
void store_make_part (const store_t *store, role_t role,
                      const msg_config_ask_t *ask, cfd_time_t now,
                      msg_config_part_t *part);
void store_part_clear (msg_config_part_t *part);

/* Returns the home router of ACCOUNT and SERVICE, or NULL when there is none.
   It is chosen by rendezvous hashing among the routers that aren't leaving and
   for which USABLE (may be NULL) returns true, so that every process with the
   same list chooses the same router.  */
const char *store_find_home_router (
    const store_t *store, const char *account, const char *service,
    bool (*is_usable) (void *user, const char *router), void *user);

#endif
