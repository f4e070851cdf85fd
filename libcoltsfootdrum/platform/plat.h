/* Platform: an asynchronous client of the platform's object API, whose
   contract is in docs/OBJECT-API.md.  Objects are JSON of at most 1 MiB:

     {"kind", "name", "version": opaque string, "revision": integer,
      "spec": {...}}

   VERSION is used for conditional updates of one object.  REVISION increases
   with each write to the store and orders its states: an object has the
   revision of its last write, lists and watches have that of the store.

     GET    /v1/objects/KIND/NAME                  200 object | 404
     GET    /v1/objects?revision_least=N&kinds=K,..  200 {revision, objects}
            with &limit=M&after=CURSOR one page in a fixed order; "next" in the
            response is the CURSOR of the next page, absent on the last
     PUT    /v1/objects/KIND/NAME                  200 object | 409
            If-Match: VERSION, or If-None-Match: * to create
     DELETE /v1/objects/KIND/NAME  If-Match        200 | 404 | 409
     GET    /v1/watch?after=REVISION&wait_ms=N&kinds=K,..
                                                   200 {revision, objects}
            objects changed after REVISION, deleted ones with "deleted": true;
            410 when the store's history doesn't reach back to REVISION
            KINDS selects kinds of object, and the revision of the response is
            that of their last write, or claims would wake every watcher
     GET    /v1/instances                          200 {instances: [...]}
            {name, role, zone, address, state: "live"|"leaving"}; the list may
            be out of date  */

#ifndef PLATFORM_PLAT_H
#define PLATFORM_PLAT_H

#include "http/fetch.h"
#include <json-glib/json-glib.h>

typedef struct plat plat_t;

typedef enum
{
  PLAT_OK,
  PLAT_CONFLICT,         /* 409 or 412: another writer was first */
  PLAT_NOT_FOUND,        /* 404 */
  PLAT_REVISION_EXPIRED, /* 410: list again */
  PLAT_UNAVAILABLE,      /* no connection, 429 or 503: a write didn't take
                            effect; also any other failure of a read */
  PLAT_OUTCOME_UNKNOWN,  /* a write was sent and may have taken effect */
  PLAT_INVALID_RESPONSE  /* a response that violates the contract */
} plat_status_t;

/* The kinds of object that make up the configuration.  Their writes share one
   revision.  */
#define PLAT_CONFIG_KINDS "client-account,service,availability-zone,endpoint"
/* The kinds that an agent stores.  */
#define PLAT_AGENT_KINDS "service,availability-zone,endpoint"

/* Receives the result of a call.  ANSWER is the response's JSON object, whose
   reference the callee takes over, or NULL.  */
typedef void (*plat_done_t) (void *user, plat_status_t status,
                             JsonObject *answer);

/* URL is http://IP:PORT.  */
plat_t *plat_new (fetch_pool_t *pool, const char *url);
void plat_free (plat_t *plat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (plat_t, plat_free)

void plat_get (plat_t *plat, const char *kind, const char *name,
               plat_done_t done, void *user);
/* Lists all configuration objects at MIN_REVISION or later.  Sets "complete":
   true in the answer: an object that it lacks doesn't exist.  */
void plat_list (plat_t *plat, uint64_t min_revision, plat_done_t done,
                void *user);
/* Lists one page of KINDS after the cursor AFTER, "" for the first page.  A
   list of 18,000 accounts parsed at once takes 46 MB, more than the memory
   budget of a process.  */
void plat_list_page (plat_t *plat, const char *kinds, uint64_t min_revision,
                     const char *after, plat_done_t done, void *user);
/* Like plat_list_page, but at most LIMIT objects, at any revision.  */
void plat_list_limited (plat_t *plat, const char *kinds, const char *after,
                        unsigned limit, plat_done_t done, void *user);
/* Updates the object if it has VERSION.  A NULL VERSION creates it, and
   conflicts if it exists.  */
void plat_put (plat_t *plat, const char *kind, const char *name,
               const char *version, JsonObject *spec, plat_done_t done,
               void *user);
void plat_delete (plat_t *plat, const char *kind, const char *name,
                  const char *version, plat_done_t done, void *user);
void plat_watch (plat_t *plat, uint64_t after, unsigned wait_ms,
                 plat_done_t done, void *user);
void plat_list_instances (plat_t *plat, plat_done_t done, void *user);

/* Cancels the calls made with USER: no callback is invoked, and it stays
   unknown whether a write took effect.  */
void plat_cancel (plat_t *plat, void *user);
struct ev_loop *plat_get_loop (const plat_t *plat);

/* Returns the number of calls since the start, for the platform budget.  */
uint64_t plat_count_calls (const plat_t *plat);

const char *plat_status_name (plat_status_t status);

#endif
