/* The platform's object API behind one small interface; docs/OBJECT-API.md has
   the contract.  Objects are JSON of at most 1 MiB:

     {"kind", "name", "version": opaque string, "revision": integer,
      "spec": {...}}

   VERSION serves conditional updates of one object.  REVISION grows with each
   write in the whole store and orders states: an object carries that of its
   last write, lists and watches that of the store.

     GET    /v1/objects/KIND/NAME                  200 object | 404
     GET    /v1/objects?revision_least=N&kinds=K,..  200 {revision, objects}
            with &limit=M&after=CURSOR a page, in one order; "next" in the
            answer is the next page's CURSOR, absent on the last
     PUT    /v1/objects/KIND/NAME                  200 object | 409
            If-Match: VERSION, or If-None-Match: * to create
     DELETE /v1/objects/KIND/NAME  If-Match        200 | 404 | 409
     GET    /v1/watch?after=REVISION&wait_ms=N&kinds=K,..
                                                   200 {revision, objects}
            objects changed after REVISION, removed ones with "deleted": true;
            410 when the store no longer knows that far back
            KINDS picks kinds of object, and the revision of the answer is that
            of their last write: claims would otherwise wake each watcher
     GET    /v1/instances                          200 {instances: [...]}
            {name, role, zone, address, state: "live"|"leaving"}; lags  */

#ifndef PLATFORM_PLAT_H
#define PLATFORM_PLAT_H

#include "http/fetch.h"
#include <json-glib/json-glib.h>

typedef struct plat plat_t;

typedef enum
{
  PLAT_OK,
  PLAT_CONFLICT,         /* 409: another writer was first */
  PLAT_NOT_FOUND,        /* 404 */
  PLAT_REVISION_EXPIRED, /* 410: list again */
  PLAT_UNAVAILABLE, /* not reached, or 429 or 503: it did not take effect; or a
                read that failed in any way */
  PLAT_OUTCOME_UNKNOWN, /* sent but not answered: it may have taken effect */
  PLAT_INVALID_RESPONSE /* an answer against the contract */
} plat_status_t;

/* The kinds of object that make up the configuration; one revision counts
   their writes.  */
#define PLAT_CONFIG_KINDS "client-account,service,availability-zone,endpoint"
/* Those that an agent keeps.  */
#define PLAT_AGENT_KINDS "service,availability-zone,endpoint"

/* ANSWER is the JSON object of the answer, or NULL; owned by the caller.  */
typedef void (*plat_done_t) (void *user, plat_status_t status,
                             JsonObject *answer);

/* URL is http://IP:PORT.  */
plat_t *plat_new (fetch_pool_t *pool, const char *url);
void plat_free (plat_t *plat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (plat_t, plat_free)

void plat_get (plat_t *plat, const char *kind, const char *name,
               plat_done_t done, void *user);
/* The answer has "complete": true, set here: what it lacks is not there.  */
void plat_list (plat_t *plat, uint64_t revision_least, plat_done_t done,
                void *user);
/* One page of KINDS after the cursor AFTER, "" for the first.  A whole list of
   18,000 accounts parsed at once takes 46 MB, more than a node may spend.  */
void plat_list_page (plat_t *plat, const char *kinds, uint64_t revision_least,
                     const char *after, plat_done_t done, void *user);
/* The same, LIMIT objects at most, whatever their revision.  */
void plat_list_limited (plat_t *plat, const char *kinds, const char *after,
                        unsigned limit, plat_done_t done, void *user);
/* VERSION NULL creates, and conflicts when the object is there.  */
void plat_put (plat_t *plat, const char *kind, const char *name,
               const char *version, JsonObject *spec, plat_done_t done,
               void *user);
void plat_delete (plat_t *plat, const char *kind, const char *name,
                  const char *version, plat_done_t done, void *user);
void plat_watch (plat_t *plat, uint64_t after, unsigned wait_ms,
                 plat_done_t done, void *user);
void plat_list_instances (plat_t *plat, plat_done_t done, void *user);

/* Drops the calls made with USER: no call back comes, and whether a write took
   effect stays unknown.  */
void plat_cancel (plat_t *plat, void *user);
struct ev_loop *plat_get_loop (const plat_t *plat);

/* Calls made since start, for the platform budget.  */
uint64_t plat_count_calls (const plat_t *plat);

const char *plat_status_name (plat_status_t status);

#endif
