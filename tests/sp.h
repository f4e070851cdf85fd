/* Stand-in for the platform: the object API of platform/plat.h in memory, with
   faults, an instances list that lags, and a bounded history for watches.

   Control, on the same listeners, which is never counted nor faulty:

     PUT  /control/instances  [{name, role, zone, address, state,
                                "views": {ZONE: "IP:PORT"}}, ...]
     PUT  /control/faults     {"mode", "delay_ms", "lag_ms"}
     GET  /control/calls      {"get": N, ..., "total": N}
     POST /control/objects    [{kind, name, spec}, ...] written unconditionally
     DELETE /control/objects/KIND/NAME

   A listener made for a zone shows each instance at the address that its
   "views" has for that zone, so that a test can put a relay between zones.  */

#ifndef TESTS_SP_H
#define TESTS_SP_H

#include "base/clock.h"
#include <ev.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>

typedef enum
{
  SP_UP,
  SP_DOWN,          /* each connection is broken off, without effect */
  SP_SLOW,          /* each answer comes after the delay */
  SP_DROP_RESPONSE, /* a write takes effect, its answer is broken off */
  SP_STALE_READS    /* reads answer the state of the lag before this began */
} sp_mode_t;

/* ---- the state, without any network: sp-model.c ---- */

typedef struct sp_model sp_model_t;

/* One state of one object; never changed once made.  */
typedef struct
{
  char *kind;
  char *name;
  char *version;
  uint64_t revision;
  bool deleted;
  char *text; /* JSON */
} sp_object_t;

/* Watches reach back HISTORY writes.  */
sp_model_t *sp_model_new (unsigned history);
void sp_model_free (sp_model_t *model);

/* The object, or NULL when not there.  */
const sp_object_t *sp_model_get (const sp_model_t *model, const char *kind,
                                 const char *name);
/* The same, not frozen.  */
const sp_object_t *sp_model_get_latest (const sp_model_t *model,
                                        const char *kind, const char *name);
/* Writes SPEC, or deletes when SPEC is NULL.  */
const sp_object_t *sp_model_write (sp_model_t *model, const char *kind,
                                   const char *name, JsonNode *spec,
                                   cfd_time_t now);
/* Reads come from the state at WHEN until sp_model_unfreeze.  */
void sp_model_freeze (sp_model_t *model, cfd_time_t when);
void sp_model_unfreeze (sp_model_t *model);
/* Newest revision of KINDS, a comma-separated list or NULL for all.  */
uint64_t sp_model_get_revision (const sp_model_t *model, const char *kinds);
/* JSON {revision, objects}; free with g_free.  */
char *sp_model_list (const sp_model_t *model, const char *kinds);
/* At most LIMIT objects after the cursor AFTER, and the cursor "next".  */
char *sp_model_list_page (const sp_model_t *model, const char *kinds,
                          const char *after, unsigned limit);
/* As sp_model_list, of what changed after AFTER; NULL when unknown.  */
char *sp_model_list_changes (const sp_model_t *model, uint64_t after,
                             const char *kinds);

/* ---- served by HTTP: sp.c ---- */

typedef struct sp sp_t;

sp_t *sp_new (struct ev_loop *loop, unsigned history);
void sp_free (sp_t *sp);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (sp_t, sp_free)
/* ZONE is NULL for the platform's own view.  */
bool sp_listen (sp_t *sp, const char *address, const char *zone,
                GError **error);
void sp_set_fault (sp_t *sp, sp_mode_t mode, unsigned delay_ms,
                   unsigned lag_ms);
/* LIST is the JSON text of the instances.  */
bool sp_set_instances (sp_t *sp, const char *list);
/* KIND is "get", "list", "put", "delete", "watch", "instances" or "total".  */
uint64_t sp_count_calls (const sp_t *sp, const char *kind);
sp_model_t *sp_get_model (sp_t *sp);
/* To be called after writing to the state directly.  */
void sp_notify_watches (sp_t *sp);

#endif
